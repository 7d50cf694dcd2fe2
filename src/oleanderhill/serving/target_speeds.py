"""Slowness of targets relative to the other targets of their model or service.

The slowness is the mean logarithm of a target's times, compared with the same mean over the other
targets of the model or service within the same window. If all become slower together, both means
rise together, so no target counts as slow. A target that is faster than the others needs no rank of
its own: it is less loaded.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from .decaying import DecayingSums
from .shared_counters import SharedCounters
from .time_sketch import MIN_SECONDS

SPEEDS_FAMILY = "target-times"
LEVELS_FAMILY = "mean-times"

WINDOW = 4.0
"""Seconds that observations count. A target that gets no requests is forgotten soon after, and
tried again."""

MIN_OBSERVATIONS = 3.0
"""Observations of a target in the window from which its slowness is used."""

MIN_KEPT_OBSERVATIONS = 0.7
"""Observations down to which a target that is known to be slow stays so. With fewer of them its
slowness approaches 1, as that of a target that gets no requests."""

MIN_SHARED_RATIO = 2.0
"""Ratio from which a host reports a target on a single observation. In a large fleet none sees a
target often; those that hear of it add their own observations."""

PRIOR_OBSERVATIONS = 1.0
"""Weight of the assumption that a target is as fast as its fellows, in observations."""

SLOW_RATIO = 1.5
"""Ratio from which a target counts as slow. Prompts differ, so means of few requests differ too."""

MAX_SLOWNESS = 16.0

MAX_SECONDS = 120.0
"""Longer times count as this, so that one observation moves a mean only so far."""

MAX_SHARED_TARGETS = 24
"""Targets that a host reports at most. Only slow ones are of interest to others."""

MAX_TARGETS = 2_000
"""Targets that are tracked at most."""

_MAX_LOG = math.log(MAX_SECONDS / MIN_SECONDS)


class TargetSpeeds:
    """Means of the logarithms of times, by target and by model or service.

    Logarithms are those of the time in units of :data:`.time_sketch.MIN_SECONDS`: they are not
    negative, as shared counters require.
    """

    def __init__(self, counters: SharedCounters) -> None:
        self._counters = counters
        self._by_target = DecayingSums(WINDOW, 2 * MAX_TARGETS)
        self._by_subject = DecayingSums(WINDOW, 2 * MAX_TARGETS)
        self._subject_by_target: dict[str, str] = {}
        self.slowness_by_target: Mapping[str, float] = {}
        counters.register(SPEEDS_FAMILY, self._shared_targets)
        counters.register(LEVELS_FAMILY, self._by_subject.values)

    def set_targets(self, subject_by_target: Mapping[str, str]) -> None:
        """Replace the targets that serve; others are dropped."""
        for target in self._subject_by_target.keys() - subject_by_target.keys():
            self._by_target.discard(f"{target}/n")
            self._by_target.discard(f"{target}/s")
        self._subject_by_target = dict(subject_by_target)

    def observe(self, subject: str, target: str, seconds: float, now: float) -> None:
        """Record a time of a target, without the time for which a request waited for a slot."""
        if target not in self._subject_by_target:
            return
        level = min(_MAX_LOG, math.log(max(1.0, seconds / MIN_SECONDS)))
        for sums, key in ((self._by_target, target), (self._by_subject, subject)):
            if sums.add(f"{key}/n", 1.0, now):
                sums.add(f"{key}/s", level, now)

    def refresh(self, now: float) -> Mapping[str, float]:
        """Recompute and return the slowness of the slow targets."""
        by_subject = self._counters.total(LEVELS_FAMILY, now)
        peers, own = self._counters.peers(SPEEDS_FAMILY), self._by_target.values(now)
        slowness_by_target = {}
        for target in _names(own) | _names(peers):
            subject = self._subject_by_target.get(target)
            if subject is None:
                continue
            count = own.get(f"{target}/n", 0.0) + peers.get(f"{target}/n", 0.0)
            total = own.get(f"{target}/s", 0.0) + peers.get(f"{target}/s", 0.0)
            slowness = _slowness(count, total, by_subject, subject)
            known = target in self.slowness_by_target
            enough = count >= (MIN_KEPT_OBSERVATIONS if known else MIN_OBSERVATIONS)
            if enough and slowness >= SLOW_RATIO:
                slowness_by_target[target] = slowness
        self.slowness_by_target = slowness_by_target
        return slowness_by_target

    def _shared_targets(self, now: float) -> Mapping[str, float]:
        """Return the own sums of targets that are slow here or by the word of other hosts."""
        own = self._by_target.values(now)
        by_subject = self._counters.total(LEVELS_FAMILY, now)
        peers = _names(self._counters.peers(SPEEDS_FAMILY))
        known, ranked = self.slowness_by_target, []
        for target in _names(own):
            subject = self._subject_by_target.get(target, "")
            count, total = own.get(f"{target}/n", 0.0), own.get(f"{target}/s", 0.0)
            slowness = _slowness(count, total, by_subject, subject, prior=0.0)
            if slowness >= MIN_SHARED_RATIO or target in peers or target in known:
                ranked.append((slowness, target))
        shared = sorted(ranked, reverse=True)[:MAX_SHARED_TARGETS]
        keys = [key for _, target in shared for key in (f"{target}/n", f"{target}/s")]
        return {key: round(own[key], 3) for key in keys if key in own}


def _slowness(
    count: float,
    total: float,
    by_subject: Mapping[str, float],
    subject: str,
    prior: float = PRIOR_OBSERVATIONS,
) -> float:
    """Return the slowness of a target, 1 with too few observations of the others."""
    others_count = by_subject.get(f"{subject}/n", 0.0) - count
    others_total = by_subject.get(f"{subject}/s", 0.0) - total
    if count <= 0 or others_count < MIN_OBSERVATIONS:
        return 1.0
    mean, others_mean = (
        max(0.0, min(_MAX_LOG, level)) for level in (total / count, others_total / others_count)
    )
    difference = (mean - others_mean) * count / (count + prior)
    return min(MAX_SLOWNESS, math.exp(max(0.0, difference)))


def _names(keys: Iterable[str]) -> set[str]:
    return {key[:-2] for key in keys if key.endswith(("/n", "/s"))}
