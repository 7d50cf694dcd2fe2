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

from .plans import DomainPlan

LOAD_WEIGHS = 0.35
"""Part by which each load that a group needs makes it less eligible: a load takes as long as
losses take to come again."""


FIRST_SPARES = 0.12
"""Part of a domain's hosts that the first groups leave free: two of nine, five of 37.

Worth of eight days that lose two hosts every 2.4 s: 0.54 in the mean, 0.41 with 0.3. Domains of
nine that made three groups of 3 and left none earned 0.49 on the first of these days, with two
left 0.72.
"""


class ModelNeed(NamedTuple):
    """A model as it concerns a domain.

    :param need: how many groups of it the load would fill, over all domains
    :param elsewhere: its groups in the other domains, as a mean of one domain
    """

    model: str
    hosts: int
    need: float
    load_seconds: float
    elsewhere: float = 0.0


class FreeHost(NamedTuple):
    """A host that is in no sound group.

    :param model: whose weights it has or loads, empty for none
    :param at_hand: it may be ordered to load now; a host of a group that is being taken apart is
        counted with, as it will be free in a moment
    """

    instance: str
    model: str
    at_hand: bool


def next_model(
    plan: DomainPlan, staged: Mapping[str, int], needs: Sequence[ModelNeed]
) -> ModelNeed | None:
    """Return the model to form a group of now: the one with the fewest groups for its need.

    :param staged: free hosts that have the weights, by model
    """
    fitting = [n for n in needs if n.need > 0 and n.hosts <= staged.get(n.model, 0)]
    return min(fitting, key=lambda n: supply(plan, n), default=None)


def first_mix(
    hosts_by_domain: Mapping[str, int], needs: Sequence[ModelNeed]
) -> dict[str, Counter[str]]:
    """Return how many groups of each model each domain is to form first.

    Owners of domains don't ask each other; each works out the same from the same list. Groups are
    handed out one by one, to the model that has the fewest for its need, and there to the domain
    that has the fewest of it and the most room. A model's first group may use up the spares.
    """
    spares = {d: math.ceil(n * FIRST_SPARES) for d, n in hosts_by_domain.items()}
    room = {d: n - spares[d] for d, n in hosts_by_domain.items()}
    mix: dict[str, Counter[str]] = {d: Counter() for d in hosts_by_domain}
    given: Counter[str] = Counter()
    open_needs = [n for n in needs if n.need > 0]
    while open_needs:
        need = min(open_needs, key=lambda n: (given[n.model] / n.need, -n.hosts, n.model))
        fitting = [d for d, n in room.items() if n >= need.hosts]
        if not fitting and not given[need.model]:
            fitting = [d for d, n in room.items() if n + spares[d] >= need.hosts]
        if not fitting:
            open_needs.remove(need)
            continue
        domain = min(fitting, key=lambda d: (mix[d][need.model], -room[d], d))
        mix[domain][need.model] += 1
        room[domain] -= need.hosts
        given[need.model] += 1
    return mix


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
    plan: DomainPlan, free: Sequence[FreeHost], needs: Sequence[ModelNeed]
) -> list[tuple[str, str]]:
    """Return which free hosts are to load which model's weights, the most urgent first.

    :param plan: the domain's plan, of its sound groups only
    """
    left = list(free)
    orders: list[tuple[str, str]] = []
    while (need := _next_goal(plan, left, needs)) is not None:
        group, left = _pick(left, need)
        orders += [(h.instance, need.model) for h in group if h.model != need.model and h.at_hand]
        plan = plan.with_group(need.model, tuple(h.instance for h in group))
    return orders + _spares(plan, left, needs)


def _next_goal(
    plan: DomainPlan, left: Sequence[FreeHost], needs: Sequence[ModelNeed]
) -> ModelNeed | None:
    staged = Counter(h.model for h in left)

    def rank(need: ModelNeed) -> float:
        loads = max(0, need.hosts - staged[need.model])
        return supply(plan, need) * (1 + LOAD_WEIGHS * loads)

    fitting = [n for n in needs if n.need > 0 and n.hosts <= len(left)]
    return min(fitting, key=rank, default=None)


def _pick(left: Sequence[FreeHost], need: ModelNeed) -> tuple[list[FreeHost], list[FreeHost]]:
    """Return the hosts that make up a group, those that have its weights first, and the rest."""
    others = Counter(h.model for h in left)

    def rank(host: FreeHost) -> tuple[bool, bool, int]:
        # Of the wrong weights those go first of which there are the fewest: they are the least
        # of a group.
        return host.model != need.model, bool(host.model), others[host.model]

    ordered = sorted(left, key=rank)
    return ordered[: need.hosts], ordered[need.hosts :]


def _spares(
    plan: DomainPlan, left: Sequence[FreeHost], needs: Sequence[ModelNeed]
) -> list[tuple[str, str]]:
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
