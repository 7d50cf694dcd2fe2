"""An HTTP server on one address that owns its connections until they are closed.

A connection is idle until the first byte of a request has arrived, and again once the answer has
been written whole. Only idle connections are closed before the end of the process, so a request
that has arrived is answered, whether it waits in the socket, in the buffer of its stream or in its
handler.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, runtime_checkable

import eliot
from tornado.http1connection import HTTP1ConnectionParameters, HTTP1ServerConnection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from .connection_memory import ConnectionMemory, Holding
from .outcomes import Problem, no_memory, too_busy, too_slow
from .turns import Turns

BACKLOG = 1024
"""Connections that may wait to be accepted."""

MAX_ACCEPTED_AT_ONCE = 128
"""Connections that are accepted in one step of the event loop."""

ACCEPT_PAUSE_SECONDS = 0.1
"""Seconds for which no connection is accepted after one could not be, for want of descriptors."""

CLOSED_FRACTION = 0.05
"""Fraction of the connections that are closed at once when there are too many."""

MIN_IDLE_SECONDS = 0.1
"""Seconds for which a connection must have been idle to be closed. The request of a new one follows
within a round trip."""

HEAD_SECONDS = 10.0
"""Seconds in which a request's head must arrive."""

BODY_SECONDS = 60.0
"""Seconds in which a body must arrive."""

IDLE_CHECKS = 10
"""Number of checks in the time for which a connection may stay idle."""

CHECK_SECONDS = 1.0
"""Seconds between two checks of all connections, at most."""

DISCARD_SECONDS = 5.0
"""Seconds for which the rest of a refused body is read, so that its client gets the answer: closing
a connection with unread bytes resets it."""

CHUNKS_IN_TURN = 64
"""Chunks of bodies that are read before their connection awaits its turn: a step of the event loop
then takes a few milliseconds, however many connections send small chunks."""

FAULT = "oleanderhill:fault"
FULL = "oleanderhill:connections"

TCP_CLOSE_WAIT = 8
"""State of a connection whose other end has sent its last byte, as Linux numbers it."""

PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT


class ListenerLimits(NamedTuple):
    """Limits of what a client may send, and how long it may take.

    :param idle_seconds: seconds for which a connection may stay idle
    :param max_body_bytes: maximum bytes of a body, ``None`` for the default of tornado
    :param head_seconds: seconds in which a request's head must arrive, from its first byte
    :param max_connections: open connections; for more, those that have waited longest are closed
    """

    max_header_bytes: int = 32 * 1024
    idle_seconds: float = 60.0
    max_body_bytes: int | None = None
    max_connections: float = math.inf
    head_seconds: float = HEAD_SECONDS


