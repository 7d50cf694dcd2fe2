"""Rate limits of client accounts, enforced across entry hosts without a store call per request.

Every entry host keeps a token bucket for each account, filled at its *share* of the account's rate.
Shares follow demand: once a second, each entry host sends its own to some of the others. The entry
hosts divide the rate times the live fraction of the deployed fleet. The sides of a partition count
disjoint parts of the fleet as live, so the sum of all shares stays within the limit.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

DEMAND_DECAY = 0.7
"""Weight of the previous value in the moving average of demand, per second."""

IDLE_SHARE = 0.1
"""Fraction of the rate that is divided evenly among the live entry hosts, so that one without
demand can admit a first request."""

BURST_SECONDS = 2.0
"""Capacity of a bucket, in seconds of the host's share."""


class Demand(NamedTuple):
    """Requests a second that an entry host received, by account."""

    rate_by_account: dict[str, float]


class Bucket(NamedTuple):
    """The tokens of one account and the time of the last update."""

    tokens: float
    updated_at: float


class RoundRobin:
    """Selects names round-robin, a few at a time, as names are added and removed.

    :param count: number of names per call
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._last = ""

    def next(self, names: Sequence[str]) -> list[str]:
        """Return the names that follow those of the previous call.

        :param names: sorted
        """
        after = [n for n in names if n > self._last] + [n for n in names if n <= self._last]
        chosen = after[: self._count]
        if chosen:
            self._last = chosen[-1]
        return chosen


class AccountLimits:
    """The rate limits of all accounts at one entry host.

    :param fleet: number of entry hosts that are deployed; a rate is divided by it
    """

    def __init__(self, fleet: int) -> None:
        self.fleet = max(1, fleet)
        self.live = 1
        self._rate_by_account: dict[str, float] = {}
        self._bucket_by_account: dict[str, Bucket] = {}
        self._requests_by_account: dict[str, int] = {}
        self._own_demand: dict[str, float] = {}
        self._demand_by_peer: dict[str, Mapping[str, float]] = {}

    def configure(self, rate_by_account: Mapping[str, float]) -> None:
        """Set the rate of each account; accounts that are not removed keep their buckets."""
        self._rate_by_account = dict(rate_by_account)
        for account in set(self._bucket_by_account) - set(self._rate_by_account):
            del self._bucket_by_account[account]

    def admit(self, account: str, now: float) -> float | None:
        """Take a token; return ``None`` if admitted, else the seconds until one is available."""
        self._requests_by_account[account] = self._requests_by_account.get(account, 0) + 1
        rate = self.share(account)
        burst = max(1.0, rate * BURST_SECONDS)
        old = self._bucket_by_account.get(account, Bucket(burst, now))
        tokens = min(burst, old.tokens + rate * max(0.0, now - old.updated_at))
        if tokens >= 1.0:
            self._bucket_by_account[account] = Bucket(tokens - 1.0, now)
            return None
        self._bucket_by_account[account] = Bucket(tokens, now)
        return (1.0 - tokens) / max(rate, 1e-3)

    def share(self, account: str) -> float:
        """Return this host's share of the account's rate, in requests a second."""
        rate = self._rate_by_account.get(account, 0.0)
        # A partitioned part of the fleet divides only its part of the rate. If each side of a
        # partition divided the full rate, the account would get a multiple of it.
        divisible_rate = rate * min(1.0, self.live / self.fleet)
        own = self._own_demand.get(account, 0.0)
        total = own + sum(t.get(account, 0.0) for t in self._demand_by_peer.values())
        even_fraction = 1.0 / max(1, self.live)
        demand_fraction = own / total if total > 0 else even_fraction
        return divisible_rate * (IDLE_SHARE * even_fraction + (1.0 - IDLE_SHARE) * demand_fraction)

    def tick(self, live_peers: frozenset[str]) -> Demand:
        """Update this host's demand and return it, to be sent to peers. Called once a second.

        :param live_peers: the other entry hosts that are live
        """
        self.live = 1 + len(live_peers)
        self._demand_by_peer = {p: d for p, d in self._demand_by_peer.items() if p in live_peers}
        for account in set(self._own_demand) | set(self._requests_by_account):
            old = self._own_demand.get(account, 0.0)
            now = DEMAND_DECAY * old + (1 - DEMAND_DECAY) * self._requests_by_account.get(
                account, 0
            )
            self._own_demand[account] = now
        self._own_demand = {a: r for a, r in self._own_demand.items() if r > 0.01}
        self._requests_by_account = {}
        return Demand({a: round(r, 2) for a, r in self._own_demand.items()})

    def learn(self, peer: str, demand: Demand) -> None:
        """Store a peer's demand."""
        self._demand_by_peer[peer] = demand.rate_by_account
