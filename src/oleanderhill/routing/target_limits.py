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
from .cold_limits import ColdLimits
from .limit_scope import LimitKey, LimitScope
from .paced_limits import PacedLimit, Permit

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


class _Limit(PacedLimit):
    """The latest statement of one target and this host's share of its limit."""

    def __init__(self, statement: Statement, now: float) -> None:
        super().__init__(now)
        self.statement = statement
        self.changed_at = now
        self.stated_at = now

    @property
    def version(self) -> int:
        return self.statement.version

    @property
    def rate(self) -> float:
        return max(MIN_RATE, self.statement.rate or 0.0)

    @property
    def interval(self) -> float:
        return max(1, len(self.sharers)) / self.rate


class TargetLimits:
    """The limits that targets stated, and when this host may send to these targets.

    Limits of cold targets bind the same requests, so permits cover both.

    :param me: name of this entry host
    :param cold: the limits of cold targets
    """

    def __init__(self, me: str = "", cold: ColdLimits | None = None) -> None:
        self._me = me
        self.cold = ColdLimits(me) if cold is None else cold
        self._limit_by_incarnation: dict[str, _Limit] = {}
        self._hosts: Collection[str] = (me,)
        self._has_peers = True
        self._full_update_at = float("-inf")
        self.sent = 0
        self.held_back = 0

    @property
    def known(self) -> bool:
        """Return whether a statement of any target is stored, or any target is limited as cold."""
        return bool(self._limit_by_incarnation) or self.cold.known

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
            1 / limit.interval
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
        if has_peers != self._has_peers or hosts is not self._hosts:
            # A host that was isolated settles again: others may have taken its shares meanwhile.
            self.cold.update_hosts(hosts if has_peers else (), now)
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
        cold = self.cold.find_at(incarnations[0], now) if self.cold.known else None
        if cold is not None and not (cold.is_due(now) and self._is_sharer(cold)):
            self.cold.held_back += 1
            return False
        stated = self._stated_limits(incarnations).values()
        return all(limit.is_due(now) and self._is_sharer(limit) for limit in stated)

    def take(self, incarnations: Sequence[str], now: float) -> Permit | None:
        """Reserve one request to a group; return ``None`` if none may be sent now."""
        if not self.may_send(incarnations, now):
            self.held_back += 1
            return None
        limits = self._binding_limits(incarnations, now)
        self.sent += len(limits)
        return Permit(incarnations, {key: limit.charge(now) for key, limit in limits.items()})

    def confirm(self, permit: Permit, now: float) -> bool:
        """Return whether the first byte may be sent now.

        If a limit has changed since the target was chosen, the permit is given back, and the
        request is checked and charged against the limits now in force.
        """
        limits = self._binding_limits(permit.incarnations, now)
        charged = {key: charge.version for key, charge in permit.charge_by_key.items()}
        if charged != {key: limit.version for key, limit in limits.items()}:
            self.give_back(permit)
            taken = self.take(permit.incarnations, now)
            if taken is None:
                return False
            permit = taken
        if not all(limit.is_spaced(now) for limit in limits.values()):
            self.give_back(permit)
            return False
        for limit in limits.values():
            limit.record_sent(now)
        return True

    def give_back(self, permit: Permit) -> None:
        """Return a permit that was not used."""
        for key, charge in permit.charge_by_key.items():
            limit = self._find(key)
            if limit is not None and limit.refund(charge):
                self.sent -= 1

    def count_without_permit(self, incarnation: str, now: float) -> None:
        """Count a call that needs no permit, such as an order, against the target's limits."""
        stated = self._limit_by_incarnation.get(incarnation)
        if stated is not None and stated.statement.rate is not None:
            stated.charge_late(now)
        cold = self.cold.find_at(incarnation, now)
        if cold is not None and self._is_sharer(cold):
            # Only spaced: orders of a whole start would use up the turns of all the cold time.
            cold.record_sent(now)

    def is_limited(self, incarnations: Sequence[str]) -> bool:
        """Return whether any limit applies to a group of incarnations."""
        return bool(self._binding_limits(incarnations))

    def rate(self, incarnations: Sequence[str]) -> float | None:
        """Return the requests a second that a group accepts, ``None`` for no limit."""
        return min((x.rate for x in self._binding_limits(incarnations).values()), default=None)

    def members_to_probe(self, incarnations: Sequence[str]) -> list[str]:
        """Return the members of a group that this host has to probe for the end of their limit.

        These members receive no requests themselves, so only answers to probes and orders can
        report the end. The first sharer of a limit probes.
        """
        others = incarnations[1:]
        bound = self._binding_limits(incarnations).items()
        return [
            key.incarnation
            for key, limit in bound
            if key.incarnation in others and limit.sharers[:1] == (self._me,)
        ]

    def _binding_limits(
        self, incarnations: Sequence[str], now: float | None = None
    ) -> Mapping[LimitKey, PacedLimit]:
        """Return the limits that apply to a group.

        Only the first member counts as cold, as it alone receives the requests.

        :param now: for which the sharers are needed, ``None`` if they are not
        """
        found = self._stated_limits(incarnations)
        if not self.cold.known:
            return found
        head = incarnations[0]
        cold = self.cold.find(head) if now is None else self.cold.find_at(head, now)
        return found if cold is None else {**found, LimitKey(LimitScope.COLD, head): cold}

    def _stated_limits(self, incarnations: Sequence[str]) -> Mapping[LimitKey, PacedLimit]:
        """Return the stated limits that apply to a group.

        A limit stated by the first member always applies. A limit of another member, which
        receives no requests from entry hosts, applies if it was stated in an answer to an order or
        a probe: every request of the group passes through that member, and later probes report the
        end of its limit.
        """
        if not self._limit_by_incarnation:
            return {}
        found: dict[LimitKey, PacedLimit] = {}
        for rank, incarnation in enumerate(incarnations):
            limit = self._limit_by_incarnation.get(incarnation)
            if limit is None or limit.statement.rate is None:
                continue
            if rank == 0 or limit.statement.asked == CallKind.CONTROL:
                found[LimitKey(LimitScope.STATED, incarnation)] = limit
        return found

    def _find(self, key: LimitKey) -> PacedLimit | None:
        if key.scope == LimitScope.COLD:
            return self.cold.find(key.incarnation)
        return self._limit_by_incarnation.get(key.incarnation)

    def _is_sharer(self, limit: PacedLimit) -> bool:
        return self._has_peers and self._me in limit.sharers

    def _sharers(self, incarnation: str, rate: float | None) -> tuple[str, ...]:
        if rate is None:
            return ()
        # At a rate that exceeds the number of hosts, all of them share the limit.
        count = BASE_SHARERS + math.floor(SHARERS_PER_RATE * min(rate, len(self._hosts)))
        return rendezvous(f"limit/{incarnation}", self._hosts, count)

    def _replace_statement(self, incarnation: str, statement: Statement, now: float) -> RateChange:
        limit = self._limit_by_incarnation.pop(incarnation, None) or _Limit(Statement(0, None), now)
        old_rate, interval = limit.statement.rate, limit.interval
        limit.statement, limit.changed_at, limit.stated_at = statement, now, now
        limit.sharers = self._sharers(incarnation, statement.rate)
        self._limit_by_incarnation[incarnation] = limit
        self._evict()
        if statement.rate is not None and self._me in limit.sharers:
            wait = max(0.0, limit.next_send_at - now)
            if old_rate is not None:
                wait *= limit.interval / interval
            if old_rate is None or statement.rate < old_rate * RESTAGGER_BELOW:
                # The sharers start one after the other: requests that were sent before the
                # statement arrived count against the new limit too.
                position = limit.sharers.index(self._me) + 1
                wait = max(wait, position / limit.rate)
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
