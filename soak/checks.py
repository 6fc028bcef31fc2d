"""The promises that a soak checks, each from what callers and targets saw."""

from collections.abc import Callable, Iterator
from typing import TypeAlias

from chivespan.registry import Registry
from soak.evidence import NOT_RUN, Evidence

# Time between an acknowledged end and the last moment at which an item may start.
END_TAKES_EFFECT_S = 3.0

Check: TypeAlias = Callable[[Evidence], Iterator[str]]
CHECKS: Registry[Check] = Registry("soak check")


def violations(evidence: Evidence) -> list[str]:
    """Return what all checks found."""
    return [f"{name}: {found}" for name in CHECKS for found in CHECKS[name](evidence)]


@CHECKS.register("run_once")
def runs_only_once(evidence: Evidence) -> Iterator[str]:
    """Yield requests that may run only once and ran again."""
    runs = evidence.runs()
    for call in evidence.online:
        if call.once and runs.get(call.request_id, 0) > 1:
            yield f"{call.request_id} ran {runs[call.request_id]} times"


@CHECKS.register("true_refusal")
def refusals_are_true(evidence: Evidence) -> Iterator[str]:
    """Yield requests that ran though their caller was told that they never would."""
    runs = evidence.runs()
    for call in evidence.online:
        if call.once and call.status in NOT_RUN and call.request_id in runs:
            yield f"{call.request_id} was refused with {call.status} and ran"


@CHECKS.register("whole_answer")
def answers_are_whole(evidence: Evidence) -> Iterator[str]:
    """Yield answers that aren't the whole stream of their own request."""
    for call in evidence.online:
        if call.status != 200 or call.body is None:
            continue
        text = evidence.text_of(call.request_id)
        parts = [f"id: {n}\ndata: {data}\n\n" for n, data in enumerate(text, 1)]
        if call.body != "".join(parts).encode():
            yield f"{call.request_id} got {call.body[:60]!r}"
        if call.seal != f"seal-{call.request_id}":
            yield f"{call.request_id} got the mark {call.seal!r}"


@CHECKS.register("asked_for")
def only_asked_for_requests_run(evidence: Evidence) -> Iterator[str]:
    """Yield runs of ids that no caller sent."""
    asked = {call.request_id for call in evidence.online}
    asked.update(item for job in evidence.jobs for item in job.item_ids)
    for request_id in evidence.runs().keys() - asked:
        yield f"{request_id!r} ran"


@CHECKS.register("refused_job")
def refused_jobs_never_run(evidence: Evidence) -> Iterator[str]:
    """Yield items that ran of jobs that every answer refused."""
    runs = evidence.runs()
    for job in evidence.jobs:
        if job.statuses and set(job.statuses) <= NOT_RUN:
            for item in job.item_ids:
                if item in runs:
                    yield f"{item} ran"


@CHECKS.register("job_kept")
def accepted_jobs_are_done(evidence: Evidence) -> Iterator[str]:
    """Yield jobs that were accepted and are lost, or not done."""
    for job in evidence.jobs:
        if job.accepted and not job.end_asked and not job.whole:
            yield f"{job.job_id} has {len(job.listed)} of {job.items} results"


@CHECKS.register("fixed_result")
def results_stay(evidence: Evidence) -> Iterator[str]:
    """Yield results that changed or were gone, or items that have two."""
    for job in evidence.jobs:
        for position in job.changed:
            yield f"{job.job_id} changed at {position}"
        for position in job.missing:
            yield f"{job.job_id} lost position {position}"
        ids = [item_id for item_id, _, _ in job.listed.values()]
        for item_id in {each for each in ids if ids.count(each) > 1}:
            yield f"{item_id} stands twice"


@CHECKS.register("whole_result")
def results_are_whole(evidence: Evidence) -> Iterator[str]:
    """Yield results that aren't the whole text of their item."""
    for job in evidence.jobs:
        for item_id, state, text in job.listed.values():
            if item_id not in job.item_ids:
                yield f"{job.job_id} lists {item_id}"
            if state == "completed" and text.split("\n") != evidence.text_of(item_id):
                yield f"{item_id} has {text[:60]!r}"


@CHECKS.register("end_stops")
def ended_jobs_stop(evidence: Evidence) -> Iterator[str]:
    """Yield items that reached a target long after the end of their job."""
    ended = {
        item: job.ended_at + END_TAKES_EFFECT_S
        for job in evidence.jobs
        if job.ended_at is not None
        for item in job.item_ids
    }
    for target in evidence.targets:
        for arrival in target.arrivals:
            if arrival.at > ended.get(arrival.request_id, arrival.at):
                yield f"{arrival.request_id} reached a target after its end"


@CHECKS.register("version_rises")
def versions_only_rise(evidence: Evidence) -> Iterator[str]:
    """Yield processes that went back to an older configuration."""
    yield from evidence.version_falls


@CHECKS.register("no_exit")
def processes_stay(evidence: Evidence) -> Iterator[str]:
    """Yield processes that ended by themselves."""
    yield from evidence.exits
