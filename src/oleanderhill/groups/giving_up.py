"""When the owner of a domain may give up serving groups."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from .actions import Replan
from .composing import Composition, ModelNeed
from .inventory import Instance, TargetHost
from .needs import Fleet
from .plans import DomainPlan
from .shifting import (
    GivenUp,
    group_to_give_up,
    groups_for_mending,
    without_excess,
    without_spent_spares,
)

MOVE_SPACING = 6.0
"""Seconds between two times that an owner gives up groups for another model, and after it took the
domain over. Owners give no orders by plans that are older than 2.5 s, so by then each has read what
the others did."""

LOOK_INTERVAL = 1.0
"""Seconds between two looks at the whole fleet, which take time where there are thousands of
domains. Demand is sampled about as often."""


class DomainView(NamedTuple):
    """What the owner of a domain decides by.

    :param fault_free: the plan with its fault-free groups only
    :param fleet: state of all domains, this one included
    """

    plan: DomainPlan
    fault_free: DomainPlan
    hosts: Mapping[Instance, TargetHost]
    desired: Composition
    fleet: Fleet

    @property
    def free(self) -> list[TargetHost]:
        """Return the hosts in no fault-free group, those about to be free included."""
        held = {i for g in self.fault_free.groups for i in g.members}
        return [h for i, h in self.hosts.items() if i not in held and not h.leaving]


class GivingUp:
    """Decides for one domain; it remembers only when it last gave up groups."""

    def __init__(self) -> None:
        self._not_before: float | None = None

    def decide(
        self,
        now: float,
        view: DomainView,
        completed: Collection[str],
        needs: Sequence[ModelNeed],
    ) -> Replan | None:
        """Return the plan without the groups to give up now, ``None`` if there are none.

        :param completed: names of the groups that were complete
        """
        if self._not_before is None:
            self._not_before = now + MOVE_SPACING
        groups = tuple(g for g in view.fault_free.groups if g.name in completed)
        serving = view.plan._replace(groups=groups)
        found = groups_for_mending(serving, view.hosts, view.free, view.desired, needs)
        if found is None and now >= self._not_before:
            self._not_before = now + LOOK_INTERVAL
            found = group_to_give_up(view.plan.domain, serving, view.fleet, view.hosts, needs)
            if found is not None:
                self._not_before = now + MOVE_SPACING
        return None if found is None else _without(view.plan, found)


def formable(
    view: DomainView, free: Sequence[TargetHost], needs: Sequence[ModelNeed]
) -> list[ModelNeed]:
    """Return the models of which groups may form, without those that were just given up.

    :param free: the hosts that may be assigned to a group now
    """
    staged = Counter(m for h in free for m in h.staged)
    found = without_excess(needs, view.plan.domain, view.fleet, staged)
    return without_spent_spares(view.fault_free, view.free, view.desired, found)


def _without(plan: DomainPlan, found: GivenUp) -> Replan:
    names = tuple(g.name for g in found.groups)
    for name in names:
        plan = plan.without_group(name)
    return Replan(plan, found.reason, names)
