"""Online requests to failing targets: complete responses and limited retries."""

from collections.abc import Callable, Coroutine
from contextlib import aclosing
from dataclasses import dataclass, field
from datetime import timedelta
from functools import cache
from typing import Any

import anyio
import pytest

from chivespan.clock import SystemClock
from chivespan.documents import Service, ServiceKind
from chivespan.engineclient import EngineClient
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import Grant, GrantRequest, Outcome
from chivespan.online import OnlineRequest, OnlineService
from chivespan.plainclient import PlainClient, PlainRequest
from chivespan.targethttp import TargetHttp
from standins.engine import EngineFaults, EngineStandIn
from standins.plainservice import PlainFaults, PlainStandIn
from standins.serving import serving

SERVICE = Service(
    name="booking-lm",
    kind=ServiceKind.model,
    models=["m"],
    first_token_ms=200,
    token_gap_ms=20,
)
PLAIN = Service(name="bookings", kind=ServiceKind.plain)
TOKENS = 12


@dataclass
class Slot:
    grant: Grant
    outcomes: list[Outcome]

    def release(
        self,
        outcome: Outcome,
        first_token: timedelta | None = None,
        token_gap: timedelta | None = None,
        tokens: int = 0,
    ) -> None:
        self.outcomes.append(outcome)


@dataclass
class Slots:
    """Grants the first target that isn't excluded; refuses if all are."""

    addresses: list[str]
    outcomes: list[Outcome] = field(default_factory=list)
    granted: int = 0

    async def acquire(self, request: GrantRequest) -> Slot:
        for address in self.addresses:
            if address not in request.excluded:
                self.granted += 1
                grant = Grant(
                    request_id=request.request_id,
                    grant_id=f"g{self.granted}",
                    target=address,
                    address=address,
                    lifetime_ms=1000,
                )
                return Slot(grant, self.outcomes)
        raise ChivespanError(ErrorKind.NO_TARGET, "all targets excluded")


@dataclass
class Retries:
    permits: int = 100

    def record_success(self) -> None: ...

    def try_spend(self) -> bool:
        self.permits -= 1
        return self.permits >= 0


def request(service: Service = SERVICE, seconds: float = 10) -> OnlineRequest:
    return OnlineRequest(
        request_id="r1",
        owner="o",
        service=service,
        deadline=SystemClock().monotonic() + timedelta(seconds=seconds),
        model="m" if service is SERVICE else "",
        prompt="Is the pickup of 12 pigs at 06:40 confirmed?",
        max_tokens=TOKENS,
    )


async def collect(online: OnlineService, online_request: OnlineRequest) -> list[str]:
    async with aclosing(online.stream(online_request)) as tokens:
        return [token.text async for token in tokens]


Work = Callable[[OnlineService, Slots], Coroutine[Any, Any, Any]]


def run(
    stand_ins: list[Any],
    work: Work,
    retries: Retries | None = None,
    unreachable: int = 0,
) -> Any:
    async def main() -> Any:
        async with serving(*stand_ins) as addresses, TargetHttp() as http:
            slots = Slots(
                [f"127.0.0.1:{1 + i}" for i in range(unreachable)] + addresses
            )
            online = OnlineService(
                slots,
                EngineClient(http),
                PlainClient(http),
                retries or Retries(),
                SystemClock(),
            )
            return await work(online, slots)

    return anyio.run(main)


@cache
def expected_tokens() -> list[str]:
    async def work(online: OnlineService, slots: Slots) -> list[str]:
        return await collect(online, request())

    answer: list[str] = run([EngineStandIn()], work)
    return answer


@pytest.mark.parametrize(
    "mode", ["error", "silent", "garbage", "break", "hang", "foreign"]
)
@pytest.mark.parametrize("after", [0, 5])
def test_response_is_complete_although_a_target_fails(mode: Any, after: int) -> None:
    engines = [EngineStandIn(), EngineStandIn()]
    engines[0].faults = EngineFaults(mode=mode, after_tokens=after)

    async def work(online: OnlineService, slots: Slots) -> list[str]:
        answer = await collect(online, request())
        assert slots.outcomes[-1] is Outcome.done
        assert len(slots.outcomes) == 2
        return answer

    assert run(engines, work) == expected_tokens()


def test_unreachable_target_is_skipped() -> None:
    async def work(online: OnlineService, slots: Slots) -> list[str]:
        answer = await collect(online, request())
        assert slots.outcomes == [Outcome.failed, Outcome.done]
        return answer

    assert run([EngineStandIn()], work, unreachable=1) == expected_tokens()


def test_request_to_a_silent_engine_is_cancelled() -> None:
    engines = [EngineStandIn(), EngineStandIn()]
    engines[0].faults = EngineFaults(mode="hang", after_tokens=2)

    async def work(online: OnlineService, slots: Slots) -> None:
        await collect(online, request())
        assert not engines[0].batch.running

    run(engines, work)


def test_refused_retry_keeps_the_may_have_run_error() -> None:
    engine = EngineStandIn()
    engine.faults = EngineFaults(mode="break", after_tokens=3)

    async def work(online: OnlineService, slots: Slots) -> ChivespanError:
        with pytest.raises(ChivespanError) as caught:
            await collect(online, request())
        return caught.value

    error = run([engine], work)
    assert error.kind is ErrorKind.STREAM_BROKEN
    assert error.properties.may_have_run


def test_retries_stop_when_the_budget_is_spent() -> None:
    engines = [EngineStandIn() for _ in range(3)]
    for engine in engines:
        engine.faults = EngineFaults(mode="error")

    async def work(online: OnlineService, slots: Slots) -> int:
        with pytest.raises(ChivespanError):
            await collect(online, request())
        return slots.granted

    assert run(engines, work, Retries(permits=1)) == 2


def test_disconnected_caller_frees_slot_and_engine() -> None:
    engine = EngineStandIn()

    async def work(online: OnlineService, slots: Slots) -> None:
        stream = online.stream(request())
        await anext(stream)
        await stream.aclose()
        assert slots.outcomes == [Outcome.cancelled]
        with anyio.fail_after(1):
            while engine.batch.running:
                await anyio.sleep(0.01)

    run([engine], work)


def plain_request(*, idempotent: bool) -> PlainRequest:
    return PlainRequest(
        request_id="r1",
        method="GET" if idempotent else "POST",
        path="/permits/7" if idempotent else "/bookings",
        content_type="application/json",
        body=b"" if idempotent else b'{"slot": "06:40"}',
        idempotent=idempotent,
    )


@pytest.mark.parametrize("mode", ["silent", "drop"])
def test_non_idempotent_call_is_sent_once(mode: Any) -> None:
    targets = [PlainStandIn(), PlainStandIn()]
    targets[0].faults = PlainFaults(mode=mode)

    async def work(online: OnlineService, slots: Slots) -> ChivespanError:
        with pytest.raises(ChivespanError) as caught:
            await online.call(request(PLAIN, 0.5), plain_request(idempotent=False))
        assert slots.granted == 1
        return caught.value

    assert run(targets, work).properties.may_have_run


def test_call_is_retried_if_no_byte_was_sent() -> None:
    async def work(online: OnlineService, slots: Slots) -> int:
        call = plain_request(idempotent=False)
        answer = await online.call(request(PLAIN), call)
        assert slots.outcomes == [Outcome.failed, Outcome.done]
        return answer.status

    assert run([PlainStandIn()], work, unreachable=1) < 300
