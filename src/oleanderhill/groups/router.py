"""Which groups may be sent requests now: a pure function of plans and inventory."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .inventory import Inventory, MemberState, TargetHost
from .plans import DomainPlan, PlannedGroup


class ServingGroup(NamedTuple):
    """A group that is open and whole."""

    group: PlannedGroup
    head: TargetHost


def serving_groups(
    plans: Iterable[DomainPlan], inventory: Inventory
) -> Mapping[str, tuple[ServingGroup, ...]]:
    """Return the groups that serve, by model.

    A group that is not planned gets nothing, even if its head says that it is open: an order that
    was carried out late may have opened a group whose hosts were given to others meanwhile.
    """
    found: dict[str, list[ServingGroup]] = {}
    for plan in plans:
        for group in plan.groups:
            head = _serving_head(plan.domain, group, inventory)
            if head is not None:
                found.setdefault(group.model, []).append(ServingGroup(group, head))
    return {model: tuple(groups) for model, groups in found.items()}


def _serving_head(domain: str, group: PlannedGroup, inventory: Inventory) -> TargetHost | None:
    # Members are looked for among the hosts of the plan's domain. One that says another domain now
    # is gone for the domain's owner too; kept as a member, it could end unseen, as what is worked
    # out of a domain stays until that domain's hosts change.
    hosts = inventory.in_domain(domain)
    head = hosts.get(group.head)
    if head is None or head.leaving or head.membership is None:
        return None
    if head.membership.state != MemberState.OPEN:
        return None
    return head if all(_stands(group, hosts.get(i)) for i in group.members) else None


def _stands(group: PlannedGroup, host: TargetHost | None) -> bool:
    if host is None or host.leaving or host.membership is None:
        return False
    if host.membership.state == MemberState.BROKEN:
        return False
    return (host.membership.group, host.membership.epoch) == (group.name, group.epoch)
