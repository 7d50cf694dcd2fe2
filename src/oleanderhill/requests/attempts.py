"""The life of one request: a pure state machine from arrival to its single final answer.

The driver feeds it events and carries out the effects. Events name the attempt they belong to, so
a late answer of an abandoned attempt can't reach the caller. What the caller may be told of an
interrupted request follows from two facts: whether bytes of this attempt have left (``sent``), and
whether an earlier attempt was lost after its bytes had left (``maybe_ran``).
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from .. import outcomes
from ..outcomes import Problem, Ran
from ..routing.router import Choice, NoChoice

MAX_ATTEMPTS = 4
COME_BACK_SECONDS = 2.0


class Phase(StrEnum):
    """Where a request stands."""

    CHOOSING = "choosing"
    CONNECTING = "connecting"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"


class Request(NamedTuple):
    """What the machine needs to know of a request.

    :param idempotent: it may be run again when its outcome is unknown
    :param deadline: local monotonic time
    :param max_attempts: targets that it may reach
    """

    request_id: str
    idempotent: bool
    stream: bool
    deadline: float
    max_attempts: int = MAX_ATTEMPTS


# Events. ``attempt`` counts from 1.
class Chosen(NamedTuple):
    """The router's answer to :class:`Select`."""

    result: Choice | NoChoice


class ConnectFailed(NamedTuple):
    """No connection came about: nothing was sent."""

    attempt: int
    reason: str


class Sending(NamedTuple):
    """The first byte is about to leave."""

    attempt: int


class NotStarted(NamedTuple):
    """The target said, in so many words, that it did not start the request."""

    attempt: int
    reason: str


class Piece(NamedTuple):
    """Complete stream events arrived, ``events`` of them."""

    attempt: int
    events: int


class Finished(NamedTuple):
    """The whole answer arrived."""

    attempt: int


class Lost(NamedTuple):
    """The connection ended, stalled or answered wrongly after bytes were sent."""

    attempt: int
    reason: str


class DeadlineHit(NamedTuple):
    """The deadline passed."""


class CallerGone(NamedTuple):
    """The caller closed its connection."""


class Quarantined(NamedTuple):
    """The request ends the targets that run it, and is sent to nobody any more."""

    problem: Problem


# Effects.
class Select(NamedTuple):
    """Ask the router for a group outside ``exclude``."""

    exclude: frozenset[str]


class Dispatch(NamedTuple):
    """Send the request to a group, from stream offset ``resume_from`` on."""

    attempt: int
    choice: Choice
    resume_from: int


class Cancel(NamedTuple):
    """Stop an attempt and tell its engine to drop the request."""

    attempt: int
    choice: Choice


class Deliver(NamedTuple):
    """Give the caller the whole answer, or the end of its stream."""


class Fail(NamedTuple):
    """Give the caller its final problem; in a stream that began, as a final error event."""

    problem: Problem


Event = (
    Chosen
    | ConnectFailed
    | Sending
    | NotStarted
    | Piece
    | Finished
    | Lost
    | DeadlineHit
    | CallerGone
    | Quarantined
)
Effect = Select | Dispatch | Cancel | Deliver | Fail


class Budget(Protocol):
    """Bounds the attempts after the first."""

    def left(self, now: float) -> float:
        """Return how many retries are left."""

    def take(self, now: float) -> bool:
        """Take one retry; return whether there was one."""


