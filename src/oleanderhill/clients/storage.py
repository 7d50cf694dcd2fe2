"""What the project asks of a store that keeps revisions, and what each of its answers means.

The store is the platform's; an adapter speaks its protocol and gives it this shape. A call either
answers, or fails as one of :class:`~..exceptions.StoreError`; only
:class:`~..exceptions.StoreAnswerLostError` leaves open whether the call was carried out.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from returns.result import Result

from ..exceptions import StoreError


class HistoryLostError(StoreError):
    """The changes asked for are no longer kept; the content has to be read anew."""

    def __init__(self) -> None:
        super().__init__("the store no longer has these changes")


class StoreConflictError(StoreError):
    """A commit's condition did not hold: nothing was written."""

    def __init__(self, held: Mapping[str, Item]) -> None:
        self.held = held
        super().__init__("another write came first")


class LeaseEndedError(StoreError):
    """The lease has ended, and with it the keys under it."""

    def __init__(self) -> None:
        super().__init__("the lease has ended")


class Item(NamedTuple):
    """A key's value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class Change(NamedTuple):
    """A key's new value, ``None`` for a removed key."""

    key: str
    value: bytes | None
    revision: int


class Listing(NamedTuple):
    """Items, and the store's revision up to which they are complete."""

    revision: int
    items: Sequence[Item]


class Changes(NamedTuple):
    """Changes in order, and the revision from which to ask on."""

    revision: int
    changes: Sequence[Change]


class Write(NamedTuple):
    """A key to be written; ``lease`` is 0 for a key that stays."""

    key: str
    value: bytes
    lease: int = 0


class Storage(Protocol):
    """A linearizable key-value store with revisions, watches, transactions and leases."""

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all items under a prefix."""

    async def changes(self, after: int) -> Result[Changes, StoreError]:
        """Read what changed after a revision, all keys, waiting a short while if nothing did."""

    async def unchanged(self, expected: Mapping[str, int]) -> Result[bool, StoreError]:
        """Tell whether all keys are at their expected revisions, by a linearizable read."""

    async def commit(
        self, expected: Mapping[str, int], writes: Sequence[Write]
    ) -> Result[int, StoreError]:
        """Write all or nothing if each key is at its expected revision (0: does not exist)."""

    async def grant(self, seconds: float) -> Result[int, StoreError]:
        """Return a new lease."""

    async def renew(self, lease: int) -> Result[None, StoreError]:
        """Renew a lease."""

    async def end(self, lease: int) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
