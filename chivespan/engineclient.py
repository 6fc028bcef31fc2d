"""Client of model engines: token streams, cancellation, orders and load reports."""

from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import TypeVar

import anyio
import msgspec

from chivespan.decoding import decoding
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
TRANSIENT_STATUSES = frozenset({408, 409, 425, 429})

JSON_HEADER = (b"content-type", b"application/json")
EVENT_PREFIX = b"data: "
END_MARK = b"[DONE]"

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Token:
    """One token of a stream.

    :param index: position in the complete response, from 0.
    """

    index: int
    text: str
    finish_reason: str | None = None
    usage: EngineUsage | None = None


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Longest silence of a stream before its connection is closed.

    :param first_token: limit up to the first token.
    :param token_gap: limit between tokens.
    """

    first_token: timedelta
    token_gap: timedelta


class EngineClient:
    """Sends requests to model engines; one per process."""

    def __init__(self, http: TargetHttp) -> None:
        self._http = http
        self._event_decoder = msgspec.json.Decoder(EngineEvent)

    async def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
    ) -> AsyncGenerator[Token, None]:
        """Yield the tokens that follow ``request.resume_tokens``.

        A stream is complete once a token with a finish reason was received; any other
        end raises. The end-of-stream event after that token is optional, since no
        content follows it.

        :raises ChivespanError: ``target_unreachable``, ``target_failed``,
            ``target_timeout`` or ``stream_broken``.
        """
        outgoing = _post(address, "/v1/completions", request)
        try:
            async with self._http.open(outgoing, limits.first_token) as response:
                await _check_status(address, response)
                async for token in self._read_tokens(
                    address, request, limits, response
                ):
                    yield token
        except ChivespanError as error:
            if error.kind is ErrorKind.TARGET_TIMEOUT:
                await self._try_cancel(address, request.request_id)
            raise

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request over a new connection, which frees its slot."""
        cancel = EngineCancel(request_id=request_id)
        outgoing = _post(address, "/v1/cancel", cancel)
        await self._http.call(outgoing, CALL_TIMEOUT)

    async def load(self, address: str) -> EngineLoad:
        """Return the engine's load report, which lags behind the actual load.

        :raises ChivespanError: if the engine does not respond or the response is
            malformed.
        """
        response = await self._http.call(
            HttpRequest(address, "GET", "/load"), CALL_TIMEOUT
        )
        return _decode(address, response.body, EngineLoad)

    async def order(self, address: str, order: EngineOrder) -> bool:
        """Send an order; return False if the engine rejected its fencing token."""
        outgoing = _post(address, "/orders", order)
        response = await self._http.call(outgoing, CALL_TIMEOUT)
        return response.status < 400

    async def _read_tokens(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
        response: OpenResponse,
    ) -> AsyncGenerator[Token, None]:
        expected = len(request.resume_tokens)
        lines = _event_lines(address, response.chunks)
        async for line in lines:
            if line == END_MARK:
                raise _malformed(address, "end of stream without a finish reason")
            token = self._decode_token(address, request, line)
            if token.index != expected:
                raise _malformed(address, f"token {token.index} instead of {expected}")
            expected += 1
            response.set_read_timeout(limits.token_gap)
            yield token
            if token.finish_reason is not None:
                await _read_to_end(lines, limits.token_gap)
                return
        reason = f"the stream of target {address} ended without a finish reason"
        raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)

    def _decode_token(self, address: str, request: EngineRequest, line: bytes) -> Token:
        with decoding("token", partial(_malformed, address)):
            event = self._event_decoder.decode(line)
            choice = event.choices[0]
        if event.id != request.request_id:
            raise _malformed(address, "token of another request")
        return Token(event.token_index, choice.text, choice.finish_reason, event.usage)

    async def _try_cancel(self, address: str, request_id: str) -> None:
        try:
            await self.cancel(address, request_id)
        except ChivespanError:
            return


async def _read_to_end(lines: AsyncIterator[bytes], timeout: timedelta) -> None:
    """Read the rest of a stream after its last token, so the engine can finish it.

    The response is already complete; if the read times out, the connection is closed.
    """
    with anyio.move_on_after(timeout.total_seconds()):
        try:
            async for _ in lines:
                continue
        except ChivespanError:
            return


async def _event_lines(
    address: str, chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event.

    Each read has a timeout, so limiting the number of reads without an event also
    limits the time without one.
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
            raise _malformed(address, f"{reads_without_event} reads without an event")


async def _check_status(address: str, response: OpenResponse) -> None:
    if response.status < 400:
        return
    text = (await _read_error_body(response)).decode(errors="replace")
    reason = f"target {address} answered {response.status}: {text}"
    refused = response.status < 500 and response.status not in TRANSIENT_STATUSES
    kind = ErrorKind.TARGET_REFUSED if refused else ErrorKind.TARGET_FAILED
    raise ChivespanError(kind, reason)


async def _read_error_body(response: OpenResponse) -> bytes:
    """Return the start of an error's body, for the error message."""
    body = b""
    with anyio.move_on_after(CALL_TIMEOUT.total_seconds()):
        async for chunk in response.chunks:
            body += chunk
            if len(body) >= ERROR_TEXT_BYTES:
                break
    return body[:ERROR_TEXT_BYTES]


def _post(address: str, path: str, body: object) -> HttpRequest:
    """Return a request on a new connection, as a refusal doesn't name its request."""
    encoded = msgspec.json.encode(body)
    return HttpRequest(address, "POST", path, (JSON_HEADER,), encoded, fresh=True)


def _decode(address: str, body: bytes, cls: type[T]) -> T:
    with decoding(cls.__name__, partial(_malformed, address)):
        return msgspec.json.decode(body, type=cls)


def _malformed(address: str, problem: str) -> ChivespanError:
    reason = f"target {address} sent malformed data: {problem}"
    return ChivespanError(ErrorKind.TARGET_FAILED, reason)
