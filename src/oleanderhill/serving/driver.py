"""Drives one forwarded request from its arrival to its single final response."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable
from functools import partial
from typing import Any, NamedTuple

from returns.pipeline import is_successful
from returns.result import Result
from tornado.httputil import HTTPHeaders

from ..clients.httpcall import Call, CallFailure, FailureKind, Reply
from ..clock import boottime_seconds
from ..outcomes import DRAINING, HELD_BACK, Problem, Ran, ends_targets, outlasting
from ..requests.attempts import (
    Cancel,
    Chosen,
    ConnectFailed,
    DeadlineHit,
    Declined,
    Deliver,
    Dispatch,
    Effect,
    EventsReceived,
    Fail,
    Finished,
    HeldAnswers,
    Lost,
    NotStarted,
    Quarantined,
    Request,
    RequestMachine,
    Return,
    Select,
    Sending,
    Stalled,
    Taken,
)
from ..routing.identity import identity
from ..routing.paced_limits import Permit
from ..routing.reachability import SILENCE_SECONDS, Heard
from ..routing.router import Choice, NoChoice
from ..routing.target_limits import CallKind
from ..settings.catalog import Repeatable
from ..types import Member
from .admission import Accepted
from .admission_class import AdmissionClass, QueueLimit, admission_class, queue_limit
from .attempt import Attempt
from .context import ForwardingContext
from .events import EventSequence
from .forwarding import Notice, ReplyInfo
from .incoming import Incoming, ResponseSink
from .placement import PLAIN_REQUEST_SECONDS, REQUEST_SECONDS
from .quarantine import WRITTEN_EVENTS, subjects_of
from .request_log import RequestLog
from .request_times import RequestTimes
from .retries import RecordedBudget, SharedRetryBudget
from .selection import Attempting, TargetSelection
from .stall_timeout import max_load_elsewhere, stall_timeout_for
from .target_limits import StatementSource

CONNECT_TIMEOUT = 0.12
"""Seconds to connect to a target. This is ample for a round trip within a region, under 20 ms, and
short enough that after an unreachable target another one can still meet the latency goal."""

QUARANTINED = "quarantined"

HELD_ANSWERS = "the earlier attempt goes on"

LINK_LOST = "the own link to the target is broken"

TARGET_DEADLINE_STATUS = 504
"""Status with which a target ends a request at its deadline; that does not show a fault."""


class _Running(NamedTuple):
    """An attempt that was begun."""

    run: Attempt
    task: asyncio.Future[Result[Reply, CallFailure]]
    began: float


class _Held(NamedTuple):
    """An attempt that stalled, while another target is asked."""

    running: _Running
    sent_at: float


class Exchange:
    """One forwarded request.

    :param service: service that handles the request, drawn once from the backends of its route
    :param is_retry: whether the request is a retry after a rejection
    """

    def __init__(
        self,
        context: ForwardingContext,
        incoming: Incoming,
        accepted: Accepted,
        service: str,
        budget: SharedRetryBudget,
        sink: ResponseSink,
        is_retry: bool = False,
    ) -> None:
        self.context = context
        self._incoming = incoming
        self._accepted = accepted
        self._service = service
        self._is_retry = is_retry
        self._sink = sink
        route = accepted.route
        caller_timeout = incoming.facts.caller_timeout
        self._caller_deadline = incoming.arrived + (
            route.timeout if caller_timeout is None else caller_timeout
        )
        deadline = min(self._caller_deadline, incoming.arrived + route.timeout)
        stream = route.repeatable == Repeatable.STREAM
        request = Request(
            incoming.facts.request_id, route.is_retryable, stream, deadline, route.max_attempts
        )
        self.order = EventSequence(incoming.facts.last_event)
        account = accepted.account.name if accepted.account is not None else ""
        content = identity(
            incoming.method, incoming.headers.get("Host", ""), incoming.uri, account, incoming.body
        )
        self._subjects = subjects_of(
            content, service, incoming.facts.model, incoming.facts.shared_parts
        )
        self._selection = TargetSelection(
            context,
            incoming.facts.request_id,
            service,
            incoming.facts.model,
            accepted.priority,
            account,
            incoming.arrived + route.latency_goal,
        )
        self._buffered_reply: Reply | None = None
        self._buffered_body: list[bytes] = []
        self._sent_at = 0.0
        subject = incoming.facts.model if route.generates else service
        self._times = RequestTimes(context.timing, subject, route.generates)
        self._connection_lost = False
        self._first_event_at: float | None = None
        self._permit: Permit | None = None
        self._hold_reason = ""
        self._on_trial = False
        self._target_failed = False
        self._held: _Held | None = None
        self._tried_targets: set[str] = set()
        self._lost_at_own_link: set[str] = set()
        self._ask_peers_about: set[str] = set()
        self._log = RequestLog(
            context, incoming._replace(body=b""), accepted, service, self._subjects
        )
        self._budget = RecordedBudget(budget, boottime_seconds, self._log.retry_decided)
        self.machine = RequestMachine(request, self._budget)

    async def run(self) -> None:
        """Run the request up to its final response."""
        try:
            await self._run()
        except asyncio.CancelledError:
            if self.context.shutdown.ending:
                self._log.outlasted(self.machine.request.deadline, self.order.last)
            raise
        finally:
            self._drop_held()
            self._budget.end()
            # Callbacks of the connections to targets refer to this object, in cycles that are
            # collected much later.
            self._buffered_reply, self._buffered_body = None, []
            self._incoming = self._incoming._replace(body=b"")

    async def _run(self) -> None:
        effects: list[Effect] = self.machine.start()
        while effects:
            effect, *rest = effects
            match effect:
                case Select():
                    effects = self._advance(self._select_target())
                case Dispatch(attempt, choice, _):
                    effects = await self._attempt(attempt, choice)
                case Return(attempt, choice):
                    effects = await self._return_to_held(attempt, choice)
                case Cancel():
                    effects = rest
                case Deliver():
                    self._deliver()
                    effects = rest
                case Fail(problem):
                    self._fail(problem)
                    effects = rest

    def forward_events(self, run: Attempt, data: bytes, events: int) -> Awaitable[None] | None:
        """Forward complete events to the caller."""
        now = time.monotonic()
        if self._first_event_at is None:
            self._first_event_at = now
            self._log.first_event(now)
            self._times.first_event(now)
            # The caller gets the first target's headers, also if another target resumes the stream.
            headers = self.context.codec.caller_reply_headers(run.reply_headers)
            self._sink.begin(run.status, headers)
        if events:
            self.context.book.progress(run.choice.group, now)
        if not run.via:
            self.context.reachability.data_received(now)
        self.context.quarantine.progress(run.choice.head.boot_id)
        if run.events - events < WRITTEN_EVENTS <= run.events:
            self.context.quarantine.written(self._subjects, self._incoming.facts.request_id)
        self.machine.handle(EventsReceived(self.machine.attempt, events), now)
        return self._sink.write(data)

    def _advance(self, event: object) -> list[Effect]:
        return self.machine.handle(event, time.monotonic())  # type: ignore[arg-type]

    def confirm_send(self) -> bool:
        """Return whether the request may be sent now, and if so record that it is sent."""
        if not self.context.quarantine.may_send(self._subjects):
            return False
        now = time.monotonic()
        if self.machine.choice is not None:
            self._hold_reason = (
                self.context.notices.reason_to_skip(self.machine.choice.head.boot_id)
                or self._selection.evacuation_reason()
            )
        if self._hold_reason:
            return False
        permit, self._permit = self._permit, None
        if permit is not None and not self.context.book.limits.confirm(permit, now):
            self._hold_reason = "the target's limit was used up"
            return False
        self._sent_at = self._times.sent_at = now
        self.machine.handle(Sending(self.machine.attempt), self._sent_at)
        if self.machine.choice is not None:
            self._log.sent(self.machine.choice, self.machine.attempts_sent)
        return True

    def read_reply(self, status: int, headers: HTTPHeaders) -> ReplyInfo:
        """Decode the status and headers of a reply."""
        return self.context.codec.read_reply(status, headers)

    def apply_notice(self, run: Attempt, reading: ReplyInfo) -> None:
        """Process the notice in the headers of a reply from the target."""
        sent_at = self._sent_at
        if run.held and self._held is not None:
            sent_at = self._held.sent_at
        else:
            self._log.replied()
            self._budget.end()
            if reading.signed and not reading.not_run:
                self._advance(Taken(self.machine.attempt))
                self._drop_held()
        if not reading.from_expected_target:
            return
        incarnation, notice = run.choice.head.boot_id, reading.notice
        source = StatementSource(CallKind.REQUEST, sent_at, self._incoming.facts.request_id)
        self.context.notices.apply(incarnation, notice, source, conclusive=reading.signed)
        if self._on_trial and not run.held and not reading.not_run and not notice.backoff:
            self.context.book.backoffs.trial_accepted(incarnation, time.monotonic())

    def _select_target(self) -> Chosen | Quarantined | Declined:
        """Return the next target, or the problem if the request is sent to none."""
        problem = self.context.quarantine.rejection_for(self._subjects, self.machine.ran())
        if problem is not None:
            return Quarantined(problem)
        problem = self._shutdown_problem()
        return Chosen(self._choose()) if problem is None else Declined(problem)

    def _shutdown_problem(self) -> Problem | None:
        """Return the problem of a request that may outlast this process, else ``None``."""
        now, shutdown = time.monotonic(), self.context.shutdown
        deadline = self.machine.request.deadline
        if shutdown.may_send(deadline, now, self.machine.ran() != Ran.NO):
            return None
        return outlasting(deadline - now, shutdown.ends_at - now)

    def _fail_quarantined(self) -> list[Effect]:
        """Fail a request that was quarantined while an attempt was being sent or was running."""
        ran = self.machine.ran()
        problem = self.context.quarantine.rejection_for(self._subjects, ran) or ends_targets(0, ran)
        return self._advance(Quarantined(problem))

    def _choose(self) -> Choice | NoChoice:
        spread = (
            self._connection_lost or self.context.quarantine.crash_count(self._subjects.request) > 0
        )
        attempting = Attempting(
            self._admission_class(),
            self._tried_targets,
            self._queue_limit().max_load,
            spread,
            self.machine.attempts_sent,
        )
        selected = self._selection.select(attempting)
        if isinstance(selected, NoChoice) and self._can_ask_peers():
            self._ask_peers_about |= self._lost_at_own_link
            tried = self._tried_targets = self._tried_targets - self._lost_at_own_link
            self._lost_at_own_link = set()
            selected = self._selection.select(attempting._replace(tried=tried))
        if isinstance(selected, NoChoice):
            return selected
        self._permit, self._on_trial = selected.permit, selected.on_trial
        host, target = selected.candidate.host, selected.candidate.target
        self._times.chosen(target, host.slots, selected.in_flight)
        member = Member(host.instance.name, host.address, str(host.instance))
        return Choice(target, 0, member, host.data_centre, "least busy")

    def _can_ask_peers(self) -> bool:
        """Return whether a target is left that only the link of this host may have failed."""
        return bool(self._lost_at_own_link)

    def _admission_class(self) -> AdmissionClass:
        return admission_class(
            self._is_retry, self.machine.attempts_sent, self._first_event_at is not None
        )

    def _queue_limit(self) -> QueueLimit:
        route = self._accepted.route
        waiting = self.context.max_waiting(self._incoming.facts.model, route.latency_goal)
        return queue_limit(self._admission_class(), route.generates, waiting)

    async def _attempt(self, attempt: int, choice: Choice) -> list[Effect]:
        self._tried_targets.add(choice.group)
        self._log.attempt_begun(choice)
        self.context.book.begin(choice.group)
        began = time.monotonic()
        run = Attempt(self, choice, self.context.reply_memory)
        calling = self.context.caller.call(
            self._call(choice),
            run,
            partial(self._set_path, run),
            choice.group in self._ask_peers_about,
        )
        running = _Running(run, asyncio.ensure_future(calling), began)
        return await self._follow(attempt, choice, running)

    async def _return_to_held(self, attempt: int, choice: Choice) -> list[Effect]:
        """Go on with the held attempt: no other target has begun to answer the request."""
        held, self._held = self._held, None
        assert held is not None
        self._log.attempt_resumed(choice, held.running.run.status > 0)
        self._on_trial = False
        # The time in which nothing was read tells nothing of the target.
        self._sent_at, self._times.sent_at = held.sent_at, None
        held.running.run.resume()
        return await self._follow(attempt, choice, held.running)

    def _drop_held(self) -> None:
        """Cancel the held attempt, if any."""
        held, self._held = self._held, None
        if held is not None:
            held.running.task.cancel()
            held.running.run.end()
            self.context.book.end(held.running.run.choice.group)

    async def _follow(self, attempt: int, choice: Choice, running: _Running) -> list[Effect]:
        """Follow an attempt up to its end, or until it is held or abandoned."""
        tracker = self.context.book
        run, task, began = running
        self._target_failed = False
        quarantined = self.context.quarantine.begin(self._subjects)
        try:
            abandon_reason = await self._wait_for_end(task, quarantined, run, choice)
            if abandon_reason is None:
                return self._handle_end(task.result(), run, attempt, choice)
            return self._handle_abandoned(abandon_reason, attempt, choice, running)
        finally:
            self.context.quarantine.end(self._subjects, quarantined)
            permit, self._permit = self._permit, None
            if permit is not None:
                tracker.limits.give_back(permit)
            if self._on_trial:
                tracker.backoffs.trial_ended(choice.head.boot_id)
            if not run.held:
                task.cancel()
                run.end()
                self._end_at_target(choice, began)
            self._log.paused(run.longest_pause)

    def _end_at_target(self, choice: Choice, began: float) -> None:
        """Stop counting an attempt as a request in flight."""
        if self._target_failed:
            generates = self._accepted.route.generates
            seconds = REQUEST_SECONDS if generates else PLAIN_REQUEST_SECONDS
            self.context.book.end_failed(choice.group, began + seconds)
        else:
            self.context.book.end(choice.group)

    def _set_path(self, run: Attempt, via: str) -> None:
        run.via = via
        self._log.path_taken(run.choice, via)

    def _call(self, choice: Choice) -> Call:
        now = time.monotonic()
        accepted = self._accepted
        account = accepted.account.name if accepted.account is not None else None
        urgency = accepted.priority + self._queue_limit().urgency
        priority = urgency if accepted.route.generates else None
        headers = self.context.codec.target_request_headers(
            self._incoming.headers,
            account,
            choice.head.host,
            self._caller_deadline - now,
            priority,
            self.order.last,
        )
        request_id = self._incoming.facts.request_id
        return Call(
            choice.head.address,
            self._incoming.method,
            self._incoming.uri,
            headers,
            self._incoming.body,
            timeout=None,
            reuse=True,
            accept_close_delimited=True,
            is_reply_to_call=lambda h: self.context.codec.is_reply_to(request_id, h),
            connect_timeout=CONNECT_TIMEOUT,
        )

    async def _wait_for_end(
        self,
        task: asyncio.Future[Result[Reply, CallFailure]],
        quarantined: asyncio.Future[None],
        run: Attempt,
        choice: Choice,
    ) -> str | None:
        """Wait for an attempt's end; return the reason to abandon it, ``None`` if it ended.

        :param quarantined: done when the request is quarantined; abandoning it may then save this
            target from a crash
        """
        tracker = self.context.book
        not_before = 0.0
        while True:
            now = time.monotonic()
            deadline = self.machine.request.deadline
            quantile = partial(self._times.time_quantile, now=now)
            stall_timeout = stall_timeout_for(self._accepted.route, run.events > 0, quantile)
            stalled_at = max(run.last_progress_at + stall_timeout, not_before)
            next_check = min(deadline, max(stalled_at, now + 0.02))
            wait = max(0.0, next_check - now)
            awaited: set[asyncio.Future[Any]] = {task, quarantined}
            if self._held is not None:
                awaited.add(self._held.running.run.goes_on)
            await asyncio.wait(awaited, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return None
            if quarantined.done():
                return QUARANTINED
            if self._held is not None and self._held.running.run.goes_on.done():
                return HELD_ANSWERS
            now = time.monotonic()
            if now >= deadline:
                return "deadline"
            if run.fault:
                return run.fault
            late = run.timer.extension(now - next_check, run.last_progress_at)
            not_before = max(not_before, now + min(late, stall_timeout))
            if now < not_before:
                continue
            idle = now - run.last_progress_at
            if self._hangs_at_own_link(run, choice, idle >= stall_timeout, idle, now):
                return LINK_LOST
            configured_timeout = stall_timeout_for(self._accepted.route, run.events > 0)
            if (
                idle >= stall_timeout
                and self.machine.sent
                and not tracker.recently_progressed(choice.group, now, stall_timeout)
                and self._can_retry_elsewhere(now, max_load_elsewhere(idle, configured_timeout))
            ):
                return f"no progress in {idle:.3f} s"

    def _hangs_at_own_link(
        self, run: Attempt, choice: Choice, stalled: bool, idle: float, now: float
    ) -> bool:
        """Return whether an attempt waits in vain since the link of this host is broken."""
        reachability = self.context.reachability
        if run.via or idle < SILENCE_SECONDS:
            return False
        heard = self.context.book.heard_by_peers(choice.group, now)
        if stalled and (heard == Heard.RUNNING or (heard == Heard.UNKNOWN and run.events)):
            reachability.stalled(choice.head.address, now, len(self.context.book.own))
        return reachability.hangs(choice.head.address) and self.machine.may_retry_elsewhere(now)

    def _can_retry_elsewhere(self, now: float, max_load: float = math.inf) -> bool:
        if not self.machine.may_retry_elsewhere(now):
            return False
        candidates = self.context.candidates(self._service, self._incoming.facts.model)
        tracker = self.context.book
        healthy = [c for c in candidates if not tracker.is_suspect(c.target, now)]
        return (
            tracker.choose(
                healthy, self._tried_targets, now, min(max_load, self._queue_limit().max_load)
            )
            is not None
        )

    def _handle_abandoned(
        self, abandon_reason: str, attempt: int, choice: Choice, running: _Running
    ) -> list[Effect]:
        run, now = running.run, time.monotonic()
        if abandon_reason == HELD_ANSWERS:
            self._log.attempt_failed(choice, abandon_reason)
            return self._advance(HeldAnswers(attempt))
        if abandon_reason != QUARANTINED:
            self._times.abandoned(now)
        if abandon_reason == "deadline":
            return self._advance(DeadlineHit())
        if abandon_reason == QUARANTINED:
            return self._fail_quarantined()
        if abandon_reason == LINK_LOST:
            self._lost_at_own_link.add(choice.group)
            self._log.attempt_failed(choice, abandon_reason)
            return self._advance(Lost(attempt, abandon_reason))
        timeout = stall_timeout_for(self._accepted.route, run.events > 0)
        if run.fault or self._times.shows_failure(now - run.last_progress_at, timeout, now):
            self._suspect(choice, abandon_reason)
        else:
            self._log.attempt_failed(choice, abandon_reason)
        self._record_possible_crash(choice, run)
        if run.fault or self._held is not None:
            return self._advance(Lost(attempt, abandon_reason))
        run.hold()
        self._held = _Held(running, self._sent_at)
        return self._advance(Stalled(attempt, abandon_reason))

    def _handle_end(
        self, result: Result[Reply, CallFailure], run: Attempt, attempt: int, choice: Choice
    ) -> list[Effect]:
        if run.not_sent and self._hold_reason:
            reason, self._hold_reason = self._hold_reason, ""
            return self._advance(ConnectFailed(attempt, reason))
        if run.not_sent:
            return self._fail_quarantined()
        if not is_successful(result):
            failure = result.failure()
            if failure.kind == FailureKind.PROXY_LOST:
                self._log.attempt_failed(choice, failure.reason)
                # A reply that the target broke off looks like one that the peer broke off.
                self._record_possible_crash(choice, run)
                return self._advance(Lost(attempt, f"{failure.kind.value}: {failure.reason}"))
            if not run.via and choice.group not in self._ask_peers_about:
                self._lost_at_own_link.add(choice.group)
            self._suspect(choice, failure.reason)
            if not failure.sent:
                return self._advance(ConnectFailed(attempt, failure.reason))
            self._connection_lost = True
            self._record_possible_crash(choice, run)
            return self._advance(Lost(attempt, f"{failure.kind.value}: {failure.reason}"))
        reply = result.unwrap()
        if run.via:
            self.context.book.progress(choice.group, time.monotonic())
        else:
            self.context.reachability.data_received(time.monotonic())
        reading = self.read_reply(reply.status, reply.headers)
        if reading.not_run:
            self._handle_rejection(choice, f"status {reply.status}", reading.notice)
            return self._advance(NotStarted(attempt, f"target said {reply.status}, not run"))
        if run.streaming and (run.fault or run.truncated or not run.events):
            self._record_possible_crash(choice, run)
            return self._advance(Lost(attempt, run.fault or "the stream was torn"))
        if not reading.signed:
            return self._advance(Lost(attempt, f"status {reply.status} without a signature"))
        self._record_answer(run)
        self._target_failed = reply.status >= 500 and reply.status != TARGET_DEADLINE_STATUS
        self.context.book.failing.record(choice.group, self._target_failed, time.monotonic())
        if run.streaming and self.machine.attempts_sent == 1:
            self._times.completed(time.monotonic())
        if not run.streaming:
            self._times.answered(reply.status, time.monotonic())
            self._buffered_body = run.take_body()
            if self._sink.started:
                return self._advance(Lost(attempt, f"status {reply.status} in place of the rest"))
            self._buffered_reply = reply
            if reply.status >= 500 and self._can_retry_elsewhere(time.monotonic()):
                return self._advance(Lost(attempt, f"target failed with {reply.status}"))
        return self._advance(Finished(attempt))

    def _record_answer(self, run: Attempt) -> None:
        """Record a complete answer, which shows that the request crashes no targets."""
        quarantine, request_id = self.context.quarantine, self._incoming.facts.request_id
        if run.events < WRITTEN_EVENTS:
            quarantine.written(self._subjects, request_id)
        quarantine.answered(self._subjects, request_id)

    def _record_possible_crash(self, choice: Choice, run: Attempt) -> None:
        """Record that the target may have crashed with the request in flight."""
        ran_for = time.monotonic() - self._sent_at
        request_id = self._incoming.facts.request_id
        self.context.quarantine.attempt_lost(
            self._subjects, request_id, choice.head, ran_for, run.events
        )

    def _handle_rejection(self, choice: Choice, reason: str, notice: Notice) -> None:
        """Record that a target rejected the request.

        The target becomes a suspect only if the rejection states no back-off and no rate limit.
        """
        if notice.backoff:
            self._log.attempt_failed(choice, reason, notice.backoff)
        elif notice.limit is None:
            self._suspect(choice, reason)

    def _suspect(self, choice: Choice, reason: str) -> None:
        self._log.attempt_failed(choice, reason)
        now = time.monotonic()
        blamed = self.context.reachability.blames_links(choice.head.address, now)
        self.context.book.suspect(choice.group, now, reported=not blamed)

    def _deliver(self) -> None:
        self.context.admission.completed(self._selection.pool, time.monotonic())
        if self._sink.started:
            self._sink.end()
            self._log_end("answered", True, 200)
            return
        reply = self._buffered_reply
        assert reply is not None
        headers = self.context.codec.caller_reply_headers(reply.headers)
        self._sink.reply(reply.status, headers, self._buffered_body)
        self._log_end("answered", reply.status < 500, reply.status)

    def _fail(self, problem: Problem) -> None:
        if self._sink.started:
            self._sink.abort()
            self._log_end("cut", False, problem.status, reason=problem.detail)
            return
        if self._buffered_reply is not None:
            self._deliver()
            return
        problem = self._without_unproven_claims(problem)
        self._sink.reject(problem)
        self._log_end(problem.kind, False, problem.status, reason=problem.detail)

    def _without_unproven_claims(self, problem: Problem) -> Problem:
        """Return the problem, adjusted to what is known about the execution.

        A retry time and status 503 remain only if no target ran the request. If one may have run
        it, the status is 502 or 504 without a retry time.
        """
        if problem.retry_after is None:
            return problem  # without a retry time, the problem is final as it is
        if self.machine.ran() != Ran.NO:
            status = 504 if problem.status == 504 else 502
            return problem._replace(status=status, ran=Ran.UNKNOWN, retry_after=None)
        after = problem.retry_after
        if problem.kind not in (DRAINING, HELD_BACK):
            after = self.context.retry_delay(self._service, self._incoming.facts.model)
        return problem._replace(status=503, ran=Ran.NO, retry_after=after)

    def _log_end(self, outcome: str, success: bool, status: int, reason: str | None = None) -> None:
        standing = self._admission_class()
        self._log.ended(outcome, success, status, standing, self.order.last, reason)
