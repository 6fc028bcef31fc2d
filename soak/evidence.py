"""Observations of callers and targets during a soak test, the input of the checks."""

from dataclasses import dataclass, field

from standins.platformtarget import TargetStandIn

# HTTP statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class OnlineCall:
    """One online request and its response.

    :param at_most_once: whether the request must not run more than once.
    :param status: HTTP status; zero if no response arrived.
    :param body: the complete body, or None if the response was truncated.
    :param seal: value of the server seal header.
    """

    request_id: str
    at_most_once: bool
    status: int
    body: bytes | None
    seal: str


@dataclass(slots=True)
class Job:
    """One batch job as observed by its callers.

    :ivar statuses: HTTP status of each submission; zero if no response arrived.
    :ivar results: item id, state and text first read at each position.
    :ivar changed: positions at which a later read returned a different result.
    :ivar missing: positions from which a read failed to return known results.
    :ivar end_requested: whether a caller requested the end of the job, acknowledged
        or not.
    :ivar ended_at: monotonic time at which the end request was acknowledged.
    :ivar complete: whether the results of all items were read.
    """

    job_id: str
    items: int
    statuses: list[int] = field(default_factory=list)
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    changed: list[int] = field(default_factory=list)
    missing: list[int] = field(default_factory=list)
    end_requested: bool = False
    ended_at: float | None = None
    complete: bool = False

    @property
    def accepted(self) -> bool:
        """Whether a node accepted the job."""
        return 202 in self.statuses

    @property
    def item_ids(self) -> list[str]:
        """The ids of all items of the job."""
        return [f"{self.job_id}-{number}" for number in range(self.items)]


@dataclass(slots=True)
class Evidence:
    """All observations of one soak test.

    :ivar events: number of events in each complete stream.
    :ivar version_regressions: node processes that applied an older configuration.
    :ivar unexpected_exits: node processes that exited without being stopped.
    :ivar names_customers: whether targets are to be told each request's customer.
    """

    targets: list[TargetStandIn]
    events: int
    online: list[OnlineCall] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    version_regressions: list[str] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    names_customers: bool = False

    def run_counts(self) -> dict[str, int]:
        """Return how many times each request or item ran at any target."""
        counts: dict[str, int] = {}
        for target in self.targets:
            for request_id in target.ran:
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    def expected_events(self, name: str) -> list[str]:
        """Return the event data of the complete stream of a request or item."""
        return [f"{name}-{number}" for number in range(1, self.events + 1)]
