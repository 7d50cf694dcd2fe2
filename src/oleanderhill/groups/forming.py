"""What the owner of a fabric domain does next: form, open, mend and dissolve groups.

:class:`DomainKeeper` is pure: it looks at the plan and at what the hosts report and returns
actions. The rules it keeps, whatever order things happen in:

- a head is told to open only when every member has reported ready under this group and epoch;
- a host is given to another group only once it has left its last one: it said so itself, or its
  newest entry shows none. Whether the old head still serves is then of no matter. It may be cut
  off from here and open for others; its requests stall, and it breaks by itself.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from enum import StrEnum

from .actions import Action, Join, Leave, Open, Order, OrderEnd, Replan, Stage
from .composing import FreeHost, ModelNeed, loads_to_order, next_first, next_model, standard
from .inventory import Instance, MemberState, TargetHost
from .pacing import LoadPacer
from .plans import DomainPlan, PlannedGroup
from .spares import Spares

ORDER_AGAIN = 1.2
"""Seconds before an order is repeated. An order takes a few ms; what has not shown in the host
list within two of its readings was lost, refused or is carried out late."""

LEAVING_GRACE = 1.6
"""Seconds in which the work of a group with a leaving member may end. Most answers take less, and
a leaving host goes on for at least two."""

LET_GO_LASTS = 3.0
"""Seconds for which a host's word that it left a group outweighs its entry, which may be older. An
entry that shows the group after that is right: an earlier order to join was carried out late."""

KEPT_ABSENT = 20.0
"""Seconds for which a group none of whose hosts shows stays planned: a data centre that was cut
off comes back with its groups whole, and they serve at once."""

SILENT_PROBES = 2
"""Probes in a row without an answer after which a member counts as lost. Its entry stays in the
list for three heartbeats more; requests sent meanwhile stall."""

REACHED_WITHIN = 1.5
"""Seconds within which another host of the domain must have answered this entry host: where none
does, it is this host that is cut off, and its silence proves nothing."""

AVOID_SECONDS = 3.0
"""Seconds for which a host that did not answer an order or probe is given to no group: it is dead
and still listed, another answers at its address, or it carries its orders out late."""

FORM_PATIENCE = 12.0
"""Seconds beyond its load time that a group may take to form before its hosts are used anew."""


class Fault(StrEnum):
    """Why a group has to go."""

    CONDEMNED = "being broken up"
    MEMBER_SILENT = "member silent"
    MEMBER_GONE = "member gone"
    MEMBER_LEAVING = "member leaving"
    MEMBER_OUT = "member out"
    BROKEN = "broken"
    NOT_FORMED = "not formed in time"


class DomainKeeper:
    """Keeps one domain."""

    def __init__(self, pacer: LoadPacer) -> None:
        self.pacer = pacer
        self._spares = Spares(pacer)
        self._ordered_at: dict[tuple[type[Order], Order], float] = {}
        self._since: dict[str, float] = {}
        self._fault_since: dict[str, float] = {}
        self._whole_once: set[str] = set()
        self._let_go_at: dict[tuple[str, Instance], float] = {}
        self._condemned: set[str] = set()
        self._probes_missed: dict[Instance, int] = {}
        self._answered_at = float("-inf")
        self._avoid_until: dict[Instance, float] = {}

    def ended(self, order: Order, end: OrderEnd, now: float) -> None:
        """Take note of how an order ended."""
        if end in (OrderEnd.SILENT, OrderEnd.GONE):
            self._avoid_until[order.instance] = now + AVOID_SECONDS
        elif end != OrderEnd.HELD_BACK:
            # A host back from a cut answers orders long before anybody has a reason to probe it.
            # Silent by its old probes, it would break up each group that it is given to.
            self._probes_missed.pop(order.instance, None)
        if end not in (OrderEnd.SILENT, OrderEnd.HELD_BACK):
            self._answered_at = now
        if isinstance(order, Stage):
            self._spares.ended(order, end, now)
        if not isinstance(order, Leave):
            return
        if end in (OrderEnd.DONE, OrderEnd.UNFIT, OrderEnd.GONE):
            self._let_go_at[order.group, order.instance] = now
            self._condemned.add(order.group)

    def probed(self, instance: Instance, unanswered: int, now: float) -> None:
        """Take note of how many probes in a row a host left unanswered, 0 if it answered."""
        if not unanswered:
            self._answered_at = now
            self._probes_missed.pop(instance, None)
            return
        self._probes_missed[instance] = self._probes_missed.get(instance, 0) + unanswered
        self._avoid_until[instance] = now + AVOID_SECONDS

    def decide(
        self,
        now: float,
        plan: DomainPlan,
        host_by_instance: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
        first: Mapping[str, int] | None,
        ended: Collection[Instance] = (),
    ) -> list[Action]:
        """Return what to do now.

        :param host_by_instance: the hosts of the domain that the list shows
        :param first: how many groups of each model to form while loads are quick and free, of any
            hosts, none while the list is not complete; ``None`` once loads count
        :param ended: members whose hosts have started again since, and so have left their groups
        """
        loads_free = first is not None
        self._forget(plan, host_by_instance)
        self._spares.look(now, host_by_instance, needs)
        actions: list[Action] = []
        dissolved: list[str] = []
        for group in plan.groups:
            self._since.setdefault(group.name, now)
            fault = self._fault(now, group, host_by_instance, needs)
            if fault is None:
                self._fault_since.pop(group.name, None)
                actions.extend(self._form_on(now, group, host_by_instance, loads_free))
                continue
            self._fault_since.setdefault(group.name, now)
            if self._let_be(now, group, fault):
                continue
            if self._may_dissolve(now, group, host_by_instance, ended):
                dissolved.append(f"{group.name} {fault.value}")
                plan = plan.without_group(group.name)
            else:
                actions.extend(self._break_up(now, group, host_by_instance))
        actions.extend(self._send_off_strays(now, plan, host_by_instance))
        formed = self._form_new(now, plan, host_by_instance, needs, first)
        if formed is not None or dissolved:
            reasons = [f"dissolved {d}" for d in dissolved]
            if formed is not None:
                plan, reason = formed
                reasons.append(reason)
            return [*actions, Replan(plan, "; ".join(reasons))]
        if first is None or first:
            actions.extend(self._prepare(now, plan, host_by_instance, needs, loads_free))
        return actions

    def _forget(self, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]) -> None:
        names = {g.name for g in plan.groups}
        self._probes_missed = {i: n for i, n in self._probes_missed.items() if i in hosts}
        self._avoid_until = {i: t for i, t in self._avoid_until.items() if i in hosts}
        for table in (self._since, self._fault_since):
            for name in [n for n in table if n not in names]:
                del table[name]
        self._whole_once &= names
        self._condemned &= names
        self._let_go_at = {m: t for m, t in self._let_go_at.items() if m[1] in hosts}
        self._ordered_at = {o: t for o, t in self._ordered_at.items() if o[1].instance in hosts}

    def _fault(
        self,
        now: float,
        group: PlannedGroup,
        hosts: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
    ) -> Fault | None:
        # Once a member has left, the group is past mending: ordered in again, the member would be
        # in a group that it is known to have left.
        if group.name in self._condemned:
            return Fault.CONDEMNED
        members = [hosts.get(i) for i in group.members]
        if any(m is None for m in members):
            return Fault.MEMBER_GONE
        present = [m for m in members if m is not None]
        if any(_in(group, m) and _state(m) == MemberState.BROKEN for m in present):
            return Fault.BROKEN
        if all(_in(group, m) and _state(m) != MemberState.JOINING for m in present):
            self._whole_once.add(group.name)
        elif group.name in self._whole_once and any(not _in(group, m) for m in present):
            return Fault.MEMBER_OUT
        if self._lost(now, group):
            return Fault.MEMBER_SILENT
        if any(m.leaving for m in present):
            return Fault.MEMBER_LEAVING
        load = max((n.load_seconds for n in needs if n.model == group.model), default=0.0)
        late = now - self._since[group.name] > FORM_PATIENCE + 2 * load
        return Fault.NOT_FORMED if late and group.name not in self._whole_once else None

    def _lost(self, now: float, group: PlannedGroup) -> bool:
        if now - self._answered_at > REACHED_WITHIN:
            return False
        return any(self._probes_missed.get(i, 0) >= SILENT_PROBES for i in group.members)

    def _form_on(
        self,
        now: float,
        group: PlannedGroup,
        hosts: Mapping[Instance, TargetHost],
        loads_free: bool,
    ) -> list[Action]:
        members = [hosts[i] for i in group.members]
        outside = [m for m in members if not _in(group, m)]
        if outside:
            return [
                order
                for m in outside
                if (order := self._join(now, group, m, loads_free)) is not None
            ]
        if all(_state(m) == MemberState.READY for m in members):
            return self._once(now, Open(group, group.head))
        return []

    def _join(
        self, now: float, group: PlannedGroup, host: TargetHost, loads_free: bool
    ) -> Join | None:
        order = Join(group, host.instance)
        if not self._due(now, order):
            return None
        if group.model not in host.staged and not loads_free and not self.pacer.take(now):
            return None
        self._ordered_at[type(order), order] = now
        self._let_go_at.pop((group.name, host.instance), None)
        return order

    def _let_be(self, now: float, group: PlannedGroup, fault: Fault) -> bool:
        """Tell whether a faulty group may end the work that it has."""
        return fault == Fault.MEMBER_LEAVING and now - self._fault_since[group.name] < LEAVING_GRACE

    def _may_dissolve(
        self,
        now: float,
        group: PlannedGroup,
        hosts: Mapping[Instance, TargetHost],
        ended: Collection[Instance],
    ) -> bool:
        """Tell whether all hosts of a group that can be asked have left it.

        Where none can be, it is likely the way there that is cut, and the group may be whole,
        unless all of them are known to have started again.
        """
        present = [i for i in group.members if i in hosts]
        if not present:
            return (
                all(i in ended for i in group.members)
                or now - self._fault_since[group.name] > KEPT_ABSENT
            )
        asked = [i for i in present if now >= self._avoid_until.get(i, 0.0)]
        left = [i for i in present if (group.name, i) in self._let_go_at]
        return bool(left) and all(i in left for i in asked)

    def _break_up(
        self, now: float, group: PlannedGroup, hosts: Mapping[Instance, TargetHost]
    ) -> list[Action]:
        present = [i for i in group.members if i in hosts]
        staying = [i for i in present if (group.name, i) not in self._let_go_at]
        if now - self._answered_at > REACHED_WITHIN:
            # Nobody answers here. One order is enough to find out when that ends.
            staying = staying[:1]
        orders = [Leave(group.name, group.epoch, i) for i in staying]
        return [action for order in orders for action in self._once(now, order)]

    def _send_off_strays(
        self, now: float, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]
    ) -> list[Action]:
        """Order hosts out of groups that are not planned: they came back, or joined late."""
        held = {i for g in plan.groups for i in g.members}
        actions: list[Action] = []
        for host in hosts.values():
            if host.instance in held or host.membership is None or self._left(now, host):
                continue
            if host.instance in self._spares.warming:
                continue
            membership = host.membership
            actions += self._once(now, Leave(membership.group, membership.epoch, host.instance))
        return actions

    def _left(self, now: float, host: TargetHost) -> bool:
        """Tell whether a host is in no group, by its entry or by its newer word."""
        if host.membership is None:
            return True
        at = self._let_go_at.get((host.membership.group, host.instance))
        return at is not None and now - at < LET_GO_LASTS

    def _once(self, now: float, order: Order) -> list[Action]:
        if not self._due(now, order):
            return []
        self._ordered_at[type(order), order] = now
        return [order]

    def _due(self, now: float, order: Order) -> bool:
        # Tuples of different types are equal if their fields are: an order to open would count as
        # given when its head had just been ordered to join.
        at = self._ordered_at.get((type(order), order), float("-inf"))
        return now - at >= ORDER_AGAIN

    def _form_new(
        self,
        now: float,
        plan: DomainPlan,
        hosts: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
        first: Mapping[str, int] | None,
    ) -> tuple[DomainPlan, str] | None:
        free = self._free(now, plan, hosts)
        sound = self._sound(plan)
        aim = standard(plan.domain, len(hosts), needs)
        reasons = []
        while True:
            if first is not None:
                need = next_first(plan, first, len(free), needs)
            else:
                staged = Counter(m for h in free for m in h.staged)
                need = next_model(sound, staged, len(free), aim, needs)
            if need is None:
                break
            members = self._pick(free, need)
            plan = plan.with_group(need.model, members)
            sound = sound._replace(groups=(*sound.groups, plan.groups[-1]))
            free = [h for h in free if h.instance not in members]
            reasons.append(f"formed {plan.groups[-1].name} of {need.model}")
        return (plan, "; ".join(reasons)) if reasons else None

    def _pick(self, free: Sequence[TargetHost], need: ModelNeed) -> tuple[Instance, ...]:
        """Return the free hosts that make up a group: those that join soonest."""

        def rank(host: TargetHost) -> tuple[bool, bool, Instance]:
            warm = self._spares.is_warm(host.instance, need.model)
            return need.model not in host.staged, not warm, host.instance

        return tuple(h.instance for h in sorted(free, key=rank)[: need.hosts])

    def _free(
        self, now: float, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]
    ) -> list[TargetHost]:
        """Return the hosts that may be given to a group."""
        held = {i for g in plan.groups for i in g.members}
        return [
            h
            for h in hosts.values()
            if h.instance not in held
            and not h.leaving
            and self._left(now, h)
            and h.instance not in self._spares.warming
            and now >= self._avoid_until.get(h.instance, 0.0)
        ]

    def _sound(self, plan: DomainPlan) -> DomainPlan:
        """Return the plan of the groups that have no fault."""
        sound = tuple(g for g in plan.groups if g.name not in self._fault_since)
        return plan._replace(groups=sound)

    def _prepare(
        self,
        now: float,
        plan: DomainPlan,
        hosts: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
        loads_free: bool,
    ) -> list[Action]:
        """Have free hosts load weights and warm up, for the groups to come."""
        aim = standard(plan.domain, len(hosts), needs)
        left = self._left_over(now, plan, hosts)
        wanted = loads_to_order(self._sound(plan), left, aim, needs)
        loads = self._spares.load(now, wanted, loads_free)
        return [*loads, *self._spares.warm_up(now, plan, self._free(now, plan, hosts))]

    def _left_over(
        self, now: float, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]
    ) -> list[FreeHost]:
        """Return the hosts in no sound group, those that will be free in a moment among them."""
        free = [self._spares.as_free(h, now) for h in self._free(now, plan, hosts)]
        faulty = [g for g in plan.groups if g.name in self._fault_since]
        soon = [
            FreeHost(i, g.model, False)
            for g in faulty
            for i in g.members
            if i in hosts and not hosts[i].leaving and now >= self._avoid_until.get(i, 0.0)
        ]
        return [*free, *soon]


def _in(group: PlannedGroup, host: TargetHost) -> bool:
    membership = host.membership
    return membership is not None and (membership.group, membership.epoch) == (
        group.name,
        group.epoch,
    )


def _state(host: TargetHost) -> MemberState | None:
    return None if host.membership is None else host.membership.state
