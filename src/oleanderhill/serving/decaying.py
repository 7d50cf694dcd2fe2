"""Sums in which older amounts weigh less, by exponential decay."""

from __future__ import annotations

import math

MIN_SUM = 0.02
"""Sums below this are dropped, so that a table holds recent keys only."""

MAX_GROWTH_AGE = 30.0
"""Windows after which the stored amounts are rescaled; their growth stays far from overflow."""


class DecayingSums:
    """Sums by key that shrink to 1/e within a window.

    Amounts are stored with a weight that grows with time instead of being reduced periodically, so
    that adding one costs the same for any number of keys.

    :param window: seconds
    :param max_keys: number of keys that are stored at most
    """

    def __init__(self, window: float, max_keys: int) -> None:
        self._window = window
        self._max_keys = max_keys
        self._origin = 0.0
        self._weighted_by_key: dict[str, float] = {}

    def add(self, key: str, amount: float, now: float) -> bool:
        """Add an amount; return ``False`` if the table is full and the key is not in it."""
        growth = self._growth(now)
        if key not in self._weighted_by_key and len(self._weighted_by_key) >= self._max_keys:
            self.values(now)
            if len(self._weighted_by_key) >= self._max_keys:
                return False
        self._weighted_by_key[key] = self._weighted_by_key.get(key, 0.0) + amount * growth
        return True

    def discard(self, key: str) -> None:
        """Drop a key."""
        self._weighted_by_key.pop(key, None)

    def values(self, now: float) -> dict[str, float]:
        """Return the current sums by key, and drop those that are negligible."""
        growth = self._growth(now)
        negligible = MIN_SUM * growth
        kept = {k: v for k, v in self._weighted_by_key.items() if v >= negligible}
        self._weighted_by_key = kept
        return {key: weighted / growth for key, weighted in kept.items()}

    def _growth(self, now: float) -> float:
        age = (now - self._origin) / self._window
        if age <= MAX_GROWTH_AGE:
            return math.exp(age)
        factor = math.exp(-min(age, 500.0))
        self._weighted_by_key = {k: v * factor for k, v in self._weighted_by_key.items()}
        self._origin = now
        return 1.0
