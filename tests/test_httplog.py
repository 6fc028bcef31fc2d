"""The client of the log service against its stand-in, over real connections."""

from datetime import timedelta

import anyio
import pytest

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httplog import MAX_CONNECTIONS, HttpLog
from chivespan.platformservices import LogNotReached, LogRecord
from tools.cluster import Cluster, Site, put, random_address_block

pytestmark = pytest.mark.anyio
NO_WAIT = timedelta(0)


async def test_calls_and_faults_of_the_log_service() -> None:
    site = Site(
        data_centres=(),
        region="r",
        block=random_address_block(),
        engines=1,
        log_flags={"retention": "3"},
    )
    with Cluster(site):
        log = HttpLog(site.log_url)
        assert await log.append("a.b", [b"0", b"1"]) == 0
        assert await log.append("a.b", [b"2"]) == 2
        page = await log.read("a.b", 1, 1, NO_WAIT)
        assert page.records == (LogRecord(1, b"1"),)
        assert (page.oldest, page.end) == (0, 3)
        assert (await log.read("unknown", 0, 1, timedelta(milliseconds=10))).end == 0
        assert await log.append("a.b", [b"3"]) == 3
        with pytest.raises(ChivespanError) as expired:
            await log.read("a.b", 0, 1, NO_WAIT)
        assert expired.value.kind is ErrorKind.LOG_EXPIRED
        put(f"{site.log_url}/faults", {"down": True})
        with pytest.raises(ChivespanError) as unavailable:
            await log.bounds("a.b")
        assert unavailable.value.kind is ErrorKind.LOG_UNAVAILABLE
        assert not isinstance(unavailable.value, LogNotReached)
        await log.aclose()
    with pytest.raises(LogNotReached):
        await HttpLog(site.log_url).append("a.b", [b"4"])


async def test_many_waiting_reads_do_not_delay_an_append() -> None:
    site = Site(data_centres=(), region="r", block=random_address_block(), engines=1)
    with Cluster(site):
        log = HttpLog(site.log_url)
        async with anyio.create_task_group() as tasks:
            for number in range(MAX_CONNECTIONS + 8):
                tasks.start_soon(log.read, f"s{number}", 0, 1, timedelta(seconds=5))
            await anyio.sleep(0.3)
            with anyio.fail_after(2):
                assert await log.append("s0", [b"0"]) == 0
            tasks.cancel_scope.cancel()
        await log.aclose()
