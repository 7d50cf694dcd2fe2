"""What the stewards hear when the plan changes."""

from __future__ import annotations

from typing import NamedTuple

from ..types import WantedGroup


class PlanChanged(NamedTuple):
    """The plan of this data centre changed, or what the settings want."""

    wanted_by_domain: dict[str, tuple[WantedGroup, ...]]
