"""Metrics by statsd. Nothing is sent where the boot file names no address."""

from __future__ import annotations

import statsd

PREFIX = "oleanderhill"


class Metrics:
    """Counts, gauges and times, under one prefix and this host's name.

    :param address: ``ip:port`` of the statsd server, ``None`` for none
    """

    def __init__(self, host: str, address: str | None) -> None:
        self._client: statsd.StatsClient | None = None
        self.counted: dict[str, int] = {}
        if address is not None:
            ip, port = address.rsplit(":", 1)
            name = host.replace(".", "_")
            self._client = statsd.StatsClient(ip, int(port), prefix=f"{PREFIX}.{name}")

    def count(self, name: str, by: int = 1) -> None:
        """Add to a count; also kept here, for status."""
        self.counted[name] = self.counted.get(name, 0) + by
        if self._client is not None:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a time."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
