"""How an entry host decides: the shipped way, earlier ones, and common ones to compare with."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, Protocol

from oleanderhill.serving.admission_class import ENGINE_QUEUE_LIMITS, AdmissionClass, QueueLimit
from oleanderhill.serving.placement import Candidate, LoadTracker


class Ask(NamedTuple):
    """A request that looks for a group.

    :param on_time_until: time until which its first event is on time
    """

    standing: AdmissionClass
    tried: Collection[str]
    on_time_until: float


class Policy(Protocol):
    """Decides for all entry hosts; each has a book of its own."""

    name: str
    hears_backoffs: bool

    def choose(
        self, book: LoadTracker, candidates: Sequence[Candidate], ask: Ask, now: float
    ) -> Candidate | None:
        """Return the group that takes a request, ``None`` to refuse it."""

    def urgency(self, ask: Ask, now: float) -> int:
        """Return the rank in the group's queue; the smallest goes first."""

    def hold_until(self, ask: Ask) -> float:
        """Return the time until which a request without a place waits for one."""

    def first_event(self, target: str, on_time: bool) -> None:
        """Take note of whether a first event came on time."""


class Shipped:
    """The shipped decisions."""

    name = "shipped"
    room_by_standing = ENGINE_QUEUE_LIMITS
    hears_backoffs = True

    def choose(
        self, book: LoadTracker, candidates: Sequence[Candidate], ask: Ask, now: float
    ) -> Candidate | None:
        return book.choose(candidates, ask.tried, now, self.room_by_standing[ask.standing].max_load)

    def hold_until(self, ask: Ask) -> float:
        return 0.0

    def urgency(self, ask: Ask, now: float) -> int:
        return 5 + self.room_by_standing[ask.standing].urgency

    def first_event(self, target: str, on_time: bool) -> None:
        """Learn nothing."""


class LongQueueForReturned(Shipped):
    """A queue of two for the fresh, of ten for those that come back, in the order of coming."""

    name = "long queue for returned"
    room_by_standing = {
        AdmissionClass.BEGUN: QueueLimit(1.8, 0),
        AdmissionClass.FRESH: QueueLimit(1.2, 0),
        AdmissionClass.LATE: QueueLimit(1.8, 0),
    }


class SameRoom(Shipped):
    """A queue of two for all, in the order of coming."""

    name = "queue of two for all"
    room_by_standing = dict.fromkeys(AdmissionClass, QueueLimit(1.2, 0))


class HeldForAPlace(Shipped):
    """As shipped, and a fresh request without a place waits for one while it can be on time."""

    name = "held for a place"
    SHORTEST = 0.12

    def hold_until(self, ask: Ask) -> float:
        return ask.on_time_until - self.SHORTEST if ask.standing == AdmissionClass.FRESH else 0.0


class LimitsUnheard(Shipped):
    """As shipped, but for the limits that groups name, of which it knows nothing."""

    name = "limits unheard"

    def choose(
        self, book: LoadTracker, candidates: Sequence[Candidate], ask: Ask, now: float
    ) -> Candidate | None:
        for candidate in candidates:
            book.limits.forget(candidate.target)
        return super().choose(book, candidates, ask, now)


class BackoffsUnheard(Shipped):
    """As shipped, but a group that turns a request away is doubtful, whatever time it names."""

    name = "back-offs unheard"
    hears_backoffs = False


class FreePlacesOnly(LongQueueForReturned):
    """Least busy group, nobody waits."""

    name = "no queue"

    def choose(
        self, book: LoadTracker, candidates: Sequence[Candidate], ask: Ask, now: float
    ) -> Candidate | None:
        return _least_busy(book, candidates, ask, now, lambda c: c.host.slots)


class LeastBusy(LongQueueForReturned):
    """Least busy group, whatever its queue."""

    name = "queue without bound"

    def choose(
        self, book: LoadTracker, candidates: Sequence[Candidate], ask: Ask, now: float
    ) -> Candidate | None:
        return _least_busy(book, candidates, ask, now, lambda c: 10**9)


class EarliestDeadline(LeastBusy):
    """Queue without bound, by the time until which each can be on time."""

    name = "queue by deadline"

    def urgency(self, ask: Ask, now: float) -> int:
        return int(ask.on_time_until * 1000)


class AdaptiveLimit(LongQueueForReturned):
    """As many at once as come on time: the limit of a group grows slowly and falls by a tenth."""

    name = "adaptive limit"
    GROWTH = 0.05
    FALL = 0.9

    def __init__(self) -> None:
        self._limit_by_target: dict[str, float] = {}

    def choose(
        self, book: LoadTracker, candidates: Sequence[Candidate], ask: Ask, now: float
    ) -> Candidate | None:
        limits = self._limit_by_target
        return _least_busy(
            book, candidates, ask, now, lambda c: limits.get(c.target, float(c.host.slots))
        )

    def first_event(self, target: str, on_time: bool) -> None:
        limit = self._limit_by_target.get(target, 13.0)
        new = limit + self.GROWTH if on_time else limit * self.FALL
        self._limit_by_target[target] = min(60.0, max(2.0, new))


def all_policies() -> list[Policy]:
    """Return one of each, new."""
    return [
        Shipped(),
        LongQueueForReturned(),
        SameRoom(),
        HeldForAPlace(),
        LimitsUnheard(),
        FreePlacesOnly(),
        LeastBusy(),
        EarliestDeadline(),
        AdaptiveLimit(),
    ]


_RNG = random.Random(7)


def _least_busy(
    book: LoadTracker,
    candidates: Sequence[Candidate],
    ask: Ask,
    now: float,
    most: Callable[[Candidate], float],
) -> Candidate | None:
    """Return the least busy group of those with less than so many requests."""
    left = [c for c in candidates if c.target not in ask.tried]
    sound = [c for c in left if not book.is_suspect(c.target, now)] or left
    loads = [(book.load(c.target, now), c) for c in sound]
    roomy = [(n / c.host.slots, _RNG.random(), c) for n, c in loads if n < most(c)]
    return min(roomy)[2] if roomy else None
