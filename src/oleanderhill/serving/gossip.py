"""Exchange of target load and state among entry hosts, by UDP datagrams.

Each report replaces the previous one, so a lost report is superseded within an interval. Datagrams
therefore suit better than connections: no backlog builds up for a slow peer, and nothing has to
reconnect.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..clock import boottime_seconds
from ..groups.ownership import Presence
from ..kernel import Kernel, Task
from ..routing.crash_news import EndingNews
from ..routing.target_limits import LimitUpdate
from .leaving import LeavingTargets, LeavingUpdate
from .placement import PEER_COUNTS_MAX_AGE, LoadTracker
from .quarantine import QuarantineTask
from .reports import (
    MAX_MESH_HOSTS,
    LoadReport,
    ReportRecipients,
    Scope,
    add_age,
    aggregate,
    aggregator_rankings,
    report_recipients,
    split_report,
    subtract,
)
from .retries import BORROWED_SUFFIX, RetryCount, SharedRetryBudget
from .shared_counters import CounterReport, SharedCounters
from .target_limits import TargetLimitTask

REPORT_INTERVAL = 0.05
"""Seconds between two reports. Entry hosts need the reports of their peers to distinguish a stalled
target from a busy one, and a stalled stream has 0.2 s to resume elsewhere. Sending or receiving a
report takes about 30 us."""

AGGREGATOR_TIMEOUT = 0.3
"""Seconds without a total after which reports also go to the backup aggregator: five totals lost in
a row. Peer counts expire after twice that time."""

IDLE_REPORT_INTERVAL = 0.4
"""Seconds between two reports of a host without requests. They keep it subscribed to the totals, so
that it has current load data when its next request arrives."""

CRASH_UPDATE_INTERVAL = 0.1
"""Seconds between two updates about crashed targets. Among 195 entry hosts, an update reaches all
of them in three intervals, well before the caller retries a crash-causing request."""

CRASH_RESEND_INTERVAL = 2.0
"""Seconds after which crash updates are resent, for peers that restarted or were partitioned."""

ISOLATION_TIMEOUT = 1.0
"""Seconds without a datagram from any other entry host after which this host considers itself
isolated. An idle host sends two reports in that time."""

TOTAL_HOPS = 3
"""Number of report intervals by which a total lags: host to aggregator, aggregator to aggregator,
aggregator to hosts."""


class _Received(NamedTuple):
    at: float
    report: LoadReport


_DECODER = msgspec.msgpack.Decoder(
    LoadReport | EndingNews | LimitUpdate | LeavingUpdate | CounterReport
)
_ENCODER = msgspec.msgpack.Encoder()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_datagram(data)


class GossipTask(Task):
    """Owns the datagram socket to the other entry hosts.

    :param peers: returns the live entry hosts, the same mapping object until they change
    :param budgets: the retry budgets of this host, by service
    :param limits: receives rate limits that targets stated to other entry hosts
    :param leaving: receives targets that announced their shutdown to other entry hosts
    :param counters: counters that are summed over all entry hosts
    """

    name = "gossip"
    interval = REPORT_INTERVAL

    def __init__(
        self,
        kernel: Kernel,
        me: Presence,
        load_tracker: LoadTracker,
        peers: Callable[[], Mapping[str, Presence]],
        quarantine: QuarantineTask,
        budgets: Mapping[str, SharedRetryBudget],
        limits: TargetLimitTask,
        leaving: LeavingTargets,
        counters: SharedCounters,
    ) -> None:
        super().__init__(kernel)
        self._counters = counters
        self._quarantine = quarantine
        self._leaving = leaving
        self._limits = limits
        self._last_received_at = float("-inf")
        self._budgets = budgets
        self._crash_update_at = float("-inf")
        self._crash_resend_at = float("-inf")
        self._me = me
        self._tracker = load_tracker
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._reported_at = float("-inf")
        self._full_mesh = True
        self._total_received_at = time.monotonic()
        self._own = self._own_report(time.monotonic())
        # Subtracted from received totals, which contain this host's previous report.
        self._own_in_total = self._own
        self._local_reports: dict[tuple[str, int], _Received] = {}
        self._remote_sums: dict[tuple[str, int], _Received] = {}
        self._alive: Mapping[str, Presence] = {}
        self._rankings: Mapping[str, tuple[str, ...]] = {}

    async def start(self) -> None:
        """Open the socket and start to send reports."""
        ip, port = self._me.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._receive), local_addr=(ip, int(port))
        )
        self.spawn(self._tick_loop())

    async def stop(self) -> None:
        """Close the socket."""
        await super().stop()
        if self._transport is not None:
            self._transport.close()

    async def tick(self) -> None:
        """Send all reports and updates that are due."""
        now = time.monotonic()
        alive = self._peers()
        if alive is not self._alive:
            self._alive, self._rankings = alive, aggregator_rankings(alive)
        self._expire_reports(now)
        connected = len(alive) <= 1 or now - self._last_received_at < ISOLATION_TIMEOUT
        self._limits.update_hosts(alive, connected)
        self._full_mesh = len(alive) <= MAX_MESH_HOSTS
        reporters = {sender for sender, _ in self._local_reports}
        aggregator_silent = now - self._total_received_at > AGGREGATOR_TIMEOUT
        remote_senders = sorted({received.report.sender for received in self._remote_sums.values()})
        to = report_recipients(
            self._me, alive, self._rankings, reporters, aggregator_silent, remote_senders
        )
        self._own_in_total, self._own = self._own, self._own_report(now)
        own = self._own
        has_news = own.counts or own.suspects or own.rejections or own.backing_off
        if has_news or now - self._reported_at >= IDLE_REPORT_INTERVAL:
            self._reported_at = now
            self._send(self._own, to.own, alive)
        if to.aggregators or to.local_hosts:
            self._send_aggregates(now, to, alive)
        for update in (
            *self._limits.pending_updates(),
            *self._leaving.pending_updates(self._me.name),
        ):
            self._send_to(_ENCODER.encode(update), to.all, alive)
        for report, names in self._counters.outgoing(to, now):
            self._send_to(_ENCODER.encode(report), names, alive)
        if now - self._crash_update_at >= CRASH_UPDATE_INTERVAL:
            self._crash_update_at = now
            self._send_crash_updates(now, to, alive)

    def _send_crash_updates(
        self, now: float, to: ReportRecipients, alive: Mapping[str, Presence]
    ) -> None:
        """Send crashed targets and quarantined requests to the recipients of the load reports.

        Each host sends everything it knows, including what it received from peers. The updates are
        unions of sets, so they spread over any path, and an aggregator forwards them without
        interpreting them.
        """
        resend = now - self._crash_resend_at >= CRASH_RESEND_INTERVAL
        if resend:
            self._crash_resend_at = now
        for part in self._quarantine.pending_updates(resend):
            self._send_to(_ENCODER.encode(part), to.all, alive)

    def _own_report(self, now: float) -> LoadReport:
        tracker = self._tracker
        return LoadReport(
            self._me.name,
            Scope.OWN,
            self._me.data_centre,
            0,
            dict(tracker.own),
            tracker.own_suspects(now),
            tracker.own_progress(now),
            tracker.own_rejections(now),
            self._retry_counts(),
            tracker.own_backoffs(now),
        )

    def _retry_counts(self) -> dict[str, RetryCount]:
        now = boottime_seconds()
        counts = {service: budget.own(now) for service, budget in self._budgets.items()}
        for service, budget in self._budgets.items():
            borrowed = budget.borrowed(now)
            if borrowed:
                counts[service + BORROWED_SUFFIX] = RetryCount(retries=borrowed)
        return counts

    def _send_aggregates(
        self, now: float, to: ReportRecipients, alive: Mapping[str, Presence]
    ) -> None:
        """Send this data centre's sum to other aggregators, and the total to the local hosts."""
        me = self._me
        local_reports = [
            self._own,
            *(add_age(r.report, now - r.at) for r in self._local_reports.values()),
        ]
        local_sum = aggregate(me.name, Scope.DATA_CENTRE, me.data_centre, local_reports)
        remote_sums = [add_age(r.report, now - r.at) for r in self._remote_sums.values()]
        total = aggregate(me.name, Scope.TOTAL, me.data_centre, [local_sum, *remote_sums])
        self._send(local_sum, to.aggregators, alive)
        self._send(total, to.local_hosts, alive)
        self._apply_total(total, self._own, now)

    def _send(
        self, report: LoadReport, names: Iterable[str], alive: Mapping[str, Presence]
    ) -> None:
        to = tuple(names)
        for part in split_report(report) if to else ():
            self._send_to(_ENCODER.encode(part), to, alive)

    def _send_to(self, data: bytes, names: Iterable[str], alive: Mapping[str, Presence]) -> None:
        if self._transport is None:
            return
        for name in names:
            if name in alive:
                ip, port = alive[name].address.rsplit(":", 1)
                self._transport.sendto(data, (ip, int(port)))

    def _expire_reports(self, now: float) -> None:
        self._tracker.drop_stale_peers(now)
        for reports in (self._local_reports, self._remote_sums):
            for key in [k for k, r in reports.items() if now - r.at > PEER_COUNTS_MAX_AGE]:
                del reports[key]

    def _receive(self, data: bytes) -> None:
        try:
            report = _DECODER.decode(data)
        except msgspec.DecodeError:
            # The port accepts datagrams from any sender; ignore those that are not valid messages.
            return
        now = self._last_received_at = time.monotonic()
        if isinstance(report, EndingNews):
            self._quarantine.apply_peer_update(report)
            return
        if isinstance(report, LimitUpdate):
            self._limits.apply_peer_update(report)
            return
        if isinstance(report, LeavingUpdate):
            self._leaving.apply_peer_update(report)
            return
        if isinstance(report, CounterReport):
            self._counters.receive(report, now)
            return
        if report.scope == Scope.TOTAL:
            self._apply_total(report, self._own_in_total, now)
        elif report.scope == Scope.DATA_CENTRE:
            self._remote_sums[report.data_centre, report.part] = _Received(now, report)
        else:
            if report.data_centre == self._me.data_centre:
                self._local_reports[report.sender, report.part] = _Received(now, report)
            if self._full_mesh:
                self._apply_report(f"{report.sender}/{report.part}", report, now)

    def _apply_total(self, total: LoadReport, own: LoadReport, now: float) -> None:
        self._total_received_at = now
        self._tracker.peer_report_delay = TOTAL_HOPS * REPORT_INTERVAL
        self._apply_report(f"total/{total.part}", subtract(total, own), now)

    def _apply_report(self, peer: str, report: LoadReport, now: float) -> None:
        self._tracker.apply_peer_update(
            peer, report.counts, report.suspects, report.progress, report.rejections, now
        )
        self._tracker.apply_peer_backoffs(report.backing_off, now)
        for service, count in report.retries.items():
            if service in self._budgets:
                borrowed = report.retries.get(service + BORROWED_SUFFIX, RetryCount()).retries
                self._budgets[service].apply_peer_update(peer, count, boottime_seconds(), borrowed)
