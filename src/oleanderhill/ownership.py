"""Decides which entry host may send orders for a fabric domain, without periodic lease renewal.

A domain's ledger names its owner together with an owner epoch. Membership only *suggests* an owner
(rendezvous hash over the live entry hosts of the data centre); the ledger is authoritative. Before
each order, a read or write of the ledger within the last :data:`CONFIRM_WINDOW` seconds must have
*confirmed* the owner. After the store has acknowledged a take-over, the new owner waits until that
window has passed. The orders of the two owners therefore never interleave, even at engines that
ignore fencing numbers, and the number of store calls grows with the number of orders rather than
the number of hosts.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import xxhash

CONFIRM_WINDOW = 2.0
"""Seconds after the *start* of a confirming store call in which orders may be sent."""

TAKE_OVER_DELAY = 2.5
"""Seconds that a new owner waits before its first order: the confirmation window, plus an allowance
for clock drift and for an order of the previous owner in flight."""

ORDER_SEND_TIMEOUT = 0.4
"""Seconds in which an order must be sent, reserved at the end of the confirmation window."""


def rendezvous(key: str, names: Iterable[str], count: int = 1) -> tuple[str, ...]:
    """Return the ``count`` names that rank highest for a key by rendezvous hashing, best first."""
    ranked = sorted(names, key=lambda n: (-xxhash.xxh64_intdigest(f"{key}|{n}".encode()), n))
    return tuple(ranked[:count])


class OwnershipStatus(StrEnum):
    """The ownership status of this entry host for one domain."""

    NONE = "none"
    WAITING = "waiting"
    OWNER = "owner"


class Ownership(NamedTuple):
    """The ownership state of this entry host for one domain.

    :param epoch: owner epoch of the last take-over
    :param first_order_at: earliest local time of the first order after a take-over
    :param confirmed_at: start of the last store call that showed this entry host as the owner
    :param sequence: second half of the fencing number, incremented with each order
    """

    domain: str
    epoch: int = 0
    first_order_at: float = 0.0
    confirmed_at: float = -1e9
    sequence: int = 0
    owned: bool = False


def after_take_over(domain: str, epoch: int, call_started: float, acknowledged: float) -> Ownership:
    """Return the state after a take-over that the store acknowledged."""
    return Ownership(domain, epoch, acknowledged + TAKE_OVER_DELAY, call_started, 0, True)


def after_confirmation(state: Ownership, call_started: float) -> Ownership:
    """Return the state after a store call begun at ``call_started`` confirmed the ownership."""
    return state._replace(confirmed_at=max(state.confirmed_at, call_started))


def after_loss(state: Ownership) -> Ownership:
    """Return the state after the ledger was observed with another owner or epoch."""
    return state._replace(owned=False)


def ownership_status(state: Ownership, now: float) -> OwnershipStatus:
    """Return the ownership status at ``now``."""
    if not state.owned:
        return OwnershipStatus.NONE
    if now < state.first_order_at:
        return OwnershipStatus.WAITING
    return OwnershipStatus.OWNER


def may_order(state: Ownership, now: float) -> bool:
    """Return whether an order may be sent at ``now``.

    An owner that resumes after a pause still considers itself the owner, and its order could undo
    the work of a new owner. This check, made right before sending, fails after such a pause: the
    confirmation is then older than the window, which the new owner waits out before its first
    order.
    """
    if ownership_status(state, now) != OwnershipStatus.OWNER:
        return False
    return now - state.confirmed_at <= CONFIRM_WINDOW - ORDER_SEND_TIMEOUT


def next_fencing_number(state: Ownership) -> tuple[Ownership, tuple[int, int]]:
    """Return the updated state and the fencing number of the next order."""
    updated = state._replace(sequence=state.sequence + 1)
    return updated, (state.epoch, updated.sequence)


def should_own(domain: str, own_name: str, live: Iterable[str]) -> bool:
    """Return whether membership suggests this entry host as the domain's owner."""
    return rendezvous(domain, {*live, own_name}) == (own_name,)
