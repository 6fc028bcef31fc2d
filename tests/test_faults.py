"""Runs every proof of the fault matrix."""

import pytest
from _pytest.mark import ParameterSet

from tests.faults import (
    batch_cells,
    claim_cells,
    config_cells,
    impossible,
    node_cells,
    online_cells,
    operator_cells,
    path_cells,
    process_cells,
    snapshot_cells,
    state_cells,
)
from tests.faults.matrix import CANNOT_HAPPEN, PROOFS, Proof

SCENARIOS = (
    online_cells,
    node_cells,
    batch_cells,
    claim_cells,
    config_cells,
    operator_cells,
    path_cells,
    process_cells,
    snapshot_cells,
    state_cells,
)


def node_id(proof: Proof) -> str:
    """Return the node id of a proof's test."""
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
    """Return the one failure inside nested groups, or the group itself."""
    inner: Exception = group
    while isinstance(inner, ExceptionGroup) and len(inner.exceptions) == 1:
        inner = inner.exceptions[0]
    return inner


def test_no_cell_is_proved_and_impossible() -> None:
    assert impossible.CONFIG_ROWS
    assert not {proof.cell for proof in PROOFS} & set(CANNOT_HAPPEN)
