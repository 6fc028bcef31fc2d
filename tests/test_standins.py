"""The stand-ins behave as docs/PLATFORM.md specifies the external systems."""

import cbor2
import httpcore
import msgspec
import pytest

from standins.engine import EngineFaults, EngineStandIn
from standins.enginebatch import EngineOptions, prefix_hash
from standins.enginetext import full_text, token
from standins.logservice import LogFaults, LogOptions, LogStandIn
from standins.plainservice import PlainFaults, PlainStandIn
from standins.serving import serving

pytestmark = pytest.mark.anyio

QUICK = EngineOptions(slots=2, step_ms=2, step_ms_per_request=0.1, load_lag_ms=0)


@pytest.fixture
async def http() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool()


def _completion(prompt: str, max_tokens: int, resume: list[str] | None = None) -> bytes:
    body = {"model": "", "prompt": prompt, "request_id": "r1"}
    more = {"max_tokens": max_tokens, "resume_tokens": resume or []}
    return msgspec.json.encode(body | more)


def _texts(stream: bytes) -> list[str]:
    lines = [line for line in stream.split(b"\n\n") if line.startswith(b"data: {")]
    events = [msgspec.json.decode(line[6:]) for line in lines]
    return [event["choices"][0]["text"] for event in events]


async def test_log_order_retention_and_faults(
    http: httpcore.AsyncConnectionPool,
) -> None:
    log = LogStandIn(LogOptions(retention=3))
    async with serving(log) as [address]:
        url = f"http://{address}/streams/jobs/1"

        async def append(*payloads: bytes) -> httpcore.Response:
            body = cbor2.dumps(list(payloads))
            return await http.request("POST", f"{url}/append", content=body)

        first = await append(b"a", b"b")
        second = await append(b"c", b"d")
        assert [cbor2.loads(each.content)["offset"] for each in (first, second)] == [
            0,
            2,
        ]
        assert (await http.request("GET", f"{url}/records?start=0")).status == 410
        page = cbor2.loads(
            (await http.request("GET", f"{url}/records?start=2")).content
        )
        assert page == {"oldest": 1, "end": 4, "records": [[2, b"c"], [3, b"d"]]}
        log.faults = LogFaults(drop_answers=1)
        with pytest.raises(httpcore.RemoteProtocolError):
            await append(b"e")
        log.faults = LogFaults(delay_effects=1, delay_ms=5)
        assert (await append(b"f")).status == 503
        tail = await http.request("GET", f"{url}/records?start=5&wait_ms=2000")
        assert cbor2.loads(tail.content)["records"] == [[5, b"f"]]
        log.faults = LogFaults(down=True)
        assert (await append(b"g")).status == 503
        assert log.records("jobs/1") == [b"d", b"e", b"f"]


async def test_engine_streams_complete_and_resumed_requests(
    http: httpcore.AsyncConnectionPool,
) -> None:
    engine = EngineStandIn(QUICK)
    async with serving(engine) as [address]:
        url = f"http://{address}/v1/completions"
        whole = await http.request("POST", url, content=_completion("sheep", 5))
        texts = _texts(whole.content)
        assert "".join(texts) == full_text("sheep", 5)
        assert whole.content.endswith(b"data: [DONE]\n\n")
        rest = _completion("sheep", 5, texts[:3])
        resumed = await http.request("POST", url, content=rest)
        assert _texts(resumed.content) == texts[3:]
        events = [entry.event for entry in engine.journal.entries]
        assert events.count("token") == 7
        assert events.count("end") == 2
        assert prefix_hash("sheep") in engine.batch.cache


async def test_engine_queues_excess_requests_and_frees_slots_on_disconnect(
    http: httpcore.AsyncConnectionPool,
) -> None:
    engine = EngineStandIn(QUICK)
    async with serving(engine) as [address]:
        url = f"http://{address}/v1/completions"
        streams = []
        for _ in range(3):
            body = _completion("a long answer", 10_000)
            entered = http.stream("POST", url, content=body)
            streams.append(entered)
            answer = await entered.__aenter__()
            assert answer.status == 200
        load = msgspec.json.decode(
            (await http.request("GET", f"http://{address}/load")).content
        )
        assert (load["running"], load["waiting"]) == (2, 1)
        for stream in streams:
            await stream.__aexit__(None, None, None)
        short = await http.request("POST", url, content=_completion("short", 1))
        assert _texts(short.content) == [token("short", 0)]
        events = [entry.event for entry in engine.journal.entries]
        assert events.count("cancel") == 3


async def test_engine_faults(http: httpcore.AsyncConnectionPool) -> None:
    engine = EngineStandIn(QUICK)
    async with serving(engine) as [address]:
        url = f"http://{address}/v1/completions"
        engine.faults = EngineFaults("error", status=503, times=1)
        assert (
            await http.request("POST", url, content=_completion("x", 2))
        ).status == 503
        engine.faults = EngineFaults("break", after_tokens=1, times=1)
        with pytest.raises(httpcore.RemoteProtocolError):
            await http.request("POST", url, content=_completion("x", 2))
        engine.faults = EngineFaults("foreign", times=1)
        foreign = await http.request("POST", url, content=_completion("x", 2))
        assert b"another-request" in foreign.content
        assert (
            await http.request("POST", url, content=_completion("x", 2))
        ).status == 200


async def test_engine_rejects_old_fences_if_it_checks_them(
    http: httpcore.AsyncConnectionPool,
) -> None:
    checking = EngineStandIn(EngineOptions(checks_fencing=True))
    unchecked = EngineStandIn()
    async with serving(checking, unchecked) as addresses:
        statuses = []
        for address in addresses:
            for fence in (7, 6):
                body = msgspec.json.encode({"fence": fence, "model": "m"})
                url = f"http://{address}/orders"
                answer = await http.request("POST", url, content=body)
                statuses.append(answer.status)
    assert statuses == [202, 409, 202, 202]


async def test_booking_takes_effect_even_if_its_response_is_lost(
    http: httpcore.AsyncConnectionPool,
) -> None:
    service = PlainStandIn()
    async with serving(service) as [address]:
        url = f"http://{address}/bookings"
        service.faults = PlainFaults("drop", times=1)
        with pytest.raises(httpcore.RemoteProtocolError):
            await http.request("POST", url, content=b"12 sheep")
        again = await http.request("POST", url, content=b"12 sheep")
        assert msgspec.json.decode(again.content) == {"booking": 2, "for": "12 sheep"}
        assert [each.event for each in service.journal.entries] == ["start", "end"] * 2
