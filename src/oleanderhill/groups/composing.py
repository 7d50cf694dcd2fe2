"""Decides which groups a fabric domain should form and which weights its free hosts should load.

Loading weights takes ten seconds and more; forming a group of hosts that have them takes two. So
groups are formed only of hosts that have the weights, and loads are ordered in advance for the next
groups that the free hosts can form together. Otherwise free hosts would end up as parts of several
groups, none of which can be completed because the others have different weights.

In this package, "a group of 16" is a group of 16 hosts.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .inventory import Instance
from .plans import DomainPlan

LOAD_PENALTY = 1.2
"""Penalty on the rank of a group if all of its hosts need a load, proportionally less if fewer do.
A load takes about as long as the interval between losses. The penalty depends on the fraction, not
the number, of loads: a group of 16 that lacks two hosts is nearly complete, but when its two loads
counted as much as two in a group of 4, its hosts were used for small groups instead."""

SPARE_FRACTION = 0.12
"""Fraction of a domain's hosts that is kept free as spares: two of nine, five of 37."""


UNDERSUPPLY_RATIO = 1.25
"""A model is undersupplied if it has fewer groups than this multiple of the number of groups that
its current requests fill. At this ratio four fifths of its slots are in use, and the first request
that reaches a busy group has to wait."""

GETTING_FULL_RATIO = 1.4
"""A model's groups are getting full if there are fewer than this multiple of the number that its
present requests fill. Spares then form groups early: by the time that those serve, a burst that
grows by two fifths has filled all slots."""

LACKING_NEAR_FACTOR = 0.5
"""Factor on the supply of a model that has no group in the data centre of a domain. The data centre
may be cut off and then has to serve its own callers."""


class ModelNeed(NamedTuple):
    """A model and its demand, from the viewpoint of one domain.

    :param hosts: number of hosts in each of its groups
    :param need: demand in groups over all domains, from current load and a part of the expected
        load
    :param load_seconds: time to load its weights from the weight store
    :param filled: number of its groups, over all domains, that the requests of the last seconds
        fill
    :param elsewhere: mean number of its groups per other domain
    :param others: total number of its groups in the other domains
    """

    model: str
    hosts: int
    need: float
    load_seconds: float
    elsewhere: float = 0.0
    others: int = 0
    filled: float = 0.0
    pressing: float = 0.0
    near: int | None = None
    lasting: float = 0.0
    lasting_staged: float = 0.0
    peak: float | None = None


class FreeHost(NamedTuple):
    """A host that is in no fault-free group.

    :param model: model whose weights it has or is loading, empty for none
    :param available: whether it may be ordered to load now. Hosts of a group that is being
        dissolved are included as unavailable, because they will be free shortly.
    """

    instance: Instance
    model: str
    available: bool


class Composition(NamedTuple):
    """Desired composition of a domain, given its size.

    :param spares: number of hosts that should stay free
    :param mix: number of groups by model
    """

    spares: int
    mix: Mapping[str, int]


def desired_composition(domain: str, hosts: int, needs: Sequence[ModelNeed]) -> Composition:
    """Return the desired composition of a domain with a number of hosts."""
    return Composition(spare_hosts(hosts), initial_mix({domain: hosts}, needs)[domain])


def next_model(
    plan: DomainPlan,
    staged: Mapping[str, int],
    free: int,
    desired: Composition,
    needs: Sequence[ModelNeed],
) -> ModelNeed | None:
    """Return the model for which to form a group now, or ``None`` if no group should be formed.

    Of the models that have enough hosts with the weights, it is the least supplied one relative to
    its need.

    :param staged: number of free hosts that have the weights, by model
    :param free: number of hosts in no group
    """
    goal = _next_goal(plan, staged, free, desired, needs)
    if goal is None:
        return None

    def leaves_hosts_for_goal(need: ModelNeed) -> bool:
        # The goal may still wait for a load; groups that can form now must not use up its hosts.
        return need is goal or free - need.hosts >= goal.hosts

    ready = [n for n in needs if n.hosts <= staged.get(n.model, 0)]
    fitting = [
        n
        for n in ready
        if leaves_hosts_for_goal(n) and _may_form(plan, n, staged, free, desired, needs)
    ]
    return min(fitting, key=lambda n: supply(plan, n), default=None)


