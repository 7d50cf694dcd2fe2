"""Messages to other tasks about changes of the settings and the host list."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostEntry
from .fleet import Fleet


class FleetChanged(NamedTuple):
    """Sent when the settings in force change."""

    fleet: Fleet


class HostsChanged(NamedTuple):
    """Sent when the host list of this data centre changes."""

    hosts: tuple[HostEntry, ...]
