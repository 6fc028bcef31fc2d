"""Writes docs/FAULTS.md from the fault matrix and the last results of its tests.

``make faults`` stores the results in out/faults.json; without that file every cell that
has a test is shown as not run.
"""

import sys
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import msgspec

from tests import knownred
from tests.faults.matrix import CANNOT_HAPPEN, PROOFS, RESULTS, Cell, Fault, Proof, Row
from tests.test_faults import SCENARIOS, node_id

PAGE = Path(__file__).parent.parent / "docs" / "FAULTS.md"


class Verdict(StrEnum):
    """Status of a cell as shown on the page."""

    PROVED = "proved"
    RED = "red"
    FAILED = "failed"
    NOT_RUN = "not run"
    IMPOSSIBLE = "-"
    OPEN = ""


@dataclass(frozen=True)
class Results:
    """Test outcomes of the last run.

    :param outcomes: outcome of each test, by node id.
    :param red: node ids of the known failures.
    """

    outcomes: dict[str, str]
    red: frozenset[str]

    @classmethod
    def read(cls) -> "Results":
        """Return the results of the last run."""
        content = RESULTS.read_bytes() if RESULTS.exists() else b"{}"
        outcomes = msgspec.json.decode(content, type=dict[str, str])
        return cls(outcomes, knownred.listed_node_ids())

    def verdict(self, cell: Cell, proofs: list[Proof]) -> Verdict:
        """Return the status of a cell, the worst among its tests."""
        if not proofs:
            return Verdict.IMPOSSIBLE if cell in CANNOT_HAPPEN else Verdict.OPEN
        names = [node_id(proof) for proof in proofs]
        if any(name in self.red for name in names):
            return Verdict.RED
        outcomes = {self.outcomes.get(name, "") for name in names}
        if "failed" in outcomes:
            return Verdict.FAILED
        return Verdict.PROVED if outcomes == {"passed"} else Verdict.NOT_RUN


def render_page(results: Results) -> str:
    """Return the text of the page."""
    return "\n".join(_lines(results)) + "\n"


def _lines(results: Results) -> Iterator[str]:
    proofs: dict[Cell, list[Proof]] = defaultdict(list)
    for proof in PROOFS:
        proofs[proof.cell].append(proof)
    cells = [Cell(row, fault) for row in Row for fault in Fault]
    verdicts = {cell: results.verdict(cell, proofs[cell]) for cell in cells}
    yield "# Faults and steps: what is proved"
    yield ""
    yield "Written by `tools/faultpage.py` from the matrix in `tests/faults/` and the"
    yield "last `make faults`; don't edit. Rows are steps, columns faults at that step."
    yield "`proved`: its tests passed; `red`: listed in KNOWN-RED.txt; `-`: can't"
    yield "happen; empty: not covered."
    yield ""
    for verdict in Verdict:
        count = sum(each is verdict for each in verdicts.values())
        yield f"- {_verdict_names()[verdict]}: {count} of {len(cells)}"
    yield ""
    yield "| step | " + " | ".join(Fault) + " |"
    yield "|" + "---|" * (len(Fault) + 1)
    for row in Row:
        shown = [verdicts[Cell(row, fault)].value for fault in Fault]
        yield f"| {row} | " + " | ".join(shown) + " |"
    yield ""
    yield "## Which test proves what"
    yield ""
    yield "Each is `tests/test_faults.py::test_cell[step/fault/test]`."
    yield ""
    for module in SCENARIOS:
        yield from _module_lines(module.__name__)
    yield ""
    yield "## What can't happen"
    yield ""
    yield from _reasons()


def _verdict_names() -> dict[Verdict, str]:
    return {
        Verdict.PROVED: "proved",
        Verdict.RED: "failing, listed in KNOWN-RED.txt",
        Verdict.FAILED: "failed in the last run",
        Verdict.NOT_RUN: "not run",
        Verdict.IMPOSSIBLE: "can't happen",
        Verdict.OPEN: "not covered",
    }


def _module_lines(name: str) -> Iterator[str]:
    cells: dict[str, list[Cell]] = defaultdict(list)
    for proof in PROOFS:
        if proof.scenario.__module__ == name:
            cells[proof.name].append(proof.cell)
    for scenario, proved in cells.items():
        by_row: dict[Row, list[str]] = defaultdict(list)
        for cell in proved:
            by_row[cell.row].append(cell.fault)
        shown = "; ".join(f"{row}: {', '.join(by_row[row])}" for row in by_row)
        yield f"- `{name.removeprefix('tests.faults.')}.{scenario}`: {shown}"


def _reasons() -> Iterator[str]:
    by_reason: dict[str, dict[Row, list[str]]] = defaultdict(lambda: defaultdict(list))
    for cell, reason in CANNOT_HAPPEN.items():
        by_reason[reason][cell.row].append(cell.fault)
    for reason, rows in by_reason.items():
        shown = "; ".join(f"{row}: {', '.join(rows[row])}" for row in rows)
        yield f"- {reason} ({shown})"


def main() -> None:
    """Write the page; with ``--check``, exit with status 1 if it is out of date."""
    text = render_page(Results.read())
    if "--check" in sys.argv:
        sys.exit(PAGE.read_text() != text)
    PAGE.write_text(text)


if __name__ == "__main__":
    main()
