"""Selection of the groups that may receive requests, computed from plans and inventory."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .inventory import Inventory, MemberState, TargetHost
from .plans import DomainPlan, PlannedGroup


class ServingGroup(NamedTuple):
    """A complete group whose head is open."""

    group: PlannedGroup
    head: TargetHost


def serving_groups(
    plans: Iterable[DomainPlan], inventory: Inventory
) -> Mapping[str, tuple[ServingGroup, ...]]:
    """Return the groups that can serve requests, by model.

    A group that is not in a plan receives no requests, even if its head reports that it is open: an
    order carried out late may have opened a group whose hosts have since been assigned to others.
    """
    found: dict[str, list[ServingGroup]] = {}
    for plan in plans:
        for group in plan.groups:
            head = _serving_head(plan.domain, group, inventory)
            if head is not None:
                found.setdefault(group.model, []).append(ServingGroup(group, head))
    return {model: tuple(groups) for model, groups in found.items()}


def _serving_head(domain: str, group: PlannedGroup, inventory: Inventory) -> TargetHost | None:
    # Only hosts of the plan's domain count as members, as for the owner of the domain. If a host
    # that now reports another domain counted, its failure would go unnoticed, because the cached
    # results for a domain are recomputed only when the hosts of that domain change.
    hosts = inventory.in_domain(domain)
    head = hosts.get(group.head)
    if head is None or head.leaving or head.membership is None:
        return None
    if head.membership.state != MemberState.OPEN:
        return None
    return head if all(_is_serving_member(group, hosts.get(i)) for i in group.members) else None


def _is_serving_member(group: PlannedGroup, host: TargetHost | None) -> bool:
    if host is None or host.leaving or host.membership is None:
        return False
    if host.membership.state == MemberState.BROKEN:
        return False
    return (host.membership.group, host.membership.epoch) == (group.name, group.epoch)
