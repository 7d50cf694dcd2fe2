"""Placement and repair in one fabric domain, as pure functions of its ledger and reports.

:func:`decide` compares the wanted groups with the ledger and the host reports and returns
:data:`Action` values to apply to the ledger. For a group with a lost member it chooses between
waiting for the member, replacing it with a spare and dissolving the group, by the operators'
exchange rate. ``docs/design/placement.md`` compares the alternatives.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..routing.completeness import EVIDENCE_MAX_AGE, MemberFault, Verdict, evaluate_group
from ..types import (
    DomainLedger,
    GroupPhase,
    GroupRecord,
    GroupSpec,
    HostEntry,
    HostState,
    Member,
    TimedReport,
    WantedGroup,
)
from . import ledger as ledgers

PAUSE_GRACE = 1.0
"""Seconds a silent member gets beyond the evidence age; most short pauses are shorter."""

HOLD_BASE = 60.0
"""Seconds a group that can't be repaired keeps its other hosts, at an exchange rate of eight."""

HOLD_MAX = 1800.0
"""Longest time in seconds that such a group keeps its hosts, at any exchange rate."""

DRAIN_LIMIT = 120.0
"""Seconds after which a draining group is dissolved even with requests in flight."""

FAULTS_FIXED_BY_LOAD = frozenset({MemberFault.LOADING, MemberFault.OTHER_GROUP})
"""Faults that a load order of the current epoch corrects.

Rebinding the group at a new epoch instead would restart the load at each report that is older than
the order, and the group would never become complete.
"""


class Policy(NamedTuple):
    """The operators' parameters of repair.

    :param exchange_rate: stranded host-seconds that cost as much as one group-second of downtime
    :param grace: seconds a silent member gets, beyond the evidence age, before it is replaced
    """

    exchange_rate: float = 8.0
    grace: float = PAUSE_GRACE


class Form(NamedTuple):
    """Create a wanted group from free hosts."""

    wanted: WantedGroup
    members: tuple[Member, ...]
    reason: str


class Rebind(NamedTuple):
    """Give a group a new epoch with replaced members, or with new boots of the same hosts."""

    group: str
    members: tuple[Member, ...]
    reason: str


class Drain(NamedTuple):
    """Stop new requests to a group that is to be dissolved."""

    group: str
    reason: str


class Dissolve(NamedTuple):
    """Remove a group and release its hosts."""

    group: str
    reason: str


Action = Form | Rebind | Drain | Dissolve


class Situation(NamedTuple):
    """The input of :func:`decide`.

    :param wanted: groups that the plan assigns to this domain
    :param entry_by_host: the platform's list of hosts in this domain
    :param empty_since: since when each host has reported, in its current boot, that it is empty
    :param broken_since: when each group was last observed to be complete, without a leaving or
        draining member, or first observed
    :param draining_since: when each draining group started to drain
    """

    now: float
    ledger: DomainLedger
    wanted: tuple[WantedGroup, ...]
    entry_by_host: Mapping[str, HostEntry]
    report_by_host: Mapping[str, TimedReport]
    empty_since: Mapping[str, float]
    broken_since: Mapping[str, float]
    draining_since: Mapping[str, float]
    policy: Policy


def apply(ledger: DomainLedger, action: Action) -> DomainLedger:
    """Return the ledger after an action.

    :raises LedgerRuleError: if the action breaks an invariant of the ledger
    """
    match action:
        case Form(wanted, members, _):
            return ledgers.with_new_group(ledger, wanted.group, wanted.spec, members)
        case Rebind(group, members, _):
            return ledgers.with_members(ledger, group, members)
        case Drain(group, _):
            return ledgers.with_draining_group(ledger, group)
        case Dissolve(group, _):
            return ledgers.without_group(ledger, group)


def decide(s: Situation) -> list[Action]:
    """Return the actions to take now, in order; each assumes that those before it are applied."""
    actions: list[Action] = []
    ledger = s.ledger
    for step in (_remove_unwanted, _repair, _form):
        found = step(s._replace(ledger=ledger))
        for action in found:
            ledger = apply(ledger, action)
        actions.extend(found)
    return actions


def free_hosts(s: Situation) -> list[TimedReport]:
    """Return the hosts that can join a group now: unassigned, empty, present and not leaving."""
    assigned = ledgers.group_by_host(s.ledger)
    return [
        seen
        for host, seen in sorted(s.report_by_host.items())
        if host not in assigned and _present(s, host) and _empty_long_enough(s, host)
    ]


def _empty_long_enough(s: Situation, host: str) -> bool:
    """Return whether a host has been empty for longer than evidence of its last group is valid.

    An entry host that is partitioned from the owner may send requests to the host's last group
    until its evidence expires. Assigned immediately, the host would serve for two groups.
    """
    return s.now - s.empty_since.get(host, s.now) > EVIDENCE_MAX_AGE


