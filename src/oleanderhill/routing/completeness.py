"""Determines whether a group is complete: all members are present and have not rebooted.

An answered probe is not enough. After a failure, a host may answer with an empty engine or with its
old role. A group is complete only if every member is ready and reports the group, its epoch, its
rank and the boot id recorded in the ledger, in a report younger than :data:`EVIDENCE_MAX_AGE`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from ..types import EngineState, GroupPhase, GroupRecord, GroupView, Member, TimedReport

EVIDENCE_MAX_AGE = 2.0
"""Seconds for which a report is valid. A group gets no new requests later than this after one of
its members stops answering."""


class MemberFault(StrEnum):
    """Why a member of a group is not healthy."""

    SILENT = "silent"
    REBOOTED = "rebooted"
    OTHER_GROUP = "other group"
    LOADING = "loading"


class Verdict(NamedTuple):
    """Result of evaluating one group.

    :param whole: whether the group is complete
    :param faults: fault by host, empty if the group is complete
    :param oldest: local time for which the verdict holds: when the oldest probe used was sent, or
        now if the group is incomplete
    :param leaving: whether a member reports that it is leaving
    """

    complete: bool
    faults: dict[str, MemberFault]
    oldest: float
    leaving: bool


def member_fault(
    record: GroupRecord, rank: int, seen: TimedReport | None, now: float, max_age: float
) -> MemberFault | None:
    """Return the fault of the member of this rank, ``None`` if it is healthy."""
    member = record.members[rank]
    if seen is None or now - seen.sent_at > max_age:
        return MemberFault.SILENT
    report = seen.report
    # A host that returns after a reboot still reports its old role, but has no weights. Only the
    # boot id shows it; without this check requests would go to a replica that cannot answer.
    if report.boot_id != member.boot_id:
        return MemberFault.REBOOTED
    if report.group == record.group and report.epoch == record.epoch and report.rank == rank:
        return None if report.state == EngineState.READY else MemberFault.LOADING
    if report.state != EngineState.EMPTY and report.group not in ("", record.group):
        return MemberFault.OTHER_GROUP
    return MemberFault.LOADING


def evaluate_group(
    record: GroupRecord,
    report_by_host: Mapping[str, TimedReport],
    now: float,
    max_age: float = EVIDENCE_MAX_AGE,
) -> Verdict:
    """Evaluate one group by the reports of its members.

    :param report_by_host: the latest report of each host
    :param now: local monotonic time, in seconds
    """
    faults: dict[str, MemberFault] = {}
    oldest = now
    leaving = False
    for rank, member in enumerate(record.members):
        seen = report_by_host.get(member.host)
        fault = member_fault(record, rank, seen, now, max_age)
        if fault is not None:
            faults[member.host] = fault
        if seen is not None:
            oldest = min(oldest, seen.sent_at)
            leaving = leaving or seen.report.leaving
    # A verdict of "incomplete" is dated now, however old the reports are. With the time of the
    # oldest report it would be ignored in favour of the earlier verdict of "complete".
    return Verdict(not faults, faults, now if faults else oldest, leaving)


def view_of(
    record: GroupRecord,
    report_by_host: Mapping[str, TimedReport],
    leaving_hosts: frozenset[str],
    now: float,
) -> GroupView:
    """Return the view of one group that is sent to entry hosts.

    :param leaving_hosts: hosts that are leaving according to the platform's list or a report
    """
    verdict = evaluate_group(record, report_by_host, now)
    leaving = verdict.leaving or any(m.host in leaving_hosts for m in record.members)
    draining = record.phase == GroupPhase.DRAINING
    head = report_by_host.get(record.head.host)
    running, waiting, capacity = _load(head)
    return GroupView(
        group=record.group,
        epoch=record.epoch,
        spec=record.spec,
        members=record.members,
        complete=verdict.complete,
        accepting=verdict.complete and not leaving and not draining,
        age_ms=int((now - verdict.oldest) * 1000),
        running=running,
        waiting=waiting,
        capacity=capacity,
    )


def _load(head: TimedReport | None) -> tuple[int, int, int]:
    if head is None:
        return 0, 0, 1
    return head.report.running, head.report.waiting, max(1, head.report.capacity)


def head_of(view: GroupView) -> Member:
    """Return the member of a view that receives requests."""
    return view.members[0]
