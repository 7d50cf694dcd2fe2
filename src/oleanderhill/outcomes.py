"""The problems that a failed request returns to its caller, and its execution status.

Each :class:`Problem` states in its :class:`Ran` whether the request was run. :data:`Ran.NO` is
allowed only if nothing was sent or a target reported that it did not start the request.
:data:`Ran.UNKNOWN` is required whenever bytes were sent and no complete response was received.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

from .exceptions import OleanderhillError

DRAINING = "draining"
HELD_BACK = "held-back"
PROCESS_ENDED = "process-ended"
NO_ROOM_RETRY = 1.0
"""Seconds after which a request may be sent again for which there was no memory or time. The load
balancer hands it to another host, most likely."""

PROBLEM_BASE = "urn:oleanderhill:problem:"


class Ran(StrEnum):
    """Whether the request was run, as reported to the caller."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Problem(NamedTuple):
    """A typed failure of a request, rendered as RFC 9457 problem details.

    :param kind: stable short name, the last part of the problem's ``type``
    :param status: HTTP status
    :param ran: whether the request was run
    :param retry_after: seconds after which a retry may succeed, ``None`` if a retry is pointless
    """

    kind: str
    status: int
    ran: Ran
    detail: str
    retry_after: float | None = None

    def as_body(self, request_id: str) -> dict[str, object]:
        """Return the problem as a JSON object, including an OpenAI-style ``error`` member."""
        body: dict[str, object] = {
            "type": PROBLEM_BASE + self.kind,
            "title": self.kind.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "ran": self.ran.value,
            "request_id": request_id,
            "error": {"type": self.kind, "message": self.detail, "code": self.kind},
        }
        if self.retry_after is not None:
            body["retry_after"] = self.retry_after
        return body

    def headers(self) -> dict[str, str]:
        """Return the response headers of the problem."""
        headers = {"X-Request-Ran": self.ran.value}
        if self.retry_after is not None:
            headers["Retry-After"] = str(max(1, math.ceil(self.retry_after)))
        return headers


class ProblemError(OleanderhillError):
    """Raised to end a request with a problem that is sent to the caller."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def bad_request(detail: str) -> Problem:
    """Return the problem of a malformed request."""
    return Problem("bad-request", 400, Ran.NO, detail)


def too_large(limit: int) -> Problem:
    """Return the problem of a request body over ``limit`` bytes."""
    return Problem("too-large", 413, Ran.NO, f"the body is over {limit} bytes")


def too_slow() -> Problem:
    """Return the problem of a body that does not arrive while its caller awaits an answer."""
    return Problem("too-slow", 408, Ran.NO, "the body did not arrive in time")


def no_memory() -> Problem:
    """Return the problem of a body that this host has no memory for, as others hold too much."""
    detail = "this entry host holds too many bodies that are not whole"
    return Problem("no-memory", 503, Ran.NO, detail, NO_ROOM_RETRY)


def too_busy() -> Problem:
    """Return the problem of a body in so many chunks that it has to give way to others."""
    detail = "this entry host has no time for so many small chunks, as others wait"
    return Problem("too-busy", 503, Ran.NO, detail, NO_ROOM_RETRY)


def unauthenticated() -> Problem:
    """Return the problem of a missing or unknown key."""
    return Problem("unauthenticated", 401, Ran.NO, "the bearer key is missing or unknown")


def forbidden(what: str) -> Problem:
    """Return the problem of an account that may not use ``what``."""
    return Problem("forbidden", 403, Ran.NO, f"this account may not use {what}")


def unknown_model(model: str) -> Problem:
    """Return the problem of a model or service that no team offers."""
    return Problem("unknown-model", 404, Ran.NO, f"there is no model or service {model!r}")


def over_limit(retry_after: float) -> Problem:
    """Return the problem of an account over its rate limit."""
    return Problem("over-limit", 429, Ran.NO, "the account is over its rate", retry_after)


def no_capacity(detail: str, retry_after: float) -> Problem:
    """Return the problem of a request for which no target becomes available in time."""
    return Problem("no-capacity", 503, Ran.NO, detail, retry_after)


def deadline_passed(ran: Ran) -> Problem:
    """Return the problem of a request whose deadline passed."""
    return Problem("deadline-passed", 504, ran, "the deadline passed", 1.0)


def interrupted(ran: Ran, detail: str) -> Problem:
    """Return the problem of a request that was interrupted after it was sent to a target."""
    return Problem("interrupted", 502, ran, detail, 1.0)


def ends_targets(known: int, ran: Ran, by_part: bool = False) -> Problem:
    """Return the problem of a crash-causing request, which is sent to no further target.

    The status is 502 because the targets failed: a 4xx would blame the caller, and a 503 would
    invite a retry. There is no ``Retry-After``, as no retry is expected to succeed.

    :param known: number of targets known to have crashed, 0 if this entry host has no number
    :param by_part: whether they ran other requests with a part of this one's prompt
    """
    what = "requests with a part of this prompt" if by_part else "this request"
    detail = f"{known or 'several'} targets ended while they ran {what}; don't repeat it"
    return Problem("ends-targets", 502, ran, detail)


def held_back(seconds: float, ran: Ran) -> Problem:
    """Return the problem of a suspected crash-causing request, which is tried once at a time.

    :param seconds: seconds after which a retry may succeed
    """
    detail = "targets ended while they ran this request; it is tried once at a time"
    return Problem(HELD_BACK, 503, ran, detail, seconds)


def key_reused() -> Problem:
    """Return the problem of an idempotency key that was reused with another body."""
    return Problem("key-reused", 422, Ran.NO, "the idempotency key was used for another body")


def duplicate_unknown() -> Problem:
    """Return the problem of a key that was claimed before and has no recorded outcome."""
    return Problem(
        "duplicate", 409, Ran.UNKNOWN, "the key was claimed before; its outcome is not known"
    )


def duplicate_done() -> Problem:
    """Return the problem of a duplicate key whose completed answer was too long to store."""
    return Problem("duplicate-done", 409, Ran.YES, "the key was run; its answer was not kept")


def duplicate_running() -> Problem:
    """Return the problem of a duplicate key whose first run is still in progress."""
    return Problem("in-progress", 409, Ran.UNKNOWN, "the key is being run now", 1.0)


def journal_unavailable() -> Problem:
    """Return the problem of a non-idempotent request whose key can't be claimed in the journal."""
    return Problem(
        "journal-unavailable", 503, Ran.NO, "the key can't be recorded; it was not run", 2.0
    )


def process_ended() -> Problem:
    """Return the problem of a request that outlasts the grace period of its entry host."""
    detail = "this entry host ended before the answer was complete"
    return Problem(PROCESS_ENDED, 502, Ran.UNKNOWN, detail)


def draining() -> Problem:
    """Return the problem of a request to an entry host that is shutting down.

    The other entry hosts are ready, and the load balancer hands a new connection to one of them.
    """
    return Problem(DRAINING, 503, Ran.NO, "this entry host is shutting down", 0.0)


def outlasting(seconds_needed: float, seconds_left: float) -> Problem:
    """Return the problem of a request that may outlast its entry host, which is shutting down.

    :param seconds_needed: seconds until the deadline of the request
    :param seconds_left: seconds until the end of the requests that are left
    """
    needed, left = f"{seconds_needed:.2f}", f"{max(0.0, seconds_left):.2f}"
    detail = f"it may take {needed} s, and this entry host ends in {left} s"
    return draining()._replace(detail=detail)
