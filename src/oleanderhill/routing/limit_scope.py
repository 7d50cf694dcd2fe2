"""Kinds of rate limits of targets, and how the entry hosts share one within a bound per window."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

RESERVE_FRACTION = 0.15
"""Fraction of a bound that is left unused, for entry hosts that send by an outdated list of
sharers: each adds the requests of one sharer."""

GAP_MARGIN = 0.02
"""Fraction by which the gap between two requests exceeds its share of the window, so that timer
resolution never puts one more request into a window."""


MAX_REQUESTS = 2**53
"""Highest bound on requests in a window: absurd settings must not overflow."""


class LimitScope(StrEnum):
    """The kind of a rate limit."""

    STATED = "stated"
    """The target stated it in a reply; it lasts until another reply changes it."""

    COLD = "cold"
    """The target is cold; the configuration gives the rate, and it ends by itself."""


class LimitKey(NamedTuple):
    """Identifies a limit: an incarnation may have one of each scope."""

    scope: LimitScope
    incarnation: str


class WindowBound(NamedTuple):
    """The bound on the requests that all entry hosts together send to a target within a window.

    :param window: in seconds
    :param excess: factor on the rate
    :param slack: requests in addition
    """

    window: float = 1.0
    excess: float = 1.0
    slack: float = 0.0

    def requests(self, rate: float) -> int:
        """Return the highest number of requests in a window at a rate."""
        return math.floor(min(rate * self.window * self.excess + self.slack, MAX_REQUESTS))


class Split(NamedTuple):
    """How a limit is split among entry hosts.

    :param sharers: number of entry hosts that send
    :param interval: seconds between two requests of a sharer, on average at least
    :param min_gap: seconds between two requests of a sharer, in any case
    """

    sharers: int
    interval: float
    min_gap: float


def split_within(bound: WindowBound, rate: float, hosts: int) -> Split:
    """Return the split of a rate among as many entry hosts as a bound allows.

    Sharers that are at least ``window / n`` apart in their own requests send at most ``n`` each in
    any window. With ``k`` of them, no split of the callers over the hosts exceeds ``k x n``.

    :param hosts: number of entry hosts that are present
    """
    most = bound.requests(rate)
    allowed = most - math.floor(most * RESERVE_FRACTION)
    sharers = min(hosts, allowed)
    if sharers <= 0 or rate <= 0:
        return Split(0, math.inf, math.inf)
    min_gap = bound.window / (allowed // sharers) * (1 + GAP_MARGIN)
    return Split(sharers, max(sharers / rate, min_gap), min_gap)
