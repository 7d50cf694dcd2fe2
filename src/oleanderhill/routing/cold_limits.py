"""Rate limits of cold targets, each with an end, and this entry host's share of them.

A target is cold for some seconds after its start, and may turn cold again at any time. Meanwhile it
bears a configured rate of requests from all entry hosts together. Every host knows the cold targets
from the host list and from answers, and the sharers from the list of entry hosts, so that no host
needs another's word to stay within the bound.

Statements give the seconds that a target stays cold. Their end is counted from the time at which
they arrived here, which is never too early.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from enum import StrEnum
from itertools import count
from typing import NamedTuple

from .limit_scope import WindowBound, split_within
from .paced_limits import PacedLimit
from .sharing_hosts import SharingHosts

MAX_COLD_SECONDS = 60.0
"""Longest time for which a statement is believed; a target that stays cold states it again."""

COLD_TOLERANCE = 0.7
"""Seconds by which a statement may move the end of a cold time without correcting it: entries of
the host list arrive up to a read interval apart."""

ENTRY_MAX_AGE = 3.0
"""Seconds by which an entry of the host list may be older than an answer that arrives at the same
time. An entry ends or shortens what an answer stated only after that time."""

SHARING_DELAY = 4.0
"""Seconds for which lists of entry hosts are remembered: all hosts have learnt of a change within
three, and what a former sharer has sent by then is a window old after the fourth."""


class ColdSource(StrEnum):
    """The origin of a statement that a target is cold."""

    ENTRY = "entry"
    ANSWER = "answer"
    START = "start"
    """The target started and its entry does not say how long it stays cold."""


class ColdChange(NamedTuple):
    """A change of the cold time of one incarnation.

    :param what: ``began``, ``corrected`` or ``ended``
    :param seconds: seconds that it stays cold from now
    :param before: seconds that it would have stayed cold
    :param source: origin of the statement, ``None`` for an end by time
    :param age: seconds since the previous statement
    """

    what: str
    incarnation: str
    seconds: float
    before: float
    source: ColdSource | None
    age: float


class _ColdLimit(PacedLimit):
    """The cold time of one target and this host's share of its limit."""

    def __init__(self, service: str, now: float) -> None:
        super().__init__(now)
        self.service = service
        self.ends_at = now
        self.stated_at = now
        self.source = ColdSource.ENTRY
        self.started = False
        self.settled_at = now
        self.inputs: tuple[int, float] = (-1, 0.0)
        self.current_rate = 0.0
        self._version = 0
        self._interval = float("inf")

    @property
    def version(self) -> int:
        return self._version

    @property
    def rate(self) -> float:
        return self.current_rate

    @property
    def interval(self) -> float:
        return self._interval

    def is_due(self, now: float) -> bool:
        return now >= self.settled_at and super().is_due(now)

    def replace_share(
        self, sharers: tuple[str, ...], interval: float, min_gap: float, version: int
    ) -> None:
        """Set the sharers and their spacing; if these change, permits have to be checked again.

        :param version: one that no limit has had, also not an ended one of the same target
        """
        if (sharers, interval, min_gap) != (self.sharers, self._interval, self.min_gap):
            self._version = version
        self.sharers, self._interval, self.min_gap = sharers, interval, min_gap


