"""Target hosts from the platform's host list: engines, plain targets and group memberships."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

MAX_REMEMBERED_NAMES = 4_000
"""Maximum number of unlisted hosts whose latest start time is remembered. It covers five days of
the 760 failures and restarts a day that are expected of the largest deployment; no write is known
to have been delayed for longer."""


class MemberState(StrEnum):
    """State of a host in the group that it reports."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(NamedTuple):
    """The group that a host reports to be in. Rank 0 is the head, which accepts the requests."""

    group: str
    epoch: int
    rank: int
    state: MemberState


class Instance(NamedTuple):
    """An incarnation of a target host: one run of its process from start to end.

    A host may restart under the same name. It then has none of its earlier state, and its counters
    start at zero. All data about a host is therefore keyed by this pair, so that data of one
    incarnation is never applied to another.

    :param name: the platform's name of the host
    :param born: start time in Unix milliseconds, or 0 if the platform does not report it; in that
        case a restarted host gets a new name
    """

    name: str
    born: int = 0

    def __str__(self) -> str:
        return f"{self.name}@{self.born}" if self.born else self.name


class TargetHost(NamedTuple):
    """An incarnation of a target host as listed.

    :param slots: number of requests it runs concurrently
    :param domain: fabric domain, empty for a target of a plain service
    :param staged: models whose weights are on the host
    """

    instance: Instance
    service: str
    address: str
    data_centre: str
    leaving: bool
    slots: int
    domain: str = ""
    staged: tuple[str, ...] = ()
    model: str = ""
    membership: Membership | None = None


class PutResult(NamedTuple):
    """Result of adding an entry.

    :param current: whether the entry was accepted; ``False`` if its incarnation has ended
    :param before: previous entry of the same incarnation
    :param ended: an earlier incarnation under this name that was still listed
    """

    current: bool
    before: TargetHost | None
    ended: Removal | None


class Removal(NamedTuple):
    """An incarnation whose entry is missing; ``gone`` is ``False`` while it may reappear."""

    instance: Instance
    address: str
    gone: bool


