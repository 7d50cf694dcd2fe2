"""A store that comes back from copies of itself while a soak is played."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from .store import StandInStore, StoreCopy

COPY_EVERY = 0.2
COPIES = 25
"""Copies kept: the oldest is five seconds old."""

AWAY_MOST = 1.5
"""Seconds for which the store is away at most before it comes back."""

WRITES_AGAIN_WITHIN = 0.5
"""Seconds in which the operator and the plain targets write again what was lost."""


class CopiedStore:
    """Takes copies of a store, and has it come back from one of them now and then.

    :param write_again: writes what the operator and the targets had written
    """

    def __init__(
        self, store: StandInStore, rng: random.Random, write_again: Callable[[], None]
    ) -> None:
        self._store = store
        self._rng = rng
        self._write_again = write_again
        self._copies: deque[StoreCopy] = deque(maxlen=COPIES)

    async def copy(self) -> None:
        """Take copies until cancelled."""
        while True:
            self._copies.append(self._store.copy())
            await asyncio.sleep(COPY_EVERY)

    def come_back_from_oldest(self) -> None:
        """Come back from the oldest copy, and have written again what is lost."""
        if self._copies:
            self.come_back(self._copies[0])
            self._write_again()

    def come_back(self, copy: StoreCopy) -> None:
        """Come back from a copy."""
        self._store.restore(copy)
        # What was written after the copy is in no later one either.
        self._copies.clear()
        self._copies.append(self._store.copy())

    async def restore(self) -> None:
        """Go away and come back until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            self._store.faults.silent = True
            try:
                await asyncio.sleep(self._rng.uniform(0.0, AWAY_MOST))
            finally:
                self._store.faults.silent = False
            self.come_back(self._rng.choice(self._copies))
            await asyncio.sleep(self._rng.uniform(0.0, WRITES_AGAIN_WITHIN))
            self._write_again()
