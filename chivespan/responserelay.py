"""Checks targets' responses, and passes their bodies on to a caller.

A stream that may be resumed is passed on in whole events only, so that another target
can continue after the last one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from chivespan.callerrequest import Responder
from chivespan.clock import Clock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.eventstream import EventSplitter
from chivespan.exchange import Reply
from chivespan.platform import wire

EVENT_STREAM = b"text/event-stream"


@dataclass(frozen=True, slots=True)
class ResponseRelay:
    """Passes the body of one target's response on.

    :param splitter: splits the events of the caller's stream, over all its targets.
    :param record_data: is called when the target has sent data.
    :param event_timeout: returns the time left for the next event, given the monotonic
        time at which the last whole event was passed on; None for no limit.
    """

    reply: Reply
    responder: Responder
    splitter: EventSplitter
    clock: Clock
    record_data: Callable[[], None]
    event_timeout: Callable[[timedelta], timedelta | None]

    async def pass_chunks(self) -> None:
        """Pass the body on as it arrives.

        :raises ChivespanError: ``stream_broken`` when the body is incomplete.
        """
        while (chunk := await self.reply.next_chunk()) is not None:
            self.record_data()
            await self.responder.write(chunk)

    async def pass_events(self) -> None:
        """Pass the body on in whole events.

        :raises ChivespanError: ``stream_broken`` when the body is incomplete, ends
            inside an event, or has no event in time.
        """
        self.splitter.drop_partial()
        last_event = self.clock.monotonic()
        while True:
            timeout = self.event_timeout(last_event)
            received = await self.reply.next_chunk(timeout)
            if received is None:
                break
            if whole := self.splitter.feed(received):
                self.record_data()
                await self.responder.write(whole)
                last_event = self.clock.monotonic()
        if self.splitter.has_partial:
            reason = "the stream ended in the middle of an event"
            raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)


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


def check_continues(reply: Reply) -> None:
    """Check that a response may continue a stream that another target has begun.

    :raises ChivespanError: ``target_failed`` if it may not.
    """
    if reply.status != HTTPStatus.OK:
        raise _failed(f"status {reply.status} in the middle of a stream")
    if not is_event_stream(reply):
        raise _failed("response of another content type in the middle of a stream")


def is_event_stream(reply: Reply) -> bool:
    """Return whether the body of a response on a stream route consists of events."""
    content_type = reply.header(b"content-type")
    is_stream = content_type is None or content_type.lower().startswith(EVENT_STREAM)
    return is_stream and reply.status == HTTPStatus.OK


def _failed(reason: str) -> ChivespanError:
    return ChivespanError(ErrorKind.TARGET_FAILED, reason)
