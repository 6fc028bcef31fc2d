"""Schedules the slots of one slice's targets, in the dispatcher that owns the slice.

Online requests have priority. Batch gets slots that no online request waits for, up to
the batch level in force, and is preempted as soon as an online request needs a slot.
A request that cannot be served in time is refused immediately.
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
from chivespan.granttable import LiveGrant, UsageTotals
from chivespan.linkmessages import SliceLoad
from chivespan.loadprobe import LoadProbe, probe_loads
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    HeldGrants,
    Outcome,
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
from chivespan.targetstate import TargetState
from chivespan.waiting import Waiter

ONLINE_TICK = timedelta(milliseconds=20)
BATCH_TICK = timedelta(milliseconds=50)
IDLE_TICK = timedelta(milliseconds=500)
FAILED_OUTCOMES = frozenset({Outcome.failed, Outcome.timed_out})


class SliceScheduler:
    """Grants the slots of a slice; only one scheduler per slice is active.

    :param revoke: sends a revocation; called with the holder's name and the grant id.
    :param probe: queries targets for their load; None for targets that report none.
    """

    def __init__(
        self,
        slice_: Slice,
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
        self._limits = OwnerLimits(slice_, configuration)
        self._usage = UsageTotals(slice_.service)
        self._online = WaitQueue(QUEUE_ORDERS[policies.online_order])
        self._batch = WaitQueue(QUEUE_ORDERS[policies.batch_order])
        self._choose = TARGET_CHOICES[policies.target_choice]
        self._refuses = REFUSAL_POLICIES[policies.refusal]
        self._control = BatchControl(policies)
        self._hints = PrefixHints()
        self._drain_rate = DrainRate()
        self._closed = False
        self._request_queued = anyio.Event()
        self.reconfigure(slice_, configuration)

    def reconfigure(self, slice_: Slice, configuration: Configuration) -> None:
        """Apply a change of the slice's targets or of the rules."""
        self._slice = slice_
        self._service = configuration.services.get(slice_.service) or Service(
            name=slice_.service, kind=ServiceKind.model
        )
        self._limits.reconfigure(slice_, configuration)
        self._pool.reconfigure(slice_)
        self._control.regroup(self._pool.targets.values())
        self._hints.retain_targets(self._pool.targets.keys())
        self._schedule()

    def expect_reports(self, holders: Iterable[str]) -> None:
        """End the recovery phase early once all these holders have reported."""
        self._pool.expect_reports(set(holders))

    async def acquire(self, request: GrantRequest, holder: str) -> Grant:
        """Wait for a slot.

        :raises ChivespanError: as soon as no slot can become free in time.
        """
        deadline = self._clock.monotonic() + request.deadline_ms * MILLISECOND
        waiter = Waiter(request, holder, deadline)
        self._admit(waiter)
        try:
            return await waiter.result()
        except BaseException:
            self._withdraw(waiter)
            raise

    def abandon(self, request_id: str) -> None:
        """Cancel a waiting request."""
        for waiter in self._waiters():
            if waiter.request.request_id == request_id:
                self._refuse(waiter, ErrorKind.CANCELLED)

    def release(self, release: GrantRelease) -> None:
        """Free a grant's slot and record its usage; an expired grant is ignored."""
        grant = self._pool.release(release.grant_id)
        if grant is None:
            return
        now = self._clock.monotonic()
        self._limits.refund(grant.owner_class, grant.tokens - release.tokens)
        if release.outcome is not Outcome.not_sent:
            self._usage.record_use(grant, release.tokens, now - grant.granted_at)
        self._record_outcome(grant, release, now)
        self._schedule()

    def report(self, holder: str, held: HeldGrants) -> None:
        """Reconcile the grants of a holder with its report."""
        self._pool.report(holder, held)
        self._schedule()

    @property
    def targets(self) -> list[TargetState]:
        """All targets, including those that get no new work."""
        return list(self._pool.targets.values())

    def target(self, name: str) -> TargetState | None:
        """Return a target by name; None if it is unknown."""
        return self._pool.targets.get(name)

    def cordon(self, name: str) -> None:
        """Stop granting slots on a target, and revoke its batch grants."""
        target = self._pool.targets.get(name)
        if target is None:
            return
        target.cordoned = True
        target.refresh(self._clock.monotonic())
        for grant in self._pool.grants.unrevoked_batch():
            if grant.target == name:
                self._pool.revoke(grant)
        self._schedule()

    def uncordon(self, name: str) -> None:
        """Allow new grants on a cordoned target again."""
        target = self._pool.targets.get(name)
        if target is not None and target.cordoned:
            target.cordoned = False
            target.refresh(self._clock.monotonic())
            self._schedule()

    def report_load(self, target: str, load: EngineLoad) -> None:
        """Apply a load report of an engine; reports lag behind the actual load."""
        self._pool.report_load(target, load)
        self._schedule()

    def holder_lost(self, holder: str) -> None:
        """Cancel a holder's waiting requests and let its grants expire.

        Grants that it reports after reconnecting do not expire.
        """
        self._pool.holder_lost(holder)
        for waiter in self._waiters():
            if waiter.holder == holder:
                self._refuse(waiter, ErrorKind.CANCELLED)

    def load(self) -> SliceLoad:
        """Return the slice's load as counted by this scheduler."""
        return self._pool.load(self._slice.slice_id, len(self._online))

    def statuses(self) -> list[TargetStatus]:
        """Return the status of every target for operators."""
        slice_id = self._slice.slice_id
        return [target.status(slice_id) for target in self._pool.targets.values()]

    def usage(self) -> list[UsageCount]:
        """Return each owner's usage since this scheduler started."""
        return self._usage.counts()

    async def run(self) -> None:
        """Expire grants and requests, and poll the targets' load, until cancelled.

        On cancellation all waiting requests are refused at once.
        """
        try:
            async with anyio.create_task_group() as tasks:
                if self._probe is not None:
                    tasks.start_soon(
                        probe_loads, self._probe, lambda: self.targets, self.report_load
                    )
                while True:
                    await self._wait_until_due()
                    self.expire()
        finally:
            self._closed = True
            for waiter in self._waiters():
                self._refuse(waiter, ErrorKind.NO_DISPATCHER)

    async def _wait_until_due(self) -> None:
        """Sleep until the next time at which something may expire.

        A request that arrives at an idle slice shortens the sleep, so that its deadline
        is kept as precisely as any other.
        """
        tick = IDLE_TICK
        if len(self._online):
            tick = ONLINE_TICK
        elif len(self._batch):
            tick = min(BATCH_TICK, self._time_to_prefill_end())
        self._request_queued = anyio.Event()
        with anyio.move_on_after(tick.total_seconds()):
            await self._request_queued.wait()
            await anyio.sleep(ONLINE_TICK.total_seconds())

    def _time_to_prefill_end(self) -> timedelta:
        """Return the time until the next prefill ends and batch may use its slots."""
        now = self._clock.monotonic()
        ends = [target.prefill_until for target in self._pool.serving_targets]
        return min((end - now for end in ends if end > now), default=IDLE_TICK)

    def expire(self) -> None:
        """Expire grants and overdue requests, and grant the slots that became free."""
        now = self._clock.monotonic()
        self._pool.expire()
        self._pool.refresh()
        for waiter in [*self._online.overdue(now), *self._batch.overdue(now)]:
            self._refuse(waiter, ErrorKind.DEADLINE_PASSED)
        self._schedule()
        self._refuse_unservable()

    def _admit(self, waiter: Waiter) -> None:
        """Grant, queue or refuse a new request."""
        request = waiter.request
        rule = self._limits.rule(request)
        self._queue(request.work_class).push(waiter, rule.weight if rule else 1)
        self._request_queued.set()
        if self._closed:
            self._refuse(waiter, ErrorKind.NO_DISPATCHER)
            return
        if rule is None:
            self._refuse(waiter, ErrorKind.NO_RULE)
            return
        if not any(True for _ in self._eligible_targets(request)):
            self._refuse(waiter, ErrorKind.NO_TARGET)
            return
        delay = self._limit_delay(request)
        if delay is not None and request.work_class is WorkClass.online:
            self._refuse(waiter, ErrorKind.OWNER_LIMIT, delay)
            return
        self._schedule()
        if not waiter.settled:
            self._refuse_unservable()

    def _eligible_targets(self, request: GrantRequest) -> Iterator[TargetState]:
        """Yield the targets that can serve a request, whether or not they are full."""
        for target in self._pool.serving_targets:
            if target.serves(request.model) and target.name not in request.excluded:
                yield target

    def _schedule(self) -> None:
        """Grant all available slots, and revoke batch grants that online work needs."""
        now = self._clock.monotonic()
        self._grant_online()
        queued = [waiter.request.model for waiter in self._online]
        self._control.update(queued, now)
        if self._control.yields:
            self._preempt_for_online()
            for grant in self._control.excess(self._pool.grants, now):
                self._pool.revoke(grant)
        if len(self._batch):
            self._grant_batch(now)

    def _grant_online(self) -> None:
        if not len(self._online):
            return
        if not any(
            self._control.online_capacity(each) > 0
            for each in self._pool.serving_targets
        ):
            return
        for waiter in self._in_order(WorkClass.online):
            targets = [
                target
                for target in self._eligible_targets(waiter.request)
                if self._control.online_capacity(target) > 0
            ]
            if targets:
                self._grant_slot(waiter, targets)

    def _preempt_for_online(self) -> None:
        """Revoke one batch grant for each waiting online request that has none."""
        if not len(self._online):
            return
        unclaimed = {
            target.name: target.free_after_revocation
            for target in self._pool.serving_targets
        }
        for waiter in self._in_order(WorkClass.online):
            targets = list(self._eligible_targets(waiter.request))
            freeing = [target for target in targets if unclaimed[target.name] > 0]
            if freeing:
                unclaimed[freeing[0].name] -= 1
                continue
            preemptible = [target for target in targets if target.can_preempt_batch]
            if not preemptible:
                continue
            target = self._choose(ChoiceView(waiter.request, preemptible, self._hints))
            self._pool.revoke(self._youngest_batch(target))
            if self._policies.grant_on_revoke:
                self._grant_slot(waiter, [target])

    def _youngest_batch(self, target: TargetState) -> LiveGrant:
        unrevoked = self._pool.grants.unrevoked_batch()
        return next(grant for grant in unrevoked if grant.target == target.name)

    def _grant_batch(self, now: timedelta) -> None:
        queued = [waiter.request for waiter in self._online]
        batch_targets = {
            target.name
            for target in self._pool.serving_targets
            if not target.recovering
            and self._control.batch_capacity(target, now) > 0
            and not any(target.serves(request.model) for request in queued)
        }
        if not batch_targets:
            return
        for waiter in self._in_order(WorkClass.batch):
            if self._limit_delay(waiter.request) is not None:
                continue
            targets = [
                target
                for target in self._eligible_targets(waiter.request)
                if target.name in batch_targets
            ]
            if targets:
                chosen = self._grant_slot(waiter, targets)
                if self._control.batch_capacity(chosen, now) <= 0:
                    batch_targets.discard(chosen.name)
            if not batch_targets:
                return

    def _in_order(self, work_class: WorkClass) -> Iterator[Waiter]:
        return self._queue(work_class).in_order(
            lambda owner: self._pool.grants.held(OwnerClass(owner, work_class)),
            self._pool.total_slots,
        )

    def _grant_slot(self, waiter: Waiter, targets: list[TargetState]) -> TargetState:
        request = waiter.request
        now = self._clock.monotonic()
        view = ChoiceView(request, targets, self._hints)
        target = self._choose(view)
        if request.work_class is WorkClass.online and not view.hinted(target):
            target.prefill_until = now + self._policies.prefill_time
        self._hints.record(request.prefix_hash, target.name)
        self._limits.charge(request, now)
        grant = self._pool.allocate(request, waiter.holder, target)
        self._queue(request.work_class).mark_settled(waiter)
        waiter.set_grant(grant)
        return target

    def _limit_delay(self, request: GrantRequest) -> timedelta | None:
        key = OwnerClass(request.owner, request.work_class)
        if self._limits.rule(request) is None:
            return None
        held = self._pool.grants.held(key)
        return self._limits.delay(request, held, self._clock.monotonic())

    def _record_outcome(
        self, grant: LiveGrant, release: GrantRelease, now: timedelta
    ) -> None:
        """Update a target's health and the batch level from a finished request."""
        target = self._pool.targets.get(grant.target)
        if target is None:
            return
        if release.outcome in FAILED_OUTCOMES:
            target.outcomes.failed += 1
            target.health.record_failure(now)
            target.refresh(now)
        elif release.outcome is Outcome.done:
            target.outcomes.done += 1
            target.health.record_success()
            target.refresh(now)
            if grant.work_class is WorkClass.online:
                self._drain_rate.record_hold(now - grant.granted_at)
                sample = self._sample(grant, release)
                self._control.record(target, sample, now)

    def _sample(self, grant: LiveGrant, release: GrantRelease) -> OnlineSample:
        first_bound = self._service.first_token_ms * MILLISECOND
        gap_bound = self._service.token_gap_ms * MILLISECOND
        worst_ratio = max(
            release.first_token_us * MICROSECOND / first_bound,
            release.token_gap_us * MICROSECOND / gap_bound,
        )
        return OnlineSample(grant.target, grant.granted_at, worst_ratio)

    def _refuse_unservable(self) -> None:
        """Refuse the online requests that can no longer be served in time."""
        now = self._clock.monotonic()
        slots = self._pool.total_slots
        revocable = self._pool.held(WorkClass.batch) if self._control.yields else 0
        for position, waiter in enumerate(self._in_order(WorkClass.online)):
            prospect = WaitEstimate(
                wait=self._drain_rate.expected_wait(position, revocable, slots),
                hold=self._drain_rate.mean_hold,
                remaining=waiter.deadline - now,
                max_wait=waiter.max_wait,
                ahead=position,
                slots=slots,
            )
            if prospect.wait > prospect.max_wait or self._refuses(prospect):
                self._refuse(waiter, ErrorKind.NO_CAPACITY)

    def _refuse(
        self, waiter: Waiter, kind: ErrorKind, delay: timedelta | None = None
    ) -> None:
        request = waiter.request
        slots = self._pool.total_slots
        if _counts_as_refusal(kind, request):
            self._usage.record_refusal(OwnerClass(request.owner, request.work_class))
        default_delay = retry_after(self._drain_rate, len(self._online), slots)
        reason = f"no slot of {self._slice.slice_id} for request {request.request_id}"
        error = ChivespanError(
            kind,
            reason,
            retry_after=delay or default_delay,
            shares=self._pool.grants.shares(),
        )
        self._queue(request.work_class).mark_settled(waiter)
        waiter.set_error(error)

    def _withdraw(self, waiter: Waiter) -> None:
        """Release or cancel a request whose caller was cancelled."""
        if waiter.grant is not None:
            self._pool.release(waiter.grant.grant_id)
            self._schedule()
        elif not waiter.settled:
            self._refuse(waiter, ErrorKind.CANCELLED)

    def _waiters(self) -> list[Waiter]:
        return [*self._online, *self._batch]

    def _queue(self, work_class: WorkClass) -> WaitQueue:
        return self._online if work_class is WorkClass.online else self._batch


def _counts_as_refusal(kind: ErrorKind, request: GrantRequest) -> bool:
    """Return whether a refusal counts in the owner's usage.

    Not counted are cancelled requests, and those that try another slice next because
    this one has no free slot.
    """
    tries_elsewhere = kind is ErrorKind.NO_CAPACITY and request.max_wait_ms == 0
    return not tries_elsewhere and kind is not ErrorKind.CANCELLED
