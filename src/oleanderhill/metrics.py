"""Metrics sent to statsd. Nothing is sent if the boot file names no statsd address."""

from __future__ import annotations

import statsd

PREFIX = "oleanderhill"


class Metrics:
    """Counters, gauges and timings, whose names start with a common prefix and this host's name.

    :param address: ``ip:port`` of the statsd server, ``None`` to send nothing
    """

    def __init__(self, host: str, address: str | None) -> None:
        self._client: statsd.StatsClient | None = None
        self.count_by_name: dict[str, int] = {}
        if address is not None:
            ip, port = address.rsplit(":", 1)
            name = host.replace(".", "_")
            self._client = statsd.StatsClient(ip, int(port), prefix=f"{PREFIX}.{name}")

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter. The total is also kept in memory for the status."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
