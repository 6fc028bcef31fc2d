"""Seeded simulation, in virtual time, of a fleet with prompts that crash targets.

Nodes admit and resend requests by the rules of the prompt guard and tell each other's
quarantine what they know over the relays of their data centres.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TypeVarTuple

from chivespan.clock import NO_WAIT, ManualClock
from chivespan.nodemessages import PartEvidence
from chivespan.quarantine import Quarantine, SuspectStatus
from chivespan.requestguard import RECHECK_INTERVAL
from chivespan.suspects import is_request, request_suspect
from chivespan.suspicion import CrashedRequest

Args = TypeVarTuple("Args")

SLOTS = 8
STREAM_S = 0.7
PREFILL_S = (0.02, 0.04)
SECOND_EVENT_S = 0.02
RESTART_S = 3.0
# Time until a node learns that a connection has ended.
CLOSE_S = 0.002
RESET_SHARE = 0.005
SINGLE_CRASH_INTERVAL_S = 4.0
LOAD = 0.5
HARMFUL_PART = "harmful"
HARMFUL_REQUEST = request_suspect([b"harmful"])
HARMFUL_SHARE = 0.05
HARMFUL_START_S = 4.0
CENTRE_LOSS_S = 9.0
# Class of the harmful requests.
AFFECTED = 0
CLASS_WEIGHTS = (5, 3, 2)
RARE_SHARE = 0.1
# Requests that hold the same rare part, on average.
RARE_USES = 4
MAX_QUEUE_S = 5.0
UPDATE_S = 0.25
TO_RELAY_S = (0.03, 0.15)
FROM_RELAY_S = (0.04, 0.1)
VERDICT_S = 3.0
# The crash from which the rules count.
DECISIVE_CRASH = 5
DECISIVE_CRASH_OF_REQUEST = 3


@dataclass(eq=False)
class Node:
    """A node's quarantine and the version of it that others know."""

    centre: int
    quarantine: Quarantine
    is_sending: bool = False
    sent_version: int = 0


@dataclass(eq=False)
class Request:
    """A request of a client at a node.

    :ivar suspects: the parts of its prompt, and itself.
    """

    id: str
    node: Node
    suspects: list[str]
    arrived_s: float
    sends: int = 0
    has_answered: bool = False


@dataclass(eq=False)
class Target:
    """A target with its requests, up or restarting."""

    id: str
    centre: int
    started_ms: int = 0
    is_up: bool = True
    requests: set[Request] = field(default_factory=set)


