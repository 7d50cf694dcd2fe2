"""Which targets this entry host reaches over its own links, by the outcome of new connections.

Decides without I/O. A target that fails and a host that lost its links look alike in one
connection; they differ in how many targets fail at the same time.
"""

from __future__ import annotations

from typing import NamedTuple

FAILURE_WINDOW = 3.0
"""Seconds for which a failed connection counts."""

MIN_UNREACHABLE = 2
"""Targets that must fail in a row, with no connection to any target between, before the links of
this host are in doubt."""


class LinkChange(NamedTuple):
    """The links of this host came into doubt, or a target was reached again.

    :param doubtful: whether they are in doubt now
    :param targets: addresses whose connections failed
    :param since: monotonic time of the first of these failures
    """

    doubtful: bool
    targets: tuple[str, ...]
    since: float


class Reachability:
    """Outcomes of new connections to targets since one last succeeded."""

    def __init__(self) -> None:
        self._failed_at: dict[str, float] = {}
        self._first_failure = 0.0
        self._doubtful = False

    @property
    def doubtful(self) -> bool:
        """Return whether several targets failed and none was reached since."""
        return self._doubtful

    def unreachable(self, now: float) -> int:
        """Return the number of targets that failed since a connection last succeeded."""
        return sum(now - at <= FAILURE_WINDOW for at in self._failed_at.values())

    def connected(self, address: str, now: float) -> LinkChange | None:
        """Record that a connection was opened; return the change, if any."""
        del address, now
        failed, self._failed_at = tuple(self._failed_at), {}
        if not self._doubtful:
            return None
        self._doubtful = False
        return LinkChange(False, failed, self._first_failure)

    def failed(self, address: str, now: float) -> LinkChange | None:
        """Record that a connection could not be opened; return the change, if any."""
        if not self._doubtful:
            recent = {a: at for a, at in self._failed_at.items() if now - at <= FAILURE_WINDOW}
            self._failed_at = recent
        if not self._failed_at:
            self._first_failure = now
        self._failed_at[address] = now
        if self._doubtful or len(self._failed_at) < MIN_UNREACHABLE:
            return None
        self._doubtful = True
        return LinkChange(True, tuple(self._failed_at), self._first_failure)
