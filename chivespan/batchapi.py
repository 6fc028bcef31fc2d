"""The HTTP interface of batch jobs: submit, list, show, results, cancel."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

import anyio
import anyio.lowlevel
import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import BaseRoute, Route

from chivespan.answers import json_response
from chivespan.callerapi import (
    BatchItemError,
    BatchJob,
    BatchJobList,
    BatchModelItem,
    BatchPlainItem,
    BatchResult,
)
from chivespan.codec import decode
from chivespan.configuration import Configuration
from chivespan.documents import Service, ServiceKind
from chivespan.entrycontext import EntryContext
from chivespan.errorbody import error_answer
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httpapi import Handler, answering
from chivespan.jobmessages import JobResult, JobState, SubmitItem
from chivespan.jobplan import JobPlan, plan_job
from chivespan.messages import WorkClass
from chivespan.records import ItemAnswer, ItemFailure
from chivespan.rules import may_repeat, rule_for
from chivespan.strictjson import decode_json

JSON_LINES = "application/jsonl"
ACCEPTED_STATUS = 202
LINES_PER_CHECKPOINT = 200
MAX_KEY_CHARACTERS = 256


class Jobs(Protocol):
    """What is asked about jobs; met by ``chivespan.jobclient.JobClient``."""

    async def submit(self, plan: JobPlan) -> JobState:
        """Submit a job and return its state once it is accepted."""
        ...

    async def state(self, owner: str, job_id: str) -> JobState:
        """Return a job's state."""
        ...

    async def states(self, owner: str) -> list[JobState]:
        """Return the states of all jobs of an owner."""
        ...

    def results(self, owner: str, job_id: str) -> AsyncIterator[JobResult]:
        """Yield a job's results so far, in the order of its items."""
        ...

    async def cancel(self, owner: str, job_id: str, reason: str) -> JobState:
        """Cancel a job and return its state."""
        ...


@dataclass(frozen=True, slots=True)
class _Target:
    """What the lines of a submission are for."""

    service: Service
    model: str
    max_tokens: int


