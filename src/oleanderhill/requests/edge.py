"""HTTP server for callers: admission, readiness, and the state shared by its handlers."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any

from tornado.web import Application

from .. import outcomes
from ..clients.httpcall import HttpCaller
from ..clients.targets import TargetClient
from ..connection_memory import ConnectionMemory
from ..decisions import Decisions
from ..kernel import Kernel, Task
from ..limits.limiting import LimitsTask
from ..listener import HttpListener, ListenerLimits
from ..metrics import Metrics
from ..outcomes import ProblemError
from ..routing.dispatch import RouterTask
from ..routing.services import ServiceFinder
from ..settings.fleet import AccountView, Fleet
from ..settings.messages import FleetChanged
from ..settings.relay import DocumentsTask
from .attempts import RetryBudget
from .exchange import StallTimeouts
from .handlers import MAX_BODY_BYTES, NotFoundHandler, routes


class Edge(Task):
    """Runs the HTTP server for callers and counts its requests in flight.

    :param memory: what connections of callers and operators may hold
    :param max_connections: connections of callers
    """

    name = "edge"

    def __init__(
        self,
        kernel: Kernel,
        host: str,
        address: str,
        router: RouterTask,
        services: ServiceFinder,
        caller: HttpCaller,
        targets: TargetClient,
        metrics: Metrics,
        decisions: Decisions,
        memory: ConnectionMemory,
        max_connections: float,
    ) -> None:
        super().__init__(kernel)
        self._memory = memory
        self._max_connections = max_connections
        self.host = host
        self._address = address
        self.router = router
        self.services = services
        self.caller = caller
        self.targets = targets
        self.metrics = metrics
        self.decisions = decisions
        self.fleet = Fleet()
        self.budget = RetryBudget()
        self.stall_timeouts = StallTimeouts()
        self.in_flight = 0
        self.readiness_withdrawn = False
        self.draining = False

    async def start(self) -> None:
        """Start to listen for callers."""
        await super().start()
        application = Application(
            routes(self),
            default_handler_class=NotFoundHandler,
            default_handler_args={"edge": self},
            log_function=lambda handler: None,
        )
        limits = ListenerLimits(
            max_body_bytes=MAX_BODY_BYTES, max_connections=self._max_connections
        )
        self._listener = HttpListener(self._address, application, limits, memory=self._memory)
        self._listener.accept_connections()

    async def drain(self, deadline: float) -> None:
        """Stop listening, and return when the connections of callers are closed.

        :param deadline: monotonic time at which it returns in any case
        """
        self._listener.refuse_connections()
        self._listener.close_idle()
        await self._listener.until_closed(deadline)

    async def stop(self) -> None:
        """Close the server."""
        await self._listener.stop()
        await super().stop()

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this host."""
        return not self.readiness_withdrawn and self.kernel.find("documents", DocumentsTask).loaded

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task."""

    @handle.register
    def _(self, message: FleetChanged) -> None:
        self.fleet = message.fleet
        self.services.service_by_name = message.fleet.service_by_name

    def admit(self, account: AccountView) -> None:
        """Admit a request of a client account.

        :raises ProblemError: if the account exceeds its rate limit, or this host is draining
        """
        if self.draining:
            raise ProblemError(outcomes.draining())
        wait = self.kernel.find("limits", LimitsTask).admit(account.account)
        if wait is not None:
            self.decisions.note("limit", account.account, f"rejected, retry after {wait:.1f} s")
            raise ProblemError(outcomes.over_limit(wait))
        self.budget.record_request()
