"""The need of each model, as seen from one domain: what its owner decides by.

All decisions of owners use the domains that :meth:`FleetCopy.available` returns, so a domain that
is not available is left out in one place.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from ..settings.catalog import ModelProfile
from .composing import ModelNeed
from .demand import DemandHistory
from .inventory import Instance, TargetHost
from .plans import DomainPlan, PlannedGroup

DRAIN_SECONDS = 3.0
"""Seconds from when a group is given up until its hosts are free: the delay until it is closed and
about two durations of a request."""

WINDOW_FACTOR = 2.0
"""A shortage is expected to last as long as it has lasted. Hosts that change models must serve for
at least as long as they serve nobody, so the shortage must have lasted for twice that."""

PEAK_SECONDS = 30.0
"""Seconds of which the highest demand counts as a model's own: two periods of a usual swing."""


class DomainState(NamedTuple):
    """What all owners read of a domain.

    :param hosts: number of its listed hosts that are not leaving
    :param free: number of those that are in no planned group
    :param count_by_model: number of planned groups by model
    :param available: whether its hosts and groups count: not if all its hosts are closed
    """

    plan: DomainPlan
    hosts: int
    free: int
    data_centre: str
    count_by_model: Mapping[str, int]
    available: bool = True

    def groups(self, model: str) -> int:
        """Return the number of planned groups of a model."""
        return self.count_by_model.get(model, 0)


_NO_HOSTS: Mapping[Instance, TargetHost] = MappingProxyType({})
_NONE_CLOSED: frozenset[Instance] = frozenset()

Fleet = Mapping[str, DomainState]
"""The available domains, by name."""


class DemandReader(NamedTuple):
    """What this entry host knows of the demand.

    :param expected: returns a model's demand from current and configured load, in groups
    :param filled: returns how many groups of a model its requests fill, as an average
    """

    expected: Callable[[str], float]
    filled: Callable[[str], float]
    history: DemandHistory


def domain_state(
    plan: DomainPlan,
    hosts: Mapping[Instance, TargetHost],
    closed: Collection[Instance] = frozenset(),
) -> DomainState:
    """Return the state of a domain with the listed hosts.

    :param closed: hosts in an evacuated data centre. They and their groups don't count
    """
    held = {i for g in plan.groups for i in g.members}
    staying = [i for i, h in hosts.items() if not h.leaving and i not in closed]
    free = sum(1 for i in staying if i not in held)
    counts = Counter(g.model for g in _open_groups(plan, closed))
    data_centre = data_centre_of(hosts.values())
    available = not hosts or any(i not in closed for i in hosts)
    return DomainState(plan, len(staying), free, data_centre, counts, available)


def _open_groups(plan: DomainPlan, closed: Collection[Instance]) -> list[PlannedGroup]:
    return [g for g in plan.groups if not any(i in closed for i in g.members)]


class _Inputs(NamedTuple):
    """What the state of a domain was computed from."""

    plan: DomainPlan
    hosts: Mapping[Instance, TargetHost]
    closed: Collection[Instance]


class FleetCopy:
    """The state of all domains, recomputed only for domains whose plan or hosts changed."""

    def __init__(self) -> None:
        self._inputs: dict[str, _Inputs] = {}
        self._states: dict[str, DomainState] = {}

    def available(
        self,
        plans: Iterable[DomainPlan],
        hosts_by_domain: Mapping[str, Mapping[Instance, TargetHost]],
        closed_of: Callable[[str], Collection[Instance]] | None = None,
    ) -> Fleet:
        """Return the state of the domains that count, valid until the next call.

        :param closed_of: returns the hosts of a domain that are in an evacuated data centre;
            ``None`` if there are none anywhere
        """
        seen = 0
        planned = {p.domain: p for p in plans}
        for domain, plan in planned.items():
            seen += 1
            closed = closed_of(domain) if closed_of else _NONE_CLOSED
            self._update(domain, _Inputs(plan, hosts_by_domain.get(domain, _NO_HOSTS), closed))
        for domain in hosts_by_domain.keys() - planned.keys():
            seen += 1
            closed = closed_of(domain) if closed_of else _NONE_CLOSED
            self._update(domain, _Inputs(DomainPlan(domain), hosts_by_domain[domain], closed))
        if seen < len(self._states):
            for domain in self._states.keys() - planned.keys() - hosts_by_domain.keys():
                del self._states[domain], self._inputs[domain]
        if closed_of is None:
            return self._states
        return {domain: state for domain, state in self._states.items() if state.available}

    def _update(self, domain: str, inputs: _Inputs) -> None:
        known = self._inputs.get(domain)
        if (
            known is None
            or known.plan is not inputs.plan
            or known.hosts is not inputs.hosts
            or known.closed is not inputs.closed
        ):
            self._inputs[domain] = inputs
            self._states[domain] = domain_state(*inputs)


def data_centre_of(hosts: Iterable[TargetHost]) -> str:
    """Return the data centre in which most hosts of a domain are, empty if there are none."""
    counts = Counter(h.data_centre for h in hosts)
    return max(sorted(counts), key=lambda d: counts[d], default="")


def model_needs(
    domain: str,
    models: Sequence[ModelProfile],
    fleet: Fleet,
    demand: DemandReader,
    loads_at_once: int,
    now: float,
) -> list[ModelNeed]:
    """Return the models with their demand, from the viewpoint of a domain."""
    data_centre = fleet[domain].data_centre if domain in fleet else None
    planned_near: dict[str, int] = {}
    planned_far: dict[str, int] = {}
    written = elsewhere = 0
    for name, (plan, _, _, where, counts, _) in fleet.items():
        if name == domain:
            continue
        # A domain without a plan holds no groups and does not count as another one.
        written += plan.term > 0
        if where != data_centre:
            elsewhere += 1
        by_model = planned_near if where == data_centre else planned_far
        for model, count in counts.items():
            by_model[model] = by_model.get(model, 0) + count
    planned = Counter(planned_near) + Counter(planned_far)
    return [
        _model_need(m, demand, loads_at_once, now)._replace(
            elsewhere=planned[m.name] / max(1, written),
            others=planned[m.name],
            near=planned_near.get(m.name, 0) if elsewhere else None,
        )
        for m in models
    ]


def _model_need(
    model: ModelProfile, demand: DemandReader, loads_at_once: int, now: float
) -> ModelNeed:
    history = demand.history
    rounds = math.ceil(model.hosts / max(1, loads_at_once))
    idle = DRAIN_SECONDS + model.load_seconds * rounds
    idle_staged = DRAIN_SECONDS + model.staged_seconds
    return ModelNeed(
        model.name,
        model.hosts,
        demand.expected(model.name),
        model.load_seconds,
        filled=demand.filled(model.name),
        pressing=history.present(model.name),
        lasting=history.lowest(model.name, WINDOW_FACTOR * idle, now),
        lasting_staged=history.lowest(model.name, WINDOW_FACTOR * idle_staged, now),
        peak=history.highest(model.name, PEAK_SECONDS, now),
    )
