"""When a domain controller sent each order, and the tickets that permit reading weights."""

from __future__ import annotations

from collections.abc import Mapping

from ..types import DomainLedger
from .orders import OrderKey

SENT_RETENTION = 30.0
"""Seconds for which the send time of an order is retained; much longer than the resend interval."""

TICKET_RETRY_DELAY = 1.0
"""Seconds after which an unanswered ticket request is repeated."""

GRANTED = -1.0
"""Marks a granted ticket, in place of the time of the next request."""


class OrderLog:
    """Send times of orders by key, and the state of their tickets to read weights."""

    def __init__(self) -> None:
        self._sent_at: dict[OrderKey, float] = {}
        self._tickets: dict[OrderKey, float] = {}

    @property
    def sent_at(self) -> Mapping[OrderKey, float]:
        """Return when each order was last sent."""
        return self._sent_at

    def record_sent(self, key: OrderKey, now: float) -> None:
        """Record that an order was sent, which uses up its ticket."""
        self._sent_at[key] = now
        self._tickets.pop(key, None)

    def apply_ticket(self, key: OrderKey, wait: float, now: float) -> None:
        """Record a ticket as granted, or as to be requested again after a positive ``wait``."""
        self._tickets[key] = now + wait if wait > 0 else GRANTED

    def has_ticket(self, key: OrderKey) -> bool:
        """Return whether the ticket for an order was granted."""
        return self._tickets.get(key) == GRANTED

    def start_request(self, key: OrderKey, now: float) -> bool:
        """Return whether to request a ticket now; if so, record it as requested."""
        if now < self._tickets.get(key, 0.0):
            return False
        self._tickets[key] = now + TICKET_RETRY_DELAY
        return True

    def clear_sent(self) -> None:
        """Clear the send times, which are those of an earlier ownership, after a take-over."""
        self._sent_at = {}

    def prune(self, ledger: DomainLedger, now: float) -> None:
        """Remove old send times and the tickets of past group epochs, which would accumulate."""
        self._sent_at = {k: at for k, at in self._sent_at.items() if now - at < SENT_RETENTION}
        epoch_by_group = {g: r.epoch for g, r in ledger.groups.items()}
        self._tickets = {
            k: at for k, at in self._tickets.items() if epoch_by_group.get(k.group) == k.epoch
        }
