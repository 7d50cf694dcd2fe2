"""Keeps requests that end the targets that run them from being sent on, at the project's own edge.

The account is that of :mod:`..routing.endings`. News goes to a few peers drawn at random with each
tick, who tell it on; each sends the same few messages however many there are. Played in virtual
time, a quarantine is known to all of 2,200 entry hosts after 4.6 to 5.2 s (five seeds): it counts
as new by its own age, half a second, and goes on only when it is told again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Any

from ..clients.listening import LOOK_AFTER, Listening, listening
from ..clock import awake_or_not
from ..decisions import Decisions
from ..kernel import Kernel, Received, Task
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..outcomes import Problem, Ran
from ..routing.endings import EndingBook, EndingNews
from ..types import Member

TOLD = 3
"""Peers that are told at each tick."""

TOLD_AGAIN = 2.0
"""Seconds until what was told is told again, to those that restarted or were cut off."""


class SuspectsTask(Task):
    """Owns the account of endings of this entry host.

    :param targets: returns how many targets serve now
    :param look: tells whether anybody listens at an address
    """

    name = "suspects"
    interval = 0.1

    def __init__(
        self,
        kernel: Kernel,
        host: str,
        rng: random.Random,
        decisions: Decisions,
        targets: Callable[[], int],
        look: Callable[[str], Awaitable[Listening]] = listening,
    ) -> None:
        super().__init__(kernel)
        self._host = host
        self._rng = rng
        self._decisions = decisions
        self._targets = targets
        self._look = look
        self._book = EndingBook()
        self._told_at = float("-inf")

    def problem(self, identity: str, ran: Ran) -> Problem | None:
        """Return why a request is not sent, ``None`` for one that may be."""
        return self._book.problem(identity, awake_or_not(), ran)

    def may_send(self, identity: str) -> bool:
        """Tell whether a request may be sent at this very moment."""
        return self._book.quarantined(identity) is None

    def lost(self, identity: str, request_id: str, at: Member, ran_for: float) -> None:
        """Take note that a try was lost at a target, after some seconds there."""
        life = f"{at.host}@{at.boot_id}"
        new = self._book.lost(identity, life, ran_for, awake_or_not())
        text = f"lost at {life} after {ran_for:.2f} s, same as {identity}"
        self._decisions.note("route", request_id, text, (identity,))
        if new:
            self.spawn(self._look_at(life, at.address))

    def answered(self, identity: str) -> None:
        """Take note of a whole answer to a request."""
        cleared, quarantined = self._book.answered(identity, awake_or_not())
        if cleared:
            self._decisions.note("route", identity, "cleared by a whole answer")
        self._quarantined(quarantined, "another was cleared")

    async def tick(self) -> None:
        """Tell a few peers what is new."""
        now = awake_or_not()
        self._book.targets = self._targets()
        self._book.forget(now)
        again = now - self._told_at >= TOLD_AGAIN
        if again:
            self._told_at = now
        parts = self._book.news(self._host, now, again)
        if not parts:
            return
        live = self.kernel.find("membership", MembershipTask).live()
        others = [row.address for name, row in sorted(live.items()) if name != self._host]
        for address in self._rng.sample(others, min(TOLD, len(others))):
            for part in parts:
                self.kernel.post("peers", SendTo(address, part))

    @singledispatchmethod
    def receive(self, body: Any, envelope: Received) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: EndingNews, envelope: Received) -> None:
        self._quarantined(self._book.hear(body, awake_or_not()), f"told by {envelope.sender}")

    async def _look_at(self, life: str, address: str) -> None:
        for seconds in LOOK_AFTER:
            await asyncio.sleep(seconds)
            if await self._look(address) == Listening.REFUSED:
                self._quarantined(self._book.over(life, awake_or_not()), f"{life} ended")
                return

    def _quarantined(self, identities: list[str], reason: str) -> None:
        for identity in identities:
            lives = self._book.quarantined(identity)
            self._decisions.note("route", identity, f"sent to nobody any more: {reason}; {lives}")
