"""Checks targets' responses, and passes their bodies on to a caller.

A stream is passed on in whole events only: one that ends inside an event was broken
off, and another target may continue it after the last one. It is passed on without a
length, so that its caller can tell that it was broken off, and as the rest of another
target may be longer.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

from chivespan.callerrequest import Responder
from chivespan.clock import Clock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.eventstream import EventOrder, EventSplitter, parse_event_id
from chivespan.eventtiming import EventTiming
from chivespan.exchange import Reply
from chivespan.platform import wire
from chivespan.routes import Route, RouteKind

EVENT_STREAM = b"text/event-stream"
CONTENT_LENGTH = b"content-length"
RESUME_CHECK_INTERVAL = timedelta(milliseconds=200)


@dataclass(slots=True)
class ResponseRelay:
    """Passes one target's response on.

    :param splitter: splits the events of the caller's stream, over all its targets.
    :param record_data: is called when the target has sent data.
    :param longest_gap: time limit from one event to the next if another target can take
        over the stream; 0 for no limit.
    :param can_resume: returns whether another target can take over the stream.
    :ivar timing: how fast the target produces events.
    """

    reply: Reply
    responder: Responder
    splitter: EventSplitter
    clock: Clock
    record_data: Callable[[], None]
    longest_gap: timedelta
    can_resume: Callable[[], bool]
    timing: EventTiming = field(default_factory=EventTiming, init=False)
    _unwritten: bytes = b""
    _could_resume: bool = False
    _resume_checked: timedelta | None = None

    async def start(self, is_stream: bool) -> None:
        """Pass the head on, without the length of a stream or of a missing body.

        The HTTP server takes a body that is shorter than its length for broken off.
        """
        headers = wire.caller_headers(self.reply.headers)
        if is_stream or self.reply.status == HTTPStatus.NOT_MODIFIED:
            headers = [each for each in headers if each[0].lower() != CONTENT_LENGTH]
        await self.responder.start(self.reply.status, headers)

    async def pass_body(
        self, is_stream: bool, hand_over: Callable[[], Awaitable[bool]]
    ) -> bool:
        """Pass the body on, and end the caller's response.

        :param hand_over: is called when a stream pauses; returns whether another
            target continues it.
        :returns: whether the body was passed on to its end.
        :raises ChivespanError: ``stream_broken`` when the body is incomplete.
        """
        if not is_stream:
            await self._pass_chunks()
        elif not await self._pass_stream(hand_over):
            return False
        await self.responder.finish()
        return True

    async def _pass_stream(self, hand_over: Callable[[], Awaitable[bool]]) -> bool:
        """Pass a stream on; return whether it was passed on to its end."""
        self.splitter.start_response()
        while True:
            with self.reply.pausable() as until_pause:
                await self._pass_events()
            if not until_pause.cancelled_caught:
                break
            self.timing.record_interruption()
            # The pause may have ended while the caller was slow to read.
            await self._write_events(self._unwritten)
            if await hand_over():
                return False
        self.splitter.check_end(self.reply.is_delimited)
        return True

    async def _pass_chunks(self) -> None:
        """Pass the body on as it arrives.

        :raises ChivespanError: ``stream_broken`` when the body is incomplete.
        """
        while (chunk := await self.reply.next_chunk()) is not None:
            self.record_data()
            await self.responder.write(chunk)

    async def _pass_events(self) -> None:
        """Pass the body on in whole events.

        :raises ChivespanError: ``stream_broken`` when the body is incomplete.
        """
        last_event = self.clock.monotonic()
        while True:
            timeout = self._event_timeout(last_event)
            received = await self.reply.next_chunk(timeout)
            if received is None:
                break
            if whole := self.splitter.feed(received):
                self.timing.record(self.clock.monotonic(), self.splitter.events)
                self.record_data()
                await self._write_events(whole)
                last_event = self.clock.monotonic()
                self.timing.record_unread(last_event)

    async def _write_events(self, events: bytes) -> None:
        """Write events, which are kept in case a pause cuts the write."""
        self._unwritten = events
        if events:
            await self.responder.write(events)
        self._unwritten = b""

    def _event_timeout(self, last_event: timedelta) -> timedelta | None:
        """Return the time left for the next event; None if no target can take over.

        Parts of an event don't extend it: a stalled target may still send some bytes.

        :param last_event: monotonic time at which the last whole event was passed on.
        """
        if self.longest_gap and self._can_still_resume():
            return self.longest_gap - (self.clock.monotonic() - last_event)
        return None

    def _can_still_resume(self) -> bool:
        """Return a cached result of ``can_resume``, to save the cost per chunk."""
        now = self.clock.monotonic()
        checked = self._resume_checked
        if checked is None or now - checked > RESUME_CHECK_INTERVAL:
            self._resume_checked = now
            self._could_resume = self.can_resume()
        return self._could_resume


def splitter_for(
    route: Route, last_event: str, max_tokens: int | None
) -> EventSplitter:
    """Return the splitter for the caller's stream.

    :param last_event: the last event that the caller has received, as it states it.
    :param max_tokens: how many tokens the output may have, as far as that is known; an
        event holds one or more.
    """
    last_id = parse_event_id(last_event or "0")
    if route.kind is not RouteKind.STREAM:
        return EventSplitter()
    if last_id is None or not route.resumable:
        return EventSplitter(EventOrder.INCREASING, max_events=max_tokens)
    return EventSplitter(EventOrder.CONSECUTIVE, last_id, max_tokens)


def check_response(reply: Reply, request_id: str) -> None:
    """Check that a response may be passed on, and doesn't claim "not run" falsely.

    :raises ChivespanError: ``target_failed`` if it may not.
    """
    if wire.is_response_to_other(reply, request_id):
        raise _failed(f"response with status {reply.status} to another request")
    if not wire.is_response_to(reply, request_id):
        raise _failed(f"response with status {reply.status} without id or seal")
    if wire.implies_not_run(reply.status):
        raise _failed(f"status {reply.status} without the statement of not run")


def check_continues(reply: Reply, is_stream: bool) -> None:
    """Check that a response may continue a stream that another target has begun.

    :raises ChivespanError: ``target_failed`` if it may not.
    """
    if reply.status != HTTPStatus.OK:
        raise _failed(f"status {reply.status} in the middle of a stream")
    if not is_stream:
        raise _failed("response of another content type in the middle of a stream")


def is_event_stream(reply: Reply, route: Route, method: str) -> bool:
    """Return whether the body of a response consists of events."""
    content_type = reply.header(b"content-type") or EVENT_STREAM
    is_stream = content_type.lower().startswith(EVENT_STREAM)
    is_whole = reply.status == HTTPStatus.OK and method != "HEAD"
    return route.kind is RouteKind.STREAM and is_whole and is_stream


def _failed(reason: str) -> ChivespanError:
    return ChivespanError(ErrorKind.TARGET_FAILED, reason)
