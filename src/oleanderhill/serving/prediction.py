"""Predicts the time to first event at a full group from the configured timing of its engine."""

from __future__ import annotations

import math
from typing import NamedTuple

from ..settings.catalog import EngineProfile, EngineTiming, ModelProfile

ROUND_TRIP = 0.01
"""Seconds that are deducted from a goal for the round trip to the caller: a few milliseconds each
way."""

MAX_QUEUE_FRACTION = 0.5
"""Upper bound on the requests that may wait at a group, as a fraction of its slots. With a goal of
several seconds the queue could otherwise grow so long that the next loss of a group makes all
waiting requests late."""


class Prediction(NamedTuple):
    """Predicted timing of a full group that serves a model.

    :param first_event: seconds from the start of a request at the group to its first event
    :param slot_interval: seconds between two slots that become free
    :param batch_seconds: part of ``first_event`` that the other requests of a full batch cause
    :param is_corrected: whether the two times are observed ones
    :param waiting_times: observed times to first event of the requests that were the first, the
        second, ... to wait for a slot; ``None`` where too few were observed
    """

    first_event: float
    slot_interval: float
    batch_seconds: float = 0.0
    is_corrected: bool = False
    waiting_times: tuple[float | None, ...] = ()


def predict(shape: EngineProfile, model: ModelProfile) -> Prediction | None:
    """Return the predicted timing of a full group, ``None`` without configured engine times.

    A request waits on average for half of the current pass, then for a pass that includes reading
    its prompt. For the two models of one deployment this predicts 0.10 and 0.06 s to the first
    event, and a free slot every 0.12 and 0.07 s. Without overload, callers there observed a median
    of 0.12 and 0.07 s to the first event.
    """
    times = shape.times
    if times is None:
        return None
    step = _step_seconds(times, shape.batch)
    read = times.mean_prompt_tokens * times.prefill_per_token
    first = (1.5 * step * times.steps + read) * model.pace
    # During the time of one request, the prompt of each request of the batch is read once.
    total = (times.mean_answer_tokens * step + shape.batch * read) * model.pace
    batch_seconds = 1.5 * (step - _step_seconds(times, 1)) * times.steps * model.pace
    return Prediction(first, total / max(1, shape.batch), batch_seconds)


def max_waiting(prediction: Prediction, goal: float, slots: int) -> float:
    """Return how many requests may wait at a full group with the last one still on time.

    :param goal: seconds within which the first event is on time
    """
    spare = goal - ROUND_TRIP - prediction.first_event
    waiting = min(MAX_QUEUE_FRACTION * slots, max(0.0, spare / prediction.slot_interval))
    if prediction.is_corrected:
        # Observed times contain all delays, so that a request that waits a little longer is late.
        waiting = math.floor(waiting)
    for others, seconds in enumerate(prediction.waiting_times):
        if seconds is not None and seconds > goal - ROUND_TRIP:
            return min(waiting, others)
    return waiting


def _step_seconds(times: EngineTiming, batch: int) -> float:
    context = times.mean_prompt_tokens + times.mean_answer_tokens / 2
    return times.step + batch * (times.step_per_request + times.step_per_context * context)
