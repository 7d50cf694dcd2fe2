"""The micro-kernel: services that find each other by name, and tasks that talk by messages."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Coroutine
from functools import singledispatchmethod
from typing import Any, NamedTuple, Protocol, TypeVar

import eliot

from .exceptions import OleanderhillError

_Kind = TypeVar("_Kind")

LONGEST_TRACE = 2000
"""Characters of a traceback in the log; its end shows where it happened."""


class ServiceMissingError(OleanderhillError):
    """No service of this name and type is registered."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no service named {name}")


class Received(NamedTuple):
    """A peer's message as handed to a task.

    :param stamp: the sender's monotonic clock when it sent the message, in seconds
    :param arrived: local monotonic time of arrival
    """

    sender: str
    address: str
    incarnation: int
    stamp: float
    arrived: float
    body: Any


class Service(Protocol):
    """What the kernel runs."""

    name: str

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def stop(self) -> None:
        """Close what :meth:`start` opened."""


class LoopLag:
    """The longest time by which a timer of the event loop came late.

    Read off the timers that tasks have anyway: a watchdog of its own would wake each process some
    twenty times a second to see the same.
    """

    def __init__(self) -> None:
        self.longest = 0.0
        self._since_taken = 0.0

    def late_by(self, seconds: float) -> None:
        """Take note of a timer that came late by some seconds."""
        self.longest = max(self.longest, seconds)
        self._since_taken = max(self._since_taken, seconds)

    def take(self) -> float:
        """Return the longest time since this was last asked."""
        longest, self._since_taken = self._since_taken, 0.0
        return longest


class Kernel:
    """A registry of services by name. It starts them in order and stops them in reverse."""

    def __init__(self) -> None:
        self._by_name: dict[str, Service] = {}
        self.lag = LoopLag()

    def register(self, service: Service) -> None:
        """Add a service under its name."""
        self._by_name[service.name] = service

    def find(self, name: str, kind: type[_Kind]) -> _Kind:
        """Return the service of this name.

        :raises ServiceMissingError: if there is none, or it is of another type
        """
        service = self._by_name.get(name)
        if not isinstance(service, kind):
            raise ServiceMissingError(name)
        return service

    def post(self, name: str, message: Any) -> None:
        """Put a message into a task's inbox; dropped, as by a network, where there is no task."""
        service = self._by_name.get(name)
        if isinstance(service, Task):
            service.put(message)

    async def start(self) -> None:
        """Start all services in the order of their registration."""
        for service in self._by_name.values():
            await service.start()

    async def stop(self) -> None:
        """Stop all services in reverse order."""
        for service in reversed(self._by_name.values()):
            await service.stop()


class Task:
    """A service with an inbox, a timer and state that nobody else touches.

    Subclasses define :meth:`handle` for messages of other tasks and :meth:`receive` for those of
    peers, each dispatched on the type, and may override :meth:`tick`, which runs every
    :attr:`interval` seconds.
    """

    name = "task"
    interval = 1.0
    inbox_limit = 10_000

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self._inbox: asyncio.Queue[Any] = asyncio.Queue(self.inbox_limit)
        self._running: set[asyncio.Task[None]] = set()

    def put(self, message: Any) -> None:
        """Queue a message. A full inbox drops it: all messages are repeated or refreshed."""
        if not self._inbox.full():
            self._inbox.put_nowait(message)

    async def start(self) -> None:
        """Start the inbox loop and the timer."""
        self.spawn(self._serve())
        self.spawn(self._tick_loop())

    async def stop(self) -> None:
        """Cancel everything this task runs."""
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine that ends with this task."""
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._finished)
        return task

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message; unknown types are ignored, as a newer peer may send them."""

    @singledispatchmethod
    def receive(self, body: Any, envelope: Received) -> None:
        """Handle a peer's message; unknown types are ignored."""

    async def tick(self) -> None:
        """Do the periodic work of the task."""

    def failed(self, error: BaseException) -> None:
        """Log an unexpected failure of a piece of this task's work; the task goes on."""
        trace = "".join(traceback.format_exception(error))[-LONGEST_TRACE:]
        eliot.log_message(
            message_type="oleanderhill:fault", task=self.name, error=repr(error), trace=trace
        )

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failed(task.exception() or OleanderhillError())

    def dispatch(self, message: Any) -> None:
        """Hand a message to the handler of its type."""
        if isinstance(message, Received):
            self.receive(message.body, message)
        else:
            self.handle(message)

    async def _serve(self) -> None:
        while True:
            message = await self._inbox.get()
            try:
                self.dispatch(message)
            except Exception as error:  # one bad message must not end the task
                self.failed(error)

    async def _tick_loop(self) -> None:
        while True:
            try:
                await self.tick()
            except Exception as error:  # one bad tick must not end the task
                self.failed(error)
            due = time.monotonic() + self.interval
            await asyncio.sleep(self.interval)
            self.kernel.lag.late_by(time.monotonic() - due)
