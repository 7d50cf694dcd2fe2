"""What is known of target hosts from the platform's list: engines, plain targets, memberships."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class MemberState(StrEnum):
    """Where a host stands in the group it reports."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(NamedTuple):
    """The group that a host reports to be in. Rank 0 is the head, which takes the requests."""

    group: str
    epoch: int
    rank: int
    state: MemberState


class TargetHost(NamedTuple):
    """A target host in one life: a restart gives it another instance.

    :param instance: names the life; never used again
    :param slots: requests it runs at once
    :param domain: fabric domain, empty for a target of a plain service
    :param staged: models whose weights lie on the host
    """

    instance: str
    service: str
    address: str
    data_centre: str
    leaving: bool
    slots: int
    domain: str = ""
    staged: tuple[str, ...] = ()
    model: str = ""
    membership: Membership | None = None


class Inventory:
    """The hosts by instance, with a grace for those whose entry went while the store was away.

    Entries lapse while the store is away, though their hosts live, and are back some time after
    its return. Taken at their word, they would empty the list and with it every service.
    """

    def __init__(self) -> None:
        self.by_instance: dict[str, TargetHost] = {}
        self._doubtful_until: dict[str, float] = {}
        self._doubt_ends = float("-inf")

    def doubt(self, until: float) -> None:
        """Take note that the store was away: entries that are missing may be back by a time."""
        self._doubt_ends = max(self._doubt_ends, until)

    def put(self, host: TargetHost) -> TargetHost | None:
        """Take a host's entry; return the one before."""
        self._doubtful_until.pop(host.instance, None)
        before = self.by_instance.get(host.instance)
        self.by_instance[host.instance] = host
        return before

    def remove(self, instance: str, now: float) -> bool:
        """Take a host's end; return whether it is gone now, ``False`` while that is doubtful."""
        if instance not in self.by_instance:
            return False
        if now < self._doubt_ends:
            self._doubtful_until.setdefault(instance, self._doubt_ends)
            return False
        del self.by_instance[instance]
        return True

    def replace(self, hosts: Iterable[TargetHost], now: float) -> list[str]:
        """Take the whole list anew; return the instances that are gone."""
        found = {h.instance: h for h in hosts}
        missing = [i for i in self.by_instance if i not in found]
        for host in found.values():
            self.put(host)
        return [i for i in missing if self.remove(i, now)]

    def expire(self, now: float) -> list[str]:
        """Drop the hosts whose entries did not come back in time; return their instances."""
        gone = [i for i, until in self._doubtful_until.items() if now >= until]
        for instance in gone:
            del self._doubtful_until[instance]
            self.by_instance.pop(instance, None)
        return gone

    def of_domain(self, domain: str) -> list[TargetHost]:
        """Return the hosts of a fabric domain."""
        return [h for h in self.by_instance.values() if h.domain == domain]

    def domains(self) -> set[str]:
        """Return the fabric domains."""
        return {h.domain for h in self.by_instance.values() if h.domain}
