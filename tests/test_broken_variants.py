"""The oracle reports a violation when one mechanism of the product is disabled.

Guards against an oracle that misses real failures.
"""

import time
from collections.abc import Iterable
from typing import Any

import anyio
import pytest

from chivespan import httpapi, jobfold, online
from chivespan.claimedcall import ClaimedCalls
from chivespan.configcopy import ConfigCopy
from chivespan.configfold import ConfigFold
from chivespan.engineapi import EngineRequest
from chivespan.engineclient import EngineClient, Token
from chivespan.envelope import OpenedRecord
from chivespan.errors import (
    ERROR_PROPERTIES,
    ChivespanError,
    ErrorKind,
    ErrorProperties,
)
from chivespan.jobfold import Chunk, JobFold
from chivespan.jobstore import JobStore
from chivespan.messages import ConfigSnapshot
from chivespan.records import ItemResult, ItemResults, JobCancel
from chivespan.streammaintenance import JobCarrier
from chivespan.targethttp import HttpResponse
from standins.engine import EngineFaults
from standins.plainservice import PlainFaults
from tests.batchfakes import OWNER
from tests.faults.batch_cells import batch_rig, submission
from tests.faults.claim_cells import BOOKINGS_PATH, KEY
from tests.faults.noderig import node_rig
from tests.faults.rig import online_rig
from tests.faults.staterig import TOKENS, PausePoint, job_plan, prompts_of, state_rig
from tests.oracle import ObservedJob

pytestmark = pytest.mark.anyio

Patch = pytest.MonkeyPatch


def _names(violations: Iterable[str]) -> set[str]:
    return {violation.split(":")[0] for violation in violations}


async def test_tokens_are_not_checked_for_their_request(monkeypatch: Patch) -> None:
    def unchecked(self: EngineClient, _: str, __: object, line: bytes) -> Token:
        event = self._event_decoder.decode(line)
        choice = event.choices[0]
        return Token(event.token_index, choice.text, choice.finish_reason)

    monkeypatch.setattr(EngineClient, "_decode_token", unchecked)
    async with online_rig() as rig:
        rig.inject_faults(EngineFaults("foreign", after_tokens=2, times=1))
        await rig.stream()
        assert _names(rig.violations()) == {"answer_matches_request"}


async def test_resumed_streams_restart_at_the_first_token(monkeypatch: Patch) -> None:

    def without_resume_tokens(**fields: Any) -> EngineRequest:
        return EngineRequest(**(fields | {"resume_tokens": []}))

    monkeypatch.setattr(online, "EngineRequest", without_resume_tokens)
    async with online_rig() as rig:
        rig.inject_faults(EngineFaults("break", after_tokens=3, times=1))
        await rig.stream()
        assert _names(rig.violations()) == {"answer_matches_request"}


async def test_all_calls_are_treated_as_idempotent(monkeypatch: Patch) -> None:
    monkeypatch.setattr(httpapi, "may_repeat", lambda *_: True)
    async with online_rig(plains=2) as rig:
        rig.plain.faults = PlainFaults("drop", times=3)
        await rig.book()
        assert "at_most_once" in _names(rig.violations())


async def test_lost_responses_are_reported_as_not_run(monkeypatch: Patch) -> None:
    for kind in (ErrorKind.TARGET_FAILED, ErrorKind.STREAM_BROKEN):
        monkeypatch.setitem(ERROR_PROPERTIES, kind, ErrorProperties(502, False))
    async with online_rig() as rig:
        rig.plain.faults = PlainFaults("drop")
        await rig.book()
        assert "refused_request_never_ran" in _names(rig.violations())


async def test_keyed_calls_run_without_a_claim(monkeypatch: Patch) -> None:
    async def unclaimed(
        self: ClaimedCalls, request: Any, plain: Any, _: str
    ) -> HttpResponse:
        return await self._online.call(request, plain)

    monkeypatch.setattr(ClaimedCalls, "call", unclaimed)
    async with node_rig(batch=True) as rig:
        rig.observations.not_repeatable.append("12 pigs")
        for _ in range(2):
            got = await rig.caller.call("POST", BOOKINGS_PATH, "12 pigs", KEY)
            rig.observations.calls.append(got)
        assert "at_most_once" in _names(rig.violations())


