"""Decides which connections are ended when those of all clients hold too much memory.

A connection holds what was received of its request and what is not sent of its answer. Whatever
waits for its client can be given up: a request that is not whole, an answer that is not read. What
holds most for longest goes first, so a small request has room however many large ones have stopped.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

CONNECTION_BYTES = 12 * 1024
"""Bytes of the objects of a connection."""

SMALL_BYTES = 64 * 1024
"""Bytes up to which a request may use the room that is kept for small ones."""

LARGE_FRACTION = 0.75
"""Fraction of the limit that larger requests may use."""

EVICTION_FRACTION = 0.9
"""Fraction of what may be used that stays in use after connections were ended, so that this isn't
decided anew at each read."""


class Holding:
    """What one connection holds.

    :param end: ends the connection, or at least what it holds
    :ivar request: bytes received of its request, until the answer is written
    :ivar unsent: bytes of its answer that wait for the client
    :ivar whole: whether its request has been received whole
    :ivar waits_since: monotonic time since which it has waited for its client
    """

    def __init__(self, now: float, end: Callable[[], None]) -> None:
        self.end = end
        self.request = 0
        self.unsent = 0
        self.whole = False
        self.waits_since = now

    @property
    def held(self) -> int:
        """Return the bytes that it holds."""
        return CONNECTION_BYTES + self.request + self.unsent

    @property
    def idle_bytes(self) -> int:
        """Return the bytes that wait for the client."""
        return self.unsent if self.whole else self.held

    def cost(self, now: float) -> float:
        """Return how much it has held for how long, in byte seconds."""
        return self.idle_bytes * max(0.0, now - self.waits_since)


class ConnectionMemory:
    """Counts what all connections of a process hold.

    :param limit: bytes that they may hold
    :ivar held: bytes that they hold
    :ivar evictions: number of connections that were ended to make room
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0
        self.evictions = 0
        self._holdings: set[Holding] = set()

    def open(self, holding: Holding) -> None:
        """Count a new connection."""
        self._holdings.add(holding)
        self.held += holding.held

    def close(self, holding: Holding) -> None:
        """Give back what a connection held. It may be told more than once."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.held -= holding.held
            holding.request = holding.unsent = 0

    def receive(self, holding: Holding, size: int) -> None:
        """Count bytes of a request."""
        if holding in self._holdings:
            holding.request += size
            self.held += size

    def write(self, holding: Holding, size: int) -> None:
        """Count bytes of an answer that wait for the client, or were sent if negative."""
        if holding in self._holdings:
            holding.unsent += size
            self.held += size

    def release_request(self, holding: Holding) -> None:
        """Give back what a request held."""
        self.held -= holding.request
        holding.request = 0

    @property
    def is_full(self) -> bool:
        """Return whether connections hold more than they may."""
        return self.held > self.limit

    def has_room(self, holding: Holding) -> bool:
        """Return whether a connection may receive more of its request."""
        small = holding.request < SMALL_BYTES
        return self.held <= (self.limit if small else LARGE_FRACTION * self.limit)

    def make_room(self, now: float) -> None:
        """End connections until there is room again for requests of any size."""
        for holding in self.chosen(now):
            self.evictions += 1
            holding.end()

    def chosen(self, now: float) -> list[Holding]:
        """Return the connections to end. No small one is ended to make room for large ones."""
        waiting = sorted((h for h in self._holdings if h.idle_bytes), key=lambda h: -h.cost(now))
        large = [h for h in waiting if h.idle_bytes > SMALL_BYTES]
        small = [h for h in waiting if h.idle_bytes <= SMALL_BYTES]
        found = _first(large, self.held - EVICTION_FRACTION * LARGE_FRACTION * self.limit)
        held = self.held - sum(h.idle_bytes for h in found)
        if held <= self.limit:
            return found
        return found + _first(small, held - EVICTION_FRACTION * self.limit)


def _first(holdings: Iterable[Holding], excess: float) -> list[Holding]:
    """Return the first ones that together hold the excess."""
    found: list[Holding] = []
    for holding in holdings:
        if excess <= 0:
            break
        found.append(holding)
        excess -= holding.idle_bytes
    return found
