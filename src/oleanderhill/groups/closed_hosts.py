"""Engine hosts in evacuated data centres, recomputed only for domains that changed."""

from __future__ import annotations

from typing import NamedTuple

from .evacuations import Evacuations
from .inventory import Instance, Inventory


class _Closed(NamedTuple):
    """The hosts of a domain, with the changes that they were computed from."""

    host_change: int
    evacuation_change: int
    instances: frozenset[Instance]


class ClosedHosts:
    """Selects the hosts on which nothing may be formed or loaded.

    Each owner counts the groups of all domains several times a second, so the hosts are cached by
    domain.
    """

    def __init__(self, inventory: Inventory, evacuations: Evacuations) -> None:
        self._inventory = inventory
        self._evacuations = evacuations
        self._closed_by_domain: dict[str, _Closed] = {}

    @property
    def any(self) -> bool:
        """Return whether there may be such hosts: whether an evacuation is in force."""
        return bool(self._evacuations.in_force)

    def of_domain(self, domain: str) -> frozenset[Instance]:
        """Return the hosts of a domain that are in an evacuated data centre."""
        if not self._evacuations.in_force:
            self._closed_by_domain.clear()
            return frozenset()
        changes = (self._inventory.last_change(domain), self._evacuations.changes)
        cached = self._closed_by_domain.get(domain)
        if cached is not None and cached[:2] == changes:
            return cached.instances
        hosts = self._inventory.in_domain(domain).items()
        closed = frozenset(i for i, h in hosts if self._evacuations.includes(h.data_centre))
        self._closed_by_domain[domain] = _Closed(*changes, closed)
        return closed
