"""Back-offs, for which targets ask this entry host, and the trial request after each of them.

A target that sheds load answers 503 with the number of seconds for which this host should send it
nothing. A suspicion is inferred by this host and dropped when it proves wrong. A back-off is set by
the target itself, so nothing ends it early except the end of the target's incarnation.

A back-off applies only to the entry host that received the answer; the target may still serve
others. When it ends, one trial request checks whether the target accepts requests again, as in the
half-open state of a circuit breaker. Sending all waiting requests immediately would overload the
target again.
"""

from __future__ import annotations

from collections.abc import Collection


class _Backoff:
    """The back-off of one target; ``on_trial`` is set while a trial request is in flight."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.on_trial = False


class Backoffs:
    """Back-offs by target incarnation. Times are seconds of one monotonic clock.

    :ivar asked: number of times that a target started or extended a back-off
    :ivar held_back: number of times that a target was skipped because of its back-off
    """

    def __init__(self) -> None:
        self._backoff_by_incarnation: dict[str, _Backoff] = {}
        self.asked = 0
        self.held_back = 0

    def extend(self, incarnation: str, seconds: float, now: float) -> bool:
        """Record that a target asked for a back-off; return whether it starts or extends one."""
        backoff = self._backoff_by_incarnation.get(incarnation)
        if backoff is None:
            backoff = self._backoff_by_incarnation[incarnation] = _Backoff(float("-inf"))
        backoff.on_trial = False
        if now + seconds <= backoff.until:
            return False
        backoff.until = now + seconds
        self.asked += 1
        return True

    def remaining(self, incarnation: str, now: float) -> float:
        """Return the seconds left of a target's back-off, 0 if it is over or there is none."""
        backoff = self._backoff_by_incarnation.get(incarnation)
        return 0.0 if backoff is None else max(0.0, backoff.until - now)

    def may_send(self, incarnation: str, now: float) -> bool:
        """Return whether a target's back-off is over or there is none."""
        return self.remaining(incarnation, now) <= 0.0

    def may_place(self, incarnation: str, now: float) -> bool:
        """Return whether a request may be placed at a target.

        After a back-off, only one trial request at a time may be placed.
        """
        backoff = self._backoff_by_incarnation.get(incarnation)
        return backoff is None or (backoff.until <= now and not backoff.on_trial)

    def take(self, incarnation: str) -> bool:
        """Record a placed request; return whether it is the trial request after a back-off.

        The end of a trial must be recorded with :meth:`trial_ended`.
        """
        backoff = self._backoff_by_incarnation.get(incarnation)
        if backoff is None:
            return False
        backoff.on_trial = True
        return True

    def trial_accepted(self, incarnation: str, now: float) -> bool:
        """Record that a target accepted its trial; return whether that removed its back-off."""
        if not self.may_send(incarnation, now):
            return False
        return self._backoff_by_incarnation.pop(incarnation, None) is not None

    def trial_ended(self, incarnation: str) -> None:
        """Record that a trial is over, whatever its result."""
        backoff = self._backoff_by_incarnation.get(incarnation)
        if backoff is not None:
            backoff.on_trial = False

    def forget(self, incarnation: str) -> None:
        """Drop the back-off of an incarnation that has ended."""
        self._backoff_by_incarnation.pop(incarnation, None)

    def active(self, now: float) -> Collection[str]:
        """Return the incarnations whose back-off is not over."""
        return [
            incarnation
            for incarnation, backoff in self._backoff_by_incarnation.items()
            if backoff.until > now
        ]

    def seconds_to_first_end(self, incarnations: Collection[str], now: float) -> float | None:
        """Return the seconds until the first of some targets may be tried.

        :return: ``None`` if there are no targets, or at least one of them has no back-off
        """
        if not incarnations or any(
            incarnation not in self._backoff_by_incarnation for incarnation in incarnations
        ):
            return None
        return min(self.remaining(incarnation, now) for incarnation in incarnations)
