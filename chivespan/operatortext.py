"""Renders results of the operators' commands as text, by result class."""

from collections.abc import Callable, Iterable, Iterator
from datetime import datetime
from typing import Any, TypeAlias

from chivespan.inventory import Fault
from chivespan.messages import StatusReply, TargetStatus, VmView
from chivespan.operatorresults import (
    ApplyOutcome,
    ApplyResult,
    CheckResult,
    DrainResult,
    ErrorResult,
    HistoryResult,
    ImportResult,
    JobsResult,
    KeyResult,
    OrdersResult,
    OutcomeResult,
    ShowResult,
    StatusResult,
    UsageResult,
)
from chivespan.records import AuditChange, AuditEntry

Renderer: TypeAlias = Callable[[Any], Iterator[str]]
_RENDERERS: dict[type[Any], Renderer] = {}


def renders(cls: type[Any]) -> Callable[[Renderer], Renderer]:
    """Return a decorator that registers the renderer of a result class."""

    def register(function: Renderer) -> Renderer:
        _RENDERERS[cls] = function
        return function

    return register


def lines(result: object) -> Iterator[str]:
    """Yield the lines of text that describe a result."""
    yield from _RENDERERS[type(result)](result)


def table(rows: Iterable[tuple[object, ...]], *titles: str) -> Iterator[str]:
    """Yield the lines of a table with padded columns."""
    cells = [titles, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()


@renders(ErrorResult)
def _error_lines(result: ErrorResult) -> Iterator[str]:
    yield f"{result.error}: {result.message}"


def _fault_lines(faults: tuple[Fault, ...]) -> Iterator[str]:
    yield from map(str, faults)
    yield "1 fault" if len(faults) == 1 else f"{len(faults)} faults"


@renders(CheckResult)
def _check_lines(result: CheckResult) -> Iterator[str]:
    if result.faults:
        yield from _fault_lines(result.faults)
    else:
        yield f"{result.documents} documents, no fault"
    if result.unchecked:
        kinds = ", ".join(result.unchecked)
        yield f"references to these tables were not checked, no file has them: {kinds}"


@renders(ImportResult)
def _import_lines(result: ImportResult) -> Iterator[str]:
    if result.faults:
        yield from _fault_lines(result.faults)
        return
    yield f"# rows without a service, skipped: {result.skipped_rows}"
    if result.unused_columns:
        yield f"# unused columns: {', '.join(result.unused_columns)}"
    yield ""
    yield result.toml.rstrip("\n")


@renders(KeyResult)
def _key_lines(result: KeyResult) -> Iterator[str]:
    yield f"key         {result.key}"
    yield f"key_sha256  {result.key_sha256}"
    yield "Give the key to its holder; only the hash belongs in the rules."


@renders(ApplyResult)
def _apply_lines(result: ApplyResult) -> Iterator[str]:
    if result.faults:
        yield from _fault_lines(result.faults)
    for delta in result.deltas:
        base = f" (version {delta.base_version})" if delta.base_version else ""
        yield f"{delta.action:7}{delta.kind} {delta.name}{base}"
    for name in result.kept:
        yield f"kept   {name}, added by another operator after the files were derived"
    for conflict in result.conflicts:
        yield (
            f"conflict: {conflict.kind} {conflict.name} is at version "
            f"{conflict.version}, the change was made against {conflict.base_version}"
        )
    for part in result.parts:
        detail = f": {part.message}" if part.message else ""
        yield f"change {part.change_id}: {part.outcome}{detail}"
    yield _outcome_line(result)


def _outcome_line(result: ApplyResult) -> str:
    count = len(result.deltas)
    match result.outcome:
        case ApplyOutcome.ACCEPTED:
            return f"accepted: {count} documents, as of {result.offset}"
        case ApplyOutcome.NOTHING_TO_DO:
            return f"nothing to do: everything is in force as of {result.offset}"
        case ApplyOutcome.DRY_RUN:
            return f"dry run: {count} documents would change"
        case ApplyOutcome.INVALID:
            return "not sent: the files have faults"
        case ApplyOutcome.NOT_ACCEPTED:
            return "not accepted: it will not take effect; apply it again"
        case ApplyOutcome.UNKNOWN:
            return "unknown: check with 'chivespan outcome ID' before applying again"
        case _:
            parts = [part for part in result.parts if part.message]
            done = sum(part.outcome is ApplyOutcome.ACCEPTED for part in result.parts)
            rest = f"; {done} earlier parts are in force" if done else ""
            return f"{result.outcome}: {len(parts)} part refused{rest}"


@renders(OutcomeResult)
def _outcome_lines(result: OutcomeResult) -> Iterator[str]:
    yield f"change {result.change_id}: {result.outcome}"
    if result.entry:
        yield from _entry_lines(result.entry)


@renders(ShowResult)
def _show_lines(result: ShowResult) -> Iterator[str]:
    if result.toml:
        yield result.toml.rstrip("\n")
        return
    rows = (
        (document.kind, document.name, document.version)
        for document in result.documents
    )
    yield from table(rows, "KIND", "NAME", "VERSION")
    yield f"{len(result.documents)} documents as of {result.as_of}"


@renders(HistoryResult)
def _history_lines(result: HistoryResult) -> Iterator[str]:
    for entry in result.entries:
        yield from _entry_lines(entry)
    if not result.entries:
        yield "no changes recorded"


@renders(OrdersResult)
def _order_lines(result: OrdersResult) -> Iterator[str]:
    for entry in result.orders:
        order = entry.order
        loaded = " ".join([order.model, order.version, *order.adapters, order.role])
        yield (
            f"{entry.offset}  {_time(entry.written_at)}  {order.vm}  {order.target}  "
            f"{order.before} -> {loaded}  (configuration {order.fence})"
        )
    if not result.orders:
        yield "no orders recorded"


def _entry_lines(entry: AuditEntry) -> Iterator[str]:
    outcome = "accepted" if entry.accepted else f"refused ({entry.error})"
    yield (
        f"{entry.offset}  {_time(entry.written_at)}  {entry.operator}  {outcome}  "
        f"{entry.reason or '-'}"
    )
    if entry.detail:
        yield f"    because {entry.detail}"
    for change in entry.changes:
        yield f"    {_change_line(change, entry.accepted)}"


def _change_line(change: AuditChange, accepted: bool) -> str:
    if not accepted:
        versions = f"made against {change.base_version}, in force {change.version}"
    elif change.removed:
        versions = f"{change.base_version} -> removed"
    else:
        versions = f"{change.base_version or 'new'} -> {change.version}"
    return f"{change.kind} {change.name}: {versions}"


def _time(moment: datetime) -> str:
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


@renders(UsageResult)
def _usage_lines(result: UsageResult) -> Iterator[str]:
    rows = (
        (
            count.owner,
            count.service,
            count.work_class.value,
            count.requests,
            count.tokens,
            f"{count.slot_ms / 1000:.1f}",
            count.refusals,
        )
        for count in sorted(
            result.counts,
            key=lambda count: (count.owner, count.service, count.work_class),
        )
    )
    titles = "OWNER", "SERVICE", "CLASS", "REQUESTS", "TOKENS", "SLOT-SECONDS"
    yield from table(rows, *titles, "REFUSED")
    for data_centre in result.missing:
        yield f"{data_centre}: no dispatcher responded, its usage is missing"


@renders(JobsResult)
def _job_lines(result: JobsResult) -> Iterator[str]:
    rows = (
        (job.id, job.service, job.status, job.items, job.done, job.failed)
        for job in result.jobs
    )
    yield from table(rows, "JOB", "SERVICE", "STATE", "ITEMS", "DONE", "FAILED")


@renders(StatusResult)
def _status_lines(result: StatusResult) -> Iterator[str]:
    views = {view.vm: view for reply in result.vms for view in reply.vms}
    yield from table(
        (_vm_row(reply, views.get(reply.vm)) for reply in result.vms),
        *("VM", "DATA CENTRE", "STATE", "CONFIGURATION", "AGE", "SLICES", "TARGETS"),
    )
    for vm in result.unreachable:
        yield f"{vm}: no response"
    targets = [target for reply in result.vms for target in reply.targets]
    if not targets:
        return
    yield ""
    yield from table(
        map(_target_row, sorted(targets, key=lambda target: target.target)),
        *("TARGET", "STATE", "SLOTS", "ONLINE", "BATCH", "MODEL", "SLICE"),
    )


def _target_row(target: TargetStatus) -> tuple[object, ...]:
    return (
        target.target,
        target.state,
        target.slots,
        target.online_running,
        target.batch_running,
        _model_state(target),
        target.slice_id,
    )


def _model_state(target: TargetStatus) -> str:
    """Return the model that a target has loaded, and any pending change of it."""
    if target.observed != target.desired:
        ordered = f", ordered {target.ordered}" if target.ordered else ""
        return f"{target.observed} -> {target.desired} ({target.phase}{ordered})"
    return f"{target.model} {target.version}".strip() or "-"


def _vm_row(reply: StatusReply, view: VmView | None) -> tuple[object, ...]:
    return (
        reply.vm,
        view.data_centre if view else "-",
        "leaving" if reply.leaving else "live",
        reply.config_offset,
        f"{reply.config_age_ms / 1000:.1f} s",
        len({target.slice_id for target in reply.targets}),
        len(reply.targets),
    )


@renders(DrainResult)
def _drain_lines(result: DrainResult) -> Iterator[str]:
    if result.leaving:
        yield (
            f"{result.vm} is leaving: it completes requests in progress "
            "and takes no new callers"
        )
    else:
        yield f"{result.vm} is not leaving"
