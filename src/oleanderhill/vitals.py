"""What a process spends and how long it was held up, now and then in its log."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .clock import processor_seconds
from .kernel import Kernel, Task
from .records import Records

EVERY = 10.0
"""Seconds between two lines: a tenth of a line a second, of some nine that a process writes."""

Vitals = Callable[[], Mapping[str, object]]
"""Returns counts by name, since the start of the process."""


class VitalsTask(Task):
    """Writes the counts of a process, and the longest time for which its event loop was held up.

    A loop that is held up for a second answers late, whatever its decisions are; seen from outside
    it is a slow host. This line tells the two apart, and says what the processor's time went into.

    :param read: returns what else to write, such as calls by kind
    """

    name = "vitals"
    interval = EVERY

    def __init__(self, kernel: Kernel, records: Records, read: Vitals) -> None:
        super().__init__(kernel)
        self._records = records
        self._read = read

    async def start(self) -> None:
        """Start to write."""
        self.spawn(self._tick_loop())

    async def tick(self) -> None:
        """Write one line."""
        self._records.note(
            "vitals",
            "counts",
            cpu_s=round(processor_seconds(), 3),
            held_up_s=round(self.kernel.lag.take(), 3),
            **self._read(),
        )
