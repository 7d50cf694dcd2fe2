"""The bound on attempts after the first that all entry hosts share, kept without asking anybody.

The bound is a part of a service's requests plus a slack, in any window. The part is additive: each
host counts its own requests, wherever the balancer sends them. The slack is divided by the hosts
there are. A restarted host forgets what it spent, so only a part of its share is used.
"""

from __future__ import annotations

from collections import deque

SLACK_USED = 0.6
"""Part of a host's share of the slack that it spends; the rest covers a restart within a window
and the moment in which a new host counts itself before the others do."""

RATIO_USED = 0.85
"""Part of the ratio that is spent: requests counted here may end in the window before the one in
which their retries arrive."""


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

    def request(self, now: float) -> None:
        """Count a new request."""
        self._requests.append(now)

    def left(self, now: float) -> float:
        """Return how many retries are left in the window that ends now."""
        for log in (self._requests, self._retries):
            while log and log[0] < now - self._window:
                log.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, self.hosts)
        return allowed - len(self._retries)

    def take(self, now: float) -> bool:
        """Take one retry; return whether there was one."""
        if self.left(now) < 1.0:
            return False
        self._retries.append(now)
        return True
