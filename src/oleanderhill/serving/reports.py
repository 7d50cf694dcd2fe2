"""Load reports among entry hosts: their content, aggregation and recipients.

A small number of entry hosts forms a full mesh, in which each host sends its report to all others.
The traffic of a mesh grows with the square of the number of hosts: 90 hosts would send 160,000
datagrams per second. Above :data:`MAX_MESH_HOSTS`, one host per data centre, the aggregator, sums
the reports of its data centre, exchanges sums with the aggregators of the other data centres and
sends the total to its local hosts. Each of the other hosts then sends and receives one report per
interval, whatever the number of hosts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from ..groups.ownership import Presence, rank_by_strength
from .retries import RetryCount, subtract_counts, sum_counts

MAX_MESH_HOSTS = 12
"""Largest number of entry hosts that form a full mesh, in which reports are one hop old."""

MAX_ROWS_BYTES = 1100
"""Maximum bytes of the rows in one datagram. With the sender's name, the rejected requests by model
and the retries of some services, a datagram stays below 1,400 bytes and fits into one frame."""

ROW_OVERHEAD_BYTES = 14
"""Bytes of a row without the target's name, which occurs twice: with a count and with an age."""


class Scope(StrEnum):
    """The entry hosts whose load a report covers."""

    OWN = "own"
    DATA_CENTRE = "data centre"
    TOTAL = "total"


class LoadReport(NamedTuple):
    """The load that one or several entry hosts put on targets, and the state of these targets.

    :param sender: name of the entry host that sends the report
    :param part: number of the datagram in a report that takes several; a newer datagram replaces
        the earlier one with the same number
    :param counts: requests in flight by target
    :param suspects: targets that were observed to stall
    :param progress: seconds since a target last sent data, by target
    :param rejections: requests rejected in the last second because no target was available, by
        model
    :param retries: requests and retries in the sliding window, by service, and what hosts spent
        beyond their shares under the service's name with a suffix
    :param backing_off: target incarnations that asked a sender to back off
    """

    sender: str
    scope: Scope
    data_centre: str
    part: int
    counts: dict[str, int]
    suspects: list[str]
    progress: dict[str, float]
    rejections: dict[str, int]
    retries: dict[str, RetryCount] = {}
    backing_off: list[str] = []


class ReportRecipients(NamedTuple):
    """The entry hosts to which a host sends its reports.

    :param own: hosts that receive the host's own report
    :param aggregators: aggregators of other data centres, which receive the sum of the host's one
    :param local_hosts: hosts of the same data centre, which receive the total
    """

    own: tuple[str, ...] = ()
    aggregators: tuple[str, ...] = ()
    local_hosts: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """All recipients of any report."""
        return (*self.own, *self.aggregators, *self.local_hosts)


def aggregator_ranking(data_centre: str, alive: Mapping[str, Presence]) -> tuple[str, ...]:
    """Return the aggregator of a data centre and its backup."""
    local = [p for p in alive.values() if p.data_centre == data_centre]
    return rank_by_strength(f"hub/{data_centre}", local, 2)


def aggregator_rankings(alive: Mapping[str, Presence]) -> dict[str, tuple[str, ...]]:
    """Return the aggregator and its backup for each data centre."""
    return {
        d: aggregator_ranking(d, alive) for d in sorted({p.data_centre for p in alive.values()})
    }


