"""Fuzzes the quarantine of crash-causing parts of prompts in virtual time, against an oracle.

The world is that of :mod:`.fuzz_endings`. Each request has its own content and a prompt whose first
part is one of many, some popular and some rare; others have a second part as well. Each target that
begins to write an answer on a crash-causing part crashes. At times several targets crash at the
same moment.
"""

from __future__ import annotations

import random
import sys

from oleanderhill.routing.crash_verdicts import CERTAIN_CRASHES
from oleanderhill.routing.identity import part_identities, scope

from .fuzz_endings import STEP, Observations, Run, Simulation, violations

WRITING_AFTER = 0.12
"""Seconds from the start of a harmless request until it is being written."""

FIRST_PARTS = 60
REQUESTS_PER_SECOND = 40.0
GUILTY_PER_SECOND = 1.5

RACK_LOSSES_PER_SECOND = 0.04
RACK_TARGETS = 4

SERVICE, MODEL = "pool", "model"


def _part(name: str) -> str:
    return part_identities(SERVICE, MODEL, (name,))[0]


class PartSimulation(Simulation):
    """One run with one seed.

    :param guilty: number of crash-causing parts
    :param first: whether these are first parts, which no harmless request contains, and not second
        ones, whose requests share their first part with harmless requests
    """

    identifying_crashes = CERTAIN_CRASHES

    def __init__(
        self, seed: int, hosts: int, targets: int, guilty: int, first: bool, crash_series: bool
    ) -> None:
        super().__init__(seed, hosts, targets, 0, crash_series)
        self._guilty = [_part(f"guilty-{n}") for n in range(guilty)]
        self._first = first
        self._parts_by_request: dict[str, tuple[str, ...]] = {}
        self._written: set[Run] = set()
        self.rejected_harmless = 0
        if guilty:
            self._schedule(self._rng.uniform(1, 5), self._send_guilty)

    def _send_guilty(self, now: float) -> None:
        rng = self._rng
        guilty = rng.choice(self._guilty)
        own = (guilty,) if self._first else (self._draw_first_part(), guilty)
        self._send_new(own)
        self._schedule(now + rng.expovariate(GUILTY_PER_SECOND), self._send_guilty)

    def _draw_first_part(self) -> str:
        return _part(f"first-{int(FIRST_PARTS * self._rng.random() ** 2)}")

    def _send_new(self, parts: tuple[str, ...]) -> None:
        self._request_count += 1
        identity = f"request-{self._request_count}"
        self._parts_by_request[identity] = parts
        self._send(identity, self._rng.randrange(len(self._trackers)), 0, 0, ())

    def _advance_requests(self) -> None:
        rng = self._rng
        if rng.random() < REQUESTS_PER_SECOND * STEP:
            parts = [self._draw_first_part()]
            if rng.random() < 0.3:
                parts.append(_part(f"second-{rng.randrange(200)}"))
            self._send_new(tuple(parts))
        for run in self._runs:
            harmless = self._cause(run.identity) is None
            if harmless and run not in self._written and self._is_written(run):
                self._written.add(run)
                tracker = self._trackers[run.host]
                tracker.scope_answered(scope(SERVICE, MODEL), self._now)
                tracker.parts_written(self._parts(run.identity), self._now)
        super()._advance_requests()
        self._written &= set(self._runs)

    def _is_written(self, run: Run) -> bool:
        return self._now - run.started_at >= WRITING_AFTER

    def _inject_faults(self, series_at: float) -> None:
        rng = self._rng
        if rng.random() < RACK_LOSSES_PER_SECOND * STEP:
            running = self._running_targets()
            for target in rng.sample(running, min(RACK_TARGETS, max(0, len(running) - 1))):
                self._crash(target)
        super()._inject_faults(series_at)

    def _cause(self, identity: str) -> str | None:
        return next((p for p in self._parts(identity) if p in self._guilty), None)

    def _is_guilty(self, subject: str) -> bool:
        return subject in self._guilty or self._cause(subject) is not None

    def _parts(self, identity: str) -> tuple[str, ...]:
        return self._parts_by_request.get(identity, ())

    def _accused_parts(self, run: Run) -> tuple[str, ...]:
        return () if self._is_written(run) else self._parts(run.identity)

    def _rejected(self, identity: str) -> None:
        self.rejected_harmless += self._cause(identity) is None


def simulate(seed: int, crash_series: bool = False) -> Observations:
    """Run a seed, which also sets the sizes and the number of crash-causing parts."""
    hosts, targets = (3, 5, 9)[seed % 3], (6, 10, 14)[seed // 3 % 3]
    rng = random.Random(f"{seed} parts")
    simulation = PartSimulation(
        seed, hosts, targets, rng.choice((0, 1, 1, 2)), rng.random() < 0.5, crash_series
    )
    return simulation.run()


def main() -> int:
    """Run the seeds given on the command line as ``FIRST COUNT``; return the exit code."""
    first, count = (int(a) for a in (sys.argv[1:] or ["0", "20"])[:2])
    failed = 0
    for seed in range(first, first + count):
        observed = simulate(seed)
        messages = violations(observed)
        failed += bool(messages)
        for line in messages:
            print(f"parts: seed={seed} {line}", flush=True)
    print(f"parts: seeds={count} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
