"""The message sent to the domain controllers when the plan changes."""

from __future__ import annotations

from typing import NamedTuple

from ..types import WantedGroup


class PlanChanged(NamedTuple):
    """The plan of this data centre or the groups wanted by the settings changed."""

    wanted_by_domain: dict[str, tuple[WantedGroup, ...]]
