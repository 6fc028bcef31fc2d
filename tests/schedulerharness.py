"""One scheduler on a manual clock, with everything that its tests look at."""

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
TURNS = 8
MILLISECOND = timedelta(milliseconds=1)


@dataclass(eq=False)
class SubmittedRequest:
    """One request and what came of it."""

    request: GrantRequest
    grant: Grant | None = None
    error: ChivespanError | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    ended: bool = False


async def settle() -> None:
    """Give every task the turns it needs to come to rest; no time passes."""
    for _ in range(TURNS):
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
    """A scheduler over a few targets; requests are tasks of ``tasks``."""

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
        self.asked: list[SubmittedRequest] = []
        self.policies = policies or Policies(headroom_cooldown=timedelta(0))
        self.configuration = Configuration()
        defaults = [rule(owner, each) for owner in ("a", "b") for each in WorkClass]
        for document in (*defaults, *rules):
            document_id = DocumentId(DocumentKind.rule, document.name)
            self.configuration.put(document_id, StoredDocument(document, 1, 0))
        self.part = Slice("lm/a/0", "lm", "a", tuple(runners))
        self.scheduler = SliceScheduler(
            self.part,
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
        return [each for each in self.asked if each.grant is not None]

    def counts(self) -> Counter[str]:
        """Return how many grants each target has."""
        return Counter(each.grant.target for each in self.held if each.grant)

    def advance(self, step: timedelta) -> None:
        self.clock.advance(step)
        self.scheduler.expire()

    async def ask(
        self, work_class: WorkClass, owner: str = "a", **fields: object
    ) -> SubmittedRequest:
        """Start a request, and let it come as far as it can."""
        request = GrantRequest(
            request_id=f"q{len(self.asked)}",
            slice_id=self.part.slice_id,
            service="lm",
            model="m",
            owner=owner,
            work_class=work_class,
            deadline_ms=60_000,
            tokens=10,
        )
        asked = SubmittedRequest(replace(request, **fields))  # type: ignore[arg-type]
        self.asked.append(asked)
        self._tasks.start_soon(self._acquire, asked)
        await settle()
        return asked

    async def release(
        self, asked: SubmittedRequest, outcome: Outcome = Outcome.done
    ) -> None:
        assert asked.grant is not None
        release = GrantRelease(
            grant_id=asked.grant.grant_id, outcome=outcome, tokens=10
        )
        asked.grant = None
        self.scheduler.release(release)
        await settle()

    def report(self, *grants: SubmittedRequest, holder: str = HOLDER) -> HeldGrants:
        """Report grants to the scheduler as their holder would."""
        held = HeldGrants(
            slice_id=self.part.slice_id,
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

    async def _acquire(self, asked: SubmittedRequest) -> None:
        with asked.scope:
            try:
                asked.grant = await self.scheduler.acquire(asked.request, HOLDER)
            except ChivespanError as error:
                asked.error = error
        asked.ended = True
