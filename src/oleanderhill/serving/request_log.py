"""Log lines and metrics of one forwarded request."""

from __future__ import annotations

import time

from ..routing.router import Choice
from .admission import Accepted
from .admission_class import AdmissionClass
from .context import ForwardingContext
from .incoming import Incoming
from .quarantine import Subjects
from .retries import BudgetState


class RequestLog:
    """Writes the lines of one request, with its path and times.

    :param subjects: equal for all requests that ask for the same
    """

    def __init__(
        self, context: ForwardingContext, incoming: Incoming, accepted: Accepted, subjects: Subjects
    ) -> None:
        self._context = context
        self._incoming = incoming
        self._accepted = accepted
        self._subjects = subjects
        self._path: list[str] = []
        self._first_event_at: float | None = None
        self._longest_pause = 0.0

    def attempt_begun(self, choice: Choice) -> None:
        """Add the target of an attempt to the path."""
        self._path.append(f"{choice.group}:{choice.head.host}")

    def path_taken(self, choice: Choice, via: str) -> None:
        """Record the entry host that passes the latest attempt on, empty for the own links."""
        place = f"{choice.group}:{choice.head.host}"
        self._path[-1] = f"{place} via {via}" if via else place

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

    def retry_decided(self, service: str, budget: BudgetState, taken: bool) -> None:
        """Log whether the retry budget of a service allowed another attempt, and why."""
        own, pooled, age = budget.own, budget.pooled, budget.peers_age
        self._context.records.request(
            self._incoming.facts.request_id,
            "retry" if taken else "retry refused",
            False,
            service=service,
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
        self._context.count_retry(service, taken)

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
            "path": self._path,
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
