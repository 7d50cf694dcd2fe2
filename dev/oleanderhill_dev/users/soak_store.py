"""Restores the stand-in store from its own backups during a soak."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from .store import StandInStore, StoreBackup

BACKUP_INTERVAL_SECONDS = 0.2
MAX_BACKUPS = 25
"""Backups retained: at the backup interval, the oldest is five seconds old."""

MAX_OUTAGE_SECONDS = 1.5
"""Maximum seconds for which the store is silent before a restore."""

MAX_REWRITE_DELAY_SECONDS = 0.5
"""Maximum seconds until the operator and the plain targets rewrite lost entries."""


class RestoredStore:
    """Backs a store up periodically and restores it from random backups.

    :param rewrite_external_entries: rewrites the entries of the operator and the plain targets
    """

    def __init__(
        self, store: StandInStore, rng: random.Random, rewrite_external_entries: Callable[[], None]
    ) -> None:
        self._store = store
        self._rng = rng
        self._rewrite_external_entries = rewrite_external_entries
        self._backups: deque[StoreBackup] = deque(maxlen=MAX_BACKUPS)

    async def back_up(self) -> None:
        """Take backups until cancelled."""
        while True:
            self._backups.append(self._store.take_backup())
            await asyncio.sleep(BACKUP_INTERVAL_SECONDS)

    def restore_oldest(self) -> None:
        """Restore the oldest backup and rewrite the external entries immediately."""
        if self._backups:
            self.restore_from(self._backups[0])
            self._rewrite_external_entries()

    def restore_from(self, backup: StoreBackup) -> None:
        """Restore a backup."""
        self._store.restore(backup)
        # Later backups belong to the discarded history, so they must not be restored any more.
        self._backups.clear()
        self._backups.append(self._store.take_backup())

    async def restore(self) -> None:
        """Make the store silent and restore a random backup, repeatedly, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            self._store.faults.silent = True
            try:
                await asyncio.sleep(self._rng.uniform(0.0, MAX_OUTAGE_SECONDS))
            finally:
                self._store.faults.silent = False
            self.restore_from(self._rng.choice(self._backups))
            await asyncio.sleep(self._rng.uniform(0.0, MAX_REWRITE_DELAY_SECONDS))
            self._rewrite_external_entries()
