"""One attempt of a forwarded request at a target."""

from __future__ import annotations

import time
from collections.abc import Awaitable
from typing import Protocol

from tornado.httputil import HTTPHeaders

from ..clients.httpcall import Observer
from ..routing.router import Choice
from .events import EventCutter, EventOrder
from .forwarding import Reading

EVENT_STREAM = "text/event-stream"


class ForwardedRequest(Protocol):
    """The request that an attempt belongs to."""

    order: EventOrder

    def sending(self) -> bool:
        """Return whether the first byte may be sent now, and if so record that it is sent."""

    def read_reply(self, status: int, headers: HTTPHeaders) -> Reading:
        """Interpret the status and headers of a reply."""

    def heard(self, run: Run, reading: Reading) -> None:
        """Handle the interpreted head of a reply, before its body arrives."""

    def pass_on(self, run: Run, data: bytes, events: int) -> Awaitable[None] | None:
        """Forward complete events to the caller."""


class Run(Observer):
    """One attempt of a request; forwards what the target sends."""

    def __init__(self, request: ForwardedRequest, choice: Choice) -> None:
        self._request = request
        self.choice = choice
        self.withheld = False
        self.longest_pause = 0.0
        self._splitter = EventCutter()
        self.status = 0
        self.reply_headers = HTTPHeaders()
        self.streaming = False
        self.chunks: list[bytes] = []
        self.events = 0
        self.progressed = time.monotonic()
        self.fault = ""

    def sending(self) -> bool:
        if not self._request.sending():
            self.withheld = True
            return False
        return True

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        self.reply_headers = headers
        content_type = headers.get("Content-Type", "")
        reading = self._request.read_reply(status, headers)
        self._request.heard(self, reading)
        self.streaming = status == 200 and content_type.startswith(EVENT_STREAM) and reading.sealed

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        if not self.streaming:
            self.progressed = time.monotonic()
            self.chunks.append(chunk)
            return None
        if self.fault:
            return None
        return self._forward_events(chunk)

    def _forward_events(self, chunk: bytes) -> Awaitable[None] | None:
        complete = []
        for event in self._splitter.feed(chunk):
            if not self._request.order.admit(event):
                self.fault = f"event {event.number} does not follow {self._request.order.last}"
                break
            complete.append(event.data)
        if not complete:
            return None
        now = time.monotonic()
        if self.events:
            self.longest_pause = max(self.longest_pause, now - self.progressed)
        self.progressed = now
        self.events += len(complete)
        return self._request.pass_on(self, b"".join(complete), len(complete))

    @property
    def torn(self) -> bool:
        """Return whether the stream ended within an event."""
        return bool(self._splitter.rest.strip())
