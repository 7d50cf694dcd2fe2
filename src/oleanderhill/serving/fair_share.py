"""Divides a rate among demands: in order of urgency with a floor, and max-min fair."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence


def allocate(total: float, demands: Sequence[float], floors: Sequence[float]) -> list[float]:
    """Return what each demand gets of a total, the first ones served first.

    :param demands: from the most to the least urgent
    :param floors: what each demand gets before more urgent ones get the rest, if it asks for it;
        their sum is at most ``total``
    """
    allotted = [min(d, f) for d, f in zip(demands, floors, strict=True)]
    left = max(0.0, total - sum(allotted))
    for index, demand in enumerate(demands):
        more = min(left, demand - allotted[index])
        allotted[index] += more
        left -= more
    return allotted


def max_min_level(total: float, demands: Iterable[float]) -> float:
    """Return the level up to which each demand is served under max-min fairness.

    :return: infinity if the total covers all demands
    """
    ascending = sorted(demands)
    left = total
    for index, demand in enumerate(ascending):
        level = left / (len(ascending) - index)
        if demand > level:
            return max(0.0, level)
        left -= demand
    return math.inf
