"""Model engines: token streams with deadlines, resume, cancel and load reports."""

from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

import anyio
import msgspec

from chivespan.engineapi import (
    EngineCancel,
    EngineEvent,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineUsage,
)
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.targethttp import HttpRequest, OpenResponse, TargetHttp

CALL_TIMEOUT = timedelta(seconds=1)
ERROR_TEXT_BYTES = 200
MAX_READS_WITHOUT_EVENT = 16
PASSING_STATUSES = frozenset({408, 409, 425, 429})

JSON_HEADER = (b"content-type", b"application/json")
EVENT_PREFIX = b"data: "
END_MARK = b"[DONE]"

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Token:
    """One token of a stream.

    :param index: position in the whole answer, counted from 0.
    """

    index: int
    text: str
    finish_reason: str | None = None
    usage: EngineUsage | None = None


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """How long a stream may keep silent before its connection is left."""

    first_token: timedelta
    token_gap: timedelta


class EngineClient:
    """Speaks to the model engines; one for a process."""

    def __init__(self, http: TargetHttp) -> None:
        self._http = http
        self._event_decoder = msgspec.json.Decoder(EngineEvent)

    async def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
        *,
        fresh: bool = False,
    ) -> AsyncGenerator[Token, None]:
        """Yield the tokens that follow ``request.resume_tokens``.

        The stream has ended well only if a token with a finish reason came; every
        other end raises. The end mark after that token may be lost: nothing is missing.

        :raises ChivespanError: ``target_unreachable``, ``target_failed``,
            ``target_timeout`` or ``stream_broken``.
        """
        outgoing = _post(address, "/v1/completions", request, fresh=fresh)
        try:
            async with self._http.open(outgoing, limits.first_token) as answer:
                await _check_status(address, answer)
                async for token in self._tokens(address, request, limits, answer):
                    yield token
        except ChivespanError as error:
            if error.kind is ErrorKind.TARGET_TIMEOUT:
                await self._cancel_quietly(address, request.request_id)
            raise

    async def cancel(self, address: str, request_id: str) -> None:
        """Free the slot that a request holds, over a new connection."""
        cancel = EngineCancel(request_id=request_id)
        outgoing = _post(address, "/v1/cancel", cancel, fresh=True)
        await self._http.call(outgoing, CALL_TIMEOUT)

    async def load(self, address: str) -> EngineLoad:
        """Return the engine's load report, which lags.

        :raises ChivespanError: when the engine doesn't answer or answers garbage.
        """
        answer = await self._http.call(
            HttpRequest(address, "GET", "/load"), CALL_TIMEOUT
        )
        return _decode(address, answer.body, EngineLoad)

    async def order(self, address: str, order: EngineOrder) -> bool:
        """Send an order; return False when the engine refused its fencing number."""
        outgoing = _post(address, "/orders", order, fresh=True)
        answer = await self._http.call(outgoing, CALL_TIMEOUT)
        return answer.status < 400

    async def _tokens(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
        answer: OpenResponse,
    ) -> AsyncGenerator[Token, None]:
        expected = len(request.resume_tokens)
        lines = _event_lines(address, answer.chunks)
        async for line in lines:
            if line == END_MARK:
                raise _garbage(address, "an end mark without a finish reason")
            token = self._token(address, request, line)
            if token.index != expected:
                raise _garbage(address, f"token {token.index} instead of {expected}")
            expected += 1
            answer.set_read_timeout(limits.token_gap)
            yield token
            if token.finish_reason is not None:
                await _read_to_end(lines, limits.token_gap)
                return
        reason = f"the stream of target {address} ended without its end mark"
        raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)

    def _token(self, address: str, request: EngineRequest, line: bytes) -> Token:
        try:
            event = self._event_decoder.decode(line)
            choice = event.choices[0]
        except (msgspec.DecodeError, IndexError) as error:
            raise _garbage(address, str(error)) from error
        if event.id != request.request_id:
            raise _garbage(address, "a token of another request")
        return Token(event.token_index, choice.text, choice.finish_reason, event.usage)

    async def _cancel_quietly(self, address: str, request_id: str) -> None:
        try:
            await self.cancel(address, request_id)
        except ChivespanError:
            return


async def _read_to_end(lines: AsyncIterator[bytes], patience: timedelta) -> None:
    """Read what follows the last token, so that the connection can be used again.

    The answer is whole without it; a connection that stays silent is closed.
    """
    with anyio.move_on_after(patience.total_seconds()):
        try:
            async for _ in lines:
                continue
        except ChivespanError:
            return


async def _event_lines(
    address: str, chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event.

    Every read has a time limit of its own, so the count of reads without an event
    bounds the time without one too.
    """
    rest = b""
    reads_without_event = 0
    async for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        reads_without_event += 1
        for line in lines:
            if line.startswith(EVENT_PREFIX):
                reads_without_event = 0
                yield line[len(EVENT_PREFIX) :].strip()
        if reads_without_event > MAX_READS_WITHOUT_EVENT:
            raise _garbage(address, "bytes without events")


async def _check_status(address: str, answer: OpenResponse) -> None:
    if answer.status < 400:
        return
    text = (await _first_bytes(answer)).decode(errors="replace")
    reason = f"target {address} answered {answer.status}: {text}"
    refused = answer.status < 500 and answer.status not in PASSING_STATUSES
    kind = ErrorKind.TARGET_REFUSED if refused else ErrorKind.TARGET_FAILED
    raise ChivespanError(kind, reason)


async def _first_bytes(answer: OpenResponse) -> bytes:
    """Return as much of an error's body as is worth telling."""
    body = b""
    with anyio.move_on_after(CALL_TIMEOUT.total_seconds()):
        async for chunk in answer.chunks:
            body += chunk
            if len(body) >= ERROR_TEXT_BYTES:
                break
    return body[:ERROR_TEXT_BYTES]


def _post(address: str, path: str, body: object, *, fresh: bool) -> HttpRequest:
    encoded = msgspec.json.encode(body)
    return HttpRequest(address, "POST", path, (JSON_HEADER,), encoded, fresh)


def _decode(address: str, body: bytes, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=cls)
    except msgspec.DecodeError as error:
        raise _garbage(address, str(error)) from error


def _garbage(address: str, what: str) -> ChivespanError:
    reason = f"target {address} sent garbage: {what}"
    return ChivespanError(ErrorKind.TARGET_FAILED, reason)
