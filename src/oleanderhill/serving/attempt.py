"""One attempt of a forwarded request at a target."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Sequence
from typing import Protocol

from tornado.httputil import HTTPHeaders

from ..clients.httpcall import InvalidReplyError, Observer
from ..clock import LateTimer
from ..routing.router import Choice
from .events import Event, EventSequence, EventSplitter
from .forwarding import ReplyInfo
from .reply_memory import ReplyMemory

EVENT_STREAM = "text/event-stream"

MAX_EVENT_BYTES = 1024 * 1024
"""Bytes of one event. The longest of a healthy stream repeats all its output."""

MAX_UNNUMBERED_BYTES = 1024 * 1024
"""Bytes of events without an id between events with one."""

PROGRESS_BYTES = 16 * 1024
"""Bytes of a plain reply that count as progress together. A target in trouble may send single bytes
for as long as the request waits."""

MAX_IGNORED_BYTES = 64 * 1024
"""Bytes of the body of a reply whose headers show that it is no answer."""


class ForwardedRequest(Protocol):
    """The request that an attempt belongs to."""

    order: EventSequence

    def confirm_send(self) -> bool:
        """Return whether the first byte may be sent now, and if so record that it is sent."""

    def read_reply(self, status: int, headers: HTTPHeaders) -> ReplyInfo:
        """Decode the status and headers of a reply."""

    def apply_notice(self, run: Attempt, reading: ReplyInfo) -> None:
        """Apply the notice in the headers of a reply, before its body arrives."""

    def forward_events(self, run: Attempt, data: bytes, events: int) -> Awaitable[None] | None:
        """Forward complete events to the caller.

        :param events: number of them that are no comments
        """


class Attempt(Observer):
    """One attempt of a request; forwards streamed events and buffers the body of other replies.

    After the attempt, ``not_sent`` states whether :meth:`confirm_send` refused to send the request,
    and ``fault`` describes the first event that was out of sequence, empty for none.

    :ivar via: entry host that passes the request on, empty for this host's own links
    :ivar last_progress_at: when the target last sent an event that is not a comment, or some of its
        answer or, until then, was sent the request
    :ivar timer: the timer that notices stalls
    :ivar goes_on: once it was held, done when the target sends part of an answer meanwhile
    """

    goes_on: asyncio.Future[None]

    def __init__(self, request: ForwardedRequest, choice: Choice, memory: ReplyMemory) -> None:
        self._request = request
        self._memory = memory
        self._kept = 0
        self._ended = False
        self.choice = choice
        self.not_sent = False
        self.via = ""
        self.longest_pause = 0.0
        self._splitter = EventSplitter()
        self.status = 0
        self.reply_headers = HTTPHeaders()
        self.streaming = False
        self._is_answer = False
        self.chunks: list[bytes] = []
        self._since_progress = 0
        self._unnumbered_bytes = 0
        self._max_unnumbered = 0
        self.events = 0
        self.last_progress_at = time.monotonic()
        self.timer = LateTimer()
        self.fault = ""
        self._resumed: asyncio.Future[None] | None = None
        self._answering = False

    @property
    def held(self) -> bool:
        """Return whether what the target sends is kept back."""
        return self._resumed is not None

    def hold(self) -> None:
        """Keep back what the target sends from now on, until :meth:`resume`."""
        loop = asyncio.get_running_loop()
        self._resumed, self.goes_on = loop.create_future(), loop.create_future()

    def resume(self) -> None:
        """Process what the target has sent since :meth:`hold`, and all that follows."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.set_result(None)

    def confirm_send(self) -> bool:
        if not self._request.confirm_send():
            self.not_sent = True
            return False
        self.last_progress_at = time.monotonic()
        return True

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        self.reply_headers = headers
        content_type = headers.get("Content-Type", "")
        reading = self._request.read_reply(status, headers)
        self._request.apply_notice(self, reading)
        self._answering = status < 500 and reading.signed and not reading.not_run
        self.streaming = status == 200 and content_type.startswith(EVENT_STREAM) and reading.signed
        self._is_answer = reading.signed and not reading.not_run

    def max_body(self, limit: int) -> int | None:
        if self.streaming:
            # A stream without any ids is limited like a reply that is kept.
            self._max_unnumbered = limit
            return None
        return limit if self._is_answer else MAX_IGNORED_BYTES

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        if self._resumed is not None:
            if self._answering and not self.goes_on.done() and self._has_progress(chunk):
                self.goes_on.set_result(None)
            return self._process_when_resumed(chunk, self._resumed)
        if not self.streaming:
            if not self._is_answer:
                return None
            self._record_body_bytes(len(chunk))
            self._keep(self._kept + len(chunk))
            self.chunks.append(chunk)
            return None
        if self.fault:
            return None
        return self._forward_events(chunk)

    def take_body(self) -> list[bytes]:
        """Return the pieces of a reply that are kept, which are not kept here any longer."""
        pieces, self.chunks = self.chunks, []
        return pieces

    def end(self) -> None:
        """Give back the memory of the reply, of which nothing more is accepted."""
        self._memory.change(self._kept, 0)
        self._kept, self._ended = 0, True

    def _keep(self, count: int) -> None:
        if self._ended:
            raise InvalidReplyError("the attempt has ended")
        if not self._memory.change(self._kept, count):
            # What it kept is free for other replies at once.
            self.chunks.clear()
            self.end()
            raise InvalidReplyError(
                f"the replies under way are over {self._memory.limit:.0f} bytes"
            )
        self._kept = count

    def _record_body_bytes(self, count: int) -> None:
        begun = bool(self.chunks)
        self._since_progress += count
        if not begun or self._since_progress >= PROGRESS_BYTES:
            self.last_progress_at = time.monotonic()
            self._since_progress = 0

    def _has_progress(self, chunk: bytes) -> bool:
        """Return whether a chunk that is kept back holds a part of the answer."""
        if not self.streaming:
            return not self.chunks or self._since_progress + len(chunk) >= PROGRESS_BYTES
        events = EventSplitter(self._splitter.rest).feed(chunk)
        return any(not event.is_comment for event in events)

    async def _process_when_resumed(self, chunk: bytes, resumed: asyncio.Future[None]) -> None:
        await resumed
        processed = self.data(chunk)
        if processed is not None:
            await processed

    def _forward_events(self, chunk: bytes) -> Awaitable[None] | None:
        complete, count = [], 0
        events = self._splitter.feed(chunk)
        if self._splitter.kept > MAX_EVENT_BYTES:
            raise InvalidReplyError(f"an event is over {MAX_EVENT_BYTES} bytes")
        self._keep(self._splitter.kept)
        self._check_numbered(events)
        for event in events:
            if not self._request.order.accept(event):
                self.fault = f"event {event.number} does not follow {self._request.order.last}"
                break
            complete.append(event.data)
            count += not event.is_comment
        if not complete:
            return None
        now = time.monotonic()
        if count:
            if self.events:
                self.longest_pause = max(self.longest_pause, now - self.last_progress_at)
            self.last_progress_at = now
        self.events += count
        return self._request.forward_events(self, b"".join(complete), count)

    def _check_numbered(self, events: Sequence[Event]) -> None:
        """Check that a stream does not go on for long without an id."""
        for event in events:
            size = self._unnumbered_bytes + len(event.data)
            self._unnumbered_bytes = size if event.number is None else 0
            begun = event.number is not None or self._request.order.last is not None
            limit = MAX_UNNUMBERED_BYTES if begun else self._max_unnumbered
            if self._unnumbered_bytes > limit:
                raise InvalidReplyError(f"events without an id are over {limit} bytes")

    @property
    def truncated(self) -> bool:
        """Return whether the stream ended within an event."""
        return bool(self._splitter.rest.strip())
