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
from typing import NamedTuple

from .composing import FreeHost, ModelNeed, loads_to_order, next_first, next_model, standard
from .inventory import Instance, MemberState, TargetHost
from .pacing import LoadPacer
from .plans import DomainPlan, PlannedGroup

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

LOAD_AGAIN = 3.0
"""Seconds after which a host that refused an order to load, or did not answer it, is ordered again.
One that refused is loading by an earlier owner's order, which takes up to 16 s and shows then."""

STAGING_PATIENCE = 3.0
"""Times its load time after which a host that still lacks the weights is ordered to load again:
several loads at once slow each other down."""

WARM_PATIENCE = 4.0
"""Seconds in which a spare warms up; twice the longest time that weights at hand take."""

FORM_PATIENCE = 12.0
"""Seconds beyond its load time that a group may take to form before its hosts are used anew."""


class Join(NamedTuple):
    """Order a host into a group."""

    group: PlannedGroup
    instance: Instance


class Warm(NamedTuple):
    """Order a free host into a group of its own, so that it joins the next one sooner."""

    group: PlannedGroup
    instance: Instance


class Open(NamedTuple):
    """Order a head to serve."""

    group: PlannedGroup
    instance: Instance


class Leave(NamedTuple):
    """Order a host out of a group, at once."""

    group: str
    epoch: int
    instance: Instance


class Stage(NamedTuple):
    """Order a host to load a model's weights, to have them at hand."""

    model: str
    instance: Instance


class Replan(NamedTuple):
    """Write a new plan before anything else is done."""

    plan: DomainPlan
    reason: str


Order = Join | Warm | Open | Leave | Stage
Action = Order | Replan


