"""Copies of values that lie in the store, by key."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Generic, TypeVar

from ..records import Records
from .storage import NEVER, Item, Revision

Value = TypeVar("Value")


def _nothing_outlasts(held: Value, read: Value) -> bool:
    """Take what was read for newer."""
    return False


class KeyedCopy(Generic[Value]):
    """Values by key, each at its newest revision, decoded as they come.

    What this process has read outlasts a store that is restored from a backup, until somebody
    writes it again or its time is over.

    :param decode: returns a value, or raises ``ValueError`` for one that is malformed
    :param outlasts: tells whether a value that is held is newer than one that was read of a later
        generation of the store, which may be of before the held one
    :param lost_last: seconds for which values are kept that a restored store does not have
    """

    def __init__(
        self,
        decode: Callable[[bytes], Value],
        records: Records,
        outlasts: Callable[[Value, Value], bool] = _nothing_outlasts,
        lost_last: float = 0.0,
    ) -> None:
        self._decode = decode
        self._records = records
        self._outlasts = outlasts
        self._lost_last = lost_last
        self._restored_at = float("-inf")
        self._lost_until: dict[str, float] = {}
        self._held: dict[str, tuple[Value, Revision]] = {}
        self._value_by_key: dict[str, Value] = {}
        self.changes = 0

    def restored(self, now: float) -> None:
        """Take note that the next content is of a store that was restored from a backup."""
        self._restored_at = now

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole content anew."""
        present = {item.key for item in items}
        missing = [k for k in self._held if k not in present]
        for key in missing:
            self._miss(key, now)
        for item in items:
            self.put(item.key, item.value, item.revision)

    def expire(self, now: float) -> None:
        """Drop what a restored store did not have and nobody wrote again."""
        for key in [k for k, until in self._lost_until.items() if now >= until]:
            self._drop(key)

    def _miss(self, key: str, now: float) -> None:
        until = self._restored_at + self._lost_last
        if now >= until:
            self._drop(key)
            return
        self._lost_until[key] = until
        self._held[key] = (self._held[key][0], NEVER)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Take one change; return whether it is news, here or to whoever reads from this host.

        A write of this host is held from the moment of its answer. The reading that brings it is
        the first that the others hear of it: counted as known, it would never reach them. Seen as
        two of six fabric domains whose groups six of eight entry hosts sent no requests to.
        """
        del now
        if value is None:
            return self._drop(key)
        held = self._held.get(key)
        if held is not None and held[1] == revision:
            return True
        return self.put(key, value, revision)

    def put(self, key: str, value: bytes, revision: Revision) -> bool:
        """Take a value unless a newer one is held; return whether it was taken."""
        held = self._held.get(key)
        if held is not None and held[1] >= revision:
            return False
        try:
            decoded = self._decode(value)
        except ValueError as error:
            self._records.note("store", "malformed", key=key, reason=str(error))
            return False
        self._lost_until.pop(key, None)
        if (
            held is not None
            and held[1].generation < revision.generation
            and self._outlasts(held[0], decoded)
        ):
            # What is written next must name what the store has.
            self._held[key] = (held[0], revision)
            return False
        self._held[key] = (decoded, revision)
        self._value_by_key[key] = decoded
        self.changes += 1
        return True

    def get(self, key: str) -> tuple[Value, Revision] | None:
        """Return a value and its revision."""
        return self._held.get(key)

    @property
    def by_key(self) -> Mapping[str, Value]:
        """Return the values; ``changes`` rises with each change of them."""
        return self._value_by_key

    def _drop(self, key: str) -> bool:
        """Forget a key; return whether it was held."""
        self._lost_until.pop(key, None)
        if self._held.pop(key, None) is None:
            return False
        del self._value_by_key[key]
        self.changes += 1
        return True
