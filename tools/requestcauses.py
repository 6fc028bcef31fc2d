"""Counts the online requests of a log by outcome and cause, most frequent first.

Reads the log lines of any number of nodes, each with or without a prefix before its
JSON object. A request's cause is its last failed attempt, or else why it was refused.
Use it as ``python -m tools.requestcauses FILE``.
"""

import re
import sys
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

DELIVERED = "delivered"
NO_CAUSE = "-"
# Addresses and ids that differ between requests with the same cause.
_VARYING = re.compile(r"\d+\.\d+\.\d+\.\d+(:\d+)?|i-[0-9a-f]+")


@dataclass(frozen=True)
class RequestRecord:
    """What the log says of one request.

    :param outcome: empty until the request has ended.
    :param phase: how far it got: ``not sent``, ``sent``, or ``in the response``.
    """

    outcome: str = ""
    phase: str = "not sent"
    cause: str = NO_CAUSE


def log_lines(lines: Iterable[str]) -> Iterator[Mapping[str, Any]]:
    """Yield the JSON objects of log lines; other lines are ignored."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # A bench prints text beside the log, and cuts long lines.
            continue


def request_records(lines: Iterable[Mapping[str, Any]]) -> Mapping[str, RequestRecord]:
    """Return what the log says of each request, by its id."""
    records: dict[str, RequestRecord] = {}
    for line in lines:
        request_id = line.get("request")
        if request_id is None:
            continue
        record = records.get(request_id, RequestRecord())
        records[request_id] = _updated(record, line)
    return records


def _updated(record: RequestRecord, line: Mapping[str, Any]) -> RequestRecord:
    event = line["event"]
    if event == "send_failed":
        cause = f"{line['outcome']}: {_VARYING.sub('X', line['reason'])}"
        return replace(record, cause=cause)
    if event == "request_refused":
        return replace(record, outcome=line["kind"], cause=line["kind"])
    if event == "request_ended":
        return replace(record, outcome=line["outcome"], phase=_phase(line))
    return record


def _phase(line: Mapping[str, Any]) -> str:
    if line["last_event"]:
        return "in the response"
    return "sent" if line["targets"] else "not sent"


def table(records: Iterable[RequestRecord]) -> Iterator[str]:
    """Yield the rows of the table, most frequent first."""
    counts = Counter(records)
    for record, count in counts.most_common():
        yield f"{count:7} {record.outcome:16} {record.phase:16} {record.cause}"


def main() -> None:
    """Print the table of a log file without the requests that met no failure."""
    with Path(sys.argv[1]).open() as log:
        records = request_records(log_lines(log)).values()
    shown = [
        record
        for record in records
        if record.outcome != DELIVERED or record.cause != NO_CAUSE
    ]
    print(f"{len(records):7} requests, {len(records) - len(shown)} without a failure")
    for row in table(shown):
        print(row)


if __name__ == "__main__":
    main()
