"""What the owner of a domain knows of its hosts: reports, and since when they hold nothing."""

from __future__ import annotations

from collections.abc import Iterable

from .. import ownership as owners
from ..routing.wholeness import EVIDENCE_MAX_AGE
from ..types import EngineState, HostEntry, HostState, SeenReport

PROBE_EVERY = 0.9
PROBE_AGAIN = 0.4


class HostWatch:
    """The hosts of one domain."""

    def __init__(self) -> None:
        self.entry_by_host: dict[str, HostEntry] = {}
        self.seen_by_host: dict[str, SeenReport] = {}
        self.empty_since: dict[str, float] = {}
        self._load_lands_by: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}

    def hosts(self, entries: Iterable[HostEntry]) -> None:
        """Set the platform's list for this domain."""
        self.entry_by_host = {e.host: e for e in entries}

    def saw(self, seen: SeenReport) -> None:
        """Take in a report; one from an earlier probe than the one held is ignored."""
        host = seen.report.host
        held = self.seen_by_host.get(host)
        if held is not None and held.sent_at > seen.sent_at:
            return
        self.seen_by_host[host] = seen
        same_boot = held is not None and held.report.boot_id == seen.report.boot_id
        if seen.report.state != EngineState.EMPTY:
            self.empty_since.pop(host, None)
        elif not same_boot or host not in self.empty_since:
            # A load order may still be on its way to a host that reports that it is empty.
            lands_by = self._load_lands_by.get(host, seen.sent_at)
            self.empty_since[host] = max(seen.sent_at, lands_by)

    def refused(self, host: str, sent_at: float) -> None:
        """Take note that nothing listens at a host: its engine is gone for certain.

        Without this the last report would count for its full age, and the group would be sent
        requests for two seconds after a death that was seen at once.
        """
        held = self.seen_by_host.get(host)
        if held is not None and held.sent_at < sent_at:
            del self.seen_by_host[host]
            self.empty_since.pop(host, None)

    def expect_load(self, host: str, now: float) -> None:
        """Don't take a host for empty while a load order may be on its way to it."""
        self._load_lands_by[host] = now + owners.ORDER_LIFE
        self.empty_since.pop(host, None)

    def to_probe(self, now: float) -> list[HostEntry]:
        """Return the hosts to probe now.

        A host that answered rests for :data:`PROBE_EVERY`; one that did not is asked again at the
        next tick, so that a single lost probe does not close its group.
        """
        due = []
        for host, entry in self.entry_by_host.items():
            asked_at = self._asked_at.get(host, float("-inf"))
            seen = self.seen_by_host.get(host)
            answered = seen is not None and seen.sent_at >= asked_at
            if now - asked_at >= (PROBE_EVERY if answered else PROBE_AGAIN):
                self._asked_at[host] = now
                due.append(entry)
        return due

    def leaving(self) -> frozenset[str]:
        """Return the hosts that the platform's list calls leaving."""
        return frozenset(h for h, e in self.entry_by_host.items() if e.state == HostState.LEAVING)

    def usable(self, now: float) -> int:
        """Return how many hosts are present and staying."""
        leaving = self.leaving()
        return sum(
            1
            for host, seen in self.seen_by_host.items()
            if now - seen.sent_at <= EVIDENCE_MAX_AGE
            and not seen.report.leaving
            and host in self.entry_by_host
            and host not in leaving
        )
