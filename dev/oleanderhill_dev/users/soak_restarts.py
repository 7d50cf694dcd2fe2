"""A soak of planned work alone: entry hosts restart and reload, and the configuration changes.

Nothing else fails, but processes are held up for a moment. So each request whose bytes have arrived
must get an answer, also on a connection that its caller keeps until the process is gone.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic

from oleanderhill.clients.httpcall import HttpCaller

from .soak import DEADLINE_SECONDS, FAULT_SECONDS, CallRecord, Soak, run_in_folder

ARRIVED_SECONDS = 0.05
"""Seconds after which the bytes of a request must have arrived on loopback."""

LISTENING_SECONDS = 2.7
"""Seconds after SIGTERM at which an entry host stops listening."""

MIN_HOLD_UP, MAX_HOLD_UP = 0.05, 0.4
"""Seconds for which a process is held up."""


class RestartSoak(Soak):
    """One run with one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder)
        self.lost: list[str] = []

    def find_violations(self) -> list[str]:
        """Return the violated guarantees, requests without an answer among them."""
        return [*super().find_violations(), *self.lost]

    async def _call(
        self,
        caller: HttpCaller,
        rng: random.Random,
        request_id: str,
        crash_body: bytes = b"",
        prompt: str = "ab:100",
    ) -> None:
        await super()._call(caller, rng, request_id, crash_body, prompt)
        record = self.call_records[-1]
        problem = self._problem(record, monotonic() - record.sent_at)
        if problem:
            self.lost.append(f"{request_id} at {record.entry} {problem}")

    def _problem(self, record: CallRecord, took: float) -> str:
        """Return what is wrong with the end of a request, empty if nothing is."""
        if record.status and record.ended:
            return ""
        if record.numbers:
            return f"was cut off after {len(record.numbers)} events"
        if any(record.request_id in t.ran for t in self.site.targets):
            return "ran and got no answer"
        if ARRIVED_SECONDS < took < DEADLINE_SECONDS:
            since = took + record.sent_at - record.sent
            return f"got no answer in {took:.3f} s, {since:.3f} s after it began"
        return ""

    def _fault_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        return [self._terminate_held_up, self._terminate_held_up, self._hold_up, *self._changes()]

    def _changes(self) -> list[Callable[[], Awaitable[None]]]:
        return [self._hang_up, self._remove_key]

    async def _terminate_held_up(self) -> None:
        """Terminate a process, and hold it up about the time at which it stops listening."""
        process = self._random_process()
        process.exit_expected = True
        process.signal(signal.SIGTERM)
        await asyncio.sleep(LISTENING_SECONDS - self._rng.uniform(0.0, MAX_HOLD_UP))
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(MIN_HOLD_UP, MAX_HOLD_UP))
        process.signal(signal.SIGCONT)

    async def _hold_up(self) -> None:
        process = self._random_process()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(MIN_HOLD_UP, MAX_HOLD_UP))
        process.signal(signal.SIGCONT)


def run_seed(seed: int) -> RestartSoak:
    """Run one seed; the logs are kept if a guarantee was violated."""
    return run_in_folder(seed, lambda folder: RestartSoak(seed, folder))


def main() -> int:
    """Run the seeds of the command line, ``FIRST COUNT``, and return the exit code."""
    first, count = (int(a) for a in (sys.argv[1:] or ["1", "5"])[:2])
    failed = sum(bool(run_seed(seed).violations) for seed in range(first, first + count))
    print(f"soak of restarts: seeds={count} failed={failed}, {FAULT_SECONDS:.0f} s of work each")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
