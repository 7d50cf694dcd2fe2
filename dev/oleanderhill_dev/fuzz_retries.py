"""Fuzzes the shared retry budget in virtual time, and checks it with an oracle.

Several entry hosts receive requests and take as many retries as their budgets allow, all of them
or some at a time. Their processes are killed and start again without memory, hosts are frozen, and
groups of hosts are cut off from each other for a while. Links to targets hold back what is sent for
seconds; what a process sent is lost with it. Counts of peers are late or lost. The oracle knows all
requests and when retries arrive, and checks that no window has more of these than the bound.
"""

from __future__ import annotations

import random
import sys
from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from typing import NamedTuple

from oleanderhill.serving.retries import Retry, RetryCount, SharedRetryBudget, sum_counts

STEP = 0.05
"""Seconds of virtual time in a step, the interval of the reports."""

SECONDS = 40.0
"""Length of a run in virtual seconds."""

RATIO, SLACK, WINDOW = 0.2, 134.0, 10.0

REQUESTS_PER_SECOND = 80.0

RESTART_SECONDS = 1.0
"""Seconds from the end of a process to the start of the next one."""

MAX_LAG_STEPS = 6
"""Largest age of a peer's count, in steps."""

MAX_UNLISTED_SECONDS = 15.0
"""Longest time until a new process learns of the others."""

LOSS_SHARE = 0.1
"""Share of the reports that is lost."""


class Event(NamedTuple):
    """A fault, or its end.

    :param hosts: numbers of the hosts that it concerns
    """

    at: float
    kind: str
    hosts: tuple[int, ...]


class Breach(NamedTuple):
    """A window with more retries than allowed, by its end."""

    until: float
    retries: int
    allowed: float


class _Host:
    def __init__(self, number: int) -> None:
        self.number = number
        self.budget: SharedRetryBudget | None = None
        self.starts_at = 0.0
        self.started_at = 0.0
        self.frozen = False
        self.side = 0
        self.paused_for = 0.0
        self.sent: list[tuple[RetryCount, int]] = []
        self.held_back = False
        self.on_the_way: list[Retry] = []


class Simulation:
    """One run with one seed.

    :param hosts: number of entry hosts
    :param summed: whether counts arrive as one sum over all reachable peers, as in large fleets,
        and not from each peer
    :param known_hosts: number of hosts that a new process knows of at its start, ``None`` for all
    :param discovery_seconds: seconds until it reads the list of hosts and exchanges counts
    :param listing_seconds: seconds from then until the list has all hosts
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 8,
        summed: bool = False,
        known_hosts: int | None = None,
        discovery_seconds: float = 0.0,
        listing_seconds: float = 0.0,
    ) -> None:
        self._rng = random.Random(seed)
        self._summed = summed
        self._known_hosts = known_hosts or hosts
        self._lag = self._rng.randint(0, MAX_LAG_STEPS)
        self._discovery_seconds = discovery_seconds
        self._listing_seconds = listing_seconds
        self._hosts = [_Host(number) for number in range(hosts)]
        self._now = 0.0
        self.requested_at: list[float] = []
        self.retried_at: list[float] = []

    def run(self, events: Sequence[Event], greedy: Sequence[tuple[float, tuple[int, ...]]]) -> None:
        """Run to the end.

        :param greedy: from which time on which hosts take all retries that they may
        """
        pending = sorted(events)
        while self._now < SECONDS:
            while pending and pending[0].at <= self._now:
                self._apply(pending.pop(0))
            for host in self._hosts:
                if host.budget is None and self._now >= host.starts_at:
                    self._start(host)
            self._exchange()
            self._receive_requests()
            taking = [hosts for at, hosts in greedy if at <= self._now][-1:]
            for host in self._hosts:
                if taking and host.number in taking[0]:
                    self._retry(host)
            self._now += STEP
            for host in self._hosts:
                host.paused_for += STEP if host.frozen else 0.0

    def breaches(self) -> list[Breach]:
        """Return the windows that exceed the bound."""
        found = []
        self.retried_at.sort()
        for until in self.retried_at:
            retries = self._count(self.retried_at, until)
            requests = max(self._count(self.requested_at, until - WINDOW * n / 2) for n in range(3))
            allowed = RATIO * requests + SLACK
            if retries > allowed:
                found.append(Breach(round(until, 2), retries, allowed))
        return found

    def _count(self, times: Sequence[float], until: float) -> int:
        return bisect_right(times, until + 1e-9) - bisect_left(times, until - WINDOW - 1e-9)

    def _start(self, host: _Host) -> None:
        host.budget = SharedRetryBudget(
            RATIO, SLACK, WINDOW, self._clock(host), has_predecessor=self._now > 0.0
        )
        host.budget.hosts = self._known_hosts
        host.started_at = self._now
        host.sent = []

    def _apply(self, event: Event) -> None:
        for number in event.hosts:
            host = self._hosts[number]
            match event.kind:
                case "kill":
                    host.budget, host.starts_at = None, self._now + RESTART_SECONDS
                    host.on_the_way = []
                case "freeze":
                    host.frozen = True
                case "wake":
                    host.frozen = False
                case "cut":
                    host.side = 1
                case "isolate":
                    host.side = 2 + number
                case "heal":
                    host.side = 0
                case "hold":
                    host.held_back = True
                case "release":
                    host.held_back = False
                    for retry in host.on_the_way:
                        self._arrive(host, retry)
                    host.on_the_way = []

    def _exchange(self) -> None:
        """Deliver counts; hosts that run and are on the same side receive each other's."""
        running = [h for h in self._hosts if h.budget is not None and not h.frozen]
        listed = [h for h in running if self._now - h.started_at >= self._discovery_seconds]
        for host in running:
            assert host.budget is not None
            now = self._clock(host)
            host.sent.append((host.budget.own(now), host.budget.borrowed(now)))
        for host in running:
            assert host.budget is not None
            now = self._clock(host)
            if host not in listed:
                continue
            since_start = self._now - host.started_at
            if since_start >= self._discovery_seconds + self._listing_seconds:
                host.budget.hosts = len(self._hosts)
            host.budget.listed_since = min(host.budget.listed_since, now)
            peers = [h for h in listed if h is not host and h.side == host.side]
            counts = [(h, h.sent[max(0, len(h.sent) - 1 - self._lag)]) for h in peers]
            if not self._summed:
                for peer, (count, borrowed) in counts:
                    if self._rng.random() > LOSS_SHARE:
                        name = f"{peer.number}/0"
                        host.budget.apply_peer_update(name, count, self._clock(host), borrowed)
            elif counts and self._rng.random() > LOSS_SHARE:
                total = sum_counts(count for _, (count, _) in counts)
                borrowed = sum(b for _, (_, b) in counts)
                host.budget.apply_peer_update("total/0", total, self._clock(host), borrowed)

    def _receive_requests(self) -> None:
        whole, part = divmod(REQUESTS_PER_SECOND * STEP, 1.0)
        for _ in range(int(whole) + (self._rng.random() < part)):
            # A request to a host that is down is still one that a caller sent.
            self.requested_at.append(self._now)
            host = self._rng.choice(self._hosts)
            if host.budget is not None and not host.frozen:
                host.budget.record_request(self._clock(host))

    def _retry(self, host: _Host) -> None:
        if host.budget is None or host.frozen:
            return
        while retry := host.budget.begin(self._clock(host)):
            if host.held_back:
                host.on_the_way.append(retry)
            else:
                self._arrive(host, retry)

    def _arrive(self, host: _Host, retry: Retry) -> None:
        self.retried_at.append(self._now)
        if host.budget is not None:
            host.budget.end(retry, self._clock(host))

    def _clock(self, host: _Host) -> float:
        """Return a host's steady clock, which stands still while the host is frozen."""
        return self._now - host.paused_for


