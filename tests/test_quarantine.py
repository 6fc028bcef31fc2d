"""Evidence on parts of prompts, its exchange between nodes and the quarantine."""

from collections.abc import Iterable, Sequence
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivespan.answeredsuspects import MAX_ANSWERED_PARTS
from chivespan.clock import NO_WAIT, ManualClock
from chivespan.nodemessages import PartEvidence
from chivespan.quarantine import (
    EXONERATION_TIME,
    Quarantine,
    SuspectStatus,
)
from chivespan.suspicion import (
    ANSWER_VALIDITY,
    EVIDENCE_LIFETIME,
    MAX_CRASHES,
    MIN_CRASHES,
    QUARANTINE_LIFETIME,
    SEPARATION_TIME,
    CrashedRequest,
)
from chivespan.suspicions import MAX_PARTS

SHARED = "5c1e07a2"
HARMFUL = "91bd3f06"
RARE = "e4402b7d"
SECOND = timedelta(seconds=1)
# An update is due at least this often.
STEP = timedelta(milliseconds=250)
# More crashes than are kept.
MANY_CRASHES = MAX_CRASHES + 1


class Node:
    """One node's quarantine with a clock of its own, started at another time."""

    def __init__(self, uptime: timedelta = timedelta(0)) -> None:
        self.clock = ManualClock()
        self.clock.advance(uptime)
        self.quarantine = Quarantine(self.clock)
        self._sent: dict[Node, int] = {}

    def crash(self, run: int, request: int, *parts: str) -> None:
        crash = CrashedRequest(f"i-{run}", 100, f"r-{request}")
        self.quarantine.record_crash(parts, crash)

    def answer(self, *parts: str) -> None:
        self.quarantine.record_answered(parts)

    def status(self, part: str) -> SuspectStatus:
        return self.quarantine.status(part)

    def refuses(self, *parts: str) -> bool:
        return self.quarantine.find_quarantined(parts) is not None

    def news_for(self, peer: "Node") -> list[PartEvidence]:
        """What a peer isn't told again until it changes."""
        sent = self._sent.get(peer, 0)
        self._sent[peer] = self.quarantine.version
        return self.quarantine.changes_since(sent)

    def hear(self, evidence: Iterable[PartEvidence]) -> None:
        self.quarantine.merge(evidence, "peer")


def fleet(count: int) -> list[Node]:
    return [Node(uptime=index * timedelta(hours=1)) for index in range(count)]


def exchange(nodes: Sequence[Node], delay: timedelta = NO_WAIT) -> None:
    """Let each node hear what all had to say at this moment, after a delay."""
    news = [(to, by.news_for(to)) for to in nodes for by in nodes if by is not to]
    for node in nodes:
        node.clock.advance(delay)
    for receiver, evidence in news:
        receiver.hear(evidence)


def pass_time(nodes: Sequence[Node], duration: timedelta) -> None:
    """Advance all clocks, with the periodic updates but without any exchange."""
    while duration > NO_WAIT:
        step = min(STEP, duration)
        duration -= step
        for node in nodes:
            node.clock.advance(step)
            node.quarantine.update()


