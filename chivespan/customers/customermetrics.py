"""Counters of requests by customer, with a bounded number of labels.

A label that has been given is kept until the process ends: it stays the label of the
same customer, and its counters never fall. Labels are therefore given sparingly. A
customer gets one after some requests, which the largest customers reach first; the last
half of the labels is left for customers with a large part of all requests, so that one
that grows later still gets a label of its own.
"""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter

from chivespan.customers.customer import Customer

MAX_LABELS = 32
OTHER = "other"
# A fleet with no more customers than this shows all of them after a few requests.
FREE_LABELS = 16
MIN_REQUESTS = 20
# With evenly used labels, each would have twice this share of all requests.
MIN_SHARE = 1 / 64
MAX_CANDIDATES = 1024


class CustomerOutcome(StrEnum):
    """What became of a customer's request.

    - ``ADMITTED``: it was sent to a target.
    - ``REFUSED_QUOTA``: the customer's quota was used up.
    - ``REFUSED_CAPACITY``: no target had room for it.
    """

    ADMITTED = "admitted"
    REFUSED_QUOTA = "refused_quota"
    REFUSED_CAPACITY = "refused_capacity"


class CustomerMetrics:
    """Counts requests by customer and outcome."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._labels = CustomerLabels()
        self._requests = Counter(
            "chivespan_customer_requests",
            "Requests of the largest customers, and of all others, by outcome.",
            ["customer", "outcome"],
            registry=registry,
        )

    def record(self, customer: Customer, outcome: CustomerOutcome) -> None:
        """Count a request."""
        label = self._labels.label(customer.name)
        self._requests.labels(label, outcome.value).inc()


class CustomerLabels:
    """Gives the largest customers labels of their own."""

    def __init__(self) -> None:
        self._given: set[str] = set()
        self._counts: dict[str, float] = {}
        self._total = 0.0

    def label(self, name: str) -> str:
        """Count a customer's request and return the customer's label."""
        self._total += 1
        if name in self._given:
            return name
        if len(self._given) >= MAX_LABELS or name == OTHER:
            return OTHER
        count = self._counts.pop(name, 0.0) + 1
        if self._is_large(count):
            self._given.add(name)
            return name
        while len(self._counts) >= MAX_CANDIDATES:
            self._halve()
        self._counts[name] = count
        return OTHER

    def _is_large(self, count: float) -> bool:
        if count < MIN_REQUESTS:
            return False
        return len(self._given) < FREE_LABELS or count >= self._total * MIN_SHARE

    def _halve(self) -> None:
        """Halve all counts and drop the smallest, to make room for others."""
        self._total /= 2
        self._counts = {
            name: count / 2 for name, count in self._counts.items() if count >= 2
        }
