"""Decides whether a domain gives up serving groups of one model for another that is short.

Owners of domains decide alone. They agree because all count by the plans, which all read, and by a
fixed rank of the domains: an owner assumes that each domain that ranks before its own and that
could give up as well does so now. What is already given up shows in the plans as free hosts and
counts as groups that are about to form. So all together give up no more than is short, even if
plans are read one step late.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ..ownership import rendezvous
from .composing import (
    GETTING_FULL_RATIO,
    UNDERSUPPLY_RATIO,
    Composition,
    ModelNeed,
    spare_hosts,
)
from .inventory import Instance, TargetHost
from .needs import DomainState, Fleet
from .plans import DomainPlan, PlannedGroup

ESTIMATE_FACTOR = 1.25
"""Factor by which two entry hosts may differ in their estimates of the demand. Each assumes that it
overestimates what is short and underestimates what a model needs for itself."""


MENDING_FRACTION = 0.5
"""Fraction of a group's hosts that must be free with its weights for it to count as one that lost
members. To form a new group of a model out of hosts of others is no repair."""


class GivenUp(NamedTuple):
    """Serving groups to give up, and why."""

    groups: tuple[PlannedGroup, ...]
    reason: str


class _Move(NamedTuple):
    """Exchange of groups of one model for groups of another in a domain.

    :param cost: groups to give up
    :param gain: groups that their hosts form at most
    """

    model: str
    cost: int
    gain: int


def group_to_give_up(
    domain: str,
    plan: DomainPlan,
    fleet: Fleet,
    hosts: Mapping[Instance, TargetHost],
    needs: Sequence[ModelNeed],
) -> GivenUp | None:
    """Return the groups of an oversupplied model that this domain should give up now.

    :param plan: the domain's plan with its complete, fault-free groups only
    """
    if domain not in fleet or not _may_any_be_short(needs):
        return None
    for short in sorted(needs, key=lambda n: _supply_ratio(n, fleet)):
        if _coming(fleet[domain], short) or fleet[domain].hosts < short.hosts:
            continue
        for own in needs:
            found = _move(domain, plan, fleet, hosts, needs, short, own)
            if found is not None:
                return found
    return None


def _move(
    domain: str,
    plan: DomainPlan,
    fleet: Fleet,
    hosts: Mapping[Instance, TargetHost],
    needs: Sequence[ModelNeed],
    short: ModelNeed,
    own: ModelNeed,
) -> GivenUp | None:
    if own.model == short.model:
        return None
    move = _exchange(own, short)
    groups = _cheapest(plan, hosts, own.model, short.model)[: move.cost]
    if len(groups) < move.cost:
        return None
    staged = all(short.model in hosts[i].staged for g in groups for i in g.members)
    lasting = short.lasting_staged if staged else short.lasting
    missing = groups_short(short, lasting, fleet)
    excess = groups_in_excess(own, fleet)
    if move.gain > missing or move.cost > excess:
        return None
    before = _ranked_before(domain, fleet, short)
    # Those that rank before this domain may exchange groups of other models, so the highest gain
    # of any of them counts.
    most_gain = max(_exchange(n, short).gain for n in needs if n.model != short.model)
    if len(before) * most_gain + move.gain > missing or (len(before) + 1) * move.cost > excess:
        return None
    if not _leaves_some_near(domain, fleet, move, before):
        return None
    numbers = (
        f"{short.model} filled {lasting:.1f} groups throughout and has {_groups(short, fleet)};"
        f" {own.model} filled at most {own.peak or 0.0:.1f} and has {_groups(own, fleet)}"
    )
    names = ", ".join(g.name for g in groups)
    return GivenUp(tuple(groups), f"gave up {names} of {own.model} for {short.model}: {numbers}")


def groups_short(need: ModelNeed, lasting: float, fleet: Fleet) -> float:
    """Return how many groups a model lacks until four fifths of its slots are in use.

    :param lasting: number of groups that its requests filled throughout the last seconds
    """
    lacking = UNDERSUPPLY_RATIO * lasting / ESTIMATE_FACTOR - _groups(need, fleet)
    return lacking - sum(_coming(s, need) for s in fleet.values()) if lacking > 0 else lacking


def groups_in_excess(need: ModelNeed, fleet: Fleet) -> int:
    """Return how many groups of a model may go.

    Those that are left must bear its highest demand without the data centre that has most of them.
    Negative if it needs more than it has, or if its demand is not known for long enough.
    """
    if need.peak is None:
        return -1
    count_by_data_centre: Counter[str] = Counter()
    for state in fleet.values():
        count_by_data_centre[state.data_centre] += state.groups(need.model)
    total = count_by_data_centre.total()
    if len(count_by_data_centre) < 2:
        return math.floor(total - UNDERSUPPLY_RATIO * ESTIMATE_FACTOR * need.peak)
    most = max(count_by_data_centre.values())
    return math.floor(total - most - ESTIMATE_FACTOR * need.peak)


def without_excess(
    needs: Sequence[ModelNeed], domain: str, fleet: Fleet, staged: Mapping[str, int]
) -> list[ModelNeed]:
    """Return the models that the free hosts of a domain may form groups of.

    Hosts of a group that was given up must not form a group of the same model again.

    :param staged: number of free hosts that have the weights, by model
    """
    if domain not in fleet or not _may_any_be_short(needs):
        return list(needs)
    # The free hosts here are what is to be decided on, so they count for no model yet.
    undecided = {**fleet, domain: fleet[domain]._replace(free=0)}

    def is_short(need: ModelNeed) -> bool:
        ready = staged.get(need.model, 0) >= need.hosts
        lasting = need.lasting_staged if ready else need.lasting
        return groups_short(need, lasting, undecided) > 0

    short = {n.model for n in needs if n.hosts <= fleet[domain].hosts and is_short(n)}
    if not short:
        return list(needs)
    return [n for n in needs if n.model in short or groups_in_excess(n, fleet) < 0]


def groups_for_mending(
    plan: DomainPlan,
    hosts: Mapping[Instance, TargetHost],
    free: Sequence[TargetHost],
    desired: Composition,
    needs: Sequence[ModelNeed],
) -> GivenUp | None:
    """Return the groups beyond the desired mix to give up for a larger model that lost a group.

    Spares serve while they wait. They go back when the free hosts no longer suffice to form the
    lost group again and its model has the greater need.

    :param plan: the domain's plan with its complete, fault-free groups only
    :param free: hosts in no fault-free group, those that are about to be free included
    """
    held = Counter(g.model for g in plan.groups)
    for lost in _lost_and_needed(plan, free, desired, needs):
        if held[lost.model] + lost.others >= GETTING_FULL_RATIO * lost.pressing:
            continue
        lacking = lost.hosts - len(free)
        if lacking <= 0:
            return None
        for other in _smaller_in_less_need(plan, lost, needs):
            count = math.ceil(lacking / other.hosts)
            groups = _cheapest(plan, hosts, other.model, lost.model)[:count]
            extra = held[other.model] - desired.mix.get(other.model, 0)
            if count > extra or len(groups) < count:
                continue
            if _load(other, held, -count) >= _load(lost, held):
                continue
            reason = (
                f"gave up {', '.join(g.name for g in groups)} of {other.model}, formed of spares,"
                f" for {lost.model}: {len(free)} hosts are free of the {lost.hosts} that it needs,"
                f" its {held[lost.model] + lost.others} groups are asked to fill"
                f" {lost.pressing:.1f}"
            )
            return GivenUp(tuple(groups), reason)
    return None


def without_spent_spares(
    plan: DomainPlan, free: Sequence[TargetHost], desired: Composition, needs: Sequence[ModelNeed]
) -> list[ModelNeed]:
    """Return the models of which a group may form without hosts that mend a larger, needier one.

    Hosts that were given up to mend a group must not form a small group again.

    :param plan: the domain's plan with its fault-free groups only
    :param free: hosts in no fault-free group, those that are about to be free included
    """
    held = Counter(g.model for g in plan.groups)
    barred = {
        other.model
        for lost in _lost_and_needed(plan, free, desired, needs)
        for other in _smaller_in_less_need(plan, lost, needs)
        if held[other.model] >= desired.mix.get(other.model, 0)
        and len(free) - other.hosts < lost.hosts
    }
    return [n for n in needs if n.model not in barred]


def _lost_and_needed(
    plan: DomainPlan, free: Sequence[TargetHost], desired: Composition, needs: Sequence[ModelNeed]
) -> list[ModelNeed]:
    """Return the models whose groups recently were getting full and lost one here, largest first.

    They count by their recent peak, so that a swing does not bar and release hosts by turns.
    """
    held = Counter(g.model for g in plan.groups)
    staged = Counter(m for h in free for m in h.staged)
    lost = [
        n
        for n in needs
        if held[n.model] < desired.mix.get(n.model, 0)
        and staged[n.model] >= MENDING_FRACTION * n.hosts
        and held[n.model] + n.others < GETTING_FULL_RATIO * max(n.pressing, n.peak or 0.0)
    ]
    return sorted(lost, key=lambda n: (-n.hosts, n.model))


def _smaller_in_less_need(
    plan: DomainPlan, lost: ModelNeed, needs: Sequence[ModelNeed]
) -> list[ModelNeed]:
    held = Counter(g.model for g in plan.groups)
    found = [n for n in needs if n.hosts < lost.hosts and _load(n, held) < _load(lost, held)]
    return sorted(found, key=lambda n: (n.hosts, n.model))


def _load(need: ModelNeed, held: Mapping[str, int], change: int = 0) -> float:
    """Return the recent peak of the demand per group of a model."""
    groups = held.get(need.model, 0) + need.others + change
    return max(need.pressing, need.peak or 0.0) / groups if groups > 0 else float("inf")


def _exchange(own: ModelNeed, short: ModelNeed) -> _Move:
    cost = math.ceil(short.hosts / own.hosts)
    # Free hosts that are too few for a group may complete one more.
    return _Move(own.model, cost, math.ceil(cost * own.hosts / short.hosts))


def _may_any_be_short(needs: Sequence[ModelNeed]) -> bool:
    """Return whether any model may lack groups; a quick check that other domains' groups pass."""
    factor = UNDERSUPPLY_RATIO / ESTIMATE_FACTOR
    return any(factor * max(n.lasting, n.lasting_staged) > n.others for n in needs)


