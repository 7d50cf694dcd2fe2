"""Delay before a rejected caller may retry."""

from __future__ import annotations

import random

BUSY_DELAY = 0.4
"""Seconds before a retry where all targets are busy or have just failed. In this time, about a
third of a stream's duration, a group of thirteen slots completes four requests."""

OUTAGE_DELAY = 1.2
"""Seconds before a retry where no target serves the request. A group that lost a host is complete
again after about this time if a warm spare is available."""

JITTER = 0.25
"""Fraction by which the delay is randomly shortened or lengthened. Without it, callers that were
rejected together would retry together and be rejected again."""


MAX_DELAY = 10.0
"""Upper bound in seconds on the delay, since rate limits are often stated for a short time only."""


def retry_delay(
    serves: bool,
    rng: random.Random,
    limited_for: float | None = None,
    backoff_left: float | None = None,
    backlog_for: float = 0.0,
) -> float:
    """Return the seconds after which a rejected caller may retry.

    :param serves: whether some target serves what the request asks for
    :param limited_for: seconds until a target has capacity, where all have a rate limit
    :param backoff_left: seconds until the first back-off ends, where this host backs off from all
    :param backlog_for: seconds until slots are left for the callers that were rejected before
    """
    if backoff_left is not None:
        # The jitter only lengthens this delay, so that no retry arrives during the back-off.
        return min(MAX_DELAY, max(BUSY_DELAY, backoff_left)) * (1 + 2 * JITTER * rng.random())
    base = BUSY_DELAY if serves else OUTAGE_DELAY
    base = max(base, min(MAX_DELAY, backlog_for))
    if limited_for is not None:
        base = min(MAX_DELAY, max(BUSY_DELAY, limited_for))
    return base * (1 - JITTER + 2 * JITTER * rng.random())
