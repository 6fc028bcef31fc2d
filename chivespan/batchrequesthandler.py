"""Handles callers' requests on the batch jobs of one partition, from its ledger.

Any node can handle a request, because all replies are based on the store, as it is now
or was at most ``MAX_AGE_OF_PAGE`` ago.
"""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import anyio

from chivespan.batchchanges import AcceptJob, EndJob
from chivespan.batchledger import LedgerJob
from chivespan.batchrecords import BatchItem, BatchResult
from chivespan.clock import NO_WAIT, Clock
from chivespan.customers.jobscope import caller_job_id
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.ledgerstore import LedgerStore
from chivespan.logs import logger
from chivespan.nodemessages import BatchQuestion, BatchVerb
from chivespan.platform import bodies, wire
from chivespan.routes import RouteKind
from chivespan.routingstate import RoutingState

MAX_AGE_OF_PAGE = timedelta(milliseconds=500)
MAX_ITEMS = 200
MAX_PAGE_BYTES = 1_000_000
CAP_RETRY_AFTER = timedelta(seconds=1)
# Refused submitters return over a time of this share of the delay, when the
# configuration names customers.
CAP_RETRY_SPREAD = 1.0

_log = logger("batch")


class BatchRequestHandler:
    """Handles the requests of one partition.

    :param end_requested: called with the id of a job that a caller wants to end, and
        again when that has failed.
    :param job_ended: called after a caller has ended a job.
    """

    def __init__(
        self,
        store: LedgerStore,
        routing: RoutingState,
        clock: Clock,
        max_record_bytes: int,
        end_requested: Callable[[str], None],
        job_ended: Callable[[], None],
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._routing = routing
        self._clock = clock
        self._max_record_bytes = max_record_bytes
        self._end_requested = end_requested
        self._job_ended = job_ended
        self._random = random or Random()

    async def answer(self, question: BatchQuestion) -> bytes:
        """Return the reply to a caller's request.

        :raises ChivespanError: the error to report to the caller.
        """
        handlers = {
            BatchVerb.submit: self._submit,
            BatchVerb.page: self._page,
            BatchVerb.body: self._body,
            BatchVerb.end: self._end,
        }
        return await handlers[question.verb](question)

    async def _submit(self, question: BatchQuestion) -> bytes:
        table = self._routing.table
        route = None if table is None else table.route_named(question.route)
        if route is None or route.kind is not RouteKind.BATCH:
            reason = f"route {question.route} is unknown on this node"
            raise ChivespanError(ErrorKind.NOT_READY, reason)
        if not self._store.is_loaded:
            await self._store.refresh(NO_WAIT)
        change = AcceptJob(
            job_id=question.job_id,
            route=question.route,
            host=question.host,
            items=self._items(question),
            submitted=self._clock.now(),
            tokens_limit=route.waiting_tokens_limit,
            max_record_bytes=self._max_record_bytes,
            config_version=self._routing.version,
            customer=question.customer,
            path_prefix=route.path_prefix,
        )
        timeout = timedelta(milliseconds=question.patience_ms)
        try:
            await self._store.commit(change, timeout)
        except ChivespanError as error:
            _log.info(
                "job_refused",
                job=question.job_id,
                route=question.route,
                customer=question.customer,
                kind=error.kind.value,
                reason=error.message,
                ledger_end=self._store.ledger.end,
            )
            raise self._caller_error(error) from error
        _log.info(
            "job_accepted",
            job=question.job_id,
            route=question.route,
            customer=question.customer,
            items=len(change.items),
            ledger_end=self._store.ledger.end,
        )
        return b""

    async def _page(self, question: BatchQuestion) -> bytes:
        wait = timedelta(milliseconds=question.wait_ms)
        job = await self._job(question)
        with anyio.move_on_after(wait.total_seconds()):
            while len(job.results) <= question.start and job.is_open:
                await self._store.wait_changed()
                job = self._store.ledger.jobs.get(job.job_id, job)
        return _page(job, question.start)

    async def _body(self, question: BatchQuestion) -> bytes:
        job = await self._job(question)
        item = job.items.get(question.item_id)
        if item is None or job.ended or item.item_id in job.finished_ids:
            reason = f"item {question.item_id} doesn't exist or already has a result"
            raise ChivespanError(ErrorKind.NOT_FOUND, reason)
        return item.body

    async def _end(self, question: BatchQuestion) -> bytes:
        known = self._find(question)
        if known is not None:
            self._end_requested(known.job_id)
        try:
            job = await self._job(question)
            timeout = timedelta(milliseconds=question.patience_ms)
            await self._store.commit(EndJob(job.job_id, self._clock.now()), timeout)
        except ChivespanError as error:
            if known is not None:
                self._end_requested(known.job_id)
            raise self._caller_error(error) from error
        _log.info("job_ended", job=job.job_id, ledger_end=self._store.ledger.end)
        self._job_ended()
        return b""

    async def _job(self, question: BatchQuestion) -> LedgerJob:
        """Return the job of a request from a recently refreshed ledger.

        :raises ChivespanError: ``not_found`` only if the store certainly has no such
            job.
        """
        job = self._find(question)
        await self._store.refresh(MAX_AGE_OF_PAGE if job else NO_WAIT)
        job = self._find(question)
        if job is not None:
            return job
        job_id = caller_job_id(question.job_id)
        if any(map(self._store.ledger.may_have, _stored_ids(question))):
            raise ChivespanError(ErrorKind.NOT_READY, f"job {job_id} can't be read")
        raise ChivespanError(ErrorKind.NOT_FOUND, f"no job {job_id}")

    def _find(self, question: BatchQuestion) -> LedgerJob | None:
        """Return the job of a request; None if it isn't known, or another customer's.

        The customer is compared as well, since a node of an earlier release asks for
        whatever id a caller sends.
        """
        for job_id in _stored_ids(question):
            job = self._store.ledger.jobs.get(job_id)
            if job is not None and job.head.customer in ("", question.customer):
                return job
        return None

    def _items(self, question: BatchQuestion) -> tuple[BatchItem, ...]:
        """Decode the items of a submission.

        No key may be stored, and no caller may name a customer.

        :raises ChivespanError: ``bad_request`` if it can never be accepted.
        """
        items = _decode_items(question.body)
        if question.customer or self._names_customers:
            return wire.without_identity(items)
        return items

    @property
    def _names_customers(self) -> bool:
        """Whether the configuration names customers."""
        table = self._routing.table
        return table is not None and table.customers is not None

    def _caller_error(self, error: ChivespanError) -> ChivespanError:
        """Map an error for the caller; claims "not done" only if that is certain."""
        if error.kind is ErrorKind.ACCEPTANCE_UNKNOWN:
            return ChivespanError(ErrorKind.UNCONFIRMED, error.message)
        if error.kind is ErrorKind.OWNER_LIMIT:
            delay = CAP_RETRY_AFTER
            if self._names_customers:
                delay *= self._random.uniform(1, 1 + CAP_RETRY_SPREAD)
            return ChivespanError(error.kind, error.message, retry_after=delay)
        return error


def _stored_ids(question: BatchQuestion) -> tuple[str, ...]:
    """Return the ids under which the job of a request may be stored.

    A job that was submitted before the configuration named customers has none. Its
    submitter has a key by now.
    """
    if question.customer:
        return question.job_id, caller_job_id(question.job_id)
    return (question.job_id,)


def _page(job: LedgerJob, start: int) -> bytes:
    """Return a page of results from a position on, with at least one if available."""
    results: list[BatchResult] = []
    size = 0
    for result in job.results[start:]:
        size += len(result.text)
        if results and size > MAX_PAGE_BYTES:
            break
        results.append(result)
    return bodies.encode_results(len(job.items), start, results)


def _decode_items(body: bytes) -> tuple[BatchItem, ...]:
    """Decode the items of a submission.

    :raises ChivespanError: ``bad_request`` if it can never be accepted.
    """
    items = bodies.decode_submission(body)
    if len(items) > MAX_ITEMS:
        reason = f"{len(items)} items exceed the limit of {MAX_ITEMS}"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    return items
