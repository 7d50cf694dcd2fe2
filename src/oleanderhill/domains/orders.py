"""Orders that bring engines to what the ledger says: a pure reconciliation.

The ledger holds the intent, the reports hold the fact. :func:`due` lists the orders that close
the gap. It is level-triggered: an order that was lost, or sent to a host that rebooted, comes up
again at the next round, with a new fencing number.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..routing.wholeness import EVIDENCE_MAX_AGE
from ..types import DomainLedger, EngineState, GroupRecord, HostEntry, Order, SeenReport

RESEND_AFTER = 1.0
"""Seconds before the same order is sent to the same host again."""


class OrderKey(NamedTuple):
    """What makes two orders the same for the resend interval."""

    kind: str
    host: str
    group: str
    epoch: int


class Due(NamedTuple):
    """An order that is due, still without a fencing number."""

    order: Order
    needs_weights: float


def due(
    ledger: DomainLedger,
    entry_by_host: Mapping[str, HostEntry],
    seen_by_host: Mapping[str, SeenReport],
    sent_at_by_key: Mapping[OrderKey, float],
    now: float,
) -> list[Due]:
    """Return the orders to send now, unloads first.

    :param sent_at_by_key: when each order was last sent
    """
    wanted = _wanted_by_host(ledger)
    unloads: list[Due] = []
    loads: list[Due] = []
    for host, seen in sorted(seen_by_host.items()):
        if now - seen.sent_at > EVIDENCE_MAX_AGE or host not in entry_by_host:
            continue
        target = wanted.get(host)
        if target is None:
            unloads.extend(_unload(host, entry_by_host[host], seen))
        else:
            loads.extend(_load(target[0], target[1], seen))
    return [d for d in unloads + loads if _rested(d.order, sent_at_by_key, now)]


def order_key(order: Order) -> OrderKey:
    """Return the key under which the sending of an order is remembered."""
    return OrderKey(order.kind, order.host, order.group, order.epoch)


def _rested(order: Order, sent_at_by_key: Mapping[OrderKey, float], now: float) -> bool:
    return now - sent_at_by_key.get(order_key(order), -RESEND_AFTER) >= RESEND_AFTER


def _wanted_by_host(ledger: DomainLedger) -> dict[str, tuple[GroupRecord, int]]:
    return {
        member.host: (record, rank)
        for record in ledger.groups.values()
        for rank, member in enumerate(record.members)
    }


def _unload(host: str, entry: HostEntry, seen: SeenReport) -> list[Due]:
    """Empty a host that no group holds any more."""
    report = seen.report
    if report.state == EngineState.EMPTY:
        return []
    order = Order(
        "unload", host, entry.address, report.group, report.epoch, report.rank, (), None, (0, 0)
    )
    return [Due(order, 0.0)]


def _load(record: GroupRecord, rank: int, seen: SeenReport) -> list[Due]:
    report = seen.report
    member = record.members[rank]
    # A boot that the ledger doesn't name is not loaded: placement binds the group to the new
    # boot first, at a new epoch, so that one epoch never covers two boots of a host.
    if report.boot_id != member.boot_id:
        return []
    same = report.group == record.group and report.epoch == record.epoch and report.rank == rank
    if same and report.state != EngineState.EMPTY:
        return []
    keeps = report.group == record.group and report.state == EngineState.READY
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
    return [Due(order, 0.0 if keeps else record.spec.weights_gb / record.spec.hosts)]
