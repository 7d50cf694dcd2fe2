"""Counts over sliding windows."""

from __future__ import annotations

from collections.abc import Iterable


def max_within_window(seconds: float, times: Iterable[float], since: float = float("-inf")) -> int:
    """Return the largest number of times that lie within one window.

    :param seconds: length of the window
    :param since: earlier times are ignored
    """
    counted = [at for at in times if at >= since]
    return max((sum(at <= t < at + seconds for t in counted) for at in counted), default=0)
