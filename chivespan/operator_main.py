"""``chivespan``: the operators' command line.

Inventory and rules are read from and written to the log directly; usage, jobs, status
and drain are requests to an entry VM. Exit codes: 0 success, 1 refused or failed, 2
usage error.
"""

import os
import secrets
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial as bind
from pathlib import Path
from typing import TypeAlias

import anyio
import fire
import msgspec

from chivespan.assetregister import read_register
from chivespan.auth import key_hash
from chivespan.clock import SystemClock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httplog import HttpLog
from chivespan.inventory import TABLE_OF_KIND, Fault, Place, read_files, write_toml
from chivespan.inventorychecks import check_inventory, unchecked_kinds
from chivespan.operatorapiclient import OperatorApiClient
from chivespan.operatorapply import ApplyOptions, apply_inventory
from chivespan.operatorlog import OperatorLog, parse_change_id
from chivespan.operatorresults import (
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_USAGE,
    ApplyResult,
    CheckResult,
    ErrorResult,
    HistoryResult,
    ImportResult,
    KeyResult,
    OrdersResult,
    OutcomeResult,
    ShownDocument,
    ShowResult,
)
from chivespan.operatortext import lines
from chivespan.options import load_settings, parse_as_text
from chivespan.settings import OperatorSettings

KEY_BYTES = 24
DEFAULT_LIMIT = 20
_BOOLEAN_FLAGS = ("json", "partial", "dry_run", "toml")

