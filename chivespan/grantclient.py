"""Asks the owners of slices for slots, for the entry and the batch worker.

The bytes of a request flow straight to the target; only the grant goes through a
dispatcher. Where an owner can't be reached the next in rendezvous order is asked, and
cut off from all, online work may use this entry's fixed share of each target.
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

OWNERS_ASKED = 2
SLICES_ASKED = 4
CONNECT_WAIT = timedelta(milliseconds=500)
TAKEOVER_WAIT = timedelta(seconds=1)
NO_OWNER_PAUSE = timedelta(milliseconds=50)
# A link to an owner that was left is mostly back by then.
ASK_AGAIN_AFTER = timedelta(milliseconds=500)
SHARE_LIFETIME = timedelta(seconds=1)
SPILL_KINDS = frozenset(
    {ErrorKind.NO_CAPACITY, ErrorKind.NO_TARGET, ErrorKind.OWNER_LIMIT}
)


@dataclass(slots=True)
class _Waiter:
    """One request that waits for its owner's answer."""

    vm: str
    request: GrantRequest
    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: HeldSlot | Refusal | None = None

    def settle(self, answer: HeldSlot | Refusal | None) -> None:
        self.answer = answer
        self.answered.set()


@dataclass(slots=True)
class _AskedOnce:
    """What came of asking the slices of a request once.

    :ivar refusal: what its caller is told unless it queues.
    :ivar first_full: the first slice that was full.
    :ivar passed_over: whether the owner of a slice could not be reached.
    """

    refusal: ChivespanError
    first_full: Slice | None = None
    passed_over: bool = False


@dataclass(slots=True)
class _Dispatcher:
    """One dispatcher as this process reaches it."""

    vm: str
    link: PeerLink | None = None
    tried: anyio.Event = field(default_factory=anyio.Event)

    @property
    def open_link(self) -> PeerLink | None:
        return self.link if self.link and self.link.is_open else None


@dataclass(slots=True)
class _Holding:
    """A slot in use, and the dispatchers that count it.

    There can be two while views of the live VMs differ.
    """

    slot: HeldSlot
    vms: set[str]


