"""Targets that send events, headers or a body without end, until their caller closes.

What a node keeps of that must stay small, whoever it was meant for, and such a target
must count as a failing one.
"""

import tracemalloc
from contextlib import suppress
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio
import pytest
from anyio.abc import SocketStream

from chivespan.batchexecutor import BatchExecutor
from chivespan.errors import ChivespanError
from chivespan.eventstream import MAX_OTHER_EVENTS, EventOrder, EventSplitter
from chivespan.exchange import READ_BYTES, exchange
from chivespan.forwarding import MAX_PLAIN_BODY_BYTES
from chivespan.itemoutput import (
    DEFAULT_MAX_EVENTS,
    MAX_ITEM_CHARS,
    ItemOutput,
    OutputBudget,
    max_output_bytes,
)
from chivespan.nodemessages import ItemHeader, ItemStart, ItemState
from chivespan.responseparser import MAX_HEADERS
from chivespan.targethealth import EJECT_AFTER_FAILURES
from tests.fleet import HOST
from tests.rawtargets import CHUNKED, RawSite, RawTarget, chunk, head, raw_site, target
from tests.test_batchowner import OwnerHarness, status
from tests.test_endlessdata import EndlessSender as Endless
from tests.test_endlessdata import call, serving

pytestmark = pytest.mark.anyio

MEGABYTE = 1_000_000
MAX_TOKENS = 50
TOKEN_COUNT = "X-Chivespan-Token-Count"
EVENTS_PER_SEND = 1000
# What sockets and buffers hold of bytes that nobody has read.
BUFFERED_BYTES = 16 * MEGABYTE


@dataclass
class EndlessTarget(RawTarget):
    """Answers with well-formed events without end, numbered from the requested one.

    :ivar sent: number of bytes sent.
    """

    responses: list[list[bytes | float]] = field(default_factory=list)
    data: bytes = b"x"
    sent: int = 0

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            request = b""
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while b"\r\n\r\n" not in request:
                    request += await stream.receive()
                self.requests.append(request)
                await stream.send(head("200 OK", CHUNKED))
                await self._send_events(stream, _last_event_id(request) + 1)

    async def _send_events(self, stream: SocketStream, first: int) -> None:
        while True:
            numbers = range(first, first + EVENTS_PER_SEND)
            events = b"".join(b"id: %d\ndata: %b\n\n" % (n, self.data) for n in numbers)
            await stream.send(chunk(events))
            self.sent += len(events)
            first += EVENTS_PER_SEND


def _last_event_id(request: bytes) -> int:
    for line in request.lower().split(b"\r\n"):
        if line.startswith(b"last-event-id:"):
            return int(line.partition(b":")[2])
    return 0


def start_of(item_id: str, target_id: str, max_tokens: int | None) -> ItemStart:
    tokens = [] if max_tokens is None else [f"300,{max_tokens}"]
    return ItemStart(
        partition=1,
        job_id="j",
        item_id=item_id,
        target_id=target_id,
        host=HOST,
        path="/batch/1",
        headers=[ItemHeader(name=TOKEN_COUNT, value=value) for value in tokens],
        body=b"x",
        events=[],
    )


async def run_item(
    site: RawSite, max_tokens: int | None, target_id: str = "i-1"
) -> ItemState:
    """Start or resume an item, and return the state in which the run ended."""
    site.statuses.clear()
    site.executor.start(start_of("r", target_id, max_tokens))
    with anyio.fail_after(8):
        while True:
            for each in site.statuses:
                if not each.repeated and each.state is not ItemState.running:
                    return each.state
            await anyio.sleep(0.01)


def held_events(executor: BatchExecutor) -> list[str]:
    (held,) = executor._items.values()
    return held.events


# Guards against: a faulty target sends events without end, its node keeps them all over
# several runs of an item, and the platform ends the process for its memory (issue 37).
async def test_item_keeps_no_events_beyond_its_tokens() -> None:
    endless = EndlessTarget()
    async with raw_site(endless) as site:
        for run in range(1, EJECT_AFTER_FAILURES + 1):
            assert await run_item(site, MAX_TOKENS) is ItemState.broken
            assert held_events(site.executor) == []
            assert endless.sent < run * BUFFERED_BYTES
        assert site.executor._budget.used == 0
        assert not site.picker.candidates("svc"), "it isn't a failing target"


# Guards against: the same, for requests that don't say how many tokens they may have.
async def test_item_of_unknown_size_keeps_bounded_output() -> None:
    endless = EndlessTarget(data=b"x" * 500)
    async with raw_site(endless) as site:
        tracemalloc.start()
        for _ in range(4):
            assert await run_item(site, None) is ItemState.broken
            assert held_events(site.executor) == []
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < 4 * MAX_ITEM_CHARS


# Guards against: sound output of earlier runs is lost with what a faulty target added.
async def test_output_of_earlier_runs_is_kept() -> None:
    sound = target(head("200 OK", CHUNKED), chunk(b"id: 1\ndata: a\n\n"))
    async with raw_site(sound, EndlessTarget()) as site:
        assert await run_item(site, MAX_TOKENS, "i-1") is ItemState.broken
        assert held_events(site.executor) == ["a"]
        assert await run_item(site, MAX_TOKENS, "i-2") is ItemState.broken
        assert held_events(site.executor) == ["a"]


# Guards against: the output in a status that its receiver keeps goes with the item.
async def test_status_keeps_its_text_when_the_item_is_given_back() -> None:
    sound = target(head("200 OK", CHUNKED), chunk(b"id: 1\ndata: a\n\n"))
    async with raw_site(sound) as site:
        await run_item(site, MAX_TOKENS)
        site.executor.return_items()
        assert site.statuses[-1].state is ItemState.returned
        assert site.statuses[-1].text == ["a"]
        assert site.executor._budget.used == 0


