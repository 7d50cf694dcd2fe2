"""Demand for the targets of each model and plain service, summed over all entry hosts."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from .admission_class import AdmissionClass
from .applicant import Applicant
from .recent_counts import RecentCounts
from .shared_counters import SharedCounters

ARRIVALS, ACCOUNTS, COMPLETIONS, RETURNING = (
    "admission arrivals",
    "admission accounts",
    "admission completions",
    "admission returning",
)
"""Families of shared counters: arrivals a second by rank and by account, completions a second, and
rejected callers that have yet to return."""

FAMILIES = (ARRIVALS, ACCOUNTS, COMPLETIONS, RETURNING)

ARRIVAL_SECONDS = 0.5
"""Window of the arrival rates: short, so that a burst is known soon after it begins."""

COMPLETION_SECONDS = 1.0
"""Window of the completion rates: about the duration of a request."""

REFRESH_SECONDS = 0.05
"""Seconds for which the sums over all entry hosts are reused."""

HEARD_FRACTION = 0.9
"""Fraction of the entry hosts whose counts suffice as the sum. Below it the rest is estimated, as
after a restart and beside hosts of an older version, which don't report counts."""

MAX_PRIORITY = 9
"""Largest priority that is told apart; less urgent ones count as this one."""

MAX_ACCOUNTS = 32
"""Accounts of a pool and priority that a host reports; the least active ones are folded."""

FOLDED = "*"
"""Stands for the accounts that are not reported by name."""

TIGHT_SECONDS = 2.0
"""Seconds for which hosts report arrivals by account after a pool's room was nearly used up."""

_SEPARATOR = "\t"


class Rank(NamedTuple):
    """Order of admission: first attempts before retries, then by priority, 0 first."""

    late: bool
    priority: int


class Demand(NamedTuple):
    """Arrivals at a pool over all entry hosts, a second.

    :param by_rank: in the order of admission
    :param by_account: first attempts by priority, by account
    """

    by_rank: Mapping[Rank, float]
    by_account: Mapping[int, Mapping[str, float]]

    @property
    def total(self) -> float:
        """Return all arrivals a second."""
        return sum(self.by_rank.values())

    def up_to(self, rank: Rank) -> float:
        """Return the arrivals a second of a rank and those that go before it."""
        return sum(rate for other, rate in self.by_rank.items() if other <= rank)

    @property
    def first_attempts(self) -> float:
        """Return the first attempts a second."""
        return sum(rate for rank, rate in self.by_rank.items() if not rank.late)


NO_DEMAND = Demand({}, {})


def rank_of(applicant: Applicant, now: float) -> Rank:
    """Return the rank of a request. One that can't be on time any more counts as a retry."""
    late = applicant.admission_class == AdmissionClass.LATE or applicant.on_time_until <= now
    return Rank(late, max(0, min(MAX_PRIORITY, applicant.priority)))


def _extrapolate(rate: float, factor: float) -> float:
    """Return a rate over all hosts that a sample shows with some certainty.

    A host that has seen two requests doesn't conclude that all hosts have.
    """
    count = rate * ARRIVAL_SECONDS
    return max(0.0, count - 2.0 * math.sqrt(count)) * factor / ARRIVAL_SECONDS


