"""Fake peers and targets of the dispatcher that a capacity run measures."""

from collections.abc import Callable

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from bench.capacitydocs import SLOTS
from chivespan.codec import encode_message
from chivespan.dispatcher import REMOTE_PUSH_INTERVAL
from chivespan.engineapi import EngineLoad
from chivespan.linkmessages import Heartbeat, Hello, SliceLoad
from chivespan.messages import MembershipUpdate, VmState, VmView
from chivespan.peerlink import PeerLink

REGION = "region-0"
REMOTE_REPORT_S = REMOTE_PUSH_INTERVAL.total_seconds()
VMS_PER_CENTRE = 30


def changing_load(vm: str) -> Callable[[Hello], bytes]:
    """Return a heartbeat function whose load changes each time, as under traffic."""
    heartbeats_sent = 0

    def heartbeat(_remote: Hello) -> bytes:
        nonlocal heartbeats_sent
        heartbeats_sent += 1
        load = SliceLoad(
            slice_id=f"booking-lm/centre-0/{vm}",
            free_slots=heartbeats_sent % 64,
            total_slots=128,
            queued_online=0,
            batch_running=heartbeats_sent % 40,
        )
        return encode_message(Heartbeat(config_offset=-1, leaving=False, slices=[load]))

    return heartbeat


class LoadReports:
    """Answers the load probes of all targets."""

    def __init__(self) -> None:
        self.app = Starlette(routes=[Route("/load", self._load)])
        self._body = msgspec.json.encode(
            EngineLoad(slots=SLOTS, running=2, waiting=0, kv_used=0.5, state="ready")
        )

    async def run(self) -> None:
        """Return at once; the stand-in has no background work."""

    async def _load(self, request: Request) -> Response:
        return Response(self._body, media_type="application/json")


async def report_remote_centre(centre: str, link: PeerLink) -> None:
    """Send the load of a remote data centre until the link closes."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_reports, centre, link)
        async for _ in link:
            pass
        tasks.cancel_scope.cancel()


async def _send_reports(centre: str, link: PeerLink) -> None:
    sequence = 0
    while link.is_open:
        sequence += 1
        views = [_remote_view(centre, n, sequence) for n in range(VMS_PER_CENTRE)]
        link.send(MembershipUpdate(vms=views, whole=False))
        await anyio.sleep(REMOTE_REPORT_S)


def _remote_view(centre: str, number: int, sequence: int) -> VmView:
    load = SliceLoad(
        slice_id=f"booking-lm/{centre}/{number}",
        free_slots=(sequence + number) % 64,
        total_slots=128,
        queued_online=0,
    )
    return VmView(
        vm=f"10.200.{centre[-1]}.{number + 1}",
        data_centre=centre,
        region=REGION,
        state=VmState.live,
        config_offset=1,
        slices=[load],
    )
