"""The slices that this node owns, each with its scheduler.

Ownership is derived from this node's own view of the live VMs. Slices are taken over or
handed over when that view changes.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.clock import MILLISECOND, Clock
from chivespan.configuration import Configuration
from chivespan.documents import Runner, ServiceKind
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.linkmessages import SliceLoad
from chivespan.logs import logger
from chivespan.membership import Membership
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    HeldGrants,
    Refusal,
    TargetStatus,
    UsageCount,
)
from chivespan.peerlink import Counters
from chivespan.policies import Policies
from chivespan.scheduler import SliceScheduler
from chivespan.settings import NodeSettings
from chivespan.slices import Slice, slice_owner, slices_of
from chivespan.targetreconciler import ReconcilerContext, TargetReconciler
from chivespan.usage import summed

NEXT_OWNER_RETRY_DELAY = timedelta(milliseconds=100)

_log = logger("slices")


@dataclass(frozen=True, slots=True)
class _OwnedSlice:
    """An owned slice with its scheduler and reconciler.

    :param reconciler: sends orders to the targets; None if they take no orders.
    :param scope: cancels the tasks of the scheduler and reconciler.
    :param waiting: cancel the requests that wait for a slot.
    """

    slice_: Slice
    scheduler: SliceScheduler
    reconciler: TargetReconciler | None
    scope: anyio.CancelScope
    waiting: set[anyio.CancelScope] = field(default_factory=set)


class SliceOwner:
    """Grants slots on the slices that this node owns.

    :param revoke: sends a revocation; called with the holder's name and the grant id.
    :param request_held: requests reports of the held grants of a slice from all
        holders, after the slice was taken over.
    :param context: access to model engines; None to neither probe nor order them.
    """

    def __init__(
        self,
        settings: NodeSettings,
        membership: Membership,
        clock: Clock,
        counters: Counters,
        revoke: Callable[[str, str], None],
        request_held: Callable[[str], None],
        policies: Policies,
        context: ReconcilerContext | None = None,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._revoke = revoke
        self._request_held = request_held
        self._policies = policies
        self._reconciler_context = context
        self._owned: dict[str, _OwnedSlice] = {}
        self._slices: dict[str, Slice] = {}
        self._runners: dict[str, Runner] = {}
        self._offset = -1
        self._handed_over_usage: list[UsageCount] = []

    def refresh(self, configuration: Configuration, tasks: TaskGroup) -> None:
        """Take over and hand over slices according to configuration and live VMs."""
        self._refresh_slices(configuration)
        unchanged = configuration.offset == self._offset
        self._offset = configuration.offset
        slices_to_own = {slice_.slice_id: slice_ for slice_ in self._slices_to_own()}
        for slice_id in self._owned.keys() - slices_to_own.keys():
            self._hand_over(slice_id)
        for slice_id, slice_ in slices_to_own.items():
            owned = self._owned.get(slice_id)
            if owned is None:
                self._take_over(slice_, configuration, tasks)
            elif owned.slice_ != slice_ or not unchanged:
                self._reconfigure(slice_, configuration)

    async def answer(self, request: GrantRequest, holder: str) -> Grant | Refusal:
        """Wait for a slot; return a grant or a refusal."""
        owned = self._owned.get(request.slice_id)
        if owned is None:
            self._counters.incr("dispatch.not_owner")
            return _refusal(request, _not_owner(request.slice_id))
        with anyio.CancelScope() as scope:
            owned.waiting.add(scope)
            try:
                return await owned.scheduler.acquire(request, holder)
            except ChivespanError as error:
                return _refusal(request, error)
            finally:
                owned.waiting.discard(scope)
        return _refusal(request, _not_owner(request.slice_id))

    def abandon(self, request_id: str) -> None:
        """Cancel a waiting request."""
        for owned in self._owned.values():
            owned.scheduler.abandon(request_id)

    def release(self, release: GrantRelease) -> None:
        """Free the slot of a grant."""
        for owned in self._owned.values():
            owned.scheduler.release(release)

    def report(self, holder: str, held: HeldGrants) -> None:
        """Reconcile the grants of a holder on one slice with its report."""
        owned = self._owned.get(held.slice_id)
        if owned is not None:
            owned.scheduler.report(holder, held)

    def holder_lost(self, holder: str) -> None:
        """Handle the loss of a holder's last link."""
        for owned in self._owned.values():
            owned.scheduler.holder_lost(holder)

    def loads(self) -> list[SliceLoad]:
        """Return the load of every owned slice."""
        return [owned.scheduler.load() for owned in self._owned.values()]

    def statuses(self) -> list[TargetStatus]:
        """Return the status of every target of the owned slices."""
        return [
            owned.reconciler.annotate(status) if owned.reconciler else status
            for owned in self._owned.values()
            for status in owned.scheduler.statuses()
        ]

    def usage(self) -> list[UsageCount]:
        """Return the usage that this node counted since it started."""
        running = [
            count for owned in self._owned.values() for count in owned.scheduler.usage()
        ]
        return list(summed([*self._handed_over_usage, *running]).values())

    def _refresh_slices(self, configuration: Configuration) -> None:
        """Reassign the targets to slices if any target changed."""
        if self._runners == configuration.runners:
            return
        self._runners = dict(configuration.runners)
        local = [
            runner
            for runner in self._runners.values()
            if runner.data_centre == self._settings.data_centre
        ]
        own_targets = Configuration(runners={runner.name: runner for runner in local})
        self._slices = slices_of(own_targets)
        self._membership.set_target_addresses(_ip_addresses(self._runners.values()))

    def _slices_to_own(self) -> Iterator[Slice]:
        vms = self._membership.live_vms(self._settings.data_centre)
        leaving = self._membership.leaving_addresses
        for slice_ in self._slices.values():
            if slice_owner(slice_.slice_id, vms) == self._settings.vm:
                yield _without(slice_, leaving)

    def _take_over(
        self, slice_: Slice, configuration: Configuration, tasks: TaskGroup
    ) -> None:
        service = configuration.services.get(slice_.service)
        is_model = service is not None and service.kind is ServiceKind.model
        context = self._reconciler_context if is_model else None
        scheduler = SliceScheduler(
            slice_,
            configuration,
            self._clock,
            self._policies,
            self._revoke,
            context.control if context else None,
        )
        reconciler = None
        if context is not None:
            reconciler = TargetReconciler(
                scheduler, context, configuration, self._clock, self._counters
            )
        scope = anyio.CancelScope()
        owned = _OwnedSlice(slice_, scheduler, reconciler, scope)
        self._owned[slice_.slice_id] = owned
        tasks.start_soon(_run, owned)
        self._counters.incr("dispatch.slices_taken")
        _log.notice("slice taken over", slice=slice_.slice_id)
        self._request_held(slice_.slice_id)

    def _hand_over(self, slice_id: str) -> None:
        owned = self._owned.pop(slice_id)
        self._handed_over_usage = list(
            summed([*self._handed_over_usage, *owned.scheduler.usage()]).values()
        )
        owned.scope.cancel()
        for waiting in owned.waiting:
            waiting.cancel()
        self._counters.incr("dispatch.slices_handed_over")
        _log.notice("slice handed over", slice=slice_id)

    def _reconfigure(self, slice_: Slice, configuration: Configuration) -> None:
        owned = self._owned[slice_.slice_id]
        self._owned[slice_.slice_id] = replace(owned, slice_=slice_)
        owned.scheduler.reconfigure(slice_, configuration)
        if owned.reconciler is not None:
            owned.reconciler.reconfigure(configuration)


