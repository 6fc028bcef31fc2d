"""Faults while configuration changes are appended, and races between operators."""

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

LATE_EFFECT_WAIT_S = 0.6
TIMEOUT_S = 15.0


@dataclass
class ConfigRig:
    """A log behind a relay, and operators that append to it."""

    log: LogStandIn
    relay: Relay
    url: str

    async def publish(self, operator: str, base: int = 0) -> PublishResult | None:
        """Publish a change of one region; return None if the log is unavailable."""
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
        """Return the configuration obtained by folding the whole log."""
        fold = ConfigFold()
        for offset, payload in enumerate(self.log.records(CONFIG_STREAM)):
            fold.apply(LogRecord(offset, payload))
        return fold

    def accepted_operators(self) -> list[str]:
        """Return the operators of the accepted changes, in order."""
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


def _assert_outcome_in_log(
    rig: ConfigRig, published: PublishResult | None, operator: str
) -> None:
    """Assert that the outcome reported to the operator agrees with the log."""
    in_force = operator in rig.accepted_operators()
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
            rig.log.on_append = _fault_hook(rig, cell.fault, after=read_back)
        with anyio.fail_after(TIMEOUT_S):
            published = await rig.publish("ana")
        rig.log.faults = LogFaults()
        rig.relay.new_connection_mode = ConnectionMode.PASS
        await anyio.sleep(LATE_EFFECT_WAIT_S)
        _assert_outcome_in_log(rig, published, "ana")


def _fault_hook(rig: ConfigRig, fault: Fault, *, after: bool) -> AppendHook:
    """Return a hook that injects a fault once, before or after an append's effect."""
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
    """Of concurrent changes based on one version exactly one is accepted."""
    async with config_rig() as rig:
        if cell.row is Row.CONFIG_READ_BACK:
            rig.log.faults = LogFaults(drop_answers=2)
        outcomes_by_operator: dict[str, PublishResult | None] = {}

        async def change(operator: str) -> None:
            outcomes_by_operator[operator] = await rig.publish(operator)

        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(change, f"operator-{number}")
        assert len(rig.accepted_operators()) == 1
        for operator, published in outcomes_by_operator.items():
            _assert_outcome_in_log(rig, published, operator)
        outcomes = [each.outcome for each in outcomes_by_operator.values() if each]
        assert outcomes.count(ApplyOutcome.ACCEPTED) == 1


@proves(Row.CONFIG_APPEND, Fault.RESEND)
async def change_is_sent_again(cell: Cell) -> None:
    """Repeating a change with the same base version is a conflict."""
    async with config_rig() as rig:
        first = await rig.publish("ana")
        again = await rig.publish("ana")
        assert first is not None
        assert again is not None
        assert first.outcome is ApplyOutcome.ACCEPTED
        assert again.outcome is ApplyOutcome.CONFLICT
        assert rig.accepted_operators() == ["ana"]
