"""Chooses the target of an online request's next attempt, or refuses the attempt."""

from datetime import timedelta

from chivespan.callerrequest import CallerRequest
from chivespan.clock import MILLISECOND, NO_WAIT, Clock
from chivespan.customerrequests import CustomerRequests
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.loadtable import LoadTable
from chivespan.logs import logger
from chivespan.requestprogress import NO_BYTE_SENT, Progress, SendOutcome
from chivespan.routes import Route
from chivespan.targetchoices import Candidate
from chivespan.targetpick import TargetPicker

MAX_UNREACHED = 4

_log = logger("online")


class NextTarget:
    """Decides whether and where a request is attempted next."""

    def __init__(
        self,
        picker: TargetPicker,
        load_table: LoadTable,
        clock: Clock,
        customer_requests: CustomerRequests,
    ) -> None:
        self._picker = picker
        self._load_table = load_table
        self._clock = clock
        self._customer_requests = customer_requests

    def choose(
        self, request: CallerRequest, route: Route, progress: Progress
    ) -> Candidate:
        """Return the target of the next attempt.

        :raises ChivespanError: when no target is available in time.
        """
        if progress.tried:
            candidate = self.find(self._longest_wait(route, progress), progress)
        else:
            candidate = self._find_first(request, route, progress)
        if candidate is None:
            reason = "no target has a free slot or a short queue"
            error = self._refusal(progress, reason)
            self._log_no_target(request, progress, error.retry_after)
            raise error
        return candidate

    def _find_first(
        self, request: CallerRequest, route: Route, progress: Progress
    ) -> Candidate | None:
        """Return the target of the first attempt, by the customer's share, if any."""
        share = self._customer_requests.record_arrival(request, route, progress)
        progress.wait_share = share
        candidate = self._picker.pick(progress.service, route.objective, share=share)
        if candidate is not None:
            self._customer_requests.record_admitted(request, progress)
        return candidate

    def find(self, wait: timedelta, progress: Progress) -> Candidate | None:
        """Return a target at which the response starts within some time, if any."""
        return self._picker.pick(progress.service, wait, progress.tried)

    def check_allowed(
        self, route: Route, progress: Progress, outcome: SendOutcome, started: bool
    ) -> None:
        """Check that another target may be tried after a failed attempt.

        :param started: whether a part of the response has been passed on already.
        :raises ChivespanError: the final error for the caller when no retry is allowed.
        """
        if outcome in NO_BYTE_SENT:
            progress.unreached += 1
            if progress.unreached >= MAX_UNREACHED:
                raise self._refusal(progress, "no target can be reached")
            return
        progress.sends += 1
        exhausted = progress.sends >= route.max_attempts
        may_continue = progress.can_continue if started else True
        may_repeat = route.is_repeatable and may_continue and not exhausted
        if outcome is SendOutcome.BROKEN and not may_repeat:
            reason = "the target failed while it may have run the request"
            raise ChivespanError(ErrorKind.TARGET_FAILED, reason)
        if exhausted:
            raise self._refusal(progress, "all targets tried were full")

    def _longest_wait(self, route: Route, progress: Progress) -> timedelta:
        """Return the time within which the response to a further attempt may start.

        Once a target may have run the request, a late response is better than none,
        so any wait within its deadline is accepted.
        """
        if progress.may_have_run:
            return max(NO_WAIT, progress.deadline - self._clock.monotonic())
        return route.objective

    def _log_no_target(
        self,
        request: CallerRequest,
        progress: Progress,
        retry_after: timedelta | None,
    ) -> None:
        """Log the counts that led to no target, and when the caller is to retry."""
        candidates = self._picker.candidates(progress.service)
        customer = request.customer
        share = progress.wait_share
        of_customer = (
            {}
            if customer is None
            else {"customer": customer.name, "wait_fraction": round(share.fraction, 2)}
        )
        _log.info(
            "no_target_chosen",
            request=request.request_id,
            service=progress.service,
            tried=sorted(progress.tried),
            loads=[candidate.summary for candidate in candidates],
            rate_limited=[
                candidate.entry.target_id
                for candidate in candidates
                if self._picker.limiter.is_used_up(candidate.entry)
            ],
            oldest_count_ms=round(self._load_table.oldest_report_age() / MILLISECOND),
            retry_after_ms=round((retry_after or NO_WAIT) / MILLISECOND),
            promised_returns=self._picker.promised_returns(progress.service),
            **of_customer,
        )

    def _refusal(self, progress: Progress, reason: str) -> ChivespanError:
        if progress.ran_or_may_run:
            return ChivespanError(ErrorKind.TARGET_FAILED, reason)
        retry_after = self._picker.suggest_retry_after(
            progress.service, progress.wait_share
        )
        return ChivespanError(ErrorKind.NO_CAPACITY, reason, retry_after=retry_after)
