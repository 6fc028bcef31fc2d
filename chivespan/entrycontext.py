"""State shared by the HTTP handlers of one entry process."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol, TypeVar

import anyio
from starlette.requests import ClientDisconnect, Request

from chivespan.addressselector import AddressSelector
from chivespan.auth import Authenticator
from chivespan.claimedcall import ClaimedCalls
from chivespan.clock import Clock
from chivespan.configuration import Configuration
from chivespan.documents import Operator, Owner
from chivespan.drainstate import DrainState
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httpserver import CALLER_SILENCE_TIMEOUT
from chivespan.logs import logger
from chivespan.messages import VmState, VmView
from chivespan.metrics import Metrics
from chivespan.online import OnlineService
from chivespan.settings import NodeSettings


class View(Protocol):
    """The entry's view of configuration and membership."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this VM."""
        ...

    @property
    def vms(self) -> Sequence[VmView]:
        """All VMs with their states."""
        ...


Identity = TypeVar("Identity")

_log = logger("entry")


@dataclass(slots=True)
class EntryContext:
    """State shared by all handlers of one entry process.

    :param caller_silence_timeout: longest silence within a request body.
    :param drain_state: whether the process is draining.
    :param in_progress: number of requests being served.
    """

    settings: NodeSettings
    view: View
    online: OnlineService
    claimed: ClaimedCalls
    addresses: AddressSelector
    metrics: Metrics
    clock: Clock
    caller_silence_timeout: timedelta = CALLER_SILENCE_TIMEOUT
    authenticator: Authenticator = field(default_factory=Authenticator)
    drain_state: DrainState = field(default_factory=DrainState)
    in_progress: int = 0

    @property
    def is_leaving(self) -> bool:
        """Whether this process is draining or its VM is listed as leaving."""
        return self.drain_state.is_draining or any(
            vm.vm == self.settings.vm and vm.state is VmState.leaving
            for vm in self.view.vms
        )

    def start_draining(self, requested_by: str) -> None:
        """Start draining: this entry is removed from address lists.

        :param requested_by: name of the operator or the signal.
        """
        if not self.drain_state.is_draining:
            _log.notice(
                "leaving", requested_by=requested_by, in_progress=self.in_progress
            )
        self.drain_state.start_draining()

    def authenticate(self, request: Request) -> Owner:
        """Return the owner that sent a request.

        :raises ChivespanError: ``unauthenticated``, ``forbidden`` or ``not_ready``.
        """
        return self._identify(request, self.authenticator.owner)

    def authenticate_operator(self, request: Request) -> Operator:
        """Return the operator that sent a request.

        :raises ChivespanError: ``unauthenticated``, ``forbidden`` or ``not_ready``.
        """
        return self._identify(request, self.authenticator.operator)

    async def read_body(self, request: Request) -> bytes:
        """Return the request body.

        :raises ChivespanError: ``body_too_large`` as soon as the limit is exceeded.
        :raises ClientDisconnect: if the caller disconnects or stops sending.
        """
        limit = self.settings.body_limit_bytes
        body = bytearray()
        async for chunk in self._with_silence_timeout(request.stream()):
            body += chunk
            if len(body) > limit:
                reason = f"the body exceeds the limit of {limit} bytes"
                raise ChivespanError(ErrorKind.BODY_TOO_LARGE, reason)
        return bytes(body)

    async def _with_silence_timeout(
        self, chunks: AsyncGenerator[bytes, None]
    ) -> AsyncIterator[bytes]:
        """Yield chunks; a caller that sends none before the timeout is disconnected."""
        while True:
            try:
                with anyio.fail_after(self.caller_silence_timeout.total_seconds()):
                    chunk = await anext(chunks, None)
            except TimeoutError as error:
                raise ClientDisconnect from error
            if chunk is None:
                return
            yield chunk

    def _identify(
        self, request: Request, lookup: Callable[[Configuration, str | None], Identity]
    ) -> Identity:
        self._require_configuration()
        header = request.headers.get("authorization")
        try:
            return lookup(self.view.configuration, header)
        except ChivespanError:
            self.metrics.incr("auth.refused")
            raise

    def _require_configuration(self) -> None:
        if self.view.configuration.offset < 0:
            reason = "this VM has no configuration yet"
            raise ChivespanError(ErrorKind.NOT_READY, reason)
