"""One attempt of a forwarded request at a target."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from typing import Protocol

from tornado.httputil import HTTPHeaders

from ..clients.httpcall import Observer
from ..clock import LateTimer
from ..routing.router import Choice
from .events import EventSequence, EventSplitter
from .forwarding import ReplyInfo

EVENT_STREAM = "text/event-stream"


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
        """Forward complete events to the caller."""


class Attempt(Observer):
    """One attempt of a request; forwards streamed events and buffers the body of other replies.

    After the attempt, ``not_sent`` states whether :meth:`confirm_send` refused to send the request,
    and ``fault`` describes the first event that was out of sequence, empty for none.

    :ivar via: entry host that passes the request on, empty for this host's own links
    :ivar last_progress_at: when the target last sent anything or, until then, was sent the request
    :ivar timer: the timer that notices stalls
    :ivar goes_on: once it was held, done when the target sends part of an answer meanwhile
    """

    goes_on: asyncio.Future[None]

    def __init__(self, request: ForwardedRequest, choice: Choice) -> None:
        self._request = request
        self.choice = choice
        self.not_sent = False
        self.via = ""
        self.longest_pause = 0.0
        self._splitter = EventSplitter()
        self.status = 0
        self.reply_headers = HTTPHeaders()
        self.streaming = False
        self.chunks: list[bytes] = []
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

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        if self._resumed is not None:
            if self._answering and not self.goes_on.done():
                self.goes_on.set_result(None)
            return self._process_when_resumed(chunk, self._resumed)
        if not self.streaming:
            self.last_progress_at = time.monotonic()
            self.chunks.append(chunk)
            return None
        if self.fault:
            return None
        return self._forward_events(chunk)

    async def _process_when_resumed(self, chunk: bytes, resumed: asyncio.Future[None]) -> None:
        await resumed
        processed = self.data(chunk)
        if processed is not None:
            await processed

    def _forward_events(self, chunk: bytes) -> Awaitable[None] | None:
        complete = []
        for event in self._splitter.feed(chunk):
            if not self._request.order.accept(event):
                self.fault = f"event {event.number} does not follow {self._request.order.last}"
                break
            complete.append(event.data)
        if not complete:
            return None
        now = time.monotonic()
        if self.events:
            self.longest_pause = max(self.longest_pause, now - self.last_progress_at)
        self.last_progress_at = now
        self.events += len(complete)
        return self._request.forward_events(self, b"".join(complete), len(complete))

    @property
    def truncated(self) -> bool:
        """Return whether the stream ended within an event."""
        return bool(self._splitter.rest.strip())
