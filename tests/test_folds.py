"""Tests that the state of a fold depends only on the stream.

Replay from any snapshot, overlapping reads, late copies and voids must all yield the
state of a full replay; otherwise readers of the same stream diverge.
"""

from dataclasses import dataclass
from datetime import UTC, datetime

import anyio
from hypothesis import given
from hypothesis import strategies as st

from chivespan.claimfold import ClaimFold
from chivespan.codec import decode, encode
from chivespan.configfold import ConfigFold
from chivespan.configuration import DocumentId
from chivespan.documents import DocumentKind, Region
from chivespan.envelope import RecordReader, encode_record
from chivespan.errors import ErrorKind
from chivespan.jobfold import ENDED_PHASES, Job, JobFold
from chivespan.jobmessages import JobPhase
from chivespan.platformservices import LogRecord
from chivespan.records import (
    CarriedChunk,
    CarriedOutcome,
    CarriedResults,
    Claim,
    ClaimOutcome,
    ClaimsExpire,
    ConfigChange,
    DocumentChange,
    ItemResult,
    ItemResults,
    ItemStart,
    JobBegin,
    JobCancel,
    JobChunk,
    JobClose,
    JobExpire,
    JobItem,
    JobsState,
    RecordId,
    VoidRecord,
)
from chivespan.snapshots import Fold, SnapshotStore, replay
from tests.examplelimit import limit_processor_time
from tests.fakelog import FakeLog

WRITTEN_AT = datetime(2026, 1, 1, tzinfo=UTC)
NAMES = ("a", "b", "c")


@dataclass(frozen=True)
class Append:
    """One append: a new record, a copy of an earlier one, or a void."""

    writer: str
    record: object | None
    duplicate_of: int = 0
    void: bool = False


def region(name: str, base: int, *, removed: bool = False) -> DocumentChange:
    body = None if removed else encode(Region(name=name))
    return DocumentChange(kind="region", name=name, base_version=base, document=body)


def change(*changes: DocumentChange) -> ConfigChange:
    return ConfigChange(operator="o", reason="r", changes=list(changes))


def records_of(appends: list[Append]) -> list[LogRecord]:
    """Return the stream that results from appends, including copies and voids."""
    payloads: list[bytes] = []
    ids: list[RecordId] = []
    sequences: dict[str, int] = {}
    for append in appends:
        if append.duplicate_of and payloads and not append.void:
            payloads.append(payloads[append.duplicate_of % len(payloads)])
            continue
        sequence = sequences.get(append.writer, 0) + 1
        sequences[append.writer] = sequence
        record_id = RecordId(writer=append.writer, sequence=sequence)
        record = append.record
        if append.void or record is None:
            old = ids[append.duplicate_of % len(ids)] if ids else record_id
            record = VoidRecord(writer=old.writer, sequence=old.sequence)
        ids.append(record_id)
        payloads.append(encode_record(record, record_id, WRITTEN_AT))
    return [LogRecord(offset, payload) for offset, payload in enumerate(payloads)]


def append_sequences(
    records: st.SearchStrategy[object],
) -> st.SearchStrategy[list[Append]]:
    append = st.builds(
        Append,
        writer=st.sampled_from(("w1", "w2")),
        record=records,
        duplicate_of=st.one_of(st.just(0), st.just(0), st.integers(0, 30)),
        void=st.sampled_from((False, False, False, True)),
    )
    return st.lists(append, max_size=30)


CONFIG_CHANGES = st.lists(
    st.builds(
        region,
        st.sampled_from(NAMES),
        st.integers(0, 12),
        removed=st.sampled_from((False, False, True)),
    ),
    min_size=1,
    max_size=3,
).map(lambda changes: change(*changes))


def config_state(records: list[LogRecord]) -> ConfigFold:
    fold = ConfigFold()
    for record in records:
        fold.apply(record)
    return fold


@given(append_sequences(CONFIG_CHANGES), st.data())
@limit_processor_time
def test_config_restored_from_any_snapshot_equals_a_full_replay(
    appends: list[Append], data: st.DataObject
) -> None:
    records = records_of(appends)
    expected = config_state(records)
    cut = data.draw(st.integers(0, len(records)))
    restored = ConfigFold.from_snapshot(config_state(records[:cut]).snapshot())
    overlap = data.draw(st.integers(0, cut))
    for record in records[overlap:]:
        restored.apply(record)
    assert restored.digest == expected.digest
    assert restored.configuration == expected.configuration


