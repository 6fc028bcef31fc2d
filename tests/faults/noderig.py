"""Test rig: several VMs' control programs and an entry in one process, over TCP.

Connections between each pair of VMs, and from each VM to the log, pass through a
separate relay, so that a scenario can break one connection without affecting others.
"""

import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from itertools import count

import anyio
from anyio.abc import TaskGroup

from chivespan import batch_main
from chivespan.clock import SystemClock
from chivespan.codec import encode
from chivespan.configfold import CONFIG_STREAM
from chivespan.configuration import Configuration, DocumentId
from chivespan.dispatcher import Dispatcher
from chivespan.documents import DocumentKind
from chivespan.entry import Entry
from chivespan.envelope import encode_record
from chivespan.httplog import HttpLog
from chivespan.httpvmlist import HttpVmList
from chivespan.messages import VmState
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.policies import Policies
from chivespan.records import ConfigChange, DocumentChange, RecordId
from chivespan.settings import NodeSettings
from chivespan.slices import slice_owner
from chivespan.targethttp import TargetHttp
from standins.engine import EngineFaults, EngineStandIn
from standins.enginebatch import EngineOptions
from standins.logservice import LogStandIn
from standins.plainservice import PlainOptions, PlainStandIn
from standins.serving import serving
from standins.vmlist import VmEntry, VmListStandIn
from tests.callers import Caller
from tests.faults.rig import OWNER_KEY, configuration_of
from tests.oracle import LeavingTarget, Observations, violations
from tests.relay import Relay, relaying
from tools.cluster import random_address_block

DATA_CENTRE = "a"
REGION = "r"
VMS = 3
ENGINES = 2
FIRST_DIAL_PORT = 8000
FIRST_BATCH_PORT = 8100
ENTRY_DIAL_PORT = 8050
PARTITIONS = 2
HEARTBEAT_MS = 50
SILENCE_MS = 250
GRANT_LIFETIME = timedelta(milliseconds=300)
CALLER_TIMEOUT = timedelta(seconds=1)
SETTLE_TIMEOUT = timedelta(seconds=8)
POLL_S = 0.01
LEAVING_GRACE_S = 0.1
ENGINE = EngineOptions(
    slots=4,
    step_ms=4,
    step_ms_per_request=0.1,
    load_lag_ms=20,
    prefill_tokens=100_000,
    journal_tokens=False,
)


class ChangeWriter:
    """Appends configuration changes to the log, as an operator's command does."""

    def __init__(self, log: LogStandIn, operator: str = "op") -> None:
        self._log = log
        self._operator = operator
        self._sequence = count(1)

    def write(self, change: ConfigChange) -> int:
        """Append a change; return its offset."""
        record_id = RecordId(writer=self._operator, sequence=next(self._sequence))
        payload = encode_record(change, record_id, datetime.now(UTC))
        return self._log.append(CONFIG_STREAM, [payload])

    def change_rule_weight(
        self, configuration: Configuration, owner: str
    ) -> ConfigChange:
        """Return a change that increments the weight of an owner's first rule."""
        rule = next(r for r in configuration.rules.values() if r.owner == owner)
        document_id = DocumentId(DocumentKind.rule, rule.name)
        change = DocumentChange(
            kind=document_id.kind.value,
            name=rule.name,
            base_version=configuration.version(document_id),
            document=encode(replace(rule, weight=rule.weight + 1)),
        )
        return ConfigChange(operator=self._operator, reason="test", changes=[change])

    def change(
        self, configuration: Configuration, base: Callable[[DocumentId], int]
    ) -> ConfigChange:
        """Return a change with all documents of a configuration.

        :param base: returns the version on which the change of a document is based.
        """
        changes = [
            DocumentChange(
                kind=each.kind.value,
                name=each.name,
                base_version=base(each),
                document=encode(stored.document),
            )
            for each, stored in configuration.stored.items()
        ]
        return ConfigChange(operator=self._operator, reason="test", changes=changes)


@dataclass
class Node:
    """One VM's control and batch programs.

    :param control_relays: relays of connections to its control program, by dialling
        VM; ``entry`` for those of the entry.
    :param batch_relays: relays of connections to its batch program, by dialling VM.
    """

    settings: NodeSettings
    dispatcher: Dispatcher
    scope: anyio.CancelScope
    batch_scope: anyio.CancelScope
    entry_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    control_relays: dict[str, Relay] = field(default_factory=dict)
    batch_relays: dict[str, Relay] = field(default_factory=dict)

    @property
    def vm(self) -> str:
        """The VM's IP address."""
        return self.settings.vm


