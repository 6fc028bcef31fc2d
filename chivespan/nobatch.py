"""Refuses batch."""

from chivespan.callerrequest import CallerRequest, Responder
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.routes import Route


class NoBatch:
    """Refuses every call on batch jobs."""

    async def submit(
        self, request: CallerRequest, route: Route, responder: Responder
    ) -> None:
        """Refuse."""
        raise ChivespanError(ErrorKind.NO_CAPACITY, "no batch")

    async def show(self, request: CallerRequest, responder: Responder) -> None:
        """Refuse."""
        raise ChivespanError(ErrorKind.NO_CAPACITY, "no batch")
