"""HTTP calls on batch jobs: submit a job, read results, read an item's body, end it."""

from datetime import timedelta
from http import HTTPStatus
from urllib.parse import parse_qs

from chivespan.batchledger import is_valid_job_id
from chivespan.batchownerclient import BatchOwnerClient
from chivespan.batchownership import partition_of
from chivespan.calleroutput import OutputGuard
from chivespan.callerrequest import CallerRequest, Responder, parse_milliseconds
from chivespan.clock import MILLISECOND, Clock
from chivespan.customers.jobscope import SEPARATOR, scoped_job_id
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.logs import logger
from chivespan.nodemessages import BatchQuestion, BatchVerb
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform import bodies, wire
from chivespan.routes import Route

MAX_PAGE_WAIT = timedelta(seconds=1)
READ_TIMEOUT = timedelta(seconds=2.5)
SUBMIT_TIMEOUT = timedelta(seconds=3.5)
END_TIMEOUT = timedelta(seconds=3.5)
# A position that no job has.
AFTER_ALL_RESULTS = 1_000_000

_log = logger("batch")


class BatchFrontend:
    """Serves batch calls by forwarding them to the owners of partitions.

    :param guard: says how large pages may be; None if nothing bounds them here.
    """

    def __init__(
        self,
        questions: BatchOwnerClient,
        clock: Clock,
        metrics: NodeMetrics,
        guard: OutputGuard | None = None,
    ) -> None:
        self._questions = questions
        self._clock = clock
        self._metrics = metrics
        self._guard = guard

    async def submit(
        self, request: CallerRequest, route: Route, responder: Responder
    ) -> None:
        """Submit a job; answers "202 Accepted" once the store has it."""
        _check_job_id(request)
        await self._ask(request, BatchVerb.submit, SUBMIT_TIMEOUT, route=route.name)
        await responder.respond(HTTPStatus.ACCEPTED)
        self._record_answer("submit", request)

    async def has_accepted(self, request: CallerRequest) -> bool:
        """Return whether a request submits a job once more that has been accepted.

        :raises ChivespanError: if that can't be found out.
        """
        if request.method != "POST" or not is_valid_job_id(request.request_id):
            return False
        if not bodies.is_submission(request.body):
            return False
        try:
            verb, start = BatchVerb.page, AFTER_ALL_RESULTS
            await self._ask(request, verb, READ_TIMEOUT, start=start)
        except ChivespanError as error:
            if error.kind is ErrorKind.NOT_FOUND:
                return False
            raise
        return True

    async def confirm(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a request that submits an accepted job once more."""
        await responder.respond(HTTPStatus.ACCEPTED)
        self._record_answer("submit", request)

    async def serve_job(self, request: CallerRequest, responder: Responder) -> None:
        """Serve any other call on a job."""
        if request.path.startswith(wire.ITEM_PATH):
            await self._show_body(request, responder)
        elif request.method == "DELETE":
            await self._end(request, responder)
        else:
            await self._show_page(request, responder)

    async def _show_page(self, request: CallerRequest, responder: Responder) -> None:
        start = _query(request, "after")
        wait = parse_milliseconds(request.header(wire.WAIT_MS)) or timedelta(0)
        wait = min(wait, MAX_PAGE_WAIT)
        body = await self._ask(
            request,
            BatchVerb.page,
            READ_TIMEOUT,
            job_id=_path_suffix(request, wire.JOB_PATH),
            start=int(start) if start.isdecimal() else 0,
            wait_ms=wait // MILLISECOND,
        )
        if self._guard is not None:
            body = bodies.shorten_results(body, self._guard.page_bytes)
        await responder.respond_json(HTTPStatus.OK, body)
        self._record_answer("page", request, body)

    async def _show_body(self, request: CallerRequest, responder: Responder) -> None:
        body = await self._ask(
            request,
            BatchVerb.body,
            READ_TIMEOUT,
            job_id=_path_suffix(request, wire.ITEM_PATH),
            item_id=_query(request, "id"),
        )
        await responder.respond(HTTPStatus.OK, body)
        self._record_answer("body", request, body)

    async def _end(self, request: CallerRequest, responder: Responder) -> None:
        job_id = _path_suffix(request, wire.JOB_PATH)
        await self._ask(request, BatchVerb.end, END_TIMEOUT, job_id=job_id)
        await responder.respond(HTTPStatus.OK)
        self._record_answer("end", request)

    async def _ask(
        self,
        request: CallerRequest,
        verb: BatchVerb,
        timeout: timedelta,
        *,
        route: str = "",
        job_id: str = "",
        item_id: str = "",
        start: int = 0,
        wait_ms: int = 0,
    ) -> bytes:
        deadline = parse_milliseconds(request.header(wire.DEADLINE_MS)) or timeout
        customer = "" if request.customer is None else request.customer.name
        question = BatchQuestion(
            question=self._questions.next_question_id(),
            verb=verb,
            partition=partition_of(request.host),
            host=request.host,
            route=route,
            job_id=_stored_job_id(customer, job_id or request.request_id),
            item_id=item_id,
            start=start,
            wait_ms=wait_ms,
            body=request.body if verb is BatchVerb.submit else b"",
            patience_ms=min(timeout, deadline) // MILLISECOND,
            customer=customer,
        )
        return await self._questions.ask(question)

    def _record_answer(
        self, call: str, request: CallerRequest, body: bytes = b""
    ) -> None:
        took = self._clock.monotonic() - request.arrived
        self._metrics.record_answer(f"batch_{call}", "delivered", took)
        _log.info(
            "batch_call_answered",
            request=request.request_id,
            call=call,
            path=request.path,
            size=len(body),
            took_ms=round(took / MILLISECOND, 1),
        )


def _check_job_id(request: CallerRequest) -> None:
    """Check that the request id can serve as a job id.

    :raises ChivespanError: ``bad_request`` if it can't.
    """
    if not is_valid_job_id(request.request_id):
        reason = "request id is missing, too long or has a character like a slash"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)


def _stored_job_id(customer: str, job_id: str) -> str:
    """Return the id under which a caller's job is stored.

    :raises ChivespanError: ``not_found`` if the id is not that of a caller's job; it
        might be the stored id of another customer's.
    """
    if SEPARATOR in job_id:
        raise ChivespanError(ErrorKind.NOT_FOUND, f"no job {job_id}")
    return scoped_job_id(customer, job_id)


def _path_suffix(request: CallerRequest, path: str) -> str:
    return request.path.removeprefix(path)


def _query(request: CallerRequest, name: str) -> str:
    """Return the first value of a query parameter; empty if it is absent."""
    _, _, query = request.target.partition(b"?")
    values = parse_qs(query.decode("latin-1")).get(name, [""])
    return values[0]
