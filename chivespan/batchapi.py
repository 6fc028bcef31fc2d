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
from chivespan.httpapi import Handler, with_error_responses
from chivespan.jobmessages import JobResult, JobState, SubmitItem
from chivespan.jobplan import JobPlan, plan_job
from chivespan.messages import WorkClass
from chivespan.records import ItemAnswer, ItemFailure
from chivespan.responses import json_response
from chivespan.rules import may_repeat, rule_for
from chivespan.strictjson import decode_json

JSON_LINES = "application/jsonl"
ACCEPTED_STATUS = 202
LINES_PER_CHECKPOINT = 200
MAX_KEY_CHARACTERS = 256


class Jobs(Protocol):
    """Operations on jobs; implemented by ``chivespan.jobclient.JobClient``."""

    async def submit(self, plan: JobPlan) -> JobState:
        """Submit a job and return its state after it has been accepted."""
        ...

    async def state(self, owner: str, job_id: str) -> JobState:
        """Return a job's state."""
        ...

    async def states(self, owner: str) -> list[JobState]:
        """Return the states of all jobs of an owner."""
        ...

    def results(self, owner: str, job_id: str) -> AsyncIterator[JobResult]:
        """Yield the results available so far, in the order of the job's items."""
        ...

    async def cancel(self, owner: str, job_id: str, reason: str) -> JobState:
        """Cancel a job and return its state."""
        ...


@dataclass(frozen=True, slots=True)
class _Destination:
    """The service and model that run the items of a submission."""

    service: Service
    model: str
    max_tokens: int


class BatchApi:
    """HTTP handlers for batch jobs; there is one instance per process."""

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
        return Route(
            path, with_error_responses(self._context, handler), methods=[method]
        )

    async def _submit(self, request: Request) -> Response:
        owner = self._context.authenticate(request)
        configuration = self._context.view.configuration
        target = _destination(configuration, request)
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
        """Yield one line per result; an error is sent as a separate last line."""
        try:
            async for result in self._jobs.results(owner, job_id):
                yield msgspec.json.encode(batch_result(result)) + b"\n"
        except ChivespanError as error:
            yield msgspec.json.encode(error_answer(error, request_id)) + b"\n"


@dataclass(frozen=True, slots=True)
class ParsedItem:
    """A validated item, parsed from one line of a submission."""

    item: SubmitItem
    idempotent: bool


async def parse_items(
    body: bytes, service: Service, max_tokens: int
) -> list[ParsedItem]:
    """Parse the items of a JSON Lines body; empty lines are skipped.

    :raises ChivespanError: ``bad_request`` or ``unknown_field`` with the line number.
    """
    items: list[ParsedItem] = []
    ids: set[str] = set()
    for number, line in enumerate(body.split(b"\n"), 1):
        if number % LINES_PER_CHECKPOINT == 0:
            await anyio.lowlevel.checkpoint()
        if not line.strip():
            continue
        try:
            item = _parse_line(line, service, max_tokens)
            if item.item.item_key in ids:
                reason = f"the id {item.item.item_key!r} appears twice"
                raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
        except ChivespanError as error:
            reason = f"line {number}: {error.message}; no line was accepted"
            raise ChivespanError(error.kind, reason) from error
        ids.add(item.item.item_key)
        items.append(item)
    return items


def _parse_line(line: bytes, service: Service, max_tokens: int) -> ParsedItem:
    if service.kind is ServiceKind.plain:
        call = decode_json(line, BatchPlainItem)
        repeatable = may_repeat(service, call.method, call.path)
        return ParsedItem(SubmitItem(item_key=call.id, body=line.strip()), repeatable)
    model_item = decode_json(line, BatchModelItem)
    if not 1 <= model_item.max_tokens <= max_tokens:
        reason = f"$.max_tokens must be from 1 to {max_tokens}"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    return ParsedItem(SubmitItem(item_key=model_item.id, body=line.strip()), True)


def _destination(configuration: Configuration, request: Request) -> _Destination:
    """Return the service and model given in a submission's query string.

    :raises ChivespanError: ``not_found``, ``unknown_model`` or ``bad_request``.
    """
    name = request.query_params.get("service", "")
    service = configuration.services.get(name)
    if service is None:
        raise ChivespanError(ErrorKind.NOT_FOUND, f"no service {name!r}")
    if service.kind is ServiceKind.plain:
        return _Destination(service, "", 0)
    model = request.query_params.get("model", "")
    if not model and len(service.models) == 1:
        model = service.models[0]
    if not model:
        reason = f"service {name} has several models; set the 'model' parameter"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    known = configuration.models.get(model)
    if known is None or model not in service.models:
        reason = f"service {name} doesn't serve {model!r}"
        raise ChivespanError(ErrorKind.UNKNOWN_MODEL, reason)
    return _Destination(service, model, known.max_tokens)


def batch_job(state: JobState) -> BatchJob:
    """Convert a job's state to its representation in the caller API."""
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
    """Convert the result of one item to its representation in the caller API."""
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
