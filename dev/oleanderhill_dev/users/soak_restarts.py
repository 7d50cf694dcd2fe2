"""A soak of planned work alone: entry hosts restart and reload, and the configuration changes.

Nothing else fails, but processes are held up for a moment. So each request whose bytes have arrived
must get an answer, also on a connection that its caller keeps until the process is gone, and also
one that would outlast the process.
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

from .site import LARGE, SMALL
from .soak import (
    DEADLINE_SECONDS,
    FAULT_SECONDS,
    CallRecord,
    EntryProcess,
    Soak,
    run_in_folder,
)

ARRIVED_SECONDS = 0.05
"""Seconds after which the bytes of a request must have arrived on loopback."""

LISTENING_SECONDS = 2.7
"""Seconds after SIGTERM at which an entry host stops listening."""

LONG_BODY = b"long"
LONG_EVENTS = 190
"""Events of a stream that takes about four seconds: more than a process has left that long after
SIGTERM."""

LONG_DEADLINE = 8.0
"""Deadline of such a stream in seconds."""

LONG_STREAMS = 2
"""Such streams that run on kept connections when a process is terminated."""

MAX_RUN_UP = 0.5
"""Seconds, at most, for which they have run then."""

MIN_HOLD_UP, MAX_HOLD_UP = 0.05, 0.4
"""Seconds for which a process is held up."""


class RestartSoak(Soak):
    """One run with one seed."""

    grace_seconds = 8.0

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder)
        self.lost: list[str] = []
        self.site.stream_timeout = LONG_DEADLINE
        self.site.engines.events_by_body[LONG_BODY] = LONG_EVENTS
        self._long: set[str] = set()
        self._stream_rng = random.Random(f"{seed} streams")

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
        self._check_end(self.call_records[-1], DEADLINE_SECONDS)

    def _expected_events(self, request_id: str) -> int:
        long = request_id in self._long
        return LONG_EVENTS if long else super()._expected_events(request_id)

    async def _stream_twice(self, process: EntryProcess) -> None:
        """Send two long streams on a connection, the second as soon as the first is complete."""
        caller = HttpCaller()
        model = self._stream_rng.choice([SMALL, LARGE])
        headers = {"Model": model, "Token-Counts": "100,200", "Prompt-Prefix": "ab:100"}
        for _ in range(2):
            self._request_number += 1
            request_id = f"r{self._request_number}"
            self._long.add(request_id)
            record = await self._ask(
                caller,
                process,
                request_id,
                "/read/x",
                self._keys[-1],
                headers,
                LONG_BODY,
                LONG_DEADLINE,
            )
            self.call_records.append(record)
            self._check_end(record, LONG_DEADLINE)
        caller.close()

    def _check_end(self, record: CallRecord, deadline: float) -> None:
        """Record what is wrong with the end of a request, if anything is."""
        problem = self._problem(record, monotonic() - record.sent_at, deadline)
        if problem:
            self.lost.append(f"{record.request_id} at {record.entry} {problem}")

    def _problem(self, record: CallRecord, took: float, deadline: float) -> str:
        """Return what is wrong with the end of a request, empty if nothing is."""
        if record.status and record.ended:
            return ""
        if record.numbers:
            return f"was cut off after {len(record.numbers)} events"
        if any(record.request_id in t.ran for t in self.site.targets):
            return "ran and got no answer"
        if ARRIVED_SECONDS < took < deadline:
            since = took + record.sent_at - record.sent
            return f"got no answer in {took:.3f} s, {since:.3f} s after it began"
        return ""

    def _fault_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        return [self._terminate_held_up, self._terminate_held_up, self._hold_up, *self._changes()]

    def _changes(self) -> list[Callable[[], Awaitable[None]]]:
        return [self._hang_up, self._remove_key]

    async def _terminate_held_up(self) -> None:
        """Terminate a process, and hold it up about the time at which it stops listening.

        Long streams run on kept connections as it is terminated.
        """
        process = self._random_process()
        streams = [asyncio.create_task(self._stream_twice(process)) for _ in range(LONG_STREAMS)]
        await asyncio.sleep(self._stream_rng.uniform(0.0, MAX_RUN_UP))
        process.exit_expected = True
        process.signal(signal.SIGTERM)
        await asyncio.sleep(LISTENING_SECONDS - self._rng.uniform(0.0, MAX_HOLD_UP))
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(MIN_HOLD_UP, MAX_HOLD_UP))
        process.signal(signal.SIGCONT)
        await asyncio.gather(*streams)

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
