"""Decides which requests go where the targets of a model or service can't take all.

All entry hosts decide on counts that lag. If each sent what the known free slots can take, the
slots would be given away several times before the counts show it. Each host therefore admits a
request with a probability such that all hosts together admit about as many as the free slots and
those that become free can take. No host waits for another: the demand is summed by
:mod:`.admission_demand`.

Requests are admitted in the order of :class:`.Rank`, accounts of one rank by max-min fair shares.
While the room suffices for all arrivals, every request goes, and no random number is drawn.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from .admission_class import AdmissionClass
from .admission_demand import FOLDED, Demand, DemandCounts, Rank, rank_of
from .applicant import Applicant, Decision, Go, PoolCapacity, Refuse
from .fair_share import allocate, max_min_level
from .placement import HERD_LIMIT, Candidate, LoadTracker
from .pool_capacity import PoolLoad, SlotTime, pool_load, predicted_slot_seconds
from .prediction import Prediction

DELAYS_TO_FILL = 2.7
"""Report delays in which free slots are given away. A controller that acts on delayed counts
doesn't oscillate if it corrects at most 1/e of a deviation within the delay."""

MIN_FILL_SECONDS = 0.1
"""Lower bound of the time in which free slots are given away, for hosts with exact counts."""

SPARE_FRACTION = 0.05
"""Fraction of the slots that stays free under shortage. How the requests spread over the targets is
known only as of a report delay ago, and who has to queue is late."""

FLOOR_FRACTION = 0.05
"""Fraction of the room that first attempts of each priority get at least, so that none starves."""

MIN_RATE = 1.0
"""Requests a second that are assumed of a rank whose first request has just arrived."""

TIGHT_FRACTION = 0.95
"""Arrivals, as a fraction of the slots that become free, from which on requests are spread by room
and hosts report arrivals by account."""

LATE_FRACTION = 0.8
"""Fraction of the slots that become free up to which retries go beside first attempts. Slots that
are free for a moment are left to the next first attempts."""

MIN_RETURN_FRACTION = 0.1
"""Fraction of the slots that become free that rejected callers are expected to get at least, if
first attempts take all."""

MAX_FOLDED = 1_000
"""Upper bound on the number of folded accounts that are assumed."""

PredictTiming = Callable[[str, float], Prediction | None]


class Admission(NamedTuple):
    """A request's part of the room.

    :param probability: probability with which the request goes
    :param allotted: requests of its rank that go, a second
    :param account_rate: arrivals of its account a second, ``None`` if accounts don't matter
    """

    probability: float
    allotted: float
    account_rate: float | None = None


def admission_rate(capacity: PoolCapacity) -> float:
    """Return the requests a second that all entry hosts together may admit."""
    fill_seconds = max(MIN_FILL_SECONDS, DELAYS_TO_FILL * capacity.report_delay)
    free = capacity.free - SPARE_FRACTION * capacity.slots
    return max(0.0, capacity.slot_rate + free / fill_seconds)


def divide(room: float, slot_rate: float, demand: Demand, rank: Rank, account: str) -> Admission:
    """Return the part of the room that a request of a rank and account gets.

    :param room: requests a second that all entry hosts together may admit
    :param slot_rate: slots that become free a second
    """
    if rank.late:
        room = min(room, LATE_FRACTION * slot_rate)
    rate_by_rank = dict(sorted(({rank: MIN_RATE} | dict(demand.by_rank)).items()))
    floors = [0.0 if r.late else FLOOR_FRACTION * room for r in rate_by_rank]
    allotted_by_rank = allocate(room, list(rate_by_rank.values()), floors)
    allotted = dict(zip(rate_by_rank, allotted_by_rank, strict=True))[rank]
    arriving = rate_by_rank[rank]
    if arriving <= allotted:
        return Admission(1.0, allotted)
    by_account = {} if rank.late else demand.by_account.get(rank.priority, {})
    if len(by_account) < 2:
        return Admission(allotted / arriving, allotted)
    rates = _known_and_folded(by_account, arriving)
    level = max_min_level(allotted, rates)
    rate = by_account.get(account, min(rates))
    return Admission(min(1.0, level / rate) if rate > 0.0 else 1.0, allotted, rate)


def _known_and_folded(by_account: Mapping[str, float], arriving: float) -> list[float]:
    """Return the rates of accounts; the folded ones count as several like the smallest known."""
    rates = [rate for account, rate in by_account.items() if account != FOLDED and rate > 0.0]
    folded = max(0.0, arriving - sum(rates))
    smallest = min(rates, default=folded)
    if smallest > 0.0:
        rates += [smallest] * min(MAX_FOLDED, math.ceil(folded / smallest))
    return rates or [arriving]