def _may_form(
    plan: DomainPlan,
    need: ModelNeed,
    staged: Mapping[str, int],
    free: int,
    desired: Composition,
    needs: Sequence[ModelNeed],
) -> bool:
    """Return whether a group for a model may be formed of the free hosts.

    Spares replace lost members of existing groups, so they are used for a new group only to reach
    the desired number of groups, or for a model whose groups are nearly full. Without this rule any
    five free hosts could form another small group, and no spare was left when a group of 16 lost a
    member: none of the five groups of 16 that lost one in a day recovered while requests arrived.
    Expected load alone is no reason to use spares: the spares of nine domains were used for groups
    of a model whose groups were only half full. 15 groups of 32 then lost a member one after the
    other, and none was formed again, for lack of one host.

    For a model whose groups are nearly full, spares with the weights of a larger model stay free up
    to the number that mends a group of it. For one whose groups are only getting full, as many
    spares stay free whatever their weights.
    """
    if need.need <= 0 or need.hosts > free:
        return False
    own = sum(1 for g in plan.groups if g.model == need.model)
    if free - need.hosts >= desired.spares or own < desired.mix.get(need.model, 0):
        return True
    if own + need.others < UNDERSUPPLY_RATIO * need.filled:
        return free - _mending_spares(plan, need, staged, free, desired, needs) >= need.hosts
    if own + need.others < GETTING_FULL_RATIO * need.pressing:
        return free - _mending_reserve(plan, need, desired, needs) >= need.hosts
    return False


def _mending_reserve(
    plan: DomainPlan, need: ModelNeed, desired: Composition, needs: Sequence[ModelNeed]
) -> int:
    """Return how many spares should stay free for groups of larger models than the given one."""
    larger = bool(_larger_models(plan, need, desired, needs))
    return math.ceil(desired.spares / 2) if larger else 0


def _larger_models(
    plan: DomainPlan, need: ModelNeed, desired: Composition, needs: Sequence[ModelNeed]
) -> list[str]:
    """Return the larger models that have groups here, or should: one that lost its last included.

    :param plan: the domain's plan with its fault-free groups only
    """
    held = {g.model for g in plan.groups} | {m for m, n in desired.mix.items() if n > 0}
    return [n.model for n in needs if n.hosts > need.hosts and n.model in held]


def _mending_spares(
    plan: DomainPlan,
    need: ModelNeed,
    staged: Mapping[str, int],
    free: int,
    desired: Composition,
    needs: Sequence[ModelNeed],
) -> int:
    """Return how many of the spares that should stay free have only the weights of larger models.

    A host that has the weights of several models counts for each of them.
    """
    larger = _larger_models(plan, need, desired, needs)
    with_others = max(0, sum(staged.values()) - free)
    only_larger = max(0, sum(staged.get(m, 0) for m in larger) - with_others)
    return min(_mending_reserve(plan, need, desired, needs), only_larger)


def initial_mix(
    hosts_by_domain: Mapping[str, int],
    needs: Sequence[ModelNeed],
    data_centre_by_domain: Mapping[str, str] | None = None,
) -> dict[str, Counter[str]]:
    """Return how many groups of each model each domain should form initially.

    Owners do not coordinate; each computes the same result from the same list. Two strategies are
    compared, and the one that gives the worst supplied model more groups for its need is used:

    - Distributing groups one by one to the least supplied model. Small groups may then spread over
      all domains and leave none with enough hosts for a large group: of five domains of 19 hosts
      only one got a group of 16, although the model needed three, and nine in ten of its requests
      were rejected.
    - Placing groups by size. Large groups then get domains of their own, and small groups the
      remaining hosts.

    Of allocations that are equally good, the one is used that gives the worst supplied data centre
    more groups for its part of the hosts: a data centre that is cut off serves its own callers.

    :param data_centre_by_domain: data centre in which each domain is
    """
    open_needs = [n for n in needs if n.need > 0]
    pooled = _Allocation({"": sum(_Allocation(hosts_by_domain).free.values())}, spares=False)
    pooled.distribute(open_needs)
    near = data_centre_by_domain or {}
    # Of equally good allocations the first is used; only the last two choose by data centre.
    allocations = [_Allocation(hosts_by_domain, near, even) for even in (False, False, True, True)]
    for number, allocation in enumerate(allocations):
        if number % 2:
            allocation.place_by_size(open_needs, pooled.count_by_model)
        allocation.distribute(open_needs)
    best = max(allocations, key=lambda a: (a.worst_supply(open_needs), a.worst_near(open_needs)))
    return best.mix


