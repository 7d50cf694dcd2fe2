"""This entry host's presence in the store, and who else is there."""

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
"""Seconds after which an entry host that is not heard of counts as gone. Shorter, a slow store
would end leases of hosts that live; longer, a domain stays without an owner."""

RENEW_EVERY = 0.9
"""Seconds between renewals: two may be lost before the lease ends."""


FIRST_RETRY = 0.3
"""Seconds after a first failed call: one answer that was lost must not end a lease."""

LONGEST_RETRY = 1.0
"""Seconds between calls to a store that goes on failing. Refused calls have their price too, and a
third of the hosts may be turned away for many seconds. A host is present again within as much of
the store's return, before its domains are taken by others."""


def retry_after(failures: int) -> float:
    """Return the seconds to wait after so many failed calls in a row."""
    return min(LONGEST_RETRY, FIRST_RETRY * 2.0 ** min(failures - 1, 4))


class PresenceTask(Task):
    """Owns the lease and the presence key of this process."""

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
        """Start to hold the lease."""
        self.spawn(self._hold())

    async def withdraw(self) -> None:
        """End the lease, so that others take over at once."""
        if self._lease is not None:
            await self._storage.end(self._lease)

    def alive(self) -> dict[str, Presence]:
        """Return the entry hosts that are there, by name: the same mapping until they change."""
        if self._alive_at != self._copy.changes:
            self._alive_at = self._copy.changes
            self._alive = {p.name: p for p in self._copy.by_key.values()}
        return self._alive

    async def _hold(self) -> None:
        failures = 0
        while True:
            lease = self._lease
            held = await self._begin() if lease is None else await self._renew(lease)
            failures = 0 if held else failures + 1
            wait = RENEW_EVERY if held else retry_after(failures)
            await asyncio.sleep(wait * (0.8 + 0.2 * self._rng.random()))

    async def _renew(self, lease: Lease) -> bool:
        renewed = await self._storage.renew(lease)
        if is_successful(renewed):
            return True
        if isinstance(renewed.failure(), LeaseEndedError):
            self._records.note("presence", "lease ended", lease=lease)
            self._lease = None
            return await self._begin()
        return False

    async def _begin(self) -> bool:
        granted = await self._storage.grant(LEASE_SECONDS)
        if not is_successful(granted):
            return False
        lease = granted.unwrap()
        if await self._appear(lease):
            self._lease = lease
            return True
        # A lease without a key holds nothing; left to run out, each failed try would leave one.
        await self._storage.end(lease)
        return False

    async def _appear(self, lease: Lease) -> bool:
        """Write this host's key under a lease."""
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
