"""The micro-kernel: a registry of named services, and tasks that communicate by messages."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any, NamedTuple, Protocol, TypeVar

import eliot

from .exceptions import OleanderhillError

_ServiceType = TypeVar("_ServiceType")

MAX_TRACE_CHARS = 2000
"""Maximum characters of a traceback in the log. The end is kept, as it names the failing line."""


class ServiceMissingError(OleanderhillError):
    """No service of this name and type is registered."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no service named {name}")


class PeerMessage(NamedTuple):
    """A peer's message as delivered to a task.

    :param sender: name of the sending host
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
    """A named component that the kernel starts and stops."""

    name: str

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def stop(self) -> None:
        """Close what :meth:`start` opened."""


SATURATED_LAG = 0.05
"""Seconds by which timers fire late in a process that has no time left."""

SATURATED_SECONDS = 0.5
"""Seconds for which all timers must fire late."""


def _ignore_saturation() -> None:
    """Ignore that the event loop has no time left."""


class LoopLag:
    """Records the delay of event loop timers, in seconds, and keeps the maximum.

    Tasks report the delay of their own timers. A separate watchdog timer would wake each process
    about twenty times a second for the same information.
    """

    def __init__(self) -> None:
        self.longest = 0.0
        self._max_since_read = 0.0
        self._late_since: float | None = None
        self.on_saturated: Callable[[], None] = _ignore_saturation

    def record(self, seconds: float, now: float = 0.0) -> None:
        """Record a timer that fired ``seconds`` late.

        If all timers have fired late for some time, ``on_saturated`` is called. A single long step
        delays the timers that are due meanwhile, but not those after it.
        """
        self.longest = max(self.longest, seconds)
        self._max_since_read = max(self._max_since_read, seconds)
        if seconds < SATURATED_LAG:
            self._late_since = None
            return
        if self._late_since is None:
            self._late_since = now
        if now - self._late_since >= SATURATED_SECONDS:
            self.on_saturated()

    def pop_longest(self) -> float:
        """Return the maximum lag since the previous call, and reset it."""
        longest, self._max_since_read = self._max_since_read, 0.0
        return longest


class Kernel:
    """A registry of services by name. It starts them in order and stops them in reverse order."""

    def __init__(self) -> None:
        self._by_name: dict[str, Service] = {}
        self.lag = LoopLag()

    def register(self, service: Service) -> None:
        """Add a service under its name."""
        self._by_name[service.name] = service

    def find(self, name: str, service_type: type[_ServiceType]) -> _ServiceType:
        """Return the service registered under a name.

        :raises ServiceMissingError: if there is none or it is of another type
        """
        service = self._by_name.get(name)
        if not isinstance(service, service_type):
            raise ServiceMissingError(name)
        return service

    def post(self, name: str, message: Any) -> None:
        """Put a message into a task's inbox, or drop it if there is no task of this name."""
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
    """A service with an inbox, a timer and private state.

    Subclasses define :meth:`handle` for messages from other tasks and :meth:`receive` for messages
    from peers, both dispatched on the type of the message. They may override :meth:`tick`, which
    runs every :attr:`interval` seconds.
    """

    name = "task"
    interval = 1.0
    inbox_limit = 10_000

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self._inbox: asyncio.Queue[Any] = asyncio.Queue(self.inbox_limit)
        self._running: set[asyncio.Task[None]] = set()

    def put(self, message: Any) -> None:
        """Queue a message, or drop it if the inbox is full: senders repeat or refresh messages."""
        if not self._inbox.full():
            self._inbox.put_nowait(message)

    async def start(self) -> None:
        """Start the inbox loop and the timer."""
        self.spawn(self._message_loop())
        self.spawn(self._tick_loop())

    async def stop(self) -> None:
        """Cancel all coroutines of this task."""
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine that is cancelled when this task stops."""
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._on_finished)
        return task

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task. Unknown types are ignored."""

    @singledispatchmethod
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a peer's message. Unknown types are ignored, since a newer peer may send them."""

    async def tick(self) -> None:
        """Do the task's periodic work."""

    def log_failure(self, error: BaseException) -> None:
        """Log an unexpected exception in this task's work. The task keeps running."""
        trace = "".join(traceback.format_exception(error))[-MAX_TRACE_CHARS:]
        eliot.log_message(
            message_type="oleanderhill:fault", task=self.name, error=repr(error), trace=trace
        )

    def _on_finished(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log_failure(task.exception() or OleanderhillError())

    def dispatch(self, message: Any) -> None:
        """Pass a message to the handler for its type."""
        if isinstance(message, PeerMessage):
            self.receive(message.body, message)
        else:
            self.handle(message)

    async def _message_loop(self) -> None:
        while True:
            message = await self._inbox.get()
            try:
                self.dispatch(message)
            except Exception as error:  # one failing message must not end the task
                self.log_failure(error)

    async def _tick_loop(self) -> None:
        while True:
            try:
                await self.tick()
            except Exception as error:  # one failing tick must not end the task
                self.log_failure(error)
            due_at = time.monotonic() + self.interval
            await asyncio.sleep(self.interval)
            now = time.monotonic()
            self.kernel.lag.record(now - due_at, now)
