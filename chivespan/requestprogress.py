"""The state of one online request over all its attempts."""

from contextlib import ExitStack
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from chivespan.customers.fairshare import USUAL_WAIT, WaitShare
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.eventstream import EventSplitter, OutputExceeded
from chivespan.exchange import LateTimeout, NoLocalResource, NotSent
from chivespan.nodemessages import TargetEntry
from chivespan.streamhandover import Handover
from chivespan.targetsilence import RequestWatch


class SendOutcome(StrEnum):
    """Result of sending a request to one target.

    - ``DELIVERED``: the complete response was passed on to the caller.
    - ``UNREACHED``: no connection to the target could be made.
    - ``NOT_SENT``: this node could open no connection.
    - ``NOT_RUN``: the target stated that it didn't run the request.
    - ``BROKEN``: the target failed and may have run the request.
    - ``HANDED_OVER``: the target paused, and another one has taken over the stream.
    """

    DELIVERED = "delivered"
    UNREACHED = "unreached"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    HANDED_OVER = "handed_over"


NO_BYTE_SENT = frozenset({SendOutcome.UNREACHED, SendOutcome.NOT_SENT})
MAY_HAVE_RUN = frozenset({SendOutcome.BROKEN, SendOutcome.HANDED_OVER})


@dataclass(slots=True)
class Progress:
    """State of one request over all its attempts.

    :ivar deadline: monotonic time by which the complete response is due.
    :ivar wait_share: how long the first attempt may wait by the customer's share.
    :ivar tried: ids of the targets chosen so far.
    :ivar may_have_run: whether a target may have started to run the request.
    :ivar in_flight: whether an attempt is in progress whose outcome isn't known yet.
    :ivar expects_slot: whether the target had a free slot when it was chosen.
    :ivar response_started: monotonic time at which the last target's response started.
    :ivar prompt_parts: parts of its prompt that other requests may share.
    :ivar fingerprint: the same for all attempts of a caller to send this request.
    :ivar reads: how often the current target has sent whole events.
    :ivar may_have_ended: whether the last target may have ended during the attempt.
    :ivar can_continue: whether another target may continue the response passed on.
    :ivar sends: attempts that reached a target.
    :ivar unreached: attempts in which no byte was sent.
    :ivar entry: the target of the current attempt.
    :ivar holds: what the current attempt holds: its place in the counts of its target.
    :ivar handover: the hand-over that the current attempt is part of.
    :ivar handover_outcome: result of the attempt that took over.
    """

    deadline: timedelta
    service: str
    prompt_parts: tuple[str, ...] = ()
    fingerprint: str = ""
    wait_share: WaitShare = USUAL_WAIT
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    in_flight: bool = False
    expects_slot: bool = False
    response_started: timedelta = timedelta(0)
    reads: int = 0
    may_have_ended: bool = False
    can_continue: bool = False
    sends: int = 0
    unreached: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    watch: RequestWatch | None = None
    entry: TargetEntry | None = None
    holds: ExitStack = field(default_factory=ExitStack)
    handover: Handover | None = None
    handover_outcome: SendOutcome = SendOutcome.BROKEN

    @property
    def suspects(self) -> tuple[str, ...]:
        """What may be the cause if the request's target ends."""
        return (*self.prompt_parts, self.fingerprint)

    def record_data(self) -> None:
        """Record that the current target has sent data."""
        if self.watch is not None:
            self.watch.record_data()

    def record_answer(self) -> None:
        """Record that the current target answers without a stream."""
        if self.watch is not None:
            self.watch.record_answer()

    def record_error(self, error: ChivespanError) -> SendOutcome:
        """Record that the current attempt ended in an error; return its outcome."""
        if isinstance(error, NoLocalResource):
            return SendOutcome.NOT_SENT
        if isinstance(error, NotSent):
            return SendOutcome.UNREACHED
        if isinstance(error, LateTimeout):
            self._end_watch()
        else:
            self.may_have_ended = error.kind is not ErrorKind.TARGET_TIMEOUT
        if isinstance(error, OutputExceeded):
            # No other target can continue what isn't the request's output.
            self.can_continue = False
        return SendOutcome.BROKEN

    def return_to(self, before: "Progress") -> None:
        """Return to the attempt of a paused target after another one was tried."""
        self.entry = before.entry
        self.holds = before.holds
        self.watch = before.watch
        self.reads = before.reads
        self.response_started = before.response_started
        self.expects_slot = before.expects_slot
        self.may_have_ended = before.may_have_ended
        self.in_flight = True

    @property
    def ran_or_may_run(self) -> bool:
        """Whether the request may have run, so that an error can't claim "not run"."""
        return self.may_have_run or self.in_flight

    def _end_watch(self) -> None:
        """Expect nothing more of the current target, and conclude nothing from that."""
        if self.watch is not None:
            self.watch.end()
