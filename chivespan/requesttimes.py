"""How long requests of each route may take, from those that were answered recently."""

from datetime import timedelta

# The longest time is forgotten by so much with each request that is shorter.
KEPT_SHARE = 0.98
MAX_ROUTES = 4096


class RequestTimes:
    """The longest recent times from a request's arrival to its whole response."""

    def __init__(self) -> None:
        self._longest: dict[str, timedelta] = {}

    def record(self, route: str, took: timedelta) -> None:
        """Record a request that was answered."""
        known = self._longest.pop(route, timedelta(0))
        self._longest[route] = max(took, known * KEPT_SHARE)
        if len(self._longest) > MAX_ROUTES:
            del self._longest[next(iter(self._longest))]

    def longest(self, route: str) -> timedelta | None:
        """Return how long a request may take; None if none was answered yet."""
        return self._longest.get(route)
