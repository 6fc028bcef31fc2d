"""Entry point of chivespan-dispatch, the control process of a VM."""

import os
from functools import partial

import anyio

from chivespan.clock import SystemClock
from chivespan.dispatcher import Dispatcher
from chivespan.engineclient import EngineClient
from chivespan.httplog import HttpLog
from chivespan.httpvmlist import HttpVmList
from chivespan.logs import configure_logging
from chivespan.metrics import Metrics
from chivespan.options import load_settings_or_exit
from chivespan.policies import Policies
from chivespan.settings import NodeSettings
from chivespan.signals import shut_down_on_signal
from chivespan.targethttp import TargetHttp

PROGRAM = "chivespan-dispatch"
METRICS_PREFIX = "chivespan.dispatch"


async def serve(settings: NodeSettings, policies: Policies | None = None) -> None:
    """Run a dispatcher until it has been drained after a signal.

    :param policies: policies that replace the default ones, for benchmarks.
    """
    async with TargetHttp() as http, anyio.create_task_group() as tasks:
        dispatcher = Dispatcher(
            settings,
            HttpLog(settings.log_url),
            HttpVmList(settings.vm_list_url),
            SystemClock(),
            Metrics(settings.statsd_address, METRICS_PREFIX),
            policies,
            control=EngineClient(http),
        )

        def leave(_signal_name: str) -> None:
            tasks.start_soon(dispatcher.drain)

        tasks.start_soon(shut_down_on_signal, tasks, leave)
        await dispatcher.run()
        tasks.cancel_scope.cancel()


def main(policies: Policies | None = None) -> None:
    """Run the program with settings from its flags and the environment."""
    settings = load_settings_or_exit(NodeSettings, os.environ)
    configure_logging(PROGRAM, settings.vm, settings.log_level)
    anyio.run(
        partial(serve, settings, policies),
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )


if __name__ == "__main__":
    main()