async def test_cancel_is_confirmed_but_not_applied(monkeypatch: Patch) -> None:
    monkeypatch.delitem(jobfold._HANDLERS, JobCancel)
    async with batch_rig() as rig:
        job = submission("not cancelled", items=200, tokens=20)
        accepted = await rig.caller.submit_until_accepted(job)
        path = f"/v1/batches/{accepted.job_id}/cancel"
        await rig.caller.caller.send("POST", path)
        seen = ObservedJob(
            accepted.job_id, job.prompts, 20, [], False, time.time() + 0.3
        )
        await rig.caller.wait_ended(accepted.job_id, 30)
        rig.site.observations.jobs.append(seen)
        assert _names(rig.site.violations()) == {"cancelled_job_stops"}


async def test_an_older_snapshot_replaces_a_newer_configuration(
    monkeypatch: Patch,
) -> None:
    def apply_any_snapshot(self: ConfigCopy, message: ConfigSnapshot) -> bool:
        self._fold = ConfigFold.from_snapshot(message.snapshot)
        return True

    async with node_rig() as rig:
        feed = rig.nodes[0].dispatcher.feed
        old = ConfigSnapshot(as_of=-1, snapshot=ConfigFold().snapshot())
        rig.record_config_offsets()
        feed.apply_snapshot(old)
        rig.record_config_offsets()
        assert rig.violations() == []
        monkeypatch.setattr(ConfigCopy, "apply_snapshot", apply_any_snapshot)
        feed.apply_snapshot(old)
        rig.record_config_offsets()
        assert _names(rig.violations()) == {"config_offset_never_decreases"}


async def test_results_are_not_carried_past_retention(monkeypatch: Patch) -> None:
    async def carry_nothing(self: JobCarrier, before: int) -> int:
        return 0

    monkeypatch.setattr(JobCarrier, "carry", carry_nothing)
    plan = job_plan("kept", ["route summary"])
    async with state_rig(workers=1) as rig:
        [worker] = rig.workers
        await worker.jobs.store.submit(plan)
        await rig.wait_ended(plan)
        reads = [await rig.read(worker, plan)]
        await rig.expire_log(worker)
        with pytest.raises(ChivespanError):
            await rig.read(worker, plan)
        reads.append([])
        seen = ObservedJob(plan.job_id, prompts_of(plan), TOKENS, reads)
        rig.observations.jobs.append(seen)
        assert "results_never_change" in _names(rig.violations())


async def test_later_results_of_an_item_are_kept(monkeypatch: Patch) -> None:
    original = jobfold._HANDLERS[ItemResults]

    def append_results(fold: JobFold, opened: OpenedRecord, record: ItemResults) -> Any:
        changed = original(fold, opened, record)
        job = fold.job(record.job_id)
        if changed is None and job is not None:
            job.chunks[record.chunk].results.append(opened.offset)
        return job

    async def all_results(self: JobStore, chunk: Chunk) -> list[ItemResult]:
        records = [await self._read_record(offset) for offset in chunk.results]
        return [one for each in records for one in getattr(each, "results", [])]

    monkeypatch.setitem(jobfold._HANDLERS, ItemResults, append_results)
    monkeypatch.setattr(JobStore, "chunk_results", all_results)
    plan = job_plan("doubled", ["first, stop after 1", "second"])
    async with state_rig() as rig:
        first, second = rig.workers
        rig.streams_released = anyio.Event()
        first.log.pause_at = PausePoint("ItemResults")
        await first.jobs.store.submit(plan)
        with anyio.fail_after(5):
            await first.log.reached.wait()
        second.own_all_partitions()
        await rig.wait(lambda: second.jobs.store.job(OWNER, plan.job_id).done == 1)
        first.log.resume()
        await first.jobs.wait_written()
        rig.streams_released.set()
        await rig.wait_ended(plan)
        reads = [await rig.read(second, plan)]
        seen = ObservedJob(plan.job_id, prompts_of(plan), TOKENS, reads)
        rig.observations.jobs.append(seen)
        assert _names(rig.violations()) == {"one_result_per_item"}
