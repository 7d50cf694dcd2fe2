"""The operators' routes, services and client accounts, and how a request finds its own.

A :class:`Catalog` is one version of the configuration, whole and immutable, so that a request is
judged by one version from beginning to end.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Repeatable(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Backend(NamedTuple):
    """A service that takes a part of a route's requests, by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route.

    :param timeout: seconds after which a request must have its final answer
    :param goal: seconds within which an answer (of a stream: the first event) is on time
    :param pause_goal: longest seconds between two events of a stream that is on time, 0 for none
    :param priority: 0 is the most urgent
    :param public: needs no API key
    :param resumable: a stream may go on at another target
    :param generates: its requests run in an engine and name a model
    """

    name: str
    host: str
    prefix: str
    repeatable: Repeatable
    timeout: float
    goal: float
    max_attempts: int
    priority: int
    public: bool
    backends: tuple[Backend, ...]
    resumable: bool = False
    pause_goal: float = 0.0
    generates: bool = False

    @property
    def may_run_again(self) -> bool:
        """Tell whether a request whose outcome is unknown may be sent once more."""
        if self.repeatable == Repeatable.STREAM:
            return self.resumable
        return self.repeatable == Repeatable.IDEMPOTENT


class ModelShape(NamedTuple):
    """A model as an engine service runs it.

    :param hosts: hosts of one group
    :param share: its part of the work, 0 to 1
    :param pace: factor on all times of its groups
    :param load_seconds: to load its weights from the weight store
    :param staged_seconds: to take them from the host where they are staged
    """

    name: str
    hosts: int
    share: float
    pace: float
    load_seconds: float
    staged_seconds: float


class EngineTimes(NamedTuple):
    """How long an engine's group takes, in seconds, before the pace of its model.

    :param step: of a token step, ``step_per_writer`` more for each request that is writing and
        ``step_per_context`` for each token of its context
    :param steps: of a pass; each writer shows an event a pass
    :param read: to read a token of a prompt
    :param usual_prompt: tokens in the mean, ``usual_answer`` those written
    """

    step: float
    step_per_writer: float
    step_per_context: float
    steps: int
    read: float
    usual_prompt: float
    usual_answer: float


class EngineShape(NamedTuple):
    """What is known beforehand of the engines of a service.

    :param batch: requests that a group runs at once
    :param loads_per_second: loads that may begin in a second, over all hosts
    :param loads_at_once: loads beyond which each takes longer
    :param times: ``None`` where the configuration does not say
    """

    batch: int
    loads_per_second: float
    loads_at_once: int
    model_by_name: Mapping[str, ModelShape]
    times: EngineTimes | None = None


class Service(NamedTuple):
    """A service with its targets' common facts; ``engine`` is ``None`` for a plain one."""

    name: str
    max_connections: int
    engine: EngineShape | None = None


class Account(NamedTuple):
    """A client account; its priority, if it has one, goes before the route's."""

    name: str
    priority: int | None


class Catalog(NamedTuple):
    """One version of the configuration.

    :param max_body: bytes that a request's body may have
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    account_by_key: Mapping[str, Account]
    keyed: bool
    max_body: int

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path, ``None`` for no route."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def make_catalog(
    version: int,
    routes: list[Route],
    services: list[Service],
    account_by_key: Mapping[str, Account],
    keyed: bool,
    max_body: int,
) -> Catalog:
    """Return a catalog; routes of a host are ordered so that the longest prefix comes first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda r: -len(r.prefix))) for host, found in by_host.items()
    }
    by_name = {s.name: s for s in services}
    return Catalog(version, ordered, by_name, account_by_key, keyed, max_body)


def pick_backend(route: Route, rng: random.Random) -> str:
    """Return the service that takes this request, drawn by weight."""
    if len(route.backends) == 1:
        return route.backends[0].service
    weights = [b.weight for b in route.backends]
    return rng.choices(route.backends, weights)[0].service