def _present(s: Situation, host: str) -> bool:
    entry = s.entry_by_host.get(host)
    seen = s.report_by_host.get(host)
    if entry is None or seen is None or entry.state == HostState.LEAVING:
        return False
    return not seen.report.leaving and s.now - seen.sent_at <= EVIDENCE_MAX_AGE


def _member(s: Situation, seen: TimedReport) -> Member:
    host = seen.report.host
    return Member(host, s.entry_by_host[host].address, seen.report.boot_id)


def _remove_unwanted(s: Situation) -> list[Action]:
    wanted = {w.group for w in s.wanted}
    actions: list[Action] = []
    for group, record in s.ledger.groups.items():
        if record.phase == GroupPhase.DRAINING:
            actions.extend(_finish_drain(s, record))
        elif group not in wanted:
            actions.extend(_retire_unwanted(s, record, bool(actions)))
    return actions


def _finish_drain(s: Situation, record: GroupRecord) -> list[Action]:
    waited = s.now - s.draining_since.get(record.group, s.now)
    # An idle head just after the start of a drain is not conclusive: entry hosts learn of the
    # drain within the evidence age and may still send requests until then.
    if _idle(s, record) and waited > EVIDENCE_MAX_AGE:
        return [Dissolve(record.group, "drained")]
    if waited > DRAIN_LIMIT:
        return [Dissolve(record.group, "drain time limit exceeded")]
    return []


def _retire_unwanted(s: Situation, record: GroupRecord, busy: bool) -> list[Action]:
    """Return the action that retires an unwanted group, if it can be retired now.

    A group whose successor is wanted (a group of the same name with another specification) serves
    until enough successors are complete, so that the number of complete groups doesn't drop below
    the wanted number. It is drained earlier, one group at a time, only if the free hosts don't
    suffice for a successor.

    :param busy: another group is already drained or dissolved in this round
    """
    if not _verdict(s, record).complete:
        return [Dissolve(record.group, "not wanted and not serving")]
    successors = [w for w in s.wanted if _same_name(w.spec, record)]
    if not successors:
        return [Drain(record.group, "not wanted")]
    same = [r for r in s.ledger.groups.values() if _same_name(r.spec, record)]
    complete_count = sum(
        1 for r in same if r.phase == GroupPhase.ACTIVE and _verdict(s, r).complete
    )
    if complete_count > len(successors):
        return [] if busy else [Drain(record.group, "its successor serves")]
    if (
        busy
        or complete_count < len(successors)
        or not _successors_lack_hosts(s, successors, record.spec.hosts)
    ):
        return []
    return [Drain(record.group, "frees hosts for its successor")]


def _successors_lack_hosts(s: Situation, successors: Sequence[WantedGroup], hosts: int) -> bool:
    """Return whether a successor can't be formed for lack of hosts and no change is under way."""
    if any(r.phase == GroupPhase.DRAINING for r in s.ledger.groups.values()):
        return False
    formed = [s.ledger.groups[w.group] for w in successors if w.group in s.ledger.groups]
    if any(not _verdict(s, r).complete for r in formed) or len(formed) == len(successors):
        return False
    return len(_unassigned_hosts(s)) < hosts


def _unassigned_hosts(s: Situation) -> list[str]:
    """Return the hosts that are present and in no group, even if they are not yet empty."""
    assigned = ledgers.group_by_host(s.ledger)
    return [h for h in s.report_by_host if h not in assigned and _present(s, h)]


def _same_name(spec: GroupSpec, record: GroupRecord) -> bool:
    return (spec.team, spec.name) == (record.spec.team, record.spec.name)


def _idle(s: Situation, record: GroupRecord) -> bool:
    seen = s.report_by_host.get(record.head.host)
    if seen is None or s.now - seen.sent_at > EVIDENCE_MAX_AGE:
        return False
    return seen.report.running == 0 and seen.report.waiting == 0


def _verdict(s: Situation, record: GroupRecord) -> Verdict:
    return evaluate_group(record, s.report_by_host, s.now)


def _repair(s: Situation) -> list[Action]:
    free = free_hosts(s)
    actions: list[Action] = []
    broken = [
        r
        for r in s.ledger.groups.values()
        if r.phase == GroupPhase.ACTIVE and _needs_repair(s, r, _verdict(s, r))
    ]
    # Spares go to the group of highest priority first; the name breaks ties deterministically.
    for record in sorted(broken, key=lambda r: (-r.spec.priority, r.group)):
        action = _repair_one(s, record, free)
        if action is None:
            continue
        actions.append(action)
        if isinstance(action, Rebind):
            used = {m.host for m in action.members}
            free = [f for f in free if f.report.host not in used]
    return actions


def _needs_repair(s: Situation, record: GroupRecord, verdict: Verdict) -> bool:
    if verdict.faults:
        return any(f not in FAULTS_FIXED_BY_LOAD for f in verdict.faults.values())
    return any(_is_leaving(s, m.host) for m in record.members)