class DemandCounts:
    """Counts what arrives here, and sums it over all entry hosts.

    :param expected_hosts: returns the number of entry hosts that are alive
    """

    def __init__(self, counters: SharedCounters, expected_hosts: Callable[[], int]) -> None:
        self._counters = counters
        self._expected_hosts = expected_hosts
        self._arrivals = RecentCounts(ARRIVAL_SECONDS)
        self._accounts = RecentCounts(ARRIVAL_SECONDS)
        self._completions = RecentCounts(COMPLETION_SECONDS)
        self._returns: list[tuple[float, str]] = []
        self._tight_until_by_pool: dict[str, float] = {}
        self._refreshed_at = -math.inf
        self._demand_by_pool: Mapping[str, Demand] = {}
        self._completions_by_pool: Mapping[str, float] = {}
        self._returning_by_pool: Mapping[str, float] = {}
        self.unreadable = 0
        counters.register(ARRIVALS, self._arrivals.rates)
        counters.register(ACCOUNTS, self._account_rates)
        counters.register(COMPLETIONS, self._completions.rates)
        counters.register(RETURNING, self._own_returning)

    def arrived(self, applicant: Applicant, rank: Rank, now: float) -> None:
        """Count a request."""
        self._arrivals.add(
            f"{rank.late:d}{_SEPARATOR}{rank.priority}{_SEPARATOR}{applicant.pool}", now
        )
        if not rank.late:
            account = applicant.account.replace(_SEPARATOR, " ")
            self._accounts.add(
                f"{account}{_SEPARATOR}{rank.priority}{_SEPARATOR}{applicant.pool}", now
            )

    def completed(self, pool: str, now: float) -> None:
        """Count a request that was answered completely."""
        self._completions.add(pool, now)

    def told_to_return(self, pool: str, at: float) -> None:
        """Count a rejected caller that was told to return at a time."""
        self._returns.append((at, pool))

    def mark_tight(self, pool: str, now: float) -> None:
        """Record that the room of a pool is nearly used up."""
        self._tight_until_by_pool[pool] = now + TIGHT_SECONDS

    def is_tight(self, pool: str, now: float) -> bool:
        """Return whether the room of a pool was nearly used up lately."""
        return self._tight_until_by_pool.get(pool, -math.inf) > now

    def tight_pools(self, now: float) -> int:
        """Return the number of pools whose room was nearly used up lately."""
        return sum(until > now for until in self._tight_until_by_pool.values())

    def demand(self, pool: str, now: float, alone: bool) -> Demand:
        """Return the demand for a pool.

        :param alone: whether this host's part of the demand is wanted instead of the sum
        """
        self._refresh(now, alone)
        return self._demand_by_pool.get(pool, NO_DEMAND)

    def completions(self, pool: str, now: float, alone: bool) -> float:
        """Return the requests of a pool that were completed, a second."""
        self._refresh(now, alone)
        return self._completions_by_pool.get(pool, 0.0)

    def returning(self, pool: str, now: float, alone: bool) -> float:
        """Return how many rejected callers of a pool have yet to return."""
        self._refresh(now, alone)
        return self._returning_by_pool.get(pool, 0.0)

    def _refresh(self, now: float, alone: bool) -> None:
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        hosts, expected = self._counters.hosts, self._expected_hosts()
        total = {f: self._counters.total(f, now) for f in FAMILIES}
        if alone:
            total = {
                f: {s: v / hosts for s, v in by_subject.items()} for f, by_subject in total.items()
            }
        elif hosts < expected * HEARD_FRACTION:
            for family in (ARRIVALS, ACCOUNTS):
                by_subject = total[family].items()
                total[family] = {s: _extrapolate(v, expected / hosts) for s, v in by_subject}
            total[COMPLETIONS] = {}
        self._completions_by_pool = total[COMPLETIONS]
        self._returning_by_pool = total[RETURNING]
        self._demand_by_pool = self._read_demand(total[ARRIVALS], total[ACCOUNTS])

    def _read_demand(
        self, arrivals: Mapping[str, float], accounts: Mapping[str, float]
    ) -> Mapping[str, Demand]:
        ranks_by_pool: dict[str, dict[Rank, float]] = {}
        for subject, rate in arrivals.items():
            late, priority, pool = self._split(subject)
            if late in ("0", "1") and priority is not None:
                ranks_by_pool.setdefault(pool, {})[Rank(late == "1", priority)] = rate
        accounts_by_pool: dict[str, dict[int, dict[str, float]]] = {}
        for subject, rate in accounts.items():
            account, priority, pool = self._split(subject)
            if priority is not None:
                by_priority = accounts_by_pool.setdefault(pool, {})
                by_priority.setdefault(priority, {})[account] = rate
        return {
            pool: Demand(dict(sorted(ranks.items())), accounts_by_pool.get(pool, {}))
            for pool, ranks in ranks_by_pool.items()
        }

    def _split(self, subject: str) -> tuple[str, int | None, str]:
        """Split a subject; peers may have sent anything."""
        first, _, rest = subject.partition(_SEPARATOR)
        priority, _, pool = rest.partition(_SEPARATOR)
        if len(priority) == 1 and priority in "0123456789" and pool:
            return first, int(priority), pool
        self.unreadable += 1
        return first, None, pool

    def _account_rates(self, now: float) -> Mapping[str, float]:
        """Return the rates of the most active accounts, of pools whose room is nearly used up."""
        by_key: dict[str, list[tuple[float, str]]] = {}
        for subject, rate in self._accounts.rates(now).items():
            account, _, key = subject.partition(_SEPARATOR)
            pool = key.partition(_SEPARATOR)[2]
            if self._tight_until_by_pool.get(pool, -math.inf) > now:
                by_key.setdefault(key, []).append((rate, account))
        reported: dict[str, float] = {}
        for key, found in by_key.items():
            found.sort(reverse=True)
            reported |= {f"{name}{_SEPARATOR}{key}": rate for rate, name in found[:MAX_ACCOUNTS]}
            folded = sum(rate for rate, _ in found[MAX_ACCOUNTS:])
            if folded:
                reported[f"{FOLDED}{_SEPARATOR}{key}"] = folded
        return reported

    def _own_returning(self, now: float) -> Mapping[str, float]:
        self._returns = [entry for entry in self._returns if entry[0] > now]
        counts: dict[str, float] = {}
        for _, pool in self._returns:
            counts[pool] = counts.get(pool, 0.0) + 1.0
        return counts
