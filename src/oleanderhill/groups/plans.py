"""The plan of a fabric domain: its groups and its owner.

A plan is one value under one key of the store and changes only by compare-and-swap, so two owners
cannot assign a host to two groups. A group is added to the plan before the first host is ordered to
join. It is removed only after all members that can be contacted have left it, all members have
restarted, or none has been listed for some time (see :mod:`.forming`).
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .inventory import Instance

PLAN_PREFIX = "oleanderhill/plan/"


SKIPPED_TERMS = 100
"""Terms to skip after a restore: upper bound on those assigned since the backup."""

SKIPPED_EPOCHS = 1_000
"""Epochs to skip after a restore: upper bound on those assigned since the backup. A domain forms a
few groups per second at most, and a backup is some seconds old."""


PLAN_RETENTION_SECONDS = 60.0
"""Seconds for which a plan that is missing from a restored store is retained. Its owner, or the
host that takes the domain over, writes it again within two seconds."""


class PlannedGroup(NamedTuple):
    """A group; ``members[0]`` is its head.

    Members are incarnations of hosts, so a restarted host is a different member.

    :param epoch: increases with each group of the domain, so it also identifies the group
    """

    name: str
    epoch: int
    model: str
    members: tuple[Instance, ...]

    @property
    def head(self) -> Instance:
        """Return the member that accepts the group's requests."""
        return self.members[0]


class DomainPlan(NamedTuple):
    """The plan of a domain.

    :param owner: entry host that may give orders; ``owner_incarnation`` is its incarnation
    :param term: increases with each take-over; fencing token of the owner's orders
    :param last_epoch: epoch of the newest group
    :param generation: generation of the store in which the plan was last written
    :param version: number of writes by its owners
    :param write_id: identifies the latest write, so that its writer recognises it if the answer to
        the write is lost
    """

    domain: str
    owner: str = ""
    owner_incarnation: str = ""
    term: int = 0
    last_epoch: int = 0
    groups: tuple[PlannedGroup, ...] = ()
    write_id: str = ""
    generation: int = 0
    version: int = 0

    def with_group(self, model: str, members: tuple[Instance, ...]) -> DomainPlan:
        """Return the plan with a new group added."""
        epoch = self.last_epoch + 1
        group = PlannedGroup(f"{self.domain}.{epoch}", epoch, model, members)
        return self._replace(last_epoch=epoch, groups=(*self.groups, group))

    def without_group(self, name: str) -> DomainPlan:
        """Return the plan with a group removed."""
        return self._replace(groups=tuple(g for g in self.groups if g.name != name))


def supersedes(held: DomainPlan, read: DomainPlan) -> bool:
    """Return whether the plan held in memory is newer than the one read from a restored store.

    A plan written since the restore takes precedence, whatever it was based on, because its owner
    has already given orders under it.
    """
    return (held.generation, held.term, held.version) > (read.generation, read.term, read.version)


def in_new_generation(plan: DomainPlan, generation: int) -> DomainPlan:
    """Return a plan as it is to be written in a new generation of the store.

    Engine hosts may know terms and epochs that were assigned after the backup, while the restored
    store does not. Reused, they would identify other owners and groups, so a range of them is
    skipped.
    """
    if not plan.last_epoch:
        return plan._replace(generation=generation)
    return plan._replace(
        generation=generation,
        term=plan.term + SKIPPED_TERMS,
        last_epoch=plan.last_epoch + SKIPPED_EPOCHS,
    )


def plan_key(domain: str) -> str:
    """Return the store key of a domain's plan."""
    return PLAN_PREFIX + domain


def encode_plan(plan: DomainPlan) -> bytes:
    """Encode a plan."""
    return msgspec.json.encode(plan)


def decode_plan(data: bytes) -> DomainPlan:
    """Decode a plan.

    :raises msgspec.DecodeError: if the data is malformed
    """
    return msgspec.json.decode(data, type=DomainPlan)