def report_recipients(
    me: Presence,
    alive: Mapping[str, Presence],
    rankings: Mapping[str, tuple[str, ...]],
    reporters: Iterable[str],
    aggregator_silent: bool,
    remote_senders: Iterable[str] = (),
) -> ReportRecipients:
    """Return the current recipients of a host's reports.

    :param rankings: result of :func:`aggregator_rankings` for the live entry hosts
    :param reporters: hosts of this data centre that recently sent their own reports to this host
    :param aggregator_silent: whether this data centre's aggregator timed out; the backup then
        receives the reports too
    :param remote_senders: hosts that recently sent this host the sum of another data centre;
        includes a backup that has replaced a failed aggregator
    """
    if len(alive) <= MAX_MESH_HOSTS:
        return ReportRecipients(own=tuple(n for n in alive if n != me.name))
    ranking = rankings.get(me.data_centre, ())
    local_hosts = tuple(n for n in reporters if n in alive)
    if me.name in ranking[:1] or local_hosts:
        remote = [h for d, r in rankings.items() if d != me.data_centre for h in r[:1]]
        aggregators = dict.fromkeys([*remote, *(h for h in remote_senders if h in alive)])
        return ReportRecipients(aggregators=tuple(aggregators), local_hosts=local_hosts)
    recipients = ranking if aggregator_silent else ranking[:1]
    return ReportRecipients(own=tuple(n for n in recipients if n != me.name))


def aggregate(
    sender: str, scope: Scope, data_centre: str, reports: Iterable[LoadReport]
) -> LoadReport:
    """Aggregate reports: sum the counts, keep the latest progress and all suspects."""
    counts: dict[str, int] = {}
    suspects: set[str] = set()
    progress: dict[str, float] = {}
    rejections: dict[str, int] = {}
    retries: dict[str, list[RetryCount]] = {}
    backing_off: set[str] = set()
    for report in reports:
        for target, count in report.counts.items():
            counts[target] = counts.get(target, 0) + count
        for target, age in report.progress.items():
            progress[target] = min(age, progress.get(target, age))
        for model, count in report.rejections.items():
            rejections[model] = rejections.get(model, 0) + count
        for service, retry_count in report.retries.items():
            retries.setdefault(service, []).append(retry_count)
        suspects.update(report.suspects)
        backing_off.update(report.backing_off)
    retries_by_service = {s: sum_counts(c) for s, c in retries.items()}
    return LoadReport(
        sender,
        scope,
        data_centre,
        0,
        counts,
        sorted(suspects),
        progress,
        rejections,
        retries_by_service,
        sorted(backing_off),
    )


def subtract(total: LoadReport, own: LoadReport) -> LoadReport:
    """Return a total minus the contribution that one host last reported.

    Progress that is not later than the host's own may be its own.
    """
    counts = {t: max(0, n - own.counts.get(t, 0)) for t, n in total.counts.items()}
    rejections = {m: max(0, n - own.rejections.get(m, 0)) for m, n in total.rejections.items()}
    retries = {
        s: subtract_counts(c, own.retries.get(s, RetryCount())) for s, c in total.retries.items()
    }
    progress = {t: age for t, age in total.progress.items() if age < own.progress.get(t, math.inf)}
    return total._replace(counts=counts, progress=progress, rejections=rejections, retries=retries)


def split_report(report: LoadReport) -> list[LoadReport]:
    """Split a report into parts that each fit into one datagram."""
    suspects, backing_off = set(report.suspects), set(report.backing_off)
    return [
        report._replace(
            part=number,
            counts={t: report.counts[t] for t in chunk if t in report.counts},
            suspects=[t for t in chunk if t in suspects],
            progress={t: report.progress[t] for t in chunk if t in report.progress},
            rejections={} if number else report.rejections,
            retries={} if number else report.retries,
            backing_off=[t for t in chunk if t in backing_off],
        )
        for number, chunk in enumerate(_chunks(report))
    ]


def _chunks(report: LoadReport) -> list[list[str]]:
    """Return the targets of a report, grouped by datagram."""
    chunks: list[list[str]] = [[]]
    size = 0
    targets = {*report.counts, *report.progress, *report.suspects, *report.backing_off}
    for target in sorted(targets):
        row_bytes = 2 * len(target) + ROW_OVERHEAD_BYTES
        if size + row_bytes > MAX_ROWS_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(target)
        size += row_bytes
    return chunks


def add_age(report: LoadReport, seconds: float) -> LoadReport:
    """Return a report with the age of its progress increased by some seconds."""
    return report._replace(
        progress={t: round(age + seconds, 3) for t, age in report.progress.items()}
    )