class RetryBudget:
    """Attempts beyond the first, bounded to a part of the requests.

    Without the bound, a domain that goes dark makes every request a retry, and the groups left
    take several times their load. Retries in proportion to requests keep the sum bounded.

    :param ratio: retries allowed for each request
    :param floor: retries a second allowed in any case
    """

    CAP = 50.0

    def __init__(self, ratio: float = 0.2, floor: float = 5.0) -> None:
        self._ratio = ratio
        self._floor = floor
        self._tokens = self.CAP / 2
        self._at = 0.0

    def request(self) -> None:
        """Count a new request."""
        self._tokens = min(self.CAP, self._tokens + self._ratio)

    def left(self, now: float) -> float:
        """Return how many retries are left."""
        self._tokens = min(self.CAP, self._tokens + self._floor * max(0.0, now - self._at))
        self._at = now
        return self._tokens

    def take(self, now: float) -> bool:
        """Take one retry; return whether there was one."""
        if self.left(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RequestMachine:
    """One request.

    :param budget: bounds the attempts after the first
    """

    def __init__(self, request: Request, budget: Budget) -> None:
        self.request = request
        self.phase = Phase.CHOOSING
        self.attempt = 0
        self.offset = 0
        self.sent = False
        self.maybe_ran = False
        self.arrived = 0
        self.choice: Choice | None = None
        self.tried: frozenset[str] = frozenset()
        self._budget = budget

    def start(self) -> list[Effect]:
        """Return the first effect."""
        return [Select(frozenset())]

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an event; return the effects. After the final answer there are none."""
        if self.phase == Phase.DONE:
            return []
        if self._is_late(event):
            return []
        match event:
            case Chosen(result):
                return self._chosen(result)
            case Sending():
                self.sent = True
                self.arrived += 1
                self.phase = Phase.SENT
                return []
            case Piece(_, events):
                self.phase = Phase.STREAMING
                self.offset += events
                return []
            case Finished():
                return self._finish([Deliver()])
            case ConnectFailed(_, reason) | NotStarted(_, reason):
                return self._not_run(reason, now)
            case Lost(_, reason):
                return self._lost(reason, now)
            case DeadlineHit():
                return self._give_up(outcomes.deadline_passed(self.ran()))
            case CallerGone():
                return self._finish(self._cancel())
            case Quarantined(problem):
                return self._give_up(problem)
        return []

    def ran(self) -> Ran:
        """Return what is known of the run if it ended now without an answer."""
        return Ran.UNKNOWN if self.sent or self.maybe_ran else Ran.NO

    def may_move(self, now: float) -> bool:
        """Tell whether the request, now at a target that seems stuck, may go to another."""
        if self.phase == Phase.DONE or self._used_up(now):
            return False
        again = self.request.idempotent or not self.sent
        return again and (self.arrived == 0 or self._budget.left(now) >= 1.0)

    def _used_up(self, now: float) -> bool:
        """Tell whether no further attempt is allowed. One that sent nothing reached no target."""
        if self.attempt >= MAX_ATTEMPTS or now >= self.request.deadline:
            return True
        return self.arrived >= self.request.max_attempts

    def _is_late(self, event: Event) -> bool:
        attempt = getattr(event, "attempt", None)
        return attempt is not None and attempt != self.attempt

    def _chosen(self, result: Choice | NoChoice) -> list[Effect]:
        if isinstance(result, NoChoice):
            problem = outcomes.no_capacity(result.reason, COME_BACK_SECONDS)
            return self._give_up(problem._replace(ran=self.ran()))
        self.attempt += 1
        self.sent = False
        self.choice = result
        self.phase = Phase.CONNECTING
        return [Dispatch(self.attempt, result, self.offset)]

    def _not_run(self, reason: str, now: float) -> list[Effect]:
        """Go elsewhere: the target has not run it, so even a non-idempotent request may."""
        self.sent = False
        problem = outcomes.no_capacity(reason, COME_BACK_SECONDS)
        return self._again(problem._replace(ran=self.ran()), now)

    def _lost(self, reason: str, now: float) -> list[Effect]:
        if not self.sent:
            return self._not_run(reason, now)
        # Bytes left and no answer came. A second send could run it twice: pay a hauler twice.
        # The caller learns at once that the outcome is unknown, and decides.
        if not self.request.idempotent:
            return self._give_up(outcomes.interrupted(Ran.UNKNOWN, reason))
        self.maybe_ran = True
        problem = outcomes.interrupted(Ran.UNKNOWN, reason)
        return [*self._cancel(), *self._again(problem, now)]

    def _again(self, problem: Problem, now: float) -> list[Effect]:
        if self.choice is not None:
            self.tried = self.tried | {self.choice.target}
        if self._used_up(now) or (self.arrived > 0 and not self._budget.take(now)):
            return self._finish([Fail(problem)])
        self.phase = Phase.CHOOSING
        self.choice = None
        return [Select(self.tried)]

    def _cancel(self) -> list[Effect]:
        if self.choice is None or not self.sent:
            return []
        return [Cancel(self.attempt, self.choice)]

    def _give_up(self, problem: Problem) -> list[Effect]:
        return self._finish([*self._cancel(), Fail(problem)])

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        self.phase = Phase.DONE
        return effects
