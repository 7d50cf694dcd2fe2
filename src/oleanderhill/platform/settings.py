"""Process settings, which the platform fills into ``deploy/settings.json``."""

from __future__ import annotations

import math
import os
from typing import NamedTuple

import msgspec

from ..exceptions import BootFileError
from ..machine_limits import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    client_connections,
    client_memory,
    peer_connections,
    reply_memory,
)
from ..serving.reply_memory import MAX_SHARED_BYTES

SETTINGS_VARIABLE = "OLEANDERHILL_SETTINGS"


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # Time after which no host may accept a removed key.
    revoke_ms: float = 5000.0
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 100.0
    ceiling_window_s: float = 5.0
    ceiling_factor: float = 1.1
    # Absent where the deployment has no evacuations.
    evacuate_ms: float | None = None
    cold_excess: float = 1.0
    cold_slack: float = 0.0


class _Platform(msgspec.Struct):
    address: str


class _ProcessLimits(msgspec.Struct, frozen=True):
    # ``cpu_share`` is the fraction of a core that this process may use, ``cpu_cores`` the speed of
    # that core relative to others.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    link_mbps: float = 0.0
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: float = DEFAULT_DESCRIPTORS


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Platform
    internal_port_range: tuple[int, int]
    # True only at the first start of the whole deployment.
    bootstrap: bool = False
    bounds: _Bounds = _Bounds()
    limits: _ProcessLimits = _ProcessLimits()


class EntrySettings(NamedTuple):
    """Settings of an entry host; all durations are in seconds.

    :param callers: ``ip:port`` on which requests of callers are served
    :param readiness_address: ``ip:port`` on which readiness probes of the load balancer are
        answered
    :param peers: ``ip:port`` for other entry hosts: gossip over UDP, relayed store reads over HTTP
    :param store: ``ip:port`` of the store
    :param first_start: whether this is the first start of the whole deployment
    :param grace_seconds: time between the stop signal and the forced end of the process
    :param key_removal_seconds: time after which a removed API key must be rejected everywhere
    :param evacuation_seconds: time after the acknowledgement of an evacuation after which nothing
        may be sent to the data centre, ``None`` if the deployment states none
    :param cold_excess: factor on the rate of a cold target in the bound on its requests in a second
    :param cold_slack: requests in that bound in addition
    :param client_memory: bytes that the connections of callers may hold
    :param client_connections: connections that callers may have
    :param reply_memory: bytes that replies of targets may keep
    :param peer_connections: connections that peers may have to one service
    :param strength: capacity for comparison with other hosts: CPU share times link rate in Mbit/s
    """

    host: str
    ip: str
    data_centre: str
    callers: str
    readiness_address: str
    peers: str
    store: str
    first_start: bool
    grace_seconds: float
    key_removal_seconds: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    load_window: float
    load_factor: float
    strength: float = 0.0
    evacuation_seconds: float | None = None
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    client_memory: float = math.inf
    client_connections: float = math.inf
    reply_memory: float = MAX_SHARED_BYTES
    peer_connections: float = math.inf


def read_settings(path: str | None = None) -> EntrySettings:
    """Read the settings of this process.

    :param path: path of the file; by default the value of :data:`SETTINGS_VARIABLE`
    :raises BootFileError: if the file is missing or malformed
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            found = msgspec.json.decode(file.read(), type=_Settings)
    except (OSError, msgspec.DecodeError) as error:
        raise BootFileError(path or f"${SETTINGS_VARIABLE}", str(error)) from error
    bounds, machine = found.bounds, found.limits
    return EntrySettings(
        found.node_name,
        found.ip,
        found.zone,
        found.listen.front,
        found.listen.ready,
        f"{found.ip}:{found.internal_port_range[0]}",
        found.platform.address,
        found.bootstrap,
        bounds.grace_s,
        bounds.revoke_ms / 1000,
        bounds.budget_ratio,
        bounds.budget_window_s,
        bounds.budget_slack,
        bounds.ceiling_window_s,
        bounds.ceiling_factor,
        machine.cpu_share * machine.cpu_cores * machine.link_mbps,
        None if bounds.evacuate_ms is None else bounds.evacuate_ms / 1000,
        # Without a usable bound, cold targets get no more than their rate.
        max(1.0, bounds.cold_excess),
        max(0.0, bounds.cold_slack),
        client_memory(machine.memory_mb),
        client_connections(machine.max_fds),
        reply_memory(machine.memory_mb),
        peer_connections(machine.max_fds),
    )
