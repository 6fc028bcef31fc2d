"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

An entry starts with ``test: `` and the test's node id; its other lines are for people.
"""

from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY = "test: "


def parse_node_ids(text: str) -> frozenset[str]:
    """Return the node ids listed.

    >>> sorted(known_red("test: tests/a.py::b\\n  seen: 502\\ntest: tests/a.py::c[1]"))
    ['tests/a.py::b', 'tests/a.py::c[1]']
    """
    lines = (line.strip() for line in text.splitlines())
    return frozenset(
        line.removeprefix(ENTRY).strip() for line in lines if line.startswith(ENTRY)
    )


def listed_node_ids() -> frozenset[str]:
    """Return the node ids that KNOWN-RED.txt lists; none without the file."""
    return parse_node_ids(LIST.read_text()) if LIST.exists() else frozenset()
