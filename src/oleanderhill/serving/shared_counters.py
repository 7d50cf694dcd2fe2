"""Counters that entry hosts add up, exchanged beside the load reports.

Decisions about load need sums over all entry hosts: how many requests of a priority arrived, how
many were rejected, how long first events took. Each host reports its own values of the last
seconds. The reports take the way of the load reports (:mod:`.reports`) and are summed on it, so
that a host receives one report, whatever the number of hosts. A report replaces the previous one of
its sender, so a lost one is superseded within an interval. Hosts that don't know this message
ignore it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Annotated, NamedTuple, TypeVar

import msgspec

from .reports import MAX_ROWS_BYTES, ReportRecipients, Scope

COUNTER_INTERVAL = 0.2
"""Seconds between two reports: a fraction of the seconds that the values cover."""

COUNTER_MAX_AGE = 0.9
"""Seconds for which a report is used, so that several in a row may be lost."""

ROW_OVERHEAD_BYTES = 12
"""Bytes of a row without its subject: the value and the length of the subject."""

MAX_SUBJECTS = 2_000
"""Maximum number of subjects of a family that are stored, however many peers send."""

_MAX_VALUE = 1e9

Value = Annotated[float, msgspec.Meta(ge=0, le=_MAX_VALUE)]
ValuesByFamily = Mapping[str, Mapping[str, float]]
ReadValues = Callable[[float], Mapping[str, float]]
"""Returns the own values by subject at a time."""


class CounterReport(msgspec.Struct, tag="counters"):
    """Values of one entry host, or their sum over several.

    :param part: number of the datagram in a report that takes several
    :param hosts: entry hosts whose values are included
    :param values: by family, by subject
    """

    sender: str
    scope: Scope
    data_centre: str
    part: int
    hosts: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    values: dict[str, dict[str, Value]]


_Key = TypeVar("_Key")


class _Received(NamedTuple):
    at: float
    report: CounterReport


class SharedCounters:
    """The counters of this entry host, and their sums over all entry hosts.

    A host that receives no reports of others gets its own values as the sum.

    :param me: name of this entry host
    """

    def __init__(self, me: str = "", data_centre: str = "") -> None:
        self._me = me
        self._data_centre = data_centre
        self._read_by_family: dict[str, ReadValues] = {}
        self._local: dict[tuple[str, int], _Received] = {}
        self._remote: dict[tuple[str, int], _Received] = {}
        self._totals: dict[int, _Received] = {}
        self._sent_at = float("-inf")
        # Subtracted from received totals, which contain this host's previous report.
        self._own_in_total: ValuesByFamily = {}
        self._own: ValuesByFamily = {}
        self._peers: ValuesByFamily | None = None
        self._aggregates = False

    def register(self, family: str, read: ReadValues) -> None:
        """Add a family of counters.

        :param read: returns this host's values; they must be non-negative and finite
        """
        self._read_by_family[family] = read

    def total(self, family: str, now: float) -> dict[str, float]:
        """Return the sums of a family over all entry hosts, by subject, with own current values."""
        own = self._read_by_family[family](now) if family in self._read_by_family else {}
        return _sum([own, self.peers(family)])

    def peers(self, family: str) -> Mapping[str, float]:
        """Return the sums of a family over the other entry hosts, by subject."""
        if self._peers is None:
            self._peers = self._sum_peers()
        return self._peers.get(family, {})

    @property
    def hosts(self) -> int:
        """Return the number of entry hosts whose values the totals include, this one counted."""
        if self._totals and not self._aggregates:
            return max(1, max(r.report.hosts for r in self._totals.values()))
        received = [*self._local.values(), *self._remote.values()]
        return 1 + sum(r.report.hosts for r in received if r.report.part == 0)

    def outgoing(
        self, to: ReportRecipients, now: float
    ) -> list[tuple[CounterReport, tuple[str, ...]]]:
        """Return the reports that are due with their recipients."""
        if not self._read_by_family or now - self._sent_at < COUNTER_INTERVAL:
            return []
        self._sent_at = now
        self._expire(now)
        self._own_in_total, self._own = self._own, self._read_own(now)
        self._aggregates = bool(to.aggregators or to.local_hosts)
        reports = [(self._report(Scope.OWN, 1, self._own), to.own)]
        if self._aggregates:
            local = [r.report for r in self._local.values()]
            remote = [r.report for r in self._remote.values()]
            local_hosts = 1 + sum(r.hosts for r in local if r.part == 0)
            local_sum = _sum_families([self._own, *(r.values for r in local)])
            total_hosts = local_hosts + sum(r.hosts for r in remote if r.part == 0)
            total = _sum_families([local_sum, *(r.values for r in remote)])
            reports += [
                (self._report(Scope.DATA_CENTRE, local_hosts, local_sum), to.aggregators),
                (self._report(Scope.TOTAL, total_hosts, total), to.local_hosts),
            ]
        self._peers = None
        return [(part, names) for report, names in reports if names for part in _split(report)]

    def receive(self, report: CounterReport, now: float) -> None:
        """Store a report of another entry host."""
        received = _Received(now, report)
        if report.scope == Scope.TOTAL:
            self._totals[report.part] = received
        elif report.scope == Scope.DATA_CENTRE:
            self._remote[report.data_centre, report.part] = received
        else:
            self._local[report.sender, report.part] = received
        self._peers = None

    def _read_own(self, now: float) -> ValuesByFamily:
        return {family: dict(read(now)) for family, read in self._read_by_family.items()}

    def _report(self, scope: Scope, hosts: int, values: ValuesByFamily) -> CounterReport:
        copied = {family: dict(by_subject) for family, by_subject in values.items()}
        return CounterReport(self._me, scope, self._data_centre, 0, hosts, copied)

    def _sum_peers(self) -> ValuesByFamily:
        if self._totals and not self._aggregates:
            totals = _sum_families(r.report.values for r in self._totals.values())
            return {
                family: {
                    s: max(0.0, v - self._own_in_total.get(family, {}).get(s, 0.0))
                    for s, v in by_subject.items()
                }
                for family, by_subject in totals.items()
            }
        received = [*self._local.values(), *self._remote.values()]
        return _sum_families(r.report.values for r in received)

    def _expire(self, now: float) -> None:
        self._local, self._remote = _recent(self._local, now), _recent(self._remote, now)
        self._totals = _recent(self._totals, now)


def _recent(received_by_key: Mapping[_Key, _Received], now: float) -> dict[_Key, _Received]:
    return {k: r for k, r in received_by_key.items() if now - r.at <= COUNTER_MAX_AGE}


def _sum(values: Iterable[Mapping[str, float]]) -> dict[str, float]:
    total: dict[str, float] = {}
    for by_subject in values:
        for subject, value in by_subject.items():
            if subject in total or len(total) < MAX_SUBJECTS:
                total[subject] = min(_MAX_VALUE, total.get(subject, 0.0) + value)
    return total


def _sum_families(values: Iterable[ValuesByFamily]) -> dict[str, dict[str, float]]:
    by_family: dict[str, list[Mapping[str, float]]] = {}
    for families in values:
        for family, by_subject in families.items():
            by_family.setdefault(family, []).append(by_subject)
    return {family: _sum(found) for family, found in by_family.items()}


def _split(report: CounterReport) -> list[CounterReport]:
    """Split a report into parts that each fit into one datagram."""
    parts: list[dict[str, dict[str, float]]] = [{}]
    size = 0
    for family, by_subject in report.values.items():
        for subject, value in by_subject.items():
            row_bytes = len(subject) + ROW_OVERHEAD_BYTES
            if size + row_bytes > MAX_ROWS_BYTES:
                parts.append({})
                size = 0
            parts[-1].setdefault(family, {})[subject] = value
            size += row_bytes
    return [
        CounterReport(report.sender, report.scope, report.data_centre, number, report.hosts, values)
        for number, values in enumerate(parts)
    ]
