"""Placement and repair inside one fabric domain: a pure decision over its ledger and reports.

:func:`decide` looks at what is wanted, what the ledger holds and what the hosts report, and
returns at most a few :data:`Action` values, each of which is one ledger write. It weighs, by the
operators' exchange rate, waiting for a lost member against swapping in a spare, against breaking
up a group that can't be made whole. See ``docs/design/placement.md`` for the ways weighed.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..routing.wholeness import EVIDENCE_MAX_AGE, MemberFault, Verdict, judge
from ..types import (
    DomainLedger,
    GroupPhase,
    GroupRecord,
    GroupSpec,
    HostEntry,
    HostState,
    Member,
    SeenReport,
    WantedGroup,
)
from . import ledger as ledgers

PAUSE_GRACE = 1.0
"""Seconds a silent member gets beyond the evidence age: most short pauses end within it."""

HOLD_BASE = 60.0
"""Seconds a group that can't be repaired holds its other hosts, at an exchange rate of one."""

HOLD_MAX = 1800.0
DRAIN_LIMIT = 120.0
"""Seconds after which a draining group is dissolved even with requests in flight."""


MENDED_BY_ORDERS = frozenset({MemberFault.LOADING, MemberFault.OTHER_GROUP})
"""Faults that a load order of the present epoch ends. A new epoch for them would start over each
time that a report older than the order comes in, and never get anywhere."""


class Policy(NamedTuple):
    """The operators' weights for repair.

    :param exchange_rate: host-seconds stranded that one group-second of downtime is worth
    :param grace: seconds a silent member gets before it is replaced
    """

    exchange_rate: float = 8.0
    grace: float = PAUSE_GRACE


class Form(NamedTuple):
    """Form a wanted group from free hosts."""

    wanted: WantedGroup
    members: tuple[Member, ...]
    reason: str


class Rebind(NamedTuple):
    """Give a group a new epoch with these members: a swap, or the same hosts in new boots."""

    group: str
    members: tuple[Member, ...]
    reason: str


class Drain(NamedTuple):
    """Stop new requests to a group that is to go."""

    group: str
    reason: str


class Dissolve(NamedTuple):
    """Take a group apart."""

    group: str
    reason: str


Action = Form | Rebind | Drain | Dissolve


class Situation(NamedTuple):
    """All that :func:`decide` looks at.

    :param wanted: groups the plan gives to this domain
    :param entry_by_host: the platform's list for this domain
    :param empty_since: since when each host reports, in its present boot, that it holds nothing
    :param broken_since: when each group that isn't whole was last seen whole, or formed
    :param draining_since: when each draining group began to drain
    """

    now: float
    ledger: DomainLedger
    wanted: tuple[WantedGroup, ...]
    entry_by_host: Mapping[str, HostEntry]
    seen_by_host: Mapping[str, SeenReport]
    empty_since: Mapping[str, float]
    broken_since: Mapping[str, float]
    draining_since: Mapping[str, float]
    policy: Policy


def apply(ledger: DomainLedger, action: Action) -> DomainLedger:
    """Return the ledger after an action.

    :raises LedgerRuleError: if the action breaks a rule of the ledger
    """
    match action:
        case Form(wanted, members, _):
            return ledgers.formed(ledger, wanted.group, wanted.spec, members)
        case Rebind(group, members, _):
            return ledgers.swapped(ledger, group, members)
        case Drain(group, _):
            return ledgers.draining(ledger, group)
        case Dissolve(group, _):
            return ledgers.dissolved(ledger, group)


def decide(s: Situation) -> list[Action]:
    """Return the actions to take now, in order; each holds after those before it."""
    actions: list[Action] = []
    ledger = s.ledger
    for step in (_remove_unwanted, _repair, _form):
        found = step(s._replace(ledger=ledger))
        for action in found:
            ledger = apply(ledger, action)
        actions.extend(found)
    return actions


def free_hosts(s: Situation) -> list[SeenReport]:
    """Return hosts that can join a group now: in no group, empty, present and staying."""
    held = ledgers.holder_by_host(s.ledger)
    return [
        seen
        for host, seen in sorted(s.seen_by_host.items())
        if host not in held and _present(s, host) and _let_go(s, host)
    ]


