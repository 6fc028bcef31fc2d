"""Counters, gauges and timings, kept in memory and sent to statsd over UDP."""

from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType

import statsd

from chivespan.addresses import parse_address


class Metrics:
    """The metrics of one process.

    :param statsd_address: IP number and port of a statsd server; empty for none.
    :param prefix: prefix of every name that is sent, such as ``chivespan.entry``.
    """

    def __init__(self, statsd_address: str = "", prefix: str = "") -> None:
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._client: statsd.StatsClient | None = None
        if statsd_address:
            address = parse_address(statsd_address)
            ipv6 = ":" in address.host
            self._client = statsd.StatsClient(
                address.host, address.port, prefix=prefix or None, ipv6=ipv6
            )

    @property
    def counters(self) -> Mapping[str, int]:
        """All counters since the process started."""
        return MappingProxyType(self._counters)

    @property
    def gauges(self) -> Mapping[str, float]:
        """The current value of every gauge."""
        return MappingProxyType(self._gauges)

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter.

        >>> metrics = Metrics()
        >>> metrics.incr("refused")
        >>> metrics.counters["refused"]
        1
        """
        self._counters[name] += count
        if self._client:
            self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, duration: timedelta) -> None:
        """Send one duration, which isn't kept in memory."""
        if self._client:
            self._client.timing(name, duration)
