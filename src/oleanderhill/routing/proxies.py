"""Which peer entry host passes on requests to targets that this one can't reach.

Decides without I/O.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

AVOID_SECONDS = 1.0
"""Seconds for which a peer that could not help is avoided."""

PROVEN_SECONDS = 5.0
"""Seconds after its last request for which a peer is known to help."""

UNPROVEN_PENALTY = 8.0
"""Requests in flight at a proven peer from which one that is not proven is preferred."""

REMOTE_PENALTY = 4.0
"""Requests in flight at a peer of the same data centre from which one of another data centre is
preferred: traffic between data centres costs money, yet often most of a data centre is cut off."""


class Peer(NamedTuple):
    """An entry host that may pass on requests.

    :param address: ``ip:port`` of its proxy
    """

    name: str
    address: str
    data_centre: str


class Proxies:
    """Tracks the peers through which requests were sent.

    :param data_centre: data centre of this entry host
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._avoid_until: dict[str, float] = {}
        self._proven_at: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()

    def choose(self, peers: Iterable[Peer], tried: Collection[str], now: float) -> Peer | None:
        """Return the peer for a request, ``None`` if none is worth trying."""
        usable = [
            p for p in peers if p.name not in tried and self._avoid_until.get(p.name, 0.0) <= now
        ]
        if not usable:
            return None
        return min(usable, key=lambda p: (self._rank(p, now), self._rng.random()))

    def begin(self, peer: str) -> None:
        """Count a request that is sent through a peer."""
        self._in_flight[peer] += 1

    def end(self, peer: str) -> None:
        """Stop counting a request."""
        self._in_flight[peer] -= 1
        if self._in_flight[peer] <= 0:
            del self._in_flight[peer]

    def took(self, peer: str, now: float) -> None:
        """Record that a peer took a request."""
        self._proven_at[peer] = now
        self._avoid_until.pop(peer, None)

    def avoid(self, peer: str, now: float) -> None:
        """Record that a peer can't help."""
        self._avoid_until = {p: until for p, until in self._avoid_until.items() if until > now}
        self._avoid_until[peer] = now + AVOID_SECONDS
        self._proven_at.pop(peer, None)

    def _rank(self, peer: Peer, now: float) -> float:
        proven = now - self._proven_at.get(peer.name, float("-inf")) <= PROVEN_SECONDS
        remote = REMOTE_PENALTY if peer.data_centre != self._data_centre else 0.0
        return self._in_flight[peer.name] + remote + (0.0 if proven else UNPROVEN_PENALTY)