def _let_go(s: Situation, host: str) -> bool:
    """Tell whether a host has held nothing for longer than evidence of its last group counts.

    An entry host that is cut off from the owner may send to the host's last group for as long as
    its evidence of it counts. Given to another group at once, the host would belong to two.
    """
    return s.now - s.empty_since.get(host, s.now) > EVIDENCE_MAX_AGE


def _present(s: Situation, host: str) -> bool:
    entry = s.entry_by_host.get(host)
    seen = s.seen_by_host.get(host)
    if entry is None or seen is None or entry.state == HostState.LEAVING:
        return False
    return not seen.report.leaving and s.now - seen.sent_at <= EVIDENCE_MAX_AGE


def _member(s: Situation, seen: SeenReport) -> Member:
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
    # An idle head right after the drain began proves little: entry hosts learn of the drain
    # within the evidence age and may have sent a request meanwhile.
    if _idle(s, record) and waited > EVIDENCE_MAX_AGE:
        return [Dissolve(record.group, "drained")]
    if waited > DRAIN_LIMIT:
        return [Dissolve(record.group, "drain limit passed")]
    return []


def _retire_unwanted(s: Situation, record: GroupRecord, busy: bool) -> list[Action]:
    """Let go of a group that is not wanted, without dropping below the wanted whole groups.

    A group of the same name in another version stands in for its successor until that one is
    whole. Only where no host is free to form the successor does one group at a time go first.
    """
    if not _verdict(s, record).whole:
        return [Dissolve(record.group, "not wanted and not serving")]
    successors = [w for w in s.wanted if _same_name(w.spec, record)]
    if not successors:
        return [Drain(record.group, "not wanted")]
    same = [r for r in s.ledger.groups.values() if _same_name(r.spec, record)]
    whole = sum(1 for r in same if r.phase == GroupPhase.ACTIVE and _verdict(s, r).whole)
    if whole > len(successors):
        return [] if busy else [Drain(record.group, "its successor serves")]
    if busy or whole < len(successors) or not _stuck(s, successors, record.spec.hosts):
        return []
    return [Drain(record.group, "makes room for its successor")]


def _stuck(s: Situation, successors: Sequence[WantedGroup], hosts: int) -> bool:
    """Tell whether no successor forms, none can be formed, and nothing makes room already."""
    if any(r.phase == GroupPhase.DRAINING for r in s.ledger.groups.values()):
        return False
    formed = [s.ledger.groups[w.group] for w in successors if w.group in s.ledger.groups]
    if any(not _verdict(s, r).whole for r in formed) or len(formed) == len(successors):
        return False
    return len(_unheld(s)) < hosts


def _unheld(s: Situation) -> list[str]:
    """Return the hosts that are present and in no group, even if they hold something still."""
    held = ledgers.holder_by_host(s.ledger)
    return [h for h in s.seen_by_host if h not in held and _present(s, h)]


def _same_name(spec: GroupSpec, record: GroupRecord) -> bool:
    return (spec.team, spec.name) == (record.spec.team, record.spec.name)


def _idle(s: Situation, record: GroupRecord) -> bool:
    seen = s.seen_by_host.get(record.head.host)
    if seen is None or s.now - seen.sent_at > EVIDENCE_MAX_AGE:
        return False
    return seen.report.running == 0 and seen.report.waiting == 0


def _verdict(s: Situation, record: GroupRecord) -> Verdict:
    return judge(record, s.seen_by_host, s.now)


def _repair(s: Situation) -> list[Action]:
    free = free_hosts(s)
    actions: list[Action] = []
    broken = [
        r
        for r in s.ledger.groups.values()
        if r.phase == GroupPhase.ACTIVE and _needs_repair(s, r, _verdict(s, r))
    ]
    # The most wanted group gets the spares first; the name breaks ties the same way each time.
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
        return any(f not in MENDED_BY_ORDERS for f in verdict.faults.values())
    return any(_is_leaving(s, m.host) for m in record.members)


