"""One HTTP exchange, with what a caller must know of a failure: had bytes left or not?

Built on tornado's :class:`~tornado.http1connection.HTTP1Connection`, whose client side, unlike
``AsyncHTTPClient``, lets an exchange be abandoned at once (its socket closes), applies
back-pressure to the body, and shows the moment before the first byte leaves.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Mapping
from enum import StrEnum
from typing import NamedTuple

from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

CONNECT_TIMEOUT = 1.0
MAX_REPLY = 16 * 1024 * 1024
IDLE_PER_ADDRESS = 4


class FailureKind(StrEnum):
    """How an exchange failed."""

    NOT_CONNECTED = "not connected"
    LOST = "connection lost"
    TIMEOUT = "timeout"


class CallFailure(NamedTuple):
    """An exchange without a whole reply.

    :param sent: some bytes of the request may have reached the other side
    :param refused: the host is there, and nothing listens at the address
    """

    kind: FailureKind
    sent: bool
    reason: str
    refused: bool = False


class Reply(NamedTuple):
    """A whole reply; ``body`` is empty where an observer took the pieces."""

    status: int
    headers: HTTPHeaders
    body: bytes


class Observer:
    """Takes note of an exchange as it goes on. All methods may be left as they are."""

    def sending(self) -> bool:
        """Tell whether the first byte may leave now; nothing is sent on ``False``."""
        return True

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        """Take the status and headers of the reply."""

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a piece of the body; reading goes on when the result is done."""


class Call(NamedTuple):
    """What to send.

    :param timeout: seconds for the whole exchange, ``None`` for no bound of its own
    :param reuse: an idle connection may be used; only for calls that may be sent twice
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    timeout: float | None = 5.0
    reuse: bool = False
    max_reply: int = MAX_REPLY


class _Collector(HTTPMessageDelegate):
    def __init__(self, observer: Observer | None) -> None:
        self._observer = observer
        self.status = 0
        self.reply_headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.finished = False
        self.framed = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            return
        self.status = start_line.code
        self.reply_headers = headers
        # Without a length or chunks a reply ends where the connection does, and a cut one looks
        # whole. Such a reply is never taken for complete.
        self.framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if self._observer is not None:
            self._observer.headers(start_line.code, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._observer is None:
            self.chunks.append(chunk)
            return None
        return self._observer.data(chunk)

    def finish(self) -> None:
        self.finished = True


class HttpCaller:
    """Makes exchanges, and keeps a few idle connections for those that may be sent twice."""

    def __init__(self) -> None:
        self._idle_by_address: dict[str, list[IOStream]] = {}

    async def call(
        self, what: Call, observer: Observer | None = None
    ) -> Result[Reply, CallFailure]:
        """Make one exchange. Cancelling it closes its connection at once."""
        try:
            stream = await self._connect(what)
        except (OSError, StreamClosedError, TimeoutError) as error:
            cause = getattr(error, "real_error", None) or error
            refused = isinstance(cause, ConnectionRefusedError)
            reason = str(cause) or "timeout"
            return Failure(CallFailure(FailureKind.NOT_CONNECTED, False, reason, refused))
        if observer is not None and not observer.sending():
            stream.close()
            return Failure(CallFailure(FailureKind.NOT_CONNECTED, False, "overtaken"))
        collector = _Collector(observer)
        kept = False
        try:
            async with asyncio.timeout(what.timeout):
                kept = await self._exchange(stream, what, collector)
        except TimeoutError:
            reason = f"no whole reply in {what.timeout} s"
            return Failure(CallFailure(FailureKind.TIMEOUT, True, reason))
        except (OSError, StreamClosedError) as error:
            return Failure(CallFailure(FailureKind.LOST, True, str(error)))
        finally:
            self._put_back(stream, what, kept and collector.finished)
        if not collector.finished or not collector.framed:
            return Failure(CallFailure(FailureKind.LOST, True, "the reply was cut"))
        return Success(Reply(collector.status, collector.reply_headers, b"".join(collector.chunks)))

    def close(self) -> None:
        """Close the idle connections."""
        for streams in self._idle_by_address.values():
            for stream in streams:
                stream.close()
        self._idle_by_address.clear()

    async def _connect(self, what: Call) -> IOStream:
        idle = self._idle_by_address.get(what.address, [])
        while what.reuse and idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        host, port = what.address.rsplit(":", 1)
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await stream.connect((host, int(port)))
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        return stream

    async def _exchange(self, stream: IOStream, what: Call, collector: _Collector) -> bool:
        params = HTTP1ConnectionParameters(max_body_size=what.max_reply)
        connection = HTTP1Connection(stream, True, params)
        headers = HTTPHeaders({"Host": what.address, **what.headers})
        if what.body or what.method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(what.body))
        if not what.reuse:
            headers["Connection"] = "close"
        start = RequestStartLine(what.method, what.path, "HTTP/1.1")
        # The write's own future is not awaited: a peer that answers early and closes would turn
        # its answer into a failed write.
        connection.write_headers(start, headers, what.body or None)
        connection.finish()
        return bool(await connection.read_response(collector))

    def _put_back(self, stream: IOStream, what: Call, whole: bool) -> None:
        idle = self._idle_by_address.setdefault(what.address, [])
        if what.reuse and whole and not stream.closed() and len(idle) < IDLE_PER_ADDRESS:
            idle.append(stream)
        else:
            stream.close()
