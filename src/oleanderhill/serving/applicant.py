"""A request that asks for admission, the capacity that it competes for, and the decision."""

from __future__ import annotations

from typing import NamedTuple

from .admission_class import AdmissionClass


class Applicant(NamedTuple):
    """A request that asks for admission to the targets of one model or plain service.

    :param pool: model of the request, or its service if that is a plain one
    :param priority: 0 is the most urgent; the account's overrides the route's
    :param account: client account, empty for none
    :param on_time_until: monotonic time until which its latency goal can be met
    """

    pool: str
    priority: int
    account: str
    admission_class: AdmissionClass
    on_time_until: float


class PoolCapacity(NamedTuple):
    """Capacity of the targets of one pool over all entry hosts.

    :param slots: requests that its usable targets run concurrently
    :param free: slots that are not taken by the requests known to be in flight
    :param slot_rate: slots that become free a second while all are taken
    :param report_delay: seconds by which the counts of other entry hosts lag
    """

    slots: float
    free: float
    slot_rate: float
    report_delay: float


class Go(NamedTuple):
    """The request may be sent now."""


class Wait(NamedTuple):
    """The request waits at the entry host and is decided again.

    :param until: monotonic time of the next decision at the latest
    """

    until: float


class Refuse(NamedTuple):
    """The request is rejected.

    :param retry_after: seconds after which its caller may retry
    :param reason: the inputs behind the decision, for the log
    """

    retry_after: float
    reason: str


Decision = Go | Wait | Refuse
