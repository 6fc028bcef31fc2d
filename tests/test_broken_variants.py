"""The oracle catches the product with one mechanism at a time switched off."""

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
from chivespan.errors import ANSWERS, Answer, ChivespanError, ErrorKind
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
from tests.faults.claim_cells import KEY, PATH
from tests.faults.noderig import node_rig
from tests.faults.rig import online_rig
from tests.faults.staterig import TOKENS, At, job_plan, prompts_of, state_rig
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

    monkeypatch.setattr(EngineClient, "_token", unchecked)
    async with online_rig() as rig:
        rig.inject_faults(EngineFaults("foreign", after_tokens=2, times=1))
        await rig.ask()
        assert _names(rig.violations()) == {"whole_and_own"}


async def test_resumed_streams_start_again(monkeypatch: Patch) -> None:

    def forgetful(**fields: Any) -> EngineRequest:
        return EngineRequest(**(fields | {"resume_tokens": []}))

    monkeypatch.setattr(online, "EngineRequest", forgetful)
    async with online_rig() as rig:
        rig.inject_faults(EngineFaults("break", after_tokens=3, times=1))
        await rig.ask()
        assert _names(rig.violations()) == {"whole_and_own"}


async def test_all_calls_are_taken_for_repeatable(monkeypatch: Patch) -> None:
    monkeypatch.setattr(httpapi, "may_repeat", lambda *_: True)
    async with online_rig(plains=2) as rig:
        rig.plain.faults = PlainFaults("drop", times=3)
        await rig.book()
        assert "at_most_once" in _names(rig.violations())


async def test_lost_answers_are_called_not_run(monkeypatch: Patch) -> None:
    for kind in (ErrorKind.TARGET_FAILED, ErrorKind.STREAM_BROKEN):
        monkeypatch.setitem(ANSWERS, kind, Answer(502, False))
    async with online_rig() as rig:
        rig.plain.faults = PlainFaults("drop")
        await rig.book()
        assert "refused_was_not_run" in _names(rig.violations())


async def test_keyed_calls_run_without_a_claim(monkeypatch: Patch) -> None:
    async def unclaimed(
        self: ClaimedCalls, request: Any, plain: Any, _: str
    ) -> HttpResponse:
        return await self._online.call(request, plain)

    monkeypatch.setattr(ClaimedCalls, "call", unclaimed)
    async with node_rig(batch=True) as rig:
        rig.observations.not_repeatable.append("12 pigs")
        for _ in range(2):
            got = await rig.caller.call("POST", PATH, "12 pigs", KEY)
            rig.observations.calls.append(got)
        assert "at_most_once" in _names(rig.violations())


async def test_a_cancel_is_answered_and_not_applied(monkeypatch: Patch) -> None:
    monkeypatch.delitem(jobfold._HANDLERS, JobCancel)
    async with batch_rig() as rig:
        wanted = submission("not cancelled", items=200, tokens=20)
        accepted = await rig.caller.submit_until_accepted(wanted)
        path = f"/v1/batches/{accepted.job_id}/cancel"
        await rig.caller.caller.send("POST", path)
        seen = ObservedJob(
            accepted.job_id, wanted.prompts, 20, [], False, time.time() + 0.3
        )
        await rig.caller.wait_ended(accepted.job_id, 30)
        rig.site.observations.jobs.append(seen)
        assert _names(rig.site.violations()) == {"cancelled_job_stops"}


async def test_an_older_snapshot_replaces_a_newer_configuration(
    monkeypatch: Patch,
) -> None:
    def careless(self: ConfigCopy, message: ConfigSnapshot) -> bool:
        self._fold = ConfigFold.from_snapshot(message.snapshot)
        return True

    async with node_rig() as rig:
        feed = rig.nodes[0].dispatcher.feed
        old = ConfigSnapshot(as_of=-1, snapshot=ConfigFold().snapshot())
        rig.note_versions()
        feed.apply_snapshot(old)
        rig.note_versions()
        assert rig.violations() == []
        monkeypatch.setattr(ConfigCopy, "apply_snapshot", careless)
        feed.apply_snapshot(old)
        rig.note_versions()
        assert _names(rig.violations()) == {"versions_only_rise"}


async def test_results_are_not_carried_past_retention(monkeypatch: Patch) -> None:
    async def carry_nothing(self: JobCarrier, before: int) -> int:
        return 0

    monkeypatch.setattr(JobCarrier, "carry", carry_nothing)
    plan = job_plan("kept", ["route summary"])
    async with state_rig(workers=1) as rig:
        [worker] = rig.workers
        await worker.jobs.store.submit(plan)
        await rig.ended(plan)
        reads = [await rig.read(worker, plan)]
        await rig.pass_retention(worker)
        with pytest.raises(ChivespanError):
            await rig.read(worker, plan)
        reads.append([])
        seen = ObservedJob(plan.job_id, prompts_of(plan), TOKENS, reads)
        rig.observations.jobs.append(seen)
        assert "results_stay" in _names(rig.violations())


async def test_later_results_of_an_item_count_too(monkeypatch: Patch) -> None:
    original = jobfold._HANDLERS[ItemResults]

    def careless(fold: JobFold, opened: OpenedRecord, record: ItemResults) -> Any:
        changed = original(fold, opened, record)
        job = fold.job(record.job_id)
        if changed is None and job is not None:
            job.chunks[record.chunk].results.append(opened.offset)
        return job

    async def all_results(self: JobStore, chunk: Chunk) -> list[ItemResult]:
        records = [await self._read_record(offset) for offset in chunk.results]
        return [one for each in records for one in getattr(each, "results", [])]

    monkeypatch.setitem(jobfold._HANDLERS, ItemResults, careless)
    monkeypatch.setattr(JobStore, "chunk_results", all_results)
    plan = job_plan("doubled", ["first, stop after 1", "second"])
    async with state_rig() as rig:
        first, second = rig.workers
        rig.free = anyio.Event()
        first.door.stop_at = At("ItemResults")
        await first.jobs.store.submit(plan)
        with anyio.fail_after(5):
            await first.door.stopped.wait()
        second.own()
        await rig.wait(lambda: second.jobs.store.job(OWNER, plan.job_id).done == 1)
        first.door.open()
        await first.jobs.wait_written()
        rig.free.set()
        await rig.ended(plan)
        reads = [await rig.read(second, plan)]
        seen = ObservedJob(plan.job_id, prompts_of(plan), TOKENS, reads)
        rig.observations.jobs.append(seen)
        assert _names(rig.violations()) == {"one_result_per_item"}
