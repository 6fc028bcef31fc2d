"""Connections between chivespan's own processes: typed messages over websockets.

A link starts with an exchange of Hellos and is kept alive by heartbeats. It is closed
as soon as no frame has arrived within the silence timeout, and never used again.
"""

import hmac
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Protocol, TypeAlias

import anyio
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection, broadcast
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.http11 import Request, Response

from chivespan.clock import Clock
from chivespan.codec import PROTOCOL_VERSION, decode_message, encode_message
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.linkmessages import Heartbeat, Hello, Program

if TYPE_CHECKING:
    from chivespan.settings import NodeSettings

FRAME_LIMIT_BYTES = 16 * 1024 * 1024
SEND_BUFFER_LIMIT_BYTES = 32 * 1024 * 1024
CONNECT_TIMEOUT = timedelta(seconds=1)
CLOSE_TIMEOUT = timedelta(milliseconds=300)
FIRST_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=2)
BACKOFF_FACTOR = 2
# Share of the silence timeout, so that one late heartbeat doesn't exceed the timeout.
MAX_HEARTBEAT_SHARE = 0.45
# The accepting end waits longer, since it also answers each heartbeat of the dialler.
ACCEPTOR_INTERVAL_FACTOR = 1.25


class Counters(Protocol):
    """Counts events by name; implemented by ``chivespan.metrics.Metrics``."""

    def incr(self, name: str, count: int = 1) -> None:
        """Increment a counter."""
        ...


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Options for all links of a process.

    :param peer_key: secret that authenticates the dialling end.
    :param heartbeat_interval: shortest heartbeat interval, used with few peers.
    :param silence_timeout: a link without a frame for this long is closed.
    """

    peer_key: str
    heartbeat_interval: timedelta
    silence_timeout: timedelta

    @property
    def max_heartbeat_interval(self) -> timedelta:
        """The longest interval at which one late heartbeat causes no timeout."""
        return self.silence_timeout * MAX_HEARTBEAT_SHARE

    @classmethod
    def from_settings(cls, settings: "NodeSettings") -> "LinkOptions":
        """Return the options given by the settings of a node."""
        return cls(
            settings.peer_key,
            timedelta(milliseconds=settings.heartbeat_ms),
            timedelta(milliseconds=settings.peer_silence_ms),
        )


def new_hello(settings: "NodeSettings", program: Program) -> Hello:
    """Return a Hello with a new incarnation for a program."""
    return Hello(
        vm=settings.vm,
        program=program,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=secrets.token_hex(6),
        serving_port=settings.entry_port if program is Program.entry else 0,
        protocol=PROTOCOL_VERSION,
    )


def incarnation_name(hello: Hello) -> str:
    """Return the unique name of one incarnation of a process.

    It identifies the holder of grants and the writer of records.
    """
    return f"{hello.vm}/{hello.program}/{hello.incarnation}"


IDLE_HEARTBEAT = encode_message(Heartbeat(config_offset=-1, leaving=False, slices=[]))
LEAVING_HEARTBEAT = encode_message(Heartbeat(config_offset=-1, leaving=True, slices=[]))


def idle_heartbeat(_remote: Hello) -> bytes:
    """Return the heartbeat frame of a process that owns nothing."""
    return IDLE_HEARTBEAT


@dataclass(frozen=True, slots=True)
class LinkEnd:
    """The local end of all links of a process.

    :param heartbeat: returns the encoded heartbeat for a remote process.
    :param interval_for: returns the heartbeat interval for a remote process; None for
        the longest that the silence timeout permits.
    :param silence_timeout_for: returns the silence timeout for a remote process; None
        for the one in ``options``.
    """

    hello: Hello
    options: LinkOptions
    clock: Clock
    counters: Counters
    heartbeat: Callable[[Hello], bytes] = idle_heartbeat
    interval_for: Callable[[Hello], timedelta] | None = None
    silence_timeout_for: Callable[[Hello], timedelta] | None = None

    def silence_timeout(self, remote: Hello) -> timedelta:
        """Return after how long without a frame a link is closed."""
        return (
            self.options.silence_timeout
            if self.silence_timeout_for is None
            else self.silence_timeout_for(remote)
        )

    def heartbeat_interval(self, remote: Hello) -> timedelta:
        """Return the heartbeat interval for a remote process."""
        longest = self.silence_timeout(remote) * MAX_HEARTBEAT_SHARE
        return (
            longest
            if self.interval_for is None
            else min(self.interval_for(remote), longest)
        )


class PeerLink:
    """A connection on which the Hellos have been exchanged.

    Iterating yields the messages received; the iteration ends when the link closes.
    """

    def __init__(self, websocket: Connection, end: LinkEnd, remote: Hello) -> None:
        self._websocket = websocket
        self._end = end
        self._last_frame = self._last_sent = self._heartbeat_due = end.clock.monotonic()
        self._is_acceptor = isinstance(websocket, ServerConnection)
        self._open = True
        self.remote = remote

    @property
    def is_open(self) -> bool:
        """Whether messages can still be sent."""
        return self._open

    @property
    def holder(self) -> str:
        """Unique name of the remote incarnation, as a holder of grants."""
        return incarnation_name(self.remote)

    def send(self, message: object) -> bool:
        """Send a message; return whether the link accepted it."""
        return self.send_frame(encode_message(message))

    def send_frame(self, frame: bytes) -> bool:
        """Send an encoded message; return whether the link accepted it.

        Aborts the link if the receiver is so slow that the send buffer overflows.
        """
        if not self._open:
            self._end.counters.incr("peer.sends_on_closed_link")
            return False
        buffered = self._websocket.transport.get_write_buffer_size()
        if buffered + len(frame) > SEND_BUFFER_LIMIT_BYTES:
            self._end.counters.incr("peer.overflows")
            self.abort()
            return False
        broadcast([self._websocket], frame)
        self._last_sent = self._end.clock.monotonic()
        return True

    def abort(self) -> None:
        """Abort the connection at once, without a closing handshake."""
        self._open = False
        self._websocket.transport.abort()

    def reject(self) -> None:
        """Abort the connection because of a protocol error of the remote end."""
        self._end.counters.incr("peer.protocol_errors")
        self.abort()

    async def close(self) -> None:
        """Close the link with a close frame."""
        self._open = False
        with anyio.CancelScope(shield=True):
            await self._websocket.close()

    async def __aiter__(self) -> AsyncIterator[object]:
        try:
            async for frame in self._websocket:
                self._last_frame = self._end.clock.monotonic()
                message = _decode_frame(frame)
                if self._is_acceptor and isinstance(message, Heartbeat):
                    self._send_heartbeat()
                yield message
        except ConnectionClosed:
            self._end.counters.incr("peer.links_broken")
        except ChivespanError:
            self.reject()
        finally:
            self._open = False

    async def keep_alive(self) -> None:
        """Send heartbeats, and abort the link on a silence timeout."""
        clock = self._end.clock
        while self._open:
            now = clock.monotonic()
            if now >= self._heartbeat_due and not self._postpone_heartbeat(now):
                self._send_heartbeat()
            remaining = self._last_frame + self._end.silence_timeout(self.remote) - now
            if remaining <= timedelta(0):
                self._end.counters.incr("peer.silent")
                self.abort()
                return
            await anyio.sleep(min(self._heartbeat_due - now, remaining).total_seconds())

    def _send_heartbeat(self) -> None:
        """Send a heartbeat.

        The accepting end usually does so in answer to a heartbeat of the dialler.
        """
        self.send_frame(self._end.heartbeat(self.remote))
        self._heartbeat_due = self._last_sent + self._max_send_interval()

    def _postpone_heartbeat(self, now: timedelta) -> bool:
        """Postpone an idle heartbeat after another frame; return whether postponed."""
        due = self._last_sent + self._max_send_interval()
        if due <= now or self._end.heartbeat(self.remote) is not IDLE_HEARTBEAT:
            return False
        self._heartbeat_due = due
        return True

    def _max_send_interval(self) -> timedelta:
        """Return the longest time between two frames sent by this end."""
        interval = self._end.heartbeat_interval(self.remote)
        return interval * ACCEPTOR_INTERVAL_FACTOR if self._is_acceptor else interval


LinkHandler: TypeAlias = Callable[[PeerLink], Awaitable[None]]


async def dial(address: str, end: LinkEnd, handler: LinkHandler) -> None:
    """Maintain one link to an address, and redial with backoff whenever it ends.

    :param address: IP number and port.
    :param handler: reads the link; the link is closed when it returns.
    """
    delays = Backoff(Random())
    while True:
        began = end.clock.monotonic()
        await dial_once(address, end, handler)
        if end.clock.monotonic() - began > end.options.silence_timeout:
            delays.reset()
        await anyio.sleep(delays.next().total_seconds())


async def dial_once(address: str, end: LinkEnd, handler: LinkHandler) -> bool:
    """Open one link and run it until it ends; return whether it was opened."""
    opened = False

    async def handle_opened(link: PeerLink) -> None:
        nonlocal opened
        opened = True
        await handler(link)

    try:
        async with connect(
            f"ws://{address}",
            additional_headers={"Authorization": f"Bearer {end.options.peer_key}"},
            compression=None,
            proxy=None,
            open_timeout=CONNECT_TIMEOUT.total_seconds(),
            close_timeout=CLOSE_TIMEOUT.total_seconds(),
            ping_interval=None,
            max_size=FRAME_LIMIT_BYTES,
            user_agent_header=None,
        ) as websocket:
            await _run_connection(websocket, end, handle_opened)
    except (OSError, WebSocketException, TimeoutError):
        end.counters.incr("peer.connect_failures")
    return opened


class Backoff:
    """Exponentially growing retry delays with jitter.

    >>> delays = Backoff(Random(1))
    >>> delays.next() <= FIRST_BACKOFF
    True
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._bound = FIRST_BACKOFF

    def next(self) -> timedelta:
        """Return the next delay, random between half the bound and the bound."""
        delay = self._bound * self._random.uniform(0.5, 1.0)
        self._bound = min(self._bound * BACKOFF_FACTOR, MAX_BACKOFF)
        return delay

    def reset(self) -> None:
        """Reset the bound to the first backoff."""
        self._bound = FIRST_BACKOFF