class _Stream(IOStream):
    """A stream that tells its connection what passes.

    :ivar received: whether bytes of a request have been read since this was last set to ``False``
    """

    def __init__(self, accepted: socket.socket, connection: Connection) -> None:
        super().__init__(accepted)
        self._connection = connection
        self._lines = 0
        self.received = False

    @property
    def buffered(self) -> int:
        """Return the bytes that were read and not used yet."""
        # There is no public way to look at them without beginning to read.
        return self._read_buffer_size

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        if not self._connection.may_read():
            return None
        count = super().read_from_fd(buf)
        if count:
            self._connection.bytes_read(count)
            # Empty lines may precede a request.
            self.received = self.received or bool(bytes(buf[:count]).strip(b"\r\n"))
        return count

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        # The library reads the line before each chunk by this method, and nothing else.
        self._lines += 1
        if self._lines % CHUNKS_IN_TURN:
            return super().read_until(delimiter, max_bytes)
        return self._read_in_turn(delimiter, max_bytes)

    async def _read_in_turn(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        await self._connection.turn()
        if self.closed():
            raise StreamClosedError(self.error)
        return await super().read_until(delimiter, max_bytes)

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        self._connection.bytes_written(len(data))
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        count = super().write_to_fd(data)
        self._connection.bytes_written(-count)
        return count


class _Message(HTTPMessageDelegate):
    """Tells a connection how far the request has been read, and passes on what was read."""

    def __init__(self, connection: Connection, delegate: HTTPMessageDelegate) -> None:
        self._connection = connection
        self._delegate = delegate

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._connection.head_read()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._connection.body_read(len(chunk))
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._connection.request_read()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


@runtime_checkable
class RefusableRequest(Protocol):
    """A delegate that can answer its request before it is whole."""

    def refuse(self, problem: Problem) -> None:
        """Answer the request, give back what was kept of it, and discard the rest."""


class Connection(HTTPServerConnectionDelegate):
    """An accepted connection.

    :ivar requests: number of requests that were awaited on it, with the current one
    :ivar handled: whether the head of the current request was read and its answer isn't written yet
    :ivar body_due: monotonic time at which the body of the current request must have arrived
    :ivar closes_at: monotonic time at which it is closed, whatever its state
    """

    def __init__(self, accepted: socket.socket, listener: HttpListener) -> None:
        self._listener = listener
        self._memory = listener.memory
        self._holding = Holding(time.monotonic(), self._evict)
        self._memory.open(self._holding)
        self._request: HTTPMessageDelegate | None = None
        self._stream = _Stream(accepted, self)
        self._http = HTTP1ServerConnection(self._stream, listener.params)
        self.requests = 0
        self.handled = False
        self.idle_since = time.monotonic()
        self.closes_at = math.inf
        self.body_due = math.inf
        self._turns = 0
        self._kept = 0

    def serve(self) -> None:
        """Start to read requests."""
        self._http.start_serving(self)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        if self._discards:
            self.close_stream()
            return HTTPMessageDelegate()
        self.requests += 1
        self._turns = 0
        self.handled = False
        self.idle_since = time.monotonic()
        self._memory.release_request(self._holding)
        self._memory.receive(self._holding, self._stream.buffered)
        self._holding.whole = False
        self._holding.waits_since = self.idle_since
        self._listener.became_idle(self)
        self._request = self._listener.delegate.start_request(self, request_conn)
        return _Message(self, self._request)

    def discard_body(self) -> None:
        """Close the connection soon: the rest of its request is read, but not used."""
        self.closes_at = time.monotonic() + DISCARD_SECONDS
        self._memory.release_request(self._holding)

    def head_read(self) -> None:
        """Note that the head of the current request was read."""
        self.handled = True
        self.body_due = time.monotonic() + BODY_SECONDS
        self._kept = self._holding.request - self._stream.buffered

    def body_read(self, count: int) -> None:
        """Note that bytes of the current request's body were read; chunks have a framing too."""
        if not self._discards:
            self._kept += count
            self._memory.release_request(self._holding)
            self._memory.receive(self._holding, self._kept + self._stream.buffered)

    def request_read(self) -> None:
        """Note that the current request was read whole; what is read from now on follows it."""
        self._stream.received = False
        self._holding.whole = True

    def check(self, now: float, limits: ListenerLimits) -> None:
        """Close the connection, or refuse its request, if its time is over."""
        waited = now - self._holding.waits_since
        if self.closes_at <= now or (waited >= limits.idle_seconds and self.idle):
            self.close_stream()
        elif self._holding.whole:
            if self._holding.unsent and waited >= limits.idle_seconds:
                self._listener.on_unread()
                self.close_stream()
        elif self.handled:
            if self.body_due <= now and not self._discards and not self._refuse(too_slow()):
                self.close_stream()
        elif self._stream.received and waited >= limits.head_seconds and not self.unread:
            self.close_stream()

    async def turn(self) -> None:
        """Wait for a turn to read on.

        The connection is closed if its client has left meanwhile, or has to give way to others.
        """
        self._turns += 1
        has_turn = await self._listener.turns.wait(self._turns)
        if self._stream.closed():
            return
        if not has_turn:
            self._refuse(too_busy())
            self.close_stream()
        elif _is_half_closed(self._stream.socket):
            self.close_stream()

    def may_read(self) -> bool:
        """Return whether there is room for more; if not, some is made before the next read."""
        if self._holding.whole or self._discards or self._memory.has_room(self._holding):
            return True
        self._listener.make_room()
        return False

    def bytes_read(self, count: int) -> None:
        """Count bytes that were read from the socket."""
        if self._discards:
            return
        if not self._holding.request:
            self._holding.waits_since = time.monotonic()
        self._memory.receive(self._holding, count)

    def bytes_written(self, count: int) -> None:
        """Count bytes to be sent, or those that were sent if negative."""
        self._memory.write(self._holding, count)
        self._holding.waits_since = time.monotonic()
        if self._memory.is_full:
            self._listener.make_room()

    def on_close(self, server_conn: object) -> None:
        self._memory.close(self._holding)
        if self._stream.received and not self.handled:
            self._listener.on_head_lost()
        self._listener.connection_closed(self)

    @property
    def waits_since(self) -> float | None:
        """Return since when it has waited for its client, ``None`` if a request is under way."""
        return self._holding.waits_since if self._holding.idle_bytes else None

    @property
    def idle(self) -> bool:
        """Return whether no byte of a request has arrived, not even in the socket."""
        return not (self._stream.closed() or self.handled or self._stream.received or self.unread)

    @property
    def request_arrives(self) -> bool:
        """Return whether the first bytes of a request wait in the socket."""
        return not (self.handled or self._stream.received) and self.unread

    @property
    def unread(self) -> bool:
        """Return whether bytes wait in the socket."""
        if self._stream.closed():
            return False
        try:
            return bool(self._stream.socket.recv(1, PEEK_FLAGS))
        except OSError:
            return False

    def close_stream(self) -> None:
        """Close the connection, whatever its state."""
        self._stream.close()

    @property
    def _discards(self) -> bool:
        """Return whether the rest of a refused request is read."""
        return self.closes_at < math.inf

    def _evict(self) -> None:
        """Give back what this connection holds."""
        if self._holding.whole:
            self._listener.on_unread()
        if not self._refuse(no_memory()):
            self.close_stream()

    def _refuse(self, problem: Problem) -> bool:
        """Answer a request of which the body is being read; return whether there is one."""
        has_body = self.handled and not self._holding.whole and not self._discards
        if not has_body or not isinstance(self._request, RefusableRequest):
            return False
        self._request.refuse(problem)
        return True

    async def close(self) -> None:
        """Close the connection, and return when its request has ended."""
        await self._http.close()


def _is_half_closed(connected: socket.socket) -> bool:
    """Return whether the other end will send no more; bytes that it has sent may be unread."""
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(info) and info[0] == TCP_CLOSE_WAIT


def _ignore() -> None:
    """Ignore what a listener reports."""


class HttpListener:
    """Serves a delegate, such as a tornado application, on ``ip:port``.

    :param on_head_lost: called when a connection ends of which a part of a head was read, or a head
        that was too long or malformed
    :param on_unread: called when a connection is ended as its client doesn't read an answer
    :param memory: what all connections may hold, shared with other listeners of the process
    :param current_limits: returns the limits that apply now, if they may change
    :ivar params: parameters of the HTTP protocol
    :ivar closed_for_others: number of connections that were closed as there were too many
    """

    def __init__(
        self,
        address: str,
        delegate: HTTPServerConnectionDelegate,
        limits: ListenerLimits = ListenerLimits(),  # noqa: B008 - immutable
        on_head_lost: Callable[[], None] = _ignore,
        memory: ConnectionMemory | None = None,
        on_unread: Callable[[], None] = _ignore,
        current_limits: Callable[[], ListenerLimits] | None = None,
    ) -> None:
        self.on_head_lost = on_head_lost
        self.on_unread = on_unread
        self.memory = memory or ConnectionMemory()
        self.turns = Turns()
        self.closed_for_others = 0
        self._makes_room = False
        self._address = address
        self.delegate = delegate
        self.params = HTTP1ConnectionParameters(
            max_header_size=limits.max_header_bytes,
            max_body_size=limits.max_body_bytes,
        )
        self.limits = limits
        self._current_limits = current_limits
        self._max_connections = limits.max_connections
        self._next_check: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None
        self._connections: set[Connection] = set()
        self._all_closed = asyncio.Event()
        self._closing_idle = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def idle(self) -> list[Connection]:
        """Return the idle connections."""
        return [c for c in self._connections if c.idle]

    @property
    def unread(self) -> int:
        """Return the number of connections in whose sockets bytes wait."""
        return sum(c.unread for c in self._connections)

    def accept_connections(self) -> None:
        """Listen for connections.

        :raises OSError: if the address can't be used
        """
        if self._socket is not None:
            return
        ip, port = self._address.rsplit(":", 1)
        (self._socket,) = bind_sockets(int(port), ip, backlog=BACKLOG)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        if self._next_check is None:
            self._check(time.monotonic())

    def refuse_connections(self) -> None:
        """Refuse new connections. Those that wait to be accepted are served, like open ones."""
        if self._socket is None:
            return
        listening, self._socket = self._socket, None
        asyncio.get_running_loop().remove_reader(listening)
        self._accept_from(listening, BACKLOG)
        listening.close()

    def close_idle(self) -> None:
        """Close the connections that are idle, and others once they are."""
        self._closing_idle = True
        for connection in list(self._connections):
            self._close_if_idle(connection)

    async def until_closed(self, deadline: float) -> None:
        """Return when all connections are closed, at the latest at a monotonic time."""
        if not self._connections:
            return
        self._all_closed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                await self._all_closed.wait()

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        if self._next_check is not None:
            self._next_check.cancel()
        while self._connections:
            await next(iter(self._connections)).close()

    def became_idle(self, connection: Connection) -> None:
        """Close a connection if it stays idle and idle ones are to be closed."""
        if self._closing_idle:
            self._close_later(connection, MIN_IDLE_SECONDS)

    def make_room(self) -> None:
        """End connections that hold most for longest, after the current step of the event loop."""
        if not self._makes_room:
            self._makes_room = True
            asyncio.get_running_loop().call_soon(self._evict)

    def _evict(self) -> None:
        self._makes_room = False
        held, before = self.memory.held, self.memory.evictions
        self.memory.make_room(time.monotonic())
        ended = self.memory.evictions - before
        if ended:
            eliot.log_message(message_type=FULL, address=self._address, ended=ended, held=held)

    def connection_closed(self, connection: Connection) -> None:
        """Forget a connection that was closed."""
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()

    def _accept(self) -> None:
        if self._socket is not None:
            self._accept_from(self._socket, MAX_ACCEPTED_AT_ONCE)

    def _accept_from(self, listening: socket.socket, most: int) -> None:
        """Accept connections that wait, at most a number of them."""
        for _ in range(most):
            if len(self._connections) > self._max_connections and not self._close_longest():
                self._pause_accepting(listening)
                return
            try:
                accepted, _ = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                eliot.log_message(message_type=FAULT, task="listener", error=repr(error))
                self._pause_accepting(listening)
                return
            connection = Connection(accepted, self)
            self._connections.add(connection)
            connection.serve()
            if len(self._connections) > self._max_connections:
                self._close_longest()

    def _close_longest(self) -> int:
        """Close connections that have waited for their clients for longest; return how many."""
        latest = time.monotonic() - MIN_IDLE_SECONDS
        waiting = [(c.waits_since, n, c) for n, c in enumerate(self._connections)]
        ranked = sorted((s, n, c) for s, n, c in waiting if s is not None and s <= latest)
        most, closed = max(1, int(CLOSED_FRACTION * self._max_connections)), 0
        for _, _, connection in ranked:
            if closed == most:
                break
            if not connection.request_arrives:
                connection.close_stream()
                self.connection_closed(connection)
                closed += 1
        self.closed_for_others += closed
        eliot.log_message(message_type=FULL, address=self._address, closed=closed, open=len(self))
        return closed

    def _pause_accepting(self, listening: socket.socket) -> None:
        """Leave connections waiting for a while: nothing can be accepted now."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume_accepting, listening)

    def _resume_accepting(self, listening: socket.socket) -> None:
        if listening is self._socket:
            asyncio.get_running_loop().add_reader(listening, self._accept)

    def _check(self, due_at: float = math.inf) -> None:
        """Close the connections whose time is over, now and later.

        :param due_at: monotonic time at which this was due
        """
        now = time.monotonic()
        if self._current_limits is not None:
            self.limits = self._current_limits()
            self.params.max_header_size = self.limits.max_header_bytes
        if now - due_at < CHECK_SECONDS:
            for connection in list(self._connections):
                connection.check(now, self.limits)
        # Otherwise this process was held up, and what clients sent meanwhile is not read yet.
        interval = min(CHECK_SECONDS, self.limits.idle_seconds / IDLE_CHECKS)
        loop = asyncio.get_running_loop()
        self._next_check = loop.call_later(interval, self._check, now + interval)

    def _close_later(self, connection: Connection, seconds: float) -> None:
        asyncio.get_running_loop().call_later(seconds, self._close_if_idle, connection)

    def _close_if_idle(self, connection: Connection) -> None:
        if not connection.idle:
            return
        idle_for = time.monotonic() - connection.idle_since
        if idle_for < MIN_IDLE_SECONDS:
            self._close_later(connection, MIN_IDLE_SECONDS - idle_for)
        else:
            connection.close_stream()
