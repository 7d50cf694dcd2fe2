"""Applies the rate limits that targets state, sends them to peers, and logs changes.

How many requests may be sent is decided without I/O in :mod:`..routing.target_limits`.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..exposition import Exposition
from ..groups.inventory import Instance, Inventory, TargetHost
from ..kernel import Kernel, Task
from ..records import Records
from ..routing.target_limits import (
    UNREADABLE_RATE,
    CallKind,
    LimitUpdate,
    RateChange,
    TargetLimits,
)
from .forwarding import StatedLimit

PROBE_INTERVAL = 2.0
"""Seconds between two probes of a rate-limited member of a group that gets no requests."""


class StatementSource(NamedTuple):
    """Origin of a stated limit.

    :param asked_at: when the request that the target answered was sent
    """

    asked: CallKind
    asked_at: float
    request_id: str = ""


class TargetLimitTask(Task):
    """Maintains the rate limits from statements of targets and updates of peers.

    :param groups: returns the incarnations of each serving group, its head first
    :param probe: probes one incarnation of a host at its address; the notice in the answer is
        applied like any other
    :param may_probe: returns whether that host may be probed now
    """

    name = "target limits"
    interval = PROBE_INTERVAL

    def __init__(
        self,
        kernel: Kernel,
        limits: TargetLimits,
        inventory: Inventory,
        groups: Callable[[], Iterable[Sequence[str]]],
        probe: Callable[[Instance, str], Awaitable[bool]],
        may_probe: Callable[[Instance], bool],
        records: Records,
    ) -> None:
        super().__init__(kernel)
        self._limits = limits
        self._inventory = inventory
        self._groups = groups
        self._probe = probe
        self._may_probe = may_probe
        self._records = records

    async def tick(self) -> None:
        """Probe rate-limited members of groups to find out whether their limits still apply."""
        if not self._limits.known:
            return
        for incarnations in self._groups():
            for incarnation in self._limits.members_to_probe(incarnations):
                host = self._inventory.host(incarnation)
                if host is not None and self._may_probe(host.instance):
                    self.spawn(self._probe_host(host))

    async def _probe_host(self, host: TargetHost) -> None:
        await self._probe(host.instance, host.address)

    def answered(
        self, incarnation: str, stated: StatedLimit | None, source: StatementSource
    ) -> None:
        """Apply what an answer states about its target's limit."""
        now = time.monotonic()
        rate = None if stated is None else stated.rate
        if stated is not None and rate is None:
            known = self._limits.rate_by_incarnation.get(incarnation, UNREADABLE_RATE)
            rate = min(known, UNREADABLE_RATE)
        change = self._limits.answered(incarnation, rate, source.asked, source.asked_at, now)
        if change is not None:
            text = stated.text if stated is not None else ""
            self._log_change(change, source.asked.value, request_id=source.request_id, value=text)

    def pending_updates(self) -> list[LimitUpdate]:
        """Return the updates to send to peers."""
        return self._limits.pending_updates(time.monotonic())

    def apply_peer_update(self, update: LimitUpdate) -> None:
        """Apply an update from a peer."""
        find_host = self._inventory.host
        changes = self._limits.apply_peer_update(
            update, lambda i: find_host(i) is not None, time.monotonic()
        )
        for change in changes:
            self._log_change(change, f"peer {update.sender}")

    def update_hosts(self, hosts: Mapping[str, object], has_peers: bool) -> None:
        """Record the present entry hosts, and whether updates from some of them arrive."""
        self._limits.update_hosts(hosts, has_peers, time.monotonic())

    def show(self, exposition: Exposition) -> None:
        """Register the metrics."""
        show, limits = exposition.gauge, self._limits
        show("target_limits", "Targets with a rate limit", lambda: len(limits.rate_by_incarnation))
        show("limit_share", "Requests a second that this host may send them", lambda: limits.share)
        show("limit_sent", "Requests sent within limits", lambda: limits.sent)
        show("limit_held_back", "Times that a target was skipped for a limit", self._times_skipped)

    def _times_skipped(self) -> int:
        return self._limits.held_back

    def incarnation_ended(self, incarnation: str) -> None:
        """Drop the limit of an incarnation that has ended."""
        self._limits.forget(incarnation)

    def _log_change(self, change: RateChange, source: str, **fields: object) -> None:
        what = "ended" if change.rate is None else "named" if change.before is None else "changed"
        self._records.note(
            "limit",
            what,
            instance=change.incarnation,
            rate=change.rate,
            before=change.before,
            version=change.version,
            sharers=self._limits.sharers(change.incarnation),
            source=source,
            **fields,
        )
