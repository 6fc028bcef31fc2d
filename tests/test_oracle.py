"""Each check of the test oracle reports a minimal violation of its guarantee.

Guards against an oracle that accepts everything. ``test_broken_variants`` checks the
same with mechanisms of the product disabled.
"""

from collections.abc import Sequence

import pytest

from standins.enginetext import full_text
from standins.journal import Entry
from tests.oracle import (
    CHECKS,
    CallAnswer,
    FirstTokenWait,
    GeneratedAnswer,
    ItemRead,
    LeavingTarget,
    Observations,
    ObservedJob,
    violations,
)

ENGINE = "127.0.1.1:9000"


def _ran(*details: str) -> dict[str, Sequence[Entry]]:
    return {ENGINE: [Entry(10.0, "start", "r", "/v1/completions", d) for d in details]}


def _job(*reads: list[ItemRead], stopped_at: float | None = None) -> ObservedJob:
    prompts = {"1": "cattle", "2": "sheep"}
    return ObservedJob("j", prompts, 2, reads, stopped_at=stopped_at)


CATTLE = ItemRead("1", True, full_text("cattle", 2))
SHEEP = ItemRead("2", True, full_text("sheep", 2))
FAILED = ItemRead("2", False, "")

BROKEN = {
    "answer_matches_request": Observations(
        generated=[GeneratedAnswer("pigs", 2, full_text("pigs", 1), "done")],
        journals=_ran("pigs"),
    ),
    "refused_request_never_ran": Observations(
        calls=[CallAnswer("b", "/bookings", 503, "no_capacity", "no")],
        journals=_ran("b"),
    ),
    "at_most_once": Observations(not_repeatable=["b"], journals=_ran("b", "b")),
    "answered_request_ran": Observations(
        calls=[CallAnswer("b", "/bookings", 201, answer=b'{"for": "b"}')]
    ),
    "one_result_per_item": Observations(jobs=[_job([CATTLE])]),
    "results_never_change": Observations(
        jobs=[_job([CATTLE, SHEEP], [CATTLE, FAILED])]
    ),
    "cancelled_job_stops": Observations(
        jobs=[_job([CATTLE, SHEEP], stopped_at=9.0)], journals=_ran("sheep")
    ),
    "leaving_target_gets_no_requests": Observations(
        leaving_targets=[LeavingTarget(ENGINE, 9.0)], journals=_ran("x")
    ),
    "shutdown_completes_requests": Observations(
        generated=[GeneratedAnswer("pigs", 2, "", "error", across_shutdown=True)]
    ),
    "config_offset_never_decreases": Observations(
        config_offsets={"127.0.0.1": [3, 4, 3]}
    ),
    "online_before_batch": Observations(
        first_token_waits=[FirstTokenWait("pigs", 0.7, 0.63)]
    ),
}


@pytest.mark.parametrize("name", CHECKS)
def test_check_reports_its_violation(name: str) -> None:
    found = violations(BROKEN[name])
    assert [violation.split(":")[0] for violation in found] == [name]


def test_good_session_has_no_violation() -> None:
    text = full_text("pigs", 3)
    observations = Observations(
        generated=[GeneratedAnswer("pigs", 3, text, "done")],
        calls=[CallAnswer("b", "/bookings", 201, answer=b'{"for": "b"}')],
        jobs=[_job([CATTLE], stopped_at=None), _job([CATTLE, SHEEP])],
        not_repeatable=["b"],
        journals=_ran("pigs", "b"),
    )
    observations.jobs[0] = ObservedJob("j", {"1": "cattle"}, 2, [[CATTLE], [CATTLE]])
    assert violations(observations) == []