class CrashSimulation:
    """Plays the day of a fleet and keeps what happened.

    :ivar nodes_without_verdict: nodes that didn't refuse the harmful part some time
        after the decisive crash.
    :ivar sound: when each sound request of the affected class came, and whether it
        began at its first attempt.
    """

    def __init__(
        self,
        nodes: int,
        targets: int,
        centres: int,
        seed: int,
        harmful: str = HARMFUL_PART,
    ) -> None:
        self._harmful = harmful
        self._random = Random(seed)
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._targets = [Target(f"i-{n}", n % centres) for n in range(targets)]
        self._gap_s = STREAM_S / (targets * SLOTS * LOAD)
        self.nodes = [Node(n % centres, Quarantine(self._clock)) for n in range(nodes)]
        self._relays = self.nodes[:centres]
        self.harmful_crashes: list[float] = []
        self.harmful_sends: list[float] = []
        self.sound: list[tuple[float, bool]] = []
        self.wrongly_quarantined: set[str] = set()
        self.nodes_without_verdict = 0
        for node in self.nodes:
            self._in(self._random.uniform(0, UPDATE_S), self._update, node)
        self._in(0, self._arrive)
        self._in(SINGLE_CRASH_INTERVAL_S, self._crash_any)
        self._in(CENTRE_LOSS_S, self._lose_centre)

    def run(self, until_s: float) -> None:
        """Play all events until a moment."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, event = heappop(self._events)
            self._clock.advance(timedelta(seconds=at_s) - self._clock.monotonic())
            event()

    @property
    def decisive_crash(self) -> int:
        """Number of the crash from which the rules count."""
        of_request = is_request(self._harmful)
        return DECISIVE_CRASH_OF_REQUEST if of_request else DECISIVE_CRASH

    def served_share(self, start_s: float, end_s: float) -> float:
        """Return the share of sound requests that began at their first attempt."""
        began = [began for at_s, began in self.sound if start_s <= at_s < end_s]
        return sum(began) / len(began)

    @property
    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _in(
        self,
        delay_s: float,
        act: Callable[[*Args], None],
        *args: *Args,
    ) -> None:
        event: Callable[[], None] = partial(act, *args)
        heappush(self._events, (self._now_s + delay_s, next(self._numbers), event))

    def _arrive(self) -> None:
        self._in(self._random.expovariate(1 / self._gap_s), self._arrive)
        group = self._random.choices(range(len(CLASS_WEIGHTS)), CLASS_WEIGHTS)[0]
        parts = [f"shared-{group}"]
        is_harmful = False
        if group == AFFECTED and self._now_s >= HARMFUL_START_S:
            is_harmful = self._random.random() < HARMFUL_SHARE
        if self._random.random() < RARE_SHARE:
            recent = self._now_s * RARE_SHARE / (self._gap_s * RARE_USES)
            parts.append(f"rare-{int(recent + self._random.random() * 4)}")
        node = self._random.choice(self.nodes)
        request_id = f"r-{next(self._numbers)}"
        own = request_suspect([request_id.encode()])
        if is_harmful and is_request(self._harmful):
            own = self._harmful
        elif is_harmful:
            parts.append(self._harmful)
        self._admit(Request(request_id, node, [*parts, own], self._now_s))

    def _admit(self, request: Request) -> None:
        quarantine = request.node.quarantine
        free = [t for t in self._targets if t.is_up and len(t.requests) < SLOTS]
        is_pending = quarantine.pending_time(request.suspects) > NO_WAIT
        if not is_pending and quarantine.find_quarantined(request.suspects) is not None:
            self._end(request, False)
        elif free and not is_pending:
            self._send(request, self._random.choice(free))
        elif self._now_s - request.arrived_s < MAX_QUEUE_S:
            self._in(RECHECK_INTERVAL.total_seconds(), self._admit, request)
        else:
            self._end(request, False)

    def _send(self, request: Request, target: Target) -> None:
        request.sends += 1
        target.requests.add(request)
        prefill_s = self._random.uniform(*PREFILL_S)
        run = target.started_ms
        if self._harmful in request.suspects:
            self.harmful_sends.append(self._now_s)
            self._in(prefill_s, self._begin_harmful, request, target, run)
        elif self._random.random() < RESET_SHARE:
            self._in(prefill_s, self._reset, request, target)
        else:
            self._in(prefill_s + SECOND_EVENT_S, self._answer, request, target, run)

    def _begin_harmful(self, request: Request, target: Target, run: int) -> None:
        if request not in target.requests or target.started_ms != run:
            return
        self.harmful_crashes.append(self._now_s)
        if len(self.harmful_crashes) == self.decisive_crash:
            self._in(VERDICT_S, self._check_verdicts)
        self._crash(target)

    def _answer(self, request: Request, target: Target, run: int) -> None:
        if request in target.requests and target.started_ms == run:
            request.has_answered = True
            request.node.quarantine.record_answered(request.suspects)
            self._tell(request.node)
            self._end(request, request.sends == 1)
            self._in(STREAM_S, target.requests.discard, request)

    def _reset(self, request: Request, target: Target) -> None:
        if request in target.requests:
            target.requests.remove(request)
            self._resend(request)

    def _crash(self, target: Target) -> None:
        """End a target's run with all its requests; it is back after a while."""
        if target.is_up:
            target.is_up = False
            for request in sorted(target.requests, key=lambda each: each.id):
                if not request.has_answered:
                    crash = CrashedRequest(
                        target.id, target.started_ms, request.id, request.suspects[-1]
                    )
                    self._in(CLOSE_S, self._record_crash, request, crash)
            target.requests.clear()
            self._in(RESTART_S, self._restart, target)

    def _restart(self, target: Target) -> None:
        target.is_up = True
        target.started_ms = int(self._now_s * 1000)

    def _record_crash(self, request: Request, crash: CrashedRequest) -> None:
        quarantine = request.node.quarantine
        answered = SuspectStatus.ANSWERED
        parts = [p for p in request.suspects if quarantine.status(p) is not answered]
        quarantine.record_crash(parts, crash)
        self._tell(request.node)
        self._resend(request)

    def _resend(self, request: Request) -> None:
        if request.sends == 1 and request.node.quarantine.may_resend(request.suspects):
            self._admit(request)
        else:
            self._end(request, False)

    def _end(self, request: Request, has_begun: bool) -> None:
        if (
            f"shared-{AFFECTED}" in request.suspects
            and self._harmful not in request.suspects
        ):
            self.sound.append((request.arrived_s, has_begun))

    def _crash_any(self) -> None:
        self._crash(self._random.choice(self._targets))
        gap_s = self._random.expovariate(1 / SINGLE_CRASH_INTERVAL_S)
        self._in(gap_s, self._crash_any)

    def _lose_centre(self) -> None:
        for target in self._targets:
            if target.centre == 0:
                self._crash(target)

    def _check_verdicts(self) -> None:
        refusing = [self._harmful in node.quarantine.quarantined for node in self.nodes]
        self.nodes_without_verdict = refusing.count(False)

    def _update(self, node: Node) -> None:
        node.quarantine.update()
        self.wrongly_quarantined.update(
            {*node.quarantine.quarantined} - {self._harmful}
        )
        self._tell(node)
        self._in(UPDATE_S, self._update, node)

    def _tell(self, node: Node) -> None:
        """Have a report sent if others don't know this version."""
        if not node.is_sending and node.quarantine.version != node.sent_version:
            node.is_sending = True
            delays_s = FROM_RELAY_S if node in self._relays else TO_RELAY_S
            delay_s = self._random.uniform(*delays_s) / 2
            self._in(delay_s, self._send_report, node, delay_s)

    def _send_report(self, node: Node, delay_s: float) -> None:
        """Send a report to the relay, or from it to its nodes and other relays."""
        node.is_sending = False
        report = node.quarantine.changes_since(node.sent_version)
        node.sent_version = node.quarantine.version
        receivers = self._relays[node.centre : node.centre + 1]
        if node in self._relays:
            own = [each for each in self.nodes if each.centre == node.centre]
            receivers = [*{*own, *self._relays} - {node}]
        for receiver in sorted(receivers, key=self.nodes.index):
            self._in(delay_s, self._hear, receiver, report)

    def _hear(self, node: Node, report: list[PartEvidence]) -> None:
        node.quarantine.merge(report, "peer")
        self._tell(node)
