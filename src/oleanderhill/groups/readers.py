"""Which entry hosts read the store, and where each of the others reads.

In each data centre one entry host reads the store for all: read by each of ninety, the store's
price came to a sixth of what a day earned. No promise hangs on that host. Whoever gets no answer
from it in time asks the store itself, and where the store turns a host away, a reader elsewhere.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from returns.pipeline import is_successful

from ..clients.httpcall import HttpCaller
from ..clients.keyed import KeyedCopy
from ..clients.readings import Source, StoreSource
from ..clients.relay import PeerSource
from ..clients.storage import Storage
from ..ownership import rendezvous
from .ownership import PRESENCE_PREFIX, Presence

AVOID_SECONDS = 2.0
"""Seconds for which a source that did not answer is asked last. A reader that is gone loses its
lease within three, and another is in its place."""


def reader_of(data_centre: str, alive: Mapping[str, Presence]) -> Presence | None:
    """Return the entry host that reads the store for a data centre."""
    names = [p.name for p in alive.values() if p.data_centre == data_centre]
    ranked = rendezvous(f"reader/{data_centre}", names)
    return alive[ranked[0]] if ranked else None


def reading_order(me: Presence, alive: Mapping[str, Presence]) -> list[Presence | None]:
    """Return whom a host asks, the first one first; ``None`` stands for the store."""
    data_centres = sorted({p.data_centre for p in alive.values()} - {me.data_centre})
    others = [reader_of(d, alive) for d in data_centres]
    elsewhere = [o for o in others if o is not None][:1]
    own = reader_of(me.data_centre, alive)
    if own is None or own.name == me.name:
        return [None, *elsewhere]
    return [own, None, *elsewhere]


class ReadingSources:
    """Puts the sources in order for this host.

    :param entries: the entry hosts' presences, kept by the mirror
    """

    def __init__(
        self,
        me: Presence,
        storage: Storage,
        prefixes: Sequence[str],
        entries: KeyedCopy[Presence],
        caller: HttpCaller,
    ) -> None:
        self._me = me
        self._storage = storage
        self._store = StoreSource(storage, prefixes)
        self._entries = entries
        self._caller = caller
        self._avoid_until: dict[str, float] = {}
        self._introduced = False

    async def in_order(self, now: float) -> Sequence[Source]:
        """Return the sources to try, those that failed lately last."""
        if not self._introduced:
            await self._introduce(now)
        alive = {p.name: p for p in self._entries.by_key.values()}
        sources = [self._source(p) for p in reading_order(self._me, alive)]
        return sorted(sources, key=lambda s: now < self._avoid_until.get(s.name, 0.0))

    def failed(self, source: Source, now: float) -> None:
        """Take note that a source did not answer."""
        self._avoid_until[source.name] = now + AVOID_SECONDS

    async def _introduce(self, now: float) -> None:
        """Learn who is there, so that a host that starts can ask a peer for all the rest."""
        found = await self._storage.list(PRESENCE_PREFIX)
        if is_successful(found):
            self._entries.replace(found.unwrap().items, now)
            self._introduced = True

    def _source(self, peer: Presence | None) -> Source:
        if peer is None:
            return self._store
        return PeerSource(peer.name, peer.address, self._caller)
