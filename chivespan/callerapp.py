"""The ASGI application of a node, which dispatches requests by listening address."""

from collections.abc import Awaitable, Callable, Mapping
from contextlib import ExitStack
from datetime import timedelta
from enum import StrEnum
from http import HTTPStatus

import anyio
from starlette.types import Receive, Scope, Send

from chivespan.batchfront import BatchFrontend
from chivespan.calleridentity import CallerIdentity
from chivespan.calleroutput import OutputGuard
from chivespan.callerrequest import CallerRequest, Responder, parse_milliseconds
from chivespan.clock import Clock
from chivespan.customers.customermetrics import CustomerOutcome
from chivespan.customers.quota import UNCOUNTED, Admission, QuotaLimiter
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.forwarding import Forwarder
from chivespan.heldbodies import HeldBodies, HeldBody
from chivespan.logs import logger
from chivespan.nodemetrics import NodeMetrics
from chivespan.nodestatus import NodeStatus
from chivespan.platform import wire
from chivespan.routes import CallerLimits, Route, RouteKind, RoutingTable
from chivespan.routingstate import RoutingState

# Short, since other nodes accept the request immediately.
DRAINING_RETRY_AFTER = timedelta(milliseconds=20)
NOT_READY_RETRY_AFTER = timedelta(milliseconds=500)

_log = logger("callers")


class Listener(StrEnum):
    """The purpose of a listening address."""

    FRONT = "front"
    READY = "ready"
    DIRECTORY = "directory"
    METRICS = "metrics"


