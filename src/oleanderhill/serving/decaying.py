"""Sums in which older amounts weigh less, by exponential decay."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

MAX_GROWTH_AGE = 30.0
"""Windows after which the stored amounts are rescaled; their growth stays far from overflow."""


class Sums(NamedTuple):
    """The number of values of a key, and their sum."""

    number: float
    total: float


class DecayingSums:
    """Counts and sums of values by key that shrink to 1/e within a window.

    Values are stored with a weight that grows with time instead of being reduced periodically, so
    that adding one costs the same for any number of keys.

    :param window: seconds
    :param max_keys: number of keys that are stored at most
    :param min_count: count below which a key is dropped
    """

    def __init__(self, window: float, max_keys: int, min_count: float) -> None:
        self._window = window
        self._max_keys = max_keys
        self._min_count = min_count
        self._origin = 0.0
        self._weighted_by_key: dict[str, Sums] = {}

    def add(self, key: str, value: float, now: float) -> bool:
        """Add a value; return ``False`` if the table is full and the key is not in it."""
        growth = self._growth(now)
        if key not in self._weighted_by_key and len(self._weighted_by_key) >= self._max_keys:
            self.sums(now)
            if len(self._weighted_by_key) >= self._max_keys:
                return False
        count, total = self._weighted_by_key.get(key, (0.0, 0.0))
        self._weighted_by_key[key] = Sums(count + growth, total + value * growth)
        return True

    def discard(self, key: str) -> None:
        """Drop a key."""
        self._weighted_by_key.pop(key, None)

    def sums(self, now: float) -> dict[str, Sums]:
        """Return the current sums by key, and drop those that are negligible."""
        growth = self._growth(now)
        negligible = self._min_count * growth
        kept = {k: s for k, s in self._weighted_by_key.items() if s.number >= negligible}
        self._weighted_by_key = kept
        return {k: Sums(count / growth, total / growth) for k, (count, total) in kept.items()}

    def _growth(self, now: float) -> float:
        age = (now - self._origin) / self._window
        if age <= MAX_GROWTH_AGE:
            return math.exp(age)
        factor = math.exp(-min(age, 500.0))
        self._weighted_by_key = {
            k: Sums(count * factor, total * factor)
            for k, (count, total) in self._weighted_by_key.items()
        }
        self._origin = now
        return 1.0


def to_counters(sums_by_key: Mapping[str, Sums]) -> dict[str, float]:
    """Return sums as shared counters: the count and the total of each key."""
    counters = {}
    for key, (count, total) in sums_by_key.items():
        counters[f"{key}/n"] = round(count, 3)
        counters[f"{key}/s"] = round(total, 3)
    return counters


def from_counters(counters: Mapping[str, float]) -> dict[str, Sums]:
    """Return the sums in shared counters; those without a count are left out."""
    return {
        key[:-2]: Sums(count, counters.get(f"{key[:-2]}/s", 0.0))
        for key, count in counters.items()
        if key.endswith("/n") and count > 0
    }