@dataclass
class NodeRig:
    """Components that a scenario controls, and its observations."""

    tasks: TaskGroup
    nodes: list[Node]
    log: LogStandIn
    vm_list: VmListStandIn
    engines: list[EngineStandIn]
    plain: PlainStandIn
    entry: Entry
    caller: Caller
    operator: ChangeWriter
    log_relays: list[Relay]
    target_relays: list[Relay]
    caller_relay: Relay
    entry_counters: Metrics
    observations: Observations = field(default_factory=Observations)
    entry_ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def view(self) -> NodeView:
        """The entry's view of configuration and VMs."""
        return self.entry.view

    def owner_of(self, service: str = "lm") -> Node:
        """Return the node that owns the service's slice."""
        for node in self.running:
            if self.owns(node, service):
                return node
        raise LookupError(f"no running node owns the slice of {service}")

    @property
    def running(self) -> list[Node]:
        """The nodes whose control program wasn't killed."""
        return [node for node in self.nodes if not node.scope.cancel_called]

    def kill_batch(self, node: Node) -> None:
        """Cancel a batch program without a shutdown."""
        node.batch_scope.cancel()

    def kill(self, node: Node) -> None:
        """Cancel a control program and the entry beside it, without a shutdown."""
        node.scope.cancel()
        node.entry_scope.cancel()

    @property
    def entry_node(self) -> Node:
        """The node on the VM of the entry under test."""
        vm = self.entry.context.settings.vm
        return next(node for node in self.nodes if node.vm == vm)

    def owns(self, node: Node, service: str = "lm") -> bool:
        """Return whether a node owns the service's slice."""
        targets = node.dispatcher.status("").targets
        return any(each.slice_id.startswith(f"{service}/") for each in targets)

    def is_settled(self) -> bool:
        """Return whether all running nodes see each other and one owns the engines."""
        seen = [node.dispatcher.membership.live_vms() for node in self.running]
        agree = all(len(vms) == len(self.running) for vms in seen)
        owners = sum(self.owns(node) for node in self.running)
        return agree and owners == 1 and self.free_slots() > 0

    def waiting(self) -> int:
        """Return the number of online requests queued at the engines' slice owner."""
        node = self.owner_of()
        loads = node.dispatcher.membership.views[node.vm].slices
        return sum(
            each.queued_online for each in loads if each.slice_id.startswith("lm")
        )

    def relays_to(self, node: Node) -> Iterable[Relay]:
        """Return the relays of all connections to a node's control program."""
        return node.control_relays.values()

    def relays_from(self, node: Node) -> Iterable[Relay]:
        """Yield the relays of a node's connections to the log and to other nodes."""
        yield self.log_relays[self.nodes.index(node)]
        for other in self.nodes:
            if other is not node:
                yield other.control_relays[node.vm]

    async def stream(
        self, prompt: str, tokens: int = 6, across_shutdown: bool = False
    ) -> str:
        """Request a streamed answer, record it, and return how it ended."""
        got = await self.caller.stream(prompt, tokens, across_shutdown=across_shutdown)
        self.observations.generated.append(got)
        return got.ended

    async def wait(self, what: str, met: Callable[[], bool]) -> None:
        """Wait until a condition holds.

        :param what: description of the condition for the error message.
        :raises TimeoutError: when it doesn't hold within ``SETTLE_TIMEOUT``.
        """
        with anyio.move_on_after(SETTLE_TIMEOUT.total_seconds()):
            while True:
                if met():
                    return
                await anyio.sleep(POLL_S)
        raise TimeoutError(
            f"timed out after {SETTLE_TIMEOUT.total_seconds():.0f} s: {what}"
        )

    def has_applied(self, offset: int, nodes: Iterable[Node] | None = None) -> bool:
        """Return whether nodes have applied the configuration up to an offset.

        :param nodes: all running nodes when None.
        """
        chosen = self.running if nodes is None else nodes
        return all(node.dispatcher.copy.offset >= offset for node in chosen)

    def free_slots(self) -> int:
        """Return the number of engine slots that the slice owners report as free."""
        loads = [
            load
            for node in self.running
            for load in node.dispatcher.membership.views[node.vm].slices
        ]
        return sum(each.free_slots for each in loads if each.slice_id.startswith("lm"))

    async def wait_slots_free(self) -> None:
        """Wait until all engine slots are reported as free."""
        total = len(self.engines) * ENGINE.slots
        await self.wait("all slots free", lambda: self.free_slots() == total)

    def inject_faults(self, faults: EngineFaults) -> None:
        """Inject the faults into all engines, which share the ``times`` left."""
        for engine in self.engines:
            engine.faults = faults

    async def stop_entry(self) -> None:
        """Start a graceful shutdown of the entry; wait until it refuses connections."""
        self.entry.context.start_draining("test")
        self.entry.server.stop()
        with anyio.fail_after(SETTLE_TIMEOUT.total_seconds()):
            while await self.caller.send("GET", "/health") is not None:
                await anyio.sleep(POLL_S)

    async def list_target_as_leaving(self, index: int) -> None:
        """List an engine's VM as leaving; wait until every running node has seen it."""
        address = self.target_relays[index].address
        vm = address.rpartition(":")[0]
        listed = [VmEntry(node.vm, DATA_CENTRE, REGION) for node in self.nodes]
        self.vm_list.set((*listed, VmEntry(vm, DATA_CENTRE, REGION, "leaving")))
        await self.wait(
            "leaving target seen",
            lambda: all(
                vm in node.dispatcher.membership.leaving_addresses
                for node in self.running
            ),
        )
        self.observations.leaving_targets.append(
            LeavingTarget(str(index), time.time() + LEAVING_GRACE_S)
        )

    def started_prompts(self) -> list[str]:
        """Return the prompts that engines started to run."""
        entries = [each for e in self.engines for each in e.journal.entries]
        return [each.detail for each in entries if each.event == "start"]

    def completed_streams(self) -> int:
        """Return the number of streams that the engines completed."""
        entries = [each for e in self.engines for each in e.journal.entries]
        return sum(each.event == "end" for each in entries)

    def record_config_offsets(self) -> None:
        """Record the configuration offset of every running node."""
        for node in self.running:
            seen = self.observations.config_offsets.setdefault(node.vm, [])
            seen.append(node.dispatcher.copy.offset)

    def check(self) -> None:
        """Assert that the oracle finds no violation."""
        assert self.violations() == []

    def violations(self) -> list[str]:
        """Return the oracle's violations, given the targets' journals."""
        journals = [engine.journal for engine in self.engines] + [self.plain.journal]
        self.observations.journals = {
            str(index): journal.entries for index, journal in enumerate(journals)
        }
        return violations(self.observations)


