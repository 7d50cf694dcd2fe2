"""Counts of events by subject over a sliding window."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping


class RecentCounts:
    """Counts events by subject over a sliding window.

    :param window: seconds
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._events: deque[tuple[float, str]] = deque()
        self._count_by_subject: Counter[str] = Counter()

    def add(self, subject: str, now: float) -> None:
        """Count an event."""
        self._expire(now)
        self._events.append((now, subject))
        self._count_by_subject[subject] += 1

    def rates(self, now: float) -> Mapping[str, float]:
        """Return the events a second, by subject."""
        self._expire(now)
        return {s: n / self._window for s, n in self._count_by_subject.items()}

    def _expire(self, now: float) -> None:
        counts = self._count_by_subject
        while self._events and self._events[0][0] <= now - self._window:
            subject = self._events.popleft()[1]
            if counts[subject] > 1:
                counts[subject] -= 1
            else:
                del counts[subject]
