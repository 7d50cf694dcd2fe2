"""What the cases on memory share: the platform's kill, and streams of other clients."""

from __future__ import annotations

import asyncio
import time

from client import Answer, Client
from lab import SMALL, CannotRunError, Entry, Lab

READERS = 8
EVENTS = 300
ALLOWED_LOST = 3
"""The rule is broken by more."""

PROMPT = {"Model": SMALL, "Token-Counts": "1460,80", "Prompt-Prefix": "5c1e:40,91bd:1420"}


class Platform:
    """Kills a process that exceeds the memory of its machine, as the platform does."""

    def __init__(self, entry: Entry, lab: Lab) -> None:
        self._entry = entry
        self._lab = lab
        self.peak_mb = 0.0
        self.killed_at = 0.0

    async def watch(self) -> None:
        """Watch the process until it ends."""
        while self._entry.running:
            self.peak_mb = max(self.peak_mb, self._entry.resident_mb())
            if self.peak_mb > self._entry.memory_mb:
                self._lab.record(
                    f"{self._entry.name} has {self.peak_mb:.0f} MB of {self._entry.memory_mb} MB: "
                    "the platform kills it"
                )
                self.killed_at = time.monotonic()
                self._entry.end()
                return
            await asyncio.sleep(0.02)


class Streams:
    """Streams of clients that have nothing to do with the disruption, on kept connections."""

    def __init__(self, entry: Entry, lab: Lab) -> None:
        self._lab = lab
        self._clients = [Client(entry.callers) for _ in range(READERS)]
        self._running: list[asyncio.Task[Answer]] = []

    async def begin(self) -> None:
        """Serve a first stream on each connection, and begin the second ones.

        :raises CannotRunError: if a first stream wasn't served
        """
        firsts = await asyncio.gather(*(self._read(c) for c in self._clients))
        if not all(a.complete and a.status == 200 for a in firsts):
            raise CannotRunError("the first streams were not served")
        self._lab.site.engines.events_per_stream = EVENTS
        self._running = [asyncio.create_task(self._read(c)) for c in self._clients]

    async def lost(self) -> int:
        """Return how many streams were passed on and ended without their last chunk."""
        ran = {r.request_id for r in self._lab.site.engines.runs}
        lost = 0
        for answer in await asyncio.gather(*self._running):
            passed_on = answer.request_id in ran
            self._lab.record(
                f"stream {answer.request_id}: passed on {passed_on}, status {answer.status}, "
                f"{answer.body.count(b'id: ')} of {EVENTS} events, complete {answer.complete}, "
                f"{answer.fault or 'no fault'}"
            )
            lost += passed_on and not answer.complete
        self._lab.record(f"streams on kept connections lost after they were passed on: {lost}")
        return lost

    async def _read(self, client: Client) -> Answer:
        return await client.send("POST", "/read/1", b"a prompt", PROMPT)
