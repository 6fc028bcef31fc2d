"""The program chivespan-dispatch: a VM's control process."""

import os
import signal
from functools import partial

import anyio
from anyio.abc import TaskGroup

from chivespan.clock import SystemClock
from chivespan.dispatcher import Dispatcher
from chivespan.engineclient import EngineClient
from chivespan.httplog import HttpLog
from chivespan.httpvmlist import HttpVmList
from chivespan.logs import configure_logging
from chivespan.metrics import Metrics
from chivespan.options import start
from chivespan.settings import NodeSettings
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
        tasks.start_soon(_leave_on_signal, dispatcher, tasks)
        await dispatcher.run()
        tasks.cancel_scope.cancel()


async def _leave_on_signal(dispatcher: Dispatcher, tasks: TaskGroup) -> None:
    """Drain on the first signal, end at once on the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        draining = False
        async for _ in signals:
            if draining:
                tasks.cancel_scope.cancel()
                return
            draining = True
            tasks.start_soon(dispatcher.drain)


def main() -> None:
    """Start the program with the settings of its flags and environment."""
    settings = start(NodeSettings, os.environ)
    configure_logging(PROGRAM, settings.vm, settings.log_level)
    anyio.run(
        partial(serve, settings),
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )


if __name__ == "__main__":
    main()
