"""Records how attempts and online requests ended: target health, metrics and logs."""

from datetime import timedelta

from chivespan.callerrequest import CallerRequest
from chivespan.clock import MILLISECOND, Clock
from chivespan.customerrequests import CustomerRequests
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry
from chivespan.nodemetrics import NodeMetrics
from chivespan.requestprogress import MAY_HAVE_RUN, Progress, SendOutcome
from chivespan.requesttimes import RequestTimes
from chivespan.routes import Route
from chivespan.targetpick import TargetPicker

_log = logger("online")


class RequestOutcomes:
    """Updates target health, metrics and logs as attempts and requests end."""

    def __init__(
        self,
        picker: TargetPicker,
        clock: Clock,
        metrics: NodeMetrics,
        customer_requests: CustomerRequests,
    ) -> None:
        self._picker = picker
        self._clock = clock
        self._metrics = metrics
        self._customer_requests = customer_requests
        self._times = RequestTimes()

    def longest_time(self, route: Route) -> timedelta | None:
        """Return how long requests on a route have lately taken at most, if known."""
        return self._times.longest(route.name)

    def record_attempt(
        self,
        request: CallerRequest,
        entry: TargetEntry,
        progress: Progress,
        outcome: SendOutcome,
        reason: str,
        *,
        is_local: bool = False,
    ) -> None:
        """Update the target's health, and log and count a failed attempt.

        :param is_local: whether this node was the cause.
        """
        if outcome is SendOutcome.DELIVERED:
            self._picker.record_success(entry.target_id)
            self._picker.record_service_time(
                self._clock.monotonic() - progress.response_started, entry
            )
            return
        self._metrics.incr(f"send_{outcome.value}")
        left_out = False
        if outcome is SendOutcome.UNREACHED:
            left_out = True
            self._picker.record_unreachable(entry.target_id)
        elif outcome in MAY_HAVE_RUN and not is_local:
            left_out = self._picker.record_failure(entry.target_id)
        _log.info(
            "send_failed",
            request=request.request_id,
            target=entry.target_id,
            outcome=outcome.value,
            reason=reason,
            entry_sequence=entry.sequence,
            left_out=left_out,
            is_local=is_local,
        )

    def record_end(
        self, request: CallerRequest, route: Route, progress: Progress, outcome: str
    ) -> None:
        """Log and count the end of a request."""
        took = self._clock.monotonic() - request.arrived
        self._metrics.record_answer(route.kind.value, outcome, took)
        self._customer_requests.record_end(request, progress, outcome)
        if outcome == "delivered":
            self._times.record(route.name, took)
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
            fingerprint=progress.fingerprint,
        )
