"""``chivespan apply``: publishes changes from files and reports their outcome."""

from dataclasses import dataclass

from chivespan.auth import key_hash
from chivespan.configchanges import (
    Plan,
    change_records,
    documents_after,
    documents_in_force,
    plan_changes,
)
from chivespan.configuration import Configuration
from chivespan.documents import DocumentKind, Operator
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.inventory import Inventory
from chivespan.inventorychecks import check_change, check_inventory
from chivespan.operatorlog import OperatorLog, PublishResult
from chivespan.operatorresults import (
    ApplyOutcome,
    ApplyResult,
    Conflict,
    DeltaLine,
    PartOutcome,
)


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Options of an ``apply``.

    :param operator: name of the operator who applies the files.
    :param partial: add and change documents, but remove none.
    :param dry_run: only report what would change.
    """

    operator: str
    operator_key: str
    reason: str = ""
    partial: bool = False
    dry_run: bool = False


async def apply_inventory(
    log: OperatorLog, inventory: Inventory, options: ApplyOptions
) -> ApplyResult:
    """Publish the changes that an inventory makes and return the outcome.

    :raises ChivespanError: ``log_unavailable`` if the configuration cannot be read,
        ``unauthenticated`` for an unknown operator or key, ``version_conflict`` for
        files that were derived from too old a configuration.
    """
    if inventory.faults:
        all_faults = check_inventory(inventory)
        return ApplyResult(ApplyOutcome.INVALID, faults=tuple(all_faults))
    fold = await log.read()
    configuration = fold.configuration
    require_operator(configuration, inventory, options)
    plan = plan_changes(inventory, configuration, fold.history, partial=options.partial)
    faults = check_change(
        documents_in_force(configuration),
        documents_after(configuration, plan),
        inventory.places,
    )
    if faults:
        return ApplyResult(ApplyOutcome.INVALID, faults=tuple(faults))
    if options.dry_run or not plan.deltas:
        outcome = ApplyOutcome.DRY_RUN if plan.deltas else ApplyOutcome.NOTHING_TO_DO
        return _result(outcome, plan, [], fold.offset)
    return await _publish(log, plan, options)


def require_operator(
    configuration: Configuration, inventory: Inventory, options: ApplyOptions
) -> None:
    """Check the operator's name and key against the rules in force.

    If no operator is in force yet, the files must contain the operator. This only
    prevents mistakes: write access to the log is controlled by the platform.

    :raises ChivespanError: ``unauthenticated``.
    """
    operators: dict[str, Operator] = dict(configuration.operators)
    where = "in force"
    if not operators:
        where = "in the files"
        for name, document in inventory.of_kind(DocumentKind.operator).items():
            if isinstance(document, Operator):
                operators[name] = document
    known = operators.get(options.operator)
    if known is None or key_hash(options.operator_key) not in known.key_sha256:
        reason = f"no operator {options.operator!r} with this key is {where}"
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, reason)


async def _publish(log: OperatorLog, plan: Plan, options: ApplyOptions) -> ApplyResult:
    parts: list[PublishResult] = []
    for change in change_records(plan, options.operator, options.reason):
        published = await log.publish(change)
        parts.append(published)
        if published.outcome is not ApplyOutcome.ACCEPTED:
            break
    return _result(parts[-1].outcome, plan, parts, log.fold.offset)


def _result(
    outcome: ApplyOutcome, plan: Plan, parts: list[PublishResult], offset: int
) -> ApplyResult:
    return ApplyResult(
        outcome,
        deltas=tuple(map(DeltaLine.of, plan.deltas)),
        kept=tuple(f"{one.kind.value} {one.name}" for one in plan.kept),
        parts=tuple(
            PartOutcome(
                part.change_id,
                part.outcome,
                len(part.entry.changes) if part.entry else 0,
                part.message,
            )
            for part in parts
        ),
        conflicts=tuple(
            Conflict(one.kind, one.name, one.base_version, one.version)
            for part in parts
            if part.entry and part.outcome is ApplyOutcome.CONFLICT
            for one in part.entry.changes
            if one.base_version != one.version
        ),
        offset=offset,
    )
