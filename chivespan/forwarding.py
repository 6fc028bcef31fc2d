"""Forwards online requests to targets, with retries and resumption of streams.

A request that isn't idempotent is retried at another target only while every target
tried so far has stated that it didn't run it. A resumable stream that breaks continues
from another target within the same response.
"""

from contextlib import ExitStack
from dataclasses import replace
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from random import Random

import anyio

from chivespan.callerrequest import CallerRequest, Responder
from chivespan.clock import NO_WAIT, Clock
from chivespan.customerrequests import CustomerRequests
from chivespan.customers.quota import UNCOUNTED, Admission
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.exchange import LateTimeout, Reply, exchange
from chivespan.httpcall import Call, InvalidRequest
from chivespan.loadtable import LoadTable
from chivespan.logs import logger
from chivespan.nextattempt import NextTarget
from chivespan.nodemessages import TargetEntry
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform import wire
from chivespan.requestguard import RequestGuard
from chivespan.requestoutcomes import RequestOutcomes
from chivespan.requestprogress import (
    MAY_HAVE_RUN,
    NO_BYTE_SENT,
    Progress,
    SendOutcome,
)
from chivespan.requeststart import initial_progress, request_deadline
from chivespan.responserelay import (
    ResponseRelay,
    check_continues,
    check_response,
    is_event_stream,
)
from chivespan.routes import Route, RouteKind
from chivespan.streamhandover import Handover
from chivespan.suspicion import READS_OF_AN_ANSWER
from chivespan.targetannouncements import record_announcements
from chivespan.targetchoices import Candidate
from chivespan.targetpick import HEAD_TIMEOUT_OBJECTIVES, TargetPicker
from chivespan.targetsilence import SilenceDetector

# Of a response on a route for streams that isn't one, such as an error.
MAX_PLAIN_BODY_BYTES = 4 * 1024 * 1024

_log = logger("online")


