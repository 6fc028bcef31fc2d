"""The faults that a soak injects from outside the nodes."""

import signal
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any, TypeAlias

import anyio
from anyio.abc import TaskGroup

from chivespan.registry import Registry
from soak.evidence import Evidence
from soak.plan import Step
from standins.platformstore import StoreFaults
from standins.platformtarget import TargetFaults, TargetStandIn
from tests.fleet import Fleet, config
from tests.relay import Relay

STOP_PATIENCE_S = 15.0


@dataclass(slots=True)
class Grounds:
    """What faults work on.

    :ivar leaving: nodes that were told to end, or killed, and aren't back yet.
    :ivar version: of the newest configuration.
    """

    site: Fleet
    tasks: TaskGroup
    nodes: int
    evidence: Evidence
    version: int = 1
    leaving: set[int] = field(default_factory=set)

    def node(self, step: Step) -> int:
        """Return the node that a fault is for."""
        return 1 + step.subject % self.nodes

    def target(self, step: Step) -> TargetStandIn:
        """Return the target that a fault is for."""
        return self.site.targets[step.subject % len(self.site.targets)]

    def target_relay(self, step: Step) -> Relay:
        """Return the relay before a target."""
        number = step.subject % len(self.site.targets)
        return self.site.relays[self.site.target_address(number)]

    @property
    def store_relay(self) -> Relay:
        """The relay before the store."""
        return self.site.relays[self.site.store_address]


Fault: TypeAlias = Callable[[Grounds, Step], Coroutine[Any, Any, None]]
FAULTS: Registry[Fault] = Registry("soak fault")


@FAULTS.register("node_killed")
async def kill_node(grounds: Grounds, step: Step) -> None:
    """Kill a node's process, and start it again."""

    async def kill(number: int) -> None:
        await grounds.site.kill(number)
        await anyio.sleep(step.for_s / 2)

    await _end_and_launch(grounds, step, kill)


@FAULTS.register("all_killed")
async def kill_all(grounds: Grounds, step: Step) -> None:
    """Kill all nodes at the same moment."""
    async with anyio.create_task_group() as tasks:
        for number in range(grounds.nodes):
            tasks.start_soon(kill_node, grounds, replace(step, subject=number))


@FAULTS.register("node_ended")
async def end_node(grounds: Grounds, step: Step) -> None:
    """End a node as the platform does, and start it again."""

    async def stop(number: int) -> None:
        # The interpreter ends a program that has not yet come to handle signals.
        allowed = {0} if grounds.site.has_started(number) else {0, -signal.SIGTERM}
        code: int | None = None
        with anyio.move_on_after(STOP_PATIENCE_S):
            code = await grounds.site.stop(number)
        if code not in allowed:
            grounds.evidence.exits.append(f"node {number}: {code} on SIGTERM")

    await _end_and_launch(grounds, step, stop)


async def _end_and_launch(
    grounds: Grounds, step: Step, end: Callable[[int], Awaitable[None]]
) -> None:
    """End a node's process, unless it is ending already, and start it again."""
    number = grounds.node(step)
    if number in grounds.leaving:
        return
    grounds.leaving.add(number)
    await end(number)
    await grounds.site.launch(number, grounds.tasks)
    grounds.leaving.discard(number)


@FAULTS.register("node_paused")
async def pause_node(grounds: Grounds, step: Step) -> None:
    """Stop a node's process, and let it go on."""
    process = grounds.site.processes.get(grounds.node(step))
    if process is None or grounds.node(step) in grounds.leaving:
        return
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(step.for_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


def _store_fault(name: str, faults: Callable[[Grounds, Step], StoreFaults]) -> None:
    @FAULTS.register(name)
    async def trouble_store(grounds: Grounds, step: Step) -> None:
        grounds.site.store.faults = faults(grounds, step)
        await anyio.sleep(step.for_s)
        grounds.site.store.faults = StoreFaults()


_store_fault("store_busy", lambda *_: StoreFaults(down="busy"))
_store_fault("store_reset", lambda *_: StoreFaults(down="reset"))
_store_fault("store_silent", lambda *_: StoreFaults(down="silent"))
_store_fault("store_slow", lambda *_: StoreFaults(slow_ms=250))
_store_fault("store_loses_answers", lambda *_: StoreFaults(lose_answers=5))
_store_fault(
    "store_late", lambda *_: StoreFaults(late_appends=3, late_ms=1500, slow_ms=20)
)


@FAULTS.register("store_forgets")
async def forget_history(grounds: Grounds, step: Step) -> None:
    """Drop all but the newest record of each key."""
    for topic in ("keyed.op", "keyed.servers", "keyed.nodes"):
        grounds.site.store.compact(topic)
    for part in range(4):
        grounds.site.store.compact("keyed.batch", part)


@FAULTS.register("store_links_silent")
async def silence_store_links(grounds: Grounds, step: Step) -> None:
    """Make all open connections to the store silent for good."""
    grounds.store_relay.stall_open_connections()


@FAULTS.register("store_links_cut")
async def cut_store_links(grounds: Grounds, step: Step) -> None:
    """Reset all open connections to the store."""
    await grounds.store_relay.close_open_connections()


@FAULTS.register("store_answers_cut")
async def cut_store_answers(grounds: Grounds, step: Step) -> None:
    """Let calls reach the store, and lose their answers."""
    grounds.store_relay.drop_next_responses()


def _target_fault(name: str, faults: TargetFaults) -> None:
    @FAULTS.register(name)
    async def trouble_target(grounds: Grounds, step: Step) -> None:
        target = grounds.target(step)
        target.faults = replace(faults)
        await anyio.sleep(step.for_s)
        target.faults = TargetFaults()


_target_fault("target_breaks_off", TargetFaults(break_after=2))
_target_fault("target_silent", TargetFaults(silent_after=1))
_target_fault("target_dark", TargetFaults(silent_after=0))
_target_fault("target_fails", TargetFaults(status=500))
_target_fault("target_confused", TargetFaults(other_id=True))
_target_fault("target_full", TargetFaults(full=True))


@FAULTS.register("target_links_silent")
async def silence_target_links(grounds: Grounds, step: Step) -> None:
    """Make all open connections to a target silent for good."""
    grounds.target_relay(step).stall_open_connections()


@FAULTS.register("target_links_cut")
async def cut_target_links(grounds: Grounds, step: Step) -> None:
    """Reset all open connections to a target."""
    await grounds.target_relay(step).close_open_connections()


@FAULTS.register("target_links_slow")
async def delay_target_links(grounds: Grounds, step: Step) -> None:
    """Delay all that goes to and from a target."""
    relay = grounds.target_relay(step)
    relay.delay_s = 0.1
    await anyio.sleep(step.for_s)
    relay.delay_s = 0.0


@FAULTS.register("target_drained")
async def drain_target(grounds: Grounds, step: Step) -> None:
    """Announce that a target drains, and take that back."""
    number = step.subject % len(grounds.site.targets)
    grounds.site.list_target(number, "draining")
    await anyio.sleep(step.for_s)
    grounds.site.list_target(number)


@FAULTS.register("config_changed")
async def change_config(grounds: Grounds, step: Step) -> None:
    """Publish the next version."""
    grounds.version += 1 + step.subject % 3
    grounds.site.publish(config(grounds.version))
