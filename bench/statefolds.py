"""State benchmarks within one process: speed of folds and memory of open items."""

import gc
import time
import tracemalloc
from collections.abc import Iterator
from datetime import UTC, datetime

import msgspec

from chivespan.callerapi import BatchModelItem
from chivespan.codec import encode
from chivespan.configfold import ConfigFold
from chivespan.documents import Region
from chivespan.envelope import encode_record
from chivespan.jobfold import JobFold
from chivespan.jobmessages import SubmitItem
from chivespan.jobplan import JobPlan, plan_job
from chivespan.jobstore import submission_records
from chivespan.platformservices import LogRecord
from chivespan.records import (
    ConfigChange,
    DocumentChange,
    ItemResult,
    ItemResults,
    RecordId,
)

JOB_ITEMS = 59_000
RESULTS_PER_RECORD = 64
CONFIG_RECORDS = 16_000
CONFIG_NAMES = 200
PROMPT = "summarise the night's photometer log of this station; " * 4
ANSWER = b"x" * 300


def live_bytes() -> int:
    """Return the memory of live objects; ``tracemalloc`` must be tracing."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def bench_body(number: int) -> bytes:
    """Return the JSON body of one item."""
    return msgspec.json.encode(BatchModelItem(id=f"i{number}", prompt=PROMPT))


def bench_plan(job_key: str, items: int, partitions: int = 1) -> JobPlan:
    """Return the plan of a job with the given number of items."""
    lines = [SubmitItem(item_key=f"i{n}", body=bench_body(n)) for n in range(items)]
    return plan_job(
        lines,
        owner="bench",
        job_key=job_key,
        service="notes",
        model="m",
        idempotent=True,
        partitions=partitions,
    )


def _payloads(records: Iterator[object]) -> Iterator[LogRecord]:
    now = datetime.now(UTC)
    for offset, record in enumerate(records):
        record_id = RecordId(writer="w", sequence=offset + 1)
        yield LogRecord(offset, encode_record(record, record_id, now))


def _job_records(plan: JobPlan) -> Iterator[object]:
    yield from submission_records(plan)
    for number, chunk in enumerate(plan.chunks):
        for first in range(0, len(chunk), RESULTS_PER_RECORD):
            indexes = range(first, min(first + RESULTS_PER_RECORD, len(chunk)))
            results = [
                ItemResult(
                    index=index, ok=True, attempts=1, item_key=f"i{index}", body=ANSWER
                )
                for index in indexes
            ]
            yield ItemResults(job_id=plan.job_id, chunk=number, results=results)


def _config_records() -> Iterator[object]:
    versions = dict.fromkeys(range(CONFIG_NAMES), 0)
    for offset in range(CONFIG_RECORDS):
        name = offset % CONFIG_NAMES
        change = DocumentChange(
            kind="region",
            name=f"r{name}",
            base_version=versions[name],
            document=encode(Region(name=f"r{name}")),
        )
        versions[name] = offset + 1
        yield ConfigChange(operator="o", reason="bench", changes=[change])


def fold_speed() -> Iterator[dict[str, object]]:
    """Yield the fold speed of the jobs and configuration streams."""
    records = list(_payloads(_job_records(bench_plan("k", JOB_ITEMS))))
    seconds = _time_fold(JobFold(), records)
    yield {
        "measure": "fold_speed",
        "stream": "jobs",
        "records": len(records),
        "items": JOB_ITEMS,
        "records_per_s": round(len(records) / seconds),
        "items_per_s": round(JOB_ITEMS / seconds),
        "payload_mb_per_s": round(
            sum(len(one.payload) for one in records) / seconds / 1e6, 1
        ),
    }
    changes = list(_payloads(_config_records()))
    fold = ConfigFold()
    seconds = _time_fold(fold, changes)
    yield {
        "measure": "fold_speed",
        "stream": "config",
        "records": len(changes),
        "records_per_s": round(len(changes) / seconds),
        "day_of_changes_s": round(seconds, 2),
        "snapshot_bytes": len(fold.snapshot()),
    }


def _time_fold(fold: JobFold | ConfigFold, records: list[LogRecord]) -> float:
    began = time.perf_counter()
    for record in records:
        fold.apply(record)
    return time.perf_counter() - began


def open_items_memory() -> Iterator[dict[str, object]]:
    """Yield the memory that the job fold uses for open items, by number of jobs."""
    tracemalloc.start()
    for jobs, items in ((10, 1_000), (10, JOB_ITEMS), (2_000, 100)):
        before = live_bytes()
        fold = JobFold()
        offset = 0
        for number in range(jobs):
            for record in submission_records(bench_plan(f"k{number}", items)):
                record_id = RecordId(writer="w", sequence=offset + 1)
                payload = encode_record(record, record_id, datetime.now(UTC))
                fold.apply(LogRecord(offset, payload))
                offset += 1
        grown = live_bytes() - before
        total = jobs * items
        yield {
            "measure": "open_items_memory",
            "jobs": jobs,
            "items_per_job": items,
            "bytes_per_10000_items": round(grown * 10_000 / total),
            "snapshot_bytes_per_10000_items": round(
                len(fold.snapshot()) * 10_000 / total
            ),
        }
    tracemalloc.stop()
