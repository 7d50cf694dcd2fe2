"""Is a stream stalled? Judged against the group's peers, not by a fixed number alone.

Under overload all groups slow down together, and cutting their streams would make it worse. Only a
stream much slower than what its model's other groups show now is called stalled.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

SAMPLES = 200
MIN_SAMPLES = 20
SAMPLE_EVERY = 4
"""One wait in so many is kept: all would cost more than the forwarding of a token."""

FACTOR = 6.0


class Bounds(NamedTuple):
    """Least and greatest time allowed, in seconds."""

    least: float
    greatest: float


FIRST_TOKEN = Bounds(2.0, 30.0)
GAP = Bounds(1.0, 15.0)


class StallClock:
    """Recent waits of one kind (first token, or gap) for one model."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._recent: deque[float] = deque(maxlen=SAMPLES)
        self._limit = bounds.greatest
        self._since = 0

    def record(self, seconds: float) -> None:
        """Take in a wait that ended."""
        self._since += 1
        if self._since % SAMPLE_EVERY:
            return
        self._recent.append(seconds)
        if self._since >= MIN_SAMPLES * SAMPLE_EVERY:
            self._since = 0
            self._limit = self._bound()

    def limit(self) -> float:
        """Return the seconds after which a wait counts as a stall."""
        return self._limit

    def _bound(self) -> float:
        ordered = sorted(self._recent)
        p95 = ordered[int(0.95 * (len(ordered) - 1))]
        return min(self._bounds.greatest, max(self._bounds.least, FACTOR * p95))
