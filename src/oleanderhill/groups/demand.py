"""Recent demand for each model: what it is at present, and what it has been throughout a window.

A burst must be seen at once, and a decision that takes hosts out of service must not follow a swing
of the load. So the present demand rises quickly and falls slowly, and lasting demand is the lowest
of a window, which no swing that is shorter than the window can raise.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

QUICK_WEIGHT = 0.6
"""Weight of the newest sample in the quick average. With one sample per store poll, every 0.65 s,
a burst shows with its first or second sample, while a single odd sample is damped."""

HISTORY_SECONDS = 90.0
"""Seconds of samples that are kept: the longest window, twice the time to load a group's weights
where a domain's hosts load one after the other, is cut to this."""

MAX_SAMPLE_GAP = 3.0
"""Seconds without a sample after which the history starts anew: nothing is known of the gap."""

MAX_GROUPS = 1e6
"""Upper bound on a sample, so that no absurd count is carried on."""


class DemandHistory:
    """Samples of the number of groups that each model's requests occupy."""

    def __init__(self) -> None:
        self._quick: dict[str, float] = {}
        self._slow: dict[str, float] = {}
        self._samples_by_model: dict[str, deque[tuple[float, float]]] = {}
        self._began = float("inf")
        self._last = float("-inf")

    def record(
        self, occupied: Mapping[str, float], averages: Mapping[str, float], now: float
    ) -> None:
        """Add a sample of all models.

        :param occupied: groups that the requests occupy now, by model
        :param averages: the same as an average of some seconds
        """
        if not 0 <= now - self._last <= MAX_SAMPLE_GAP:
            self._samples_by_model = {}
            self._quick = {}
            self._began = now
        self._last = now
        self._slow = {m: _bounded(v) for m, v in averages.items()}
        for model, value in occupied.items():
            sample = _bounded(value)
            quick = self._quick.get(model, sample)
            self._quick[model] = quick + QUICK_WEIGHT * (sample - quick)
            samples = self._samples_by_model.setdefault(model, deque())
            samples.append((now, self._quick[model]))
            while samples[0][0] < now - HISTORY_SECONDS:
                samples.popleft()

    def present(self, model: str) -> float:
        """Return the higher of the quick and the slow average: fast to rise, slow to fall."""
        return max(self._quick.get(model, 0.0), self._slow.get(model, 0.0))

    def lowest(self, model: str, seconds: float, now: float) -> float:
        """Return the lowest demand in a window, 0 if less than the window is known."""
        seconds = min(seconds, HISTORY_SECONDS - MAX_SAMPLE_GAP)
        samples = self._samples_by_model.get(model)
        if not samples or samples[0][0] > now - seconds:
            return 0.0
        found = float("inf")
        for at, value in reversed(samples):
            found = min(found, value)
            if at <= now - seconds:
                break
        return found

    def highest(self, model: str, seconds: float, now: float) -> float | None:
        """Return the highest demand in a window, ``None`` if less than the window is known."""
        seconds = min(seconds, HISTORY_SECONDS - MAX_SAMPLE_GAP)
        if self._began > now - seconds:
            return None
        samples = self._samples_by_model.get(model, ())
        recent = (v for at, v in samples if at >= now - seconds)
        return max(self.present(model), max(recent, default=0.0))


def _bounded(value: float) -> float:
    return min(max(value, 0.0), MAX_GROUPS) if math.isfinite(value) else 0.0
