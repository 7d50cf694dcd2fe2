"""The configured routes, services and client accounts, and the lookup of a request's route.

A :class:`Catalog` is one complete, immutable version of the configuration, so that a request is
handled by the same version from start to end.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Repeatable(StrEnum):
    """Whether a route's requests may be sent again, and whether they are streams."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Backend(NamedTuple):
    """A service that receives a share of a route's requests, proportional to its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """A host and path prefix, with the services and the limits for the requests that match.

    :param timeout: seconds within which a request must be answered completely
    :param latency_goal: latency goal in seconds for the answer, or for the first event of a stream
    :param event_gap_goal: goal in seconds for the longest gap between two events of a stream, 0 for
        none
    :param priority: 0 is the most urgent
    :param public: whether requests need no API key
    :param resumable: whether a stream may be continued at another target
    :param generates: whether its requests run in an engine and name a model
    """

    name: str
    host: str
    prefix: str
    repeatable: Repeatable
    timeout: float
    latency_goal: float
    max_attempts: int
    priority: int
    public: bool
    backends: tuple[Backend, ...]
    resumable: bool = False
    event_gap_goal: float = 0.0
    generates: bool = False

    @property
    def is_retryable(self) -> bool:
        """Return whether a request with an unknown outcome may be sent again."""
        if self.repeatable == Repeatable.STREAM:
            return self.resumable
        return self.repeatable == Repeatable.IDEMPOTENT


class ModelProfile(NamedTuple):
    """The size, load and timing of a model in an engine service.

    :param hosts: hosts in one group
    :param share: its share of the service's work, 0 to 1
    :param pace: factor by which all times of its groups are multiplied
    :param load_seconds: time to load its weights from the weight store
    :param staged_seconds: time to load its weights from the host on which they are staged
    """

    name: str
    hosts: int
    share: float
    pace: float
    load_seconds: float
    staged_seconds: float


class EngineTiming(NamedTuple):
    """Timing of an engine's group in seconds, before the factor ``pace`` of its model.

    :param step: base time of a decoding step
    :param step_per_request: added to a step for each request that is generating
    :param step_per_context: added to a step for each context token of such a request
    :param steps: steps in a pass; each generating request emits one event per pass
    :param prefill_per_token: prefill time per token of a prompt
    :param mean_prompt_tokens: mean number of prompt tokens
    :param mean_answer_tokens: mean number of generated tokens
    """

    step: float
    step_per_request: float
    step_per_context: float
    steps: int
    prefill_per_token: float
    mean_prompt_tokens: float
    mean_answer_tokens: float


class EngineProfile(NamedTuple):
    """The configured capacity and timing of a service's engines.

    :param batch: requests that a group runs concurrently
    :param loads_per_second: model loads that may start per second, over all hosts
    :param loads_at_once: concurrent loads above which each load takes longer
    :param times: ``None`` if the configuration does not give them
    """

    batch: int
    loads_per_second: float
    loads_at_once: int
    model_by_name: Mapping[str, ModelProfile]
    times: EngineTiming | None = None


class ColdProfile(NamedTuple):
    """What targets of a service bear while they are cold.

    :param rate: requests a second from all entry hosts together, NaN if unreadable
    :param start_seconds: seconds for which a target is cold after its start, NaN if unreadable
    """

    rate: float
    start_seconds: float


class Service(NamedTuple):
    """A service and the settings its targets share.

    :param engine: ``None`` for a plain service
    :param cold: ``None`` if cold targets need no limit
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    cold: ColdProfile | None = None


class Account(NamedTuple):
    """A client account; its priority, if set, overrides the route's."""

    name: str
    priority: int | None


class ClientLimits(NamedTuple):
    """Limits of what a client may send, and how long it may take.

    :param head_bytes: maximum size of a request's head in bytes
    :param body_bytes: maximum size of its body in bytes
    :param head_seconds: seconds in which its head must arrive
    :param idle_seconds: seconds for which a connection may stay idle
    """

    head_bytes: int = 64 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_seconds: float = 10.0
    idle_seconds: float = 30.0


class Catalog(NamedTuple):
    """One version of the configuration.

    :param requires_key: whether requests to routes that are not public need an API key
    :param limits: limits of what clients may send
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    account_by_key: Mapping[str, Account]
    requires_key: bool
    limits: ClientLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path, or ``None``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def make_catalog(
    version: int,
    routes: list[Route],
    services: list[Service],
    account_by_key: Mapping[str, Account],
    requires_key: bool,
    limits: ClientLimits,
) -> Catalog:
    """Return a catalog, with the routes of each host ordered from longest to shortest prefix."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda r: -len(r.prefix))) for host, found in by_host.items()
    }
    by_name = {s.name: s for s in services}
    return Catalog(version, ordered, by_name, account_by_key, requires_key, limits)


def pick_backend(route: Route, rng: random.Random) -> str:
    """Return the service for a request, chosen at random by weight."""
    if len(route.backends) == 1:
        return route.backends[0].service
    weights = [b.weight for b in route.backends]
    return rng.choices(route.backends, weights)[0].service
