"""Test oracle: compares the responses callers received with the targets' journals.

Each check verifies one guarantee. It takes all observations of a test session and
yields a description of every violation; tests assert that ``violations`` returns none.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from standins.enginetext import full_text
from standins.journal import Entry


@dataclass(frozen=True)
class GeneratedAnswer:
    """The answer to a prompt; prompts are unique within a session.

    :param ended: ``done`` after the end marker, ``error`` after an error response, or
        ``cut`` if the connection closed without either.
    :param was_run: the error's ``was_run``, ``no`` or ``unknown``; empty without error.
    :param across_shutdown: whether it was in progress when its VM began to shut down.
    """

    prompt: str
    max_tokens: int
    text: str
    ended: str
    code: str = ""
    was_run: str = ""
    across_shutdown: bool = False


@dataclass(frozen=True)
class CallAnswer:
    """The response to a plain service call; request bodies are unique in a session."""

    body: str
    path: str
    status: int
    code: str = ""
    was_run: str = ""
    answer: bytes = b""


@dataclass(frozen=True)
class ItemRead:
    """One item result as read by a caller."""

    item_key: str
    ok: bool
    text: str


@dataclass(frozen=True)
class ObservedJob:
    """A batch job and its results as returned by each read.

    :param prompts: prompt of each item by item key.
    :param reads: the item results that each read returned, in order of the reads.
    :param stopped_at: wall time after which no item of a cancelled job may start.
    """

    job_id: str
    prompts: Mapping[str, str]
    max_tokens: int
    reads: Sequence[Sequence[ItemRead]]
    finished: bool = True
    stopped_at: float | None = None


@dataclass(frozen=True)
class LeavingTarget:
    """A leaving target and the wall time after which it may get no new request."""

    address: str
    after: float


@dataclass(frozen=True)
class FirstTokenWait:
    """Time to first token of an online request under batch load, in seconds."""

    prompt: str
    first_token: float
    bound: float


@dataclass
class Observations:
    """Everything observed in one test session.

    :param config_offsets: configuration offsets applied by each VM, in order.
    :param not_repeatable: request bodies of non-idempotent calls.
    """

    generated: list[GeneratedAnswer] = field(default_factory=list)
    calls: list[CallAnswer] = field(default_factory=list)
    jobs: list[ObservedJob] = field(default_factory=list)
    leaving_targets: list[LeavingTarget] = field(default_factory=list)
    first_token_waits: list[FirstTokenWait] = field(default_factory=list)
    config_offsets: dict[str, list[int]] = field(default_factory=dict)
    not_repeatable: list[str] = field(default_factory=list)
    journals: dict[str, Sequence[Entry]] = field(default_factory=dict)

    def starts(self) -> Iterator[Entry]:
        """Yield the start entry of every request in the targets' journals."""
        for entries in self.journals.values():
            yield from (entry for entry in entries if entry.event == "start")


Check = Callable[[Observations], Iterator[str]]
CHECKS: dict[str, Check] = {}


def _register(check: Check) -> Check:
    CHECKS[check.__name__] = check
    return check


def violations(observations: Observations) -> list[str]:
    """Return all violations, each prefixed with the name of its check."""
    return [
        f"{name}: {fault}"
        for name, check in CHECKS.items()
        for fault in check(observations)
    ]


@_register
def answer_matches_request(observations: Observations) -> Iterator[str]:
    """A complete answer matches its request; a partial one is a prefix and an error."""
    for answer in observations.generated:
        expected = full_text(answer.prompt, answer.max_tokens)
        if answer.ended == "cut":
            yield f"{answer.prompt!r} ended without end mark or error"
        if answer.ended == "done" and answer.text != expected:
            yield f"{answer.prompt!r} got {answer.text!r} instead of {expected!r}"
        if not expected.startswith(answer.text):
            yield f"{answer.prompt!r} got the text of another request: {answer.text!r}"
    for call in observations.calls:
        if call.status < 400 and call.body.encode() not in call.answer:
            yield f"call {call.body!r} got another call's answer: {call.answer!r}"


