"""Stand-in for a model engine with continuous batching and without priorities."""

import time
from dataclasses import dataclass, field
from typing import Literal

import anyio
import fire
import httpcore
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from standins.enginebatch import (
    CHARACTERS_PER_TOKEN,
    Batch,
    CacheEvent,
    EngineOptions,
    InFlightRequest,
    Token,
    prefix_hash,
)
from standins.enginetext import finish_reason, token_count
from standins.journal import Journal
from standins.requestfaults import RequestFaults
from standins.serving import (
    HangingResponse,
    decode_body,
    error_response,
    json_response,
    parse_options,
    serve_until_stopped,
)

WEIGHT_RETRY_S = 0.2
# A prompt that contains this text is rejected with status 422.
UNPROCESSABLE_PROMPT = "can never be done"

EngineMode = Literal[
    "",
    "error",
    "silent",
    "garbage",
    "break",
    "hang",
    "foreign",
    "error_event",
    "no_end",
]


@dataclass(frozen=True)
class Completion:
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str
    request_id: str
    max_tokens: int = 16
    stream: bool = True
    resume_tokens: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class RequestReference:
    """Body of the calls that refer to one request."""

    request_id: str


@dataclass(frozen=True)
class Order:
    """Body of ``POST /orders``."""

    fence: int
    action: Literal["load"] = "load"
    model: str = ""
    version: str = ""
    adapters: list[str] = field(default_factory=list)
    role: str = "serve"


@dataclass(frozen=True)
class Load:
    """Body of the response to ``GET /load``."""

    slots: int
    running: int
    waiting: int
    kv_used: float
    model: str
    version: str
    adapters: list[str]
    role: str
    state: str
    fence: int


@dataclass
class EngineFaults(RequestFaults):
    """Active faults; ``PUT /faults`` replaces all of them.

    :param mode: ``error`` responds with ``status`` immediately; ``silent`` accepts the
        request and never responds; ``no_end`` closes the connection after the last
        token without the end marker. The others act after ``after_tokens`` tokens:
        ``garbage`` sends malformed data; ``break`` closes the connection; ``hang``
        stops sending; ``foreign`` sends a token of another request; ``error_event``
        ends the stream with an error event.
    :param after_tokens: number of tokens sent before the fault occurs.
    :param load_silent: whether ``GET /load`` never responds.
    """

    mode: EngineMode = ""
    after_tokens: int = 0
    load_silent: bool = False


