"""What other tasks hear when settings or host list change."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostEntry
from .fleet import Fleet


class FleetChanged(NamedTuple):
    """The settings in force changed."""

    fleet: Fleet


class HostsChanged(NamedTuple):
    """The host list of this data centre changed."""

    hosts: tuple[HostEntry, ...]
