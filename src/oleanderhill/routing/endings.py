"""Which requests end the targets that run them: a pure account of endings and what was in flight.

A target that ends takes with it all that it was running, and each of these goes on elsewhere. If
one of them ended it, it ends the next one too, and the next, for as long as it comes again,
whatever id it has and whichever entry host takes it. So what is kept is kept by what a request asks
(:mod:`..requests.identity`), not by its id, and against the request, not only against the target.

An ending counts only when the life of the target is known to be over: nobody listens any more, or
the list says so. A lost connection alone is none. A request is quarantined when it was in flight at
:data:`ENOUGH` endings, and those of them that no other suspect explains are :data:`UNLIKELY` times
less likely by chance, at the rate at which targets end without it. Whoever got a whole answer since
is cleared; whoever was in flight at the same endings as another moved with it, and neither is
quarantined before they part.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple, TypeVar

import msgspec

from ..outcomes import Problem, Ran, ends_targets, held_back

_Value = TypeVar("_Value")

ENOUGH = 3
"""Endings under a request before which it is not quarantined. Two happen by chance to many when a
whole data centre is lost."""

UNLIKELY = 1_000_000
"""Times by which endings must be less likely by chance than by the request."""

SHORTEST_RUN = 0.1
"""Seconds that count for a run at least: what a shorter time shows depends on the way there."""

WATCHED_BEFORE = 1.0
"""Seconds before the first ending under a request from which on others count for the rate."""

SURELY = 5
"""Endings that quarantine it however many others there were. A caller tries twice at two targets,
so that one that only ran beside others is in flight at four at most."""

LIFE_PROVED_WITHIN = 15.0
"""Seconds after a loss within which the life must be known to be over. The list drops a host after
three silent heartbeats, 3.6 s, and a store that was down shows it up to two seconds later."""

HOLD = 1.0
"""Seconds after a loss for which a request with :data:`ENOUGH` endings waits for the next try.
What it does then is known everywhere before the one after it, and nobody goes along: a try at a
time, five are enough for any, and a harmless one lost a second."""

REMEMBERED = 600.0
"""Seconds for which an ending counts, and for which a quarantined request is sent to nobody: the
longest lease of the store. After that one ending more quarantines it again."""

SIGN_AFTER = 0.3
"""Seconds after a loss from which on bytes from a life prove that it goes on; earlier ones may have
lain in a socket when it ended."""

ENDINGS_KEPT = 64
IN_FLIGHT_KEPT = 64
"""Requests kept for an ending; engines run 10 to 13 at once and queue a few."""

QUARANTINED_KEPT = 256
CLEARED_KEPT = 256
"""Bounds of what is kept, whatever arrives."""

REPEATED_FOR = 0.5
"""Seconds for which news is told with each report, five times: a datagram lost is no news lost."""

SPREAD_FOR = 10.0
"""Seconds for which endings and clearings are told again now and then, to those that were cut off
or overtaken for a moment."""

PART_IN_FLIGHT = 24
"""Requests of one ending in one datagram: with names of 32 letters the largest one had 1,117 bytes,
and fits into one frame."""

PART_QUARANTINED = 6
"""Quarantined requests in one datagram, each with up to five lives of some 25 letters."""


class Quarantined(NamedTuple):
    """A request that is sent to nobody any more.

    :param age: seconds since it was quarantined
    :param lives: lives of targets that ended under it
    """

    age: float
    lives: tuple[str, ...]


class EndingNews(msgspec.Struct, omit_defaults=True, tag="endings"):
    """What one entry host tells others: sums of sets, so that hearing it twice changes nothing.

    :param endings: by life, seconds since the loss, whether the life is known to be over, and the
        requests that were in flight, each with the seconds for which it was
    :param living: lives that were lost from somewhere and show signs of life, with the age of these
    :param cleared: requests that got a whole answer after a loss, with its age
    """

    sender: str
    endings: dict[str, tuple[float, bool, dict[str, float]]] = {}
    living: dict[str, float] = {}
    cleared: dict[str, float] = {}
    quarantined: dict[str, Quarantined] = {}


class _Ending:
    def __init__(self, at: float) -> None:
        self.at = at
        self.over = False
        self.in_flight: dict[str, float] = {}
        self.changed_at = at


class EndingBook:
    """The endings that this entry host has seen or heard of.

    ``targets`` is how many targets serve now: by it the rate of endings by chance is one for each.
    """

    def __init__(self) -> None:
        self.targets = 1
        self._judged = True
        self._suspected: set[str] = set()
        self._newly_suspected: list[str] = []
        self._ending_by_life: dict[str, _Ending] = {}
        self._cleared_at: dict[str, float] = {}
        self._living_at: dict[str, float] = {}
        self._quarantined_at: dict[str, float] = {}
        self._lives_by_quarantined: dict[str, tuple[str, ...]] = {}
        self._probation_until: dict[str, float] = {}

    # What is seen here

    def lost(self, identity: str, life: str, ran_for: float, now: float) -> bool:
        """Take note that a try was lost at a life; return whether that life is a new one.

        :param ran_for: seconds for which the try was there
        """
        new = life not in self._ending_by_life
        self._add(life, now, {identity: ran_for}, now)
        return new

    def over(self, life: str, now: float) -> list[str]:
        """Take note that a life is over; return who is quarantined by it.

        What was not lost there, or too long ago, does not count: a target may leave as planned.
        """
        ending = self._ending_by_life.get(life)
        if ending is None or ending.over or now - ending.at > LIFE_PROVED_WITHIN:
            return []
        ending.over, ending.changed_at = True, now
        self._judged = False
        return self._judge(now)

    def lives(self, life: str, now: float, asked: bool = False) -> bool:
        """Take a sign of life; return whether it takes an ending back.

        :param asked: it answers a question that was sent after the loss
        """
        ending = self._ending_by_life.get(life)
        if ending is None or (now - ending.at < SIGN_AFTER and not asked):
            return False
        del self._ending_by_life[life]
        _put(self._living_at, life, now, ENDINGS_KEPT)
        return True

    def answered(self, identity: str, now: float) -> tuple[bool, list[str]]:
        """Take note of a whole answer, which clears.

        :return: whether there was anything to say, and who is quarantined as it explains nothing
        """
        if not self.suspicion(identity) and identity not in self._quarantined_at:
            return False, []
        self._clear(identity, now)
        return True, self._judge(now)

    def quarantine(self, identity: str, lives: tuple[str, ...], at: float) -> bool:
        """Take over that a request is quarantined; return whether that is news.

        A clearing that came later than what it was quarantined for goes first.
        """
        if self._cleared_at.get(identity, float("-inf")) > at:
            return False
        news = identity not in self._quarantined_at
        if news:
            _put(self._quarantined_at, identity, at, QUARANTINED_KEPT)
            self._lives_by_quarantined[identity] = lives
            for gone in self._lives_by_quarantined.keys() - self._quarantined_at.keys():
                del self._lives_by_quarantined[gone]
        return news

    def recall(self, in_flight_by_life: Mapping[str, Mapping[str, float]], now: float) -> list[str]:
        """Take over endings that were known before this process; return who is quarantined.

        Their moments are not known any more; they count from now on.

        :param in_flight_by_life: what was in flight, and for how many seconds
        """
        for life, in_flight in in_flight_by_life.items():
            ending = self._add(life, now, in_flight, now)
            if ending is not None and not ending.over:
                ending.over, self._judged = True, False
        return self._judge(now)

    def take_suspected(self) -> list[str]:
        """Return who has come to :data:`ENOUGH` endings since this was last asked."""
        found, self._newly_suspected = self._newly_suspected, []
        return found

    def endings_of(self, identity: str) -> dict[str, dict[str, float]]:
        """Return the lives that ended under a request, each with all that were in flight."""
        return {
            life: dict(e.in_flight)
            for life, e in self._ending_by_life.items()
            if e.over and identity in e.in_flight
        }

    def release(self, identity: str, now: float) -> None:
        """Let a quarantined request be tried again, once: the time is over."""
        if self._quarantined_at.pop(identity, None) is None:
            return
        self._lives_by_quarantined.pop(identity, None)
        for ending in self._ending_by_life.values():
            ending.in_flight.pop(identity, None)
        _put(self._probation_until, identity, now + REMEMBERED, QUARANTINED_KEPT)

    # What is asked

    def quarantined(self, identity: str) -> tuple[str, ...] | None:
        """Return the lives that ended under a quarantined request, ``None`` for any other."""
        if identity not in self._quarantined_at:
            return None
        return self._lives_by_quarantined[identity]

    def problem(self, identity: str, now: float, ran: Ran) -> Problem | None:
        """Return why a request is not sent, ``None`` for one that may be.

        :param ran: whether it was run, as far as is known
        """
        lives = self.quarantined(identity)
        if lives is not None:
            return ends_targets(len(lives), ran)
        wait = self.hold(identity, now)
        return held_back(wait, ran) if wait else None

    def suspicion(self, identity: str) -> int:
        """Return how many losses a request was in flight at, also where no life is proved over."""
        return sum(identity in e.in_flight for e in self._ending_by_life.values())

    def hold(self, identity: str, now: float) -> float:
        """Return the seconds for which a request has to wait for its next try, 0 for none."""
        lost = [e for e in self._ending_by_life.values() if identity in e.in_flight]
        if sum(e.over for e in lost) < ENOUGH:
            return 0.0
        return max(0.0, HOLD - (now - max(e.at for e in lost)))

    @property
    def sizes(self) -> tuple[int, int]:
        """Return how many endings and quarantined requests are kept."""
        return len(self._ending_by_life), len(self._quarantined_at)

    # What entry hosts tell each other

    def news(self, sender: str, now: float, again: bool) -> list[EndingNews]:
        """Return what to tell, in parts that fit into a datagram each.

        :param again: tell also what was told before
        """
        within = SPREAD_FOR if again else REPEATED_FOR
        told = [(n, e) for n, e in self._ending_by_life.items() if now - e.changed_at <= within]
        parts = [
            EndingNews(sender, {life: (round(now - e.at, 3), e.over, chunk)})
            for life, e in told
            for chunk in _parts(e.in_flight)
            or [{}]  # nothing in flight any more: it counts for the rate
        ]
        ages = {i: round(now - at, 3) for i, at in self._cleared_at.items() if now - at <= within}
        living = {n: round(now - at, 3) for n, at in self._living_at.items() if now - at <= within}
        parts += [EndingNews(sender, cleared={i: ages[i] for i in c}) for c in _chunks([*ages])]
        parts += [EndingNews(sender, living={n: living[n] for n in c}) for c in _chunks([*living])]
        due = [i for i, at in self._quarantined_at.items() if again or now - at <= REPEATED_FOR]
        for chunk in _chunks(due, PART_QUARANTINED):
            rows = {i: self._quarantined_row(i, now) for i in chunk}
            parts.append(EndingNews(sender, quarantined=rows))
        return parts

    def hear(self, news: EndingNews, now: float) -> list[str]:
        """Take what a peer tells; return who is quarantined by it."""
        for identity, age in news.cleared.items():
            if now - age > self._cleared_at.get(identity, float("-inf")) + SIGN_AFTER:
                self._clear(identity, now - age)
        for life, age in news.living.items():
            if self.lives(life, now - age):
                self._living_at[life] = now - age
        found = [
            i
            for i, told in news.quarantined.items()
            if self.quarantine(i, told.lives, now - told.age)
        ]
        for life, (age, over, in_flight) in news.endings.items():
            ending = self._add(life, now - age, in_flight, now)
            if ending is not None and over and not ending.over:
                ending.over, ending.changed_at = True, now
                self._judged = False
        return [*found, *self._judge(now)]

    def forget(self, now: float) -> None:
        """Drop what is too old to count, and let those be tried again whose time is over."""
        for life, ending in list(self._ending_by_life.items()):
            if now - ending.at > (REMEMBERED if ending.over else LIFE_PROVED_WITHIN):
                del self._ending_by_life[life]
        for identity in [i for i, at in self._quarantined_at.items() if now - at > REMEMBERED]:
            self.release(identity, now)
        for table in (self._cleared_at, self._living_at, self._probation_until):
            for key in [k for k, at in table.items() if now - at > REMEMBERED]:
                del table[key]

    def _quarantined_row(self, identity: str, now: float) -> Quarantined:
        lives = self._lives_by_quarantined[identity][:SURELY]
        return Quarantined(round(now - self._quarantined_at[identity], 3), lives)

    def _add(
        self, life: str, at: float, in_flight: Mapping[str, float], now: float
    ) -> _Ending | None:
        """Put requests in flight at an ending, but for those cleared since."""
        if self._living_at.get(life, float("-inf")) >= at + SIGN_AFTER:
            return None
        ending = self._ending_by_life.get(life)
        if ending is None:
            ending = _Ending(at)
            _put(self._ending_by_life, life, ending, ENDINGS_KEPT)
        for identity, seconds in in_flight.items():
            cleared = self._cleared_at.get(identity, float("-inf")) > at
            if cleared or identity in ending.in_flight or len(ending.in_flight) >= IN_FLIGHT_KEPT:
                continue
            ending.in_flight[identity] = seconds
            ending.changed_at = now
            self._judged = self._judged and not ending.over
        return ending

    def _clear(self, identity: str, at: float) -> None:
        for ending in self._ending_by_life.values():
            if ending.at < at and ending.in_flight.pop(identity, None) is not None:
                self._judged = False
        if self._quarantined_at.get(identity, float("inf")) < at:
            del self._quarantined_at[identity]
            del self._lives_by_quarantined[identity]
        _put(self._cleared_at, identity, at, CLEARED_KEPT)

    def _judge(self, now: float) -> list[str]:
        """Return who is quarantined by what is known, if it has changed since it was last judged.

        Peers tell the same several times: judged each time, 64 endings of 64 requests take 2.3 ms.
        """
        if self._judged:
            return []
        self._judged = True
        found = []
        while (identity := self._poison_request(now)) is not None:
            lives = tuple(n for n, e in self._ending_by_life.items() if identity in e.in_flight)
            self.quarantine(identity, lives, now)
            found.append(identity)
        over = _lives_by_identity({n: e for n, e in self._ending_by_life.items() if e.over})
        suspected = {i for i, held in over.items() if len(held) >= ENOUGH}
        self._newly_suspected += sorted(suspected - self._suspected - self._quarantined_at.keys())
        self._suspected = suspected
        return found

    def _poison_request(self, now: float) -> str | None:
        """Return a request that is poison by now, ``None`` if none is."""
        over = {life: e for life, e in self._ending_by_life.items() if e.over}
        unexplained = {
            life: e
            for life, e in over.items()
            if not e.in_flight.keys() & self._quarantined_at.keys()
        }
        all_by_identity = _lives_by_identity(over)
        own_by_identity = _lives_by_identity(unexplained)
        suspects = {i for i, lives in own_by_identity.items() if len(lives) > 1}
        for identity in sorted(own_by_identity):
            if self._probation_until.get(identity, float("-inf")) > now:
                return identity
            lives, others = all_by_identity[identity], suspects - {identity}
            if len(lives) < ENOUGH or any(lives <= all_by_identity[i] for i in others):
                continue
            surely = len(lives) >= SURELY and identity in suspects
            if surely or self._unlikely(identity, unexplained, others):
                return identity
        return None

    def _unlikely(
        self, identity: str, unexplained: Mapping[str, _Ending], others: Set[str]
    ) -> bool:
        """Tell whether a request hardly was at so many endings by chance.

        What another suspect explains as well says nothing of this one: they went together.

        :param unexplained: endings without any quarantined request in flight
        :param others: other requests that were in flight at more than one of them
        """
        own = [e for e in unexplained.values() if identity in e.in_flight]
        since, until = min(e.at for e in own) - WATCHED_BEFORE, max(e.at for e in own)
        by_chance = sum(
            identity not in e.in_flight and since <= e.at <= until for e in unexplained.values()
        )
        rate = (by_chance + 1) / (max(1, self.targets) * (until - since))
        alone = [e.in_flight[identity] for e in own if not e.in_flight.keys() & others]
        return math.prod(1 / (rate * max(SHORTEST_RUN, s)) for s in alone) >= UNLIKELY


def _lives_by_identity(ending_by_life: Mapping[str, _Ending]) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for life, ending in ending_by_life.items():
        for identity in ending.in_flight:
            found.setdefault(identity, set()).add(life)
    return found


def _chunks(names: Sequence[str], size: int = PART_IN_FLIGHT) -> list[list[str]]:
    return [list(names[n : n + size]) for n in range(0, len(names), size)]


def _parts(in_flight: Mapping[str, float]) -> list[dict[str, float]]:
    return [{i: round(in_flight[i], 2) for i in chunk} for chunk in _chunks(sorted(in_flight))]


def _put(table: dict[str, _Value], key: str, value: _Value, most: int) -> None:
    """Put a value under a key, as the newest; the oldest one goes where there are too many."""
    table.pop(key, None)
    table[key] = value
    while len(table) > most:
        del table[next(iter(table))]
