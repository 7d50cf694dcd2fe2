"""Fuzzes the quarantine of crash-causing requests in virtual time, and checks it with an oracle.

Several entry hosts, each with its own crash tracker, send requests to targets that run a batch
each. Some requests crash every target that starts them. Targets also crash by themselves, and
connections are lost without a crash. Checks of a target, datagrams and the list of targets are late
or lost, and entry hosts restart without state. The simulation knows which requests cause crashes,
and checks that the trackers quarantine these soon and no others.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from oleanderhill.routing.crash_news import EndingNews
from oleanderhill.routing.crash_verdicts import MIN_CRASHES
from oleanderhill.routing.crashes import CrashTracker

STEP = 0.02
"""Seconds of virtual time in a step."""

SECONDS = 40.0
"""Length of a run in virtual seconds."""

CRASH_DELAY = 0.1
"""Seconds from the start of a crash-causing request to the crash of the target."""

REQUEST_SECONDS = 1.0
"""Seconds that any other request runs."""

RESTART_SECONDS = 3.0
"""Seconds after a crash until the target accepts requests again."""

LIST_DELAY = 3.6
"""Seconds, at least, after a crash until the list of targets shows that the incarnation ended."""

DETECTION_SECONDS = 3.0
"""Seconds within which an entry host must reject a crash-causing request.

