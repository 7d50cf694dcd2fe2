"""Observes the attempts of one request for the learned timing."""

from __future__ import annotations

from .timing import Completion, Observation, Timing


class RequestTimes:
    """Times of one request at the target of its current attempt.

    :param subject: its model, or its service if that is a plain one
    :param generates: whether it runs in an engine
    """

    def __init__(self, timing: Timing, subject: str, generates: bool) -> None:
        self._timing = timing
        self._subject = subject
        self._generates = generates
        self._target = ""
        self._slots = 1
        self._load = 0.0
        self._waiting = 0
        self.sent_at: float | None = None

    def chosen(self, target: str, slots: int, in_flight: int) -> None:
        """Record the target of an attempt.

        :param in_flight: known requests in flight there, without this one
        """
        self._target, self._slots = target, max(1, slots)
        self._load = in_flight / self._slots
        self._waiting = max(0, in_flight + 1 - self._slots)
        self.sent_at = None

    def first_event(self, now: float) -> None:
        """Record the first event of the request."""
        self._observe(now)

    def abandoned(self, now: float) -> None:
        """Record that the request was abandoned at a target that showed no progress.

        A stream leaves its target only if that sends nothing to anybody, which says nothing about
        its speed.
        """
        if not self._generates:
            self._observe(now)

    def answered(self, status: int, now: float) -> None:
        """Record a reply that is not a stream."""
        if status < 400 and not self._generates:
            self._observe(now)

    def completed(self, now: float) -> None:
        """Record the end of a stream that this target generated completely."""
        if self.sent_at is None:
            return
        duration = now - self.sent_at
        self._timing.complete(Completion(self._subject, self._load, self._slots, duration), now)

    def time_quantile(self, fraction: float, now: float) -> float | None:
        """Return a quantile of the current times of the model or service.

        :return: also ``None`` for a plain request that waits for a slot, which explains a delay
        """
        if self._waiting and not self._generates:
            return None
        return self._timing.time_quantile(self._subject, fraction, now)

    def shows_failure(self, idle: float, configured_timeout: float, now: float) -> bool:
        """Return whether a target that was abandoned for no progress counts as failed.

        A single long answer of a target that is otherwise as fast as its fellows does not.

        :param idle: seconds without progress
        :param configured_timeout: stall timeout without observed times
        """
        if self._generates or idle >= configured_timeout:
            return True
        return self._timing.slowness(self._target, now) > 1

    def _observe(self, now: float) -> None:
        if self.sent_at is None:
            return
        seconds = now - self.sent_at
        observation = Observation(self._subject, self._target, self._load, seconds, self._waiting)
        self._timing.observe(observation, now)
