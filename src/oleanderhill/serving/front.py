"""HTTP server for callers whose requests are forwarded unchanged, with a readiness endpoint."""

from __future__ import annotations

import asyncio
import json
import math
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

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
from tornado.iostream import StreamClosedError

from ..connection_memory import ConnectionMemory
from ..kernel import Kernel, Task
from ..listener import Connection, HttpListener, ListenerLimits
from ..outcomes import PROCESS_ENDED, Problem, Ran, draining, process_ended, too_large
from ..records import Records
from ..settings.catalog import ClientLimits
from .forwarding import Codec, RequestInfo
from .incoming import Incoming
from .shutdown import Shutdown

IDLE_TIMEOUT = 30.0
"""Seconds after which a caller's idle connection is closed: twice the callers' own idle timeout."""

MAX_HEADER_BYTES = 64 * 1024
"""Maximum bytes of a request's headers."""

MAX_BODY_SECONDS = 60.0
"""Seconds in which a body must arrive whose caller states no shorter timeout."""

HEADER_MARGIN_BYTES = 8 * 1024
"""Bytes of a head beyond its limit, for the line before its fields."""

HEAD_MARGIN_SECONDS = 2.0
"""Seconds that a head may take beyond its limit, for packets that are sent again."""

DISCARDED_BODIES = 2
"""Bytes of a refused body that are read, in bodies of the maximum size."""

LARGE_BODY_BYTES = 64 * 1024
"""Bytes from which on a body is large: that of a request is read only if it may be served, and that
of an answer is sent apart from its head."""

MAX_LENGTH_DIGITS = 18
"""Digits of an announced length. A longer one is no length that a body can have."""

LIMITS = ListenerLimits(MAX_HEADER_BYTES, IDLE_TIMEOUT)

READINESS_LIMITS = LIMITS._replace(max_body_bytes=0, max_connections=16)
"""Readiness probes have no body, and few programs probe."""

STOP_LISTENING_AFTER = 2.7
"""Seconds after the shutdown request during which new connections are still accepted. The load
balancer polls readiness once per second and removes this host after two failures. Requests accepted
until then have five seconds to finish; later ones are refused if their deadline is beyond that."""

EXIT_MARGIN = 0.6
"""Seconds before the end of the grace period at which the process exits on its own."""

FINAL_ANSWER_SECONDS = 0.2
"""Seconds for the final answers of requests that outlast the grace period."""


class ServeCallbacks(NamedTuple):
    """Callbacks of the server into the rest of the process.

    :param serve: handles a request and writes its final response to a sink
    :param ready: returns whether the load balancer should send requests to this host
    :param limits: returns the limits of what callers may send
    :param unanswered: counts a request that ends without an answer, by outcome
    :param refused: counts a request that is answered without being handled, by outcome
    :param refusal: returns why a request of a host and path is refused whatever its body is,
        ``None`` if it may be handled
    """

    serve: Callable[[Incoming, str, str, CallerSink], Awaitable[None]]
    ready: Callable[[], bool]
    limits: Callable[[], ClientLimits]
    unanswered: Callable[[str], None] = lambda outcome: None
    refused: Callable[[str], None] = lambda outcome: None
    refusal: Callable[[RequestInfo, str, str], Problem | None] = lambda facts, host, path: None


