"""Fuzzes the sharing of stated rate limits in virtual time, and checks it with an oracle.

Each target states a rate limit for all entry hosts together, and changes and withdraws it. Entry
hosts send requests, each with its own tracker of the limits. Answers and datagrams are late or
lost, and hosts learn of each other with a delay. Hosts restart, freeze, or are partitioned from
each other and the store while they still reach the targets. The simulation knows what each target
stated to which host, and counts the requests that each target receives.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

from oleanderhill.routing.target_limits import MIN_RATE, CallKind, LimitUpdate, TargetLimits

STEP = 0.02
"""Seconds of virtual time in a step."""

SECONDS = 60.0
"""Length of a run in virtual seconds."""

WINDOW = 4.0
"""Seconds of the window in which the requests at a target are counted."""

PROPAGATION_SECONDS = 0.5
"""Seconds after which a limit stated to one entry host must be known to all connected hosts."""

RECOVERY_SECONDS = 3.0
"""Seconds after a fault for which the requests of an entry host are not counted."""

UPDATE_INTERVAL = 0.05
"""Seconds between two updates of an entry host to its peers."""

PEER_TIMEOUT = 1.0
"""Seconds without an update after which an entry host is considered to have no peers."""

MEMBERSHIP_DELAY = (0.3, 3.6)
"""Seconds, at least and at most, until an entry host learns that another has joined or left.

The maximum is the time of a lease and until the next read of the store.
"""

MAX_END_DELAY = 15.0
"""Seconds within which the end of a limit must be known.

