"""Restores the stand-in store from its own backups during a soak."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .store import StandInStore, StoreBackup

BACKUP_INTERVAL_SECONDS = 0.2
MAX_BACKUPS = 25
"""Backups retained: at the backup interval, the oldest is five seconds old."""

MAX_OUTAGE_SECONDS = 1.5
"""Maximum seconds for which the store is silent before a restore."""

MAX_REWRITE_DELAY_SECONDS = 0.5
"""Maximum seconds until the operator and the plain targets rewrite lost entries."""


class Restore(NamedTuple):
    """A restore of the store from a backup; times are monotonic.

    :param remembered: whether any entry host held a configuration at that moment
    :param configuration: the operator's configuration in the backup
    :param rewritten_at: when the lost entries of the operator were rewritten
    """

    at: float
    remembered: bool
    configuration: bytes
    rewritten_at: float = float("inf")


def removal_forgotten(
    restores: Sequence[Restore], key: str, removed_at: float, sent: float, settle_seconds: float
) -> bool:
    """Return whether nobody could know of the removal of a key at the time of a request.

    The backup still had the key, and all entry hosts had just started.

    :param settle_seconds: seconds from the rewritten entries until the removal applies again
    """
    return any(
        not r.remembered
        and f'"{key}"'.encode() in r.configuration
        and removed_at <= r.at <= sent <= r.rewritten_at + settle_seconds
        for r in restores
    )


class RestoredStore:
    """Backs a store up periodically and restores it from random backups.

    :param rewrite_external_entries: rewrites the entries of the operator and the plain targets
    :param remembered: returns whether any entry host holds a configuration
    """

    def __init__(
        self,
        store: StandInStore,
        rng: random.Random,
        rewrite_external_entries: Callable[[], None],
        remembered: Callable[[], bool],
    ) -> None:
        self._store = store
        self._rng = rng
        self._rewrite_external_entries = rewrite_external_entries
        self._remembered = remembered
        self.restores: list[Restore] = []
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
            self._rewrite()

    def restore_from(self, backup: StoreBackup) -> None:
        """Restore a backup."""
        configuration = backup.items["op/config"].value
        self.restores.append(Restore(time.monotonic(), self._remembered(), configuration))
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
            self._rewrite()

    def _rewrite(self) -> None:
        self._rewrite_external_entries()
        self.restores[-1] = self.restores[-1]._replace(rewritten_at=time.monotonic())
