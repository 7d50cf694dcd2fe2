"""Rate limits that targets name for all entry hosts together, and this host's share of each.

A target in need names the requests a second that it takes from everybody. Nobody asks before a
request is sent, so the limit is split beforehand: a few entry hosts, the same in every host's view,
share it equally, and the others send elsewhere. Each sends its requests a whole period apart, so
that in a window all of them together exceed the limit by one request each at most.

What a target says is a statement with a version. Entry hosts tell each other theirs; the highest
version holds. A statement that loosens a limit, or ends it, is believed only from an answer to a
request that was sent after the last naming: of two answers the older may arrive later.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ..ownership import rendezvous

LEAST_RATE = 0.25
"""Requests a second at which a target is asked that takes fewer or none: one to which nothing is
sent can't say that its need is over."""

SHARERS = 3
"""Entry hosts that share a limit near zero. Each may send one request more than its share in a
window, so this and :data:`SHARERS_BY_RATE` bound the excess."""

SHARERS_BY_RATE = 2.0
"""Further entry hosts that share a limit, for each request a second."""

TAKE_OVER_WAIT = 4.0
"""Seconds that a host waits that takes another's share: the one before it may have just sent."""

REPEATED_FOR = 0.5
"""Seconds for which a new statement is told with each report; datagrams may be lost."""

AGAIN_EVERY = 0.5
"""Seconds between two tellings of all statements, to those that started or were cut off."""

TIGHTENED = 0.5
"""Part of the last rate below which a new one is taken like the first: each host waits its turn.
Done at every change, a rate that shrinks little by little would keep all waiting."""

UNREADABLE_RATE = 0.5
"""Requests a second for a limit that can't be read: some need was named."""

STATEMENTS_KEPT = 2_000

MOST_VERSIONS = 2**40
"""Highest version that is believed; no target changes its limit so often."""

PART_STATEMENTS = 18
"""Statements in one datagram: with names of 32 letters it fits into one frame."""


class Asked(StrEnum):
    """What an answer was the answer to."""

    REQUEST = "request"
    CONTROL = "control"
    """An order or a probe."""


class Statement(NamedTuple):
    """What a target says of its limit.

    :param rate: requests a second from all entry hosts, ``None`` for no limit
    :param asked: what named it; one named in an answer to a request ends by such an answer only
    """

    version: int
    rate: float | None
    asked: Asked = Asked.REQUEST


class LimitNews(msgspec.Struct, tag="limits"):
    """Statements that one entry host tells others, by the target's life."""

    sender: str
    statements: dict[str, Statement]


class LimitChange(NamedTuple):
    """A statement that took the place of another."""

    life: str
    before: float | None
    rate: float | None
    version: int


class Taken(NamedTuple):
    """What a request takes of one limit.

    :param version: of the statement in force
    :param free_before: when the host's next request could have been sent without it
    """

    version: int
    free_before: float


class Permit(NamedTuple):
    """Leave to send one request to a group of lives, the first of which takes it."""

    lives: Sequence[str]
    taken_by_life: Mapping[str, Taken]


class _Held:
    """What is known of one target, and this host's share of it."""

    def __init__(self, statement: Statement, now: float) -> None:
        self.statement = statement
        self.changed_at = now
        self.named_at = now
        self.free_at = now
        self.sharers: tuple[str, ...] = ()


