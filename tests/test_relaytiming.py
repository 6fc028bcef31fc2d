"""The interval of a relay's sums follows the requests in progress."""

from chivespan.clock import ManualClock
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import TargetLoad
from chivespan.relaytiming import BUSY_INTERVAL, CALM_INTERVAL, RelayTiming
from chivespan.targetset import TargetSet
from tests.factories import target_entry


def timing(*, online: dict[str, int], batch: int = 0) -> RelayTiming:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace(
        [
            target_entry("a", service="s", slots=8),
            target_entry("b", service="s", slots=8),
            target_entry("gone", service="s", slots=8, draining=True),
            target_entry("c", service="small", slots=2),
        ]
    )
    load_table = LoadTable(clock)
    load_table.report(
        "peer",
        [
            TargetLoad(target_id=name, online=count, batch=batch)
            for name, count in online.items()
        ],
    )
    return RelayTiming(targets, load_table)


# Guards against: the counts of a burst are so old that queues of targets differ by half
# of their slots.
def test_sums_are_frequent_while_a_service_is_busy() -> None:
    assert timing(online={"a": 8, "b": 1}).interval == BUSY_INTERVAL
    assert timing(online={"c": 2}).interval == BUSY_INTERVAL


# Guards against: each node of a large fleet pays for frequent sums when nothing needs
# them, as while batch fills the free slots.
def test_sums_are_rare_while_most_slots_are_free_of_online_requests() -> None:
    assert timing(online={}).interval == CALM_INTERVAL
    assert timing(online={"a": 8}, batch=4).interval == CALM_INTERVAL
    assert timing(online={"a": 4, "b": 2, "gone": 8}).interval == CALM_INTERVAL
