"""The slices that this node owns, each with its scheduler.

Ownership follows this node's own view of the live VMs; a slice is taken over or handed
over whenever that view changes.
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
from chivespan.logs import logger
from chivespan.membership import Membership
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    HeldGrants,
    Refusal,
    SliceLoad,
    TargetStatus,
    UsageCount,
)
from chivespan.peerlink import Counters
from chivespan.policies import Policies
from chivespan.scheduler import SliceScheduler
from chivespan.settings import NodeSettings
from chivespan.slices import Slice, slice_owner, slices_of
from chivespan.targetkeeper import OrderMeans, TargetKeeper
from chivespan.usage import summed

ASK_NEXT_OWNER = timedelta(milliseconds=100)

_log = logger("slices")


@dataclass(frozen=True, slots=True)
class _Owned:
    """A slice owned, and what ends its scheduler's task and its waiting requests.

    :param keeper: gives orders to its targets; None for targets that take none.
    """

    part: Slice
    scheduler: SliceScheduler
    keeper: TargetKeeper | None
    scope: anyio.CancelScope
    waiting: set[anyio.CancelScope] = field(default_factory=set)


class SliceOwner:
    """Grants slots on the slices that this node owns.

    :param revoke: tells a holder that a grant is taken back.
    :param ask_held: asks all holders what they hold on a slice taken over.
    :param orders: what model engines are asked and ordered with; None for neither.
    """

    def __init__(
        self,
        settings: NodeSettings,
        membership: Membership,
        clock: Clock,
        counters: Counters,
        revoke: Callable[[str, str], None],
        ask_held: Callable[[str], None],
        policies: Policies,
        orders: OrderMeans | None = None,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._revoke = revoke
        self._ask_held = ask_held
        self._policies = policies
        self._orders = orders
        self._owned: dict[str, _Owned] = {}
        self._slices: dict[str, Slice] = {}
        self._runners: dict[str, Runner] = {}
        self._offset = -1
        self._retired: list[UsageCount] = []

    def refresh(self, configuration: Configuration, tasks: TaskGroup) -> None:
        """Take over and hand over slices as configuration and live VMs say."""
        self._refresh_slices(configuration)
        unchanged = configuration.offset == self._offset
        self._offset = configuration.offset
        wanted = {part.slice_id: part for part in self._wanted()}
        for slice_id in self._owned.keys() - wanted.keys():
            self._hand_over(slice_id)
        for slice_id, part in wanted.items():
            owned = self._owned.get(slice_id)
            if owned is None:
                self._take_over(part, configuration, tasks)
            elif owned.part != part or not unchanged:
                self._reconfigure(part, configuration)

    async def answer(self, request: GrantRequest, holder: str) -> Grant | Refusal:
        """Return a grant or a refusal."""
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
        """Forget a waiting request."""
        for owned in self._owned.values():
            owned.scheduler.abandon(request_id)

    def release(self, release: GrantRelease) -> None:
        """Take a slot back."""
        for owned in self._owned.values():
            owned.scheduler.release(release)

    def report(self, holder: str, held: HeldGrants) -> None:
        """Take a holder's word for what it holds on a slice."""
        owned = self._owned.get(held.slice_id)
        if owned is not None:
            owned.scheduler.report(holder, held)

    def holder_lost(self, holder: str) -> None:
        """Note that a holder's last link ended."""
        for owned in self._owned.values():
            owned.scheduler.holder_lost(holder)

    def loads(self) -> list[SliceLoad]:
        """Return the load of every slice owned."""
        return [owned.scheduler.load() for owned in self._owned.values()]

    def statuses(self) -> list[TargetStatus]:
        """Return every target of the slices owned."""
        return [
            owned.keeper.annotate(status) if owned.keeper else status
            for owned in self._owned.values()
            for status in owned.scheduler.statuses()
        ]

    def usage(self) -> list[UsageCount]:
        """Return what owners consumed through this node since it started."""
        running = [
            count for owned in self._owned.values() for count in owned.scheduler.usage()
        ]
        return list(summed([*self._retired, *running]).values())

    def _refresh_slices(self, configuration: Configuration) -> None:
        """Divide the targets anew when any of them changed."""
        if self._runners == configuration.runners:
            return
        self._runners = dict(configuration.runners)
        here = [
            runner
            for runner in self._runners.values()
            if runner.data_centre == self._settings.data_centre
        ]
        own_targets = Configuration(runners={runner.name: runner for runner in here})
        self._slices = slices_of(own_targets)
        self._membership.set_target_addresses(_ip_numbers(self._runners.values()))

    def _wanted(self) -> Iterator[Slice]:
        vms = self._membership.live_vms(self._settings.data_centre)
        leaving = self._membership.leaving_addresses
        for part in self._slices.values():
            if slice_owner(part.slice_id, vms) == self._settings.vm:
                yield _without(part, leaving)

    def _take_over(
        self, part: Slice, configuration: Configuration, tasks: TaskGroup
    ) -> None:
        service = configuration.services.get(part.service)
        is_model = service is not None and service.kind is ServiceKind.model
        orders = self._orders if is_model else None
        scheduler = SliceScheduler(
            part,
            configuration,
            self._clock,
            self._policies,
            self._revoke,
            orders.control if orders else None,
        )
        keeper = None
        if orders is not None:
            keeper = TargetKeeper(
                scheduler, orders, configuration, self._clock, self._counters
            )
        scope = anyio.CancelScope()
        owned = _Owned(part, scheduler, keeper, scope)
        self._owned[part.slice_id] = owned
        tasks.start_soon(_run, owned)
        self._counters.incr("dispatch.slices_taken")
        _log.notice("slice taken over", slice=part.slice_id)
        self._ask_held(part.slice_id)

    def _hand_over(self, slice_id: str) -> None:
        owned = self._owned.pop(slice_id)
        self._retired = list(
            summed([*self._retired, *owned.scheduler.usage()]).values()
        )
        owned.scope.cancel()
        for waiting in owned.waiting:
            waiting.cancel()
        self._counters.incr("dispatch.slices_handed_over")
        _log.notice("slice handed over", slice=slice_id)

    def _reconfigure(self, part: Slice, configuration: Configuration) -> None:
        owned = self._owned[part.slice_id]
        self._owned[part.slice_id] = replace(owned, part=part)
        owned.scheduler.reconfigure(part, configuration)
        if owned.keeper is not None:
            owned.keeper.reconfigure(configuration)


async def _run(owned: _Owned) -> None:
    with owned.scope:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(owned.scheduler.run)
            if owned.keeper is not None:
                tasks.start_soon(owned.keeper.run)


def _ip_numbers(runners: Iterable[Runner]) -> set[str]:
    return {_ip_number(runner) for runner in runners}


def _ip_number(runner: Runner) -> str:
    return runner.address.rpartition(":")[0].strip("[]")


def _without(part: Slice, leaving: frozenset[str]) -> Slice:
    """Return the slice without the targets that leave."""
    if not leaving:
        return part
    staying = tuple(
        runner for runner in part.runners if _ip_number(runner) not in leaving
    )
    return replace(part, runners=staying)


def _not_owner(slice_id: str) -> ChivespanError:
    return ChivespanError(
        ErrorKind.NO_DISPATCHER,
        f"slice {slice_id} is not owned here",
        retry_after=ASK_NEXT_OWNER,
    )


def _refusal(request: GrantRequest, error: ChivespanError) -> Refusal:
    retry_after = error.retry_after or timedelta(0)
    return Refusal(
        request_id=request.request_id,
        error=error.kind.value,
        retry_after_ms=retry_after // MILLISECOND,
        shares=list(error.shares),
    )