Work: TypeAlias = Callable[[], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class _Task:
    """A parsed command; it runs after all its flags have been parsed."""

    _work: Work
    _json: bool


class Commands:
    """Apply inventory and rules, and inspect and operate the fleet.

    Settings can also be given as environment variables: CHIVESPAN_LOG_URL,
    CHIVESPAN_OPERATOR, CHIVESPAN_OPERATOR_KEY, CHIVESPAN_ENTRY.

    :param log_url: base URL of the log service, with an IP address.
    :param operator: your operator name in the rules.
    :param operator_key: your key.
    :param entry: IP address and port of any entry VM.
    :param json: print the result as one JSON object.
    """

    @parse_as_text("log_url", "operator", "operator_key", "entry")
    def __init__(
        self,
        log_url: str | None = None,
        operator: str | None = None,
        operator_key: str | None = None,
        entry: str | None = None,
        json: bool = False,
    ) -> None:
        given = {
            "log_url": log_url,
            "operator": operator,
            "operator_key": operator_key,
            "entry": entry,
        }
        self._arguments = [
            f"--{name}={value}" for name, value in given.items() if value is not None
        ]
        self._json = json

    @parse_as_text()
    def validate(self, *files: str) -> object:
        """Check files of inventory and rules; report every fault with its place."""
        _require(files, "validate FILE...")
        return self._local(bind(_validate, _paths(files)))

    @parse_as_text()
    def _import_register(self, file: str) -> object:
        """Convert an asset register in CSV to an inventory in TOML."""
        return self._local(bind(_import, Path(file)))

    def key(self) -> object:
        """Generate a key for an owner or operator, and the hash for the rules."""
        return self._local(_key)

    @parse_as_text("reason")
    def apply(
        self,
        *files: object,
        reason: str = "",
        partial: bool = False,
        dry_run: bool = False,
    ) -> object:
        """Put files of inventory and rules in force.

        :param files: must list all documents of each kind that they have a table of.
        :param reason: short description for the audit trail.
        :param partial: add and change documents, but remove none.
        :param dry_run: only report what would change.
        """
        _require(files, "apply FILE...")
        settings = self._settings()
        options = ApplyOptions(
            operator=settings.operator,
            operator_key=settings.operator_key,
            reason=reason,
            partial=partial,
            dry_run=dry_run,
        )
        return self._with_log(bind(_apply, _paths(files), options))

    @parse_as_text()
    def outcome(self, change: str) -> object:
        """Show the outcome of a change by its id.

        A change that is not in the log is cancelled, so that it cannot be accepted
        later.
        """
        return self._with_log(bind(_outcome, change))

    def show(self, toml: bool = False) -> object:
        """Show the configuration in force.

        :param toml: print TOML that can be applied, with the offset it was read at.
        """
        return self._with_log(bind(_show, toml))

    def history(self, limit: int = DEFAULT_LIMIT) -> object:
        """Show the audit trail of changes: operator, time, documents and versions.

        :param limit: number of entries to show, the newest ones.
        """
        if not isinstance(limit, int) or limit < 1:
            raise fire.core.FireError("history --limit=N, 1 or more")
        return self._with_log(bind(_history, limit))

    def orders(self, limit: int = DEFAULT_LIMIT) -> object:
        """Show the audit trail of orders to targets: time, VM, target and model.

        :param limit: number of orders to show, the newest ones.
        """
        if not isinstance(limit, int) or limit < 1:
            raise fire.core.FireError("orders --limit=N, 1 or more")
        return self._with_log(bind(_orders, limit))

    def usage(self) -> object:
        """Show usage by owner, service and work class."""
        return self._with_entry(OperatorApiClient.usage)

    @parse_as_text()
    def jobs(self, action: str, owner: str, job: str = "") -> object:
        """List an owner's batch jobs, show one or cancel one.

        :param action: list, show or cancel.
        :param owner: the owner's name in the rules.
        :param job: the job's id, for show and cancel.
        """
        actions: dict[str, Callable[[OperatorApiClient], Awaitable[object]]] = {
            "list": bind(OperatorApiClient.jobs, owner=owner),
            "show": bind(OperatorApiClient.job, owner=owner, job_id=job),
            "cancel": bind(OperatorApiClient.cancel, owner=owner, job_id=job),
        }
        if action not in actions or bool(job) == (action == "list"):
            usage = "jobs list OWNER, jobs show OWNER JOB, jobs cancel OWNER JOB"
            raise fire.core.FireError(usage)
        return self._with_entry(actions[action])

    @parse_as_text()
    def drain(self, vm: str) -> object:
        """Drain a VM: it completes requests in progress and takes no new callers.

        :param vm: IP address of the VM.
        """
        return self._with_entry(bind(OperatorApiClient.drain, vm=vm))

    def status(self) -> object:
        """Show every VM with its configuration, slices and targets."""
        return self._with_entry(OperatorApiClient.status)

    def _task(self, work: Work) -> object:
        return _Task(work, self._json)

    def _local(self, work: Callable[[], object]) -> object:
        async def run() -> object:
            return work()

        return self._task(run)

    def _settings(self) -> OperatorSettings:
        return load_settings(OperatorSettings, self._arguments, os.environ)

    def _with_log(self, work: Callable[[OperatorLog], Awaitable[object]]) -> object:
        settings = self._settings()

        async def run() -> object:
            http = HttpLog(settings.log_url)
            clock = SystemClock()
            try:
                async with OperatorLog.opened(http, settings.operator, clock) as log:
                    return await work(log)
            finally:
                await http.aclose()

        return self._task(run)

    def _with_entry(
        self, work: Callable[[OperatorApiClient], Awaitable[object]]
    ) -> object:
        settings = self._settings()
        if not settings.entry:
            reason = "this command needs an entry; give --entry (CHIVESPAN_ENTRY)"
            raise ChivespanError(ErrorKind.INVALID_SETTING, reason)
        entry = OperatorApiClient(settings.entry, settings.operator_key)
        return self._task(bind(work, entry))


setattr(Commands, "import", Commands._import_register)


def _validate(paths: Sequence[Path]) -> CheckResult:
    inventory = read_files(paths)
    return CheckResult(
        documents=len(inventory.documents),
        faults=tuple(check_inventory(inventory)),
        unchecked=tuple(TABLE_OF_KIND[kind] for kind in unchecked_kinds(inventory)),
    )


def _import(path: Path) -> ImportResult:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(Place(str(path)), f"cannot be read: {error}")
        return ImportResult("", (fault,), 0, ())
    register = read_register(text, path.name)
    return ImportResult(
        toml=register.to_toml(),
        faults=tuple(register.faults),
        skipped_rows=register.skipped,
        unused_columns=register.unused,
    )


def _key() -> KeyResult:
    key = secrets.token_urlsafe(KEY_BYTES)
    return KeyResult(key, key_hash(key))


async def _apply(
    paths: Sequence[Path], options: ApplyOptions, log: OperatorLog
) -> ApplyResult:
    return await apply_inventory(log, read_files(paths), options)


async def _outcome(change: str, log: OperatorLog) -> OutcomeResult:
    return await log.outcome(parse_change_id(change))


async def _show(as_toml: bool, log: OperatorLog) -> ShowResult:
    fold = await log.read()
    stored = fold.configuration.stored
    return ShowResult(
        as_of=fold.offset,
        documents=tuple(
            ShownDocument(
                document_id.kind.value,
                document_id.name,
                current.version,
                current.document,
            )
            for document_id, current in stored.items()
        ),
        toml=write_toml((each.document for each in stored.values()), fold.offset)
        if as_toml
        else "",
    )


async def _history(limit: int, log: OperatorLog) -> HistoryResult:
    fold = await log.read()
    return HistoryResult(fold.history[-limit:])


async def _orders(limit: int, log: OperatorLog) -> OrdersResult:
    return OrdersResult(tuple(await log.orders(limit)))


def _paths(files: Sequence[object]) -> list[Path]:
    return [Path(str(file)) for file in files]


def _require(files: Sequence[object], usage: str) -> None:
    if not files:
        raise fire.core.FireError(usage)


def _with_explicit_value(argument: str) -> str:
    """Give a boolean flag an explicit value, so that fire consumes no argument for it.

    >>> _with_explicit_value("--dry-run"), _with_explicit_value("--limit")
    ('--dry_run=True', '--limit')
    """
    name = argument.removeprefix("--").replace("-", "_")
    is_boolean = argument.startswith("--") and name in _BOOLEAN_FLAGS
    return f"--{name}=True" if is_boolean else argument


def exit_code(result: object) -> int:
    """Return the exit code for a result."""
    match result:
        case ErrorResult():
            return EXIT_REFUSED
        case ApplyResult() | OutcomeResult():
            return result.outcome.exit_code
        case CheckResult() | ImportResult():
            return EXIT_REFUSED if result.faults else EXIT_DONE
    return EXIT_DONE


def run(arguments: Sequence[str]) -> int:
    """Run one command, print its result and return the exit code."""
    try:
        task = fire.Fire(
            Commands,
            command=[_with_explicit_value(argument) for argument in arguments],
            name="chivespan",
            serialize=lambda value: None if isinstance(value, _Task) else value,
        )
    except fire.core.FireExit as fire_exit:
        return int(fire_exit.code)
    except fire.core.FireError as error:
        print(f"usage: chivespan {error}", file=sys.stderr)
        return EXIT_USAGE
    except ChivespanError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if not isinstance(task, _Task):
        return EXIT_USAGE
    return _run_task(task)


def _run_task(task: _Task) -> int:
    try:
        result = anyio.run(task._work)
    except ChivespanError as error:
        result = ErrorResult(error.kind.value, error.message)
    output = sys.stderr if isinstance(result, ErrorResult) else sys.stdout
    if task._json:
        print(msgspec.json.encode(result).decode())
    else:
        for line in lines(result):
            print(line, file=output)
    return exit_code(result)


def main() -> None:
    """Run the command given by this process's arguments and exit with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
