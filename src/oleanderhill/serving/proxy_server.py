"""Passes on requests of peers that can't reach a target, see :mod:`..clients.proxying`.

Only the hop is shared: the peer that sends a request decides on its target, its retries and its
limits, and counts it as its own. A request is never passed on to a third entry host.
"""

from __future__ import annotations

import asyncio
import math
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns.pipeline import is_successful
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import IOStream, StreamClosedError

from ..clients.httpcall import Call, CallFailure, HttpCaller, Observer
from ..clients.proxying import (
    FAILURE_HEADER,
    FAILURE_STATUS,
    SENDER_HEADER,
    TARGET_HEADER,
    UNLISTED_REASON,
    ProxyFailure,
    ProxyFault,
    confirmed_body,
    encode_failure,
    without_proxy_headers,
)
from ..connection_memory import ConnectionMemory
from ..kernel import Kernel, Task
from ..listener import HttpListener, ListenerLimits
from ..outcomes import Problem
from ..records import Records
from ..routing.reachability import Reachability, Route
from .forwarding import Codec

CONNECT_TIMEOUT = 0.12
"""Seconds to connect to a target; the sender waits twice as long for the request to be taken."""

IDLE_TIMEOUT = 30.0
"""Seconds after which a peer's idle connection is closed."""

MAX_HEADER_BYTES = 64 * 1024

MAX_IN_FLIGHT = 512
"""Requests of peers at a time. An entry host bears several times as many requests."""

HOP_HEADERS = ("Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Expect", "Te")
"""Headers of one connection, which aren't passed on."""


class ProxyCallbacks(NamedTuple):
    """Callbacks of the proxy into the rest of the process.

    :param is_target: returns whether a target is listed at an address
    :param draining: returns whether this entry host is shutting down
    """

    is_target: Callable[[str], bool]
    draining: Callable[[], bool]


class _ReplyForwarder(Observer):
    """Sends a target's reply to the peer as it arrives."""

    def __init__(self, connection: HTTPConnection) -> None:
        self._connection = connection
        self.status = 0

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        passed = without_proxy_headers(headers, *HOP_HEADERS)
        written = self._connection.write_headers(start, passed)
        written.add_done_callback(_retrieve_exception)

    def max_body(self, limit: int) -> int | None:
        # Nothing is kept here, and the peer knows the limit.
        return None

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        flushed = self._connection.write(chunk)
        return None if flushed.done() else _ignore_closed(flushed)


class _ProxiedRequest(HTTPMessageDelegate):
    """Receives one request of a peer."""

    def __init__(self, server: ProxyServer, connection: HTTPConnection) -> None:
        self._server = server
        self.connection = connection
        self.start_line = RequestStartLine("", "", "")
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.to_target: IOStream | None = None
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self.start_line, self.headers = start_line, headers
        return self._server.take(self)

    def data_received(self, chunk: bytes) -> None:
        if self.to_target is not None:
            self.body += chunk

    def finish(self) -> None:
        if self.to_target is None:
            return  # it was rejected
        if isinstance(self.connection, HTTP1Connection) and self.connection.stream.closed():
            # No peer is left to receive the reply.
            self.on_connection_close()
            return
        body = confirmed_body(bytes(self.body))
        self.body = bytearray()
        if body is None:
            stream, self.to_target = self.to_target, None
            self._server.reject_unconfirmed(self, stream)
            return
        if isinstance(self.connection, HTTP1Connection):
            self.connection.set_close_callback(self.on_connection_close)
        self._task = self._server.spawn(self._server.forward(self, body, self.to_target))

    def refuse(self, problem: Problem) -> None:
        """Refuse the request, of which nothing was sent to its target."""
        if self.to_target is not None:
            stream, self.to_target = self.to_target, None
            self.body = bytearray()
            self._server.refuse(self, stream, problem.detail)

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        elif self.to_target is not None:
            stream, self.to_target = self.to_target, None
            self._server.give_up(self, stream)


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    def __init__(self, server: ProxyServer) -> None:
        self._server = server

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _ProxiedRequest(self._server, request_conn)


