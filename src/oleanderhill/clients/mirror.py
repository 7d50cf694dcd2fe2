"""Maintains the local copy of the store's content and its freshness.

One read covers configuration, target hosts, plans and presence. Each target host writes about once
a second, so a blocking watch would return almost immediately every time; instead, the accumulated
changes are read every :data:`POLL_INTERVAL`. In each data centre one entry host reads the store and
relays the content to the others (:mod:`.relay`), which read the store themselves if that fails.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful

from ..clock import boottime_seconds
from ..exceptions import StoreError, StoreUnavailableError
from ..kernel import Kernel, Task
from ..records import Records
from .changelog import ChangeLog
from .freshness import Freshness
from .storage import Change, Item, Revision
from .store_reads import ReadResult, Source, Sources

POLL_INTERVAL = 0.65
"""Seconds between two reads. A configuration must be in force 2 s after its write; this allows for
two lost reads and the round trip, with a margin. Each read is billed."""

FAST_POLL_INTERVAL = 0.25
"""Seconds between two reads while changes are in progress. A group forms in steps that go through
the store, so faster reads let it serve sooner."""

FAST_POLL_DURATION = 0.65
"""Seconds of fast reads after the latest significant change. With 2 s, a day of steady host losses
takes 720 to 744 store calls instead of 663 to 692, without a benefit."""

RETRY_INTERVAL = 0.3
"""Maximum seconds before a failed read is retried; the minimum is half of it."""

MAX_AGE_FOR_ORDERS = 2.5
"""Maximum age in seconds of a copy on which orders to hosts may be based."""

MIN_PEER_PAUSE = 0.02
"""Seconds between two reads from a peer, which answers once it has changes or has read again."""


class Subscription(NamedTuple):
    """The callbacks for keys under a prefix.

    :param replace: replaces the whole content, with the time of the read
    :param change: applies one change, with the time of the read; returns whether it was significant
    :param restored: called before ``replace`` receives content older than what is held, because the
        store was restored from a backup
    :param retained: returns retained entries that the store has lost, for peers that read from this
        host
    """

    prefix: str
    replace: Callable[[Sequence[Item], float], None]
    change: Callable[[str, bytes | None, Revision, float], bool]
    restored: Callable[[float], None] = lambda now: None
    retained: Callable[[], Sequence[Change]] = tuple


class Restorable(Protocol):
    """A local copy of a part of the store's content."""

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Replace the whole content."""

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Apply one change; return whether it was significant."""

    def restored(self, now: float) -> None:
        """Record that the next content comes from a store that was restored from a backup."""


def subscribe(prefix: str, copy: Restorable) -> Subscription:
    """Return the callbacks that maintain a copy."""
    return Subscription(prefix, copy.replace, copy.change, copy.restored)


