"""Tests of reading, checking and writing inventories, and of asset registers."""

from pathlib import Path

import pytest

from chivespan.assetregister import read_register
from chivespan.configuration import DocumentId
from chivespan.documents import DocumentKind, PlainCall
from chivespan.inventory import Inventory, read_files, read_toml, write_toml
from chivespan.inventorychecks import check_change, check_inventory, unchecked_kinds

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"

FAULTY = """
colour = "red"
as_of = "now"

[[regions]]
name = "north"

[[regions]]
name = "north"

[[data_centres]]
name = "north-a"
region = "south"

[[models]]
name = "m1"
version = 3

[[services]]
name = "text"
kind = "model"
models = ["m1", "m2"]

[[services]]
name = "desk"
kind = "plain"
calls = [{ method = "FETCH", path = "x", idempotnet = true }]

[[services]]
name = "shop"
kind = "plain"
calls = [{ method = "FETCH", path = "x" }]

[[runners]]
name = "r1"
service = "text"
address = "host:80"
data_centre = "north-b"
slots = 0

[[runners]]
name = "r2"
service = "text"
address = "10.0.0.2:80"
data_centre = "north-a"
slots = 4
model = "m9"

[[runners]]
name = "r3"
service = "txet"
address = "10.0.0.2:80"
data_centre = "north-a"
slots = 4
adapters = ["a", 7]

[[runners]]
name = "r4"
service = "text"
address = "10.0.0.2:80"
data_centre = "north-b"
slots = 4
model = "m2"

[[owners]]
name = "o 1"
key_sha256 = ["abc"]

[[owners]]
name = "o2"
key_sha256 = ["abc"]

[[rules]]
name = "rule1"
owner = "o9"
service = "text"
work_class = "nightly"

[[rules]]
name = "rule2"
owner = "o9"
service = "text"
work_class = "batch"
weight = 0
"""

EXPECTED_FAULTS = """
f.toml: colour: unknown table; known tables are regions, data_centres, models, \
services, runners, owners, operators, rules, keeping
f.toml: as_of: give the offset that 'show' printed
f.toml: regions[2] "north" name: already used at f.toml: regions[1] "north"
f.toml: models[1] "m1" version: must be a string, not a whole number
f.toml: services[2] "desk" calls[1].idempotnet: unknown field; known fields are \
method, path, idempotent
f.toml: runners[1] "r1" slots: 0 is too small; the minimum is 1
f.toml: runners[3] "r3" adapters: must be a string, not a whole number (entry 2)
f.toml: owners[1] "o 1" name: use 1 to 100 letters, digits, '.', '_' and '-', \
starting with a letter or digit
f.toml: rules[1] "rule1" work_class: 'nightly' is unknown; give one of online, batch
f.toml: rules[2] "rule2" weight: 0 is too small; the minimum is 1
f.toml: data_centres[1] "north-a" region: no region 'south' exists
f.toml: services[1] "text" models[2]: no model 'm2' exists
f.toml: services[3] "shop" calls[1].method: give one of GET, POST, PUT, PATCH, DELETE
f.toml: services[3] "shop" calls[1].path: give a path such as /permits/*, with '*' \
only at the end
f.toml: runners[2] "r2" model: 'm9' is not a model of service 'text' (m1, m2)
f.toml: runners[4] "r4" data_centre: no data centre 'north-b' exists
f.toml: runners[4] "r4" address: runner 'r2' has the same address
f.toml: owners[2] "o2" key_sha256[1]: give 64 lowercase hex digits, as \
'chivespan key' prints them
"""


def test_every_fault_is_reported_with_its_place() -> None:
    inventory = Inventory()
    read_toml(FAULTY, "f.toml", inventory)
    found = [str(fault) for fault in check_inventory(inventory)]
    assert found == EXPECTED_FAULTS.strip().splitlines()


def test_services_without_runners_are_faults() -> None:
    inventory = read_files([EXAMPLES / "livestock" / "inventory.toml"])
    for document_id in list(inventory.documents):
        if document_id.kind is DocumentKind.runner:
            del inventory.documents[document_id]
    assert [str(fault) for fault in check_inventory(inventory)] == [
        'inventory.toml: services[1] "booking-lm" models[1]: '
        "no runner of 'booking-lm' serves 'booking-lm'",
        'inventory.toml: services[2] "bookings" name: no runner serves it',
    ]


