"""Detects targets that answer with failures although they count as healthy (outlier detection).

Does no I/O. A target that fails at once is never busy, so load balancing alone sends it ever more
requests. The answers of the last seconds are counted over all entry hosts: a single host of many
sees too few of one target.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

WINDOW_SECONDS = 2.0
"""Seconds of answers that are counted."""

MIN_FAILURES = 3
"""Failures in the window that are required. Services also fail single requests for good reason."""

MIN_FAILED_FRACTION = 0.5
"""Fraction of a target's answers that are failures, from which on it is avoided."""

AVOID_SECONDS = 3.0
"""Seconds for which a failing target is avoided before it is tried again. This is longer than the
window and the delay of the counts, so that its earlier answers no longer count then."""

CHECK_INTERVAL = 0.1
"""Seconds between two evaluations of the counts."""

MAX_TARGETS = 1_000
"""Targets with own answers that are stored."""


class Counts(NamedTuple):
    """Answers of a target in the window."""

    answers: float
    failures: float

    @property
    def is_failing(self) -> bool:
        """Return whether so many of the answers are failures that the target is avoided."""
        enough = self.failures >= MIN_FAILURES
        return enough and self.failures >= MIN_FAILED_FRACTION * self.answers


ReadPeers = Callable[[str], Mapping[str, float]]
"""Returns the counts of the other entry hosts, by target, for a family of counters."""

ANSWERS = "answers of failing targets"
FAILURES = "failed answers"
"""Families of the counters that entry hosts exchange."""


class FailingTargets:
    """Answers by target, and the targets to avoid.

    :param read_peers: returns the counts of the other entry hosts
    :param on_change: called with a target, its counts, and whether it is avoided from now on
    """

    def __init__(
        self,
        read_peers: ReadPeers = lambda family: {},
        on_change: Callable[[str, Counts, bool], None] = lambda target, counts, avoided: None,
    ) -> None:
        self._read_peers = read_peers
        self._on_change = on_change
        self._answers_by_target: dict[str, deque[tuple[float, bool]]] = {}
        self._avoid_until: dict[str, float] = {}
        self._checked_at = float("-inf")

    def record(self, target: str, failed: bool, now: float) -> None:
        """Record an answer of a target."""
        answers = self._answers_by_target.get(target)
        if answers is None:
            if len(self._answers_by_target) >= MAX_TARGETS:
                del self._answers_by_target[next(iter(self._answers_by_target))]
            answers = self._answers_by_target[target] = deque()
        answers.append((now, failed))

    def is_failing(self, target: str, now: float) -> bool:
        """Return whether a target is to be avoided."""
        if now - self._checked_at >= CHECK_INTERVAL:
            self._check(now)
        return self._avoid_until.get(target, 0.0) > now

    def avoided(self, now: float) -> list[str]:
        """Return the targets that are avoided."""
        return [t for t, until in self._avoid_until.items() if until > now]

    def own_failures(self, now: float) -> dict[str, float]:
        """Return this host's failures in the window, by target."""
        counts = {t: c.failures for t, c in self._own(now).items()}
        return {t: failures for t, failures in counts.items() if failures}

    def own_answers(self, now: float) -> dict[str, float]:
        """Return this host's answers in the window, by target with a failure at any host."""
        own = self._own(now)
        peers = self._read_peers(FAILURES)
        return {t: c.answers for t, c in own.items() if c.failures or peers.get(t)}

    def _own(self, now: float) -> dict[str, Counts]:
        found = {}
        for target, answers in list(self._answers_by_target.items()):
            while answers and answers[0][0] <= now - WINDOW_SECONDS:
                answers.popleft()
            if answers:
                found[target] = Counts(len(answers), sum(failed for _, failed in answers))
            else:
                del self._answers_by_target[target]
        return found

    def _check(self, now: float) -> None:
        self._checked_at = now
        own = self._own(now)
        peer_failures, peer_answers = self._read_peers(FAILURES), self._read_peers(ANSWERS)
        for target in [t for t, until in self._avoid_until.items() if until <= now]:
            del self._avoid_until[target]
            self._on_change(target, own.get(target, Counts(0, 0)), False)
        for target in {*(t for t, c in own.items() if c.failures), *peer_failures}:
            if target in self._avoid_until:
                continue
            mine = own.get(target, Counts(0, 0))
            counts = Counts(
                mine.answers + peer_answers.get(target, 0.0),
                mine.failures + peer_failures.get(target, 0.0),
            )
            if counts.is_failing:
                self._avoid_until[target] = now + AVOID_SECONDS
                self._on_change(target, counts, True)
