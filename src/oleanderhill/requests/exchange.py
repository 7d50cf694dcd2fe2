"""The driver of one request: carries out the effects of :class:`~.attempts.RequestMachine`.

The driver owns the request's sockets and timers. All events go through one queue, except
:class:`~.attempts.Sending`, which the machine must take in before the first byte leaves: a
deadline handled in between would otherwise tell the caller "not run" of a request on its way.
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
from ..decisions import Decisions
from ..outcomes import Problem
from ..routing.router import Choice, NoChoice, Wanted
from ..routing.waiting import Waiter
from . import attempts
from .attempts import Effect, Event, Request, RequestMachine, RetryBudget
from .identity import identity
from .stall import FIRST_TOKEN, GAP, StallClock
from .suspects import SuspectsTask

GROUP_HEADER = "X-Oleanderhill-Group"
RUN_HEADER = "X-Oleanderhill-Run"
RESUME_HEADER = "X-Resume-From"
PRIORITY_HEADER = "X-Priority"
NOT_STARTED_HEADER = "X-Not-Started"

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_EVENT = 1024 * 1024


class Sink(Protocol):
    """Where the answer goes."""

    async def reply(self, reply: Reply) -> None:
        """Give the caller a whole answer."""

    def piece(self, chunk: bytes) -> Awaitable[None] | None:
        """Give the caller whole stream events.

        :returns: ``None`` when the socket took them at once, else what to wait for
        """

    async def end(self) -> None:
        """End the stream."""

    async def fail(self, problem: Problem) -> None:
        """Give the caller the final problem."""


class Finder(Protocol):
    """Finds targets for requests: groups of a model, or the targets of a plain service."""

    async def acquire(
        self, waiter: Waiter, wanted: Wanted, exclude: frozenset[str]
    ) -> Choice | NoChoice:
        """Find a target, waiting for room; the caller releases it."""

    def release(self, account: str, choice: Choice, model: str, seconds: float) -> None:
        """Count the end of a request at its target, which it held for so many seconds."""

    def may_send(self, choice: Choice, now: float) -> bool:
        """Tell whether a request may go to the target at this very moment."""

    def eject(self, choice: Choice, now: float) -> None:
        """Keep a target that stalls or can't be reached from new requests for a while."""

    def watch(self, run: str, choice: Choice, broken: Callable[[], None]) -> None:
        """Call ``broken`` when the target of a run in flight can no longer answer."""

    def unwatch(self, run: str) -> None:
        """Stop watching for a run."""


class Work(NamedTuple):
    """A request as the driver needs it.

    :param headers: passed on to the target
    :param errors_are_answers: a 5xx reply is the target's answer, not a lost run
    """

    request: Request
    account: str
    wanted: Wanted
    priority: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    errors_are_answers: bool = False


class StallClocks:
    """The stall clocks of all models."""

    def __init__(self) -> None:
        self._first: dict[str, StallClock] = {}
        self._gap: dict[str, StallClock] = {}

    def first(self, model: str) -> StallClock:
        """Return the clock of waits for a first token."""
        return self._first.setdefault(model, StallClock(FIRST_TOKEN))

    def gap(self, model: str) -> StallClock:
        """Return the clock of waits between stream events."""
        return self._gap.setdefault(model, StallClock(GAP))


