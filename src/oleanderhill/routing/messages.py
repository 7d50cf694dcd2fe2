"""Messages from the owners of domains to the entry hosts that route requests."""

from __future__ import annotations

from typing import NamedTuple

from ..types import GroupRecord


class GroupState(NamedTuple):
    """The frequently changing part of a :class:`~..types.GroupView`; about 8 bytes when encoded.

    States are in the order of the records of the same version, so they contain no names.

    :param flags: 2 for complete, 1 for accepting requests
    """

    flags: int
    age_ms: int
    running: int
    waiting: int
    capacity: int


class DomainEvidence(NamedTuple):
    """What the owner of a domain observed at its hosts.

    :param version: version of the ledger that lists the groups of the states
    :param records: the groups in the order of the states; sent when they have changed and to hosts
        that request them, otherwise empty
    :param usable: number of hosts of the domain that are present and not leaving
    """

    domain: str
    data_centre: str
    owner_epoch: int
    version: int
    states: tuple[GroupState, ...]
    records: tuple[GroupRecord, ...]
    usable: int


class RecordsWanted(NamedTuple):
    """Asks the owner of a domain for the records that its states refer to."""

    domain: str


class LocalEvidence(NamedTuple):
    """Evidence passed between tasks of this entry host.

    It comes from this host's own domain controllers, always with the records, or from a peer.

    :param at: local monotonic time that the ages are relative to
    """

    evidence: DomainEvidence
    at: float