class GrantClient:
    """Gets slots for one process."""

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
        self._dispatchers: dict[str, _Dispatcher] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._held: dict[str, _Holding] = {}
        self._owners: dict[str, str] = {}
        self._reported: dict[str, set[str]] = {}
        self._shared: Counter[str] = Counter()
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    async def run(self) -> None:
        """Keep the links and report what is held to new owners of slices."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._started.set()
            while True:
                self._follow_owners()
                await self._view.wait_changed()

    async def acquire(self, request: GrantRequest) -> HeldSlot:
        """Return a slot.

        :param request: its ``slice_id`` may be empty; it is chosen here.
        :raises ChivespanError: the refusal, with when to come back and whose work
            holds the capacity.
        """
        await self._started.wait()
        clock = self._end.clock
        began = clock.monotonic()
        deadline = began + request.deadline_ms * MILLISECOND
        patience = min(
            deadline, began + self._end.options.silence_timeout + TAKEOVER_WAIT
        )
        while True:
            try:
                return await self._ask_slices(request, deadline)
            except ChivespanError as error:
                if error.kind is not ErrorKind.NO_DISPATCHER:
                    raise
                if self._cut_off and request.work_class is WorkClass.online:
                    return self._take_share(request)
                if clock.monotonic() >= patience:
                    raise
            await anyio.sleep(NO_OWNER_PAUSE.total_seconds())

    @property
    def _cut_off(self) -> bool:
        return not any(each.open_link for each in self._dispatchers.values())

    async def _ask_slices(self, request: GrantRequest, deadline: timedelta) -> HeldSlot:
        """Ask slice after slice until one grants.

        Online work first asks which one can grant at once, and only then queues. Where
        a slice was passed over because its owner could not be reached, it queues
        elsewhere for a while only, and asks all of them again.

        :raises ChivespanError: the first refusal; ``no_dispatcher`` when no owner
            gave an answer.
        """
        while True:
            asked_once = _AskedOnce(self._no_dispatcher(request))
            slot = await self._ask_for_free(request, deadline, asked_once)
            if slot is not None:
                return slot
            if asked_once.first_full is None:
                raise asked_once.refusal
            asked = self._for_slice(request, asked_once.first_full, deadline)
            wait = ASK_AGAIN_AFTER.total_seconds() if asked_once.passed_over else None
            with anyio.move_on_after(wait):
                return await self._ask_owners(asked_once.first_full, asked)

    async def _ask_for_free(
        self, request: GrantRequest, deadline: timedelta, asked_once: "_AskedOnce"
    ) -> HeldSlot | None:
        """Return a slot that is free now; else note where to queue, if anywhere."""
        parts = list(islice(self._choice.candidates(request), SLICES_ASKED))
        passing = request.work_class is WorkClass.online and len(parts) > 1
        for part in parts:
            asked = self._for_slice(request, part, deadline)
            if passing:
                asked = replace(asked, max_wait_ms=0)
            try:
                return await self._ask_owners(part, asked)
            except ChivespanError as error:
                if error.kind is ErrorKind.NO_DISPATCHER:
                    asked_once.passed_over = True
                    continue
                if error.kind not in SPILL_KINDS:
                    raise
                if error.kind is ErrorKind.NO_CAPACITY and passing:
                    asked_once.first_full = asked_once.first_full or part
                if asked_once.refusal.kind is ErrorKind.NO_DISPATCHER:
                    asked_once.refusal = error
        return None

    def _for_slice(
        self, request: GrantRequest, part: Slice, deadline: timedelta
    ) -> GrantRequest:
        remaining = deadline - self._end.clock.monotonic()
        remaining_ms = max(0, remaining // MILLISECOND)
        return replace(request, slice_id=part.slice_id, deadline_ms=remaining_ms)

    async def _ask_owners(self, part: Slice, request: GrantRequest) -> HeldSlot:
        """Ask the slice's owner, or the next one where that can't be reached.

        :raises ChivespanError: the refusal; ``no_dispatcher`` when none answered.
        """
        owners = ranked(part.slice_id, self._view.live_vms(part.data_centre))
        for vm in owners[:OWNERS_ASKED]:
            link = await self._link(vm)
            if link is None:
                continue
            answer = await self._ask(link, request)
            if isinstance(answer, HeldSlot):
                return answer
            if answer is not None and answer.error != ErrorKind.NO_DISPATCHER:
                raise _refusal_error(answer)
        raise self._no_dispatcher(request)

    async def _ask(
        self, link: PeerLink, request: GrantRequest
    ) -> HeldSlot | Refusal | None:
        """Return the answer, or nothing when the link ended before it came."""
        waiter = _Waiter(link.remote.vm, request)
        self._waiters[request.request_id] = waiter
        answered = False
        try:
            if not link.send(request):
                return None
            await waiter.answered.wait()
            answered = True
            return waiter.answer
        finally:
            del self._waiters[request.request_id]
            if not answered:
                self._abandon(link, request, waiter)

    def _abandon(self, link: PeerLink, request: GrantRequest, waiter: _Waiter) -> None:
        if isinstance(waiter.answer, HeldSlot):
            self._end.counters.incr("grants.unwanted")
            waiter.answer.release(Outcome.not_sent)
        elif link.is_open:
            link.send(GrantAbandon(request_id=request.request_id))

    def _give_back_unused(self, link: PeerLink, grant: Grant) -> None:
        self._end.counters.incr("grants.unwanted")
        link.send(GrantRelease(grant_id=grant.grant_id, outcome=Outcome.not_sent))

    def _held_if_granted(
        self, answer: Grant | Refusal, waiter: _Waiter
    ) -> HeldSlot | Refusal:
        """Hold a grant as soon as it has come.

        The word that takes it back may be the link's very next message.
        """
        if isinstance(answer, Refusal):
            return answer
        slot = HeldSlot(answer, waiter.request, self._release)
        self._held[answer.grant_id] = _Holding(slot, {waiter.vm})
        return slot

    def _release(self, release: GrantRelease) -> None:
        holding = self._held.pop(release.grant_id, None)
        if holding is None:
            return
        reachable = (self._dispatchers.get(vm) for vm in holding.vms)
        links = [each.open_link for each in reachable if each and each.open_link]
        for link in links:
            link.send(release)
        if not links:
            self._end.counters.incr("grants.releases_unsent")

    def _no_dispatcher(self, request: GrantRequest) -> ChivespanError:
        reason = f"no dispatcher of service {request.service} can be reached"
        return ChivespanError(ErrorKind.NO_DISPATCHER, reason)

    def _take_share(self, request: GrantRequest) -> HeldSlot:
        """Use a slot of this entry's own share of a target.

        :raises ChivespanError: ``no_dispatcher`` when the share is used up.
        """
        own = f"{self._settings.vm}:{self._settings.entry_port}"
        entries = self._view.entries(self._settings.data_centre)
        for part in self._view.slices.values():
            if part.service != request.service or not self._choice.is_here(part):
                continue
            for runner in part.runners:
                fits = runner.model == request.model or not request.model
                share = slot_share(runner, own, entries)
                excluded = runner.name in request.excluded
                if fits and not excluded and self._shared[runner.name] < share:
                    return self._use_share(request, runner.name, runner.address)
        raise self._no_dispatcher(request)

    def _use_share(self, request: GrantRequest, target: str, address: str) -> HeldSlot:
        self._end.counters.incr("grants.from_share")
        self._shared[target] += 1
        grant = Grant(
            request_id=request.request_id,
            grant_id=f"share/{request.request_id}",
            target=target,
            address=address,
            lifetime_ms=ceil(SHARE_LIFETIME / MILLISECOND),
        )

        def give_back(_release: GrantRelease) -> None:
            self._shared[target] -= 1

        return HeldSlot(grant, request, give_back)

    async def _link(self, vm: str) -> PeerLink | None:
        """Return an open link to a dispatcher, or nothing when there is none soon."""
        dispatcher = self._dispatcher(vm)
        if dispatcher.open_link is None:
            with anyio.move_on_after(CONNECT_WAIT.total_seconds()):
                await dispatcher.tried.wait()
        return dispatcher.open_link

    def _dispatcher(self, vm: str) -> _Dispatcher:
        dispatcher = self._dispatchers.get(vm)
        if dispatcher is None:
            dispatcher = self._dispatchers[vm] = _Dispatcher(vm)
            if self._tasks is not None:
                self._tasks.start_soon(self._keep_link, dispatcher)
        return dispatcher

    async def _keep_link(self, dispatcher: _Dispatcher) -> None:
        address = f"{dispatcher.vm}:{self._settings.dispatch_port}"
        delays = Backoff(Random())
        while self._is_wanted(dispatcher):
            if await dial_once(address, self._end, partial(self._listen, dispatcher)):
                delays.reset()
            dispatcher.tried.set()
            await anyio.sleep(delays.next().total_seconds())
        del self._dispatchers[dispatcher.vm]

    def _is_wanted(self, dispatcher: _Dispatcher) -> bool:
        known = {view.vm for view in self._view.vms}
        return dispatcher.vm in known or not known

    async def _listen(self, dispatcher: _Dispatcher, link: PeerLink) -> None:
        dispatcher.link = link
        self._report_held(dispatcher.vm, link)
        dispatcher.tried.set()
        try:
            async for message in link:
                self._take(link, message)
        finally:
            dispatcher.link = None
            self._fail_waiters(dispatcher.vm)

    def _fail_waiters(self, vm: str) -> None:
        for waiter in self._waiters.values():
            if waiter.vm == vm and not waiter.answered.is_set():
                waiter.settle(None)

    def _take(self, link: PeerLink, message: object) -> None:
        match message:
            case Grant() | Refusal():
                self._take_answer(link, message)
            case HeldGrantsRequest():
                self._report_slice(message.slice_id, link.remote.vm, link)
            case GrantRevoke():
                holding = self._held.get(message.grant_id)
                if holding is not None:
                    holding.slot.revoked.set()

    def _take_answer(self, link: PeerLink, answer: Grant | Refusal) -> None:
        waiter = self._waiters.get(answer.request_id)
        if waiter is not None and waiter.vm == link.remote.vm:
            waiter.settle(self._held_if_granted(answer, waiter))
            return
        self._end.counters.incr("grants.late_answers")
        if isinstance(answer, Grant):
            self._give_back_unused(link, answer)

    def _follow_owners(self) -> None:
        """Link to the owners that matter here, and report to those that are new."""
        owners = dict(self._owners_that_matter())
        for slice_id, vm in owners.items():
            link = self._dispatcher(vm).open_link
            if self._owners.get(slice_id) != vm and link is not None:
                self._report_slice(slice_id, vm, link)
        self._owners = owners

    def _owners_that_matter(self) -> Iterator[tuple[str, str]]:
        parts = self._view.slices
        wanted = {each.slot.request.slice_id for each in self._held.values()}
        wanted.update(self._choice.home_ids())
        for slice_id in wanted & parts.keys():
            vms = self._view.live_vms(parts[slice_id].data_centre)
            for vm in ranked(slice_id, vms)[:1]:
                yield slice_id, vm

    def _report_held(self, vm: str, link: PeerLink) -> None:
        """Tell a dispatcher what is held on each slice that it owns, or owned."""
        owned = {each for each, owner in self._owners_that_matter() if owner == vm}
        for slice_id in owned | self._reported.pop(vm, set()):
            self._report_slice(slice_id, vm, link)

    def _report_slice(self, slice_id: str, vm: str, link: PeerLink) -> None:
        holdings = [
            each
            for each in self._held.values()
            if each.slot.request.slice_id == slice_id
        ]
        for holding in holdings:
            holding.vms.add(vm)
        self._reported.setdefault(vm, set()).add(slice_id)
        reports = [holding.slot.report() for holding in holdings]
        link.send(HeldGrants(slice_id=slice_id, grants=reports))


def _refusal_error(refusal: Refusal) -> ChivespanError:
    known = refusal.error in ErrorKind.__members__.values()
    return ChivespanError(
        ErrorKind(refusal.error) if known else ErrorKind.NO_CAPACITY,
        "refused by the slice's owner",
        retry_after=refusal.retry_after_ms * MILLISECOND or None,
        shares=refusal.shares,
    )