A target whose limit is near zero is probed only every four seconds.
"""


class StatedRate(NamedTuple):
    """The rate limit that a target states from a time on; ``None`` for no limit."""

    at: float
    rate: float | None


class SentRequest(NamedTuple):
    """A request that reached a target.

    :param exempt: whether the entry host had a fault and the request is not counted
    """

    at: float
    host: int
    exempt: bool


class Violations(NamedTuple):
    """Violations that a run shows; all lists of a correct run are empty.

    :param over_limit: target, start of the window, number of requests and number allowed
    :param under_used: target, start of the period and fraction of the limit that was used
    :param stale: target and entry host that still applies a limit which has ended
    """

    over_limit: list[tuple[int, float, int, float]]
    under_used: list[tuple[int, float, float]]
    stale: list[tuple[int, int]]


class Simulation:
    """One run with one seed.

    :param demand: requests per second at each entry host; together they exceed all limits
    :param faults: whether entry hosts restart, freeze and are partitioned
    :param idle_period: start and end of a period without requests, after which all hosts send again
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 8,
        targets: int = 4,
        demand: float = 4.0,
        faults: bool = False,
        idle_period: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self._rng = random.Random(seed)
        self._demand = demand
        self._faults = faults
        self._idle_period = idle_period
        self._names = [f"entry-{n}" for n in range(hosts)]
        self._limits = [TargetLimits(name) for name in self._names]
        self._views = [tuple(self._names) for _ in range(hosts)]
        self._peer_update_at = [0.0] * hosts
        self._down_until = [0.0] * hosts
        self._frozen_until = [0.0] * hosts
        self._partitioned_until = [0.0] * hosts
        self._exempt_until = [0.0] * hosts
        self._statements = [self._draw_statements() for _ in range(targets)]
        self._sent: list[list[SentRequest]] = [[] for _ in range(targets)]
        self._first_stated_at: list[float | None] = [None] * targets
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self._now = 0.0

    def run(self) -> Violations:
        """Run to the end and return the violations."""
        next_update_at = 0.0
        while self._now < SECONDS:
            self._now += STEP
            due = [call for at, call in self._scheduled if at <= self._now]
            self._scheduled = [(at, call) for at, call in self._scheduled if at > self._now]
            for call in due:
                call()
            if self._faults and self._rng.random() < STEP / 4:
                self._inject_fault()
            if self._now >= next_update_at:
                next_update_at += UPDATE_INTERVAL
                self._send_updates()
            self._generate_requests()
        return Violations(self._find_over_limit(), self._find_under_used(), self._find_stale())

    def _draw_statements(self) -> list[StatedRate]:
        """Draw the limits that a target states over time; the last target never states one."""
        statements, at = [StatedRate(0.0, None)], self._rng.uniform(2.0, 6.0)
        while at < SECONDS - 30.0:
            rate = self._rng.choice((None, 0.0, 0.3, 1.0, 1.2, 3.0, 6.0))
            statements.append(StatedRate(at, rate and rate * self._rng.uniform(0.9, 1.1)))
            at += self._rng.uniform(8.0, 16.0)
        statements.append(StatedRate(at, None))
        return statements

    def _stated_rate(self, target: int, at: float) -> float | None:
        if target == len(self._statements) - 1:
            return None
        return [s for s in self._statements[target] if s.at <= at][-1].rate

    def _is_running(self, host: int) -> bool:
        return self._now >= self._down_until[host] and self._now >= self._frozen_until[host]

    # Faults

    def _inject_fault(self) -> None:
        host = self._rng.randrange(len(self._names))
        seconds = self._rng.uniform(1.0, 6.0)
        match self._rng.choice(("restart", "freeze", "partition")):
            case "restart":
                self._limits[host] = TargetLimits(self._names[host])
                self._down_until[host] = self._now + seconds
                self._schedule_view_updates()
                self._call_later(seconds, self._schedule_view_updates)
            case "freeze":
                self._frozen_until[host] = self._now + seconds
            case "partition":
                self._partitioned_until[host] = self._now + seconds
                self._schedule_view_updates()
                self._call_later(seconds, self._schedule_view_updates)
        self._exempt_until[host] = self._now + seconds + RECOVERY_SECONDS

    def _schedule_view_updates(self) -> None:
        """Schedule the update of each host's view of the others, each with its own delay."""
        for host in range(len(self._names)):
            self._call_later(self._rng.uniform(*MEMBERSHIP_DELAY), partial(self._update_view, host))

    def _update_view(self, host: int) -> None:
        if self._now < self._partitioned_until[host]:
            return
        self._views[host] = tuple(
            name
            for number, name in enumerate(self._names)
            if self._now >= max(self._down_until[number], self._partitioned_until[number])
        )

    def _call_later(self, seconds: float, call: Callable[[], None]) -> None:
        self._scheduled.append((self._now + seconds, call))

    # Entry hosts

    def _send_updates(self) -> None:
        for host, limits in enumerate(self._limits):
            if not self._is_running(host):
                continue
            has_peers = self._now - self._peer_update_at[host] < PEER_TIMEOUT
            limits.update_hosts(self._views[host], has_peers, self._now)
            updates = limits.pending_updates(self._now)
            for other in range(len(self._limits)):
                partitioned = self._now < max(
                    self._partitioned_until[host], self._partitioned_until[other]
                )
                if other == host or partitioned or self._rng.random() < 0.1:
                    continue
                if self._is_running(other):
                    self._peer_update_at[other] = self._now
                if updates:
                    self._call_later(
                        self._rng.uniform(0.0, 0.15), partial(self._deliver, other, updates)
                    )

    def _deliver(self, host: int, updates: Sequence[LimitUpdate]) -> None:
        if self._is_running(host):
            for update in updates:
                self._limits[host].apply_peer_update(update, lambda incarnation: True, self._now)

    def _generate_requests(self) -> None:
        if self._idle_period[0] <= self._now < self._idle_period[1]:
            return
        for host, limits in enumerate(self._limits):
            if not self._is_running(host) or self._rng.random() >= self._demand * STEP:
                continue
            incarnations = [str(t) for t in range(len(self._statements))]
            limited = [t for t in incarnations if limits.is_limited((t,))]
            sendable = [t for t in limited if limits.may_send((t,), self._now)]
            unlimited = [t for t in incarnations if t not in limited]
            chosen = self._rng.choice(sendable or unlimited)
            self._call_later(0.01, partial(self._send, host, chosen))

    def _send(self, host: int, incarnation: str) -> None:
        """Send a request, unless a limit learned since the choice of the target forbids it."""
        limits = self._limits[host]
        if not self._is_running(host) or limits.take((incarnation,), self._now) is None:
            return
        target, sent_at = int(incarnation), self._now
        exempt = sent_at < self._exempt_until[host]
        self._sent[target].append(SentRequest(sent_at, host, exempt))
        header_delay = self._rng.uniform(0.01, 0.4)
        answer_delay = header_delay + (
            self._rng.uniform(0.0, 2.0) if self._rng.random() < 0.2 else 0.0
        )
        rate = self._stated_rate(target, sent_at + header_delay)
        self._call_later(
            answer_delay, partial(self._on_answer, host, limits, incarnation, rate, sent_at)
        )

    def _on_answer(
        self, host: int, limits: TargetLimits, incarnation: str, rate: float | None, sent_at: float
    ) -> None:
        if not self._is_running(host) or limits is not self._limits[host]:
            return
        if rate is not None and self._first_stated_at[int(incarnation)] is None:
            self._first_stated_at[int(incarnation)] = self._now
        limits.answered(incarnation, rate, CallKind.REQUEST, sent_at, self._now)

    # Oracle

    def _find_over_limit(self) -> list[tuple[int, float, int, float]]:
        """Return windows with more requests than allowed, once all hosts must know the limit."""
        violations = []
        for target, sends in enumerate(self._sent):
            stated_at = self._first_stated_at[target]
            counted = [
                s.at
                for s in sends
                if stated_at and s.at > stated_at + PROPAGATION_SECONDS and not s.exempt
            ]
            for start in counted:
                rates = self._rates_between(target, start - 2.0, start + WINDOW)
                if None in rates:
                    continue
                allowed = 1.5 * max(r for r in rates if r is not None) * WINDOW + 5
                count = sum(start <= at < start + WINDOW for at in counted)
                if count > allowed:
                    violations.append((target, start, count, allowed))
        return violations

    def _rates_between(self, target: int, begin: float, end: float) -> list[float | None]:
        """Return the rates that a target states in a period."""
        within = [s.rate for s in self._statements[target] if begin < s.at < end]
        return [self._stated_rate(target, begin), *within]

    def _find_under_used(self) -> list[tuple[int, float, float]]:
        """Return periods of a constant limit in which less than half of the limit was used."""
        violations = []
        for target, statements in enumerate(self._statements[:-1]):
            for before, current, after in zip(
                statements, statements[1:], statements[2:], strict=False
            ):
                begin, end = current.at + _max_probe_delay(before.rate), after.at
                if (
                    not current.rate
                    or self._faults
                    or any(self._idle_period)
                    or current.rate * (end - begin) < 4
                ):
                    continue
                used = sum(begin <= s.at < end for s in self._sent[target])
                expected = current.rate * (end - begin)
                # One request may fall just outside the period.
                if used + 1 < expected / 2:
                    violations.append((target, begin, round(used / expected, 2)))
        return violations

    def _find_stale(self) -> list[tuple[int, int]]:
        """Return targets and entry hosts that apply a limit long after it has ended."""
        ended = [s[-1].at < SECONDS - MAX_END_DELAY for s in self._statements]
        return [
            (target, host)
            for target in range(len(self._statements) - 1)
            for host, limits in enumerate(self._limits)
            if ended[target] and self._now > self._exempt_until[host]
            if limits.is_limited((str(target),))
        ]


def _max_probe_delay(rate: float | None) -> float:
    """Return the seconds within which a target must have been probed again at a rate."""
    return 3.0 if rate is None else 3.0 + 2 / max(rate, MIN_RATE)


def has_violations(violations: Violations) -> bool:
    """Return whether a run shows any violation."""
    return any(violations)


def simulate(seed: int) -> Violations:
    """Run a seed; it selects a small fleet, one with faults, or a larger one, in turn."""
    idle_period = (0.0, 0.0) if seed % 3 else (15.0, 25.0)
    match seed % 4:
        case 0:
            return Simulation(seed, idle_period=idle_period).run()
        case 1 | 2:
            hosts = random.Random(seed).choice((2, 3, 8, 12))
            return Simulation(seed, hosts, faults=True, idle_period=idle_period).run()
    return Simulation(
        seed, hosts=40, demand=1.0, faults=seed % 8 == 3, idle_period=idle_period
    ).run()


def main(first: int, count: int) -> int:
    """Run seeds and return the exit code."""
    failed = 0
    for seed in range(first, first + count):
        violations = simulate(seed)
        if has_violations(violations):
            failed += 1
            print(f"seed {seed}: {violations}")
    print(f"{count} runs, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
