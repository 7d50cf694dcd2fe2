"""Which peer entry host passes on requests to targets that this one can't reach.

Decides without I/O.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

AVOID_SECONDS = 1.0
"""Seconds for which a peer that could not help is avoided."""

MIN_NOT_REACHED = 2
"""Targets that a peer could not reach, and none between, from which it is avoided for all targets,
unless it just helped. One target that failed doesn't tell that the links of the peer did."""

HELPED_SECONDS = 1.0
"""Seconds after a peer passed a request on in which targets that it can't reach are taken to be
lost, as several may be at a time."""

PROVEN_SECONDS = 5.0
"""Seconds after its last request for which a peer is known to help."""

UNPROVEN_PENALTY = 8.0
"""Requests in flight at a proven peer from which one that is not proven is preferred."""

REMOTE_PENALTY = 4.0
"""Requests in flight at a peer of the same data centre from which one of another data centre is
preferred: traffic between data centres costs money, yet often most of a data centre is cut off."""

DOUBT_PENALTY = 16.0
"""Requests in flight at a proven peer from which one of a data centre is preferred where all peers
that were tried could not help."""

SAMPLE_SIZE = 6
"""Peers of each part of the list that are considered for a request, beside those that are proven.
All hosts that are cut off choose at the same time, and each should try others."""


class Peer(NamedTuple):
    """An entry host that may pass on requests.

    :param address: ``ip:port`` of its proxy
    """

    name: str
    address: str
    data_centre: str


class PeerList(NamedTuple):
    """The other entry hosts.

    :param local: those of the same data centre
    """

    local: Sequence[Peer] = ()
    remote: Sequence[Peer] = ()


class Proxies:
    """Tracks the peers through which requests were sent.

    :param data_centre: data centre of this entry host
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._avoid_until: dict[str, float] = {}
        self._not_reached_until: dict[str, dict[str, float]] = {}
        self._unlisted_until: dict[tuple[str, str], float] = {}
        self._proven: dict[Peer, float] = {}
        self._failed_by_data_centre: dict[str, set[str]] = {}
        self._in_flight: Counter[str] = Counter()

    def choose(
        self, peers: PeerList, tried: Collection[str], address: str, now: float
    ) -> Peer | None:
        """Return the peer for a request to an address, ``None`` if none is worth trying."""
        self._proven = {p: at for p, at in self._proven.items() if now - at <= PROVEN_SECONDS}
        proven = [p for p in self._proven if p in peers.local or p in peers.remote]
        considered = [*proven, *self._sample(peers.local, now), *self._sample(peers.remote, now)]
        usable = [
            p
            for p in considered
            if p.name not in tried
            and self._may_try(p, now)
            and self._not_reached_until.get(p.name, {}).get(address, 0.0) <= now
            and self._unlisted_until.get((p.name, address), 0.0) <= now
        ]
        if tried:
            usable = [p for p in usable if p in self._proven] or usable
        if not usable:
            return None
        doubts = {d: self._doubt(d) for d in {p.data_centre for p in usable}}
        return min(usable, key=lambda p: (self._rank(p, doubts), self._rng.random()))

    def begin(self, peer: str) -> None:
        """Count a request that is sent through a peer."""
        self._in_flight[peer] += 1

    def end(self, peer: str) -> None:
        """Stop counting a request."""
        self._in_flight[peer] -= 1
        if self._in_flight[peer] <= 0:
            del self._in_flight[peer]

    def took(self, peer: Peer, now: float) -> None:
        """Record that a peer reached a target."""
        self._proven[peer] = now
        self._failed_by_data_centre.get(peer.data_centre, set()).discard(peer.name)
        self._avoid_until.pop(peer.name, None)
        self._not_reached_until.pop(peer.name, None)

    def avoid(self, peer: Peer, now: float) -> bool:
        """Record that a peer can't help; return whether it was not avoided before."""
        self._avoid_until = {p: until for p, until in self._avoid_until.items() if until > now}
        is_new = peer.name not in self._avoid_until
        self._avoid_until[peer.name] = now + AVOID_SECONDS
        self._record_failure(peer)
        self._proven.pop(peer, None)
        return is_new

    def not_reached(self, peer: Peer, address: str, now: float) -> bool:
        """Record that a peer could not connect to an address.

        :return: whether the peer is avoided for all targets from now on, and was not before
        """
        self._not_reached_until.setdefault(peer.name, {})[address] = now + AVOID_SECONDS
        self._not_reached_until = {
            name: recent
            for name, known in self._not_reached_until.items()
            if (recent := {a: until for a, until in known.items() if until > now})
        }
        self._record_failure(peer)
        helped = now - self._proven.get(peer, float("-inf")) < HELPED_SECONDS
        if helped or len(self._not_reached_until[peer.name]) < MIN_NOT_REACHED:
            return False
        return self.avoid(peer, now)

    def unlisted(self, peer: Peer, address: str, now: float) -> None:
        """Record that a peer does not list the target at an address."""
        self._unlisted_until = {k: t for k, t in self._unlisted_until.items() if t > now}
        self._unlisted_until[peer.name, address] = now + AVOID_SECONDS

    def _may_try(self, peer: Peer, now: float) -> bool:
        return self._avoid_until.get(peer.name, 0.0) <= now

    def _sample(self, peers: Sequence[Peer], now: float) -> Sequence[Peer]:
        """Return some of the peers, of those that may be tried if these are few."""
        found = self._rng.sample(peers, min(SAMPLE_SIZE, len(peers)))
        if any(self._may_try(p, now) for p in found):
            return found
        return [p for p in peers if self._may_try(p, now)][:SAMPLE_SIZE]

    def _record_failure(self, peer: Peer) -> None:
        """Count a peer that could not help, and drop those that may be tried again."""
        failed = self._failed_by_data_centre.setdefault(peer.data_centre, set())
        failed.intersection_update([*self._avoid_until, *self._not_reached_until])
        failed.add(peer.name)

    def _doubt(self, data_centre: str) -> float:
        """Return the share of the peers of a data centre that could not help, of those tried."""
        failed = len(self._failed_by_data_centre.get(data_centre, ()))
        proven = sum(p.data_centre == data_centre for p in self._proven)
        return failed / (failed + proven + 1)

    def _rank(self, peer: Peer, doubts: Mapping[str, float]) -> float:
        remote = REMOTE_PENALTY if peer.data_centre != self._data_centre else 0.0
        unproven = UNPROVEN_PENALTY + DOUBT_PENALTY * doubts[peer.data_centre]
        return self._in_flight[peer.name] + remote + (0.0 if peer in self._proven else unproven)
