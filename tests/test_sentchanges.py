"""Which changes of limits and evidence each receiver of reports is sent."""

import pytest

from chivespan.clock import ManualClock
from chivespan.quarantine import Quarantine
from chivespan.ratelimits import RateLimits, StatedLimit
from chivespan.sentchanges import ChangeSource, SentChanges
from chivespan.suspicion import CrashedRequest
from tests.factories import target_entry


def seen_limits() -> RateLimits:
    limits = RateLimits(ManualClock())
    limits.record(target_entry("t"), StatedLimit(3.0))
    return limits


def merged_limits() -> RateLimits:
    limits = RateLimits(ManualClock())
    limits.merge(seen_limits().changes_since(0), "peer")
    return limits


def seen_evidence() -> Quarantine:
    quarantine = Quarantine(ManualClock())
    quarantine.record_crash(["5a"], CrashedRequest("i-1", 1, "r"))
    return quarantine


def merged_evidence() -> Quarantine:
    quarantine = Quarantine(ManualClock())
    quarantine.merge(seen_evidence().report, "peer")
    return quarantine


# Guards against: a node that has what it knows from others only tells a new peer none.
@pytest.mark.parametrize(
    "source", [merged_limits(), merged_evidence()], ids=["limits", "evidence"]
)
def test_new_receiver_is_told_what_others_have_found(
    source: ChangeSource[object],
) -> None:
    sent = SentChanges(source)
    assert len(sent.own_for("peers")) == 1
    assert sent.own_for("peers") == []
    sent.forget()
    assert len(sent.own_for("peers")) == 1


@pytest.mark.parametrize(
    "source", [seen_limits(), seen_evidence()], ids=["limits", "evidence"]
)
def test_each_change_is_sent_to_each_receiver_once(
    source: ChangeSource[object],
) -> None:
    sent = SentChanges(source)
    assert sent.has_own_for("peers")
    for receiver in ("peers", "relay"):
        assert len(sent.all_for(receiver)) == 1
        assert sent.all_for(receiver) == []
    assert not sent.has_own_for("peers")


def test_only_what_has_changed_since_is_sent() -> None:
    limits = seen_limits()
    sent = SentChanges(limits)
    assert len(sent.own_for("peers")) == 1
    limits.record(target_entry("other"), StatedLimit(2.0))
    assert [each.run.target_id for each in sent.own_for("peers")] == ["other"]
