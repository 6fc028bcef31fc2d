"""Writes down a whole session as a caller and an operator see it, for golden files."""

import json
import os
import re
import subprocess
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import httpcore

GOLDEN = Path(__file__).parent / "golden"
REWRITE = "REWRITE_GOLDEN"
SHOWN_HEADERS = (b"content-type", b"retry-after", b"www-authenticate")
TIMEOUT_S = 30.0

_PLACEHOLDERS = (
    (re.compile(r"job-\d-[0-9a-f]{32}"), "<job>"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "<id>"),
    (re.compile(r"\b[a-z]+-[0-9a-f]{12}/\d+"), "<change>"),
    (re.compile(r"127\.\d+\.\d+\.\d+"), "<ip>"),
    (re.compile(r"\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d[.\d]*(Z|\+00:00)?"), "<time>"),
    (re.compile(r'"created": \d+'), '"created": <time>'),
    (re.compile(r'"retry_after_ms": \d+'), '"retry_after_ms": <ms>'),
    (re.compile(r'"attempts": \d+'), '"attempts": <n>'),
)


def mask_variable_parts(text: str) -> str:
    """Return the text with placeholders for ids, addresses and times.

    >>> mask_variable_parts("VM 127.3.4.1 at 2026-01-02T03:04:05Z")
    'VM <ip> at <time>'
    """
    for pattern, placeholder in _PLACEHOLDERS:
        text = pattern.sub(placeholder, text)
    return text


@dataclass
class Session:
    """What was asked and answered, in order.

    :param address: the entry's IP number and port.
    :param settings: environment of the operators' command line.
    """

    address: str
    key: str
    settings: Mapping[str, str]
    _lines: list[str] = field(default_factory=list)

    def add_comment(self, text: str) -> None:
        """Write down what happens besides."""
        self._lines.append(f"# {text}")

    def send(
        self,
        method: str,
        path: str,
        body: object = b"",
        *,
        key: str = "",
        headers: Mapping[str, str] | None = None,
        show: bool = True,
    ) -> httpcore.Response:
        """Send one request and write both sides down."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent: list[tuple[bytes | str, bytes | str]] = [
            ("authorization", f"Bearer {key or self.key}"),
            *(headers or {}).items(),
        ]
        timeouts = {name: TIMEOUT_S for name in ("connect", "read", "write", "pool")}
        answer = httpcore.request(
            method,
            f"http://{self.address}{path}",
            headers=sent,
            content=content,
            extensions={"timeout": timeouts},
        )
        if show:
            self._lines.append(f"> {method} {path}")
            self._lines.extend(f"> {line}" for line in content.decode().splitlines())
            self._lines.extend(_answer_lines(answer))
        return answer

    def run_operator(self, *arguments: str) -> int:
        """Run a command of the operators' and write down what it said."""
        command = [sys.executable, "-m", "chivespan.operator_main", *arguments]
        done = subprocess.run(
            command,
            env={**os.environ, **self.settings},
            capture_output=True,
            text=True,
            check=False,
        )
        shown_names = [Path(each).name for each in arguments]
        self._lines.append(f"$ chivespan {' '.join(shown_names)}")
        self._lines.extend((done.stdout + done.stderr).rstrip().splitlines())
        self._lines.append(f"exit code {done.returncode}")
        return done.returncode

    def last_output(self) -> list[str]:
        """Return what the last command printed."""
        last = max(n for n, line in enumerate(self._lines) if line.startswith("$ "))
        return self._lines[last + 1 : -1]

    def record_from(self, other: "Session", act: Callable[[], object]) -> None:
        """Let another session act and write that down here."""
        before = len(other._lines)
        act()
        self._lines.extend(other._lines[before:])

    def text(self) -> str:
        """Return the session without what chance decides."""
        return mask_variable_parts("\n".join(self._lines)) + "\n"

    def check(self, name: str) -> None:
        """Compare the session with its golden file."""
        golden = GOLDEN / f"{name}.txt"
        if os.environ.get(REWRITE):
            golden.parent.mkdir(exist_ok=True)
            golden.write_text(self.text())
        assert self.text().splitlines() == golden.read_text().splitlines()


def _answer_lines(answer: httpcore.Response) -> Iterator[str]:
    yield f"< {answer.status}"
    for name, value in sorted(answer.headers):
        if name.lower() in SHOWN_HEADERS:
            yield f"< {name.decode().lower()}: {value.decode()}"
    for line in answer.content.decode().splitlines():
        if line:
            yield f"< {_spaced(line)}"


def _spaced(line: str) -> str:
    """Return a line with its JSON spaced evenly."""
    prefix = "data: " if line.startswith("data: ") else ""
    try:
        return prefix + json.dumps(json.loads(line.removeprefix(prefix)))
    except ValueError:
        return line