def _ranked_before(domain: str, fleet: Fleet, short: ModelNeed) -> list[str]:
    """Return the domains that rank before this one and could give up groups for the short model.

    It depends on the plans and on nothing that owners estimate.
    """
    ranked = rendezvous(short.model, fleet, len(fleet))
    before = ranked[: ranked.index(domain)]
    return [d for d in before if _may_exchange(fleet[d], short)]


def _may_exchange(state: DomainState, short: ModelNeed) -> bool:
    """Return whether a domain has groups of another model to exchange and has not just done so."""
    if _coming(state, short) or state.hosts < short.hosts:
        return False
    return any(model != short.model for model in state.count_by_model)


def _leaves_some_near(domain: str, fleet: Fleet, move: _Move, before: Sequence[str]) -> bool:
    """Return whether the data centre keeps a group of the model that is given up."""
    data_centre = fleet[domain].data_centre
    near = {d for d, s in fleet.items() if s.data_centre == data_centre}
    if len(near) == len(fleet):
        return True
    left = sum(fleet[d].groups(move.model) for d in near)
    return left - move.cost * (1 + sum(1 for d in before if d in near)) >= 1


def _groups(need: ModelNeed, fleet: Fleet) -> int:
    return sum(s.groups(need.model) for s in fleet.values())


def _coming(state: DomainState, need: ModelNeed) -> int:
    """Return how many groups of a model the hosts beyond the spares of a domain could form."""
    return max(0, state.free - spare_hosts(max(0, state.hosts))) // need.hosts


def _supply_ratio(need: ModelNeed, fleet: Fleet) -> float:
    return _groups(need, fleet) / need.lasting_staged if need.lasting_staged else float("inf")


def _cheapest(
    plan: DomainPlan, hosts: Mapping[Instance, TargetHost], model: str, wanted: str
) -> list[PlannedGroup]:
    """Return the groups of a model, first those whose hosts have the wanted weights, then new ones.

    Groups with members that are not listed are left out.
    """
    whole = [g for g in plan.groups if g.model == model and all(i in hosts for i in g.members)]

    def loads(members: Iterable[Instance]) -> int:
        return sum(1 for i in members if wanted not in hosts[i].staged)

    return sorted(whole, key=lambda g: (loads(g.members), -g.epoch))
