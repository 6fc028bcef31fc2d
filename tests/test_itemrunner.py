"""Cancellation of a worker between the start and the call of a non-idempotent item."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, cast

import anyio
import msgspec
import pytest

from chivespan.callerapi import BatchPlainItem
from chivespan.clock import ManualClock
from chivespan.heldslot import HeldSlot
from chivespan.itemrunner import Item, ItemRunner
from chivespan.messages import GrantRequest
from chivespan.metrics import Metrics
from tests.batchfakes import MS, FakePlain, FakeSlots, configuration

pytestmark = pytest.mark.anyio

BODY = "booking"


@dataclass
class SlowSlots(FakeSlots):
    """Grants the first slot at once, and others only after the gate opens."""

    gate: anyio.Event = field(default_factory=anyio.Event)
    requests: int = 0

    async def acquire(self, request: GrantRequest) -> HeldSlot:
        self.requests += 1
        if self.requests > 1:
            await self.gate.wait()
        return await super().acquire(request)


class RunnerSetup:
    """Runs one item whose slot expires while its start record is appended."""

    def __init__(self) -> None:
        self.slots = SlowSlots()
        self.plain = FakePlain()
        self.ended = anyio.Event()
        self._clock = ManualClock()
        self._runner = ItemRunner(
            self.slots, cast(Any, None), self.plain, self._clock, Metrics(), MS
        )
        self.scope = anyio.CancelScope()

    async def _start(self) -> bool:
        self._clock.advance(timedelta(hours=1))
        return True

    async def _run(self) -> None:
        body = BatchPlainItem(id="1", path="/bookings", body=BODY)
        service = next(
            each
            for each in configuration().services.values()
            if each.kind.value == "plain"
        )
        item = Item(
            request_id="r",
            index=0,
            item_key="1",
            body=msgspec.json.encode(body),
            owner="o",
            model="",
            service=service,
            max_attempts=1,
            start=self._start,
            job_ended=self.ended.wait,
        )
        with self.scope:
            await self._runner.run(item)

    @asynccontextmanager
    async def cancelled_after_start(self) -> AsyncIterator[None]:
        """Cancel the worker while it waits for a new slot, then run the block."""
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run)
                while self.slots.requests < 2:
                    await anyio.sleep(0.01)
                self.scope.cancel()
                await anyio.sleep(0.05)
                yield


async def test_started_item_is_sent_although_its_worker_is_cancelled() -> None:
    setup = RunnerSetup()
    async with setup.cancelled_after_start():
        setup.slots.gate.set()
    assert setup.plain.calls == {BODY: 1}


async def test_started_item_of_an_ended_job_is_not_sent() -> None:
    setup = RunnerSetup()
    async with setup.cancelled_after_start():
        setup.ended.set()
        await anyio.sleep(0.05)
        setup.slots.gate.set()
    assert not setup.plain.calls
