"""Virtual time: what is to happen, in order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Clockwork:
    """Runs calls at their times; two at the same time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Call something at a time."""
        heapq.heappush(self._calls, (max(when, self.now), next(self._order), call))

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something after some seconds."""
        self.at(self.now + seconds, call)

    def run(self, until: float) -> None:
        """Run all calls up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()
        self.now = until
