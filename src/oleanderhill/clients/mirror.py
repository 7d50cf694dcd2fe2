"""Keeps this process's copy of what the store holds, and the proof of how current it is.

One reading of the store's changes serves everything: configuration, target hosts, plans, presence.
Target hosts write about once a second each, so a waiting watch would return at once, again and
again; instead the changes are collected and read every :data:`PERIOD`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Generic, NamedTuple, TypeVar

from returns.pipeline import is_successful

from ..clock import awake_or_not
from ..exceptions import StoreError
from ..kernel import Kernel, Task
from ..records import Records
from .currency import Currency
from .storage import Changes, HistoryLostError, Item, Listing, Storage

Value = TypeVar("Value")

PERIOD = 0.65
"""Seconds between two readings. A configuration must be in force 2 s after its write: with two
readings lost and the way there and back, this leaves a margin. Each reading is priced."""

HURRIED_PERIOD = 0.25
"""Seconds between two readings while this host forms a group: each step of it shows in the store,
and a group serves that much sooner."""

DEAF = 1.3
"""Seconds of changes that a reading may miss: before it drops its history the store may tell
watchers nothing for a second. Proof of currency is dated back by this much."""

RETRY = 0.3
"""Seconds before a failed reading is repeated, at most; half of it at least."""

STALE = 2.5
"""Age in seconds from which on the copy is no base for orders to hosts."""


class Follower(NamedTuple):
    """Who is told of keys under a prefix.

    :param replace: takes the whole content anew, with the time of reading
    :param change: takes one change, with the time of reading
    """

    prefix: str
    replace: Callable[[Sequence[Item], float], None]
    change: Callable[[str, bytes | None, int, float], None]


class Mirror(Task):
    """Owns the readings of the store.

    :param settled: called once after each reading, with the time of reading
    """

    name = "mirror"

    def __init__(
        self,
        kernel: Kernel,
        storage: Storage,
        currency: Currency,
        followers: Sequence[Follower],
        settled: Callable[[float], None],
        records: Records,
        rng: random.Random,
    ) -> None:
        super().__init__(kernel)
        self._storage = storage
        self._currency = currency
        self._followers = followers
        self._settled = settled
        self._records = records
        self._rng = rng
        self._after: int | None = None
        self._read_at = float("-inf")
        self._connected = False
        self._was_lost = False
        self.returned: list[Callable[[float], None]] = []
        self.connected_since = float("inf")
        self._hurry_until = float("-inf")

    def hurry(self) -> None:
        """Read more often for a moment: something is under way that shows in the store."""
        self._hurry_until = awake_or_not() + PERIOD

    async def start(self) -> None:
        """Start to read."""
        self.spawn(self._follow())

    def age(self, now: float) -> float:
        """Return the age of the copy, in seconds."""
        return now - self._read_at

    def fresh(self, now: float) -> bool:
        """Tell whether the copy is young enough to give orders by."""
        return self.age(now) <= STALE

    async def _follow(self) -> None:
        while True:
            began = awake_or_not()
            error = await self._read(began)
            if error is None:
                self._connect(began)
                now = awake_or_not()
                period = HURRIED_PERIOD if now < self._hurry_until else PERIOD
                wait = max(0.05, period - (now - began))
            else:
                self._disconnect(error)
                wait = RETRY * (0.5 + 0.5 * self._rng.random())
            await asyncio.sleep(wait)

    async def _read(self, began: float) -> StoreError | None:
        if self._after is None:
            return await self._read_whole(began)
        found = await self._storage.changes(self._after)
        if is_successful(found):
            self._take(found.unwrap(), began)
            return None
        error = found.failure()
        if isinstance(error, HistoryLostError):
            self._records.note("store", "history lost", after=self._after)
            self._after = None
            return await self._read_whole(began)
        return error

    async def _read_whole(self, began: float) -> StoreError | None:
        listings: list[Listing] = []
        for follower in self._followers:
            found = await self._storage.list(follower.prefix)
            if not is_successful(found):
                return found.failure()
            listings.append(found.unwrap())
        now = awake_or_not()
        for follower, listing in zip(self._followers, listings, strict=True):
            follower.replace(listing.items, now)
        self._after = min(listing.revision for listing in listings)
        self._read_at = began
        self._currency.prove(began)
        self._settled(now)
        return None

    def _take(self, found: Changes, began: float) -> None:
        now = awake_or_not()
        for change in found.changes:
            follower = _follower_of(change.key, self._followers)
            if follower is not None:
                follower.change(change.key, change.value, change.revision, now)
        self._after = found.revision
        self._read_at = began
        self._currency.prove(began - DEAF)
        self._settled(now)

    def _connect(self, began: float) -> None:
        if self._connected:
            return
        self._connected = True
        self.connected_since = began
        self._records.note("dependency", "regained", dependency="store", after=self._after)
        if self._was_lost:
            for call in self.returned:
                call(awake_or_not())

    def _disconnect(self, error: StoreError) -> None:
        if not self._connected:
            return
        self._connected = False
        self._was_lost = True
        self.connected_since = float("inf")
        age = round(self.age(awake_or_not()), 2)
        self._records.note("dependency", "lost", dependency="store", reason=str(error), age_s=age)


def _follower_of(key: str, followers: Sequence[Follower]) -> Follower | None:
    for follower in followers:
        if key.startswith(follower.prefix):
            return follower
    return None


class KeyedCopy(Generic[Value]):
    """Values by key, each at its newest revision, decoded as they come.

    :param decode: returns a value, or raises ``ValueError`` for one that is malformed
    """

    def __init__(self, decode: Callable[[bytes], Value], records: Records) -> None:
        self._decode = decode
        self._records = records
        self._held: dict[str, tuple[Value, int]] = {}

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole content anew."""
        del now
        present = {item.key for item in items}
        self._held = {k: h for k, h in self._held.items() if k in present}
        for item in items:
            self.put(item.key, item.value, item.revision)

    def change(self, key: str, value: bytes | None, revision: int, now: float) -> None:
        """Take one change."""
        del now
        if value is None:
            self._held.pop(key, None)
        else:
            self.put(key, value, revision)

    def put(self, key: str, value: bytes, revision: int) -> None:
        """Take a value unless a newer one is held."""
        held = self._held.get(key)
        if held is not None and held[1] >= revision:
            return
        try:
            self._held[key] = (self._decode(value), revision)
        except ValueError as error:
            self._records.note("store", "malformed", key=key, reason=str(error))

    def get(self, key: str) -> tuple[Value, int] | None:
        """Return a value and its revision."""
        return self._held.get(key)

    @property
    def by_key(self) -> Mapping[str, Value]:
        """Return the values."""
        return {k: v for k, (v, _) in self._held.items()}