class Mirror(Task):
    """Reads the store or a peer periodically and passes the changes to the callbacks.

    :param on_applied: called once after each read is applied, with the current time
    :param on_uncertain: called after an outage or a restore of the store, before the next read is
        applied, with the time until which entries missing from it may reappear
    :param entry_return: seconds within which hosts write their entries again after an outage or a
        restore of the store
    :ivar restored: number of times that the store was restored from a backup
    """

    name = "mirror"

    def __init__(
        self,
        kernel: Kernel,
        sources: Sources,
        freshness: Freshness,
        subscriptions: Sequence[Subscription],
        on_applied: Callable[[float], None],
        on_uncertain: Callable[[float], None],
        entry_return: float,
        records: Records,
        rng: random.Random,
    ) -> None:
        super().__init__(kernel)
        self._sources = sources
        self._freshness = freshness
        self._subscriptions = subscriptions
        self._on_applied = on_applied
        self._on_uncertain = on_uncertain
        self._entry_return = entry_return
        self._records = records
        self._rng = rng
        self.log = ChangeLog()
        self._read_at = float("-inf")
        self._uncertain_until = float("-inf")
        self._trusted_from = float("-inf")
        self._connected = False
        self._source = ""
        self._was_disconnected = False
        self.connected_since = float("inf")
        self.restored = 0
        self._fast_poll_until = float("-inf")
        self._read_applied = asyncio.Event()

    @property
    def prefixes(self) -> Sequence[str]:
        """Return the key prefixes that the copy covers."""
        return [f.prefix for f in self._subscriptions]

    @property
    def read_at(self) -> float:
        """Return the time at which the store was last asked for content that was applied."""
        return self._read_at

    async def start(self) -> None:
        """Start reading."""
        self.spawn(self._read_loop())

    def age(self, now: float) -> float:
        """Return the age of the copy, in seconds."""
        return now - self._read_at

    def fresh(self, now: float) -> bool:
        """Return whether the copy is recent enough to base orders on."""
        return self.age(now) <= MAX_AGE_FOR_ORDERS

    async def wait_for_changes(self, after: Revision | None, max_wait: float) -> ReadResult | None:
        """Wait until there are changes for a peer or this host has read again, and return them.

        :param after: the revision that the peer has, ``None`` if it has no content
        :return: ``None`` if nothing was read or verified within ``max_wait`` seconds, or if the
            changes are no longer retained
        """
        if self._has_no_changes_for(after):
            try:
                async with asyncio.timeout(max_wait):
                    await self._read_applied.wait()
            except TimeoutError:
                # A store that is about to drop its history delays each read by a second. While this
                # host's freshness checks succeed, its peers need not read the store themselves.
                if self._freshness.age(boottime_seconds()) > max_wait:
                    return None
        return self._reading_after(after)

    def _has_no_changes_for(self, after: Revision | None) -> bool:
        """Return whether there are no changes to send to a peer yet."""
        if self.log.revision is None or after is None:
            return self.log.revision is None
        if after.generation > self.log.revision.generation:
            return True
        changes = self.log.since(after)
        return changes is not None and not changes

    def _reading_after(self, after: Revision | None) -> ReadResult | None:
        revision = self.log.revision
        if revision is None or (after is not None and after.generation > revision.generation):
            return None
        # A peer at an earlier generation needs the whole content, unchanged entries included.
        full = after is None or after.generation < revision.generation
        changes = self.log.content() if after is None or full else self.log.since(after)
        if changes is None:
            return None
        verified_at = self._freshness.verified_at
        now = boottime_seconds()
        uncertain_s, settle_s = (
            max(0.0, t - now) for t in (self._uncertain_until, self._trusted_from)
        )
        return ReadResult(
            revision, full, changes, verified_at, self._read_at, uncertain_s, settle_s
        )

    async def _read_loop(self) -> None:
        while True:
            began = boottime_seconds()
            source, error = await self._read()
            now = boottime_seconds()
            if error is not None:
                self._disconnect(error)
                wait = RETRY_INTERVAL * (0.5 + 0.5 * self._rng.random())
            elif source == "store":
                period = FAST_POLL_INTERVAL if now < self._fast_poll_until else POLL_INTERVAL
                wait = max(0.05, period - (now - began))
            else:
                wait = MIN_PEER_PAUSE
            await asyncio.sleep(wait)

    async def _read(self) -> tuple[str, StoreError | None]:
        """Read from the first source that answers; return its name or the last error."""
        error: StoreError = StoreUnavailableError("all sources are in back-off")
        tried: set[str] = set()
        while (source := await self._next_source(tried)) is not None:
            tried.add(source.name)
            began = boottime_seconds()
            found = await source.read(self.log.revision, began)
            if is_successful(found):
                self._connect(source, began)
                self._apply_reading(found.unwrap())
                return source.name, None
            error = found.failure()
            self._sources.failed(source, error, boottime_seconds())
        return "", error

    async def _next_source(self, tried: set[str]) -> Source | None:
        sources = await self._sources.in_order(boottime_seconds())
        return next((s for s in sources if s.name not in tried), None)

    def _apply_reading(self, found: ReadResult) -> None:
        now = boottime_seconds()
        held = self.log.revision
        if held is not None and found.revision.generation < held.generation:
            return  # read before the store was restored from a backup
        if found.uncertain_s > 0:
            self._mark_uncertain(now + found.uncertain_s)
        if held is not None and found.revision.generation > held.generation:
            self._begin_generation(held, found, now)
        if found.full:
            self._replace(found, now)
        else:
            significant = [c for c in found.changes if self._change(c, now)]
            self.log.apply(found.revision, significant)
            if significant:
                self._fast_poll_until = now + FAST_POLL_DURATION
        self._read_at = max(self._read_at, found.read_at)
        self._freshness.record_verified(found.verified_at)
        self._on_applied(now)
        self._read_applied.set()
        self._read_applied.clear()

    def _begin_generation(self, held: Revision, found: ReadResult, now: float) -> None:
        """Prepare for content of a restored store, which is older than the held content."""
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
        self._trusted_from = now + found.settle_s
        self._freshness.ignore_checks_before(self._trusted_from)
        self._mark_uncertain(now + self._entry_return)
        for follower in self._subscriptions:
            follower.restored(now)

    def _replace(self, found: ReadResult, now: float) -> None:
        content = [c for c in found.changes if self._subscription_for(c.key) is not None]
        for follower in self._subscriptions:
            items = [
                Item(c.key, c.value, c.revision)
                for c in content
                if c.value is not None and c.key.startswith(follower.prefix)
            ]
            follower.replace(items, now)
        retained = {c.key: c for f in self._subscriptions for c in f.retained()}
        content = [*(c for c in content if c.key not in retained), *retained.values()]
        self.log.replace(found.revision, content)

    def _change(self, change: Change, now: float) -> bool:
        follower = self._subscription_for(change.key)
        if follower is None:
            return False
        return follower.change(change.key, change.value, change.revision, now)

    def _subscription_for(self, key: str) -> Subscription | None:
        return next((f for f in self._subscriptions if key.startswith(f.prefix)), None)

    def _mark_uncertain(self, until: float) -> None:
        self._uncertain_until = max(self._uncertain_until, until)
        self._on_uncertain(self._uncertain_until)

    def _connect(self, source: Source, began: float) -> None:
        if self._connected:
            if source.name != self._source:
                self._log_source_change(source)
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
        if self._was_disconnected:
            self._mark_uncertain(boottime_seconds() + self._entry_return)

    def _log_source_change(self, source: Source) -> None:
        """Log that another source is used, as the previous one did not answer."""
        self._records.note(
            "dependency",
            "source changed",
            dependency="store",
            source=source.name,
            before=self._source,
            after=self.log.revision,
            age_s=round(self.age(boottime_seconds()), 2),
        )
        self._source = source.name

    def _disconnect(self, error: StoreError) -> None:
        if not self._connected:
            return
        self._connected = False
        self._was_disconnected = True
        self.connected_since = float("inf")
        age = round(self.age(boottime_seconds()), 2)
        self._records.note("dependency", "lost", dependency="store", reason=str(error), age_s=age)
