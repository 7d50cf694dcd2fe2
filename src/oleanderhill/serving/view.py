"""The targets that currently serve each service, recomputed when plans or hosts change."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..clients.keyed import KeyedCopy
from ..groups.composing import UNDERSUPPLY_RATIO
from ..groups.demand import DemandHistory
from ..groups.evacuations import Evacuations
from ..groups.inventory import Inventory
from ..groups.plans import DomainPlan
from ..groups.serving_groups import ServingGroup, serving_groups
from ..settings.catalog import Catalog
from .placement import Candidate
from .prediction import Prediction, max_waiting, predict
from .retry_delay import retry_delay
from .slow_start import ServingTarget
from .timing import ConfiguredTiming, Timing

DEMAND_SMOOTHING = 0.15
"""Weight of the newest sample of requests in flight in the moving average. With one sample per
store poll, every 0.65 s, the average covers about four seconds, the duration of several streams."""

EXPECTED_DEMAND_WEIGHT = 0.4
"""Fraction of a model's expected groups that counts as occupied without any load. The expected
groups are those that all hosts could form, divided among the models by the configured traffic
shares. Before the first request this alone determines the demand; later it keeps small request
counts from changing the mix of models."""


_Targets = Mapping[str, Sequence[Candidate]]


class _DomainCandidates(NamedTuple):
    """The candidates of a domain by model, with the inputs that they were computed from."""

    plan: DomainPlan
    host_change: int
    by_model: Mapping[str, Sequence[Candidate]]


class ServingView:
    """Targets by service and model.

    Few of many domains change between two polls of the store, and only those are recomputed.
    Targets of evacuated data centres are kept apart: what still runs there counts as demand, and
    they serve again as soon as their data centre is taken back.

    :param timing: gets the configured timing, and returns the one that applies
    """

    def __init__(
        self,
        inventory: Inventory,
        plans: KeyedCopy[DomainPlan],
        rng: random.Random,
        evacuations: Evacuations | None = None,
        timing: Timing | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._timing: Timing = ConfiguredTiming() if timing is None else timing
        self._inventory = inventory
        self._plans = plans
        self._rng = rng
        self._candidates_by_key: dict[str, _DomainCandidates] = {}
        self._inputs: tuple[int, int, int, Catalog | None] | None = None
        self._open_by_model: Mapping[str, Sequence[Candidate]] = {}
        self._open_by_service: Mapping[str, Sequence[Candidate]] = {}
        self._evacuated_by_model: Mapping[str, Sequence[Candidate]] = {}
        self._evacuated_by_service: Mapping[str, Sequence[Candidate]] = {}
        self._by_model: Mapping[str, Sequence[Candidate]] = {}
        self._by_service: Mapping[str, Sequence[Candidate]] = {}
        self._target_by_address: Mapping[str, str] = {}
        self._demand_by_model: dict[str, float] = {}
        self._expected_by_model: Mapping[str, float] = {}
        self._slots = 1
        self.demand_history = DemandHistory()

    def refresh(self, catalog: Catalog | None) -> bool:
        """Recompute the targets if their inputs changed; return whether they did."""
        evacuated = 0 if self._evacuations is None else self._evacuations.changes
        inputs = (self._inventory.changes, self._plans.changes, evacuated, catalog)
        if (
            self._inputs is not None
            and inputs[:3] == self._inputs[:3]
            and catalog is self._inputs[3]
        ):
            return False
        self._inputs = inputs
        self._refresh_groups()
        self._refresh_plain_services(catalog)
        self._open_by_model, self._evacuated_by_model = self._split(self._by_model)
        self._open_by_service, self._evacuated_by_service = self._split(self._by_service)
        candidate_lists = (*self._by_model.values(), *self._by_service.values())
        self._target_by_address = {c.host.address: c.target for f in candidate_lists for c in f}
        return True

    def _split(self, targets: _Targets) -> tuple[_Targets, _Targets]:
        """Separate the targets that have a member in an evacuated data centre from the others."""
        evacuations = self._evacuations
        if evacuations is None or not evacuations.in_force:
            return targets, {}
        evacuated = {
            name: [c for c in candidates if evacuations.among(c.data_centres)]
            for name, candidates in targets.items()
        }
        apart = {c.target for candidates in evacuated.values() for c in candidates}
        others = {n: [c for c in found if c.target not in apart] for n, found in targets.items()}
        return others, evacuated

    def _refresh_groups(self) -> None:
        plan_by_key = self._plans.by_key
        self._candidates_by_key = {
            k: s for k, s in self._candidates_by_key.items() if k in plan_by_key
        }
        by_model: dict[str, list[Candidate]] = {}
        for key, plan in plan_by_key.items():
            for model, candidates in self._domain_candidates(key, plan).by_model.items():
                by_model.setdefault(model, []).extend(candidates)
        self._by_model = by_model

    def _domain_candidates(self, key: str, plan: DomainPlan) -> _DomainCandidates:
        host_change = self._inventory.last_change(plan.domain)
        cached = self._candidates_by_key.get(key)
        if cached is not None and cached.plan is plan and cached.host_change == host_change:
            return cached
        groups_by_model = serving_groups([plan], self._inventory)
        by_model = {
            model: [self._make_candidate(g) for g in groups]
            for model, groups in groups_by_model.items()
        }
        self._candidates_by_key[key] = computed = _DomainCandidates(plan, host_change, by_model)
        return computed

    def _make_candidate(self, group: ServingGroup) -> Candidate:
        head = group.head
        hosts = (self._inventory.by_instance.get(m) for m in group.group.members)
        elsewhere = {h.data_centre for h in hosts if h is not None} - {head.data_centre}
        return Candidate(group.group.name, head, _other_members(group), tuple(sorted(elsewhere)))

    def _refresh_plain_services(self, catalog: Catalog | None) -> None:
        plain: dict[str, list[Candidate]] = {}
        for host in self._inventory.in_domain("").values():
            if not host.leaving:
                plain.setdefault(host.service, []).append(Candidate(str(host.instance), host))
        if catalog is not None:
            # A host of an engine service that has no domain is not an engine. Treated as a plain
            # target, it would receive all requests of the service.
            for service in catalog.service_by_name.values():
                if service.engine is not None:
                    plain.pop(service.name, None)
            self._expected_by_model = self._expected_groups(catalog)
            self._timing.configure(_predict_all(catalog))
        self._by_service = plain

    def _expected_groups(self, catalog: Catalog) -> Mapping[str, float]:
        """Return how many groups of each model the hosts would form at the expected traffic shares.

        A traffic share is taken as a share of the hosts, whatever the size of the model.
        """
        expected: dict[str, float] = {}
        for service in catalog.service_by_name.values():
            if service.engine is None:
                continue
            models = service.engine.model_by_name.values()
            total_share = sum(m.share for m in models) or 1.0
            for model in models:
                groups_per_engine = model.share / total_share / max(1, model.hosts)
                expected[model.name] = self._inventory.engines(service.name) * groups_per_engine
        return expected

    def candidates(self, service: str, model: str) -> Sequence[Candidate]:
        """Return the targets of a service; for an engine service, those that serve the model.

        Targets of evacuated data centres are left out.
        """
        plain = self._open_by_service.get(service)
        if plain is not None:
            return plain
        return [c for c in self._open_by_model.get(model, ()) if c.host.service == service]

    def evacuated_candidates(self, service: str, model: str) -> Sequence[Candidate]:
        """Return the targets that :meth:`candidates` leaves out."""
        plain = self._evacuated_by_service.get(service)
        if plain is not None:
            return plain
        return [c for c in self._evacuated_by_model.get(model, ()) if c.host.service == service]

    def max_waiting(self, model: str, goal: float, now: float) -> float | None:
        """Return how many requests may queue at a group of a model, as a fraction of its slots.

        :param goal: seconds within which the last of them should receive its first event
        :return: ``None`` if the configuration has no timing parameters for the engine, and too few
            requests were observed
        """
        prediction = self._timing.prediction(model, now)
        if prediction is None:
            return None
        return max_waiting(prediction, goal, self._slots) / max(1, self._slots)

    def serving_targets(self) -> dict[str, ServingTarget]:
        """Return all targets of all services and models."""
        return {
            c.target: ServingTarget(subject, c.host.slots)
            for subject, candidates in (*self._by_service.items(), *self._by_model.items())
            for c in candidates
        }

    def target_at(self, address: str) -> str:
        """Return the key of the serving target at an address, empty for none."""
        return self._target_by_address.get(address, "")

    def prediction(self, model: str, now: float) -> Prediction | None:
        """Return the timing of a full group of a model, ``None`` if unknown."""
        return self._timing.prediction(model, now)

    def retry_delay(
        self,
        service: str,
        model: str,
        limited_for: float | None = None,
        backoff_left: float | None = None,
        backlog_for: float = 0.0,
    ) -> float:
        """Return the seconds after which a rejected caller may retry, with random jitter.

        :param limited_for: seconds until a target has capacity, if all of them are rate limited
        :param backoff_left: seconds until the first target may be tried, if this host backs off
            from all of them
        :param backlog_for: seconds until slots are left for the callers that were rejected before
        """
        serves = bool(self.candidates(service, model))
        return retry_delay(serves, self._rng, limited_for, backoff_left, backlog_for)

    def groups_by_model(self) -> dict[str, int]:
        """Return the number of serving groups by model."""
        return {model: len(groups) for model, groups in self._open_by_model.items()}

    def groups_beyond_demand(self) -> dict[str, float]:
        """Return by model how many more groups serve than its present demand needs."""
        models = self._by_model.keys() | self._demand_by_model.keys()
        needed = {m: UNDERSUPPLY_RATIO * self.demand_history.present(m) for m in models}
        return {m: round(len(self._open_by_model.get(m, ())) - n, 2) for m, n in needed.items()}

    def groups(self) -> Iterable[tuple[str, ...]]:
        """Return the incarnations of each serving group's members, the head first."""
        return (c.incarnations for candidates in self._by_model.values() for c in candidates)

    def targets(self) -> int:
        """Return the number of serving targets of all services and models."""
        candidate_lists = (*self._by_model.values(), *self._by_service.values())
        return sum(len(candidates) for candidates in candidate_lists)

    def update_demand(
        self,
        load: Callable[[str], int],
        rejections: Callable[[str], int],
        slots_lost_to_limits: Callable[[Candidate], float],
        now: float = 0.0,
    ) -> None:
        """Update the moving average and the history of the demand for each model.

        :param load: returns the requests in flight at a target
        :param rejections: returns the requests for a model rejected within the last second, which
            is about the duration of a request. Without them, a model whose last group is lost would
            appear to have no demand
        :param slots_lost_to_limits: returns the slots of a target that its rate limit leaves
            unused. They serve no requests, so other slots are needed in their place
        :param now: time of this sample
        """
        occupied_by_model: dict[str, float] = {}
        for model in self._by_model.keys() | self._demand_by_model.keys():
            candidates = self._by_model.get(model, ())
            slots = max((c.host.slots for c in candidates), default=self._slots)
            self._slots = slots
            requests = sum(
                load(c.target) + slots_lost_to_limits(c) for c in candidates
            ) + rejections(model)
            previous = self._demand_by_model.get(model, 0.0)
            occupied = requests / max(1, slots)
            self._demand_by_model[model] = previous + DEMAND_SMOOTHING * (occupied - previous)
            occupied_by_model[model] = occupied
        self.demand_history.record(occupied_by_model, self._demand_by_model, now)

    def demand(self, model: str) -> float:
        """Return a model's demand in groups: its occupancy plus the weighted expected share."""
        return EXPECTED_DEMAND_WEIGHT * self._expected_by_model.get(
            model, 0.0
        ) + self.occupied_groups(model)

    def occupied_groups(self, model: str) -> float:
        """Return how many groups of a model its requests occupy, as an average of some seconds."""
        return self._demand_by_model.get(model, 0.0)


def _other_members(group: ServingGroup) -> tuple[str, ...]:
    head = group.head.instance
    return tuple(str(member) for member in group.group.members if member != head)


def _predict_all(catalog: Catalog) -> dict[str, Prediction]:
    engines = [s.engine for s in catalog.service_by_name.values() if s.engine is not None]
    predictions = {m.name: predict(e, m) for e in engines for m in e.model_by_name.values()}
    return {name: prediction for name, prediction in predictions.items() if prediction is not None}
