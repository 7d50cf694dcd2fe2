"""The targets that serve each service now, worked out anew whenever plans or hosts change."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..clients.keyed import KeyedCopy
from ..groups.inventory import Inventory
from ..groups.plans import DomainPlan
from ..groups.router import ServingGroup, serving_groups
from ..settings.catalog import Catalog
from .comeback import come_back
from .placing import Candidate
from .prediction import Prediction, may_wait, predict

DEMAND_SMOOTHING = 0.15
"""Weight of the newest count of requests in flight: with a reading of the store every 0.65 s, the
mean is over about four seconds, several streams long."""

EXPECTED_PART = 0.4
"""Part of the groups that all hosts could make up, shared out as the configuration expects the work
to be, that counts as filled without any load. Before the first request it alone decides; later it
keeps small counts from turning the mix over."""


class _Served(NamedTuple):
    """The candidates of a domain by model, and of which plan and hosts they were worked out."""

    plan: DomainPlan
    host_change: int
    by_model: Mapping[str, Sequence[Candidate]]


class ServingView:
    """Targets by service and model.

    Of many domains few change between two readings, and only these are worked out anew.
    """

    def __init__(
        self, inventory: Inventory, plans: KeyedCopy[DomainPlan], rng: random.Random
    ) -> None:
        self._inventory = inventory
        self._plans = plans
        self._rng = rng
        self._served_by_key: dict[str, _Served] = {}
        self._seen: tuple[int, int, Catalog | None] | None = None
        self._by_model: Mapping[str, Sequence[Candidate]] = {}
        self._by_service: Mapping[str, Sequence[Candidate]] = {}
        self._demand_by_model: dict[str, float] = {}
        self._expected_by_model: Mapping[str, float] = {}
        self._prediction_by_model: Mapping[str, Prediction] = {}
        self._slots = 1

    def refresh(self, catalog: Catalog | None) -> bool:
        """Work out the targets anew; return whether there was anything new to work them out of."""
        seen = (self._inventory.changes, self._plans.changes, catalog)
        if self._seen is not None and seen[:2] == self._seen[:2] and catalog is self._seen[2]:
            return False
        self._seen = seen
        self._refresh_groups()
        self._refresh_plain(catalog)
        return True

    def _refresh_groups(self) -> None:
        plan_by_key = self._plans.by_key
        self._served_by_key = {k: s for k, s in self._served_by_key.items() if k in plan_by_key}
        by_model: dict[str, list[Candidate]] = {}
        for key, plan in plan_by_key.items():
            for model, found in self._served(key, plan).by_model.items():
                by_model.setdefault(model, []).extend(found)
        self._by_model = by_model

    def _served(self, key: str, plan: DomainPlan) -> _Served:
        host_change = self._inventory.last_change(plan.domain)
        held = self._served_by_key.get(key)
        if held is not None and held.plan is plan and held.host_change == host_change:
            return held
        groups_by_model = serving_groups([plan], self._inventory)
        by_model = {
            model: [Candidate(g.group.name, g.head, _others(g)) for g in groups]
            for model, groups in groups_by_model.items()
        }
        self._served_by_key[key] = served = _Served(plan, host_change, by_model)
        return served

    def _refresh_plain(self, catalog: Catalog | None) -> None:
        plain: dict[str, list[Candidate]] = {}
        for host in self._inventory.in_domain("").values():
            if not host.leaving:
                plain.setdefault(host.service, []).append(Candidate(str(host.instance), host))
        if catalog is not None:
            # An entry of an engine service without a domain names no engine. Taken for a plain
            # target, it alone would get all the service's requests.
            for service in catalog.service_by_name.values():
                if service.engine is not None:
                    plain.pop(service.name, None)
            self._expected_by_model = self._expected(catalog)
            self._prediction_by_model = _predictions(catalog)
        self._by_service = plain

    def _expected(self, catalog: Catalog) -> Mapping[str, float]:
        """Return how many groups of each model the hosts would make up by the expected work.

        Its shares are taken as shares of the hosts, whatever a model's size.
        """
        expected: dict[str, float] = {}
        for service in catalog.service_by_name.values():
            if service.engine is None:
                continue
            models = service.engine.model_by_name.values()
            shares = sum(m.share for m in models) or 1.0
            for model in models:
                part = model.share / shares / max(1, model.hosts)
                expected[model.name] = self._inventory.engines(service.name) * part
        return expected

    def candidates(self, service: str, model: str) -> Sequence[Candidate]:
        """Return the targets of a service, of an engine service those that serve a model."""
        plain = self._by_service.get(service)
        if plain is not None:
            return plain
        return [c for c in self._by_model.get(model, ()) if c.host.service == service]

    def waiting(self, model: str, goal: float) -> float | None:
        """Return how many requests may wait at a group of a model, in parts of its slots.

        :param goal: seconds within which the last of them is to show its first event
        :return: ``None`` where the configuration does not say how long an engine takes
        """
        prediction = self._prediction_by_model.get(model)
        if prediction is None:
            return None
        return may_wait(prediction, goal, self._slots) / max(1, self._slots)

    def come_back(
        self,
        service: str,
        model: str,
        limited_for: float | None = None,
        backoff_left: float | None = None,
    ) -> float:
        """Return the seconds after which a refused caller may come back, spread out.

        :param limited_for: seconds until there is room where all targets name a limit
        :param backoff_left: seconds until the first may be tried where this host backs off from all
        """
        serves = bool(self.candidates(service, model))
        return come_back(serves, self._rng, limited_for, backoff_left)

    def groups_by_model(self) -> dict[str, int]:
        """Return the number of serving groups by model."""
        return {model: len(groups) for model, groups in self._by_model.items()}

    def groups(self) -> Iterable[tuple[str, ...]]:
        """Return the lives of each serving group, its head first."""
        return (c.lives for found in self._by_model.values() for c in found)

    def targets(self) -> int:
        """Return how many targets serve, of all services and models."""
        served = (*self._by_model.values(), *self._by_service.values())
        return sum(len(candidates) for candidates in served)

    def measure(
        self,
        load: Callable[[str], int],
        turned_away: Callable[[str], int],
        taken: Callable[[Candidate], float],
    ) -> None:
        """Take the requests in flight into the demand for each model.

        :param load: returns the requests in flight at a target
        :param turned_away: returns the requests for a model that found no target in a second,
            about as long as one would have taken; without them a model that has no group left
            would seem to need none
        :param taken: returns the places of a target that its limit leaves empty; they serve nobody,
            and others are needed for them
        """
        for model in self._by_model.keys() | self._demand_by_model.keys():
            candidates = self._by_model.get(model, ())
            slots = max((c.host.slots for c in candidates), default=self._slots)
            self._slots = slots
            asked = sum(load(c.target) + taken(c) for c in candidates) + turned_away(model)
            held = self._demand_by_model.get(model, 0.0)
            filled = asked / max(1, slots)
            self._demand_by_model[model] = held + DEMAND_SMOOTHING * (filled - held)

    def demand(self, model: str) -> float:
        """Return a model's part of all groups: what its requests fill, and what is expected."""
        return EXPECTED_PART * self._expected_by_model.get(model, 0.0) + self.filled(model)

    def filled(self, model: str) -> float:
        """Return how many groups of a model the requests of the last seconds fill."""
        return self._demand_by_model.get(model, 0.0)


def _others(group: ServingGroup) -> tuple[str, ...]:
    head = group.head.instance
    return tuple(str(member) for member in group.group.members if member != head)


def _predictions(catalog: Catalog) -> dict[str, Prediction]:
    shapes = [s.engine for s in catalog.service_by_name.values() if s.engine is not None]
    found = {m.name: predict(e, m) for e in shapes for m in e.model_by_name.values()}
    return {name: prediction for name, prediction in found.items() if prediction is not None}
