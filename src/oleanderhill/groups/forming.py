"""Decisions of a domain's owner: which groups to form, open, repair and dissolve.

:class:`DomainKeeper` performs no I/O: it reads the plan and the state that hosts report, and
returns actions. It maintains these invariants, whatever the order of events:

- A head is ordered to open only when every member has reported ready under this group and epoch.
- A host is assigned to another group only after it has left its previous one: it reported so
  itself, or its newest entry lists no group. This is safe even if the old head still accepts
  requests, for example because it is partitioned from this entry host but not from others: in a
  group without all members requests stall, and the head then breaks up the group itself.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from .actions import Action, Join, Leave, Open, Order, OrderOutcome, Replan, Stage
from .composing import (
    Composition,
    FreeHost,
    ModelNeed,
    desired_composition,
    loads_to_order,
    next_initial_model,
    next_model,
)
from .faults import Fault
from .giving_up import DomainView, GivingUp, formable
from .inventory import Instance, MemberState, TargetHost
from .needs import Fleet
from .pacing import LoadPacer
from .plans import DomainPlan, PlannedGroup
from .running_dry import RunningDry
from .spares import Spares

ORDER_REPEAT_SECONDS = 1.2
"""Seconds before an order is repeated. An order takes a few milliseconds; if two readings of the
host list do not show its effect, it was lost, rejected or is carried out late."""

LEAVING_GRACE = 1.6
"""Seconds that a group with a leaving member gets to finish its requests. Most answers take less,
and a leaving host continues to run for at least two seconds."""

LEFT_REPORT_SECONDS = 3.0
"""Seconds for which a host's report that it left a group overrides its entry, which may be older.
An entry that still shows the group after that is correct: an earlier order to join was carried out
late."""

ABSENT_GROUP_SECONDS = 20.0
"""Seconds for which a group without any listed host stays planned. A data centre that was
partitioned returns with its groups complete, and they can serve immediately."""

SILENT_PROBES = 2
"""Consecutive unanswered probes after which a member counts as lost. Its entry stays listed for
three more heartbeats, and requests sent in that time stall."""

SOUND_SILENCE_SECONDS = 1.3
"""Seconds for which a sound host may send nothing. Probes that hang count only once their host has
been silent for longer."""

SILENCE_GAP_SECONDS = 1.0
"""Seconds between two probe rounds from which on the host may have sent something in between."""

REACHABLE_SECONDS = 1.5
"""Seconds within which another host of the domain must have answered this entry host for unanswered
probes to count. If none has, this entry host may itself be partitioned."""

AVOID_SECONDS = 3.0
"""Seconds for which a host that did not answer an order or probe is not assigned to a group: it has
failed and is still listed, another host answers at its address, or it carries out orders late."""

FORM_TIMEOUT = 12.0
"""Seconds, in addition to twice the load time of its model, that a group may take to form before
its hosts are reassigned."""

_NOT_DELIVERED = (OrderOutcome.HELD_BACK, OrderOutcome.NO_PATH)
"""Outcomes of orders that tell nothing of the host."""


class _Silence(NamedTuple):
    """A span in which a host answered no probe."""

    since: float
    until: float


class DomainKeeper:
    """Decides the actions of the owner of one domain."""

    def __init__(self, pacer: LoadPacer) -> None:
        self.pacer = pacer
        self._spares = Spares(pacer)
        self._running_dry = RunningDry()
        self._giving_up = GivingUp()
        self._ordered_at: dict[tuple[type[Order], Order], float] = {}
        self._planned_since: dict[str, float] = {}
        self._fault_since: dict[str, float] = {}
        self._completed: set[str] = set()
        self._left_at: dict[tuple[str, Instance], float] = {}
        self._dissolving: set[str] = set()
        self._unanswered_probes: dict[Instance, int] = {}
        self._silence_by_instance: dict[Instance, _Silence] = {}
        self._answered_at = float("-inf")
        self._avoid_until: dict[Instance, float] = {}
        self._closed: Collection[Instance] = ()

    def ended(self, order: Order, end: OrderOutcome, now: float) -> None:
        """Record the outcome of an order."""
        if end in (OrderOutcome.SILENT, OrderOutcome.GONE):
            self._avoid_until[order.instance] = now + AVOID_SECONDS
        elif end not in _NOT_DELIVERED:
            # A host that was partitioned answers orders long before another probe of it is due. If
            # its old unanswered probes still counted, each group that it is assigned to would be
            # dissolved.
            self._forget_unanswered(order.instance)
        if end != OrderOutcome.SILENT and end not in _NOT_DELIVERED:
            self._answered_at = now
        if isinstance(order, Stage):
            self._spares.ended(order, end, now)
        if not isinstance(order, Leave):
            return
        if end in (OrderOutcome.DONE, OrderOutcome.UNFIT, OrderOutcome.GONE):
            self._left_at[order.group, order.instance] = now
            self._dissolving.add(order.group)

    def probed(
        self, instance: Instance, unanswered: int, now: float, silent_since: float | None = None
    ) -> None:
        """Record the number of probes that a host left unanswered in a row, 0 if it answered one.

        :param silent_since: when the first of them was sent, if nothing at all came from the host;
            ``None`` if connections were refused or closed, or another host answers
        """
        if not unanswered:
            self._answered_at = now
            self._forget_unanswered(instance)
            return
        self._avoid_until[instance] = now + AVOID_SECONDS
        if silent_since is not None and self._silent_for(instance, silent_since, now) <= (
            SOUND_SILENCE_SECONDS
        ):
            return
        self._unanswered_probes[instance] = self._unanswered_probes.get(instance, 0) + unanswered

    def _silent_for(self, instance: Instance, since: float, now: float) -> float:
        """Return for how long a host has answered no probe, with those since a time."""
        known = self._silence_by_instance.get(instance)
        if known is not None and since - known.until < SILENCE_GAP_SECONDS:
            since = known.since
        self._silence_by_instance[instance] = _Silence(since, now)
        return now - since

    def _forget_unanswered(self, instance: Instance) -> None:
        self._unanswered_probes.pop(instance, None)
        self._silence_by_instance.pop(instance, None)

    def decide(
        self,
        now: float,
        plan: DomainPlan,
        host_by_instance: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
        initial: Mapping[str, int] | None,
        restarted: Collection[Instance] = (),
        closed: Collection[Instance] = (),
        fleet: Fleet | None = None,
    ) -> list[Action]:
        """Return the actions to take now.

        :param host_by_instance: the listed hosts of the domain
        :param initial: number of groups of each model to form at the first start, when loads are
            fast and not rate-limited and hosts need not have the weights yet; empty while the host
            list is incomplete; ``None`` once loads are rate-limited
        :param restarted: members whose hosts have since restarted and have therefore left their
            groups
        :param closed: hosts of an evacuated data centre. They aren't assigned to groups and load
            nothing. Their groups stay planned, and those that still form go on once it is taken
            back
        :param fleet: state of all domains, by which groups may be given up; ``None`` if not known
        """
        self._closed = closed
        loads_free = initial is not None
        self._prune(plan, host_by_instance)
        self._spares.observe(now, host_by_instance, needs)
        actions: list[Action] = []
        dissolved: list[str] = []
        for group in plan.groups:
            paused = any(i in closed for i in group.members)
            if paused:
                self._planned_since[group.name] = now
            self._planned_since.setdefault(group.name, now)
            fault = self._fault(now, group, host_by_instance, needs)
            if fault is None:
                self._fault_since.pop(group.name, None)
                if not paused:
                    actions.extend(self._continue_forming(now, group, host_by_instance, loads_free))
                continue
            self._fault_since.setdefault(group.name, now)
            if self._in_leaving_grace(now, group, fault):
                continue
            if self._may_dissolve(now, group, host_by_instance, restarted):
                dissolved.append(f"{group.name} {fault.value}")
                plan = plan.without_group(group.name)
            else:
                actions.extend(self._order_members_out(now, group, host_by_instance))
        actions.extend(self._remove_unplanned_members(now, plan, host_by_instance, needs))
        desired = desired_composition(plan.domain, len(host_by_instance), needs)
        if fleet is not None and initial is None:
            # Without the closed hosts, no group that has one of them is given up.
            open_hosts = {i: h for i, h in host_by_instance.items() if i not in closed}
            view = DomainView(plan, self._fault_free(plan), open_hosts, desired, fleet)
            given_up = self._giving_up.decide(now, view, self._completed, needs)
            if given_up is not None and not dissolved:
                return [*actions, given_up]
            needs = formable(view, self._free(now, plan, host_by_instance), needs)
        formed = self._form_new(now, plan, host_by_instance, desired, needs, initial)
        if formed is not None or dissolved:
            reasons = [f"dissolved {d}" for d in dissolved]
            if formed is not None:
                plan, reason = formed
                reasons.append(reason)
            return [*actions, Replan(plan, "; ".join(reasons))]
        if initial is None or initial:
            actions += self._prepare_spares(now, plan, host_by_instance, desired, needs, loads_free)
        return actions

    def _prune(self, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]) -> None:
        names = {g.name for g in plan.groups}
        self._unanswered_probes = {i: n for i, n in self._unanswered_probes.items() if i in hosts}
        for instance in [i for i in self._silence_by_instance if i not in hosts]:
            del self._silence_by_instance[instance]
        self._avoid_until = {i: t for i, t in self._avoid_until.items() if i in hosts}
        for table in (self._planned_since, self._fault_since):
            for name in [n for n in table if n not in names]:
                del table[name]
        self._completed &= names
        self._dissolving &= names
        self._left_at = {m: t for m, t in self._left_at.items() if m[1] in hosts}
        self._ordered_at = {o: t for o, t in self._ordered_at.items() if o[1].instance in hosts}

    def _fault(
        self,
        now: float,
        group: PlannedGroup,
        hosts: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
    ) -> Fault | None:
        # Once a member has left, the group cannot be repaired: ordered to join again, the member
        # would be in a group that it is recorded as having left.
        if group.name in self._dissolving:
            return Fault.DISSOLVING
        members = [hosts.get(i) for i in group.members]
        if any(m is None for m in members):
            return Fault.MEMBER_GONE
        present = [m for m in members if m is not None]
        if any(_is_member(group, m) and _member_state(m) == MemberState.BROKEN for m in present):
            return Fault.BROKEN
        if all(_is_member(group, m) and _member_state(m) != MemberState.JOINING for m in present):
            self._completed.add(group.name)
        elif group.name in self._completed and any(not _is_member(group, m) for m in present):
            return Fault.MEMBER_OUT
        if self._has_lost_member(now, group):
            return Fault.MEMBER_SILENT
        if any(m.leaving for m in present):
            return Fault.MEMBER_LEAVING
        load = max((n.load_seconds for n in needs if n.model == group.model), default=0.0)
        late = now - self._planned_since[group.name] > FORM_TIMEOUT + 2 * load
        return Fault.NOT_FORMED if late and group.name not in self._completed else None

    def _has_lost_member(self, now: float, group: PlannedGroup) -> bool:
        if now - self._answered_at > REACHABLE_SECONDS:
            return False
        return any(self._unanswered_probes.get(i, 0) >= SILENT_PROBES for i in group.members)

    def _continue_forming(
        self,
        now: float,
        group: PlannedGroup,
        hosts: Mapping[Instance, TargetHost],
        loads_free: bool,
    ) -> list[Action]:
        members = [hosts[i] for i in group.members]
        outside = [m for m in members if not _is_member(group, m)]
        if outside:
            return [
                order
                for m in outside
                if (order := self._join(now, group, m, loads_free)) is not None
            ]
        if all(_member_state(m) == MemberState.READY for m in members):
            return self._order_if_due(now, Open(group, group.head))
        return []

    def _join(
        self, now: float, group: PlannedGroup, host: TargetHost, loads_free: bool
    ) -> Join | None:
        order = Join(group, host.instance)
        if not self._is_due(now, order):
            return None
        if group.model not in host.staged and not loads_free and not self.pacer.take(now):
            return None
        self._ordered_at[type(order), order] = now
        self._left_at.pop((group.name, host.instance), None)
        return order

    def _in_leaving_grace(self, now: float, group: PlannedGroup, fault: Fault) -> bool:
        """Return whether a group with a leaving member still has time to finish its requests."""
        return fault == Fault.MEMBER_LEAVING and now - self._fault_since[group.name] < LEAVING_GRACE

    def _may_dissolve(
        self,
        now: float,
        group: PlannedGroup,
        hosts: Mapping[Instance, TargetHost],
        restarted: Collection[Instance],
    ) -> bool:
        """Return whether all hosts of a group that can be contacted have left it.

        If none can be contacted, the most likely cause is a network partition, and the group may be
        complete, unless all its hosts are known to have restarted.
        """
        present = [i for i in group.members if i in hosts]
        if not present:
            return (
                all(i in restarted for i in group.members)
                or now - self._fault_since[group.name] > ABSENT_GROUP_SECONDS
            )
        contactable = [i for i in present if now >= self._avoid_until.get(i, 0.0)]
        left = [i for i in present if (group.name, i) in self._left_at]
        return bool(left) and all(i in left for i in contactable)

    def _order_members_out(
        self, now: float, group: PlannedGroup, hosts: Mapping[Instance, TargetHost]
    ) -> list[Action]:
        present = [i for i in group.members if i in hosts]
        staying = [i for i in present if (group.name, i) not in self._left_at]
        if now - self._answered_at > REACHABLE_SECONDS:
            # No host answers this entry host. A single order suffices to detect when that changes.
            staying = staying[:1]
        orders = [Leave(group.name, group.epoch, i) for i in staying]
        return [action for order in orders for action in self._order_if_due(now, order)]

    def _remove_unplanned_members(
        self,
        now: float,
        plan: DomainPlan,
        hosts: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
    ) -> list[Action]:
        """Order hosts to leave groups that are not planned: they reappeared, or joined late.

        A whole group that serves first finishes its requests.
        """
        held = {i for g in plan.groups for i in g.members}
        remaining = {i: h for i, h in hosts.items() if not self._has_left(now, h)}
        closing = self._running_dry.observe(now, plan, remaining, needs)
        actions = [a for order in closing for a in self._order_if_due(now, order)]
        for host in hosts.values():
            if host.instance in held or host.membership is None or self._has_left(now, host):
                continue
            if host.instance in self._spares.warming or host.instance in self._running_dry.members:
                continue
            membership = host.membership
            actions += self._order_if_due(
                now, Leave(membership.group, membership.epoch, host.instance)
            )
        return actions

    def _has_left(self, now: float, host: TargetHost) -> bool:
        """Return whether a host is in no group, by its entry or by its own more recent report."""
        if host.membership is None:
            return True
        at = self._left_at.get((host.membership.group, host.instance))
        return at is not None and now - at < LEFT_REPORT_SECONDS

    def _order_if_due(self, now: float, order: Order) -> list[Action]:
        if not self._is_due(now, order):
            return []
        self._ordered_at[type(order), order] = now
        return [order]

    def _is_due(self, now: float, order: Order) -> bool:
        # Tuples of different types are equal if their fields are: without the type, an order to
        # open would count as already sent if the head had just been ordered to join.
        at = self._ordered_at.get((type(order), order), float("-inf"))
        return now - at >= ORDER_REPEAT_SECONDS

    def _form_new(
        self,
        now: float,
        plan: DomainPlan,
        hosts: Mapping[Instance, TargetHost],
        desired: Composition,
        needs: Sequence[ModelNeed],
        initial: Mapping[str, int] | None,
    ) -> tuple[DomainPlan, str] | None:
        free = self._free(now, plan, hosts)
        fault_free = self._fault_free(plan)
        reasons = []
        while True:
            if initial is not None:
                need = next_initial_model(plan, initial, len(free), needs)
            else:
                staged = Counter(m for h in free for m in h.staged)
                need = next_model(fault_free, staged, len(free), desired, needs)
            if need is None:
                break
            members = self._pick(free, need)
            plan = plan.with_group(need.model, members)
            fault_free = fault_free._replace(groups=(*fault_free.groups, plan.groups[-1]))
            free = [h for h in free if h.instance not in members]
            reasons.append(f"formed {plan.groups[-1].name} of {need.model}")
        return (plan, "; ".join(reasons)) if reasons else None

    def _pick(self, free: Sequence[TargetHost], need: ModelNeed) -> tuple[Instance, ...]:
        """Return the free hosts for a group, preferring those that join fastest."""

        def rank(host: TargetHost) -> tuple[bool, bool, Instance]:
            warm = self._spares.is_warm(host.instance, need.model)
            return need.model not in host.staged, not warm, host.instance

        return tuple(h.instance for h in sorted(free, key=rank)[: need.hosts])

    def _free(
        self, now: float, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]
    ) -> list[TargetHost]:
        """Return the hosts that may be assigned to a group."""
        held = {i for g in plan.groups for i in g.members}
        return [
            h
            for h in hosts.values()
            if h.instance not in held
            and not h.leaving
            and h.instance not in self._closed
            and self._has_left(now, h)
            and h.instance not in self._spares.warming
            and now >= self._avoid_until.get(h.instance, 0.0)
        ]

    def _fault_free(self, plan: DomainPlan) -> DomainPlan:
        """Return the plan with its fault-free groups only."""
        fault_free = tuple(g for g in plan.groups if g.name not in self._fault_since)
        return plan._replace(groups=fault_free)

    def _prepare_spares(
        self,
        now: float,
        plan: DomainPlan,
        hosts: Mapping[Instance, TargetHost],
        desired: Composition,
        needs: Sequence[ModelNeed],
        loads_free: bool,
    ) -> list[Action]:
        """Order free hosts to load weights and warm up for future groups."""
        left = self._available_hosts(now, plan, hosts)
        wanted = loads_to_order(self._fault_free(plan), left, desired, needs)
        loads = self._spares.load(now, wanted, loads_free)
        return [*loads, *self._spares.warm_up(now, plan, self._free(now, plan, hosts))]

    def _available_hosts(
        self, now: float, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]
    ) -> list[FreeHost]:
        """Return the hosts in no fault-free group, including those that will be free shortly."""
        free = [self._spares.as_free(h, now) for h in self._free(now, plan, hosts)]
        dry = [
            self._spares.as_free(hosts[i], now)
            for i in self._running_dry.members
            if i not in self._closed
        ]
        faulty = [g for g in plan.groups if g.name in self._fault_since]
        soon = [
            FreeHost(i, g.model, False)
            for g in faulty
            for i in g.members
            if i in hosts
            and i not in self._closed
            and not hosts[i].leaving
            and now >= self._avoid_until.get(i, 0.0)
        ]
        return [*free, *soon, *(h._replace(available=False) for h in dry)]


def _is_member(group: PlannedGroup, host: TargetHost) -> bool:
    membership = host.membership
    return membership is not None and (membership.group, membership.epoch) == (
        group.name,
        group.epoch,
    )


def _member_state(host: TargetHost) -> MemberState | None:
    return None if host.membership is None else host.membership.state
