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


class Revision(NamedTuple):
    """A moment of the store's content.

    A store that is restored from a backup gives its numbers out again, for other content. They
    count within one generation; the content of a later generation is the newer one.

    :param generation: rises each time that the store is restored, 0 where it names none
    """

    generation: int
    number: int


NEVER = Revision(0, 0)
"""The revision of a key that does not exist."""


class Lease(NamedTuple):
    """A lease; in a later generation the same id may be another's."""

    generation: int
    id: int


class HistoryLostError(StoreError):
    """The changes asked for are no longer kept; the content has to be read anew."""

    def __init__(self) -> None:
        super().__init__("the store no longer has these changes")


class GenerationEndedError(StoreError):
    """The call names a revision of a generation that is over: nothing was asked of the store."""

    def __init__(self) -> None:
        super().__init__("the store was restored from a backup since")


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
    revision: Revision


class Change(NamedTuple):
    """A key's new value, ``None`` for a removed key."""

    key: str
    value: bytes | None
    revision: Revision


class Listing(NamedTuple):
    """Items, and the store's revision up to which they are complete."""

    revision: Revision
    items: Sequence[Item]


class Changes(NamedTuple):
    """Changes in order, and the revision from which to ask on."""

    revision: Revision
    changes: Sequence[Change]


class Write(NamedTuple):
    """A key to be written; ``lease`` is ``None`` for a key that stays."""

    key: str
    value: bytes
    lease: Lease | None = None


class Storage(Protocol):
    """A linearizable key-value store with revisions, watches, transactions and leases."""

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all items under a prefix."""

    async def changes(self, after: Revision) -> Result[Changes, StoreError]:
        """Read what changed after a revision, all keys, waiting a short while if nothing did.

        :return: :class:`HistoryLostError` also where that revision is of another generation
        """

    async def unchanged(self, expected: Mapping[str, Revision]) -> Result[bool, StoreError]:
        """Tell whether all keys are at their expected revisions, by a linearizable read."""

    async def commit(
        self, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Result[Revision, StoreError]:
        """Write all or nothing if each key is at its expected revision.

        :param expected: :data:`NEVER` for a key that does not exist
        """

    async def grant(self, seconds: float) -> Result[Lease, StoreError]:
        """Return a new lease."""

    async def renew(self, lease: Lease) -> Result[None, StoreError]:
        """Renew a lease."""

    async def end(self, lease: Lease) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
