"""Effects that a domain controller requests from its task, and results of store calls."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..types import DomainLedger, Order
from .orders import OrderKey


class ReadLedger(NamedTuple):
    """Effect: read the domain's ledger."""

    domain: str


class SwapLedger(NamedTuple):
    """Effect: write the ledger if it is still at ``modify_index``."""

    domain: str
    value: bytes
    modify_index: int


class SendOrder(NamedTuple):
    """Effect: send an order, after checking :meth:`DomainSteward.may_send` again."""

    order: Order


class RequestTicket(NamedTuple):
    """Effect: request a ticket from the weight store, which permits reading the weights."""

    key: OrderKey
    gigabytes: float


class Decided(NamedTuple):
    """Effect: log a decision."""

    part: str
    subject: str
    text: str
    also: tuple[str, ...] = ()


class LedgerAnswer(NamedTuple):
    """Result of a read; ``value`` is empty if the ledger doesn't exist yet."""

    value: bytes
    modify_index: int


class SwapAnswer(NamedTuple):
    """Result of a write: whether the ledger was still at the expected index and was replaced."""

    done: bool


class StoreFailed(NamedTuple):
    """A store call failed; if it was a write, it may still have taken effect.

    :param wrote: whether the call was a write
    """

    wrote: bool


StoreEvent = LedgerAnswer | SwapAnswer | StoreFailed
Effect = ReadLedger | SwapLedger | SendOrder | RequestTicket | Decided


def encode_ledger(ledger: DomainLedger) -> bytes:
    """Return the stored form of a ledger."""
    return msgspec.json.encode(ledger)


def decode_ledger(value: bytes, domain: str) -> DomainLedger:
    """Return the ledger of a stored value, or an empty ledger for an empty value.

    :raises msgspec.DecodeError: if the value is not a ledger
    """
    if not value:
        return DomainLedger(domain)
    return msgspec.json.decode(value, type=DomainLedger)
