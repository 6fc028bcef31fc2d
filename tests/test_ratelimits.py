"""Statements of targets on their rate limits: reading them, and which one counts."""

from datetime import timedelta
from types import SimpleNamespace
from typing import cast

import pytest

from chivespan.clock import ManualClock
from chivespan.exchange import Reply
from chivespan.platform import wire
from chivespan.ratelimits import RateLimits, StatedLimit
from chivespan.responseparser import Header
from tests.factories import target_entry

SEALED = [(b"X-Chivespan-Server-Seal", b"s"), (b"X-Chivespan-Request-Id", b"r")]
ENTRY = target_entry("t")
SECOND = timedelta(seconds=1)


def reply(*limits: bytes, status: int = 200, sealed: bool = True) -> Reply:
    headers: list[Header] = [(b"Server-Limit", limit) for limit in limits]
    headers += SEALED if sealed else []
    response = SimpleNamespace(status=status, headers=headers)

    def header(name: bytes) -> bytes | None:
        return next((value for key, value in headers if key.lower() == name), None)

    response.header = header
    return cast(Reply, response)


def known(limits: RateLimits) -> float | None:
    return limits.limit(ENTRY)


@pytest.mark.parametrize(
    ("value", "rate"), [(b"3", 3.0), (b" 2.75 ", 2.75), (b"0", 0.0), (b"0.05", 0.05)]
)
def test_limit_is_a_decimal_number(value: bytes, rate: float) -> None:
    assert wire.stated_rate_limit(reply(value), "r") == StatedLimit(rate)


# Guards against: a malformed limit is taken for one, or ends the request that reads it.
@pytest.mark.parametrize(
    "value",
    [
        *(b"", b"-1", b"+1", b"nan", b"inf", b"1e9", b"many", b"3, 4", b"0x3", b"3."),
        *(b".5", b"1.5.2", b"9" * 1_000_000, "٣".encode()),
    ],
)
def test_malformed_limit_is_an_error(value: bytes) -> None:
    with pytest.raises(ValueError, match="limit"):
        wire.stated_rate_limit(reply(value), "r")


def test_repeated_limit_must_be_the_same() -> None:
    assert wire.stated_rate_limit(reply(b"3", b"3"), "r") == StatedLimit(3.0)
    with pytest.raises(ValueError, match="different limits"):
        wire.stated_rate_limit(reply(b"3", b"4"), "r")


def test_refusals_and_failures_state_limits_too() -> None:
    for status in (429, 500, 503):
        answer = reply(b"2", status=status, sealed=False)
        assert wire.stated_rate_limit(answer, "r") == StatedLimit(2.0)


def test_answer_of_another_target_states_nothing() -> None:
    assert wire.stated_rate_limit(reply(b"2", status=421), "r") is None


def test_only_an_answer_of_the_target_itself_ends_a_limit() -> None:
    assert wire.stated_rate_limit(reply(), "r") == StatedLimit(None)
    assert wire.stated_rate_limit(reply(), "other") is None
    assert wire.stated_rate_limit(reply(sealed=False), "r") is None


def test_limit_lasts_until_an_answer_without_it() -> None:
    clock = ManualClock()
    limits = RateLimits(clock)
    limits.record(ENTRY, StatedLimit(3.0))
    clock.advance(100 * SECOND)
    assert known(limits) == 3.0
    limits.record(ENTRY, StatedLimit(None))
    assert known(limits) is None


def test_new_run_of_a_target_begins_without_a_limit() -> None:
    limits = RateLimits(ManualClock())
    limits.record(ENTRY, StatedLimit(3.0))
    assert limits.limit(target_entry("t", started_ms=2)) is None


def test_other_nodes_learn_of_a_limit_and_of_its_end() -> None:
    clock = ManualClock()
    here, there = RateLimits(clock), RateLimits(clock)
    here.record(ENTRY, StatedLimit(3.0))
    there.merge(here.changes_since(0), "here")
    assert known(there) == 3.0
    seen = here.version
    clock.advance(SECOND)
    here.record(ENTRY, StatedLimit(None))
    there.merge(here.changes_since(seen), "here")
    assert known(there) is None


# Guards against: a late report of another node brings back what has changed since.
def test_older_statement_changes_nothing() -> None:
    clock = ManualClock()
    here, there = RateLimits(clock), RateLimits(clock)
    there.record(ENTRY, StatedLimit(3.0))
    clock.advance(SECOND)
    late = there.changes_since(0)
    here.record(ENTRY, StatedLimit(5.0))
    here.merge(late, "there")
    assert known(here) == 5.0


# Guards against: nodes tell each other the same limit forever.
def test_known_limit_is_not_told_again() -> None:
    clock = ManualClock()
    limits = RateLimits(clock)
    limits.record(ENTRY, StatedLimit(3.0))
    version = limits.version
    for _ in range(5):
        clock.advance(SECOND)
        limits.record(ENTRY, StatedLimit(3.1))
        limits.merge(limits.changes_since(0), "peer")
    assert limits.version == version
    assert limits.changes_since(version) == []


def test_limits_of_targets_that_are_gone_are_forgotten() -> None:
    clock = ManualClock()
    limits = RateLimits(clock)
    limits.record(ENTRY, StatedLimit(3.0))
    clock.advance(timedelta(minutes=2))
    limits.remove_outdated([])
    assert limits.in_force == {}
