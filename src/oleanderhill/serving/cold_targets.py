"""Applies what the host list and answers say of cold targets, and logs changes.

How many requests may be sent is decided without I/O in :mod:`..routing.cold_limits`.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping

from ..exposition import Exposition
from ..groups.inventory import Inventory, TargetHost
from ..kernel import Kernel, Task
from ..records import Records
from ..routing.cold_limits import MAX_COLD_SECONDS, ColdChange, ColdLimits, ColdSource
from ..settings.catalog import Catalog, ColdProfile
from .forwarding import StatedCold
from .target_limits import StatementSource

CHECK_INTERVAL = 0.5
"""Seconds between two checks for targets whose cold time has ended."""


class ColdTargets(Task):
    """Maintains the cold targets of services for which the configuration gives a rate.

    :param catalog: returns the current configuration
    :param in_traffic: returns whether the deployment may have had a request; a target that starts
        before the first one is not cold
    """

    name = "cold targets"
    interval = CHECK_INTERVAL

    def __init__(
        self,
        kernel: Kernel,
        limits: ColdLimits,
        inventory: Inventory,
        catalog: Callable[[], Catalog | None],
        in_traffic: Callable[[], bool],
        records: Records,
    ) -> None:
        super().__init__(kernel)
        self._limits = limits
        self._inventory = inventory
        self._in_traffic = in_traffic
        self._records = records
        self._read_catalog = catalog
        self._catalog: Catalog | None = None
        self._profile_by_service: Mapping[str, ColdProfile] = {}
        self._reported: set[str] = set()

    async def tick(self) -> None:
        """Drop the targets whose cold time has ended."""
        self.refresh_rates()
        for change in self._limits.expire(time.monotonic()):
            self._log_change(change)

    def refresh_rates(self) -> None:
        """Use the rates of the current configuration."""
        catalog = self._read_catalog()
        if catalog is None or catalog is self._catalog:
            return
        self._catalog = catalog
        profiles = {
            s.name: self._usable(s.name, s.cold)
            for s in catalog.service_by_name.values()
            if s.cold is not None
        }
        self._profile_by_service = {name: p for name, p in profiles.items() if p is not None}
        rates = {name: profile.rate for name, profile in self._profile_by_service.items()}
        self._limits.set_rates(rates)

    def _usable(self, service: str, profile: ColdProfile) -> ColdProfile | None:
        """Return a profile with what can be read of it, and the previous values for the rest."""
        previous = self._profile_by_service.get(service)
        rate, start = profile
        if not math.isnan(rate) and not math.isnan(start):
            return profile
        self._records.note("cold", "unusable setting", service=service, rate=rate, start_s=start)
        if math.isnan(rate):
            if previous is None:
                return None
            rate = previous.rate
        if math.isnan(start):
            start = MAX_COLD_SECONDS if previous is None else previous.start_seconds
        return ColdProfile(rate, start)

    def listed(self, host: TargetHost, seconds: float, is_new: bool) -> bool:
        """Apply an entry of the host list; return whether its service has a rate.

        :param seconds: for which the host stays cold, NaN if the entry makes no sense
        :param is_new: whether the incarnation was not listed before
        """
        self.refresh_rates()
        incarnation = str(host.instance)
        if not math.isnan(seconds):
            self._state(incarnation, host.service, seconds, ColdSource.ENTRY)
        else:
            self._report("unusable entry", incarnation)
            if is_new and self._in_traffic():
                self._start_unknown(incarnation, host.service)
        return self._limits.is_limited_service(host.service)

    def answered(self, incarnation: str, cold: StatedCold, source: StatementSource) -> None:
        """Apply what an answer states."""
        host = self._inventory.host(incarnation)
        if host is None:
            return
        if cold.seconds is None:
            self._report("unusable answer", incarnation, value=cold.text)
            self._start_unknown(incarnation, host.service)
            return
        self._state(incarnation, host.service, cold.seconds, ColdSource.ANSWER, source)

    def _start_unknown(self, incarnation: str, service: str) -> None:
        """Count a target as cold as if it had just started, unless it is known to be cold."""
        profile = self._profile_by_service.get(service)
        if profile is not None and self._limits.find(incarnation) is None:
            self._state(incarnation, service, profile.start_seconds, ColdSource.START)

    def _state(
        self,
        incarnation: str,
        service: str,
        seconds: float,
        source: ColdSource,
        answer: StatementSource | None = None,
    ) -> None:
        now = time.monotonic()
        if seconds > MAX_COLD_SECONDS:
            self._report("capped", incarnation, seconds=seconds)
        asked_at = now if answer is None else answer.asked_at
        change = self._limits.state(incarnation, service, seconds, source, asked_at, now)
        if change is not None:
            self._log_change(change, answer.request_id if answer is not None else "")

    def _report(self, what: str, incarnation: str, **fields: object) -> None:
        """Log an unusable statement, once for each incarnation."""
        if incarnation not in self._reported:
            self._reported.add(incarnation)
            self._records.note("cold", what, instance=incarnation, **fields)

    def _log_change(self, change: ColdChange, request_id: str = "") -> None:
        host = self._inventory.host(change.incarnation)
        if host is None or not self._limits.is_limited_service(host.service):
            return
        self._records.note(
            "cold",
            change.what,
            instance=change.incarnation,
            seconds=round(change.seconds, 3),
            before=round(change.before, 3),
            source=change.source.value if change.source is not None else "time",
            age_s=round(change.age, 3),
            request_id=request_id or None,
        )

    def incarnation_ended(self, incarnation: str) -> None:
        """Drop an incarnation that has ended."""
        self._limits.forget(incarnation)
        self._reported.discard(incarnation)

    def show(self, exposition: Exposition) -> None:
        """Register the metrics."""
        show, limits = exposition.gauge, self._limits
        show("cold_targets", "Cold targets with a limit", lambda: limits.targets)
        show("cold_held_back", "Times that a cold target was skipped", lambda: limits.held_back)
