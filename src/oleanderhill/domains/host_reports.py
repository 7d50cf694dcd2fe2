"""The latest report of each host of a domain, and since when each empty host has been empty."""

from __future__ import annotations

from collections.abc import Iterable

from .. import ownership as owners
from ..routing.completeness import EVIDENCE_MAX_AGE
from ..types import EngineState, HostEntry, HostState, TimedReport

PROBE_INTERVAL = 0.9
"""Seconds between probes of a host that answered the last one."""

PROBE_RETRY_INTERVAL = 0.4
"""Seconds between probes of a host that did not answer the last one."""


class HostWatch:
    """Tracks the reports of the hosts of one domain and schedules their probes."""

    def __init__(self) -> None:
        self.entry_by_host: dict[str, HostEntry] = {}
        self.report_by_host: dict[str, TimedReport] = {}
        self.empty_since: dict[str, float] = {}
        self._load_arrives_by: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}

    def set_hosts(self, entries: Iterable[HostEntry]) -> None:
        """Replace the platform's list of hosts in this domain."""
        self.entry_by_host = {e.host: e for e in entries}

    def apply_report(self, seen: TimedReport) -> None:
        """Store a report, unless the stored one comes from a later probe."""
        host = seen.report.host
        previous = self.report_by_host.get(host)
        if previous is not None and previous.sent_at > seen.sent_at:
            return
        self.report_by_host[host] = seen
        same_boot = previous is not None and previous.report.boot_id == seen.report.boot_id
        if seen.report.state != EngineState.EMPTY:
            self.empty_since.pop(host, None)
        elif not same_boot or host not in self.empty_since:
            # A load order may still be in flight to a host that reports itself empty.
            arrives_by = self._load_arrives_by.get(host, seen.sent_at)
            self.empty_since[host] = max(seen.sent_at, arrives_by)

    def record_refused_probe(self, host: str, sent_at: float) -> None:
        """Discard the report of a host that refused a probe: its engine is not running.

        Otherwise the last report would stay valid until it expires, and the group would receive
        requests for up to two seconds after a crash that was detected immediately.
        """
        previous = self.report_by_host.get(host)
        if previous is not None and previous.sent_at < sent_at:
            del self.report_by_host[host]
            self.empty_since.pop(host, None)

    def expect_load(self, host: str, now: float) -> None:
        """Record that a load order may be in flight to a host, so it doesn't count as empty."""
        self._load_arrives_by[host] = now + owners.ORDER_SEND_TIMEOUT
        self.empty_since.pop(host, None)

    def to_probe(self, now: float) -> list[HostEntry]:
        """Return the hosts to probe now, and record them as probed.

        A host that answered is probed again after :data:`PROBE_INTERVAL`. One that did not answer
        is probed again at the next tick, so that a single lost probe does not close its group.
        """
        due = []
        for host, entry in self.entry_by_host.items():
            probed_at = self._probed_at.get(host, float("-inf"))
            seen = self.report_by_host.get(host)
            answered = seen is not None and seen.sent_at >= probed_at
            if now - probed_at >= (PROBE_INTERVAL if answered else PROBE_RETRY_INTERVAL):
                self._probed_at[host] = now
                due.append(entry)
        return due

    def leaving(self) -> frozenset[str]:
        """Return the hosts that the platform's list marks as leaving."""
        return frozenset(h for h, e in self.entry_by_host.items() if e.state == HostState.LEAVING)

    def usable(self, now: float) -> int:
        """Return how many hosts have a fresh report and are not leaving."""
        leaving = self.leaving()
        return sum(
            1
            for host, seen in self.report_by_host.items()
            if now - seen.sent_at <= EVIDENCE_MAX_AGE
            and not seen.report.leaving
            and host in self.entry_by_host
            and host not in leaving
        )
