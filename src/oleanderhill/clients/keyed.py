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

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole content anew."""
        del now
        present = {item.key for item in items}
        self._held = {k: h for k, h in self._held.items() if k in present}
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
            return self._held.pop(key, None) is not None
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
            self._held[key] = (self._decode(value), revision)
        except ValueError as error:
            self._records.note("store", "malformed", key=key, reason=str(error))
            return False
        return True

    def get(self, key: str) -> tuple[Value, int] | None:
        """Return a value and its revision."""
        return self._held.get(key)

    @property
    def by_key(self) -> Mapping[str, Value]:
        """Return the values."""
        return {k: v for k, (v, _) in self._held.items()}
