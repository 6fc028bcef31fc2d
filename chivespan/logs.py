"""Structured log lines on standard error, for changes of state only.

Fields are keyword arguments: ``logger("peers").notice("peer lost", peer="10.0.0.2")``.
"""

import json
import sys
from collections.abc import Iterator

import logbook

_LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "notice": logbook.NOTICE,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
_UNQUOTED_CHARACTERS = frozenset("-_.:/+@%[]")


def configure_logging(program: str, vm: str, level: str) -> None:
    """Write this process's log lines to standard error.

    :param program: name of the program, a field of every line.
    :param vm: IP number of the VM, a field of every line.
    :param level: lowest level that is written, such as ``info``.
    """
    handler = logbook.StreamHandler(sys.stderr, level=_LEVELS[level], bubble=False)
    handler.formatter = _LineFormatter(program, vm)
    handler.push_application()


def logger(name: str) -> logbook.Logger:
    """Return the logger of one module or component."""
    return logbook.Logger(name)


def field(name: str, value: object) -> str:
    """Return one field, quoted if its value has any special characters.

    >>> field("vm", "10.0.0.1"), field("reason", 'no "answer"')
    ('vm=10.0.0.1', 'reason="no \\\\"answer\\\\""')
    """
    text = str(value)
    plain = bool(text) and all(
        char.isalnum() or char in _UNQUOTED_CHARACTERS for char in text
    )
    return f"{name}={text if plain else json.dumps(text, ensure_ascii=False)}"


class _LineFormatter:
    def __init__(self, program: str, vm: str) -> None:
        self._program = program
        self._vm = vm

    def __call__(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        return " ".join(self._fields(record))

    def _fields(self, record: logbook.LogRecord) -> Iterator[str]:
        yield field("time", record.time.isoformat(timespec="milliseconds") + "Z")
        yield field("level", record.level_name.lower())
        yield field("program", self._program)
        yield field("vm", self._vm)
        yield field("part", record.channel)
        yield field("event", record.message)
        for name, value in {**record.kwargs, **record.extra}.items():
            yield field(name, value)
        if record.exc_info:
            yield field("exception", record.formatted_exception)