def exchange_for(nodes: Sequence[Node], duration: timedelta) -> None:
    """Advance all clocks with an exchange after each update."""
    for _ in range(duration // STEP):
        pass_time(nodes, STEP)
        exchange(nodes)


def crash_often(nodes: Sequence[Node], *parts: str) -> None:
    """Let the first node meet enough crashes to convict a part.

    The clocks of all nodes go on between the crashes.
    """
    for run in range(MIN_CRASHES):
        if run:
            pass_time(nodes, SEPARATION_TIME)
        nodes[0].crash(run, run, *parts)


# Guards against: each request with a harmful part ends one more target.
def test_part_suspected_in_three_runs_is_quarantined_after_the_exoneration_time() -> (
    None
):
    node = Node()
    for run, request in enumerate((1, 1, 2)):
        assert node.quarantine.pending_time([HARMFUL]) == NO_WAIT
        pass_time([node], SEPARATION_TIME)
        node.crash(run, request, HARMFUL)
        assert node.status(HARMFUL) is SuspectStatus.SUSPECT
    assert node.quarantine.pending_time([SHARED, HARMFUL]) == EXONERATION_TIME
    assert not node.refuses(HARMFUL)
    pass_time([node], EXONERATION_TIME)
    assert node.refuses(SHARED, HARMFUL)
    assert node.quarantine.quarantined == [HARMFUL]
    assert not node.refuses(SHARED)


# Guards against: crashes that say little condemn a part: all met by one request, of one
# run of a target, or at the same moment (a lost data centre).
@pytest.mark.parametrize(
    ("runs", "requests", "gap"),
    [(6, 1, SECOND), (1, 20, SECOND), (6, 6, NO_WAIT), (2, 20, SECOND)],
)
def test_weak_evidence_never_condemns_a_part(
    runs: int, requests: int, gap: timedelta
) -> None:
    node = Node()
    for crash in range(max(runs, requests)):
        node.crash(crash % runs, crash % requests, RARE)
        pass_time([node], gap)
    pass_time([node], 2 * SECOND)
    assert node.status(RARE) is SuspectStatus.SUSPECT
    assert not node.refuses(RARE)


# Guards against: requests that waited together at the first target leave no room for
# the evidence of later crashes, so that the part is never quarantined.
@pytest.mark.parametrize("runs", [1, 2])
def test_many_requests_at_the_first_crashes_dont_hide_later_crashes(runs: int) -> None:
    node = Node()
    for request in range(MANY_CRASHES):
        node.crash(request % runs, request, HARMFUL)
    for run in range(runs, runs + MIN_CRASHES):
        pass_time([node], SEPARATION_TIME)
        node.crash(run, MANY_CRASHES + run, HARMFUL)
    pass_time([node], SECOND)
    assert node.refuses(HARMFUL)


# Guards against: the targets lost with a data centre displace the evidence of others.
def test_many_runs_that_end_together_dont_hide_crashes_at_other_times() -> None:
    node = Node()
    for run in range(MANY_CRASHES):
        node.crash(run, run, HARMFUL)
    for run in range(MANY_CRASHES, MANY_CRASHES + MIN_CRASHES):
        pass_time([node], SECOND)
        node.crash(run, run, HARMFUL)
    pass_time([node], SECOND)
    assert node.refuses(HARMFUL)


# Guards against: a part that all requests of a route share is refused with them.
def test_part_that_another_node_has_seen_answered_is_never_quarantined() -> None:
    nodes = fleet(3)
    nodes[2].answer(SHARED)
    pass_time(nodes, SECOND)
    for run in range(MANY_CRASHES):
        nodes[run % 2].crash(run, run, SHARED, HARMFUL)
        exchange_for(nodes, STEP)
    assert [node.refuses(SHARED) for node in nodes] == [False] * 3
    assert [node.refuses(HARMFUL) for node in nodes] == [True] * 3


# Guards against: the answer to a suspicion is left out because what an earlier answer
# said is old, though targets go on answering the part.
def test_suspicion_is_answered_while_an_earlier_answer_grows_old() -> None:
    fresh, told = nodes = fleet(2)
    told.crash(1, 1, SHARED)
    told.answer(SHARED)
    exchange(nodes)
    for _ in range(2):
        pass_time(nodes, ANSWER_VALIDITY * 0.9)
        told.answer(SHARED)
    crash_often(nodes, SHARED)
    exchange(nodes)
    exchange(nodes)
    pass_time(nodes, EXONERATION_TIME)
    assert not fresh.refuses(SHARED)


# Guards against: a sound part stays refused everywhere, so that nobody can learn that
# targets answer it.
def test_answer_lifts_a_quarantine_at_all_nodes() -> None:
    nodes = fleet(3)
    crash_often(nodes, RARE)
    exchange_for(nodes, SECOND)
    assert [node.refuses(RARE) for node in nodes] == [True] * 3
    nodes[1].answer(RARE)
    exchange(nodes)
    assert [node.refuses(RARE) for node in nodes] == [False] * 3
    exchange_for(nodes, 2 * ANSWER_VALIDITY)
    assert [node.refuses(RARE) for node in nodes] == [False] * 3


# Guards against: a node that starts, or was cut off, sends harmful requests again.
def test_new_node_learns_a_quarantine_from_one_report() -> None:
    node, fresh = fleet(2)
    crash_often([node], HARMFUL)
    pass_time([node], SECOND)
    fresh.hear(node.news_for(fresh))
    assert fresh.refuses(HARMFUL)


# Guards against: a node that was cut off brings back evidence, or a quarantine, from
# before a target answered the part.
@pytest.mark.parametrize("absence", [10 * SECOND, 1.5 * ANSWER_VALIDITY, 300 * SECOND])
@pytest.mark.parametrize("was_told", [False, True])
@pytest.mark.parametrize("is_quarantined", [False, True])
def test_old_evidence_doesnt_outlive_a_later_answer(
    absence: timedelta, was_told: bool, is_quarantined: bool
) -> None:
    absent, node = nodes = fleet(2)
    crash_often(nodes, RARE)
    if was_told:
        exchange(nodes)
    pass_time(nodes, SECOND if is_quarantined else STEP)
    node.answer(RARE)
    pass_time([node], absence)
    absent.clock.advance(absence)
    for _ in range(3):
        exchange(nodes)
        assert not node.refuses(RARE)
        pass_time(nodes, SECOND)
    assert [each.refuses(RARE) for each in nodes] == [False] * 2


# Guards against: crashes on a part that targets used to answer are ignored for good, or
# condemn the first part of everybody while all targets are down.
def test_crashes_count_again_some_time_after_the_last_answer() -> None:
    node = Node()
    node.answer(HARMFUL)
    while node.clock.monotonic() < ANSWER_VALIDITY:
        node.crash(int(node.clock.monotonic() / STEP), 1, HARMFUL)
        pass_time([node], STEP)
        assert not node.refuses(HARMFUL)
    pass_time([node], SECOND)
    assert not node.refuses(HARMFUL)
    for run in range(1000, 1000 + MIN_CRASHES):
        pass_time([node], SEPARATION_TIME)
        node.crash(run, run, HARMFUL)
    pass_time([node], SECOND)
    assert node.refuses(HARMFUL)


# Guards against: the same where the new version's crashes come while a peer keeps an
# answer from before.
def test_old_answer_of_a_peer_doesnt_void_later_crashes() -> None:
    crashing, answering = nodes = fleet(2)
    crashing.crash(100, 100, HARMFUL)
    answering.answer(HARMFUL)
    exchange_for(nodes, 1.5 * ANSWER_VALIDITY)
    crash_often(nodes, HARMFUL)
    exchange_for(nodes, 2 * SECOND)
    assert [node.refuses(HARMFUL) for node in nodes] == [True] * 2


# Guards against: evidence that is heard late leaves others no time to object.
@pytest.mark.parametrize("is_heard", [False, True])
def test_exoneration_time_begins_when_the_evidence_suffices(is_heard: bool) -> None:
    absent, node, answering = nodes = fleet(3)
    answering.answer(SHARED)
    crash_often([absent] if is_heard else [node], SHARED)
    absent.clock.advance(10 * SECOND)
    if is_heard:
        node.hear(absent.news_for(node))
    assert node.quarantine.pending_time([SHARED]) > NO_WAIT
    assert not node.refuses(SHARED)
    exchange(nodes[1:])
    exchange(nodes[1:])
    pass_time([node], SECOND)
    assert not node.refuses(SHARED)


# Guards against: crashes of long ago condemn at once when one more comes.
def test_late_third_crash_leaves_time_for_exoneration() -> None:
    node = Node()
    for run in range(MIN_CRASHES):
        pass_time([node], 10 * SECOND)
        node.crash(run, run, SHARED)
    assert node.quarantine.pending_time([SHARED]) > NO_WAIT
    assert not node.refuses(SHARED)


# Guards against: parts of sound requests that waited beside harmful ones are condemned
# with them, also when more runs have ended than are kept.
@pytest.mark.parametrize("crashes", [2 * MIN_CRASHES, 3 * MAX_CRASHES])
@pytest.mark.parametrize("gap", [SEPARATION_TIME, 2 * STEP])
def test_crash_explained_by_a_quarantined_part_doesnt_condemn_others(
    crashes: int, gap: timedelta
) -> None:
    node = Node()
    for run in range(crashes):
        if not node.refuses(HARMFUL):
            node.crash(run, run, HARMFUL)
            if run % 2:
                node.crash(run, 100 + run, RARE)
        pass_time([node], gap)
    pass_time([node], 2 * SECOND)
    assert node.refuses(HARMFUL)
    assert not node.refuses(RARE)


# Guards against: a request that met two crashes goes on to end a third target.
def test_request_is_resent_only_while_its_parts_met_one_crash() -> None:
    node = Node()
    node.answer(SHARED)
    assert node.quarantine.may_resend([SHARED, RARE])
    node.crash(1, 1, SHARED, RARE)
    assert node.quarantine.may_resend([SHARED, RARE])
    node.crash(2, 1, SHARED, RARE)
    assert not node.quarantine.may_resend([SHARED, RARE])
    assert node.quarantine.may_resend([SHARED])


# Guards against: requests whose prompts have no shared parts are refused or held back.
def test_request_without_shared_parts_is_neither_refused_nor_suspected() -> None:
    node = Node()
    crash_often([node])
    node.answer()
    assert not node.refuses()
    assert node.quarantine.may_resend([])
    assert node.quarantine.pending_time([]) == NO_WAIT
    assert node.quarantine.report == []
    assert node.quarantine.version == 0


# Guards against: two nodes renew each other's copies, so that nothing ever ends.
def test_evidence_and_quarantine_end_between_nodes_that_keep_exchanging() -> None:
    nodes = fleet(2)
    crash_often(nodes, HARMFUL)
    nodes[1].crash(1, 1, RARE)
    exchange_for(nodes, 1.25 * max(EVIDENCE_LIFETIME, QUARANTINE_LIFETIME))
    assert [node.status(HARMFUL) for node in nodes] == [SuspectStatus.UNKNOWN] * 2
    assert [node.quarantine.report for node in nodes] == [[], []]


# Guards against: a quarantine ends at one node, which sends harmful requests until
# another tells it again.
def test_quarantine_renewed_by_one_node_has_no_gap_at_another() -> None:
    nodes = fleet(2)
    crash_often(nodes, HARMFUL)
    pass_time(nodes[:1], SECOND)
    report = nodes[0].news_for(nodes[1])
    pass_time(nodes, 2 * STEP)
    nodes[1].hear(report)
    known = nodes[0].quarantine.version
    told_after = NO_WAIT
    while nodes[0].quarantine.version == known:
        told_after += STEP
        assert told_after < QUARANTINE_LIFETIME
        pass_time(nodes, STEP)
        assert nodes[0].refuses(HARMFUL)
    assert told_after > 10 * SECOND
    exchange(nodes)
    for _ in range(int(0.8 * QUARANTINE_LIFETIME / STEP)):
        pass_time(nodes, STEP)
        statuses = {node.status(HARMFUL) for node in nodes}
        assert statuses == {SuspectStatus.QUARANTINED}
        exchange(nodes)


# Guards against: the exoneration of a part in steady use is told again for ever.
def test_exoneration_isnt_renewed_without_a_new_suspicion() -> None:
    nodes = fleet(2)
    nodes[0].crash(1, 1, SHARED)
    versions = []
    for _ in range(int(1.25 * EVIDENCE_LIFETIME / SECOND)):
        for node in nodes:
            node.answer(SHARED)
        exchange_for(nodes, SECOND)
        versions.append([node.quarantine.version for node in nodes])
    assert versions[2:] == versions[2:3] * len(versions[2:])
    assert [node.quarantine.report for node in nodes] == [[], []]


# Guards against: nodes with more suspects than they keep send each other evidence
# without end.
def test_exchange_of_more_suspects_than_are_kept_comes_to_rest() -> None:
    nodes = fleet(2)
    for part in range(MAX_PARTS):
        nodes[0].crash(1, part, f"a{part}")
        nodes[1].crash(2, part, f"b{part}")
    exchange_for(nodes, 2 * SECOND)
    versions = [node.quarantine.version for node in nodes]
    exchange_for(nodes, 2 * SECOND)
    assert [node.quarantine.version for node in nodes] == versions


# Guards against: nodes with more crashes than they keep of a part do the same, since
# each drops others.
@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 99), st.sampled_from([0, 60, 200])),
        min_size=MAX_CRASHES,
        max_size=3 * MAX_CRASHES,
    ),
    st.sampled_from([0, 40, 110]),
)
def test_exchange_of_more_crashes_than_are_kept_comes_to_rest(
    crashes: list[tuple[int, int, int]], delay_ms: int
) -> None:
    nodes = fleet(3)
    for source, run, gap_ms in crashes:
        nodes[source].crash(run, 1, RARE)
        for node in nodes:
            node.clock.advance(timedelta(milliseconds=gap_ms))
    for _ in range(12):
        exchange(nodes, timedelta(milliseconds=delay_ms))
    versions = [node.quarantine.version for node in nodes]
    for _ in range(4):
        exchange(nodes, timedelta(milliseconds=delay_ms))
    assert [node.quarantine.version for node in nodes] == versions


