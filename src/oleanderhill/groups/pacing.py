"""How fast loads from the weight store may begin.

The store's bound holds for all domains together, and their owners don't ask each other: each has
its part of the bound as a bucket. The buckets together, full, plus what flows in during a window
stay under what the bound allows in a window.
"""

from __future__ import annotations

PART_USED = 0.9
"""Part of the bound that is used: an order that is carried out late begins its load later."""


class LoadPacer:
    """One domain's part.

    :param per_window: loads that may begin in a window, over all domains
    :param window: seconds
    :param domains: number of domains that share the bound
    :param at_once: loads that run at full speed together; beyond, all of them slow down, and the
        group that needs only one more host gets it as late as the last of all
    """

    def __init__(self, per_window: float, window: float, domains: int, at_once: int = 1000) -> None:
        self._per_window = per_window
        self._window = window
        self._all_at_once = at_once
        self._domains = 0
        self._at: float | None = None
        self._tokens = float("inf")
        self.share_among(domains)

    def share_among(self, domains: int) -> None:
        """Take note of how many domains share the bound; it is never shared among fewer again.

        At the first start domains show one after the other. An owner that saw the first one alone
        took the whole bound for itself, and went on to order six loads at once.
        """
        domains = max(1, domains)
        if domains <= self._domains:
            return
        self._domains = domains
        share = self._per_window * PART_USED / domains
        self._cap = max(1.0, share * 0.65)
        self._rate = max(0.02, (share - self._cap) / self._window)
        self._tokens = min(self._tokens, self._cap)
        self.at_once = max(1, self._all_at_once // domains)

    def take(self, now: float) -> bool:
        """Take one load; return whether it may begin."""
        if self._at is not None:
            self._tokens = min(self._cap, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
