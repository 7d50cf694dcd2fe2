"""Log lines and metrics of one forwarded request."""

from __future__ import annotations

import time
from enum import StrEnum

from ..routing.router import Choice
from .admission import Accepted
from .admission_class import AdmissionClass
from .context import ForwardingContext
from .incoming import Incoming
from .quarantine import Subjects
from .retries import BudgetState

OUTLASTED = "outlasted"
"""Outcome of a request that was under way when its process ended."""


class Arrival(StrEnum):
    """What is known of the arrival of an attempt at its target, as it stands in the path."""

    NONE = " not sent"
    UNKNOWN = " no reply"
    PROVEN = ""


class RequestLog:
    """Writes the lines of one request, with its path and times.

    :param service: service that handles the request
    :param subjects: equal for all requests that ask for the same
    """

    def __init__(
        self,
        context: ForwardingContext,
        incoming: Incoming,
        accepted: Accepted,
        service: str,
        subjects: Subjects,
    ) -> None:
        self._context = context
        self._incoming = incoming
        self._accepted = accepted
        self._service = service
        self._subjects = subjects
        self._places: list[str] = []
        self._arrivals: list[Arrival] = []
        self._retry_decided_at = incoming.arrived
        self._first_event_at: float | None = None
        self._longest_pause = 0.0

    def attempt_begun(self, choice: Choice) -> None:
        """Add the target of an attempt to the path."""
        self._places.append(f"{choice.group}:{choice.head.host}")
        self._arrivals.append(Arrival.NONE)

    def attempt_resumed(self, choice: Choice, replied: bool) -> None:
        """Add the target of an earlier attempt that the request returns to.

        :param replied: whether the target has begun to reply
        """
        self.attempt_begun(choice)
        self._arrivals[-1] = Arrival.PROVEN if replied else Arrival.UNKNOWN

    def path_taken(self, choice: Choice, via: str) -> None:
        """Record the entry host that passes the latest attempt on, empty for the own links."""
        place = f"{choice.group}:{choice.head.host}"
        self._places[-1] = f"{place} via {via}" if via else place

    def sent(self, choice: Choice, number: int) -> None:
        """Record that the latest attempt is being sent, and log it unless it is the first.

        :param number: number of attempts that were sent, with this one
        """
        self._arrivals[-1] = Arrival.UNKNOWN
        self._context.count_send(self._service, number > 1)
        if number == 1:
            return
        self._context.records.request(
            self._incoming.facts.request_id,
            "sent again",
            False,
            service=self._service,
            target=choice.group,
            instance=choice.head.boot_id,
            number=number,
            after_ms=round((time.monotonic() - self._retry_decided_at) * 1000),
        )

    def replied(self) -> None:
        """Record that the target of the latest attempt began to reply."""
        self._arrivals[-1] = Arrival.PROVEN

    def first_event(self, now: float) -> None:
        """Record the time of the first event."""
        self._first_event_at = now

    def paused(self, seconds: float) -> None:
        """Record the longest pause between events of an attempt."""
        self._longest_pause = max(self._longest_pause, seconds)

    def attempt_failed(self, choice: Choice, reason: str, backoff: float | None = None) -> None:
        """Log a failed attempt with what is known of its target and of the own links.

        :param backoff: seconds for which the target asked for a back-off
        """
        now = time.monotonic()
        heard = self._context.book.peer_progress_age(choice.group, now)
        self._context.records.request(
            self._incoming.facts.request_id,
            "attempt failed",
            False,
            same_as=self._subjects.request,
            target=choice.group,
            instance=choice.head.boot_id,
            reason=reason,
            retry_after_s=backoff,
            was_suspect=self._context.book.is_suspect(choice.group, now),
            unreachable=self._context.reachability.unreachable(now),
            peers_heard_s=None if heard is None else round(heard, 3),
        )

    def retry_decided(self, budget: BudgetState, taken: bool) -> None:
        """Log whether the retry budget of the service allowed another attempt, and why."""
        self._retry_decided_at = time.monotonic()
        own, pooled, age = budget.own, budget.pooled, budget.peers_age
        self._context.records.request(
            self._incoming.facts.request_id,
            "retry" if taken else "retry refused",
            False,
            service=self._service,
            remaining=round(budget.remaining, 2),
            own_requests=own.requests,
            own_retries=own.retries,
            pooled_hosts=pooled.hosts,
            pooled_requests=pooled.requests,
            pooled_retries=pooled.retries,
            peers_age_s=None if age is None else round(age, 3),
            lapsed=round(budget.lapsed, 2),
            hosts=budget.hosts,
        )
        self._context.count_retry(self._service, taken)

    def outlasted(self, deadline: float, last_event: int | None) -> None:
        """Log and count a request that is ended because the process ends.

        :param deadline: monotonic time until which it could have run
        """
        now, arrived = time.monotonic(), self._incoming.arrived
        requested_at = self._context.shutdown.requested_at
        self._context.records.request(
            self._incoming.facts.request_id,
            OUTLASTED,
            False,
            route=self._accepted.route.name,
            path=self._path(),
            ms=round((now - arrived) * 1000),
            deadline_left_ms=round((deadline - now) * 1000),
            after_stop_ms=None if requested_at is None else round((arrived - requested_at) * 1000),
            last_event=last_event,
        )
        self._context.report(self._accepted.route.name, OUTLASTED, now - arrived)

    def _path(self) -> list[str]:
        return [p + a for p, a in zip(self._places, self._arrivals, strict=True)]

    def ended(
        self,
        outcome: str,
        success: bool,
        status: int,
        standing: AdmissionClass,
        last_event: int | None,
        reason: str | None = None,
    ) -> None:
        """Log the end of the request, and count it in the metrics."""
        now, arrived, route = time.monotonic(), self._incoming.arrived, self._accepted.route
        first_at = self._first_event_at
        fields: dict[str, object] = {
            "route": route.name,
            "status": status,
            "same_as": self._subjects.request,
            "standing": standing.value,
            "path": self._path(),
            "ms": round((now - arrived) * 1000),
            "first_ms": None if first_at is None else round((first_at - arrived) * 1000),
            "pause_ms": round(self._longest_pause * 1000),
            "goal_ms": round(route.latency_goal * 1000),
            "last_event": last_event,
        }
        if reason is not None:
            fields["reason"] = reason
        if not success:
            fields["parts"] = self._subjects.parts
        self._context.records.request(self._incoming.facts.request_id, outcome, success, **fields)
        self._context.report(route.name, outcome, now - arrived)