class _Allocation:
    """Allocation of the hosts of all domains to groups."""

    def __init__(
        self,
        hosts_by_domain: Mapping[str, int],
        data_centre_by_domain: Mapping[str, str] | None = None,
        even: bool = False,
        spares: bool = True,
    ) -> None:
        self._spares = {d: spare_hosts(n) if spares else 0 for d, n in hosts_by_domain.items()}
        self.free = {d: n - self._spares[d] for d, n in hosts_by_domain.items()}
        self.mix: dict[str, Counter[str]] = {d: Counter() for d in hosts_by_domain}
        self.count_by_model: Counter[str] = Counter()
        near = data_centre_by_domain or {}
        self._data_centre = {d: near.get(d, "") for d in hosts_by_domain}
        self._hosts_near: Counter[str] = Counter()
        for domain, hosts in hosts_by_domain.items():
            self._hosts_near[self._data_centre[domain]] += hosts
        self._even = even
        self._count_near: Counter[tuple[str, str]] = Counter()

    def worst_near(self, needs: Sequence[ModelNeed]) -> float:
        """Return the lowest ratio of groups to need over all models and data centres."""
        total = self._hosts_near.total()
        return min(
            (
                self._count_near[data_centre, n.model] / (n.need * hosts / total)
                for data_centre, hosts in self._hosts_near.items()
                for n in needs
                if hosts
            ),
            default=0.0,
        )

    def worst_supply(self, needs: Sequence[ModelNeed]) -> float:
        """Return the lowest ratio of groups to need over all models."""
        return min((self.count_by_model[n.model] / n.need for n in needs), default=0.0)

    def place_by_size(self, needs: Sequence[ModelNeed], wanted: Mapping[str, int]) -> None:
        """Allocate groups of all models, the largest first, as far as they fit."""
        for need in sorted(needs, key=lambda n: (-n.hosts, n.model)):
            for _ in range(wanted[need.model]):
                fitting = [d for d, n in self.free.items() if n >= need.hosts]
                if fitting:
                    self._allocate(need, fitting)

    def distribute(self, needs: Sequence[ModelNeed]) -> None:
        """Allocate groups one by one, each to the model with the lowest supply.

        The first group of a model may use the spares.
        """
        left = list(needs)
        while left:
            need = min(
                left, key=lambda n: (self.count_by_model[n.model] / n.need, -n.hosts, n.model)
            )
            fitting = [d for d, n in self.free.items() if n >= need.hosts]
            if not fitting and not self.count_by_model[need.model]:
                fitting = [d for d, n in self.free.items() if n + self._spares[d] >= need.hosts]
            if fitting:
                self._allocate(need, fitting)
            else:
                left.remove(need)

    def _allocate(self, need: ModelNeed, fitting: Sequence[str]) -> None:
        """Allocate a group in the domain with the fewest of its model, then the most free hosts.

        Data centres are equally supplied first if the allocation is to be even.
        """

        def rank(domain: str) -> tuple[float, int, int, str]:
            data_centre = self._data_centre[domain]
            hosts = max(1, self._hosts_near[data_centre])
            near = self._count_near[data_centre, need.model] / hosts if self._even else 0.0
            return near, self.mix[domain][need.model], -self.free[domain], domain

        domain = min(fitting, key=rank)
        self._count_near[self._data_centre[domain], need.model] += 1
        self.mix[domain][need.model] += 1
        self.free[domain] -= need.hosts
        self.count_by_model[need.model] += 1


def spare_hosts(hosts: int) -> int:
    """Return how many of a domain's hosts should stay free."""
    return math.ceil(hosts * SPARE_FRACTION)


def next_initial_model(
    plan: DomainPlan, initial: Mapping[str, int], free: int, needs: Sequence[ModelNeed]
) -> ModelNeed | None:
    """Return the largest model that still lacks initial groups and for which free hosts suffice."""
    held = Counter(g.model for g in plan.groups)
    lacking = [n for n in needs if held[n.model] < initial.get(n.model, 0) and n.hosts <= free]
    return max(lacking, key=lambda n: n.hosts, default=None)