# Guards against: chance suspects displace the evidence on the harmful part.
def test_many_suspects_of_one_crash_dont_displace_a_part_of_several() -> None:
    node = Node()
    for run in range(MIN_CRASHES):
        node.crash(run, run, HARMFUL)
        pass_time([node], SEPARATION_TIME)
        if run:
            for part in range(2 * MAX_PARTS):
                node.crash(run, part, f"a{run}-{part}")
    pass_time([node], SECOND)
    assert node.refuses(HARMFUL)


# Guards against: memory and messages grow with the number of parts.
def test_sizes_are_bounded_under_endless_new_parts() -> None:
    node = Node()
    for part in range(2 * MAX_ANSWERED_PARTS):
        node.answer(f"a{part}")
        node.crash(part, part, f"b{part}")
    for run in range(MANY_CRASHES):
        node.crash(run, run, HARMFUL)
        node.crash(run, 100 + run, HARMFUL)
    report = node.quarantine.report
    assert len(node.quarantine._answered) <= MAX_ANSWERED_PARTS
    assert len(report) <= MAX_PARTS
    assert max(len(entry.crashes) for entry in report) <= MAX_CRASHES


PARTS = st.sampled_from([SHARED, HARMFUL, RARE])
EVENTS = st.lists(
    st.tuples(st.integers(0, 2), PARTS, st.integers(0, 9), st.integers(0, 11)),
    max_size=30,
)


