"""Timing learned from answered requests, here and at all other entry hosts.

Engines take times that no configured parameter names, members of a group may be slow, and a target
that has just started is slow for some seconds. The learned timing corrects the configured one
within bounds, so that no report of another host, however wrong, has a greater effect.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from ..exposition import Exposition
from ..records import Records
from .prediction import Prediction
from .shared_counters import SharedCounters
from .slow_start import ServingTarget, SlowStarts
from .subject_times import SubjectTable, SubjectTimes
from .target_speeds import TargetSpeeds
from .timing import Completion, Observation

REFRESH_INTERVAL = 0.4
"""Seconds for which computed values are used; the sums of the other hosts arrive twice as often."""

MIN_CORRECTION = 1.25
"""Correction factor below which the configured times are kept."""

MAX_CORRECTION = 5.0
"""Largest factor by which configured times are corrected."""

LOGGED_CHANGE = 1.3
"""Factor by which a correction must change to be logged again."""

MAX_PENDING_CHANGES = 30
"""Changes that are kept until they are logged; further ones are only counted."""


class Change(NamedTuple):
    """A change of what is known of a target or model, for the log."""

    what: str
    fields: Mapping[str, object]


class LearnedTiming:
    """The configured timing, corrected by what is observed.

    :param counters: sums over all entry hosts
    """

    def __init__(self, counters: SharedCounters) -> None:
        self._configured: Mapping[str, Prediction] = {}
        self._times = SubjectTimes(counters)
        self._speeds = TargetSpeeds(counters)
        self._starts = SlowStarts(counters)
        self._refresh_at = float("-inf")
        self._table_by_subject: Mapping[str, SubjectTable] = {}
        self._prediction_by_subject: Mapping[str, Prediction] = {}
        self._quantile_by_key: dict[tuple[str, float], float | None] = {}
        self._logged_by_subject: dict[str, Prediction] = {}
        self._changes: deque[Change] = deque()
        self._changes_dropped = 0
        self.ignored = 0

    def configure(self, prediction_by_subject: Mapping[str, Prediction]) -> None:
        """Replace the configured timing."""
        self._configured = prediction_by_subject
        self._refresh_at = float("-inf")

    def set_targets(self, serving: Mapping[str, ServingTarget], now: float) -> None:
        """Replace the targets that serve. What is known of others is dropped."""
        self._speeds.set_targets(serving)
        started = self._starts.set_targets(serving, now)
        if started:
            self._add_change("slow start", targets=started[:MAX_PENDING_CHANGES])
        self._refresh_at = float("-inf")

    def observe(self, observation: Observation, now: float) -> None:
        """Record a request that was answered."""
        if not (math.isfinite(observation.seconds) and observation.seconds >= 0):
            if not self.ignored:
                self._add_change("observation ignored", seconds=str(observation.seconds))
            self.ignored += 1
            return
        self._times.observe(observation, now)
        self._starts.answered(observation.target)
        if not observation.waiting:
            # The time of others contains a wait for a slot.
            configured = self._configured.get(observation.subject)
            spare = 0.0 if configured is None else configured.batch_seconds
            seconds = observation.seconds + (1 - max(0.0, observation.load)) * spare
            self._speeds.observe(observation.subject, observation.target, seconds, now)

    def complete(self, completion: Completion, now: float) -> None:
        """Record a stream that was completed."""
        if math.isfinite(completion.seconds) and completion.seconds >= 0:
            self._times.complete(completion, now)

    def prediction(self, subject: str, now: float) -> Prediction | None:
        """Return the timing of a full target of a model or service, ``None`` if unknown."""
        self._refresh(now)
        return self._prediction_by_subject.get(subject, self._configured.get(subject))

    def time_quantile(self, subject: str, fraction: float, now: float) -> float | None:
        """Return a quantile of the current times to first event, ``None`` if unknown."""
        self._refresh(now)
        key = (subject, fraction)
        if key not in self._quantile_by_key:
            table = self._table_by_subject.get(subject)
            found = None if table is None else table.time_quantile(fraction)
            self._quantile_by_key[key] = found
        return self._quantile_by_key[key]

    def slowness(self, target: str, now: float) -> float:
        """Return how many times longer a target takes than its fellows, 1 if nothing is known."""
        return self.slowness_by_target(now).get(target, 1.0)

    def slowness_by_target(self, now: float) -> Mapping[str, float]:
        """Return the slowness of the targets that are slower than their fellows."""
        self._refresh(now)
        return self._speeds.slowness_by_target

    def start_limits(self, now: float) -> Mapping[str, float]:
        """Return how many requests may be in flight at each target that has just started."""
        return self._starts.limits(now)

    def log_changes(self, records: Records) -> None:
        """Log what has changed since the last call."""
        while self._changes:
            change = self._changes.popleft()
            records.note("timing", change.what, **change.fields)
        if self._changes_dropped:
            records.note("timing", "changes not logged", changes=self._changes_dropped)
            self._changes_dropped = 0

    def show(self, exposition: Exposition) -> None:
        """Register the metrics."""
        show = exposition.gauge
        show(
            "timing_corrected",
            "Models whose configured times are corrected by observed ones",
            lambda: len(self._logged_by_subject),
        )
        show(
            "targets_slow",
            "Targets that are slower than their fellows",
            lambda: len(self._speeds.slowness_by_target),
        )
        show(
            "target_slowness",
            "Slowness of the slowest target",
            lambda: max(self._speeds.slowness_by_target.values(), default=1.0),
        )
        show(
            "targets_starting",
            "Targets that start slowly",
            lambda: len(self._starts.limit_by_target),
        )
        show(
            "timing_ignored",
            "Observations and counters of others that were not plausible",
            lambda: self.ignored + self._times.malformed,
        )

    def _refresh(self, now: float) -> None:
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_INTERVAL
        self._quantile_by_key.clear()
        malformed = self._times.malformed
        self._table_by_subject = self._times.tables(now)
        if self._times.malformed > malformed and not malformed:
            self._add_change("counters of other hosts ignored", number=self._times.malformed)
        self._prediction_by_subject = self._corrected_predictions()
        before = self._speeds.slowness_by_target
        after = self._speeds.refresh(now)
        for target in after.keys() - before.keys():
            self._add_change("target slow", target=target, slowness=round(after[target], 2))
        for target in before.keys() - after.keys():
            self._add_change(
                "target not slow any more", target=target, before=round(before[target], 2)
            )
            # Nobody knows whether it has recovered, or only got no requests.
            self._starts.begin(target, now)

    def _corrected_predictions(self) -> dict[str, Prediction]:
        """Return the timing of the models and services that differs from the configured one."""
        corrected_by_subject = {}
        for subject, table in self._table_by_subject.items():
            configured = self._configured.get(subject)
            previous = self._prediction_by_subject.get(subject)
            corrected = correct(configured, table, previous)
            if corrected is not None and corrected != configured:
                corrected_by_subject[subject] = corrected
        for subject in corrected_by_subject.keys() | self._logged_by_subject.keys():
            self._log_correction(subject, corrected_by_subject.get(subject))
        return corrected_by_subject

    def _log_correction(self, subject: str, corrected: Prediction | None) -> None:
        logged = self._logged_by_subject.get(subject)
        if corrected is None:
            del self._logged_by_subject[subject]
            self._add_change("configured times hold", about=subject)
            return
        if logged is not None and not _differs(logged, corrected):
            return
        self._logged_by_subject[subject] = corrected
        configured = self._configured.get(subject)
        self._add_change(
            "times corrected",
            about=subject,
            first_event_ms=round(corrected.first_event * 1000),
            slot_ms=round(corrected.slot_interval * 1000),
            waiting_ms=[None if t is None else round(t * 1000) for t in corrected.waiting_times],
            configured_ms=None if configured is None else round(configured.first_event * 1000),
        )

    def _add_change(self, what: str, **fields: object) -> None:
        if len(self._changes) >= MAX_PENDING_CHANGES:
            self._changes_dropped += 1
            return
        self._changes.append(Change(what, fields))


def correct(
    configured: Prediction | None, table: SubjectTable, previous: Prediction | None = None
) -> Prediction | None:
    """Return the configured timing, corrected by the observed one within bounds.

    :param previous: the result of the last call
    :return: the configured timing itself if the observed one doesn't differ, or is too little
    """
    batch_seconds = 0.0 if configured is None else configured.batch_seconds
    first_event, slot_interval = table.first_event(batch_seconds), table.slot_interval()
    waiting_times = table.waiting_times(() if previous is None else previous.waiting_times)
    if not any(waiting_times):
        waiting_times = ()
    if configured is None:
        if first_event is None or slot_interval is None:
            return None
        return Prediction(first_event, slot_interval, 0.0, True, waiting_times)
    corrected = configured._replace(
        first_event=_corrected(configured.first_event, first_event),
        slot_interval=_corrected(configured.slot_interval, slot_interval),
    )
    is_corrected = corrected != configured
    return corrected._replace(is_corrected=is_corrected, waiting_times=waiting_times)


def _corrected(configured: float, observed: float | None) -> float:
    if observed is None or observed < configured * MIN_CORRECTION:
        return configured
    return min(observed, configured * MAX_CORRECTION)


def _differs(logged: Prediction, current: Prediction) -> bool:
    """Return whether a prediction differs from the logged one so much that it is logged."""
    if [t is None for t in logged.waiting_times] != [t is None for t in current.waiting_times]:
        return True
    times = zip(logged[:2], current[:2], strict=True)
    return any(max(pair) > min(pair) * LOGGED_CHANGE for pair in times)
