"""Tests of the operators' commands against a fake log."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path

import pytest

from chivespan.clock import SystemClock
from chivespan.configfold import CONFIG_STREAM
from chivespan.configuration import DocumentId, StoredDocument
from chivespan.documents import DocumentKind, Runner
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.inventory import Inventory, read_files, read_toml, write_toml
from chivespan.operator_main import run as run_command
from chivespan.operatorapply import ApplyOptions, apply_inventory
from chivespan.operatorlog import OperatorLog, parse_change_id
from chivespan.operatorresults import ApplyOutcome, ApplyResult
from chivespan.operatortext import lines
from chivespan.snapshots import SnapshotStore
from tests.fakelog import FakeLog

LIVESTOCK = Path(__file__).resolve().parent.parent / "examples" / "livestock"
ANA = ApplyOptions(operator="ana", operator_key="demo-operator-ana")
MARKO = ApplyOptions(operator="marko", operator_key="demo-operator-marko")
RUNNER = DocumentId(DocumentKind.runner, "booking-lm-1")


def _files() -> Inventory:
    return read_files([LIVESTOCK / "inventory.toml", LIVESTOCK / "rules.toml"])


def _with_slots(slots: int, inventory: Inventory | None = None) -> Inventory:
    changed = inventory or _files()
    runner = changed.documents[RUNNER]
    assert isinstance(runner, Runner)
    changed.documents[RUNNER] = replace(runner, slots=slots)
    return changed


async def _apply(
    log: FakeLog, inventory: Inventory, options: ApplyOptions = ANA
) -> ApplyResult:
    async with OperatorLog.opened(log, options.operator, SystemClock()) as opened:
        return await apply_inventory(opened, inventory, options)


async def _stored(log: FakeLog) -> dict[DocumentId, StoredDocument]:
    async with OperatorLog.opened(log, "ana", SystemClock()) as opened:
        return (await opened.read()).configuration.stored


async def _slots(log: FakeLog) -> int:
    runner = (await _stored(log))[RUNNER].document
    assert isinstance(runner, Runner)
    return runner.slots


@pytest.mark.anyio
async def test_apply_adds_changes_and_removes_documents() -> None:
    log = FakeLog()
    first = await _apply(log, _files())
    assert first.outcome is ApplyOutcome.ACCEPTED
    assert {delta.action for delta in first.deltas} == {"add"}
    assert (await _apply(log, _files())).outcome is ApplyOutcome.NOTHING_TO_DO

    inventory = read_files([LIVESTOCK / "inventory.toml"])
    del inventory.documents[DocumentId(DocumentKind.runner, "bookings-3")]
    dry_run = await _apply(log, _with_slots(4, inventory), replace(ANA, dry_run=True))
    assert dry_run.outcome is ApplyOutcome.DRY_RUN
    second = await _apply(log, _with_slots(4, inventory))
    shown = [(one.action, one.name, one.base_version) for one in second.deltas]
    assert shown == [("change", "booking-lm-1", 1), ("remove", "bookings-3", 1)]
    assert await _slots(log) == 4
    assert DocumentId(DocumentKind.owner, "baranja-haulage") in await _stored(log)

    del inventory.documents[DocumentId(DocumentKind.runner, "bookings-2")]
    added = await _apply(log, inventory, replace(ANA, partial=True))
    assert added.outcome is ApplyOutcome.NOTHING_TO_DO


class _ConcurrentLog(FakeLog):
    """Runs a concurrent change just before the next append."""

    concurrent: Callable[[], Awaitable[object]] | None = None

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        concurrent, self.concurrent = self.concurrent, None
        if concurrent:
            await concurrent()
        return await super().append(stream, payloads)


@pytest.mark.anyio
async def test_conflicting_change_reports_both_versions() -> None:
    log = _ConcurrentLog()
    await _apply(log, _files())
    log.concurrent = partial(_apply, log, _with_slots(5), MARKO)
    lost = await _apply(log, _with_slots(6), ANA)
    assert lost.outcome is ApplyOutcome.CONFLICT
    (conflict,) = lost.conflicts
    assert (conflict.base_version, conflict.version) == (1, 2)
    assert any("is at version 2" in line for line in lines(lost))
    assert await _slots(log) == 5
    async with OperatorLog.opened(log, "ana", SystemClock()) as opened:
        history = (await opened.read()).history
    assert [(one.operator, one.accepted) for one in history] == [
        ("ana", True),
        ("marko", True),
        ("ana", False),
    ]


@pytest.mark.anyio
async def test_change_by_removed_operator_is_refused() -> None:
    log = _ConcurrentLog()
    await _apply(log, _files())
    without_ana = _files()
    del without_ana.documents[DocumentId(DocumentKind.operator, "ana")]
    log.concurrent = partial(_apply, log, without_ana, MARKO)
    refused = await _apply(log, _with_slots(6), ANA)
    assert refused.outcome is ApplyOutcome.REFUSED
    assert refused.parts[0].message == "no operator ana is in force"
    assert await _slots(log) == 8

    nobody = read_files([LIVESTOCK / "rules.toml"])
    for name in ("ana", "marko"):
        del nobody.documents[DocumentId(DocumentKind.operator, name)]
    last = await _apply(log, nobody, MARKO)
    assert last.outcome is ApplyOutcome.REFUSED
    assert last.parts[0].message == "the change leaves no operator in force"


@pytest.mark.anyio
async def test_files_from_older_configuration_do_not_revert_changes() -> None:
    log = FakeLog()
    await _apply(log, _files())
    own = _from_show(await _stored(log), as_of=0)
    others = _with_slots(5)
    new = Runner(
        name="booking-lm-7",
        service="booking-lm",
        address="127.1.1.7:9100",
        data_centre="hr-east-osijek",
        slots=8,
        model="booking-lm",
    )
    others.documents[DocumentId(DocumentKind.runner, new.name)] = new
    del others.documents[DocumentId(DocumentKind.runner, "bookings-3")]
    assert (await _apply(log, others, MARKO)).outcome is ApplyOutcome.ACCEPTED

    result = await _apply(log, own)
    assert result.outcome is ApplyOutcome.CONFLICT
    assert result.kept == ("runner booking-lm-7",)
    conflicts = [(one.name, one.base_version, one.version) for one in result.conflicts]
    assert conflicts == [("booking-lm-1", 1, 2), ("bookings-3", 1, 0)]
    assert await _slots(log) == 5


def _from_show(stored: dict[DocumentId, StoredDocument], as_of: int) -> Inventory:
    inventory = Inventory()
    text = write_toml((one.document for one in stored.values()), as_of)
    read_toml(text, "shown.toml", inventory)
    return inventory


@pytest.mark.anyio
async def test_append_with_lost_reply_is_accepted_once() -> None:
    log = FakeLog()
    log.lost_replies = 1
    assert (await _apply(log, _files())).outcome is ApplyOutcome.ACCEPTED
    async with OperatorLog.opened(log, "ana", SystemClock()) as opened:
        assert len((await opened.read()).history) == 1


@pytest.mark.anyio
async def test_outage_after_append_is_unknown_until_looked_up_by_id() -> None:
    log = FakeLog()
    await _apply(log, _files())
    log.outage_after_append = True
    result = await _apply(log, _with_slots(5))
    assert result.outcome is ApplyOutcome.UNKNOWN
    assert result.outcome.exit_code == 1
    log.outage = False
    change = parse_change_id(result.parts[0].change_id)
    async with OperatorLog.opened(log, "ana", SystemClock()) as opened:
        found = await opened.outcome(change)
    assert found.outcome is ApplyOutcome.ACCEPTED
    assert found.entry is not None
    assert found.entry.operator == "ana"


@pytest.mark.anyio
async def test_looking_up_unpublished_change_prevents_late_acceptance() -> None:
    log = FakeLog()
    await _apply(log, _files())
    records = log.records(CONFIG_STREAM)
    late = FakeLog()
    await _apply(late, _files())
    await _apply(late, _with_slots(5))
    change = late.records(CONFIG_STREAM)[-1].payload
    async with OperatorLog.opened(late, "ana", SystemClock()) as opened:
        entry = (await opened.read()).history[-1]
    change_id = parse_change_id(f"{entry.writer}/{entry.sequence}")
    async with OperatorLog.opened(log, "ana", SystemClock()) as opened:
        found = await opened.outcome(change_id)
    assert found.outcome is ApplyOutcome.NOT_ACCEPTED
    log.put(CONFIG_STREAM, [change])
    assert len(log.records(CONFIG_STREAM)) == len(records) + 2
    assert await _slots(log) == 8


@pytest.mark.anyio
async def test_expired_records_are_loaded_from_a_snapshot() -> None:
    log = FakeLog()
    await _apply(log, _files())
    async with OperatorLog.opened(log, "ana", SystemClock()) as opened:
        fold = await opened.read()
        store = SnapshotStore(log, CONFIG_STREAM, "writer")
        await store.write(fold, SystemClock().now())
    await _apply(log, _with_slots(5))
    log.expire(CONFIG_STREAM, 1)
    assert await _slots(log) == 5
    assert (await _apply(log, _with_slots(6))).outcome is ApplyOutcome.ACCEPTED
    assert await _slots(log) == 6


@pytest.mark.anyio
async def test_apply_fails_while_log_is_unavailable() -> None:
    log = FakeLog()
    log.unreachable = True
    with pytest.raises(ChivespanError) as caught:
        await _apply(log, _files())
    assert caught.value.kind is ErrorKind.LOG_UNAVAILABLE


@pytest.mark.anyio
async def test_key_of_another_operator_is_rejected() -> None:
    log = FakeLog()
    wrong = replace(ANA, operator_key="demo-operator-marko")
    for _ in range(2):
        with pytest.raises(ChivespanError) as caught:
            await _apply(log, _files(), wrong)
        assert caught.value.kind is ErrorKind.UNAUTHENTICATED
        await _apply(log, _files())
    assert len(log.records(CONFIG_STREAM)) == 1


@pytest.mark.anyio
async def test_change_that_leaves_service_without_runners_is_not_published() -> None:
    log = FakeLog()
    await _apply(log, _files())
    whole = _files()
    for name in ("bookings-1", "bookings-2", "bookings-3"):
        del whole.documents[DocumentId(DocumentKind.runner, name)]
    refused = await _apply(log, whole)
    assert refused.outcome is ApplyOutcome.INVALID
    assert [str(fault) for fault in refused.faults] == [
        'inventory.toml: services[2] "bookings" name: no runner serves it'
    ]


@pytest.fixture
def environment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("CHIVESPAN_LOG_URL", "http://127.0.0.1:1")
    monkeypatch.setenv("CHIVESPAN_OPERATOR", "ana")
    monkeypatch.setenv("CHIVESPAN_OPERATOR_KEY", "demo-operator-ana")


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        ("validate {}/inventory.toml {}/rules.toml", 0),
        ("import {}/asset-register.csv --json", 0),
        ("validate {}/asset-register.csv", 1),
        ("validate {}/none.toml", 1),
        ("show", 1),
        ("validate", 2),
        ("apply {}/inventory.toml --colour=red", 2),
        ("history --limit=many", 2),
        ("jobs cancel", 2),
        ("status", 2),
        ("show --log_url=log", 2),
        ("polish", 2),
    ],
)
@pytest.mark.usefixtures("environment")
def test_exit_codes(arguments: str, code: int) -> None:
    assert run_command(arguments.format(LIVESTOCK, LIVESTOCK).split()) == code
