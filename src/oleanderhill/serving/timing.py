"""Timing of targets: what is known of times to first event, slot times and speeds.

The interface between what learns timing and what decides by it: queue limits, stall timeouts and
placement. :class:`ConfiguredTiming` is the implementation that knows the configuration only.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .prediction import Prediction


class Observation(NamedTuple):
    """A request at a target, as the entry host that sent it observed it.

    :param subject: model of the request, or its service if that is a plain one
    :param target: key of the target in load counts
    :param load: requests that were known to be in flight at the target when it was sent, as a
        fraction of the target's slots
    :param seconds: time from the send to the first event, or to the answer of a plain target
    """

    subject: str
    target: str
    load: float
    seconds: float


class Timing(Protocol):
    """What is known of the timing of targets."""

    def observe(self, observation: Observation, now: float) -> None:
        """Record a request that was answered."""

    def prediction(self, subject: str, now: float) -> Prediction | None:
        """Return the timing of a full target of a model or service, ``None`` if unknown."""

    def slowness(self, target: str, now: float) -> float:
        """Return how many times longer a target takes than its fellows, 1 if nothing is known."""


class ConfiguredTiming:
    """The timing that follows from the configuration alone."""

    def __init__(self) -> None:
        self.prediction_by_subject: dict[str, Prediction] = {}

    def observe(self, observation: Observation, now: float) -> None:
        """Ignore the observation."""

    def prediction(self, subject: str, now: float) -> Prediction | None:
        """Return the configured timing of a model."""
        return self.prediction_by_subject.get(subject)

    def slowness(self, target: str, now: float) -> float:
        """Return 1: all targets count as equally fast."""
        return 1.0
