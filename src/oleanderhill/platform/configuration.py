"""Copy of the operators' configuration that this process applies."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

from ..clients.freshness import Freshness
from ..clients.storage import Change, Item, Revision
from ..records import Records
from ..settings.catalog import Catalog
from .decoding import CONFIGURATION_KEY, decode_configuration


class ConfigurationCopy:
    """Holds the newest configuration read so far; its version never decreases.

    :param freshness: freshness checks, suspended while the store has an older configuration
    :ivar loaded: event that is set once a configuration has been applied
    """

    def __init__(self, freshness: Freshness, records: Records) -> None:
        self._freshness = freshness
        self._records = records
        self._current: Change | None = None
        self._older_revision: Revision | None = None
        self.catalog: Catalog | None = None
        self.loaded = asyncio.Event()

    def revisions(self) -> Mapping[str, Revision]:
        """Return the revision of the current configuration by key; empty before the first one."""
        return {} if self._current is None else {CONFIGURATION_KEY: self._current.revision}

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Apply a complete listing."""
        for item in items:
            self.change(item.key, item.value, item.revision, now)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Apply a configuration unless it is older than the current one; return whether it was."""
        del now
        if key != CONFIGURATION_KEY or value is None:
            return False
        if self._current is not None and revision <= self._current.revision:
            return False
        try:
            catalog = decode_configuration(value)
        except ValueError as error:
            self._records.note("settings", "malformed", revision=revision, reason=str(error))
            return False
        if self.catalog is not None and catalog.version < self.catalog.version:
            # The store was restored from a backup that is older than the current configuration.
            self._record_older(catalog, revision)
            return False
        self._apply(catalog, Change(key, value, revision))
        return True

    def retained(self) -> Sequence[Change]:
        """Return the current configuration while the store has an older one, otherwise nothing."""
        return () if self._current is None or self._older_revision is None else (self._current,)

    def _record_older(self, catalog: Catalog, revision: Revision) -> None:
        # A freshness check against the older revision does not verify the current configuration.
        self._freshness.suspended = True
        if self._older_revision == revision:
            return
        self._older_revision = revision
        current = self.catalog.version if self.catalog is not None else None
        self._records.note(
            "settings", "older", version=catalog.version, revision=revision, held=current
        )

    def _apply(self, catalog: Catalog, change: Change) -> None:
        self._current, self._older_revision, self.catalog = change, None, catalog
        self._freshness.suspended = False
        self.loaded.set()
        self._records.note(
            "settings", "in force", version=catalog.version, revision=change.revision
        )
