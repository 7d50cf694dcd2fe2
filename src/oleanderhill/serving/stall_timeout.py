"""Stall timeouts: how long a request waits for progress before it moves to another target."""

from __future__ import annotations

from ..settings.catalog import Repeatable, Route

RESUME_SECONDS = 0.11
"""Seconds from the decision to move a stream to its next event from the new target: a connection,
reading the prompt and the output written so far, and one engine pass."""

MIN_STALL_TIMEOUT = 0.09
"""Seconds that a healthy stream may pause: one pass of seven steps of 7 ms, during which the
prompts of two new requests are read."""

FIRST_EVENT_FRACTION = 0.8
"""Fraction of the goal after which a request without its first event moves to another target. With
a lower value, waiting in a queue would be taken for a stall. After the move the first event is
late, but it arrives."""

PLAIN_TIMEOUT_FRACTION = 0.45
"""Fraction of the timeout after which a repeatable request to a plain target moves to another one.
It leaves enough time for a second target to answer."""


def stall_timeout_for(route: Route, begun: bool) -> float:
    """Return the seconds without progress after which a target counts as stalled.

    :param begun: whether the first event has arrived
    """
    if route.repeatable != Repeatable.STREAM:
        return route.timeout * PLAIN_TIMEOUT_FRACTION
    if begun:
        return max(MIN_STALL_TIMEOUT, route.event_gap_goal - RESUME_SECONDS)
    return max(MIN_STALL_TIMEOUT, route.latency_goal * FIRST_EVENT_FRACTION)
