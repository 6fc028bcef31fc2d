"""Grants the slots of one slice's targets, for the dispatcher that owns the slice.

Online requests go first, by deadline. Batch gets slots that no online request waits
for, and gives them back as soon as one does. A request that can't be served in time
is refused at once.
"""

import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from typing import NoReturn

import anyio

from chivespan.clock import Clock
from chivespan.configuration import Configuration
from chivespan.documents import Rule
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.grantbook import GrantBook, LiveGrant, UsageBook
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    HeldGrants,
    Outcome,
    SliceLoad,
    TargetStatus,
    UsageCount,
    WorkClass,
)
from chivespan.policies import Policies
from chivespan.slices import Slice
from chivespan.targetstate import TargetState

TICK = timedelta(milliseconds=20)
MILLISECOND = timedelta(milliseconds=1)
MIN_RETRY_AFTER = timedelta(milliseconds=100)
FIRST_HOLD_GUESS = timedelta(seconds=1)
HOLD_SMOOTHING = 0.1
CAREFUL_SHARE = 4


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a slot.

    :param deadline: monotonic time after which a grant is of no use.
    """

    request: GrantRequest
    holder: str
    deadline: timedelta
    woken: anyio.Event = field(default_factory=anyio.Event)
    grant: Grant | None = None
    error: ChivespanError | None = None

    @property
    def settled(self) -> bool:
        """Whether a grant or a refusal was decided."""
        return self.grant is not None or self.error is not None


@dataclass(frozen=True, slots=True)
class _RuleKey:
    owner: str
    work_class: str


class SliceScheduler:
    """The one granter of a slice's slots."""

    def __init__(
        self,
        part: Slice,
        configuration: Configuration,
        clock: Clock,
        policies: Policies,
        revoke: Callable[[str, str], None],
    ) -> None:
        self._clock = clock
        self._policies = policies
        self._revoke = revoke
        self._grants = GrantBook()
        self._usage = UsageBook(part.service)
        self._targets: dict[str, TargetState] = {}
        self._online: list[Waiter] = []
        self._batch: list[Waiter] = []
        self._mean_hold = FIRST_HOLD_GUESS
        self._id_prefix = secrets.token_hex(4)
        self._id_counter = count()
        self._careful_until = clock.monotonic() + policies.grant_lifetime
        self._unreported: set[str] | None = None
        self.reconfigure(part, configuration)

    @property
    def careful(self) -> bool:
        """Whether grants of an earlier owner may still be out unseen."""
        return self._unreported is None or bool(self._unreported)

    def reconfigure(self, part: Slice, configuration: Configuration) -> None:
        """Take over a change of the slice's targets or of the rules."""
        self._part = part
        self._rules = {
            _RuleKey(rule.owner, rule.work_class.value): rule
            for rule in configuration.rules.values()
            if rule.service == part.service
        }
        listed = {runner.name: runner for runner in part.runners}
        for target in self._targets.values():
            target.in_inventory = target.name in listed
        for name, runner in listed.items():
            if name in self._targets:
                self._targets[name].runner = runner
            else:
                self._targets[name] = TargetState(runner)
        self._grant_waiting()

    def expect_reports(self, holders: Iterable[str]) -> None:
        """End the careful phase early once all these holders have reported."""
        self._unreported = set(holders)

    async def acquire(self, request: GrantRequest, holder: str) -> Grant:
        """Wait for a slot.

        :raises ChivespanError: as soon as it is clear that there will be none in time.
        """
        deadline = self._clock.monotonic() + request.deadline_ms * MILLISECOND
        waiter = Waiter(request, holder, deadline)
        self._admit(waiter)
        try:
            await waiter.woken.wait()
        except BaseException:
            self._give_up(waiter)
            raise
        if waiter.grant is None:
            raise waiter.error or self._refusal(waiter, ErrorKind.CANCELLED)
        return waiter.grant

    def abandon(self, request_id: str) -> None:
        """Forget a waiting request."""
        for waiter in [*self._online, *self._batch]:
            if waiter.request.request_id == request_id:
                self._settle(waiter, error=self._refusal(waiter, ErrorKind.CANCELLED))

    def release(self, release: GrantRelease) -> None:
        """Take a slot back; a grant that lapsed before is ignored."""
        grant = self._grants.pop(release.grant_id)
        if grant is None:
            return
        held = self._clock.monotonic() - grant.granted_at
        self._free(grant)
        if release.outcome is not Outcome.not_sent:
            self._usage.record_use(grant, release.tokens, held)
        if grant.work_class is WorkClass.online and release.outcome is Outcome.done:
            self._mean_hold += (held - self._mean_hold) * HOLD_SMOOTHING
        self._grant_waiting()

    def report(self, holder: str, held: HeldGrants) -> None:
        """Take a holder's word for what it holds."""
        now = self._clock.monotonic()
        named = {grant.grant_id for grant in held.grants}
        for known in self._grants.of_holder(holder):
            age = now - known.granted_at
            if known.grant_id in named:
                known.lapses_at = None
            elif age > self._policies.grant_lifetime:
                self._take_back(known)
        for reported in held.grants:
            if (
                reported.grant_id in self._grants
                or reported.target not in self._targets
            ):
                continue
            self._targets[reported.target].counts[reported.work_class] += 1
            self._grants.add(
                LiveGrant(
                    reported.grant_id,
                    reported.target,
                    holder,
                    reported.owner,
                    reported.work_class,
                    now,
                )
            )
        if self._unreported is not None:
            self._unreported.discard(holder)
        self._grant_waiting()

    def holder_lost(self, holder: str) -> None:
        """Let a holder's grants lapse unless it comes back and reports them."""
        lapses_at = self._clock.monotonic() + self._policies.grant_lifetime
        for grant in self._grants.of_holder(holder):
            grant.lapses_at = lapses_at
        for waiter in [*self._online, *self._batch]:
            if waiter.holder == holder:
                self._settle(waiter, error=self._refusal(waiter, ErrorKind.CANCELLED))

    def load(self) -> SliceLoad:
        """Return the slice's load as counted here."""
        usable = [target for target in self._targets.values() if target.usable]
        return SliceLoad(
            slice_id=self._part.slice_id,
            free_slots=sum(max(0, target.free) for target in usable),
            total_slots=sum(target.runner.slots for target in usable),
            queued_online=len(self._online),
            batch_running=sum(target.counts[WorkClass.batch] for target in usable),
        )

    def statuses(self) -> list[TargetStatus]:
        """Return every target as operators see it."""
        slice_id = self._part.slice_id
        return [target.status(slice_id) for target in self._targets.values()]

    def usage(self) -> list[UsageCount]:
        """Return what each owner consumed since this owner of the slice started."""
        return self._usage.counts()

    async def run(self) -> None:
        """Keep times: lapsing grants, deadlines, the end of the careful phase."""
        while True:
            await anyio.sleep(TICK.total_seconds())
            self.expire()

    def expire(self) -> None:
        """Do all that is due by now."""
        now = self._clock.monotonic()
        if now >= self._careful_until:
            self._unreported = set()
        for grant in self._grants.lapsed(now):
            self._take_back(grant)
        for waiter in [*self._online, *self._batch]:
            if waiter.deadline <= now:
                error = self._refusal(waiter, ErrorKind.DEADLINE_PASSED)
                self._settle(waiter, error=error)
        self._grant_waiting()

    def _admit(self, waiter: Waiter) -> None:
        """Queue a request, or refuse it.

        :raises ChivespanError: the refusal.
        """
        request = waiter.request
        rule = self._rules.get(_RuleKey(request.owner, request.work_class.value))
        if rule is None:
            self._refuse(waiter, ErrorKind.NO_RULE)
        if self._over_limit(request, rule):
            self._refuse(waiter, ErrorKind.OWNER_LIMIT)
        if not any(self._suits(target, request) for target in self._targets.values()):
            self._refuse(waiter, ErrorKind.NO_TARGET)
        queue = self._queue(request.work_class)
        queue.append(waiter)
        queue.sort(key=lambda waiting: waiting.deadline)
        self._grant_waiting()
        if not waiter.settled and request.work_class is WorkClass.online:
            wait = self._expected_wait(queue.index(waiter))
            if self._clock.monotonic() + wait > waiter.deadline:
                queue.remove(waiter)
                self._refuse(waiter, ErrorKind.NO_CAPACITY)

    def _over_limit(self, request: GrantRequest, rule: Rule) -> bool:
        if rule.max_in_progress == 0:
            return False
        running = self._grants.in_progress(request.owner, request.work_class)
        return running >= rule.max_in_progress

    def _suits(self, target: TargetState, request: GrantRequest) -> bool:
        return (
            target.usable
            and target.serves(request.model)
            and target.name not in request.excluded
        )

    def _grant_waiting(self) -> None:
        for waiter in [*self._online, *self._batch]:
            target = self._choose(waiter.request)
            if target is not None:
                self._give(waiter, target)
        self._revoke_for_online()

    def _choose(self, request: GrantRequest) -> TargetState | None:
        fitting = [
            target
            for target in self._targets.values()
            if self._suits(target, request) and self._open_slots(target, request) > 0
        ]
        return max(fitting, key=lambda target: target.free, default=None)

    def _open_slots(self, target: TargetState, request: GrantRequest) -> int:
        """Return how many slots of a target a request of this class may take from."""
        if request.work_class is WorkClass.batch and (self._online or self.careful):
            return 0
        if not self.careful:
            return target.free
        return max(1, target.runner.slots // CAREFUL_SHARE) - target.used

    def _give(self, waiter: Waiter, target: TargetState) -> None:
        request = waiter.request
        grant = Grant(
            request_id=request.request_id,
            grant_id=f"{self._id_prefix}-{next(self._id_counter)}",
            target=target.name,
            address=target.runner.address,
            lifetime_ms=round(self._policies.grant_lifetime / MILLISECOND),
        )
        target.counts[request.work_class] += 1
        self._grants.add(
            LiveGrant(
                grant.grant_id,
                target.name,
                waiter.holder,
                request.owner,
                request.work_class,
                self._clock.monotonic(),
            )
        )
        self._settle(waiter, grant=grant)

    def _revoke_for_online(self) -> None:
        """Take back one batch grant for each online request that waits."""
        revoked = sum(target.revoking for target in self._targets.values())
        wanted = len(self._online) - revoked
        if wanted <= 0:
            return
        now = self._clock.monotonic()
        running = [
            grant
            for grant in self._grants
            if grant.work_class is WorkClass.batch and not grant.revoked
        ]
        for grant in running[: -wanted - 1 : -1]:
            grant.revoked = True
            grant.lapses_at = now + self._policies.revoke_bound
            self._targets[grant.target].revoking += 1
            self._revoke(grant.holder, grant.grant_id)

    def _take_back(self, grant: LiveGrant) -> None:
        self._grants.pop(grant.grant_id)
        self._free(grant)

    def _free(self, grant: LiveGrant) -> None:
        target = self._targets[grant.target]
        target.counts[grant.work_class] -= 1
        if grant.revoked:
            target.revoking -= 1
        if not target.in_inventory and target.used == 0:
            del self._targets[target.name]

    def _queue(self, work_class: WorkClass) -> list[Waiter]:
        return self._online if work_class is WorkClass.online else self._batch

    def _expected_wait(self, place: int) -> timedelta:
        slots = max(1, self.load().total_slots)
        return self._mean_hold * ((place + 1) / slots)

    def _settle(
        self,
        waiter: Waiter,
        grant: Grant | None = None,
        error: ChivespanError | None = None,
    ) -> None:
        self._queue(waiter.request.work_class).remove(waiter)
        waiter.grant = grant
        waiter.error = error
        waiter.woken.set()

    def _give_up(self, waiter: Waiter) -> None:
        if waiter.grant is not None:
            release = GrantRelease(
                grant_id=waiter.grant.grant_id, outcome=Outcome.not_sent
            )
            self.release(release)
        elif not waiter.settled:
            self._queue(waiter.request.work_class).remove(waiter)

    def _refuse(self, waiter: Waiter, kind: ErrorKind) -> NoReturn:
        raise self._refusal(waiter, kind)

    def _refusal(self, waiter: Waiter, kind: ErrorKind) -> ChivespanError:
        request = waiter.request
        self._usage.record_refusal(request.owner, request.work_class)
        drained = self._expected_wait(len(self._queue(request.work_class)))
        return ChivespanError(
            kind,
            f"no slot of {self._part.slice_id} for request {request.request_id}",
            retry_after=max(MIN_RETRY_AFTER, drained),
            shares=self._grants.shares(),
        )
