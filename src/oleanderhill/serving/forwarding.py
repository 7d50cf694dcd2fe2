"""Interface between the driver of forwarded requests and the platform's header codec."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from tornado.httputil import HTTPHeaders


class RequestInfo(NamedTuple):
    """The fields that are decoded from a request's headers.

    :param caller_timeout: caller timeout in seconds, ``None`` if the request does not state one
    :param key: API key, empty for none
    :param model: requested model, empty for a plain service
    :param last_event: id of the last event of the stream that the caller has received
    :param shared_parts: ids of the parts of the prompt that other requests may contain too, in
        their order
    """

    request_id: str
    caller_timeout: float | None
    key: str
    model: str
    last_event: int | None
    shared_parts: tuple[str, ...] = ()


class StatedLimit(NamedTuple):
    """The rate limit that a target states in a reply.

    :param rate: requests per second that the target accepts from all entry hosts together, ``None``
        if the header can't be parsed
    :param text: header value as received
    """

    rate: float | None
    text: str


class StatedCold(NamedTuple):
    """For how long a target states that it stays cold.

    :param seconds: 0 if it is warm, ``None`` if the header can't be parsed
    :param text: header value as received
    """

    seconds: float | None
    text: str

    @property
    def order(self) -> float:
        """Return the position among several statements; one that can't be parsed comes last."""
        return float("inf") if self.seconds is None else self.seconds


class Notice(NamedTuple):
    """Hints about its own state that a target puts into the headers of any reply.

    :param limit: stated rate limit, ``None`` for none
    :param backoff: seconds for which the target asks this host to send no requests, ``None`` for
        none
    :param leaving: whether the target is shutting down and will accept no further requests
    :param cold: for how long the target stays cold, ``None`` if it does not state it
    """

    limit: StatedLimit | None = None
    backoff: float | None = None
    leaving: bool = False
    cold: StatedCold | None = None


class ReplyInfo(NamedTuple):
    """What the status and headers of a target's reply state.

    :param not_run: whether the target states that it did not run the request and will not run it
    :param signed: whether the reply carries the target's signature
    :param from_expected_target: whether the reply comes from the target instance that the request
        was sent to, not from another one at the same address
    """

    not_run: bool
    signed: bool
    from_expected_target: bool = True
    notice: Notice = Notice()


class Codec(Protocol):
    """Decodes and encodes the headers of requests and replies."""

    def read_request(self, headers: HTTPHeaders) -> RequestInfo:
        """Decode the headers of a request."""

    def target_request_headers(
        self,
        headers: HTTPHeaders,
        account: str | None,
        instance: str,
        seconds_left: float,
        priority: int | None,
        last_event: int | None,
    ) -> HTTPHeaders:
        """Return the headers of a request to a target."""

    def read_reply(self, status: int, headers: HTTPHeaders) -> ReplyInfo:
        """Decode the status and headers of a reply."""

    def is_reply_to(self, request_id: str, headers: HTTPHeaders) -> bool:
        """Return whether a reply with these headers answers the request."""

    def caller_reply_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a target's reply as they are sent to the caller."""

    def problem_headers(self, request_id: str, retry_after: float | None) -> Mapping[str, str]:
        """Return the headers of a problem response that this host generates itself."""
