"""Clocks: which one to use for what."""

from __future__ import annotations

import resource
import time


def awake_or_not() -> float:
    """Return seconds on a steady clock that also counts the time in which a machine is suspended.

    Ages of what this process believes are measured with it. On the monotonic clock a host that
    wakes from a suspension takes what it learned before for fresh, and would act on it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def processor_seconds() -> float:
    """Return the processor time that this process has used, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
