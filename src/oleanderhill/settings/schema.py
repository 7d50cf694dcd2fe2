"""Types of the settings: the boot file of a process and the settings tree.

The tree has one subtree for the fleet and one for each team; each is stored and replaced as a
whole. :func:`.checking.json_schema` generates a JSON Schema for editors from these types.
"""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

from msgspec import Meta

FLEET_TEAM = "fleet"
"""Name of the subtree with the settings that all teams share."""

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
KeyHash = Annotated[str, Meta(pattern=r"^sha256:[0-9a-f]{64}$")]
Count = Annotated[int, Meta(ge=0, le=100_000)]
HostCount = Annotated[int, Meta(ge=1, le=64)]
Rate = Annotated[float, Meta(gt=0, le=1_000_000)]


class Listen(TypedDict):
    """Addresses on which an entry host listens."""

    callers: Address
    operators: Address
    peers: Address


class Boot(TypedDict):
    """Boot file of ``oleanderhill entry``: only what the platform does not provide.

    ``memory_mb`` and ``max_descriptors`` are those of the process; clients get shares of them.
    """

    host: Name
    data_centre: Name
    listen: Listen
    platform: Address
    peers: list[Address]
    operator_key_hash: KeyHash
    statsd: NotRequired[Address]
    log: NotRequired[str]
    memory_mb: NotRequired[Annotated[float, Meta(gt=0, le=10_000_000)]]
    max_descriptors: NotRequired[Annotated[int, Meta(gt=0, le=10_000_000)]]


class Operator(TypedDict):
    """An operator and the subtrees that it may change, ``*`` for all."""

    key_hash: KeyHash
    teams: list[str]


class FleetSettings(TypedDict):
    """Settings that all teams share.

    ``exchange_rate`` is the cost of one group-second of downtime in stranded host-seconds.
    ``host_budgets`` limits the hosts of a team in each data centre; it is enforced when hosts are
    allocated, so that no order of concurrent changes can exceed it.
    """

    exchange_rate: NotRequired[Rate]
    entry_hosts: NotRequired[HostCount]
    host_budgets: NotRequired[dict[Name, dict[Name, Count]]]
    operators: NotRequired[dict[Name, Operator]]
    domains_without_fencing: NotRequired[list[Name]]


class Version(TypedDict):
    """One version of a model."""

    weights_gb: Annotated[float, Meta(gt=0, le=100_000)]


class Model(TypedDict):
    """The versions and adapters of a model."""

    versions: dict[Name, Version]
    adapters: NotRequired[list[Name]]


class Group(TypedDict):
    """Serving groups with the same specification: each replica is a group of ``hosts`` hosts."""

    model: Name
    version: Name
    hosts: HostCount
    replicas: dict[Name, Count]
    adapters: NotRequired[list[Name]]
    priority: NotRequired[Annotated[int, Meta(ge=0, le=9)]]


class ServiceTarget(TypedDict):
    """One target of a plain service."""

    address: Address
    data_centre: Name


class PlainService(TypedDict):
    """A plain service. Requests to ``not_repeatable`` paths need an Idempotency-Key."""

    targets: list[ServiceTarget]
    not_repeatable: NotRequired[list[str]]


class Account(TypedDict):
    """A client account and the models and services that it may use."""

    key_hashes: list[KeyHash]
    models: NotRequired[list[Name]]
    services: NotRequired[list[Name]]
    requests_per_second: Rate
    priority: NotRequired[Annotated[int, Meta(ge=0, le=9)]]


class TeamSettings(TypedDict):
    """The settings of one team."""

    models: NotRequired[dict[Name, Model]]
    groups: NotRequired[dict[Name, Group]]
    services: NotRequired[dict[Name, PlainService]]
    accounts: NotRequired[dict[Name, Account]]
