"""A bounded queue of admitted requests that wait for room at a group: a pure structure.

Higher priority goes first. Within a priority the account with the fewest requests in flight goes
first, so that one greedy account does not keep many small ones waiting.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_WAITING = 512
SERVICE_SMOOTHING = 0.05


class Waiter(NamedTuple):
    """A waiting request."""

    request_id: str
    account: str
    priority: int
    arrived: float
    deadline: float


class WaitingQueue:
    """Waiters for one model."""

    def __init__(self, limit: int = MAX_WAITING) -> None:
        self._limit = limit
        self._by_request: dict[str, Waiter] = {}
        self._in_flight: dict[str, int] = {}
        self._gap = 0.05
        self.service = 0.0
        self._last_release: float | None = None

    def __len__(self) -> int:
        return len(self._by_request)

    def estimate(self) -> float:
        """Return the expected wait of a newcomer, in seconds."""
        return len(self._by_request) * self._gap

    def join(self, waiter: Waiter) -> float | None:
        """Queue a waiter; return ``None``, or seconds to come back after if it can't be served.

        Refusing early is kinder than a wait that ends at the deadline: the caller learns at once,
        and no group works on an answer that comes too late.
        """
        wait = self.estimate()
        if len(self._by_request) >= self._limit or self.hopeless(waiter, waiter.arrived + wait):
            return max(1.0, wait)
        self._by_request[waiter.request_id] = waiter
        return None

    def hopeless(self, waiter: Waiter, start: float) -> bool:
        """Tell whether a waiter that starts at ``start`` would likely miss its deadline."""
        return start + self.service > waiter.deadline

    def leave(self, request_id: str) -> None:
        """Take a waiter out: it was served, gave up or its caller left."""
        self._by_request.pop(request_id, None)

    def next(self) -> Waiter | None:
        """Return the waiter to serve next, leaving it in the queue."""
        if not self._by_request:
            return None
        return min(
            self._by_request.values(),
            key=lambda w: (-w.priority, self._in_flight.get(w.account, 0), w.arrived),
        )

    def started(self, account: str) -> None:
        """Count a request of an account in flight."""
        self._in_flight[account] = self._in_flight.get(account, 0) + 1

    def ended(self, account: str, now: float, seconds: float) -> None:
        """Count the end of a request in flight; learn how long one takes and how often one ends."""
        self.service += SERVICE_SMOOTHING * (seconds - self.service)
        left = self._in_flight.get(account, 0) - 1
        if left > 0:
            self._in_flight[account] = left
        else:
            self._in_flight.pop(account, None)
        if self._last_release is not None:
            gap = min(5.0, now - self._last_release)
            self._gap += SERVICE_SMOOTHING * (gap - self._gap)
        self._last_release = now
