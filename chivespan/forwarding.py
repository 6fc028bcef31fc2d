"""Online requests: one target after another, and one whole answer.

A request that may run only once is sent to one target after another only while each
says that it has not run it. A stream that may be resumed goes on at another target
within the same answer.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from http import HTTPStatus
from random import Random

import anyio

from chivespan.callerrequest import CallerRequest, Responder, milliseconds
from chivespan.clock import MILLISECOND, NO_WAIT, Clock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.eventstream import EventSplitter
from chivespan.exchange import Call, NotSent, Reply, exchange
from chivespan.loadboard import LoadBoard
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform import wire
from chivespan.routes import Route
from chivespan.targetpick import Candidate, TargetPicker
from chivespan.targetsilence import StreamWatch, TargetSilence

MAX_UNREACHED = 4
HEAD_PATIENCE_OBJECTIVES = 1.5
RESUME_CHECK_INTERVAL = timedelta(milliseconds=200)

_log = logger("online")


class SendOutcome(StrEnum):
    """What became of one send to one target."""

    DELIVERED = "delivered"
    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    BROKEN = "broken"


@dataclass(slots=True)
class Progress:
    """How far one request has come.

    :ivar may_have_run: whether a target may have begun to work on it.
    :ivar sends: targets that it was sent to.
    :ivar expects_slot: whether the target had a free slot when it was chosen.
    :ivar began: when the answer of the last target began.
    :ivar in_flight: whether a send is out whose outcome isn't known.
    :ivar may_resume: whether another target could go on, as of ``resume_checked``.
    """

    until: timedelta
    service: str
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    in_flight: bool = False
    expects_slot: bool = False
    began: timedelta = timedelta(0)
    may_resume: bool = False
    resume_checked: timedelta | None = None
    sends: int = 0
    unreached: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    watch: StreamWatch | None = None

    def heard(self) -> None:
        """Note that bytes came from the target that has the request now."""
        if self.watch is not None:
            self.watch.heard()

    @property
    def ran_or_may_run(self) -> bool:
        """Whether "not run" would not be true."""
        return self.may_have_run or self.in_flight


class Forwarder:
    """Serves the online requests of this node."""

    def __init__(
        self,
        picker: TargetPicker,
        board: LoadBoard,
        silence: TargetSilence,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        self._picker = picker
        self._board = board
        self._silence = silence
        self._clock = clock
        self._metrics = metrics
        self._random = Random()

    async def serve(
        self, request: CallerRequest, route: Route, responder: Responder
    ) -> None:
        """Give a request its answer, or its refusal as soon as that is certain."""
        progress = Progress(
            self._until(request, route), route.pick_service(self._random)
        )
        outcome = "cancelled"
        try:
            with anyio.fail_after(self._time_left(progress).total_seconds()):
                await self._attempt_all(request, route, progress, responder)
            outcome = "delivered"
        except TimeoutError:
            outcome = "timeout"
            await self._give_up(_timed_out(progress), responder)
        except ChivespanError as error:
            outcome = error.kind.value
            await self._give_up(error, responder)
        finally:
            self._note(request, route, progress, outcome)

    def _until(self, request: CallerRequest, route: Route) -> timedelta:
        """Return when a request must have its final answer."""
        deadline = milliseconds(request.header(wire.DEADLINE_MS))
        patience = route.timeout if deadline is None else min(route.timeout, deadline)
        return request.arrived + patience

    async def _attempt_all(
        self,
        request: CallerRequest,
        route: Route,
        progress: Progress,
        responder: Responder,
    ) -> None:
        while True:
            candidate = self._pick(route, progress)
            if candidate is None:
                self._note_not_placed(request, progress)
                raise self._refusal(progress, "no target with a short enough queue")
            entry = candidate.entry
            progress.tried.add(entry.target_id)
            progress.expects_slot = candidate.free > 0
            progress.resume_checked = None
            with self._board.hold_online(entry.target_id):
                outcome = await self._send(request, route, entry, progress, responder)
            if outcome is SendOutcome.DELIVERED:
                return
            self._check_may_repeat(route, progress, outcome, responder.started)

    def _note_not_placed(self, request: CallerRequest, progress: Progress) -> None:
        """Log what the choice of a target went by."""
        candidates = self._picker.candidates(progress.service)
        _log.info(
            "no_target_chosen",
            request=request.request_id,
            service=progress.service,
            tried=sorted(progress.tried),
            loads=[candidate.summary for candidate in candidates],
            oldest_count_ms=round(self._board.oldest_report_age() / MILLISECOND),
        )

    def _check_may_repeat(
        self, route: Route, progress: Progress, outcome: SendOutcome, started: bool
    ) -> None:
        """Raise what the caller is told unless another target may be tried.

        :param started: whether a part of an answer has been passed on already.
        """
        if outcome is SendOutcome.UNREACHED:
            progress.unreached += 1
            if progress.unreached >= MAX_UNREACHED:
                raise self._refusal(progress, "no target can be reached")
            return
        progress.sends += 1
        spent = progress.sends >= route.max_attempts
        may_go_on = route.resumable if started else True
        may_repeat = route.is_repeatable and may_go_on and not spent
        if outcome is SendOutcome.BROKEN and not may_repeat:
            reason = "the target failed while it may have run the request"
            raise ChivespanError(ErrorKind.TARGET_FAILED, reason)
        if spent:
            raise self._refusal(progress, "the targets asked were full")

    def _refusal(self, progress: Progress, reason: str) -> ChivespanError:
        if progress.ran_or_may_run:
            return ChivespanError(ErrorKind.TARGET_FAILED, reason)
        retry_after = self._picker.return_after(progress.service)
        return ChivespanError(ErrorKind.NO_CAPACITY, reason, retry_after=retry_after)

    async def _send(
        self,
        request: CallerRequest,
        route: Route,
        entry: TargetEntry,
        progress: Progress,
        responder: Responder,
    ) -> SendOutcome:
        """Send a request to one target, and pass its answer on."""
        progress.in_flight = True
        try:
            call = self._call(request, route, entry, progress)
            with self._silence.watching(entry.target_id) as progress.watch:
                async with exchange(call) as reply:
                    outcome = await self._take(
                        reply, request, route, progress, responder
                    )
        except NotSent as error:
            outcome = SendOutcome.UNREACHED
            reason = error.message
        except ChivespanError as error:
            outcome = SendOutcome.BROKEN
            reason = error.message
        else:
            reason = str(reply.status)
        progress.in_flight = False
        progress.may_have_run |= outcome is SendOutcome.BROKEN
        self._judge(request, entry, progress, outcome, reason)
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
        if progress.expects_slot and self._may_resume(route, progress):
            head_timeout = min(time_left, route.objective * HEAD_PATIENCE_OBJECTIVES)
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
        )

    async def _take(
        self,
        reply: Reply,
        request: CallerRequest,
        route: Route,
        progress: Progress,
        responder: Responder,
    ) -> SendOutcome:
        """Pass an answer on, unless another target should be asked instead."""
        if wire.says_not_run(reply):
            return SendOutcome.NOT_RUN
        if not wire.answers_request(reply, request.request_id):
            return SendOutcome.BROKEN
        if wire.would_claim_not_run(reply.status):
            return SendOutcome.BROKEN
        if responder.started and reply.status != HTTPStatus.OK:
            return SendOutcome.BROKEN
        failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and self._may_resume(route, progress):
            return SendOutcome.BROKEN
        progress.began = self._clock.monotonic()
        if not responder.started:
            await responder.start(reply.status, wire.caller_headers(reply.headers))
            took = self._clock.monotonic() - request.arrived
            self._metrics.record_first_byte(route.kind.value, took)
        async for chunk in self._body(reply, route, progress):
            await responder.write(chunk)
        await responder.finish()
        return SendOutcome.DELIVERED

    async def _body(
        self, reply: Reply, route: Route, progress: Progress
    ) -> AsyncIterator[bytes]:
        """Yield an answer's body; only whole events where it may be resumed."""
        if not (route.resumable and route.is_repeatable):
            while (chunk := await reply.next_chunk()) is not None:
                progress.heard()
                yield chunk
            return
        splitter = progress.splitter
        splitter.drop_partial()
        while True:
            patience = self._patience(route, progress)
            received = await reply.next_chunk(patience)
            if received is None:
                break
            progress.heard()
            if whole := splitter.feed(received):
                yield whole
        if splitter.has_partial:
            reason = "the stream ended within an event"
            raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)

    def _patience(self, route: Route, progress: Progress) -> timedelta | None:
        """Return for how long a stream may pause where another target can go on."""
        if route.longest_gap and self._may_still_resume(route, progress):
            return route.longest_gap
        return None

    def _may_resume(self, route: Route, progress: Progress) -> bool:
        """Return whether another target can be asked if this one fails."""
        if not route.is_repeatable or progress.sends + 1 >= route.max_attempts:
            return False
        return self._pick(route, progress) is not None

    def _may_still_resume(self, route: Route, progress: Progress) -> bool:
        """Return whether another target can be asked, as of a moment ago."""
        now = self._clock.monotonic()
        checked = progress.resume_checked
        if checked is None or now - checked > RESUME_CHECK_INTERVAL:
            progress.resume_checked = now
            progress.may_resume = self._may_resume(route, progress)
        return progress.may_resume

    def _pick(self, route: Route, progress: Progress) -> Candidate | None:
        """Return the next target; after a failure a late one is better than none."""
        wait = route.objective
        if progress.may_have_run:
            wait = self._time_left(progress)
        return self._picker.pick(progress.service, wait, progress.tried)

    def _judge(
        self,
        request: CallerRequest,
        entry: TargetEntry,
        progress: Progress,
        outcome: SendOutcome,
        reason: str,
    ) -> None:
        """Let a target's health know, and say so where it is bad."""
        if outcome is SendOutcome.DELIVERED:
            self._picker.succeeded(entry.target_id)
            self._picker.note_service_time(self._clock.monotonic() - progress.began)
            return
        self._metrics.incr(f"send_{outcome.value}")
        left_out = False
        if outcome is SendOutcome.UNREACHED:
            left_out = True
            self._picker.unreachable(entry.target_id)
        elif outcome is SendOutcome.BROKEN:
            left_out = self._picker.failed(entry.target_id)
        _log.info(
            "send_failed",
            request=request.request_id,
            target=entry.target_id,
            outcome=outcome.value,
            reason=reason,
            entry_sequence=entry.sequence,
            left_out=left_out,
        )

    async def _give_up(self, error: ChivespanError, responder: Responder) -> None:
        """Tell the caller; an answer that has begun is broken off instead."""
        if not responder.started:
            await responder.refuse(error)

    def _time_left(self, progress: Progress) -> timedelta:
        return max(NO_WAIT, progress.until - self._clock.monotonic())

    def _note(
        self, request: CallerRequest, route: Route, progress: Progress, outcome: str
    ) -> None:
        took = self._clock.monotonic() - request.arrived
        self._metrics.record_answer(route.kind.value, outcome, took)
        _log.info(
            "request_ended",
            request=request.request_id,
            route=route.name,
            outcome=outcome,
            took_ms=round(took / MILLISECOND, 1),
            sends=progress.sends,
            targets=sorted(progress.tried),
            last_event=progress.splitter.last_id,
            may_have_run=progress.ran_or_may_run,
        )


def _timed_out(progress: Progress) -> ChivespanError:
    if progress.ran_or_may_run:
        reason = "no whole answer of a target in time"
        return ChivespanError(ErrorKind.TARGET_TIMEOUT, reason)
    return ChivespanError(ErrorKind.NO_CAPACITY, "no target was free in time")
