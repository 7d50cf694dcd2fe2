"""Rate limits that targets state for all entry hosts together, and this host's share of each.

An overloaded target states how many requests a second it accepts from all entry hosts together.
Entry hosts do not coordinate each request, so the limit is split in advance: a few entry hosts
share it equally, and the others send elsewhere. Every host determines the same sharers, by a
rendezvous hash. Each sharer spaces its requests by a full interval, so in any window all sharers
together exceed the limit by at most one request each.

A target's limit is stored as a statement with a version. Entry hosts exchange their statements, and
the highest version wins. An answer raises or removes a limit only if its request was sent after the
limit was last stated, because answers may arrive out of order.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ..ownership import rendezvous

MIN_RATE = 0.25
"""Lowest rate, in requests a second, at which a limited target is sent requests, even if it states
less or 0. A target that receives nothing cannot report that its limit has ended."""

BASE_SHARERS = 3
"""Entry hosts that share a limit near zero. Each may exceed its share by one request in a window,
so this and :data:`SHARERS_PER_RATE` bound the excess."""

SHARERS_PER_RATE = 2.0
"""Additional entry hosts that share a limit, for each request a second."""

NEW_SHARER_DELAY = 4.0
"""Seconds that a new sharer waits before it sends: the host that it replaces may have just sent."""

REPEAT_SECONDS = 0.5
"""Seconds for which a new statement is included in every update to peers; datagrams may be lost."""

FULL_UPDATE_INTERVAL = 0.5
"""Seconds between two updates with all statements, for peers that started or were partitioned."""

RESTAGGER_BELOW = 0.5
"""Fraction of the previous rate below which a new rate is handled like a newly stated limit: the
sharers start one after the other. Doing so at every change would block all of them while a rate
shrinks in small steps."""

UNREADABLE_RATE = 0.5
"""Requests a second assumed for a limit that cannot be parsed: the target did state a limit."""

MAX_STATEMENTS = 2_000

MAX_VERSION = 2**40
"""Highest version that is accepted; no target changes its limit so often."""

STATEMENTS_PER_DATAGRAM = 18
"""Statements in one datagram. With names of 32 characters they fit into one frame."""


class CallKind(StrEnum):
    """The kind of call that an answer belongs to."""

    REQUEST = "request"
    CONTROL = "control"
    """An order or a probe."""


class Statement(NamedTuple):
    """The limit that a target stated.

    :param rate: requests a second from all entry hosts, ``None`` for no limit
    :param asked: kind of call whose answer stated the limit; a limit stated in an answer to a
        request is removed only by such an answer
    """

    version: int
    rate: float | None
    asked: CallKind = CallKind.REQUEST


class LimitUpdate(msgspec.Struct, tag="limits"):
    """Statements sent from one entry host to its peers, by the target's incarnation."""

    sender: str
    statements: dict[str, Statement]


class RateChange(NamedTuple):
    """A change of the limit of one incarnation; ``before`` is the previous rate."""

    incarnation: str
    before: float | None
    rate: float | None
    version: int


class Charge(NamedTuple):
    """What one request consumes of one limit.

    :param version: version of the statement that was in force
    :param previous_send_at: earliest time of this host's next request before the charge, restored
        if the request is not sent
    """

    version: int
    previous_send_at: float


class Permit(NamedTuple):
    """Permission to send one request to a group of incarnations, the first of which receives it."""

    incarnations: Sequence[str]
    charge_by_incarnation: Mapping[str, Charge]


class _Limit:
    """The latest statement of one target and this host's share of its limit."""

    def __init__(self, statement: Statement, now: float) -> None:
        self.statement = statement
        self.changed_at = now
        self.stated_at = now
        self.next_send_at = now
        self.sharers: tuple[str, ...] = ()


