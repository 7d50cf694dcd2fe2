"""Headers of requests and replies, decoded into typed facts and written from them."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping
from email.utils import parsedate_to_datetime

from tornado.httputil import HTTPHeaders

from ..serving.forwarding import Facts, NamedLimit, Notice, Reading

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
LAST_EVENT = "Last-Event-Id"
MODEL = "Model"
EXPECT_INSTANCE = "Expect-Instance"
ACCOUNT = "Tenant"
PRIORITY = "Request-Priority"
NOT_RUN = "Not-Executed"
SEAL = "Response-Seal"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"

OTHER_INSTANCE = 421
"""Status of an answer from another instance than the one that was asked."""

_CONNECTION_ONLY = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
    }
)
_SET_BY_US = frozenset({ACCOUNT, DEADLINE, EXPECT_INSTANCE, PRIORITY, AUTHORIZATION, LAST_EVENT})

_SAYS_NOTHING_TO_US = frozenset(
    {"Date", "Server", "Content-Type", "Etag", "Vary", "Weight-Versions", "At-Server"}
    | {"Instance-Id", "Cache-Control", "X-Content-Type-Options"}
)
_KNOWN_IN_REPLIES = (
    _CONNECTION_ONLY
    | _SAYS_NOTHING_TO_US
    | {REQUEST_ID, LAST_EVENT, NOT_RUN, SEAL, RETRY_AFTER, LIMIT, LEAVING}
)

_DECIMAL = re.compile(r"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)")
_LONGEST_NUMBER = 40
"""Characters of a number in a reply: a longer one is cut, and can't be read."""

_TURNED_AWAY = frozenset({429, 503})
"""Statuses of answers that may ask to back off."""

UNREADABLE_BACKOFF = 2.0
"""Seconds of back-off where a target asks for one and for how long can't be read."""

MOST_UNREAD = 64
"""Names of unread headers that are remembered: a target may send any."""

_MIDDLE_PRIORITY = 4
_MOST_PRIORITY = 9


def _tell_nobody(name: str, value: str) -> None:
    """Ignore an unread header."""


class HeaderCodec:
    """Decodes and writes the platform's headers for the product.

    :param unread: takes name and value of a header of a reply that is not read, once by name
    """

    def __init__(self, unread: Callable[[str, str], None] = _tell_nobody) -> None:
        self._tell_unread = unread
        self._unread: set[str] = set()

    def read_request(self, headers: HTTPHeaders) -> Facts:
        """Return what a request's headers say."""
        scheme, _, key = headers.get(AUTHORIZATION, "").partition(" ")
        last = headers.get(LAST_EVENT, "")
        wait = _milliseconds(headers.get(DEADLINE))
        return Facts(
            headers.get(REQUEST_ID, ""),
            wait,
            key.strip() if scheme.lower() == "bearer" else "",
            headers.get(MODEL, ""),
            int(last) if last.isdigit() else None,
        )

    def to_target(
        self,
        headers: HTTPHeaders,
        account: str | None,
        instance: str,
        seconds_left: float,
        priority: int | None,
        last_event: int | None,
    ) -> HTTPHeaders:
        """Return the headers with which a request goes to a target."""
        sent = _passed_on(headers, _SET_BY_US)
        sent[DEADLINE] = str(max(1, int(seconds_left * 1000)))
        sent[EXPECT_INSTANCE] = instance
        if account is not None:
            sent[ACCOUNT] = account
        if priority is not None:
            sent[PRIORITY] = str(max(0, min(_MOST_PRIORITY, _MIDDLE_PRIORITY + priority)))
        if last_event is not None:
            sent[LAST_EVENT] = str(last_event)
        return sent

    def read_reply(self, status: int, headers: HTTPHeaders) -> Reading:
        """Return what a reply's status and headers mean for the request."""
        self._look_for_unread(headers)
        other = status == OTHER_INSTANCE
        not_run = NOT_RUN in headers or other
        return Reading(not_run, SEAL in headers, not other, read_notice(status, headers))

    def _look_for_unread(self, headers: HTTPHeaders) -> None:
        for name in headers:
            if name in _KNOWN_IN_REPLIES or name in self._unread:
                continue
            if len(self._unread) < MOST_UNREAD:
                self._unread.add(name)
                self._tell_unread(name, headers[name])

    def belongs(self, request_id: str, headers: HTTPHeaders) -> bool:
        """Tell whether a reply answers this request.

        A target's own answer names the request. One that is signed and names none is a late extra
        answer to a request that had no id: taken for this one's, its caller got another's answer.
        A refusal, which is not signed, may come without an id.
        """
        named = headers.get(REQUEST_ID)
        if named is None:
            return not request_id or SEAL not in headers
        return named == request_id

    def to_caller(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers with which a target's answer goes to the caller."""
        return _passed_on(headers, frozenset())

    def refusal(self, request_id: str, retry_after: float | None) -> Mapping[str, str]:
        """Return the headers of an answer of our own."""
        headers = {"Content-Type": "application/json"}
        if request_id:
            headers[REQUEST_ID] = request_id
        if retry_after is not None:
            headers[RETRY_AFTER] = f"{retry_after:.2f}"
        return headers


def read_notice(status: int, headers: HTTPHeaders) -> Notice:
    """Return what a target says of itself in a reply to anything."""
    backoff = _backoff(headers) if status in _TURNED_AWAY else None
    leaving = headers.get(LEAVING, "").strip() not in ("", "0")
    return Notice(named_limit(headers), backoff, leaving)


def named_limit(headers: HTTPHeaders) -> NamedLimit | None:
    """Return the limit that a target names, the least of several, ``None`` where it names none."""
    named = [part for value in headers.get_list(LIMIT) for part in value.split(",")]
    return min(map(_limit, named), key=lambda n: n.rate or 0.0, default=None)


def _backoff(headers: HTTPHeaders) -> float | None:
    """Return the seconds for which a target asks to be left alone, ``None`` where it does not.

    HTTP allows seconds or a date; of several the longest holds.
    """
    named = headers.get_list(RETRY_AFTER)
    return max((_seconds_to(text.strip(), headers) for text in named), default=None)


def _seconds_to(text: str, headers: HTTPHeaders) -> float:
    if len(text) <= _LONGEST_NUMBER and _DECIMAL.fullmatch(text):
        return max(0.0, float(text))
    try:
        # Both dates are of the target's clock, which may differ from ours.
        spoken = parsedate_to_datetime(headers["Date"])
        return max(0.0, (parsedate_to_datetime(text) - spoken).total_seconds())
    except (KeyError, TypeError, ValueError):
        return UNREADABLE_BACKOFF


def _limit(text: str) -> NamedLimit:
    shown = text.strip()[:_LONGEST_NUMBER]
    if len(text.strip()) > _LONGEST_NUMBER or not _DECIMAL.fullmatch(shown):
        return NamedLimit(None, shown)
    rate = float(shown)
    return NamedLimit(max(0.0, rate) if math.isfinite(rate) else None, shown)


def _passed_on(headers: HTTPHeaders, but: frozenset[str]) -> HTTPHeaders:
    named = {t.strip().title() for t in headers.get("Connection", "").split(",") if t.strip()}
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _CONNECTION_ONLY and name not in but and name not in named:
            passed.add(name, value)
    return passed


def _milliseconds(text: str | None) -> float | None:
    try:
        return float(text) / 1000 if text else None
    except ValueError:
        return None
