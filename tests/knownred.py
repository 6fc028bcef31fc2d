"""Parser for KNOWN-RED.txt, the list of tests that fail because of an unfixed bug.

The first line of an entry is ``test: `` followed by the test's node id. The other lines
are notes for maintainers and are ignored.
"""

from pathlib import Path

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


def parse_node_ids(text: str) -> frozenset[str]:
    """Return the node ids of all entries in the text.

    >>> text = "test: tests/a.py::b\\n  seen: 502\\ntest: tests/a.py::c[1]"
    >>> sorted(parse_node_ids(text))
    ['tests/a.py::b', 'tests/a.py::c[1]']
    """
    lines = (line.strip() for line in text.splitlines())
    return frozenset(
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    )


def listed_node_ids() -> frozenset[str]:
    """Return the node ids in KNOWN-RED.txt, or an empty set if there is no file."""
    return parse_node_ids(LIST_PATH.read_text()) if LIST_PATH.exists() else frozenset()
