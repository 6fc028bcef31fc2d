"""Faults that the next requests to a target stand-in meet."""

from dataclasses import dataclass


@dataclass
class RequestFaults:
    """What stand-ins of all kinds of targets have in common.

    :param mode: what goes wrong; empty for nothing.
    :param times: requests that meet the fault; -1 for all.
    :param status: of the answers that are errors.
    :param slow_ms: how much later every answer comes.
    """

    mode: str = ""
    times: int = -1
    status: int = 500
    slow_ms: float = 0

    def next_mode(self) -> str:
        """Return the mode for the next request."""
        if not self.mode or self.times == 0:
            return ""
        self.times -= 1
        return self.mode
