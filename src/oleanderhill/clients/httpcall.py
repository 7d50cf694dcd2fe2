"""HTTP client whose failures tell whether any bytes of the request may have been sent.

Built on tornado's :class:`~tornado.http1connection.HTTP1Connection`. Unlike ``AsyncHTTPClient``,
its client side resets the connection as soon as an exchange is abandoned, applies back-pressure to
the body, and has a hook before the first byte is sent.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

CONNECT_TIMEOUT = 1.0
MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Bytes of a reply's body, unless the call or its observer says otherwise."""

LARGE_BODY_BYTES = 64 * 1024
"""Bytes from which on a body is sent apart from its head."""

MAX_IDLE_PER_ADDRESS = 16
"""Idle connections per address: one for each request that an engine group runs concurrently."""

DEFAULT_IDLE_SECONDS = 8.0
"""Seconds for which a connection may stay idle if the server sends no ``Keep-Alive`` timeout."""

IDLE_MARGIN_SECONDS = 0.5
"""Seconds subtracted from the server's timeout, which starts when the server ends its reply and
must also cover the transit time of the next request."""

KEEPALIVE_SECONDS = 1
"""Seconds without data after which, and between which, a monitored connection is probed."""

UNACKNOWLEDGED_TIMEOUT = 2.5
"""Seconds without an acknowledgement after which a monitored connection is closed. Targets may be
silent for about a second and go on. The seconds before the first probe count too, in which a
connection may have been idle, so it exceeds :data:`KEEPALIVE_SECONDS` by more than that."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``: what wasn't delivered yet is discarded when the connection is closed or
its process ends. Otherwise the system would go on to deliver an abandoned request, seconds later if
the link is cut meanwhile, beside the same request that was sent elsewhere."""

ORDERLY_CLOSE = struct.pack("ii", 0, 0)

MAX_SKIPPED_REPLIES = 3
"""Late duplicate replies skipped on one connection before it is closed."""


CONTINUE = 100
"""Status with which a server asks for the body of a request that announced one."""

NOT_MODIFIED = 304
"""Status of a reply that may state a length and has no body."""

_MAX_LENGTH_DIGITS = 18
"""Digits of a length that is parsed; tornado rejects longer ones."""


class FailureKind(StrEnum):
    """How an exchange failed."""

    NOT_CONNECTED = "not connected"
    WITHHELD = "withheld"
    """The observer decided against sending the request."""

    LOST = "connection lost"
    PROXY_LOST = "connection to the proxy lost"
    """The entry host that passed the request on was lost, which tells nothing of the server."""

    TIMEOUT = "timeout"


class CallFailure(NamedTuple):
    """An exchange without a complete reply.

    :param sent: some bytes of the request may have reached the server
    :param refused: the host is reachable, and nothing listens at the address
    :param invalid: the reply was broken off here, as it was no answer
    """

    kind: FailureKind
    sent: bool
    reason: str
    refused: bool = False
    invalid: bool = False


class Reply(NamedTuple):
    """A complete reply; ``body`` is empty if an observer received the chunks."""

    status: int
    headers: HTTPHeaders
    body: bytes


class InvalidReplyError(HTTPInputError):
    """What the server sends is no answer: the exchange fails, and its connection is reset."""


class Observer:
    """Callbacks of an exchange in progress. Overriding any of them is optional.

    Those that receive a reply may raise :class:`InvalidReplyError`.
    """

    def confirm_send(self) -> bool:
        """Return whether the request may be sent now; ``False`` aborts it before the first byte."""
        return True

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        """Handle the status and headers of the reply."""

    def max_body(self, limit: int) -> int | None:
        """Return how many bytes the body may have after these headers, ``None`` for any number.

        :param limit: what the call allows
        """
        return limit

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a chunk of the body; reading continues once the returned awaitable is done."""


class Call(NamedTuple):
    """A request and how to send it.

    :param timeout: seconds for the whole exchange, ``None`` for no limit
    :param reuse: an idle connection may be used, and this one stays open afterwards
    :param accept_close_delimited: a reply without a length, delimited by the close of its
        connection, counts as complete unless the connection was reset
    :param expect_continue: send the body, and ask the observer whether to, only once the server
        announced with status 100 that it will process the request
    :param is_reply_to_call: returns from a reply's headers whether it answers this call; a reply
        that doesn't is a late duplicate to an earlier call and is skipped
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    timeout: float | None = 5.0
    reuse: bool = False
    max_reply: int = MAX_REPLY_BYTES
    accept_close_delimited: bool = False
    is_reply_to_call: Callable[[HTTPHeaders], bool] | None = None
    connect_timeout: float = CONNECT_TIMEOUT
    expect_continue: bool = False


