"""What callers and targets saw during a soak, for the checks to judge."""

from dataclasses import dataclass, field

from standins.platformtarget import TargetStandIn

# Statuses by which an answer says that the request hasn't run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class OnlineCall:
    """One online request and its answer.

    :param once: whether it may run only once.
    :param status: zero without an answer.
    :param body: the whole body; None where it was broken off.
    """

    request_id: str
    once: bool
    status: int
    body: bytes | None
    seal: str


@dataclass(slots=True)
class Job:
    """One batch job as its callers saw it.

    :ivar statuses: answers to all its submissions, zero for none.
    :ivar listed: at each position the id, state and text that were read there.
    :ivar changed: positions at which something else was read later.
    :ivar end_asked: whether a caller asked for its end, acknowledged or not.
    :ivar ended_at: when a caller's end was acknowledged, on the steady clock.
    :ivar whole: whether all results were there at the end.
    """

    job_id: str
    items: int
    statuses: list[int] = field(default_factory=list)
    listed: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    changed: list[int] = field(default_factory=list)
    missing: list[int] = field(default_factory=list)
    end_asked: bool = False
    ended_at: float | None = None
    whole: bool = False

    @property
    def accepted(self) -> bool:
        """Whether some node said that the job is kept."""
        return 202 in self.statuses

    @property
    def item_ids(self) -> list[str]:
        """The ids of all its items."""
        return [f"{self.job_id}-{number}" for number in range(self.items)]


@dataclass(slots=True)
class Evidence:
    """All of one soak.

    :ivar version_falls: node processes that went back to an older configuration.
    :ivar exits: node processes that ended by themselves.
    """

    targets: list[TargetStandIn]
    events: int
    online: list[OnlineCall] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    version_falls: list[str] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)

    def runs(self) -> dict[str, int]:
        """Return how often each request or item ran."""
        counts: dict[str, int] = {}
        for target in self.targets:
            for request_id in target.ran:
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    def text_of(self, name: str) -> list[str]:
        """Return the data of all events of a request's or item's whole stream."""
        return [f"{name}-{number}" for number in range(1, self.events + 1)]
