"""Runs every scenario registered in the fault matrix."""

from importlib import import_module
from pathlib import Path

import pytest
from _pytest.mark import ParameterSet

from tests.faults import impossible
from tests.faults.matrix import CANNOT_HAPPEN, PROOFS, Proof

FAULTS = Path(__file__).parent / "faults"
SCENARIOS = [
    import_module(f"tests.faults.{path.stem}")
    for path in sorted(FAULTS.glob("*_cells.py"))
]


def node_id(proof: Proof) -> str:
    """Return the pytest node id of a scenario's test for a cell."""
    return f"tests/test_faults.py::test_cell[{proof}]"


def _parameter(proof: Proof) -> ParameterSet:
    marks = [pytest.mark.slow] if proof.slow else []
    return pytest.param(proof, id=str(proof), marks=marks)


@pytest.mark.anyio
@pytest.mark.parametrize("proof", [_parameter(proof) for proof in PROOFS])
async def test_cell(proof: Proof) -> None:
    try:
        await proof.scenario(proof.cell)
    except ExceptionGroup as group:
        raise _only_failure(group) from None


def _only_failure(group: ExceptionGroup[Exception]) -> Exception:
    """Unwrap nested groups of one exception; stop at a group of several."""
    inner: Exception = group
    while isinstance(inner, ExceptionGroup) and len(inner.exceptions) == 1:
        inner = inner.exceptions[0]
    return inner


def test_no_cell_is_proved_and_impossible() -> None:
    assert impossible.CONFIG_ROWS
    assert not {proof.cell for proof in PROOFS} & set(CANNOT_HAPPEN)
