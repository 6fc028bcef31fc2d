"""Shared fixtures and the reporting of known test failures."""

import json
from collections.abc import Generator

import pytest

from tests import knownred
from tests.faults.matrix import RESULTS

FAULT_TEST = "test_faults.py::test_cell["
ALL_MARKS = "slow or not slow"
KNOWN_RED = pytest.StashKey[frozenset[str]]()


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


def pytest_configure(config: pytest.Config) -> None:
    config.stash[KNOWN_RED] = knownred.listed_node_ids()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report a failing test listed in KNOWN-RED.txt as xfailed; change no other."""
    report = yield
    is_known_red = item.nodeid in item.config.stash[KNOWN_RED]
    if is_known_red and report.when == "call" and report.failed:
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"
    return report


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Write the outcomes of the fault matrix for tools/faultpage.py to read."""
    reporter = session.config.pluginmanager.get_plugin("terminalreporter")
    if reporter is None:
        return
    outcomes = {
        report.nodeid: outcome
        for outcome in ("passed", "failed")
        for report in reporter.stats.get(outcome, [])
        if FAULT_TEST in report.nodeid and report.when == "call"
    }
    if outcomes and session.config.option.markexpr == ALL_MARKS:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(outcomes, indent=0, sort_keys=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    known = config.stash[KNOWN_RED]
    red = [report.nodeid for report in terminalreporter.stats.get("xfailed", [])]
    fixed = [
        report.nodeid
        for report in terminalreporter.stats.get("passed", [])
        if report.nodeid in known and report.when == "call"
    ]
    for nodeid in red:
        terminalreporter.write_line(f"KNOWN RED: {nodeid}")
    for nodeid in fixed:
        terminalreporter.write_line(f"PASSES, remove from KNOWN-RED.txt: {nodeid}")
