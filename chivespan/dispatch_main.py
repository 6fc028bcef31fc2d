"""The program chivespan-dispatch: a VM's control process."""

import os
from functools import partial

import anyio

from chivespan.asynclibrary import settle_async_library
from chivespan.clock import SystemClock
from chivespan.dispatcher import Dispatcher
from chivespan.engineclient import EngineClient
from chivespan.httplog import HttpLog
from chivespan.httpvmlist import HttpVmList
from chivespan.logs import configure_logging
from chivespan.metrics import Metrics
from chivespan.options import start
from chivespan.settings import NodeSettings
from chivespan.signals import leave_on_signal
from chivespan.targethttp import TargetHttp

PROGRAM = "chivespan-dispatch"
METRICS_PREFIX = "chivespan.dispatch"


async def serve(settings: NodeSettings) -> None:
    """Run a dispatcher until it is told to leave and has done so."""
    async with TargetHttp() as http, anyio.create_task_group() as tasks:
        dispatcher = Dispatcher(
            settings,
            HttpLog(settings.log_url),
            HttpVmList(settings.vm_list_url),
            SystemClock(),
            Metrics(settings.statsd_address, METRICS_PREFIX),
            probe=EngineClient(http),
        )

        def leave(_signal_name: str) -> None:
            tasks.start_soon(dispatcher.drain)

        tasks.start_soon(leave_on_signal, tasks, leave)
        await dispatcher.run()
        tasks.cancel_scope.cancel()


def main() -> None:
    """Start the program with the settings of its flags and environment."""
    settings = start(NodeSettings, os.environ)
    settle_async_library()
    configure_logging(PROGRAM, settings.vm, settings.log_level)
    anyio.run(
        partial(serve, settings),
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )


if __name__ == "__main__":
    main()
