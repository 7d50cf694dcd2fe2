"""Who may act for a fabric domain, kept without a standing lease.

A domain's owner is named in its ledger with an owner epoch. Membership only *suggests* an owner
(rendezvous hash over the live entry hosts of the data centre); the ledger decides. An owner must
have *confirmed* itself, by a read or write of the ledger that it still owned, within
:data:`CONFIRM_WINDOW` before each order. A taker waits that window out after its take-over is
acknowledged, so that the orders of the two never interleave, even for engines that ignore
fencing numbers. Store calls therefore follow the number of actions, not the number of hosts.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import xxhash

CONFIRM_WINDOW = 2.0
"""Seconds after the *start* of a confirming store call during which orders may be sent."""

TAKE_OVER_WAIT = 2.5
"""Seconds a taker waits before its first order: the window, clock drift and an order in flight."""

ORDER_LIFE = 0.4
"""Seconds in which an order must be handed to the network, within the window."""


def rendezvous(key: str, names: Iterable[str], count: int = 1) -> tuple[str, ...]:
    """Return the ``count`` names that rank highest for a key, best first."""
    ranked = sorted(names, key=lambda n: (-xxhash.xxh64_intdigest(f"{key}|{n}".encode()), n))
    return tuple(ranked[:count])


class Standing(StrEnum):
    """Where this entry host stands towards one domain."""

    NONE = "none"
    WAITING = "waiting"
    OWNER = "owner"


class Ownership(NamedTuple):
    """This entry host's standing for one domain.

    :param epoch: owner epoch under which it stands
    :param usable_at: earliest local time of the first order after a take-over
    :param confirmed_at: start of the last store call that showed it as the owner
    :param sequence: second half of the fencing number, raised with each order
    """

    domain: str
    epoch: int = 0
    usable_at: float = 0.0
    confirmed_at: float = -1e9
    sequence: int = 0
    owned: bool = False


def took(domain: str, epoch: int, call_started: float, acknowledged: float) -> Ownership:
    """Return the standing after a take-over that the store acknowledged."""
    return Ownership(domain, epoch, acknowledged + TAKE_OVER_WAIT, call_started, 0, True)


def confirmed(mine: Ownership, call_started: float) -> Ownership:
    """Return the standing after a store call, begun at ``call_started``, that showed us owner."""
    return mine._replace(confirmed_at=max(mine.confirmed_at, call_started))


def lost(mine: Ownership) -> Ownership:
    """Return the standing after the ledger was seen under another owner or epoch."""
    return mine._replace(owned=False)


def standing(mine: Ownership, now: float) -> Standing:
    """Return where this entry host stands at ``now``."""
    if not mine.owned:
        return Standing.NONE
    if now < mine.usable_at:
        return Standing.WAITING
    return Standing.OWNER


def may_order(mine: Ownership, now: float) -> bool:
    """Tell whether an order may be sent at ``now``.

    A holder that was paused wakes believing that it still owns the domain. Its order would undo
    what the new owner did. The check right before sending fails after such a pause because the
    confirmation is then older than the window, and the new owner has waited that window out.
    """
    if standing(mine, now) != Standing.OWNER:
        return False
    return now - mine.confirmed_at <= CONFIRM_WINDOW - ORDER_LIFE


def next_fence(mine: Ownership) -> tuple[Ownership, tuple[int, int]]:
    """Return the standing and the fencing number for the next order."""
    moved = mine._replace(sequence=mine.sequence + 1)
    return moved, (mine.epoch, moved.sequence)


def should_own(domain: str, me: str, live: Iterable[str]) -> bool:
    """Tell whether membership suggests this entry host as the domain's owner."""
    return rendezvous(domain, {*live, me}) == (me,)
