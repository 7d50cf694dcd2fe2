"""Which groups the hosts of a fabric domain are to make up, and whose weights they need for that.

Weights take ten seconds and more to load, groups of hosts that have them two. So groups are formed
only of hosts that have the weights, and loads are ordered ahead, toward the next groups that the
free hosts can make up together: else hosts lie about in parts of groups, each with the wrong
weights for the rest.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .inventory import Instance
from .plans import DomainPlan

LOAD_WEIGHS = 1.2
"""Part by which a group all of whose hosts need a load is less eligible: a load takes as long as
losses take to come again. A group of 16 that lacks two is nearly there; a penalty for each load, as
if it were half of a group of 4, had its hosts made into small ones."""

SPARE_PART = 0.12
"""Part of a domain's hosts that groups leave free: two of nine, five of 37."""


SHORT = 1.25
"""Groups for each that the load fills below which a model has too few: four fifths of all their
slots are taken then, and the first request that meets a busy group waits."""


class ModelNeed(NamedTuple):
    """A model as it concerns a domain.

    :param need: its part of all groups: what the load fills, and a part of what is expected
    :param filled: how many groups of it the requests of the last seconds fill, over all domains
    :param elsewhere: its groups in the other domains, as a mean of one domain
    :param others: its groups in the other domains
    """

    model: str
    hosts: int
    need: float
    load_seconds: float
    elsewhere: float = 0.0
    others: int = 0
    filled: float = 0.0


class FreeHost(NamedTuple):
    """A host that is in no sound group.

    :param model: whose weights it has or loads, empty for none
    :param at_hand: it may be ordered to load now; a host of a group that is being taken apart is
        counted with, as it will be free in a moment
    """

    instance: Instance
    model: str
    at_hand: bool


class Standard(NamedTuple):
    """What a domain of its size is to hold.

    :param spares: hosts that are to stay free
    :param mix: groups by model
    """

    spares: int
    mix: Mapping[str, int]


def standard(domain: str, hosts: int, needs: Sequence[ModelNeed]) -> Standard:
    """Return what a domain with so many hosts is to hold."""
    return Standard(spare_hosts(hosts), first_mix({domain: hosts}, needs)[domain])


def next_model(
    plan: DomainPlan,
    staged: Mapping[str, int],
    free: int,
    aim: Standard,
    needs: Sequence[ModelNeed],
) -> ModelNeed | None:
    """Return the model to form a group of now: the one with the fewest groups for its need.

    :param staged: free hosts that have the weights, by model
    :param free: hosts in no group
    """
    goal = _next_goal(plan, staged, free, aim, needs)
    if goal is None:
        return None

    def leaves_goal(need: ModelNeed) -> bool:
        # The goal may still wait for a load; groups of what is at hand must not use up its hosts.
        return need is goal or free - need.hosts >= goal.hosts

    ready = [n for n in needs if n.hosts <= staged.get(n.model, 0)]
    fitting = [n for n in ready if leaves_goal(n) and _may_form(plan, n, free, aim)]
    return min(fitting, key=lambda n: supply(plan, n), default=None)


def _may_form(plan: DomainPlan, need: ModelNeed, free: int, aim: Standard) -> bool:
    """Tell whether a group of a model may be made of the free hosts.

    Spares mend the groups that stand. Made into one more small group, as any five free hosts could
    be, they were missing when a group of 16 lost one member, and none of the five such groups that
    broke in a day came back while requests came. They are given up only to have as many groups as
    there should be, or for a model whose groups are all but full. What is expected of it is no
    reason: its groups were half full, spares of nine domains went into more of them, and of 15
    groups of 32 that lost a member one after the other none was formed again for lack of one host.
    """
    if need.need <= 0 or need.hosts > free:
        return False
    own = sum(1 for g in plan.groups if g.model == need.model)
    if free - need.hosts >= aim.spares or own < aim.mix.get(need.model, 0):
        return True
    return own + need.others < SHORT * need.filled


def first_mix(
    hosts_by_domain: Mapping[str, int], needs: Sequence[ModelNeed]
) -> dict[str, Counter[str]]:
    """Return how many groups of each model each domain is to form first.

    Owners of domains don't ask each other; each works out the same from the same list. Of two ways
    the one holds that leaves the worst supplied model the better off. Handed out one by one, small
    groups are spread over all domains, and leave room for a large one in none of them: of five
    domains of 19 hosts one got a group of 16, when three groups were the share of their model, and
    nine in ten of its requests were refused. Placed by size first, the large ones have their
    domains, and the small ones the rest.
    """
    open_needs = [n for n in needs if n.need > 0]
    one_by_one = _Room(hosts_by_domain)
    one_by_one.hand_out(open_needs)
    by_size = _Room(hosts_by_domain)
    pooled = _Room({"": sum(by_size.free.values())}, spares=False)
    pooled.hand_out(open_needs)
    by_size.place(open_needs, pooled.given)
    by_size.hand_out(open_needs)
    best = max((one_by_one, by_size), key=lambda room: room.worst_supply(open_needs))
    return best.mix


