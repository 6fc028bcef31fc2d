"""The client of the store against its stand-in, over real connections with faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import httpcore
import pytest

from chivespan.clock import NO_WAIT
from chivespan.keyedstore import (
    KeyedRecord,
    Partition,
    StoreEndMoved,
    StoreExpired,
    StoreOutcomeUnknown,
    StoreUnavailable,
    load_newest,
)
from chivespan.platform.store import PlatformStore
from standins.platformstore import StoreFaults, StoreOptions, StoreStandIn
from standins.serving import serving

pytestmark = pytest.mark.anyio
PART = Partition("keyed.t", 2)
A1 = KeyedRecord("a", b"1")
B1 = KeyedRecord("b", b"1")
A2 = KeyedRecord("a", b"\x00\xff")
SHORT = timedelta(milliseconds=300)


@asynccontextmanager
async def client(
    **options: float,
) -> AsyncIterator[tuple[PlatformStore, StoreStandIn, str]]:
    stand_in = StoreStandIn(StoreOptions(**options))  # type: ignore[arg-type]
    async with serving(stand_in) as (address,):
        yield PlatformStore(address, response_timeout=SHORT), stand_in, address


async def test_conditional_append() -> None:
    async with client() as (store, _, _):
        assert await store.append(PART, [A1, B1], expected_end=0) == 2
        with pytest.raises(StoreEndMoved) as moved:
            await store.append(PART, [A2], expected_end=0)
        assert moved.value.end == 2
        assert await store.append(PART, [A2]) == 3
        page = await store.read(PART, 1, NO_WAIT)
        assert (page.records, page.end) == ((B1, A2), 3)


async def test_newest_record_of_each_key_over_pages_with_a_deleted_key() -> None:
    async with client(call_bytes=1 << 22) as (store, _, _):
        many = [KeyedRecord(f"k{number:04}", b"v") for number in range(1100)]
        await store.append(PART, many)
        await store.append(PART, [KeyedRecord("k0003", b""), KeyedRecord("z", b"w")])
        page = await load_newest(store, PART)
        assert len(page.records) == 1100
        assert page.end == 1102
        assert page.records[-1] == KeyedRecord("z", b"w")
        assert KeyedRecord("k0003", b"v") not in page.records


async def test_read_waits_for_a_record_up_to_its_timeout() -> None:
    async with client() as (store, _, _):
        page = await store.read(PART, 0, timedelta(milliseconds=50))
        assert page.records == ()

        async def append_soon() -> None:
            await anyio.sleep(0.1)
            await store.append(PART, [A1])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append_soon)
            page = await store.read(PART, 0, timedelta(seconds=5))
        assert page.records == (A1,)


async def test_compacted_history_is_reported_and_newest_records_remain() -> None:
    async with client() as (store, stand_in, _):
        await store.append(PART, [A1, B1])
        stand_in.compact(PART.topic, PART.number)
        with pytest.raises(StoreExpired):
            await store.read(PART, 0, NO_WAIT)
        assert (await store.newest(PART)).records == (A1, B1)


@pytest.mark.parametrize("fault", ["busy", "many"])
async def test_rejected_call_has_no_effect(fault: str) -> None:
    async with client() as (store, stand_in, _):
        stand_in.faults = StoreFaults(down=fault)
        with pytest.raises(StoreUnavailable):
            await store.append(PART, [A1])
        with pytest.raises(StoreUnavailable):
            await store.read(PART, 0, NO_WAIT)
        stand_in.faults = StoreFaults()
        assert (await store.newest(PART)).end == 0


@pytest.mark.parametrize("fault", ["reset", "silent"])
async def test_append_without_response_has_unknown_outcome(fault: str) -> None:
    async with client() as (store, stand_in, _):
        stand_in.faults = StoreFaults(down=fault)
        with pytest.raises(StoreOutcomeUnknown):
            await store.append(PART, [A1])
        with pytest.raises(StoreUnavailable):
            await store.newest(PART)


async def test_conditions_hold_for_lost_responses_and_delayed_appends() -> None:
    async with client() as (store, stand_in, _):
        stand_in.faults = StoreFaults(lose_answers=1)
        with pytest.raises(StoreOutcomeUnknown):
            await store.append(PART, [A1], expected_end=0)
        assert (await store.newest(PART)).records == (A1,)
        stand_in.faults = StoreFaults(late_appends=2, late_ms=100)
        for record in (B1, A2):
            with pytest.raises(StoreOutcomeUnknown):
                await store.append(PART, [record], expected_end=1)
        await anyio.sleep(0.3)
        page = await store.read(PART, 1, NO_WAIT)
        assert page.records == (B1,), (
            "one of two appends with the same condition takes effect"
        )


async def test_call_to_an_unreachable_store_has_no_effect() -> None:
    async with client() as (_, _, address):
        pass
    with pytest.raises(StoreUnavailable):
        await PlatformStore(address).append(PART, [A1])


async def test_append_to_a_topic_of_the_platform_is_rejected() -> None:
    async with client() as (store, _, _):
        with pytest.raises(StoreUnavailable):
            await store.append(Partition("keyed.op"), [A1])


async def test_standin_supports_producers_and_groups_like_the_platform() -> None:
    """Covers features of the stand-in that chivespan doesn't use yet."""
    async with (
        client() as (_, stand_in, address),
        httpcore.AsyncConnectionPool() as pool,
    ):

        async def append(query: str, body: bytes = b"\x00\x00\x00\x01x") -> int:
            url = f"http://{address}/-/log-append?topic=t&part=0&{query}"
            return (await pool.request("POST", url, content=body)).status

        assert await append("producer=w&epoch=2&seq=7") == 200
        assert await append("producer=w&epoch=2&seq=7") == 200
        assert await append("producer=w&epoch=2&seq=9") == 409
        assert await append("producer=w&epoch=3", b"") == 200
        assert await append("producer=w&epoch=2&seq=8") == 409
        assert len(stand_in._part("t", 0).records) == 1

        async def join(member: str) -> bytes:
            body = (
                f'{{"group":"g","member":"{member}","topics":["t"],'
                '"ttlMs":5000,"generation":0}'
            )
            url = f"http://{address}/-/log-join"
            return (await pool.request("POST", url, content=body.encode())).content

        assert b'["t",0,0]' in await join("a")
        assert b'"generation":2' in await join("b")
