"""Timing of targets: what is known of times to first event, slot times and speeds.

The interface between what learns timing and what decides by it: queue limits, stall timeouts and
placement. :class:`ConfiguredTiming` is the implementation that knows the configuration only.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from .prediction import Prediction


class Observation(NamedTuple):
    """A request at a target, as the entry host that sent it observed it.

    :param subject: model of the request, or its service if that is a plain one
    :param target: key of the target in load counts
    :param load: requests that were known to be in flight at the target when it was sent, as a
        fraction of the target's slots
    :param seconds: time from the send to the first event, or to the answer of a plain target. Of a
        request that was abandoned there it is the time until then
    :param waiting: requests that were known to wait for a slot there, this one included
    """

    subject: str
    target: str
    load: float
    seconds: float
    waiting: int = 0


class Completion(NamedTuple):
    """A stream that one target generated completely.

    :param load: as in :class:`Observation`
    :param slots: slots of the target
    :param seconds: time from the send to the last event
    """

    subject: str
    load: float
    slots: int
    seconds: float


class Timing(Protocol):
    """What is known of the timing of targets."""

    def configure(self, prediction_by_subject: Mapping[str, Prediction]) -> None:
        """Replace the timing that follows from the configuration."""

    def observe(self, observation: Observation, now: float) -> None:
        """Record a request that was answered."""

    def complete(self, completion: Completion, now: float) -> None:
        """Record a stream that was completed."""

    def prediction(self, subject: str, now: float) -> Prediction | None:
        """Return the timing of a full target of a model or service, ``None`` if unknown."""

    def time_quantile(self, subject: str, fraction: float, now: float) -> float | None:
        """Return a quantile of the current times to first event, ``None`` if unknown."""

    def slowness(self, target: str, now: float) -> float:
        """Return how many times longer a target takes than its fellows, 1 if nothing is known."""

    def slowness_by_target(self, now: float) -> Mapping[str, float]:
        """Return the slowness of the targets that are slower than their fellows."""

    def start_limits(self, now: float) -> Mapping[str, float]:
        """Return how many requests may be in flight at each target that has just started."""


class ConfiguredTiming:
    """The timing that follows from the configuration alone."""

    def __init__(self) -> None:
        self.prediction_by_subject: Mapping[str, Prediction] = {}

    def configure(self, prediction_by_subject: Mapping[str, Prediction]) -> None:
        """Replace the configured timing."""
        self.prediction_by_subject = prediction_by_subject

    def observe(self, observation: Observation, now: float) -> None:
        """Ignore the observation."""

    def complete(self, completion: Completion, now: float) -> None:
        """Ignore the completion."""

    def prediction(self, subject: str, now: float) -> Prediction | None:
        """Return the configured timing of a model."""
        return self.prediction_by_subject.get(subject)

    def time_quantile(self, subject: str, fraction: float, now: float) -> float | None:
        """Return ``None``: no time is observed."""
        return None

    def slowness(self, target: str, now: float) -> float:
        """Return 1: all targets count as equally fast."""
        return 1.0

    def slowness_by_target(self, now: float) -> Mapping[str, float]:
        """Return nothing: no target is known to be slow."""
        return {}

    def start_limits(self, now: float) -> Mapping[str, float]:
        """Return nothing: no target starts slowly."""
        return {}
