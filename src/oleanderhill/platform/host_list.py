"""Takes the entries of target hosts as they are read into the inventory, and says so in the log."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..clients.storage import Item, Revision
from ..groups.inventory import Instance, Inventory, Removal, TargetHost
from ..records import Records
from .decoding import HOSTS_PREFIX, HostEntry, decode_entry

LOGGED_KEY = 80
"""Characters of a key in the log: whoever writes into the list may choose a long one."""

GONE_KEPT = 1_000
"""Lives that went, of which a restored store may still have entries: it is seconds old."""

HOSTS_IN_LINE = 30
"""Changed hosts in one line of the log, so that it stays under the 4,096 bytes that a pipe takes
whole: with names as long as the platform's, a host takes up to 110."""


class HostChange(NamedTuple):
    """What the log says of a host that changed.

    :param group: that it reports to be in, ``None`` for none, with its rank and state there
    """

    instance: str
    group: str | None
    rank: int | None
    state: str | None
    leaving: bool
    staged: tuple[str, ...]


class HostList:
    """Keeps the inventory by the platform's list.

    Hosts that changed are written together, in a line for each reading: at the start of a large
    fleet each changes several times within seconds.

    A store that is restored from a backup lists hosts as they were. Taken at its word, groups
    formed since would count as broken, hosts that ended since would get requests, and one that
    leaves would seem to stay. So what is known here holds until a host has written its entry
    again, or the time in which it would have is over.

    :param forget: drops what is kept of a life that is over
    :param entry_return: seconds after the return of the store in which hosts write again
    """

    def __init__(
        self,
        inventory: Inventory,
        records: Records,
        forget: Callable[[Removal], None],
        entry_return: float,
    ) -> None:
        self._inventory = inventory
        self._records = records
        self._forget = forget
        self._entry_return = entry_return
        self._changed: list[HostChange] = []
        self._sequence_by_instance: dict[Instance, int] = {}
        self._gone: dict[Instance, None] = {}
        self._of_before: dict[str, TargetHost] = {}
        self._settled_at = float("-inf")

    def restored(self, now: float) -> None:
        """Take note that the next list is of a store that was restored from a backup."""
        self._settled_at = now + self._entry_return

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole list anew."""
        entries = [e for item in items if (e := self._decode(item.key, item.value)) is not None]
        hosts = [self._newest(e, now) for e in entries if not self._has_ended(e.host, now)]
        held = self._inventory.by_instance
        self._changed += [_change_of(h) for h in hosts if held.get(h.instance) not in (None, h)]
        for removal in self._inventory.replace(hosts, now):
            self._take_leave(removal)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Take one change; return whether it meant anything."""
        del revision
        name = key.removeprefix(HOSTS_PREFIX)
        # Whoever reads from this host has the entry of before too, and must hear of this one.
        was_of_before = self._of_before.pop(name, None) is not None
        entry = None if value is None else self._decode(key, value)
        if entry is None:
            # What is written over an entry takes its place, also while missing ones are in doubt.
            inventory = self._inventory
            removal = inventory.remove(name, now) if value is None else inventory.discard(name)
            if removal is not None:
                self._take_leave(removal)
            return removal is not None
        host = entry.host
        taken = self._inventory.put(host)
        if not taken.current:
            self._records.note("hosts", "entry of an ended life", instance=str(host.instance))
            return False
        self._sequence_by_instance[host.instance] = entry.sequence
        if taken.ended is not None:
            self._take_leave(taken.ended)
        if host == taken.before:
            return was_of_before
        self._changed.append(_change_of(host))
        return True

    def settle(self, now: float) -> None:
        """Drop the hosts that did not come back in time, and write down what changed."""
        for removal in self._inventory.expire(now):
            self._take_leave(removal)
        if self._of_before and now >= self._settled_at:
            self._take_the_backup()
        changed, self._changed = self._changed, []
        for first in range(0, len(changed), HOSTS_IN_LINE):
            hosts = changed[first : first + HOSTS_IN_LINE]
            self._records.note("hosts", "changed", hosts=hosts)

    def _newest(self, entry: HostEntry, now: float) -> TargetHost:
        """Return a host as its newest entry has it: the one read, or the one known from before."""
        host = entry.host
        held = self._inventory.by_instance.get(host.instance)
        known = self._sequence_by_instance.get(host.instance, -1)
        older = entry.sequence <= known and not host.leaving
        if held is not None and now < self._settled_at and older:
            self._of_before[host.instance.name] = host
            return held
        self._of_before.pop(host.instance.name, None)
        self._sequence_by_instance[host.instance] = entry.sequence
        return host

    def _has_ended(self, host: TargetHost, now: float) -> bool:
        """Tell whether a host was gone already when the store came back with its entry."""
        return now < self._settled_at and host.instance in self._gone

    def _take_the_backup(self) -> None:
        """Take the entries that nobody has written again."""
        hosts, self._of_before = self._of_before.values(), {}
        for host in hosts:
            if self._inventory.by_instance.get(host.instance) not in (None, host):
                self._inventory.put(host)
                self._changed.append(_change_of(host))

    def _decode(self, key: str, value: bytes) -> HostEntry | None:
        try:
            return decode_entry(key, value)
        except ValueError as error:
            self._records.note("hosts", "malformed", key=key[:LOGGED_KEY], reason=str(error))
            return None

    def _take_leave(self, removal: Removal) -> None:
        """Forget a life that is over; what is kept open to its address leads to nobody."""
        if removal.gone:
            self._note_gone(removal.instance)
            self._forget(removal)
        what = "gone" if removal.gone else "doubtful"
        self._records.note("hosts", what, instance=str(removal.instance))

    def _note_gone(self, instance: Instance) -> None:
        self._sequence_by_instance.pop(instance, None)
        self._gone.pop(instance, None)
        self._gone[instance] = None
        if len(self._gone) > GONE_KEPT:
            del self._gone[next(iter(self._gone))]


def _change_of(host: TargetHost) -> HostChange:
    instance, membership = str(host.instance), host.membership
    if membership is None:
        return HostChange(instance, None, None, None, host.leaving, host.staged)
    group, _, rank, state = membership
    return HostChange(instance, group, rank, state, host.leaving, host.staged)
