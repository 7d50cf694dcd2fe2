"""Virtual time: a queue of calls ordered by time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Runs calls at their times; calls due at the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time, or now if the time has passed."""
        heapq.heappush(self._calls, (max(when, self.now), next(self._order), call))

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now + seconds, call)

    def run(self, until: float) -> None:
        """Run all calls up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()
        self.now = until
