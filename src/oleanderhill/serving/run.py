"""One try of a forwarded request at a target."""

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


class Forwarded(Protocol):
    """The request whose try it is."""

    order: EventOrder

    def sending(self) -> bool:
        """Tell whether the first byte may leave now, and take note that it does."""

    def read_reply(self, status: int, headers: HTTPHeaders) -> Reading:
        """Return what a reply's status and headers mean."""

    def heard(self, run: Run, reading: Reading) -> None:
        """Take what the head of a reply means, before the rest of it comes."""

    def pass_on(self, run: Run, data: bytes, events: int) -> Awaitable[None] | None:
        """Give whole events to the caller."""


class Run(Observer):
    """One attempt: passes on what the target sends."""

    def __init__(self, request: Forwarded, choice: Choice) -> None:
        self._request = request
        self.choice = choice
        self.withheld = False
        self.longest_pause = 0.0
        self._cutter = EventCutter()
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
        kind = headers.get("Content-Type", "")
        reading = self._request.read_reply(status, headers)
        self._request.heard(self, reading)
        self.streaming = status == 200 and kind.startswith(EVENT_STREAM) and reading.sealed

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        if not self.streaming:
            self.progressed = time.monotonic()
            self.chunks.append(chunk)
            return None
        if self.fault:
            return None
        return self._pass_on(chunk)

    def _pass_on(self, chunk: bytes) -> Awaitable[None] | None:
        whole = []
        for event in self._cutter.feed(chunk):
            if not self._request.order.admit(event):
                self.fault = f"event {event.number} after {self._request.order.last}"
                break
            whole.append(event.data)
        if not whole:
            return None
        now = time.monotonic()
        if self.events:
            self.longest_pause = max(self.longest_pause, now - self.progressed)
        self.progressed = now
        self.events += len(whole)
        return self._request.pass_on(self, b"".join(whole), len(whole))

    @property
    def torn(self) -> bool:
        """Tell whether the stream ended within an event."""
        return bool(self._cutter.rest.strip())
