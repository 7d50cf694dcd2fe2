"""Lets groups that were taken out of the plan finish their requests before their hosts leave.

A group that is given up serves until its plan no longer names it. From then on nothing more is
sent to it. Its head is then ordered to close, which finishes its queue, and its hosts leave once it
has. All of this follows from the plan and from what the hosts report, so a new owner that finds an
open head in no plan continues where the previous one stopped.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from .actions import Close
from .composing import ModelNeed
from .inventory import Instance, Membership, MemberState, TargetHost
from .plans import DomainPlan

CLOSE_DELAY = 1.0
"""Seconds from when a group is seen in no plan until its head is ordered to close, in which other
entry hosts read the plan. A request that arrives at a closing head is rejected."""

RUN_DRY_SECONDS = 8.0
"""Seconds that a group in no plan may take to finish its requests before its hosts are ordered to
leave all the same: the longest deadlines of requests."""

MAX_OBSERVATION_GAP = 2.0
"""Seconds without a look at the domain, as while the store is away, after which the time that a
group may take begins anew."""


class _GroupKey(NamedTuple):
    name: str
    epoch: int


class RunningDry:
    """Tracks one domain's whole groups that serve requests and are in no plan."""

    def __init__(self) -> None:
        self._since: dict[_GroupKey, float] = {}
        self._members: frozenset[Instance] = frozenset()
        self._observed_at = float("-inf")

    @property
    def members(self) -> Collection[Instance]:
        """Return the hosts that must stay in their group for now."""
        return self._members

    def observe(
        self,
        now: float,
        plan: DomainPlan,
        hosts: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
    ) -> list[Close]:
        """Update the state from the newest entries; return the orders to close that are due.

        Only a group that seems whole may finish: in one that lacks a member requests stall, and one
        with an epoch that this domain has not assigned was never planned here.
        """
        if now - self._observed_at > MAX_OBSERVATION_GAP:
            # No orders could be given meanwhile, so no head had the time to run dry.
            self._since = {}
        self._observed_at = now
        planned = {_GroupKey(g.name, g.epoch) for g in plan.groups}
        held = {i for g in plan.groups for i in g.members}
        members_by_key: dict[_GroupKey, list[TargetHost]] = {}
        for host in hosts.values():
            if host.membership is None or host.instance in held:
                continue
            key = _GroupKey(host.membership.group, host.membership.epoch)
            if key not in planned and key.epoch <= plan.last_epoch:
                members_by_key.setdefault(key, []).append(host)
        sizes = {n.hosts for n in needs}
        serving = {k: m for k, m in members_by_key.items() if _serves_whole(m, sizes)}
        self._since = {k: self._since.get(k, now) for k in serving}
        due = {k: m for k, m in serving.items() if now - self._since[k] < RUN_DRY_SECONDS}
        self._members = frozenset(h.instance for m in due.values() for h in m)
        return [
            Close(key.name, key.epoch, head.instance)
            for key, members in due.items()
            if now - self._since[key] >= CLOSE_DELAY and (head := _open_head(members)) is not None
        ]


def _memberships(members: Iterable[TargetHost]) -> list[Membership]:
    return [h.membership for h in members if h.membership is not None]


def _serves_whole(members: Sequence[TargetHost], sizes: Collection[int]) -> bool:
    found = _memberships(members)
    if {m.rank for m in found} != set(range(len(found))) or len(found) not in sizes:
        return False
    if any(m.state == MemberState.BROKEN for m in found):
        return False
    return any(m.rank == 0 and m.state in (MemberState.OPEN, MemberState.CLOSING) for m in found)


def _open_head(members: Sequence[TargetHost]) -> TargetHost | None:
    for host in members:
        membership = host.membership
        if membership is not None and membership.rank == 0:
            return host if membership.state == MemberState.OPEN else None
    return None
