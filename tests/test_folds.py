"""Folds give one state for one history, however it reaches the reader."""

from dataclasses import dataclass
from datetime import UTC, datetime

from hypothesis import given
from hypothesis import strategies as st

from chivespan.codec import encode
from chivespan.configfold import ConfigFold
from chivespan.configuration import DocumentId
from chivespan.documents import DocumentKind, Region
from chivespan.envelope import encode_record
from chivespan.errors import ErrorKind
from chivespan.platform import LogRecord
from chivespan.records import ConfigChange, DocumentChange, RecordId, VoidRecord

WRITTEN_AT = datetime(2026, 1, 1, tzinfo=UTC)
NAMES = ("a", "b", "c")


@dataclass(frozen=True)
class Step:
    """One thing that reaches the log: a record by a writer, or an old one again."""

    writer: str
    record: object | None
    copy_of: int = 0
    void: bool = False


def region(name: str, base: int, *, removed: bool = False) -> DocumentChange:
    body = None if removed else encode(Region(name=name))
    return DocumentChange(kind="region", name=name, base_version=base, document=body)


def change(*changes: DocumentChange) -> ConfigChange:
    return ConfigChange(operator="o", reason="r", changes=list(changes))


def log_of(steps: list[Step]) -> list[LogRecord]:
    """Return the stream that writers leave behind, copies and voids among it."""
    payloads: list[bytes] = []
    ids: list[RecordId] = []
    sequences: dict[str, int] = {}
    for step in steps:
        if step.copy_of and payloads and not step.void:
            payloads.append(payloads[step.copy_of % len(payloads)])
            continue
        sequence = sequences.get(step.writer, 0) + 1
        sequences[step.writer] = sequence
        record_id = RecordId(writer=step.writer, sequence=sequence)
        record = step.record
        if step.void or record is None:
            old = ids[step.copy_of % len(ids)] if ids else record_id
            record = VoidRecord(writer=old.writer, sequence=old.sequence)
        ids.append(record_id)
        payloads.append(encode_record(record, record_id, WRITTEN_AT))
    return [LogRecord(offset, payload) for offset, payload in enumerate(payloads)]


def steps_of(records: st.SearchStrategy[object]) -> st.SearchStrategy[list[Step]]:
    step = st.builds(
        Step,
        writer=st.sampled_from(("w1", "w2")),
        record=records,
        copy_of=st.one_of(st.just(0), st.just(0), st.integers(0, 30)),
        void=st.sampled_from((False, False, False, True)),
    )
    return st.lists(step, max_size=30)


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


@given(steps_of(CONFIG_CHANGES), st.data())
def test_config_from_any_snapshot_is_the_plain_history(
    steps: list[Step], data: st.DataObject
) -> None:
    records = log_of(steps)
    plain = config_state(records)
    cut = data.draw(st.integers(0, len(records)))
    restored = ConfigFold.from_snapshot(config_state(records[:cut]).snapshot())
    overlap = data.draw(st.integers(0, cut))
    for record in records[overlap:]:
        restored.apply(record)
    assert restored.digest == plain.digest
    assert restored.configuration == plain.configuration


@given(steps_of(CONFIG_CHANGES))
def test_config_versions_only_rise_and_changes_are_whole(steps: list[Step]) -> None:
    fold = ConfigFold()
    highest = dict.fromkeys(NAMES, 0)
    for record in log_of(steps):
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


def test_racing_operators_get_one_winner_and_a_conflict() -> None:
    steps = [
        Step("w1", change(region("a", 0))),
        Step("w1", change(region("a", 1), region("b", 0))),
        Step("w2", change(region("a", 1, removed=True))),
        Step("w2", change(region("a", 2, removed=True))),
        Step("w1", change(region("a", 0))),
    ]
    fold = config_state(log_of(steps))
    assert [entry.accepted for entry in fold.history] == [True, True, False, True, True]
    assert fold.history[2].error == ErrorKind.VERSION_CONFLICT.value
    assert "at version 2" in fold.history[2].detail
    assert fold.configuration.version(DocumentId(DocumentKind.region, "a")) == 5
