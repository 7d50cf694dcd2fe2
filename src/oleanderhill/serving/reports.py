"""What entry hosts tell each other of their load, how reports add up, and who tells whom.

A few entry hosts each tell all others. Among many that costs the square of their number: at ninety
it would be 160,000 datagrams a second. There, one host in each data centre adds up
the reports of its neighbours, swaps sums with those of the other data centres, and tells its
neighbours the total: each host sends one report, and gets one, whatever their number.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from ..groups.ownership import Presence, ranked
from .retries import RetryCount, counted

MESH_MOST = 12
"""Entry hosts up to which each tells all others; news is one hop old then."""

PART_BYTES = 1100
"""Bytes of the rows of one datagram: with the sender's name, what was turned away by model and the
retries of some services, a datagram stays under 1,400 and fits into one frame."""

ROW_BYTES = 14
"""Bytes of a row beside its target's name, which stands in it twice: a count and an age."""


class Scope(StrEnum):
    """Whose load a report is about."""

    OWN = "own"
    DATA_CENTRE = "data centre"
    TOTAL = "total"


class LoadReport(NamedTuple):
    """What one entry host, or several, have with targets.

    :param sender: name of the entry host that sends it
    :param part: of a report that takes several datagrams; each part replaces the one before it
    :param counts: requests in flight by target
    :param suspects: targets that were seen to stall
    :param progress: seconds since a target last sent something, by target
    :param turned_away: requests that found no target in the last second, by model
    :param retries: requests and retries of the running window, by service
    :param backing_off: lives that asked a sender to leave them alone
    """

    sender: str
    scope: Scope
    data_centre: str
    part: int
    counts: dict[str, int]
    suspects: list[str]
    progress: dict[str, float]
    turned_away: dict[str, int]
    retries: dict[str, RetryCount] = {}
    backing_off: list[str] = []


class Audience(NamedTuple):
    """To whom an entry host sends what.

    :param own: get its own report
    :param hubs: get the sum of its data centre
    :param neighbours: get the total
    """

    own: tuple[str, ...] = ()
    hubs: tuple[str, ...] = ()
    neighbours: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """Return all who are sent anything."""
        return (*self.own, *self.hubs, *self.neighbours)


def hub_ranking(data_centre: str, alive: Mapping[str, Presence]) -> tuple[str, ...]:
    """Return the first two entry hosts that add up a data centre's reports, best first."""
    near = [p for p in alive.values() if p.data_centre == data_centre]
    return ranked(f"hub/{data_centre}", near, 2)


def hub_rankings(alive: Mapping[str, Presence]) -> dict[str, tuple[str, ...]]:
    """Return the first two entry hosts that add up each data centre's reports, best first."""
    return {d: hub_ranking(d, alive) for d in sorted({p.data_centre for p in alive.values()})}


def audience(
    me: Presence,
    alive: Mapping[str, Presence],
    rankings: Mapping[str, tuple[str, ...]],
    reporters: Iterable[str],
    hub_silent: bool,
    hubs_heard: Iterable[str] = (),
) -> Audience:
    """Return to whom a host sends what now.

    :param rankings: :func:`hub_rankings` of those alive
    :param reporters: hosts of this data centre that sent their own reports here lately
    :param hub_silent: nothing came from this data centre's hub lately; the next one is told too
    :param hubs_heard: hosts that sent the sum of another data centre here lately, which the next
        one does where the first is gone
    """
    if len(alive) <= MESH_MOST:
        return Audience(own=tuple(n for n in alive if n != me.name))
    near_hubs = rankings.get(me.data_centre, ())
    neighbours = tuple(n for n in reporters if n in alive)
    if me.name in near_hubs[:1] or neighbours:
        first = [h for d, r in rankings.items() if d != me.data_centre for h in r[:1]]
        hubs = dict.fromkeys([*first, *(h for h in hubs_heard if h in alive)])
        return Audience(hubs=tuple(hubs), neighbours=neighbours)
    asked = near_hubs if hub_silent else near_hubs[:1]
    return Audience(own=tuple(n for n in asked if n != me.name))


def add_up(
    sender: str, scope: Scope, data_centre: str, reports: Iterable[LoadReport]
) -> LoadReport:
    """Return the sum of reports: counts are added, of progress the latest holds."""
    counts: dict[str, int] = {}
    suspects: set[str] = set()
    progress: dict[str, float] = {}
    turned_away: dict[str, int] = {}
    retries: dict[str, list[RetryCount]] = {}
    backing_off: set[str] = set()
    for report in reports:
        for target, count in report.counts.items():
            counts[target] = counts.get(target, 0) + count
        for target, age in report.progress.items():
            progress[target] = min(age, progress.get(target, age))
        for model, count in report.turned_away.items():
            turned_away[model] = turned_away.get(model, 0) + count
        for service, spent in report.retries.items():
            retries.setdefault(service, []).append(spent)
        suspects.update(report.suspects)
        backing_off.update(report.backing_off)
    spent_by_service = {s: counted(c) for s, c in retries.items()}
    return LoadReport(
        sender,
        scope,
        data_centre,
        0,
        counts,
        sorted(suspects),
        progress,
        turned_away,
        spent_by_service,
        sorted(backing_off),
    )


def without(total: LoadReport, own: LoadReport) -> LoadReport:
    """Return a total less what one host last reported of itself."""
    counts = {t: max(0, n - own.counts.get(t, 0)) for t, n in total.counts.items()}
    turned_away = {m: max(0, n - own.turned_away.get(m, 0)) for m, n in total.turned_away.items()}
    retries = {s: _less(c, own.retries.get(s, RetryCount())) for s, c in total.retries.items()}
    return total._replace(counts=counts, turned_away=turned_away, retries=retries)


def _less(count: RetryCount, own: RetryCount) -> RetryCount:
    return RetryCount(*(max(0, a - b) for a, b in zip(count, own, strict=True)))


def in_parts(report: LoadReport) -> list[LoadReport]:
    """Return a report as parts that each fit into one datagram."""
    suspects, backing_off = set(report.suspects), set(report.backing_off)
    return [
        report._replace(
            part=number,
            counts={t: report.counts[t] for t in chunk if t in report.counts},
            suspects=[t for t in chunk if t in suspects],
            progress={t: report.progress[t] for t in chunk if t in report.progress},
            turned_away={} if number else report.turned_away,
            retries={} if number else report.retries,
            backing_off=[t for t in chunk if t in backing_off],
        )
        for number, chunk in enumerate(_chunks(report))
    ]


def _chunks(report: LoadReport) -> list[list[str]]:
    """Return the targets of a report by the datagram that they go into."""
    chunks: list[list[str]] = [[]]
    size = 0
    named = {*report.counts, *report.progress, *report.suspects, *report.backing_off}
    for target in sorted(named):
        row = 2 * len(target) + ROW_BYTES
        if size + row > PART_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(target)
        size += row
    return chunks


def aged(report: LoadReport, seconds: float) -> LoadReport:
    """Return a report whose news are older by some seconds."""
    return report._replace(
        progress={t: round(age + seconds, 3) for t, age in report.progress.items()}
    )
