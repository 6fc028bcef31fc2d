"""Faults of a configuration change on its way into the log, and of its writers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from chivespan.clock import SystemClock
from chivespan.codec import encode
from chivespan.configfold import CONFIG_STREAM, ConfigFold
from chivespan.documents import DocumentKind, Region
from chivespan.errors import ChivespanError
from chivespan.httplog import HttpLog
from chivespan.operatorlog import OperatorLog, PublishResult
from chivespan.operatorresults import ApplyOutcome
from chivespan.platformservices import LogRecord
from chivespan.records import ConfigChange, DocumentChange
from standins.logservice import AppendHook, LogFaults, LogStandIn
from standins.serving import serving
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.relay import ConnectionMode, Relay, relaying

LATE_S = 0.6
WITHIN_S = 15.0


@dataclass
class ConfigRig:
    """A log behind a relay, and operators who write to it."""

    log: LogStandIn
    relay: Relay
    url: str

    async def publish(self, operator: str, base: int = 0) -> PublishResult | None:
        """Publish a change of one region; None when the log can't be read."""
        client = HttpLog(self.url)
        change = ConfigChange(
            operator=operator, reason="test", changes=[_region(operator, base)]
        )
        try:
            async with OperatorLog.opened(client, operator, SystemClock()) as log:
                await log.read()
                return await log.publish(change)
        except ChivespanError:
            return None
        finally:
            await client.aclose()

    def fold(self) -> ConfigFold:
        """Return the configuration in force, as any reader of the log sees it."""
        fold = ConfigFold()
        for offset, payload in enumerate(self.log.records(CONFIG_STREAM)):
            fold.apply(LogRecord(offset, payload))
        return fold

    def accepted(self) -> list[str]:
        """Return whose changes are in force, in order."""
        return [each.operator for each in self.fold().history if each.accepted]


def _region(operator: str, base: int) -> DocumentChange:
    region = Region(name="r")
    return DocumentChange(
        kind=DocumentKind.region.value,
        name="r",
        base_version=base,
        document=encode(region),
    )


@asynccontextmanager
async def config_rig() -> AsyncIterator[ConfigRig]:
    log = LogStandIn()
    async with serving(log) as [address], relaying(address) as [relay, at]:
        yield ConfigRig(log, relay, f"http://{at}")


def _agrees(rig: ConfigRig, published: PublishResult | None, operator: str) -> None:
    """What the operator was told is what any reader of the log finds."""
    in_force = operator in rig.accepted()
    if published is None or published.outcome is ApplyOutcome.NOT_ACCEPTED:
        assert not in_force
    elif published.outcome is ApplyOutcome.ACCEPTED:
        assert in_force


@proves(
    (Row.CONFIG_APPEND, Row.CONFIG_READ_BACK),
    (
        Fault.ANSWER_LOST,
        Fault.ANSWER_LATE,
        Fault.TWICE,
        Fault.TWO,
        Fault.LOG_SLOW,
        Fault.LOG_DOWN,
        Fault.SILENT,
        Fault.CUT,
    ),
    reduced_every=3,
)
async def change_meets_a_bad_log(cell: Cell) -> None:
    faults = {
        Fault.ANSWER_LOST: LogFaults(drop_answers=1),
        Fault.ANSWER_LATE: LogFaults(delay_effects=1, delay_ms=400),
        Fault.TWICE: LogFaults(delay_effects=2, delay_ms=400),
        Fault.TWO: LogFaults(drop_answers=1, delay_effects=1, delay_ms=400),
        Fault.LOG_SLOW: LogFaults(slow_ms=200),
    }
    async with config_rig() as rig:
        read_back = cell.row is Row.CONFIG_READ_BACK
        rig.log.faults = faults.get(cell.fault, LogFaults())
        if cell.fault not in faults:
            rig.log.on_append = _breaker(rig, cell.fault, after=read_back)
        with anyio.fail_after(WITHIN_S):
            published = await rig.publish("ana")
        rig.log.faults = LogFaults()
        rig.relay.new_connection_mode = ConnectionMode.PASS
        await anyio.sleep(LATE_S)
        _agrees(rig, published, "ana")


def _breaker(rig: ConfigRig, fault: Fault, *, after: bool) -> AppendHook:
    """Return a hook that breaks the log once, before or after an append's effect."""
    left = 1

    async def hook(has_effect: bool) -> None:
        nonlocal left
        if has_effect is not after or not left:
            return
        left -= 1
        match fault:
            case Fault.LOG_DOWN:
                rig.log.faults = LogFaults(down=True)
            case Fault.SILENT:
                rig.relay.stall_open_connections()
            case Fault.CUT:
                await rig.relay.close_open_connections()

    return hook


@proves((Row.CONFIG_APPEND, Row.CONFIG_READ_BACK), Fault.OPERATOR_RACE)
async def operators_race(cell: Cell) -> None:
    """Of changes made against one version exactly one is in force."""
    async with config_rig() as rig:
        if cell.row is Row.CONFIG_READ_BACK:
            rig.log.faults = LogFaults(drop_answers=2)
        told: dict[str, PublishResult | None] = {}

        async def change(operator: str) -> None:
            told[operator] = await rig.publish(operator)

        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(change, f"operator-{number}")
        assert len(rig.accepted()) == 1
        for operator, published in told.items():
            _agrees(rig, published, operator)
        outcomes = [each.outcome for each in told.values() if each]
        assert outcomes.count(ApplyOutcome.ACCEPTED) == 1


@proves(Row.CONFIG_APPEND, Fault.RESEND)
async def change_is_sent_again(cell: Cell) -> None:
    """The same change made again against the old version is a conflict."""
    async with config_rig() as rig:
        first = await rig.publish("ana")
        again = await rig.publish("ana")
        assert first is not None
        assert again is not None
        assert first.outcome is ApplyOutcome.ACCEPTED
        assert again.outcome is ApplyOutcome.CONFLICT
        assert rig.accepted() == ["ana"]
