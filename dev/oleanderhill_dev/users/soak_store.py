"""A store that is restored from backups of itself while a soak is played."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from .store import StandInStore, StoreBackup

BACK_UP_EVERY = 0.2
BACKUPS = 25
"""Backups kept: the oldest is five seconds old."""

AWAY_MOST = 1.5
"""Seconds for which the store is away at most before it comes back."""

WRITES_AGAIN_WITHIN = 0.5
"""Seconds in which the operator and the plain targets write again what was lost."""


class RestoredStore:
    """Takes backups of a store, and has it be restored from one of them now and then.

    :param write_again: writes what the operator and the targets had written
    """

    def __init__(
        self, store: StandInStore, rng: random.Random, write_again: Callable[[], None]
    ) -> None:
        self._store = store
        self._rng = rng
        self._write_again = write_again
        self._backups: deque[StoreBackup] = deque(maxlen=BACKUPS)

    async def back_up(self) -> None:
        """Take backups until cancelled."""
        while True:
            self._backups.append(self._store.back_up())
            await asyncio.sleep(BACK_UP_EVERY)

    def restore_oldest(self) -> None:
        """Restore the oldest backup, and have written again what is lost."""
        if self._backups:
            self.restore_from(self._backups[0])
            self._write_again()

    def restore_from(self, backup: StoreBackup) -> None:
        """Restore a backup."""
        self._store.restore(backup)
        # What was written after the backup is in no later one either.
        self._backups.clear()
        self._backups.append(self._store.back_up())

    async def restore(self) -> None:
        """Go away and come back until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            self._store.faults.silent = True
            try:
                await asyncio.sleep(self._rng.uniform(0.0, AWAY_MOST))
            finally:
                self._store.faults.silent = False
            self.restore_from(self._rng.choice(self._backups))
            await asyncio.sleep(self._rng.uniform(0.0, WRITES_AGAIN_WITHIN))
            self._write_again()