class ProxyServer(Task):
    """HTTP server that passes on requests of peers.

    :param address: ``ip:port``
    :param caller: opens connections to targets, shared with the requests of this host's callers
    :param memory: what connections may hold, shared with those of callers
    :param max_connections: connections of peers
    """

    name = "proxy"

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        caller: HttpCaller,
        reachability: Reachability,
        codec: Codec,
        callbacks: ProxyCallbacks,
        records: Records,
        memory: ConnectionMemory | None = None,
        max_connections: float = math.inf,
    ) -> None:
        super().__init__(kernel)
        self._caller = caller
        self._reachability = reachability
        self._codec = codec
        self._callbacks = callbacks
        self._records = records
        self.in_flight = 0
        limits = ListenerLimits(
            MAX_HEADER_BYTES, IDLE_TIMEOUT, sys.maxsize, max_connections=max_connections
        )
        self._peers = HttpListener(address, _ConnectionDelegate(self), limits, memory=memory)

    async def start(self) -> None:
        """Start listening."""
        self._peers.accept_connections()

    async def stop(self) -> None:
        """Close the server."""
        await self._peers.stop()
        await super().stop()

    async def drain(self, until: float) -> None:
        """Return when the replies to peers are written, at the latest at a monotonic time."""
        self._peers.refuse_connections()
        self._peers.close_idle()
        await self._peers.until_closed(until)

    async def take(self, request: _ProxiedRequest) -> None:
        """Connect to the target of a request, or reject the request before its body is sent."""
        address = request.headers.get(TARGET_HEADER, "")
        problem = self._problem(address)
        if problem is not None:
            self._reject(request, problem)
            return
        opened = await self._caller.open(self._call(request, b""))
        if is_successful(opened):
            request.to_target = opened.unwrap()
            self.in_flight += 1
            return
        failure = opened.failure()
        proven = self._reachability.proven(time.monotonic())
        fault = ProxyFault.TARGET_DOWN if proven else ProxyFault.NOT_REACHED
        self._reject(request, ProxyFailure(fault, failure.reason, failure.refused))

    def give_up(self, request: _ProxiedRequest, stream: IOStream) -> None:
        """Keep the connection of a request that was not sent."""
        self.in_flight -= 1
        self._caller.put_back(self._call(request, b""), stream)

    def refuse(self, request: _ProxiedRequest, stream: IOStream, reason: str) -> None:
        """Refuse a request that is not whole."""
        self.give_up(request, stream)
        self._reject(request, ProxyFailure(ProxyFault.DECLINED, reason))

    def reject_unconfirmed(self, request: _ProxiedRequest, stream: IOStream) -> None:
        """Reject a request whose body lacks the confirmation of its sender."""
        self.refuse(request, stream, "not confirmed")

    async def forward(self, request: _ProxiedRequest, body: bytes, stream: IOStream) -> None:
        """Send a request to its target and the reply to the peer."""
        began = time.monotonic()
        forwarder = _ReplyForwarder(request.connection)
        call = self._call(request, body)
        outcome = "proxy aborted"
        try:
            result = await self._caller.exchange(stream, call, forwarder)
            outcome = "proxied" if is_successful(result) else "proxy failed"
            if is_successful(result):
                request.connection.finish()
            else:
                self._fail(request, forwarder, result.failure())
        finally:
            self.in_flight -= 1
            self._records.request(
                self._codec.read_request(request.headers).request_id,
                outcome,
                outcome == "proxied",
                sender=request.headers.get(SENDER_HEADER, ""),
                address=request.headers[TARGET_HEADER],
                status=forwarder.status,
                draining=self._callbacks.draining(),
                ms=round((time.monotonic() - began) * 1000),
            )

    def _problem(self, address: str) -> ProxyFailure | None:
        """Return why a request isn't passed on, ``None`` if it is."""
        now = time.monotonic()
        if self._callbacks.draining():
            return ProxyFailure(ProxyFault.DECLINED, "draining")
        if self.in_flight >= MAX_IN_FLIGHT:
            return ProxyFailure(ProxyFault.DECLINED, "too many requests of peers")
        if not self._callbacks.is_target(address):
            return ProxyFailure(ProxyFault.DECLINED, UNLISTED_REASON)
        if self._reachability.is_broken(address, now):
            return ProxyFailure(ProxyFault.DECLINED, "its own link is broken")
        if self._reachability.route(address, now) in (Route.PEER, Route.UNREACHABLE):
            return ProxyFailure(ProxyFault.NOT_REACHED, "it could not connect just now")
        return None

    def _call(self, request: _ProxiedRequest, body: bytes) -> Call:
        request_id = self._codec.read_request(request.headers).request_id
        return Call(
            request.headers[TARGET_HEADER],
            request.start_line.method,
            request.start_line.path,
            without_proxy_headers(request.headers, *HOP_HEADERS),
            body,
            timeout=None,
            reuse=True,
            accept_close_delimited=True,
            is_reply_to_call=lambda h: self._codec.is_reply_to(request_id, h),
            connect_timeout=CONNECT_TIMEOUT,
        )

    def _fail(
        self, request: _ProxiedRequest, forwarder: _ReplyForwarder, failure: CallFailure
    ) -> None:
        """Tell the peer that there is no reply, or break off the one that was begun."""
        if forwarder.status:
            if isinstance(request.connection, HTTP1Connection):
                request.connection.close()
            return
        self._reject(request, ProxyFailure(ProxyFault.LOST, failure.reason, failure.refused))

    def _reject(self, request: _ProxiedRequest, failure: ProxyFailure) -> None:
        body = encode_failure(failure)
        headers = HTTPHeaders({FAILURE_HEADER: "1", "Content-Length": str(len(body))})
        if failure.fault != ProxyFault.LOST:
            # The body of the request was not read and won't be.
            headers["Connection"] = "close"
        start = ResponseStartLine("HTTP/1.1", FAILURE_STATUS, responses[FAILURE_STATUS])
        written = request.connection.write_headers(start, headers, body)
        written.add_done_callback(_retrieve_exception)
        request.connection.finish()


def _retrieve_exception(written: asyncio.Future[None]) -> None:
    """Ignore that the peer disconnected: its close callback handles that."""
    if not written.cancelled():
        written.exception()


async def _ignore_closed(flushed: asyncio.Future[None]) -> None:
    try:
        await flushed
    except StreamClosedError:
        return
