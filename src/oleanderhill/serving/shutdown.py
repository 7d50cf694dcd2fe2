"""The planned end of this process: when it was requested, and when the process ends."""

from __future__ import annotations


class Shutdown:
    """The planned end of this process. All times are monotonic.

    :param ends_after: seconds from the stop signal to the end of the requests that are left
    :ivar requested_at: time of the stop signal, ``None`` before it
    :ivar ending: whether the requests that are left are being ended
    """

    def __init__(self, ends_after: float) -> None:
        self._ends_after = ends_after
        self.requested_at: float | None = None
        self.ending = False

    @property
    def ends_at(self) -> float:
        """Return the time at which the requests that are left end, infinity if none is planned."""
        return float("inf") if self.requested_at is None else self.requested_at + self._ends_after

    def request(self, now: float) -> None:
        """Record the stop signal; a further one changes nothing."""
        if self.requested_at is None:
            self.requested_at = now