class EngineStandIn:
    """An HTTP application that behaves like one engine."""

    def __init__(self, options: EngineOptions | None = None) -> None:
        self.options = options or EngineOptions()
        self.faults = EngineFaults()
        self.journal = Journal()
        self.batch = Batch(self.options)
        self.app = Starlette(
            routes=[
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/v1/cancel", self._cancel, methods=["POST"]),
                Route("/load", self._report_load),
                Route("/cache_events", self._cache_events),
                Route("/orders", self._order, methods=["POST"]),
                Route("/kv/export", self._export, methods=["POST"]),
                Route("/kv/import", self._import, methods=["POST"]),
                Route("/journal", self.journal.answer),
                Route("/faults", self._set_faults, methods=["PUT"]),
            ]
        )
        self._loaded_order = Order(0, "load", self.options.model, self.options.version)
        self._state = "ready"
        self._fence = 0
        self._cached_load = self._load()
        self._cached_at = 0.0
        self._orders = anyio.create_memory_object_stream[Order](100)

    async def run(self) -> None:
        """Run the batch and apply orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.batch.run)
            async for order in self._orders[1]:
                await self._apply_order(order)

    def _load(self) -> Load:
        batch = self.batch
        loaded = self._loaded_order
        return Load(
            self.options.slots,
            len(batch.running),
            len(batch.waiting),
            min(1.0, len(batch.running) / self.options.slots),
            loaded.model,
            loaded.version,
            loaded.adapters,
            loaded.role,
            self._state,
            self._fence,
        )

    async def _complete(self, request: Request) -> Response:
        completion = await decode_body(request, Completion)
        mode = self.faults.next_mode()
        await anyio.sleep(self.faults.slow_ms / 1000)
        if mode == "error":
            return error_response(self.faults.status, "failed", "ordered by a test")
        if self._state != "ready":
            return error_response(503, "loading")
        if self._loaded_order.model and completion.model != self._loaded_order.model:
            return error_response(404, "unknown_model", completion.model)
        if UNPROCESSABLE_PROMPT in completion.prompt:
            return error_response(422, "unprocessable", completion.prompt)
        if len(completion.resume_tokens) >= token_count(
            completion.prompt, completion.max_tokens
        ):
            return error_response(400, "nothing_to_resume")
        if len(self.batch.waiting) >= self.options.waiting:
            return error_response(503, "full")
        self.journal.add(
            "start", completion.request_id, "/v1/completions", completion.prompt
        )
        if mode == "silent":
            return HangingResponse()
        return _TokenStream(self, completion, mode)

    async def _cancel(self, request: Request) -> Response:
        reference = await decode_body(request, RequestReference)
        for running in self.batch.find(reference.request_id):
            self.batch.remove(running)
        return json_response({})

    async def _report_load(self, request: Request) -> Response:
        if self.faults.load_silent:
            return HangingResponse()
        age_ms = (time.monotonic() - self._cached_at) * 1000
        if age_ms >= self.options.load_lag_ms:
            self._cached_load = self._load()
            self._cached_at = time.monotonic()
        return json_response(self._cached_load)

    async def _cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", 0))
        events: list[CacheEvent] = self.batch.cache.events(after)
        last = events[-1].seq if events else after
        return json_response({"last": last, "events": events})

    async def _order(self, request: Request) -> Response:
        order = await decode_body(request, Order)
        detail = f"fence={order.fence} {order.model}@{order.version} {order.role}"
        if self.options.checks_fencing and order.fence < self._fence:
            self.journal.add("order", "", "/orders", f"refused {detail}")
            return error_response(409, "old_fence", f"seen {self._fence}")
        self._fence = max(self._fence, order.fence)
        self.journal.add("order", "", "/orders", detail)
        self._orders[0].send_nowait(order)
        return json_response({}, 202)

    async def _apply_order(self, order: Order) -> None:
        same = (order.model, order.version) == (
            self._loaded_order.model,
            self._loaded_order.version,
        )
        if not same and self.options.weights_url:
            self._state = "loading"
            await self._fetch_weights(order)
        self._loaded_order = order
        self._state = "ready"

    async def _fetch_weights(self, order: Order) -> None:
        url = f"{self.options.weights_url}/weights/{order.model}/{order.version}"
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                try:
                    answer = await pool.request("GET", url)
                except httpcore.NetworkError:
                    await anyio.sleep(WEIGHT_RETRY_S)
                    continue
                if answer.status == 200:
                    return
                await anyio.sleep(WEIGHT_RETRY_S)

    async def _export(self, request: Request) -> Response:
        reference = await decode_body(request, RequestReference)
        found = self.batch.find(reference.request_id)
        if not found:
            return error_response(404, "not_found", reference.request_id)
        return Response(msgspec.json.encode(found[0].prompt))

    async def _import(self, request: Request) -> Response:
        prompt = await decode_body(request, str)
        self.batch.cache.store(prefix_hash(prompt))
        return json_response({})

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await decode_body(request, EngineFaults)
        return json_response(self.faults)


class _TokenStream(Response):
    """The token stream of one completion.

    The request is removed from the batch when the caller disconnects.
    """

    def __init__(
        self, engine: EngineStandIn, completion: Completion, mode: str
    ) -> None:
        super().__init__()
        self._engine = engine
        self._completion = completion
        self._mode = mode
        self._sent = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Stream until the last token, a fault, a cancel or a disconnect."""
        completion = self._completion
        start = len(completion.resume_tokens)
        batch = self._engine.batch
        running = batch.add(
            completion.request_id, completion.prompt, completion.max_tokens, start
        )
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        finished = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
                finished = await self._stream(running, send)
                tasks.cancel_scope.cancel()
        finally:
            batch.remove(running)
            event = "end" if finished else "cancel"
            self._engine.journal.add(
                event, completion.request_id, "/v1/completions", f"tokens={self._sent}"
            )

    async def _stream(self, running: InFlightRequest, send: Send) -> bool:
        """Send the tokens; return whether the stream ended normally."""
        async for token in running.tokens:
            if self._fault_is_due():
                return await self._inject_fault(token, send)
            await send(_chunk(self._event(token)))
            self._sent += 1
            self._journal_token(token)
            if token.last and self._mode != "no_end":
                await send(_chunk(b"data: [DONE]\n\n", more=False))
                return True
        return False

    def _fault_is_due(self) -> bool:
        due = self._sent >= self._engine.faults.after_tokens
        return due and self._mode not in ("", "no_end")

    async def _inject_fault(self, token: Token, send: Send) -> bool:
        match self._mode:
            case "garbage":
                await send(_chunk(b'data: {"id": "\xff\xfe[[\n\n', more=False))
            case "error_event":
                event = msgspec.json.encode({"error": {"code": "failed"}})
                await send(_chunk(b"data: " + event + b"\n\n", more=False))
            case "hang":
                await anyio.sleep_forever()
            case "foreign":
                await send(_chunk(self._event(token, "another-request"), more=False))
        return False

    def _journal_token(self, token: Token) -> None:
        if self._engine.options.journal_tokens:
            detail = f"{token.index}:{token.text}"
            self._engine.journal.add("token", self._completion.request_id, "", detail)

    def _event(self, token: Token, request_id: str = "") -> bytes:
        completion = self._completion
        name = request_id or completion.request_id
        event: dict[str, object] = {"id": name, "token_index": token.index}
        text = f" of {request_id}" if request_id else token.text
        choice: dict[str, object] = {"index": 0, "text": text}
        choice["finish_reason"] = None
        event["choices"] = [choice]
        if token.last:
            choice["finish_reason"] = finish_reason(
                completion.prompt, completion.max_tokens
            )
            event["usage"] = {
                "prompt_tokens": len(completion.prompt) // CHARACTERS_PER_TOKEN,
                "completion_tokens": token.index + 1,
            }
        return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _chunk(body: bytes, *, more: bool = True) -> dict[str, object]:
    return {"type": "http.response.body", "body": body, "more_body": more}


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def main(address: str, **flags: object) -> None:
    """Serve an engine at ``address``."""
    engine = EngineStandIn(parse_options(EngineOptions, flags))
    serve_until_stopped([(address, engine)])


if __name__ == "__main__":
    fire.Fire(main)
