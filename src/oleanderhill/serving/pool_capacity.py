"""Capacity of the targets of one model or plain service, as this entry host knows it."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .placement import MAX_SUSPECT_FRACTION, Candidate, LoadTracker
from .prediction import Prediction

MEMORY_SECONDS = 10.0
"""Time constant of the averages: several times the duration of a request, as completions follow the
taken slots by that time when the load changes."""

MIN_COMPLETIONS = 8.0
"""Completions a second, over all entry hosts, from which on they tell the slot time."""

MAX_DEVIATION = 4.0
"""Largest factor by which the observed slot time may differ from the predicted one."""


class PoolLoad(NamedTuple):
    """Load of the usable targets of a pool.

    :param in_flight: requests known to be in flight
    :param busy: slots that these requests take
    :param room_by_target: slots less requests in flight, negative if requests queue
    """

    slots: float
    in_flight: float
    busy: float
    room_by_target: Mapping[str, float]

    @property
    def targets(self) -> int:
        """Return the number of usable targets."""
        return len(self.room_by_target)


def pool_of(candidates: Sequence[Candidate], model: str) -> str:
    """Return the name of the pool that candidates for a model belong to."""
    host = candidates[0].host
    return f"{host.service}/{model}" if host.domain else host.service


def pool_load(book: LoadTracker, candidates: Sequence[Candidate], now: float) -> PoolLoad:
    """Return the load of the candidates that requests may be sent to.

    Suspect and failing targets count as usable where most targets are, as for the placement.
    """
    available = [c for c in candidates if book.backoffs.may_place(c.incarnations[0], now)]
    sound = [c for c in available if not book.is_avoided(c.target, now)]
    usable = available if len(sound) <= len(available) * (1 - MAX_SUSPECT_FRACTION) else sound
    slots = in_flight = busy = 0.0
    room_by_target: dict[str, float] = {}
    for candidate in usable:
        load = book.load(candidate.target, now)
        lost = book.slots_lost_to_limits(candidate) if book.limits.known else 0.0
        own_slots = candidate.host.slots - lost
        slots += own_slots
        in_flight += load
        busy += min(load, own_slots)
        room_by_target[candidate.target] = own_slots - load
    return PoolLoad(slots, in_flight, busy, room_by_target)


class SlotTime:
    """Learns how long a request takes a slot of a pool.

    By Little's law this is the number of taken slots over the completions a second. It needs no
    knowledge of engines and includes whatever no configured term names.
    """

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._at = 0.0
        self._busy = 0.0
        self._completions = 0.0

    def observe(self, busy: float, completions: float, now: float) -> None:
        """Record the taken slots and the completions a second over all entry hosts."""
        if self._began_at is None:
            self._began_at = self._at = now
        weight = 1.0 - math.exp(-max(0.0, now - self._at) / MEMORY_SECONDS)
        self._at = now
        self._busy += weight * (busy - self._busy)
        self._completions += weight * (completions - self._completions)

    def seconds(self, predicted: float | None, now: float) -> float | None:
        """Return the seconds that a request takes a slot, ``None`` if unknown.

        :param predicted: the same from the configuration, ``None`` if it has no timing
        """
        watched = 0.0 if self._began_at is None else now - self._began_at
        known = 1.0 - math.exp(-max(0.0, watched) / MEMORY_SECONDS)
        if self._completions < MIN_COMPLETIONS * known or self._busy <= 0.0:
            return predicted
        observed = self._busy / max(1e-9, self._completions)
        if predicted is None:
            return observed if watched >= MEMORY_SECONDS else None
        bounded = min(predicted * MAX_DEVIATION, max(predicted / MAX_DEVIATION, observed))
        return predicted + known * (bounded - predicted)


def predicted_slot_seconds(prediction: Prediction | None, load: PoolLoad) -> float | None:
    """Return the predicted seconds that a request takes a slot."""
    if prediction is None or not load.targets:
        return None
    return prediction.slot_interval * load.slots / load.targets
