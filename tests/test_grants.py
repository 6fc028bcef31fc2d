"""Grants over links: lost slice owners, takeovers, and disconnected clients."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import anyio
import pytest

from chivespan.documents import DataCentre, DocumentKind, Rule, Runner, WorkClassRule
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.heldslot import HeldSlot, slot_share
from chivespan.linkmessages import Program
from chivespan.messages import (
    Grant,
    GrantAbandon,
    GrantRelease,
    GrantRequest,
    GrantRevoke,
    HeldGrants,
    Outcome,
    TargetStatus,
    WorkClass,
)
from chivespan.peerlink import LinkEnd, PeerLink, listen
from chivespan.placement import ranked
from chivespan.records import DocumentChange
from tests.controlnodes import (
    CENTRE,
    MODEL,
    REGION,
    SERVICE,
    ControlNode,
    GrantRequester,
    Platform,
    added,
    control_nodes,
    grant_requester,
    inventory,
    request,
    start_node,
    until,
)
from tests.test_peerlink import end_of

pytestmark = pytest.mark.anyio

VMS = ("127.41.0.1", "127.41.0.2", "127.41.0.3")
TARGETS = 2
SLOTS = 4
CAPACITY = TARGETS * SLOTS
FAR = "far"


@dataclass(frozen=True)
class TwoDataCentreSite:
    """A running site of two data centres, with a client in the first."""

    nodes: list[ControlNode]
    entry: GrantRequester


def targets(nodes: Sequence[ControlNode]) -> list[TargetStatus]:
    return [each for node in nodes for each in node.dispatcher.status("").targets]


def running(nodes: Sequence[ControlNode]) -> int:
    return sum(each.online_running + each.batch_running for each in targets(nodes))


def owner_of(nodes: Sequence[ControlNode]) -> ControlNode | None:
    return next((node for node in nodes if targets([node])), None)


def queued(node: ControlNode) -> int:
    views = node.dispatcher.membership.views
    return sum(load.queued_online for load in views[node.vm].slices)


async def acquire_many(entry: GrantRequester, numbers: Sequence[int]) -> list[HeldSlot]:
    slots: list[HeldSlot] = []

    async def acquire_one(number: int) -> None:
        slots.append(await entry.client.acquire(request(number)))

    async with anyio.create_task_group() as tasks:
        for number in numbers:
            tasks.start_soon(acquire_one, number)
    return slots


async def acquire_all(entry: GrantRequester, slots: list[HeldSlot]) -> None:
    while True:
        slots.append(await entry.client.acquire(request(len(slots))))


async def test_slots_are_granted_and_released_once() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with (
        control_nodes(platform, VMS) as nodes,
        grant_requester(platform, VMS[0]) as entry,
    ):
        slots = await acquire_many(entry, range(CAPACITY))
        assert running(nodes) == CAPACITY
        for slot in slots:
            slot.release(Outcome.done, tokens=16)
            slot.release(Outcome.failed)
        await until(lambda: running(nodes) == 0)
        owner = owner_of(nodes)
        assert owner is not None


@asynccontextmanager
async def two_data_centres(
    platform: Platform, *changes: DocumentChange
) -> AsyncIterator[TwoDataCentreSite]:
    """Run a node in each of two data centres; the remote one has one target.

    :param changes: changes of the inventory, published after it.
    """
    other, far_vm = "other-centre", "127.41.1.1"
    far = Runner(
        name=FAR,
        service=SERVICE,
        address="127.9.1.1:9000",
        data_centre=other,
        slots=SLOTS,
        model=MODEL,
    )
    platform.publish(
        *inventory(TARGETS, SLOTS),
        added(DocumentKind.data_centre, other, DataCentre(name=other, region=REGION)),
        added(DocumentKind.runner, far.name, far),
    )
    if changes:
        platform.publish(*changes)
    async with control_nodes(platform, VMS[:1]) as nodes:
        platform.list_vms(far_vm, centre=other)
        async with anyio.create_task_group() as tasks:
            nodes.append(start_node(tasks, platform, far_vm, other))
            async with grant_requester(platform, VMS[0]) as entry:
                await until(lambda: len(entry.view.loads) == 2)
                yield TwoDataCentreSite(nodes, entry)
            tasks.cancel_scope.cancel()


async def test_full_slice_is_skipped_before_its_load_is_known() -> None:
    async with two_data_centres(Platform()) as site:
        slots: list[HeldSlot] = []

        async def long_request(number: int) -> None:
            grant_request = replace(request(number), deadline_ms=600_000)
            slots.append(await site.entry.client.acquire(grant_request))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                for number in range(CAPACITY + SLOTS):
                    tasks.start_soon(long_request, number)
        assert FAR in {slot.grant.target for slot in slots}
        assert running(site.nodes) == CAPACITY + SLOTS


async def test_remotely_queued_request_retries_an_unreachable_slice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request skips an unreachable local owner and queues at a full remote slice.

    It must not stay there until its deadline while local slots are free.
    """
    async with two_data_centres(Platform()) as site:
        client, link = site.entry.client, site.entry.client._link
        unreachable = True

        async def link_unless_unreachable(vm: str) -> PeerLink | None:
            return None if unreachable and vm == VMS[0] else await link(vm)

        monkeypatch.setattr(client, "_link", link_unless_unreachable)
        slots: list[HeldSlot] = []

        async def long_request(number: int) -> None:
            grant_request = replace(request(number), deadline_ms=600_000)
            slots.append(await client.acquire(grant_request))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                for number in range(CAPACITY + SLOTS):
                    tasks.start_soon(long_request, number)
                await anyio.sleep(0.3)
                unreachable = False
        assert running(site.nodes) == CAPACITY + SLOTS