class BatchApi:
    """Handlers of the batch side; one for a process."""

    def __init__(self, context: EntryContext, jobs: Jobs) -> None:
        self._context = context
        self._jobs = jobs

    def routes(self) -> list[BaseRoute]:
        """Return the routes of all handlers."""
        return [
            self._route("/v1/batches", self._submit, "POST"),
            self._route("/v1/batches", self._list, "GET"),
            self._route("/v1/batches/{id}", self._show, "GET"),
            self._route("/v1/batches/{id}/results", self._results, "GET"),
            self._route("/v1/batches/{id}/cancel", self._cancel, "POST"),
        ]

    def _route(self, path: str, handler: Handler, method: str) -> BaseRoute:
        return Route(path, answering(self._context, handler), methods=[method])

    async def _submit(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        configuration = self._context.view.configuration
        target = _target(configuration, request)
        rule_for(configuration, owner.name, target.service.name, WorkClass.batch)
        key = request.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARACTERS:
            reason = f"Idempotency-Key is over {MAX_KEY_CHARACTERS} characters"
            raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
        body = await self._context.read_body(request)
        items = await parse_items(body, target.service, target.max_tokens)
        plan = plan_job(
            [item.item for item in items],
            owner=owner.name,
            job_key=key,
            service=target.service.name,
            model=target.model,
            idempotent=all(item.idempotent for item in items),
            partitions=self._context.settings.partitions,
        )
        state = await self._jobs.submit(plan)
        return json_response(batch_job(state), ACCEPTED_STATUS)

    async def _list(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        states = await self._jobs.states(owner.name)
        jobs = [batch_job(state) for state in states]
        return json_response(BatchJobList(object="list", data=jobs))

    async def _show(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        state = await self._jobs.state(owner.name, request.path_params["id"])
        return json_response(batch_job(state))

    async def _results(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        job_id = request.path_params["id"]
        await self._jobs.state(owner.name, job_id)
        lines = self._result_lines(owner.name, job_id, request.state.request_id)
        return StreamingResponse(lines, media_type=JSON_LINES)

    async def _cancel(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        job_id = request.path_params["id"]
        state = await self._jobs.cancel(owner.name, job_id, "cancelled by its owner")
        return json_response(batch_job(state))

    async def _result_lines(
        self, owner: str, job_id: str, request_id: str
    ) -> AsyncIterator[bytes]:
        """Yield one line for each result; an error is a last line of its own."""
        try:
            async for result in self._jobs.results(owner, job_id):
                yield msgspec.json.encode(batch_result(result)) + b"\n"
        except ChivespanError as error:
            yield msgspec.json.encode(error_answer(error, request_id)) + b"\n"


@dataclass(frozen=True, slots=True)
class ParsedItem:
    """One line of a submission that was checked."""

    item: SubmitItem
    idempotent: bool


async def parse_items(
    body: bytes, service: Service, max_tokens: int
) -> list[ParsedItem]:
    """Return the items of a body of JSON lines; empty lines are passed over.

    :raises ChivespanError: ``bad_request`` or ``unknown_field``, naming the line.
    """
    items: list[ParsedItem] = []
    ids: set[str] = set()
    for number, line in enumerate(body.split(b"\n"), 1):
        if number % LINES_PER_CHECKPOINT == 0:
            await anyio.lowlevel.checkpoint()
        if not line.strip():
            continue
        try:
            item = _read_line(line, service, max_tokens)
            if item.item.item_key in ids:
                reason = f"the id {item.item.item_key!r} stands twice"
                raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
        except ChivespanError as error:
            reason = f"line {number}: {error.message}; no line was accepted"
            raise ChivespanError(error.kind, reason) from error
        ids.add(item.item.item_key)
        items.append(item)
    return items


def _read_line(line: bytes, service: Service, max_tokens: int) -> ParsedItem:
    if service.kind is ServiceKind.plain:
        call = decode_json(line, BatchPlainItem)
        repeatable = may_repeat(service, call.method, call.path)
        return ParsedItem(SubmitItem(item_key=call.id, body=line.strip()), repeatable)
    asked = decode_json(line, BatchModelItem)
    if not 1 <= asked.max_tokens <= max_tokens:
        reason = f"$.max_tokens must be from 1 to {max_tokens}"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    return ParsedItem(SubmitItem(item_key=asked.id, body=line.strip()), True)


def _target(configuration: Configuration, request: Request) -> _Target:
    """Return the service and model that a submission names in its query.

    :raises ChivespanError: ``not_found``, ``unknown_model`` or ``bad_request``.
    """
    name = request.query_params.get("service", "")
    service = configuration.services.get(name)
    if service is None:
        raise ChivespanError(ErrorKind.NOT_FOUND, f"there is no service {name!r}")
    if service.kind is ServiceKind.plain:
        return _Target(service, "", 0)
    model = request.query_params.get("model", "")
    if not model and len(service.models) == 1:
        model = service.models[0]
    if not model:
        reason = f"service {name} has several models, name one as 'model'"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    known = configuration.models.get(model)
    if known is None or model not in service.models:
        reason = f"service {name} doesn't serve {model!r}"
        raise ChivespanError(ErrorKind.UNKNOWN_MODEL, reason)
    return _Target(service, model, known.max_tokens)


def batch_job(state: JobState) -> BatchJob:
    """Return what a caller is shown of a job."""
    return BatchJob(
        id=state.job_id,
        service=state.service,
        status=state.phase.value,
        items=state.items,
        done=state.done,
        failed=state.failed,
        key=state.job_key,
    )


def batch_result(result: JobResult) -> BatchResult:
    """Return the line for one item's result."""
    if result.ok:
        answer = decode(result.body, ItemAnswer)
        return BatchResult(
            index=result.index,
            id=result.item_key,
            ok=True,
            attempts=result.attempts,
            status=answer.status,
            content_type=answer.content_type,
            text=answer.text,
        )
    failure = decode(result.body, ItemFailure)
    return BatchResult(
        index=result.index,
        id=result.item_key,
        ok=False,
        attempts=result.attempts,
        status=0,
        error=BatchItemError(code=result.error, message=failure.message),
    )