@given(append_sequences(CONFIG_CHANGES))
@limit_processor_time
def test_config_versions_only_increase_and_changes_are_atomic(
    appends: list[Append],
) -> None:
    fold = ConfigFold()
    highest = dict.fromkeys(NAMES, 0)
    for record in records_of(appends):
        before = dict(fold.configuration.regions)
        entry = fold.apply(record)
        if entry is None or not entry.accepted:
            assert fold.configuration.regions == before
            continue
        for changed in entry.changes:
            if changed.removed:
                assert changed.name not in fold.configuration.regions
                continue
            assert changed.version > highest[changed.name]
            highest[changed.name] = changed.version


def test_concurrent_change_by_another_operator_is_a_conflict() -> None:
    appends = [
        Append("w1", change(region("a", 0))),
        Append("w1", change(region("a", 1), region("b", 0))),
        Append("w2", change(region("a", 1, removed=True))),
        Append("w2", change(region("a", 2, removed=True))),
        Append("w1", change(region("a", 0))),
    ]
    fold = config_state(records_of(appends))
    assert [entry.accepted for entry in fold.history] == [True, True, False, True, True]
    assert fold.history[2].error == ErrorKind.VERSION_CONFLICT.value
    assert "at version 2" in fold.history[2].detail
    assert fold.configuration.version(DocumentId(DocumentKind.region, "a")) == 5


JOBS = st.sampled_from(("j1", "j2"))
DIGESTS = st.sampled_from(("d1", "d1", "d2"))
CHUNKS = st.integers(0, 1)
INDEXES = st.integers(0, 2)
OFFSETS = st.integers(0, 12)
ITEM = JobItem(item_key="k", body=b"")
ITEMS = st.just([ITEM, ITEM])
RESULTS = st.lists(
    st.builds(
        ItemResult,
        index=INDEXES,
        ok=st.booleans(),
        attempts=st.just(1),
        body=st.sampled_from((b"x", b"y")),
    ),
    min_size=1,
    max_size=3,
)
JOB_RECORDS: st.SearchStrategy[object] = st.one_of(
    st.builds(
        JobBegin,
        job_id=JOBS,
        owner=st.just("o"),
        job_key=st.just("k"),
        service=st.just("s"),
        model=st.just("m"),
        items=st.sampled_from((2, 4)),
        chunks=st.sampled_from((1, 2)),
        digest=DIGESTS,
    ),
    st.builds(JobChunk, job_id=JOBS, chunk=CHUNKS, items=ITEMS, digest=DIGESTS),
    st.builds(JobChunk, job_id=JOBS, chunk=CHUNKS, items=ITEMS, digest=DIGESTS),
    st.builds(JobClose, job_id=JOBS, digest=DIGESTS),
    st.builds(ItemResults, job_id=JOBS, chunk=CHUNKS, results=RESULTS),
    st.builds(ItemResults, job_id=JOBS, chunk=CHUNKS, results=RESULTS),
    st.builds(ItemStart, job_id=JOBS, chunk=CHUNKS, index=INDEXES),
    st.builds(JobCancel, job_id=JOBS, reason=st.just("")),
    st.builds(
        CarriedChunk, job_id=JOBS, chunk=CHUNKS, from_offset=OFFSETS, items=ITEMS
    ),
    st.builds(
        CarriedResults,
        job_id=JOBS,
        chunk=CHUNKS,
        from_offsets=st.lists(OFFSETS, max_size=2),
        results=RESULTS,
    ),
    st.builds(JobExpire, job_id=JOBS, begin_offset=OFFSETS),
)


def accepted_job(job_id: str = "j1") -> list[Append]:
    begin = JobBegin(
        job_id=job_id,
        owner="o",
        job_key="k",
        service="s",
        model="m",
        items=4,
        chunks=2,
        digest="d1",
    )
    chunks = [
        JobChunk(job_id=job_id, chunk=n, items=[ITEM, ITEM], digest="d1")
        for n in range(2)
    ]
    close = JobClose(job_id=job_id, digest="d1")
    return [Append("w1", one) for one in (begin, *chunks, close)]


