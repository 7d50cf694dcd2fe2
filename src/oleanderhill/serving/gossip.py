"""Datagrams among entry hosts: how many requests each has at which target, and what stalls.

A count that is lost is replaced by the next one a moment later, so datagrams fit better than
connections: nothing queues up for a peer that is slow, and there is nothing to reconnect.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..groups.ownership import Presence
from ..kernel import Kernel, Task
from ..routing.endings import EndingNews
from ..routing.target_limits import LimitNews
from .leaving import LeavingNews, LeavingTargets
from .placing import PEER_COUNTS_LAST, LoadBook
from .quarantine import QuarantineTask
from .reports import (
    MESH_MOST,
    Audience,
    LoadReport,
    Scope,
    add_up,
    aged,
    audience,
    hub_rankings,
    in_parts,
    without,
)
from .retries import SharedRetryBudget
from .target_limits import TargetLimitTask

EVERY = 0.05
"""Seconds between two reports: by them a silent target is told from a busy one, and a stream that
stalls has 0.2 s to go on elsewhere. A report costs about 30 us at each end."""

HUB_SILENT = 0.3
"""Seconds without a total after which the next hub is told too: five totals lost in a row. The
counts held run out after twice that."""

IDLE_EVERY = 0.4
"""Seconds between two reports of a host without requests. It stays subscribed to the totals, so
that it places its next request as well as the others do."""

ENDINGS_EVERY = 0.1
"""Seconds between two tellings of targets that ended: from one entry host to all among 195 it takes
three of them, well under the seconds in which a request comes again."""

ENDINGS_AGAIN = 2.0
"""Seconds until what was told before is told again, to those that restarted or were cut off."""

OUT_OF_TOUCH = 1.0
"""Seconds without a word from any other entry host after which this one is on its own: an idle one
reports twice in that time."""

HOPS_OF_TOTAL = 3
"""Reports one after the other by which a total is late: to a hub, to another hub, to all."""


class _Heard(NamedTuple):
    at: float
    report: LoadReport


_DECODER = msgspec.msgpack.Decoder(LoadReport | EndingNews | LimitNews | LeavingNews)
_ENCODER = msgspec.msgpack.Encoder()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._take(data)


class GossipTask(Task):
    """Owns the datagram socket towards the other entry hosts.

    :param peers: returns the entry hosts that are there, the same mapping until they change
    :param budgets: the retry budgets of this host, by service
    :param limits: hears of limits that targets named to others
    :param leaving: hears of targets that told others that they leave
    """

    name = "gossip"
    interval = EVERY

    def __init__(
        self,
        kernel: Kernel,
        me: Presence,
        book: LoadBook,
        peers: Callable[[], Mapping[str, Presence]],
        quarantine: QuarantineTask,
        budgets: Mapping[str, SharedRetryBudget],
        limits: TargetLimitTask,
        leaving: LeavingTargets,
    ) -> None:
        super().__init__(kernel)
        self._quarantine = quarantine
        self._leaving = leaving
        self._limits = limits
        self._heard_at = float("-inf")
        self._budgets = budgets
        self._endings_at = float("-inf")
        self._endings_again_at = float("-inf")
        self._me = me
        self._book = book
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._reported_at = float("-inf")
        self._mesh = True
        self._total_at = time.monotonic()
        self._own = self._own_report(time.monotonic())
        # What a total holds of this host is one report old.
        self._own_in_total = self._own
        self._near: dict[tuple[str, int], _Heard] = {}
        self._far: dict[tuple[str, int], _Heard] = {}
        self._alive: Mapping[str, Presence] = {}
        self._rankings: Mapping[str, tuple[str, ...]] = {}

    async def start(self) -> None:
        """Listen, and start to report."""
        ip, port = self._me.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._hear), local_addr=(ip, int(port))
        )
        self.spawn(self._tick_loop())

    async def stop(self) -> None:
        """Close the socket."""
        await super().stop()
        if self._transport is not None:
            self._transport.close()

    async def tick(self) -> None:
        """Report to whom it concerns."""
        now = time.monotonic()
        alive = self._peers()
        if alive is not self._alive:
            self._alive, self._rankings = alive, hub_rankings(alive)
        self._forget(now)
        in_touch = len(alive) <= 1 or now - self._heard_at < OUT_OF_TOUCH
        self._limits.reach(alive, in_touch)
        self._mesh = len(alive) <= MESH_MOST
        near = {sender for sender, _ in self._near}
        hub_silent = now - self._total_at > HUB_SILENT
        hubs_heard = sorted({heard.report.sender for heard in self._far.values()})
        to = audience(self._me, alive, self._rankings, near, hub_silent, hubs_heard)
        self._own_in_total, self._own = self._own, self._own_report(now)
        own = self._own
        busy = own.counts or own.suspects or own.turned_away or own.backing_off
        if busy or now - self._reported_at >= IDLE_EVERY:
            self._reported_at = now
            self._send(self._own, to.own, alive)
        if to.hubs or to.neighbours:
            self._tell_sums(now, to, alive)
        for news in (*self._limits.news(), *self._leaving.news(self._me.name)):
            self._send_to(_ENCODER.encode(news), to.all, alive)
        if now - self._endings_at >= ENDINGS_EVERY:
            self._endings_at = now
            self._tell_endings(now, to, alive)

    def _tell_endings(self, now: float, to: Audience, alive: Mapping[str, Presence]) -> None:
        """Tell of targets that ended and who is quarantined for it, to those who get the counts.

        Each tells all that it knows, also what it heard: sums of sets, they come through whatever
        way there is, and a hub passes them on without knowing what they mean.
        """
        again = now - self._endings_again_at >= ENDINGS_AGAIN
        if again:
            self._endings_again_at = now
        for part in self._quarantine.news(again):
            self._send_to(_ENCODER.encode(part), to.all, alive)

    def _own_report(self, now: float) -> LoadReport:
        book = self._book
        return LoadReport(
            self._me.name,
            Scope.OWN,
            self._me.data_centre,
            0,
            dict(book.own),
            book.own_suspects(now),
            book.own_progress(now),
            book.own_turned_away(now),
            {service: budget.own(now) for service, budget in self._budgets.items()},
            book.own_backoffs(now),
        )

    def _tell_sums(self, now: float, to: Audience, alive: Mapping[str, Presence]) -> None:
        """Act as the hub of this data centre."""
        me = self._me
        near = [self._own, *(aged(h.report, now - h.at) for h in self._near.values())]
        local = add_up(me.name, Scope.DATA_CENTRE, me.data_centre, near)
        far = [aged(h.report, now - h.at) for h in self._far.values()]
        total = add_up(me.name, Scope.TOTAL, me.data_centre, [local, *far])
        self._send(local, to.hubs, alive)
        self._send(total, to.neighbours, alive)
        self._take_total(total, self._own, now)

    def _send(
        self, report: LoadReport, names: Iterable[str], alive: Mapping[str, Presence]
    ) -> None:
        to = tuple(names)
        for part in in_parts(report) if to else ():
            self._send_to(_ENCODER.encode(part), to, alive)

    def _send_to(self, data: bytes, names: Iterable[str], alive: Mapping[str, Presence]) -> None:
        if self._transport is None:
            return
        for name in names:
            if name in alive:
                ip, port = alive[name].address.rsplit(":", 1)
                self._transport.sendto(data, (ip, int(port)))

    def _forget(self, now: float) -> None:
        self._book.forget_peers(now)
        for heard in (self._near, self._far):
            for key in [k for k, h in heard.items() if now - h.at > PEER_COUNTS_LAST]:
                del heard[key]

    def _hear(self, data: bytes) -> None:
        try:
            report = _DECODER.decode(data)
        except msgspec.DecodeError:
            # Anybody may send datagrams here; what is not a report says nothing.
            return
        now = self._heard_at = time.monotonic()
        if isinstance(report, EndingNews):
            self._quarantine.hear(report)
            return
        if isinstance(report, LimitNews):
            self._limits.hear(report)
            return
        if isinstance(report, LeavingNews):
            self._leaving.hear(report)
            return
        if report.scope == Scope.TOTAL:
            self._take_total(report, self._own_in_total, now)
        elif report.scope == Scope.DATA_CENTRE:
            self._far[report.data_centre, report.part] = _Heard(now, report)
        else:
            if report.data_centre == self._me.data_centre:
                self._near[report.sender, report.part] = _Heard(now, report)
            if self._mesh:
                self._take(f"{report.sender}/{report.part}", report, now)

    def _take_total(self, total: LoadReport, own: LoadReport, now: float) -> None:
        self._total_at = now
        self._book.heard_later = HOPS_OF_TOTAL * EVERY
        self._take(f"total/{total.part}", without(total, own), now)

    def _take(self, peer: str, report: LoadReport, now: float) -> None:
        self._book.hear(
            peer, report.counts, report.suspects, report.progress, report.turned_away, now
        )
        self._book.hear_backoffs(report.backing_off, now)
        for service, count in report.retries.items():
            if service in self._budgets:
                self._budgets[service].hear(peer, count, now)
