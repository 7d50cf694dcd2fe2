"""Requests that end targets, beside others, played in virtual time against an oracle.

Several entry hosts, each with its own account of endings, send requests to targets that run a batch
each. Some requests end whoever begins them; targets also end by themselves; connections are lost
without an end; looks at a target, datagrams and the list are late or lost; entry hosts restart and
know nothing. The play knows who is poison, and checks what the accounts make of it.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from oleanderhill.routing.crashes import MIN_CRASHES, CrashTracker, EndingNews

STEP = 0.02
SECONDS = 40.0
ENDS_AFTER = 0.1
RUNS = 1.0
BACK_AFTER = 3.0
LIST_LATE = 3.6
SETTLED = 3.0
"""Seconds after its start, or after an ending, from which on an entry host must know."""

MORE = 3
"""Sends of a culprit that are allowed then, by all entry hosts together."""


class Run(NamedTuple):
    """A request at a target."""

    identity: str
    host: int
    target: int
    began: float
    ends: float
    places: int
    tries: int


class Found(NamedTuple):
    """What a play showed.

    :param ended: endings by culprit, and further sends by entry hosts that must have known
    :param wronged: requests that end nobody and were quarantined
    """

    ended: Counter[str]
    further: Counter[str]
    wronged: set[str]
    quarantined: set[str]


class Play:
    """One play with one seed.

    :param rows: once, most targets end by themselves within a second and a half
    """

    def __init__(
        self, seed: int, hosts: int = 5, targets: int = 8, culprits: int = 2, rows: bool = False
    ) -> None:
        self._rng = random.Random(seed)
        self._rows = rows
        self._books = [CrashTracker() for _ in range(hosts)]
        self._up_since = [-SETTLED] * hosts
        self._life = dict.fromkeys(range(targets), 0)
        self._down_until = dict.fromkeys(range(targets), 0.0)
        self._culprits = [f"culprit-{n}" for n in range(culprits)]
        self._runs: list[Run] = []
        self._later: list[tuple[float, Callable[[float], None]]] = []
        self._number = 0
        self._now = 0.0
        self._third_at: dict[str, float] = {}
        self.found = Found(Counter(), Counter(), set(), set())

    def run(self) -> Found:
        """Play to the end."""
        rng = self._rng
        for culprit in self._culprits:
            self._at(rng.uniform(1, 8), lambda now, c=culprit: self._comes_again(c))  # type: ignore[misc]
        rows_at = rng.uniform(5, SECONDS - 5) if self._rows else SECONDS
        while self._now < SECONDS:
            self._now += STEP
            for book in self._books:
                book.targets = len(self._up())
            due = [d for d in self._later if d[0] <= self._now]
            self._later = [d for d in self._later if d[0] > self._now]
            for _, what in due:
                what(self._now)
            self._go_on()
            if rng.random() < 40 * STEP:
                self._number += 1
                self._send(f"innocent-{self._number}", rng.randrange(len(self._books)), 0, 0, ())
            self._misfortunes(rows_at)
            if round(self._now / STEP) % 5 == 0:
                self._gossip(again=round(self._now / STEP) % 100 == 0)
        return self.found

    def _at(self, at: float, what: Callable[[float], None]) -> None:
        self._later.append((at, what))

    def _comes_again(self, identity: str) -> None:
        self._send(identity, self._rng.randrange(len(self._books)), 0, 0, ())
        self._at(self._now + self._rng.uniform(0.3, 4), lambda now: self._comes_again(identity))

    def _life_of(self, target: int) -> str:
        return f"t{target}.{self._life[target]}"

    def _up(self) -> list[int]:
        return [t for t, until in self._down_until.items() if until <= self._now]

    def _send(
        self, identity: str, host: int, places: int, tries: int, tried: tuple[int, ...]
    ) -> None:
        book = self._books[host]
        if book.quarantined(identity) is not None:
            return
        wait = book.hold(identity, self._now)
        if wait and not places and not tries:
            self._at(self._now + wait, lambda now: self._send(identity, host, 0, 1, ()))
        if wait:
            return
        left = [t for t in self._up() if t not in tried]
        if not left:
            return
        load = Counter(r.target for r in self._runs)
        least = min(left, key=lambda t: (load[t], self._rng.random()))
        target = self._rng.choice(left) if book.loss_count(identity) else least
        seconds = ENDS_AFTER if identity in self._culprits else RUNS
        known = self._third_at.get(identity, float("inf"))
        if self._now > max(known, self._up_since[host]) + SETTLED:
            self.found.further[identity] += 1
        self._runs.append(
            Run(identity, host, target, self._now, self._now + seconds, places + 1, tries)
        )

    def _go_on(self) -> None:
        for run in [r for r in self._runs if r.ends <= self._now]:
            if run not in self._runs:
                continue
            if run.identity in self._culprits:
                self._end(run.target)
                continue
            self._runs.remove(run)
            _, quarantined = self._books[run.host].answered(run.identity, self._now)
            self._take(quarantined)
        for run in self._runs:
            if run.identity not in self._culprits:
                self._books[run.host].record_sign_of_life(self._life_of(run.target), self._now)

    def _end(self, target: int) -> None:
        """Let a target end, and everything in flight be lost."""
        life, rng = self._life_of(target), self._rng
        lost = [r for r in self._runs if r.target == target]
        self._runs = [r for r in self._runs if r.target != target]
        self._life[target] += 1
        self._down_until[target] = self._now + BACK_AFTER
        for culprit in {r.identity for r in lost} & set(self._culprits):
            self.found.ended[culprit] += 1
            if self.found.ended[culprit] == MIN_CRASHES:
                self._third_at[culprit] = self._now
        for run in lost:
            self._lose(run, life)
        for host in {r.host for r in lost}:
            if rng.random() < 0.8:
                self._at(self._now + 0.06, lambda now, h=host: self._over(h, life))  # type: ignore[misc]
        for host in range(len(self._books)):
            late = LIST_LATE + rng.uniform(0, 0.7)
            self._at(self._now + late, lambda now, h=host: self._over(h, life))  # type: ignore[misc]

    def _lose(self, run: Run, life: str) -> None:
        rng = self._rng
        self._books[run.host].lost(run.identity, life, self._now - run.began, self._now)
        if run.places < 2:
            self._send(run.identity, run.host, run.places, run.tries, (run.target,))
        elif run.tries < 1:
            host = rng.randrange(len(self._books))
            again = self._now + rng.uniform(0.01, 0.5)
            self._at(again, lambda now: self._send(run.identity, host, 0, run.tries + 1, ()))

    def _look(self, host: int, target: int, life: str) -> Callable[[float], None]:
        def look(now: float) -> None:
            if self._life_of(target) == life:
                self._books[host].record_sign_of_life(life, now, asked=True)

        return look

    def _over(self, host: int, life: str) -> None:
        self._take(self._books[host].confirm_ended(life, self._now))

    def _take(self, quarantined: list[str]) -> None:
        self.found.quarantined.update(quarantined)
        self.found.wronged.update(c for c in quarantined if c not in self._culprits)

    def _misfortunes(self, rows_at: float) -> None:
        rng = self._rng
        if rng.random() < 0.2 * STEP and self._up():
            self._end(rng.choice(self._up()))
        if rows_at <= self._now < rows_at + 1.5 and rng.random() < 3 * STEP and self._up():
            self._end(rng.choice(self._up()))
        if rng.random() < 0.3 * STEP:
            target = rng.choice(list(self._life))
            gone = [r for r in self._runs if r.target == target]
            self._runs = [r for r in self._runs if r.target != target]
            for run in gone:
                self._lose(run, self._life_of(target))
                if rng.random() < 0.8:
                    self._at(self._now + 0.06, self._look(run.host, target, self._life_of(target)))
        if rng.random() < 0.05 * STEP:
            host = rng.randrange(len(self._books))
            self._books[host] = CrashTracker()
            self._up_since[host] = self._now
            self._runs = [r for r in self._runs if r.host != host]
        for book in self._books:
            book.forget(self._now)

    def _gossip(self, again: bool) -> None:
        for sender, book in enumerate(self._books):
            for part in book.pending_updates(str(sender), self._now, again):
                for host in range(len(self._books)):
                    if host != sender and self._rng.random() < 0.9:
                        self._at(self._now + STEP, lambda now, h=host, p=part: self._hear(h, p))  # type: ignore[misc]

    def _hear(self, host: int, news: EndingNews) -> None:
        self._take(self._books[host].apply_peer_update(news, self._now))


def broken(found: Found) -> list[str]:
    """Return what a play shows that must not be."""
    late = [f"{i} sent {n} times more" for i, n in found.further.items() if n > MORE]
    return [*late, *(f"{i} quarantined, and ended nobody" for i in sorted(found.wronged))]


def play(seed: int, rows: bool = False) -> Found:
    """Play a seed, which also draws how many hosts, targets and culprits there are."""
    hosts, targets = (3, 5, 9)[seed % 3], (4, 8, 14)[seed // 3 % 3]
    return Play(seed, hosts, targets, seed % 4, rows).run()


def main() -> int:
    """Play the seeds named on the command line, ``FIRST COUNT``, and return the exit code."""
    first, count = (int(a) for a in (sys.argv[1:] or ["0", "20"])[:2])
    failed = 0
    for seed in range(first, first + count):
        found = broken(play(seed))
        failed += bool(found)
        for line in found:
            print(f"endings: seed={seed} {line}", flush=True)
    print(f"endings: seeds={count} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
