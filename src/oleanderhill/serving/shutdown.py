"""The planned end of this process, and which requests may still be sent to a target before it.

A stream that has begun can't be answered otherwise, so it is cut off if it outlasts the process.
How long it takes is not known before it has ended: only its deadline bounds that.
"""

from __future__ import annotations


class Shutdown:
    """The planned end of this process. All times are monotonic.

    :param ends_after: seconds from the stop signal to the end of the requests that are left
    :param removed_after: seconds from the stop signal by which the load balancer must have removed
        this host
    :ivar requested_at: time of the stop signal, ``None`` before it
    :ivar ending: whether the requests that are left are being ended
    """

    def __init__(self, ends_after: float, removed_after: float) -> None:
        self._ends_after = ends_after
        self._removed_after = removed_after
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

    def may_send(self, deadline: float, now: float, may_have_run: bool) -> bool:
        """Return whether a request may be sent to a target.

        While the load balancer may not have removed this host, a caller that is refused may come
        back to it. Later, callers find another host at once, so a request is refused that may
        outlast this process. One that may have run is sent again: it can't be refused as not run.

        :param deadline: time at which the request ends in any case
        :param may_have_run: whether it was sent to a target before that did not reject it
        """
        if self.requested_at is None or may_have_run:
            return True
        if now >= self.ends_at:
            return False
        return now < self.requested_at + self._removed_after or deadline <= self.ends_at