class _WithheldError(Exception):
    """The observer decided against sending the body."""


class _IdleConnection(NamedTuple):
    stream: IOStream
    expires_at: float


class _ReplyCollector(HTTPMessageDelegate):
    def __init__(self, observer: Observer | None, request: Call) -> None:
        self._observer = observer
        self._request = request
        self.unrelated = False
        self.status = 0
        self.reply_headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.finished = False
        self.framing_accepted = False
        self.close_delimited = False
        self.continued: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.body_sent = not request.expect_continue
        self.fault = ""
        self._max_body: int | None = request.max_reply
        self._body_bytes = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        # Of an invalid reply, the connection only tells that it ended.
        try:
            self._receive_headers(start_line, headers)
        except InvalidReplyError as error:
            self.fault = str(error)
            raise

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        try:
            return self._receive_data(chunk)
        except InvalidReplyError as error:
            self.fault = str(error)
            raise

    def _receive_headers(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            if start_line.code == CONTINUE and not self.continued.done():
                self.continued.set_result(None)
            return
        if self._request.is_reply_to_call is not None and not self._request.is_reply_to_call(
            headers
        ):
            self.unrelated = True
            return
        self.status = start_line.code
        self.reply_headers = headers
        # Without a length or chunked encoding the close of the connection delimits the reply, and a
        # truncated one looks complete. It is accepted only if the call allows it, and not after a
        # reset.
        self.close_delimited = (
            "Content-Length" not in headers and "Transfer-Encoding" not in headers
        )
        self.framing_accepted = self._request.accept_close_delimited or not self.close_delimited
        if self._observer is not None:
            self._observer.headers(start_line.code, headers)
            self._max_body = self._observer.max_body(self._request.max_reply)
        stated = headers.get("Content-Length", "")
        has_body = self._request.method != "HEAD" and start_line.code != NOT_MODIFIED
        if has_body and stated.isdecimal() and len(stated) <= _MAX_LENGTH_DIGITS:
            self._check_size(int(stated))

    def _check_size(self, size: int) -> None:
        if self._max_body is not None and size > self._max_body:
            raise InvalidReplyError(f"the reply's body is over {self._max_body} bytes")

    def _receive_data(self, chunk: bytes) -> Awaitable[None] | None:
        self._body_bytes += len(chunk)
        self._check_size(self._body_bytes)
        if self.unrelated:
            return None
        if self._observer is None:
            self.chunks.append(chunk)
            return None
        return self._observer.data(chunk)

    def finish(self) -> None:
        self.finished = True


def _ignore_outcome(address: str, failure: CallFailure | None) -> None:
    """Ignore the outcome of a new connection."""


class HttpCaller:
    """Sends requests, and pools idle connections for calls that allow reuse.

    :param on_connect: called with the address of each new connection, and with the failure if it
        could not be opened
    :param monitored: whether connections are probed, so that one that hangs is closed
    """

    def __init__(
        self,
        on_connect: Callable[[str, CallFailure | None], None] = _ignore_outcome,
        monitored: bool = False,
    ) -> None:
        self._on_connect = on_connect
        self._monitored = monitored
        self._idle_by_address: dict[str, list[_IdleConnection]] = {}
        self.opened = 0

    async def call(
        self, request: Call, observer: Observer | None = None
    ) -> Result[Reply, CallFailure]:
        """Send one request and read its reply. Cancellation resets the connection immediately."""
        opened = await self.open(request)
        if not is_successful(opened):
            return Failure(opened.failure())
        return await self.exchange(opened.unwrap(), request, observer)

    async def open(self, request: Call) -> Result[IOStream, CallFailure]:
        """Return a connection for a request, an idle one if possible.

        It must be passed to :meth:`exchange` or :meth:`put_back`.
        """
        try:
            return Success(await self._connect(request))
        except (OSError, StreamClosedError, TimeoutError) as error:
            cause = getattr(error, "real_error", None) or error
            refused = isinstance(cause, ConnectionRefusedError)
            reason = str(cause) or "timeout"
            failure = CallFailure(FailureKind.NOT_CONNECTED, False, reason, refused)
            self._on_connect(request.address, failure)
            return Failure(failure)

    def put_back(self, request: Call, stream: IOStream) -> None:
        """Keep a connection on which nothing was sent for a later request."""
        self._return_to_pool(stream, request, True, HTTPHeaders())

    async def exchange(
        self, stream: IOStream, request: Call, observer: Observer | None = None
    ) -> Result[Reply, CallFailure]:
        """Send a request on a connection that :meth:`open` returned, and read its reply."""
        if not request.expect_continue and observer is not None and not observer.confirm_send():
            _close_unused(stream)
            return Failure(CallFailure(FailureKind.WITHHELD, False, "overtaken"))
        collector = _ReplyCollector(observer, request)
        first, reusable = collector, False
        try:
            async with asyncio.timeout(request.timeout):
                reusable = await self._exchange(stream, request, collector, observer)
                for _ in range(MAX_SKIPPED_REPLIES):
                    if not collector.unrelated or not reusable:
                        break
                    collector = _ReplyCollector(observer, request)
                    reader = HTTP1Connection(stream, True, _params())
                    reusable = bool(await reader.read_response(collector))
        except _WithheldError:
            return Failure(CallFailure(FailureKind.WITHHELD, False, "overtaken"))
        except TimeoutError as error:
            reason = str(error) or f"no whole reply in {request.timeout} s"
            return Failure(CallFailure(FailureKind.TIMEOUT, first.body_sent, reason))
        except (OSError, StreamClosedError) as error:
            reason = str(getattr(error, "real_error", None) or error)
            return Failure(CallFailure(FailureKind.LOST, first.body_sent, reason))
        finally:
            # A server that replied before the body was sent still waits for it.
            complete = reusable and collector.finished and first.body_sent
            complete = complete and not _has_unread_bytes(stream)
            self._return_to_pool(stream, request, complete, collector.reply_headers)
        truncated = collector.close_delimited and stream.error is not None
        if (
            not collector.finished
            or not collector.framing_accepted
            or collector.unrelated
            or truncated
        ):
            reason = collector.fault or "the reply was cut"
            invalid = bool(collector.fault)
            return Failure(CallFailure(FailureKind.LOST, first.body_sent, reason, invalid=invalid))
        return Success(Reply(collector.status, collector.reply_headers, b"".join(collector.chunks)))

    def has_idle_connection(self, address: str) -> bool:
        """Return whether the pool has an open connection to an address."""
        now = time.monotonic()
        idle = self._idle_by_address.get(address, ())
        return any(now < i.expires_at and not i.stream.closed() for i in idle)

    def close(self) -> None:
        """Close the idle connections."""
        for address in list(self._idle_by_address):
            self.forget(address)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that is no longer in use."""
        for idle in self._idle_by_address.pop(address, []):
            _close_unused(idle.stream)

    def take_idle(self, address: str) -> IOStream | None:
        """Return an idle connection to an address, to be used like one of :meth:`open`."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            found = idle.pop()
            if _usable(found, time.monotonic()):
                return found.stream
            _close_unused(found.stream)
        return None

    async def _connect(self, request: Call) -> IOStream:
        idle = self.take_idle(request.address) if request.reuse else None
        if idle is not None:
            return idle
        host, port = request.address.rsplit(":", 1)
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            connecting = stream.connect((host, int(port)))
            # Unlike a timeout around the connection, this finds one that was opened while this
            # process was held up.
            await asyncio.wait({connecting}, timeout=request.connect_timeout)
            if not connecting.done():
                raise TimeoutError
            connecting.result()
        except BaseException:
            stream.close()
            raise
        if stream.closed():
            raise StreamClosedError(stream.error)
        self.opened += 1
        self._on_connect(request.address, None)
        stream.set_nodelay(True)
        _set_linger(stream.socket, RESET_ON_CLOSE)
        if self._monitored:
            _monitor(stream.socket)
        return stream

    async def _exchange(
        self,
        stream: IOStream,
        request: Call,
        collector: _ReplyCollector,
        observer: Observer | None,
    ) -> bool:
        connection = HTTP1Connection(stream, True, _params())
        headers = HTTPHeaders({"Host": request.address})
        headers.update(request.headers)
        if request.body or request.method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(request.body))
        if not request.reuse:
            headers["Connection"] = "close"
        start = RequestStartLine(request.method, request.path, "HTTP/1.1")
        if request.expect_continue:
            headers["Expect"] = "100-continue"
            headers["Content-Length"] = str(len(request.body))
            connection.write_headers(start, headers)
            reading = asyncio.ensure_future(connection.read_response(collector))
            try:
                await self._send_expected(connection, request, collector, observer, reading)
                return bool(await reading)
            finally:
                reading.cancel()
        # The future of the write is not awaited: if a server answers early and closes the
        # connection, the write fails although the reply can still be read.
        if len(request.body) > LARGE_BODY_BYTES:
            # The library copies a body that it sends together with a head.
            connection.write_headers(start, headers)
            connection.write(request.body)
        else:
            connection.write_headers(start, headers, request.body or None)
        connection.finish()
        return bool(await connection.read_response(collector))

    async def _send_expected(
        self,
        connection: HTTP1Connection,
        request: Call,
        collector: _ReplyCollector,
        observer: Observer | None,
        reading: asyncio.Future[bool],
    ) -> None:
        """Send the body once the server asks for it, unless it replies without.

        :raises TimeoutError: if the server does neither in the connect timeout
        """
        awaited: set[asyncio.Future[Any]] = {reading, collector.continued}
        await asyncio.wait(
            awaited, timeout=request.connect_timeout, return_when=asyncio.FIRST_COMPLETED
        )
        if not collector.continued.done():
            if not reading.done():
                raise TimeoutError(f"not taken in {request.connect_timeout} s")
            return
        if observer is not None and not observer.confirm_send():
            raise _WithheldError
        collector.body_sent = True
        if request.body:
            connection.write(request.body)
        connection.finish()

    def _return_to_pool(
        self, stream: IOStream, request: Call, complete: bool, headers: HTTPHeaders
    ) -> None:
        idle = self._idle_by_address.setdefault(request.address, [])
        seconds = _idle_seconds(headers)
        if (
            request.reuse
            and complete
            and not stream.closed()
            and not stream.writing()
            and len(idle) < MAX_IDLE_PER_ADDRESS
            and seconds > 0
        ):
            idle.append(_IdleConnection(stream, time.monotonic() + seconds))
        elif complete:
            _close_unused(stream)
        else:
            stream.close()


