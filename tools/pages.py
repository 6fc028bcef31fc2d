"""Writes the tables in the documentation that are generated from the code.

The errors in ``docs/API.md`` come from the closed list in ``chivespan.errors``, the
modules in ``docs/ARCHITECTURE.md`` from the first lines of their docstrings.
``--check`` fails if a page is out of date.
"""

import ast
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from chivespan.errors import ERROR_PROPERTIES, ErrorKind, ErrorProperties

ROOT = Path(__file__).resolve().parent.parent
BEGIN = "<!-- written by tools/pages.py -->\n"
END = "<!-- end of what is written -->\n"
GENERATED = "Data classes generated from"

MEANINGS: Mapping[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "The request can't be read; the message names the place.",
    ErrorKind.UNKNOWN_FIELD: "The body has a field that doesn't exist.",
    ErrorKind.BODY_TOO_LARGE: "The body is over the limit.",
    ErrorKind.REQUEST_TOO_SLOW: "The body did not come in time.",
    ErrorKind.UNAUTHENTICATED: "The key is missing or unknown.",
    ErrorKind.FORBIDDEN: "The key is known but may not do this.",
    ErrorKind.NOT_FOUND: "There is no such path, service or job.",
    ErrorKind.UNKNOWN_MODEL: "No service serves this model.",
    ErrorKind.UNKNOWN_OWNER: "The owner isn't in the rules.",
    ErrorKind.NO_RULE: "No rule lets this owner send such work to this service.",
    ErrorKind.KEY_REUSED: "The idempotency or job key was used for other content.",
    ErrorKind.VERSION_CONFLICT: "Somebody else changed the same document first.",
    ErrorKind.INVALID_DOCUMENT: "A document of the inventory or rules has a fault.",
    ErrorKind.INVALID_SETTING: "A flag or environment variable is wrong.",
    ErrorKind.OWNER_LIMIT: "The owner's own limit in the rules is reached.",
    ErrorKind.QUOTA_EXCEEDED: "The customer's quota of requests is used up.",
    ErrorKind.NO_CAPACITY: "All is in use; `shares` says whose work holds it.",
    ErrorKind.PROMPT_QUARANTINED: "A part of the prompt has crashed targets.",
    ErrorKind.REQUEST_QUARANTINED: "The request has crashed targets.",
    ErrorKind.DEADLINE_PASSED: "It can't start before its deadline.",
    ErrorKind.NO_DISPATCHER: "No VM that grants slots could be reached.",
    ErrorKind.NO_TARGET: "No target of the service can take it.",
    ErrorKind.LOG_UNAVAILABLE: "The log is away; nothing was accepted.",
    ErrorKind.LOG_EXPIRED: "The log has dropped what a reader needs.",
    ErrorKind.NOT_READY: "This VM has no configuration yet, or can't confirm it.",
    ErrorKind.LEAVING: "This VM leaves; ask for an address again.",
    ErrorKind.TARGET_UNREACHABLE: "No target could be connected to.",
    ErrorKind.TARGET_REFUSED: "The target finds the request itself wrong.",
    ErrorKind.TARGET_FAILED: "The target answered with an error.",
    ErrorKind.TARGET_TIMEOUT: "The target gave no answer in time.",
    ErrorKind.STREAM_BROKEN: "The stream broke and could not be resumed.",
    ErrorKind.OUTCOME_UNKNOWN: "It was sent once; nobody can know if it ran.",
    ErrorKind.UNCONFIRMED: "It may hold; send the same again.",
    ErrorKind.ACCEPTANCE_UNKNOWN: "It may be accepted later; ask by its id.",
    ErrorKind.ITEM_FAILED: "A batch item failed for good.",
    ErrorKind.CANCELLED: "The job or request was cancelled.",
    ErrorKind.REVOKED: "The slot was taken back for online work.",
    ErrorKind.PROTOCOL: "Another process sent what can't be read.",
    ErrorKind.INTERNAL: "A fault in chivespan; report it with the request id.",
}


@dataclass(frozen=True, slots=True)
class Page:
    """A page with one generated table.

    :param path: path of the page.
    :param rows: function that yields the lines of the table.
    """

    path: Path
    rows: Callable[[], Iterator[str]]

    def current(self) -> str:
        """Return the text of the page with an up-to-date table."""
        head, rest = self.path.read_text().split(BEGIN)
        _, tail = rest.split(END)
        table = "".join(f"{row}\n" for row in self.rows())
        return f"{head}{BEGIN}{table}{END}{tail}"

    @property
    def is_current(self) -> bool:
        """Whether the table in the file is up to date."""
        return self.path.read_text() == self.current()


def error_rows() -> Iterator[str]:
    """Yield the lines of the table of errors."""
    yield "| code | HTTP | was it run | come back | what it means |"
    yield "|---|---|---|---|---|"
    for kind, answer in ERROR_PROPERTIES.items():
        run = "perhaps" if answer.may_have_run else "no"
        yield (
            f"| `{kind.value}` | {answer.status} | {run} | {_retry_text(answer)} "
            f"| {MEANINGS[kind]} |"
        )


def _retry_text(answer: ErrorProperties) -> str:
    if answer.retry_after is None:
        return "not as it is"
    return f"after {answer.retry_after.total_seconds():g} s"


def module_rows() -> Iterator[str]:
    """Yield the lines of the table of modules, without generated ones."""
    yield "| module | what it is |"
    yield "|---|---|"
    for path in sorted((ROOT / "chivespan").glob("*.py")):
        first = (ast.get_docstring(ast.parse(path.read_text())) or "").split("\n")[0]
        if path.stem != "__init__" and not first.startswith(GENERATED):
            yield f"| `{path.name}` | {first} |"


ERRORS = Page(ROOT / "docs" / "API.md", error_rows)
MODULES = Page(ROOT / "docs" / "ARCHITECTURE.md", module_rows)


def main() -> int:
    """Write the pages, or check them with ``--check``; return the exit code."""
    stale = [page for page in (ERRORS, MODULES) if not page.is_current]
    if "--check" not in sys.argv[1:]:
        for page in stale:
            page.path.write_text(page.current())
        return 0
    for page in stale:
        print(f"docs/{page.path.name}: table is out of date; run 'make generate'")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
