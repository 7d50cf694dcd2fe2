"""When a caller that was refused may come back."""

from __future__ import annotations

import random

SOON = 0.4
"""Seconds after which a caller may come back whose targets are all busy or just failed: about the
third part of a stream's length, in which a group of thirteen ends four."""

LATER = 1.2
"""Seconds after which a caller may come back where nothing serves: a group that lost a host is
whole again in about that time where a warm spare is at hand."""

SPREAD = 0.25
"""Part by which the time is drawn longer or shorter: callers that were refused together would come
back together, and be refused together."""


LATEST = 10.0
"""Seconds after which a caller may come back at the latest: limits are often named for a while."""


def come_back(
    serves: bool,
    rng: random.Random,
    limited_for: float | None = None,
    backoff_left: float | None = None,
) -> float:
    """Return the seconds after which a refused caller may come back.

    :param serves: some target serves what it asks for
    :param limited_for: seconds until one has room where all name a limit
    :param backoff_left: seconds until the first may be tried where this host backs off from all
    """
    if backoff_left is not None:
        # Never before that end.
        return min(LATEST, max(SOON, backoff_left)) * (1 + 2 * SPREAD * rng.random())
    base = SOON if serves else LATER
    if limited_for is not None:
        base = min(LATEST, max(SOON, limited_for))
    return base * (1 - SPREAD + 2 * SPREAD * rng.random())
