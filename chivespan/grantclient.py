"""Client for slot grants, used by the entry and the batch worker.

Request data flows directly to the target; only the grant goes through a dispatcher, the
owner of a slice. If an owner is unreachable, the next dispatcher in rendezvous order is
tried. If none is reachable, online work may use this entry's static share of each
target.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial
from itertools import islice
from math import ceil
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.clock import MILLISECOND
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.heldslot import HeldSlot, slot_share
from chivespan.messages import (
    Grant,
    GrantAbandon,
    GrantRelease,
    GrantRequest,
    GrantRevoke,
    HeldGrants,
    HeldGrantsRequest,
    Outcome,
    Refusal,
    WorkClass,
)
from chivespan.nodeview import NodeView
from chivespan.peerlink import Backoff, LinkEnd, PeerLink, dial_once
from chivespan.placement import ranked
from chivespan.settings import NodeSettings
from chivespan.slicechoice import SliceChoice
from chivespan.slices import Slice

MAX_OWNERS_TRIED = 2
MAX_SLICES_TRIED = 4
CONNECT_TIMEOUT = timedelta(milliseconds=500)
TAKEOVER_GRACE = timedelta(seconds=1)
NO_OWNER_RETRY_DELAY = timedelta(milliseconds=50)
# A lost link to an owner has usually been re-established by then.
RETRY_ALL_SLICES_AFTER = timedelta(milliseconds=500)
SHARE_LIFETIME = timedelta(seconds=1)
SPILL_KINDS = frozenset(
    {ErrorKind.NO_CAPACITY, ErrorKind.NO_TARGET, ErrorKind.OWNER_LIMIT}
)


@dataclass(slots=True)
class _PendingRequest:
    """A grant request that waits for the answer of a dispatcher.

    :param vm: VM of the dispatcher.
    """

    vm: str
    request: GrantRequest
    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: HeldSlot | Refusal | None = None

    def resolve(self, answer: HeldSlot | Refusal | None) -> None:
        self.answer = answer
        self.answered.set()


@dataclass(slots=True)
class _ProbeResult:
    """Result of trying the candidate slices of a request once.

    :ivar refusal: raised to the caller unless the request can queue.
    :ivar first_full: the first slice that had no free slot.
    :ivar owner_unreachable: whether the owner of any slice was unreachable.
    """

    refusal: ChivespanError
    first_full: Slice | None = None
    owner_unreachable: bool = False


@dataclass(slots=True)
class _DispatcherLink:
    """The connection of this process to one dispatcher.

    :param attempted: set once the first connection attempt has ended.
    """

    vm: str
    link: PeerLink | None = None
    attempted: anyio.Event = field(default_factory=anyio.Event)

    @property
    def open_link(self) -> PeerLink | None:
        return self.link if self.link and self.link.is_open else None


@dataclass(slots=True)
class _TrackedSlot:
    """A slot in use, and the VMs of the dispatchers that count it.

    There can be more than one while the views of the live VMs differ.
    """

    slot: HeldSlot
    vms: set[str]


class GrantClient:
    """Acquires slots for one process.

    :param random: source for the choice of slices; tests pass a seeded one.
    """

    def __init__(
        self,
        end: LinkEnd,
        settings: NodeSettings,
        view: NodeView,
        random: Random | None = None,
    ) -> None:
        self._end = end
        self._settings = settings
        self._view = view
        self._choice = SliceChoice(settings, view, random or Random())
        self._dispatchers: dict[str, _DispatcherLink] = {}
        self._pending: dict[str, _PendingRequest] = {}
        self._held: dict[str, _TrackedSlot] = {}
        self._owners: dict[str, str] = {}
        self._reported: dict[str, set[str]] = {}
        self._share_in_use: Counter[str] = Counter()
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    async def run(self) -> None:
        """Maintain the links, and report held grants to new owners of slices."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._started.set()
            while True:
                self._update_owners()
                await self._view.wait_changed()

    async def acquire(self, request: GrantRequest) -> HeldSlot:
        """Wait for a slot.

        :param request: if its ``slice_id`` is empty, the client chooses the slice.
        :raises ChivespanError: the refusal, with a retry delay and the shares of the
            owners that hold the capacity.
        """
        await self._started.wait()
        clock = self._end.clock
        started_at = clock.monotonic()
        deadline = started_at + request.deadline_ms * MILLISECOND
        retry_until = min(
            deadline, started_at + self._end.options.silence_timeout + TAKEOVER_GRACE
        )
        while True:
            try:
                return await self._try_slices(request, deadline)
            except ChivespanError as error:
                if error.kind is not ErrorKind.NO_DISPATCHER:
                    raise
                if self._disconnected and request.work_class is WorkClass.online:
                    return self._acquire_from_share(request)
                if clock.monotonic() >= retry_until:
                    raise
            await anyio.sleep(NO_OWNER_RETRY_DELAY.total_seconds())

    @property
    def _disconnected(self) -> bool:
        return not any(each.open_link for each in self._dispatchers.values())

    async def _try_slices(self, request: GrantRequest, deadline: timedelta) -> HeldSlot:
        """Try slices one after another until one grants a slot.

        Online requests first probe for a slice that can grant at once, and queue only
        if there is none. If a slice was skipped because its owner was unreachable, the
        request queues at another slice for a limited time and then tries all again.

        :raises ChivespanError: the first refusal; ``no_dispatcher`` if no owner
            answered.
        """
        while True:
            probe = _ProbeResult(self._no_dispatcher(request))
            slot = await self._probe_slices(request, deadline, probe)
            if slot is not None:
                return slot
            if probe.first_full is None:
                raise probe.refusal
            attempt = self._for_slice(request, probe.first_full, deadline)
            wait = (
                RETRY_ALL_SLICES_AFTER.total_seconds()
                if probe.owner_unreachable
                else None
            )
            with anyio.move_on_after(wait):
                return await self._request_from_owners(probe.first_full, attempt)

    async def _probe_slices(
        self, request: GrantRequest, deadline: timedelta, probe: "_ProbeResult"
    ) -> HeldSlot | None:
        """Return a slot that is free now; else record in ``probe`` where to queue."""
        slices = list(islice(self._choice.candidates(request), MAX_SLICES_TRIED))
        probing = request.work_class is WorkClass.online and len(slices) > 1
        for slice_ in slices:
            attempt = self._for_slice(request, slice_, deadline)
            if probing:
                attempt = replace(attempt, max_wait_ms=0)
            try:
                return await self._request_from_owners(slice_, attempt)
            except ChivespanError as error:
                if error.kind is ErrorKind.NO_DISPATCHER:
                    probe.owner_unreachable = True
                    continue
                if error.kind not in SPILL_KINDS:
                    raise
                if error.kind is ErrorKind.NO_CAPACITY and probing:
                    probe.first_full = probe.first_full or slice_
                if probe.refusal.kind is ErrorKind.NO_DISPATCHER:
                    probe.refusal = error
        return None

    def _for_slice(
        self, request: GrantRequest, slice_: Slice, deadline: timedelta
    ) -> GrantRequest:
        remaining = deadline - self._end.clock.monotonic()
        remaining_ms = max(0, remaining // MILLISECOND)
        return replace(request, slice_id=slice_.slice_id, deadline_ms=remaining_ms)

    async def _request_from_owners(
        self, slice_: Slice, request: GrantRequest
    ) -> HeldSlot:
        """Request a slot from the slice's owner, or from the next if unreachable.

        :raises ChivespanError: the refusal; ``no_dispatcher`` if none answered.
        """
        owners = ranked(slice_.slice_id, self._view.live_vms(slice_.data_centre))
        for vm in owners[:MAX_OWNERS_TRIED]:
            link = await self._link(vm)
            if link is None:
                continue
            answer = await self._request(link, request)
            if isinstance(answer, HeldSlot):
                return answer
            if answer is not None and answer.error != ErrorKind.NO_DISPATCHER:
                raise _refusal_error(answer)
        raise self._no_dispatcher(request)

    async def _request(
        self, link: PeerLink, request: GrantRequest
    ) -> HeldSlot | Refusal | None:
        """Return the answer; None if the link closed before it arrived."""
        pending = _PendingRequest(link.remote.vm, request)
        self._pending[request.request_id] = pending
        answered = False
        try:
            if not link.send(request):
                return None
            await pending.answered.wait()
            answered = True
            return pending.answer
        finally:
            del self._pending[request.request_id]
            if not answered:
                self._abandon(link, request, pending)

    def _abandon(
        self, link: PeerLink, request: GrantRequest, pending: _PendingRequest
    ) -> None:
        if isinstance(pending.answer, HeldSlot):
            self._end.counters.incr("grants.unwanted")
            pending.answer.release(Outcome.not_sent)
        elif link.is_open:
            link.send(GrantAbandon(request_id=request.request_id))

    def _release_unused(self, link: PeerLink, grant: Grant) -> None:
        self._end.counters.incr("grants.unwanted")
        link.send(GrantRelease(grant_id=grant.grant_id, outcome=Outcome.not_sent))

    def _track_if_granted(
        self, answer: Grant | Refusal, pending: _PendingRequest
    ) -> HeldSlot | Refusal:
        """Register a grant as soon as it arrives.

        Its revocation may be the next message on the link and must find it registered.
        """
        if isinstance(answer, Refusal):
            return answer
        slot = HeldSlot(answer, pending.request, self._release)
        self._held[answer.grant_id] = _TrackedSlot(slot, {pending.vm})
        return slot

    def _release(self, release: GrantRelease) -> None:
        tracked = self._held.pop(release.grant_id, None)
        if tracked is None:
            return
        reachable = (self._dispatchers.get(vm) for vm in tracked.vms)
        links = [each.open_link for each in reachable if each and each.open_link]
        for link in links:
            link.send(release)
        if not links:
            self._end.counters.incr("grants.releases_unsent")

    def _no_dispatcher(self, request: GrantRequest) -> ChivespanError:
        reason = f"no dispatcher of service {request.service} can be reached"
        return ChivespanError(ErrorKind.NO_DISPATCHER, reason)

    def _acquire_from_share(self, request: GrantRequest) -> HeldSlot:
        """Acquire a slot from this entry's static share of a target.

        :raises ChivespanError: ``no_dispatcher`` if the share is exhausted.
        """
        own = f"{self._settings.vm}:{self._settings.entry_port}"
        entries = self._view.entries(self._settings.data_centre)
        for slice_ in self._view.slices.values():
            if slice_.service != request.service or not self._choice.is_local(slice_):
                continue
            for runner in slice_.runners:
                model_matches = runner.model == request.model or not request.model
                share = slot_share(runner, own, entries)
                excluded = runner.name in request.excluded
                if (
                    model_matches
                    and not excluded
                    and self._share_in_use[runner.name] < share
                ):
                    return self._share_slot(request, runner.name, runner.address)
        raise self._no_dispatcher(request)

    def _share_slot(self, request: GrantRequest, target: str, address: str) -> HeldSlot:
        self._end.counters.incr("grants.from_share")
        self._share_in_use[target] += 1
        grant = Grant(
            request_id=request.request_id,
            grant_id=f"share/{request.request_id}",
            target=target,
            address=address,
            lifetime_ms=ceil(SHARE_LIFETIME / MILLISECOND),
        )

        def release_share(_release: GrantRelease) -> None:
            self._share_in_use[target] -= 1

        return HeldSlot(grant, request, release_share)

    async def _link(self, vm: str) -> PeerLink | None:
        """Return an open link; None if there is none within ``CONNECT_TIMEOUT``."""
        dispatcher = self._dispatcher(vm)
        if dispatcher.open_link is None:
            with anyio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
                await dispatcher.attempted.wait()
        return dispatcher.open_link

    def _dispatcher(self, vm: str) -> _DispatcherLink:
        dispatcher = self._dispatchers.get(vm)
        if dispatcher is None:
            dispatcher = self._dispatchers[vm] = _DispatcherLink(vm)
            if self._tasks is not None:
                self._tasks.start_soon(self._keep_link, dispatcher)
        return dispatcher

    async def _keep_link(self, dispatcher: _DispatcherLink) -> None:
        address = f"{dispatcher.vm}:{self._settings.dispatch_port}"
        backoff = Backoff(Random())
        while self._is_wanted(dispatcher):
            if await dial_once(address, self._end, partial(self._listen, dispatcher)):
                backoff.reset()
            dispatcher.attempted.set()
            await anyio.sleep(backoff.next().total_seconds())
        del self._dispatchers[dispatcher.vm]

    def _is_wanted(self, dispatcher: _DispatcherLink) -> bool:
        known = {view.vm for view in self._view.vms}
        return dispatcher.vm in known or not known

    async def _listen(self, dispatcher: _DispatcherLink, link: PeerLink) -> None:
        dispatcher.link = link
        self._report_held(dispatcher.vm, link)
        dispatcher.attempted.set()
        try:
            async for message in link:
                self._handle(link, message)
        finally:
            dispatcher.link = None
            self._fail_pending(dispatcher.vm)

    def _fail_pending(self, vm: str) -> None:
        for pending in self._pending.values():
            if pending.vm == vm and not pending.answered.is_set():
                pending.resolve(None)

    def _handle(self, link: PeerLink, message: object) -> None:
        match message:
            case Grant() | Refusal():
                self._handle_answer(link, message)
            case HeldGrantsRequest():
                self._report_slice(message.slice_id, link.remote.vm, link)
            case GrantRevoke():
                tracked = self._held.get(message.grant_id)
                if tracked is not None:
                    tracked.slot.revoked.set()

    def _handle_answer(self, link: PeerLink, answer: Grant | Refusal) -> None:
        pending = self._pending.get(answer.request_id)
        if pending is not None and pending.vm == link.remote.vm:
            pending.resolve(self._track_if_granted(answer, pending))
            return
        self._end.counters.incr("grants.late_answers")
        if isinstance(answer, Grant):
            self._release_unused(link, answer)

    def _update_owners(self) -> None:
        """Connect to the owners of relevant slices, and report grants to new owners."""
        owners = dict(self._relevant_owners())
        for slice_id, vm in owners.items():
            link = self._dispatcher(vm).open_link
            if self._owners.get(slice_id) != vm and link is not None:
                self._report_slice(slice_id, vm, link)
        self._owners = owners

    def _relevant_owners(self) -> Iterator[tuple[str, str]]:
        """Yield id and owner of the preferred slices and of those with held grants."""
        slices = self._view.slices
        relevant = {each.slot.request.slice_id for each in self._held.values()}
        relevant.update(self._choice.preferred_ids())
        for slice_id in relevant & slices.keys():
            vms = self._view.live_vms(slices[slice_id].data_centre)
            for vm in ranked(slice_id, vms)[:1]:
                yield slice_id, vm

    def _report_held(self, vm: str, link: PeerLink) -> None:
        """Report the held grants of each slice that a dispatcher owns or has owned."""
        owned = {each for each, owner in self._relevant_owners() if owner == vm}
        for slice_id in owned | self._reported.pop(vm, set()):
            self._report_slice(slice_id, vm, link)

    def _report_slice(self, slice_id: str, vm: str, link: PeerLink) -> None:
        tracked_slots = [
            each
            for each in self._held.values()
            if each.slot.request.slice_id == slice_id
        ]
        for tracked in tracked_slots:
            tracked.vms.add(vm)
        self._reported.setdefault(vm, set()).add(slice_id)
        reports = [tracked.slot.report() for tracked in tracked_slots]
        link.send(HeldGrants(slice_id=slice_id, grants=reports))


def _refusal_error(refusal: Refusal) -> ChivespanError:
    known = refusal.error in ErrorKind.__members__.values()
    return ChivespanError(
        ErrorKind(refusal.error) if known else ErrorKind.NO_CAPACITY,
        "refused by the slice's owner",
        retry_after=refusal.retry_after_ms * MILLISECOND or None,
        shares=refusal.shares,
    )