class CallerSink:
    """Writes the response to one caller."""

    def __init__(
        self,
        connection: HTTP1Connection,
        codec: Codec,
        facts: RequestInfo,
        front: Front,
        head_only: bool,
    ) -> None:
        self._connection = connection
        self._head_only = head_only
        self._codec = codec
        self._facts = facts
        self._front = front
        self.started = False
        self.finished = False

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._connection.stream.closed()

    def reply(self, status: int, headers: HTTPHeaders, body: Sequence[bytes]) -> None:
        """Send a complete response, without its body if only the head was asked for.

        The pieces of a large body are sent as they are: joined, they would need one block of memory
        after the other, which leaves the pieces of other bodies between them.
        """
        size = sum(map(len, body))
        headers["Content-Length"] = str(size)
        if self._head_only:
            self._write_head(status, headers, None)
        elif size <= LARGE_BODY_BYTES:
            self._write_head(status, headers, b"".join(body))
        else:
            self._write_head(status, headers, None)
            for piece in body:
                self._connection.write(piece).add_done_callback(_retrieve_exception)
        self.end()

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of a streamed response."""
        self.started = True
        self._write_head(status, headers, None)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a chunk of a streamed response; await the result, if any, before the next chunk."""
        flushed = self._connection.write(data)
        return None if flushed.done() else _ignore_closed(flushed)

    def end(self) -> None:
        """Finish a streamed response as complete."""
        self.finished = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection before the last chunk, which marks the response as incomplete."""
        self.finished = True
        self._connection.close()

    def reject(self, problem: Problem, whole: bool = True) -> None:
        """Send a problem as the final response.

        :param whole: whether the request has been received whole; otherwise the connection is to be
            closed by its owner
        """
        headers = HTTPHeaders()
        for name, value in self._codec.problem_headers(
            self._facts.request_id, problem.retry_after
        ).items():
            headers[name] = value
        body = json.dumps(problem.as_body(self._facts.request_id)).encode()
        if whole:
            self.reply(problem.status, headers, [body])
            return
        headers["Connection"] = "close"
        headers["Content-Length"] = str(len(body))
        self.finished = True
        self._write_head(problem.status, headers, None if self._head_only else body)

    def _write_head(self, status: int, headers: HTTPHeaders, body: bytes | None) -> None:
        if self._front.stopping:
            headers["Connection"] = "close"
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        written = self._connection.write_headers(start, headers, body)
        written.add_done_callback(_retrieve_exception)


def _retrieve_exception(written: asyncio.Future[None]) -> None:
    """Retrieve the exception of a failed write, so that asyncio doesn't log it as unhandled.

    The close callback handles disconnects.
    """
    if not written.cancelled():
        written.exception()


async def _ignore_closed(flushed: asyncio.Future[None]) -> None:
    try:
        await flushed
    except StreamClosedError:
        return


class _CallerRequest(HTTPMessageDelegate):
    """Receives one request of a caller.

    :param owner: the connection on which it arrives
    """

    def __init__(self, front: Front, owner: Connection, connection: HTTP1Connection) -> None:
        self._front = front
        self._owner = owner
        self._connection = connection
        self._first_on_connection = owner.requests == 1
        self._start_line = RequestStartLine("", "", "")
        self._headers = HTTPHeaders()
        self._body = bytearray()
        self._discarded: int | None = None
        self._body_awaited = True
        self._task: asyncio.Task[None] | None = None
        self._arrived_at = 0.0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        front = self._front
        self._start_line = start_line
        self._headers = headers
        self._arrived_at = time.monotonic()
        self._facts = front.codec.read_request(headers)
        front.requests_in_flight.add(self)
        head_only = start_line.method == "HEAD"
        self._sink = CallerSink(self._connection, front.codec, self._facts, front, head_only)
        self._body_awaited = headers.get("Expect") != "100-continue"
        # The limit is checked here, where a refusal is an answer.
        self._connection.set_max_body_size(sys.maxsize)
        self._owner.body_due = self._arrived_at + body_seconds(self._facts.caller_timeout)
        max_body, announced = front.callbacks.limits().body_bytes, announced_bytes(headers)
        if announced > max_body:
            self._refuse_body(too_large(max_body))
        elif announced > LARGE_BODY_BYTES:
            self._refuse_unservable()
        self._body_awaited = True

    def data_received(self, chunk: bytes) -> None:
        max_body = self._front.callbacks.limits().body_bytes
        if self._discarded is not None:
            self._discarded += len(chunk)
            if self._discarded > DISCARDED_BODIES * max_body:
                self._owner.close_stream()
            return
        large = len(self._body) > LARGE_BODY_BYTES
        self._body += chunk
        if len(self._body) > max_body:
            self._refuse_body(too_large(max_body))
        elif not large and len(self._body) > LARGE_BODY_BYTES:
            self._refuse_unservable()

    def finish(self) -> None:
        front, sink = self._front, self._sink
        if self._discarded is not None:
            self._connection.finish()
            return
        if sink.closed:
            # No caller is left to receive the response, so a target would process the request for
            # nothing.
            front.requests_in_flight.discard(self)
            front.unanswered(
                self._facts.request_id, "dropped", "read while its connection was closed"
            )
            return
        if front.shutdown.ending:
            refusal = draining()
            sink.reject(refusal)
            front.refused(self._facts.request_id, refusal)
            front.requests_in_flight.discard(self)
            return
        incoming = Incoming(
            self._start_line.method,
            self._start_line.path,
            self._headers,
            bytes(self._body),
            self._facts,
            self._arrived_at,
            self._first_on_connection,
        )
        self._body = bytearray()
        host = self._headers.get("Host", "")
        path = self._start_line.path.partition("?")[0]
        # Tornado reports a disconnect to the delegate only until the request has been received; a
        # later one is reported only to the close callback.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = front.spawn(front.run(incoming, host, path, sink))
        self._task.add_done_callback(lambda _: front.requests_in_flight.discard(self))

    def refuse(self, problem: Problem) -> None:
        self._refuse_body(problem)

    def end(self) -> None:
        """End the request, as this process ends."""
        if self._task is not None:
            self._task.cancel()

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        elif self in self._front.requests_in_flight:
            self._front.requests_in_flight.discard(self)
            self._front.unanswered(self._facts.request_id, "dropped", "closed before it was whole")

    def _refuse_unservable(self) -> None:
        """Refuse a request with a large body now if it would be refused once it is whole."""
        host, path = self._headers.get("Host", ""), self._start_line.path.partition("?")[0]
        problem = self._front.callbacks.refusal(self._facts, host, path)
        if problem is not None:
            self._refuse_body(problem)

    def _refuse_body(self, problem: Problem) -> None:
        """Answer a request that is not whole, and discard the rest of its body."""
        self._body = bytearray()
        self._discarded = 0
        self._sink.reject(problem, whole=False)
        self._front.refused(self._facts.request_id, problem)
        self._front.requests_in_flight.discard(self)
        if self._body_awaited:
            self._owner.discard_body()
        else:
            # The caller has not sent the body, so there is nothing to discard.
            self._connection.finish()


def body_seconds(caller_timeout: float | None) -> float:
    """Return the seconds in which a body must arrive: later, its caller awaits no answer."""
    if caller_timeout is None or not 0 < caller_timeout < MAX_BODY_SECONDS:
        return MAX_BODY_SECONDS
    return caller_timeout


def announced_bytes(headers: HTTPHeaders) -> int:
    """Return the length of a body that its head announces, 0 if it announces none."""
    length = headers.get("Content-Length", "")
    return int(length) if length.isdecimal() and len(length) <= MAX_LENGTH_DIGITS else 0


class _ReadinessRequest(HTTPMessageDelegate):
    def __init__(self, front: Front, owner: Connection, connection: HTTP1Connection) -> None:
        del owner
        self._front = front
        self._connection = connection

    def finish(self) -> None:
        status = 200 if self._front.ready else 503
        start = ResponseStartLine("HTTP/1.1", status, responses[status])
        headers = HTTPHeaders({"Content-Length": "0"})
        self._connection.write_headers(start, headers, b"").add_done_callback(_retrieve_exception)
        self._connection.finish()


class _Requests(HTTPServerConnectionDelegate):
    """Creates a delegate for each request."""

    def __init__(
        self,
        front: Front,
        make_delegate: Callable[[Front, Connection, HTTP1Connection], HTTPMessageDelegate],
    ) -> None:
        self._front = front
        self._make_delegate = make_delegate

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(server_conn, Connection) and isinstance(request_conn, HTTP1Connection)
        return self._make_delegate(self._front, server_conn, request_conn)


class Front(Task):
    """Owns the server for callers and the requests in flight.

    :param callers: ``ip:port`` on which callers connect
    :param balancer: ``ip:port`` on which the load balancer polls readiness
    :param grace: seconds between the shutdown request and the forced end of the process
    :param memory: what connections of callers may hold, without a limit by default
    :param max_connections: connections of callers
    :ivar shutdown: the planned end of the process
    """

    name = "front"

    def __init__(
        self,
        kernel: Kernel,
        callers: str,
        balancer: str,
        grace: float,
        codec: Codec,
        callbacks: ServeCallbacks,
        records: Records,
        memory: ConnectionMemory | None = None,
        max_connections: float = math.inf,
    ) -> None:
        super().__init__(kernel)
        self.shutdown = Shutdown(grace - EXIT_MARGIN, STOP_LISTENING_AFTER)
        self.codec = codec
        self.callbacks = callbacks
        self._records = records
        self.stopping = False
        self._removed = False
        self.requests_in_flight: set[_CallerRequest] = set()
        self._fixed_limits = LIMITS._replace(max_connections=max_connections)
        self.callers = HttpListener(
            callers,
            _Requests(self, _CallerRequest),
            self._fixed_limits,
            self._head_lost,
            memory,
            self._answer_unread,
            self._limits,
        )
        self._readiness = HttpListener(
            balancer, _Requests(self, _ReadinessRequest), READINESS_LIMITS
        )

    async def start(self) -> None:
        """Start to listen for callers and for the load balancer."""
        self._readiness.accept_connections()
        self.accept_connections()

    def refuse_connections(self) -> None:
        """Refuse new connections of callers; open ones are served.

        A host that is shutting down accepts until the load balancer must have removed it.
        """
        if not self.stopping:
            self.callers.refuse_connections()

    def accept_connections(self) -> None:
        """Accept new connections of callers, unless the balancer must have removed this host."""
        if not self._removed:
            self.callers.accept_connections()

    async def stop(self) -> None:
        """Close the servers and all connections."""
        self.shutdown.ending = True
        self._records.note(
            "process",
            "closing connections",
            in_flight=self.in_flight,
            open=len(self.callers),
            unread=self.callers.unread,
        )
        await self._readiness.stop()
        await self.callers.stop()
        await super().stop()

    @property
    def in_flight(self) -> int:
        """Return the number of requests with received headers and an unfinished response.

        Requests count from the receipt of their headers. If they counted only from the start of
        their task, a drain would miss a request whose body is still being received, and the process
        would exit and abort the request while its target processes it.
        """
        return len(self.requests_in_flight)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this host."""
        return not self.stopping and self.callbacks.ready()

    async def drain(self) -> None:
        """Stop accepting callers, and return when their connections are closed.

        First the readiness endpoint answers 503. New connections are accepted until the load
        balancer must have removed this host, because a refused connection loses a request. From the
        shutdown request on, each response closes its connection, so that callers reconnect through
        the load balancer. Connections without a request are closed when the listening ends; all
        others are closed after their response, at the latest when the process must exit.
        """
        now = time.monotonic()
        self.shutdown.request(now)
        self.stopping = True
        self._records.note(
            "process",
            "draining",
            in_flight=self.in_flight,
            ends_in_ms=round((self.shutdown.ends_at - now) * 1000),
        )
        self._accept_again()
        await asyncio.sleep(min(STOP_LISTENING_AFTER, self.shutdown.ends_at - now))
        self._removed = True
        self.callers.refuse_connections()
        self.callers.close_idle()
        await self.callers.until_closed(self.shutdown.ends_at)
        self.shutdown.ending = True
        if self.in_flight:
            self._end_requests()
            await self.callers.until_closed(time.monotonic() + FINAL_ANSWER_SECONDS)
        self._records.note("process", "drained", in_flight=self.in_flight, open=len(self.callers))

    def _accept_again(self) -> None:
        """Accept new connections if they are refused."""
        try:
            self.accept_connections()
        except OSError as error:
            self._records.note("process", "can't accept connections", reason=str(error))

    def _end_requests(self) -> None:
        """End the requests that are left: with a final answer, unless theirs has begun."""
        for request in list(self.requests_in_flight):
            request.end()

    def _head_lost(self) -> None:
        self.unanswered("", "dropped", "its head was not read whole")

    def _limits(self) -> ListenerLimits:
        """Return the limits of the configuration, which may change."""
        limits = self.callbacks.limits()
        return self._fixed_limits._replace(
            max_header_bytes=limits.head_bytes + HEADER_MARGIN_BYTES,
            idle_seconds=limits.idle_seconds,
            head_seconds=limits.head_seconds + HEAD_MARGIN_SECONDS,
        )

    def _answer_unread(self) -> None:
        self.unanswered("", "dropped", "its answer was not read")

    def refused(self, request_id: str, problem: Problem) -> None:
        """Log a request that was answered without being handled."""
        self._records.request(
            request_id, problem.kind, False, status=problem.status, reason=problem.detail
        )
        self.callbacks.refused(problem.kind)

    def unanswered(self, request_id: str, outcome: str, reason: str, **fields: object) -> None:
        """Log and count a request that ends without an answer.

        :param request_id: empty if the request was not read
        """
        self._records.request(
            request_id, outcome, False, reason=reason, draining=self.stopping, **fields
        )
        self.callbacks.unanswered(outcome)

    async def run(self, incoming: Incoming, host: str, path: str, sink: CallerSink) -> None:
        """Handle a request up to its final response.

        After an internal error the caller gets a 502, or its stream is aborted if it has begun.
        """
        try:
            await self.callbacks.serve(incoming, host, path, sink)
        except asyncio.CancelledError:
            if self.shutdown.ending and not (sink.started or sink.finished or sink.closed):
                sink.reject(process_ended())
                self._records.request(incoming.facts.request_id, PROCESS_ENDED, False, status=502)
                return
            reason = "the process stops" if self.shutdown.ending else "its connection was closed"
            self.unanswered(incoming.facts.request_id, "cancelled", reason, started=sink.started)
            raise
        except Exception as error:  # an internal error must not leave the caller without a response
            self.log_failure(error)
            detail = f"{type(error).__name__}: {error}"
            self._records.request(incoming.facts.request_id, "internal", False, reason=detail)
            if sink.started:
                sink.abort()
            elif not sink.finished:
                sink.reject(Problem("internal", 502, Ran.UNKNOWN, "an internal failure"))
