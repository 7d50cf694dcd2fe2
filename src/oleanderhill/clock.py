"""Clocks for the age of cached information and for CPU time."""

from __future__ import annotations

import resource
import time


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