# Each stream starts with an accepted job, so that most generated records take effect.
JOB_STREAMS = append_sequences(JOB_RECORDS).map(
    lambda appends: accepted_job() + appends
)


def apply_all(fold: Fold, records: list[LogRecord]) -> None:
    for record in records:
        fold.apply(record)


@given(JOB_STREAMS, st.data())
@limit_processor_time
def test_jobs_restored_from_any_snapshot_equal_a_full_replay(
    appends: list[Append], data: st.DataObject
) -> None:
    records = records_of(appends)
    expected, prefix_fold = JobFold(), JobFold()
    apply_all(expected, records)
    cut = data.draw(st.integers(0, len(records)))
    apply_all(prefix_fold, records[:cut])
    restored = JobFold.from_snapshot(prefix_fold.snapshot())
    apply_all(restored, records[data.draw(st.integers(0, cut)) :])
    assert restored.digest == expected.digest
    assert [job.state() for job in restored.jobs()] == [
        job.state() for job in expected.jobs()
    ]


def read_results(job: Job, chunk: int, records: list[LogRecord]) -> dict[int, bytes]:
    """Return the first result of each item at the offsets in the chunk's index."""
    found: dict[int, bytes] = {}
    for offset in job.chunks[chunk].results:
        opened = RecordReader(offset - 1).read(records[offset])
        assert opened is not None
        assert isinstance(opened.record, ItemResults | CarriedResults)
        for result in opened.record.results:
            found.setdefault(result.index, result.body)
    return found


@given(
    append_sequences(
        JOB_RECORDS.filter(lambda one: not isinstance(one, CarriedResults))
    )
)
@limit_processor_time
def test_phases_and_results_of_a_job_are_never_reverted(appends: list[Append]) -> None:
    records = records_of(accepted_job() + appends)
    fold = JobFold()
    phases: dict[int, JobPhase] = {}
    results: dict[tuple[int, int, int], bytes] = {}
    for record in records:
        fold.apply(record)
        for job in fold.jobs():
            before = phases.get(job.begin_offset, JobPhase.submitting)
            assert before not in ENDED_PHASES or job.phase is before
            assert before is JobPhase.submitting or job.phase is not before.submitting
            phases[job.begin_offset] = job.phase
            for number, chunk in enumerate(job.chunks):
                read = read_results(job, number, records)
                for index in range(chunk.count):
                    assert chunk.is_done(index) == (index in read)
                for index, body in read.items():
                    known = (job.begin_offset, number, index)
                    assert results.setdefault(known, body) == body


def test_conflicting_submission_with_the_same_key_has_no_effect() -> None:
    other = JobBegin(
        job_id="j1",
        owner="o",
        job_key="k",
        service="s",
        model="m",
        items=1,
        chunks=1,
        digest="d2",
    )
    appends = accepted_job()
    appends[1:1] = [
        Append("w2", other),
        Append("w2", JobChunk(job_id="j1", chunk=0, items=[ITEM], digest="d2")),
        Append("w2", JobClose(job_id="j1", digest="d2")),
    ]
    fold = JobFold()
    apply_all(fold, records_of(appends))
    job = fold.job("j1")
    assert job is not None
    assert (job.begin.digest, job.phase) == ("d1", JobPhase.accepted)
    assert [chunk.offset for chunk in job.chunks] == [4, 5]


def test_duplicate_results_and_results_after_a_cancel_are_ignored() -> None:
    def result(index: int, body: bytes) -> ItemResult:
        return ItemResult(index=index, ok=True, attempts=1, body=body)

    def results(*found: ItemResult) -> ItemResults:
        return ItemResults(job_id="j1", chunk=0, results=list(found))

    records = records_of(
        [
            *accepted_job(),
            Append("w1", results(result(0, b"first"))),
            Append("w2", results(result(0, b"second"), result(1, b"other"))),
            Append("w1", JobCancel(job_id="j1", reason="")),
            Append("w2", results(result(0, b"late"))),
        ]
    )
    fold = JobFold()
    apply_all(fold, records)
    job = fold.job("j1")
    assert job is not None
    assert read_results(job, 0, records) == {0: b"first", 1: b"other"}
    assert (job.phase, job.done) == (JobPhase.cancelled, 2)