def _settings(
    block: str, number: int, log_url: str, list_url: str, silence_ms: int
) -> NodeSettings:
    return NodeSettings(
        vm=f"{block}.{number + 1}",
        data_centre=DATA_CENTRE,
        region=REGION,
        log_url=log_url,
        vm_list_url=list_url,
        peer_key="peer-key",
        dispatch_port=FIRST_DIAL_PORT + number,
        batch_port=FIRST_BATCH_PORT + number,
        partitions=PARTITIONS,
        heartbeat_ms=HEARTBEAT_MS,
        peer_silence_ms=silence_ms,
        address_lifetime_ms=500,
    )


async def _start_node(
    settings: NodeSettings, tasks: TaskGroup, *, with_batch: bool
) -> Node:
    clock = SystemClock()
    dispatcher = Dispatcher(
        settings,
        HttpLog(settings.log_url),
        HttpVmList(settings.vm_list_url),
        clock,
        Metrics(),
        Policies(grant_lifetime=GRANT_LIFETIME),
    )
    node = Node(settings, dispatcher, anyio.CancelScope(), anyio.CancelScope())

    async def control() -> None:
        with node.scope:
            await dispatcher.run()

    async def batch() -> None:
        with node.batch_scope:
            await batch_main.serve(settings)

    tasks.start_soon(control)
    if with_batch:
        tasks.start_soon(batch)
    return node


