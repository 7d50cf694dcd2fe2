"""A request that asks for admission, the capacity that it competes for, and the decision."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .admission_class import AdmissionClass
from .placement import Candidate


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
    :param free: slots less the requests known to be in flight; negative if requests queue
    :param slot_rate: slots that become free a second while all are taken, infinite if unknown
    :param report_delay: seconds by which the counts of other entry hosts lag
    """

    slots: float
    free: float
    slot_rate: float
    report_delay: float


class Go(NamedTuple):
    """The request may be sent now.

    :param candidates: targets to choose among first, empty for all
    """

    candidates: Sequence[Candidate] = ()


class Refuse(NamedTuple):
    """The request is rejected.

    :param reason: the inputs behind the decision, for the log
    """

    reason: str


Decision = Go | Refuse
