"""Keyed requests run at most once; resubmissions get the recorded outcome."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import anyio
import pytest

from chivespan.batchlinks import BatchLinks
from chivespan.batchserver import BatchServer
from chivespan.claimclient import ClaimClient, GrantedClaim, RecordedAnswer
from chivespan.claimfold import claim_partition, claims_stream
from chivespan.clock import ManualClock, SystemClock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobclient import JobClient
from chivespan.jobfold import jobs_stream
from chivespan.jobmessages import JobPhase
from chivespan.linkmessages import Program
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.partitions import Partitions
from chivespan.peerlink import LinkEnd, LinkOptions, listen, new_hello
from chivespan.targethttp import HttpResponse
from tests.batchfakes import OWNER, SETTINGS, Site, model_plan

pytestmark = pytest.mark.anyio

KEY = "booking-7"
ANSWER = HttpResponse(201, "text/plain", b"confirmed")
PARTITION = claim_partition(OWNER, KEY)


@asynccontextmanager
async def serving(partitions: Partitions) -> AsyncIterator[BatchLinks]:
    """Serve a worker's partitions over a real link, and yield an entry's links."""
    options = LinkOptions.from_settings(SETTINGS)
    ends = {
        program: LinkEnd(
            new_hello(SETTINGS, program), options, SystemClock(), Metrics()
        )
        for program in (Program.batch, Program.entry)
    }
    handle = BatchServer(partitions, Metrics()).handle
    async with listen(SETTINGS.vm, 0, ends[Program.batch], handle) as port:
        settings = replace(SETTINGS, batch_port=port)
        end = ends[Program.entry]
        links = BatchLinks(end, settings, NodeView(end, settings))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(links.run)
            yield links
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def claim_client(site: Site) -> AsyncIterator[ClaimClient]:
    async with site.partitions() as partitions, serving(partitions) as links:
        yield ClaimClient(links)


async def claim(
    client: ClaimClient, digest: str = "d"
) -> GrantedClaim | RecordedAnswer:
    return await client.claim(OWNER, KEY, digest, "bookings", "/bookings")


async def claim_granted(client: ClaimClient) -> GrantedClaim:
    found = await claim(client)
    assert isinstance(found, GrantedClaim)
    return found


async def claim_error(client: ClaimClient, digest: str = "d") -> ErrorKind:
    with pytest.raises(ChivespanError) as refused:
        await claim(client, digest)
    return refused.value.kind


async def test_one_of_many_claims_on_two_vms_is_granted() -> None:
    site = Site()
    outcomes: list[str] = []
    async with claim_client(site) as one, claim_client(site) as other:

        async def try_claim(client: ClaimClient) -> None:
            try:
                await claim(client)
            except ChivespanError as error:
                outcomes.append(error.kind.value)
            else:
                outcomes.append("granted")

        async with anyio.create_task_group() as tasks:
            for client in (one, other) * 5:
                tasks.start_soon(try_claim, client)
    assert sorted(outcomes) == ["granted"] + ["outcome_unknown"] * 9


async def test_resubmission_at_another_vm_gets_the_recorded_answer() -> None:
    site = Site()
    async with claim_client(site) as one:
        await one.record_answer(await claim_granted(one), ANSWER)
    async with claim_client(site) as other:
        assert await claim(other) == RecordedAnswer(ANSWER)
        assert await claim_error(other, "other content") is ErrorKind.KEY_REUSED


async def test_claim_without_an_outcome_is_never_granted_again() -> None:
    site = Site()
    async with claim_client(site) as one:
        held = await claim_granted(one)
        async with claim_client(site) as other:
            assert await claim_error(other) is ErrorKind.OUTCOME_UNKNOWN
        await one.record_unknown(held)
    async with claim_client(site) as other:
        assert await claim_error(other) is ErrorKind.OUTCOME_UNKNOWN


async def test_released_claim_is_granted_again_and_ignores_late_outcomes() -> None:
    site = Site()
    async with claim_client(site) as one, claim_client(site) as other:
        first = await claim_granted(one)
        await one.record_not_run(first)
        second = await claim_granted(other)
        await one.record_not_run(first)
        assert second.claim_offset > first.claim_offset
        assert await claim_error(one) is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize("fault", ["lost_replies", "dropped", "delayed_appends"])
async def test_unanswered_append_of_a_claim_is_resolved(fault: str) -> None:
    site = Site()
    async with claim_client(site) as one:
        setattr(site.log, fault, 2)
        await claim_granted(one)
        site.log.apply_delayed()
        assert await claim_error(one) is ErrorKind.OUTCOME_UNKNOWN


async def test_log_outage_refuses_claims_and_does_not_deny_a_known_execution() -> None:
    site = Site()
    async with claim_client(site) as one:
        await one.record_answer(await claim_granted(one), ANSWER)
        site.log.unreachable = True
        assert await claim_error(one) is ErrorKind.OUTCOME_UNKNOWN
        with pytest.raises(ChivespanError) as refused, anyio.fail_after(2):
            await one.claim(OWNER, "other", "d", "bookings", "/bookings")
        assert refused.value.kind is ErrorKind.LOG_UNAVAILABLE
        assert not refused.value.properties.may_have_run
        site.log.unreachable = False


async def test_recorded_answers_outlive_log_retention_until_they_expire() -> None:
    clock = ManualClock()
    site, stream = Site(clock=clock), claims_stream(PARTITION)
    async with site.partitions() as partitions, serving(partitions) as links:
        client = ClaimClient(links)
        await client.record_answer(await claim_granted(client), ANSWER)
        part = partitions.claims(PARTITION)
        clock.advance(timedelta(hours=20))
        await part.maintenance.run_pass()
        carried = site.log.records(stream)[-1].offset
        await part.follower.wait_applied(carried)
        clock.advance(timedelta(hours=4))
        await part.maintenance.run_pass()
        site.log.expire(stream, carried)
    async with site.partitions() as partitions, serving(partitions) as links:
        client = ClaimClient(links)
        assert await claim(client) == RecordedAnswer(ANSWER)
        clock.advance(timedelta(days=8))
        part = partitions.claims(PARTITION)
        await part.maintenance.run_pass()
        await part.follower.wait_applied(site.log.records(stream)[-1].offset)
        await claim_granted(client)


async def test_job_is_submitted_and_read_over_the_link() -> None:
    site = Site()
    plan = model_plan([f"note {n}" for n in range(1200)])
    async with site.partitions() as partitions, serving(partitions) as links:
        partitions.set_owned(frozenset({jobs_stream(0)}))
        client = JobClient(links, partitions=1)
        await client.submit(plan)
        with anyio.fail_after(20):
            while (await client.state(OWNER, plan.job_id)).phase is JobPhase.accepted:
                await anyio.sleep(0.02)
        found = [result async for result in client.results(OWNER, plan.job_id)]
        states = await client.states(OWNER)
        with pytest.raises(ChivespanError) as foreign:
            await client.state("another", plan.job_id)
    assert [one.index for one in found] == list(range(1200))
    assert len(plan.chunks) == 3
    assert [one.done for one in states] == [1200]
    assert foreign.value.kind is ErrorKind.NOT_FOUND
