"""Rate limits of client accounts, held across entry hosts without a store call a request.

Every entry host keeps a token bucket for each account with its *share* of the account's rate.
Shares follow demand, which the entry hosts tell each other once a second. What an entry host may
divide is the rate times the part of the fleet that it can see: two sides of a partition see
disjoint parts, so their sums stay within the limit.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

DEMAND_DECAY = 0.7
"""Weight of the past in the moving average of demand, for each second."""

IDLE_SHARE = 0.1
"""Part of the rate that is divided evenly, so that a first request at an idle host passes."""

BURST_SECONDS = 2.0


class Demand(NamedTuple):
    """Requests a second that an entry host was asked for, by account."""

    rate_by_account: dict[str, float]


class Bucket(NamedTuple):
    """Tokens of one account and when they were last counted."""

    tokens: float
    counted_at: float


class Turn:
    """Gives each name its turn, a few at a time, as names come and go.

    :param count: names in one turn
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._last = ""

    def next(self, names: Sequence[str]) -> list[str]:
        """Return the names that follow the last turn's, in their order.

        :param names: sorted
        """
        after = [n for n in names if n > self._last] + [n for n in names if n <= self._last]
        chosen = after[: self._count]
        if chosen:
            self._last = chosen[-1]
        return chosen


class AccountLimits:
    """The limits of all accounts as held by one entry host.

    :param fleet: entry hosts that the operators run in all; the unit in which a rate is divided
    """

    def __init__(self, fleet: int) -> None:
        self.fleet = max(1, fleet)
        self.live = 1
        self._rate_by_account: dict[str, float] = {}
        self._bucket_by_account: dict[str, Bucket] = {}
        self._asked: dict[str, int] = {}
        self._own: dict[str, float] = {}
        self._theirs: dict[str, Mapping[str, float]] = {}

    def configure(self, rate_by_account: Mapping[str, float]) -> None:
        """Set the requests a second of each account; buckets of kept accounts stay."""
        self._rate_by_account = dict(rate_by_account)
        for account in set(self._bucket_by_account) - set(self._rate_by_account):
            del self._bucket_by_account[account]

    def admit(self, account: str, now: float) -> float | None:
        """Take a token; return ``None`` when admitted, else seconds until one is there."""
        self._asked[account] = self._asked.get(account, 0) + 1
        rate = self.share(account)
        burst = max(1.0, rate * BURST_SECONDS)
        old = self._bucket_by_account.get(account, Bucket(burst, now))
        tokens = min(burst, old.tokens + rate * max(0.0, now - old.counted_at))
        if tokens >= 1.0:
            self._bucket_by_account[account] = Bucket(tokens - 1.0, now)
            return None
        self._bucket_by_account[account] = Bucket(tokens, now)
        return (1.0 - tokens) / max(rate, 1e-3)

    def share(self, account: str) -> float:
        """Return this host's part of the account's rate, in requests a second."""
        rate = self._rate_by_account.get(account, 0.0)
        # A cut-off part of the fleet divides only its own part of the rate. Were it to divide
        # all, each side of a partition would, and the account would get a multiple of its rate.
        pool = rate * min(1.0, self.live / self.fleet)
        own = self._own.get(account, 0.0)
        total = own + sum(t.get(account, 0.0) for t in self._theirs.values())
        even = 1.0 / max(1, self.live)
        by_demand = own / total if total > 0 else even
        return pool * (IDLE_SHARE * even + (1.0 - IDLE_SHARE) * by_demand)

    def tick(self, live_peers: frozenset[str]) -> Demand:
        """Close a second: return the demand to tell the peers.

        :param live_peers: the other entry hosts that are live
        """
        self.live = 1 + len(live_peers)
        self._theirs = {p: d for p, d in self._theirs.items() if p in live_peers}
        for account in set(self._own) | set(self._asked):
            old = self._own.get(account, 0.0)
            now = DEMAND_DECAY * old + (1 - DEMAND_DECAY) * self._asked.get(account, 0)
            self._own[account] = now
        self._own = {a: r for a, r in self._own.items() if r > 0.01}
        self._asked = {}
        return Demand({a: round(r, 2) for a, r in self._own.items()})

    def learn(self, peer: str, demand: Demand) -> None:
        """Take in a peer's demand."""
        self._theirs[peer] = demand.rate_by_account
