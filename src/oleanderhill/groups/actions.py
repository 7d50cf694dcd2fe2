"""Orders that the owner of a fabric domain sends to its hosts, and their outcomes."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .inventory import Instance
from .plans import DomainPlan, PlannedGroup


class Join(NamedTuple):
    """Order a host to join a group."""

    group: PlannedGroup
    instance: Instance


class Warm(NamedTuple):
    """Order a free host to join a group of its own, which makes its next join faster."""

    group: PlannedGroup
    instance: Instance


class Open(NamedTuple):
    """Order the head of a group to accept requests."""

    group: PlannedGroup
    instance: Instance


class Leave(NamedTuple):
    """Order a host to leave a group immediately."""

    group: str
    epoch: int
    instance: Instance


class Stage(NamedTuple):
    """Order a host to load a model's weights before it joins a group."""

    model: str
    instance: Instance


class Replan(NamedTuple):
    """Write a new plan to the store. Later decisions wait for the result."""

    plan: DomainPlan
    reason: str


Order = Join | Warm | Open | Leave | Stage
Action = Order | Replan


class OrderOutcome(StrEnum):
    """Outcome of an order."""

    DONE = "done"
    UNFIT = "unfit"
    FENCED = "fenced"
    GONE = "gone"
    SILENT = "silent"
    HELD_BACK = "held back"
    """Not sent, because the host asked for a back-off."""
