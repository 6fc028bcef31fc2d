"""Runs the process of a node with the settings file named by the environment."""

import logging
import os

import anyio

from chivespan.clock import SystemClock
from chivespan.jsonlog import JsonLineHandler, stdout_writer
from chivespan.node import Node
from chivespan.nodepolicies import NodePolicies
from chivespan.platform.settingsfile import read_settings, settings_path


def run() -> None:
    """Run a node until it is told to stop."""
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
    """Discard log records of libraries, which would be plain text on stderr."""
    for name in ("uvicorn", "uvicorn.error", "websockets", "asyncio"):
        library_logger = logging.getLogger(name)
        library_logger.addHandler(logging.NullHandler())
        library_logger.propagate = False
