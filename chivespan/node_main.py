"""The program chivespan-node: one process on every VM of a fleet."""

import logging
import os

import anyio

from chivespan.clock import SystemClock
from chivespan.jsonlog import JsonLineHandler, stdout_writer
from chivespan.node import Node, NodePolicies
from chivespan.platform.settingsfile import read_settings, settings_path


def main() -> None:
    """Run the program with the settings file that the environment names."""
    path = settings_path(os.environ)
    settings = read_settings(path)
    clock = SystemClock()
    writer = stdout_writer()
    JsonLineHandler(settings.name, writer, clock).push_application()
    _silence_libraries()
    policies = NodePolicies.from_environment(os.environ)
    node = Node(settings, path, clock, writer, policies)
    anyio.run(node.run, backend_options={"use_uvloop": True})


def _silence_libraries() -> None:
    """Drop log lines of libraries, which would go to standard error as plain text."""
    for name in ("uvicorn", "uvicorn.error", "websockets", "asyncio"):
        library = logging.getLogger(name)
        library.addHandler(logging.NullHandler())
        library.propagate = False


if __name__ == "__main__":
    main()
