"""Counters, gauges and histograms of one node, in the Prometheus text format."""

from datetime import timedelta

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from chivespan.customers.customermetrics import CustomerMetrics

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
DURATION_BUCKETS_S = (0.01, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)


class NodeMetrics:
    """The metrics of one node process.

    :ivar customers: counters of requests by customer.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._events = Counter(
            "chivespan_events", "Events by name.", ["event"], registry=self._registry
        )
        self._requests = Counter(
            "chivespan_requests",
            "Answers to callers by route kind and outcome.",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self._first_byte = Histogram(
            "chivespan_first_byte_seconds",
            "From the arrival of a request to the first byte of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._duration = Histogram(
            "chivespan_request_seconds",
            "From the arrival of a request to the end of its answer.",
            ["kind"],
            buckets=DURATION_BUCKETS_S,
            registry=self._registry,
        )
        self._store = Histogram(
            "chivespan_store_seconds",
            "Calls to the store by name and outcome.",
            ["call", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._item_phases = Histogram(
            "chivespan_item_phase_seconds",
            "Where the time of listed batch items went, by phase.",
            ["phase"],
            buckets=DURATION_BUCKETS_S,
            registry=self._registry,
        )
        self._item_outcomes = Counter(
            "chivespan_items",
            "Listed batch items by why they got their result.",
            ["outcome"],
            registry=self._registry,
        )
        self.customers = CustomerMetrics(self._registry)
        self._gauges = Gauge(
            "chivespan_state", "Levels by name.", ["name"], registry=self._registry
        )

    def incr(self, name: str, count: int = 1) -> None:
        """Increment the counter of an event."""
        self._events.labels(name).inc(count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(value)

    def record_answer(self, kind: str, outcome: str, took: timedelta) -> None:
        """Record an answer to a caller and its duration."""
        self._requests.labels(kind, outcome).inc()
        self._duration.labels(kind).observe(took.total_seconds())

    def record_first_byte(self, kind: str, took: timedelta) -> None:
        """Record the time to the first byte of an answer."""
        self._first_byte.labels(kind).observe(took.total_seconds())

    def record_store_call(self, call: str, outcome: str, took: timedelta) -> None:
        """Record the duration of a call to the store."""
        self._store.labels(call, outcome).observe(took.total_seconds())

    def record_item_phase(self, phase: str, spent: timedelta) -> None:
        """Record the time that a listed batch item spent in a phase."""
        self._item_phases.labels(phase).observe(spent.total_seconds())

    def record_item_outcome(self, outcome: str) -> None:
        """Record why a batch item got its result."""
        self._item_outcomes.labels(outcome).inc()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
