"""What the owner of a fabric domain orders its hosts to do, and how an order ended."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .inventory import Instance
from .plans import DomainPlan, PlannedGroup


class Join(NamedTuple):
    """Order a host into a group."""

    group: PlannedGroup
    instance: Instance


class Warm(NamedTuple):
    """Order a free host into a group of its own, so that it joins the next one sooner."""

    group: PlannedGroup
    instance: Instance


class Open(NamedTuple):
    """Order a head to serve."""

    group: PlannedGroup
    instance: Instance


class Leave(NamedTuple):
    """Order a host out of a group, at once."""

    group: str
    epoch: int
    instance: Instance


class Stage(NamedTuple):
    """Order a host to load a model's weights, to have them at hand."""

    model: str
    instance: Instance


class Replan(NamedTuple):
    """Write a new plan before anything else is done."""

    plan: DomainPlan
    reason: str


Order = Join | Warm | Open | Leave | Stage
Action = Order | Replan


class OrderEnd(StrEnum):
    """How an order ended."""

    DONE = "done"
    UNFIT = "unfit"
    FENCED = "fenced"
    GONE = "gone"
    SILENT = "silent"
    HELD_BACK = "held back"
    """Not given: the host asked to be left alone for a time."""
