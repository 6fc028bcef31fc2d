"""Runs dispatchers and their clients in one process, on loopback addresses."""

import socket
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.clock import SystemClock
from chivespan.codec import encode
from chivespan.configfold import CONFIG_STREAM
from chivespan.dispatcher import Dispatcher
from chivespan.documents import (
    DataCentre,
    DocumentKind,
    Model,
    Region,
    Rule,
    Runner,
    Service,
    ServiceKind,
    WorkClassRule,
)
from chivespan.envelope import encode_record
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.grantclient import GrantClient
from chivespan.linkmessages import Program
from chivespan.messages import GrantRequest, VmState, WorkClass
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.peerlink import LinkEnd, LinkOptions, new_hello
from chivespan.platformservices import ListedVm
from chivespan.policies import Policies
from chivespan.records import ConfigChange, DocumentChange, RecordId
from chivespan.settings import NodeSettings
from tests.fakelog import FakeLog

CENTRE = "centre-a"
REGION = "region"
SERVICE = "lm"
MODEL = "model"
TIMEOUT_S = 10.0


def free_port() -> int:
    """Return a port on which no other test run on this machine is listening."""
    with socket.socket() as probe:
        probe.bind(("127.44.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def settings_of(vm: str, port: int, centre: str = CENTRE) -> NodeSettings:
    return NodeSettings(
        vm=vm,
        data_centre=centre,
        region=REGION,
        log_url="http://127.0.0.1:1",
        vm_list_url="http://127.0.0.1:1",
        peer_key="peer-key",
        dispatch_port=port,
        heartbeat_ms=50,
        peer_silence_ms=250,
    )


@dataclass
class FakeVmList:
    """In-memory VM list.

    :ivar unavailable: calls fail.
    """

    vms: tuple[ListedVm, ...] = ()
    unavailable: bool = False

    async def fetch(self) -> tuple[ListedVm, ...]:
        await anyio.lowlevel.checkpoint()
        if self.unavailable:
            raise ChivespanError(ErrorKind.NOT_READY, "the VM list is unavailable")
        return self.vms

    def mark(self, vm: str, state: VmState) -> None:
        self.vms = tuple(
            replace(each, state=state) if each.vm == vm else each for each in self.vms
        )


@dataclass
class Platform:
    """Platform services that the nodes of one test share."""

    port: int = field(default_factory=free_port)
    log: FakeLog = field(default_factory=FakeLog)
    vm_list: FakeVmList = field(default_factory=FakeVmList)
    sequence: int = 0

    def list_vms(self, *vms: str, centre: str = CENTRE) -> None:
        listed = [ListedVm(vm, centre, REGION, VmState.live) for vm in vms]
        self.vm_list.vms = (*self.vm_list.vms, *listed)

    def publish(self, *changes: DocumentChange) -> int:
        """Append one configuration change to the log; return its offset."""
        self.sequence += 1
        change = ConfigChange(operator="op", reason="test", changes=list(changes))
        record_id = RecordId(writer="test", sequence=self.sequence)
        payload = encode_record(change, record_id, SystemClock().now())
        return self.log.put(CONFIG_STREAM, [payload])


@dataclass
class ControlNode:
    """One dispatcher that runs in the test process."""

    settings: NodeSettings
    dispatcher: Dispatcher
    metrics: Metrics
    scope: anyio.CancelScope
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def vm(self) -> str:
        return self.settings.vm

    @property
    def offset(self) -> int:
        return self.dispatcher.copy.offset

    @property
    def live_vms(self) -> set[str]:
        """The VMs of its data centre that this node considers live, itself included."""
        return set(self.dispatcher.membership.live_vms(self.settings.data_centre))

    def state_of(self, vm: str) -> VmState | None:
        view = self.dispatcher.membership.views.get(vm)
        return view.state if view else None

    def stop(self) -> None:
        """Cancel the dispatcher without draining it."""
        self.scope.cancel()


@dataclass
class GrantRequester:
    """A program that subscribes to a dispatcher and requests grants."""

    view: NodeView
    client: GrantClient
    metrics: Metrics


def start_node(
    tasks: TaskGroup, platform: Platform, vm: str, centre: str = CENTRE
) -> ControlNode:
    settings = settings_of(vm, platform.port, centre)
    metrics = Metrics()
    dispatcher = Dispatcher(
        settings,
        platform.log,
        platform.vm_list,
        SystemClock(),
        metrics,
        Policies(grant_lifetime=timedelta(milliseconds=300)),
    )
    node = ControlNode(settings, dispatcher, metrics, anyio.CancelScope())
    tasks.start_soon(_run_node, node)
    return node


async def _run_node(node: ControlNode) -> None:
    with node.scope:
        await node.dispatcher.run()
    node.ended.set()


@asynccontextmanager
async def control_nodes(
    platform: Platform, vms: Sequence[str]
) -> AsyncIterator[list[ControlNode]]:
    """Run a dispatcher on each address; all are listed as live."""
    platform.list_vms(*vms)
    async with anyio.create_task_group() as tasks:
        yield [start_node(tasks, platform, vm) for vm in vms]
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def grant_requester(
    platform: Platform, vm: str, program: Program = Program.entry
) -> AsyncIterator[GrantRequester]:
    """Run the node view and the grant client that an entry uses."""
    settings = settings_of(vm, platform.port)
    metrics = Metrics()
    end = LinkEnd(
        new_hello(settings, program),
        LinkOptions.from_settings(settings),
        SystemClock(),
        metrics,
    )
    view = NodeView(end, settings, platform.vm_list)
    client = GrantClient(end, settings, view, Random(1))
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        tasks.start_soon(view.run)
        tasks.start_soon(client.run)
        with anyio.fail_after(TIMEOUT_S):
            await view.wait_ready()
        yield GrantRequester(view, client, metrics)
        tasks.cancel_scope.cancel()


def added(kind: DocumentKind, name: str, document: object) -> DocumentChange:
    return DocumentChange(
        kind=kind.value, name=name, base_version=0, document=encode(document)
    )


def inventory(targets: int, slots: int = 4) -> list[DocumentChange]:
    """Return the documents of one service with targets in one data centre."""
    runners = [
        Runner(
            name=f"runner-{number}",
            service=SERVICE,
            address=f"127.9.0.{number + 1}:9000",
            data_centre=CENTRE,
            slots=slots,
            model=MODEL,
        )
        for number in range(targets)
    ]
    rules = [
        Rule(name=work.value, owner="owner", service=SERVICE, work_class=work)
        for work in WorkClassRule
    ]
    service = Service(name=SERVICE, kind=ServiceKind.model, models=[MODEL])
    return [
        added(DocumentKind.region, REGION, Region(name=REGION)),
        added(DocumentKind.data_centre, CENTRE, DataCentre(name=CENTRE, region=REGION)),
        added(DocumentKind.model, MODEL, Model(name=MODEL, version="1")),
        added(DocumentKind.service, SERVICE, service),
        *(added(DocumentKind.runner, runner.name, runner) for runner in runners),
        *(added(DocumentKind.rule, rule.name, rule) for rule in rules),
    ]


def request(
    number: int, work_class: WorkClass = WorkClass.online, deadline_ms: int = 5000
) -> GrantRequest:
    return GrantRequest(
        request_id=f"request-{number}",
        slice_id="",
        service=SERVICE,
        model=MODEL,
        owner="owner",
        work_class=work_class,
        deadline_ms=deadline_ms,
        tokens=16,
    )


async def until(condition: Callable[[], bool], timeout_s: float = TIMEOUT_S) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it doesn't hold within the timeout.
    """
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.005)
