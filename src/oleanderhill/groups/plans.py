"""The plan of one fabric domain: which groups there are and who may order hosts about.

The plan is one value under one key of the store and changes by compare-and-swap only, so two
owners can't give a host to two groups. A group stands in it before the first host is ordered to
join, and leaves it only once its head is known not to serve.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .inventory import Instance

PLAN_PREFIX = "oleanderhill/plan/"


TERMS_LEFT_OUT = 100
"""Terms that may have been given out between a backup of the store and its return."""

EPOCHS_LEFT_OUT = 1_000
"""Epochs that may have been given out between a backup of the store and its restore: a domain forms
a few groups a second at most, and a backup is some seconds old."""


PLANS_OUTLAST = 60.0
"""Seconds for which a plan is kept that a restored store does not have; its owner, or who takes the
domain, writes it again within two."""


class PlannedGroup(NamedTuple):
    """A group; ``members[0]`` is its head. Members are lives, so a restarted host is another.

    :param epoch: of the domain's plan; rises with each group, so that it also names the group
    """

    name: str
    epoch: int
    model: str
    members: tuple[Instance, ...]

    @property
    def head(self) -> Instance:
        """Return the instance that takes requests."""
        return self.members[0]


class DomainPlan(NamedTuple):
    """The plan of a domain.

    :param owner: entry host that may give orders; ``owner_life`` is the start of it that may
    :param term: rises with each take-over; the fencing number of the owner's orders
    :param last_epoch: epoch of the latest group
    :param generation: of the store, in which it was last written
    :param version: counts the writes of its owners
    :param write_id: of the latest write, by which its writer knows it again when its answer is lost
    """

    domain: str
    owner: str = ""
    owner_life: str = ""
    term: int = 0
    last_epoch: int = 0
    groups: tuple[PlannedGroup, ...] = ()
    write_id: str = ""
    generation: int = 0
    version: int = 0

    def with_group(self, model: str, members: tuple[Instance, ...]) -> DomainPlan:
        """Return the plan with one more group."""
        epoch = self.last_epoch + 1
        group = PlannedGroup(f"{self.domain}.{epoch}", epoch, model, members)
        return self._replace(last_epoch=epoch, groups=(*self.groups, group))

    def without_group(self, name: str) -> DomainPlan:
        """Return the plan without a group."""
        return self._replace(groups=tuple(g for g in self.groups if g.name != name))


def outlasts(held: DomainPlan, read: DomainPlan) -> bool:
    """Tell whether a plan that is held is newer than one of a restored store.

    One that was written since the store came back holds, whatever it was made from: its owner has
    given orders by it.
    """
    return (held.generation, held.term, held.version) > (read.generation, read.term, read.version)


def renewed(plan: DomainPlan, generation: int) -> DomainPlan:
    """Return a plan as it is written in a new generation of the store.

    Terms and epochs that were given out after the backup are known to engine hosts, and to nobody
    else perhaps. Given out again they would stand for other owners and groups; some are left out.
    """
    if not plan.last_epoch:
        return plan._replace(generation=generation)
    return plan._replace(
        generation=generation,
        term=plan.term + TERMS_LEFT_OUT,
        last_epoch=plan.last_epoch + EPOCHS_LEFT_OUT,
    )


def plan_key(domain: str) -> str:
    """Return the key under which a domain's plan lies in the store."""
    return PLAN_PREFIX + domain


def encode_plan(plan: DomainPlan) -> bytes:
    """Return a plan as bytes."""
    return msgspec.json.encode(plan)


def decode_plan(data: bytes) -> DomainPlan:
    """Return a plan from bytes.

    :raises msgspec.DecodeError: if they are malformed
    """
    return msgspec.json.decode(data, type=DomainPlan)
