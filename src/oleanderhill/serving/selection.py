"""Selects the target of a request: admission first, then placement among the usable targets."""

from __future__ import annotations

import time
from collections.abc import Collection, Sequence
from typing import NamedTuple

from ..clock import boottime_seconds
from ..routing.paced_limits import Permit
from ..routing.router import NoChoice
from .admission_class import AdmissionClass
from .applicant import Applicant, Decision, Go, Refuse
from .context import ForwardingContext
from .placement import Candidate
from .pool_capacity import pool_of


class Selected(NamedTuple):
    """A selected target.

    :param permit: permission by the target's rate limits
    :param on_trial: whether the request is the trial after a back-off
    :param in_flight: requests known to be in flight there
    """

    candidate: Candidate
    permit: Permit | None
    on_trial: bool
    in_flight: int


class Attempting(NamedTuple):
    """State of a request that asks for a target.

    :param tried: targets that it was sent to or chosen for before
    :param max_load: load below which a target accepts it, as a multiple of its slots
    :param spread: whether to choose at random, as its last target may have crashed
    """

    admission_class: AdmissionClass
    tried: Collection[str]
    max_load: float
    spread: bool
    attempts_sent: int


class TargetSelection:
    """Selects the targets of one request.

    :param on_time_until: monotonic time until which the latency goal can be met
    :ivar pool: the model or plain service that admission decided about, empty before
    """

    def __init__(
        self,
        context: ForwardingContext,
        request_id: str,
        service: str,
        model: str,
        priority: int,
        account: str,
        on_time_until: float,
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._service = service
        self._model = model
        self._priority = priority
        self._account = account
        self._on_time_until = on_time_until
        self._chosen: Candidate | None = None
        self.pool = ""

    def select(self, attempting: Attempting) -> Selected | NoChoice:
        """Return a target, or why there is none."""
        now = time.monotonic()
        candidates = self._context.candidates(self._service, self._model)
        evacuated = self._still_open()
        decision = self._decide([*candidates, *evacuated], attempting, now)
        if isinstance(decision, Refuse):
            return self._no_choice(bool(candidates), decision.reason, attempting)
        found = self._place((decision.candidates, candidates, evacuated), attempting, now)
        if found is None:
            reason = (
                self._describe_no_capacity(candidates, attempting)
                if candidates
                else self._describe_none()
            )
            return self._no_choice(bool(candidates), reason, attempting)
        self._chosen = found
        book = self._context.book
        permit = book.limits.take(found.incarnations, now)
        on_trial = book.backoffs.take(found.incarnations[0])
        return Selected(found, permit, on_trial, book.load(found.target, now))

    def evacuation_reason(self) -> str:
        """Return that the data centre of the chosen target is evacuated, empty if it isn't."""
        if self._chosen is None:
            return ""
        evacuations, chosen = self._context.evacuations, self._chosen
        reason = evacuations.reason_to_skip(chosen.data_centres, boottime_seconds())
        if reason:
            self._context.records.request(
                self._request_id,
                "held back",
                False,
                target=chosen.target,
                data_centre=evacuations.among(chosen.data_centres),
                reason=reason,
            )
        return reason

    def _place(
        self, parts: Sequence[Sequence[Candidate]], attempting: Attempting, now: float
    ) -> Candidate | None:
        """Return a target of the first part that has one."""
        connected = self._context.caller.has_idle_connection
        for part in parts:
            found = part and self._context.book.choose(
                part, attempting.tried, now, attempting.max_load, connected, attempting.spread
            )
            if found:
                return found
        return None

    def _decide(
        self, candidates: Sequence[Candidate], attempting: Attempting, now: float
    ) -> Decision:
        """Return whether the request may be sent; one that was sent before may be sent again."""
        if not candidates or attempting.tried:
            return Go()
        self.pool = pool_of(candidates, self._model)
        applicant = Applicant(
            self.pool,
            self._priority,
            self._account,
            attempting.admission_class,
            self._on_time_until,
        )
        return self._context.admission.decide_for(applicant, self._model, candidates, now)

    def _still_open(self) -> Sequence[Candidate]:
        """Return the targets of evacuated data centres that may still take what has no other."""
        evacuations, now = self._context.evacuations, boottime_seconds()
        if not evacuations.handing_over(now):
            return ()
        found = self._context.evacuated_candidates(self._service, self._model)
        return [c for c in found if evacuations.may_send(c.data_centres, now)]

    def _no_choice(self, has_targets: bool, reason: str, attempting: Attempting) -> NoChoice:
        if not attempting.attempts_sent:
            self._context.book.count_rejection(self._model, time.monotonic())
        return NoChoice(reason, has_targets, has_targets)

    def _describe_none(self) -> str:
        """Describe why there is no target at all."""
        if not self._context.evacuated_candidates(self._service, self._model):
            return "no target serves"
        names = self._context.evacuations.names()
        return f"no target serves outside the evacuated data centres: {names}"

    def _describe_no_capacity(self, candidates: Sequence[Candidate], attempting: Attempting) -> str:
        """Describe why no target accepts the request, with the counts behind it."""
        now, book = time.monotonic(), self._context.book
        load = min(book.load(c.target, now) for c in candidates)
        doubtful = sum(book.is_avoided(c.target, now) for c in candidates)
        limited = sum(book.limits.is_limited(c.incarnations) for c in candidates)
        backed_off = sum(not book.backoffs.may_place(c.incarnations[0], now) for c in candidates)
        return (
            f"no untried target has room: {len(candidates)} targets, {doubtful} doubtful, "
            f"{limited} limited, {backed_off} backed off from, "
            f"least busy {load} of {candidates[0].host.slots}, tried {len(attempting.tried)}"
        )
