"""Invariants that a soak test checks against the observations of callers and targets.

Each check is registered by name and yields one message for each violation.
"""

from collections.abc import Callable, Iterator
from typing import TypeAlias

from chivespan.registry import Registry
from soak.customers import customer_of
from soak.evidence import NOT_RUN_STATUSES, Evidence

# An item may still reach a target this long after its job's end was acknowledged.
END_DELAY_S = 3.0

Check: TypeAlias = Callable[[Evidence], Iterator[str]]
CHECKS: Registry[Check] = Registry("soak check")


def violations(evidence: Evidence) -> list[str]:
    """Return the violations found by all checks, each prefixed with its check."""
    return [f"{name}: {found}" for name in CHECKS for found in CHECKS[name](evidence)]


@CHECKS.register("run_once")
def runs_only_once(evidence: Evidence) -> Iterator[str]:
    """Yield at-most-once requests that ran more than once."""
    run_counts = evidence.run_counts()
    for call in evidence.online:
        if call.at_most_once and run_counts.get(call.request_id, 0) > 1:
            yield f"{call.request_id} ran {run_counts[call.request_id]} times"


@CHECKS.register("true_refusal")
def refused_requests_never_run(evidence: Evidence) -> Iterator[str]:
    """Yield at-most-once requests that ran despite a refusal with a not-run status."""
    run_counts = evidence.run_counts()
    for call in evidence.online:
        if (
            call.at_most_once
            and call.status in NOT_RUN_STATUSES
            and call.request_id in run_counts
        ):
            yield f"{call.request_id} was refused with {call.status} and ran"


@CHECKS.register("whole_answer")
def responses_are_complete(evidence: Evidence) -> Iterator[str]:
    """Yield responses that differ from the complete stream of their own request."""
    for call in evidence.online:
        if call.status != 200 or call.body is None:
            continue
        text = evidence.expected_events(call.request_id)
        parts = [f"id: {n}\ndata: {data}\n\n" for n, data in enumerate(text, 1)]
        if call.body != "".join(parts).encode():
            yield f"{call.request_id} got {call.body[:60]!r}"
        if call.seal != f"seal-{call.request_id}":
            yield f"{call.request_id} got the server seal {call.seal!r}"


@CHECKS.register("asked_for")
def only_asked_for_requests_run(evidence: Evidence) -> Iterator[str]:
    """Yield ids that ran at a target although no caller sent them."""
    asked = {call.request_id for call in evidence.online}
    asked.update(item for job in evidence.jobs for item in job.item_ids)
    for request_id in evidence.run_counts().keys() - asked:
        yield f"{request_id!r} ran"


@CHECKS.register("customer_named")
def targets_are_told_the_customer(evidence: Evidence) -> Iterator[str]:
    """Yield requests and items that came under another name, or with a key."""
    for target in evidence.targets if evidence.names_customers else ():
        for arrival in target.arrivals:
            expected = (("x-chivespan-tenant", customer_of(arrival.request_id)),)
            if arrival.identity != expected:
                yield f"{arrival.request_id} came with {arrival.identity}"


@CHECKS.register("refused_job")
def refused_jobs_never_run(evidence: Evidence) -> Iterator[str]:
    """Yield items that ran although every submission of their job was refused."""
    run_counts = evidence.run_counts()
    for job in evidence.jobs:
        if job.statuses and set(job.statuses) <= NOT_RUN_STATUSES:
            for item in job.item_ids:
                if item in run_counts:
                    yield f"{item} ran"


@CHECKS.register("job_kept")
def accepted_jobs_complete(evidence: Evidence) -> Iterator[str]:
    """Yield accepted jobs that were lost or did not complete."""
    for job in evidence.jobs:
        if job.accepted and not job.end_requested and not job.complete:
            yield f"{job.job_id} has {len(job.results)} of {job.items} results"


@CHECKS.register("fixed_result")
def results_are_stable(evidence: Evidence) -> Iterator[str]:
    """Yield results that changed or disappeared, and items with several results."""
    for job in evidence.jobs:
        for position in job.changed:
            yield f"{job.job_id} changed at {position}"
        for position in job.missing:
            yield f"{job.job_id} lost position {position}"
        ids = [item_id for item_id, _, _ in job.results.values()]
        for item_id in {each for each in ids if ids.count(each) > 1}:
            yield f"{item_id} has more than one result"


@CHECKS.register("whole_result")
def results_are_complete(evidence: Evidence) -> Iterator[str]:
    """Yield results that differ from the complete text of their item."""
    for job in evidence.jobs:
        for item_id, state, text in job.results.values():
            if item_id not in job.item_ids:
                yield f"{job.job_id} lists {item_id}"
            if state == "completed" and text.split("\n") != evidence.expected_events(
                item_id
            ):
                yield f"{item_id} has {text[:60]!r}"


@CHECKS.register("end_stops")
def ended_jobs_stop(evidence: Evidence) -> Iterator[str]:
    """Yield items that reached a target too long after the end of their job."""
    ended = {
        item: job.ended_at + END_DELAY_S
        for job in evidence.jobs
        if job.ended_at is not None
        for item in job.item_ids
    }
    for target in evidence.targets:
        for arrival in target.arrivals:
            if arrival.at > ended.get(arrival.request_id, arrival.at):
                yield f"{arrival.request_id} reached a target after its end"


@CHECKS.register("version_rises")
def versions_never_decrease(evidence: Evidence) -> Iterator[str]:
    """Yield node processes that applied an older configuration than before."""
    yield from evidence.version_regressions


@CHECKS.register("no_exit")
def processes_keep_running(evidence: Evidence) -> Iterator[str]:
    """Yield node processes that exited unexpectedly."""
    yield from evidence.unexpected_exits
