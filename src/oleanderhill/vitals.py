"""Logs the resource usage of a process and the lag of its event loop periodically."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .clock import processor_seconds
from .kernel import Kernel, Task
from .records import Records

LOG_INTERVAL = 10.0
"""Seconds between two log lines: 0.1 lines per second, beside about nine others of a process."""

ReadCounters = Callable[[], Mapping[str, object]]
"""Returns counters by name, accumulated since the start of the process."""


class VitalsTask(Task):
    """Logs the counters of a process, its CPU time and the maximum lag of its event loop.

    From outside, a process whose event loop is blocked looks like a slow host. This line
    distinguishes the two and shows what the CPU time was spent on.

    :param read_counters: returns further counters to log, such as calls by kind
    """

    name = "vitals"
    interval = LOG_INTERVAL

    def __init__(self, kernel: Kernel, records: Records, read_counters: ReadCounters) -> None:
        super().__init__(kernel)
        self._records = records
        self._read_counters = read_counters

    async def start(self) -> None:
        """Start the timer."""
        self.spawn(self._tick_loop())

    async def tick(self) -> None:
        """Log the counters and the maximum lag since the last line."""
        self._records.note(
            "vitals",
            "counts",
            cpu_s=round(processor_seconds(), 3),
            held_up_s=round(self.kernel.lag.pop_longest(), 3),
            **self._read_counters(),
        )
