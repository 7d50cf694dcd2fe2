"""Slowness of targets relative to the other targets of their model or service.

The slowness is the mean logarithm of a target's times, compared with the same mean over the other
targets of the model or service within the same window. If all become slower together, both means
rise together, so no target counts as slow. A target that is faster than the others needs no rank of
its own: it is less loaded.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from .decaying import DecayingSums, Sums, from_counters, to_counters
from .shared_counters import SharedCounters
from .slow_start import ServingTarget
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

MIN_SHARED_SLOWNESS = 2.0
"""Slowness from which a host reports a target. In a large fleet none sees a target often, so that
one observation suffices if it is four times as long as the mean; those that hear of it add their
own. With a lower value the usual spread of times would make hosts report most targets."""

MIN_SHARED_PEER_SLOWNESS = 1.2
"""Slowness by the observations of all hosts, from which a host reports a target because others do.
With a lower value hosts would report healthy targets because of each other's reports."""

PRIOR_OBSERVATIONS = 1.0
"""Weight of the assumption that a target is as fast as its fellows, in observations."""

SLOW_RATIO = 1.5
"""Ratio from which a target counts as slow. Prompts differ, so means of few requests differ too."""

MAX_SLOWNESS = 16.0

MAX_SECONDS = 120.0
"""Longer times count as this, so that one observation moves a mean only so far."""

MAX_SHARED_TARGETS = 8
"""Targets that a host reports at most. Only slow ones are of interest to others."""

MAX_TARGETS = 2_000
"""Targets that are tracked at most."""

MAX_SLOW_FRACTION = 0.5
"""Fraction of the targets of a model or service that may count as slow. Beyond it, the others are
no measure any more, or a report is wrong."""

MIN_COUNT = 0.3
"""Observations below which a target is forgotten."""

NO_TIMES = Sums(0.0, 0.0)

_MAX_LOG = math.log(MAX_SECONDS / MIN_SECONDS)


class TargetSpeeds:
    """Means of the logarithms of times, by target and by model or service.

    Logarithms are those of the time in units of :data:`.time_sketch.MIN_SECONDS`: they are not
    negative, as shared counters require.
    """

    def __init__(self, counters: SharedCounters) -> None:
        self._counters = counters
        self._by_target = DecayingSums(WINDOW, MAX_TARGETS, MIN_COUNT)
        self._by_subject = DecayingSums(WINDOW, MAX_TARGETS, MIN_COUNT)
        self._serving: Mapping[str, ServingTarget] = {}
        self._targets_by_subject: Mapping[str, int] | None = None
        self.slowness_by_target: Mapping[str, float] = {}
        counters.register(SPEEDS_FAMILY, self._shared_targets)
        counters.register(LEVELS_FAMILY, lambda now: to_counters(self._by_subject.sums(now)))

    def set_targets(self, serving: Mapping[str, ServingTarget]) -> None:
        """Replace the targets that serve; others are dropped."""
        for target in self._serving.keys() - serving.keys():
            self._by_target.discard(target)
        self._serving = serving
        self._targets_by_subject = None

    def observe(self, subject: str, target: str, seconds: float, now: float) -> None:
        """Record a time of a target, without the time for which a request waited for a slot."""
        if target not in self._serving:
            return
        level = min(_MAX_LOG, math.log(max(1.0, seconds / MIN_SECONDS)))
        self._by_target.add(target, level, now)
        self._by_subject.add(subject, level, now)

    def refresh(self, now: float) -> Mapping[str, float]:
        """Recompute and return the slowness of the slow targets."""
        by_subject = from_counters(self._counters.total(LEVELS_FAMILY, now))
        peers = from_counters(self._counters.peers(SPEEDS_FAMILY))
        own, known = self._by_target.sums(now), self.slowness_by_target
        slowness_by_target = {}
        for target in own.keys() | peers.keys():
            sums = _add(own.get(target, NO_TIMES), peers.get(target, NO_TIMES))
            minimum = MIN_KEPT_OBSERVATIONS if target in known else MIN_OBSERVATIONS
            serving = self._serving.get(target)
            if serving is None or sums.number < minimum:
                continue
            slowness = _slowness(sums, by_subject.get(serving.subject, NO_TIMES))
            if slowness >= SLOW_RATIO:
                slowness_by_target[target] = slowness
        self.slowness_by_target = self._minority(slowness_by_target)
        return self.slowness_by_target

    def _minority(self, slowness_by_target: Mapping[str, float]) -> Mapping[str, float]:
        """Leave out models and services of which too many targets look slow."""
        if not slowness_by_target:
            return {}
        if self._targets_by_subject is None:
            self._targets_by_subject = Counter(t.subject for t in self._serving.values())
        slow_by_subject = Counter(self._serving[target].subject for target in slowness_by_target)
        kept = {
            subject
            for subject, number in slow_by_subject.items()
            if number <= MAX_SLOW_FRACTION * self._targets_by_subject[subject]
        }
        return {t: s for t, s in slowness_by_target.items() if self._serving[t].subject in kept}

    def _shared_targets(self, now: float) -> Mapping[str, float]:
        """Return the own sums of targets that are slow here or by the word of other hosts."""
        by_subject = from_counters(self._counters.total(LEVELS_FAMILY, now))
        peers = from_counters(self._counters.peers(SPEEDS_FAMILY))
        own, known = self._by_target.sums(now), self.slowness_by_target
        ranked = []
        for target, sums in own.items():
            of_all = by_subject.get(self._serving[target].subject, NO_TIMES)
            slowness = _slowness(sums, of_all)
            together = _slowness(_add(sums, peers[target]), of_all) if target in peers else 1.0
            is_doubtful = slowness >= MIN_SHARED_SLOWNESS or together >= MIN_SHARED_PEER_SLOWNESS
            if is_doubtful or target in known:
                ranked.append((max(slowness, together), target))
        shared = sorted(ranked, reverse=True)[:MAX_SHARED_TARGETS]
        return to_counters({target: own[target] for _, target in shared})


def _add(first: Sums, second: Sums) -> Sums:
    return Sums(first.number + second.number, first.total + second.total)


def _slowness(sums: Sums, of_all: Sums) -> float:
    """Return the slowness of a target, 1 with too few observations of the others.

    :param of_all: sums of all targets of its model or service
    """
    others = Sums(of_all.number - sums.number, of_all.total - sums.total)
    if sums.number <= 0 or others.number < MIN_OBSERVATIONS:
        return 1.0
    mean, others_mean = (max(0.0, min(_MAX_LOG, total / count)) for count, total in (sums, others))
    difference = (mean - others_mean) * sums.number / (sums.number + PRIOR_OBSERVATIONS)
    return min(MAX_SLOWNESS, math.exp(max(0.0, difference)))
