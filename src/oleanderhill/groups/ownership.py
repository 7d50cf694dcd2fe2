"""Assignment of fabric domains to owners among the entry hosts that are alive."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..ownership import rendezvous
from .plans import DomainPlan

PRESENCE_PREFIX = "oleanderhill/entry/"


STRONG_FRACTION = 0.5
"""Fraction of the highest strength from which a machine counts as strong. Machines of the same type
differ by less than this, machine types in a fleet by more."""


class Presence(NamedTuple):
    """An entry host that is alive: its key is held in the store by a lease.

    :param life: identifies the incarnation of its process
    :param address: ``ip:port`` at which it receives datagrams from its peers
    :param strength: of its machine relative to the others, 0 if unknown
    """

    name: str
    life: str
    address: str
    data_centre: str
    strength: float = 0.0


def presence_key(name: str) -> str:
    """Return the store key of an entry host's presence."""
    return PRESENCE_PREFIX + name


def encode_presence(presence: Presence) -> bytes:
    """Encode a presence."""
    return msgspec.json.encode(presence)


def decode_presence(data: bytes) -> Presence:
    """Decode a presence.

    :raises msgspec.DecodeError: if the data is malformed
    """
    return msgspec.json.decode(data, type=Presence)


def rank_by_strength(key: str, presences: Iterable[Presence], count: int = 1) -> tuple[str, ...]:
    """Return the entry hosts to use for a role, in order of preference, strong machines first.

    A role that serves many hosts needs a strong machine: after a power failure all entry hosts
    that poll a reader request the full content from it concurrently, and reject their callers
    until they receive it.

    :param key: name of the role, hashed to rank machines of similar strength
    :param count: maximum number of names to return
    """
    found = list(presences)
    threshold = STRONG_FRACTION * max((p.strength for p in found), default=0.0)
    strong = [p.name for p in found if p.strength >= threshold]
    weak = [p.name for p in found if p.strength < threshold]
    return (*rendezvous(key, strong, count), *rendezvous(key, weak, count))[:count]


def preferred_owner(domain: str, alive: Mapping[str, Presence]) -> str:
    """Return the entry host that should take over a domain without an owner."""
    return rank_by_strength(domain, alive.values())[0]


def owns(plan: DomainPlan, me: Presence) -> bool:
    """Return whether this incarnation of the entry host may give orders in a domain."""
    return (plan.owner, plan.owner_incarnation) == (me.name, me.life)


def should_take(plan: DomainPlan, me: Presence, alive: Mapping[str, Presence]) -> bool:
    """Return whether this host should take over a domain, because its owner is gone."""
    owner = alive.get(plan.owner)
    if owner is not None and owner.life == plan.owner_incarnation:
        return False
    return me.name in alive and preferred_owner(plan.domain, alive) == me.name


def taken_over(plan: DomainPlan, me: Presence) -> DomainPlan:
    """Return the plan under a new owner; the higher term fences off the previous owner."""
    return plan._replace(owner=me.name, owner_incarnation=me.life, term=plan.term + 1)