class CallerApp:
    """Handles all HTTP requests to one node.

    :param listeners: purpose of each port.
    :param identity: tells which customer a request comes from.
    :param quotas: limits the online requests of customers.
    :param guard: bounds what callers don't read; None if that has no bound.
    :param bodies: bounds the request bodies held; None if they have no bound.
    """

    def __init__(
        self,
        listeners: dict[int, Listener],
        node_status: NodeStatus,
        routing: RoutingState,
        forwarder: Forwarder,
        batch: BatchFrontend,
        metrics: NodeMetrics,
        clock: Clock,
        identity: CallerIdentity | None = None,
        quotas: QuotaLimiter | None = None,
        guard: OutputGuard | None = None,
        bodies: HeldBodies | None = None,
    ) -> None:
        self._listeners = listeners
        self._node_status = node_status
        self._routing = routing
        self._forwarder = forwarder
        self._batch = batch
        self._metrics = metrics
        self._clock = clock
        self._identity = identity or CallerIdentity()
        self._quotas = quotas
        self._guard = guard
        self._bodies = bodies
        self._handlers: dict[
            Listener, Callable[[Scope, Responder], Awaitable[None]]
        ] = {
            Listener.READY: self._handle_ready,
            Listener.DIRECTORY: self._handle_directory,
            Listener.METRICS: self._handle_metrics,
        }

    @property
    def _caller_limits(self) -> CallerLimits:
        table = self._routing.table
        return CallerLimits() if table is None else table.limits

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        listener = self._listeners[scope["server"][1]]
        responder = Responder(send, "", close_after=self._node_status.is_leaving)
        if listener is not Listener.FRONT:
            await self._handlers[listener](scope, responder)
            return
        try:
            await self._handle_front(scope, receive, responder)
        except Exception as error:
            await self._end_unexpectedly(responder, error)

    async def _end_unexpectedly(self, responder: Responder, error: Exception) -> None:
        """Log an error outside the closed list, and answer if nothing was sent yet."""
        _log.error(
            "request_failed",
            request=responder.request_id,
            reason=repr(error),
            response_started=responder.started,
        )
        self._metrics.incr("request_failed")
        if responder.started:
            raise error
        reason = "the request ended with an unexpected error"
        await responder.send_error(ChivespanError(ErrorKind.INTERNAL, reason))

    async def _handle_ready(self, _scope: Scope, responder: Responder) -> None:
        ready = self._node_status.is_ready
        await responder.respond(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        )

    async def _handle_directory(self, scope: Scope, responder: Responder) -> None:
        caller_centre = wire.caller_data_centre(scope["query_string"])
        body = self._node_status.encode_address_list(caller_centre)
        if body is None:
            await responder.respond(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            await responder.respond_json(HTTPStatus.OK, body)

    async def _handle_metrics(self, _scope: Scope, responder: Responder) -> None:
        content_type = (b"content-type", b"text/plain; version=0.0.4")
        await responder.respond(HTTPStatus.OK, self._metrics.text(), [content_type])

    async def _handle_front(
        self, scope: Scope, receive: Receive, responder: Responder
    ) -> None:
        arrived = self._clock.monotonic()
        headers: list[tuple[bytes, bytes]] = scope["headers"]
        by_name = dict(headers)
        responder.request_id = by_name.get(wire.REQUEST_ID, b"").decode("latin-1")
        if self._guard is not None:
            responder.output = self._guard.open(scope, responder.request_id)
        with ExitStack() as holds:
            held = None
            if self._bodies is not None:
                held = holds.enter_context(self._bodies.hold(responder.request_id))
            body = await self._receive_or_refuse(receive, by_name, held, responder)
            if body is not None:
                request = _request(scope, responder.request_id, body, arrived)
                await self._serve_while_connected(request, receive, responder)

    async def _receive_or_refuse(
        self,
        receive: Receive,
        headers: Mapping[bytes, bytes],
        held: HeldBody | None,
        responder: Responder,
    ) -> bytes | None:
        """Return a request's body; None when it was refused or its caller has gone."""
        length = self._stated_length(headers)
        try:
            if held is not None and length is not None:
                held.check_fits(length)
            return await self._read_body(receive, headers, held)
        except ChivespanError as error:
            no_room = error.kind is ErrorKind.NO_CAPACITY
            # The server discards the rest of a body with a known end. If it closed the
            # connection, a caller that is still sending might see a reset in place of
            # the response, and couldn't tell that the request has not run.
            responder.close_after |= not no_room or length is None
            if no_room:
                self._metrics.incr("body_refused")
            await responder.send_error(error)
            return None

    def _stated_length(self, headers: Mapping[bytes, bytes]) -> int | None:
        """Return the length of a body; None if it isn't known or is above the limit."""
        value = headers.get(b"content-length", b"")
        length = int(value) if value.isdigit() else None
        if length is None or length > self._caller_limits.max_body_bytes:
            return None
        return length

    async def _read_body(
        self,
        receive: Receive,
        headers: Mapping[bytes, bytes],
        held: HeldBody | None,
    ) -> bytes | None:
        """Return a request's body; None when the caller has disconnected.

        :raises ChivespanError: ``body_too_large``, ``request_too_slow``,
            ``no_capacity``.
        """
        limits = self._caller_limits
        deadline = parse_milliseconds(
            headers.get(wire.DEADLINE_MS, b"").decode("latin-1")
        )
        timeout = deadline or limits.idle_timeout
        try:
            with anyio.fail_after(timeout.total_seconds()):
                return await _receive_body(receive, limits.max_body_bytes, held)
        except TimeoutError as error:
            reason = "request body was not received in time"
            raise ChivespanError(ErrorKind.REQUEST_TOO_SLOW, reason) from error

    async def _serve_while_connected(
        self, request: CallerRequest, receive: Receive, responder: Responder
    ) -> None:
        """Serve a request; cancel it as soon as the caller closes the connection."""

        async def watch() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            if not responder.finished:
                self._metrics.incr("caller_gone")
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            try:
                await self._serve(request, responder)
            except ChivespanError as error:
                await self._refuse(request, responder, error)
            tasks.cancel_scope.cancel()

    async def _refuse(
        self, request: CallerRequest, responder: Responder, error: ChivespanError
    ) -> None:
        _log.info(
            "request_refused",
            request=request.request_id,
            host=request.host,
            path=request.path,
            kind=error.kind.value,
            reason=error.message,
            routing_version=self._routing.version,
        )
        self._metrics.incr(f"refused_{error.kind.value}")
        if not responder.started:
            await responder.send_error(error)

    async def _serve(self, request: CallerRequest, responder: Responder) -> None:
        if self._node_status.refuses_new:
            raise _leaving("node is shutting down")
        _check_unambiguous(request)
        table = self._table()
        if request.path.startswith((wire.JOB_PATH, wire.ITEM_PATH)):
            is_public = table.has_public_batch_route(request.host)
            request = self._identity.identified(
                request, table, is_public=is_public, is_batch=True
            )
            await self._batch.serve_job(request, responder)
            return
        route = table.find(request.host, request.path)
        is_public = route is not None and route.is_public
        request = self._identity.identified(
            request,
            table,
            is_public=is_public,
            is_batch=route is not None and route.kind is RouteKind.BATCH,
        )
        if route is None:
            reason = f"no route for {request.host}{request.path}"
            raise ChivespanError(ErrorKind.NOT_FOUND, reason)
        if route.kind is RouteKind.BATCH:
            await self._batch.submit(request, route, responder)
        elif await self._repeats_submission(request, table):
            await self._batch.confirm(request, responder)
        else:
            self._check_time_left(request, route)
            await self._serve_online(request, route, responder)

    async def _repeats_submission(
        self, request: CallerRequest, table: RoutingTable
    ) -> bool:
        """Return whether an online request is an accepted job that comes again.

        An online route may have got the path at which the job was submitted.
        """
        if not table.is_under_batch_route(request.host, request.path):
            return False
        return await self._batch.has_accepted(request)

    async def _serve_online(
        self, request: CallerRequest, route: Route, responder: Responder
    ) -> None:
        """Serve an online request if its customer's quota admits it.

        :raises ChivespanError: before anything has been sent to a target.
        """
        admission = self._admit(request)
        try:
            await self._forwarder.serve(request, route, responder, admission)
        except ChivespanError:
            admission.refund()
            raise

    def _admit(self, request: CallerRequest) -> Admission:
        """Count a request against its customer's quota.

        :raises ChivespanError: ``quota_exceeded`` if the quota is used up.
        """
        customer = request.customer
        if customer is None or self._quotas is None:
            return UNCOUNTED
        try:
            return self._quotas.admit(customer, request.request_id)
        except ChivespanError:
            self._metrics.customers.record(customer, CustomerOutcome.REFUSED_QUOTA)
            raise

    def _check_time_left(self, request: CallerRequest, route: Route) -> None:
        """Check that this node isn't likely to end before it has answered a request.

        :raises ChivespanError: ``leaving`` when another node should take it.
        """
        status = self._node_status
        if not status.is_leaving:
            return
        if self._forwarder.longest_time(request, route) > status.time_to_end:
            raise _leaving("node is shutting down before the request can be answered")

    def _table(self) -> RoutingTable:
        """Return the routing table in force.

        :raises ChivespanError: ``not_ready`` before the first.
        """
        table = self._routing.table
        if table is None:
            raise ChivespanError(
                ErrorKind.NOT_READY,
                "no configuration has been received yet",
                retry_after=NOT_READY_RETRY_AFTER,
            )
        return table


def _check_unambiguous(request: CallerRequest) -> None:
    """Check that a request names its host and its id once at most, the id in ASCII.

    This node and a target might otherwise read different ones.

    :raises ChivespanError: ``bad_request`` if it doesn't.
    """
    for name in (wire.HOST, wire.REQUEST_ID):
        if sum(known == name for known, _ in request.headers) > 1:
            reason = f"the request has more than one {name.decode()} header"
            raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    if not request.request_id.isascii():
        reason = "the request id has a character beyond ASCII"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)


def _leaving(reason: str) -> ChivespanError:
    return ChivespanError(ErrorKind.LEAVING, reason, retry_after=DRAINING_RETRY_AFTER)


def _request(
    scope: Scope, request_id: str, body: bytes, arrived: timedelta
) -> CallerRequest:
    query = scope["query_string"]
    host = dict(scope["headers"]).get(b"host", b"")
    return CallerRequest(
        request_id=request_id,
        method=scope["method"],
        host=host.decode("latin-1").lower(),
        path=scope["raw_path"].decode("latin-1"),
        target=scope["raw_path"] + (b"?" + query if query else b""),
        headers=scope["headers"],
        body=body,
        arrived=arrived,
    )


async def _receive_body(
    receive: Receive, max_bytes: int, held: HeldBody | None
) -> bytes | None:
    """Return a request's body; None when the caller has disconnected.

    :raises ChivespanError: ``body_too_large``, ``no_capacity``.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunk = message.get("body", b"")
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            reason = f"request body has more than {max_bytes} bytes"
            raise ChivespanError(ErrorKind.BODY_TOO_LARGE, reason)
        if held is not None:
            held.add(len(chunk))
        if not message.get("more_body", False):
            return b"".join(chunks)
