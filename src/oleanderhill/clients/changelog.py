"""The store content and its recent changes, retained by a host to serve its peers."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from .storage import NEVER, Change, Revision

MAX_CHANGES = 2000
"""Changes retained, to bound memory. A peer that is further behind reads the store."""


class _LogEntry(NamedTuple):
    """A change and the revision of the read that returned it."""

    revision_read: Revision
    change: Change


class ChangeLog:
    """The content by key, and the latest significant changes.

    Host heartbeats rewrite their entries once a second without changing the decoded content. They
    are left out, so that peers receive little more than the changes that they must act on.
    """

    def __init__(self) -> None:
        self.revision: Revision | None = None
        self._complete_after = NEVER
        self._change_by_key: dict[str, Change] = {}
        self._entries: deque[_LogEntry] = deque()

    def apply(self, revision: Revision, changes: Sequence[Change]) -> None:
        """Apply the changes of a read that is complete up to a revision."""
        if self.revision is None or self.revision.generation < revision.generation:
            # A peer at an earlier generation needs more than this generation's changes.
            self._complete_after = revision
            self._entries.clear()
        self.revision = max(revision, self.revision or NEVER)
        for change in changes:
            if change.value is None:
                self._change_by_key.pop(change.key, None)
            else:
                self._change_by_key[change.key] = change
            self._entries.append(_LogEntry(self.revision, change))
        while len(self._entries) > MAX_CHANGES:
            self._complete_after = self._entries.popleft().revision_read

    def replace(self, revision: Revision, content: Sequence[Change]) -> None:
        """Replace the whole content, and log the differences as changes of this read."""
        present = {c.key for c in content}
        gone = [Change(k, None, revision) for k in self._change_by_key if k not in present]
        fresh = [c for c in content if self._change_by_key.get(c.key) != c]
        self.apply(revision, [*gone, *fresh])

    def content(self) -> Sequence[Change]:
        """Return the whole content."""
        return list(self._change_by_key.values())

    def since(self, after: Revision) -> Sequence[Change] | None:
        """Return the changes after a revision, ``None`` if some are no longer retained."""
        if (
            self.revision is None
            or after < self._complete_after
            or after.generation != self.revision.generation
        ):
            return None
        return [e.change for e in self._entries if e.revision_read > after]
