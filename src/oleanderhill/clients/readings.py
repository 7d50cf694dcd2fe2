"""Readings of the store's content: what was read, how current it is proved to be, and from whom."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..clock import awake_or_not
from ..exceptions import StoreCutError, StoreError
from ..records import Records
from .storage import Change, Changes, GenerationEndedError, HistoryLostError, Revision, Storage

DEAF = 1.3
"""Seconds of changes that a reading may miss: before it drops its history the store may tell
watchers nothing for a second. Proof of currency is dated back by this much, unless the store said
itself that the configuration is unchanged."""

CHECK_EVERY = 0.6
"""Seconds between two such checks at least: each is a call, and has its price."""

SILENT_AFTER = 0.3
"""Seconds that a reading has left once a check shows that there is something to read: a store that
tells watchers anything answers in a few ms, or waits 0.2 s for news."""


RESTORED_SETTLES = 1.0
"""Seconds after the store was restored from a backup in which it proves nothing: what operators
wrote since is written again meanwhile, and until then a key that was taken away is in it."""

_PROVED = "unchanged"
_CHANGED = "the store holds another revision"


class Reading(NamedTuple):
    """What a source told.

    :param revision: the store's, up to which the changes are complete
    :param whole: the changes are the whole content, not what is new since the last reading
    :param proved_at: time at which this content is proved to have been the newest
    :param read_at: time at which the store was asked
    :param doubt: seconds for which entries that are missing may yet come back
    :param settling: seconds in which a store whose generation has just begun proves nothing
    """

    revision: Revision
    whole: bool
    changes: Sequence[Change]
    proved_at: float
    read_at: float
    doubt: float = 0.0
    settling: float = RESTORED_SETTLES


class Source(Protocol):
    """Where the content can be read: the store, or an entry host that read it."""

    name: str

    async def read(self, after: Revision | None, began: float) -> Result[Reading, StoreError]:
        """Read what changed after a revision, or the whole content for ``None``."""


class Sources(Protocol):
    """Chooses where to read."""

    async def in_order(self, now: float) -> Sequence[Source]:
        """Return the sources to try, the first one first."""

    def failed(self, source: Source, error: StoreError, now: float) -> None:
        """Take note that a source had no answer."""


class StoreSource:
    """Reads the store itself.

    :param prefixes: of the keys that are read when the whole content is
    :param held: returns the revisions held of the keys whose currency is proved, by key
    :param prove: takes the time at which what is held was the newest
    """

    name = "store"

    def __init__(
        self,
        storage: Storage,
        prefixes: Sequence[str],
        held: Callable[[], Mapping[str, Revision]],
        prove: Callable[[float], None],
        records: Records,
    ) -> None:
        self._storage = storage
        self._prefixes = prefixes
        self._held = held
        self._prove = prove
        self._records = records
        self._last_check = _PROVED
        self._checked_at = float("-inf")
        self._checks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self.checks = False
        """Whether readings are accompanied by checks. Who reads for all does it for all; the
        others, who read while that one is away, would double the calls of a fleet."""

    async def read(self, after: Revision | None, began: float) -> Result[Reading, StoreError]:
        """Read what changed, or everything where the store no longer has the changes."""
        if after is None:
            return await self._read_whole(began)
        self._changed.clear()
        checking = asyncio.create_task(self._keep_checking())
        try:
            return await self._read_changes(after, began)
        finally:
            checking.cancel()

    async def _read_changes(self, after: Revision, began: float) -> Result[Reading, StoreError]:
        found = await self._told(after)
        if found is None:
            self._records.note("dependency", "watch given up", reason=_CHANGED, after=after)
            # The configuration has changed and the watch tells nothing: its history is about to be
            # dropped. Each host looked for itself when its proof ran out, and read all of it.
            return await self._read_whole(awake_or_not())
        if not is_successful(found) and isinstance(found.failure(), StoreCutError):
            # A store that drops its history cuts its watchers, and says so when asked again. The
            # readers elsewhere know no more: waiting for them, all hosts were without a reading
            # until after their proof ran out, and refused their callers.
            found = await self._storage.changes(after)
        if is_successful(found):
            news = found.unwrap()
            return Success(Reading(news.revision, False, news.changes, began - DEAF, began))
        if isinstance(found.failure(), HistoryLostError):
            return await self._read_whole(began)
        return Failure(found.failure())

    async def _told(self, after: Revision) -> Result[Changes, StoreError] | None:
        """Return what the watch tells, ``None`` if it tells nothing though there is news."""
        asked = asyncio.ensure_future(self._storage.changes(after))
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait({asked, changed}, return_when=asyncio.FIRST_COMPLETED)
            if not asked.done():
                await asyncio.wait({asked}, timeout=SILENT_AFTER)
            return asked.result() if asked.done() else None
        finally:
            asked.cancel()
            changed.cancel()

    async def _keep_checking(self) -> None:
        """Ask the store, beside a reading, whether the configuration is the one that is held.

        A store that is about to drop its history tells watchers nothing, so a reading alone proves
        no more than what held a second before. That second is missing when the store is lost: keys
        must not be used once the proof is too old, and callers are refused that much sooner. While
        the reading hangs, the checks go on: without a young proof all peers would ask the store.
        """
        while self.checks and (held := self._held()):
            now = awake_or_not()
            if now - self._checked_at >= CHECK_EVERY:
                self._checked_at = now
                # It outlives the reading, which is mostly answered as soon as the check is.
                check = asyncio.create_task(self._check(held, now))
                self._checks.add(check)
                check.add_done_callback(self._checks.discard)
            await asyncio.sleep(CHECK_EVERY)

    async def _check(self, held: Mapping[str, Revision], began: float) -> None:
        # One that fails or comes late proves less, and the next one follows soon.
        found = await self._storage.unchanged(held)
        unchanged = found.value_or(None)
        if unchanged:
            self._prove(began)
        elif unchanged is False:
            self._changed.set()
        outcome = _PROVED if unchanged else _CHANGED if is_successful(found) else found.failure()
        self._note_check(str(outcome), held)

    def _note_check(self, outcome: str, held: Mapping[str, Revision]) -> None:
        """Write down what a check showed where it is not what the last one did."""
        if outcome != self._last_check:
            self._last_check = outcome
            self._records.note("dependency", "checked", outcome=outcome, held=dict(held))

    async def _read_whole(self, began: float) -> Result[Reading, StoreError]:
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
        # The listings are not one snapshot; whatever changed after the oldest comes again.
        return Success(Reading(min(revisions), True, items, began, began))
