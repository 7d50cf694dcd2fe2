"""Writes the answer of one request to its caller: complete, as a stream, or as a problem."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from typing import Protocol

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from ..clients.httpcall import Reply
from ..metrics import Metrics
from ..outcomes import Problem, Ran

SLOW_READER_TIMEOUT = 30.0


class RunningRequest(Protocol):
    """A request in flight."""

    def on_caller_disconnected(self) -> None:
        """Abort the request: the caller closed its connection."""


class AnsweringHandler(RequestHandler):
    """A handler whose request is answered through a :class:`CallerSink`."""

    metrics: Metrics
    request_id: str
    exchange: RunningRequest | None

    @property
    def answered(self) -> bool:
        """Return whether the final answer was sent."""
        return self._finished

    def answer_problem(self, problem: Problem) -> None:
        """Send a problem to the caller as the final answer."""
        self.set_status(problem.status)
        for name, value in problem.headers().items():
            self.set_header(name, value)
        self.set_header("Content-Type", "application/problem+json")
        self.metrics.count(f"answers.{problem.kind}")
        self.finish(json.dumps(problem.as_body(self.request_id)))


class CallerSink:
    """Writes the answer of one request through its handler."""

    def __init__(self, handler: AnsweringHandler) -> None:
        self._handler = handler
        self.streamed = False
        self.answered: Reply | None = None
        self.problem: Problem | None = None

    async def reply(self, reply: Reply) -> None:
        handler = self._handler
        handler.set_status(reply.status)
        handler.set_header("X-Request-Ran", Ran.YES.value)
        handler.set_header("Content-Type", reply.headers.get("Content-Type", "application/json"))
        self.answered = reply
        handler.metrics.count("answers.whole")
        handler.finish(reply.body)

    def write_events(self, chunk: bytes) -> Awaitable[None] | None:
        handler = self._handler
        connection = handler.request.connection
        if self.streamed and connection is not None:
            # Once the headers are sent, RequestHandler.write() would only add a buffer and a copy.
            flushed = connection.write(chunk)
        else:
            self.streamed = True
            handler.set_header("Content-Type", "text/event-stream")
            handler.set_header("Cache-Control", "no-store")
            handler.write(chunk)
            flushed = handler.flush()
        if flushed.done() and flushed.exception() is None:
            return None
        return self._wait_flushed(flushed)

    async def _wait_flushed(self, flushed: asyncio.Future[None]) -> None:
        """Wait until the socket has accepted all data.

        This applies back-pressure to the stream of a slow reader instead of buffering it in this
        host's memory. The request of a reader that accepts nothing for
        :data:`SLOW_READER_TIMEOUT` seconds is aborted.
        """
        try:
            async with asyncio.timeout(SLOW_READER_TIMEOUT):
                await flushed
        except (StreamClosedError, TimeoutError):
            if self._handler.exchange is not None:
                self._handler.exchange.on_caller_disconnected()

    async def end(self) -> None:
        self.answered = Reply(200, self._handler.request.headers, b"")
        self._handler.metrics.count("answers.whole")
        if not self._handler.answered:
            self._handler.finish()

    async def fail(self, problem: Problem) -> None:
        self.problem = problem
        handler = self._handler
        if not self.streamed:
            handler.answer_problem(problem)
            return
        # The status was sent when the stream began, so the error becomes the last event. [DONE] is
        # not sent: a caller can always tell a truncated stream from a complete one.
        body = json.dumps(problem.as_body(handler.request_id))
        handler.write(f"event: error\ndata: {body}\n\n")
        handler.metrics.count(f"answers.{problem.kind}")
        handler.finish()
