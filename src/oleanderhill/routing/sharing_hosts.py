"""The entry hosts that share limits, over the seconds in which their lists of each other differ.

Entry hosts learn of a host that joined or left at different times. If each of them selected the
sharers of a limit from its newest list alone, the host that gained a share and the one that lost it
would both send for a while. A host therefore ranks all names that it has listed recently, and takes
a share only if all its recent lists contain itself. Everybody who sends is then among the first in
every list that anybody held meanwhile.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection
from typing import NamedTuple

import xxhash

_HASH_BITS = 64


class HostRanking:
    """Ranks hosts for a key by the distance (XOR) of their hashes from that of the key.

    Like rendezvous hashing, a host that joins or leaves changes no order among the others. The
    first hosts are found without a hash of each host for each key, which a large fleet with many
    keys could not afford.
    """

    def __init__(self, hosts: Collection[str]) -> None:
        ranked = sorted((xxhash.xxh64_intdigest(name.encode()), name) for name in hosts)
        self._hashes = [digest for digest, _ in ranked]
        self._names = [name for _, name in ranked]

    def first(self, key: str, count: int) -> tuple[str, ...]:
        """Return the ``count`` hosts that rank first for a key, best first."""
        point = xxhash.xxh64_intdigest(key.encode())
        first, last = self._range_with(point, min(count, len(self._names)))
        distances = sorted((self._hashes[n] ^ point, self._names[n]) for n in range(first, last))
        return tuple(name for _, name in distances[:count])

    def _range_with(self, point: int, count: int) -> tuple[int, int]:
        """Return the range of the hosts that share the longest hash prefix with a point.

        Any host outside is farther from the point than all of them.
        """
        spread = len(self._hashes) // max(1, count)
        for bits in range(_HASH_BITS - spread.bit_length(), _HASH_BITS + 1):
            low = point >> bits << bits
            first = bisect_left(self._hashes, low)
            last = bisect_left(self._hashes, low + (1 << bits), first)
            if last - first >= count:
                break
        return first, last


class _View(NamedTuple):
    since: float
    hosts: frozenset[str]


class Sharing(NamedTuple):
    """The hosts among which the sharers of a limit are selected.

    :param version: changes whenever another field does
    :param hosts: all names that were listed recently
    :param ranking: of these hosts
    :param settled_at: time from which this host may use its shares, infinity while it is not listed
    """

    version: int
    hosts: frozenset[str]
    ranking: HostRanking
    settled_at: float


class SharingHosts:
    """The lists of entry hosts that this host has held in the last seconds.

    :param me: name of this entry host
    :param delay: seconds for which a list is remembered: the time in which all hosts learn of a
        change, and one window of the limits
    """

    def __init__(self, me: str, delay: float) -> None:
        self._me = me
        self._delay = delay
        self._views: list[_View] = []
        self._sharing = Sharing(0, frozenset(), HostRanking(()), float("inf"))
        # Computed when it is needed, so that fleets without cold targets don't rank their hosts.
        self._valid_until = float("-inf")

    def update(self, hosts: Collection[str], now: float) -> None:
        """Record the list of present entry hosts."""
        names = frozenset(hosts)
        if self._views and self._views[-1].hosts == names:
            return
        self._views.append(_View(now, names))
        self._drop_old_views(now)
        self._valid_until = float("-inf")

    def at(self, now: float) -> Sharing:
        """Return the hosts that share limits at a time."""
        if now >= self._valid_until:
            self._drop_old_views(now)
            self._recompute()
        return self._sharing

    def _drop_old_views(self, now: float) -> None:
        while len(self._views) > 1 and now - self._views[1].since >= self._delay:
            del self._views[0]

    def _recompute(self) -> None:
        self._valid_until = (
            self._views[1].since + self._delay if len(self._views) > 1 else float("inf")
        )
        before = self._sharing
        hosts = frozenset().union(*(v.hosts for v in self._views))
        ranking = before.ranking if hosts == before.hosts else HostRanking(hosts)
        self._sharing = Sharing(before.version + 1, hosts, ranking, self._settled_at())

    def _settled_at(self) -> float:
        listed_since = float("inf")
        for view in reversed(self._views):
            if self._me not in view.hosts:
                break
            listed_since = view.since
        return listed_since + self._delay