async def test_owner_can_use_its_whole_limit_across_slices() -> None:
    """The limit of 6 is split into 4 for the local slice and 2 for the remote one."""
    limit = 6
    rule = Rule(
        name=WorkClass.online.value,
        owner="owner",
        service=SERVICE,
        work_class=WorkClassRule.online,
        max_in_progress=limit,
    )
    limited = replace(added(DocumentKind.rule, rule.name, rule), base_version=1)
    async with two_data_centres(Platform(), limited) as site:
        for number in range(limit):
            await site.entry.client.acquire(request(number))
        with pytest.raises(ChivespanError) as refused:
            await site.entry.client.acquire(request(limit))
        assert refused.value.kind is ErrorKind.OWNER_LIMIT


async def test_abandoned_wait_leaves_no_slot_in_use() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with (
        control_nodes(platform, VMS) as nodes,
        grant_requester(platform, VMS[0]) as entry,
    ):
        slots = await acquire_many(entry, range(CAPACITY))
        with anyio.move_on_after(0.1) as scope:
            await entry.client.acquire(request(100))
        assert scope.cancelled_caught
        slots[0].release(Outcome.done)
        await until(lambda: running(nodes) == CAPACITY - 1)
        await anyio.sleep(0.1)
        assert running(nodes) == CAPACITY - 1


async def test_lost_slice_owner_is_replaced_and_slots_stay_counted() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with (
        control_nodes(platform, VMS) as nodes,
        grant_requester(platform, VMS[0]) as entry,
    ):
        slots = await acquire_many(entry, range(CAPACITY))
        owner = owner_of(nodes)
        assert owner is not None
        async with anyio.create_task_group() as tasks:
            late: list[HeldSlot] = []

            async def wait_for_one() -> None:
                late.append(await entry.client.acquire(request(100)))

            tasks.start_soon(wait_for_one)
            await until(lambda: queued(owner) == 1)
            nodes.remove(owner)
            owner.stop()
            await until(lambda: running(nodes) == CAPACITY, 3)
            assert late == []
            slots.pop().release(Outcome.done)
            await until(lambda: bool(late), 3)
        used = targets(nodes)
        assert all(each.online_running <= each.slots for each in used)
        assert running(nodes) == CAPACITY
        for slot in [*slots, *late]:
            slot.release(Outcome.done)
        await until(lambda: running(nodes) == 0)


async def test_new_slice_owner_receives_the_held_grants() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    newcomer = preferred_owner(VMS[0])
    async with (
        control_nodes(platform, VMS[:1]) as nodes,
        grant_requester(platform, VMS[0]) as entry,
        anyio.create_task_group() as tasks,
    ):
        slots = await acquire_many(entry, range(CAPACITY))
        platform.list_vms(newcomer)
        nodes.append(start_node(tasks, platform, newcomer))
        await until(lambda: running(nodes[1:]) == CAPACITY, 5)
        assert targets(nodes[:1]) == []
        for slot in slots:
            slot.release(Outcome.done)
        await until(lambda: running(nodes) == 0)
        assert "grants.releases_unsent" not in entry.metrics.counters
        tasks.cancel_scope.cancel()


def preferred_owner(vm: str) -> str:
    """Return a VM that precedes ``vm`` in the rendezvous order of the only slice."""
    candidates = [f"127.41.0.{number}" for number in range(2, 30)]
    slice_id = f"{SERVICE}/{CENTRE}/0"
    return next(each for each in candidates if ranked(slice_id, [vm, each])[0] == each)


