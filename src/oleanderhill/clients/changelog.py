"""What a host that reads the store keeps for its peers: the content, and how it came about."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from .storage import NEVER, Change, Revision

KEPT = 2000
"""Changes kept: a bound on memory, not from a measurement. Who lacks more reads the store."""


class _Entry(NamedTuple):
    """A change, and the revision of the reading that brought it."""

    at: Revision
    change: Change


class ChangeLog:
    """The content by key, and the latest changes that meant something.

    Heartbeats of hosts change their entries once a second without changing what they say. They are
    left out, so that a peer is told little more than what it has to act on.
    """

    def __init__(self) -> None:
        self.revision: Revision | None = None
        self._since = NEVER
        self._change_by_key: dict[str, Change] = {}
        self._entries: deque[_Entry] = deque()

    def take(self, revision: Revision, changes: Sequence[Change]) -> None:
        """Take the changes of a reading that reached a revision."""
        if self.revision is None or self.revision.generation < revision.generation:
            # Who has read an earlier generation lacks more than the changes of this one.
            self._since = revision
            self._entries.clear()
        self.revision = max(revision, self.revision or NEVER)
        for change in changes:
            if change.value is None:
                self._change_by_key.pop(change.key, None)
            else:
                self._change_by_key[change.key] = change
            self._entries.append(_Entry(self.revision, change))
        while len(self._entries) > KEPT:
            self._since = self._entries.popleft().at

    def replace(self, revision: Revision, content: Sequence[Change]) -> None:
        """Take the whole content anew; what differs counts as changes of this reading."""
        present = {c.key for c in content}
        gone = [Change(k, None, revision) for k in self._change_by_key if k not in present]
        fresh = [c for c in content if self._change_by_key.get(c.key) != c]
        self.take(revision, [*gone, *fresh])

    def content(self) -> Sequence[Change]:
        """Return the whole content."""
        return list(self._change_by_key.values())

    def since(self, after: Revision) -> Sequence[Change] | None:
        """Return the changes after a revision, ``None`` where they are not all kept."""
        if (
            self.revision is None
            or after < self._since
            or after.generation != self.revision.generation
        ):
            return None
        return [e.change for e in self._entries if e.at > after]