class Forwarder:
    """Forwards the online requests that this node receives.

    :param stall_timeout: longest time for which a target may take no bytes of a
        request; None to limit the time to send it instead.
    """

    def __init__(
        self,
        picker: TargetPicker,
        load_table: LoadTable,
        silence: SilenceDetector,
        clock: Clock,
        metrics: NodeMetrics,
        guard: RequestGuard,
        stall_timeout: timedelta | None = None,
    ) -> None:
        self._picker = picker
        self._load_table = load_table
        self._silence = silence
        self._clock = clock
        self._metrics = metrics
        self._guard = guard
        self._stall_timeout = stall_timeout
        self._random = Random()
        customer_requests = CustomerRequests(clock, metrics.customers)
        self._outcomes = RequestOutcomes(picker, clock, metrics, customer_requests)
        self._next_target = NextTarget(picker, load_table, clock, customer_requests)

    def longest_time(self, request: CallerRequest, route: Route) -> timedelta:
        """Return how long a request may take that has just arrived."""
        allowed = request_deadline(request, route) - self._clock.monotonic()
        longest = self._outcomes.longest_time(route)
        return allowed if longest is None else min(allowed, longest)

    async def serve(
        self,
        request: CallerRequest,
        route: Route,
        responder: Responder,
        admission: Admission = UNCOUNTED,
    ) -> None:
        """Answer a request, or refuse it as soon as it can't be answered in time.

        :param admission: refunded if the request ends without having run, also when
            its caller has disconnected.
        """
        progress = initial_progress(request, route, self._random)
        outcome = "cancelled"
        try:
            with anyio.fail_after(self._time_left(progress).total_seconds()):
                await self._attempt_all(request, route, progress, responder)
            outcome = "delivered"
        except TimeoutError:
            outcome = "timeout"
            await self._send_error(_timed_out(progress), responder)
        except ChivespanError as error:
            outcome = error.kind.value
            await self._send_error(error, responder)
        finally:
            if outcome != "delivered" and not progress.ran_or_may_run:
                admission.refund()
            self._outcomes.record_end(request, route, progress, outcome)

    async def _attempt_all(
        self,
        request: CallerRequest,
        route: Route,
        progress: Progress,
        responder: Responder,
    ) -> None:
        while True:
            await self._admit(request, progress)
            candidate = self._next_target.choose(request, route, progress)
            outcome = await self._attempt(
                request, route, candidate, progress, responder
            )
            if outcome is SendOutcome.HANDED_OVER:
                outcome = progress.handover_outcome
            if outcome is SendOutcome.DELIVERED:
                return
            is_suspect = await self._is_suspect(request, progress)
            self._next_target.check_allowed(route, progress, outcome, responder.started)
            if is_suspect:
                reason = "the target ended as it began to answer the request"
                raise ChivespanError(ErrorKind.TARGET_FAILED, reason)

    async def _admit(self, request: CallerRequest, progress: Progress) -> None:
        """Wait until the request may be sent to a target by what it is suspected of.

        :raises ChivespanError: when it is refused.
        """
        try:
            await self._guard.admit(request.request_id, progress.suspects)
        except ChivespanError as error:
            if not progress.ran_or_may_run:
                raise
            raise ChivespanError(ErrorKind.TARGET_FAILED, error.message) from error

    async def _is_suspect(self, request: CallerRequest, progress: Progress) -> bool:
        """Return whether the request may be the cause of its target's end."""
        if not progress.may_have_ended or progress.reads >= READS_OF_AN_ANSWER:
            return False
        if progress.entry is None:
            return False
        return not await self._guard.may_resend(
            request.request_id, progress.suspects, progress.entry
        )

    async def _attempt(
        self,
        request: CallerRequest,
        route: Route,
        candidate: Candidate,
        progress: Progress,
        responder: Responder,
    ) -> SendOutcome:
        """Send a request to a candidate, which is counted there meanwhile."""
        entry = progress.entry = candidate.entry
        progress.tried.add(entry.target_id)
        progress.expects_slot = candidate.free > 0
        self._picker.limiter.record_send(entry)
        with ExitStack() as holds:
            progress.holds = holds
            holds.enter_context(self._load_table.track_online(entry.target_id))
            answer_due = None
            if route.kind is RouteKind.STREAM:
                answer_due = self._picker.answer_due(candidate, route.objective)
            watch = self._silence.watch_request(entry.target_id, answer_due)
            progress.watch = holds.enter_context(watch)
            return await self._send(request, route, entry, progress, responder)

    async def _send(
        self,
        request: CallerRequest,
        route: Route,
        entry: TargetEntry,
        progress: Progress,
        responder: Responder,
    ) -> SendOutcome:
        """Send a request to one target and pass its response on to the caller.

        :raises InvalidRequest: if it can't be sent to any target.
        """
        progress.in_flight = True
        progress.reads = 0
        progress.may_have_ended = False
        is_local = False
        try:
            call = self._call(request, route, entry, progress)
            async with exchange(call) as reply:
                record_announcements(self._picker, entry, reply, request.request_id)
                outcome = await self._relay_response(
                    reply, request, route, progress, responder
                )
        except InvalidRequest:
            progress.in_flight = False
            raise
        except ChivespanError as error:
            outcome = progress.record_error(error)
            reason = error.message
            is_local = isinstance(error, LateTimeout)
        else:
            reason = str(reply.status)
        progress.in_flight = False
        progress.may_have_run |= outcome in MAY_HAVE_RUN
        if outcome is not SendOutcome.HANDED_OVER:
            self._outcomes.record_attempt(
                request, entry, progress, outcome, reason, is_local=is_local
            )
        return outcome

    def _call(
        self,
        request: CallerRequest,
        route: Route,
        entry: TargetEntry,
        progress: Progress,
    ) -> Call:
        time_left = self._time_left(progress)
        head_timeout = time_left
        if progress.expects_slot and self._can_resume(route, progress, in_time=True):
            head_timeout = min(time_left, route.objective * HEAD_TIMEOUT_OBJECTIVES)
        headers = wire.target_headers(
            request.headers, entry.target_id, time_left, progress.splitter.last_id
        )
        return Call(
            address=entry.address,
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            head_timeout=head_timeout,
            body_timeout=time_left,
            stall_timeout=self._stall_timeout,
        )

    async def _relay_response(
        self,
        reply: Reply,
        request: CallerRequest,
        route: Route,
        progress: Progress,
        responder: Responder,
    ) -> SendOutcome:
        """Pass a response on, unless another target should be tried instead.

        :raises ChivespanError: when the response is invalid or incomplete.
        """
        is_stream = is_event_stream(reply, route, request.method)
        if not is_stream:
            progress.record_answer()
        if wire.reports_not_run(reply, request.request_id):
            return SendOutcome.NOT_RUN
        check_response(reply, request.request_id)
        if responder.started:
            check_continues(reply, is_stream)
        if route.kind is RouteKind.STREAM and not is_stream:
            reply.limit_body(MAX_PLAIN_BODY_BYTES)
        failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and self._can_resume(route, progress):
            return SendOutcome.BROKEN
        progress.response_started = self._clock.monotonic()
        progress.can_continue = is_stream and route.resumable
        responder.set_resumable(progress.can_continue)
        relay = ResponseRelay(
            reply,
            responder,
            progress.splitter,
            self._clock,
            partial(self._record_data, progress, is_stream),
            route.longest_gap,
            partial(self._can_resume, route, progress),
        )
        if not responder.started:
            await relay.start(is_stream)
            took = self._clock.monotonic() - request.arrived
            self._metrics.record_first_byte(route.kind.value, took)
        if progress.handover is not None:
            await progress.handover.accept()
        hand_over = partial(self._hand_over, reply, request, route, progress, responder)
        if not await relay.pass_body(is_stream, hand_over):
            return SendOutcome.HANDED_OVER
        self._picker.record_event_time(progress.entry, relay.timing)
        if reply.status == HTTPStatus.OK and reply.is_delimited:
            self._guard.record_answered(progress.suspects)
        return SendOutcome.DELIVERED

    async def _hand_over(
        self,
        paused: Reply,
        request: CallerRequest,
        route: Route,
        progress: Progress,
        responder: Responder,
    ) -> bool:
        """Try to continue a paused stream at another target; return whether it did.

        If none accepts, the paused stream is to be read on.
        """
        if not self._guard.may_send(progress.suspects):
            return False
        candidate = self._next_target.find(self._time_left(progress), progress)
        if candidate is None or progress.entry is None:
            return False
        entry, before = progress.entry, replace(progress)
        outcome: SendOutcome | None = None

        def give_up_paused(reason: str) -> None:
            before.holds.close()
            self._outcomes.record_attempt(
                request, entry, progress, SendOutcome.HANDED_OVER, reason
            )

        async def attempt() -> None:
            nonlocal outcome
            outcome = await self._attempt(
                request, route, candidate, progress, responder
            )

        progress.sends += 1
        handover = Handover(paused, progress.splitter, give_up_paused)
        progress.handover = handover
        await handover.run(attempt)
        progress.handover = None
        _log.info(
            "handover_tried",
            request=request.request_id,
            paused=entry.target_id,
            other=candidate.entry.target_id,
            accepted=handover.paused_given_up,
            outcome=outcome.value if outcome else "paused_stream_went_on",
        )
        if handover.paused_given_up:
            if outcome and outcome is not SendOutcome.HANDED_OVER:
                progress.handover_outcome = outcome
            return True
        if outcome in NO_BYTE_SENT:
            progress.sends -= 1
            progress.unreached += 1
        progress.return_to(before)
        if handover.events:
            self._record_data(progress, True)
            await responder.write(handover.events)
        return False

    def _record_data(self, progress: Progress, is_stream: bool) -> None:
        """Record that the current target has sent data, of a stream whole events."""
        progress.record_data()
        progress.reads += is_stream
        if progress.reads == READS_OF_AN_ANSWER:
            self._guard.record_answered(progress.suspects)

    def _can_resume(
        self, route: Route, progress: Progress, in_time: bool = False
    ) -> bool:
        """Return whether another target can take over if the current one fails.

        :param in_time: whether its response must start within the objective.
        """
        if not route.is_repeatable or progress.sends + 1 >= route.max_attempts:
            return False
        wait = route.objective if in_time else self._time_left(progress)
        return self._next_target.find(wait, progress) is not None

    async def _send_error(self, error: ChivespanError, responder: Responder) -> None:
        """Send the error to the caller, unless a response has already started.

        A response that has started is cut off instead.
        """
        if not responder.started:
            await responder.send_error(error)
            return
        _log.notice(
            "response_cut",
            request=responder.request_id,
            kind=error.kind.value,
            reason=error.message,
        )

    def _time_left(self, progress: Progress) -> timedelta:
        return max(NO_WAIT, progress.deadline - self._clock.monotonic())


def _timed_out(progress: Progress) -> ChivespanError:
    if progress.ran_or_may_run:
        reason = "no target sent a complete response in time"
        return ChivespanError(ErrorKind.TARGET_TIMEOUT, reason)
    return ChivespanError(ErrorKind.NO_CAPACITY, "no target had a free slot in time")
