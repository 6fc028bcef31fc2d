"""Compares what callers were told with what targets really did.

Each check covers one promise. A check takes the whole witness of a session and yields
what is wrong; tests call ``violations`` and expect none.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from standins.enginetext import whole_text
from standins.journal import Entry


@dataclass(frozen=True)
class GeneratedAnswer:
    """What a caller got for a prompt; every prompt of a session is its own.

    :param ended: ``done`` with the end mark, ``error`` said so, or ``cut``.
    :param was_run: what the error says, ``no`` or ``unknown``; empty without one.
    :param across_shutdown: in progress when its VM was told to leave.
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
    """What a caller got for one call of a plain service; every body is its own."""

    body: str
    path: str
    status: int
    code: str = ""
    was_run: str = ""
    answer: bytes = b""


@dataclass(frozen=True)
class ItemRead:
    """One result that a caller read."""

    item_key: str
    ok: bool
    text: str


@dataclass(frozen=True)
class ObservedJob:
    """A job and every time its results were read.

    :param prompts: prompt of each item by its key.
    :param stopped_at: wall time by which a cancelled job must have stopped.
    """

    job_id: str
    prompts: Mapping[str, str]
    max_tokens: int
    reads: Sequence[Sequence[ItemRead]]
    finished: bool = True
    stopped_at: float | None = None


@dataclass(frozen=True)
class LeavingTarget:
    """A target that was leaving, and when it may get nothing new any more."""

    address: str
    after: float


@dataclass(frozen=True)
class FirstTokenWait:
    """An online request's time to its first token beside batch work, in seconds."""

    prompt: str
    first_token: float
    bound: float


@dataclass
class Observations:
    """Everything seen of one session.

    :param config_offsets: configuration offsets in force by VM, in the order seen.
    :param not_repeatable: bodies of calls that may not be repeated.
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
        """Yield every request that a target began to run."""
        for entries in self.journals.values():
            yield from (entry for entry in entries if entry.event == "start")


Check = Callable[[Observations], Iterator[str]]
CHECKS: dict[str, Check] = {}


def _promise(check: Check) -> Check:
    CHECKS[check.__name__] = check
    return check


def violations(observations: Observations) -> list[str]:
    """Return what is wrong, each with the name of its check."""
    return [
        f"{name}: {fault}"
        for name, check in CHECKS.items()
        for fault in check(observations)
    ]


@_promise
def whole_and_own(observations: Observations) -> Iterator[str]:
    """A finished answer is whole; any other is a part of its own and says so."""
    for got in observations.generated:
        whole = whole_text(got.prompt, got.max_tokens)
        if got.ended == "cut":
            yield f"{got.prompt!r} ended without end mark or error"
        if got.ended == "done" and got.text != whole:
            yield f"{got.prompt!r} got {got.text!r} instead of {whole!r}"
        if not whole.startswith(got.text):
            yield f"{got.prompt!r} got another's text {got.text!r}"
    for call in observations.calls:
        if call.status < 400 and call.body.encode() not in call.answer:
            yield f"call {call.body!r} got another's answer {call.answer!r}"


@_promise
def refused_was_not_run(observations: Observations) -> Iterator[str]:
    """A request refused as not run is in no journal."""
    ran = {entry.detail for entry in observations.starts()}
    refused = [got.prompt for got in observations.generated if got.was_run == "no"]
    refused += [call.body for call in observations.calls if call.was_run == "no"]
    for request in refused:
        if request in ran:
            yield f"{request!r} was refused as not run, and ran"


@_promise
def at_most_once(observations: Observations) -> Iterator[str]:
    """A call that may not be repeated began at most once."""
    starts = Counter(entry.detail for entry in observations.starts())
    for body in observations.not_repeatable:
        if starts[body] > 1:
            yield f"{body!r} ran {starts[body]} times"


@_promise
def answered_was_run(observations: Observations) -> Iterator[str]:
    """A good answer has a run behind it."""
    ran = {entry.detail for entry in observations.starts()}
    answered = [got.prompt for got in observations.generated if got.ended == "done"]
    answered += [call.body for call in observations.calls if call.status < 400]
    for request in answered:
        if request not in ran:
            yield f"{request!r} was answered and never ran"


@_promise
def one_result_per_item(observations: Observations) -> Iterator[str]:
    """Every item of a finished job has one result, and it is its own."""
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
                whole = whole_text(job.prompts[item.item_key], job.max_tokens)
                if item.ok and item.text != whole:
                    yield f"job {job.job_id}: item {item.item_key} isn't its own"


@_promise
def results_stay(observations: Observations) -> Iterator[str]:
    """A result once read reads the same afterwards."""
    for job in observations.jobs:
        for earlier, later in pairwise(job.reads):
            for item in set(earlier) - set(later):
                yield f"job {job.job_id}: item {item.item_key} changed or went"


@_promise
def cancelled_job_stops(observations: Observations) -> Iterator[str]:
    """No item of a cancelled job begins after the job must have stopped."""
    for job in observations.jobs:
        for entry in observations.starts():
            own = entry.detail in job.prompts.values()
            if own and job.stopped_at is not None and entry.at > job.stopped_at:
                yield f"job {job.job_id}: {entry.detail!r} began after the cancel"


@_promise
def nothing_to_a_leaving_target(observations: Observations) -> Iterator[str]:
    """A leaving target gets nothing new after its time."""
    for left in observations.leaving_targets:
        for entry in observations.journals.get(left.address, ()):
            if entry.event == "start" and entry.at > left.after:
                yield f"{left.address} got {entry.detail!r} after it left"


@_promise
def shutdown_cuts_nothing(observations: Observations) -> Iterator[str]:
    """A request in progress when its VM is told to leave is answered whole."""
    for got in observations.generated:
        if got.across_shutdown and got.ended != "done":
            yield f"{got.prompt!r} was cut by a shutdown"


@_promise
def versions_only_rise(observations: Observations) -> Iterator[str]:
    """The configuration in force never reverts."""
    for vm, offsets in observations.config_offsets.items():
        for earlier, later in pairwise(offsets):
            if later < earlier:
                yield f"{vm} went from {earlier} back to {later}"


@_promise
def online_before_batch(observations: Observations) -> Iterator[str]:
    """An online request's first token doesn't wait for batch work."""
    for waited in observations.first_token_waits:
        if waited.first_token > waited.bound:
            yield f"{waited.prompt!r} waited {waited.first_token:.3f} s"
