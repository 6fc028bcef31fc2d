"""A fleet before targets with rate limits, in virtual time and without network.

Callers send to nodes at random. A node sends a request to a random target that its
limiter admits, or refuses it. Nodes report their counts to a relay, which reports the
sums to all; both take their time. The relay may be held up for a while, and nodes are
restarted.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from chivespan.clock import ManualClock
from chivespan.nodemessages import TargetSends
from chivespan.ratelimits import RateLimits, StatedLimit
from chivespan.recentsends import RecentSends
from chivespan.sendlimiter import SendLimiter
from tests.factories import target_entry

STEP_S = 0.01
# The users' rule: what a target may get in a window.
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_MORE = 5
REPORT_INTERVAL_S = 0.15
RELAY_INTERVAL_S = 0.1
STALENESS_S = REPORT_INTERVAL_S + RELAY_INTERVAL_S
RELAY = "relay"


@dataclass
class SimulatedNode:
    """One node with its own view of what all nodes send.

    :ivar reported: what the relay knows of it.
    """

    sends: RecentSends
    limiter: SendLimiter
    reported: list[TargetSends] = field(default_factory=list)


@dataclass
class LimitSimulation:
    """A day of a fleet whose targets all state the same limit.

    :param rate_per_s: limit of each target.
    :param load: requests that callers send, as a multiple of all limits.
    :param held_up_s: when the relay is held up, and until when.
    :param restart_every_s: time between restarts of random nodes.
    """

    nodes: int
    targets: int
    rate_per_s: float
    load: float
    seed: int
    held_up_s: tuple[float, float] = (0.0, 0.0)
    restart_every_s: float = 3.0
    sends: dict[str, list[float]] = field(default_factory=dict)
    refused: int = 0

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._clock = ManualClock()
        self._now_s = 0.0
        self._entries = [target_entry(f"t{number}") for number in range(self.targets)]
        self._nodes = [self._start() for _ in range(self.nodes)]
        self._relay = RecentSends(self._clock)
        self.sends = {entry.target_id: [] for entry in self._entries}

    @property
    def sent(self) -> int:
        """Requests that were sent to all targets."""
        return sum(map(len, self.sends.values()))

    @property
    def largest_excess(self) -> float:
        """Requests of the worst window beyond what the users' rule allows."""
        allowed = ALLOWED_SHARE * self.rate_per_s * WINDOW_S + ALLOWED_MORE
        return max(_most_in_window(times) - allowed for times in self.sends.values())

    @property
    def _arrivals_per_s(self) -> float:
        return self.load * self.rate_per_s * self.targets

    def run(self, seconds: float) -> None:
        """Play some time."""
        due = 0.0
        for step in range(int(seconds / STEP_S)):
            self._now_s = step * STEP_S
            self._report(step)
            if step and step % int(self.restart_every_s / STEP_S) == 0:
                self._nodes[self._random.randrange(self.nodes)] = self._start()
            due += self._random.uniform(0, 2 * self._arrivals_per_s * STEP_S)
            for _ in range(int(due)):
                self._send_one()
            due -= int(due)
            self._clock.advance(timedelta(seconds=STEP_S))

    def _start(self) -> SimulatedNode:
        limits, sends = RateLimits(self._clock), RecentSends(self._clock)
        for entry in self._entries:
            limits.record(entry, StatedLimit(self.rate_per_s))
        return SimulatedNode(sends, SendLimiter(limits, sends, self._random))

    def _report(self, step: int) -> None:
        """Let nodes report to the relay, each at its own time, and the relay to all."""
        if self.held_up_s[0] <= self._now_s < self.held_up_s[1]:
            return
        period = int(REPORT_INTERVAL_S / STEP_S)
        for number in range(step % period, self.nodes, period):
            node = self._nodes[number]
            node.reported = node.sends.own_sends()
            self._relay.report(str(number), node.reported)
        if step % int(RELAY_INTERVAL_S / STEP_S) == 0:
            totals = self._relay.totals()
            for node in self._nodes:
                node.sends.report(RELAY, totals, node.reported)

    def _send_one(self) -> None:
        node = self._random.choice(self._nodes)
        open_targets = [
            entry for entry in self._entries if (node.limiter.room(entry) or 0) > 0
        ]
        while open_targets:
            entry = self._random.choice(open_targets)
            expected = self._arrivals_per_s * STALENESS_S / len(open_targets)
            staleness = timedelta(seconds=STALENESS_S)
            if node.limiter.admits(entry, expected, staleness):
                node.limiter.record_send(entry)
                self.sends[entry.target_id].append(self._now_s)
                return
            open_targets.remove(entry)
        self.refused += 1


def _most_in_window(times: list[float]) -> int:
    return max(
        (bisect_left(times, at + WINDOW_S) - first for first, at in enumerate(times)),
        default=0,
    )