class OrderEnd(StrEnum):
    """How an order ended."""

    DONE = "done"
    UNFIT = "unfit"
    FENCED = "fenced"
    GONE = "gone"
    SILENT = "silent"


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
        self._ordered_at: dict[tuple[type[Order], Order], float] = {}
        self._since: dict[str, float] = {}
        self._fault_since: dict[str, float] = {}
        self._whole_once: set[str] = set()
        self._let_go_at: dict[tuple[str, Instance], float] = {}
        self._condemned: set[str] = set()
        self._probes_missed: dict[Instance, int] = {}
        self._answered_at = float("-inf")
        self._avoid_until: dict[Instance, float] = {}
        self._staging: dict[Instance, tuple[str, float]] = {}
        self._load_again_at: dict[Instance, float] = {}
        self._warm: dict[Instance, str] = {}
        self._warming: dict[Instance, float] = {}
        self._warmed_up = 0

    def ended(self, order: Order, end: OrderEnd, now: float) -> None:
        """Take note of how an order ended."""
        if end in (OrderEnd.SILENT, OrderEnd.GONE):
            self._avoid_until[order.instance] = now + AVOID_SECONDS
        if end != OrderEnd.SILENT:
            self._answered_at = now
        if isinstance(order, Stage) and end != OrderEnd.DONE:
            self._not_loading(order.instance, now)
        if not isinstance(order, Leave):
            return
        if end in (OrderEnd.DONE, OrderEnd.UNFIT, OrderEnd.GONE):
            self._let_go_at[order.group, order.instance] = now
            self._condemned.add(order.group)

    def _not_loading(self, instance: Instance, now: float) -> None:
        """Take note that an order to load began nothing.

        Counted as a load that runs, it took the one load that a domain may have for three times
        its length: a group that lacked one host stayed so for 19 s, with two empty hosts beside it.
        """
        self._staging.pop(instance, None)
        self._load_again_at[instance] = now + LOAD_AGAIN

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
        self._note_warm(now, host_by_instance)
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
            actions.extend(self._stage_spares(now, plan, host_by_instance, needs, loads_free))
            actions.extend(self._warm_spare(now, plan, host_by_instance))
        return actions

    def _warm_spare(
        self, now: float, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]
    ) -> list[Action]:
        """Order a spare to join a group of its own, which is never opened.

        It then leaves like any host in a group that is not planned. A host joins in 0.2 s where the
        model is that of its last group, in 1.1 or 1.6 s where it only has the weights at hand: a
        third of the time in which a group that lost a member is whole again. One at a time, as a
        spare that warms up can't be given to a group.
        """
        if self._warming:
            return []
        for host in self._free(now, plan, hosts):
            if host.membership is None and host.staged and host.instance not in self._staging:
                model = host.staged[-1]
                if self._warm.get(host.instance) != model:
                    # A name of its own each time: a host that left a group once may be shown in it
                    # for a while, and counts as free.
                    self._warmed_up += 1
                    name = f"{plan.domain}.warm.{plan.term}.{self._warmed_up}"
                    group = PlannedGroup(name, plan.last_epoch, model, (host.instance,))
                    self._warming[host.instance] = now
                    return self._once(now, Warm(group, host.instance))
        return []

    def _note_warm(self, now: float, host_by_instance: Mapping[Instance, TargetHost]) -> None:
        """Take note of which hosts have been in a group, and with which model."""
        for instance, host in host_by_instance.items():
            if host.membership is not None and host.membership.state != MemberState.JOINING:
                self._warming.pop(instance, None)
                if host.staged:
                    self._warm[instance] = host.staged[-1]
        table = self._warming
        self._warming = {
            i: t for i, t in table.items() if i in host_by_instance and now - t < WARM_PATIENCE
        }
        self._warm = {i: m for i, m in self._warm.items() if i in host_by_instance}

    def _forget(self, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]) -> None:
        names = {g.name for g in plan.groups}
        self._probes_missed = {i: n for i, n in self._probes_missed.items() if i in hosts}
        self._avoid_until = {i: t for i, t in self._avoid_until.items() if i in hosts}
        self._load_again_at = {i: t for i, t in self._load_again_at.items() if i in hosts}
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
            if host.instance in self._warming:
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
            chosen = sorted(free, key=lambda h: (need.model not in h.staged, h.instance))
            members = tuple(h.instance for h in chosen[: need.hosts])
            plan = plan.with_group(need.model, members)
            sound = sound._replace(groups=(*sound.groups, plan.groups[-1]))
            free = [h for h in free if h.instance not in members]
            reasons.append(f"formed {plan.groups[-1].name} of {need.model}")
        return (plan, "; ".join(reasons)) if reasons else None

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
            and h.instance not in self._warming
            and now >= self._avoid_until.get(h.instance, 0.0)
        ]

    def _sound(self, plan: DomainPlan) -> DomainPlan:
        """Return the plan of the groups that have no fault."""
        sound = tuple(g for g in plan.groups if g.name not in self._fault_since)
        return plan._replace(groups=sound)

    def _stage_spares(
        self,
        now: float,
        plan: DomainPlan,
        hosts: Mapping[Instance, TargetHost],
        needs: Sequence[ModelNeed],
        loads_free: bool,
    ) -> list[Action]:
        """Load weights onto free hosts that have none.

        A load takes many seconds. Done ahead, it lets a group that loses a host be whole again
        within two; done within a group's forming, it would hold up all its other hosts.
        """
        patience = {n.model: n.load_seconds * STAGING_PATIENCE for n in needs}
        self._staging = {
            i: (model, at)
            for i, (model, at) in self._staging.items()
            if i in hosts and model not in hosts[i].staged and now - at < patience.get(model, 0.0)
        }
        sound = self._sound(plan)
        left = self._left_over(now, plan, hosts)
        aim = standard(plan.domain, len(hosts), needs)
        actions: list[Action] = []
        for instance, model in loads_to_order(sound, left, aim, needs):
            if instance in self._staging:
                continue
            if not loads_free and not self._may_load(now):
                break
            self._staging[instance] = (model, now)
            actions.append(Stage(model, instance))
        return actions

    def _may_load(self, now: float) -> bool:
        return len(self._staging) < self.pacer.at_once and self.pacer.take(now)

    def _left_over(
        self, now: float, plan: DomainPlan, hosts: Mapping[Instance, TargetHost]
    ) -> list[FreeHost]:
        """Return the hosts in no sound group, those that will be free in a moment among them."""
        again = self._load_again_at
        free = [
            FreeHost(h.instance, self._weights(h), now >= again.get(h.instance, 0.0))
            for h in self._free(now, plan, hosts)
        ]
        faulty = [g for g in plan.groups if g.name in self._fault_since]
        soon = [
            FreeHost(i, g.model, False)
            for g in faulty
            for i in g.members
            if i in hosts and not hosts[i].leaving and now >= self._avoid_until.get(i, 0.0)
        ]
        return [*free, *soon]

    def _weights(self, host: TargetHost) -> str:
        ordered = self._staging.get(host.instance)
        if ordered is not None:
            return ordered[0]
        return host.staged[0] if host.staged else ""


def _in(group: PlannedGroup, host: TargetHost) -> bool:
    membership = host.membership
    return membership is not None and (membership.group, membership.epoch) == (
        group.name,
        group.epoch,
    )


def _state(host: TargetHost) -> MemberState | None:
    return None if host.membership is None else host.membership.state
