"""Exchange of load and counters among simulated entry hosts by way of one that sums them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from oleanderhill.serving.reports import LoadReport, ReportRecipients, Scope, aggregate, subtract

if TYPE_CHECKING:
    from .site import EntryHost, Simulation

REPORT_INTERVAL = 0.05
"""Seconds between two reports of a host, as in the product."""

TOTAL_HOPS = 3
"""Report intervals by which totals lag, as in the product."""

REPORTING_SECONDS = 10.0
"""Seconds for which hosts report after the last caller."""


def report_totals(simulation: Simulation) -> None:
    """Send each host the load of all, which arrives after the remaining hops."""
    now = simulation.clock.now
    own_by_host = {host.name: _load_report(host, now) for host in simulation.hosts}
    total = aggregate("total", Scope.TOTAL, "here", own_by_host.values())

    def deliver() -> None:
        for host in simulation.hosts:
            if simulation.rng.random() < simulation.scenario.report_loss:
                continue
            peers = subtract(total, own_by_host[host.name])
            host.tracker.apply_peer_update(
                "total",
                peers.counts,
                peers.suspects,
                peers.progress,
                peers.rejections,
                simulation.clock.now,
            )

    simulation.clock.call_later(REPORT_INTERVAL * (TOTAL_HOPS - 1), deliver)
    if now < simulation.scenario.seconds + REPORTING_SECONDS:
        simulation.clock.call_later(REPORT_INTERVAL, partial(report_totals, simulation))


def exchange_counters(simulation: Simulation) -> None:
    """Let the first host sum the counters of all and send each the sum."""
    now, first = simulation.clock.now, simulation.hosts[0]
    others = tuple(host.name for host in simulation.hosts[1:])
    host_by_name = {host.name: host for host in simulation.hosts}
    for host in simulation.hosts:
        is_first = host is first
        to = ReportRecipients(local_hosts=others) if is_first else ReportRecipients((first.name,))
        for report, names in host.counters.outgoing(to, now):
            for name in names:
                if simulation.rng.random() >= simulation.scenario.report_loss:
                    host_by_name[name].counters.receive(report, now)
    if now < simulation.scenario.seconds + REPORTING_SECONDS:
        simulation.clock.call_later(REPORT_INTERVAL, partial(exchange_counters, simulation))


def _load_report(host: EntryHost, now: float) -> LoadReport:
    tracker = host.tracker
    return LoadReport(
        host.name,
        Scope.OWN,
        "here",
        0,
        dict(tracker.own),
        tracker.own_suspects(now),
        tracker.own_progress(now),
        tracker.own_rejections(now),
    )
