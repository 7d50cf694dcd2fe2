"""A bounded queue of admitted requests that wait for capacity at a group. Does no I/O.

Higher priority goes first. Within a priority the account with the fewest requests in flight goes
first, so that an account with many requests does not delay accounts with few.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_WAITING = 512
SMOOTHING = 0.05


class Waiter(NamedTuple):
    """A waiting request."""

    request_id: str
    account: str
    priority: int
    arrived: float
    deadline: float


class WaitingQueue:
    """The waiting requests of one model."""

    def __init__(self, limit: int = MAX_WAITING) -> None:
        self._limit = limit
        self._by_request: dict[str, Waiter] = {}
        self._in_flight: dict[str, int] = {}
        self._mean_interval = 0.05
        self.mean_run_time = 0.0
        self._last_end_at: float | None = None

    def __len__(self) -> int:
        return len(self._by_request)

    def estimate(self) -> float:
        """Return the expected wait of a new request, in seconds."""
        return len(self._by_request) * self._mean_interval

    def join(self, waiter: Waiter) -> float | None:
        """Queue a waiter; return ``None``, or the retry delay in seconds if it is rejected.

        It is rejected if the queue is full or it would likely miss its deadline. Early rejection is
        better than a wait that ends at the deadline: the caller is answered immediately, and no
        group computes an answer that arrives too late.
        """
        wait = self.estimate()
        if len(self._by_request) >= self._limit or self.would_miss_deadline(
            waiter, waiter.arrived + wait
        ):
            return max(1.0, wait)
        self._by_request[waiter.request_id] = waiter
        return None

    def would_miss_deadline(self, waiter: Waiter, start: float) -> bool:
        """Return whether a waiter that starts at ``start`` would likely miss its deadline."""
        return start + self.mean_run_time > waiter.deadline

    def leave(self, request_id: str) -> None:
        """Remove a waiter that was served or abandoned, or whose caller disconnected."""
        self._by_request.pop(request_id, None)

    def next(self) -> Waiter | None:
        """Return the waiter to serve next without removing it."""
        if not self._by_request:
            return None
        return min(
            self._by_request.values(),
            key=lambda w: (-w.priority, self._in_flight.get(w.account, 0), w.arrived),
        )

    def started(self, account: str) -> None:
        """Record a request of an account in flight."""
        self._in_flight[account] = self._in_flight.get(account, 0) + 1

    def ended(self, account: str, now: float, seconds: float) -> None:
        """Record the end of a request; update the averages of run time and time between ends."""
        self.mean_run_time += SMOOTHING * (seconds - self.mean_run_time)
        remaining = self._in_flight.get(account, 0) - 1
        if remaining > 0:
            self._in_flight[account] = remaining
        else:
            self._in_flight.pop(account, None)
        if self._last_end_at is not None:
            interval = min(5.0, now - self._last_end_at)
            self._mean_interval += SMOOTHING * (interval - self._mean_interval)
        self._last_end_at = now
