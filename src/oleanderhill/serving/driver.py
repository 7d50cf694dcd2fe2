"""Drives one forwarded request from its arrival to its one final answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Mapping, Sequence
from typing import Any

from returns.pipeline import is_successful
from returns.result import Result
from tornado.httputil import HTTPHeaders

from ..clients.httpcall import Call, CallFailure, Reply
from ..outcomes import HELD_BACK, Problem, Ran, ends_targets
from ..requests.attempts import (
    Cancel,
    Chosen,
    ConnectFailed,
    DeadlineHit,
    Deliver,
    Dispatch,
    Effect,
    Fail,
    Finished,
    Lost,
    NotStarted,
    Piece,
    Quarantined,
    Request,
    RequestMachine,
    Select,
    Sending,
)
from ..requests.identity import identity
from ..routing.router import Choice, NoChoice
from ..routing.target_limits import Asked, Permit
from ..settings.catalog import Repeatable
from ..types import Member
from .admission import Accepted
from .events import EventOrder
from .forwarding import Notice, Reading
from .incoming import Incoming, Sink
from .patience import stall_after
from .placing import Candidate
from .retries import SharedRetryBudget
from .run import Run
from .standing import Room, Standing, room, standing
from .target_limits import Source
from .tools import Tools

CONNECT_TIMEOUT = 0.12
"""Seconds to connect to a target; within a region the way there and back is under 20 ms, and a
request that finds a dead one can still be on time elsewhere."""

QUARANTINED = "quarantined"


class Exchange:
    """One request.

    :param service: the service that takes it, drawn once from its route's backends
    :param returned: its caller was refused before and came back
    """

    def __init__(
        self,
        tools: Tools,
        incoming: Incoming,
        accepted: Accepted,
        service: str,
        budget: SharedRetryBudget,
        sink: Sink,
        returned: bool = False,
    ) -> None:
        self.tools = tools
        self._in = incoming
        self._accepted = accepted
        self._service = service
        self._returned = returned
        self._sink = sink
        route = accepted.route
        patience = incoming.facts.patience
        self._caller_until = incoming.arrived + (route.timeout if patience is None else patience)
        deadline = min(self._caller_until, incoming.arrived + route.timeout)
        stream = route.repeatable == Repeatable.STREAM
        request = Request(
            incoming.facts.request_id, route.may_run_again, stream, deadline, route.max_attempts
        )
        self.machine = RequestMachine(request, budget)
        self.order = EventOrder(incoming.facts.last_event)
        account = accepted.account.name if accepted.account is not None else ""
        self._identity = identity(
            incoming.method, incoming.headers.get("Host", ""), incoming.uri, account, incoming.body
        )
        self._fallback: Reply | None = None
        self._sent_at = 0.0
        self._cut = False
        self._first_event_at: float | None = None
        self._longest_pause = 0.0
        self._permit: Permit | None = None
        self._held_back = ""
        self._on_trial = False
        self._tried: set[str] = set()
        self._path: list[str] = []

    async def run(self) -> None:
        """Run the request to its final answer."""
        effects: list[Effect] = self.machine.start()
        while effects:
            effect, *rest = effects
            match effect:
                case Select():
                    effects = self._handle(self._selected())
                case Dispatch(attempt, choice, _):
                    effects = await self._attempt(attempt, choice)
                case Cancel():
                    effects = rest
                case Deliver():
                    self._deliver()
                    effects = rest
                case Fail(problem):
                    self._fail(problem)
                    effects = rest

    def pass_on(self, run: Run, data: bytes, events: int) -> Awaitable[None] | None:
        """Give whole events to the caller."""
        now = time.monotonic()
        if self._first_event_at is None:
            self._first_event_at = now
            # The first target's head stays, whoever writes the rest.
            headers = self.tools.codec.to_caller(run.reply_headers)
            self._sink.begin(run.status, headers)
        self.tools.book.progress(run.choice.group, now)
        self.tools.quarantine.progress(run.choice.head.boot_id)
        self.machine.handle(Piece(self.machine.attempt, events), now)
        return self._sink.write(data)

    def _handle(self, event: object) -> list[Effect]:
        return self.machine.handle(event, time.monotonic())  # type: ignore[arg-type]

    def sending(self) -> bool:
        """Tell whether the request may go to a target now, and take note that it does."""
        if not self.tools.quarantine.may_send(self._identity):
            return False
        now = time.monotonic()
        if self.machine.choice is not None:
            self._held_back = self.tools.notices.held_back(self.machine.choice.head.boot_id)
        if self._held_back:
            return False
        permit, self._permit = self._permit, None
        if permit is not None and not self.tools.book.limits.confirm(permit, now):
            self._held_back = "the target's limit was used up"
            return False
        self._sent_at = now
        self.machine.handle(Sending(self.machine.attempt), self._sent_at)
        return True

    def read_reply(self, status: int, headers: HTTPHeaders) -> Reading:
        """Return what a reply's status and headers mean for the request."""
        return self.tools.codec.read_reply(status, headers)

    def heard(self, run: Run, reading: Reading) -> None:
        """Take what the head of a reply says of its target."""
        if not reading.own:
            return
        life, notice = run.choice.head.boot_id, reading.notice
        source = Source(Asked.REQUEST, self._sent_at, self._in.facts.request_id)
        self.tools.notices.take(life, notice, source, conclusive=reading.sealed)
        if self._on_trial and not reading.not_run and not notice.backoff:
            self.tools.book.backoffs.trial_taken(life, time.monotonic())

    def _selected(self) -> Chosen | Quarantined:
        """Return the next target, unless targets are known to end under the request."""
        problem = self.tools.quarantine.problem(self._identity, self.machine.ran())
        return Chosen(self._choose()) if problem is None else Quarantined(problem)

    def _quarantined(self) -> list[Effect]:
        """Give up a request that was quarantined while it was on its way to a target or there."""
        ran = self.machine.ran()
        problem = self.tools.quarantine.problem(self._identity, ran) or ends_targets(0, ran)
        return self._handle(Quarantined(problem))

    def _choose(self) -> Choice | NoChoice:
        candidates = self.tools.candidates(self._service, self._in.facts.model)
        places = self._room().places
        now = time.monotonic()
        connected = self.tools.caller.keeps
        apart = self._cut or self.tools.quarantine.endings(self._identity) > 0
        found = self.tools.book.choose(candidates, self._tried, now, places, connected, apart)
        if found is None:
            full = bool(candidates)
            reason = self._fullness(candidates) if full else "no target serves"
            if not self.machine.arrived:
                self.tools.book.turn_away(self._in.facts.model, time.monotonic())
            return NoChoice(reason, full, full)
        self._permit = self.tools.book.limits.take(found.lives, now)
        self._on_trial = self.tools.book.backoffs.take(found.lives[0])
        host = found.host
        member = Member(host.instance.name, host.address, str(host.instance))
        return Choice(found.target, 0, member, host.data_centre, "least busy")

    def _fullness(self, candidates: Sequence[Candidate]) -> str:
        """Return why none of the targets takes the request: what was counted there."""
        now = time.monotonic()
        load = min(self.tools.book.load(c.target, now) for c in candidates)
        suspects = sum(self.tools.book.is_suspect(c.target, now) for c in candidates)
        limited = sum(self.tools.book.limits.is_limited(c.lives) for c in candidates)
        held_off = sum(not self.tools.book.backoffs.may_take(c.lives[0], now) for c in candidates)
        slots = candidates[0].host.slots
        return (
            f"no untried target has room: {len(candidates)} targets, {suspects} doubtful, "
            f"{limited} limited, {held_off} backed off from, "
            f"least busy {load} of {slots}, tried {len(self._tried)}"
        )

    def _stands(self) -> Standing:
        return standing(self._returned, self.machine.arrived, self._first_event_at is not None)

    def _room(self) -> Room:
        route = self._accepted.route
        waiting = self.tools.waiting(self._in.facts.model, route.goal)
        return room(self._stands(), route.generates, waiting)

    async def _attempt(self, attempt: int, choice: Choice) -> list[Effect]:
        book = self.tools.book
        self._tried.add(choice.group)
        self._path.append(f"{choice.group}:{choice.head.host}")
        book.begin(choice.group)
        run = Run(self, choice)
        task = asyncio.ensure_future(self.tools.caller.call(self._call(choice), run))
        told = self.tools.quarantine.begin(self._identity)
        try:
            stuck = await self._watch(task, told, run, choice)
            if stuck is None:
                return self._ended(task.result(), run, attempt, choice)
            return self._abandoned(stuck, attempt, choice)
        finally:
            task.cancel()
            self.tools.quarantine.end(self._identity, told)
            permit, self._permit = self._permit, None
            if permit is not None:
                book.limits.give_back(permit)
            if self._on_trial:
                book.backoffs.trial_ended(choice.head.boot_id)
            book.end(choice.group)
            self._longest_pause = max(self._longest_pause, run.longest_pause)

    def _call(self, choice: Choice) -> Call:
        now = time.monotonic()
        accepted = self._accepted
        account = accepted.account.name if accepted.account is not None else None
        rank = accepted.priority + self._room().urgency
        priority = rank if accepted.route.generates else None
        headers = self.tools.codec.to_target(
            self._in.headers,
            account,
            choice.head.host,
            self._caller_until - now,
            priority,
            self.order.last,
        )
        request_id = self._in.facts.request_id
        return Call(
            choice.head.address,
            self._in.method,
            self._in.uri,
            headers,
            self._in.body,
            timeout=None,
            reuse=True,
            unframed=True,
            belongs=lambda h: self.tools.codec.belongs(request_id, h),
            connect_timeout=CONNECT_TIMEOUT,
        )

    async def _watch(
        self,
        task: asyncio.Future[Result[Reply, CallFailure]],
        told: asyncio.Future[None],
        run: Run,
        choice: Choice,
    ) -> str | None:
        """Wait for an attempt's end; return why it is to be abandoned, ``None`` if it ended.

        :param told: done when the request is quarantined; cut then, it may spare this target
        """
        book = self.tools.book
        while True:
            now = time.monotonic()
            deadline = self.machine.request.deadline
            stall = stall_after(self._accepted.route, run.events > 0)
            next_look = min(deadline, max(run.progressed + stall, now + 0.02))
            wait = max(0.0, next_look - now)
            either: set[asyncio.Future[Any]] = {task, told}
            await asyncio.wait(either, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return None
            if told.done():
                return QUARANTINED
            now = time.monotonic()
            if now >= deadline:
                return "deadline"
            if run.fault:
                return run.fault
            idle = now - run.progressed >= stall
            if idle and not book.goes_on(choice.group, now, stall) and self._can_move(now):
                return f"no progress in {now - run.progressed:.3f} s"

    def _can_move(self, now: float) -> bool:
        if not self.machine.may_move(now):
            return False
        candidates = self.tools.candidates(self._service, self._in.facts.model)
        book = self.tools.book
        sound = [c for c in candidates if not book.is_suspect(c.target, now)]
        return book.choose(sound, self._tried, now, self._room().places) is not None

    def _abandoned(self, stuck: str, attempt: int, choice: Choice) -> list[Effect]:
        if stuck == "deadline":
            return self._handle(DeadlineHit())
        if stuck == QUARANTINED:
            return self._quarantined()
        self._suspect(choice, stuck)
        self._lost(choice)
        return self._handle(Lost(attempt, stuck))

    def _ended(
        self, result: Result[Reply, CallFailure], run: Run, attempt: int, choice: Choice
    ) -> list[Effect]:
        if run.withheld and self._held_back:
            reason, self._held_back = self._held_back, ""
            return self._handle(ConnectFailed(attempt, reason))
        if run.withheld:
            return self._quarantined()
        if not is_successful(result):
            failure = result.failure()
            self._suspect(choice, failure.reason)
            if not failure.sent:
                return self._handle(ConnectFailed(attempt, failure.reason))
            self._cut = True
            self._lost(choice)
            return self._handle(Lost(attempt, f"{failure.kind.value}: {failure.reason}"))
        reply = result.unwrap()
        reading = self.read_reply(reply.status, reply.headers)
        if reading.not_run:
            self._turned_away(choice, f"status {reply.status}", reading.notice)
            return self._handle(NotStarted(attempt, f"target said {reply.status}, not run"))
        if run.streaming and (run.fault or run.torn or not run.events):
            self._lost(choice)
            return self._handle(Lost(attempt, run.fault or "the stream was torn"))
        if not reading.sealed:
            return self._handle(Lost(attempt, f"status {reply.status} without a signature"))
        self.tools.quarantine.answered(self._identity, self._in.facts.request_id)
        if not run.streaming:
            reply = reply._replace(body=b"".join(run.chunks))
            if self._sink.begun:
                return self._handle(Lost(attempt, f"status {reply.status} in place of the rest"))
            self._fallback = reply
            if reply.status >= 500 and self._can_move(time.monotonic()):
                return self._handle(Lost(attempt, f"target failed with {reply.status}"))
        return self._handle(Finished(attempt))

    def _lost(self, choice: Choice) -> None:
        """Take note that the target may have ended with the request in flight."""
        ran_for = time.monotonic() - self._sent_at
        self.tools.quarantine.lost(self._identity, self._in.facts.request_id, choice.head, ran_for)

    def _turned_away(self, choice: Choice, reason: str, notice: Notice) -> None:
        """Take note of a refusal. One that says why is no sign that the target is unsound."""
        if notice.backoff:
            self._note_failure(choice, reason, notice.backoff)
        elif notice.limit is None:
            self._suspect(choice, reason)

    def _suspect(self, choice: Choice, reason: str) -> None:
        self._note_failure(choice, reason)
        self.tools.book.suspect(choice.group, time.monotonic())

    def _note_failure(self, choice: Choice, reason: str, backoff: float | None = None) -> None:
        suspected = self.tools.book.is_suspect(choice.group, time.monotonic())
        self.tools.records.request(
            self._in.facts.request_id,
            "attempt failed",
            False,
            same_as=self._identity,
            target=choice.group,
            instance=choice.head.boot_id,
            reason=reason,
            retry_after_s=backoff,
            was_suspect=suspected,
        )

    def _deliver(self) -> None:
        if self._sink.begun:
            self._sink.end()
            self._record("answered", True, 200)
            return
        reply = self._fallback
        assert reply is not None
        headers = self.tools.codec.to_caller(reply.headers)
        self._sink.reply(reply.status, headers, reply.body)
        self._record("answered", reply.status < 500, reply.status)

    def _fail(self, problem: Problem) -> None:
        if self._sink.begun:
            self._sink.cut()
            self._record("cut", False, problem.status, reason=problem.detail)
            return
        if self._fallback is not None:
            self._deliver()
            return
        problem = self._truthful(problem)
        self._sink.refuse(problem)
        self._record(problem.kind, False, problem.status, reason=problem.detail)

    def _truthful(self, problem: Problem) -> Problem:
        """Return a problem whose status promises no more than is known of the run."""
        if problem.retry_after is None:
            return problem  # no time to come back: it is final as it is
        if self.machine.ran() != Ran.NO:
            status = 504 if problem.status == 504 else 502
            return problem._replace(status=status, ran=Ran.UNKNOWN, retry_after=None)
        after = problem.retry_after
        if problem.kind != HELD_BACK:
            after = self.tools.come_back(self._service, self._in.facts.model)
        return problem._replace(status=503, ran=Ran.NO, retry_after=after)

    def _record(self, outcome: str, well: bool, status: int, **facts: object) -> None:
        now = time.monotonic()
        first = self._first_event_at
        shown: Mapping[str, object] = {
            "route": self._accepted.route.name,
            "status": status,
            "same_as": self._identity,
            "standing": self._stands().value,
            "path": self._path,
            "ms": round((now - self._in.arrived) * 1000),
            "first_ms": None if first is None else round((first - self._in.arrived) * 1000),
            "pause_ms": round(self._longest_pause * 1000),
            "goal_ms": round(self._accepted.route.goal * 1000),
            "last_event": self.order.last,
            **facts,
        }
        self.tools.records.request(self._in.facts.request_id, outcome, well, **shown)
        self.tools.report(self._accepted.route.name, outcome, now - self._in.arrived)