class TargetLimits:
    """The limits that targets stated, and when this host may send to these targets.

    :param me: name of this entry host
    """

    def __init__(self, me: str = "") -> None:
        self._me = me
        self._limit_by_incarnation: dict[str, _Limit] = {}
        self._hosts: Collection[str] = (me,)
        self._has_peers = True
        self._full_update_at = float("-inf")
        self.sent = 0
        self.held_back = 0

    @property
    def known(self) -> bool:
        """Return whether a statement of any target is stored."""
        return bool(self._limit_by_incarnation)

    @property
    def rate_by_incarnation(self) -> Mapping[str, float]:
        """Return the limits in force, in requests a second, by incarnation."""
        rates = {
            incarnation: limit.statement.rate
            for incarnation, limit in self._limit_by_incarnation.items()
        }
        return {incarnation: rate for incarnation, rate in rates.items() if rate is not None}

    @property
    def share(self) -> float:
        """Return the requests a second that this host may send to limited targets."""
        incarnations = self.rate_by_incarnation
        return sum(
            1 / _send_interval(limit)
            for limit in map(self._limit_by_incarnation.__getitem__, incarnations)
            if self._is_sharer(limit)
        )

    def sharers(self, incarnation: str) -> Sequence[str]:
        """Return the entry hosts that share an incarnation's limit, in their starting order."""
        limit = self._limit_by_incarnation.get(incarnation)
        return () if limit is None else limit.sharers

    # Statements of targets and peers

    def answered(
        self, incarnation: str, rate: float | None, asked: CallKind, asked_at: float, now: float
    ) -> RateChange | None:
        """Record the limit that an answer of a target states.

        :param rate: the stated rate, ``None`` if the answer states none
        :param asked: the kind of call that was answered
        :param asked_at: when that call was sent
        :return: the resulting change, ``None`` if there is none
        """
        limit = self._limit_by_incarnation.get(incarnation)
        known = None if limit is None else limit.statement.rate
        if limit is None and rate is None:
            return None
        if limit is not None and rate == known:
            if rate is not None:
                limit.stated_at = now
                limit.statement = limit.statement._replace(
                    asked=_stronger_kind(limit.statement, asked)
                )
            return None
        if limit is not None and _is_looser(rate, known):
            conclusive = asked == CallKind.REQUEST or limit.statement.asked == CallKind.CONTROL
            if not conclusive or asked_at < limit.stated_at:
                return None
        version = 1 if limit is None else limit.statement.version + 1
        return self._replace_statement(incarnation, Statement(version, rate, asked), now)

    def apply_peer_update(
        self, update: LimitUpdate, listed: Callable[[str], bool], now: float
    ) -> list[RateChange]:
        """Apply the statements of another entry host; return the changes.

        :param listed: returns whether an incarnation is known; peers may still report one that has
            ended
        """
        changes = []
        for incarnation, statement in update.statements.items():
            limit = self._limit_by_incarnation.get(incarnation)
            if (
                not _is_valid(statement)
                or not _is_newer(statement, limit)
                or not listed(incarnation)
            ):
                continue
            changes.append(self._replace_statement(incarnation, statement, now))
        return changes

    def pending_updates(self, now: float) -> list[LimitUpdate]:
        """Return the updates that are due for the other entry hosts."""
        include_all = now - self._full_update_at >= FULL_UPDATE_INTERVAL
        if include_all:
            self._full_update_at = now
        due = [
            (incarnation, limit.statement)
            for incarnation, limit in self._limit_by_incarnation.items()
            if include_all or now - limit.changed_at < REPEAT_SECONDS
        ]
        return [
            LimitUpdate(self._me, dict(due[first : first + STATEMENTS_PER_DATAGRAM]))
            for first in range(0, len(due), STATEMENTS_PER_DATAGRAM)
        ]

    def forget(self, incarnation: str) -> None:
        """Drop the statement of an incarnation that has ended."""
        self._limit_by_incarnation.pop(incarnation, None)

    def update_hosts(self, hosts: Collection[str], has_peers: bool, now: float) -> None:
        """Set the entry hosts that share the limits.

        :param hosts: names of the entry hosts that are present
        :param has_peers: whether this host receives updates of any of them; if not, it takes no
            share, as it cannot know which hosts send in its place
        """
        self._has_peers = has_peers
        if hosts is self._hosts:
            return
        self._hosts = hosts
        # A host that has just joined gets all statements immediately.
        self._full_update_at = float("-inf")
        for incarnation, limit in self._limit_by_incarnation.items():
            old_sharers = limit.sharers
            limit.sharers = self._sharers(incarnation, limit.statement.rate)
            if self._me in limit.sharers and self._me not in old_sharers:
                limit.next_send_at = max(limit.next_send_at, now + NEW_SHARER_DELAY)

    # Sending

    def may_send(self, incarnations: Sequence[str], now: float) -> bool:
        """Return whether a request may go now to a group, whose first incarnation receives it."""
        limits = self._binding_limits(incarnations).values()
        return all(self._is_sharer(limit) and now >= limit.next_send_at for limit in limits)

    def take(self, incarnations: Sequence[str], now: float) -> Permit | None:
        """Reserve one request to a group; return ``None`` if none may be sent now."""
        if not self.may_send(incarnations, now):
            self.held_back += 1
            return None
        charges = {}
        for incarnation, limit in self._binding_limits(incarnations).items():
            charges[incarnation] = Charge(limit.statement.version, limit.next_send_at)
            limit.next_send_at = now + _send_interval(limit)
            self.sent += 1
        return Permit(incarnations, charges)

    def confirm(self, permit: Permit, now: float) -> bool:
        """Return whether the first byte may be sent now.

        If a statement has changed since the target was chosen, the permit is given back, and the
        request is checked and charged against the limits now in force.
        """
        version_by_incarnation = {
            k: limit.statement.version
            for k, limit in self._binding_limits(permit.incarnations).items()
        }
        if version_by_incarnation == {
            k: t.version for k, t in permit.charge_by_incarnation.items()
        }:
            return True
        self.give_back(permit)
        return self.take(permit.incarnations, now) is not None

    def give_back(self, permit: Permit) -> None:
        """Return a permit that was not used."""
        for incarnation, charge in permit.charge_by_incarnation.items():
            limit = self._limit_by_incarnation.get(incarnation)
            if limit is not None and charge.version == limit.statement.version:
                limit.next_send_at = charge.previous_send_at
                self.sent -= 1

    def count_without_permit(self, incarnation: str, now: float) -> None:
        """Count a call that needs no permit, such as an order, against the target's limit."""
        limit = self._limit_by_incarnation.get(incarnation)
        if limit is not None and limit.statement.rate is not None:
            limit.next_send_at = max(limit.next_send_at, now) + _send_interval(limit)

    def is_limited(self, incarnations: Sequence[str]) -> bool:
        """Return whether any limit applies to a group of incarnations."""
        return bool(self._binding_limits(incarnations))

    def rate(self, incarnations: Sequence[str]) -> float | None:
        """Return the requests a second that a group accepts, ``None`` for no limit."""
        return min(map(_effective_rate, self._binding_limits(incarnations).values()), default=None)

    def members_to_probe(self, incarnations: Sequence[str]) -> list[str]:
        """Return the members of a group that this host has to probe for the end of their limit.

        These members receive no requests themselves, so only answers to probes and orders can
        report the end. The first sharer of a limit probes.
        """
        others = incarnations[1:]
        bound = self._binding_limits(incarnations).items()
        return [
            incarnation
            for incarnation, limit in bound
            if incarnation in others and limit.sharers[:1] == (self._me,)
        ]

    def _binding_limits(self, incarnations: Sequence[str]) -> Mapping[str, _Limit]:
        """Return the limits that apply to a group, by incarnation.

        A limit stated by the first member always applies. A limit of another member, which
        receives no requests from entry hosts, applies if it was stated in an answer to an order or
        a probe: every request of the group passes through that member, and later probes report the
        end of its limit.
        """
        if not self._limit_by_incarnation:
            return {}
        found = {}
        for rank, incarnation in enumerate(incarnations):
            limit = self._limit_by_incarnation.get(incarnation)
            if limit is None or limit.statement.rate is None:
                continue
            if rank == 0 or limit.statement.asked == CallKind.CONTROL:
                found[incarnation] = limit
        return found

    def _is_sharer(self, limit: _Limit) -> bool:
        return self._has_peers and self._me in limit.sharers

    def _sharers(self, incarnation: str, rate: float | None) -> tuple[str, ...]:
        if rate is None:
            return ()
        # At a rate that exceeds the number of hosts, all of them share the limit.
        count = BASE_SHARERS + math.floor(SHARERS_PER_RATE * min(rate, len(self._hosts)))
        return rendezvous(f"limit/{incarnation}", self._hosts, count)

    def _replace_statement(self, incarnation: str, statement: Statement, now: float) -> RateChange:
        limit = self._limit_by_incarnation.pop(incarnation, None) or _Limit(Statement(0, None), now)
        old_rate, interval = limit.statement.rate, _send_interval(limit)
        limit.statement, limit.changed_at, limit.stated_at = statement, now, now
        limit.sharers = self._sharers(incarnation, statement.rate)
        self._limit_by_incarnation[incarnation] = limit
        self._evict()
        if statement.rate is not None and self._me in limit.sharers:
            wait = max(0.0, limit.next_send_at - now)
            if old_rate is not None:
                wait *= _send_interval(limit) / interval
            if old_rate is None or statement.rate < old_rate * RESTAGGER_BELOW:
                # The sharers start one after the other: requests that were sent before the
                # statement arrived count against the new limit too.
                position = limit.sharers.index(self._me) + 1
                wait = max(wait, position / _effective_rate(limit))
            limit.next_send_at = now + wait
        return RateChange(incarnation, old_rate, statement.rate, statement.version)

    def _evict(self) -> None:
        """Drop the least recently changed statement if there are too many, ended limits first."""
        if len(self._limit_by_incarnation) <= MAX_STATEMENTS:
            return
        ended = (
            k for k, limit in self._limit_by_incarnation.items() if limit.statement.rate is None
        )
        del self._limit_by_incarnation[next(ended, next(iter(self._limit_by_incarnation)))]


