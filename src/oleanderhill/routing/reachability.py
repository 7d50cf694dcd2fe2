"""Whether a target that can't be reached failed, or the links of this entry host to it did.

Decides without I/O. Both look alike in one failed connection. They differ in what other entry hosts
see. A peer is asked about a target that it may reach; a link is broken once a peer connected to
its target. Requests to that target then go through a peer until a connection over the own links
succeeds.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

FAILURE_WINDOW = 3.0
"""Seconds for which a failed connection counts."""

MIN_UNREACHABLE = 2
"""Targets that must fail in a row, with no connection to any target between, before the links of
this host are in doubt; also broken links to a service that make its other links count as broken."""

CONFIRMED_SECONDS = 1.0
"""Seconds for which a target counts as failed after a peer could not reach it either."""

CHECK_INTERVAL = 0.5
"""Seconds between two checks of a broken link."""

FAILED_RECENTLY_SECONDS = 1.0
"""Seconds after a failed connection in which no request tries the link again, where the links of
this host are in doubt: the checks do, which take less."""

PROOF_SECONDS = 2.0
"""Seconds for which a connection that was opened proves that the own links work."""

STALL_CHECK_INTERVAL = 1.0
"""Minimum seconds between two checks because requests stall. Each opens a connection, and requests
also stall at targets that are merely busy."""

SILENCE_SECONDS = 0.25
"""Seconds without data from any target after which stalled requests put the links in doubt."""


class Heard(StrEnum):
    """What the load reports of other entry hosts tell about a target."""

    RUNNING = "running"
    """It sent data to another entry host lately."""

    SILENT = "silent"
    """Other entry hosts have requests there and get no data."""

    UNKNOWN = "unknown"


class Route(StrEnum):
    """How to reach a target."""

    DIRECT = "direct"
    OPEN_CONNECTION = "open connection"
    """Over a connection that is open, otherwise through a peer."""

    PEER = "peer"
    UNREACHABLE = "unreachable"
    """Neither this host nor any peer could connect just now; the checks try again."""


class LinkChange(NamedTuple):
    """The links of this host came into doubt, or a target was reached again.

    :param lost: whether they are in doubt now
    :param targets: addresses whose connections failed
    :param since: monotonic time of the first of these failures
    """

    lost: bool
    targets: tuple[str, ...]
    since: float


class _BrokenLink(NamedTuple):
    """A link that is down while its target is running.

    :param refused: whether connections are refused; otherwise they hang, also those that are open
    """

    refused: bool
    since: float
    check_at: float


class _Confirmed(NamedTuple):
    """What peers see shows that a target failed.

    :param certain: no peer is left that might reach it
    """

    until: float
    certain: bool


_NOT_CONFIRMED = _Confirmed(float("-inf"), False)


class Reachability:
    """What is known of the links to targets.

    :param service_of: returns the service of the target at an address, empty if unknown
    """

    def __init__(self, service_of: Callable[[str], str] = lambda address: "") -> None:
        self._service_of = service_of
        self._failed_at: dict[str, float] = {}
        self._refused: dict[str, bool] = {}
        self._first_failure = 0.0
        self._lost = False
        self._broken: dict[str, _BrokenLink] = {}
        self._reached_at: dict[str, float] = {}
        self._connected_at = float("-inf")
        self._checking: set[str] = set()
        self._confirmed_by_address: dict[str, _Confirmed] = {}
        self._stalled_at: dict[str, float] = {}
        self._data_at = float("-inf")
        self._stall_check_at = float("-inf")
        self._stall_checks: set[str] = set()

    @property
    def lost(self) -> bool:
        """Return whether several targets failed and none was reached since."""
        return self._lost

    @property
    def broken(self) -> int:
        """Return the number of links that are broken while their targets run."""
        return len(self._broken)

    def unreachable(self, now: float) -> int:
        """Return the number of targets that failed since a connection last succeeded."""
        return sum(now - at <= FAILURE_WINDOW for at in self._failed_at.values())

    # Events

    def connected(self, address: str, now: float) -> LinkChange | None:
        """Record that a connection was opened; return the change, if any."""
        failed, self._failed_at = tuple(self._failed_at), {}
        self._refused.clear()
        self._reached_at[self._service_of(address)] = self._connected_at = now
        self._confirmed_by_address.pop(address, None)
        self._checking.discard(address)
        if self._broken.pop(address, None) is not None:
            # The other links are probably back as well.
            self._broken = {a: b._replace(check_at=now) for a, b in self._broken.items()}
        if not self._lost:
            return None
        self._lost = False
        return LinkChange(False, failed, self._first_failure)

    def failed(
        self, address: str, now: float, refused: bool = False, heard: Heard = Heard.UNKNOWN
    ) -> LinkChange | None:
        """Record that a connection could not be opened; return the change, if any."""
        if not self._lost:
            recent = {a: at for a, at in self._failed_at.items() if now - at <= FAILURE_WINDOW}
            self._failed_at = recent
        if not self._failed_at:
            self._first_failure = now
        self._failed_at[address] = now
        self._refused[address] = refused
        self._checking.discard(address)
        if heard == Heard.SILENT:
            self._confirm(address, now, False)
        if address in self._broken:
            self._mark_broken(address, now)
        if self._lost or len(self._failed_at) < MIN_UNREACHABLE:
            return None
        self._lost = True
        return LinkChange(True, tuple(self._failed_at), self._first_failure)

    def reached_by_peer(self, address: str, now: float) -> None:
        """Record that a peer connected to a target which this host failed to reach."""
        self._confirmed_by_address.pop(address, None)
        if address in self._failed_at:
            self._mark_broken(address, now)

    def failed_by_peer(self, address: str, now: float, others_left: bool = False) -> None:
        """Record that peers could not connect to a target either.

        :param others_left: whether the links of these peers may be broken too, and others were not
            asked
        """
        self._broken.pop(address, None)
        self._confirm(address, now, not others_left)

    def data_received(self, now: float) -> None:
        """Record that any target sent something over the own links."""
        self._data_at = now
        self._stalled_at.clear()

    def stalled(self, address: str, now: float, busy: int) -> None:
        """Record that a target sends nothing to this host's request, though it seems to run.

        :param busy: number of targets that have requests of this host
        """
        recent = {a: at for a, at in self._stalled_at.items() if now - at <= FAILURE_WINDOW}
        self._stalled_at = {**recent, address: now}
        if (
            len(self._stalled_at) >= min(MIN_UNREACHABLE, busy)
            and now - self._data_at >= SILENCE_SECONDS
            and now - self._stall_check_at >= STALL_CHECK_INTERVAL
        ):
            self._stall_check_at = now
            self._stall_checks |= self._stalled_at.keys()

    def forget(self, address: str) -> None:
        """Drop what is known of an address whose target is gone."""
        for table in (self._failed_at, self._refused, self._broken, self._confirmed_by_address):
            table.pop(address, None)
        self._stalled_at.pop(address, None)
        self._stall_checks.discard(address)
        self._checking.discard(address)

    # Questions

    def route(self, address: str, now: float) -> Route:
        """Return how to reach a target."""
        link = self._broken.get(address) or self._presumed(address, now)
        if link is not None:
            return Route.OPEN_CONNECTION if link.refused else Route.PEER
        failed_at = self._failed_at.get(address, float("-inf"))
        just_failed = now - failed_at < FAILED_RECENTLY_SECONDS
        if not self._lost or not just_failed:
            return Route.DIRECT
        if self._confirmed(address, now):
            unreachable = self._confirmed_by_address[address].certain and not self._refused[address]
            return Route.UNREACHABLE if unreachable else Route.DIRECT
        return Route.OPEN_CONNECTION if self._refused[address] else Route.PEER

    def proven(self, now: float) -> bool:
        """Return whether the own links are known to work, so that a failure is the target's."""
        return not self._lost and now - self._connected_at <= PROOF_SECONDS

    def may_ask_peer(self, address: str, heard: Heard, now: float) -> bool:
        """Return whether a peer might reach a target to which a connection just failed."""
        if self._confirmed(address, now):
            return False
        return heard == Heard.RUNNING or (heard == Heard.UNKNOWN and self._lost)

    def is_broken(self, address: str, now: float) -> bool:
        """Return whether a target runs, or seems to, and can't be reached over the own links."""
        return address in self._broken or self._presumed(address, now) is not None

    def is_unexplained(self, address: str, now: float) -> bool:
        """Return whether it is not known why a target can't be reached."""
        return address in self._failed_at and not (
            address in self._broken or self._confirmed(address, now)
        )

    def hangs(self, address: str) -> bool:
        """Return whether open connections to a target hang as well."""
        link = self._broken.get(address)
        return link is not None and not link.refused

    def blames_links(self, address: str, now: float) -> bool:
        """Return whether the own links may be why a target can't be reached."""
        if self._confirmed(address, now):
            return False
        return self.route(address, now) != Route.DIRECT or (
            self._lost and address in self._failed_at
        )

    def may_explain(self, address: str, now: float) -> bool:
        """Return whether the own links may be why a call to any host failed.

        Unlike :meth:`blames_links` it covers hosts whose failures are not recorded.
        """
        if self._confirmed(address, now):
            return False
        return self._lost or self.route(address, now) != Route.DIRECT

    def take_checks(self, now: float) -> list[str]:
        """Return the addresses to which a connection should be tried now."""
        due = [a for a, link in self._broken.items() if link.check_at <= now]
        for address in due:
            self._broken[address] = self._broken[address]._replace(check_at=now + CHECK_INTERVAL)
        others, self._stall_checks = self._stall_checks, set()
        if self._lost:
            others |= {a for a, at in self._failed_at.items() if now - at >= CHECK_INTERVAL}
        checks = [*due, *(others - set(due) - self._checking)]
        self._checking.update(checks)
        return checks

    def _confirmed(self, address: str, now: float) -> bool:
        """Return whether what peers see shows that a target failed."""
        return self._confirmed_by_address.get(address, _NOT_CONFIRMED).until > now

    def _confirm(self, address: str, now: float, certain: bool) -> None:
        self._confirmed_by_address[address] = _Confirmed(now + CONFIRMED_SECONDS, certain)

    def _mark_broken(self, address: str, now: float) -> None:
        link = self._broken.get(address)
        since = now if link is None else link.since
        refused = self._refused.get(address, False)
        self._broken[address] = _BrokenLink(refused, since, now + CHECK_INTERVAL)

    def _presumed(self, address: str, now: float) -> _BrokenLink | None:
        """Return a broken link to the same service, if none of its targets was reached since."""
        if not self._broken or self._confirmed(address, now):
            return None
        service = self._service_of(address)
        reached_at = self._reached_at.get(service, float("-inf"))
        links = [
            link
            for other, link in self._broken.items()
            if link.since > reached_at and self._service_of(other) == service
        ]
        if len(links) < MIN_UNREACHABLE:
            return None
        hanging = [link for link in links if not link.refused]
        return (hanging or links)[0]
