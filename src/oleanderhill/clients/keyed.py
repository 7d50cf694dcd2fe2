"""Copies of values that lie in the store, by key."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Generic, TypeVar

from ..records import Records
from .storage import Item

Value = TypeVar("Value")


class KeyedCopy(Generic[Value]):
    """Values by key, each at its newest revision, decoded as they come.

    :param decode: returns a value, or raises ``ValueError`` for one that is malformed
    """

    def __init__(self, decode: Callable[[bytes], Value], records: Records) -> None:
        self._decode = decode
        self._records = records
        self._held: dict[str, tuple[Value, int]] = {}
        self._value_by_key: dict[str, Value] = {}
        self.changes = 0

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole content anew."""
        del now
        present = {item.key for item in items}
        for key in [k for k in self._held if k not in present]:
            self._drop(key)
        for item in items:
            self.put(item.key, item.value, item.revision)

    def change(self, key: str, value: bytes | None, revision: int, now: float) -> bool:
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

    def put(self, key: str, value: bytes, revision: int) -> bool:
        """Take a value unless a newer one is held; return whether it was taken."""
        held = self._held.get(key)
        if held is not None and held[1] >= revision:
            return False
        try:
            decoded = self._decode(value)
        except ValueError as error:
            self._records.note("store", "malformed", key=key, reason=str(error))
            return False
        self._held[key] = (decoded, revision)
        self._value_by_key[key] = decoded
        self.changes += 1
        return True

    def get(self, key: str) -> tuple[Value, int] | None:
        """Return a value and its revision."""
        return self._held.get(key)

    @property
    def by_key(self) -> Mapping[str, Value]:
        """Return the values; ``changes`` rises with each change of them."""
        return self._value_by_key

    def _drop(self, key: str) -> bool:
        """Forget a key; return whether it was held."""
        if self._held.pop(key, None) is None:
            return False
        del self._value_by_key[key]
        self.changes += 1
        return True
