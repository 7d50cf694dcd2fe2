"""One rate limit of a target and this entry host's share of it, whatever the kind of the limit."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .limit_scope import LimitKey


class Charge(NamedTuple):
    """What one request consumes of one limit.

    :param version: version of the limit that was in force
    :param previous_send_at: earliest time of this host's next request before the charge, restored
        if the request is not sent
    """

    version: int
    previous_send_at: float


class Permit(NamedTuple):
    """Permission to send one request to a group of incarnations, the first of which receives it."""

    incarnations: Sequence[str]
    charge_by_key: Mapping[LimitKey, Charge]


class PacedLimit(ABC):
    """A limit that few entry hosts share, each of which spaces its requests by an interval.

    :ivar sharers: the entry hosts that share it, in their starting order
    :ivar next_send_at: earliest time of this host's next request
    :ivar min_gap: seconds that must lie between two requests of this host when they are sent; two
        requests may be chosen an interval apart and connect at different speeds
    """

    def __init__(self, now: float) -> None:
        self.sharers: tuple[str, ...] = ()
        self.next_send_at = now
        self.min_gap = 0.0
        self._last_sent_at = float("-inf")

    @property
    @abstractmethod
    def version(self) -> int:
        """Return a number that changes whenever permits have to be checked again."""

    @property
    @abstractmethod
    def rate(self) -> float:
        """Return the requests a second from all entry hosts together."""

    @property
    @abstractmethod
    def interval(self) -> float:
        """Return the seconds between two requests of one sharer."""

    def is_due(self, now: float) -> bool:
        """Return whether this host's turn has come, if it is a sharer."""
        return now >= self.next_send_at

    def charge(self, now: float) -> Charge:
        """Charge one request."""
        charge = Charge(self.version, self.next_send_at)
        self.next_send_at = now + self.interval
        return charge

    def refund(self, charge: Charge) -> bool:
        """Take back a charge; return whether it still counted."""
        if charge.version != self.version:
            return False
        self.next_send_at = charge.previous_send_at
        return True

    def charge_late(self, now: float) -> None:
        """Charge a call that was sent without a permit."""
        self.next_send_at = max(self.next_send_at, now) + self.interval

    def is_spaced(self, now: float) -> bool:
        """Return whether the last request was sent long enough ago."""
        return now - self._last_sent_at >= self.min_gap

    def record_sent(self, now: float) -> None:
        """Record that the first byte of a charged request is sent now."""
        self._last_sent_at = now
        if self.min_gap > 0:
            self.next_send_at = max(self.next_send_at, now + self.interval)
