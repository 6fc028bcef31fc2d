"""Whole requests as suspects: what convicts them, and what keeps sound ones apart."""

from datetime import timedelta

import pytest

from chivespan.answeredsuspects import MAX_ANSWERED_REQUESTS
from chivespan.clock import ManualClock
from chivespan.quarantine import EXONERATION_TIME, Quarantine
from chivespan.suspects import request_suspect
from chivespan.suspicion import MIN_CRASHES, SEPARATION_TIME, CrashedRequest
from chivespan.suspicions import MAX_PARTS, MAX_REQUESTS

SECOND = timedelta(seconds=1)
SHARED = "5a"
HARMFUL = request_suspect([b"harmful"])


def sound(number: int) -> str:
    return request_suspect([b"sound", b"%d" % number])


class Fleet:
    """Nodes that share one clock and tell each other what changes."""

    def __init__(self, nodes: int = 1) -> None:
        self.clock = ManualClock()
        self.nodes = [Quarantine(self.clock) for _ in range(nodes)]
        self._sent = [0] * nodes
        self._runs = 0

    def crash(self, *requests: str, parts: tuple[str, ...] = (), node: int = 0) -> None:
        """End one more run of a target under requests, each with the same parts."""
        self._runs += 1
        for number, request in enumerate(requests):
            crash = CrashedRequest(
                f"i-{self._runs}", 1, f"r-{self._runs}-{number}", request
            )
            self.nodes[node].record_crash([*parts, request], crash)
        self.exchange()

    def exchange(self) -> None:
        for number, node in enumerate(self.nodes):
            news = node.changes_since(self._sent[number])
            self._sent[number] = node.version
            for other in self.nodes:
                if other is not node:
                    other.merge(news, "peer")

    def wait(self, time: timedelta) -> None:
        self.clock.advance(time)
        for node in self.nodes:
            node.update()
        self.exchange()

    def refusing(self, *suspects: str) -> int:
        """Return how many nodes refuse a request with these suspects."""
        return sum(node.find_quarantined(suspects) is not None for node in self.nodes)


def convict(fleet: Fleet, *beside: str, parts: tuple[str, ...] = ()) -> None:
    for number in range(MIN_CRASHES):
        node = number % len(fleet.nodes)
        fleet.crash(HARMFUL, *beside, parts=parts, node=node)
        fleet.wait(SEPARATION_TIME)
    fleet.wait(EXONERATION_TIME)


# Guards against: a request that crashes targets is sent to one after the other, since
# it comes with another id, at another node, each time.
def test_request_is_refused_everywhere_after_crashes_seen_by_different_nodes() -> None:
    fleet = Fleet(3)
    convict(fleet)
    assert fleet.refusing(HARMFUL) == 3
    assert fleet.refusing(SHARED, HARMFUL) == 3
    assert fleet.refusing(SHARED, sound(1)) == 0


# Guards against: copies that came at the same moment delay the verdict.
def test_three_crashes_at_two_moments_convict_a_request() -> None:
    fleet = Fleet(2)
    fleet.crash(HARMFUL)
    fleet.crash(HARMFUL, node=1)
    fleet.wait(SEPARATION_TIME)
    fleet.crash(HARMFUL)
    fleet.wait(EXONERATION_TIME)
    assert fleet.refusing(HARMFUL) == 2


# Guards against: a part of the prompt is condemned for what the whole request does, as
# each copy of that counts as another request with the part.
def test_copies_of_one_request_dont_condemn_its_parts() -> None:
    fleet = Fleet(2)
    convict(fleet, parts=(SHARED,))
    for _number in range(10):
        fleet.crash(HARMFUL, parts=(SHARED,))
        fleet.wait(SECOND)
    assert fleet.refusing(SHARED, HARMFUL) == 2
    assert fleet.refusing(SHARED, sound(1)) == 0


# Guards against: sound requests with the same part, beside each crash, make the part
# seem the cause.
def test_part_of_requests_beside_a_harmful_one_isnt_condemned() -> None:
    fleet = Fleet()
    for number in range(2 * MIN_CRASHES):
        fleet.crash(HARMFUL, sound(number), parts=(SHARED,))
        fleet.wait(SEPARATION_TIME)
    fleet.wait(EXONERATION_TIME)
    assert fleet.refusing(HARMFUL, SHARED) == 1
    assert fleet.refusing(sound(100), SHARED) == 0


# Guards against: the first request with a harmful part takes all the blame, so that
# others with the part go on to crash targets.
def test_harmful_part_is_found_although_one_request_with_it_came_often() -> None:
    fleet = Fleet()
    convict(fleet, parts=(SHARED,))
    for number in range(2):
        fleet.crash(sound(number), parts=(SHARED,))
        fleet.wait(SECOND)
    fleet.wait(EXONERATION_TIME)
    assert fleet.refusing(sound(100), SHARED) == 1


# Guards against: requests that are alike to the byte, as polls are, are condemned
# because some of them met crashes.
@pytest.mark.parametrize("answered_before", [True, False])
def test_request_that_a_target_answers_is_never_refused(answered_before: bool) -> None:
    fleet = Fleet(2)
    if answered_before:
        fleet.nodes[1].record_answered([HARMFUL])
        fleet.exchange()
    convict(fleet)
    fleet.nodes[1].record_answered([HARMFUL])
    fleet.exchange()
    assert fleet.refusing(HARMFUL) == 0


# Guards against: requests at targets that end together (power, a release) are refused.
def test_targets_that_end_together_condemn_no_request() -> None:
    fleet = Fleet()
    for _ in range(20):
        fleet.crash(HARMFUL, sound(1))
    fleet.wait(EXONERATION_TIME)
    assert fleet.refusing(HARMFUL) == fleet.refusing(sound(1)) == 0


# Guards against: an outage with many requests uses up memory and frames, or drives out
# the evidence on parts and on a request that crashes targets again and again.
def test_noise_is_bounded_and_leaves_the_culprit() -> None:
    fleet = Fleet()
    fleet.crash(HARMFUL, parts=(SHARED,))
    fleet.wait(SEPARATION_TIME)
    fleet.crash(HARMFUL, parts=(SHARED,))
    fleet.wait(SEPARATION_TIME)
    node = fleet.nodes[0]
    for number in range(10 * MAX_REQUESTS):
        crash = CrashedRequest(f"i-{number}", 2, f"n-{number}", sound(number))
        node.record_crash([sound(number)], crash)
        node.record_answered([f"answered-{number}", request_suspect([b"%d" % number])])
    assert len(node.report) <= MAX_REQUESTS + MAX_PARTS
    assert len(node._answered) <= 10 * MAX_REQUESTS + MAX_ANSWERED_REQUESTS
    fleet.crash(HARMFUL, parts=(SHARED,))
    fleet.wait(EXONERATION_TIME)
    assert fleet.refusing(HARMFUL) == 1
