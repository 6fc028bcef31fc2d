"""Slices: groups of a service's targets in one data centre, each with one owner."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from chivespan.configuration import Configuration
from chivespan.documents import Runner
from chivespan.placement import owner

TARGETS_PER_SLICE = 16


@dataclass(frozen=True, slots=True)
class Slice:
    """Targets that one dispatcher grants slots on."""

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

    Runners join slices by rendezvous, so that one more slice moves few of them.
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
        members[owner(runner.name, ids) or ids[0]].append(runner)
    return {
        slice_id: Slice(slice_id, group.service, group.data_centre, tuple(chosen))
        for slice_id, chosen in members.items()
    }


def slice_owner(slice_id: str, vms: Iterable[str]) -> str | None:
    """Return the VM that should own a slice, out of its data centre's live VMs."""
    return owner(slice_id, vms)
