"""What is known of target hosts from the platform's list: engines, plain targets, memberships."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

NAMES_KEPT = 4_000
"""Hosts beyond those listed whose last start is remembered: five days of the 760 failures and
restarts a day that are expected of the largest deployment. A write that lasted longer on its way is
unheard of."""


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


class Instance(NamedTuple):
    """One life of a target host, from a start of its process to its end.

    A host may start again under the name that it had. It then holds nothing of before, and its
    counts start anew: whatever is kept about a host is kept by this pair, so that nothing known
    of one life is taken for the other.

    :param name: the platform's name of the host
    :param born: Unix milliseconds of the start, 0 where the platform says none; there a restart
        gets another name
    """

    name: str
    born: int = 0

    def __str__(self) -> str:
        return f"{self.name}@{self.born}" if self.born else self.name


class TargetHost(NamedTuple):
    """A target host in one life.

    :param slots: requests it runs at once
    :param domain: fabric domain, empty for a target of a plain service
    :param staged: models whose weights lie on the host
    """

    instance: Instance
    service: str
    address: str
    data_centre: str
    leaving: bool
    slots: int
    domain: str = ""
    staged: tuple[str, ...] = ()
    model: str = ""
    membership: Membership | None = None


class Taken(NamedTuple):
    """What became of an entry.

    :param current: it was taken; ``False`` for one of a life that is over
    :param before: the entry of the same life before it
    :param ended: an earlier life under this name that was still listed
    """

    current: bool
    before: TargetHost | None
    ended: Removal | None


class Removal(NamedTuple):
    """A life whose entry is missing; ``gone`` is ``False`` while it may yet come back."""

    instance: Instance
    address: str
    gone: bool


class Inventory:
    """The hosts by instance, with a grace for those whose entry went while the store was away.

    Entries lapse while the store is away, though their hosts live, and are back some time after
    its return. Taken at their word, they would empty the list and with it every service.

    Beside the hosts by instance it keeps them by domain, with the number of the last change of
    each. Of a thousand hosts a few change in a second: whoever works something out from hosts does
    so for the domains that changed, in place of all of them at every reading.
    """

    def __init__(self) -> None:
        self.by_instance: dict[Instance, TargetHost] = {}
        self._by_domain: dict[str, dict[Instance, TargetHost]] = {}
        self._last_change_by_domain: dict[str, int] = {}
        self._engines_by_service: Counter[str] = Counter()
        self.changes = 0
        self._doubtful_until: dict[Instance, float] = {}
        self._life_by_name: dict[str, Instance] = {}
        self._newest_born: dict[str, int] = {}
        self._leaving: dict[Instance, None] = {}
        self._doubt_ends = float("-inf")

    def doubt(self, until: float) -> None:
        """Take note that the store was away: entries that are missing may be back by a time."""
        self._doubt_ends = max(self._doubt_ends, until)

    def put(self, host: TargetHost) -> Taken:
        """Take a host's entry, unless a later life under its name is known.

        A host that was cut off and started again may have an entry of its life before still on the
        way. Taken, it would show the host in a group that it knows nothing of any more.
        """
        instance = host.instance
        if instance.born < self._newest_born.get(instance.name, 0):
            return Taken(False, None, None)
        # The name goes to the end: the first ones are those not heard of for the longest time.
        self._newest_born.pop(instance.name, None)
        self._newest_born[instance.name] = instance.born
        self._bound_names()
        # A newer life proves the end of the older one, also while entries are in doubt.
        known = self.life_of(instance.name)
        ended = self.discard(instance.name) if known != instance else None
        self._doubtful_until.pop(instance, None)
        before = self.by_instance.get(instance)
        if host.leaving:
            self._note_leaving(instance)
        elif instance in self._leaving:
            # Its entry may be of before, or never say so.
            host = host._replace(leaving=True)
        if before != host:
            self._replace(before, host)
        self._life_by_name[instance.name] = instance
        return Taken(True, before, ended)

    def leave(self, life: str) -> bool:
        """Take a host's own word that it leaves, which holds until that life ends.

        :return: whether the list shows that life
        """
        host = self.host(life)
        if host is None:
            return False
        self._note_leaving(host.instance)
        if not host.leaving:
            self._replace(host, host._replace(leaving=True))
        return True

    def _note_leaving(self, instance: Instance) -> None:
        self._leaving[instance] = None
        if len(self._leaving) > NAMES_KEPT:
            del self._leaving[next(iter(self._leaving))]

    def is_leaving(self, life: str) -> bool:
        """Tell whether a life is known to leave, by its entry or its own word."""
        host = self.host(life)
        return host is not None and host.leaving

    def life_of(self, name: str) -> Instance | None:
        """Return the life of a host that the list shows."""
        return self._life_by_name.get(name)

    def host(self, life: str) -> TargetHost | None:
        """Return the host whose life has this text, if the list shows it."""
        instance = self.life_of(life) or self.life_of(life.rpartition("@")[0])
        return self.by_instance[instance] if instance and str(instance) == life else None

    def remove(self, name: str, now: float) -> Removal | None:
        """Take a host's end, ``None`` for one that was not listed."""
        instance = self.life_of(name)
        if instance is None:
            return None
        if now < self._doubt_ends:
            self._doubtful_until.setdefault(instance, self._doubt_ends)
            return Removal(instance, self.by_instance[instance].address, False)
        return self.discard(name)

    def discard(self, name: str) -> Removal | None:
        """Drop a host at once, whatever is in doubt; ``None`` for one that was not listed."""
        instance = self._life_by_name.pop(name, None)
        if instance is None:
            return None
        self._doubtful_until.pop(instance, None)
        address = self.by_instance[instance].address
        self._drop(instance)
        return Removal(instance, address, True)

    def replace(self, hosts: Iterable[TargetHost], now: float) -> list[Removal]:
        """Take the whole list anew; return the lives that are gone."""
        found = list(hosts)
        listed = {h.instance.name for h in found}
        missing = [n for n in self._life_by_name if n not in listed]
        removals = [*(self.put(h).ended for h in found), *(self.remove(n, now) for n in missing)]
        return [r for r in removals if r is not None and r.gone]

    def expire(self, now: float) -> list[Removal]:
        """Drop the hosts whose entries did not come back in time."""
        due = [i for i, until in self._doubtful_until.items() if now >= until]
        return [removal for i in due if (removal := self.discard(i.name)) is not None]

    def ended(self, instance: Instance) -> bool:
        """Tell whether a life is surely over: the host started again since."""
        return instance.born < self._newest_born.get(instance.name, 0)

    def _bound_names(self) -> None:
        if len(self._newest_born) > NAMES_KEPT + len(self._life_by_name):
            unlisted = (n for n in self._newest_born if n not in self._life_by_name)
            oldest = next(unlisted, None)
            if oldest is not None:
                del self._newest_born[oldest]

    def in_domain(self, domain: str) -> Mapping[Instance, TargetHost]:
        """Return the hosts of a fabric domain, of the empty one the plain targets."""
        return self._by_domain.get(domain, {})

    def domains(self) -> list[str]:
        """Return the fabric domains that have hosts."""
        return [d for d in self._by_domain if d]

    def last_change(self, domain: str) -> int:
        """Return the number of the last change in a domain, 0 for one without hosts.

        Equal numbers, equal hosts: no number comes twice, also where a domain goes and returns.
        """
        return self._last_change_by_domain.get(domain, 0)

    def engines(self, service: str) -> int:
        """Return how many hosts of a service are in a fabric domain."""
        return self._engines_by_service[service]

    def _replace(self, before: TargetHost | None, host: TargetHost) -> None:
        if before is not None and (before.domain, before.service) != (host.domain, host.service):
            self._drop(host.instance)
        elif before is not None:
            self._count(before, -1)
        self.by_instance[host.instance] = host
        self._by_domain.setdefault(host.domain, {})[host.instance] = host
        self._count(host, 1)

    def _drop(self, instance: Instance) -> None:
        host = self.by_instance.pop(instance, None)
        if host is None:
            return
        hosts = self._by_domain[host.domain]
        del hosts[instance]
        self._count(host, -1)
        if not hosts:
            # Anybody may write into the list: what is kept by the name of a domain goes with it.
            del self._by_domain[host.domain]
            del self._last_change_by_domain[host.domain]

    def _count(self, host: TargetHost, by: int) -> None:
        self.changes += 1
        self._last_change_by_domain[host.domain] = self.changes
        if not host.domain:
            return
        self._engines_by_service[host.service] += by
        if not self._engines_by_service[host.service]:
            del self._engines_by_service[host.service]
