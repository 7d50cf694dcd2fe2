"""Stall detection for streams, relative to what the model's groups currently deliver.

Under overload all groups slow down together, and aborting their streams would make it worse. A
stream counts as stalled only when it waits much longer than recent streams of the same model did.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_SAMPLES = 200
MIN_SAMPLES = 20
SAMPLING_INTERVAL = 4
"""One wait in this many is recorded. Recording each one costs more than forwarding a token."""

P95_FACTOR = 6.0


class Bounds(NamedTuple):
    """Lower and upper bound of a stall timeout, in seconds."""

    minimum: float
    maximum: float


FIRST_TOKEN_BOUNDS = Bounds(2.0, 30.0)
EVENT_GAP_BOUNDS = Bounds(1.0, 15.0)


class StallTimeout:
    """Adaptive timeout for one kind of wait (first token or event gap) and one model."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._limit = bounds.maximum
        self._waits_since_update = 0

    def record(self, seconds: float) -> None:
        """Record the length of a wait that ended."""
        self._waits_since_update += 1
        if self._waits_since_update % SAMPLING_INTERVAL:
            return
        self._samples.append(seconds)
        if self._waits_since_update >= MIN_SAMPLES * SAMPLING_INTERVAL:
            self._waits_since_update = 0
            self._limit = self._compute_limit()

    def limit(self) -> float:
        """Return the seconds after which a wait counts as a stall."""
        return self._limit

    def _compute_limit(self) -> float:
        ordered = sorted(self._samples)
        p95 = ordered[int(0.95 * (len(ordered) - 1))]
        return min(self._bounds.maximum, max(self._bounds.minimum, P95_FACTOR * p95))
