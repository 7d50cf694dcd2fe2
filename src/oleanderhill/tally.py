"""The two measures of the operators: group downtime and stranded hosts, summed over time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .types import DomainLedger, GroupPhase, GroupView, WantedGroup

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
    ledger: DomainLedger, wanted: Iterable[WantedGroup], views: Iterable[GroupView]
) -> Gauges:
    """Return the groups down and hosts stranded in one domain now."""
    whole = {v.group for v in views if v.whole}
    down = sum(1 for w in wanted if w.group not in whole)
    held = sum(
        len(r.members)
        for r in ledger.groups.values()
        if r.group not in whole or r.phase != GroupPhase.ACTIVE
    )
    return Gauges(down, held + len(ledger.retired))


def added(sums: Sums, gauges: Gauges, seconds: float) -> Sums:
    """Return the sums after a step of time at these gauges."""
    step = min(max(0.0, seconds), LONGEST_STEP)
    return Sums(sums.downtime + gauges.down * step, sums.stranded + gauges.stranded * step)