class Exchange:
    """One request to a model's groups or a plain service."""

    def __init__(
        self,
        work: Work,
        sink: Sink,
        finder: Finder,
        caller: HttpCaller,
        targets: TargetClient,
        budget: RetryBudget,
        clocks: StallClocks,
        decisions: Decisions,
        suspects: SuspectsTask,
    ) -> None:
        self._work = work
        self._suspects = suspects
        self._identity = identity(work.method, "", work.path, work.account, work.body)
        self._sent_at = 0.0
        self._sink = sink
        self._finder = finder
        self._caller = caller
        self._targets = targets
        self._clocks = clocks
        self._decisions = decisions
        self._machine = RequestMachine(work.request, budget)
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._attempt: asyncio.Task[None] | None = None
        self._choosing: asyncio.Task[None] | None = None
        self._held: Choice | None = None
        self._held_at = 0.0
        self._reply: Reply | None = None
        self._progress_at = 0.0
        self._final: list[Effect] = []
        self._cancelling: list[asyncio.Task[None]] = []

    @property
    def machine(self) -> RequestMachine:
        """Return the machine, for the journal to learn how the request ended."""
        return self._machine

    @property
    def errors_are_answers(self) -> bool:
        """Tell whether a 5xx reply is the target's answer."""
        return self._work.errors_are_answers

    def caller_gone(self) -> None:
        """Take note that the caller closed its connection."""
        self._events.put_nowait(attempts.CallerGone())

    async def run(self) -> None:
        """Run the request to its end."""
        loop = asyncio.get_running_loop()
        delay = max(0.0, self._work.request.deadline - time.monotonic())
        timer = loop.call_later(delay, self._events.put_nowait, attempts.DeadlineHit())
        try:
            await self._perform(self._machine.start())
            while self._machine.phase != attempts.Phase.DONE:
                event = await self._next_event()
                await self._perform(self._machine.handle(event, time.monotonic()))
            await self._perform(self._final)
        finally:
            timer.cancel()
            self._drop_attempt()
            if self._choosing is not None:
                self._choosing.cancel()

    async def _next_event(self) -> Event:
        """Wait for an event, or find that the attempt stalls."""
        while True:
            try:
                async with asyncio.timeout(0.25):
                    return await self._events.get()
            except TimeoutError:
                stalled = self._stalled(time.monotonic())
                if stalled is not None:
                    return stalled

    def _stalled(self, now: float) -> Event | None:
        machine = self._machine
        if machine.choice is None or self._attempt is None or not self._work.request.idempotent:
            return None
        model = self._work.wanted.model
        if machine.phase == attempts.Phase.SENT and self._work.request.stream:
            limit = self._clocks.first(model).limit()
        elif machine.phase == attempts.Phase.STREAMING:
            limit = self._clocks.gap(model).limit()
        else:
            return None
        waited = now - self._progress_at
        if waited <= limit:
            return None
        self._finder.eject(machine.choice, now)
        return attempts.Lost(machine.attempt, f"stalled for {waited:.1f} s, limit {limit:.1f} s")

    async def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case attempts.Select(exclude):
                    self._drop_attempt()
                    self._choosing = asyncio.create_task(self._choose(exclude))
                case attempts.Dispatch(number, choice, resume_from):
                    self._note(choice, number, resume_from)
                    self._progress_at = time.monotonic()
                    self._attempt = asyncio.create_task(self._send(number, choice, resume_from))
                case attempts.Cancel(number, choice):
                    self._drop_attempt()
                    run = self._run_id(number)
                    task = asyncio.create_task(self._targets.cancel(choice.head.address, run))
                    self._cancelling.append(task)
                case attempts.Deliver():
                    await self._deliver()
                case attempts.Fail(problem):
                    self._drop_attempt()
                    text = f"{problem.kind}, ran {problem.ran.value}: {problem.detail}"
                    self._decisions.note("route", self._work.request.request_id, text)
                    await self._sink.fail(problem)

    def _note(self, choice: Choice, number: int, resume_from: int) -> None:
        text = f"attempt {number} to {choice.group} epoch {choice.epoch} at {choice.head.host}"
        if resume_from:
            text += f" from offset {resume_from}"
        request_id = self._work.request.request_id
        self._decisions.note("route", request_id, f"{text}: {choice.reason}", (choice.group,))

    def _refusal(self) -> attempts.Quarantined | None:
        """Return the event of a request that is not sent, as targets end under it."""
        problem = self._suspects.problem(self._identity, self._machine.ran())
        return None if problem is None else attempts.Quarantined(problem)

    async def _choose(self, exclude: frozenset[str]) -> None:
        refusal = self._refusal()
        if refusal is not None:
            self._events.put_nowait(refusal)
            return
        request = self._work.request
        waiter = Waiter(
            request.request_id,
            self._work.account,
            self._work.priority,
            time.monotonic(),
            request.deadline,
        )
        result = await self._finder.acquire(waiter, self._work.wanted, exclude)
        if isinstance(result, Choice):
            self._held, self._held_at = result, time.monotonic()
        self._events.put_nowait(attempts.Chosen(result))

    def _run_id(self, number: int) -> str:
        return f"{self._work.request.request_id}.{number}"

    async def _send(self, number: int, choice: Choice, resume_from: int) -> None:
        run = self._run_id(number)
        observer = _AttemptObserver(self, number, choice)
        headers = {
            **self._work.headers,
            GROUP_HEADER: f"{choice.group}@{choice.epoch}",
            RUN_HEADER: run,
            PRIORITY_HEADER: str(self._work.priority),
        }
        if resume_from:
            headers[RESUME_HEADER] = str(resume_from)
        call = Call(
            choice.head.address,
            self._work.method,
            self._work.path,
            headers,
            self._work.body,
            timeout=None,
        )
        self._finder.watch(run, choice, lambda: self._broken(number))
        try:
            result = await self._caller.call(call, observer)
        finally:
            self._finder.unwatch(run)
        if is_successful(result):
            self._events.put_nowait(observer.judge(result.unwrap(), run))
            return
        failure = result.failure()
        if not self._suspects.may_send(self._identity) and not failure.sent:
            self._events.put_nowait(self._refusal() or attempts.ConnectFailed(number, "withheld"))
        elif failure.kind == FailureKind.NOT_CONNECTED:
            self._finder.eject(choice, time.monotonic())
            self._events.put_nowait(attempts.ConnectFailed(number, failure.reason))
        else:
            ran_for = time.monotonic() - self._sent_at
            request_id = self._work.request.request_id
            self._suspects.lost(self._identity, request_id, choice.head, ran_for)
            self._events.put_nowait(attempts.Lost(number, failure.reason))

    def _broken(self, number: int) -> None:
        self._events.put_nowait(attempts.Lost(number, "the group is no longer whole"))

    def _drop_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
        if self._held is not None:
            seconds = time.monotonic() - self._held_at
            self._finder.release(self._work.account, self._held, self._work.wanted.model, seconds)
            self._held = None

    async def _deliver(self) -> None:
        if self._reply is not None:
            await self._sink.reply(self._reply)
        else:
            await self._sink.end()
        self._drop_attempt()

    # Called by the observer

    def may_send(self, number: int, choice: Choice) -> bool:
        """Tell whether the bytes of an attempt may leave now, and take note that they do."""
        machine = self._machine
        if machine.phase != attempts.Phase.CONNECTING or machine.attempt != number:
            return False
        now = time.monotonic()
        if now >= self._work.request.deadline:
            return False
        if not self._finder.may_send(choice, now) or not self._suspects.may_send(self._identity):
            return False
        self._sent_at = now
        machine.handle(attempts.Sending(number), now)
        return True

    def progress(self, first: bool) -> None:
        """Take note that something arrived."""
        now = time.monotonic()
        model = self._work.wanted.model
        clock = self._clocks.first(model) if first else self._clocks.gap(model)
        clock.record(now - self._progress_at)
        self._progress_at = now

    def stream_complete(self, number: int) -> None:
        """Settle the request at its last stream event.

        Settled at once, not through the queue: a deadline or a closed connection handled before
        it would add an error to a stream that the caller has whole.
        """
        self._suspects.answered(self._identity)
        event = attempts.Finished(number)
        self._final = self._machine.handle(event, time.monotonic())
        self._events.put_nowait(event)

    def forward(self, number: int, count: int, chunk: bytes) -> Awaitable[None] | None:
        """Pass whole events on, unless the attempt was overtaken."""
        self._machine.handle(attempts.Piece(number, count), time.monotonic())
        return self._sink.piece(chunk)

    def keep(self, reply: Reply) -> None:
        """Keep the whole answer of a request without a stream."""
        self._suspects.answered(self._identity)
        self._reply = reply

    def is_current(self, number: int) -> bool:
        """Tell whether an attempt is the one that may answer."""
        return self._machine.attempt == number and self._machine.phase != attempts.Phase.DONE


