"""A scheduler on a manual clock, with the state that its tests inspect."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio
from anyio import lowlevel
from anyio.abc import TaskGroup

from chivespan.clock import ManualClock
from chivespan.configuration import Configuration, DocumentId, StoredDocument
from chivespan.documents import DocumentKind, Rule, Runner, WorkClassRule
from chivespan.errors import ChivespanError
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    HeldGrant,
    HeldGrants,
    Outcome,
    WorkClass,
)
from chivespan.policies import Policies
from chivespan.scheduler import SliceScheduler
from chivespan.slices import Slice

HOLDER = "10.0.0.1/entry"
SLOTS = 2
SCHEDULER_TURNS = 8
MILLISECOND = timedelta(milliseconds=1)


@dataclass(eq=False)
class SubmittedRequest:
    """A submitted request and its result."""

    request: GrantRequest
    grant: Grant | None = None
    error: ChivespanError | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    ended: bool = False


async def settle() -> None:
    """Yield until every task is blocked; the manual clock does not advance."""
    for _ in range(SCHEDULER_TURNS):
        await lowlevel.checkpoint()


def runner(index: int, slots: int = SLOTS) -> Runner:
    return Runner(
        name=f"r{index}",
        service="lm",
        address=f"127.0.1.{index}:80",
        data_centre="a",
        slots=slots,
        model="m",
    )


def rule(owner: str, work_class: WorkClass, **limits: int) -> Rule:
    return Rule(
        name=f"{owner}-{work_class.value}",
        owner=owner,
        service="lm",
        work_class=WorkClassRule(work_class.value),
        **limits,
    )


class SchedulerHarness:
    """Runs a scheduler over a few targets; each request is a task of ``tasks``.

    :param recovering: start in the recovery phase instead of after it.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        runners: Sequence[Runner] = (runner(0),),
        rules: Sequence[Rule] = (),
        policies: Policies | None = None,
        *,
        recovering: bool = False,
    ) -> None:
        self.clock = ManualClock()
        self.revoked: list[str] = []
        self.submitted: list[SubmittedRequest] = []
        self.policies = policies or Policies(headroom_cooldown=timedelta(0))
        self.configuration = Configuration()
        defaults = [rule(owner, each) for owner in ("a", "b") for each in WorkClass]
        for document in (*defaults, *rules):
            document_id = DocumentId(DocumentKind.rule, document.name)
            self.configuration.put(document_id, StoredDocument(document, 1, 0))
        self.slice_ = Slice("lm/a/0", "lm", "a", tuple(runners))
        self.scheduler = SliceScheduler(
            self.slice_,
            self.configuration,
            self.clock,
            self.policies,
            lambda _holder, grant_id: self.revoked.append(grant_id),
        )
        self._tasks = tasks
        if not recovering:
            self.advance(self.policies.grant_lifetime)

    @property
    def held(self) -> list[SubmittedRequest]:
        """The requests that hold a grant."""
        return [each for each in self.submitted if each.grant is not None]

    def counts(self) -> Counter[str]:
        """Return the number of grants on each target."""
        return Counter(each.grant.target for each in self.held if each.grant)

    def advance(self, step: timedelta) -> None:
        self.clock.advance(step)
        self.scheduler.expire()

    async def submit(
        self, work_class: WorkClass, owner: str = "a", **fields: object
    ) -> SubmittedRequest:
        """Start a request and run it until it is blocked or has ended."""
        request = GrantRequest(
            request_id=f"q{len(self.submitted)}",
            slice_id=self.slice_.slice_id,
            service="lm",
            model="m",
            owner=owner,
            work_class=work_class,
            deadline_ms=60_000,
            tokens=10,
        )
        submitted = SubmittedRequest(replace(request, **fields))  # type: ignore[arg-type]
        self.submitted.append(submitted)
        self._tasks.start_soon(self._acquire, submitted)
        await settle()
        return submitted

    async def release(
        self, submitted: SubmittedRequest, outcome: Outcome = Outcome.done
    ) -> None:
        assert submitted.grant is not None
        release = GrantRelease(
            grant_id=submitted.grant.grant_id, outcome=outcome, tokens=10
        )
        submitted.grant = None
        self.scheduler.release(release)
        await settle()

    def report(self, *grants: SubmittedRequest, holder: str = HOLDER) -> HeldGrants:
        """Report grants to the scheduler as their holder would."""
        held = HeldGrants(
            slice_id=self.slice_.slice_id,
            grants=[
                HeldGrant(
                    grant_id=each.grant.grant_id,
                    target=each.grant.target,
                    owner=each.request.owner,
                    work_class=each.request.work_class,
                )
                for each in grants
                if each.grant is not None
            ],
        )
        self.scheduler.report(holder, held)
        return held

    async def _acquire(self, submitted: SubmittedRequest) -> None:
        with submitted.scope:
            try:
                submitted.grant = await self.scheduler.acquire(
                    submitted.request, HOLDER
                )
            except ChivespanError as error:
                submitted.error = error
        submitted.ended = True
