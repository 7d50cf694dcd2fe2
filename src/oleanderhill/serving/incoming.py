"""A request as received, and the interface through which its caller gets the response."""

from __future__ import annotations

from collections.abc import Awaitable, Sequence
from typing import NamedTuple, Protocol

from tornado.httputil import HTTPHeaders

from ..outcomes import Problem
from .forwarding import RequestInfo


class Incoming(NamedTuple):
    """A request as received.

    :param arrived: monotonic time of arrival
    :param first_on_connection: whether it is the first request on its caller's connection
    """

    method: str
    uri: str
    headers: HTTPHeaders
    body: bytes
    facts: RequestInfo
    arrived: float
    first_on_connection: bool = False


class ResponseSink(Protocol):
    """Sends the response to the caller."""

    started: bool

    def reply(self, status: int, headers: HTTPHeaders, body: Sequence[bytes]) -> None:
        """Send a complete response.

        :param body: pieces of its body
        """

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Start a streamed response."""

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a chunk of a streamed response; await the result, if any, before the next chunk."""

    def end(self) -> None:
        """Finish a streamed response as complete."""

    def abort(self) -> None:
        """Abort a streamed response so that the caller can't take it for complete."""

    def reject(self, problem: Problem) -> None:
        """Send a problem as the final response."""
