"""Runs one batch worker on a log service, with targets that respond immediately.

It measures the cost of the state alone (reading, folding and appending), without
engines.
"""

import json
import os
from collections.abc import AsyncGenerator
from dataclasses import dataclass
from datetime import timedelta

import anyio
import fire

from chivespan.clock import SystemClock
from chivespan.configuration import Configuration
from chivespan.documents import Service, ServiceKind
from chivespan.engineapi import EngineRequest
from chivespan.engineclient import StreamLimits, Token
from chivespan.heldslot import HeldSlot
from chivespan.httplog import HttpLog
from chivespan.itemrunner import ItemRunner
from chivespan.jobfold import jobs_stream
from chivespan.jobmessages import JobPhase
from chivespan.messages import Grant, GrantRequest
from chivespan.metrics import Metrics
from chivespan.partitions import PartitionContext, Partitions
from chivespan.plainclient import PlainRequest
from chivespan.settings import NodeSettings
from chivespan.targethttp import HttpResponse

SERVICE = Service(name="notes", kind=ServiceKind.model, models=["m"])
OWNER = "bench"


def configuration() -> Configuration:
    """Return a configuration with one service."""
    result = Configuration()
    result.services = {SERVICE.name: SERVICE}
    return result


class InstantSlots:
    """Grants every slot immediately."""

    async def acquire(self, request: GrantRequest) -> HeldSlot:
        await anyio.lowlevel.checkpoint()
        grant = Grant(
            request_id=request.request_id,
            grant_id="",
            target="t",
            address="",
            lifetime_ms=1000,
        )
        return HeldSlot(grant, request, lambda _release: None)


class InstantTargets:
    """Responds to every request with one token."""

    async def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
    ) -> AsyncGenerator[Token, None]:
        await anyio.lowlevel.checkpoint()
        yield Token(0, request.prompt, "stop")

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        return HttpResponse(200, "", b"")


@dataclass(frozen=True)
class WorkerResult:
    """Result of one worker."""

    items: int
    appends: int
    seconds: float
    cpu_seconds: float
    started_at: float
    ended_at: float


def context(
    log_url: str, writer: str, partitions: int, appends_per_s: int
) -> PartitionContext:
    """Return the context shared by a worker's partitions."""
    clock, metrics, targets = SystemClock(), Metrics(), InstantTargets()
    return PartitionContext(
        settings=NodeSettings(
            vm=writer,
            data_centre="",
            region="",
            log_url=log_url,
            vm_list_url="",
            peer_key="",
            partitions=partitions,
            log_appends_per_s=appends_per_s,
        ),
        log=HttpLog(log_url),
        writer=writer,
        clock=clock,
        metrics=metrics,
        items=ItemRunner(InstantSlots(), targets, targets, clock, metrics),
        configuration=configuration,
    )


async def run_worker(
    log_url: str, writer: str, partitions: int, mine: list[int], appends_per_s: int
) -> WorkerResult:
    """Run all jobs of the partitions ``mine`` to completion."""
    clock = SystemClock()
    shared = Partitions(context(log_url, writer, partitions, appends_per_s))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(shared.run)
        await shared.wait_started()
        for number in mine:
            await shared.jobs(number).follower.wait_caught_up()
        began, began_at = clock.monotonic(), clock.now()
        shared.set_owned(frozenset(map(jobs_stream, mine)))
        for number in mine:
            part = shared.jobs(number)
            while any(job.phase is JobPhase.accepted for job in part.store.fold.jobs()):
                await part.follower.wait_changed()
        ended, ended_at = clock.monotonic(), clock.now()
        jobs = [job for n in mine for job in shared.jobs(n).store.fold.jobs()]
        appends = sum(shared.jobs(number).appends for number in mine)
        tasks.cancel_scope.cancel()
    times = os.times()
    return WorkerResult(
        items=sum(job.done for job in jobs),
        appends=appends,
        seconds=(ended - began).total_seconds(),
        cpu_seconds=times.user + times.system,
        started_at=began_at.timestamp(),
        ended_at=ended_at.timestamp(),
    )


def main(
    log_url: str, writer: str, partitions: int, mine: str, appends_per_s: int
) -> None:
    """Run one worker and print its result as JSON."""
    numbers = [int(number) for number in str(mine).split("+")]
    result = anyio.run(
        run_worker,
        log_url,
        writer,
        partitions,
        numbers,
        appends_per_s,
        backend_options={"use_uvloop": True},
    )
    print(json.dumps(vars(result)))


if __name__ == "__main__":
    fire.Fire(main)
