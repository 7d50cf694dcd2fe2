"""Keeps this process's copy of what the store holds, and the proof of how current it is.

One reading serves everything: configuration, target hosts, plans, presence. Target hosts write
about once a second each, so a waiting watch would return at once, again and again; instead the
changes are collected and read every :data:`PERIOD`. In each data centre one entry host reads the
store and tells the others (:mod:`.relay`); each of them falls back on the store by itself.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful

from ..clock import awake_or_not
from ..exceptions import StoreError, StoreUnavailableError
from ..kernel import Kernel, Task
from ..records import Records
from .changelog import ChangeLog
from .currency import Currency
from .readings import Reading, Source, Sources
from .storage import Change, Item, Revision

PERIOD = 0.65
"""Seconds between two readings. A configuration must be in force 2 s after its write: with two
readings lost and the way there and back, this leaves a margin. Each reading is priced."""

HURRIED_PERIOD = 0.25
"""Seconds between two readings while something is under way, such as a group that forms: each step
of it shows in the store, and a group serves that much sooner."""

HURRY_LASTS = 0.65
"""Seconds of quick readings after the latest change that means something. With 2 s, two runs of a
day of steady losses made 720 and 744 calls in place of 663 to 692, and earned no more."""

RETRY = 0.3
"""Seconds before a failed reading is repeated, at most; half of it at least."""

STALE = 2.5
"""Age in seconds from which on the copy is no base for orders to hosts."""

SHORTEST_PAUSE = 0.02
"""Seconds between two readings from a peer, which answers when it has news or has read again."""


class Follower(NamedTuple):
    """Who is told of keys under a prefix.

    :param replace: takes the whole content anew, with the time of reading
    :param change: takes one change, with the time of reading; returns whether it meant anything
    :param restored: called before ``replace`` takes content that is older than what is held, as the
        store was restored from a backup
    :param kept: returns what is held that the store has lost, for those who read from this host
    """

    prefix: str
    replace: Callable[[Sequence[Item], float], None]
    change: Callable[[str, bytes | None, Revision, float], bool]
    restored: Callable[[float], None] = lambda now: None
    kept: Callable[[], Sequence[Change]] = tuple


class Restorable(Protocol):
    """Keeps a part of the store's content."""

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole content anew."""

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Take one change; return whether it meant anything."""

    def restored(self, now: float) -> None:
        """Take note that the next content is of a store that was restored from a backup."""


def follow(prefix: str, copy: Restorable) -> Follower:
    """Return the follower that keeps a copy."""
    return Follower(prefix, copy.replace, copy.change, copy.restored)


