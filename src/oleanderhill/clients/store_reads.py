"""Reads of the store's content: the result, its freshness, and the sources to read from."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..clock import boottime_seconds
from ..exceptions import StoreConnectionClosedError, StoreError
from ..records import Records
from .storage import Change, Changes, GenerationEndedError, HistoryLostError, Revision, Storage

MISSED_CHANGES_WINDOW = 1.3
"""Seconds of changes that a read may miss: before the store drops its history, it may send watchers
nothing for a second. A read therefore verifies its content only as of this long before the read,
unless a freshness check showed that the configuration is unchanged."""

CHECK_INTERVAL = 0.6
"""Minimum seconds between two freshness checks, each of which is a billed call."""

WATCH_GRACE_PERIOD = 0.3
"""Seconds to wait for a watch after a freshness check found a change. A store whose watches work
answers within a few ms, or within 0.2 s if it holds the call open to wait for changes."""

RESTORE_SETTLE_TIME = 1.0
"""Seconds after a restore of the store from a backup in which its content isn't trusted as the
newest: operators' writes since the backup are repeated in this time, and until then a removed key
may be present again."""

_UNCHANGED = "unchanged"
_CHANGED = "the store holds another revision"


class ReadResult(NamedTuple):
    """The result of a read.

    :param revision: the store's revision up to which the changes are complete
    :param full: the changes are the whole content, not only those since the last read
    :param verified_at: time at which this content was verified to be the newest
    :param read_at: time at which the store was asked
    :param uncertain_s: seconds for which missing entries may still reappear
    :param settle_s: seconds for which freshness checks are ignored if this read is the first one of
        a generation
    """

    revision: Revision
    full: bool
    changes: Sequence[Change]
    verified_at: float
    read_at: float
    uncertain_s: float = 0.0
    settle_s: float = RESTORE_SETTLE_TIME


class Source(Protocol):
    """A source of the content: the store, or an entry host that has read it."""

    name: str

    async def read(self, after: Revision | None, began: float) -> Result[ReadResult, StoreError]:
        """Read the changes after a revision, or the whole content for ``None``."""


class Sources(Protocol):
    """Selects the sources to read from."""

    async def in_order(self, now: float) -> Sequence[Source]:
        """Return the sources to try, in order of preference."""

    def failed(self, source: Source, error: StoreError, now: float) -> None:
        """Record that a read from a source failed."""


class StoreSource:
    """Reads directly from the store.

    :param prefixes: key prefixes that make up the whole content
    :param held: returns the held revisions, by key, of the keys whose freshness is checked
    :param record_verified: called with the time at which the held revisions were verified to be the
        newest
    """

    name = "store"

    def __init__(
        self,
        storage: Storage,
        prefixes: Sequence[str],
        held: Callable[[], Mapping[str, Revision]],
        record_verified: Callable[[float], None],
        records: Records,
    ) -> None:
        self._storage = storage
        self._prefixes = prefixes
        self._held = held
        self._record_verified = record_verified
        self._records = records
        self._last_check = _UNCHANGED
        self._checked_at = float("-inf")
        self._checks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self.run_freshness_checks = False
        """Whether freshness checks run during reads. Only the main reader, which reads for all,
        runs them; if the others did while it is unavailable, the fleet's calls would double."""

    async def read(self, after: Revision | None, began: float) -> Result[ReadResult, StoreError]:
        """Read the changes, or the whole content if the store no longer has the changes."""
        if after is None:
            return await self._read_full(began)
        self._changed.clear()
        checking = asyncio.create_task(self._keep_checking())
        try:
            return await self._read_changes(after, began)
        finally:
            checking.cancel()

    async def _read_changes(self, after: Revision, began: float) -> Result[ReadResult, StoreError]:
        found = await self._watch(after)
        if found is None:
            self._records.note("dependency", "watch given up", reason=_CHANGED, after=after)
            # The configuration has changed but the watch returns nothing: the store is about to
            # drop its history. Without this read, the freshness check of every host would expire
            # and each would read the whole content itself.
            return await self._read_full(boottime_seconds())
        if not is_successful(found) and isinstance(found.failure(), StoreConnectionClosedError):
            # A store that drops its history closes its watches, and reports the lost history on the
            # next call. Peers have no newer content: if this host read from them instead, no host
            # would read the store until the freshness checks expired, and all would reject
            # requests.
            found = await self._storage.changes(after)
        if is_successful(found):
            update = found.unwrap()
            return Success(
                ReadResult(
                    update.revision, False, update.changes, began - MISSED_CHANGES_WINDOW, began
                )
            )
        if isinstance(found.failure(), HistoryLostError):
            return await self._read_full(began)
        return Failure(found.failure())

    async def _watch(self, after: Revision) -> Result[Changes, StoreError] | None:
        """Return the result of the watch, ``None`` if it returns nothing despite a change."""
        watch = asyncio.ensure_future(self._storage.changes(after))
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait({watch, changed}, return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                await asyncio.wait({watch}, timeout=WATCH_GRACE_PERIOD)
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            changed.cancel()

    async def _keep_checking(self) -> None:
        """Check periodically during a read whether the store still has the held configuration.

        A store that is about to drop its history sends watchers nothing, so a read alone verifies
        the content only as of a second earlier. If the store then becomes unreachable, keys would
        be rejected that much sooner. The checks continue while the read hangs: without a recent
        check all peers would read the store themselves.
        """
        while self.run_freshness_checks and (held := self._held()):
            now = boottime_seconds()
            if now - self._checked_at >= CHECK_INTERVAL:
                self._checked_at = now
                # The check runs in its own task, as the read often ends at about the same time.
                check = asyncio.create_task(self._check(held, now))
                self._checks.add(check)
                check.add_done_callback(self._checks.discard)
            await asyncio.sleep(CHECK_INTERVAL)

    async def _check(self, held: Mapping[str, Revision], began: float) -> None:
        # A failed or late check needs no handling: the next one follows soon.
        found = await self._storage.unchanged(held)
        unchanged = found.value_or(None)
        if unchanged:
            self._record_verified(began)
        elif unchanged is False:
            self._changed.set()
        outcome = _UNCHANGED if unchanged else _CHANGED if is_successful(found) else found.failure()
        self._log_check(str(outcome), held)

    def _log_check(self, outcome: str, held: Mapping[str, Revision]) -> None:
        """Log the outcome of a check if it differs from the previous one."""
        if outcome != self._last_check:
            self._last_check = outcome
            self._records.note("dependency", "checked", outcome=outcome, held=dict(held))

    async def _read_full(self, began: float) -> Result[ReadResult, StoreError]:
        items: list[Change] = []
        revisions: list[Revision] = []
        for prefix in self._prefixes:
            found = await self._storage.list(prefix)
            if not is_successful(found):
                return Failure(found.failure())
            listing = found.unwrap()
            revisions.append(listing.revision)
            items += [Change(i.key, i.value, i.revision) for i in listing.items]
        if len({r.generation for r in revisions}) > 1:
            return Failure(GenerationEndedError())
        # The listings are not one snapshot: changes after the oldest one are read again.
        return Success(ReadResult(min(revisions), True, items, began, began))