class AdmissionControl:
    """Admission at one entry host, for all pools.

    :param rng: is drawn from only where the room is short
    :param expected_hosts: returns the number of entry hosts that are alive
    :param prediction: returns the configured or learnt timing of a model's targets
    :param report: records the outcome and priority of a decision
    """

    def __init__(
        self,
        rng: random.Random,
        counts: DemandCounts,
        book: LoadTracker,
        expected_hosts: Callable[[], int],
        prediction: PredictTiming,
        report: Callable[[str, int], None] = lambda outcome, priority: None,
    ) -> None:
        self._report = report
        self._rng = rng
        self._counts = counts
        self._book = book
        self._expected_hosts = expected_hosts
        self._prediction = prediction
        self._slot_time_by_pool: dict[str, SlotTime] = {}
        self._slot_rate_by_pool: dict[str, float] = {}

    def decide_for(
        self, applicant: Applicant, model: str, candidates: Sequence[Candidate], now: float
    ) -> Decision:
        """Decide a request by the load of the candidates for it."""
        load = pool_load(self._book, candidates, now)
        capacity = self._capacity(applicant.pool, model, load, now)
        decision = self.decide(applicant, capacity, now)
        self._report("gone" if isinstance(decision, Go) else "refused", applicant.priority)
        if self._counts.is_tight(applicant.pool, now) and isinstance(decision, Go):
            return Go(self._by_room(candidates, load, capacity))
        return decision

    def decide(self, applicant: Applicant, capacity: PoolCapacity, now: float) -> Decision:
        """Count a request, and decide whether it may be sent to a target."""
        if applicant.admission_class == AdmissionClass.BEGUN:
            return Go()
        rank = rank_of(applicant, now)
        self._counts.arrived(applicant, rank, now)
        demand = self._counts.demand(applicant.pool, now, self._is_deaf())
        room = admission_rate(capacity)
        if demand.total > TIGHT_FRACTION * capacity.slot_rate:
            self._counts.mark_tight(applicant.pool, now)
        if demand.total <= room or demand.up_to(rank) <= capacity.slot_rate:
            # A pool that is full for a moment without a shortage is left to the placement.
            return Go()
        admission = divide(room, capacity.slot_rate, demand, rank, applicant.account)
        if admission.probability >= 1.0 or self._rng.random() < admission.probability:
            return Go()
        return Refuse(_explain(applicant, rank, demand, capacity, admission))

    def completed(self, pool: str, now: float) -> None:
        """Count a request that was answered completely."""
        self._counts.completed(pool, now)

    def _by_room(
        self, candidates: Sequence[Candidate], load: PoolLoad, capacity: PoolCapacity
    ) -> Sequence[Candidate]:
        """Return a candidate drawn in proportion to its room when the counts have caught up.

        If all hosts sent to the targets that they know to be least loaded, these would get all
        requests of a report delay. Where these are few, the least loaded one is the best.
        """
        unreported = capacity.slot_rate * capacity.report_delay
        if not HERD_LIMIT < unreported < math.inf:
            return ()
        freed = unreported / max(1.0, capacity.slots)
        weights = [
            max(0.0, load.room_by_target.get(c.target, -math.inf) + c.host.slots * freed)
            for c in candidates
        ]
        return self._rng.choices(candidates, weights) if any(weights) else ()

    def _capacity(self, pool: str, model: str, load: PoolLoad, now: float) -> PoolCapacity:
        """Return the capacity of the targets over all entry hosts.

        A host that hears no load of others sees its own requests only. It takes its part of the
        slots, as its callers are a part of all, and what their number varies by.
        """
        deaf, hosts = self._is_deaf(), max(1, self._expected_hosts())
        slot_time = self._slot_time_by_pool.setdefault(pool, SlotTime())
        predicted = predicted_slot_seconds(self._prediction(model, now), load)
        slot_time.observe(load.busy, self._counts.completions(pool, now, deaf), now)
        seconds = slot_time.seconds(predicted, now)
        slots = load.slots
        if deaf:
            part = load.slots / hosts
            slots = min(load.slots, part + 2.0 * math.sqrt(part))
        slot_rate = slots / seconds if seconds else math.inf
        self._slot_rate_by_pool[pool] = slot_rate
        delay = 0.0 if deaf or hosts == 1 else self._book.peer_report_delay
        return PoolCapacity(slots, slots - load.in_flight, slot_rate, delay)

    def return_delay(self, pool: str, now: float) -> float:
        """Return the seconds until slots are left for all rejected callers that will return."""
        slot_rate = self._slot_rate_by_pool.get(pool, math.inf)
        if slot_rate <= 0.0 or math.isinf(slot_rate):
            return 0.0
        deaf = self._is_deaf()
        first_attempts = self._counts.demand(pool, now, deaf).first_attempts
        left = max(LATE_FRACTION * slot_rate - first_attempts, MIN_RETURN_FRACTION * slot_rate)
        return self._counts.returning(pool, now, deaf) / left

    def told_to_return(self, pool: str, at: float) -> None:
        """Count a rejected caller that was told to return at a time."""
        self._counts.told_to_return(pool, at)

    def _is_deaf(self) -> bool:
        """Return whether the load of the other entry hosts is unknown."""
        return self._expected_hosts() > 1 and not self._book.hears_peers()


def _explain(
    applicant: Applicant, rank: Rank, demand: Demand, capacity: PoolCapacity, admission: Admission
) -> str:
    """Describe why a request is refused, with who goes first."""
    ahead = [
        f"{'retries' if r.late else 'first attempts'} of priority {r.priority} {rate:.0f}/s"
        for r, rate in demand.by_rank.items()
        if r < rank
    ]
    share = (
        "" if admission.account_rate is None else f", its account {admission.account_rate:.0f}/s"
    )
    return (
        f"too little room: {demand.total:.0f}/s arrive, {capacity.free:.0f} of "
        f"{capacity.slots:.0f} slots free, {capacity.slot_rate:.0f}/s become free; "
        f"first went {', '.join(ahead) or 'nobody'}; "
        f"{'retries' if rank.late else 'first attempts'} of priority {rank.priority} get "
        f"{admission.allotted:.0f}/s of {demand.by_rank.get(rank, 0.0):.0f}/s{share}, "
        f"chance {admission.probability:.2f}, counts {capacity.report_delay:.2f} s old"
    )
