"""Targets that name limits for all entry hosts together, played in virtual time against an oracle.

Entry hosts, each with its own account of limits, send requests to targets that name a limit, change
it and withdraw it. Answers and datagrams are late or lost, the hosts learn late who else is there,
and they restart, freeze or are cut off from each other and the store while they reach the targets.
The play knows what each target said to whom, and counts what it gets.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

from oleanderhill.routing.target_limits import MIN_RATE, CallKind, LimitUpdate, TargetLimits

STEP = 0.02
SECONDS = 60.0
WINDOW = 4.0
NEWS_TAKES = 0.5
"""Seconds after which what one entry host was told counts as told to all that hear each other."""

SETTLED = 3.0
"""Seconds after a fault for which an entry host is excused."""

TOLD_EVERY = 0.05
SILENT_AFTER = 1.0
LEARNED_AFTER = (0.3, 3.6)
"""Seconds after which an entry host knows that another has come or gone: a lease, and a reading."""

END_KNOWN_WITHIN = 15.0
"""Seconds after which the end of a limit is known: a target near zero is asked every four."""


class Said(NamedTuple):
    """A target's limit from a time on, ``None`` for none."""

    at: float
    rate: float | None


class Sent(NamedTuple):
    """A request that reached a target."""

    at: float
    host: int
    excused: bool


class Found(NamedTuple):
    """What a play showed; empty lists are as it should be.

    :param flooded: target, time, requests and what was allowed
    :param unused: target, time, part of the limit that was used
    :param stranded: target and entry host that still holds a limit which ended
    """

    flooded: list[tuple[int, float, int, float]]
    unused: list[tuple[int, float, float]]
    stranded: list[tuple[int, int]]


