"""The bound on attempts after the first that all entry hosts share, kept without asking anybody.

The bound is a part of a service's requests plus a slack, in any window. The part is additive: each
host counts its own requests, wherever the balancer sends them. The slack is divided by the hosts
there are. A restarted host forgets what it spent, so only a part of its share is used.

Hosts that hear each other pool their shares. Of a hundred hosts each has a handful, and needs more
than that for two seconds when groups near it are lost, while all together spend a tenth of theirs;
its requests ended with 503 for want of one more try. Each still counts for no more than its share,
so that what all spend is bounded by the same sum, whoever hears whom.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

SLACK_USED = 0.6
"""Part of a host's share of the slack that it spends; the rest covers a restart within a window
and the moment in which a new host counts itself before the others do."""

RATIO_USED = 0.85
"""Part of the ratio that is spent: requests counted here may end in the window before the one in
which their retries arrive."""


HEARD_WITHIN = 0.5
"""Seconds after which a host's retries are known to all others: the age of a total, and a margin
for some that are lost on the way."""

HEARD_LASTS = 0.6
"""Seconds for which what was heard of others is used; without it a host is on its own again."""


class RetryCount(NamedTuple):
    """What some entry hosts have with one service, in the window that ends now.

    :param hosts: how many they are
    """

    hosts: int = 0
    requests: int = 0
    retries: int = 0


def counted(counts: Iterable[RetryCount]) -> RetryCount:
    """Return the sum of counts."""
    return RetryCount(*(sum(column) for column in zip(*counts, strict=True)))


class SharedRetryBudget:
    """One host's share of a service's retries.

    :param ratio: retries allowed for each request
    :param slack: retries allowed in a window in any case, over all hosts
    :param window: seconds
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio * RATIO_USED
        self._slack = slack * SLACK_USED
        self._window = window
        self.hosts = 1
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._heard: dict[str, tuple[float, RetryCount]] = {}

    def request(self, now: float) -> None:
        """Count a new request."""
        self._requests.append(now)

    def own(self, now: float) -> RetryCount:
        """Return what this host has in the window that ends now."""
        for log in (self._requests, self._retries):
            while log and log[0] < now - self._window:
                log.popleft()
        return RetryCount(1, len(self._requests), len(self._retries))

    def hear(self, sender: str, count: RetryCount, now: float) -> None:
        """Take what a sender last told of other hosts; it replaces what it told before."""
        self._heard[sender] = (now, count)

    def left(self, now: float) -> float:
        """Return how many retries this host may still take.

        What all that hear each other have left is divided among them, until each knows what the
        others took.
        """
        self._heard = {s: h for s, h in self._heard.items() if now - h[0] <= HEARD_LASTS}
        count = counted([self.own(now), *(c for _, c in self._heard.values())])
        recent = sum(1 for at in self._retries if at > now - HEARD_WITHIN)
        return (self._pool(count) + recent) / count.hosts - recent

    def _pool(self, count: RetryCount) -> float:
        """Return how many retries those that hear each other have left together."""
        share = self._slack * min(1.0, count.hosts / max(1, self.hosts))
        return self._ratio * count.requests + share - count.retries

    def take(self, now: float) -> bool:
        """Take one retry; return whether there was one."""
        if self.left(now) < 1.0:
            return False
        self._retries.append(now)
        return True
