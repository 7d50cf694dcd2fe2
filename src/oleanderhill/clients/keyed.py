"""Local copies of values in the store, by key."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Generic, TypeVar

from ..records import Records
from .storage import NEVER, Item, Revision

Value = TypeVar("Value")


def _never_newer(held: Value, read: Value) -> bool:
    """Treat the value that was read as the newer one."""
    return False


class KeyedCopy(Generic[Value]):
    """Decoded values by key, each at its newest revision.

    After the store is restored from a backup, values that this process had already read are
    retained until they are written again or ``retain_missing_s`` has passed.

    :param decode: returns a value, or raises ``ValueError`` for one that is malformed
    :param is_newer: returns whether the held value is newer than one read from a later generation
        of the store, whose backup may predate the held value
    :param retain_missing_s: seconds for which values missing from a restored store are retained
    """

    def __init__(
        self,
        decode: Callable[[bytes], Value],
        records: Records,
        is_newer: Callable[[Value, Value], bool] = _never_newer,
        retain_missing_s: float = 0.0,
    ) -> None:
        self._decode = decode
        self._records = records
        self._is_newer = is_newer
        self._retain_missing_s = retain_missing_s
        self._restored_at = float("-inf")
        self._missing_until: dict[str, float] = {}
        self._held: dict[str, tuple[Value, Revision]] = {}
        self._value_by_key: dict[str, Value] = {}
        self.changes = 0

    def restored(self, now: float) -> None:
        """Record that the next content comes from a store that was restored from a backup."""
        self._restored_at = now

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Replace the whole content."""
        present = {item.key for item in items}
        missing = [k for k in self._held if k not in present]
        for key in missing:
            self._retain_missing(key, now)
        for item in items:
            self.put(item.key, item.value, item.revision)

    def expire(self, now: float) -> None:
        """Drop expired values that a restored store lacks and that were not written again."""
        for key in [k for k, until in self._missing_until.items() if now >= until]:
            self._drop(key)

    def _retain_missing(self, key: str, now: float) -> None:
        until = self._restored_at + self._retain_missing_s
        if now >= until:
            self._drop(key)
            return
        self._missing_until[key] = until
        self._held[key] = (self._held[key][0], NEVER)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Apply one change; return whether it is new to this host or to peers that read from it.

        This host holds a value that it wrote as soon as the store answers the write, whereas peers
        receive it only with the read that returns it. The value therefore counts as new in that
        read. Otherwise it would never be relayed; without this rule, six of eight entry hosts sent
        no requests to the groups of two of six fabric domains.
        """
        del now
        if value is None:
            return self._drop(key)
        held = self._held.get(key)
        if held is not None and held[1] == revision:
            return True
        return self.put(key, value, revision)

    def put(self, key: str, value: bytes, revision: Revision) -> bool:
        """Store a value unless a newer one is held; return whether it was stored."""
        held = self._held.get(key)
        if held is not None and held[1] >= revision:
            return False
        try:
            decoded = self._decode(value)
        except ValueError as error:
            self._records.note("store", "malformed", key=key, reason=str(error))
            return False
        self._missing_until.pop(key, None)
        if (
            held is not None
            and held[1].generation < revision.generation
            and self._is_newer(held[0], decoded)
        ):
            # The next write must be conditional on the store's revision.
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
        """Return the values; ``changes`` is incremented with each change to them."""
        return self._value_by_key

    def _drop(self, key: str) -> bool:
        """Remove a key; return whether it was held."""
        self._missing_until.pop(key, None)
        if self._held.pop(key, None) is None:
            return False
        del self._value_by_key[key]
        self.changes += 1
        return True
