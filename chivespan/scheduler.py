"""Grants the slots of one slice's targets, for the dispatcher that owns the slice.

Online requests go first. Batch gets slots that no online request waits for, within the
level in force, and gives them back as soon as one does. A request that can't be served
in time is refused at once.
"""

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

import anyio

from chivespan.batchcontrol import BatchControl
from chivespan.batchlevel import OnlineSample
from chivespan.clock import MICROSECOND, MILLISECOND, Clock
from chivespan.configuration import Configuration
from chivespan.documents import Service, ServiceKind
from chivespan.engineapi import EngineLoad
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.grantbook import LiveGrant, UsageBook
from chivespan.loadprobe import LoadProbe, probe_loads
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
from chivespan.ownerlimits import OwnerClass, OwnerLimits
from chivespan.policies import Policies
from chivespan.queueorder import QUEUE_ORDERS, WaitQueue
from chivespan.refusal import REFUSAL_POLICIES, DrainRate, WaitEstimate, retry_after
from chivespan.slices import Slice
from chivespan.slotpool import SlotPool
from chivespan.targetchoice import TARGET_CHOICES, ChoiceView, PrefixHints
from chivespan.targethealth import FAILED_OUTCOMES
from chivespan.targetstate import TargetState
from chivespan.waiting import Waiter

ONLINE_TICK = timedelta(milliseconds=20)
BATCH_TICK = timedelta(milliseconds=50)
IDLE_TICK = timedelta(milliseconds=500)


