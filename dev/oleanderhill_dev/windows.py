"""Counts over sliding windows."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence


def max_within_window(seconds: float, times: Iterable[float], since: float = float("-inf")) -> int:
    """Return the largest number of times that lie within one window.

    :param seconds: length of the window
    :param since: earlier times are ignored
    """
    counted = [at for at in times if at >= since]
    return max((sum(at <= t < at + seconds for t in counted) for at in counted), default=0)


def retries_over_budget(
    arrivals: Iterable[tuple[float, str]],
    requests: Sequence[float],
    ratio: float,
    slack: float,
    window: float,
) -> float:
    """Return by how much arrivals beyond the first of each request exceed a budget at most.

    The requests are counted in the window, in the one before it or half a window before it,
    whichever has most.

    :param arrivals: times and request ids at all targets of a service
    :param requests: times at which callers sent the requests
    """
    seen: set[str] = set()
    repeats = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    worst = 0.0
    for number, until in enumerate(repeats, 1):
        since = until - window
        asked = max(
            sum(since - shift <= at <= until - shift for at in requests)
            for shift in (0.0, window / 2, window)
        )
        spent = number - bisect_left(repeats, since)
        worst = max(worst, spent - ratio * asked - slack)
    return worst
