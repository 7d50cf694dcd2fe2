"""Readings of the store's content: what was read, how current it is proved to be, and from whom."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..exceptions import StoreError
from .storage import Change, HistoryLostError, Storage

DEAF = 1.3
"""Seconds of changes that a reading may miss: before it drops its history the store may tell
watchers nothing for a second. Proof of currency is dated back by this much."""


class Reading(NamedTuple):
    """What a source told.

    :param revision: the store's, up to which the changes are complete
    :param whole: the changes are the whole content, not what is new since the last reading
    :param proved_at: time at which this content is proved to have been the newest
    :param read_at: time at which the store was asked
    :param doubt: seconds for which entries that are missing may yet come back
    """

    revision: int
    whole: bool
    changes: Sequence[Change]
    proved_at: float
    read_at: float
    doubt: float = 0.0


class Source(Protocol):
    """Where the content can be read: the store, or an entry host that read it."""

    name: str

    async def read(self, after: int | None, began: float) -> Result[Reading, StoreError]:
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
    """

    name = "store"

    def __init__(self, storage: Storage, prefixes: Sequence[str]) -> None:
        self._storage = storage
        self._prefixes = prefixes

    async def read(self, after: int | None, began: float) -> Result[Reading, StoreError]:
        """Read what changed, or everything where the store no longer has the changes."""
        if after is None:
            return await self._read_whole(began)
        found = await self._storage.changes(after)
        if is_successful(found):
            news = found.unwrap()
            return Success(Reading(news.revision, False, news.changes, began - DEAF, began))
        if isinstance(found.failure(), HistoryLostError):
            return await self._read_whole(began)
        return Failure(found.failure())

    async def _read_whole(self, began: float) -> Result[Reading, StoreError]:
        items: list[Change] = []
        revisions = []
        for prefix in self._prefixes:
            found = await self._storage.list(prefix)
            if not is_successful(found):
                return Failure(found.failure())
            listing = found.unwrap()
            revisions.append(listing.revision)
            items += [Change(i.key, i.value, i.revision) for i in listing.items]
        # The listings are not one snapshot; whatever changed after the oldest comes again.
        return Success(Reading(min(revisions), True, items, began, began))