class SliceScheduler:
    """The one granter of a slice's slots.

    :param revoke: tells a holder, by name, to give a grant back.
    :param probe: asks targets for their load; None for targets that report none.
    """

    def __init__(
        self,
        part: Slice,
        configuration: Configuration,
        clock: Clock,
        policies: Policies,
        revoke: Callable[[str, str], None],
        probe: LoadProbe | None = None,
    ) -> None:
        self._clock = clock
        self._policies = policies
        self._probe = probe
        self._pool = SlotPool(clock, policies, revoke)
        self._limits = OwnerLimits(part, configuration)
        self._usage = UsageBook(part.service)
        self._online = WaitQueue(QUEUE_ORDERS[policies.online_order])
        self._batch = WaitQueue(QUEUE_ORDERS[policies.batch_order])
        self._choose = TARGET_CHOICES[policies.target_choice]
        self._refuses = REFUSAL_POLICIES[policies.refusal]
        self._control = BatchControl(policies)
        self._hints = PrefixHints()
        self._drain = DrainRate()
        self._closed = False
        self._queued = anyio.Event()
        self.reconfigure(part, configuration)

    def reconfigure(self, part: Slice, configuration: Configuration) -> None:
        """Take over a change of the slice's targets or of the rules."""
        self._part = part
        self._service = configuration.services.get(part.service) or Service(
            name=part.service, kind=ServiceKind.model
        )
        self._limits.reconfigure(part, configuration)
        self._pool.reconfigure(part)
        self._control.regroup(self._pool.targets.values())
        self._hints.keep_targets(self._pool.targets.keys())
        self._schedule()

    def expect_reports(self, holders: Iterable[str]) -> None:
        """End the careful phase early once all these holders have reported."""
        self._pool.expect_reports(set(holders))

    async def acquire(self, request: GrantRequest, holder: str) -> Grant:
        """Wait for a slot.

        :raises ChivespanError: as soon as it is clear that there will be none in time.
        """
        deadline = self._clock.monotonic() + request.deadline_ms * MILLISECOND
        waiter = Waiter(request, holder, deadline)
        self._admit(waiter)
        try:
            return await waiter.result()
        except BaseException:
            self._give_up(waiter)
            raise

    def abandon(self, request_id: str) -> None:
        """Forget a waiting request."""
        for waiter in self._waiting():
            if waiter.request.request_id == request_id:
                self._refuse(waiter, ErrorKind.CANCELLED)

    def release(self, release: GrantRelease) -> None:
        """Take a slot back; of a grant that lapsed before, nothing is counted."""
        grant = self._pool.give_back(release.grant_id)
        if grant is None:
            return
        now = self._clock.monotonic()
        self._limits.refund(grant.owner_class, grant.tokens - release.tokens)
        if release.outcome is not Outcome.not_sent:
            self._usage.record_use(grant, release.tokens, now - grant.granted_at)
        self._learn(grant, release, now)
        self._schedule()

    def report(self, holder: str, held: HeldGrants) -> None:
        """Take a holder's word for what it holds."""
        self._pool.report(holder, held)
        self._schedule()

    @property
    def targets(self) -> list[TargetState]:
        """The targets, those included that get nothing new."""
        return list(self._pool.targets.values())

    def target(self, name: str) -> TargetState | None:
        """Return a target by name."""
        return self._pool.targets.get(name)

    def hold(self, name: str) -> None:
        """Give a target nothing new, and take its batch back."""
        target = self._pool.targets.get(name)
        if target is None:
            return
        target.held = True
        target.refresh(self._clock.monotonic())
        for grant in self._pool.grants.standing_batch():
            if grant.target == name:
                self._pool.revoke(grant)
        self._schedule()

    def resume(self, name: str) -> None:
        """Let a target that was held have new work again."""
        target = self._pool.targets.get(name)
        if target is not None and target.held:
            target.held = False
            target.refresh(self._clock.monotonic())
            self._schedule()

    def report_load(self, target: str, load: EngineLoad) -> None:
        """Take in an engine's own report, which lags."""
        self._pool.report_load(target, load)
        self._schedule()

    def holder_lost(self, holder: str) -> None:
        """Let a holder's grants lapse unless it comes back and reports them."""
        self._pool.holder_lost(holder)
        for waiter in self._waiting():
            if waiter.holder == holder:
                self._refuse(waiter, ErrorKind.CANCELLED)

    def load(self) -> SliceLoad:
        """Return the slice's load as counted here."""
        return self._pool.load(self._part.slice_id, len(self._online))

    def statuses(self) -> list[TargetStatus]:
        """Return every target as operators see it."""
        slice_id = self._part.slice_id
        return [target.status(slice_id) for target in self._pool.targets.values()]

    def usage(self) -> list[UsageCount]:
        """Return what each owner consumed since this owner of the slice started."""
        return self._usage.counts()

    async def run(self) -> None:
        """Keep times: lapsing grants, deadlines, health, and reports of load.

        When cancelled, the slice is given up: whoever waits is told so at once.
        """
        try:
            async with anyio.create_task_group() as tasks:
                if self._probe is not None:
                    tasks.start_soon(
                        probe_loads, self._probe, lambda: self.targets, self.report_load
                    )
                while True:
                    await self._pause()
                    self.expire()
        finally:
            self._closed = True
            for waiter in self._waiting():
                self._refuse(waiter, ErrorKind.NO_DISPATCHER)

    async def _pause(self) -> None:
        """Wait for the next moment at which something may be due.

        A request that comes to an idle slice ends the pause, so that its own deadline
        is kept as closely as any other.
        """
        tick = IDLE_TICK
        if len(self._online):
            tick = ONLINE_TICK
        elif len(self._batch):
            tick = min(BATCH_TICK, self._relief_left())
        self._queued = anyio.Event()
        with anyio.move_on_after(tick.total_seconds()):
            await self._queued.wait()
            await anyio.sleep(ONLINE_TICK.total_seconds())

    def _relief_left(self) -> timedelta:
        """Return how long until batch may be back at the next target."""
        now = self._clock.monotonic()
        ends = [target.relieved_until for target in self._pool.serving]
        return min((end - now for end in ends if end > now), default=IDLE_TICK)

    def expire(self) -> None:
        """Do all that is due by now."""
        now = self._clock.monotonic()
        self._pool.lapse()
        self._pool.refresh()
        for waiter in [*self._online.overdue(now), *self._batch.overdue(now)]:
            self._refuse(waiter, ErrorKind.DEADLINE_PASSED)
        self._schedule()
        self._refuse_hopeless()

    def _admit(self, waiter: Waiter) -> None:
        """Grant, queue or refuse a new request."""
        request = waiter.request
        rule = self._limits.rule(request)
        self._queue(request.work_class).push(waiter, rule.weight if rule else 1)
        self._queued.set()
        if self._closed:
            self._refuse(waiter, ErrorKind.NO_DISPATCHER)
            return
        if rule is None:
            self._refuse(waiter, ErrorKind.NO_RULE)
            return
        if not any(True for _ in self._suitable(request)):
            self._refuse(waiter, ErrorKind.NO_TARGET)
            return
        delay = self._limit_delay(request)
        if delay is not None and request.work_class is WorkClass.online:
            self._refuse(waiter, ErrorKind.OWNER_LIMIT, delay)
            return
        self._schedule()
        if not waiter.settled:
            self._refuse_hopeless()

    def _suitable(self, request: GrantRequest) -> Iterator[TargetState]:
        """Yield the targets that may ever take a request."""
        for target in self._pool.serving:
            if target.serves(request.model) and target.name not in request.excluded:
                yield target

    def _schedule(self) -> None:
        """Give all slots that may be given, and take back what batch must yield."""
        now = self._clock.monotonic()
        self._give_to_online()
        queued = [waiter.request.model for waiter in self._online]
        self._control.update(queued, now)
        if self._control.yields:
            self._take_back_for_waiting()
            for grant in self._control.excess(self._pool.grants, now):
                self._pool.revoke(grant)
        if len(self._batch):
            self._give_to_batch(now)

    def _give_to_online(self) -> None:
        if not len(self._online):
            return
        if not any(self._control.online_room(each) > 0 for each in self._pool.serving):
            return
        for waiter in self._in_order(WorkClass.online):
            targets = [
                target
                for target in self._suitable(waiter.request)
                if self._control.online_room(target) > 0
            ]
            if targets:
                self._give(waiter, targets)

    def _take_back_for_waiting(self) -> None:
        """See that each waiting online request has a batch grant taken back for it."""
        if not len(self._online):
            return
        unclaimed = {target.name: target.promised for target in self._pool.serving}
        for waiter in self._in_order(WorkClass.online):
            targets = list(self._suitable(waiter.request))
            promised = [target for target in targets if unclaimed[target.name] > 0]
            if promised:
                unclaimed[promised[0].name] -= 1
                continue
            yielding = [target for target in targets if target.can_yield]
            if not yielding:
                continue
            target = self._choose(ChoiceView(waiter.request, yielding, self._hints))
            self._pool.revoke(self._youngest_batch(target))
            if self._policies.grant_on_revoke:
                self._give(waiter, [target])

    def _youngest_batch(self, target: TargetState) -> LiveGrant:
        standing = self._pool.grants.standing_batch()
        return next(grant for grant in standing if grant.target == target.name)

    def _give_to_batch(self, now: timedelta) -> None:
        wanted = [waiter.request for waiter in self._online]
        open_targets = {
            target.name
            for target in self._pool.serving
            if not target.careful
            and self._control.room(target, now) > 0
            and not any(target.serves(request.model) for request in wanted)
        }
        if not open_targets:
            return
        for waiter in self._in_order(WorkClass.batch):
            if self._limit_delay(waiter.request) is not None:
                continue
            targets = [
                target
                for target in self._suitable(waiter.request)
                if target.name in open_targets
            ]
            if targets:
                chosen = self._give(waiter, targets)
                if self._control.room(chosen, now) <= 0:
                    open_targets.discard(chosen.name)
            if not open_targets:
                return

    def _in_order(self, work_class: WorkClass) -> Iterator[Waiter]:
        return self._queue(work_class).in_order(
            lambda owner: self._pool.grants.held(OwnerClass(owner, work_class)),
            self._pool.total_slots,
        )

    def _give(self, waiter: Waiter, targets: list[TargetState]) -> TargetState:
        request = waiter.request
        now = self._clock.monotonic()
        view = ChoiceView(request, targets, self._hints)
        target = self._choose(view)
        if request.work_class is WorkClass.online and not view.hinted(target):
            target.relieved_until = now + self._policies.relief_time
        self._hints.record(request.prefix_hash, target.name)
        self._limits.charge(request, now)
        grant = self._pool.take(request, waiter.holder, target)
        self._queue(request.work_class).discard(waiter)
        waiter.give(grant)
        return target

    def _limit_delay(self, request: GrantRequest) -> timedelta | None:
        key = OwnerClass(request.owner, request.work_class)
        if self._limits.rule(request) is None:
            return None
        held = self._pool.grants.held(key)
        return self._limits.delay(request, held, self._clock.monotonic())

    def _learn(self, grant: LiveGrant, release: GrantRelease, now: timedelta) -> None:
        """Draw from a finished use what it says of its target."""
        target = self._pool.targets.get(grant.target)
        if target is None:
            return
        if release.outcome in FAILED_OUTCOMES:
            target.uses.failed += 1
            target.health.record_failure(now)
            target.refresh(now)
        elif release.outcome is Outcome.done:
            target.uses.done += 1
            target.health.record_success()
            target.refresh(now)
            if grant.work_class is WorkClass.online:
                self._drain.record_hold(now - grant.granted_at)
                sample = self._sample(grant, release)
                self._control.record(target, sample, now)

    def _sample(self, grant: LiveGrant, release: GrantRelease) -> OnlineSample:
        first_bound = self._service.first_token_ms * MILLISECOND
        gap_bound = self._service.token_gap_ms * MILLISECOND
        harm = max(
            release.first_token_us * MICROSECOND / first_bound,
            release.token_gap_us * MICROSECOND / gap_bound,
        )
        return OnlineSample(grant.target, grant.granted_at, harm)

    def _refuse_hopeless(self) -> None:
        """Refuse the online requests that can't be served in time any more."""
        now = self._clock.monotonic()
        slots = self._pool.total_slots
        revocable = self._pool.held(WorkClass.batch) if self._control.yields else 0
        for place, waiter in enumerate(self._in_order(WorkClass.online)):
            prospect = WaitEstimate(
                wait=self._drain.expected_wait(place, revocable, slots),
                hold=self._drain.mean_hold,
                remaining=waiter.deadline - now,
                max_wait=waiter.patience,
                ahead=place,
                slots=slots,
            )
            if prospect.wait > prospect.max_wait or self._refuses(prospect):
                self._refuse(waiter, ErrorKind.NO_CAPACITY)

    def _refuse(
        self, waiter: Waiter, kind: ErrorKind, delay: timedelta | None = None
    ) -> None:
        request = waiter.request
        slots = self._pool.total_slots
        if _is_final(kind, request):
            self._usage.record_refusal(OwnerClass(request.owner, request.work_class))
        drained = retry_after(self._drain, len(self._online), slots)
        reason = f"no slot of {self._part.slice_id} for request {request.request_id}"
        error = ChivespanError(
            kind,
            reason,
            retry_after=delay or drained,
            shares=self._pool.grants.shares(),
        )
        self._queue(request.work_class).discard(waiter)
        waiter.refuse(error)

    def _give_up(self, waiter: Waiter) -> None:
        """Undo what was done for a request whose asker went away."""
        if waiter.grant is not None:
            self._pool.give_back(waiter.grant.grant_id)
            self._schedule()
        elif not waiter.settled:
            self._refuse(waiter, ErrorKind.CANCELLED)

    def _waiting(self) -> list[Waiter]:
        return [*self._online, *self._batch]

    def _queue(self, work_class: WorkClass) -> WaitQueue:
        return self._online if work_class is WorkClass.online else self._batch


def _is_final(kind: ErrorKind, request: GrantRequest) -> bool:
    """Return whether the owner is refused: not who asks on, nor who went away."""
    asks_on = kind is ErrorKind.NO_CAPACITY and request.max_wait_ms == 0
    return not asks_on and kind is not ErrorKind.CANCELLED
