"""The HTTP API for callers: addresses, models, online requests and streams."""

import uuid
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from datetime import timedelta
from typing import TypeVar

import anyio
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp, Receive, Scope, Send

from chivespan.callerapi import (
    ChatRequest,
    CompletionRequest,
    HealthAnswer,
    ModelEntry,
    ModelList,
)
from chivespan.claimedcall import MAX_KEY_CHARACTERS
from chivespan.completions import (
    CompletionMetadata,
    build_answer,
    chat_prompt,
    encode_event,
    encode_events,
    prefix_hash,
)
from chivespan.documents import Owner, Service, ServiceKind
from chivespan.engineclient import Token
from chivespan.entrycontext import EntryContext
from chivespan.errorbody import error_answer
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import WorkClass
from chivespan.online import OnlineRequest
from chivespan.plainclient import PlainRequest
from chivespan.responses import error_response, json_response
from chivespan.rules import may_repeat, plain_service, rule_for, service_for_model
from chivespan.strictjson import decode_json
from chivespan.targethttp import HttpResponse

EVENT_STREAM = "text/event-stream"
PLAIN_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
CLIENT_CLOSED_STATUS = 499

T = TypeVar("T")
Handler = Callable[[Request], Awaitable[Response]]


class HttpApi:
    """Request handlers of the online API; one instance per process."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def routes(self) -> list[BaseRoute]:
        """Return the routes of all handlers."""
        return [
            self._route("/v1/addresses", self._get_addresses, ["GET"]),
            self._route("/v1/models", self._get_models, ["GET"]),
            self._route("/v1/completions", self._create_completion, ["POST"]),
            self._route("/v1/chat/completions", self._create_chat_completion, ["POST"]),
            self._route("/services/{service}/{path:path}", self._plain, PLAIN_METHODS),
            self._route("/health", self._get_health, ["GET"]),
        ]

    def _route(self, path: str, handler: Handler, methods: list[str]) -> BaseRoute:
        return Route(
            path, with_error_responses(self._context, handler), methods=methods
        )

    async def _get_addresses(self, request: Request) -> Response:
        self._context.authenticate(request)
        settings = self._context.settings
        data_centre = request.query_params.get("data_centre", settings.data_centre)
        known = self._context.view.configuration.data_centres.get(data_centre)
        region = known.region if known else settings.region
        vms = self._context.view.vms
        return json_response(self._context.addresses.select(vms, data_centre, region))

    async def _get_models(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        services = self._context.view.configuration.services.values()
        allowed = {
            rule.service
            for rule in self._context.view.configuration.rules.values()
            if rule.owner == owner.name
        }
        entries = [
            ModelEntry(id=model, object="model", service=service.name)
            for service in services
            if service.kind is ServiceKind.model and service.name in allowed
            for model in service.models
        ]
        return json_response(ModelList(object="list", data=entries))

    async def _create_completion(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        body = decode_json(await self._context.read_body(request), CompletionRequest)
        return await self._generate(request, owner, body, body.prompt, chat=False)

    async def _create_chat_completion(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        body = decode_json(await self._context.read_body(request), ChatRequest)
        prompt = chat_prompt(body.messages)
        return await self._generate(request, owner, body, prompt, chat=True)

    async def _generate(
        self,
        request: Request,
        owner: Owner,
        body: CompletionRequest | ChatRequest,
        prompt: str,
        *,
        chat: bool,
    ) -> Response:
        configuration = self._context.view.configuration
        service = service_for_model(configuration, body.model, body.service)
        rule_for(configuration, owner.name, service.name, WorkClass.online)
        limit = configuration.models[body.model].max_tokens
        if not 1 <= body.max_tokens <= limit:
            reason = f"$.max_tokens must be from 1 to {limit}"
            raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
        online = OnlineRequest(
            request_id=request.state.request_id,
            owner=owner.name,
            service=service,
            deadline=self._deadline(service, body.deadline_ms),
            model=body.model,
            prompt=prompt,
            max_tokens=body.max_tokens,
            prefix_hash=prefix_hash(prompt),
        )
        head = CompletionMetadata.now(
            self._context.clock, online.request_id, body.model, chat=chat
        )
        tokens = self._context.online.stream(online)
        if body.stream:
            return await _stream_response(request, head, tokens)
        completion = build_answer(
            head, await until_disconnect(request, _collect(tokens))
        )
        return json_response(completion)

    async def _plain(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        configuration = self._context.view.configuration
        service = plain_service(configuration, request.path_params["service"])
        rule_for(configuration, owner.name, service.name, WorkClass.online)
        path = "/" + request.path_params["path"]
        query = f"?{request.url.query}" if request.url.query else ""
        online = OnlineRequest(
            request_id=request.state.request_id,
            owner=owner.name,
            service=service,
            deadline=self._deadline(service, 0),
        )
        plain = PlainRequest(
            request_id=online.request_id,
            method=request.method,
            path=path + query,
            content_type=request.headers.get("content-type", ""),
            body=await self._context.read_body(request),
            idempotent=may_repeat(service, request.method, path),
        )
        response = await self._call_plain(request, online, plain)
        media_type = response.content_type or None
        return Response(response.body, response.status, media_type=media_type)

    async def _call_plain(
        self, request: Request, online: OnlineRequest, plain: PlainRequest
    ) -> HttpResponse:
        """Return the response to a plain call.

        A call that isn't idempotent runs to completion even if the caller disconnects,
        so that its outcome is known.
        """
        if plain.idempotent:
            work = self._context.online.call(online, plain)
            return await until_disconnect(request, work)
        key = request.headers.get("idempotency-key", "")
        if not key:
            return await self._context.online.call(online, plain)
        if len(key) > MAX_KEY_CHARACTERS:
            reason = f"Idempotency-Key has more than {MAX_KEY_CHARACTERS} characters"
            raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
        return await self._context.claimed.call(online, plain, key)

    async def _get_health(self, request: Request) -> Response:
        context = self._context
        return json_response(
            HealthAnswer(
                vm=context.settings.vm,
                ready=context.view.configuration.offset >= 0,
                leaving=context.is_leaving,
                in_progress=context.in_progress,
            )
        )

    def _deadline(self, service: Service, requested_ms: int) -> timedelta:
        limit_ms = service.deadline_ms
        if 0 < requested_ms < limit_ms:
            limit_ms = requested_ms
        return self._context.clock.monotonic() + timedelta(milliseconds=limit_ms)


def application(context: EntryContext, routes: list[BaseRoute]) -> ASGIApp:
    """Return the ASGI application of all routes, which counts requests in progress."""
    inner = Starlette(routes=routes)

    async def count_requests(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await inner(scope, receive, send)
            return
        context.in_progress += 1
        try:
            await inner(scope, receive, send)
        finally:
            context.in_progress -= 1

    return count_requests


def with_error_responses(context: EntryContext, handler: Handler) -> Handler:
    """Wrap a handler to respond to errors by their kind and to count outcomes."""

    async def handle(request: Request) -> Response:
        request_id = uuid.uuid4().hex
        request.state.request_id = request_id
        try:
            response = await handler(request)
        except ChivespanError as error:
            context.metrics.incr(f"answers.{error.kind.value}")
            return error_response(error, request_id)
        except ClientDisconnect:
            context.metrics.incr("answers.disconnected")
            return Response(status_code=CLIENT_CLOSED_STATUS)
        context.metrics.incr("answers.good")
        response.headers["x-request-id"] = request_id
        return response

    return handle


async def until_disconnect(request: Request, work: Awaitable[T]) -> T:
    """Return the result of ``work``; cancel it when the caller disconnects.

    :raises ClientDisconnect: when the caller disconnected first.
    """
    results: list[T] = []
    failures: list[ChivespanError] = []

    async def run() -> None:
        try:
            results.append(await work)
        except ChivespanError as error:
            failures.append(error)
        group.cancel_scope.cancel()

    async def watch() -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        group.start_soon(watch)
    if failures:
        raise failures[0]
    if not results:
        raise ClientDisconnect
    return results[0]


async def _collect(tokens: AsyncGenerator[Token, None]) -> list[Token]:
    async with aclosing(tokens):
        return [token async for token in tokens]


async def _stream_response(
    request: Request, head: CompletionMetadata, tokens: AsyncGenerator[Token, None]
) -> StreamingResponse:
    """Return a streaming response once the first token is available.

    An error before the first token still gets its own HTTP status; a later one is sent
    as an event of the stream.
    """
    first = await until_disconnect(request, anext(tokens))

    async def body() -> AsyncIterator[bytes]:
        async with aclosing(tokens):
            try:
                async for part in encode_events(head, _prepend(first, tokens)):
                    yield part
            except ChivespanError as error:
                yield encode_event(error_answer(error, head.request_id))

    return StreamingResponse(body(), media_type=EVENT_STREAM)


async def _prepend(
    first: Token, rest: AsyncGenerator[Token, None]
) -> AsyncIterator[Token]:
    yield first
    async for token in rest:
        yield token