class _AttemptObserver(Observer):
    """Watches one attempt: forwards whole stream events, keeps the rest."""

    def __init__(self, exchange: Exchange, number: int, choice: Choice) -> None:
        self._exchange = exchange
        self._number = number
        self._choice = choice
        self._status = 0
        self._stream = False
        self._tail = b""
        self._body: list[bytes] = []
        self._any = False

    def sending(self) -> bool:
        return self._exchange.may_send(self._number, self._choice)

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        self._status = status
        kind = headers.get("Content-Type", "")
        self._stream = status == 200 and kind.startswith("text/event-stream")

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        if not self._stream:
            self._body.append(chunk)
            return None
        if not self._exchange.is_current(self._number):
            return None
        whole = self._tail + chunk if self._tail else chunk
        end = whole.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._tail = whole
            return None
        # Only whole events go on, so that the caller's offset is exact when the stream is cut
        # and another replica resumes it. They are counted, not parsed.
        ready, self._tail = whole[:end], whole[end:]
        self._exchange.progress(not self._any)
        self._any = True
        count = ready.count(EVENT_END)
        if DONE_EVENT not in ready:
            return self._exchange.forward(self._number, count, ready)
        sent = self._exchange.forward(self._number, count - 1, ready)
        self._exchange.stream_complete(self._number)
        return sent

    def judge(self, reply: Reply, run: str) -> Event:
        """Return the event that a finished exchange amounts to."""
        if reply.headers.get(RUN_HEADER, run) != run:
            return attempts.Lost(self._number, "the answer belongs to another request")
        if reply.headers.get(NOT_STARTED_HEADER):
            return attempts.NotStarted(self._number, f"refused with status {reply.status}")
        if self._stream:
            return attempts.Lost(self._number, "the stream ended before its last event")
        if reply.status >= 500 and not self._exchange.errors_are_answers:
            return attempts.Lost(self._number, f"status {reply.status}")
        self._exchange.keep(reply._replace(body=b"".join(self._body)))
        return attempts.Finished(self._number)
