"""Which batch items run, at which target and on which node.

Items go by the time at which they are due; those that can't be done by then go behind
all that can, so that being late isn't handed on from job to job. One starts only at a
target with slots to spare beyond the one that the next online request takes, as the sum
of all nodes' counts says; batch thereby fills what online work leaves free, and never
waits at a target.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import TypeAlias

from chivespan.nodemessages import TargetEntry
from chivespan.registry import Registry

RESERVED_SLOTS = 1
FIXED_ITEMS = 6


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that could run.

    :param due: when its job's results are due.
    :param holder: the node that holds what it has produced; empty for none.
    :param order: its place within its job.
    :param will_be_late: whether it can't be done in time even if it starts now.
    """

    partition: int
    job_id: str
    item_id: str
    service: str
    due: datetime
    order: int
    holder: str = ""
    will_be_late: bool = False

    @property
    def urgency(self) -> tuple[bool, datetime, str, int]:
        """What items are sorted by, the first to run first."""
        return (self.will_be_late, self.due, self.job_id, self.order)


@dataclass(slots=True)
class TargetRoom:
    """One target and what uses it.

    :ivar batch: items that run there, or are about to.
    """

    entry: TargetEntry
    slots: int
    online: int
    batch: int

    @property
    def spare(self) -> int:
        """Slots that batch may take now."""
        return self.slots - self.online - self.batch - RESERVED_SLOTS


@dataclass(slots=True)
class NodeRoom:
    """One node that can run items.

    :ivar items: items that it runs, or is about to.
    """

    vm: str
    data_centre: str
    items: int


@dataclass(frozen=True, slots=True)
class Placement:
    """An item to be run at a target by a node."""

    item: WaitingItem
    entry: TargetEntry
    vm: str


RoomOfTarget: TypeAlias = Callable[[TargetRoom], int]
BATCH_ROOMS: Registry[RoomOfTarget] = Registry("batch room")


@BATCH_ROOMS.register("spare_slots")
def spare_slots(room: TargetRoom) -> int:
    """Return how many more items a target takes: what online work leaves."""
    return room.spare


@BATCH_ROOMS.register("fixed_items")
def fixed_items(room: TargetRoom) -> int:
    """Return how many more items a target takes: a fixed number, whatever runs."""
    return FIXED_ITEMS - room.batch


def place_items(
    items: Iterable[WaitingItem],
    targets: Sequence[TargetRoom],
    nodes: Sequence[NodeRoom],
    room_of: RoomOfTarget = spare_slots,
) -> Iterator[Placement]:
    """Yield what to start now; the rooms given are filled meanwhile."""
    if not nodes:
        return
    open_rooms: dict[str, list[TargetRoom]] = defaultdict(list)
    for room in targets:
        if room_of(room) > 0:
            open_rooms[room.entry.service].append(room)
    holders = {node.vm: node for node in nodes}
    for item in sorted(items, key=lambda item: item.urgency) if open_rooms else ():
        fitting = open_rooms[item.service]
        if not fitting:
            continue
        holder = holders.get(item.holder)
        room = _best_room(fitting, holder, room_of)
        node = holder or _best_node(nodes, room)
        room.batch += 1
        node.items += 1
        if room_of(room) <= 0:
            fitting.remove(room)
        yield Placement(item, room.entry, node.vm)


def _best_room(
    fitting: Sequence[TargetRoom], holder: NodeRoom | None, room_of: RoomOfTarget
) -> TargetRoom:
    """Return the target with the most room, near the item's holder if it can be."""
    if holder is not None:
        near = [
            room for room in fitting if room.entry.data_centre == holder.data_centre
        ]
        fitting = near or fitting
    return max(fitting, key=room_of)


def _best_node(nodes: Sequence[NodeRoom], room: TargetRoom) -> NodeRoom:
    """Return the node with the fewest items, near the target if it can be."""
    near = [node for node in nodes if node.data_centre == room.entry.data_centre]
    return min(near or nodes, key=lambda node: (node.items, node.vm))