OWNERS = st.just("o")
KEYS = st.sampled_from(("k1", "k2"))
OUTCOMES = st.builds(
    ClaimOutcome,
    owner=OWNERS,
    key=KEYS,
    known=st.booleans(),
    ran=st.sampled_from((True, True, False)),
    claim_offset=OFFSETS,
    body=st.just(b"a"),
)
CLAIM_RECORDS: st.SearchStrategy[object] = st.one_of(
    st.builds(
        Claim,
        owner=OWNERS,
        key=KEYS,
        digest=DIGESTS,
        service=st.just("s"),
        path=st.just("/"),
        claimant=st.sampled_from(("c1", "c2")),
    ),
    OUTCOMES,
    st.builds(CarriedOutcome, from_offset=OFFSETS, outcome=OUTCOMES),
    st.just(ClaimsExpire(before=datetime(2025, 1, 1, tzinfo=UTC))),
)


@given(append_sequences(CLAIM_RECORDS), st.data())
@limit_processor_time
def test_claims_keep_their_first_holder_and_outcome(
    appends: list[Append], data: st.DataObject
) -> None:
    records = records_of(appends)
    fold = ClaimFold()
    cut = data.draw(st.integers(0, len(records)))
    restored = ClaimFold()
    for record in records:
        if record.offset == cut:
            restored = ClaimFold.from_snapshot(fold.snapshot())
        held = {key: fold.claim("o", key) for key in ("k1", "k2")}
        known = {key: one.known for key, one in held.items() if one}
        fold.apply(record)
        for key, one in held.items():
            after = fold.claim("o", key)
            if one is None:
                continue
            assert after is one or (after is None and not known[key])
            assert one.known or not known[key]
    apply_all(restored, records[min(cut, restored.offset + 1) :])
    assert restored.digest == fold.digest


@given(
    JOB_STREAMS,
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40)), max_size=6),
    st.integers(0, 40),
)
@limit_processor_time
def test_new_reader_after_retention_has_the_state_of_a_full_replay(
    appends: list[Append], snapshots: list[tuple[int, int]], oldest: int
) -> None:
    """Snapshots of any offset are appended in any order, as by paused writers."""

    async def run() -> None:
        log, stream = FakeLog(), "jobs.0"
        records = records_of(appends)
        log.put(stream, [record.payload for record in records])
        covered_offsets = []
        for number, (as_of, _) in enumerate(sorted(snapshots, key=lambda one: one[1])):
            fold = JobFold()
            apply_all(fold, records[:as_of])
            writer = SnapshotStore(log, stream, f"w{number}")
            covered_offsets.append(await writer.write(fold, WRITTEN_AT))
        newest = max(covered_offsets, default=-1)
        log.expire(stream, min(oldest, newest + 1))
        reader = SnapshotStore(log, stream, "reader")
        new_reader = await reader.load(JobFold, JobFold.from_snapshot)
        await replay(log, stream, new_reader, len(records))
        expected = JobFold()
        apply_all(expected, records)
        assert new_reader.digest == expected.digest

    anyio.run(run)


@given(
    append_sequences(CONFIG_CHANGES),
    JOB_STREAMS,
    st.lists(st.integers(0, 60), max_size=8),
)
@limit_processor_time
def test_late_copies_change_nothing(
    changes: list[Append], jobs: list[Append], copies: list[int]
) -> None:
    config_records, job_records = records_of(changes), records_of(jobs)
    config, fold = ConfigFold(), JobFold()
    apply_all(config, config_records)
    apply_all(fold, job_records)
    stored, history = dict(config.configuration.stored), config.history
    snapshot = decode(fold.snapshot(), JobsState)
    for number in copies:
        for target, records in ((config, config_records), (fold, job_records)):
            if records:
                payload = records[number % len(records)].payload
                target.apply(LogRecord(target.offset + 1, payload))
    assert (config.configuration.stored, config.history) == (stored, history)
    assert decode(fold.snapshot(), JobsState).jobs == snapshot.jobs
