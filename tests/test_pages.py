"""Tests that the pages document all errors, settings, metrics and commands."""

import re
from dataclasses import fields
from pathlib import Path

from chivespan.auth import key_hash
from chivespan.documents import Operator, Owner
from chivespan.errors import ERROR_PROPERTIES, ErrorKind
from chivespan.inventory import read_files
from chivespan.operator_main import Commands
from chivespan.settings import NodeSettings, OperatorSettings
from tools.pages import ERRORS, MEANINGS

ROOT = Path(__file__).resolve().parent.parent


def test_every_error_kind_has_properties_and_a_meaning() -> None:
    assert set(ERROR_PROPERTIES) == set(MEANINGS) == set(ErrorKind)


def test_error_table_is_current() -> None:
    assert ERRORS.is_current


def _page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def test_every_setting_is_documented() -> None:
    page = _page("OPERATING.md")
    for cls in (NodeSettings, OperatorSettings):
        for field in fields(cls):
            assert f"`{field.name}`" in page


def test_every_metric_is_documented() -> None:
    page = _page("OPERATING.md")
    recorded = re.compile(r"\.(?:incr|gauge|timing)\(\s*f?\"([a-z_.]+)")
    for path in sorted((ROOT / "chivespan").glob("*.py")):
        if path.name == "metrics.py":
            continue
        for counter in recorded.findall(path.read_text()):
            assert f"`{counter}" in page, f"{counter} of {path.name}"


def test_documented_commands_exist() -> None:
    commands = {name for name in vars(Commands) if not name.startswith("_")}
    documented = re.compile(r"`chivespan ([a-z]+)")
    pages = [_page("OPERATING.md"), _page("design/operators.md")]
    found = {command for page in pages for command in documented.findall(page)}
    assert found <= commands
    assert commands - found <= {"show"}


def test_example_keys_match_the_readme() -> None:
    readme = (ROOT / "README.md").read_text()
    rules = read_files(
        [ROOT / "examples" / name / "rules.toml" for name in ("livestock", "skywatch")]
    )
    hashes = {key_hash(key) for key in re.findall(r"`(demo-[a-z-]+)`", readme)}
    for document in rules.documents.values():
        if isinstance(document, Owner | Operator):
            assert set(document.key_sha256) <= hashes


def test_files_on_the_architecture_page_exist() -> None:
    named = set(
        re.findall(r"`((?:[a-z]+/)*[a-z_]+\.(?:py|yaml))`", _page("ARCHITECTURE.md"))
    )
    present = {path.name for path in (ROOT / "chivespan").glob("*.py")}
    assert len(named) > 20
    for name in named:
        assert name in present or (ROOT / name).exists(), name