def play(node: Node, part: str, run: int, request: int) -> None:
    """Run 0 stands for an answer."""
    if run == 0:
        node.answer(part)
    else:
        node.crash(run, request, part)


# Guards against: what a node believes depends on the order in which it heard reports.
@settings(max_examples=100, deadline=None, derandomize=True)
@given(EVENTS, st.permutations(range(3)), st.lists(st.integers(0, 2), max_size=4))
def test_order_and_repeats_of_reports_change_nothing(
    events: list[tuple[int, str, int, int]], order: list[int], repeats: list[int]
) -> None:
    one, other, *sources = nodes = fleet(5)
    for source, part, run, request in events:
        play(sources[source], part, run, request)
        pass_time(nodes, SEPARATION_TIME)
    reports = [source.quarantine.report for source in sources]
    for report in reports:
        one.hear(report)
    for index in [*order, *repeats]:
        other.hear(reports[index])
    # What was answered before it was suspected isn't reported unless asked.
    exchange(nodes)
    exchange(nodes)
    pass_time(nodes, SECOND)
    for part in (SHARED, HARMFUL, RARE):
        assert one.status(part) is other.status(part)


DELAYS = st.sampled_from([0, 100, 400, 1_000, 20_000, 70_000, 200_000])


# Guards against: a part is refused though a target has answered it since it was last
# suspected, and the node has heard of both.
@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 4), DELAYS, st.booleans()),
        min_size=4,
        max_size=12,
    )
)
def test_part_answered_since_its_last_crash_isnt_quarantined(
    events: list[tuple[int, int, int, bool]],
) -> None:
    nodes = fleet(3)
    last_run = 0
    for request, (source, run, delay_ms, exchanges) in enumerate(events):
        play(nodes[source], RARE, run, request)
        last_run = run
        for node in nodes:
            node.clock.advance(timedelta(milliseconds=delay_ms))
            node.quarantine.update()
        if exchanges:
            exchange(nodes)
    if last_run == 0:
        exchange(nodes)
        exchange(nodes)
        assert [node.refuses(RARE) for node in nodes] == [False] * 3


# Guards against: a part that sound requests share is refused for good, since it was at
# the same crashes as the harmful one and targets had last answered it a while ago.
def test_shared_part_at_the_same_crashes_is_refused_with_the_harmful_one_only() -> None:
    node = Node()
    node.answer(SHARED)
    node.clock.advance(ANSWER_VALIDITY + SECOND)
    for number in range(MIN_CRASHES):
        node.crash(number, number, SHARED, HARMFUL)
        node.clock.advance(SECOND)
    node.clock.advance(EXONERATION_TIME)
    assert node.refuses(SHARED, HARMFUL)
    assert not node.refuses(SHARED)
    node.answer(SHARED)
    assert node.refuses(HARMFUL)


# Guards against: after many targets ended at once, a part that goes on to crash targets
# finds no place among the suspects of that moment.
def test_new_suspect_finds_a_place_among_many_of_one_moment() -> None:
    node = Node()
    for number in range(MAX_PARTS):
        node.crash(number, number, f"z-{number}")
    for number in range(MIN_CRASHES):
        node.clock.advance(2 * SECOND)
        node.crash(100 + number, 100 + number, "a-harmful")
    node.clock.advance(EXONERATION_TIME)
    assert node.refuses("a-harmful")
