"""Decisions of the registered scheduling policies."""

from datetime import timedelta

import pytest

from bench.spillorders import SPILL_ORDERS, SpillView
from chivespan.batchlevel import (
    BATCH_LEVELS,
    BatchLevel,
    OnlineSample,
    SliceCounts,
    TargetCounts,
)
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.linkmessages import SliceLoad
from chivespan.messages import GrantRequest, WorkClass
from chivespan.policies import Policies
from chivespan.slices import Slice
from chivespan.targetchoice import (
    PREFIX_HIT_REQUESTS,
    PREFIXES_PER_TARGET,
    TARGET_CHOICES,
    ChoiceView,
    PrefixHints,
)
from chivespan.targetstate import TargetState
from tests.schedulerharness import runner

MS = timedelta(milliseconds=1)
COOLDOWN = 200 * MS


def steered_level(**fields: int) -> BatchLevel:
    policies = Policies(headroom_cooldown=COOLDOWN, **fields)  # type: ignore[arg-type]
    return BATCH_LEVELS["steered"](policies)


def test_headroom_rises_at_once_and_falls_after_the_cooldown() -> None:
    level = steered_level()

    def limit(online: int, at: timedelta) -> int:
        return level.slice_limit(SliceCounts(16, online, 0), at)

    assert limit(2, 0 * MS) == 14
    assert limit(10, 10 * MS) == 6
    assert limit(3, 50 * MS) == 6
    assert limit(3, 209 * MS) == 6
    assert limit(3, 210 * MS) == 13


def test_batch_shrinks_when_online_demand_exceeds_the_demand_limit() -> None:
    level = BATCH_LEVELS["steered"](Policies(demand_limit=0.5))
    counts = {
        (5, 3): 8,
        (5, 4): 3,
        (9, 0): 3,
        (5, 5): -2,
    }
    for (online, queued), limit in counts.items():
        assert level.slice_limit(SliceCounts(16, online, queued), MS) == limit


def test_target_limit_is_halved_at_once_and_rises_slot_by_slot() -> None:
    level = steered_level()

    def limit(batch: int, at: timedelta) -> int:
        return level.target_limit(TargetCounts("r0", 8, batch), at)

    def measure(bound_ratio: float, granted_at: timedelta, now: timedelta) -> None:
        level.record(OnlineSample("r0", granted_at, bound_ratio), 8, now)

    assert limit(8, 1000 * MS) == 8
    measure(0.9, 1000 * MS, 1900 * MS)
    measure(1.1, 1000 * MS, 1950 * MS)
    assert limit(8, 1950 * MS) == 8
    measure(1.1, 1000 * MS, 2000 * MS)
    assert limit(8, 2000 * MS) == 4
    measure(3.0, 1990 * MS, 2050 * MS)
    assert limit(4, 2100 * MS) == 4
    assert limit(3, 2300 * MS) == 4
    assert [limit(4, at * MS) for at in (2300, 2400, 2550)] == [5, 5, 5]
    assert limit(5, 2550 * MS) == 6
    measure(3.0, 2500 * MS, 2600 * MS)
    assert limit(6, 2600 * MS) == 4


def test_limits_of_unsteered_levels() -> None:
    counts = SliceCounts(16, 4, 2)
    target = TargetCounts("r0", 8, 0)
    policies = Policies(fixed_batch_slots=3)
    limits = {
        name: (
            BATCH_LEVELS[name](policies).slice_limit(counts, MS),
            BATCH_LEVELS[name](policies).target_limit(target, MS),
            BATCH_LEVELS[name](policies).yields,
        )
        for name in BATCH_LEVELS
    }
    assert limits["none"] == (0, 0, True)
    assert limits["unlimited"] == (32, 16, False)
    assert limits["fixed"] == (16, 3, False)
    assert limits["idle"] == (10, 8, True)


def test_unknown_policy_error_lists_the_registered_names() -> None:
    with pytest.raises(ChivespanError, match="fixed, idle, none") as raised:
        BATCH_LEVELS["magic"]
    assert raised.value.kind is ErrorKind.INVALID_SETTING


def make_slice(data_centre: str, index: int = 0) -> Slice:
    name = f"lm/{data_centre}/{index}"
    return Slice(name, "lm", data_centre, (runner(0, 8),))


def load(slice_id: str, free: int, batch: int = 0, queued: int = 0) -> SliceLoad:
    return SliceLoad(
        slice_id=slice_id,
        free_slots=free,
        total_slots=8,
        queued_online=queued,
        batch_running=batch,
    )


def test_spill_goes_to_the_nearest_slice_with_room() -> None:
    slices = [make_slice(name) for name in ("own", "near", "far", "unknown")]
    loads = [
        load("lm/own/0", 0, queued=3),
        load("lm/near/0", 0, batch=4),
        load("lm/far/0", 8),
    ]
    view = SpillView(
        data_centre="own",
        slices=slices,
        loads={each.slice_id: each for each in loads},
        distances={"near": MS, "far": 3 * MS},
    )

    def order(name: str) -> list[str]:
        return [each.data_centre for each in SPILL_ORDERS[name](view)]

    assert order("nearest_with_room") == ["near", "far", "unknown", "own"]
    assert order("own_only") == ["own"]


def targets() -> list[TargetState]:
    states = [TargetState(runner(index, 8)) for index in range(3)]
    for state in states:
        state.refresh(timedelta(0))
    return states


def choose(
    states: list[TargetState], work_class: WorkClass, policy: str = "counts"
) -> str:
    request = GrantRequest(
        request_id="q",
        slice_id="",
        service="lm",
        model="m",
        owner="a",
        work_class=work_class,
        deadline_ms=1000,
        tokens=1,
        prefix_hash=7,
    )
    hints = PrefixHints()
    hints.record(7, "r2")
    view = ChoiceView(request, states, hints)
    return TARGET_CHOICES[policy](view).name


def test_prefix_hint_breaks_ties_and_never_outweighs_counts() -> None:
    states = targets()
    assert choose(states, WorkClass.online) == "r2"
    states[2].counts[WorkClass.online] = 1
    assert choose(states, WorkClass.online) == "r0"
    states[0].counts[WorkClass.batch] = 1
    assert choose(states, WorkClass.online) == "r1"


def test_cached_prefix_outweighs_a_few_online_requests() -> None:
    states = targets()
    states[2].counts[WorkClass.online] = PREFIX_HIT_REQUESTS
    states[0].counts[WorkClass.batch] = 1
    assert choose(states, WorkClass.online, "heads_near_counts") == "r1"
    states[2].counts[WorkClass.online] -= 1
    assert choose(states, WorkClass.online, "heads_near_counts") == "r2"


@pytest.mark.parametrize("policy", ["counts", "heads_near_counts"])
def test_batch_avoids_targets_with_online_work(policy: str) -> None:
    states = targets()
    states[0].counts[WorkClass.online] = 3
    states[1].counts[WorkClass.batch] = 3
    states[2].counts[WorkClass.online] = 4
    assert choose(states, WorkClass.batch, policy) == "r1"


def test_hints_keep_the_most_recent_prefixes_of_every_target() -> None:
    hints = PrefixHints()
    for head in range(1, PREFIXES_PER_TARGET + 2):
        hints.record(head, "r0")
    hints.record(1, "r1")
    hints.record(2, "r1")
    hints.forget(2, "r1")
    assert not hints.points_to(1, "r0")
    assert hints.points_to(2, "r0")
    assert hints.points_to(1, "r1")
    assert not hints.points_to(2, "r1")
    hints.retain_targets(["r1"])
    assert not hints.points_to(2, "r0")