def random_events(rng: random.Random, hosts: int) -> list[Event]:
    """Return overlapping faults."""
    events = []
    for _ in range(rng.randint(1, 6)):
        at = rng.uniform(1.0, SECONDS - 5.0)
        seconds = rng.uniform(1.0, 8.0)
        chosen = tuple(rng.sample(range(hosts), rng.randint(1, hosts)))
        kind = rng.choice(("kill", "freeze", "cut", "isolate"))
        events.append(Event(at, kind, chosen))
        if kind != "kill":
            events.append(Event(at + seconds, "wake" if kind == "freeze" else "heal", chosen))
    return events


def random_holds(rng: random.Random, hosts: int) -> list[Event]:
    """Return links to targets that hold back what is sent, for up to a whole window."""
    events: list[Event] = []
    at = 1.0
    while at < SECONDS - 5.0:
        chosen = tuple(rng.sample(range(hosts), rng.randint(1, hosts)))
        until = at + rng.uniform(0.5, WINDOW)
        events += [Event(at, "hold", chosen), Event(until, "release", tuple(range(hosts)))]
        at = until + rng.uniform(0.1, 4.0)
    return events


def random_greed(rng: random.Random, hosts: int) -> list[tuple[float, tuple[int, ...]]]:
    """Return which hosts take all retries that they may, from which time on."""
    found, at = [], 0.0
    while at < SECONDS:
        chosen = rng.sample(range(hosts), rng.randint(0, hosts))
        found.append((at, tuple(sorted(chosen))))
        at += rng.uniform(0.5, 6.0)
    return found


def play(seed: int, held_back: bool = False, unlisted: bool = False) -> list[Breach]:
    """Return the breaches of one random run.

    :param held_back: whether links to targets hold back what is sent as well
    :param unlisted: whether processes learn of the others as late as after a long outage of the
        store
    """
    rng = random.Random(f"{seed} faults")
    hosts = rng.randint(2, 30)
    known_hosts, discovery_seconds = rng.choice((1, hosts)), rng.choice((0.0, 1.0))
    if unlisted:
        known_hosts = 1
        discovery_seconds = random.Random(f"{seed} unlisted").uniform(1.0, MAX_UNLISTED_SECONDS)
    simulation = Simulation(
        seed,
        hosts,
        summed=hosts > 12,
        known_hosts=known_hosts,
        discovery_seconds=discovery_seconds,
    )
    events, greed = random_events(rng, hosts), random_greed(rng, hosts)
    if held_back:
        events += random_holds(rng, hosts)
    simulation.run(events, greed)
    return simulation.breaches()


def main() -> int:
    """Play random runs, each in three variants: the first seed and their number."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    broken = 0
    for seed in range(first, first + count):
        found = play(seed) + play(seed, held_back=True) + play(seed, unlisted=True)
        broken += bool(found)
        if found:
            print(f"seed {seed}: {len(found)} windows, the worst {max(found, key=_excess)}")
    print(f"{broken} of {count} broken")
    return 1 if broken else 0


def _excess(breach: Breach) -> float:
    return breach.retries - breach.allowed


if __name__ == "__main__":
    sys.exit(main())
