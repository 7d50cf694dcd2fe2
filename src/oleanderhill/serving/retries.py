"""Retry budget that all entry hosts share without coordination.

Within any window, a service may use retries up to a ratio of its requests plus a constant slack.
The ratio is additive: each host applies it to its own requests, however the balancer distributes
them. The slack is divided by the number of hosts. A restarted host loses its count of spent
retries, so each host uses only a fraction of its share.

Hosts that receive each other's counts pool their shares. With a hundred hosts each share is only a
few retries. A host near lost groups needs more than that for two seconds, while all hosts together
use a tenth of their shares; without pooling, its requests would fail with 503 because no retry is
left. Each host still contributes no more than its share, so the total stays within the same bound
regardless of which hosts receive whose counts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

SLACK_FRACTION = 0.6
"""Fraction of a host's share of the slack that it spends. The rest covers a restart within a window
and the time in which a new host already counts itself, but the other hosts don't yet."""

RATIO_FRACTION = 0.85
"""Fraction of the ratio that is spent. The rest is a margin, since a request may be counted in the
window before the one in which its retries arrive at targets."""


PEER_COUNT_DELAY = 0.5
"""Seconds after which a host's retries are known to all others: the age of a total, plus a margin
for lost datagrams."""

PEER_COUNT_MAX_AGE = 0.6
"""Seconds for which counts from peers are used. After that a host relies on its own share."""


class RetryCount(NamedTuple):
    """Requests and retries of one service at some entry hosts, in the window that ends now.

    :param hosts: number of these hosts
    """

    hosts: int = 0
    requests: int = 0
    retries: int = 0


class BudgetState(NamedTuple):
    """What a decision on a retry is based on.

    :param own: this host's count
    :param pooled: sum of this host's count and of the peers' counts in use
    :param peers_age: age of the oldest of these peers' counts in seconds, ``None`` for none
    :param hosts: entry hosts that the slack is divided by
    :param remaining: retries that this host may take
    """

    own: RetryCount
    pooled: RetryCount
    peers_age: float | None
    hosts: int
    remaining: float


def sum_counts(counts: Iterable[RetryCount]) -> RetryCount:
    """Return the sum of counts."""
    return RetryCount(*(sum(column) for column in zip(*counts, strict=True)))


class SharedRetryBudget:
    """One host's share of a service's retry budget.

    :param ratio: retries allowed for each request
    :param slack: retries allowed in a window regardless of requests, over all hosts
    :param window: length of the sliding window in seconds
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._window = window
        self.hosts = 1
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._peer_counts: dict[str, tuple[float, RetryCount]] = {}

    def record_request(self, now: float) -> None:
        """Count a new request."""
        self._requests.append(now)

    def own(self, now: float) -> RetryCount:
        """Return this host's count for the window that ends now."""
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
        return RetryCount(1, len(self._requests), len(self._retries))

    def apply_peer_update(self, sender: str, count: RetryCount, now: float) -> None:
        """Apply a count of other hosts from a sender; it replaces the sender's previous one."""
        self._peer_counts[sender] = (now, count)

    def remaining(self, now: float) -> float:
        """Return how many retries this host may still take."""
        return self.state(now).remaining

    def state(self, now: float) -> BudgetState:
        """Return what a decision at this time is based on.

        The remainder of the pool is divided among the hosts in it. Retries that the other hosts
        don't know of yet are deducted from this host's part only.
        """
        self._peer_counts = {
            s: entry
            for s, entry in self._peer_counts.items()
            if now - entry[0] <= PEER_COUNT_MAX_AGE
        }
        own = self.own(now)
        count = sum_counts([own, *(c for _, c in self._peer_counts.values())])
        recent = sum(1 for at in self._retries if at > now - PEER_COUNT_DELAY)
        remaining = (self._pool(count) + recent) / count.hosts - recent
        ages = (now - at for at, _ in self._peer_counts.values())
        return BudgetState(own, count, max(ages, default=None), self.hosts, remaining)

    def _pool(self, count: RetryCount) -> float:
        """Return how many retries the hosts that share counts have left together."""
        share = self._slack * min(1.0, count.hosts / max(1, self.hosts))
        return self._ratio * count.requests + share - count.retries

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True


class RecordedBudget:
    """The retry budget as one request uses it; reports each decision.

    :param record: called with the state that a decision was based on, and whether it was allowed
    """

    def __init__(
        self, budget: SharedRetryBudget, record: Callable[[BudgetState, bool], None]
    ) -> None:
        self._budget = budget
        self._record = record

    def remaining(self, now: float) -> float:
        """Return how many retries may still be taken."""
        return self._budget.remaining(now)

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return whether one was left."""
        state = self._budget.state(now)
        taken = self._budget.take(now)
        self._record(state, taken)
        return taken