def _effective_rate(limit: _Limit) -> float:
    return max(MIN_RATE, limit.statement.rate or 0.0)


def _send_interval(limit: _Limit) -> float:
    """Return the seconds between two requests of one sharer of a limit."""
    return max(1, len(limit.sharers)) / _effective_rate(limit)


def _is_looser(rate: float | None, known: float | None) -> bool:
    """Return whether a rate allows more than the known one."""
    return known is not None and (rate is None or rate > known)


def _stronger_kind(statement: Statement, asked: CallKind) -> CallKind:
    return CallKind.REQUEST if CallKind.REQUEST in (statement.asked, asked) else CallKind.CONTROL


def _is_valid(statement: Statement) -> bool:
    """Return whether the rate and version of a peer's statement are valid.

    Anybody may send datagrams to this host.
    """
    rate_is_valid = statement.rate is None or 0.0 <= statement.rate < math.inf
    return rate_is_valid and 0 < statement.version <= MAX_VERSION


def _is_newer(statement: Statement, limit: _Limit | None) -> bool:
    """Return whether a peer's statement replaces the stored one.

    Of two statements with the same version the lower rate wins.
    """
    if limit is None:
        return True
    if statement.version != limit.statement.version:
        return statement.version > limit.statement.version
    return _is_looser(limit.statement.rate, statement.rate)
