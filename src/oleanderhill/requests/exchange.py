"""Driver of one request: carries out the effects of :class:`~.attempts.RequestMachine`.

The driver owns the request's sockets and timers. All events pass through one queue, except
:class:`~.attempts.Sending`, which the state machine must process before the first byte is sent.
Otherwise, a deadline handled in between would report "not run" for a request that was being sent.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful
from tornado.httputil import HTTPHeaders

from ..clients.httpcall import Call, FailureKind, HttpCaller, Observer, Reply
from ..clients.targets import TargetClient
from ..clock import LateTimer
from ..decisions import Decisions
from ..outcomes import Problem
from ..routing.identity import identity
from ..routing.router import Choice, NoChoice, Requirements
from ..routing.waiting import Waiter
from . import attempts
from .attempts import Effect, Event, Request, RequestMachine, RetryBudget
from .quarantine import RequestQuarantineTask
from .stall import EVENT_GAP_BOUNDS, FIRST_TOKEN_BOUNDS, StallTimeout

GROUP_HEADER = "X-Oleanderhill-Group"
RUN_HEADER = "X-Oleanderhill-Run"
RESUME_HEADER = "X-Resume-From"
PRIORITY_HEADER = "X-Priority"
NOT_STARTED_HEADER = "X-Not-Started"

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_EVENT_BYTES = 1024 * 1024

STALL_CHECK_INTERVAL = 0.25
"""Seconds between checks whether an attempt stalls."""


class Sink(Protocol):
    """Receives the answer of a request."""

    async def reply(self, reply: Reply) -> None:
        """Send a complete answer to the caller."""

    def write_events(self, chunk: bytes) -> Awaitable[None] | None:
        """Send complete stream events to the caller.

        :returns: ``None`` if the socket accepted them immediately, otherwise an awaitable that
            completes once it has
        """

    async def end(self) -> None:
        """End the stream."""

    async def fail(self, problem: Problem) -> None:
        """Send the final problem to the caller."""


class TargetFinder(Protocol):
    """Selects targets for requests: groups of a model, or targets of a plain service."""

    async def acquire(
        self, waiter: Waiter, requirements: Requirements, exclude: frozenset[str]
    ) -> Choice | NoChoice:
        """Select a target, waiting for free capacity. It must be released afterwards."""

    def release(self, account: str, choice: Choice, model: str, seconds: float) -> None:
        """Release a target that a request occupied for ``seconds``."""

    def may_send(self, choice: Choice, now: float) -> bool:
        """Return whether a request may be sent to the target at this moment."""

    def eject(self, choice: Choice, now: float) -> None:
        """Exclude a target that stalls or is unreachable from selection for a while."""

    def watch(self, attempt_id: str, choice: Choice, on_lost: Callable[[], None]) -> None:
        """Call ``on_lost`` when the target of an attempt can no longer answer."""

    def unwatch(self, attempt_id: str) -> None:
        """Stop watching the target of an attempt."""


class TargetRequest(NamedTuple):
    """A request to send to a target, with what is needed to select the target.

    :param headers: headers that are sent to the target
    :param forward_server_errors: a 5xx reply is forwarded as the answer, not treated as a loss
    """

    request: Request
    account: str
    requirements: Requirements
    priority: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    forward_server_errors: bool = False


class StallTimeouts:
    """The stall timeouts of all models."""

    def __init__(self) -> None:
        self._first_token_by_model: dict[str, StallTimeout] = {}
        self._event_gap_by_model: dict[str, StallTimeout] = {}

    def first_token(self, model: str) -> StallTimeout:
        """Return the timeout for the first token."""
        return self._first_token_by_model.setdefault(model, StallTimeout(FIRST_TOKEN_BOUNDS))

    def event_gap(self, model: str) -> StallTimeout:
        """Return the timeout between stream events."""
        return self._event_gap_by_model.setdefault(model, StallTimeout(EVENT_GAP_BOUNDS))


class Exchange:
    """Runs one request to a model's groups or to a plain service."""

    def __init__(
        self,
        outgoing: TargetRequest,
        sink: Sink,
        finder: TargetFinder,
        caller: HttpCaller,
        targets: TargetClient,
        budget: RetryBudget,
        stall_timeouts: StallTimeouts,
        decisions: Decisions,
        suspects: RequestQuarantineTask,
    ) -> None:
        self._outgoing = outgoing
        self._suspects = suspects
        self._identity = identity(
            outgoing.method, "", outgoing.path, outgoing.account, outgoing.body
        )
        self._sent_at = 0.0
        self._sink = sink
        self._finder = finder
        self._caller = caller
        self._targets = targets
        self._stall_timeouts = stall_timeouts
        self._decisions = decisions
        self._machine = RequestMachine(outgoing.request, budget)
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._attempt_task: asyncio.Task[None] | None = None
        self._select_task: asyncio.Task[None] | None = None
        self._selected: Choice | None = None
        self._selected_at = 0.0
        self._reply: Reply | None = None
        self._last_progress_at = 0.0
        self._timer = LateTimer()
        self._final_effects: list[Effect] = []
        self._cancel_tasks: list[asyncio.Task[None]] = []

    @property
    def machine(self) -> RequestMachine:
        """Return the state machine, whose execution status is recorded in the journal."""
        return self._machine

    @property
    def forward_server_errors(self) -> bool:
        """Return whether a 5xx reply is forwarded as the answer, not treated as a loss."""
        return self._outgoing.forward_server_errors

    def on_caller_disconnected(self) -> None:
        """Abort the request: the caller closed its connection."""
        self._events.put_nowait(attempts.CallerDisconnected())

    async def run(self) -> None:
        """Run the request until its final answer is sent."""
        loop = asyncio.get_running_loop()
        delay = max(0.0, self._outgoing.request.deadline - time.monotonic())
        timer = loop.call_later(delay, self._events.put_nowait, attempts.DeadlineHit())
        try:
            await self._apply(self._machine.start())
            while self._machine.phase != attempts.Phase.DONE:
                event = await self._next_event()
                await self._apply(self._machine.handle(event, time.monotonic()))
            await self._apply(self._final_effects)
        finally:
            timer.cancel()
            self._abandon_attempt()
            if self._select_task is not None:
                self._select_task.cancel()

    async def _next_event(self) -> Event:
        """Return the next event, or a :class:`~.attempts.Lost` event if the attempt stalls."""
        while True:
            due_at = time.monotonic() + STALL_CHECK_INTERVAL
            try:
                async with asyncio.timeout(STALL_CHECK_INTERVAL):
                    return await self._events.get()
            except TimeoutError:
                now = time.monotonic()
                if self._timer.extension(now - due_at, self._last_progress_at):
                    continue
                stalled = self._check_stall(now)
                if stalled is not None:
                    return stalled

    def _check_stall(self, now: float) -> Event | None:
        machine = self._machine
        if (
            machine.choice is None
            or self._attempt_task is None
            or not self._outgoing.request.idempotent
        ):
            return None
        model = self._outgoing.requirements.model
        if machine.phase == attempts.Phase.SENT and self._outgoing.request.stream:
            limit = self._stall_timeouts.first_token(model).limit()
        elif machine.phase == attempts.Phase.STREAMING:
            limit = self._stall_timeouts.event_gap(model).limit()
        else:
            return None
        waited = now - self._last_progress_at
        if waited <= limit:
            return None
        self._finder.eject(machine.choice, now)
        return attempts.Lost(machine.attempt, f"stalled for {waited:.1f} s, limit {limit:.1f} s")

    async def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case attempts.Select(exclude):
                    self._abandon_attempt()
                    self._select_task = asyncio.create_task(self._select_target(exclude))
                case attempts.Dispatch(number, choice, resume_from):
                    self._log_attempt(choice, number, resume_from)
                    self._last_progress_at = time.monotonic()
                    self._attempt_task = asyncio.create_task(
                        self._send(number, choice, resume_from)
                    )
                case attempts.Cancel(number, choice):
                    self._abandon_attempt()
                    attempt_id = self._attempt_id(number)
                    task = asyncio.create_task(
                        self._targets.cancel(choice.head.address, attempt_id)
                    )
                    self._cancel_tasks.append(task)
                case attempts.Deliver():
                    await self._deliver()
                case attempts.Fail(problem):
                    self._abandon_attempt()
                    text = f"{problem.kind}, ran {problem.ran.value}: {problem.detail}"
                    self._decisions.note("route", self._outgoing.request.request_id, text)
                    await self._sink.fail(problem)

    def _log_attempt(self, choice: Choice, number: int, resume_from: int) -> None:
        text = f"attempt {number} to {choice.group} epoch {choice.epoch} at {choice.head.host}"
        if resume_from:
            text += f" from offset {resume_from}"
        request_id = self._outgoing.request.request_id
        self._decisions.note("route", request_id, f"{text}: {choice.reason}", (choice.group,))

    def _quarantine_event(self) -> attempts.Quarantined | None:
        """Return the event that fails the request if it is quarantined."""
        problem = self._suspects.rejection_for(self._identity, self._machine.ran())
        return None if problem is None else attempts.Quarantined(problem)

    async def _select_target(self, exclude: frozenset[str]) -> None:
        quarantined = self._quarantine_event()
        if quarantined is not None:
            self._events.put_nowait(quarantined)
            return
        request = self._outgoing.request
        waiter = Waiter(
            request.request_id,
            self._outgoing.account,
            self._outgoing.priority,
            time.monotonic(),
            request.deadline,
        )
        result = await self._finder.acquire(waiter, self._outgoing.requirements, exclude)
        if isinstance(result, Choice):
            self._selected, self._selected_at = result, time.monotonic()
        self._events.put_nowait(attempts.Chosen(result))

    def _attempt_id(self, number: int) -> str:
        return f"{self._outgoing.request.request_id}.{number}"

    async def _send(self, number: int, choice: Choice, resume_from: int) -> None:
        attempt_id = self._attempt_id(number)
        observer = _AttemptObserver(self, number, choice)
        headers = {
            **self._outgoing.headers,
            GROUP_HEADER: f"{choice.group}@{choice.epoch}",
            RUN_HEADER: attempt_id,
            PRIORITY_HEADER: str(self._outgoing.priority),
        }
        if resume_from:
            headers[RESUME_HEADER] = str(resume_from)
        call = Call(
            choice.head.address,
            self._outgoing.method,
            self._outgoing.path,
            headers,
            self._outgoing.body,
            timeout=None,
        )
        self._finder.watch(attempt_id, choice, lambda: self._on_target_lost(number))
        try:
            result = await self._caller.call(call, observer)
        finally:
            self._finder.unwatch(attempt_id)
        if is_successful(result):
            self._events.put_nowait(observer.event_for_reply(result.unwrap(), attempt_id))
            return
        failure = result.failure()
        if not self._suspects.may_send(self._identity) and not failure.sent:
            self._events.put_nowait(
                self._quarantine_event() or attempts.ConnectFailed(number, "withheld")
            )
        elif failure.kind in (FailureKind.NOT_CONNECTED, FailureKind.WITHHELD):
            self._finder.eject(choice, time.monotonic())
            self._events.put_nowait(attempts.ConnectFailed(number, failure.reason))
        else:
            ran_for = time.monotonic() - self._sent_at
            request_id = self._outgoing.request.request_id
            self._suspects.record_lost_attempt(self._identity, request_id, choice.head, ran_for)
            self._events.put_nowait(attempts.Lost(number, failure.reason))

    def _on_target_lost(self, number: int) -> None:
        self._events.put_nowait(attempts.Lost(number, "the group is no longer whole"))

    def _abandon_attempt(self) -> None:
        if self._attempt_task is not None:
            self._attempt_task.cancel()
            self._attempt_task = None
        if self._selected is not None:
            seconds = time.monotonic() - self._selected_at
            self._finder.release(
                self._outgoing.account, self._selected, self._outgoing.requirements.model, seconds
            )
            self._selected = None

    async def _deliver(self) -> None:
        if self._reply is not None:
            await self._sink.reply(self._reply)
        else:
            await self._sink.end()
        self._abandon_attempt()

    # Called by _AttemptObserver.

    def begin_sending(self, number: int, choice: Choice) -> bool:
        """Return whether an attempt may be sent now; if so, record that sending begins."""
        machine = self._machine
        if machine.phase != attempts.Phase.CONNECTING or machine.attempt != number:
            return False
        now = time.monotonic()
        if now >= self._outgoing.request.deadline:
            return False
        if not self._finder.may_send(choice, now) or not self._suspects.may_send(self._identity):
            return False
        self._sent_at = now
        machine.handle(attempts.Sending(number), now)
        return True

    def record_progress(self, is_first: bool) -> None:
        """Record that stream events arrived."""
        now = time.monotonic()
        model = self._outgoing.requirements.model
        timeout = (
            self._stall_timeouts.first_token(model)
            if is_first
            else self._stall_timeouts.event_gap(model)
        )
        timeout.record(now - self._last_progress_at)
        self._last_progress_at = now

    def complete_stream(self, number: int) -> None:
        """Finish the request at its last stream event.

        The event is processed immediately, not through the queue. A deadline or a closed connection
        handled before it would add an error to a stream that the caller has received completely.
        """
        self._suspects.record_answer(self._identity)
        event = attempts.Finished(number)
        self._final_effects = self._machine.handle(event, time.monotonic())
        self._events.put_nowait(event)

    def forward(self, number: int, count: int, chunk: bytes) -> Awaitable[None] | None:
        """Forward complete stream events to the caller."""
        self._machine.handle(attempts.EventsReceived(number, count), time.monotonic())
        return self._sink.write_events(chunk)

    def store_reply(self, reply: Reply) -> None:
        """Store the complete answer of a request that is not streamed."""
        self._suspects.record_answer(self._identity)
        self._reply = reply

    def is_current(self, number: int) -> bool:
        """Return whether an attempt is the current one, whose answer may be forwarded."""
        return self._machine.attempt == number and self._machine.phase != attempts.Phase.DONE


