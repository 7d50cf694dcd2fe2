"""One HTTP exchange, with what a caller must know of a failure: had bytes left or not?

Built on tornado's :class:`~tornado.http1connection.HTTP1Connection`, whose client side, unlike
``AsyncHTTPClient``, lets an exchange be abandoned at once (its socket closes), applies
back-pressure to the body, and shows the moment before the first byte leaves.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Mapping
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
IDLE_PER_ADDRESS = 16
"""Idle connections kept to one address: one for each request that an engine group runs at once."""

IDLE_SECONDS = 8.0
"""Seconds for which an idle connection is kept where the other side names no time of its own."""

IDLE_MARGIN = 0.5
"""Seconds by which the other side's time is undercut: it runs from the end of its own reply, and
the next request takes its way too."""

FOREIGN_REPLIES = 3
"""Late extra replies that are skipped on one connection before it counts as spoilt."""


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
    :param reuse: an idle connection may be used, and this one kept afterwards
    :param unframed: a reply without a length that ends with its connection is whole, unless the
        connection was reset
    :param belongs: tells of a reply's headers whether it answers this call; one that doesn't is a
        late extra reply to an earlier call, is dropped, and the next one is read
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    timeout: float | None = 5.0
    reuse: bool = False
    max_reply: int = MAX_REPLY
    unframed: bool = False
    belongs: Callable[[HTTPHeaders], bool] | None = None
    connect_timeout: float = CONNECT_TIMEOUT


class _Idle(NamedTuple):
    stream: IOStream
    until: float


class _Collector(HTTPMessageDelegate):
    def __init__(self, observer: Observer | None, what: Call) -> None:
        self._observer = observer
        self._what = what
        self.foreign = False
        self.status = 0
        self.reply_headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.finished = False
        self.framed = False
        self.open_ended = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            return
        if self._what.belongs is not None and not self._what.belongs(headers):
            self.foreign = True
            return
        self.status = start_line.code
        self.reply_headers = headers
        # Without a length or chunks a reply ends where the connection does, and a cut one looks
        # whole. It is taken for complete only where the call says so, and not after a reset.
        self.open_ended = "Content-Length" not in headers and "Transfer-Encoding" not in headers
        self.framed = self._what.unframed or not self.open_ended
        if self._observer is not None:
            self._observer.headers(start_line.code, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.foreign:
            return None
        if self._observer is None:
            self.chunks.append(chunk)
            return None
        return self._observer.data(chunk)

    def finish(self) -> None:
        self.finished = True


class HttpCaller:
    """Makes exchanges, and keeps idle connections for calls that allow their reuse."""

    def __init__(self) -> None:
        self._idle_by_address: dict[str, list[_Idle]] = {}
        self.opened = 0

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
        collector = _Collector(observer, what)
        kept = False
        try:
            async with asyncio.timeout(what.timeout):
                kept = await self._exchange(stream, what, collector)
                for _ in range(FOREIGN_REPLIES):
                    if not collector.foreign or not kept:
                        break
                    collector = _Collector(observer, what)
                    reader = HTTP1Connection(stream, True, _params(what))
                    kept = bool(await reader.read_response(collector))
        except TimeoutError:
            reason = f"no whole reply in {what.timeout} s"
            return Failure(CallFailure(FailureKind.TIMEOUT, True, reason))
        except (OSError, StreamClosedError) as error:
            return Failure(CallFailure(FailureKind.LOST, True, str(error)))
        finally:
            self._put_back(stream, what, kept and collector.finished, collector.reply_headers)
        cut = collector.open_ended and stream.error is not None
        if not collector.finished or not collector.framed or collector.foreign or cut:
            return Failure(CallFailure(FailureKind.LOST, True, "the reply was cut"))
        return Success(Reply(collector.status, collector.reply_headers, b"".join(collector.chunks)))

    def keeps(self, address: str) -> bool:
        """Tell whether a connection to an address is kept that a call may well use."""
        now = time.monotonic()
        idle = self._idle_by_address.get(address, ())
        return any(now < i.until and not i.stream.closed() for i in idle)

    def close(self) -> None:
        """Close the idle connections."""
        for address in list(self._idle_by_address):
            self.forget(address)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address whose owner is gone."""
        for idle in self._idle_by_address.pop(address, []):
            idle.stream.close()

    async def _connect(self, what: Call) -> IOStream:
        idle = self._idle_by_address.get(what.address, [])
        while what.reuse and idle:
            found = idle.pop()
            if _usable(found, time.monotonic()):
                return found.stream
            found.stream.close()
        host, port = what.address.rsplit(":", 1)
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(what.connect_timeout):
                await stream.connect((host, int(port)))
        except BaseException:
            stream.close()
            raise
        self.opened += 1
        stream.set_nodelay(True)
        return stream

    async def _exchange(self, stream: IOStream, what: Call, collector: _Collector) -> bool:
        connection = HTTP1Connection(stream, True, _params(what))
        headers = HTTPHeaders({"Host": what.address})
        headers.update(what.headers)
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

    def _put_back(self, stream: IOStream, what: Call, whole: bool, headers: HTTPHeaders) -> None:
        idle = self._idle_by_address.setdefault(what.address, [])
        seconds = _idle_seconds(headers)
        if (
            what.reuse
            and whole
            and not stream.closed()
            and not stream.writing()
            and len(idle) < IDLE_PER_ADDRESS
            and seconds > 0
        ):
            idle.append(_Idle(stream, time.monotonic() + seconds))
        else:
            stream.close()


def _params(what: Call) -> HTTP1ConnectionParameters:
    return HTTP1ConnectionParameters(max_body_size=what.max_reply)


def _usable(idle: _Idle, now: float) -> bool:
    """Tell whether an idle connection may take a request.

    The other side closes idle connections; a request sent into a closed one is lost, and whether
    it ran is then unknown. What came while it was idle (an end, or a reply that nobody asked for)
    shows as readable bytes.
    """
    stream = idle.stream
    if stream.closed() or now >= idle.until:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _idle_seconds(headers: HTTPHeaders) -> float:
    """Return for how long a connection may be kept after a reply, 0 for not at all."""
    if headers.get("Connection", "").lower() == "close":
        return 0.0
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN)
    return IDLE_SECONDS
