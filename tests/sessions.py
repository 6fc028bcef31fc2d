"""Records a session of a caller and an operator, for comparison with golden files."""

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
    """Replace ids, addresses, times and counts with placeholders.

    >>> mask_variable_parts("VM 127.3.4.1 at 2026-01-02T03:04:05Z")
    'VM <ip> at <time>'
    """
    for pattern, placeholder in _PLACEHOLDERS:
        text = pattern.sub(placeholder, text)
    return text


@dataclass
class Session:
    """Records requests, responses and commands in order.

    :param address: the entry's IP number and port.
    :param settings: environment of the operators' command-line program.
    """

    address: str
    key: str
    settings: Mapping[str, str]
    _lines: list[str] = field(default_factory=list)

    def add_comment(self, text: str) -> None:
        """Record a comment."""
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
        """Send one request; record it and its response."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent: list[tuple[bytes | str, bytes | str]] = [
            ("authorization", f"Bearer {key or self.key}"),
            *(headers or {}).items(),
        ]
        timeouts = {name: TIMEOUT_S for name in ("connect", "read", "write", "pool")}
        response = httpcore.request(
            method,
            f"http://{self.address}{path}",
            headers=sent,
            content=content,
            extensions={"timeout": timeouts},
        )
        if show:
            self._lines.append(f"> {method} {path}")
            self._lines.extend(f"> {line}" for line in content.decode().splitlines())
            self._lines.extend(_response_lines(response))
        return response

    def run_operator(self, *arguments: str) -> int:
        """Run the operators' command-line program and record its output."""
        command = [sys.executable, "-m", "chivespan.operator_main", *arguments]
        completed = subprocess.run(
            command,
            env={**os.environ, **self.settings},
            capture_output=True,
            text=True,
            check=False,
        )
        displayed_arguments = [Path(each).name for each in arguments]
        self._lines.append(f"$ chivespan {' '.join(displayed_arguments)}")
        self._lines.extend((completed.stdout + completed.stderr).rstrip().splitlines())
        self._lines.append(f"exit code {completed.returncode}")
        return completed.returncode

    def last_output(self) -> list[str]:
        """Return the output lines of the last command."""
        last = max(n for n, line in enumerate(self._lines) if line.startswith("$ "))
        return self._lines[last + 1 : -1]

    def record_from(self, other: "Session", act: Callable[[], object]) -> None:
        """Run ``act`` and record what it adds to another session."""
        before = len(other._lines)
        act()
        self._lines.extend(other._lines[before:])

    def text(self) -> str:
        """Return the record with placeholders for variable parts."""
        return mask_variable_parts("\n".join(self._lines)) + "\n"

    def check(self, name: str) -> None:
        """Compare the session with its golden file."""
        golden = GOLDEN / f"{name}.txt"
        if os.environ.get(REWRITE):
            golden.parent.mkdir(exist_ok=True)
            golden.write_text(self.text())
        assert self.text().splitlines() == golden.read_text().splitlines()


def _response_lines(response: httpcore.Response) -> Iterator[str]:
    yield f"< {response.status}"
    for name, value in sorted(response.headers):
        if name.lower() in SHOWN_HEADERS:
            yield f"< {name.decode().lower()}: {value.decode()}"
    for line in response.content.decode().splitlines():
        if line:
            yield f"< {_normalize_json(line)}"


def _normalize_json(line: str) -> str:
    """Return a line with its JSON normalized."""
    prefix = "data: " if line.startswith("data: ") else ""
    try:
        return prefix + json.dumps(json.loads(line.removeprefix(prefix)))
    except ValueError:
        return line
