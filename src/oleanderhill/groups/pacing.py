"""Rate limit for loads from the weight store.

The limit of the store applies to all domains together, but their owners do not coordinate. Each
owner has a token bucket for its share of the limit. The capacity of all full buckets plus the
refill during one window stays below what the limit allows per window.

A new owner of a domain doesn't know which loads the previous one ordered just before its end, so it
starts with an empty bucket. A window later those no longer count, and the bucket is filled except
for what the new owner has taken.
"""

from __future__ import annotations

USED_FRACTION = 0.9
"""Fraction of the limit that is used. The rest allows for orders that hosts carry out late, which
shift loads into a later window."""


class LoadPacer:
    """Token bucket for one domain's share of the load limit.

    :param per_window: loads that may begin per window, over all domains
    :param window: seconds
    :param domains: number of domains that share the limit
    :param max_concurrent: concurrent loads, over all domains, that run at full speed. More than
        these slow each other down, and a group that lacks a single host gets it only when all loads
        finish.
    :param taken_over_at: time at which the domain was taken over from another owner, which may have
        used its whole share just before; ``None`` if there was none
    """

    def __init__(
        self,
        per_window: float,
        window: float,
        domains: int,
        max_concurrent: int = 1000,
        taken_over_at: float | None = None,
    ) -> None:
        self._per_window = per_window
        self._window = window
        self._total_concurrent = max_concurrent
        self._domains = 0
        self._at = taken_over_at
        self._full_at = None if taken_over_at is None else taken_over_at + window
        self._taken = 0
        self._tokens = float("inf") if taken_over_at is None else 0.0
        self.share_among(domains)

    def share_among(self, domains: int) -> None:
        """Set the number of domains that share the limit. The number never decreases.

        At the first start domains appear one after the other. When the number was fixed at that of
        the first reading, the owner of the first domain used the whole limit for it and kept
        ordering six concurrent loads.
        """
        domains = max(1, domains)
        if domains <= self._domains:
            return
        self._domains = domains
        share = self._per_window * USED_FRACTION / domains
        self._cap = max(1.0, share * 0.65)
        self._rate = max(0.02, (share - self._cap) / self._window)
        self._tokens = min(self._tokens, self._cap)
        self.max_concurrent = max(1, self._total_concurrent // domains)

    def take(self, now: float) -> bool:
        """Consume a token and return whether a load may begin."""
        if self._at is not None:
            self._tokens = min(self._cap, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._full_at is not None and now >= self._full_at:
            self._tokens = max(self._tokens, self._cap - self._taken)
            self._full_at = None
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._taken += 1
        return True