class _AttemptObserver(Observer):
    """Observes one attempt: forwards complete stream events and buffers other bodies."""

    def __init__(self, exchange: Exchange, number: int, choice: Choice) -> None:
        self._exchange = exchange
        self._number = number
        self._choice = choice
        self._status = 0
        self._stream = False
        self._incomplete_event = b""
        self._body_chunks: list[bytes] = []
        self._has_forwarded = False

    def confirm_send(self) -> bool:
        return self._exchange.begin_sending(self._number, self._choice)

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        self._status = status
        kind = headers.get("Content-Type", "")
        self._stream = status == 200 and kind.startswith("text/event-stream")

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        if not self._stream:
            self._body_chunks.append(chunk)
            return None
        if not self._exchange.is_current(self._number):
            return None
        buffered = self._incomplete_event + chunk if self._incomplete_event else chunk
        end = buffered.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._incomplete_event = buffered
            return None
        # Only complete events are forwarded, so that the caller's offset is exact if the connection
        # breaks and another replica resumes the stream. They are counted, not parsed.
        ready, self._incomplete_event = buffered[:end], buffered[end:]
        self._exchange.record_progress(not self._has_forwarded)
        self._has_forwarded = True
        count = ready.count(EVENT_END)
        if DONE_EVENT not in ready:
            return self._exchange.forward(self._number, count, ready)
        sent = self._exchange.forward(self._number, count - 1, ready)
        self._exchange.complete_stream(self._number)
        return sent

    def event_for_reply(self, reply: Reply, attempt_id: str) -> Event:
        """Return the event for a completed HTTP exchange."""
        if reply.headers.get(RUN_HEADER, attempt_id) != attempt_id:
            return attempts.Lost(self._number, "the answer belongs to another request")
        if reply.headers.get(NOT_STARTED_HEADER):
            return attempts.NotStarted(self._number, f"refused with status {reply.status}")
        if self._stream:
            return attempts.Lost(self._number, "the stream ended before its last event")
        if reply.status >= 500 and not self._exchange.forward_server_errors:
            return attempts.Lost(self._number, f"status {reply.status}")
        self._exchange.store_reply(reply._replace(body=b"".join(self._body_chunks)))
        return attempts.Finished(self._number)
