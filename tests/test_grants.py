"""Grants over links: owners lost, slices taken over, askers cut off."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import anyio
import pytest

from chivespan.documents import DataCentre, DocumentKind, Rule, Runner, WorkClassRule
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.heldslot import HeldSlot, slot_share
from chivespan.messages import (
    Grant,
    GrantAbandon,
    GrantRelease,
    GrantRequest,
    GrantRevoke,
    HeldGrants,
    Outcome,
    Program,
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
    Asker,
    ControlNode,
    Platform,
    added,
    asker,
    control_nodes,
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
class TwoCentres:
    """A running site of two data centres, and an asker in the first."""

    nodes: list[ControlNode]
    entry: Asker


def targets(nodes: Sequence[ControlNode]) -> list[TargetStatus]:
    return [each for node in nodes for each in node.dispatcher.status("").targets]


def running(nodes: Sequence[ControlNode]) -> int:
    return sum(each.online_running + each.batch_running for each in targets(nodes))


def owner_of(nodes: Sequence[ControlNode]) -> ControlNode | None:
    return next((node for node in nodes if targets([node])), None)


def queued(node: ControlNode) -> int:
    views = node.dispatcher.membership.views
    return sum(load.queued_online for load in views[node.vm].slices)


async def acquire_many(entry: Asker, numbers: Sequence[int]) -> list[HeldSlot]:
    slots: list[HeldSlot] = []

    async def one(number: int) -> None:
        slots.append(await entry.client.acquire(request(number)))

    async with anyio.create_task_group() as tasks:
        for number in numbers:
            tasks.start_soon(one, number)
    return slots


async def acquire_all(entry: Asker, slots: list[HeldSlot]) -> None:
    while True:
        slots.append(await entry.client.acquire(request(len(slots))))


async def test_grant_and_release_through_an_owner() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with control_nodes(platform, VMS) as nodes, asker(platform, VMS[0]) as entry:
        slots = await acquire_many(entry, range(CAPACITY))
        assert running(nodes) == CAPACITY
        for slot in slots:
            slot.release(Outcome.done, tokens=16)
            slot.release(Outcome.failed)
        await until(lambda: running(nodes) == 0)
        usage = owner_of(nodes)
        assert usage is not None


@asynccontextmanager
async def two_centres(
    platform: Platform, *changes: DocumentChange
) -> AsyncIterator[TwoCentres]:
    """Run a node in each of two data centres, with a target more in the far one.

    :param changes: of the inventory, published after it.
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
            async with asker(platform, VMS[0]) as entry:
                await until(lambda: len(entry.view.loads) == 2)
                yield TwoCentres(nodes, entry)
            tasks.cancel_scope.cancel()


async def test_full_slice_is_passed_over_before_its_load_is_known() -> None:
    async with two_centres(Platform()) as site:
        slots: list[HeldSlot] = []

        async def patient(number: int) -> None:
            wanted = replace(request(number), deadline_ms=600_000)
            slots.append(await site.entry.client.acquire(wanted))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as patients:
                for number in range(CAPACITY + SLOTS):
                    patients.start_soon(patient, number)
        assert FAR in {slot.grant.target for slot in slots}
        assert running(site.nodes) == CAPACITY + SLOTS


