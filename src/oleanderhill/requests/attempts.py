"""State machine of one request, from its arrival to its single final answer, without I/O.

The driver passes in events and carries out the returned effects. Each event names its attempt, so
that a late answer of an abandoned attempt can't reach the caller. The execution status reported for
an interrupted request depends on two facts: whether bytes of the current attempt were sent
(``sent``), and whether an earlier attempt was lost after its bytes were sent (``maybe_ran``).
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from .. import outcomes
from ..outcomes import Problem, Ran
from ..routing.router import Choice, NoChoice

MAX_ATTEMPTS = 4
RETRY_AFTER_SECONDS = 2.0


class Phase(StrEnum):
    """Phase of a request, from its arrival to its final answer."""

    CHOOSING = "choosing"
    CONNECTING = "connecting"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"


class Request(NamedTuple):
    """The facts about a request that the state machine needs.

    :param idempotent: the request may be repeated when its outcome is unknown
    :param deadline: in local monotonic time
    :param max_attempts: maximum number of attempts that send bytes to a target
    """

    request_id: str
    idempotent: bool
    stream: bool
    deadline: float
    max_attempts: int = MAX_ATTEMPTS


# Events. ``attempt`` counts from 1.
class Chosen(NamedTuple):
    """The router's response to :class:`Select`."""

    result: Choice | NoChoice


class ConnectFailed(NamedTuple):
    """The connection could not be opened; nothing was sent."""

    attempt: int
    reason: str


class Sending(NamedTuple):
    """The first byte is about to be sent."""

    attempt: int


class NotStarted(NamedTuple):
    """The target reported explicitly that it did not start the request."""

    attempt: int
    reason: str


class EventsReceived(NamedTuple):
    """``events`` complete stream events arrived."""

    attempt: int
    events: int


class Finished(NamedTuple):
    """The complete answer arrived."""

    attempt: int


class Lost(NamedTuple):
    """The connection closed, stalled or gave an invalid answer after bytes were sent."""

    attempt: int
    reason: str


class Stalled(NamedTuple):
    """The target sends nothing. The attempt is held, and goes on if no other target takes it."""

    attempt: int
    reason: str


class HeldAnswers(NamedTuple):
    """The held attempt goes on, and the target of the current one has sent nothing yet."""

    attempt: int


class Taken(NamedTuple):
    """The target began to answer, so that the held attempt is not needed any more."""

    attempt: int


class DeadlineHit(NamedTuple):
    """The deadline passed."""


class CallerDisconnected(NamedTuple):
    """The caller closed its connection."""


class Quarantined(NamedTuple):
    """The request is quarantined, because targets crash when they run it."""

    problem: Problem


class Declined(NamedTuple):
    """The request was sent to no target, and this host sends it to none."""

    problem: Problem


# Effects.
class Select(NamedTuple):
    """Select a group outside ``exclude``."""

    exclude: frozenset[str]


class Dispatch(NamedTuple):
    """Send the request to a group, resuming its stream at offset ``resume_from``."""

    attempt: int
    choice: Choice
    resume_from: int


class Cancel(NamedTuple):
    """Abandon an attempt and cancel the request at its engine."""

    attempt: int
    choice: Choice


class Return(NamedTuple):
    """Go on with the held attempt, under a new number."""

    attempt: int
    choice: Choice


class Deliver(NamedTuple):
    """Send the caller the complete answer, or end its stream."""


class Fail(NamedTuple):
    """Send the caller the final problem; in a stream that has begun, as the last event."""

    problem: Problem


Event = (
    Chosen
    | ConnectFailed
    | Sending
    | NotStarted
    | EventsReceived
    | Finished
    | Lost
    | Stalled
    | HeldAnswers
    | Taken
    | DeadlineHit
    | CallerDisconnected
    | Quarantined
    | Declined
)
Effect = Select | Dispatch | Cancel | Return | Deliver | Fail