def _monitor(sock: socket.socket) -> None:
    """Let the system close a connection whose other end doesn't acknowledge anything any more."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    timeout_ms = int(UNACKNOWLEDGED_TIMEOUT * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _set_linger(sock: socket.socket, linger: bytes) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _close_unused(stream: IOStream) -> None:
    """Close a connection on which no request is outstanding, without a reset."""
    if not stream.closed():
        _set_linger(stream.socket, ORDERLY_CLOSE)
        stream.close()


def _params() -> HTTP1ConnectionParameters:
    # The collector checks the size, and knows which limit applies.
    return HTTP1ConnectionParameters(max_body_size=sys.maxsize)


def _usable(idle: _IdleConnection, now: float) -> bool:
    """Return whether an idle connection can be used for a request.

    Servers close idle connections. If a request is sent on a closed one, whether it ran is unknown.
    An end of stream or an unsolicited reply that arrived while the connection was idle makes its
    socket readable, unless the stream has read it.
    """
    stream = idle.stream
    if stream.closed() or now >= idle.expires_at or _has_unread_bytes(stream):
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _has_unread_bytes(stream: IOStream) -> bool:
    """Return whether a stream holds bytes that would be taken for the next reply."""
    # There is no public way to look at them without beginning to read.
    return bool(stream._read_buffer_size)


def _idle_seconds(headers: HTTPHeaders) -> float:
    """Return the seconds for which a connection may stay idle after a reply, 0 to close it."""
    if headers.get("Connection", "").lower() == "close":
        return 0.0
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_SECONDS
