"""The output of the demo matches its golden file, apart from variable values."""

import os
import re
import subprocess
import sys
from collections.abc import Iterator

from tests.sessions import GOLDEN, REWRITE, mask_variable_parts

DEMO_TIMEOUT_S = 120
_PROGRESS = re.compile(r"accepted, \d+ of \d+ done")
_PLACEHOLDERS = (
    (re.compile(r"127\.\d+\.\d+\.x"), "<block>"),
    (re.compile(r"/\S+/(inventory|rules)\.toml"), r"\1.toml"),
    (re.compile(r"cancelled, \d+ of"), "cancelled, <n> of"),
    (re.compile(r"later: \d+ done"), "later: <n> done"),
    (re.compile(r"(<job> .* cancelled +\d+ +)\d+"), r"\1<n>"),
    (re.compile(r"(booking-lm +batch +).*"), r"\1<counts>"),
    (re.compile(r"\b\d+\.\d+( s\b)?"), r"<decimal>\1"),
    (re.compile(r" {2,}"), "  "),
)


def test_demo_output_matches_golden_file() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "tools.demo"],
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    shown = list(_lines(done.stdout))
    golden = GOLDEN / "demo.txt"
    if os.environ.get(REWRITE):
        golden.write_text("\n".join(shown) + "\n")
    assert shown == golden.read_text().splitlines()


def _lines(text: str) -> Iterator[str]:
    """Yield the lines without progress reports, with variable values replaced."""
    for line in mask_variable_parts(text).splitlines():
        if _PROGRESS.search(line):
            continue
        for pattern, placeholder in _PLACEHOLDERS:
            line = pattern.sub(placeholder, line)
        yield line.rstrip()