@asynccontextmanager
async def listen(
    host: str, port: int, end: LinkEnd, handler: LinkHandler
) -> AsyncIterator[int]:
    """Accept links while the context is open; yields the port.

    :param port: 0 for any free port.
    :param handler: reads one link; the link is closed when it returns.
    """
    expected = f"Bearer {end.options.peer_key}".encode()

    def check_key(connection: ServerConnection, request: Request) -> Response | None:
        given = request.headers.get("Authorization", "").encode()
        if hmac.compare_digest(given, expected):
            return None
        end.counters.incr("peer.unauthenticated")
        return connection.respond(HTTPStatus.UNAUTHORIZED, "wrong or missing key\n")

    async def accept(websocket: ServerConnection) -> None:
        await _run_connection(websocket, end, handler)

    async with serve(
        accept,
        host,
        port,
        process_request=check_key,
        compression=None,
        open_timeout=CONNECT_TIMEOUT.total_seconds(),
        close_timeout=CLOSE_TIMEOUT.total_seconds(),
        ping_interval=None,
        max_size=FRAME_LIMIT_BYTES,
        server_header=None,
    ) as server:
        yield next(iter(server.sockets)).getsockname()[1]


async def _run_connection(
    websocket: Connection, end: LinkEnd, handler: LinkHandler
) -> None:
    """Exchange Hellos and run the handler until it returns or the link ends."""
    try:
        broadcast([websocket], encode_message(end.hello))
        with anyio.fail_after(end.options.silence_timeout.total_seconds()):
            first = _decode_frame(await websocket.recv())
        if not isinstance(first, Hello) or first.protocol != PROTOCOL_VERSION:
            raise ChivespanError(
                ErrorKind.PROTOCOL,
                "first message is not a Hello of the supported protocol version",
            )
        await _run_link(PeerLink(websocket, end, first), handler)
    except ChivespanError:
        end.counters.incr("peer.protocol_errors")
    except (ConnectionClosed, TimeoutError):
        end.counters.incr("peer.links_broken")


async def _run_link(link: PeerLink, handler: LinkHandler) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.keep_alive)
        try:
            await handler(link)
        finally:
            await link.close()
            tasks.cancel_scope.cancel()


def _decode_frame(frame: str | bytes) -> object:
    if isinstance(frame, str):
        raise ChivespanError(
            ErrorKind.PROTOCOL, "unexpected text frame on a binary link"
        )
    return decode_message(frame)
