"""The operators' configuration as it is in force here."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

from ..clients.currency import Currency
from ..clients.storage import Change, Item, Revision
from ..records import Records
from ..settings.catalog import Catalog
from .decoding import CONFIGURATION_KEY, decode_configuration


class ConfigurationCopy:
    """Holds the newest configuration that was read; one in force never goes back.

    :param currency: proofs that the configuration held is the newest
    :ivar known: set once there is one
    """

    def __init__(self, currency: Currency, records: Records) -> None:
        self._currency = currency
        self._records = records
        self._held: Change | None = None
        self._older: Revision | None = None
        self.catalog: Catalog | None = None
        self.known = asyncio.Event()

    def revisions(self) -> Mapping[str, Revision]:
        """Return the revision held by key, nothing before the first one."""
        return {} if self._held is None else {CONFIGURATION_KEY: self._held.revision}

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole content anew."""
        for item in items:
            self.change(item.key, item.value, item.revision, now)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Take a configuration unless it is older than the one held; return whether it was."""
        del now
        if key != CONFIGURATION_KEY or value is None:
            return False
        if self._held is not None and revision <= self._held.revision:
            return False
        try:
            catalog = decode_configuration(value)
        except ValueError as error:
            self._records.note("settings", "malformed", revision=revision, reason=str(error))
            return False
        if self.catalog is not None and catalog.version < self.catalog.version:
            # The store was restored from a backup and has lost the one in force.
            self._note_older(catalog, revision)
            return False
        self._take(catalog, Change(key, value, revision))
        return True

    def kept(self) -> Sequence[Change]:
        """Return the configuration held while the store has an older one."""
        return () if self._held is None or self._older is None else (self._held,)

    def _note_older(self, catalog: Catalog, revision: Revision) -> None:
        # What the store says of an older one proves nothing of the one in force.
        self._currency.suspended = True
        if self._older == revision:
            return
        self._older = revision
        held = self.catalog.version if self.catalog is not None else None
        self._records.note(
            "settings", "older", version=catalog.version, revision=revision, held=held
        )

    def _take(self, catalog: Catalog, change: Change) -> None:
        self._held, self._older, self.catalog = change, None, catalog
        self._currency.suspended = False
        self.known.set()
        self._records.note(
            "settings", "in force", version=catalog.version, revision=change.revision
        )
