"""A customer, as the operator's configuration describes it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Customer:
    """Someone whose callers are known by their keys.

    :param name: unique name, sent to targets with each request.
    :param priority: priority of its requests, which goes before that of the route; 0 is
        the most urgent, None for that of the route.
    :param rate_per_s: requests per second that all nodes together admit; 0 for no
        quota.
    :param burst: requests that may be admitted at once beyond the rate.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether the number of its requests is limited."""
        return self.rate_per_s > 0