async def _run(owned: _OwnedSlice) -> None:
    with owned.scope:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(owned.scheduler.run)
            if owned.reconciler is not None:
                tasks.start_soon(owned.reconciler.run)


def _ip_addresses(runners: Iterable[Runner]) -> set[str]:
    return {_ip_address(runner) for runner in runners}


def _ip_address(runner: Runner) -> str:
    return runner.address.rpartition(":")[0].strip("[]")


def _without(slice_: Slice, leaving: frozenset[str]) -> Slice:
    """Return the slice without the targets on leaving addresses."""
    if not leaving:
        return slice_
    remaining = tuple(
        runner for runner in slice_.runners if _ip_address(runner) not in leaving
    )
    return replace(slice_, runners=remaining)


def _not_owner(slice_id: str) -> ChivespanError:
    return ChivespanError(
        ErrorKind.NO_DISPATCHER,
        f"slice {slice_id} is not owned by this node",
        retry_after=NEXT_OWNER_RETRY_DELAY,
    )


def _refusal(request: GrantRequest, error: ChivespanError) -> Refusal:
    retry_after = error.retry_after or timedelta(0)
    return Refusal(
        request_id=request.request_id,
        error=error.kind.value,
        retry_after_ms=retry_after // MILLISECOND,
        shares=list(error.shares),
    )
