"""Clocks for the age of cached information and for CPU time, and timers that fire late."""

from __future__ import annotations

import resource
import time

HELD_UP_SECONDS = 0.05
"""Seconds by which a timer fires late if this process was held up."""


class LateTimer:
    """Tells how long to wait for data that may have arrived while this process was held up.

    The timer and the data become ready together then, and the timer may be handled first.
    """

    def __init__(self) -> None:
        self._granted_for: float | None = None

    def extension(self, late: float, last_progress_at: float) -> float:
        """Return the seconds to wait longer.

        They are granted once after each progress, so that a busy process still notices stalls.

        :param late: seconds by which the timer fired late
        """
        if late < HELD_UP_SECONDS or self._granted_for == last_progress_at:
            return 0.0
        self._granted_for = last_progress_at
        return late


def boottime_seconds() -> float:
    """Return seconds on a monotonic clock that also runs while the host is suspended.

    Use it to measure the age of cached information. :func:`time.monotonic` stops during a
    suspension, so a host that resumes would treat outdated information as fresh and act on it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def processor_seconds() -> float:
    """Return the CPU time that this process has used, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
