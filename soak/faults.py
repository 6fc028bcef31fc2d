"""Faults that a soak test injects from outside the node processes."""

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

STOP_TIMEOUT_S = 15.0


@dataclass(slots=True)
class FaultContext:
    """The deployment that faults are injected into.

    :ivar nodes: number of nodes.
    :ivar version: version of the newest published configuration.
    :ivar customers: entries of customers in all configurations; None for no customers.
    :ivar leaving: nodes that are being stopped or killed and have not restarted yet.
    """

    site: Fleet
    tasks: TaskGroup
    nodes: int
    evidence: Evidence
    version: int = 1
    customers: list[dict[str, Any]] | None = None
    leaving: set[int] = field(default_factory=set)

    def node(self, step: Step) -> int:
        """Return the number of the node that a fault applies to."""
        return 1 + step.subject % self.nodes

    def target(self, step: Step) -> TargetStandIn:
        """Return the target that a fault applies to."""
        return self.site.targets[step.subject % len(self.site.targets)]

    def target_relay(self, step: Step) -> Relay:
        """Return the relay in front of the target that a fault applies to."""
        number = step.subject % len(self.site.targets)
        return self.site.relays[self.site.target_address(number)]

    @property
    def store_relay(self) -> Relay:
        """The relay in front of the store."""
        return self.site.relays[self.site.store_address]


Fault: TypeAlias = Callable[[FaultContext, Step], Coroutine[Any, Any, None]]
FAULTS: Registry[Fault] = Registry("soak fault")


@FAULTS.register("node_killed")
async def kill_node(context: FaultContext, step: Step) -> None:
    """Kill a node's process with SIGKILL and restart it."""

    async def kill(number: int) -> None:
        await context.site.kill(number)
        await anyio.sleep(step.for_s / 2)

    await _restart_node(context, step, kill)


@FAULTS.register("all_killed")
async def kill_all(context: FaultContext, step: Step) -> None:
    """Kill and restart all nodes at the same time."""
    async with anyio.create_task_group() as tasks:
        for number in range(context.nodes):
            tasks.start_soon(kill_node, context, replace(step, subject=number))


@FAULTS.register("node_ended")
async def end_node(context: FaultContext, step: Step) -> None:
    """Stop a node with SIGTERM, as the platform does, and restart it."""

    async def stop(number: int) -> None:
        # Before the program installs its signal handlers, SIGTERM kills the process
        # and the exit code is -SIGTERM.
        allowed = {0} if context.site.has_started(number) else {0, -signal.SIGTERM}
        code: int | None = None
        with anyio.move_on_after(STOP_TIMEOUT_S):
            code = await context.site.stop(number)
        if code not in allowed:
            context.evidence.unexpected_exits.append(
                f"node {number}: {code} on SIGTERM"
            )

    await _restart_node(context, step, stop)


async def _restart_node(
    context: FaultContext, step: Step, end: Callable[[int], Awaitable[None]]
) -> None:
    """End a node's process and start it again, unless this is in progress already."""
    number = context.node(step)
    if number in context.leaving:
        return
    context.leaving.add(number)
    await end(number)
    await context.site.launch(number, context.tasks)
    context.leaving.discard(number)


@FAULTS.register("node_paused")
async def pause_node(context: FaultContext, step: Step) -> None:
    """Suspend a node's process with SIGSTOP and resume it with SIGCONT."""
    process = context.site.processes.get(context.node(step))
    if process is None or context.node(step) in context.leaving:
        return
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(step.for_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


def _store_fault(
    name: str, faults: Callable[[FaultContext, Step], StoreFaults]
) -> None:
    @FAULTS.register(name)
    async def inject(context: FaultContext, step: Step) -> None:
        context.site.store.faults = faults(context, step)
        await anyio.sleep(step.for_s)
        context.site.store.faults = StoreFaults()


_store_fault("store_busy", lambda *_: StoreFaults(down="busy"))
_store_fault("store_reset", lambda *_: StoreFaults(down="reset"))
_store_fault("store_silent", lambda *_: StoreFaults(down="silent"))
_store_fault("store_slow", lambda *_: StoreFaults(slow_ms=250))
_store_fault("store_loses_answers", lambda *_: StoreFaults(lose_answers=5))
_store_fault(
    "store_late", lambda *_: StoreFaults(late_appends=3, late_ms=1500, slow_ms=20)
)


@FAULTS.register("store_forgets")
async def compact_topics(context: FaultContext, step: Step) -> None:
    """Compact the store's keyed topics to the newest record of each key."""
    for topic in ("keyed.op", "keyed.servers", "keyed.nodes"):
        context.site.store.compact(topic)
    for part in range(4):
        context.site.store.compact("keyed.batch", part)


@FAULTS.register("store_links_silent")
async def stall_store_connections(context: FaultContext, step: Step) -> None:
    """Stall all open connections to the store permanently; new ones work."""
    context.store_relay.stall_open_connections()


@FAULTS.register("store_links_cut")
async def close_store_connections(context: FaultContext, step: Step) -> None:
    """Close all open connections to the store."""
    await context.store_relay.close_open_connections()


@FAULTS.register("store_answers_cut")
async def drop_store_responses(context: FaultContext, step: Step) -> None:
    """Forward calls on open connections to the store and drop their responses."""
    context.store_relay.drop_next_responses()


def _target_fault(name: str, faults: TargetFaults) -> None:
    @FAULTS.register(name)
    async def inject(context: FaultContext, step: Step) -> None:
        target = context.target(step)
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
async def stall_target_connections(context: FaultContext, step: Step) -> None:
    """Stall all open connections to a target permanently; new ones work."""
    context.target_relay(step).stall_open_connections()


@FAULTS.register("target_links_cut")
async def close_target_connections(context: FaultContext, step: Step) -> None:
    """Close all open connections to a target."""
    await context.target_relay(step).close_open_connections()


@FAULTS.register("target_links_slow")
async def delay_target_traffic(context: FaultContext, step: Step) -> None:
    """Delay all traffic to and from a target."""
    relay = context.target_relay(step)
    relay.delay_s = 0.1
    await anyio.sleep(step.for_s)
    relay.delay_s = 0.0


@FAULTS.register("target_drained")
async def drain_target(context: FaultContext, step: Step) -> None:
    """List a target as draining, then as ready again."""
    number = step.subject % len(context.site.targets)
    context.site.list_target(number, "draining")
    await anyio.sleep(step.for_s)
    context.site.list_target(number)


@FAULTS.register("config_changed")
async def change_config(context: FaultContext, step: Step) -> None:
    """Publish a newer version of the configuration."""
    context.version += 1 + step.subject % 3
    context.site.publish(config(context.version, customers=context.customers))
