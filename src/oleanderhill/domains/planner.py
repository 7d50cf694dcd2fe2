"""Sticky assignment of wanted groups to the fabric domains of a data centre.

One entry host of a data centre plans, by compare-and-swap on one key. A group moves only after its
domain has had too few hosts for longer than the relocation delay (:func:`relocation_delay`). It
doesn't move back when the domain recovers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..ownership import rendezvous
from ..types import WantedGroup

HOST_LOSSES_PER_SECOND = 760 / 40_000 / 86_400
"""Losses per host and second: 120 failures and 640 restarts a day over 40,000 hosts."""

MEAN_ABSENCE = 300.0
"""Mean seconds until a lost host returns."""

RELOCATION_DELAY_BASE = 30.0
"""Seconds before a group is relocated, at an exchange rate of eight."""

RELOCATION_DELAY_MAX = 600.0
"""Longest relocation delay in seconds, at any exchange rate."""


class DomainState(NamedTuple):
    """The planner's view of a domain.

    :param usable: hosts present and not leaving, whether in a group or free
    :param short_of_hosts_since: since when the domain has had too few hosts for its groups,
        ``None`` if it has enough
    """

    usable: int
    short_of_hosts_since: float | None = None


class Plan(NamedTuple):
    """The domain of each group in one data centre.

    :param revision: increases by one with each change
    """

    revision: int
    domain_by_group: dict[str, str]


def spare_count(hosts: int, exchange_rate: float) -> int:
    """Return how many hosts of a domain to reserve as spares.

    A spare permanently strands one host and saves, at each loss of a host, downtime for as long as
    that host is absent. It pays off if exchange rate x loss rate x mean absence exceeds one. A
    second spare pays off only while two hosts are absent together, for which the product of loss
    rate and mean absence is squared.
    """
    mean_absent = hosts * HOST_LOSSES_PER_SECOND * MEAN_ABSENCE
    if exchange_rate * mean_absent <= 1.0:
        return 0
    return 1 + int(exchange_rate * mean_absent**2 > 1.0)


def relocation_delay(exchange_rate: float) -> float:
    """Return the relocation delay: seconds before a group leaves a domain that is short of hosts.

    The delay is short where downtime is expensive. A move costs a load of weights and uses hosts of
    another domain, which is not worthwhile if downtime is cheap.
    """
    return min(RELOCATION_DELAY_MAX, RELOCATION_DELAY_BASE * 8.0 / max(exchange_rate, 0.1))


def make_plan(
    now: float,
    current: Plan,
    wanted: Sequence[WantedGroup],
    state_by_domain: Mapping[str, DomainState],
    exchange_rate: float,
    complete_groups: frozenset[str] = frozenset(),
) -> Plan:
    """Return the next plan, or ``current`` itself if nothing changes.

    Complete groups are placed first, then the others, each by priority and name. A group stays in
    its current domain while the remaining hosts there suffice for it, and otherwise until the
    domain has been short of hosts for the relocation delay. It then moves to the domain with the
    least sufficient free capacity (best fit leaves space for large groups), with ties broken by
    rendezvous hash, or stays if no domain has enough.

    :param complete_groups: complete groups; a domain that lost a few hosts keeps these
    """
    free_capacity = {
        d: st.usable - spare_count(st.usable, exchange_rate) for d, st in state_by_domain.items()
    }
    usable_left = {d: st.usable for d, st in state_by_domain.items()}
    domain_by_group: dict[str, str] = {}
    unplaced: list[WantedGroup] = []
    ordered = sorted(
        wanted, key=lambda w: (w.group not in complete_groups, -w.spec.priority, w.group)
    )
    for item in ordered:
        domain = _current_domain(item, current, wanted)
        # A domain that lacks one host must not lose all its groups. Those that its remaining
        # hosts suffice for stay, also after the relocation delay.
        fits = domain is not None and usable_left.get(domain, 0) >= item.spec.hosts
        if domain is not None and (fits or _may_wait(now, domain, state_by_domain, exchange_rate)):
            domain_by_group[item.group] = domain
            free_capacity[domain] = free_capacity.get(domain, 0) - item.spec.hosts
            usable_left[domain] = usable_left.get(domain, 0) - item.spec.hosts
        else:
            unplaced.append(item)
    for item in unplaced:
        chosen = _best_fit(item, free_capacity)
        if chosen is None:
            chosen = _current_domain(item, current, wanted)
        if chosen is None:
            continue
        domain_by_group[item.group] = chosen
        free_capacity[chosen] = free_capacity.get(chosen, 0) - item.spec.hosts
    if domain_by_group == current.domain_by_group:
        return current
    return Plan(current.revision + 1, domain_by_group)


def _current_domain(item: WantedGroup, current: Plan, wanted: Sequence[WantedGroup]) -> str | None:
    """Return the domain of the group, or of the group that it replaces in a roll-out."""
    if item.group in current.domain_by_group:
        return current.domain_by_group[item.group]
    slot = item.group.rsplit("#", 1)[-1]
    prefix = f"{item.spec.team}/{item.spec.name}@"
    names = {w.group for w in wanted}
    for group, domain in sorted(current.domain_by_group.items()):
        if group.startswith(prefix) and group.endswith(f"#{slot}") and group not in names:
            return domain
    return None


def _may_wait(
    now: float, domain: str, state_by_domain: Mapping[str, DomainState], exchange_rate: float
) -> bool:
    state = state_by_domain.get(domain)
    if state is None:
        return False
    if state.short_of_hosts_since is None:
        return True
    return now - state.short_of_hosts_since < relocation_delay(exchange_rate)


def _best_fit(item: WantedGroup, free_capacity: Mapping[str, int]) -> str | None:
    fitting = {d: r for d, r in free_capacity.items() if r >= item.spec.hosts}
    if not fitting:
        return None
    least = min(math.floor(r / item.spec.hosts) for r in fitting.values())
    tied = [d for d, r in fitting.items() if math.floor(r / item.spec.hosts) == least]
    return rendezvous(item.group, tied)[0]
