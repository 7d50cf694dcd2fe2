"""Interface to a key-value store with revisions.

The platform provides the store; an adapter implements this interface over its protocol. A call
either returns a result or fails with a :class:`~..exceptions.StoreError`. Only
:class:`~..exceptions.StoreAnswerLostError` leaves open whether the call was executed.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from returns.result import Result

from ..exceptions import StoreError


class Revision(NamedTuple):
    """A version of the store's content.

    A store that is restored from a backup reuses its numbers for different content. Numbers are
    comparable within one generation; content of a later generation is newer.

    :param generation: incremented each time that the store is restored; 0 if the store reports none
    """

    generation: int
    number: int


NEVER = Revision(0, 0)
"""The revision of a key that does not exist."""


class Lease(NamedTuple):
    """A lease. Its id may be assigned to a different lease in a later generation."""

    generation: int
    id: int


class HistoryLostError(StoreError):
    """The requested changes are no longer retained; the whole content has to be read."""

    def __init__(self) -> None:
        super().__init__("the store no longer has these changes")


class GenerationEndedError(StoreError):
    """The call refers to a revision of an ended generation; nothing was sent to the store."""

    def __init__(self) -> None:
        super().__init__("the store was restored from a backup since")


class StoreConflictError(StoreError):
    """The condition of a commit did not hold; nothing was written."""

    def __init__(self, held: Mapping[str, Item]) -> None:
        self.held = held
        super().__init__("another write came first")


class LeaseEndedError(StoreError):
    """The lease has ended and its keys were removed."""

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
    """Items and the store's revision up to which they are complete."""

    revision: Revision
    items: Sequence[Item]


class Changes(NamedTuple):
    """Changes in order, and the revision to continue from."""

    revision: Revision
    changes: Sequence[Change]


class Write(NamedTuple):
    """A key to write; ``lease`` is ``None`` for a key without a lease."""

    key: str
    value: bytes
    lease: Lease | None = None


class Storage(Protocol):
    """A linearizable key-value store with revisions, watches, transactions and leases."""

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all items under a prefix."""

    async def changes(self, after: Revision) -> Result[Changes, StoreError]:
        """Read the changes of all keys after a revision, waiting briefly if there are none.

        :return: :class:`HistoryLostError` also if the revision is of another generation
        """

    async def unchanged(self, expected: Mapping[str, Revision]) -> Result[bool, StoreError]:
        """Return whether all keys are at their expected revisions, by a linearizable read."""

    async def commit(
        self, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Result[Revision, StoreError]:
        """Write all keys atomically if each expected key is at its expected revision.

        :param expected: :data:`NEVER` for a key that does not exist
        """

    async def grant(self, seconds: float) -> Result[Lease, StoreError]:
        """Return a new lease."""

    async def renew(self, lease: Lease) -> Result[None, StoreError]:
        """Renew a lease."""

    async def end(self, lease: Lease) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