async def test_request_queued_far_comes_back_to_a_slice_it_could_not_reach(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests queued at a full far slice for their whole deadline, near ones free."""
    async with two_centres(Platform()) as site:
        client, link = site.entry.client, site.entry.client._link
        cut_off = True

        async def link_unless_cut(vm: str) -> PeerLink | None:
            return None if cut_off and vm == VMS[0] else await link(vm)

        monkeypatch.setattr(client, "_link", link_unless_cut)
        slots: list[HeldSlot] = []

        async def patient(number: int) -> None:
            wanted = replace(request(number), deadline_ms=600_000)
            slots.append(await client.acquire(wanted))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as patients:
                for number in range(CAPACITY + SLOTS):
                    patients.start_soon(patient, number)
                await anyio.sleep(0.3)
                cut_off = False
        assert running(site.nodes) == CAPACITY + SLOTS


async def test_owner_within_its_limit_is_not_refused_for_a_slice_s_part() -> None:
    """The near slice's part of the limit is 4 and the far one's 2."""
    limit = 6
    rule = Rule(
        name=WorkClass.online.value,
        owner="owner",
        service=SERVICE,
        work_class=WorkClassRule.online,
        max_in_progress=limit,
    )
    limited = replace(added(DocumentKind.rule, rule.name, rule), base_version=1)
    async with two_centres(Platform(), limited) as site:
        for number in range(limit):
            await site.entry.client.acquire(request(number))
        with pytest.raises(ChivespanError) as refused:
            await site.entry.client.acquire(request(limit))
        assert refused.value.kind is ErrorKind.OWNER_LIMIT


async def test_abandoned_wait_leaves_no_slot_in_use() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with control_nodes(platform, VMS) as nodes, asker(platform, VMS[0]) as entry:
        slots = await acquire_many(entry, range(CAPACITY))
        with anyio.move_on_after(0.1) as scope:
            await entry.client.acquire(request(100))
        assert scope.cancelled_caught
        slots[0].release(Outcome.done)
        await until(lambda: running(nodes) == CAPACITY - 1)
        await anyio.sleep(0.1)
        assert running(nodes) == CAPACITY - 1


async def test_owner_lost_mid_wait_is_replaced_and_slots_stay_counted() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with control_nodes(platform, VMS) as nodes, asker(platform, VMS[0]) as entry:
        held = await acquire_many(entry, range(CAPACITY))
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
            held.pop().release(Outcome.done)
            await until(lambda: bool(late), 3)
        used = targets(nodes)
        assert all(each.online_running <= each.slots for each in used)
        assert running(nodes) == CAPACITY
        for slot in [*held, *late]:
            slot.release(Outcome.done)
        await until(lambda: running(nodes) == 0)


async def test_newcomer_that_takes_a_slice_over_learns_what_is_held() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    newcomer = first_in_order(VMS[0])
    async with (
        control_nodes(platform, VMS[:1]) as nodes,
        asker(platform, VMS[0]) as entry,
        anyio.create_task_group() as tasks,
    ):
        held = await acquire_many(entry, range(CAPACITY))
        platform.list_vms(newcomer)
        nodes.append(start_node(tasks, platform, newcomer))
        await until(lambda: running(nodes[1:]) == CAPACITY, 5)
        assert targets(nodes[:1]) == []
        for slot in held:
            slot.release(Outcome.done)
        await until(lambda: running(nodes) == 0)
        assert "grants.releases_unsent" not in entry.metrics.counters
        tasks.cancel_scope.cancel()


def first_in_order(vm: str) -> str:
    """Return a VM that goes before another for the only slice."""
    candidates = [f"127.41.0.{number}" for number in range(2, 30)]
    slice_id = f"{SERVICE}/{CENTRE}/0"
    return next(each for each in candidates if ranked(slice_id, [vm, each])[0] == each)


async def test_revoked_batch_grant_reaches_its_holder() -> None:
    platform = Platform()
    platform.publish(*inventory(1, 2))
    async with (
        control_nodes(platform, VMS[:2]) as nodes,
        asker(platform, VMS[0]) as entry,
        asker(platform, VMS[1], Program.batch) as batch,
    ):
        slots: list[HeldSlot] = []
        with anyio.fail_after(5):
            for number in range(2):
                wanted = request(number, WorkClass.batch)
                slots.append(await batch.client.acquire(wanted))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.client.acquire, request(100))
            await until(lambda: any(slot.revoked.is_set() for slot in slots))
            for slot in slots:
                slot.release(Outcome.cancelled)
        await until(lambda: running(nodes) == 1)


async def test_revocation_right_behind_its_grant_is_not_lost() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    reported = anyio.Event()

    async def grant_and_revoke(link: PeerLink) -> None:
        async for message in link:
            if isinstance(message, HeldGrants):
                reported.set()
            elif isinstance(message, GrantRequest):
                link.send(late_grant(message.request_id, "taken-back"))
                link.send(GrantRevoke(grant_id="taken-back"))

    async with (
        control_nodes(platform, VMS[:1]) as nodes,
        asker(platform, VMS[0], Program.batch) as batch,
    ):
        await until(lambda: bool(targets(nodes)))
        nodes[0].stop()
        await nodes[0].ended.wait()
        async with listen(VMS[0], platform.port, dispatch_end(), grant_and_revoke):
            await until(reported.is_set)
            slot = await batch.client.acquire(request(1, WorkClass.batch))
            with anyio.fail_after(1):
                await slot.revoked.wait()


async def test_cut_off_from_all_uses_a_fixed_share_for_online_only() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    async with control_nodes(platform, VMS) as nodes, asker(platform, VMS[0]) as entry:
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


async def test_late_grant_for_an_abandoned_request_is_given_back() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS))
    heard: list[object] = []
    reported = anyio.Event()

    async def answer_late(link: PeerLink) -> None:
        async for message in link:
            if isinstance(message, HeldGrants):
                reported.set()
            elif isinstance(message, GrantRequest | GrantAbandon | GrantRelease):
                heard.append(message)
            if isinstance(message, GrantAbandon):
                link.send(late_grant(message.request_id, "late"))
                link.send(late_grant("never-asked", "stray"))

    async with (
        control_nodes(platform, VMS[:1]) as nodes,
        asker(platform, VMS[0]) as entry,
    ):
        await until(lambda: bool(targets(nodes)))
        nodes[0].stop()
        await nodes[0].ended.wait()
        async with listen(VMS[0], platform.port, dispatch_end(), answer_late):
            await until(reported.is_set)
            with anyio.move_on_after(0.2):
                await entry.client.acquire(request(1))
            await until(lambda: len(heard) == 4)
    asked, abandoned, *given_back = heard
    assert isinstance(asked, GrantRequest)
    assert abandoned == GrantAbandon(request_id=asked.request_id)
    assert given_back == [
        GrantRelease(grant_id=grant_id, outcome=Outcome.not_sent)
        for grant_id in ("late", "stray")
    ]
    assert entry.metrics.counters["grants.late_answers"] == 2


def late_grant(request_id: str, grant_id: str) -> Grant:
    return Grant(
        request_id=request_id,
        grant_id=grant_id,
        target="runner-0",
        address="127.9.0.1:9000",
        lifetime_ms=1000,
    )


def dispatch_end() -> LinkEnd:
    return end_of(VMS[0])


async def test_unknown_service_is_refused_and_the_refusal_names_it() -> None:
    platform = Platform()
    platform.publish(*inventory(TARGETS, SLOTS)[:-2])
    async with control_nodes(platform, VMS[:1]), asker(platform, VMS[0]) as entry:
        with pytest.raises(ChivespanError) as refused:
            await entry.client.acquire(request(1))
        assert refused.value.kind is ErrorKind.NO_RULE
        assert SERVICE in {part.service for part in entry.view.slices.values()}
