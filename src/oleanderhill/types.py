"""Shared value types: hosts, reports, groups, ledgers and wanted groups.

Everything here is an immutable ``NamedTuple``, so that decision modules can pass values around
without copying, and so that the wire codec can encode them as compact arrays.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

SECOND_MS = 1000


class HostState(StrEnum):
    """State of a target host in the platform's (lagging) list."""

    LIVE = "live"
    LEAVING = "leaving"


class EngineState(StrEnum):
    """What an engine says of itself."""

    EMPTY = "empty"
    LOADING = "loading"
    READY = "ready"


class GroupPhase(StrEnum):
    """Where a group stands in its life, as recorded in the ledger."""

    ACTIVE = "active"
    DRAINING = "draining"


class HostEntry(NamedTuple):
    """One row of the platform's host list."""

    host: str
    address: str
    domain: str
    data_centre: str
    state: HostState = HostState.LIVE


class HostReport(NamedTuple):
    """What one engine reported about itself when it was last probed.

    :param epoch: epoch of the group the engine believes it belongs to, 0 when empty
    :param running: requests being generated
    :param waiting: requests queued in the engine
    :param capacity: requests the engine batches at once
    """

    host: str
    boot_id: str
    group: str
    epoch: int
    rank: int
    state: EngineState
    leaving: bool
    running: int
    waiting: int
    capacity: int


class SeenReport(NamedTuple):
    """A report with the local time at which its probe was *sent*.

    The sending time is the safe one: the engine's state is at least as fresh as that.
    """

    report: HostReport
    sent_at: float


class Member(NamedTuple):
    """A host as a member of one group, bound to the boot in which it joined."""

    host: str
    address: str
    boot_id: str


class GroupSpec(NamedTuple):
    """What a group is to serve; two groups with equal specs are interchangeable."""

    team: str
    name: str
    model: str
    version: str
    adapters: tuple[str, ...]
    hosts: int
    weights_gb: float
    priority: int = 0


class GroupRecord(NamedTuple):
    """A group as held in a domain's ledger. Rank 0 is ``members[0]``, the head."""

    group: str
    epoch: int
    spec: GroupSpec
    members: tuple[Member, ...]
    phase: GroupPhase = GroupPhase.ACTIVE

    @property
    def head(self) -> Member:
        """Return the member that takes requests."""
        return self.members[0]


class DomainLedger(NamedTuple):
    """The whole allocation of one fabric domain: a single value under one store key.

    One compare-and-swap changes it, hence a host can never be given to two groups by a race.

    :param owner: entry host that may act for the domain
    :param owner_life: which start of that entry host, since a restarted one owns nothing
    :param owner_epoch: raised by one at each take-over; first half of the fencing number
    :param write_id: id of the take-over write, to resolve its lost answer
    :param version: raised by one with each change, to tell an older copy of the store
    """

    domain: str
    owner: str = ""
    owner_life: str = ""
    owner_epoch: int = 0
    write_id: str = ""
    groups: dict[str, GroupRecord] = {}
    last_epoch: dict[str, int] = {}
    version: int = 0


class WantedGroup(NamedTuple):
    """One replica that the settings ask for in one data centre."""

    group: str
    spec: GroupSpec


class GroupView(NamedTuple):
    """What the owner of a domain tells entry hosts about one group.

    :param whole: every member showed, within the evidence age, that it belongs to this epoch
    :param age_ms: age of the oldest member report behind ``whole`` when the view was sent
    :param accepting: whole, and no member is leaving or draining
    """

    group: str
    epoch: int
    spec: GroupSpec
    members: tuple[Member, ...]
    whole: bool
    accepting: bool
    age_ms: int
    running: int
    waiting: int
    capacity: int


class Order(NamedTuple):
    """An order to one engine.

    :param kind: ``load`` or ``unload``
    :param fence: (owner epoch, sequence); engines that check it refuse a lower one
    """

    kind: str
    host: str
    address: str
    group: str
    epoch: int
    rank: int
    members: tuple[Member, ...]
    spec: GroupSpec | None
    fence: tuple[int, int]
