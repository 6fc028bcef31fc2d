"""CPU time and message bytes of a grant in the dispatcher; prints JSON lines."""

import json
import time
from dataclasses import asdict, dataclass
from datetime import timedelta

import anyio
import fire

from bench.policysite import Deployment, GenerationTask, Site
from chivespan.clock import ManualClock
from chivespan.codec import decode_message, encode_message
from chivespan.messages import Grant, GrantRelease, GrantRequest, Outcome, WorkClass
from chivespan.policies import Policies
from chivespan.scheduler import SliceScheduler
from chivespan.slices import Slice
from standins.enginebatch import EngineOptions

HOLDER = "10.0.0.1/entry"


@dataclass(frozen=True)
class GrantCost:
    """One line of the output.

    :param schedule_us: CPU time of acquire and release in the scheduler.
    :param codec_us: CPU time of encoding and decoding the three messages.
    :param wire_bytes: total size of request, grant and release.
    """

    targets: int
    queued_batch: int
    work_class: str
    schedule_us: float
    codec_us: float
    wire_bytes: int


async def _measure(
    targets: int, queued_batch: int, work_class: WorkClass, grants: int
) -> GrantCost:
    site = Site(Deployment("cost", 1, targets), Policies(), EngineOptions())
    part = next(iter(site.slices.values()))
    clock = ManualClock()
    scheduler = SliceScheduler(
        part, site.configuration, clock, Policies(), lambda _holder, _grant: None
    )
    clock.advance(timedelta(seconds=2))
    scheduler.expire()
    async with anyio.create_task_group() as tasks:
        for index in range(queued_batch):
            request = _request(site, part, f"queued-{index}", WorkClass.batch)
            tasks.start_soon(scheduler.acquire, request, HOLDER)
        await anyio.lowlevel.checkpoint()
        request = _request(site, part, "measured", work_class)
        began = time.process_time()
        for _ in range(grants):
            grant = await scheduler.acquire(request, HOLDER)
            scheduler.release(_release(grant))
        spent = time.process_time() - began
        tasks.cancel_scope.cancel()
    codec_us, size = _codec_cost(request, grant, grants)
    schedule_us = spent / grants * 1e6
    return GrantCost(
        targets, queued_batch, work_class.value, schedule_us, codec_us, size
    )


def _request(site: Site, part: Slice, name: str, work_class: WorkClass) -> GrantRequest:
    work = GenerationTask(name, name, 40)
    request = site.request(work, "owner0", work_class)
    return GrantRequest(**{**asdict(request), "slice_id": part.slice_id})


def _release(grant: Grant) -> GrantRelease:
    return GrantRelease(
        grant_id=grant.grant_id,
        outcome=Outcome.done,
        first_token_us=50_000,
        token_gap_us=20_000,
        tokens=40,
    )


def _codec_cost(request: GrantRequest, grant: Grant, times: int) -> tuple[float, int]:
    messages = (request, grant, _release(grant))
    began = time.process_time()
    for _ in range(times):
        for message in messages:
            decode_message(encode_message(message))
    spent = time.process_time() - began
    return spent / times * 1e6, sum(
        len(encode_message(message)) for message in messages
    )


def main(grants: int = 5000) -> None:
    """Measure grants of both work classes on slices of current and target size."""
    for targets, queued, work_class in (
        (2, 0, WorkClass.online),
        (16, 0, WorkClass.online),
        (16, 0, WorkClass.batch),
        (16, 256, WorkClass.online),
    ):
        cost = anyio.run(_measure, targets, queued, work_class, grants)
        print(json.dumps(asdict(cost)))


if __name__ == "__main__":
    fire.Fire(main)
