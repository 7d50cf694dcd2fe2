"""Selection of the entry host that reads the store, and of the source each other host reads from.

One entry host, the main reader, reads the store for all. In each other data centre one host, the
local reader, polls the main reader, and the other hosts of that data centre poll it. No guarantee
depends on any reader. A host that gets no answer in time reads the store itself, and if the store
rejects it, asks a reader in another data centre. A reader makes up to four calls a second,
regardless of the number of entry hosts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from returns.pipeline import is_successful

from ..clients.httpcall import HttpCaller
from ..clients.keyed import KeyedCopy
from ..clients.relay import PeerSource
from ..clients.storage import Revision, Storage
from ..clients.store_reads import Source, StoreSource
from ..exceptions import IncompletePeerCopyError, NoStoreCopyError, StoreError
from ..ownership import rendezvous
from ..records import Records
from .ownership import PRESENCE_PREFIX, Presence, rank_by_strength

AVOID_SILENT_SECONDS = 2.0
"""Seconds for which an entry host that did not answer is not asked. A failed reader loses its lease
within three seconds and is then replaced."""

AVOID_EMPTY_SECONDS = 1.0
"""Seconds for which a peer that answered that it has no copy of the store's data is not asked."""

AVOID_STORE_SECONDS = 2.0
"""Seconds for which a host that can ask peers does not call a failed store. Rejected calls cost
resources too. Readers keep calling the store, and hosts that poll them learn immediately when it
recovers."""

STORE_FIRST_SECONDS = 0.3
"""Seconds after a peer failed to answer in which the store is tried first. A change must take
effect within 2 s, and the wait for the peer has used much of that. If the main reader is frozen, a
local reader reports only after 0.85 s that it has no reading; asking the main reader next would
take another 1.1 s."""


def reader_of(data_centre: str, alive: Mapping[str, Presence]) -> Presence | None:
    """Return the local reader of a data centre, which may also be the main reader."""
    local = [p for p in alive.values() if p.data_centre == data_centre]
    names = rank_by_strength(f"reader/{data_centre}", local)
    return alive[names[0]] if names else None


def main_reader(alive: Mapping[str, Presence]) -> Presence | None:
    """Return the entry host that reads the store for all: the local reader of one data centre."""
    data_centres = rendezvous("main reader", {p.data_centre for p in alive.values()})
    return reader_of(data_centres[0], alive) if data_centres else None


def peers_to_ask(me: Presence, alive: Mapping[str, Presence]) -> list[Presence]:
    """Return the peers to ask, in order.

    A local reader asks only the main reader. Any other host asks the local reader of its data
    centre first and then, in case the store rejects it too, a reader in another data centre: the
    main reader, or another one if the main reader is in the same data centre. The main reader asks
    the local reader of another data centre.
    """
    own, main = reader_of(me.data_centre, alive), main_reader(alive)
    data_centres = sorted({p.data_centre for p in alive.values()} - {me.data_centre})
    elsewhere = [reader_of(d, alive) for d in data_centres]
    wanted = [own, main, *elsewhere]
    asked = list(dict.fromkeys(p for p in wanted if p is not None and p.name != me.name))
    return asked[: 1 if own is None or own.name == me.name else 2]


def reads_store(me: Presence, alive: Mapping[str, Presence]) -> bool:
    """Return whether a host is the main reader."""
    main = main_reader(alive)
    return main is None or main.name == me.name


class ReadingSources:
    """Orders the sources of readings for this host.

    :param entries: presences of the entry hosts, as cached by the mirror
    :param held: returns the cached revisions, by key, of the keys that freshness checks cover
    :param record_verified: called with the time at which the cached data was verified to be current
    :param copied: key prefixes that a peer's copy must cover. An earlier release may not know some;
        without them this host would take what they hold for absent. Such a peer isn't asked again
        until its process has been replaced
    """

    def __init__(
        self,
        me: Presence,
        storage: Storage,
        prefixes: Sequence[str],
        entries: KeyedCopy[Presence],
        caller: HttpCaller,
        held: Callable[[], Mapping[str, Revision]],
        record_verified: Callable[[float], None],
        records: Records,
        copied: Sequence[str] = (),
    ) -> None:
        self._me = me
        self._copied = copied
        self._records = records
        self._incomplete: dict[str, str] = {}
        self._life_by_name: dict[str, str] = {}
        self._storage = storage
        self._store = StoreSource(storage, prefixes, held, record_verified, records)
        self._entries = entries
        self._caller = caller
        self._avoid_until: dict[str, float] = {}
        self._store_first_until = float("-inf")
        self._presences_loaded = False
        self._reads_store = False
        self._peers: Sequence[Source] = ()
        self._entries_seen = -1

    async def in_order(self, now: float) -> Sequence[Source]:
        """Return the sources to try, without those that are temporarily avoided."""
        if not self._presences_loaded:
            await self._load_presences(now)
        self._update_peers()
        if self._reads_store:
            # The main reader must be the first to detect that the store has recovered, so it never
            # avoids it.
            return [self._store, *self._not_avoided(self._peers, now)]
        if now < self._store_first_until:
            return self._not_avoided([self._store, *self._peers], now)
        return self._not_avoided([*self._peers, self._store], now)

    def _update_peers(self) -> None:
        """Recompute the readers if the entry hosts have changed."""
        if self._entries_seen == self._entries.changes:
            return
        self._entries_seen = self._entries.changes
        alive = {p.name: p for p in self._entries.by_key.values()}
        self._reads_store = self._store.run_freshness_checks = reads_store(self._me, alive)
        self._life_by_name = {name: p.life for name, p in alive.items()}
        self._incomplete = {
            n: life for n, life in self._incomplete.items() if self._life_by_name.get(n) == life
        }
        self._peers = [
            PeerSource(p.name, p.address, self._caller, self._copied)
            for p in peers_to_ask(self._me, alive)
        ]

    def failed(self, source: Source, error: StoreError, now: float) -> None:
        """Record that a source failed, so that it is avoided for a while."""
        if source is self._store:
            seconds = AVOID_STORE_SECONDS
        else:
            if isinstance(error, IncompletePeerCopyError):
                self._incomplete[source.name] = self._life_by_name.get(source.name, "")
                self._records.note("dependency", "peer skipped", reason=str(error))
            seconds = (
                AVOID_EMPTY_SECONDS if isinstance(error, NoStoreCopyError) else AVOID_SILENT_SECONDS
            )
            self._store_first_until = now + STORE_FIRST_SECONDS
        self._avoid_until[source.name] = now + seconds

    def _not_avoided(self, sources: Sequence[Source], now: float) -> list[Source]:
        return [
            s
            for s in sources
            if now >= self._avoid_until.get(s.name, 0.0) and s.name not in self._incomplete
        ]

    async def _load_presences(self, now: float) -> None:
        """Load the presences, so that a starting host can read everything else from a peer."""
        found = await self._storage.list(PRESENCE_PREFIX)
        if is_successful(found):
            self._entries.replace(found.unwrap().items, now)
            self._presences_loaded = True
