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
    """Order a free host to join a group of which it is the only member, to speed up its next join.

    See :meth:`.spares.Spares.warm_up`.
    """

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


class Close(NamedTuple):
    """Order the head of a group to accept nothing more and to finish its requests."""

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
    given_up: tuple[str, ...] = ()
    """Names of the serving groups that it gives up for another model."""


Order = Join | Warm | Open | Close | Leave | Stage
Action = Order | Replan


class OrderOutcome(StrEnum):
    """Outcome of an order: carried out, or the reason why it was not.

    ``UNFIT``: the host's state does not allow the order. ``FENCED``: the host knows a later term
    or epoch. ``GONE``: another incarnation or host answers at the address. ``SILENT``: no usable
    answer.
    """

    DONE = "done"
    UNFIT = "unfit"
    FENCED = "fenced"
    GONE = "gone"
    SILENT = "silent"
    HELD_BACK = "held back"
    """Not sent, because the host asked for a back-off."""

    NO_PATH = "no path"
    """Not known to have reached the host, because of the links of this entry host or of a peer."""
