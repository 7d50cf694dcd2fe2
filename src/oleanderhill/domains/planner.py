"""Which fabric domain of a data centre holds which wanted group: a sticky assignment.

One entry host of a data centre plans, by compare-and-swap on one key. A group keeps its domain
unless the domain can't hold it for longer than the patience, so that a domain that went dark and
came back does not undo what was settled meanwhile.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..ownership import rendezvous
from ..types import WantedGroup

HOST_LOSSES_PER_SECOND = 760 / 40_000 / 86_400
"""Losses of one host a second: 120 failures and 640 restarts a day over 40,000 hosts."""

MEAN_ABSENCE = 300.0
"""Mean seconds until a lost host is back."""

PATIENCE_BASE = 30.0
PATIENCE_MAX = 600.0


class DomainState(NamedTuple):
    """What the planner knows of a domain.

    :param usable: hosts present and staying, whether in a group or free
    :param dark_since: when the domain last had too few hosts for its groups, ``None`` if it has
    """

    usable: int
    dark_since: float | None = None


class Plan(NamedTuple):
    """Domain by group for one data centre.

    :param revision: raised with each change
    """

    revision: int
    domain_by_group: dict[str, str]


def spares_kept(hosts: int, exchange_rate: float) -> int:
    """Return how many hosts of a domain to hold back as spares.

    A spare strands one host all the time and saves, at each loss in the domain, the absence of
    the lost host as downtime. It pays when rate x losses x absence exceeds one; a second spare
    pays where two hosts are out together, whose rate is the square.
    """
    out_together = hosts * HOST_LOSSES_PER_SECOND * MEAN_ABSENCE
    if exchange_rate * out_together <= 1.0:
        return 0
    return 1 + int(exchange_rate * out_together**2 > 1.0)


def patience(exchange_rate: float) -> float:
    """Return seconds a group waits for its dark domain before it is planned elsewhere.

    Downtime that is worth much makes the wait short: a move costs a load of weights and the
    hosts of the other domain, which a cheap downtime does not repay.
    """
    return min(PATIENCE_MAX, PATIENCE_BASE * 8.0 / max(exchange_rate, 0.1))


def make_plan(
    now: float,
    current: Plan,
    wanted: Sequence[WantedGroup],
    state_by_domain: Mapping[str, DomainState],
    exchange_rate: float,
    whole: frozenset[str] = frozenset(),
) -> Plan:
    """Return the plan to follow; the same object when nothing changes.

    Groups are placed the whole ones first, then by priority and name: each into its present
    domain while that can hold it, else into the fullest domain that still has room (best fit
    keeps room for large groups), ties broken by rendezvous hash.

    :param whole: groups that serve now; a domain that lost a few hosts keeps these
    """
    room = {
        d: st.usable - spares_kept(st.usable, exchange_rate) for d, st in state_by_domain.items()
    }
    left = {d: st.usable for d, st in state_by_domain.items()}
    domain_by_group: dict[str, str] = {}
    homeless: list[WantedGroup] = []
    ordered = sorted(wanted, key=lambda w: (w.group not in whole, -w.spec.priority, w.group))
    for item in ordered:
        home = _present_home(item, current, wanted)
        # A domain that is short of one host must not send all its groups away: those that its
        # hosts still suffice for stay, whatever the patience.
        fits = home is not None and left.get(home, 0) >= item.spec.hosts
        if home is not None and (fits or _patient(now, home, state_by_domain, exchange_rate)):
            domain_by_group[item.group] = home
            room[home] = room.get(home, 0) - item.spec.hosts
            left[home] = left.get(home, 0) - item.spec.hosts
        else:
            homeless.append(item)
    for item in homeless:
        chosen = _best_fit(item, room)
        if chosen is None:
            chosen = _present_home(item, current, wanted)
        if chosen is None:
            continue
        domain_by_group[item.group] = chosen
        room[chosen] = room.get(chosen, 0) - item.spec.hosts
    if domain_by_group == current.domain_by_group:
        return current
    return Plan(current.revision + 1, domain_by_group)


def _present_home(item: WantedGroup, current: Plan, wanted: Sequence[WantedGroup]) -> str | None:
    """Return the group's domain, or that of the group it replaces in a roll-out."""
    if item.group in current.domain_by_group:
        return current.domain_by_group[item.group]
    slot = item.group.rsplit("#", 1)[-1]
    prefix = f"{item.spec.team}/{item.spec.name}@"
    names = {w.group for w in wanted}
    for group, domain in sorted(current.domain_by_group.items()):
        if group.startswith(prefix) and group.endswith(f"#{slot}") and group not in names:
            return domain
    return None


def _patient(
    now: float, home: str, state_by_domain: Mapping[str, DomainState], exchange_rate: float
) -> bool:
    state = state_by_domain.get(home)
    if state is None:
        return False
    if state.dark_since is None:
        return True
    return now - state.dark_since < patience(exchange_rate)


def _best_fit(item: WantedGroup, room: Mapping[str, int]) -> str | None:
    fitting = {d: r for d, r in room.items() if r >= item.spec.hosts}
    if not fitting:
        return None
    least = min(math.floor(r / item.spec.hosts) for r in fitting.values())
    tied = [d for d, r in fitting.items() if math.floor(r / item.spec.hosts) == least]
    return rendezvous(item.group, tied)[0]
