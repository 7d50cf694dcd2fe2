"""The presence of this entry host in the store, and the entry hosts that are present."""

from __future__ import annotations

import asyncio
import random

from returns.pipeline import is_successful

from ..clients.keyed import KeyedCopy
from ..clients.storage import (
    NEVER,
    Lease,
    LeaseEndedError,
    Storage,
    StoreConflictError,
    Write,
)
from ..kernel import Kernel, Task
from ..records import Records
from .ownership import Presence, encode_presence, presence_key

LEASE_SECONDS = 3.0
"""Lease duration in seconds. A shorter lease would expire for live hosts when the store is slow; a
longer one would leave the domains of a failed host without an owner for longer."""

RENEW_INTERVAL = 0.9
"""Seconds between renewals, so that two may be lost before the lease expires."""


FIRST_RETRY = 0.3
"""Seconds until the first retry. A single lost answer must not let the lease expire."""

MAX_RETRY_SECONDS = 1.0
"""Maximum seconds between retries. Rejected calls cost resources too, and the store may reject a
third of the hosts for many seconds. A host must be present again within this time after the store
recovers, before other hosts take over its domains."""


def renew_retry_delay(failures: int) -> float:
    """Return the delay in seconds after a number of consecutive failures."""
    return min(MAX_RETRY_SECONDS, FIRST_RETRY * 2.0 ** min(failures - 1, 4))


class PresenceTask(Task):
    """Maintains the lease and the presence key of this process."""

    name = "presence"

    def __init__(
        self,
        kernel: Kernel,
        me: Presence,
        storage: Storage,
        copy: KeyedCopy[Presence],
        records: Records,
        rng: random.Random,
    ) -> None:
        super().__init__(kernel)
        self.me = me
        self._storage = storage
        self._copy = copy
        self._records = records
        self._rng = rng
        self._lease: Lease | None = None
        self._alive: dict[str, Presence] = {}
        self._alive_at = -1

    async def start(self) -> None:
        """Start to acquire and renew the lease."""
        self.spawn(self._hold_lease())

    async def withdraw(self) -> None:
        """End the lease, so that other hosts take over immediately."""
        if self._lease is not None:
            await self._storage.end(self._lease)

    def alive(self) -> dict[str, Presence]:
        """Return the present entry hosts by name; the mapping is reused until they change."""
        if self._alive_at != self._copy.changes:
            self._alive_at = self._copy.changes
            self._alive = {p.name: p for p in self._copy.by_key.values()}
        return self._alive

    async def _hold_lease(self) -> None:
        failures = 0
        while True:
            lease = self._lease
            held = await self._acquire_lease() if lease is None else await self._renew(lease)
            failures = 0 if held else failures + 1
            wait = RENEW_INTERVAL if held else renew_retry_delay(failures)
            await asyncio.sleep(wait * (0.8 + 0.2 * self._rng.random()))

    async def _renew(self, lease: Lease) -> bool:
        renewed = await self._storage.renew(lease)
        if is_successful(renewed):
            return True
        if isinstance(renewed.failure(), LeaseEndedError):
            self._records.note("presence", "lease ended", lease=lease)
            self._lease = None
            return await self._acquire_lease()
        return False

    async def _acquire_lease(self) -> bool:
        granted = await self._storage.grant(LEASE_SECONDS)
        if not is_successful(granted):
            return False
        lease = granted.unwrap()
        if await self._write_presence(lease):
            self._lease = lease
            return True
        # End the unused lease: otherwise each failed attempt would leave one in the store until it
        # expires.
        await self._storage.end(lease)
        return False

    async def _write_presence(self, lease: Lease) -> bool:
        """Write this host's presence key under a lease."""
        key = presence_key(self.me.name)
        held = self._copy.get(key)
        revision = held[1] if held is not None else NEVER
        for _ in range(2):
            write = Write(key, encode_presence(self.me), lease)
            written = await self._storage.commit({key: revision}, [write])
            if is_successful(written):
                self._records.note("presence", "present", lease=lease, life=self.me.life)
                return True
            error = written.failure()
            if not isinstance(error, StoreConflictError):
                return False
            item = error.held.get(key)
            revision = item.revision if item is not None else NEVER
        return False
