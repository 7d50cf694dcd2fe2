"""The task that runs :mod:`.limits`."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import Any

from .kernel import Kernel, Received, Task
from .limits import AccountLimits, Demand
from .members import MembershipTask
from .messages import FleetChanged, SendTo


class LimitsTask(Task):
    """Owns the rate limits of client accounts."""

    name = "limits"
    interval = 1.0

    def __init__(self, kernel: Kernel, host: str, fleet: int) -> None:
        super().__init__(kernel)
        self._host = host
        self.limits = AccountLimits(fleet)

    def admit(self, account: str) -> float | None:
        """Take a token; return ``None`` when admitted, else seconds until one is there."""
        return self.limits.admit(account, time.monotonic())

    async def tick(self) -> None:
        """Tell the peers this host's demand."""
        members = self.kernel.find("membership", MembershipTask).live()
        peers = {h: r for h, r in members.items() if h != self._host}
        demand = self.limits.tick(frozenset(peers))
        if not demand.rate_by_account:
            return
        for row in peers.values():
            self.kernel.post("peers", SendTo(row.address, demand))

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task."""

    @handle.register
    def _(self, message: FleetChanged) -> None:
        self.limits.fleet = message.fleet.entry_hosts
        rates = {a.account: a.requests_per_second for a in message.fleet.account_by_key.values()}
        self.limits.configure(rates)

    @singledispatchmethod
    def receive(self, body: Any, envelope: Received) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: Demand, envelope: Received) -> None:
        self.limits.learn(envelope.sender, body)