class TargetLimits:
    """The limits that targets named, and when this host may send to them.

    :param me: name of this entry host
    """

    def __init__(self, me: str = "") -> None:
        self._me = me
        self._held_by_life: dict[str, _Held] = {}
        self._hosts: Collection[str] = (me,)
        self._in_touch = True
        self._told_at = float("-inf")
        self.sent = 0
        self.held_back = 0

    @property
    def known(self) -> bool:
        """Tell whether any target has named a limit."""
        return bool(self._held_by_life)

    @property
    def rate_by_life(self) -> Mapping[str, float]:
        """Return the limits in force, in requests a second, by the life that named them."""
        rates = {life: held.statement.rate for life, held in self._held_by_life.items()}
        return {life: rate for life, rate in rates.items() if rate is not None}

    @property
    def share(self) -> float:
        """Return the requests a second that this host may send to limited targets."""
        lives = self.rate_by_life
        return sum(
            1 / _period(h) for h in map(self._held_by_life.__getitem__, lives) if self._shares(h)
        )

    def sharers(self, life: str) -> Sequence[str]:
        """Return the entry hosts that share a life's limit, in the order of their first turns."""
        held = self._held_by_life.get(life)
        return () if held is None else held.sharers

    # What targets and peers say

    def answered(
        self, life: str, rate: float | None, asked: Asked, asked_at: float, now: float
    ) -> LimitChange | None:
        """Take what an answer says of its target's limit.

        :param rate: named in it, ``None`` where none is
        :param asked_at: when the request that it answers was sent
        :return: the change that it makes
        """
        held = self._held_by_life.get(life)
        known = None if held is None else held.statement.rate
        if held is None and rate is None:
            return None
        if held is not None and rate == known:
            if rate is not None:
                held.named_at = now
                held.statement = held.statement._replace(asked=_stronger(held.statement, asked))
            return None
        if held is not None and _loosens(rate, known):
            conclusive = asked == Asked.REQUEST or held.statement.asked == Asked.CONTROL
            if not conclusive or asked_at < held.named_at:
                return None
        version = 1 if held is None else held.statement.version + 1
        return self._state(life, Statement(version, rate, asked), now)

    def hear(self, news: LimitNews, listed: Callable[[str], bool], now: float) -> list[LimitChange]:
        """Take what another entry host tells; return what it changed.

        :param listed: tells whether a life is known; others may still tell of one that is over
        """
        changes = []
        for life, statement in news.statements.items():
            held = self._held_by_life.get(life)
            if not _is_sound(statement) or not _is_newer(statement, held) or not listed(life):
                continue
            changes.append(self._state(life, statement, now))
        return changes

    def news(self, now: float) -> list[LimitNews]:
        """Return what to tell the other entry hosts now."""
        again = now - self._told_at >= AGAIN_EVERY
        if again:
            self._told_at = now
        told = [
            (life, held.statement)
            for life, held in self._held_by_life.items()
            if again or now - held.changed_at < REPEATED_FOR
        ]
        return [
            LimitNews(self._me, dict(told[first : first + PART_STATEMENTS]))
            for first in range(0, len(told), PART_STATEMENTS)
        ]

    def forget(self, life: str) -> None:
        """Drop what a life said that is over."""
        self._held_by_life.pop(life, None)

    def reach(self, hosts: Collection[str], in_touch: bool, now: float) -> None:
        """Take note of who shares the limits.

        :param hosts: the entry hosts that are there, by name
        :param in_touch: this host hears some of them; one that doesn't takes no share, as it can't
            know who sends in its place
        """
        self._in_touch = in_touch
        if hosts is self._hosts:
            return
        self._hosts = hosts
        # A host that has just come is told at once.
        self._told_at = float("-inf")
        for life, held in self._held_by_life.items():
            before = held.sharers
            held.sharers = self._sharers(life, held.statement.rate)
            if self._me in held.sharers and self._me not in before:
                held.free_at = max(held.free_at, now + TAKE_OVER_WAIT)

    # What may be sent

    def may_send(self, lives: Sequence[str], now: float) -> bool:
        """Tell whether a request may go now to a group of lives, the first of which takes it."""
        binding = self._binding(lives).values()
        return all(self._shares(held) and now >= held.free_at for held in binding)

    def take(self, lives: Sequence[str], now: float) -> Permit | None:
        """Take leave to send one request, ``None`` where there is none now."""
        if not self.may_send(lives, now):
            self.held_back += 1
            return None
        taken = {}
        for life, held in self._binding(lives).items():
            taken[life] = Taken(held.statement.version, held.free_at)
            held.free_at = now + _period(held)
            self.sent += 1
        return Permit(lives, taken)

    def confirm(self, permit: Permit, now: float) -> bool:
        """Tell whether the first byte may leave now; what was said since the choice counts."""
        version_by_life = {k: h.statement.version for k, h in self._binding(permit.lives).items()}
        if version_by_life == {k: t.version for k, t in permit.taken_by_life.items()}:
            return True
        self.give_back(permit)
        return self.take(permit.lives, now) is not None

    def give_back(self, permit: Permit) -> None:
        """Return a permit with which nothing was sent."""
        for life, taken in permit.taken_by_life.items():
            held = self._held_by_life.get(life)
            if held is not None and taken.version == held.statement.version:
                held.free_at = taken.free_before
                self.sent -= 1

    def spend(self, life: str, now: float) -> None:
        """Count what goes to a target without leave, as an order does."""
        held = self._held_by_life.get(life)
        if held is not None and held.statement.rate is not None:
            held.free_at = max(held.free_at, now) + _period(held)

    def is_limited(self, lives: Sequence[str]) -> bool:
        """Tell whether a group of lives takes a limited number of requests."""
        return bool(self._binding(lives))

    def rate(self, lives: Sequence[str]) -> float | None:
        """Return the requests a second that a group of lives takes, ``None`` for no limit."""
        return min(map(_asked_at_least, self._binding(lives).values()), default=None)

    def to_ask(self, lives: Sequence[str]) -> list[str]:
        """Return members of a group that get no requests, and whose limit this host asks after."""
        others = lives[1:]
        bound = self._binding(lives).items()
        return [life for life, h in bound if life in others and h.sharers[:1] == (self._me,)]

    def _binding(self, lives: Sequence[str]) -> Mapping[str, _Held]:
        """Return the limits that bind a group of lives, by life.

        A member that gets no requests itself binds the group by what it says in answers to orders
        and probes: every request passes through it, and probes will tell the end.
        """
        if not self._held_by_life:
            return {}
        found = {}
        for rank, life in enumerate(lives):
            held = self._held_by_life.get(life)
            if held is None or held.statement.rate is None:
                continue
            if rank == 0 or held.statement.asked == Asked.CONTROL:
                found[life] = held
        return found

    def _shares(self, held: _Held) -> bool:
        return self._in_touch and self._me in held.sharers

    def _sharers(self, life: str, rate: float | None) -> tuple[str, ...]:
        if rate is None:
            return ()
        # A limit that no fleet can reach needs no more sharers than there are hosts.
        count = SHARERS + math.floor(SHARERS_BY_RATE * min(rate, len(self._hosts)))
        return rendezvous(f"limit/{life}", self._hosts, count)

    def _state(self, life: str, statement: Statement, now: float) -> LimitChange:
        held = self._held_by_life.pop(life, None) or _Held(Statement(0, None), now)
        before, period = held.statement.rate, _period(held)
        held.statement, held.changed_at, held.named_at = statement, now, now
        held.sharers = self._sharers(life, statement.rate)
        self._held_by_life[life] = held
        self._bound()
        if statement.rate is not None and self._me in held.sharers:
            wait = max(0.0, held.free_at - now)
            if before is not None:
                wait *= _period(held) / period
            if before is None or statement.rate < before * TIGHTENED:
                # One after the other: what was sent before the news counts for the new limit too.
                turn = held.sharers.index(self._me) + 1
                wait = max(wait, turn / _asked_at_least(held))
            held.free_at = now + wait
        return LimitChange(life, before, statement.rate, statement.version)

    def _bound(self) -> None:
        """Drop the statement that has stood for longest, one that ended before one that holds."""
        if len(self._held_by_life) <= STATEMENTS_KEPT:
            return
        ended = (k for k, h in self._held_by_life.items() if h.statement.rate is None)
        del self._held_by_life[next(ended, next(iter(self._held_by_life)))]


def _asked_at_least(held: _Held) -> float:
    return max(LEAST_RATE, held.statement.rate or 0.0)


def _period(held: _Held) -> float:
    """Return the seconds between two requests of each host that shares a limit."""
    return max(1, len(held.sharers)) / _asked_at_least(held)


def _loosens(rate: float | None, known: float | None) -> bool:
    """Tell whether a rate allows more than the one known."""
    return known is not None and (rate is None or rate > known)


def _stronger(statement: Statement, asked: Asked) -> Asked:
    return Asked.REQUEST if Asked.REQUEST in (statement.asked, asked) else Asked.CONTROL


def _is_sound(statement: Statement) -> bool:
    """Tell whether a statement can come from an entry host; anybody may send datagrams."""
    rate_is_sound = statement.rate is None or 0.0 <= statement.rate < math.inf
    return rate_is_sound and 0 < statement.version <= MOST_VERSIONS


def _is_newer(statement: Statement, held: _Held | None) -> bool:
    """Tell whether a peer's statement takes the place of the one held; of two with one version
    the tighter does."""
    if held is None:
        return True
    if statement.version != held.statement.version:
        return statement.version > held.statement.version
    return _loosens(held.statement.rate, statement.rate)
