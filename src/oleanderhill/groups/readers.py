"""Which entry host reads the store, and where each of the others reads.

One entry host, the main reader, reads the store for all. In each other data centre one host, the
reader there, asks the main reader, and its neighbours ask it. No promise hangs on any of them.
Whoever gets no answer in time asks the store itself, and where the store turns a host away, a
reader elsewhere. A reader makes up to four calls a second, whatever the number of entry hosts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from returns.pipeline import is_successful

from ..clients.httpcall import HttpCaller
from ..clients.keyed import KeyedCopy
from ..clients.readings import Source, StoreSource
from ..clients.relay import PeerSource
from ..clients.storage import Revision, Storage
from ..exceptions import NoReadingError, StoreError
from ..ownership import rendezvous
from ..records import Records
from .ownership import PRESENCE_PREFIX, Presence, ranked

AVOID_SILENT = 2.0
"""Seconds for which an entry host that was silent is not asked. A reader that is gone loses its
lease within three, and another is in its place."""

AVOID_EMPTY = 1.0
"""Seconds for which a reader that can't read the store itself is not asked."""

AVOID_STORE = 2.0
"""Seconds for which a host that has others to ask leaves a store alone that failed. Refused calls
have their price too. The readers go on asking, and who asks them hears of the return at once."""

URGENT = 0.3
"""Seconds after a peer had no answer in which the store goes first: waiting for it has used up most
of the time within which a change must be in force. A reader whose main reader is frozen says that
it has nothing after 0.85 s; asking the frozen one next would take 1.1 s more, of 2 s."""


def reader_of(data_centre: str, alive: Mapping[str, Presence]) -> Presence | None:
    """Return the entry host that reads the store for a data centre."""
    near = [p for p in alive.values() if p.data_centre == data_centre]
    names = ranked(f"reader/{data_centre}", near)
    return alive[names[0]] if names else None


def main_reader(alive: Mapping[str, Presence]) -> Presence | None:
    """Return the entry host that reads the store for all: the reader of one data centre."""
    data_centres = rendezvous("main reader", {p.data_centre for p in alive.values()})
    return reader_of(data_centres[0], alive) if data_centres else None


def peers_to_ask(me: Presence, alive: Mapping[str, Presence]) -> list[Presence]:
    """Return whom a host asks: the reader of its data centre or, being that, the main reader.

    Then one elsewhere, for a host that the store turns away: the main reader, or where it is of
    this data centre another.
    """
    own, main = reader_of(me.data_centre, alive), main_reader(alive)
    data_centres = sorted({p.data_centre for p in alive.values()} - {me.data_centre})
    elsewhere = [reader_of(d, alive) for d in data_centres]
    wanted = [own, main, *elsewhere]
    asked = list(dict.fromkeys(p for p in wanted if p is not None and p.name != me.name))
    return asked[: 1 if own is None or own.name == me.name else 2]


def reads_store(me: Presence, alive: Mapping[str, Presence]) -> bool:
    """Tell whether a host reads the store for all."""
    main = main_reader(alive)
    return main is None or main.name == me.name


class ReadingSources:
    """Puts the sources in order for this host.

    :param entries: the entry hosts' presences, kept by the mirror
    :param held: returns the revisions held of the keys whose currency is proved, by key
    :param prove: takes the time at which what is held was the newest
    """

    def __init__(
        self,
        me: Presence,
        storage: Storage,
        prefixes: Sequence[str],
        entries: KeyedCopy[Presence],
        caller: HttpCaller,
        held: Callable[[], Mapping[str, Revision]],
        prove: Callable[[float], None],
        records: Records,
    ) -> None:
        self._me = me
        self._storage = storage
        self._store = StoreSource(storage, prefixes, held, prove, records)
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
        self._reads_store = self._store.checks = reads_store(self._me, alive)
        self._peers = [
            PeerSource(p.name, p.address, self._caller) for p in peers_to_ask(self._me, alive)
        ]

    def failed(self, source: Source, error: StoreError, now: float) -> None:
        """Take note that a source had no answer."""
        if source is self._store:
            seconds = AVOID_STORE
        else:
            seconds = AVOID_EMPTY if isinstance(error, NoReadingError) else AVOID_SILENT
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
