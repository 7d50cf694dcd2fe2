"""Retry budget that all entry hosts share without coordination.

Within any window, a service may use retries up to a ratio of its requests plus a constant slack.
Each host has a share: the ratio of its own requests, and the slack divided by the number of hosts.
Hosts that receive each other's counts pool their shares. With a hundred hosts each share is only a
few retries. A host near lost groups needs more than that for two seconds, while all hosts together
use a tenth of their shares.

Counts live in memory only, so four rules keep the total within the bound while processes end,
start and lose contact with each other:

- What a peer spent beyond its share was lent by the others. They count it for a whole window after
  they last heard of the peer. What it spent of its own share leaves the pool together with that
  share.
- A process that just started doesn't know what its predecessor spent. For a window it takes no part
  in the pool, and spends from a reserve that no other process uses.
- A retry may arrive as long as its attempt has neither been answered nor given up, for instance
  when a cut link heals. It counts until then, and a window longer.
- A process divides neither the reserve nor the pool by a number of hosts until all hosts must have
  been listed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

SLACK_FRACTION = 0.6
"""Fraction of the slack that is pooled."""

RATIO_FRACTION = 0.9
"""Fraction of the ratio that is pooled. The rest is in the reserve."""

START_SLACK_FRACTION = 0.2
"""Fraction of the slack in the reserve of all processes that just started. Twice this and the
pooled part are the whole slack, so each host may restart twice within a window."""

START_RATIO_FRACTION = 0.1
"""Fraction of the ratio that a process uses that just started."""

LISTED_AFTER = 4.0
"""Seconds after its first reading of the list until a process has read the names of all others:
those whose entries lapsed with the store write them again within a lease."""

ARRIVAL_DELAY = 0.5
"""Seconds, at most, in which bytes of an attempt that was just given up may still arrive. Retries
count for this much longer than the window."""

FIRST_RETRIES = 1
"""Retries of a process at the first start of the fleet, until it knows the number of hosts."""

PEER_COUNT_DELAY = 0.5
"""Seconds after which a host's retries are in the counts that it and its peers receive: the age of
a total, plus a margin for lost datagrams."""

PEER_COUNT_MAX_AGE = 0.6
"""Seconds for which counts from peers are used. After that a host relies on its own share."""


BORROWED_SUFFIX = " borrowed"
"""Appended to the name of a service in a load report, for the sum of what hosts spent beyond their
shares. Hosts of an earlier release add it up and pass it on without using it."""


class RetryCount(NamedTuple):
    """Requests and retries of one service at some entry hosts, in the window that ends now.

    :param hosts: number of these hosts that take part in the pool
    """

    hosts: int = 0
    requests: int = 0
    retries: int = 0


class BudgetState(NamedTuple):
    """What a decision on a retry is based on.

    :param own: this host's count; its ``hosts`` is 0 while the process takes no part in the pool
    :param pooled: sum of this host's count and of the peers' counts in use
    :param peers_age: age of the oldest of these peers' counts in seconds, ``None`` for none
    :param lapsed: retries that hosts no longer heard of spent beyond their shares
    :param hosts: entry hosts that the slack is divided by
    :param remaining: retries that this host may take
    """

    own: RetryCount
    pooled: RetryCount
    peers_age: float | None
    lapsed: float
    hosts: int
    remaining: float


class Retry(NamedTuple):
    """A retry that was taken from the budget, by the time of the decision in seconds."""

    decided_at: float


class _EndedRetry(NamedTuple):
    ended_at: float
    decided_at: float


class _PeerCount(NamedTuple):
    at: float
    pooled: RetryCount
    borrowed: int


class _Lapsed(NamedTuple):
    until: float
    sender: str
    retries: float


def sum_counts(counts: Iterable[RetryCount]) -> RetryCount:
    """Return the sum of counts."""
    return RetryCount(*(sum(column) for column in zip(*counts, strict=True)))


def subtract_counts(count: RetryCount, part: RetryCount) -> RetryCount:
    """Return a count without a part of it; no field is negative."""
    return RetryCount(*(max(0, a - b) for a, b in zip(count, part, strict=True)))


class SharedRetryBudget:
    """One host's part in a service's retry budget.

    Times are seconds on a clock that also runs while the host is suspended.

    :param ratio: retries allowed for each request
    :param slack: retries allowed in a window regardless of requests, over all hosts
    :param window: length of the sliding window in seconds
    :param started_at: start of this process
    :param has_predecessor: whether the same host may have spent retries before; not at the first
        start of the whole fleet
    :ivar hosts: entry hosts that may exist, as far as known
    :ivar listed_since: time at which this process first read the list of the hosts
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        started_at: float = float("-inf"),
        has_predecessor: bool = True,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._pools_from = started_at + (window if has_predecessor else LISTED_AFTER)
        self._has_predecessor = has_predecessor
        self.hosts = 1
        self.listed_since = float("inf") if math.isfinite(started_at) else started_at
        self._requests: deque[float] = deque()
        self._open_retries: list[Retry] = []
        self._ended_retries: deque[_EndedRetry] = deque()
        self._peer_counts: dict[str, _PeerCount] = {}
        self._lapsed: list[_Lapsed] = []

    def record_request(self, now: float) -> None:
        """Count a new request."""
        self._requests.append(now)

    def own(self, now: float) -> RetryCount:
        """Return this host's count for the window that ends now, which peers may pool.

        It is zero while the process takes no part in the pool. Peers then see its predecessor
        leave.
        """
        return RetryCount() if self._is_starting(now) else self._count(now)

    def borrowed(self, now: float) -> int:
        """Return how many retries this host spent beyond its share, for its peers to remember."""
        count = self.own(now)
        return max(0, math.ceil(count.retries - self._share(count)))

    def apply_peer_update(
        self, sender: str, count: RetryCount, now: float, borrowed: int = 0
    ) -> None:
        """Apply a count of other hosts from a sender; it replaces the sender's previous one.

        :param borrowed: sum of what each of these hosts spent beyond its share
        """
        previous = self._peer_counts.get(sender)
        if previous is not None and count.hosts < previous.pooled.hosts:
            lost = subtract_counts(previous.pooled, count)
            self._remember(sender, lost, previous.borrowed - borrowed, now)
        elif count.hosts == 1:
            # The host is back in the pool, and its own count has what it spent.
            self._lapsed = [row for row in self._lapsed if row.sender != sender]
        self._peer_counts[sender] = _PeerCount(now, count, borrowed)

    def remaining(self, now: float) -> float:
        """Return how many retries this host may still take."""
        return self.state(now).remaining

    def state(self, now: float) -> BudgetState:
        """Return what a decision at this time is based on."""
        self._expire(now)
        count = self._count(now)
        ages = (now - peer.at for peer in self._peer_counts.values())
        peers_age = max(ages, default=None)
        lapsed = sum(row.retries for row in self._lapsed)
        if self._is_starting(now):
            own = RetryCount()._replace(requests=count.requests, retries=count.retries)
            remaining = self._reserve(count, now) - count.retries
            return BudgetState(own, own, peers_age, lapsed, self.hosts, remaining)
        pooled = sum_counts([count, *(peer.pooled for peer in self._peer_counts.values())])
        remaining = self._part_of_pool(pooled, lapsed, now - (peers_age or 0.0) - PEER_COUNT_DELAY)
        return BudgetState(count, pooled, peers_age, lapsed, self.hosts, remaining)

    def begin(self, now: float) -> Retry | None:
        """Take one retry from the budget, ``None`` if none was left.

        It counts until :meth:`end` is called, and a window longer.
        """
        if self.remaining(now) < 1.0:
            return None
        retry = Retry(now)
        self._open_retries.append(retry)
        return retry

    def end(self, retry: Retry, now: float) -> None:
        """Record that a retry has arrived by now, or was given up and won't arrive any more."""
        self._open_retries.remove(retry)
        self._ended_retries.append(_EndedRetry(now, retry.decided_at))

    def take(self, now: float) -> bool:
        """Take one retry that arrives at once; return whether one was left."""
        retry = self.begin(now)
        if retry is None:
            return False
        self.end(retry, now)
        return True

    def _is_starting(self, now: float) -> bool:
        return now < self._pools_from or not self._knows_all_hosts(now)

    def _knows_all_hosts(self, now: float) -> bool:
        return now >= self.listed_since + LISTED_AFTER

    def _count(self, now: float) -> RetryCount:
        while self._requests and self._requests[0] < now - self._window:
            self._requests.popleft()
        ended, oldest = self._ended_retries, now - self._window - ARRIVAL_DELAY
        while ended and ended[0].ended_at < oldest:
            ended.popleft()
        return RetryCount(1, len(self._requests), len(ended) + len(self._open_retries))

    def _part_of_pool(self, pooled: RetryCount, lapsed: float, known_until: float) -> float:
        """Return this host's part of the retries that are left in the pool.

        Retries that the other hosts don't know of yet are deducted from this host's part only.

        :param known_until: time until which these hosts know each other's retries
        """
        recent = sum(1 for retry in self._open_retries if retry.decided_at > known_until)
        recent += sum(1 for retry in self._ended_retries if retry.decided_at > known_until)
        left = self._pool(pooled) - lapsed
        return (left + recent) / pooled.hosts - recent

    def _pool(self, count: RetryCount) -> float:
        """Return how many retries the hosts that share counts have left together."""
        return self._share(count) - count.retries

    def _share(self, count: RetryCount) -> float:
        """Return the retries in the pool that some hosts contribute."""
        part = min(1.0, count.hosts / max(1, self.hosts))
        return self._ratio * RATIO_FRACTION * count.requests + self._slack * SLACK_FRACTION * part

    def _reserve(self, count: RetryCount, now: float) -> float:
        """Return the retries of a process that just started."""
        if not self._has_predecessor:
            return self._ratio * RATIO_FRACTION * count.requests + FIRST_RETRIES
        allowed = self._ratio * START_RATIO_FRACTION * count.requests
        if not self._knows_all_hosts(now):
            return allowed
        return allowed + self._slack * START_SLACK_FRACTION / max(1, self.hosts)

    def _expire(self, now: float) -> None:
        for sender, peer in list(self._peer_counts.items()):
            if now - peer.at > PEER_COUNT_MAX_AGE:
                del self._peer_counts[sender]
                self._remember(sender, peer.pooled, peer.borrowed, peer.at)
        self._lapsed = [row for row in self._lapsed if now <= row.until]

    def _remember(self, sender: str, lost: RetryCount, borrowed: int, at: float) -> None:
        """Remember what hosts that left the pool spent beyond their shares."""
        lent = max(borrowed, lost.retries - self._share(lost))
        if lent > 0:
            self._lapsed.append(_Lapsed(at + self._window, sender, lent))


class RecordedBudget:
    """The retry budget as one request uses it; reports each decision.

    A request has at most one retry under way. The next one is taken after the end of the previous.

    :param clock: returns the time in seconds on the clock of the budget
    :param record: called with the state that a decision was based on, and whether it was allowed
    """

    def __init__(
        self,
        budget: SharedRetryBudget,
        clock: Callable[[], float],
        record: Callable[[BudgetState, bool], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._record = record
        self._under_way: Retry | None = None

    def remaining(self, now: float) -> float:
        """Return how many retries may still be taken; the time of the request isn't used."""
        del now
        return self._budget.remaining(self._clock())

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return whether one was left."""
        del now
        self.end()
        at = self._clock()
        state = self._budget.state(at)
        self._under_way = self._budget.begin(at)
        taken = self._under_way is not None
        self._record(state, taken)
        return taken

    def end(self) -> None:
        """Record that the retry under way, if any, has arrived or was given up."""
        if self._under_way is not None:
            self._budget.end(self._under_way, self._clock())
            self._under_way = None
