"""Fuzzes the shutdown of an entry host in virtual time, and checks it with an oracle.

Requests of any length and deadline arrive before and after the stop signal, with bodies that come
late, at an event loop that is held up at times. Targets answer, reject or lose them, soon or late.
The oracle knows what callers and targets see, and checks that a request that was sent to a target
ends whole, by its target or by its deadline, or was sent while the balancer still handed out this
host, and that no request is refused that could have ended in time.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from oleanderhill.outcomes import DRAINING, Ran, outlasting
from oleanderhill.requests.attempts import (
    Chosen,
    DeadlineHit,
    Declined,
    Deliver,
    Dispatch,
    Effect,
    EventsReceived,
    Fail,
    Finished,
    Lost,
    NotStarted,
    Request,
    RequestMachine,
    RetryBudget,
    Select,
    Sending,
)
from oleanderhill.routing.router import Choice
from oleanderhill.serving.front import EXIT_MARGIN, STOP_LISTENING_AFTER
from oleanderhill.serving.shutdown import Shutdown
from oleanderhill.types import Member

REQUESTS = 300
"""Requests in a run."""

TRANSIT_SECONDS = 0.003
"""Seconds from a caller to the entry host."""

MAX_CONNECT_SECONDS = 0.12
"""Seconds, at most, to connect to a target."""

EXCUSED_SECONDS = 3.0
"""A request that was sent no later than this after the stop signal may be cut off by the end of the
process, if its target is at work in the last sixth of the grace period."""

LAST_PART = 1 / 6

MIN_GRACE, MAX_GRACE = 4.0, 20.0
"""Grace periods in seconds."""

MAX_HOLD_UP = 0.5
"""Seconds, at most, for which the event loop is held up."""

MAX_FIRST_HOLD_UP = 1.5
"""The same as the stop signal comes: a process may be held up by its start."""

HOLD_UPS = 6


class Ending(StrEnum):
    """How a target ends an attempt."""

    ANSWER = "answer"
    REJECTION = "rejection"
    LOSS = "loss"


class Outcome(StrEnum):
    """How a request ends for its caller."""

    UNREAD = "unread"
    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    ENDED = "ended by the process"


class Script(NamedTuple):
    """What a target does with an attempt.

    :param seconds: time from the send to the end
    :param connect: time to connect
    """

    ending: Ending
    seconds: float
    connect: float


class Sent(NamedTuple):
    """A request as its caller sends it. Times count from the stop signal.

    :param sent_at: when its head was sent
    :param whole_at: when its last byte was sent
    :param timeout: seconds to its deadline, that of the caller or of the route
    """

    sent_at: float
    whole_at: float
    timeout: float
    stream: bool
    idempotent: bool
    scripts: tuple[Script, ...]


class Ended(NamedTuple):
    """The end of a request.

    :param attempts: attempts that were sent to a target
    :param ran: attempts that a target did not reject
    :param refused_at: time of the decision to refuse it as the host shuts down, ``None`` for none
    """

    outcome: Outcome
    at: float
    attempts: int
    ran: int
    refused_at: float | None = None


class Loop(NamedTuple):
    """An event loop that is held up in some intervals, which don't overlap."""

    held_up: tuple[tuple[float, float], ...]

    def runs_at(self, at: float) -> float:
        """Return when what is due at a time is done."""
        return next((end for begin, end in self.held_up if begin <= at < end), at)


