"""Who gives orders in which fabric domain: spread over the entry hosts that are alive."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..ownership import rendezvous
from .plans import DomainPlan

PRESENCE_PREFIX = "oleanderhill/entry/"


STRONG = 0.5
"""Part of the strongest machine's strength from which on a machine counts as strong: machines of
one kind differ by less, the kinds of a fleet by more."""


class Presence(NamedTuple):
    """An entry host that is alive: its key lies in the store under a lease.

    :param life: names this start of its process
    :param address: ``ip:port`` at which it takes datagrams from its peers
    :param strength: of its machine against the others', 0 where that is not known
    """

    name: str
    life: str
    address: str
    data_centre: str
    strength: float = 0.0


def presence_key(name: str) -> str:
    """Return the key of an entry host's presence."""
    return PRESENCE_PREFIX + name


def encode_presence(presence: Presence) -> bytes:
    """Return a presence as bytes."""
    return msgspec.json.encode(presence)


def decode_presence(data: bytes) -> Presence:
    """Return a presence from bytes.

    :raises msgspec.DecodeError: if they are malformed
    """
    return msgspec.json.decode(data, type=Presence)


def ranked(key: str, presences: Iterable[Presence], count: int = 1) -> tuple[str, ...]:
    """Return the names of the entry hosts that take a duty, best first: strong ones before others.

    What one host does for many takes a strong machine: after a power failure all neighbours of a
    reader ask it for the whole content at once, and refuse their callers until they have it.
    """
    found = list(presences)
    enough = STRONG * max((p.strength for p in found), default=0.0)
    strong = [p.name for p in found if p.strength >= enough]
    weak = [p.name for p in found if p.strength < enough]
    return (*rendezvous(key, strong, count), *rendezvous(key, weak, count))[:count]


def preferred_owner(domain: str, alive: Mapping[str, Presence]) -> str:
    """Return the entry host that takes a domain without an owner."""
    return ranked(domain, alive.values())[0]


def owns(plan: DomainPlan, me: Presence) -> bool:
    """Tell whether this life of this entry host may give orders in a domain."""
    return (plan.owner, plan.owner_life) == (me.name, me.life)


def should_take(plan: DomainPlan, me: Presence, alive: Mapping[str, Presence]) -> bool:
    """Tell whether this entry host is to take a domain: its owner is gone, and it is next."""
    owner = alive.get(plan.owner)
    if owner is not None and owner.life == plan.owner_life:
        return False
    return me.name in alive and preferred_owner(plan.domain, alive) == me.name


def taken(plan: DomainPlan, me: Presence) -> DomainPlan:
    """Return the plan as its new owner writes it; the higher term shuts out the last owner."""
    return plan._replace(owner=me.name, owner_life=me.life, term=plan.term + 1)
