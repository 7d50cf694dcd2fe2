"""When a request would show its first event at a group that is full, by the engine's own terms."""

from __future__ import annotations

from typing import NamedTuple

from ..settings.catalog import EngineShape, EngineTimes, ModelShape

ON_THE_WAY = 0.01
"""Seconds of a goal that pass on the way from the caller and back: some ms each way."""

MOST_WAITING = 0.5
"""Requests that may wait at a group at most, in parts of what it runs at once. A goal of seconds
would let a queue grow that the next loss of a group makes late as a whole."""


class Prediction(NamedTuple):
    """What a full group of a model takes.

    :param first_event: seconds from a request's start there to its first event
    :param place_every: seconds between two places that come free
    """

    first_event: float
    place_every: float


def predict(shape: EngineShape, model: ModelShape) -> Prediction | None:
    """Return what a full group takes, ``None`` where the configuration does not say.

    A request waits for half a pass of those that write, then for one with its prompt read in it.
    With the figures of one deployment: 0.10 and 0.06 s for its two models, where callers in peace
    saw 0.12 and 0.07 in the median; a place every 0.12 and 0.07 s.
    """
    times = shape.times
    if times is None:
        return None
    step = _step(times, shape.batch)
    read = times.usual_prompt * times.read
    first = (1.5 * step * times.steps + read) * model.pace
    # While one request writes, each of the others of its batch has a prompt read too.
    whole = (times.usual_answer * step + shape.batch * read) * model.pace
    return Prediction(first, whole / max(1, shape.batch))


def may_wait(prediction: Prediction, goal: float, slots: int) -> float:
    """Return how many requests may wait at a full group so that the last is still on time.

    :param goal: seconds within which the first event is on time
    """
    spare = goal - ON_THE_WAY - prediction.first_event
    return min(MOST_WAITING * slots, max(0.0, spare / prediction.place_every))


def _step(times: EngineTimes, batch: int) -> float:
    context = times.usual_prompt + times.usual_answer / 2
    return times.step + batch * (times.step_per_writer + times.step_per_context * context)