They count from the start of the host or from the crash that suffices to identify the request,
whichever is later.
"""

MAX_LATE_SENDS = 3
"""Sends of a crash-causing request that are allowed later, by all entry hosts together."""


class Run(NamedTuple):
    """A request that runs at a target.

    :param placements: targets that the entry host has sent it to, including this one
    :param retries: earlier attempts of the caller
    """

    identity: str
    host: int
    target: int
    started_at: float
    ends_at: float
    placements: int
    retries: int


class Observations(NamedTuple):
    """Observations of a run.

    :param crashes: number of crashes caused, by request
    :param late_sends: sends by entry hosts that should have rejected the request, by request
    :param false_positives: requests that cause no crash and were quarantined
    :param quarantined: all requests that were quarantined
    """

    crashes: Counter[str]
    late_sends: Counter[str]
    false_positives: set[str]
    quarantined: set[str]


class Simulation:
    """One run with one seed.

    :cvar identifying_crashes: crashes by one cause after which its requests must soon be rejected

    :param crash_causing: number of crash-causing requests
    :param crash_series: whether most targets crash by themselves within one period of 1.5 seconds
    """

    identifying_crashes = MIN_CRASHES

    def __init__(
        self,
        seed: int,
        hosts: int = 5,
        targets: int = 8,
        crash_causing: int = 2,
        crash_series: bool = False,
    ) -> None:
        self._rng = random.Random(seed)
        self._crash_series = crash_series
        self._trackers = [CrashTracker() for _ in range(hosts)]
        self._started_at = [-DETECTION_SECONDS] * hosts
        self._incarnation = dict.fromkeys(range(targets), 0)
        self._down_until = dict.fromkeys(range(targets), 0.0)
        self._crash_causing = [f"culprit-{n}" for n in range(crash_causing)]
        self._runs: list[Run] = []
        self._scheduled: list[tuple[float, Callable[[float], None]]] = []
        self._request_count = 0
        self._now = 0.0
        self._identified_at: dict[str, float] = {}
        self.observed = Observations(Counter(), Counter(), set(), set())

    def run(self) -> Observations:
        """Run to the end."""
        rng = self._rng
        for identity in self._crash_causing:
            self._schedule(rng.uniform(1, 8), lambda now, i=identity: self._send_repeatedly(i))  # type: ignore[misc]
        series_at = rng.uniform(5, SECONDS - 5) if self._crash_series else SECONDS
        while self._now < SECONDS:
            self._now += STEP
            for tracker in self._trackers:
                tracker.targets = len(self._running_targets())
            due = [d for d in self._scheduled if d[0] <= self._now]
            self._scheduled = [d for d in self._scheduled if d[0] > self._now]
            for _, call in due:
                call(self._now)
            self._advance_requests()
            if rng.random() < 40 * STEP:
                self._request_count += 1
                self._send(
                    f"innocent-{self._request_count}", rng.randrange(len(self._trackers)), 0, 0, ()
                )
            self._inject_faults(series_at)
            if round(self._now / STEP) % 5 == 0:
                self._judge()
                self._send_updates(resend=round(self._now / STEP) % 100 == 0)
        return self.observed

    def _schedule(self, at: float, call: Callable[[float], None]) -> None:
        self._scheduled.append((at, call))

    def _send_repeatedly(self, identity: str) -> None:
        self._send(identity, self._rng.randrange(len(self._trackers)), 0, 0, ())
        self._schedule(
            self._now + self._rng.uniform(0.3, 4), lambda now: self._send_repeatedly(identity)
        )

    def _incarnation_of(self, target: int) -> str:
        return f"t{target}.{self._incarnation[target]}"

    def _running_targets(self) -> list[int]:
        return [t for t, until in self._down_until.items() if until <= self._now]

    def _send(
        self, identity: str, host: int, placements: int, retries: int, tried: tuple[int, ...]
    ) -> None:
        tracker, subjects = self._trackers[host], (identity, *self._parts(identity))
        if any(tracker.quarantined(s) is not None for s in subjects):
            self._rejected(identity)
            return
        hold_seconds = max(tracker.hold(s, self._now) for s in subjects)
        if hold_seconds and not placements and not retries:
            self._schedule(
                self._now + hold_seconds, lambda now: self._send(identity, host, 0, 1, ())
            )
        if hold_seconds:
            return
        available = [t for t in self._running_targets() if t not in tried]
        if not available:
            return
        load = Counter(r.target for r in self._runs)
        least_loaded = min(available, key=lambda t: (load[t], self._rng.random()))
        target = self._rng.choice(available) if tracker.loss_count(identity) else least_loaded
        cause = self._cause(identity)
        seconds = REQUEST_SECONDS if cause is None else CRASH_DELAY
        identified_at = self._identified_at.get(cause or "", float("inf"))
        if self._now > max(identified_at, self._started_at[host]) + DETECTION_SECONDS:
            self.observed.late_sends[cause or ""] += 1
        self._runs.append(
            Run(identity, host, target, self._now, self._now + seconds, placements + 1, retries)
        )

    def _advance_requests(self) -> None:
        for run in [r for r in self._runs if r.ends_at <= self._now]:
            if run not in self._runs:
                continue
            if self._cause(run.identity) is not None:
                self._crash(run.target)
                continue
            self._runs.remove(run)
            _, quarantined = self._trackers[run.host].answered(run.identity, self._now)
            self._record_quarantined(quarantined)
        for run in self._runs:
            if self._cause(run.identity) is None:
                self._trackers[run.host].record_sign_of_life(
                    self._incarnation_of(run.target), self._now
                )

    def _crash(self, target: int) -> None:
        """Crash a target, so that all its requests are lost."""
        incarnation, rng = self._incarnation_of(target), self._rng
        lost = [r for r in self._runs if r.target == target]
        self._runs = [r for r in self._runs if r.target != target]
        self._incarnation[target] += 1
        self._down_until[target] = self._now + RESTART_SECONDS
        for cause in {c for r in lost if (c := self._cause(r.identity)) is not None}:
            self.observed.crashes[cause] += 1
            if self.observed.crashes[cause] == self.identifying_crashes:
                self._identified_at[cause] = self._now
        for run in lost:
            self._lose_request(run, incarnation)
        for host in {r.host for r in lost}:
            if rng.random() < 0.8:
                self._schedule(self._now + 0.06, lambda now, h=host: self._on_ended(h, incarnation))  # type: ignore[misc]
        for host in range(len(self._trackers)):
            delay = LIST_DELAY + rng.uniform(0, 0.7)
            self._schedule(self._now + delay, lambda now, h=host: self._on_ended(h, incarnation))  # type: ignore[misc]

    def _lose_request(self, run: Run, incarnation: str) -> None:
        rng = self._rng
        ran_for = self._now - run.started_at
        self._trackers[run.host].lost(
            run.identity, incarnation, ran_for, self._now, self._accused_parts(run)
        )
        if run.placements < 2:
            self._send(run.identity, run.host, run.placements, run.retries, (run.target,))
        elif run.retries < 1:
            host = rng.randrange(len(self._trackers))
            retry_at = self._now + rng.uniform(0.01, 0.5)
            self._schedule(
                retry_at, lambda now: self._send(run.identity, host, 0, run.retries + 1, ())
            )

    def _alive_check(self, host: int, target: int, incarnation: str) -> Callable[[float], None]:
        def check(now: float) -> None:
            if self._incarnation_of(target) == incarnation:
                self._trackers[host].record_sign_of_life(incarnation, now, asked=True)

        return check

    def _on_ended(self, host: int, incarnation: str) -> None:
        self._record_quarantined(self._trackers[host].confirm_ended(incarnation, self._now))

    def _record_quarantined(self, quarantined: list[str]) -> None:
        self.observed.quarantined.update(quarantined)
        self.observed.false_positives.update(c for c in quarantined if not self._is_guilty(c))

    def _cause(self, identity: str) -> str | None:
        """Return what crashes the targets that run a request, ``None`` for nothing."""
        return identity if identity in self._crash_causing else None

    def _is_guilty(self, subject: str) -> bool:
        return subject in self._crash_causing

    def _parts(self, identity: str) -> tuple[str, ...]:
        """Return the shared parts of the prompt of a request."""
        return ()

    def _accused_parts(self, run: Run) -> tuple[str, ...]:
        """Return the parts of a lost request that may have crashed the target."""
        return ()

    def _rejected(self, identity: str) -> None:
        """Handle that a request is quarantined."""

    def _inject_faults(self, series_at: float) -> None:
        rng = self._rng
        if rng.random() < 0.2 * STEP and self._running_targets():
            self._crash(rng.choice(self._running_targets()))
        if (
            series_at <= self._now < series_at + 1.5
            and rng.random() < 3 * STEP
            and self._running_targets()
        ):
            self._crash(rng.choice(self._running_targets()))
        if rng.random() < 0.3 * STEP:
            target = rng.choice(list(self._incarnation))
            lost = [r for r in self._runs if r.target == target]
            self._runs = [r for r in self._runs if r.target != target]
            for run in lost:
                self._lose_request(run, self._incarnation_of(target))
                if rng.random() < 0.8:
                    self._schedule(
                        self._now + 0.06,
                        self._alive_check(run.host, target, self._incarnation_of(target)),
                    )
        if rng.random() < 0.05 * STEP:
            host = rng.randrange(len(self._trackers))
            self._trackers[host] = CrashTracker()
            self._started_at[host] = self._now
            self._runs = [r for r in self._runs if r.host != host]
        for tracker in self._trackers:
            tracker.forget(self._now)

    def _judge(self) -> None:
        for tracker in self._trackers:
            self._record_quarantined(tracker.judge_parts(self._now))

    def _send_updates(self, resend: bool) -> None:
        for sender, tracker in enumerate(self._trackers):
            for update in tracker.pending_updates(str(sender), self._now, resend):
                for host in range(len(self._trackers)):
                    if host != sender and self._rng.random() < 0.9:
                        self._schedule(
                            self._now + STEP,
                            lambda now, h=host, u=update: self._deliver(h, u),  # type: ignore[misc]
                        )

    def _deliver(self, host: int, update: EndingNews) -> None:
        self._record_quarantined(self._trackers[host].apply_peer_update(update, self._now))


def violations(observed: Observations) -> list[str]:
    """Return a message for each violation that a run shows."""
    late = [
        f"{i} sent {n} times after it should have been quarantined"
        for i, n in observed.late_sends.items()
        if n > MAX_LATE_SENDS
    ]
    return [
        *late,
        *(
            f"{i} quarantined, although it causes no crash"
            for i in sorted(observed.false_positives)
        ),
    ]


def simulate(seed: int, crash_series: bool = False) -> Observations:
    """Run a seed, which also sets the numbers of hosts, targets and crash-causing requests."""
    hosts, targets = (3, 5, 9)[seed % 3], (4, 8, 14)[seed // 3 % 3]
    return Simulation(seed, hosts, targets, seed % 4, crash_series).run()


def main() -> int:
    """Run the seeds given on the command line as ``FIRST COUNT``; return the exit code."""
    first, count = (int(a) for a in (sys.argv[1:] or ["0", "20"])[:2])
    failed = 0
    for seed in range(first, first + count):
        messages = violations(simulate(seed))
        failed += bool(messages)
        for line in messages:
            print(f"endings: seed={seed} {line}", flush=True)
    print(f"endings: seeds={count} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
