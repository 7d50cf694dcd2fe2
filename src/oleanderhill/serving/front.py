"""The server towards callers for requests that are forwarded as they are, and its readiness."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from weakref import WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from ..kernel import Kernel, Task
from ..outcomes import Problem, Ran, too_large
from ..records import Records
from .forwarding import Codec, Facts
from .incoming import Incoming

IDLE_TIMEOUT = 30.0
"""Seconds for which a caller's idle connection is kept: twice what callers use."""

LONGEST_HEADER = 64 * 1024
STOP_LISTENING_AFTER = 2.7
"""Seconds after the stop order in which requests still come: the balancer asks once a second and
takes this host out after two misses. What comes until then has five seconds to end."""

EXIT_MARGIN = 0.6
"""Seconds before the end of the grace in which the process is gone by itself."""


class Serve(NamedTuple):
    """What the front needs from the rest.

    :param serve: runs a request to its final answer on a sink
    :param ready: tells whether the balancer should send callers here
    """

    serve: Callable[[Incoming, str, str, CallerSink], Awaitable[None]]
    ready: Callable[[], bool]
    max_body: Callable[[], int]


class CallerSink:
    """Gives one caller its answer."""

    def __init__(
        self, connection: HTTPConnection, codec: Codec, facts: Facts, front: Front
    ) -> None:
        self._connection = connection
        self._codec = codec
        self._facts = facts
        self._front = front
        self.begun = False
        self.finished = False

    def reply(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Give a whole answer."""
        headers["Content-Length"] = str(len(body))
        self._head(status, headers, body)
        self.end()

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Begin a streamed answer."""
        self.begun = True
        self._head(status, headers, None)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Give a piece of a streamed answer; more may follow when the result is done."""
        flushed = self._connection.write(data)
        return None if flushed.done() else _quietly(flushed)

    def end(self) -> None:
        """End a streamed answer as whole."""
        self.finished = True
        self._connection.finish()

    def cut(self) -> None:
        """End a streamed answer so that it can't be taken for whole: the last chunk is missing."""
        self.finished = True
        if isinstance(self._connection, HTTP1Connection):
            self._connection.close()

    def refuse(self, problem: Problem) -> None:
        """Give a problem as the final answer."""
        headers = HTTPHeaders()
        for name, value in self._codec.refusal(self._facts.request_id, problem.retry_after).items():
            headers[name] = value
        body = problem.as_body(self._facts.request_id)
        self.reply(problem.status, headers, json.dumps(body).encode())

    def _head(self, status: int, headers: HTTPHeaders, body: bytes | None) -> None:
        if self._front.stopping:
            headers["Connection"] = "close"
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        written = self._connection.write_headers(start, headers, body)
        written.add_done_callback(_take_note)


def _take_note(written: asyncio.Future[None]) -> None:
    """A write to a caller that left fails; the exchange hears of it by the connection's end."""
    if not written.cancelled():
        written.exception()


async def _quietly(flushed: asyncio.Future[None]) -> None:
    try:
        await flushed
    except StreamClosedError:
        return


class _Message(HTTPMessageDelegate):
    """One request of a caller as it comes in."""

    def __init__(self, front: Front, connection: HTTPConnection, first: bool) -> None:
        self._front = front
        self._connection = connection
        self._first = first
        self._start = RequestStartLine("", "", "")
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task[None] | None = None
        self._arrived = 0.0
        front.idle.add(self)
        if front.closing_idle:
            # An answer that began before the stop order has just ended, and kept its connection.
            self.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._front.idle.discard(self)
        self._front.underway.add(self)
        self._start = start_line
        self._headers = headers
        self._arrived = time.monotonic()

    def data_received(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size <= self._front.serving.max_body():
            self._chunks.append(chunk)

    def finish(self) -> None:
        front = self._front
        if isinstance(self._connection, HTTP1Connection) and self._connection.stream.closed():
            # Read in the moment in which the connection was closed as an idle one: nobody is left
            # to take the answer, and a target would work for it in vain.
            front.underway.discard(self)
            return
        facts = front.codec.read_request(self._headers)
        sink = CallerSink(self._connection, front.codec, facts, front)
        if self._size > front.serving.max_body():
            sink.refuse(too_large(front.serving.max_body()))
            front.underway.discard(self)
            return
        incoming = Incoming(
            self._start.method,
            self._start.path,
            self._headers,
            b"".join(self._chunks),
            facts,
            self._arrived,
            self._first,
        )
        host = self._headers.get("Host", "")
        path = self._start.path.partition("?")[0]
        # The delegate hears of an end while the request comes in; of a later one only like this.
        if isinstance(self._connection, HTTP1Connection):
            self._connection.set_close_callback(self.on_connection_close)
        self._task = front.spawn(front.run(incoming, host, path, sink))
        self._task.add_done_callback(lambda _: front.underway.discard(self))

    def on_connection_close(self) -> None:
        self._front.idle.discard(self)
        if self._task is None:
            self._front.underway.discard(self)
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close the connection, on which no request has begun."""
        if isinstance(self._connection, HTTP1Connection):
            self._connection.close()


class _Ready(HTTPMessageDelegate):
    def __init__(self, front: Front, connection: HTTPConnection, first: bool) -> None:
        del first
        self._front = front
        self._connection = connection

    def finish(self) -> None:
        status = 200 if self._front.ready else 503
        start = ResponseStartLine("HTTP/1.1", status, responses[status])
        headers = HTTPHeaders({"Content-Length": "0"})
        self._connection.write_headers(start, headers, b"").add_done_callback(_take_note)
        self._connection.finish()


class _Server(HTTPServerConnectionDelegate):
    """Makes a delegate for each request."""

    def __init__(
        self, front: Front, make: Callable[[Front, HTTPConnection, bool], HTTPMessageDelegate]
    ) -> None:
        self._front = front
        self._make = make
        self._known: WeakSet[object] = WeakSet()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        first = server_conn not in self._known
        self._known.add(server_conn)
        return self._make(self._front, request_conn, first)


class Front(Task):
    """Owns the server towards callers and the requests in flight.

    :param callers: ``ip:port`` for callers; ``balancer`` is where the balancer asks for readiness
    :param grace: seconds between the stop order and the end of the process
    """

    name = "front"

    def __init__(
        self,
        kernel: Kernel,
        callers: str,
        balancer: str,
        grace: float,
        codec: Codec,
        serving: Serve,
        records: Records,
    ) -> None:
        super().__init__(kernel)
        self._callers = callers
        self._balancer = balancer
        self._grace = grace
        self.codec = codec
        self.serving = serving
        self._records = records
        self.stopping = False
        self.closing_idle = False
        self.underway: set[_Message] = set()
        self.idle: WeakSet[_Message] = WeakSet()
        self._servers: list[HTTPServer] = []

    async def start(self) -> None:
        """Listen."""
        for address, delegate in (
            (self._balancer, _Server(self, _Ready)),
            (self._callers, _Server(self, _Message)),
        ):
            server = HTTPServer(
                delegate, max_header_size=LONGEST_HEADER, idle_connection_timeout=IDLE_TIMEOUT
            )
            ip, port = address.rsplit(":", 1)
            server.listen(int(port), ip, backlog=1024)
            self._servers.append(server)

    async def stop(self) -> None:
        """Close the servers."""
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        await super().stop()

    @property
    def in_flight(self) -> int:
        """Return the requests whose head has come and whose answer has not ended.

        They count from their head on. Counted from the start of their task, one that came in the
        moment in which a drain saw none was cut by the end of the process, its target at work.
        """
        return len(self.underway)

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return not self.stopping and self.serving.ready()

    async def drain(self) -> None:
        """Take no new callers, and return when the requests in flight have ended.

        Readiness goes first. Connections go on being taken until the balancer has surely noticed:
        one that is refused loses a request. From the stop order on each answer ends its
        connection, so that callers come back through the balancer.
        """
        began = time.monotonic()
        self.stopping = True
        self._records.note("process", "draining", in_flight=self.in_flight)
        await asyncio.sleep(STOP_LISTENING_AFTER)
        self._servers[1].stop()
        # A request on a connection that is kept after this would be cut by the process's end.
        self.closing_idle = True
        for message in list(self.idle):
            message.close()
        while self.in_flight and time.monotonic() - began < self._grace - EXIT_MARGIN:
            await asyncio.sleep(0.05)
        self._records.note("process", "drained", in_flight=self.in_flight)

    async def run(self, incoming: Incoming, host: str, path: str, sink: CallerSink) -> None:
        """Run a request to its final answer; every failure gets one."""
        try:
            await self.serving.serve(incoming, host, path, sink)
        except Exception as error:  # a fault of ours must not leave the caller without an answer
            self.failed(error)
            detail = f"{type(error).__name__}: {error}"
            self._records.request(incoming.facts.request_id, "internal", False, reason=detail)
            if sink.begun:
                sink.cut()
            elif not sink.finished:
                sink.refuse(Problem("internal", 502, Ran.UNKNOWN, "an internal failure"))
