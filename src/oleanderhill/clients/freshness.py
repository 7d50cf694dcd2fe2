"""Freshness checks: when the held configuration was last verified to be the newest.

A removed API key must stop working everywhere within a stated time, also at a host that is
partitioned from the store or suspended. A host therefore doesn't wait to learn of the removal.
It accepts keys only while the last successful freshness check is younger than the bound less a
margin. Otherwise it rejects requests with a key as not run, and another host can serve them.
"""

from __future__ import annotations

FRESHNESS_MARGIN = 0.7
"""Seconds subtracted from the bound. Most of it covers a short process freeze between the age check
and the moment at which the caller's request counts as sent."""


class Freshness:
    """The time of the last successful freshness check.

    :param bound: seconds after which a removed key must be rejected
    :ivar suspended: checks are ignored, as the store has an older configuration than the one held
    """

    def __init__(self, bound: float) -> None:
        self._max_age = bound - FRESHNESS_MARGIN
        self._verified_at = float("-inf")
        self._ignored_before = float("-inf")
        self.suspended = False

    @property
    def verified_at(self) -> float:
        """Return the time at which the held configuration was last verified to be the newest."""
        return self._verified_at

    def record_verified(self, at: float) -> None:
        """Record that the held configuration was verified to be the newest at ``at``."""
        if not self.suspended and at >= self._ignored_before:
            self._verified_at = max(self._verified_at, at)

    def ignore_checks_before(self, until: float) -> None:
        """Ignore checks of a time before ``until``: the store may have lost the newest version."""
        self._ignored_before = max(self._ignored_before, until)

    def age(self, now: float) -> float:
        """Return the seconds since the last successful check."""
        return now - self._verified_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may be accepted now."""
        return self.age(now) <= self._max_age