class Budget(Protocol):
    """Limits retries, that is, attempts after the first."""

    def remaining(self, now: float) -> float:
        """Return the number of retries available."""

    def take(self, now: float) -> bool:
        """Consume one retry; return whether one was available."""


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    Without the limit, when a domain becomes unreachable each of its requests is retried, and the
    remaining groups receive several times their normal load. Retries in proportion to requests keep
    the total load bounded.

    :param ratio: retries allowed per request
    :param floor: retries per second allowed at any request rate
    """

    MAX_TOKENS = 50.0

    def __init__(self, ratio: float = 0.2, floor: float = 5.0) -> None:
        self._ratio = ratio
        self._floor = floor
        self._tokens = self.MAX_TOKENS / 2
        self._refilled_at = 0.0

    def record_request(self) -> None:
        """Add the retry allowance of a new request."""
        self._tokens = min(self.MAX_TOKENS, self._tokens + self._ratio)

    def remaining(self, now: float) -> float:
        """Return the number of retries available."""
        self._tokens = min(
            self.MAX_TOKENS, self._tokens + self._floor * max(0.0, now - self._refilled_at)
        )
        self._refilled_at = now
        return self._tokens

    def take(self, now: float) -> bool:
        """Consume one retry; return whether one was available."""
        if self.remaining(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RequestMachine:
    """State machine of one request.

    :param budget: limits the attempts after the first
    :ivar held: target of the stalled attempt that may go on, ``None`` for none
    """

    def __init__(self, request: Request, budget: Budget) -> None:
        self.request = request
        self.phase = Phase.CHOOSING
        self.attempt = 0
        self.offset = 0
        self.sent = False
        self.maybe_ran = False
        self.attempts_sent = 0
        self.choice: Choice | None = None
        self.held: Choice | None = None
        self.tried: frozenset[str] = frozenset()
        self._budget = budget

    def start(self) -> list[Effect]:
        """Return the first effect."""
        return [Select(frozenset())]

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process an event and return its effects, none after the final answer."""
        if self.phase == Phase.DONE:
            return []
        if self._is_late(event):
            return []
        match event:
            case Chosen(result):
                return self._on_chosen(result)
            case Sending():
                self.sent = True
                self.attempts_sent += 1
                self.phase = Phase.SENT
                return []
            case EventsReceived(_, events):
                self.phase = Phase.STREAMING
                self.offset += events
                return []
            case Finished():
                return self._finish([Deliver()])
            case ConnectFailed(_, reason) | NotStarted(_, reason):
                return self._retry_unstarted(reason, now)
            case Lost(_, reason):
                return self._on_attempt_lost(reason, now)
            case Stalled(_, reason):
                return self._on_stalled(reason, now)
            case HeldAnswers():
                problem = outcomes.interrupted(Ran.UNKNOWN, "the earlier attempt goes on")
                return [*self._cancel(), *self._give_up(problem)]
            case Taken():
                self.held = None
                return []
            case DeadlineHit():
                return self._fail(outcomes.deadline_passed(self.ran()))
            case CallerDisconnected():
                return self._finish(self._cancel())
            case Quarantined(problem) | Declined(problem):
                return self._fail(problem)
        return []

    def ran(self) -> Ran:
        """Return the execution status to report if the request ended now without an answer."""
        return Ran.UNKNOWN if self.sent or self.maybe_ran else Ran.NO

    def may_retry_elsewhere(self, now: float) -> bool:
        """Return whether the request may move from a stalled target to another one."""
        if self.phase == Phase.DONE or self._attempts_exhausted(now):
            return False
        repeatable = self.request.idempotent or not self.sent
        return repeatable and (self.attempts_sent == 0 or self._budget.remaining(now) >= 1.0)

    def _attempts_exhausted(self, now: float) -> bool:
        """Return whether no further attempt is allowed.

        An attempt that sent nothing counts towards :data:`MAX_ATTEMPTS`, but not towards the
        request's ``max_attempts``, as it reached no target.
        """
        if self.attempt >= MAX_ATTEMPTS or now >= self.request.deadline:
            return True
        return self.attempts_sent >= self.request.max_attempts

    def _is_late(self, event: Event) -> bool:
        attempt = getattr(event, "attempt", None)
        return attempt is not None and attempt != self.attempt

    def _on_chosen(self, result: Choice | NoChoice) -> list[Effect]:
        if isinstance(result, NoChoice):
            problem = outcomes.no_capacity(result.reason, RETRY_AFTER_SECONDS)
            return self._give_up(problem._replace(ran=self.ran()))
        self.attempt += 1
        self.sent = False
        self.choice = result
        self.phase = Phase.CONNECTING
        return [Dispatch(self.attempt, result, self.offset)]

    def _retry_unstarted(self, reason: str, now: float) -> list[Effect]:
        """Retry elsewhere: the target did not run the request, so it need not be idempotent."""
        self.sent = False
        problem = outcomes.no_capacity(reason, RETRY_AFTER_SECONDS)
        return self._retry(problem._replace(ran=self.ran()), now)

    def _on_attempt_lost(self, reason: str, now: float) -> list[Effect]:
        if not self.sent:
            return self._retry_unstarted(reason, now)
        # Bytes were sent and no answer came, so a retry could run the request twice, for example
        # pay a bill twice. The caller immediately gets the status "unknown" and can decide whether
        # to retry.
        if not self.request.idempotent:
            return self._fail(outcomes.interrupted(Ran.UNKNOWN, reason))
        self.maybe_ran = True
        problem = outcomes.interrupted(Ran.UNKNOWN, reason)
        return [*self._cancel(), *self._retry(problem, now)]

    def _on_stalled(self, reason: str, now: float) -> list[Effect]:
        """Try another target; it may refuse the request, so this one is not given up before."""
        self.maybe_ran = True
        self.held = self.choice
        return self._retry(outcomes.interrupted(Ran.UNKNOWN, reason), now)

    def _give_up(self, problem: Problem) -> list[Effect]:
        """Fail the request, unless an attempt is held that may go on."""
        if self.held is None:
            return self._finish([Fail(problem)])
        self.attempt += 1
        self.choice, self.held = self.held, None
        self.sent, self.phase = True, Phase.SENT
        return [Return(self.attempt, self.choice)]

    def _retry(self, problem: Problem, now: float) -> list[Effect]:
        if self.choice is not None:
            self.tried = self.tried | {self.choice.target}
        if self._attempts_exhausted(now) or (self.attempts_sent > 0 and not self._budget.take(now)):
            return self._give_up(problem)
        self.phase = Phase.CHOOSING
        self.choice = None
        return [Select(self.tried)]

    def _cancel(self) -> list[Effect]:
        if self.choice is None or not self.sent:
            return []
        return [Cancel(self.attempt, self.choice)]

    def _fail(self, problem: Problem) -> list[Effect]:
        return self._finish([*self._cancel(), Fail(problem)])

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        self.phase = Phase.DONE
        return effects