class Mirror(Task):
    """Owns the readings.

    :param settled: called once after each reading, with the time of reading
    :ivar restored: times that the store was restored from a backup
    :param doubted: called before a reading is taken whose missing entries may come back, with the
        time until which they may
    """

    name = "mirror"

    def __init__(
        self,
        kernel: Kernel,
        sources: Sources,
        currency: Currency,
        followers: Sequence[Follower],
        settled: Callable[[float], None],
        doubted: Callable[[float], None],
        entry_return: float,
        records: Records,
        rng: random.Random,
    ) -> None:
        super().__init__(kernel)
        self._sources = sources
        self._currency = currency
        self._followers = followers
        self._settled = settled
        self._doubted = doubted
        self._entry_return = entry_return
        self._records = records
        self._rng = rng
        self.log = ChangeLog()
        self._read_at = float("-inf")
        self._doubt_until = float("-inf")
        self._settled_from = float("-inf")
        self._connected = False
        self._source = ""
        self._was_lost = False
        self.connected_since = float("inf")
        self.restored = 0
        self._hurry_until = float("-inf")
        self._done = asyncio.Event()

    async def start(self) -> None:
        """Start to read."""
        self.spawn(self._follow())

    def age(self, now: float) -> float:
        """Return the age of the copy, in seconds."""
        return now - self._read_at

    def fresh(self, now: float) -> bool:
        """Tell whether the copy is young enough to give orders by."""
        return self.age(now) <= STALE

    async def news(self, after: Revision | None, patience: float) -> Reading | None:
        """Return what a peer lacks, as soon as there is something or this host has read again.

        :param after: the revision that the peer has, ``None`` for nothing at all
        :return: ``None`` if nothing was read or proved within ``patience`` seconds, or the changes
            are gone
        """
        if self._may_wait(after):
            try:
                async with asyncio.timeout(patience):
                    await self._done.wait()
            except TimeoutError:
                # A store that is about to drop its history holds up each reading for a second. The
                # peers need not ask it too while it says that the configuration is unchanged.
                if self._currency.age(awake_or_not()) > patience:
                    return None
        return self._reading_for(after)

    def _may_wait(self, after: Revision | None) -> bool:
        """Tell whether there is nothing to tell a peer yet."""
        if self.log.revision is None or after is None:
            return self.log.revision is None
        if after.generation > self.log.revision.generation:
            return True
        changes = self.log.since(after)
        return changes is not None and not changes

    def _reading_for(self, after: Revision | None) -> Reading | None:
        revision = self.log.revision
        if revision is None or (after is not None and after.generation > revision.generation):
            return None
        # Whoever has read another generation lacks everything, also what was not changed since.
        whole = after is None or after.generation < revision.generation
        changes = self.log.content() if after is None or whole else self.log.since(after)
        if changes is None:
            return None
        proved_at = self._currency.proved_at
        now = awake_or_not()
        doubt, settling = (max(0.0, t - now) for t in (self._doubt_until, self._settled_from))
        return Reading(revision, whole, changes, proved_at, self._read_at, doubt, settling)

    async def _follow(self) -> None:
        while True:
            began = awake_or_not()
            source, error = await self._read()
            now = awake_or_not()
            if error is not None:
                self._disconnect(error)
                wait = RETRY * (0.5 + 0.5 * self._rng.random())
            elif source == "store":
                period = HURRIED_PERIOD if now < self._hurry_until else PERIOD
                wait = max(0.05, period - (now - began))
            else:
                wait = SHORTEST_PAUSE
            await asyncio.sleep(wait)

    async def _read(self) -> tuple[str, StoreError | None]:
        """Read from the first source that answers; return its name, or why the last one failed."""
        error: StoreError = StoreUnavailableError("all sources are left alone for a moment")
        tried: set[str] = set()
        while (source := await self._next_source(tried)) is not None:
            tried.add(source.name)
            began = awake_or_not()
            found = await source.read(self.log.revision, began)
            if is_successful(found):
                self._connect(source, began)
                self._take(found.unwrap())
                return source.name, None
            error = found.failure()
            self._sources.failed(source, error, awake_or_not())
        return "", error

    async def _next_source(self, tried: set[str]) -> Source | None:
        sources = await self._sources.in_order(awake_or_not())
        return next((s for s in sources if s.name not in tried), None)

    def _take(self, found: Reading) -> None:
        now = awake_or_not()
        held = self.log.revision
        if held is not None and found.revision.generation < held.generation:
            return  # it was on its way while the store was restored from a backup
        if found.doubt > 0:
            self._doubt(now + found.doubt)
        if held is not None and found.revision.generation > held.generation:
            self._restored(held, found, now)
        if found.whole:
            self._replace(found, now)
        else:
            meant = [c for c in found.changes if self._change(c, now)]
            self.log.take(found.revision, meant)
            if meant:
                self._hurry_until = now + HURRY_LASTS
        self._read_at = max(self._read_at, found.read_at)
        self._currency.prove(found.proved_at)
        self._settled(now)
        self._done.set()
        self._done.clear()

    def _restored(self, held: Revision, found: Reading, now: float) -> None:
        """Take note that what is read next is older than what is held."""
        self._records.note(
            "dependency",
            "generation began",
            dependency="store",
            generation=found.revision.generation,
            before=held.generation,
            revision=found.revision.number,
            held=held.number,
            source=self._source,
        )
        self.restored += 1
        self.connected_since = now
        self._settled_from = now + found.settling
        self._currency.distrust(self._settled_from)
        self._doubt(now + self._entry_return)
        for follower in self._followers:
            follower.restored(now)

    def _replace(self, found: Reading, now: float) -> None:
        content = [c for c in found.changes if self._follower_of(c.key) is not None]
        for follower in self._followers:
            items = [
                Item(c.key, c.value, c.revision)
                for c in content
                if c.value is not None and c.key.startswith(follower.prefix)
            ]
            follower.replace(items, now)
        kept = {c.key: c for f in self._followers for c in f.kept()}
        content = [*(c for c in content if c.key not in kept), *kept.values()]
        self.log.replace(found.revision, content)

    def _change(self, change: Change, now: float) -> bool:
        follower = self._follower_of(change.key)
        if follower is None:
            return False
        return follower.change(change.key, change.value, change.revision, now)

    def _follower_of(self, key: str) -> Follower | None:
        return next((f for f in self._followers if key.startswith(f.prefix)), None)

    def _doubt(self, until: float) -> None:
        self._doubt_until = max(self._doubt_until, until)
        self._doubted(self._doubt_until)

    def _connect(self, source: Source, began: float) -> None:
        if self._connected:
            if source.name != self._source:
                self._note_source(source)
            return
        self._source = source.name
        self._connected = True
        self.connected_since = began
        self._records.note(
            "dependency",
            "regained",
            dependency="store",
            source=source.name,
            after=self.log.revision,
        )
        if self._was_lost:
            self._doubt(awake_or_not() + self._entry_return)

    def _note_source(self, source: Source) -> None:
        """Say that the content comes from elsewhere now: the source before had no answer."""
        self._records.note(
            "dependency",
            "source changed",
            dependency="store",
            source=source.name,
            before=self._source,
            after=self.log.revision,
            age_s=round(self.age(awake_or_not()), 2),
        )
        self._source = source.name

    def _disconnect(self, error: StoreError) -> None:
        if not self._connected:
            return
        self._connected = False
        self._was_lost = True
        self.connected_since = float("inf")
        age = round(self.age(awake_or_not()), 2)
        self._records.note("dependency", "lost", dependency="store", reason=str(error), age_s=age)
