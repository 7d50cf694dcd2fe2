"""Proof that the configuration held is the newest, and how old that proof is.

A key that operators take away must be dead everywhere after a stated time, also at a host that
hears nothing of it: cut off from the store, or asleep. So a host does not wait for bad news. It
needs good news: proof, younger than the bound less a margin, that its configuration was the
newest. Without it, requests with a key are refused as not run, and a host elsewhere serves them.
"""

from __future__ import annotations

PROOF_MARGIN = 0.7
"""Seconds kept back from the bound: the largest part is a wake-up after a short freeze between the
check and the moment at which the caller's request counts as sent."""


class Currency:
    """The newest proof.

    :param bound: seconds after which a removed key must be dead
    :ivar suspended: no proof is taken, as the store has an older configuration than the one held
    """

    def __init__(self, bound: float) -> None:
        self._max_age = bound - PROOF_MARGIN
        self._proved_at = float("-inf")
        self._distrusted_until = float("-inf")
        self.suspended = False

    @property
    def proved_at(self) -> float:
        """Return the time at which the configuration held was proved to be the newest."""
        return self._proved_at

    def prove(self, at: float) -> None:
        """Take a proof that the configuration held was the newest at ``at``."""
        if not self.suspended and at >= self._distrusted_until:
            self._proved_at = max(self._proved_at, at)

    def distrust(self, until: float) -> None:
        """Take no proof of a time before ``until``, as the store may have lost the newest."""
        self._distrusted_until = max(self._distrusted_until, until)

    def age(self, now: float) -> float:
        """Return the age of the newest proof, in seconds."""
        return now - self._proved_at

    def holds(self, now: float) -> bool:
        """Tell whether keys may be used now."""
        return self.age(now) <= self._max_age
