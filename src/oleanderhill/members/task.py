"""The task that runs :mod:`.membership`."""

from __future__ import annotations

import random
import time
from functools import singledispatchmethod
from typing import Any

from ..decisions import Decisions
from ..kernel import Kernel, PeerMessage, Task
from .membership import GOSSIP_INTERVAL, Gossip, Membership, Row
from .wire import SendTo


class MembershipTask(Task):
    """Owns this entry host's view of the other entry hosts."""

    name = "membership"
    interval = GOSSIP_INTERVAL

    def __init__(
        self, kernel: Kernel, me: Row, seeds: list[str], rng: random.Random, decisions: Decisions
    ) -> None:
        super().__init__(kernel)
        self.membership = Membership(me, seeds, rng, time.monotonic())
        self._decisions = decisions
        self._previously_live: set[str] = set()

    def live(self, data_centre: str | None = None) -> dict[str, Row]:
        """Return the live entry hosts by name, including this one."""
        return self.membership.live(time.monotonic(), data_centre)

    def startup_complete(self) -> bool:
        """Return whether the view of the others is complete enough after the start to act on it."""
        return self.membership.startup_complete(time.monotonic())

    async def tick(self) -> None:
        """Send this interval's gossip and log the changes of peer states."""
        now = time.monotonic()
        for send in self.membership.tick(now):
            self.kernel.post("peers", SendTo(send.address, send.message))
        live = set(self.membership.live(now))
        for host in sorted(live - self._previously_live):
            self._decisions.note("member", host, "live")
        for host in sorted(self._previously_live - live):
            self._decisions.note("member", host, self.membership.state(host, now).value)
        self._previously_live = live

    def leave(self) -> None:
        """Send peers the message that this host leaves."""
        for send in self.membership.leave():
            self.kernel.post("peers", SendTo(send.address, send.message))

    @singledispatchmethod
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: Gossip, envelope: PeerMessage) -> None:
        self.membership.receive(envelope.arrived, body)
