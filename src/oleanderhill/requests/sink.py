"""Gives the caller of one request its answer: whole, in pieces, or a problem."""

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

SLOW_READER_SECONDS = 30.0


class Running(Protocol):
    """A request under way."""

    def caller_gone(self) -> None:
        """Take note that the caller left."""


class Answering(RequestHandler):
    """A handler whose request gets its answer through a :class:`CallerSink`."""

    metrics: Metrics
    request_id: str
    exchange: Running | None

    @property
    def answered(self) -> bool:
        """Tell whether the final answer was given."""
        return self._finished

    def answer_problem(self, problem: Problem) -> None:
        """Give the caller a problem as its final answer."""
        self.set_status(problem.status)
        for name, value in problem.headers().items():
            self.set_header(name, value)
        self.set_header("Content-Type", "application/problem+json")
        self.metrics.count(f"answers.{problem.kind}")
        self.finish(json.dumps(problem.as_body(self.request_id)))


class CallerSink:
    """Gives the caller of one handler its answer."""

    def __init__(self, handler: Answering) -> None:
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

    def piece(self, chunk: bytes) -> Awaitable[None] | None:
        handler = self._handler
        connection = handler.request.connection
        if self.streamed and connection is not None:
            # Past the head a handler's own write only adds buffers and copies.
            flushed = connection.write(chunk)
        else:
            self.streamed = True
            handler.set_header("Content-Type", "text/event-stream")
            handler.set_header("Cache-Control", "no-store")
            handler.write(chunk)
            flushed = handler.flush()
        if flushed.done() and flushed.exception() is None:
            return None
        return self._until_taken(flushed)

    async def _until_taken(self, flushed: asyncio.Future[None]) -> None:
        """Wait until the socket took it all.

        A slow reader holds back its own stream in this way, and not this host's memory. One that
        takes nothing for long is cut.
        """
        try:
            async with asyncio.timeout(SLOW_READER_SECONDS):
                await flushed
        except (StreamClosedError, TimeoutError):
            if self._handler.exchange is not None:
                self._handler.exchange.caller_gone()

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
        # The stream has begun, so the status is gone. The error is the last event, and there
        # is no [DONE]: a cut stream never looks like a whole one.
        body = json.dumps(problem.as_body(handler.request_id))
        handler.write(f"event: error\ndata: {body}\n\n")
        handler.metrics.count(f"answers.{problem.kind}")
        handler.finish()
