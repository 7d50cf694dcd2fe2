"""Shared value types: hosts, reports, groups, ledgers and wanted groups.

The types are immutable named tuples, so that decision modules share values without copying and the
wire codec encodes them as compact arrays.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

SECOND_MS = 1000


class HostState(StrEnum):
    """State of a target host in the platform's host list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


class EngineState(StrEnum):
    """The state that an engine reports."""

    EMPTY = "empty"
    LOADING = "loading"
    READY = "ready"


class GroupPhase(StrEnum):
    """Phase of a group's lifecycle, as recorded in the ledger."""

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
    """The status that an engine returned to its last probe.

    :param epoch: epoch of the group that the engine belongs to by its own state, 0 when empty
    :param running: requests being processed
    :param waiting: requests queued in the engine
    :param capacity: maximum requests that the engine batches
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


class TimedReport(NamedTuple):
    """A report with the local time at which its probe was *sent*.

    The send time is the conservative choice: the reported state is at least as recent.
    """

    report: HostReport
    sent_at: float


class Member(NamedTuple):
    """A host as a member of one group. Valid only for the boot in which the host joined."""

    host: str
    address: str
    boot_id: str


class GroupSpec(NamedTuple):
    """What a group serves. Two groups with equal specs are interchangeable."""

    team: str
    name: str
    model: str
    version: str
    adapters: tuple[str, ...]
    hosts: int
    weights_gb: float
    priority: int = 0


class GroupRecord(NamedTuple):
    """A group as recorded in a domain's ledger. The head is ``members[0]``, of rank 0."""

    group: str
    epoch: int
    spec: GroupSpec
    members: tuple[Member, ...]
    phase: GroupPhase = GroupPhase.ACTIVE

    @property
    def head(self) -> Member:
        """Return the member that receives the requests."""
        return self.members[0]


class DomainLedger(NamedTuple):
    """The complete allocation of one fabric domain, stored as a single value under one key.

    It is changed by compare-and-swap, so a race can't assign a host to two groups.

    :param owner: entry host that may send orders for the domain
    :param owner_incarnation: incarnation of the owner, since a restarted entry host owns nothing
    :param owner_epoch: incremented at each take-over; first half of the fencing number
    :param write_id: id of the take-over write, to find out whether a write with a lost response
        was applied
    :param version: incremented with each change, to detect an outdated copy of the store
    """

    domain: str
    owner: str = ""
    owner_incarnation: str = ""
    owner_epoch: int = 0
    write_id: str = ""
    groups: dict[str, GroupRecord] = {}
    last_epoch: dict[str, int] = {}
    version: int = 0


class WantedGroup(NamedTuple):
    """A replica that the settings require in one data centre."""

    group: str
    spec: GroupSpec


class GroupView(NamedTuple):
    """The state of one group that the owner of its domain sends to entry hosts.

    :param complete: every member reported, within the maximum evidence age, that it belongs to this
        epoch
    :param accepting: the group is complete, and no member is leaving or draining
    :param age_ms: age of the oldest member report that ``complete`` relies on, at the time of
        sending
    :param running: requests being processed
    :param waiting: requests queued
    :param capacity: maximum requests that the group batches
    """

    group: str
    epoch: int
    spec: GroupSpec
    members: tuple[Member, ...]
    complete: bool
    accepting: bool
    age_ms: int
    running: int
    waiting: int
    capacity: int


class Order(NamedTuple):
    """An order sent to one engine.

    :param kind: ``load`` or ``unload``
    :param fence: (owner epoch, sequence); engines that check it reject a lower one
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
