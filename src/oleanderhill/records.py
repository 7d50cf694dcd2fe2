"""Structured log lines on standard output, rate-limited and written without blocking.

A line is written for each decision that affects a request or changes the state of the process.
Successful requests are sampled. Rejections and failures are written up to a maximum rate. Lines are
buffered, and the event loop writes them as fast as the pipe accepts them. Lines that exceed the
buffer are dropped and counted, and the count is logged once the buffer has space again.
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

FLUSH_INTERVAL = 0.25
"""Seconds between two flushes of the buffer, so that one system call writes many lines."""

MAX_BUFFERED_LINES = 4000
"""Maximum buffered lines: several seconds at the maximum rate while the pipe is slow."""

MAX_ATOMIC_WRITE_BYTES = select.PIPE_BUF
"""Maximum size of an atomic write to a pipe. A longer write may be split within a line, and a log
collector then loses the rest of the line. This happened with a burst of 9 KB after an outage."""

MAX_REQUEST_LINES_PER_SECOND = 150
"""Maximum request lines per second. Lines beyond it are only counted."""

SAMPLE_INTERVAL = 20
"""One in this many successful requests is logged."""


class BoundedOutput:
    """An eliot destination that never blocks.

    :param descriptor: file descriptor to write to
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer a message, or drop and count it if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write as many lines as the pipe accepts."""
        if self.dropped and len(self._lines) < MAX_BUFFERED_LINES:
            dropped, self.dropped = self.dropped, 0
            self({"message_type": "oleanderhill:log", "what": "dropped", "lines": dropped})
        while self._lines:
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: discard the lines and keep serving.
                written = len(chunk)
            self._discard_written(written)

    def _next_chunk(self) -> bytes:
        """Return the oldest lines that fit an atomic write, or the first alone if it is longer."""
        size, count = 0, 0
        for line in self._lines:
            size += len(line)
            if count and size > MAX_ATOMIC_WRITE_BYTES:
                break
            count += 1
        return b"".join(itertools.islice(self._lines, count))

    def _discard_written(self, written: int) -> None:
        while written and self._lines:
            line = self._lines.popleft()
            if written < len(line):
                self._lines.appendleft(line[written:])
                return
            written -= len(line)


class Records:
    """Writes the log lines of one process.

    :param host: name of this entry host
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._current_second = 0
        self._lines_in_second = 0
        self._suppressed = 0
        self._successes = 0

    def note(self, part: str, what: str, **fields: object) -> None:
        """Log an event or a decision of the process.

        :param part: the component, such as ``store`` or ``group``
        :param what: name of the event or decision
        :param fields: further fields of the line
        """
        eliot.log_message(message_type=f"oleanderhill:{part}", what=what, host=self._host, **fields)

    def request(self, request_id: str, outcome: str, succeeded: bool, **fields: object) -> None:
        """Log the outcome of a request. Successful requests are sampled.

        :param succeeded: whether the request succeeded
        :param fields: further fields of the line
        """
        if succeeded:
            self._successes += 1
            if self._successes % SAMPLE_INTERVAL:
                return
            fields["stands_for"] = SAMPLE_INTERVAL
        if self._within_rate_limit():
            self.note("request", outcome, request_id=request_id, **fields)

    def _within_rate_limit(self) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            if self._suppressed:
                self.note("log", "suppressed", lines=self._suppressed)
            self._current_second, self._lines_in_second, self._suppressed = second, 0, 0
        self._lines_in_second += 1
        if self._lines_in_second <= MAX_REQUEST_LINES_PER_SECOND:
            return True
        self._suppressed += 1
        return False


async def flush_periodically(output: BoundedOutput) -> None:
    """Flush the buffer periodically."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL)
        output.flush()


def log_to_descriptor(descriptor: int) -> BoundedOutput:
    """Write the log of this process to a file descriptor, and return the output to flush."""
    output = BoundedOutput(descriptor)
    eliot.add_destinations(output)
    return output
