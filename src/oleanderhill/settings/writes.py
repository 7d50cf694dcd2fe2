"""The settings tree: the write of one subtree with a resolved outcome, and what is in force.

A stored subtree is an envelope around the tree with its revision, the write's id and the ids of the
writes before it. A write whose answer was lost is found again by that id, so an operator is told
*accepted* or *refused* whenever the store can be asked, and *unknown* only while it can't.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from ..exceptions import SettingsInvalidError
from .checking import check_subtree
from .documents import Document
from .schema import FleetSettings, TeamSettings

SETTINGS_PREFIX = "settings/"
HISTORY_KEPT = 20


class Change(NamedTuple):
    """One accepted change, as kept in the envelope of those after it."""

    revision: int
    write_id: str
    by: str
    at: float


class Subtree(NamedTuple):
    """The stored envelope of a team's subtree.

    :param tree: the subtree as JSON text, kept raw
    :param history: the changes up to this one, newest first
    """

    revision: int
    tree: msgspec.Raw
    history: tuple[Change, ...]


class Read(NamedTuple):
    """Effect: read the subtree from the store."""


class Swap(NamedTuple):
    """Effect: write the envelope if the key is still at ``modify_index``."""

    value: bytes
    modify_index: int


class WriteState(StrEnum):
    """How a write ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    STORE_DOWN = "store down"


class Ended(NamedTuple):
    """Effect: the write ended.

    :param revision: the one it made if accepted, else the one found
    """

    state: WriteState
    revision: int
    document: bytes = b""


WriteEffect = Read | Swap | Ended


class SubtreeWrite:
    """The write of one subtree: a pure state machine over the answers of the store.

    :param base: the revision that the operator changed, ``None`` to overwrite any
    :param known: returns the highest revision that this entry host has seen; asked when the write
        is made, since the store may have been set back after the write began
    """

    def __init__(
        self, tree: bytes, change: Change, base: int | None, known: Callable[[], int]
    ) -> None:
        self._tree = msgspec.Raw(tree)
        self._change = change
        self._base = base
        self._known = known
        self._value = b""
        self._revision = 0
        self._index: int | None = None
        self._maybe_landed = False

    def start(self) -> list[WriteEffect]:
        """Return the first effect."""
        return [Read()]

    def read(self, value: bytes, index: int) -> list[WriteEffect]:
        """Take in the stored envelope; ``value`` is empty where there is none."""
        found = decode_subtree(value) if value else Subtree(0, msgspec.Raw(b"{}"), ())
        mine = [c for c in found.history if c.write_id == self._change.write_id]
        if mine:
            return [Ended(WriteState.ACCEPTED, mine[0].revision, value)]
        if self._maybe_landed:
            if index == self._index:
                # Not there yet, but the lost write may still be on its way. The same write at
                # the same index settles it: either lands now, or the index has moved.
                return [Swap(self._value, index)]
            # The index moved and our id is not in the history: it can't land any more.
            return [Ended(WriteState.REFUSED, found.revision)]
        return self._write(found, index)

    def swapped(self, done: bool) -> list[WriteEffect]:
        """Take in the store's answer to the write."""
        if done:
            return [Ended(WriteState.ACCEPTED, self._revision, self._value)]
        if self._maybe_landed:
            return [Read()]
        return [Ended(WriteState.REFUSED, self._revision)]

    def failed(self, wrote: bool) -> list[WriteEffect]:
        """Take in a failed call; the driver waits before it carries the effect out."""
        if wrote:
            self._maybe_landed = True
        if not self._maybe_landed:
            return [Ended(WriteState.STORE_DOWN, 0)]
        return [Read()]

    def timeout(self) -> Ended:
        """Return how the write stands when the operator waits no longer."""
        state = WriteState.UNKNOWN if self._maybe_landed else WriteState.STORE_DOWN
        return Ended(state, 0)

    def _write(self, found: Subtree, index: int) -> list[WriteEffect]:
        # The store may have been set back to an older copy. The new revision must outrank what
        # any entry host has in force, or it would be ignored as old news.
        current = max(found.revision, self._known())
        if self._base is not None and self._base != current:
            return [Ended(WriteState.REFUSED, current)]
        self._revision = current + 1
        change = self._change._replace(revision=self._revision)
        history = (change, *found.history)[:HISTORY_KEPT]
        self._value = encode_subtree(Subtree(self._revision, self._tree, history))
        self._index = index
        return [Swap(self._value, index)]


def encode_subtree(subtree: Subtree) -> bytes:
    """Return an envelope as stored."""
    return msgspec.json.encode(
        {
            "revision": subtree.revision,
            "tree": subtree.tree,
            "history": [c._asdict() for c in subtree.history],
        }
    )


class _StoredChange(msgspec.Struct):
    revision: int
    write_id: str
    by: str
    at: float


class _Stored(msgspec.Struct):
    revision: int
    tree: msgspec.Raw
    history: list[_StoredChange] = []


def decode_subtree(value: bytes) -> Subtree:
    """Return the envelope of a stored value.

    :raises msgspec.DecodeError: if it is malformed
    """
    stored = msgspec.json.decode(value, type=_Stored)
    history = tuple(Change(c.revision, c.write_id, c.by, c.at) for c in stored.history)
    return Subtree(stored.revision, stored.tree, history)


class InForce(NamedTuple):
    """What is in force at an entry host for one subtree.

    :param seen: highest revision heard of; above ``revision`` if that one is invalid
    :param findings: why the highest revision is not in force
    """

    revision: int
    seen: int
    learned_at: float
    findings: tuple[str, ...] = ()


class SettingsInForce:
    """The last valid subtree of each team."""

    def __init__(self) -> None:
        self.tree_by_team: dict[str, FleetSettings | TeamSettings] = {}
        self.state_by_team: dict[str, InForce] = {}

    def take(self, document: Document, now: float) -> bool:
        """Take in a document that :class:`~.documents.Documents` found newer than the last.

        Return whether the tree in force changed. An invalid one does not take effect and takes
        nothing away: the last valid one stays.
        """
        team = document.key.removeprefix(SETTINGS_PREFIX)
        held = self.state_by_team.get(team, InForce(0, 0, now))
        try:
            tree = check_subtree(team, bytes(decode_subtree(document.body).tree))
        except (SettingsInvalidError, msgspec.DecodeError) as error:
            shown = error.show() if isinstance(error, SettingsInvalidError) else str(error)
            findings = tuple(shown.splitlines())
            self.state_by_team[team] = held._replace(seen=document.revision, findings=findings)
            return False
        self.tree_by_team[team] = tree
        self.state_by_team[team] = InForce(document.revision, document.revision, now)
        return True


def revisions_of(documents: Mapping[str, Document]) -> dict[str, Any]:
    """Return revision by team of the settings documents among these."""
    return {
        k.removeprefix(SETTINGS_PREFIX): d.revision
        for k, d in documents.items()
        if k.startswith(SETTINGS_PREFIX)
    }
