"""Reconciliation of engines with the ledger, as pure functions.

The ledger holds the desired state, the reports the actual state. :func:`due_orders` returns the
orders that reconcile the two. It is level-triggered: an order that was lost, or sent to a host
that rebooted, is due again in the next round, with a new fencing number.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..routing.completeness import EVIDENCE_MAX_AGE
from ..types import DomainLedger, EngineState, GroupRecord, HostEntry, Order, TimedReport

RESEND_AFTER = 1.0
"""Seconds before the same order is sent to the same host again."""


class OrderKey(NamedTuple):
    """Identifies an order for the resend interval."""

    kind: str
    host: str
    group: str
    epoch: int


class DueOrder(NamedTuple):
    """An order to send, still without a fencing number.

    :param read_gb: gigabytes of weights that the host reads to carry out the order
    """

    order: Order
    read_gb: float


def due_orders(
    ledger: DomainLedger,
    entry_by_host: Mapping[str, HostEntry],
    report_by_host: Mapping[str, TimedReport],
    sent_at_by_key: Mapping[OrderKey, float],
    now: float,
) -> list[DueOrder]:
    """Return the orders to send now, unloads first.

    A host without a fresh report, or missing from the platform's list, gets no order.

    :param sent_at_by_key: when each order was last sent
    """
    assignment_by_host = _assignment_by_host(ledger)
    unloads: list[DueOrder] = []
    loads: list[DueOrder] = []
    for host, seen in sorted(report_by_host.items()):
        if now - seen.sent_at > EVIDENCE_MAX_AGE or host not in entry_by_host:
            continue
        assignment = assignment_by_host.get(host)
        if assignment is None:
            unloads.extend(_unload(host, entry_by_host[host], seen))
        else:
            loads.extend(_load(assignment[0], assignment[1], seen))
    return [d for d in unloads + loads if _may_resend(d.order, sent_at_by_key, now)]


def order_key(order: Order) -> OrderKey:
    """Return the key under which the send time of an order is recorded."""
    return OrderKey(order.kind, order.host, order.group, order.epoch)


def _may_resend(order: Order, sent_at_by_key: Mapping[OrderKey, float], now: float) -> bool:
    return now - sent_at_by_key.get(order_key(order), -RESEND_AFTER) >= RESEND_AFTER


def _assignment_by_host(ledger: DomainLedger) -> dict[str, tuple[GroupRecord, int]]:
    return {
        member.host: (record, rank)
        for record in ledger.groups.values()
        for rank, member in enumerate(record.members)
    }


def _unload(host: str, entry: HostEntry, seen: TimedReport) -> list[DueOrder]:
    """Return the order that empties a host assigned to no group, none if it is already empty."""
    report = seen.report
    if report.state == EngineState.EMPTY:
        return []
    order = Order(
        "unload", host, entry.address, report.group, report.epoch, report.rank, (), None, (0, 0)
    )
    return [DueOrder(order, 0.0)]


def _load(record: GroupRecord, rank: int, seen: TimedReport) -> list[DueOrder]:
    report = seen.report
    member = record.members[rank]
    # A boot that the ledger doesn't list gets no load order. Placement first binds the group to
    # the new boot at a new epoch, so that one epoch never covers two boots of a host.
    if report.boot_id != member.boot_id:
        return []
    same_assignment = (
        report.group == record.group and report.epoch == record.epoch and report.rank == rank
    )
    if same_assignment and report.state != EngineState.EMPTY:
        return []
    has_weights = report.group == record.group and report.state == EngineState.READY
    order = Order(
        "load",
        member.host,
        member.address,
        record.group,
        record.epoch,
        rank,
        record.members,
        record.spec,
        (0, 0),
    )
    return [DueOrder(order, 0.0 if has_weights else record.spec.weights_gb / record.spec.hosts)]
