"""Idle connections of a simulated entry host."""

from __future__ import annotations

from .clockwork import VirtualClock

IDLE_SECONDS = 8.0
"""Seconds for which an idle connection stays open, as in the product."""


class IdleConnections:
    """The idle connections of one entry host, by address."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._expiries_by_address: dict[str, list[float]] = {}

    def take(self, address: str) -> None:
        """Use an idle connection to an address if there is one."""
        if self.has(address):
            self._expiries_by_address[address].pop()

    def put(self, address: str) -> None:
        """Keep the connection of a request that has ended."""
        self._expiries_by_address.setdefault(address, []).append(self._clock.now + IDLE_SECONDS)

    def has(self, address: str) -> bool:
        """Return whether there is an idle connection to an address."""
        expiries = self._expiries_by_address.get(address, [])
        return any(at > self._clock.now for at in expiries[-1:])
