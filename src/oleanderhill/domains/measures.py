"""Group downtime and stranded hosts, as current values and as totals over time."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from ..types import DomainLedger, EngineState, GroupView, TimedReport, WantedGroup
from .ledger import group_by_host

MAX_STEP_SECONDS = 5.0
"""Longest step in seconds that is counted in full; longer ones mean the process was paused."""


class Sums(NamedTuple):
    """Totals over the domains that this entry host owns, accumulated while it owns them.

    :param downtime: group-seconds in which a wanted group did not serve
    :param stranded: host-seconds in which a host was stranded (see :func:`stranded_hosts`)
    """

    downtime: float = 0.0
    stranded: float = 0.0


class Gauges(NamedTuple):
    """The current number of groups down and of hosts stranded in one domain."""

    down: int
    stranded: int


def measure(
    ledger: DomainLedger,
    wanted: Iterable[WantedGroup],
    views: Collection[GroupView],
    report_by_host: Mapping[str, TimedReport],
) -> Gauges:
    """Return the groups down and hosts stranded in one domain now."""
    serving = {v.group for v in views if v.complete}
    down = sum(1 for w in wanted if w.group not in serving)
    return Gauges(down, len(stranded_hosts(ledger, views, report_by_host)))


def stranded_hosts(
    ledger: DomainLedger, views: Iterable[GroupView], report_by_host: Mapping[str, TimedReport]
) -> set[str]:
    """Return the hosts of groups that don't serve, and unassigned hosts that are not empty."""
    serving = {v.group for v in views if v.complete}
    assigned = group_by_host(ledger)
    idle = {h for h, g in assigned.items() if g not in serving}
    not_emptied = {
        h
        for h, s in report_by_host.items()
        if h not in assigned and s.report.state != EngineState.EMPTY
    }
    return idle | not_emptied


def accumulate(sums: Sums, gauges: Gauges, seconds: float) -> Sums:
    """Return the totals after a step of time at these values."""
    step = min(max(0.0, seconds), MAX_STEP_SECONDS)
    return Sums(sums.downtime + gauges.down * step, sums.stranded + gauges.stranded * step)
