"""Slices: groups of a service's targets in one data centre, each with one owner.

A slice is the unit of scheduling: its owner alone grants slots on its targets.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from chivespan.configuration import Configuration
from chivespan.documents import Runner
from chivespan.placement import select_owner

TARGETS_PER_SLICE = 16


@dataclass(frozen=True, slots=True)
class Slice:
    """Targets of one service in one data centre, scheduled by one dispatcher."""

    slice_id: str
    service: str
    data_centre: str
    runners: tuple[Runner, ...]


@dataclass(frozen=True, slots=True)
class _Group:
    service: str
    data_centre: str


def slices_of(configuration: Configuration) -> dict[str, Slice]:
    """Return all slices of the inventory by id.

    Runners are assigned by rendezvous hashing, so that adding a slice moves few of
    them.
    """
    groups: dict[_Group, list[Runner]] = defaultdict(list)
    for runner in configuration.runners.values():
        groups[_Group(runner.service, runner.data_centre)].append(runner)
    slices: dict[str, Slice] = {}
    for group, runners in groups.items():
        slices.update(_slices_of_group(group, runners))
    return slices


def _slices_of_group(group: _Group, runners: list[Runner]) -> dict[str, Slice]:
    count = ceil(len(runners) / TARGETS_PER_SLICE)
    ids = [f"{group.service}/{group.data_centre}/{index}" for index in range(count)]
    members: dict[str, list[Runner]] = {slice_id: [] for slice_id in ids}
    for runner in sorted(runners, key=lambda runner: runner.name):
        members[select_owner(runner.name, ids) or ids[0]].append(runner)
    return {
        slice_id: Slice(slice_id, group.service, group.data_centre, tuple(chosen))
        for slice_id, chosen in members.items()
    }


def slice_owner(slice_id: str, vms: Iterable[str]) -> str | None:
    """Return the owner of a slice among the live VMs of its data centre."""
    return select_owner(slice_id, vms)
