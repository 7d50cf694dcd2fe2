"""Tracks targets that announce in answers that they are leaving, and sends updates to peers.

The announcement counts even if the store still lists the target as ready.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from ..groups.inventory import Inventory
from ..records import Records

REPEAT_SECONDS = 0.5
"""Seconds for which a target is included in each update to peers, since datagrams may be lost."""

FULL_UPDATE_INTERVAL = 2.0
"""Seconds between two updates with all leaving targets. Peers that have just started or were
partitioned need them."""

INCARNATIONS_PER_DATAGRAM = 24
"""With host names of 32 characters a datagram with this many incarnations fits into one frame."""


class LeavingUpdate(msgspec.Struct, tag="leaving"):
    """Incarnations of leaving targets, as sent by one entry host to its peers."""

    sender: str
    lives: list[str]


class LeavingTargets:
    """Marks targets as leaving in the inventory.

    :param changed: called after a target was marked as leaving
    """

    def __init__(self, inventory: Inventory, changed: Callable[[], None], records: Records) -> None:
        self._inventory = inventory
        self._changed = changed
        self._records = records
        self._marked_at: dict[str, float] = {}
        self._full_update_at = float("-inf")

    def __len__(self) -> int:
        return len(self._marked_at)

    def announced(self, incarnation: str, source: str, request_id: str = "") -> None:
        """Record that a target is leaving, which holds until the end of its incarnation."""
        if incarnation in self._marked_at or not self._inventory.leave(incarnation):
            return
        self._marked_at[incarnation] = time.monotonic()
        self._records.note(
            "leaving", "said", instance=incarnation, source=source, request_id=request_id
        )
        self._changed()

    def apply_peer_update(self, update: LeavingUpdate) -> None:
        """Apply an update from a peer."""
        for incarnation in update.lives:
            self.announced(incarnation, f"peer {update.sender}")

    def incarnation_ended(self, incarnation: str) -> None:
        """Drop an incarnation that has ended."""
        self._marked_at.pop(incarnation, None)

    def pending_updates(self, sender: str) -> list[LeavingUpdate]:
        """Return the updates to send to peers now."""
        now = time.monotonic()
        full = now - self._full_update_at >= FULL_UPDATE_INTERVAL
        if full:
            self._full_update_at = now
        due = [i for i, at in self._marked_at.items() if full or now - at < REPEAT_SECONDS]
        return [
            LeavingUpdate(sender, due[first : first + INCARNATIONS_PER_DATAGRAM])
            for first in range(0, len(due), INCARNATIONS_PER_DATAGRAM)
        ]
