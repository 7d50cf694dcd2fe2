"""The two measures of the operators: group downtime and stranded hosts, summed over time."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from ..types import DomainLedger, EngineState, GroupView, SeenReport, WantedGroup
from .ledger import holder_by_host

LONGEST_STEP = 5.0
"""Seconds of a step that count; a longer one means this process was paused and saw nothing."""


class Sums(NamedTuple):
    """Both measures since this entry host took the domain.

    :param downtime: group-seconds in which a wanted group did not serve
    :param stranded: host-seconds in which a host was held by a group that did not serve
    """

    downtime: float = 0.0
    stranded: float = 0.0


class Gauges(NamedTuple):
    """Both measures at one moment: groups down, hosts stranded."""

    down: int
    stranded: int


def measure(
    ledger: DomainLedger,
    wanted: Iterable[WantedGroup],
    views: Collection[GroupView],
    seen_by_host: Mapping[str, SeenReport],
) -> Gauges:
    """Return the groups down and hosts stranded in one domain now."""
    whole = {v.group for v in views if v.whole}
    down = sum(1 for w in wanted if w.group not in whole)
    return Gauges(down, len(stranded_hosts(ledger, views, seen_by_host)))


def stranded_hosts(
    ledger: DomainLedger, views: Iterable[GroupView], seen_by_host: Mapping[str, SeenReport]
) -> set[str]:
    """Return the hosts held by groups that don't serve, and those that hold what no group has."""
    serving = {v.group for v in views if v.whole}
    held = holder_by_host(ledger)
    idle = {h for h, g in held.items() if g not in serving}
    left_over = {
        h for h, s in seen_by_host.items() if h not in held and s.report.state != EngineState.EMPTY
    }
    return idle | left_over


def added(sums: Sums, gauges: Gauges, seconds: float) -> Sums:
    """Return the sums after a step of time at these gauges."""
    step = min(max(0.0, seconds), LONGEST_STEP)
    return Sums(sums.downtime + gauges.down * step, sums.stranded + gauges.stranded * step)