@asynccontextmanager
async def node_rig(
    vms: int = VMS,
    *,
    batch: bool = False,
    engine_count: int = ENGINES,
    entries: bool = False,
    silence_ms: int = SILENCE_MS,
) -> AsyncIterator[NodeRig]:
    """Run the control programs of several VMs and an entry on one of them.

    :param batch: also run each VM's batch program.
    :param entries: also run an entry on each other VM.
    :param silence_ms: silence timeout after which a program closes a link.
    """
    block = random_address_block()
    log, vm_list = LogStandIn(), VmListStandIn()
    engines = [EngineStandIn(ENGINE) for _ in range(engine_count)]
    plain = PlainStandIn(PlainOptions(call_ms=1))
    async with AsyncExitStack() as stack:
        addresses = await stack.enter_async_context(
            serving(log, vm_list, *engines, plain)
        )
        log_at, list_at, *targets = addresses
        log_relays = [
            await stack.enter_async_context(relaying(log_at)) for _ in range(vms)
        ]
        settings = [
            _settings(block, number, f"http://{path}", f"http://{list_at}", silence_ms)
            for number, (_, path) in enumerate(log_relays)
        ]
        vm_list.set(tuple(VmEntry(s.vm, DATA_CENTRE, REGION) for s in settings))
        operator = ChangeWriter(log)
        target_relays = [
            await stack.enter_async_context(relaying(target, f"{block}.{101 + number}"))
            for number, target in enumerate(targets)
        ]
        *engines_at, plain_at = [address for _, address in target_relays]
        configuration = configuration_of(engines_at, [plain_at])
        first = operator.write(operator.change(configuration, lambda _: 0))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        nodes = [await _start_node(each, tasks, with_batch=batch) for each in settings]
        await _start_node_relays(nodes, stack)
        await _start_entry_relays(nodes, stack)
        entry_settings = replace(
            _settings_of_other_vm(settings), dispatch_port=ENTRY_DIAL_PORT
        )
        http, metrics = await stack.enter_async_context(TargetHttp()), Metrics()
        entry = Entry(entry_settings, http, metrics, CALLER_TIMEOUT)
        entry_at = f"{entry_settings.vm}:{entry_settings.entry_port}"
        caller_relay, caller_at = await stack.enter_async_context(relaying(entry_at))
        rig = NodeRig(
            tasks,
            nodes,
            log,
            vm_list,
            engines,
            plain,
            entry,
            Caller(caller_at, OWNER_KEY),
            operator,
            [relay for relay, _ in log_relays],
            [relay for relay, _ in target_relays],
            caller_relay,
            metrics,
        )
        tasks.start_soon(_serve, entry, rig.entry_ended)
        if entries:
            for node in nodes:
                if node is not rig.entry_node:
                    tasks.start_soon(_serve_on, node, http)
        await rig.wait("configuration in force", lambda: rig.has_applied(first))
        await rig.wait("all VMs seen", lambda: len(rig.view.live_vms()) == vms)
        await rig.wait("slices owned", rig.is_settled)
        if entries:
            await rig.wait("entries seen", lambda: _entries_seen(rig) == vms)
        while await rig.caller.send("GET", "/health") is None:
            await anyio.sleep(POLL_S)
        yield rig


async def _start_node_relays(nodes: list[Node], stack: AsyncExitStack) -> None:
    """Start a relay for each pair of VMs; its port is the dialling VM's own port."""
    for node in nodes:
        for dialler in nodes:
            if dialler is node:
                continue
            dialled = dialler.settings
            node.control_relays[dialler.vm] = await _relay(
                node.vm, node.settings.dispatch_port, dialled.dispatch_port, stack
            )
            node.batch_relays[dialler.vm] = await _relay(
                node.vm, node.settings.batch_port, dialled.batch_port, stack
            )


async def _relay(vm: str, to: int, at: int, stack: AsyncExitStack) -> Relay:
    relay, _ = await stack.enter_async_context(relaying(f"{vm}:{to}", vm, at))
    return relay


def _settings_of_other_vm(settings: list[NodeSettings]) -> NodeSettings:
    """Return the settings of a VM that doesn't own the engines' slice.

    An entry there gets its grants over the network.
    """
    owner = slice_owner("lm/a/0", [each.vm for each in settings])
    return next(each for each in settings if each.vm != owner)


async def _start_entry_relays(nodes: list[Node], stack: AsyncExitStack) -> None:
    """Start relays from the entry to all control programs, including its own VM's."""
    for node in nodes:
        node.control_relays["entry"] = await _relay(
            node.vm, node.settings.dispatch_port, ENTRY_DIAL_PORT, stack
        )


async def _serve(entry: Entry, served: anyio.Event) -> None:
    """Run the entry; abort its open connections at the end, as a process exit does."""
    await entry.serve()
    for connection in list(entry.server._server.server_state.connections):
        connection.transport.abort()
    served.set()


async def _serve_on(node: Node, http: TargetHttp) -> None:
    """Run an entry that is cancelled when its node is killed."""
    with node.entry_scope:
        await Entry(node.settings, http, Metrics()).serve()


def _entries_seen(rig: NodeRig) -> int:
    """Return the number of live VMs whose heartbeat reports an entry."""
    live = [vm for vm in rig.view.vms if vm.state is VmState.live]
    return sum(bool(vm.entry_ports) and vm.config_offset >= 0 for vm in live)