def test_invalid_toml_is_a_fault_with_line_and_column() -> None:
    inventory = Inventory()
    read_toml("[[regions]]\nname = a", "f.toml", inventory)
    (fault,) = check_inventory(inventory)
    assert "f.toml: not TOML" in str(fault)
    assert "line 2" in str(fault)


@pytest.mark.parametrize(("example", "runners"), [("livestock", 9), ("skywatch", 9)])
def test_examples_are_valid_and_round_trip(example: str, runners: int) -> None:
    folder = EXAMPLES / example
    inventory = read_files([folder / "inventory.toml", folder / "rules.toml"])
    assert check_inventory(inventory) == []
    assert len(inventory.of_kind(DocumentKind.runner)) == runners
    reread = Inventory()
    read_toml(write_toml(inventory.documents.values(), 7), "again.toml", reread)
    assert check_inventory(reread) == []
    assert reread.documents == inventory.documents
    assert reread.as_of == 7


def test_change_is_checked_against_documents_in_force() -> None:
    folder = EXAMPLES / "livestock"
    inventory = read_files([folder / "inventory.toml"])
    rules = read_files([folder / "rules.toml"])
    assert check_inventory(rules) == []
    assert unchecked_kinds(rules) == [DocumentKind.service]
    combined = inventory.documents | rules.documents
    assert check_change(inventory.documents, combined, rules.places) == []
    without = dict(combined)
    del without[DocumentId(DocumentKind.service, "bookings")]
    found = [str(fault) for fault in check_change(combined, without, rules.places)]
    assert len(found) == 2 + 3
    assert (
        'rules.toml: rules[2] "baranja-bookings" service: '
        "no service 'bookings' exists"
    ) in found
    assert any(fault.startswith("in force: runners") for fault in found)
    assert check_change(without, without, rules.places) == []


@pytest.mark.parametrize("example", ["livestock", "skywatch"])
def test_asset_register_converts_to_the_example_inventory(example: str) -> None:
    folder = EXAMPLES / example
    text = (folder / "asset-register.csv").read_text()
    register = read_register(text, "asset-register.csv")
    assert register.faults == []
    assert register.unused == ("serial", "bought")
    imported = Inventory()
    read_toml(register.to_toml(), "imported.toml", imported)
    assert check_inventory(imported) == []
    expected = read_files([folder / "inventory.toml"]).of_kind(DocumentKind.runner)
    assert imported.of_kind(DocumentKind.runner) == expected
    if example == "livestock":
        assert register.skipped == 1
        bookings = imported.of_kind(DocumentKind.service)["bookings"]
        calls = getattr(bookings, "calls", [])
        assert PlainCall(method="POST", path="/bookings") in calls


def test_asset_register_faults_include_line_and_column() -> None:
    text = (
        "Asset tag,Region,Data centre,Service,IP,Port,Slots,Calls\n"
        "r1,north,north-a,desk,10.0.0.1,80,4,GET\n"
        "r2,north,north-a,desk,10.0.0.2,http,,\n"
        "r1,south,north-a,desk,10.0.0.3,80,4,,extra\n"
        "r1,south,north-a,desk,10.0.0.3,80,4,\n"
    )
    found = [str(fault) for fault in read_register(text, "r.csv").faults]
    wanted = [
        "r.csv: line[2] \"r1\" calls: 'GET': write METHOD /path",
        'r.csv: line[3] "r2" slots: empty',
        "r.csv: line[3] \"r2\" port: 'http' is not a whole number",
        'r.csv: line[4] "r1": more cells than columns',
        "r.csv: line[5] \"r1\" data_centre: 'north-a' conflicts with an earlier line",
        "r.csv: line[5] \"r1\" asset_tag: 'r1' conflicts with an earlier line",
    ]
    assert len(found) == len(wanted)
    for have, want in zip(found, wanted, strict=True):
        assert have.startswith(want)
    assert "column 'ip' is missing" in str(read_register("a,b\n", "r.csv").faults[4])
