"""Engine hosts by domain, recomputed only for domains that changed."""

from __future__ import annotations

from collections.abc import Mapping

from ..settings.catalog import Catalog
from .inventory import Instance, Inventory, TargetHost

HostsByDomain = Mapping[str, Mapping[Instance, TargetHost]]
"""Engine hosts by domain and instance. Domains without engine hosts are omitted."""


class EngineHosts:
    """Selects the engine hosts from the host list.

    Any writer can add entries to the list. A host whose service is not configured is not an engine:
    as a member of a group it would never join, and the other members would wait for it.

    Each entry host checks all domains several times a second, to take over those without an owner.
    The hosts are therefore cached by domain and recomputed only when the domain changes.
    """

    def __init__(self, inventory: Inventory) -> None:
        self._inventory = inventory
        self._services: frozenset[str] = frozenset()
        self._last_change_seen: dict[str, int] = {}
        self._by_domain: dict[str, Mapping[Instance, TargetHost]] = {}

    def by_domain(self, catalog: Catalog) -> HostsByDomain:
        """Return the current engine hosts."""
        services = frozenset(
            s.name for s in catalog.service_by_name.values() if s.engine is not None
        )
        if services != self._services:
            self._services = services
            self._last_change_seen = {}
        listed = set(self._inventory.domains())
        for domain in listed | self._by_domain.keys():
            change = self._inventory.last_change(domain)
            if self._last_change_seen.get(domain) != change:
                self._last_change_seen[domain] = change
                self._rebuild(domain)
        for domain in self._last_change_seen.keys() - listed:
            del self._last_change_seen[domain]
        return self._by_domain

    def _rebuild(self, domain: str) -> None:
        hosts = self._inventory.in_domain(domain)
        found = {i: h for i, h in hosts.items() if h.service in self._services}
        if found:
            self._by_domain[domain] = found
        else:
            self._by_domain.pop(domain, None)