@_register
def refused_request_never_ran(observations: Observations) -> Iterator[str]:
    """A request refused with ``was_run`` set to ``no`` is in no journal."""
    ran = {entry.detail for entry in observations.starts()}
    refused = [
        answer.prompt for answer in observations.generated if answer.was_run == "no"
    ]
    refused += [call.body for call in observations.calls if call.was_run == "no"]
    for request in refused:
        if request in ran:
            yield f"{request!r} was refused as not run, but ran"


@_register
def at_most_once(observations: Observations) -> Iterator[str]:
    """A non-idempotent call started at most once."""
    starts = Counter(entry.detail for entry in observations.starts())
    for body in observations.not_repeatable:
        if starts[body] > 1:
            yield f"{body!r} ran {starts[body]} times"


@_register
def answered_request_ran(observations: Observations) -> Iterator[str]:
    """Every request answered with success was run by a target."""
    ran = {entry.detail for entry in observations.starts()}
    answered = [
        answer.prompt for answer in observations.generated if answer.ended == "done"
    ]
    answered += [call.body for call in observations.calls if call.status < 400]
    for request in answered:
        if request not in ran:
            yield f"{request!r} was answered, but never ran"


@_register
def one_result_per_item(observations: Observations) -> Iterator[str]:
    """Every item of a finished job has exactly one result, for its own prompt."""
    for job in observations.jobs:
        for read in job.reads:
            counts = Counter(item.item_key for item in read)
            for key, count in counts.items():
                if count > 1:
                    yield f"job {job.job_id}: item {key} has {count} results"
            if job.finished and set(counts) != set(job.prompts):
                missing = sorted(set(job.prompts) ^ set(counts))
                yield f"job {job.job_id}: results differ from items by {missing}"
            for item in read:
                if item.item_key not in job.prompts:
                    continue
                expected = full_text(job.prompts[item.item_key], job.max_tokens)
                if item.ok and item.text != expected:
                    yield f"job {job.job_id}: item {item.item_key} has a wrong result"


@_register
def results_never_change(observations: Observations) -> Iterator[str]:
    """Once read, a result is the same in every later read."""
    for job in observations.jobs:
        for earlier, later in pairwise(job.reads):
            for item in set(earlier) - set(later):
                yield f"job {job.job_id}: item {item.item_key} changed or disappeared"


@_register
def cancelled_job_stops(observations: Observations) -> Iterator[str]:
    """No item of a cancelled job starts after ``stopped_at``."""
    for job in observations.jobs:
        for entry in observations.starts():
            own = entry.detail in job.prompts.values()
            if own and job.stopped_at is not None and entry.at > job.stopped_at:
                yield f"job {job.job_id}: {entry.detail!r} started after cancellation"


@_register
def leaving_target_gets_no_requests(observations: Observations) -> Iterator[str]:
    """A leaving target gets no new request after its deadline."""
    for target in observations.leaving_targets:
        for entry in observations.journals.get(target.address, ()):
            if entry.event == "start" and entry.at > target.after:
                yield f"{target.address} got {entry.detail!r} after its deadline"


@_register
def shutdown_completes_requests(observations: Observations) -> Iterator[str]:
    """A request in progress when its VM starts to shut down still completes."""
    for answer in observations.generated:
        if answer.across_shutdown and answer.ended != "done":
            yield f"{answer.prompt!r} was cut by a shutdown"


@_register
def config_offset_never_decreases(observations: Observations) -> Iterator[str]:
    """A VM never goes back to an older configuration."""
    for vm, offsets in observations.config_offsets.items():
        for earlier, later in pairwise(offsets):
            if later < earlier:
                yield f"{vm} went from {earlier} back to {later}"


@_register
def online_before_batch(observations: Observations) -> Iterator[str]:
    """Batch work doesn't delay an online request's first token beyond the bound."""
    for wait in observations.first_token_waits:
        if wait.first_token > wait.bound:
            yield f"{wait.prompt!r} waited {wait.first_token:.3f} s"
