"""What owners of domains tell entry hosts that route requests."""

from __future__ import annotations

from typing import NamedTuple

from ..types import GroupRecord


class GroupState(NamedTuple):
    """The part of a :class:`~..types.GroupView` that changes often; about 8 bytes on the wire.

    States come in the order of the records of the same version, so they need no names.

    :param flags: 2 for whole, 1 for accepting
    """

    flags: int
    age_ms: int
    running: int
    waiting: int
    capacity: int


class DomainEvidence(NamedTuple):
    """What the owner of a domain found at its hosts.

    :param version: of the ledger whose groups the states are about
    :param records: the groups in the order of the states, sent when they changed and to those who
        ask; else empty
    :param usable: hosts of the domain that are present and staying
    """

    domain: str
    data_centre: str
    owner_epoch: int
    version: int
    states: tuple[GroupState, ...]
    records: tuple[GroupRecord, ...]
    usable: int


class RecordsWanted(NamedTuple):
    """Ask the owner of a domain for the records that its states are about."""

    domain: str


class LocalEvidence(NamedTuple):
    """Evidence of this entry host's own stewards, with its records.

    :param at: local monotonic time to which the ages refer
    """

    evidence: DomainEvidence
    at: float
