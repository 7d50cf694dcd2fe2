"""How late was a message? One-way delay without synchronised clocks.

A process that was paused wakes and reads messages that lay in its socket for seconds. By their
arrival they look fresh. The sender stamps each message with its own monotonic clock, and the
least difference ever seen between arrival and stamp stands for the prompt messages; what exceeds
it is delay.
"""

from __future__ import annotations

from typing import NamedTuple

SETTLE_SECONDS = 1.0
"""Local time over which samples must arrive before a sender's stamps are believed."""

DRIFT = 1e-4
"""Clock drift allowed, as a fraction; the estimate is let up by it so that it can follow."""


class Offset(NamedTuple):
    """Least difference between local arrival and the sender's stamp, and when it began."""

    least: float
    since: float
    updated: float


class ClockOffsets:
    """Offsets of the senders, by name and incarnation."""

    def __init__(self) -> None:
        self._by_sender: dict[tuple[str, int], Offset] = {}

    def sent_at(self, sender: str, incarnation: int, stamp: float, now: float) -> float | None:
        """Return the local time at which a message was sent, ``None`` until that is known.

        :param stamp: the sender's monotonic clock when it sent the message, in seconds
        :param now: the local monotonic clock at arrival
        """
        key = (sender, incarnation)
        sample = now - stamp
        old = self._by_sender.get(key)
        if old is None:
            self.forget(sender)
            self._by_sender[key] = Offset(sample, now, now)
            return None
        crept = old.least + DRIFT * (now - old.updated)
        self._by_sender[key] = Offset(min(crept, sample), old.since, now)
        # Messages that waited in a paused reader's socket all arrive within one instant. Only
        # samples spread over local time can hold a prompt one, so the burst is not believed.
        if now - old.since < SETTLE_SECONDS:
            return None
        return stamp + self._by_sender[key].least

    def forget(self, sender: str) -> None:
        """Drop what is known of a sender, such as its earlier starts."""
        for key in [k for k in self._by_sender if k[0] == sender]:
            del self._by_sender[key]
