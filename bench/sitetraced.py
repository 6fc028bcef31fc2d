"""Runs a program of the product with tracing of its slots.

The first argument names the program. Each slot event is a JSON line on standard output,
which the benchmark joins with the engines' journals and the callers' records.
"""

import importlib
import sys
import time
from collections.abc import Callable

import anyio
import msgspec

from chivespan.grantclient import GrantClient
from chivespan.heldslot import HeldSlot
from chivespan.messages import Grant, GrantRelease, GrantRequest

MODULE = "bench.sitetraced"


class SlotEvent(msgspec.Struct, frozen=True):
    """One state change of a slot.

    :param at: wall time in seconds.
    :param event: asked, granted, revoked or released.
    """

    at: float
    event: str
    request_id: str
    target: str = ""


class _TracedRevocation(anyio.Event):
    """An event that writes a trace line when it is set."""

    def __new__(cls, _request_id: str, _target: str) -> "_TracedRevocation":
        return object.__new__(cls)

    def __init__(self, request_id: str, target: str) -> None:
        self._event = anyio.Event()
        self._request_id = request_id
        self._target = target

    def set(self) -> None:
        _write("revoked", self._request_id, self._target)
        self._event.set()

    def is_set(self) -> bool:
        return self._event.is_set()

    async def wait(self) -> None:
        await self._event.wait()


def launch_arguments(program: str) -> tuple[str, ...]:
    """Return the module and argument that start a program with tracing."""
    return MODULE, program


def main() -> None:
    """Run the program named on the command line with slot tracing."""
    program = sys.argv.pop(1)
    _trace()
    importlib.import_module(f"chivespan.{program}_main").main()


def _trace() -> None:
    acquire = GrantClient.acquire
    release = GrantClient._release
    init = HeldSlot.__init__

    async def traced_acquire(self: GrantClient, request: GrantRequest) -> HeldSlot:
        _write("asked", request.request_id)
        slot = await acquire(self, request)
        _write("granted", request.request_id, slot.grant.target)
        return slot

    def traced_init(
        self: HeldSlot,
        grant: Grant,
        request: GrantRequest,
        on_release: Callable[[GrantRelease], None],
    ) -> None:
        init(self, grant, request, on_release)
        self.revoked = _TracedRevocation(request.request_id, grant.target)

    def traced_release(self: GrantClient, release_message: GrantRelease) -> None:
        held_grant = self._held.get(release_message.grant_id)
        if held_grant is not None:
            request_id = held_grant.slot.request.request_id
            _write("released", request_id, held_grant.slot.grant.target)
        release(self, release_message)

    setattr(HeldSlot, "__init__", traced_init)  # noqa: B010
    setattr(GrantClient, "acquire", traced_acquire)  # noqa: B010
    setattr(GrantClient, "_release", traced_release)  # noqa: B010


def _write(event: str, request_id: str, target: str = "") -> None:
    line = msgspec.json.encode(SlotEvent(time.time(), event, request_id, target))
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
