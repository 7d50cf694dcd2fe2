"""What a steward remembers of the orders it gave: when each left, and leave to read weights."""

from __future__ import annotations

from collections.abc import Mapping

from ..types import DomainLedger
from .orders import OrderKey

ORDERS_KEPT = 30.0
"""Seconds for which the sending of an order is remembered; well over the resend interval."""

ASK_AGAIN = 1.0
"""Seconds before leave to read weights is asked for again where no answer came."""

GRANTED = -1.0
"""Stands for leave that was given, in place of a time to ask again."""


class OrderLog:
    """Sendings of orders by key, and the state of their leave to read weights."""

    def __init__(self) -> None:
        self._sent_at: dict[OrderKey, float] = {}
        self._tickets: dict[OrderKey, float] = {}

    @property
    def sent_at(self) -> Mapping[OrderKey, float]:
        """Return when each order left."""
        return self._sent_at

    def sent(self, key: OrderKey, now: float) -> None:
        """Take note that an order left; leave to read weights is used up by it."""
        self._sent_at[key] = now
        self._tickets.pop(key, None)

    def ticket(self, key: OrderKey, wait: float, now: float) -> None:
        """Take in leave to read weights: now, or ask again after ``wait`` seconds."""
        self._tickets[key] = now + wait if wait > 0 else GRANTED

    def may_load(self, key: OrderKey) -> bool:
        """Tell whether leave to read weights was given."""
        return self._tickets.get(key) == GRANTED

    def ask(self, key: OrderKey, now: float) -> bool:
        """Tell whether leave is to be asked for now; it then counts as asked."""
        if now < self._tickets.get(key, 0.0):
            return False
        self._tickets[key] = now + ASK_AGAIN
        return True

    def forget_sendings(self) -> None:
        """Forget when orders left: they were another owner's."""
        self._sent_at = {}

    def forget_old(self, ledger: DomainLedger, now: float) -> None:
        """Drop what is kept of orders long past; each epoch of a group leaves some behind."""
        self._sent_at = {k: at for k, at in self._sent_at.items() if now - at < ORDERS_KEPT}
        epoch_by_group = {g: r.epoch for g, r in ledger.groups.items()}
        self._tickets = {
            k: at for k, at in self._tickets.items() if epoch_by_group.get(k.group) == k.epoch
        }
