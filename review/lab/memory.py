"""What the cases on memory share: the platform's kill, and requests of other clients."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from client import Answer, Client
from lab import CannotRunError, Entry, Lab, route
from targets import SlowTarget

CLIENTS = 8
WORK_SECONDS = 6.0
ALLOWED_LOST = 3
"""The rule is broken by more."""


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


class Others:
    """Requests of clients that have nothing to do with the disruption, on kept connections.

    They go to a service of their own, whose two targets are sound and take some seconds for each.
    """

    def __init__(self, entry: Entry, lab: Lab) -> None:
        self._lab = lab
        self._clients = [Client(entry.callers) for _ in range(CLIENTS)]
        self._targets = [SlowTarget(f"l-{n}", "ledger") for n in range(2)]
        self._running: list[asyncio.Task[Answer]] = []

    @staticmethod
    def route() -> dict[str, Any]:
        """Return their route."""
        return route("book", "non_idempotent", service="ledger", max_attempts=1)

    async def start(self) -> None:
        """Start their targets."""
        for target in self._targets:
            await target.start(self._lab)

    async def begin(self) -> None:
        """Serve a first request on each connection, and send the second ones.

        :raises CannotRunError: if a first request wasn't served
        """
        firsts = await asyncio.gather(*(self._send(c) for c in self._clients))
        if not all(a.complete and a.status == 200 for a in firsts):
            raise CannotRunError("the first requests were not served")
        for target in self._targets:
            target.work_seconds = WORK_SECONDS
        self._running = [asyncio.create_task(self._send(c)) for c in self._clients]

    async def lost(self) -> int:
        """Return how many requests began to run at a target and got no byte of an answer."""
        ran = {r for t in self._targets for r in t.ran}
        lost = 0
        for answer in await asyncio.gather(*self._running):
            self._lab.record(
                f"request {answer.request_id} of another client: began to run "
                f"{answer.request_id in ran}, status {answer.status}, complete {answer.complete}, "
                f"{answer.ended_at - answer.sent_at:.2f} s, {answer.fault or 'no fault'}"
            )
            lost += answer.request_id in ran and answer.status == 0
        self._lab.record(f"lost on kept connections after they were passed on: {lost}")
        return lost

    async def _send(self, client: Client) -> Answer:
        return await client.send("POST", "/book/1", b"an entry")
