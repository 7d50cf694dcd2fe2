"""Writes of settings subtrees with a definite outcome, and the settings in force.

A subtree is stored in an envelope with its revision and the ids of the latest writes. If the
store's answer to a write is lost, the write is looked up by its id. The operator therefore gets
*accepted* or *refused* whenever the store is reachable, and *unknown* only while it is not.
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
MAX_HISTORY = 20


class Change(NamedTuple):
    """One accepted change, as recorded in the history of its envelope and of later ones."""

    revision: int
    write_id: str
    by: str
    at: float


class Subtree(NamedTuple):
    """The stored envelope of a team's subtree.

    :param tree: the subtree as unparsed JSON
    :param history: the latest changes, this one included, newest first
    """

    revision: int
    tree: msgspec.Raw
    history: tuple[Change, ...]


class Read(NamedTuple):
    """Effect: read the subtree from the store."""


class CompareAndSwap(NamedTuple):
    """Effect: write the envelope if the key still has ``modify_index`` (compare-and-swap)."""

    value: bytes
    modify_index: int


class WriteState(StrEnum):
    """The outcome of a write."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    STORE_DOWN = "store down"


class WriteResult(NamedTuple):
    """Effect: the write is complete.

    :param revision: the new revision if accepted, otherwise the one found in the store
    :param document: the stored envelope if accepted
    """

    state: WriteState
    revision: int
    document: bytes = b""


WriteEffect = Read | CompareAndSwap | WriteResult


class SubtreeWrite:
    """The write of one subtree, as a state machine without I/O driven by the store's answers.

    :param base: the revision that the operator edited, ``None`` to overwrite any revision
    :param highest_known: returns the highest revision that this entry host knows; called when the
        swap is built, because the store may be restored from a backup after the write started
    """

    def __init__(
        self, tree: bytes, change: Change, base: int | None, highest_known: Callable[[], int]
    ) -> None:
        self._tree = msgspec.Raw(tree)
        self._change = change
        self._base = base
        self._highest_known = highest_known
        self._value = b""
        self._revision = 0
        self._swap_index: int | None = None
        self._maybe_applied = False

    def start(self) -> list[WriteEffect]:
        """Return the first effect."""
        return [Read()]

    def on_read(self, value: bytes, index: int) -> list[WriteEffect]:
        """Process the stored envelope, empty if there is none, and return the next effects."""
        found = decode_subtree(value) if value else Subtree(0, msgspec.Raw(b"{}"), ())
        own_changes = [c for c in found.history if c.write_id == self._change.write_id]
        if own_changes:
            return [WriteResult(WriteState.ACCEPTED, own_changes[0].revision, value)]
        if self._maybe_applied:
            if index == self._swap_index:
                # The write with the lost answer is not applied yet and may still be in transit.
                # Repeating it at the same index resolves this: at most one of the two is
                # applied, and the other fails because the index has changed.
                return [CompareAndSwap(self._value, index)]
            # The index has changed and the id is not in the history: the write can't be applied
            # any more.
            return [WriteResult(WriteState.REFUSED, found.revision)]
        return self._make_swap(found, index)

    def on_swapped(self, done: bool) -> list[WriteEffect]:
        """Process the store's answer to a swap and return the next effects."""
        if done:
            return [WriteResult(WriteState.ACCEPTED, self._revision, self._value)]
        if self._maybe_applied:
            return [Read()]
        return [WriteResult(WriteState.REFUSED, self._revision)]

    def on_failed(self, was_swap: bool) -> list[WriteEffect]:
        """Process a failed store call; the caller waits before it executes the next effect.

        :param was_swap: whether the call was a swap, which the store may have applied
        """
        if was_swap:
            self._maybe_applied = True
        if not self._maybe_applied:
            return [WriteResult(WriteState.STORE_DOWN, 0)]
        return [Read()]

    def on_timeout(self) -> WriteResult:
        """Return the outcome to report if the write is abandoned now."""
        state = WriteState.UNKNOWN if self._maybe_applied else WriteState.STORE_DOWN
        return WriteResult(state, 0)

    def _make_swap(self, found: Subtree, index: int) -> list[WriteEffect]:
        # The store may have been restored from an older backup. Entry hosts ignore revisions that
        # are not higher than the one they have in force, so the new one must exceed both.
        current = max(found.revision, self._highest_known())
        if self._base is not None and self._base != current:
            return [WriteResult(WriteState.REFUSED, current)]
        self._revision = current + 1
        change = self._change._replace(revision=self._revision)
        history = (change, *found.history)[:MAX_HISTORY]
        self._value = encode_subtree(Subtree(self._revision, self._tree, history))
        self._swap_index = index
        return [CompareAndSwap(self._value, index)]


def encode_subtree(subtree: Subtree) -> bytes:
    """Return an envelope in its stored form."""
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
    """Return the envelope that a stored value contains.

    :raises msgspec.DecodeError: if it is malformed
    """
    stored = msgspec.json.decode(value, type=_Stored)
    history = tuple(Change(c.revision, c.write_id, c.by, c.at) for c in stored.history)
    return Subtree(stored.revision, stored.tree, history)


class SubtreeState(NamedTuple):
    """The revision of one subtree in force on an entry host, and the latest one received.

    :param latest_revision: highest revision received; higher than ``revision`` if it is invalid
    :param findings: why the highest revision is not in force
    """

    revision: int
    latest_revision: int
    applied_at: float
    findings: tuple[str, ...] = ()


class SettingsInForce:
    """The last valid subtree of each team."""

    def __init__(self) -> None:
        self.tree_by_team: dict[str, FleetSettings | TeamSettings] = {}
        self.state_by_team: dict[str, SubtreeState] = {}

    def apply(self, document: Document, now: float) -> bool:
        """Apply a document that :class:`~.documents.Documents` accepted as newer.

        Return whether the tree in force changed. If the new tree is invalid, the last valid one
        stays in force.
        """
        team = document.key.removeprefix(SETTINGS_PREFIX)
        previous = self.state_by_team.get(team, SubtreeState(0, 0, now))
        try:
            tree = check_subtree(team, bytes(decode_subtree(document.body).tree))
        except (SettingsInvalidError, msgspec.DecodeError) as error:
            text = error.show() if isinstance(error, SettingsInvalidError) else str(error)
            findings = tuple(text.splitlines())
            self.state_by_team[team] = previous._replace(
                latest_revision=document.revision, findings=findings
            )
            return False
        self.tree_by_team[team] = tree
        self.state_by_team[team] = SubtreeState(document.revision, document.revision, now)
        return True


def revisions_of(documents: Mapping[str, Document]) -> dict[str, Any]:
    """Return the revision of each team's settings among these documents."""
    return {
        k.removeprefix(SETTINGS_PREFIX): d.revision
        for k, d in documents.items()
        if k.startswith(SETTINGS_PREFIX)
    }
