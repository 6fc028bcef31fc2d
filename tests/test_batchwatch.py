"""A batch program that is away is noticed, and noticed again when it is back."""

from datetime import timedelta

import anyio
import pytest

from chivespan.batchwatch import BatchWatch
from chivespan.clock import SystemClock
from chivespan.messages import Program
from chivespan.metrics import Metrics
from chivespan.peerlink import LinkEnd, LinkOptions, PeerLink, listen, new_hello
from tests.batchfakes import SETTINGS

pytestmark = pytest.mark.anyio

GRACE = timedelta(milliseconds=100)


async def _read(link: PeerLink) -> None:
    async for _ in link:
        pass


async def _wait_silent(watch: BatchWatch, expected: frozenset[str]) -> None:
    with anyio.fail_after(5):
        while watch.silent != expected:
            await anyio.sleep(0.005)


async def test_batch_program_that_is_away_is_silent_until_it_is_back() -> None:
    options = LinkOptions.from_settings(SETTINGS)
    hello = new_hello(SETTINGS, Program.batch)
    end = LinkEnd(hello, options, SystemClock(), Metrics())
    watched = frozenset({SETTINGS.vm})
    async with anyio.create_task_group() as tasks:
        async with listen(SETTINGS.vm, 0, end, _read) as port:
            watch = BatchWatch(end, port, GRACE)
            tasks.start_soon(watch.run)
            await anyio.sleep(0.01)
            watch.watch(watched)
            await anyio.sleep(2 * GRACE.total_seconds())
            assert not watch.silent
        await _wait_silent(watch, watched)
        async with listen(SETTINGS.vm, port, end, _read):
            await _wait_silent(watch, frozenset())
            watch.watch(frozenset())
        await anyio.sleep(2 * GRACE.total_seconds())
        assert not watch.silent
        tasks.cancel_scope.cancel()
