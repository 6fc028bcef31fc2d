"""``chivespan``: the operators' command line.

Inventory and rules go to the log and come from it; usage, jobs, status and drain are
asked of an entry VM. Exit codes: 0 done, 1 refused or failed, 2 wrong usage.
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
HISTORY_SHOWN = 20
_SWITCHES = ("json", "partial", "dry_run", "toml")

Work: TypeAlias = Callable[[], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class _Task:
    """A command that was understood; it runs once all its flags were."""

    _work: Work
    _json: bool


class Commands:
    """Apply inventory and rules, and see what became of them.

    Settings may also stand in the environment: CHIVESPAN_LOG_URL, CHIVESPAN_OPERATOR,
    CHIVESPAN_OPERATOR_KEY, CHIVESPAN_ENTRY.

    :param log_url: base URL of the log service, with an IP number.
    :param operator: your name in the rules.
    :param operator_key: your key.
    :param entry: IP number and port of any entry VM.
    :param json: print one JSON object for programs.
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
        """Check files of inventory and rules; name every fault with its place."""
        _require(files, "validate FILE...")
        return self._local(bind(_validate, _paths(files)))

    @parse_as_text()
    def _import_register(self, file: str) -> object:
        """Turn an asset register in CSV into an inventory in TOML."""
        return self._local(bind(_import, Path(file)))

    def key(self) -> object:
        """Make a key for an owner or operator, with the hash for the rules."""
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

        :param files: together they name all documents of the kinds they have tables of.
        :param reason: a few words for the audit trail.
        :param partial: only add and change, remove nothing.
        :param dry_run: only say what would change.
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
        """Say what became of the change with this id; it can't arrive later."""
        return self._with_log(bind(_outcome, change))

    def show(self, toml: bool = False) -> object:
        """Show the configuration in force.

        :param toml: as files, with the offset that they are from.
        """
        return self._with_log(bind(_show, toml))

    def history(self, limit: int = HISTORY_SHOWN) -> object:
        """Show who changed what, when, from which version to which.

        :param limit: the newest so many.
        """
        if not isinstance(limit, int) or limit < 1:
            raise fire.core.FireError("history --limit=N, 1 or more")
        return self._with_log(bind(_history, limit))

    def orders(self, limit: int = HISTORY_SHOWN) -> object:
        """Show which target was ordered what, when, by which VM.

        :param limit: the newest so many.
        """
        if not isinstance(limit, int) or limit < 1:
            raise fire.core.FireError("orders --limit=N, 1 or more")
        return self._with_log(bind(_orders, limit))

    def usage(self) -> object:
        """Show who consumed what."""
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
        """Tell a VM to finish what runs and to take no new callers.

        :param vm: its IP number.
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
            reason = "this command asks an entry; give --entry (CHIVESPAN_ENTRY)"
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
        fault = Fault(Place(str(path)), f"can't be read: {error}")
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
            ShownDocument(name.kind.value, name.name, one.version, one.document)
            for name, one in stored.items()
        ),
        toml=write_toml((one.document for one in stored.values()), fold.offset)
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


def _explicit(argument: str) -> str:
    """Return a switch with its value, so that it takes no word that follows.

    >>> _explicit("--dry-run"), _explicit("--limit")
    ('--dry_run=True', '--limit')
    """
    name = argument.removeprefix("--").replace("-", "_")
    is_switch = argument.startswith("--") and name in _SWITCHES
    return f"--{name}=True" if is_switch else argument


def exit_code(result: object) -> int:
    """Return the exit code that a result calls for."""
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
            command=[_explicit(argument) for argument in arguments],
            name="chivespan",
            serialize=lambda found: None if isinstance(found, _Task) else found,
        )
    except fire.core.FireExit as end:
        return int(end.code)
    except fire.core.FireError as error:
        print(f"usage: chivespan {error}", file=sys.stderr)
        return EXIT_USAGE
    except ChivespanError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if not isinstance(task, _Task):
        return EXIT_USAGE
    return _perform(task)


def _perform(task: _Task) -> int:
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
    """Run the command of this process's arguments and end with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