async def test_item_with_all_the_tokens_it_may_have_is_done() -> None:
    numbers = range(1, MAX_TOKENS + 1)
    body = b"".join(b"id: %d\ndata: x\n\n" % n for n in numbers)
    sound = target(head("200 OK", f"Content-Length: {len(body)}"), body)
    async with raw_site(sound) as site:
        assert await run_item(site, MAX_TOKENS) is ItemState.done


# Guards against: the output of many items takes all memory, though each is in limits.
async def test_output_of_all_items_is_bounded() -> None:
    endless = EndlessTarget(data=b"x" * 500)
    async with raw_site(endless) as site:
        site.executor._budget = budget = OutputBudget(MEGABYTE)
        for item in ("old", "older"):
            events = ["x" * 500] * 900
            site.executor.start(replace(start_of(item, "gone", None), events=events))
        await anyio.sleep(0.05)
        assert budget.used > MEGABYTE
        assert await run_item(site, None) is ItemState.not_run
        assert budget.used <= MEGABYTE
        for held in list(site.executor._items.values()):
            held.output.release()
        assert budget.used == 0


def test_output_counts_against_the_budget_until_it_is_released() -> None:
    one_event = ItemOutput(OutputBudget(MEGABYTE), ["a"]).size
    budget = OutputBudget(10 * one_event)
    output = ItemOutput(budget, ["a"] * 3)
    output.extend(["b"] * 8)
    assert budget.is_exceeded
    assert output.size == budget.used == 11 * one_event
    output.truncate(3)
    assert output.events == ["a"] * 3
    output.release()
    assert budget.used == 0
    assert max_output_bytes(128) == 16 * MEGABYTE


# Guards against: characters that take four bytes each count as one.
def test_output_counts_as_what_it_takes_in_memory() -> None:
    budget = OutputBudget(MEGABYTE)
    text = "\U0001f600" * 10_000
    assert ItemOutput(budget, [text]).size > 4 * len(text)


# Guards against: a long sound output of many small events is dropped at each run, so
# that its item is never done.
async def test_long_output_of_small_events_is_done() -> None:
    count = DEFAULT_MAX_EVENTS + 20_000
    body = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, count + 1))
    sound = target(head("200 OK", f"Content-Length: {len(body)}"), body)
    async with raw_site(sound) as site:
        assert await run_item(site, count) is ItemState.done
        assert len(site.statuses[-1].text) == count


@pytest.mark.parametrize("order", EventOrder)
def test_splitter_counts_events_from_the_start_of_the_output(order: EventOrder) -> None:
    resumed = 20 if order is EventOrder.CONSECUTIVE else 0
    splitter = EventSplitter(order, resumed, MAX_TOKENS)
    for number in range(resumed + 1, MAX_TOKENS + MAX_OTHER_EVENTS + 1):
        assert splitter.feed(b"id: %d\ndata: a\n\n" % number)
    with pytest.raises(ChivespanError, match="excessive"):
        splitter.feed(b"id: %d\ndata: a\n\n" % (MAX_TOKENS + MAX_OTHER_EVENTS + 1))


# Guards against: a stream without end is passed on until the deadline, or goes on at
# the next target, and its target isn't known to fail.
async def test_stream_beyond_its_tokens_is_cut_and_not_resumed() -> None:
    endless, other = EndlessTarget(), EndlessTarget()
    async with raw_site(endless, other) as site:
        for _ in range(EJECT_AFTER_FAILURES):
            answer = await site.ask(f"{TOKEN_COUNT}: 300,{MAX_TOKENS}")
            assert not answer.complete
            assert len(answer.body) < MEGABYTE
        assert len(endless.requests) + len(other.requests) == EJECT_AFTER_FAILURES


# Guards against: a body without end that is no stream is passed on until the deadline.
async def test_plain_body_on_a_route_of_streams_is_bounded() -> None:
    filler = b"x" * READ_BYTES
    plain = head("200 OK", content_type="application/json")
    endless = target(plain, *[filler] * (10 * MAX_PLAIN_BODY_BYTES // READ_BYTES))
    async with raw_site(endless) as site:
        answer = await site.ask()
    assert not answer.complete
    assert len(answer.body) <= MAX_PLAIN_BODY_BYTES


# Guards against: what a target sends fast is kept for a caller that doesn't read.
async def test_slow_caller_holds_up_its_target() -> None:
    endless = EndlessTarget(data=b"x" * 1000)
    async with (
        raw_site(endless) as site,
        await anyio.connect_tcp(*site.front_address) as stream,
    ):
        await stream.send(site.request())
        await anyio.sleep(1.5)
        assert 0 < endless.sent < BUFFERED_BYTES


# Guards against: each of many short headers takes far more memory than its bytes.
async def test_head_with_too_many_headers_is_invalid() -> None:
    line = b"a: b\r\n"
    endless = Endless(b"HTTP/1.1 200 OK\r\n", line * MAX_HEADERS, 0)
    async with serving(endless):
        with pytest.raises(ChivespanError, match="on_header"):
            async with exchange(call(endless.address)):
                raise AssertionError("unexpected response")
        await endless.wait_closed()


# Guards against: statuses that nodes repeat each second, with all output, pile up at a
# new owner that can't read its ledger.
async def test_statuses_before_the_ledger_is_read_are_kept_once() -> None:
    harness = OwnerHarness()
    for _ in range(100):
        done = status(ItemState.done, repeated=True, events=9)
        harness.owner.handle_status("n1", done)
    assert len(harness.owner._early_statuses) == 1
    await harness.accept(1)
    assert harness.waiting() == []
    harness.clock.advance(timedelta(seconds=1))
