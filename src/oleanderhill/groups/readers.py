"""Which entry hosts read the store, and where each of the others reads.

In each data centre one entry host reads the store for all: with each of eight reading for itself a
quiet day took 938 to 948 calls, with one in each of three data centres 663 to 692. No promise hangs
on that host. Whoever gets no answer from it in time asks the store itself, and where the store
turns a host away, a reader elsewhere.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from returns.pipeline import is_successful

from ..clients.httpcall import HttpCaller
from ..clients.keyed import KeyedCopy
from ..clients.readings import Source, StoreSource
from ..clients.relay import PeerSource
from ..clients.storage import Storage
from ..exceptions import NoReadingError, StoreError
from ..ownership import rendezvous
from .ownership import PRESENCE_PREFIX, Presence

AVOID_SILENT = 2.0
"""Seconds for which an entry host that was silent is not asked. A reader that is gone loses its
lease within three, and another is in its place."""

AVOID_EMPTY = 1.0
"""Seconds for which a reader that can't read the store itself is not asked."""

AVOID_STORE = 2.0
"""Seconds for which a host that has others to ask leaves a store alone that failed. Refused calls
have their price too. The readers go on asking, and who asks them hears of the return at once."""

URGENT = 0.3
"""Seconds after a peer's silence in which the store goes first: the silence has used up most of the
time within which a change must be in force."""


def reader_of(data_centre: str, alive: Mapping[str, Presence]) -> Presence | None:
    """Return the entry host that reads the store for a data centre."""
    names = [p.name for p in alive.values() if p.data_centre == data_centre]
    ranked = rendezvous(f"reader/{data_centre}", names)
    return alive[ranked[0]] if ranked else None


def peers_to_ask(me: Presence, alive: Mapping[str, Presence]) -> list[Presence]:
    """Return whom a host asks: the reader of its data centre, then one elsewhere."""
    data_centres = sorted({p.data_centre for p in alive.values()} - {me.data_centre})
    elsewhere = [r for d in data_centres if (r := reader_of(d, alive)) is not None]
    own = reader_of(me.data_centre, alive)
    near = [own] if own is not None and own.name != me.name else []
    return [*near, *elsewhere[:1]]


def reads_store(me: Presence, alive: Mapping[str, Presence]) -> bool:
    """Tell whether a host reads the store for its data centre."""
    own = reader_of(me.data_centre, alive)
    return own is None or own.name == me.name


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
        self._urgent_until = float("-inf")
        self._introduced = False
        self._reads_store = False
        self._peers: Sequence[Source] = ()
        self._entries_seen = -1

    async def in_order(self, now: float) -> Sequence[Source]:
        """Return the sources to try, without those to be left alone for a while."""
        if not self._introduced:
            await self._introduce(now)
        self._look_around()
        if self._reads_store:
            # A reader must be the first to know when the store is back, and never leaves it alone.
            return [self._store, *self._sound(self._peers, now)]
        if now < self._urgent_until:
            return self._sound([self._store, *self._peers], now)
        return self._sound([*self._peers, self._store], now)

    def _look_around(self) -> None:
        """Work out who reads, where the entry hosts have changed since."""
        if self._entries_seen == self._entries.changes:
            return
        self._entries_seen = self._entries.changes
        alive = {p.name: p for p in self._entries.by_key.values()}
        self._reads_store = reads_store(self._me, alive)
        self._peers = [
            PeerSource(p.name, p.address, self._caller) for p in peers_to_ask(self._me, alive)
        ]

    def failed(self, source: Source, error: StoreError, now: float) -> None:
        """Take note that a source had no answer."""
        if source is self._store:
            seconds = AVOID_STORE
        elif isinstance(error, NoReadingError):
            seconds = AVOID_EMPTY
        else:
            seconds = AVOID_SILENT
            self._urgent_until = now + URGENT
        self._avoid_until[source.name] = now + seconds

    def _sound(self, sources: Sequence[Source], now: float) -> list[Source]:
        return [s for s in sources if now >= self._avoid_until.get(s.name, 0.0)]

    async def _introduce(self, now: float) -> None:
        """Learn who is there, so that a host that starts can ask a peer for all the rest."""
        found = await self._storage.list(PRESENCE_PREFIX)
        if is_successful(found):
            self._entries.replace(found.unwrap().items, now)
            self._introduced = True
