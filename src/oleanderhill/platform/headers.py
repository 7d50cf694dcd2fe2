"""Codec between the platform's request and reply headers and typed values."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping
from email.utils import parsedate_to_datetime

from tornado.httputil import HTTPHeaders

from ..serving.forwarding import Notice, ReplyInfo, RequestInfo, StatedCold, StatedLimit

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
LAST_EVENT = "Last-Event-Id"
MODEL = "Model"
PROMPT_PARTS = "Prompt-Prefix"
EXPECT_INSTANCE = "Expect-Instance"
ACCOUNT = "Tenant"
PRIORITY = "Request-Priority"
NOT_RUN = "Not-Executed"
SEAL = "Response-Seal"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
COLD = "Cold-Ms"

WRONG_INSTANCE_STATUS = 421
"""Status with which an instance rejects a request that names another instance."""

_HOP_BY_HOP_HEADERS = frozenset(
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
_REPLACED_HEADERS = frozenset(
    {ACCOUNT, DEADLINE, EXPECT_INSTANCE, PRIORITY, AUTHORIZATION, LAST_EVENT}
)

_IGNORED_REPLY_HEADERS = frozenset(
    {"Date", "Server", "Content-Type", "Etag", "Vary", "Weight-Versions", "At-Server"}
    | {"Instance-Id", "Cache-Control", "X-Content-Type-Options"}
)
_KNOWN_REPLY_HEADERS = (
    _HOP_BY_HOP_HEADERS
    | _IGNORED_REPLY_HEADERS
    | {REQUEST_ID, LAST_EVENT, NOT_RUN, SEAL, RETRY_AFTER, LIMIT, LEAVING, COLD}
)

_PROMPT_PART = re.compile(r"([0-9a-fA-F]{1,32}):[0-9]{1,9}")

MAX_PROMPT_PARTS = 8
"""Shared parts of a prompt that are told apart."""

_DECIMAL = re.compile(r"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)")
_MAX_NUMBER_CHARS = 40
"""Longest number that is parsed in a reply; a longer one counts as unreadable."""

_BACKOFF_STATUSES = frozenset({429, 503})
"""Statuses of replies whose ``Retry-After`` is a request to back off."""

DEFAULT_BACKOFF_SECONDS = 2.0
"""Seconds of back-off if a target asks for one with an unreadable duration."""

MAX_UNKNOWN_NAMES = 64
"""Bounds the set of reported header names, as a target may send arbitrary ones."""

_DEFAULT_PRIORITY = 4
_MAX_PRIORITY = 9


def _ignore_header(name: str, value: str) -> None:
    """Ignore an unknown header."""


class HeaderCodec:
    """Decodes and encodes the platform's headers.

    :param on_unknown: called with the name and value of an unknown reply header, once per name
    """

    def __init__(self, on_unknown: Callable[[str, str], None] = _ignore_header) -> None:
        self._on_unknown = on_unknown
        self._unknown_names: set[str] = set()

    def read_request(self, headers: HTTPHeaders) -> RequestInfo:
        """Decode the headers of a caller's request."""
        scheme, _, key = headers.get(AUTHORIZATION, "").partition(" ")
        last = headers.get(LAST_EVENT, "")
        wait = _parse_milliseconds(headers.get(DEADLINE))
        return RequestInfo(
            headers.get(REQUEST_ID, ""),
            wait,
            key.strip() if scheme.lower() == "bearer" else "",
            headers.get(MODEL, ""),
            int(last) if last.isdigit() else None,
            _shared_parts(headers.get(PROMPT_PARTS, "")),
        )

    def target_request_headers(
        self,
        headers: HTTPHeaders,
        account: str | None,
        instance: str,
        seconds_left: float,
        priority: int | None,
        last_event: int | None,
    ) -> HTTPHeaders:
        """Return the headers of a request that is forwarded to a target."""
        sent = _forwarded_headers(headers, _REPLACED_HEADERS)
        sent[DEADLINE] = str(max(1, int(seconds_left * 1000)))
        sent[EXPECT_INSTANCE] = instance
        if account is not None:
            sent[ACCOUNT] = account
        if priority is not None:
            sent[PRIORITY] = str(max(0, min(_MAX_PRIORITY, _DEFAULT_PRIORITY + priority)))
        if last_event is not None:
            sent[LAST_EVENT] = str(last_event)
        return sent

    def read_reply(self, status: int, headers: HTTPHeaders) -> ReplyInfo:
        """Decode the status and headers of a target's reply."""
        self._report_unknown_headers(headers)
        other = status == WRONG_INSTANCE_STATUS
        not_run = NOT_RUN in headers or other
        return ReplyInfo(not_run, SEAL in headers, not other, read_notice(status, headers))

    def _report_unknown_headers(self, headers: HTTPHeaders) -> None:
        for name in headers:
            if name in _KNOWN_REPLY_HEADERS or name in self._unknown_names:
                continue
            if len(self._unknown_names) < MAX_UNKNOWN_NAMES:
                self._unknown_names.add(name)
                self._on_unknown(name, headers[name])

    def is_reply_to(self, request_id: str, headers: HTTPHeaders) -> bool:
        """Return whether a reply belongs to this request.

        A target's answer repeats the request id. A signed answer without an id is a late duplicate
        for an earlier request that had none; if it were accepted, the caller would receive the
        answer to another request. A rejection isn't signed and may lack the id.
        """
        named = headers.get(REQUEST_ID)
        if named is None:
            return not request_id or SEAL not in headers
        return named == request_id

    def caller_reply_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a target's reply that is forwarded to the caller."""
        return _forwarded_headers(headers, frozenset())

    def problem_headers(self, request_id: str, retry_after: float | None) -> Mapping[str, str]:
        """Return the headers of a rejection that this entry host generates."""
        headers = {"Content-Type": "application/json"}
        if request_id:
            headers[REQUEST_ID] = request_id
        if retry_after is not None:
            headers[RETRY_AFTER] = f"{retry_after:.2f}"
        return headers