def supply(plan: DomainPlan, need: ModelNeed) -> float:
    """Return the supply of a model: its groups, here and in other domains, relative to its need."""
    own = sum(1 for g in plan.groups if g.model == need.model)
    lacking_near = need.near is not None and own + need.near == 0
    factor = LACKING_NEAR_FACTOR if lacking_near else 1.0
    return factor * (own + need.elsewhere + 0.5) / need.need


def loads_to_order(
    plan: DomainPlan, free: Sequence[FreeHost], desired: Composition, needs: Sequence[ModelNeed]
) -> list[tuple[Instance, str]]:
    """Return which free hosts should load which model's weights, the most urgent first.

    :param plan: the domain's plan, with its fault-free groups only
    """
    left = list(free)
    orders: list[tuple[Instance, str]] = []
    while True:
        staged = Counter(h.model for h in left)
        need = _next_goal(plan, staged, len(left), desired, needs)
        if need is None:
            break
        group, left = _pick(left, need)
        orders += [(h.instance, need.model) for h in group if h.model != need.model and h.available]
        plan = plan.with_group(need.model, tuple(h.instance for h in group))
    return orders + _spares(plan, left, desired, needs)


def _next_goal(
    plan: DomainPlan,
    staged: Mapping[str, int],
    free: int,
    desired: Composition,
    needs: Sequence[ModelNeed],
) -> ModelNeed | None:
    """Return the model for which the free hosts should form the next group.

    Unlike :func:`next_model`, it also considers models whose weights must be loaded first.
    """

    def rank(need: ModelNeed) -> float:
        loads = max(0, need.hosts - staged.get(need.model, 0))
        return supply(plan, need) * (1 + LOAD_PENALTY * loads / need.hosts)

    fitting = [n for n in needs if _may_form(plan, n, staged, free, desired, needs)]
    return min(fitting, key=rank, default=None)


def _pick(left: Sequence[FreeHost], need: ModelNeed) -> tuple[list[FreeHost], list[FreeHost]]:
    """Split the hosts into those for a group, hosts with its weights first, and the rest."""
    others = Counter(h.model for h in left)

    def rank(host: FreeHost) -> tuple[bool, bool, bool, int]:
        # Of hosts with other weights, use those of the rarest model first: they are furthest from
        # completing a group of it.
        return host.model != need.model, bool(host.model), not host.available, others[host.model]

    ordered = sorted(left, key=rank)
    return ordered[: need.hosts], ordered[need.hosts :]


def _spares(
    plan: DomainPlan, left: Sequence[FreeHost], desired: Composition, needs: Sequence[ModelNeed]
) -> list[tuple[Instance, str]]:
    """Return loads for the remaining hosts: one spare for each model before a second for any.

    If the groups of a model are getting full, its next group comes first, after the spares that
    mend groups of larger models.
    """
    spares = Counter(h.model for h in left)
    orders = []
    for host in left:
        if host.model or not host.available:
            continue
        need = _full_model(plan, spares, desired, needs) or min(
            (n for n in needs if n.need > 0),
            key=lambda n: (spares[n.model], supply(plan, n)),
            default=None,
        )
        if need is not None:
            spares[need.model] += 1
            orders.append((host.instance, need.model))
    return orders


def _full_model(
    plan: DomainPlan, spares: Mapping[str, int], desired: Composition, needs: Sequence[ModelNeed]
) -> ModelNeed | None:
    """Return the least supplied of the models whose groups are getting full."""

    def is_full(need: ModelNeed) -> bool:
        own = sum(1 for g in plan.groups if g.model == need.model)
        return own + need.others < GETTING_FULL_RATIO * need.pressing

    def leaves_reserve(need: ModelNeed) -> bool:
        larger = [n.model for n in needs if n.hosts > need.hosts]
        held = sum(spares.get(m, 0) for m in larger)
        return held >= _mending_reserve(plan, need, desired, needs)

    full = [n for n in needs if n.need > 0 and is_full(n) and leaves_reserve(n)]
    return min(full, key=lambda n: supply(plan, n), default=None)