class Play:
    """One play with one seed.

    :param demand: requests a second at each entry host, of all more than all limits allow
    :param faults: entry hosts restart, freeze and are cut off
    :param lull: begin and end of a time without requests, after which all come at once
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 8,
        targets: int = 4,
        demand: float = 4.0,
        faults: bool = False,
        lull: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self._rng = random.Random(seed)
        self._demand = demand
        self._faults = faults
        self._lull = lull
        self._names = [f"entry-{n}" for n in range(hosts)]
        self._accounts = [TargetLimits(name) for name in self._names]
        self._views = [tuple(self._names) for _ in range(hosts)]
        self._heard_at = [0.0] * hosts
        self._down_until = [0.0] * hosts
        self._frozen_until = [0.0] * hosts
        self._cut_until = [0.0] * hosts
        self._excused_until = [0.0] * hosts
        self._said = [self._script() for _ in range(targets)]
        self._sent: list[list[Sent]] = [[] for _ in range(targets)]
        self._told_at: list[float | None] = [None] * targets
        self._later: list[tuple[float, Callable[[], None]]] = []
        self._now = 0.0

    def run(self) -> Found:
        """Play and judge."""
        next_tick = 0.0
        while self._now < SECONDS:
            self._now += STEP
            due = [call for at, call in self._later if at <= self._now]
            self._later = [(at, call) for at, call in self._later if at > self._now]
            for call in due:
                call()
            if self._faults and self._rng.random() < STEP / 4:
                self._fault()
            if self._now >= next_tick:
                next_tick += TOLD_EVERY
                self._tell()
            self._ask()
        return Found(self._flooded(), self._unused(), self._stranded())

    def _script(self) -> list[Said]:
        """Return what a target says over time; one of them never names a limit."""
        said, at = [Said(0.0, None)], self._rng.uniform(2.0, 6.0)
        while at < SECONDS - 30.0:
            rate = self._rng.choice((None, 0.0, 0.3, 1.0, 1.2, 3.0, 6.0))
            said.append(Said(at, rate and rate * self._rng.uniform(0.9, 1.1)))
            at += self._rng.uniform(8.0, 16.0)
        said.append(Said(at, None))
        return said

    def _says(self, target: int, at: float) -> float | None:
        if target == len(self._said) - 1:
            return None
        return [s for s in self._said[target] if s.at <= at][-1].rate

    def _up(self, host: int) -> bool:
        return self._now >= self._down_until[host] and self._now >= self._frozen_until[host]

    # What goes wrong

    def _fault(self) -> None:
        host = self._rng.randrange(len(self._names))
        seconds = self._rng.uniform(1.0, 6.0)
        match self._rng.choice(("restart", "freeze", "cut")):
            case "restart":
                self._accounts[host] = TargetLimits(self._names[host])
                self._down_until[host] = self._now + seconds
                self._change_views()
                self._do_later(seconds, self._change_views)
            case "freeze":
                self._frozen_until[host] = self._now + seconds
            case "cut":
                self._cut_until[host] = self._now + seconds
                self._change_views()
                self._do_later(seconds, self._change_views)
        self._excused_until[host] = self._now + seconds + SETTLED

    def _change_views(self) -> None:
        """Let all learn, each in its time, who is there."""
        for host in range(len(self._names)):
            self._do_later(self._rng.uniform(*LEARNED_AFTER), partial(self._look, host))

    def _look(self, host: int) -> None:
        if self._now < self._cut_until[host]:
            return
        self._views[host] = tuple(
            name
            for number, name in enumerate(self._names)
            if self._now >= max(self._down_until[number], self._cut_until[number])
        )

    def _do_later(self, seconds: float, call: Callable[[], None]) -> None:
        self._later.append((self._now + seconds, call))

    # What the entry hosts do

    def _tell(self) -> None:
        for host, account in enumerate(self._accounts):
            if not self._up(host):
                continue
            has_peers = self._now - self._heard_at[host] < SILENT_AFTER
            account.update_hosts(self._views[host], has_peers, self._now)
            news = account.pending_updates(self._now)
            for other in range(len(self._accounts)):
                apart = self._now < max(self._cut_until[host], self._cut_until[other])
                if other == host or apart or self._rng.random() < 0.1:
                    continue
                if self._up(other):
                    self._heard_at[other] = self._now
                if news:
                    self._do_later(self._rng.uniform(0.0, 0.15), partial(self._hear, other, news))

    def _hear(self, host: int, news: Sequence[LimitUpdate]) -> None:
        if self._up(host):
            for part in news:
                self._accounts[host].apply_peer_update(part, lambda life: True, self._now)

    def _ask(self) -> None:
        if self._lull[0] <= self._now < self._lull[1]:
            return
        for host, account in enumerate(self._accounts):
            if not self._up(host) or self._rng.random() >= self._demand * STEP:
                continue
            lives = [str(t) for t in range(len(self._said))]
            limited = [t for t in lives if account.is_limited((t,))]
            turn = [t for t in limited if account.may_send((t,), self._now)]
            free = [t for t in lives if t not in limited]
            chosen = self._rng.choice(turn or free)
            self._do_later(0.01, partial(self._send, host, chosen))

    def _send(self, host: int, life: str) -> None:
        """Send a request, unless something was said of its target since that was chosen."""
        account = self._accounts[host]
        if not self._up(host) or account.take((life,), self._now) is None:
            return
        target, sent = int(life), self._now
        excused = sent < self._excused_until[host]
        self._sent[target].append(Sent(sent, host, excused))
        head = self._rng.uniform(0.01, 0.4)
        answered = head + (self._rng.uniform(0.0, 2.0) if self._rng.random() < 0.2 else 0.0)
        said = self._says(target, sent + head)
        self._do_later(answered, partial(self._answered, host, account, life, said, sent))

    def _answered(
        self, host: int, account: TargetLimits, life: str, said: float | None, sent: float
    ) -> None:
        if not self._up(host) or account is not self._accounts[host]:
            return
        if said is not None and self._told_at[int(life)] is None:
            self._told_at[int(life)] = self._now
        account.answered(life, said, CallKind.REQUEST, sent, self._now)

    # What the oracle makes of it

    def _flooded(self) -> list[tuple[int, float, int, float]]:
        """Return windows with more than allowed, from the moment at which all were told."""
        found = []
        for target, sends in enumerate(self._sent):
            told = self._told_at[target]
            counted = [s.at for s in sends if told and s.at > told + NEWS_TAKES and not s.excused]
            for start in counted:
                rates = self._rates(target, start - 2.0, start + WINDOW)
                if None in rates:
                    continue
                allowed = 1.5 * max(r for r in rates if r is not None) * WINDOW + 5
                count = sum(start <= at < start + WINDOW for at in counted)
                if count > allowed:
                    found.append((target, start, count, allowed))
        return found

    def _rates(self, target: int, begin: float, end: float) -> list[float | None]:
        """Return what a target says in a time."""
        within = [s.rate for s in self._said[target] if begin < s.at < end]
        return [self._says(target, begin), *within]

    def _unused(self) -> list[tuple[int, float, float]]:
        """Return steady times in which less than half of a limit was used."""
        found = []
        for target, script in enumerate(self._said[:-1]):
            for before, said, after in zip(script, script[1:], script[2:], strict=False):
                begin, end = said.at + _asked_within(before.rate), after.at
                if (
                    not said.rate
                    or self._faults
                    or any(self._lull)
                    or said.rate * (end - begin) < 4
                ):
                    continue
                used = sum(begin <= s.at < end for s in self._sent[target])
                owed = said.rate * (end - begin)
                # A whole request may lie just beyond an edge of the time.
                if used + 1 < owed / 2:
                    found.append((target, begin, round(used / owed, 2)))
        return found

    def _stranded(self) -> list[tuple[int, int]]:
        ended = [s[-1].at < SECONDS - END_KNOWN_WITHIN for s in self._said]
        return [
            (target, host)
            for target in range(len(self._said) - 1)
            for host, account in enumerate(self._accounts)
            if ended[target] and self._now > self._excused_until[host]
            if account.is_limited((str(target),))
        ]


def _asked_within(rate: float | None) -> float:
    """Return the seconds within which a target must have been asked again at a rate."""
    return 3.0 if rate is None else 3.0 + 2 / max(rate, MIN_RATE)


def broken(found: Found) -> bool:
    """Tell whether a play broke a promise."""
    return any(found)


def play(seed: int) -> Found:
    """Play a seed: by turns small fleets, small ones with faults, and a larger one."""
    lull = (0.0, 0.0) if seed % 3 else (15.0, 25.0)
    match seed % 4:
        case 0:
            return Play(seed, lull=lull).run()
        case 1 | 2:
            hosts = random.Random(seed).choice((2, 3, 8, 12))
            return Play(seed, hosts, faults=True, lull=lull).run()
    return Play(seed, hosts=40, demand=1.0, faults=seed % 8 == 3, lull=lull).run()


def main(first: int, count: int) -> int:
    """Play seeds and return the exit code."""
    bad = 0
    for seed in range(first, first + count):
        found = play(seed)
        if broken(found):
            bad += 1
            print(f"seed {seed}: {found}")
    print(f"{count} plays, {bad} broken")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
