"""Changes to a domain's ledger: pure functions from one ledger value to the next.

The ledger is one value under one key (see :class:`~..types.DomainLedger`). Each function either
returns the next value or raises :class:`LedgerRuleError`; none of them does I/O. The invariant
that no host is in two groups is checked on every change, not trusted to the caller.
"""

from __future__ import annotations

from ..exceptions import OleanderhillError
from ..types import DomainLedger, GroupPhase, GroupRecord, GroupSpec, Member

EPOCH_SHIFT = 20
"""Bits of a group epoch below the owner epoch: changes to one group under one owner."""


class LedgerRuleError(OleanderhillError):
    """A change would break a rule of the ledger, such as a host in two groups."""

    def __init__(self, domain: str, reason: str) -> None:
        super().__init__(f"ledger of {domain}: {reason}")


def ledger_key(data_centre: str, domain: str) -> str:
    """Return the store key of a domain's ledger."""
    return f"ledger/{data_centre}/{domain}"


def holder_by_host(ledger: DomainLedger) -> dict[str, str]:
    """Return the group that holds each host."""
    return {m.host: g.group for g in ledger.groups.values() for m in g.members}


def taken(ledger: DomainLedger, owner: str, life: str) -> DomainLedger:
    """Return the ledger after ``owner`` has taken it: the owner epoch rises by one."""
    return ledger._replace(
        owner=owner, owner_life=life, owner_epoch=ledger.owner_epoch + 1, version=ledger.version + 1
    )


def formed(
    ledger: DomainLedger, group: str, spec: GroupSpec, members: tuple[Member, ...]
) -> DomainLedger:
    """Return the ledger with a new group of these members."""
    if group in ledger.groups:
        raise LedgerRuleError(ledger.domain, f"group {group} exists")
    return _put(ledger, group, spec, members)


def swapped(ledger: DomainLedger, group: str, members: tuple[Member, ...]) -> DomainLedger:
    """Return the ledger with other members in a group, or the same in new boots, at a new epoch."""
    spec = _get(ledger, group).spec
    return _put(dissolved(ledger, group), group, spec, members)


def draining(ledger: DomainLedger, group: str) -> DomainLedger:
    """Return the ledger with a group that gets no new requests and is to be dissolved."""
    record = _get(ledger, group)._replace(phase=GroupPhase.DRAINING)
    return ledger._replace(groups={**ledger.groups, group: record})


def dissolved(ledger: DomainLedger, group: str) -> DomainLedger:
    """Return the ledger without the group."""
    _get(ledger, group)
    return ledger._replace(groups={k: v for k, v in ledger.groups.items() if k != group})


def age_of(ledger: DomainLedger) -> tuple[int, int]:
    """Return what orders the values of one ledger: owner epoch, then version."""
    return ledger.owner_epoch, ledger.version


def _get(ledger: DomainLedger, group: str) -> GroupRecord:
    if group not in ledger.groups:
        raise LedgerRuleError(ledger.domain, f"no group {group}")
    return ledger.groups[group]


def _put(
    ledger: DomainLedger, group: str, spec: GroupSpec, members: tuple[Member, ...]
) -> DomainLedger:
    held = holder_by_host(ledger)
    hosts = [m.host for m in members]
    if len(set(hosts)) != spec.hosts:
        raise LedgerRuleError(ledger.domain, f"group {group} needs {spec.hosts} hosts")
    for host in hosts:
        # The one place that keeps a host out of two groups: all allocation passes here, and
        # the store's compare-and-swap makes the value it is checked against the current one.
        if host in held:
            raise LedgerRuleError(ledger.domain, f"host {host} is in {held[host]}")
    # The last epoch outlives the group: a group formed again under the same name must not
    # reuse the epoch that an unreachable old member still reports. The owner epoch is its upper
    # part, so that a displaced owner and its successor never name two memberships alike.
    epoch = max(ledger.last_epoch.get(group, 0), ledger.owner_epoch << EPOCH_SHIFT) + 1
    record = GroupRecord(group, epoch, spec, members)
    return ledger._replace(
        groups={**ledger.groups, group: record},
        last_epoch={**ledger.last_epoch, group: epoch},
    )
