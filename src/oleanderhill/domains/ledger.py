"""Changes to a domain's ledger, as pure functions from one ledger value to the next.

The ledger is one value under one key (see :class:`~..types.DomainLedger`). Each function either
returns the next value or raises :class:`LedgerRuleError`; none of them does I/O. Every change
checks the invariant that no host is in two groups, whatever the caller has checked.
"""

from __future__ import annotations

from ..exceptions import OleanderhillError
from ..types import DomainLedger, GroupPhase, GroupRecord, GroupSpec, Member

EPOCH_SHIFT = 20
"""Number of low bits of a group epoch, which count the changes under one owner; the bits above hold
the owner epoch."""


class LedgerRuleError(OleanderhillError):
    """A change would break an invariant of the ledger, such as a host in two groups."""

    def __init__(self, domain: str, reason: str) -> None:
        super().__init__(f"ledger of {domain}: {reason}")


def ledger_key(data_centre: str, domain: str) -> str:
    """Return the store key of a domain's ledger."""
    return f"ledger/{data_centre}/{domain}"


def group_by_host(ledger: DomainLedger) -> dict[str, str]:
    """Return the name of the group that each assigned host belongs to."""
    return {m.host: g.group for g in ledger.groups.values() for m in g.members}


def with_owner(ledger: DomainLedger, owner: str, incarnation: str) -> DomainLedger:
    """Return the ledger with a new owner and the owner epoch raised by one."""
    return ledger._replace(
        owner=owner,
        owner_incarnation=incarnation,
        owner_epoch=ledger.owner_epoch + 1,
        version=ledger.version + 1,
    )


def with_new_group(
    ledger: DomainLedger, group: str, spec: GroupSpec, members: tuple[Member, ...]
) -> DomainLedger:
    """Return the ledger with a new group that has these members."""
    if group in ledger.groups:
        raise LedgerRuleError(ledger.domain, f"group {group} already exists")
    return _add_group(ledger, group, spec, members)


def with_members(ledger: DomainLedger, group: str, members: tuple[Member, ...]) -> DomainLedger:
    """Return the ledger with a group at a new epoch, with other members or new boots of its own."""
    spec = _get(ledger, group).spec
    return _add_group(without_group(ledger, group), group, spec, members)


def with_draining_group(ledger: DomainLedger, group: str) -> DomainLedger:
    """Return the ledger with a group marked as draining: it gets no new requests."""
    record = _get(ledger, group)._replace(phase=GroupPhase.DRAINING)
    return ledger._replace(groups={**ledger.groups, group: record})


def without_group(ledger: DomainLedger, group: str) -> DomainLedger:
    """Return the ledger without the group."""
    _get(ledger, group)
    return ledger._replace(groups={k: v for k, v in ledger.groups.items() if k != group})


def ordering_key(ledger: DomainLedger) -> tuple[int, int]:
    """Return the sort key by which a newer ledger value is greater: owner epoch, then version."""
    return ledger.owner_epoch, ledger.version


def _get(ledger: DomainLedger, group: str) -> GroupRecord:
    if group not in ledger.groups:
        raise LedgerRuleError(ledger.domain, f"group {group} does not exist")
    return ledger.groups[group]


def _add_group(
    ledger: DomainLedger, group: str, spec: GroupSpec, members: tuple[Member, ...]
) -> DomainLedger:
    assigned = group_by_host(ledger)
    hosts = [m.host for m in members]
    if len(set(hosts)) != spec.hosts:
        raise LedgerRuleError(ledger.domain, f"group {group} needs {spec.hosts} distinct hosts")
    for host in hosts:
        # All assignments pass this check, so no host is ever in two groups: the store's
        # compare-and-swap ensures that the ledger checked here is the current one.
        if host in assigned:
            raise LedgerRuleError(ledger.domain, f"host {host} is already in {assigned[host]}")
    # The last epoch is retained after the group is dissolved: a group formed again under the
    # same name must not reuse an epoch that an unreachable old member still reports. The owner
    # epoch forms the high bits, so a displaced owner and its successor never give the same epoch
    # to two memberships.
    epoch = max(ledger.last_epoch.get(group, 0), ledger.owner_epoch << EPOCH_SHIFT) + 1
    record = GroupRecord(group, epoch, spec, members)
    return ledger._replace(
        groups={**ledger.groups, group: record},
        last_epoch={**ledger.last_epoch, group: epoch},
    )
