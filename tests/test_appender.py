"""Tests that the appender reports the true outcome of lost, late and repeated appends.

A false report of "accepted" loses a record; a false "not accepted" makes the caller
repeat work that the log already holds.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import anyio
import anyio.lowlevel
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivespan.appender import Appender, AppenderOptions
from chivespan.clock import SystemClock
from chivespan.envelope import OpenedRecord, RecordReader
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import LogNotReached
from chivespan.records import JobCancel
from tests.fakelog import FakeLog

pytestmark = pytest.mark.anyio

STREAM = "s"
MS = timedelta(milliseconds=1)
RETRYING = AppenderOptions(retry_delay=MS)
VOIDING = AppenderOptions(retry_for=timedelta(0), retry_delay=MS)
GIVING_UP = AppenderOptions(
    retry_for=timedelta(0), unknown_after=timedelta(0), retry_delay=MS
)


@asynccontextmanager
async def running_appender(
    log: FakeLog, options: AppenderOptions, writer: str = "w1"
) -> AsyncIterator[Appender]:
    appender = Appender(log, STREAM, writer, SystemClock(), options)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(appender.run)
        yield appender
        tasks.cancel_scope.cancel()


def cancel(name: str) -> JobCancel:
    return JobCancel(job_id=name, reason="")


def effective_records(log: FakeLog) -> list[OpenedRecord]:
    """Return the records that are effective for a reader of the whole stream."""
    reader = RecordReader()
    opened = [reader.read(record) for record in log.records(STREAM)]
    return [one for one in opened if one]


def job_ids_of(log: FakeLog) -> list[str]:
    records = [one.record for one in effective_records(log)]
    return [one.job_id for one in records if isinstance(one, JobCancel)]


async def test_waiting_records_share_one_append() -> None:
    log = FakeLog()
    offsets: dict[int, int] = {}
    async with (
        running_appender(log, RETRYING) as appender,
        anyio.create_task_group() as tasks,
    ):

        async def append(number: int) -> None:
            offsets[number] = await appender.append(cancel(str(number)))

        for number in range(20):
            tasks.start_soon(append, number)
    assert job_ids_of(log) == [str(n) for n in range(20)]
    assert sorted(offsets.values()) == list(range(20))
    assert log.appends < 5


@pytest.mark.parametrize("fault", ["lost_replies", "dropped", "delayed_appends"])
async def test_append_without_reply_takes_effect_once(fault: str) -> None:
    log = FakeLog()
    setattr(log, fault, 3)
    async with running_appender(log, RETRYING) as appender:
        offset = await appender.append(cancel("a"))
    log.apply_delayed()
    assert [(one.offset, one.record) for one in effective_records(log)] == [
        (offset, cancel("a"))
    ]


async def test_not_accepted_is_reported_only_after_the_void_is_read_back() -> None:
    log = FakeLog()
    log.delayed_appends = 1
    async with running_appender(log, VOIDING) as appender:
        with pytest.raises(ChivespanError) as refused:
            await appender.append(cancel("a"))
        assert refused.value.kind is ErrorKind.LOG_UNAVAILABLE
        log.apply_delayed()
        assert job_ids_of(log) == []
        await appender.append(cancel("b"))
    assert job_ids_of(log) == ["b"]


async def test_delayed_append_before_the_void_is_accepted() -> None:
    log = FakeLog()
    log.delayed_appends = 2
    async with running_appender(log, VOIDING) as appender:

        async def release() -> None:
            while log.appends < 2:
                await anyio.lowlevel.checkpoint()
            log.apply_delayed()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(release)
            assert await appender.append(cancel("a")) == 0
    assert job_ids_of(log) == ["a"]


async def test_outage_gives_unknown_then_refuses_immediately_then_recovers() -> None:
    log = FakeLog()
    async with running_appender(log, GIVING_UP) as appender:
        await appender.append(cancel("a"))
        log.outage = True
        with pytest.raises(ChivespanError) as unknown:
            await appender.append(cancel("b"))
        assert unknown.value.kind is ErrorKind.ACCEPTANCE_UNKNOWN
        with pytest.raises(ChivespanError) as refused:
            await appender.append(cancel("c"))
        assert refused.value.kind is ErrorKind.LOG_UNAVAILABLE
        assert refused.value.retry_after
        log.outage = False
        await appender.wait_available()
        await appender.append(cancel("d"))
    assert job_ids_of(log) == ["a", "d"]


async def test_unreachable_log_refuses_records_without_a_void() -> None:
    log = FakeLog()
    async with running_appender(log, RETRYING) as appender:
        await appender.append(cancel("a"))
        log.unreachable = True
        with pytest.raises(ChivespanError) as refused:
            await appender.append(cancel("b"))
        assert refused.value.kind is ErrorKind.LOG_UNAVAILABLE
    assert len(log.records(STREAM)) == 1


async def test_records_dropped_by_retention_stay_unknown() -> None:
    log = FakeLog()
    async with running_appender(log, VOIDING) as appender:
        await appender.append(cancel("a"))
        log.lost_replies = 1
        log.outage_after_append = True

        async def expire_records() -> None:
            while log.appends < 2:
                await anyio.lowlevel.checkpoint()
            log.expire(STREAM, 2)
            log.outage = False

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(expire_records)
            with pytest.raises(ChivespanError) as unknown:
                await appender.append(cancel("b"))
    assert unknown.value.kind is ErrorKind.ACCEPTANCE_UNKNOWN


class ScriptedLog(FakeLog):
    """A log that injects the next failure of a script into each append."""

    def __init__(self, script: Sequence[str]) -> None:
        super().__init__()
        self._script = iter(script)

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        fault = next(self._script, "none")
        if fault == "release":
            self.apply_delayed()
        elif fault == "unreachable":
            raise LogNotReached("connection refused")
        elif fault != "none":
            setattr(self, fault, 1)
        return await super().append(stream, payloads)


FAULTS = (
    "none",
    "lost_replies",
    "delayed_appends",
    "dropped",
    "release",
    "unreachable",
)
OPTIONS = (RETRYING, VOIDING, GIVING_UP)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.sampled_from(FAULTS), max_size=30),
    st.sampled_from(OPTIONS),
    st.lists(st.integers(1, 3), min_size=1, max_size=8),
)
def test_reported_outcomes_match_the_log_after_any_faults(
    script: list[str], options: AppenderOptions, groups: list[int]
) -> None:
    accepted: dict[str, int] = {}
    refused: set[str] = set()
    log = ScriptedLog(script)

    async def append(appender: Appender, job_ids: list[str]) -> None:
        try:
            offsets = await appender.append_all([cancel(name) for name in job_ids])
        except ChivespanError as error:
            if error.kind is ErrorKind.LOG_UNAVAILABLE:
                refused.update(job_ids)
        else:
            accepted.update(zip(job_ids, offsets, strict=True))

    async def run() -> None:
        immediate = replace(options, retry_delay=timedelta(0))
        async with running_appender(log, immediate) as appender:
            for number, size in enumerate(groups):
                job_ids = [f"{number}.{part}" for part in range(size)]
                with anyio.fail_after(10):
                    await append(appender, job_ids)
                    await appender.wait_available()
        log.apply_delayed()

    anyio.run(run)
    records = effective_records(log)
    found = {
        one.record.job_id: one.offset
        for one in records
        if isinstance(one.record, JobCancel)
    }
    assert len(found) == len(records)
    assert accepted.items() <= found.items()
    assert not refused & found.keys()