def read_notice(status: int, headers: HTTPHeaders) -> Notice:
    """Decode the hints about itself that a target adds to any reply."""
    backoff = _backoff(headers) if status in _BACKOFF_STATUSES else None
    leaving = headers.get(LEAVING, "").strip() not in ("", "0")
    return Notice(stated_limit(headers), backoff, leaving, _stated_cold(headers))


def stated_limit(headers: HTTPHeaders) -> StatedLimit | None:
    """Return the lowest rate limit that a reply states, or ``None`` if it states none.

    A limit that can't be parsed has the rate ``None`` and counts as the lowest.
    """
    named = [part for value in headers.get_list(LIMIT) for part in value.split(",")]
    return min(map(_parse_limit, named), key=lambda n: n.rate or 0.0, default=None)


def _stated_cold(headers: HTTPHeaders) -> StatedCold | None:
    """Return for how long a target states that it stays cold, the longest of several values."""
    named = [part.strip() for value in headers.get_list(COLD) for part in value.split(",")]
    return max(map(_parse_cold, named), key=lambda c: c.order, default=None)


def _parse_cold(text: str) -> StatedCold:
    shown = text[:_MAX_NUMBER_CHARS]
    if shown != text or text.startswith("-") or not _DECIMAL.fullmatch(text):
        return StatedCold(None, shown)
    return StatedCold(float(text) / 1000, shown)


def _backoff(headers: HTTPHeaders) -> float | None:
    """Return the seconds for which a target asks this host to back off, or ``None``.

    HTTP allows seconds or a date; of several values the longest applies.
    """
    named = headers.get_list(RETRY_AFTER)
    return max((_parse_retry_after(text.strip(), headers) for text in named), default=None)


def _parse_retry_after(text: str, headers: HTTPHeaders) -> float:
    if len(text) <= _MAX_NUMBER_CHARS and _DECIMAL.fullmatch(text):
        return max(0.0, float(text))
    try:
        # Compare with the reply's own date, as the target's clock may differ from the local one.
        reply_date = parsedate_to_datetime(headers["Date"])
        return max(0.0, (parsedate_to_datetime(text) - reply_date).total_seconds())
    except (KeyError, TypeError, ValueError):
        return DEFAULT_BACKOFF_SECONDS


def _parse_limit(text: str) -> StatedLimit:
    number = text.strip()[:_MAX_NUMBER_CHARS]
    if len(text.strip()) > _MAX_NUMBER_CHARS or not _DECIMAL.fullmatch(number):
        return StatedLimit(None, number)
    rate = float(number)
    return StatedLimit(max(0.0, rate) if math.isfinite(rate) else None, number)


def _forwarded_headers(headers: HTTPHeaders, excluded: frozenset[str]) -> HTTPHeaders:
    named = {t.strip().title() for t in headers.get("Connection", "").split(",") if t.strip()}
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _HOP_BY_HOP_HEADERS and name not in excluded and name not in named:
            passed.add(name, value)
    return passed


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts but the last one, which belongs to the request alone.

    Parts that can't be parsed, and those beyond :data:`MAX_PROMPT_PARTS`, are left out.
    """
    matches = [_PROMPT_PART.fullmatch(part.strip()) for part in text.split(",")[:-1]]
    found = dict.fromkeys(m.group(1).lower() for m in matches if m is not None)
    return tuple(found)[:MAX_PROMPT_PARTS]


def _parse_milliseconds(text: str | None) -> float | None:
    try:
        return float(text) / 1000 if text else None
    except ValueError:
        return None
