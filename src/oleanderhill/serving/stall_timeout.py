"""Stall timeouts: how long a request waits for progress before it moves to another target."""

from __future__ import annotations

import math
from collections.abc import Callable

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

STREAM_QUANTILE = 0.9
"""Quantile of the current times to first event below which no request counts as stalled: where all
targets are slow, another one is not faster."""

MAX_STREAM_FACTOR = 2.0
"""Factor by which that quantile extends the stall timeout at most."""

PLAIN_QUANTILE = 0.75
"""Quantile of the current times of a plain service, in proportion to which a request that may be
repeated moves to another target. Up to a quarter of the requests at slow targets leave it low."""

PLAIN_QUANTILE_FACTOR = 4.0
"""Multiple of that quantile after which the request moves. Few requests of a healthy target take
this long, and nearly all of one that is many times slower."""

PLAIN_GOAL_FRACTION = 0.4
"""Fraction of the goal for which the request stays in any case. A second target has the rest."""


def _unknown_quantile(fraction: float) -> None:
    return None


def stall_timeout_for(
    route: Route,
    begun: bool,
    time_quantile: Callable[[float], float | None] = _unknown_quantile,
) -> float:
    """Return the seconds without progress after which a target counts as stalled.

    :param begun: whether the first event has arrived
    :param time_quantile: returns a quantile of the current times to first event, or to the answer
        of a plain target, ``None`` if unknown
    """
    if route.repeatable != Repeatable.STREAM:
        return _plain_timeout(route, time_quantile(PLAIN_QUANTILE))
    if begun:
        return max(MIN_STALL_TIMEOUT, route.event_gap_goal - RESUME_SECONDS)
    timeout = max(MIN_STALL_TIMEOUT, route.latency_goal * FIRST_EVENT_FRACTION)
    usual = time_quantile(STREAM_QUANTILE)
    return timeout if usual is None else min(max(timeout, usual), timeout * MAX_STREAM_FACTOR)


def max_load_elsewhere(idle: float, configured_timeout: float) -> float:
    """Return the load below which another target must be for a request to move to it.

    A request moves earlier than configured only to a free slot. Otherwise a service that is short
    of slots would get more requests, and retries would be used up that lost targets need.

    :param idle: seconds without progress
    :param configured_timeout: stall timeout without observed times
    """
    return 1.0 if idle < configured_timeout else math.inf


def _plain_timeout(route: Route, usual: float | None) -> float:
    timeout = route.timeout * PLAIN_TIMEOUT_FRACTION
    if usual is None or not route.is_retryable:
        return timeout
    least = max(MIN_STALL_TIMEOUT, route.latency_goal * PLAIN_GOAL_FRACTION)
    return min(timeout, max(least, usual * PLAIN_QUANTILE_FACTOR))
