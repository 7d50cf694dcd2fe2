"""Structured log lines on standard output, bounded in number and never waited for.

One line for each decision that touches a request or changes what the process believes. Answers
that went well are sampled; refusals and failures are all written up to a rate. Lines go into a
bounded buffer that the event loop empties as the pipe takes them; what finds no room is counted,
and the count is written once there is room again.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import select
import time
from collections import deque
from typing import Any

import eliot
import msgspec

FLUSH = 0.25
"""Seconds between two emptyings of the buffer: one system call for many lines."""

BUFFERED = 4000
"""Lines kept for a slow pipe: some seconds of the highest rate."""

ATOMIC = select.PIPE_BUF
"""Bytes that a pipe takes whole or not at all. A longer write may be cut within a line, and
the rest be lost to whoever collects them: seen after an outage, when 9 KB of lines came at once."""

LINES_PER_SECOND = 150
"""Lines of requests in a second; beyond, only their number is written."""

SAMPLE = 20
"""One of so many answers that went well is written."""


class BoundedOutput:
    """An eliot destination that never blocks.

    :param descriptor: of the file to write to
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message."""
        if len(self._lines) >= BUFFERED:
            self.dropped += 1
            return
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write what the pipe takes."""
        if self.dropped and len(self._lines) < BUFFERED:
            dropped, self.dropped = self.dropped, 0
            self({"message_type": "oleanderhill:log", "what": "dropped", "lines": dropped})
        while self._lines:
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; serving goes on without it.
                written = len(chunk)
            self._took(written)

    def _next_chunk(self) -> bytes:
        """Return the oldest lines that fit into one write, or the first alone if it is longer."""
        size, count = 0, 0
        for line in self._lines:
            size += len(line)
            if count and size > ATOMIC:
                break
            count += 1
        return b"".join(itertools.islice(self._lines, count))

    def _took(self, written: int) -> None:
        while written and self._lines:
            line = self._lines.popleft()
            if written < len(line):
                self._lines.appendleft(line[written:])
                return
            written -= len(line)


class Records:
    """Writes the lines of one process.

    :param host: name of this entry host
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._second = 0
        self._in_second = 0
        self._suppressed = 0
        self._well = 0

    def note(self, part: str, what: str, **facts: object) -> None:
        """Write a line about what the process does or believes.

        :param part: the part of the system, such as ``store`` or ``group``
        :param what: the decision or event in a word or two
        """
        eliot.log_message(message_type=f"oleanderhill:{part}", what=what, host=self._host, **facts)

    def request(self, request_id: str, outcome: str, well: bool, **facts: object) -> None:
        """Write a line about how a request ended, or a sample of those that went well."""
        if well:
            self._well += 1
            if self._well % SAMPLE:
                return
            facts["stands_for"] = SAMPLE
        if self._allowed():
            self.note("request", outcome, request_id=request_id, **facts)

    def _allowed(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            if self._suppressed:
                self.note("log", "suppressed", lines=self._suppressed)
            self._second, self._in_second, self._suppressed = second, 0, 0
        self._in_second += 1
        if self._in_second <= LINES_PER_SECOND:
            return True
        self._suppressed += 1
        return False


async def keep_flushing(output: BoundedOutput) -> None:
    """Empty the buffer from time to time."""
    while True:
        await asyncio.sleep(FLUSH)
        output.flush()


def log_bounded(descriptor: int) -> BoundedOutput:
    """Send the log of this process to a file descriptor, and return its output."""
    output = BoundedOutput(descriptor)
    eliot.add_destinations(output)
    return output
