"""Quarantine of crash-causing requests for calls that arrive at the project's own HTTP server.

The rules are those of :mod:`..routing.crashes`. At each tick, updates go to a few random peers,
which pass them on, so the number of messages per host doesn't depend on the number of hosts. In a
simulation with 2,200 entry hosts, a quarantine reaches all of them within 4.6 to 5.2 s (five
seeds). It takes this long because the updates of each tick contain a quarantine only during its
first half second; after that only the periodic full updates pass it on.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Any

from ..clients.listening import CHECK_DELAYS, ListenStatus, check_listening
from ..clock import boottime_seconds
from ..decisions import Decisions
from ..kernel import Kernel, PeerMessage, Task
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..outcomes import Problem, Ran
from ..routing.crash_news import EndingNews
from ..routing.crashes import CrashTracker
from ..types import Member

UPDATE_FANOUT = 3
"""Peers that receive an update at each tick."""

FULL_UPDATE_INTERVAL = 2.0
"""Seconds between full updates, which reach peers that restarted or were partitioned."""


class RequestQuarantineTask(Task):
    """Tracks the target crashes and the quarantined requests known to this entry host.

    :param targets: returns the number of targets that serve now
    :param probe: checks whether a process listens at an address
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
        probe: Callable[[str], Awaitable[ListenStatus]] = check_listening,
    ) -> None:
        super().__init__(kernel)
        self._host = host
        self._rng = rng
        self._decisions = decisions
        self._targets = targets
        self._probe = probe
        self._tracker = CrashTracker()
        self._full_update_at = float("-inf")

    def rejection_for(self, identity: str, ran: Ran) -> Problem | None:
        """Return why a request is rejected, or ``None`` if it may be sent."""
        return self._tracker.problem(identity, boottime_seconds(), ran)

    def may_send(self, identity: str) -> bool:
        """Return whether a request is not quarantined at this moment."""
        return self._tracker.quarantined(identity) is None

    def record_lost_attempt(
        self, identity: str, request_id: str, at: Member, ran_for: float
    ) -> None:
        """Record that an attempt was lost at a target, ``ran_for`` seconds after it was sent."""
        incarnation = f"{at.host}@{at.boot_id}"
        new = self._tracker.lost(identity, incarnation, ran_for, boottime_seconds())
        text = f"attempt lost at {incarnation} after {ran_for:.2f} s, request identity {identity}"
        self._decisions.note("route", request_id, text, (identity,))
        if new:
            self.spawn(self._confirm_crash(incarnation, at.address))

    def record_answer(self, identity: str) -> None:
        """Record that a request was answered completely."""
        cleared, quarantined = self._tracker.answered(identity, boottime_seconds())
        if cleared:
            self._decisions.note("route", identity, "cleared by a complete answer")
        self._log_quarantined(quarantined, "another request was cleared")

    async def tick(self) -> None:
        """Send pending updates to a few peers."""
        now = boottime_seconds()
        self._tracker.targets = self._targets()
        self._tracker.forget(now)
        full = now - self._full_update_at >= FULL_UPDATE_INTERVAL
        if full:
            self._full_update_at = now
        updates = self._tracker.pending_updates(self._host, now, full)
        if not updates:
            return
        live = self.kernel.find("membership", MembershipTask).live()
        others = [row.address for name, row in sorted(live.items()) if name != self._host]
        for address in self._rng.sample(others, min(UPDATE_FANOUT, len(others))):
            for update in updates:
                self.kernel.post("peers", SendTo(address, update))

    @singledispatchmethod
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: EndingNews, envelope: PeerMessage) -> None:
        self._log_quarantined(
            self._tracker.apply_peer_update(body, boottime_seconds()),
            f"reported by {envelope.sender}",
        )

    async def _confirm_crash(self, incarnation: str, address: str) -> None:
        """Probe the target's address, and confirm the crash once a connection is refused."""
        for seconds in CHECK_DELAYS:
            await asyncio.sleep(seconds)
            if await self._probe(address) == ListenStatus.REFUSED:
                self._log_quarantined(
                    self._tracker.confirm_ended(incarnation, boottime_seconds()),
                    f"{incarnation} crashed",
                )
                return

    def _log_quarantined(self, identities: list[str], reason: str) -> None:
        for identity in identities:
            incarnations = self._tracker.quarantined(identity)
            self._decisions.note(
                "route", identity, f"quarantined: {reason}; crashed targets: {incarnations}"
            )