def _is_leaving(s: Situation, host: str) -> bool:
    entry = s.entry_by_host.get(host)
    seen = s.seen_by_host.get(host)
    by_list = entry is not None and entry.state == HostState.LEAVING
    return by_list or (seen is not None and seen.report.leaving)


def _repair_one(s: Situation, record: GroupRecord, free: Sequence[SeenReport]) -> Action | None:
    verdict = _verdict(s, record)
    since = s.now - s.broken_since.get(record.group, s.now)
    bad = [m for m in record.members if _unusable(s, m, verdict)]
    silent_only = all(verdict.faults.get(m.host) == MemberFault.SILENT for m in bad)
    if bad and silent_only and since < s.policy.grace:
        return None
    if not bad:
        return _rebound(s, record, verdict)
    if verdict.whole and not _drained_enough(s, record, since):
        return None
    spares = [_member(s, f) for f in free[: len(bad)]]
    if len(spares) == len(bad):
        return _swap(s, record, bad, spares)
    if since > hold_time(s.policy) or _helps_another(s, record, verdict, free):
        return Dissolve(record.group, f"{len(bad)} member(s) lost and no spare")
    return None


def _drained_enough(s: Situation, record: GroupRecord, since: float) -> bool:
    """Let requests in flight end before a whole group with a leaving member is changed."""
    return _idle(s, record) or since > DRAIN_LIMIT


def _unusable(s: Situation, member: Member, verdict: Verdict) -> bool:
    if _is_leaving(s, member.host):
        return True
    fault = verdict.faults.get(member.host)
    if fault is None or fault in MENDED_BY_ORDERS:
        return False
    return fault == MemberFault.SILENT or not _present(s, member.host)


def _rebound(s: Situation, record: GroupRecord, verdict: Verdict) -> Action | None:
    """Take a member that is back in a new boot into the group again, at a new epoch."""
    if not verdict.faults:
        return None
    members = tuple(
        Member(m.host, m.address, s.seen_by_host[m.host].report.boot_id) for m in record.members
    )
    faults = ", ".join(f"{h} {f.value}" for h, f in sorted(verdict.faults.items()))
    return Rebind(record.group, members, f"same hosts again: {faults}")


def _swap(
    s: Situation, record: GroupRecord, bad: Sequence[Member], spares: Sequence[Member]
) -> Rebind:
    spare_by_host = dict(zip((m.host for m in bad), spares, strict=True))
    members = tuple(spare_by_host.get(m.host) or _current(s, m) for m in record.members)
    pairs = ", ".join(f"{m.host} by {spare_by_host[m.host].host}" for m in bad)
    return Rebind(record.group, members, f"replaced {pairs}")


def _current(s: Situation, member: Member) -> Member:
    seen = s.seen_by_host.get(member.host)
    return member if seen is None else member._replace(boot_id=seen.report.boot_id)


def hold_time(policy: Policy) -> float:
    """Return how long a group without a spare holds its other hosts, in seconds.

    The hold costs stranded hosts and pays in downtime saved should the member return, so it
    grows with the exchange rate.
    """
    return min(HOLD_MAX, HOLD_BASE * policy.exchange_rate / 8.0)


def _helps_another(
    s: Situation, record: GroupRecord, verdict: Verdict, free: Sequence[SeenReport]
) -> bool:
    """Tell whether breaking up this group makes another one, worth more, whole again."""
    usable = sum(1 for m in record.members if not _unusable(s, m, verdict)) + len(free)
    for other in s.ledger.groups.values():
        if other.group == record.group or other.phase != GroupPhase.ACTIVE:
            continue
        missing = _missing(s, other)
        if 0 < missing <= usable and _worth(s, other) > _worth(s, record):
            return True
    return False


def _missing(s: Situation, record: GroupRecord) -> int:
    verdict = _verdict(s, record)
    return sum(1 for m in record.members if _unusable(s, m, verdict))


def _worth(s: Situation, record: GroupRecord) -> tuple[int, int, str]:
    """Rank groups: by priority, then by how little is missing; the name breaks ties."""
    return record.spec.priority, -_missing(s, record), record.group


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
