"""Faults that apply to the next requests to a target stand-in."""

from dataclasses import dataclass


@dataclass
class RequestFaults:
    """Faults common to the stand-ins of all kinds of targets.

    :param mode: kind of fault; empty for none.
    :param times: number of requests that the fault applies to; -1 for all.
    :param status: HTTP status of error responses.
    :param slow_ms: delay of every response.
    """

    mode: str = ""
    times: int = -1
    status: int = 500
    slow_ms: float = 0

    def next_mode(self) -> str:
        """Return the fault mode for the next request and count the request."""
        if not self.mode or self.times == 0:
            return ""
        self.times -= 1
        return self.mode
