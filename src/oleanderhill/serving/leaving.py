"""Hears from targets that they leave, also where the store does not say so, and tells the peers."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from ..groups.inventory import Inventory
from ..records import Records

REPEATED_FOR = 0.5
"""Seconds for which a target is named with each report; datagrams may be lost."""

AGAIN_EVERY = 2.0
"""Seconds between two tellings of all targets that leave, to hosts that started or were cut off."""

PART_LIVES = 24
"""Lives in one datagram: with names of 32 letters it fits into one frame."""


class LeavingNews(msgspec.Struct, tag="leaving"):
    """Lives of targets that leave, as one entry host tells others."""

    sender: str
    lives: list[str]


class LeavingTargets:
    """Takes the words of targets into the inventory.

    :param changed: called after a target was found to leave
    """

    def __init__(self, inventory: Inventory, changed: Callable[[], None], records: Records) -> None:
        self._inventory = inventory
        self._changed = changed
        self._records = records
        self._heard_at: dict[str, float] = {}
        self._told_at = float("-inf")

    def __len__(self) -> int:
        return len(self._heard_at)

    def said(self, life: str, source: str, request_id: str = "") -> None:
        """Take note that a target says that it leaves; nothing takes that back in this life."""
        if life in self._heard_at or not self._inventory.leave(life):
            return
        self._heard_at[life] = time.monotonic()
        self._records.note("leaving", "said", instance=life, source=source, request_id=request_id)
        self._changed()

    def hear(self, news: LeavingNews) -> None:
        """Take what another entry host tells."""
        for life in news.lives:
            self.said(life, f"peer {news.sender}")

    def over(self, life: str) -> None:
        """Forget a life that is over."""
        self._heard_at.pop(life, None)

    def news(self, sender: str) -> list[LeavingNews]:
        """Return what to tell the other entry hosts now."""
        now = time.monotonic()
        again = now - self._told_at >= AGAIN_EVERY
        if again:
            self._told_at = now
        told = [life for life, at in self._heard_at.items() if again or now - at < REPEATED_FOR]
        return [
            LeavingNews(sender, told[first : first + PART_LIVES])
            for first in range(0, len(told), PART_LIVES)
        ]
