"""The task that runs :mod:`.accounts`."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import Any

from ..kernel import Kernel, PeerMessage, Task
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..settings.messages import FleetChanged
from .accounts import AccountLimits, Demand, RoundRobin

DEMAND_FANOUT = 2
"""Peers that are sent the demand each second, round-robin.

Sending it to all would cost 50 KB/s among 105 hosts. Round-robin, each host receives the demand of
each other host every 4 seconds among 9 hosts, and every 52 seconds among 105. In between, it
divides the rate by the demand that it received last.
"""


class LimitsTask(Task):
    """Owns the rate limits of client accounts."""

    name = "limits"
    interval = 1.0

    def __init__(self, kernel: Kernel, host: str, fleet: int) -> None:
        super().__init__(kernel)
        self._host = host
        self.limits = AccountLimits(fleet)
        self._recipients = RoundRobin(DEMAND_FANOUT)

    def admit(self, account: str) -> float | None:
        """Take a token; return ``None`` if admitted, else the seconds until one is available."""
        return self.limits.admit(account, time.monotonic())

    async def tick(self) -> None:
        """Send this host's demand to some peers."""
        members = self.kernel.find("membership", MembershipTask).live()
        peers = {h: r for h, r in members.items() if h != self._host}
        demand = self.limits.tick(frozenset(peers))
        if not demand.rate_by_account:
            return
        for host in self._recipients.next(sorted(peers)):
            self.kernel.post("peers", SendTo(peers[host].address, demand))

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task."""

    @handle.register
    def _(self, message: FleetChanged) -> None:
        self.limits.fleet = message.fleet.entry_hosts
        rates = {a.account: a.requests_per_second for a in message.fleet.account_by_key.values()}
        self.limits.configure(rates)

    @singledispatchmethod
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: Demand, envelope: PeerMessage) -> None:
        self.limits.learn(envelope.sender, body)
