"""Stand-in for the platform's VM list, whose changes become visible with a delay."""

import hashlib
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import Literal

import anyio
import fire
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.serving import (
    decode_body,
    error_response,
    json_response,
    parse_options,
    serve_until_stopped,
)


@dataclass(frozen=True)
class VmEntry:
    """One entry of the VM list."""

    vm: str
    data_centre: str
    region: str
    state: Literal["live", "leaving"] = "live"


@dataclass(frozen=True)
class VmListOptions:
    """Command line options of the VM list.

    :param lag_ms: delay until a change becomes visible.
    :param file: JSON file with the initial list; empty for an empty list.
    """

    lag_ms: float = 0
    file: str = ""


@dataclass
class VmListFaults:
    """Active faults; ``PUT /faults`` replaces all of them.

    :param down: whether every read fails with 503.
    :param slow_ms: additional duration of every read.
    :param stale: whether changes stay invisible until this is off again.
    """

    down: bool = False
    slow_ms: float = 0
    stale: bool = False


class VmListStandIn:
    """The VM list, with the changes that are not visible yet."""

    def __init__(
        self, options: VmListOptions | None = None, vms: tuple[VmEntry, ...] = ()
    ) -> None:
        self.options = options or VmListOptions()
        self.faults = VmListFaults()
        self.app = Starlette(
            routes=[
                Route("/vms", self._get, methods=["GET"]),
                Route("/vms", self._put, methods=["PUT"]),
                Route("/faults", self._set_faults, methods=["PUT"]),
            ]
        )
        self._visible = vms or self._from_file()
        self._pending: list[tuple[float, tuple[VmEntry, ...]]] = []

    async def run(self) -> None:
        """Return at once; there is no background work."""

    def set(self, vms: tuple[VmEntry, ...]) -> None:
        """Replace the list; the change becomes visible after the lag."""
        due = time.monotonic() + self.options.lag_ms / 1000
        self._pending.append((due, vms))

    def _from_file(self) -> tuple[VmEntry, ...]:
        if not self.options.file:
            return ()
        with open(self.options.file, "rb") as source:
            return msgspec.json.decode(source.read(), type=tuple[VmEntry, ...])

    def _apply_due_changes(self) -> None:
        while self._pending and self._pending[0][0] <= time.monotonic():
            _, self._visible = self._pending.pop(0)

    async def _get(self, request: Request) -> Response:
        await anyio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return error_response(503, "down")
        if not self.faults.stale:
            self._apply_due_changes()
        answer = json_response(self._visible)
        tag = f'"{hashlib.sha256(bytes(answer.body)).hexdigest()}"'
        if request.headers.get("If-None-Match") == tag:
            return Response(status_code=HTTPStatus.NOT_MODIFIED)
        answer.headers["ETag"] = tag
        return answer

    async def _put(self, request: Request) -> Response:
        self.set(await decode_body(request, tuple[VmEntry, ...]))
        return json_response({})

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await decode_body(request, VmListFaults)
        return json_response(self.faults)


def main(address: str, **flags: object) -> None:
    """Serve the VM list at ``address``."""
    vm_list = VmListStandIn(parse_options(VmListOptions, flags))
    serve_until_stopped([(address, vm_list)])


if __name__ == "__main__":
    fire.Fire(main)
