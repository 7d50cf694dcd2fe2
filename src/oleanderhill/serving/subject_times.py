"""Times of the requests for a model or plain service, as all entry hosts observe them."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

from .decaying import DecayingSums, Sums, from_counters, to_counters
from .shared_counters import SharedCounters
from .time_sketch import BUCKETS, MIN_SECONDS, bucket_of, quantile
from .timing import Completion, Observation

TIMES_FAMILY = "first-events"
COMPLETIONS_FAMILY = "completions"

WINDOW = 6.0
"""Seconds that observations count: several durations of a request, and a fraction of the time for
which a burst lasts."""

MIN_OBSERVATIONS = 20.0
"""Observations in the window from which a quantile is used."""

MIN_WAITING_OBSERVATIONS = 10.0
"""The same for requests that wait for a slot: until they are known, they may all be late."""

MIN_KEPT_OBSERVATIONS = 2.0
"""Observations down to which the time of such requests stays known. Where it is too long, no more
wait, so that none are observed."""

MAX_SUBJECTS = 64
"""Models and services that are tracked at most."""

MIN_COUNT = 0.3
"""Count below which a bucket is dropped."""

BUSY_LOAD = 0.6
"""Load from which a target counts as busy."""


class Band(IntEnum):
    """Load of the target when a request was sent to it."""

    LIGHT = 0
    BUSY = 1
    FIRST_WAITING = 2
    SECOND_WAITING = 3
    FURTHER_WAITING = 4


WAITING_BANDS = (Band.FIRST_WAITING, Band.SECOND_WAITING, Band.FURTHER_WAITING)

OVERLOAD_SHARE = 0.25
"""Share of requests that wait for a slot from which a model counts as overloaded. One waits only if
all targets are full."""

OVERLOAD_QUANTILE = 0.9
"""Quantile of the times of waiting requests that has to be on time under overload. Nearly all
requests wait then, because each that waits delays the next one too."""

OCCASIONAL_QUANTILE = 0.5
"""The same while few requests wait: otherwise they would be rejected, and delay nobody."""

MEAN_LOAD_BY_BAND: Mapping[Band, float] = {Band.BUSY: 0.8, Band.LIGHT: 0.4}
"""Approximate load in the bands in which no request waits for a slot."""


NO_COMPLETIONS = Sums(0.0, 0.0)


class SubjectTable(NamedTuple):
    """Times of one model or service.

    :param counts_by_band: times to first event, counted by bucket
    :param completions: durations of completed requests of busy targets, each divided by the slots
        of its target
    """

    counts_by_band: Mapping[Band, Mapping[int, float]]
    completions: Sums

    def first_event(self, batch_seconds: float) -> float | None:
        """Return the median time to first event at a full target once a slot is free.

        :param batch_seconds: by how much a full target is slower than an empty one; added in part
            to what was observed at lower load
        """
        for band, load in MEAN_LOAD_BY_BAND.items():
            median = self._quantile_in(band, 0.5)
            if median is not None:
                return median + (1 - load) * batch_seconds
        return None

    def waiting_times(self, known: Sequence[float | None]) -> tuple[float | None, ...]:
        """Return the times of the requests that were first, second, ... to wait for a slot.

        :param known: the times returned last
        """
        waiting = sum(sum(self.counts_by_band.get(band, {}).values()) for band in WAITING_BANDS)
        total = sum(sum(counts.values()) for counts in self.counts_by_band.values())
        overloaded = waiting >= OVERLOAD_SHARE * total
        fraction = OVERLOAD_QUANTILE if overloaded else OCCASIONAL_QUANTILE
        known = (*known, *[None] * (len(WAITING_BANDS) - len(known)))
        minima = [
            MIN_WAITING_OBSERVATIONS if seconds is None else MIN_KEPT_OBSERVATIONS
            for seconds in known
        ]
        return tuple(
            self._quantile_in(band, fraction, minimum)
            for band, minimum in zip(WAITING_BANDS, minima, strict=True)
        )

    def _quantile_in(
        self, band: Band, fraction: float, minimum: float = MIN_OBSERVATIONS
    ) -> float | None:
        counts = self.counts_by_band.get(band, {})
        return quantile(counts, fraction) if sum(counts.values()) >= minimum else None

    def slot_interval(self) -> float | None:
        """Return the seconds between two slots that become free at a full target."""
        count, total = self.completions
        return max(MIN_SECONDS, total / count) if count >= MIN_OBSERVATIONS else None

    def time_quantile(self, fraction: float) -> float | None:
        """Return a quantile of the times to first event, with those of requests that waited."""
        counts: dict[int, float] = {}
        for by_bucket in self.counts_by_band.values():
            for bucket, count in by_bucket.items():
                counts[bucket] = counts.get(bucket, 0.0) + count
        return quantile(counts, fraction) if sum(counts.values()) >= MIN_OBSERVATIONS else None


class SubjectTimes:
    """The times observed here, and their sums over all entry hosts."""

    def __init__(self, counters: SharedCounters) -> None:
        self._counters = counters
        self._times = DecayingSums(WINDOW, MAX_SUBJECTS * len(Band) * BUCKETS // 4, MIN_COUNT)
        self._completions = DecayingSums(WINDOW, MAX_SUBJECTS, MIN_COUNT)
        self.malformed = 0
        counters.register(TIMES_FAMILY, self._shared_times)
        counters.register(COMPLETIONS_FAMILY, lambda now: to_counters(self._completions.sums(now)))

    def observe(self, observation: Observation, now: float) -> None:
        """Count a time to first event."""
        bucket = bucket_of(observation.seconds)
        self._times.add(f"{observation.subject}/{_band(observation):d}/{bucket}", 1.0, now)

    def complete(self, completion: Completion, now: float) -> None:
        """Count a completed request if its target was busy and it did not wait for a slot."""
        if BUSY_LOAD <= completion.load < 1:
            interval = completion.seconds / max(1, completion.slots)
            self._completions.add(completion.subject, interval, now)

    def tables(self, now: float) -> dict[str, SubjectTable]:
        """Return the times of all models and services, summed over all entry hosts."""
        counts = self._parsed_counts(self._counters.total(TIMES_FAMILY, now))
        completions = from_counters(self._counters.total(COMPLETIONS_FAMILY, now))
        return {
            subject: SubjectTable(by_band, completions.get(subject, NO_COMPLETIONS))
            for subject, by_band in counts.items()
        }

    def _parsed_counts(
        self, totals: Mapping[str, float]
    ) -> dict[str, dict[Band, dict[int, float]]]:
        parsed: dict[str, dict[Band, dict[int, float]]] = {}
        for text, count in totals.items():
            key = _parse(text)
            if key is None or not 0 < count < math.inf:
                self.malformed += 1
                continue
            if key.subject not in parsed and len(parsed) >= MAX_SUBJECTS:
                self.malformed += 1
                continue
            parsed.setdefault(key.subject, {}).setdefault(key.band, {})[key.bucket] = count
        return parsed

    def _shared_times(self, now: float) -> Mapping[str, float]:
        return {key: round(sums.number, 2) for key, sums in self._times.sums(now).items()}


class _Key(NamedTuple):
    """The subject of a shared counter of times."""

    subject: str
    band: Band
    bucket: int


@lru_cache(maxsize=2_000)
def _parse(text: str) -> _Key | None:
    subject, *numbers = text.rsplit("/", 2)
    try:
        band, bucket = (int(number) for number in numbers)
        return _Key(subject, Band(band), bucket) if 0 <= bucket < BUCKETS else None
    except ValueError:
        return None


def _band(observation: Observation) -> Band:
    if observation.waiting:
        return WAITING_BANDS[min(observation.waiting, len(WAITING_BANDS)) - 1]
    return Band.BUSY if observation.load >= BUSY_LOAD else Band.LIGHT