class Play:
    """One run with one seed.

    :ivar grace: grace period in seconds
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.grace = self._rng.choice([8.0, self._rng.uniform(MIN_GRACE, MAX_GRACE)])
        self._loop = Loop(tuple(self._hold_ups()))
        self.shutdown = Shutdown(self.grace - EXIT_MARGIN, STOP_LISTENING_AFTER)
        self._ends_at = self.grace

    def run(self) -> list[tuple[Sent, Ended]]:
        """Play all requests."""
        self.request_stop()
        self._ends_at = self._loop.runs_at(self.shutdown.ends_at)
        requests = [self._draw() for _ in range(REQUESTS)]
        return [(request, self._play(request)) for request in requests]

    def request_stop(self) -> None:
        """Note the stop signal at its time, though the event loop may be held up."""
        self.shutdown.request(0.0)

    def _hold_ups(self) -> list[tuple[float, float]]:
        rng, found = self._rng, []
        at = rng.uniform(-0.2, 0.0)
        for number in range(HOLD_UPS):
            length = rng.uniform(0.0, MAX_HOLD_UP if number else MAX_FIRST_HOLD_UP)
            found.append((at, at + length))
            at += length + rng.uniform(0.1, self.grace / 3)
        return found

    def _draw(self) -> Sent:
        rng = self._rng
        sent_at = rng.uniform(-6.0, self.grace)
        body = rng.choice([0.0, 0.0, 0.0, rng.uniform(0.0, 2.0)])
        timeout = min(rng.uniform(0.3, 12.0), rng.choice([2.0, 4.0, 8.0]))
        scripts = []
        for _ in range(3):
            ending = rng.choice([Ending.ANSWER, Ending.ANSWER, *Ending])
            seconds = rng.choice([rng.uniform(0.01, 0.5), rng.uniform(0.1, 10.0)])
            scripts.append(Script(ending, seconds, rng.uniform(0.0, MAX_CONNECT_SECONDS)))
        stream = rng.random() < 0.6
        idempotent = rng.random() < 0.6
        return Sent(sent_at, sent_at + body, timeout, stream, idempotent, tuple(scripts))

    def _play(self, sent: Sent) -> Ended:
        now = self._loop.runs_at(sent.whole_at + TRANSIT_SECONDS)
        if now >= self._ends_at:
            return Ended(Outcome.UNREAD, self._ends_at, 0, 0)
        deadline = sent.sent_at + TRANSIT_SECONDS + sent.timeout
        request = Request("request", sent.idempotent, sent.stream, deadline, 2)
        return _Exchange(self.shutdown, self._loop, self._ends_at, sent, request).run(now)


class _Exchange:
    """Carries out the effects of the machine of one request."""

    def __init__(
        self, shutdown: Shutdown, loop: Loop, ends_at: float, sent: Sent, request: Request
    ) -> None:
        self._shutdown = shutdown
        self._loop = loop
        self._ends_at = ends_at
        self._sent = sent
        self._machine = RequestMachine(request, RetryBudget())
        self._ran = 0
        self._refused_at: float | None = None

    def run(self, now: float) -> Ended:
        """Run the request from the time at which it is whole."""
        effects: Sequence[Effect] = self._machine.start()
        while True:
            for effect in effects:
                match effect:
                    case Select():
                        effects = self._select(now)
                        break
                    case Dispatch(attempt):
                        now, effects = self._attempt(attempt, now)
                        break
                    case Deliver():
                        return self._ended(Outcome.ANSWERED, now)
                    case Fail(problem):
                        refused = problem.status == 503 and self._machine.ran() == Ran.NO
                        return self._ended(Outcome.REFUSED if refused else Outcome.FAILED, now)
            else:
                return self._ended(Outcome.ENDED, now)

    def _ended(self, outcome: Outcome, now: float) -> Ended:
        sent = self._machine.attempts_sent
        return Ended(outcome, now, sent, self._ran, self._refused_at)

    def _select(self, now: float) -> list[Effect]:
        shutdown, machine = self._shutdown, self._machine
        deadline = machine.request.deadline
        if not shutdown.may_send(deadline, now, machine.ran() != Ran.NO):
            self._refused_at = now
            problem = outlasting(deadline - now, shutdown.ends_at - now)
            return machine.handle(Declined(problem), now)
        target = f"t{machine.attempt}"
        choice = Choice(target, 0, Member(target, "ip:1", target), "hall", "drawn")
        return machine.handle(Chosen(choice), now)

    def _attempt(self, attempt: int, now: float) -> tuple[float, list[Effect]]:
        """Play an attempt; return its end and the effects, none if the process ends before."""
        machine = self._machine
        script = self._sent.scripts[min(attempt, len(self._sent.scripts)) - 1]
        sent_at = self._loop.runs_at(now + script.connect)
        ends_at = self._loop.runs_at(sent_at + script.seconds)
        deadline = self._loop.runs_at(machine.request.deadline)
        if min(sent_at, deadline) >= self._ends_at:
            return self._ends_at, []
        if sent_at >= deadline:
            return deadline, machine.handle(DeadlineHit(), deadline)
        machine.handle(Sending(attempt), sent_at)
        self._ran += script.ending != Ending.REJECTION
        first_event_at = sent_at + script.seconds / 10
        if min(ends_at, deadline) >= self._ends_at:
            return self._ends_at, []
        if deadline <= ends_at:
            return deadline, machine.handle(DeadlineHit(), deadline)
        if script.ending == Ending.REJECTION:
            return ends_at, machine.handle(NotStarted(attempt, "rejected"), ends_at)
        if self._sent.stream:
            machine.handle(EventsReceived(attempt, 1), first_event_at)
        if script.ending == Ending.LOSS:
            return ends_at, machine.handle(Lost(attempt, "lost"), ends_at)
        return ends_at, machine.handle(Finished(attempt), ends_at)


def violations(play: Play, ended: Sequence[tuple[Sent, Ended]]) -> list[str]:
    """Return a message for each request whose end is not allowed."""
    found = []
    for sent, end in ended:
        problem = _problem(play.grace, sent, end)
        if problem:
            times = f"whole at {sent.whole_at:.3f}, timeout {sent.timeout:.3f}, end {end.at:.3f}"
            found.append(f"{problem}: {times}, {end.outcome}, {end.attempts} sent")
    return found


def _problem(grace: float, sent: Sent, end: Ended) -> str:
    deadline = sent.sent_at + TRANSIT_SECONDS + sent.timeout
    if end.at > grace:
        return "under way when the process is killed"
    if end.outcome == Outcome.ENDED and end.attempts and end.at < deadline:
        at_work = end.at >= grace * (1 - LAST_PART)
        if sent.whole_at > EXCUSED_SECONDS or not at_work:
            return "sent to a target and ended by the process"
    if end.outcome == Outcome.REFUSED and end.ran:
        return "refused as not run, and ran"
    if end.refused_at is not None:
        if end.refused_at < STOP_LISTENING_AFTER:
            return f"refused as {DRAINING} while its caller might come back"
        if deadline <= grace - EXIT_MARGIN:
            return f"refused as {DRAINING}, though it would end in time"
    return ""


def play(seed: int) -> tuple[Counter[str], list[str]]:
    """Play a seed; return the outcomes and the violations."""
    run = Play(seed)
    ended = run.run()
    return Counter(end.outcome for _, end in ended), violations(run, ended)


def main() -> int:
    """Run the seeds given on the command line as ``FIRST COUNT``; return the exit code."""
    first, count = (int(a) for a in (sys.argv[1:] or ["0", "50"])[:2])
    failed, outcomes = 0, Counter[str]()
    for seed in range(first, first + count):
        counted, messages = play(seed)
        outcomes += counted
        failed += bool(messages)
        for line in messages[:3]:
            print(f"shutdown: seed={seed} {line}", flush=True)
    shown = ", ".join(f"{outcome}={number}" for outcome, number in sorted(outcomes.items()))
    print(f"shutdown: seeds={count} failed={failed}; {shown}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