class _Room:
    """The hosts of domains that are left while groups are handed out."""

    def __init__(self, hosts_by_domain: Mapping[str, int], spares: bool = True) -> None:
        self._spares = {d: spare_hosts(n) if spares else 0 for d, n in hosts_by_domain.items()}
        self.free = {d: n - self._spares[d] for d, n in hosts_by_domain.items()}
        self.mix: dict[str, Counter[str]] = {d: Counter() for d in hosts_by_domain}
        self.given: Counter[str] = Counter()

    def worst_supply(self, needs: Sequence[ModelNeed]) -> float:
        """Return the groups of the worst supplied model, in parts of its need."""
        return min((self.given[n.model] / n.need for n in needs), default=0.0)

    def place(self, needs: Sequence[ModelNeed], wanted: Mapping[str, int]) -> None:
        """Place groups of all models, the largest first, as far as they fit."""
        for need in sorted(needs, key=lambda n: (-n.hosts, n.model)):
            for _ in range(wanted[need.model]):
                fitting = [d for d, n in self.free.items() if n >= need.hosts]
                if fitting:
                    self._take(need, fitting)

    def hand_out(self, needs: Sequence[ModelNeed]) -> None:
        """Hand out groups one by one, to the model that has the fewest for its need.

        A model's first group may use up the spares.
        """
        left = list(needs)
        while left:
            need = min(left, key=lambda n: (self.given[n.model] / n.need, -n.hosts, n.model))
            fitting = [d for d, n in self.free.items() if n >= need.hosts]
            if not fitting and not self.given[need.model]:
                fitting = [d for d, n in self.free.items() if n + self._spares[d] >= need.hosts]
            if fitting:
                self._take(need, fitting)
            else:
                left.remove(need)

    def _take(self, need: ModelNeed, fitting: Sequence[str]) -> None:
        """Place a group in the domain that has the fewest of its model and the most room."""
        domain = min(fitting, key=lambda d: (self.mix[d][need.model], -self.free[d], d))
        self.mix[domain][need.model] += 1
        self.free[domain] -= need.hosts
        self.given[need.model] += 1


def spare_hosts(hosts: int) -> int:
    """Return how many of a domain's hosts are to stay free."""
    return math.ceil(hosts * SPARE_PART)


def next_first(
    plan: DomainPlan, first: Mapping[str, int], free: int, needs: Sequence[ModelNeed]
) -> ModelNeed | None:
    """Return the model of which the plan still lacks first groups, the largest one first."""
    held = Counter(g.model for g in plan.groups)
    lacking = [n for n in needs if held[n.model] < first.get(n.model, 0) and n.hosts <= free]
    return max(lacking, key=lambda n: n.hosts, default=None)


def supply(plan: DomainPlan, need: ModelNeed) -> float:
    """Return how well a model is supplied: its groups, here and elsewhere, for its need."""
    own = sum(1 for g in plan.groups if g.model == need.model)
    return (own + need.elsewhere + 0.5) / need.need


def loads_to_order(
    plan: DomainPlan, free: Sequence[FreeHost], aim: Standard, needs: Sequence[ModelNeed]
) -> list[tuple[Instance, str]]:
    """Return which free hosts are to load which model's weights, the most urgent first.

    :param plan: the domain's plan, of its sound groups only
    """
    left = list(free)
    orders: list[tuple[Instance, str]] = []
    while True:
        staged = Counter(h.model for h in left)
        need = _next_goal(plan, staged, len(left), aim, needs)
        if need is None:
            break
        group, left = _pick(left, need)
        orders += [(h.instance, need.model) for h in group if h.model != need.model and h.at_hand]
        plan = plan.with_group(need.model, tuple(h.instance for h in group))
    return orders + _spares(plan, left, needs)


def _next_goal(
    plan: DomainPlan,
    staged: Mapping[str, int],
    free: int,
    aim: Standard,
    needs: Sequence[ModelNeed],
) -> ModelNeed | None:
    """Return the model that the free hosts are to make up a group of next."""

    def rank(need: ModelNeed) -> float:
        loads = max(0, need.hosts - staged.get(need.model, 0))
        return supply(plan, need) * (1 + LOAD_WEIGHS * loads / need.hosts)

    fitting = [n for n in needs if _may_form(plan, n, free, aim)]
    return min(fitting, key=rank, default=None)


def _pick(left: Sequence[FreeHost], need: ModelNeed) -> tuple[list[FreeHost], list[FreeHost]]:
    """Return the hosts that make up a group, those that have its weights first, and the rest."""
    others = Counter(h.model for h in left)

    def rank(host: FreeHost) -> tuple[bool, bool, bool, int]:
        # Of the wrong weights those go first of which there are the fewest: they are the least
        # of a group.
        return host.model != need.model, bool(host.model), not host.at_hand, others[host.model]

    ordered = sorted(left, key=rank)
    return ordered[: need.hosts], ordered[need.hosts :]


def _spares(
    plan: DomainPlan, left: Sequence[FreeHost], needs: Sequence[ModelNeed]
) -> list[tuple[Instance, str]]:
    """Return what hosts beyond all groups load: a spare for each model before a second for one."""
    spares = Counter(h.model for h in left)
    orders = []
    for host in left:
        if host.model or not host.at_hand:
            continue
        need = min(
            (n for n in needs if n.need > 0),
            key=lambda n: (spares[n.model], supply(plan, n)),
            default=None,
        )
        if need is not None:
            spares[need.model] += 1
            orders.append((host.instance, need.model))
    return orders
