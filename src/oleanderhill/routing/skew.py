"""Estimates when messages were sent, without synchronised clocks.

A process that resumes after a pause reads messages that have waited in its socket for seconds.
Judged by their time of arrival, they would appear fresh. Each sender therefore stamps its messages
with its own monotonic clock. The smallest difference observed between arrival and stamp is taken as
the difference between the clocks; any excess over it is delay.
"""

from __future__ import annotations

from typing import NamedTuple

SETTLE_SECONDS = 1.0
"""Local time that a sender's samples must span before its stamps are used."""

DRIFT = 1e-4
"""Clock drift allowed, as a fraction. The estimate rises at this rate to follow the drift."""


class Offset(NamedTuple):
    """The estimated difference between the local clock and the clock of a sender.

    :param least: smallest difference between arrival and stamp, in seconds, adjusted for drift
    :param since: local time of the first sample
    :param updated: local time of the latest sample
    """

    least: float
    since: float
    updated: float


class ClockOffsets:
    """Clock offsets of the senders, by name and incarnation."""

    def __init__(self) -> None:
        self._by_sender: dict[tuple[str, int], Offset] = {}

    def sent_at(self, sender: str, incarnation: int, stamp: float, now: float) -> float | None:
        """Return the local time at which a message was sent, ``None`` while it is unknown.

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
        drifted = old.least + DRIFT * (now - old.updated)
        self._by_sender[key] = Offset(min(drifted, sample), old.since, now)
        # Messages that waited in the socket of a paused reader all arrive within one instant. Only
        # samples spread over local time can include one without delay, so a burst is not used.
        if now - old.since < SETTLE_SECONDS:
            return None
        return stamp + self._by_sender[key].least

    def forget(self, sender: str) -> None:
        """Drop the offsets of all incarnations of a sender."""
        for key in [k for k in self._by_sender if k[0] == sender]:
            del self._by_sender[key]