def _is_leaving(s: Situation, host: str) -> bool:
    entry = s.entry_by_host.get(host)
    seen = s.report_by_host.get(host)
    by_list = entry is not None and entry.state == HostState.LEAVING
    return by_list or (seen is not None and seen.report.leaving)


def _repair_one(s: Situation, record: GroupRecord, free: Sequence[TimedReport]) -> Action | None:
    verdict = _verdict(s, record)
    since = s.now - s.broken_since.get(record.group, s.now)
    unusable = [m for m in record.members if _unusable(s, m, verdict)]
    silent_only = all(verdict.faults.get(m.host) == MemberFault.SILENT for m in unusable)
    if unusable and silent_only and since < s.policy.grace:
        return None
    if not unusable:
        return _rebind_same_hosts(s, record, verdict)
    if verdict.complete and not _may_change_members(s, record, since):
        return None
    spares = [_member(s, f) for f in free[: len(unusable)]]
    if len(spares) == len(unusable):
        return _swap(s, record, unusable, spares)
    if since > hold_time(s.policy) or _frees_hosts_for_another(s, record, verdict, free):
        return Dissolve(record.group, f"{len(unusable)} member(s) lost and too few spares")
    return None


def _may_change_members(s: Situation, record: GroupRecord, since: float) -> bool:
    """Return whether a complete group with a leaving member is idle or has drained long enough."""
    return _idle(s, record) or since > DRAIN_LIMIT


def _unusable(s: Situation, member: Member, verdict: Verdict) -> bool:
    if _is_leaving(s, member.host):
        return True
    fault = verdict.faults.get(member.host)
    if fault is None or fault in FAULTS_FIXED_BY_LOAD:
        return False
    return fault == MemberFault.SILENT or not _present(s, member.host)


def _rebind_same_hosts(s: Situation, record: GroupRecord, verdict: Verdict) -> Action | None:
    """Rebind a group to the current boots of its hosts, at a new epoch."""
    if not verdict.faults:
        return None
    members = tuple(
        Member(m.host, m.address, s.report_by_host[m.host].report.boot_id) for m in record.members
    )
    faults = ", ".join(f"{h} {f.value}" for h, f in sorted(verdict.faults.items()))
    return Rebind(record.group, members, f"same hosts rebound: {faults}")


def _swap(
    s: Situation, record: GroupRecord, unusable: Sequence[Member], spares: Sequence[Member]
) -> Rebind:
    spare_by_host = dict(zip((m.host for m in unusable), spares, strict=True))
    members = tuple(spare_by_host.get(m.host) or _with_current_boot(s, m) for m in record.members)
    pairs = ", ".join(f"{m.host} by {spare_by_host[m.host].host}" for m in unusable)
    return Rebind(record.group, members, f"replaced {pairs}")


def _with_current_boot(s: Situation, member: Member) -> Member:
    seen = s.report_by_host.get(member.host)
    return member if seen is None else member._replace(boot_id=seen.report.boot_id)


def hold_time(policy: Policy) -> float:
    """Return how long a group without a spare keeps its other hosts, in seconds.

    Keeping them strands hosts but saves downtime if the lost member returns, so the time grows
    with the exchange rate.
    """
    return min(HOLD_MAX, HOLD_BASE * policy.exchange_rate / 8.0)


def _frees_hosts_for_another(
    s: Situation, record: GroupRecord, verdict: Verdict, free: Sequence[TimedReport]
) -> bool:
    """Return whether dissolving this group frees enough hosts to complete a more important one."""
    usable = sum(1 for m in record.members if not _unusable(s, m, verdict)) + len(free)
    for other in s.ledger.groups.values():
        if other.group == record.group or other.phase != GroupPhase.ACTIVE:
            continue
        missing = _missing_count(s, other)
        if 0 < missing <= usable and _importance(s, other) > _importance(s, record):
            return True
    return False


def _missing_count(s: Situation, record: GroupRecord) -> int:
    verdict = _verdict(s, record)
    return sum(1 for m in record.members if _unusable(s, m, verdict))


def _importance(s: Situation, record: GroupRecord) -> tuple[int, int, str]:
    """Return the rank of a group: priority, then fewest missing members, then its name."""
    return record.spec.priority, -_missing_count(s, record), record.group


def _form(s: Situation) -> list[Action]:
    free = free_hosts(s)
    actions: list[Action] = []
    for wanted in sorted(s.wanted, key=lambda w: (-w.spec.priority, w.group)):
        if wanted.group in s.ledger.groups or len(free) < wanted.spec.hosts:
            continue
        chosen, free = free[: wanted.spec.hosts], free[wanted.spec.hosts :]
        members = tuple(_member(s, seen) for seen in chosen)
        actions.append(Form(wanted, members, "wanted and enough free hosts"))
    return actions