async def test_revoked_batch_grant_reaches_its_holder() -> None:
    platform = Platform()
    platform.publish(*inventory(1, 2))
    async with (
        control_nodes(platform, VMS[:2]) as nodes,
        grant_requester(platform, VMS[0]) as entry,
        grant_requester(platform, VMS[1], Program.batch) as batch,
    ):
        slots: list[HeldSlot] = []
        with anyio.fail_after(5):
            for number in range(2):
                grant_request = request(number, WorkClass.batch)
                slots.append(await batch.client.acquire(grant_request))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.client.acquire, request(100))
            await until(lambda: any(slot.revoked.is_set() for slot in slots))
            for slot in slots:
                slot.release(Outcome.cancelled)
        await until(lambda: running(nodes) == 1)


async def test_revocation_directly_after_its_grant_is_not_lost() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    reported = anyio.Event()

    async def grant_and_revoke(link: PeerLink) -> None:
        async for message in link:
            if isinstance(message, HeldGrants):
                reported.set()
            elif isinstance(message, GrantRequest):
                link.send(make_grant(message.request_id, "taken-back"))
                link.send(GrantRevoke(grant_id="taken-back"))

    async with (
        control_nodes(platform, VMS[:1]) as nodes,
        grant_requester(platform, VMS[0], Program.batch) as batch,
    ):
        await until(lambda: bool(targets(nodes)))
        nodes[0].stop()
        await nodes[0].ended.wait()
        async with listen(VMS[0], platform.port, dispatch_end(), grant_and_revoke):
            await until(reported.is_set)
            slot = await batch.client.acquire(request(1, WorkClass.batch))
            with anyio.fail_after(1):
                await slot.revoked.wait()


async def test_without_dispatchers_only_online_work_uses_the_static_share() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with (
        control_nodes(platform, VMS) as nodes,
        grant_requester(platform, VMS[0]) as entry,
    ):
        await until(lambda: len(entry.view.live_vms()) == len(VMS))
        for node in nodes:
            node.stop()
        for node in nodes:
            await node.ended.wait()
        await anyio.sleep(0.2)
        live = entry.view.live_vms()
        runners = entry.view.configuration.runners.values()
        share = sum(slot_share(runner, VMS[0], live) for runner in runners)
        slots: list[HeldSlot] = []
        with pytest.raises(ChivespanError) as refused:
            await acquire_all(entry, slots)
        assert refused.value.kind is ErrorKind.NO_DISPATCHER
        assert refused.value.retry_after is not None
        assert len(slots) == share > 0
        with pytest.raises(ChivespanError):
            await entry.client.acquire(request(100, WorkClass.batch, 200))
        slots[0].release(Outcome.done)
        await entry.client.acquire(request(101))


async def test_late_grant_for_an_abandoned_request_is_released() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    received: list[object] = []
    reported = anyio.Event()

    async def answer_late(link: PeerLink) -> None:
        async for message in link:
            if isinstance(message, HeldGrants):
                reported.set()
            elif isinstance(message, GrantRequest | GrantAbandon | GrantRelease):
                received.append(message)
            if isinstance(message, GrantAbandon):
                link.send(make_grant(message.request_id, "late"))
                link.send(make_grant("never-asked", "stray"))

    async with (
        control_nodes(platform, VMS[:1]) as nodes,
        grant_requester(platform, VMS[0]) as entry,
    ):
        await until(lambda: bool(targets(nodes)))
        nodes[0].stop()
        await nodes[0].ended.wait()
        async with listen(VMS[0], platform.port, dispatch_end(), answer_late):
            await until(reported.is_set)
            with anyio.move_on_after(0.2):
                await entry.client.acquire(request(1))
            await until(lambda: len(received) == 4)
    asked, abandoned, *released = received
    assert isinstance(asked, GrantRequest)
    assert abandoned == GrantAbandon(request_id=asked.request_id)
    assert released == [
        GrantRelease(grant_id=grant_id, outcome=Outcome.not_sent)
        for grant_id in ("late", "stray")
    ]
    assert entry.metrics.counters["grants.late_answers"] == 2


def make_grant(request_id: str, grant_id: str) -> Grant:
    return Grant(
        request_id=request_id,
        grant_id=grant_id,
        target="runner-0",
        address="127.9.0.1:9000",
        lifetime_ms=1000,
    )


def dispatch_end() -> LinkEnd:
    return end_of(VMS[0])


async def test_request_without_a_rule_is_refused() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS)[:-2])
    async with (
        control_nodes(platform, VMS[:1]),
        grant_requester(platform, VMS[0]) as entry,
    ):
        with pytest.raises(ChivespanError) as refused:
            await entry.client.acquire(request(1))
        assert refused.value.kind is ErrorKind.NO_RULE
        assert SERVICE in {part.service for part in entry.view.slices.values()}
