"""Takes the entries of target hosts as they are read into the inventory, and says so in the log."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..clients.storage import Item
from ..groups.inventory import Inventory, Removal, TargetHost
from ..records import Records
from .decoding import HOSTS_PREFIX, decode_host

LOGGED_KEY = 80
"""Characters of a key in the log: whoever writes into the list may choose a long one."""

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

    :param forget: drops what is kept of a life that is over
    """

    def __init__(
        self, inventory: Inventory, records: Records, forget: Callable[[Removal], None]
    ) -> None:
        self._inventory = inventory
        self._records = records
        self._forget = forget
        self._changed: list[HostChange] = []

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take the whole list anew."""
        found = [self._decode(item.key, item.value) for item in items]
        hosts = [h for h in found if h is not None]
        held = self._inventory.by_instance
        self._changed += [_change_of(h) for h in hosts if held.get(h.instance) not in (None, h)]
        for removal in self._inventory.replace(hosts, now):
            self._take_leave(removal)

    def change(self, key: str, value: bytes | None, revision: int, now: float) -> bool:
        """Take one change; return whether it meant anything."""
        del revision
        name = key.removeprefix(HOSTS_PREFIX)
        host = None if value is None else self._decode(key, value)
        if host is None:
            # What is written over an entry takes its place, also while missing ones are in doubt.
            inventory = self._inventory
            removal = inventory.remove(name, now) if value is None else inventory.discard(name)
            if removal is not None:
                self._take_leave(removal)
            return removal is not None
        taken = self._inventory.put(host)
        if not taken.current:
            self._records.note("hosts", "entry of an ended life", instance=str(host.instance))
            return False
        if taken.ended is not None:
            self._take_leave(taken.ended)
        if host == taken.before:
            return False
        self._changed.append(_change_of(host))
        return True

    def settle(self, now: float) -> None:
        """Drop the hosts that did not come back in time, and write down what changed."""
        for removal in self._inventory.expire(now):
            self._take_leave(removal)
        changed, self._changed = self._changed, []
        for first in range(0, len(changed), HOSTS_IN_LINE):
            hosts = changed[first : first + HOSTS_IN_LINE]
            self._records.note("hosts", "changed", hosts=hosts)

    def _decode(self, key: str, value: bytes) -> TargetHost | None:
        try:
            return decode_host(key, value)
        except ValueError as error:
            self._records.note("hosts", "malformed", key=key[:LOGGED_KEY], reason=str(error))
            return None

    def _take_leave(self, removal: Removal) -> None:
        """Forget a life that is over; what is kept open to its address leads to nobody."""
        if removal.gone:
            self._forget(removal)
        what = "gone" if removal.gone else "doubtful"
        self._records.note("hosts", what, instance=str(removal.instance))


def _change_of(host: TargetHost) -> HostChange:
    instance, membership = str(host.instance), host.membership
    if membership is None:
        return HostChange(instance, None, None, None, host.leaving, host.staged)
    group, _, rank, state = membership
    return HostChange(instance, group, rank, state, host.leaving, host.staged)
