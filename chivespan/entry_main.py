"""The program chivespan-entry, which serves HTTP to callers on every VM."""

import os

import anyio

from chivespan.drain import drain_on_signal
from chivespan.entry import Entry
from chivespan.logs import configure_logging, logger
from chivespan.metrics import Metrics
from chivespan.options import load_settings_or_exit
from chivespan.settings import NodeSettings
from chivespan.targethttp import TargetHttp

_log = logger("entry")


def main() -> None:
    """Run the program with the flags and environment of this process."""
    settings = load_settings_or_exit(NodeSettings, os.environ)
    configure_logging("chivespan-entry", settings.vm, settings.log_level)
    anyio.run(serve, settings, backend_options={"use_uvloop": True})


async def serve(settings: NodeSettings) -> None:
    """Serve callers until the process is drained or stopped by a signal."""
    metrics = Metrics(settings.statsd_address, "chivespan.entry")
    async with TargetHttp() as http, anyio.create_task_group() as tasks:
        entry = Entry(settings, http, metrics)
        tasks.start_soon(drain_on_signal, entry.context, entry.server, tasks)
        _log.notice("serving", port=settings.entry_port)
        await entry.serve()
        tasks.cancel_scope.cancel()
    _log.notice("ended")


if __name__ == "__main__":
    main()
