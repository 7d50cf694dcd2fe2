"""Policies of entry hosts: the shipped one, variants of it and common ones for comparison."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, Protocol

from oleanderhill.serving.admission_class import ENGINE_QUEUE_LIMITS, AdmissionClass, QueueLimit
from oleanderhill.serving.placement import Candidate, LoadTracker


class PlacementRequest(NamedTuple):
    """A request to be placed at a group.

    :param tried: groups that the request was sent to before
    :param on_time_until: time until which the first event is on time
    :param connected: returns whether the entry host has an idle connection to an address
    """

    standing: AdmissionClass
    tried: Collection[str]
    on_time_until: float
    connected: Callable[[str], bool]


class Policy(Protocol):
    """Placement decisions, shared by all entry hosts; each host passes its own load tracker."""

    name: str
    honours_backoffs: bool
    controls_admission: bool

    def choose(
        self,
        tracker: LoadTracker,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate | None:
        """Return the group to send a request to, ``None`` to reject it."""

    def queue_rank(self, request: PlacementRequest, now: float) -> int:
        """Return the rank in the group's queue; the smallest runs first."""

    def hold_until(self, request: PlacementRequest) -> float:
        """Return the time until which a request without a free slot is held at the entry host."""

    def record_first_event(self, target: str, on_time: bool) -> None:
        """Record whether the first event of a request was on time."""


class Shipped:
    """The policy of the product."""

    name = "shipped"
    limits_by_class = ENGINE_QUEUE_LIMITS
    honours_backoffs = True
    controls_admission = True

    def choose(
        self,
        tracker: LoadTracker,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate | None:
        max_load = self.limits_by_class[request.standing].max_load
        return tracker.choose(candidates, request.tried, now, max_load, request.connected)

    def hold_until(self, request: PlacementRequest) -> float:
        return 0.0

    def queue_rank(self, request: PlacementRequest, now: float) -> int:
        return 5 + self.limits_by_class[request.standing].urgency

    def record_first_event(self, target: str, on_time: bool) -> None:
        """Do nothing; the shipped policy does not adapt."""


class WithoutAdmission(Shipped):
    """As shipped, but place each request for which a target has room, in the order of arrival."""

    name = "without admission"
    controls_admission = False


class LongQueueForRetries(WithoutAdmission):
    """Queue two new requests and ten retries at each group, in the order of arrival."""

    name = "long queue for retries"
    limits_by_class = {
        AdmissionClass.BEGUN: QueueLimit(1.8, 0),
        AdmissionClass.FRESH: QueueLimit(1.2, 0),
        AdmissionClass.LATE: QueueLimit(1.8, 0),
    }


class ShortQueueForAll(WithoutAdmission):
    """Queue two requests of any class at each group, in the order of arrival."""

    name = "queue of two for all"
    limits_by_class = dict.fromkeys(AdmissionClass, QueueLimit(1.2, 0))


class HeldForASlot(WithoutAdmission):
    """As shipped, but hold a new request without a free slot while it can still be on time."""

    name = "held for a slot"
    MIN_FIRST_EVENT_SECONDS = 0.12
    """Seconds to the first event at least; a held request with less time left is rejected."""

    def hold_until(self, request: PlacementRequest) -> float:
        return (
            request.on_time_until - self.MIN_FIRST_EVENT_SECONDS
            if request.standing == AdmissionClass.FRESH
            else 0.0
        )


class LimitsIgnored(Shipped):
    """As shipped, but ignore the rate limits that groups state."""

    name = "limits ignored"

    def choose(
        self,
        tracker: LoadTracker,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate | None:
        for candidate in candidates:
            tracker.limits.forget(candidate.target)
        return super().choose(tracker, candidates, request, now)


class BackoffsIgnored(Shipped):
    """As shipped, but suspect a group that rejects a request and ignore its back-off time."""

    name = "back-offs ignored"
    honours_backoffs = False


class FreeSlotsOnly(LongQueueForRetries):
    """Choose the least busy group with a free slot; nothing is queued."""

    name = "no queue"

    def choose(
        self,
        tracker: LoadTracker,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate | None:
        return _choose_least_busy(tracker, candidates, request, now, lambda c: c.host.slots)


class LeastBusy(LongQueueForRetries):
    """Choose the least busy group, however long its queue."""

    name = "unbounded queue"

    def choose(
        self,
        tracker: LoadTracker,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate | None:
        return _choose_least_busy(tracker, candidates, request, now, lambda c: 10**9)


class EarliestDeadline(LeastBusy):
    """Unbounded queue, ordered by the time until which each request can be on time."""

    name = "queue by deadline"

    def queue_rank(self, request: PlacementRequest, now: float) -> int:
        return int(request.on_time_until * 1000)


class AdaptiveLimit(LongQueueForRetries):
    """Adapt the concurrency limit of each group to whether first events are on time.

    The limit grows slowly with each one that is on time, and falls by a tenth with a late one.
    """

    name = "adaptive limit"
    INCREMENT = 0.05
    DECREASE_FACTOR = 0.9

    def __init__(self) -> None:
        self._limit_by_target: dict[str, float] = {}

    def choose(
        self,
        tracker: LoadTracker,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate | None:
        limits = self._limit_by_target
        return _choose_least_busy(
            tracker, candidates, request, now, lambda c: limits.get(c.target, float(c.host.slots))
        )

    def record_first_event(self, target: str, on_time: bool) -> None:
        limit = self._limit_by_target.get(target, 13.0)
        adjusted = limit + self.INCREMENT if on_time else limit * self.DECREASE_FACTOR
        self._limit_by_target[target] = min(60.0, max(2.0, adjusted))


def all_policies() -> list[Policy]:
    """Return a new instance of each compared policy."""
    return [
        Shipped(),
        WithoutAdmission(),
        LongQueueForRetries(),
        ShortQueueForAll(),
        HeldForASlot(),
        LimitsIgnored(),
        FreeSlotsOnly(),
        LeastBusy(),
        EarliestDeadline(),
        AdaptiveLimit(),
    ]


_RNG = random.Random(7)


def _choose_least_busy(
    tracker: LoadTracker,
    candidates: Sequence[Candidate],
    request: PlacementRequest,
    now: float,
    limit: Callable[[Candidate], float],
) -> Candidate | None:
    """Return the least busy group among those with fewer requests than their limit."""
    untried = [c for c in candidates if c.target not in request.tried]
    healthy = [c for c in untried if not tracker.is_suspect(c.target, now)] or untried
    loads = [(tracker.load(c.target, now), c) for c in healthy]
    available = [(n / c.host.slots, _RNG.random(), c) for n, c in loads if n < limit(c)]
    return min(available)[2] if available else None
