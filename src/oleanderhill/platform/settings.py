"""Settings of a process as the platform fills them into ``deploy/settings.json``."""

from __future__ import annotations

import os
from typing import NamedTuple

import msgspec

from ..exceptions import BootFileError

SETTINGS_VARIABLE = "OLEANDERHILL_SETTINGS"


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # Bounds how long a removed key may still be used, by any host.
    revoke_ms: float = 5000.0
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 100.0
    ceiling_window_s: float = 5.0
    ceiling_factor: float = 1.1


class _Store(msgspec.Struct):
    address: str


class _Machine(msgspec.Struct, frozen=True):
    # Part of a core that this process has, and how many times as fast as others the core is.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    link_mbps: float = 0.0


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Store
    internal_port_range: tuple[int, int]
    # True only when the whole system starts for the first time.
    bootstrap: bool = False
    bounds: _Bounds = _Bounds()
    limits: _Machine = _Machine()


class EntrySettings(NamedTuple):
    """What an entry host on this platform is told.

    :param callers: ``ip:port`` for callers, ``balancer`` the one for questions of readiness
    :param peers: ``ip:port`` for datagrams of other entry hosts
    :param first_start: nothing has run before on this deployment
    :param strength: of this machine against others: parts of a core times Mbit/s of its link
    :param grace: seconds between the order to stop and the end; all bounds are in seconds
    """

    host: str
    ip: str
    data_centre: str
    callers: str
    balancer: str
    peers: str
    store: str
    first_start: bool
    grace: float
    key_removal: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    load_window: float
    load_factor: float
    strength: float = 0.0


def read_settings(path: str | None = None) -> EntrySettings:
    """Return the settings of this process.

    :param path: of the file; by default the one that the platform names
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
    )