class ColdLimits:
    """The cold targets, and when this host may send to them.

    :param me: name of this entry host
    :param bound: bound on the requests of all entry hosts to one cold target
    :ivar held_back: number of times that a cold target was skipped
    """

    def __init__(self, me: str = "", bound: WindowBound | None = None) -> None:
        self._me = me
        self._bound = bound or WindowBound()
        self._hosts = SharingHosts(me, SHARING_DELAY)
        self._rate_by_service: Mapping[str, float] = {}
        self._limit_by_incarnation: dict[str, _ColdLimit] = {}
        self._versions = count(1)
        self.held_back = 0

    @property
    def known(self) -> bool:
        """Return whether any target is limited because it is cold."""
        return bool(self._rate_by_service and self._limit_by_incarnation)

    @property
    def targets(self) -> int:
        """Return the number of cold targets that have a limit."""
        limits = self._limit_by_incarnation.values()
        return sum(limit.service in self._rate_by_service for limit in limits)

    def is_limited_service(self, service: str) -> bool:
        """Return whether the configuration gives a rate for cold targets of a service."""
        return service in self._rate_by_service

    def set_rates(self, rate_by_service: Mapping[str, float]) -> None:
        """Set the requests a second that a cold target of each service bears."""
        self._rate_by_service = rate_by_service

    def update_hosts(self, hosts: Collection[str], now: float) -> None:
        """Set the entry hosts that are present."""
        self._hosts.update(hosts, now)

    # Statements

    def state(
        self,
        incarnation: str,
        service: str,
        seconds: float,
        source: ColdSource,
        asked_at: float,
        now: float,
    ) -> ColdChange | None:
        """Record for how long a target stays cold; 0 if it is warm.

        :param asked_at: when the call was sent that an answer belongs to
        :return: the resulting change, ``None`` if there is none
        """
        seconds = min(max(0.0, seconds), MAX_COLD_SECONDS)
        limit = self._limit_by_incarnation.get(incarnation)
        if limit is None or now >= limit.ends_at:
            return self._begin(incarnation, service, seconds, source, now) if seconds else None
        before, age = limit.ends_at - now, now - limit.stated_at
        if seconds < before and not _may_shorten(limit, source, asked_at, now):
            return None
        if not seconds:
            del self._limit_by_incarnation[incarnation]
            return ColdChange("ended", incarnation, 0.0, before, source, age)
        is_corrected = abs(seconds - before) > COLD_TOLERANCE
        limit.stated_at, limit.source = now, source
        limit.ends_at = now + seconds if is_corrected else max(limit.ends_at, now + seconds)
        if not is_corrected:
            return None
        return ColdChange("corrected", incarnation, seconds, before, source, age)

    def _begin(
        self, incarnation: str, service: str, seconds: float, source: ColdSource, now: float
    ) -> ColdChange:
        limit = self._limit_by_incarnation[incarnation] = _ColdLimit(service, now)
        limit.ends_at, limit.source = now + seconds, source
        return ColdChange("began", incarnation, seconds, 0.0, source, 0.0)

    def forget(self, incarnation: str) -> None:
        """Drop an incarnation that has ended."""
        self._limit_by_incarnation.pop(incarnation, None)

    def expire(self, now: float) -> list[ColdChange]:
        """Drop the targets whose cold time has ended; return the changes."""
        ended = [(i, c) for i, c in self._limit_by_incarnation.items() if now >= c.ends_at]
        for incarnation, _ in ended:
            del self._limit_by_incarnation[incarnation]
        return [ColdChange("ended", i, 0.0, 0.0, None, now - c.stated_at) for i, c in ended]

    # Sharing

    def find(self, incarnation: str) -> PacedLimit | None:
        """Return the limit of a target, ``None`` if it has none.

        Its rate is the present one, its sharers are those of the last check.
        """
        limit = self._limit_by_incarnation.get(incarnation)
        rate = None if limit is None else self._rate_by_service.get(limit.service)
        if limit is None or rate is None:
            return None
        limit.current_rate = rate
        return limit

    def find_at(self, incarnation: str, now: float) -> PacedLimit | None:
        """Return the limit of a target with the sharers at a time, ``None`` if it has none."""
        limit = self._limit_by_incarnation.get(incarnation)
        if limit is None or now >= limit.ends_at:
            return None
        rate = self._rate_by_service.get(limit.service)
        if rate is None:
            return None
        sharing = self._hosts.at(now)
        if limit.inputs != (sharing.version, rate):
            self._split(incarnation, limit, rate, now)
        return limit

    def _split(self, incarnation: str, limit: _ColdLimit, rate: float, now: float) -> None:
        sharing = self._hosts.at(now)
        limit.inputs, limit.current_rate = (sharing.version, rate), rate
        split = split_within(self._bound, rate, len(sharing.hosts))
        sharers = sharing.ranking.first(f"cold/{incarnation}", split.sharers)
        limit.replace_share(sharers, split.interval, split.min_gap, next(self._versions))
        if self._me not in sharers:
            return
        limit.settled_at = sharing.settled_at
        if not limit.started:
            # The sharers start one after the other: a target that has just turned cold may have got
            # requests until now.
            limit.started = True
            position = sharers.index(self._me) + 1
            limit.next_send_at = max(limit.next_send_at, limit.stated_at + position / rate)


def _may_shorten(limit: _ColdLimit, source: ColdSource, asked_at: float, now: float) -> bool:
    """Return whether a statement is newer than the one that is known."""
    if source == ColdSource.ANSWER:
        return asked_at >= limit.stated_at
    return limit.source != ColdSource.ANSWER or now - limit.stated_at >= ENTRY_MAX_AGE
