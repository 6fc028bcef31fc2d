import anyio
import pytest

from chivespan.clock import ManualClock
from chivespan.configuration import Configuration, DocumentId, StoredDocument
from chivespan.documents import DocumentKind, Rule, Runner, WorkClassRule
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import Grant, GrantRelease, GrantRequest, Outcome, WorkClass
from chivespan.policies import Policies
from chivespan.scheduler import SliceScheduler
from chivespan.slices import Slice

POLICIES = Policies()


class Bench:
    """One scheduler over targets of two slots, with a clock and a list of revokes."""

    def __init__(self, targets: int = 1, *, settled: bool = True) -> None:
        self.clock = ManualClock()
        self.revoked: list[str] = []
        self.configuration = Configuration()
        for work_class in WorkClassRule:
            rule = Rule(
                name=work_class.value,
                owner="haulier",
                service="lm",
                work_class=work_class,
            )
            document_id = DocumentId(DocumentKind.rule, rule.name)
            self.configuration.put(document_id, StoredDocument(rule, 1, 0))
        self.part = Slice("lm/a/0", "lm", "a", tuple(map(runner, range(targets))))
        self.scheduler = SliceScheduler(
            self.part,
            self.configuration,
            self.clock,
            POLICIES,
            lambda _holder, grant_id: self.revoked.append(grant_id),
        )
        if settled:
            self.clock.advance(POLICIES.grant_lifetime)
            self.scheduler.expire()

    async def acquire(self, name: str, work_class: WorkClass) -> Grant:
        request = GrantRequest(
            request_id=name,
            slice_id=self.part.slice_id,
            service="lm",
            model="m",
            owner="haulier",
            work_class=work_class,
            deadline_ms=10_000,
            tokens=10,
        )
        return await self.scheduler.acquire(request, "10.0.0.1/entry")

    def release(self, grant: Grant) -> None:
        self.scheduler.release(
            GrantRelease(grant_id=grant.grant_id, outcome=Outcome.done, tokens=10)
        )


def runner(index: int) -> Runner:
    return Runner(
        name=f"r{index}",
        service="lm",
        address=f"127.0.1.{index}:80",
        data_centre="a",
        slots=2,
        model="m",
    )


@pytest.mark.anyio
async def test_online_takes_a_batch_slot_back_and_batch_resumes() -> None:
    bench = Bench()
    batch = [await bench.acquire(f"b{i}", WorkClass.batch) for i in range(2)]
    granted: list[Grant] = []

    async def online() -> None:
        granted.append(await bench.acquire("o", WorkClass.online))

    async with anyio.create_task_group() as group:
        group.start_soon(online)
        await anyio.wait_all_tasks_blocked()
        assert bench.revoked == [batch[1].grant_id]
        bench.release(batch[1])
    assert granted[0].target == "r0"


@pytest.mark.anyio
async def test_owner_without_a_rule_is_refused_at_once() -> None:
    bench = Bench()
    request = GrantRequest(
        request_id="o",
        slice_id="lm/a/0",
        service="lm",
        model="m",
        owner="stranger",
        work_class=WorkClass.online,
        deadline_ms=1000,
        tokens=1,
    )
    with pytest.raises(ChivespanError) as refused:
        await bench.scheduler.acquire(request, "10.0.0.1/entry")
    assert refused.value.kind is ErrorKind.NO_RULE
