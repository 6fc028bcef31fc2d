"""Shares and counters of the online requests whose customer is known."""

from chivespan.callerrequest import CallerRequest
from chivespan.clock import Clock
from chivespan.customers.customermetrics import CustomerMetrics, CustomerOutcome
from chivespan.customers.fairshare import USUAL_WAIT, FairShares, WaitShare
from chivespan.errors import ErrorKind
from chivespan.requestprogress import Progress
from chivespan.routes import Route

MAX_SERVICES = 1024
# A request that got no slot by its deadline was refused for lack of room, too.
CAPACITY_OUTCOMES = frozenset({ErrorKind.NO_CAPACITY.value, "timeout"})


class CustomerRequests:
    """Follows the requests of customers; requests without a customer change nothing.

    Shares are counted for each service, since its targets serve no other requests.
    """

    def __init__(self, clock: Clock, metrics: CustomerMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._shares: dict[str, FairShares] = {}

    def record_arrival(
        self, request: CallerRequest, route: Route, progress: Progress
    ) -> WaitShare:
        """Count a new request; return how long it may wait for its first slot.

        A request that continues a stream of the caller's may always wait the usual
        time.
        """
        customer = request.customer
        if customer is None:
            return USUAL_WAIT
        shares = self._shares_of(progress.service)
        shares.record_asked(customer)
        if progress.splitter.last_id:
            return USUAL_WAIT
        priority = route.priority if customer.priority is None else customer.priority
        return shares.wait_share(customer, priority)

    def record_admitted(self, request: CallerRequest, progress: Progress) -> None:
        """Count a request for whose first attempt a target was found."""
        if request.customer is not None:
            self._shares_of(progress.service).record_admitted(request.customer)

    def record_end(
        self, request: CallerRequest, progress: Progress, outcome: str
    ) -> None:
        """Count the outcome of a request."""
        customer = request.customer
        if customer is None:
            return
        if outcome == "delivered" or progress.ran_or_may_run:
            self._metrics.record(customer, CustomerOutcome.ADMITTED)
        elif outcome in CAPACITY_OUTCOMES:
            self._metrics.record(customer, CustomerOutcome.REFUSED_CAPACITY)
            if progress.tried:
                self._shares_of(progress.service).refund(customer)

    def _shares_of(self, service: str) -> FairShares:
        """Return the shares of a service's targets.

        Of more services than are kept, the least recently used ones are dropped.
        """
        shares = self._shares.pop(service, None)
        if shares is None:
            shares = FairShares(self._clock)
        self._shares[service] = shares
        if len(self._shares) > MAX_SERVICES:
            del self._shares[next(iter(self._shares))]
        return shares
