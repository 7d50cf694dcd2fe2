"""Admission classes of requests, and the queue limits that apply to each class.

Under overload, requests that are retried after a rejection are late in any case, and requests that
wait in a queue become late. Served in order of arrival, they would occupy every slot and make the
new requests behind them late too, so that the overload would outlast its cause. A group of an
engine therefore accepts no more requests than it runs at once, plus the few that are on time even
though they wait for a slot. It accepts late requests only where that leaves slots free for requests
that can still be on time. The limits apply to any shortage of capacity, whether groups were lost or
callers send more than all groups can serve. Without overload every request gets a slot immediately.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class AdmissionClass(StrEnum):
    """Admission class of a request."""

    BEGUN = "begun"
    """The caller has received part of the stream. It is on time if the stream resumes soon."""

    FRESH = "fresh"
    """The request can still be on time."""

    LATE = "late"
    """The request is a retry after a rejection, or was already sent to a target without success."""


class QueueLimit(NamedTuple):
    """Queue limit that applies to a request at a target.

    :param max_load: load below which a target accepts the request, as a multiple of its slots
    :param urgency: offset that is added to the priority of the request there; lower is more urgent
    """

    max_load: float
    urgency: int


ENGINE_QUEUE_LIMITS: Mapping[AdmissionClass, QueueLimit] = {
    # Is first in the engine's queue and starts when the next slot becomes free, after about 0.1 s.
    AdmissionClass.BEGUN: QueueLimit(1.8, -2),
    # Applies if the engine times are unknown. With thirteen slots, two requests may wait.
    AdmissionClass.FRESH: QueueLimit(1.1, 0),
    # Accepted only while four of thirteen slots are free, to leave some for requests that can be on
    # time.
    AdmissionClass.LATE: QueueLimit(0.7, 3),
}
"""Queue limits at a group of an engine."""

PLAIN_QUEUE_LIMITS: Mapping[AdmissionClass, QueueLimit] = {
    AdmissionClass.BEGUN: QueueLimit(1.8, 0),
    AdmissionClass.FRESH: QueueLimit(1.2, 0),
    AdmissionClass.LATE: QueueLimit(1.8, 0),
}
"""Queue limits at a plain target. It handles a request in tens of milliseconds, so a request that
waits for another one is still on time, and a late request hardly delays the others."""


def admission_class(is_retry: bool, attempts_sent: int, begun: bool) -> AdmissionClass:
    """Return the admission class of a request.

    :param is_retry: whether it is a retry after a rejection
    :param attempts_sent: number of targets that it was sent to
    :param begun: whether the caller has received the first event
    """
    if begun:
        return AdmissionClass.BEGUN
    return AdmissionClass.LATE if is_retry or attempts_sent else AdmissionClass.FRESH


def queue_limit(
    admission_class: AdmissionClass, generates: bool, waiting: float | None = None
) -> QueueLimit:
    """Return the queue limit for a request.

    :param generates: whether it runs in an engine, for a second or more
    :param waiting: number of requests that may queue such that the last one is still on time, as a
        fraction of the target's slots; ``None`` if unknown
    """
    if not generates:
        return PLAIN_QUEUE_LIMITS[admission_class]
    limit = ENGINE_QUEUE_LIMITS[admission_class]
    if admission_class == AdmissionClass.FRESH and waiting is not None:
        return limit._replace(max_load=1 + waiting)
    return limit
