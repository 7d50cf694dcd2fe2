"""What a domain's steward asks its shell to do, and what the shell answers."""

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
    """Effect: send an order, after asking :meth:`DomainSteward.may_send` once more."""

    order: Order


class AskTicket(NamedTuple):
    """Effect: ask the weight store for leave to load."""

    key: OrderKey
    gigabytes: float


class Decided(NamedTuple):
    """Effect: log a decision."""

    part: str
    subject: str
    text: str
    also: tuple[str, ...] = ()


class LedgerAnswer(NamedTuple):
    """The ledger as read; ``value`` is empty where there is none yet."""

    value: bytes
    modify_index: int


class SwapAnswer(NamedTuple):
    """The store said whether the ledger was written."""

    done: bool


class StoreFailed(NamedTuple):
    """The store call failed; a write may have landed."""

    wrote: bool


StoreEvent = LedgerAnswer | SwapAnswer | StoreFailed
Effect = ReadLedger | SwapLedger | SendOrder | AskTicket | Decided


def encode_ledger(ledger: DomainLedger) -> bytes:
    """Return a ledger as stored."""
    return msgspec.json.encode(ledger)


def decode_ledger(value: bytes, domain: str) -> DomainLedger:
    """Return the ledger of a stored value, an empty one for no value.

    :raises msgspec.DecodeError: if the value is not a ledger
    """
    if not value:
        return DomainLedger(domain)
    return msgspec.json.decode(value, type=DomainLedger)
