"""Slow start: a target that has just started gets few requests until it has answered some.

A new target is the least loaded of all, so all entry hosts would send to it at the same time, while
it may still be slow.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from .shared_counters import SharedCounters

ANSWERS_FAMILY = "first-answers"

INITIAL_FRACTION = 0.25
"""Fraction of its slots that a new target may use before its first answer."""

MIN_IN_FLIGHT = 2.0
"""Requests that a new target of few slots may have in flight before its first answer."""

SLOTS_PER_ANSWER = 2.0
"""Further requests in flight for each answer: what is in flight doubles within an answer's time."""

REFRESH_INTERVAL = 0.1
"""Seconds for which computed limits are used."""

MAX_SECONDS = 10.0
"""Seconds after which a slow start ends without answers; they may have gone to hosts that this one
does not hear."""

MAX_TARGETS = 200
"""New targets that are tracked at most. Where more start at the same time, they are all alike."""


class ServingTarget(NamedTuple):
    """A target that serves.

    :param subject: its model, or its service if that is a plain one
    """

    subject: str
    slots: int


class _Start(NamedTuple):
    """A slow start.

    :param answers_before: answers of the target in the shared counters when it began
    :param over: whether the target takes requests without a limit again. Its answers are reported
        until the maximum duration has passed, for hosts whose own start is not over
    """

    began: float
    slots: int
    answers_before: float
    over: bool = False


class SlowStarts:
    """The targets that started while others of their model or service served already."""

    def __init__(self, counters: SharedCounters) -> None:
        self._counters = counters
        self._serving: Mapping[str, ServingTarget] = {}
        self._start_by_target: dict[str, _Start] = {}
        self._own_answers: dict[str, float] = {}
        self._refresh_at = float("-inf")
        self.limit_by_target: Mapping[str, float] = {}
        counters.register(ANSWERS_FAMILY, self._shared_answers)

    def set_targets(self, serving: Mapping[str, ServingTarget], now: float) -> list[str]:
        """Replace the targets that serve; return those whose slow start begins.

        Targets don't start slowly if as many of their model or service are new as are known: the
        others could not take the requests.
        """
        started = self._started_beside_others(serving)
        self._serving = serving
        for target in [t for t in self._start_by_target if t not in serving]:
            self._end(target)
            self._refresh_at = now
        return [target for target in started if self.begin(target, now)]

    def _started_beside_others(self, serving: Mapping[str, ServingTarget]) -> list[str]:
        appeared = serving.keys() - self._serving.keys()
        if not appeared:
            return []
        new = Counter(serving[target].subject for target in appeared)
        total = Counter(found.subject for found in serving.values())
        subjects = {subject for subject, number in new.items() if number < total[subject] - number}
        return sorted(target for target in appeared if serving[target].subject in subjects)

    def begin(self, target: str, now: float) -> bool:
        """Begin a slow start of a target; return whether it did."""
        found = self._serving.get(target)
        is_tracked = target in self._start_by_target
        if found is None or (not is_tracked and len(self._start_by_target) >= MAX_TARGETS):
            return False
        answers_before = self._counters.total(ANSWERS_FAMILY, now).get(target, 0.0)
        self._start_by_target[target] = _Start(now, found.slots, answers_before)
        self._own_answers.setdefault(target, 0.0)
        self._refresh_at = now
        return True

    def answered(self, target: str) -> None:
        """Count an answer of a target."""
        if target in self._own_answers:
            self._own_answers[target] += 1.0

    def limits(self, now: float) -> Mapping[str, float]:
        """Return how many requests may be in flight at each target that starts slowly."""
        if (self._start_by_target or self.limit_by_target) and now >= self._refresh_at:
            self._refresh_at = now + REFRESH_INTERVAL
            self._refresh(now)
        return self.limit_by_target

    def _refresh(self, now: float) -> None:
        """Recompute the limits, and end the slow starts that are over."""
        answers = self._counters.total(ANSWERS_FAMILY, now)
        limit_by_target = {}
        for target, start in list(self._start_by_target.items()):
            counted = answers.get(target, 0.0)
            if counted < start.answers_before:
                # Other hosts don't report the answers of an earlier start any more.
                start = start._replace(answers_before=counted)
                self._start_by_target[target] = start
            limit = max(MIN_IN_FLIGHT, start.slots * INITIAL_FRACTION)
            limit += SLOTS_PER_ANSWER * (counted - start.answers_before)
            if now - start.began > MAX_SECONDS:
                self._end(target)
            elif limit > start.slots:
                self._start_by_target[target] = start._replace(over=True)
            elif not start.over:
                limit_by_target[target] = limit
        self.limit_by_target = limit_by_target

    def _shared_answers(self, now: float) -> Mapping[str, float]:
        return {target: number for target, number in self._own_answers.items() if number}

    def _end(self, target: str) -> None:
        del self._start_by_target[target]
        self._own_answers.pop(target, None)