class Inventory:
    """The listed hosts by instance, with a grace period for entries lost in a store outage.

    During a store outage the entries of live hosts expire, and they reappear some time after the
    store recovers. Removing such hosts immediately would leave every service without targets.

    Hosts are also indexed by domain, with the number of the last change of each domain. Of a
    thousand hosts only a few change per second, so callers recompute derived data only for domains
    that changed, rather than for all domains at every reading.
    """

    def __init__(self) -> None:
        self.by_instance: dict[Instance, TargetHost] = {}
        self._by_domain: dict[str, dict[Instance, TargetHost]] = {}
        self._last_change_by_domain: dict[str, int] = {}
        self._engines_by_service: Counter[str] = Counter()
        self.changes = 0
        self._grace_until: dict[Instance, float] = {}
        self._instance_by_name: dict[str, Instance] = {}
        self._instance_by_address: dict[str, Instance] = {}
        self._newest_born: dict[str, int] = {}
        self._leaving: dict[Instance, None] = {}
        self._grace_ends = float("-inf")

    def extend_grace(self, until: float) -> None:
        """Record a store outage: entries that are missing may reappear until the given time."""
        self._grace_ends = max(self._grace_ends, until)

    def put(self, host: TargetHost) -> PutResult:
        """Add or update a host's entry, unless a later incarnation of the host is known.

        The entry of an earlier incarnation may arrive late, after the host was partitioned and
        restarted. Accepted, it would list the host in a group that its new incarnation is not in.
        """
        instance = host.instance
        if instance.born < self._newest_born.get(instance.name, 0):
            return PutResult(False, None, None)
        # Move the name to the end, so that the names not updated for the longest time come first.
        self._newest_born.pop(instance.name, None)
        self._newest_born[instance.name] = instance.born
        self._evict_oldest_name()
        # A newer incarnation proves that the older one has ended, also during the grace period.
        known = self.incarnation_of(instance.name)
        ended = self.discard(instance.name) if known != instance else None
        self._grace_until.pop(instance, None)
        before = self.by_instance.get(instance)
        if host.leaving:
            self._record_leaving(instance)
        elif instance in self._leaving:
            # The entry may predate the host's report that it is leaving, or never show it.
            host = host._replace(leaving=True)
        if before != host:
            self._replace(before, host)
        self._instance_by_name[instance.name] = instance
        return PutResult(True, before, ended)

    def leave(self, incarnation: str) -> bool:
        """Record a host's own report that it is leaving, valid until the incarnation ends.

        :return: whether that incarnation is listed
        """
        host = self.host(incarnation)
        if host is None:
            return False
        self._record_leaving(host.instance)
        if not host.leaving:
            self._replace(host, host._replace(leaving=True))
        return True

    def _record_leaving(self, instance: Instance) -> None:
        self._leaving[instance] = None
        if len(self._leaving) > MAX_REMEMBERED_NAMES:
            del self._leaving[next(iter(self._leaving))]

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation is leaving, by its entry or its own report."""
        host = self.host(incarnation)
        return host is not None and host.leaving

    def incarnation_of(self, name: str) -> Instance | None:
        """Return the listed incarnation of a host."""
        return self._instance_by_name.get(name)

    def host(self, incarnation: str) -> TargetHost | None:
        """Return the listed host whose incarnation has this textual form."""
        instance = self.incarnation_of(incarnation) or self.incarnation_of(
            incarnation.rpartition("@")[0]
        )
        return self.by_instance[instance] if instance and str(instance) == incarnation else None

    def remove(self, name: str, now: float) -> Removal | None:
        """Process a missing entry. Return ``None`` if the host was not listed."""
        instance = self.incarnation_of(name)
        if instance is None:
            return None
        if now < self._grace_ends:
            self._grace_until.setdefault(instance, self._grace_ends)
            return Removal(instance, self.by_instance[instance].address, False)
        return self.discard(name)

    def discard(self, name: str) -> Removal | None:
        """Remove a host, ignoring any grace period. Return ``None`` if it was not listed."""
        instance = self._instance_by_name.pop(name, None)
        if instance is None:
            return None
        self._grace_until.pop(instance, None)
        address = self.by_instance[instance].address
        self._drop(instance)
        return Removal(instance, address, True)

    def replace(self, hosts: Iterable[TargetHost], now: float) -> list[Removal]:
        """Replace the list and return the incarnations that are gone.

        Hosts missing from the new list stay listed during the grace period after a store outage.
        """
        found = list(hosts)
        listed = {h.instance.name for h in found}
        missing = [n for n in self._instance_by_name if n not in listed]
        removals = [*(self.put(h).ended for h in found), *(self.remove(n, now) for n in missing)]
        return [r for r in removals if r is not None and r.gone]

    def expire(self, now: float) -> list[Removal]:
        """Remove the hosts whose entries did not reappear within the grace period."""
        due = [i for i, until in self._grace_until.items() if now >= until]
        return [removal for i in due if (removal := self.discard(i.name)) is not None]

    def ended(self, instance: Instance) -> bool:
        """Return whether an incarnation is known to have ended because the host has restarted."""
        return instance.born < self._newest_born.get(instance.name, 0)

    def _evict_oldest_name(self) -> None:
        if len(self._newest_born) > MAX_REMEMBERED_NAMES + len(self._instance_by_name):
            unlisted = (n for n in self._newest_born if n not in self._instance_by_name)
            oldest = next(unlisted, None)
            if oldest is not None:
                del self._newest_born[oldest]

    def in_domain(self, domain: str) -> Mapping[Instance, TargetHost]:
        """Return the hosts of a fabric domain; the empty domain holds the plain targets."""
        return self._by_domain.get(domain, {})

    def domains(self) -> list[str]:
        """Return the fabric domains that have listed hosts."""
        return [d for d in self._by_domain if d]

    def last_change(self, domain: str) -> int:
        """Return the number of the last change in a domain, 0 if it has no hosts.

        Equal numbers mean equal hosts: no number is reused, even if a domain disappears and
        returns.
        """
        return self._last_change_by_domain.get(domain, 0)

    def hosts_by_data_centre(self) -> Mapping[str, int]:
        """Return the number of listed hosts by data centre."""
        return Counter(h.data_centre for h in self.by_instance.values())

    def service_at(self, address: str) -> str:
        """Return the service of the host that was last listed at an address, empty for none."""
        instance = self._instance_by_address.get(address)
        return "" if instance is None else self.by_instance[instance].service

    def engines(self, service: str) -> int:
        """Return the number of hosts of a service that are in a fabric domain."""
        return self._engines_by_service[service]

    def _replace(self, before: TargetHost | None, host: TargetHost) -> None:
        if before is not None and (before.domain, before.service) != (host.domain, host.service):
            self._drop(host.instance)
        elif before is not None:
            self._count(before, -1)
            self._drop_address(before)
        self._instance_by_address[host.address] = host.instance
        self.by_instance[host.instance] = host
        self._by_domain.setdefault(host.domain, {})[host.instance] = host
        self._count(host, 1)

    def _drop(self, instance: Instance) -> None:
        host = self.by_instance.pop(instance, None)
        if host is None:
            return
        self._drop_address(host)
        hosts = self._by_domain[host.domain]
        del hosts[instance]
        self._count(host, -1)
        if not hosts:
            # Any writer can add entries with arbitrary domain names, so data kept by domain is
            # removed together with the domain.
            del self._by_domain[host.domain]
            del self._last_change_by_domain[host.domain]

    def _drop_address(self, host: TargetHost) -> None:
        if self._instance_by_address.get(host.address) == host.instance:
            del self._instance_by_address[host.address]

    def _count(self, host: TargetHost, delta: int) -> None:
        self.changes += 1
        self._last_change_by_domain[host.domain] = self.changes
        if not host.domain:
            return
        self._engines_by_service[host.service] += delta
        if not self._engines_by_service[host.service]:
            del self._engines_by_service[host.service]
