"""Applies the platform's list of target hosts to the inventory and logs the changes."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..clients.storage import Item, Revision
from ..groups.inventory import Instance, Inventory, Removal, TargetHost
from ..records import Records
from .decoding import HOSTS_PREFIX, HostEntry, decode_entry

MAX_LOGGED_KEY_CHARS = 80
"""Longer keys are truncated in the log; any writer of the list may choose a long one."""

MAX_ENDED_INSTANCES = 1_000
"""Ended incarnations that are remembered, because a restored store may still list them. A backup is
only seconds old."""

COLD_CHANGE_SECONDS = 0.7
"""Seconds by which an entry must move the end of a cold time to be a change for readers of this
host's copy. The remaining seconds decrease with each entry, and entries arrive up to a read
interval apart."""

MAX_HOSTS_PER_LOG_LINE = 30
"""Changed hosts per log line. A pipe writes up to 4,096 bytes atomically, and a host takes up to
110 bytes with names as long as the platform's."""


class HostChange(NamedTuple):
    """Log entry for a changed host.

    :param group: group that the host reports as its own, ``None`` for none; ``rank`` and ``state``
        are its rank and member state there
    """

    instance: str
    group: str | None
    rank: int | None
    state: str | None
    leaving: bool
    staged: tuple[str, ...]


class HostList:
    """Synchronises the inventory with the platform's list of hosts.

    The changes of one store read are logged together, because at the start of a large fleet each
    host changes several times within seconds.

    A store that was restored from a backup lists hosts in an earlier state. If that state were
    applied, groups formed since would count as broken, ended hosts would receive requests, and
    leaving hosts would seem to stay. Therefore the known state is retained until a host has
    rewritten its entry or the time allowed for that has passed.

    :param on_ended: called with each ended incarnation, to drop its state
    :param rewrite_seconds: seconds after the restore within which hosts rewrite their entries
    :param on_cold: called with each accepted entry: its host, the seconds for which it stays cold,
        and whether its incarnation is new; returns whether it is limited while it is cold
    """

    def __init__(
        self,
        inventory: Inventory,
        records: Records,
        on_ended: Callable[[Removal], None],
        rewrite_seconds: float,
        on_cold: Callable[[TargetHost, float, bool], bool] = lambda host, seconds, is_new: False,
    ) -> None:
        self._inventory = inventory
        self._records = records
        self._on_ended = on_ended
        self._rewrite_seconds = rewrite_seconds
        self._on_cold = on_cold
        self._cold_until_by_instance: dict[Instance, float] = {}
        self._changed: list[HostChange] = []
        self._sequence_by_instance: dict[Instance, int] = {}
        self._ended: dict[Instance, None] = {}
        self._backup_by_name: dict[str, TargetHost] = {}
        self._trust_backup_at = float("-inf")

    def restored(self, now: float) -> None:
        """Record that the next list comes from a store that was restored from a backup."""
        self._trust_backup_at = now + self._rewrite_seconds

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Apply a complete list."""
        entries = [e for item in items if (e := self._decode(item.key, item.value)) is not None]
        sequences = dict(self._sequence_by_instance)
        hosts = [self._select_newer(e, now) for e in entries if not self._has_ended(e.host, now)]
        current = self._inventory.by_instance
        self._changed += [
            _host_change(h) for h in hosts if current.get(h.instance) not in (None, h)
        ]
        before = set(current)
        for removal in self._inventory.replace(hosts, now):
            self._handle_removal(removal)
        for entry in entries:
            instance = entry.host.instance
            # An entry that is read again states a time that has partly passed.
            is_newer = entry.sequence > sequences.get(instance, -1)
            if instance in current and is_newer and instance.name not in self._backup_by_name:
                self._apply_cold(entry, instance not in before, now)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Apply one change; return whether it is relevant to readers of this host's copy."""
        del revision
        name = key.removeprefix(HOSTS_PREFIX)
        # Peers that read from this host have the backup's entry too and need this newer one.
        was_backup = self._backup_by_name.pop(name, None) is not None
        entry = None if value is None else self._decode(key, value)
        if entry is None:
            # A malformed value replaces the entry immediately, even during the grace period for
            # missing entries.
            inventory = self._inventory
            removal = inventory.remove(name, now) if value is None else inventory.discard(name)
            if removal is not None:
                self._handle_removal(removal)
            return removal is not None
        host = entry.host
        result = self._inventory.put(host)
        if not result.current:
            self._records.note(
                "hosts", "entry of an ended incarnation", instance=str(host.instance)
            )
            return False
        self._sequence_by_instance[host.instance] = entry.sequence
        if result.ended is not None:
            self._handle_removal(result.ended)
        turned = self._apply_cold(entry, result.before is None, now)
        if host == result.before:
            return was_backup or turned
        self._changed.append(_host_change(host))
        return True

    def _apply_cold(self, entry: HostEntry, is_new: bool, now: float) -> bool:
        """Apply for how long a host stays cold; return whether that is a change for readers."""
        instance, seconds = entry.host.instance, entry.cold_seconds
        is_limited = self._on_cold(entry.host, seconds, is_new)
        before = max(now, self._cold_until_by_instance.get(instance, now))
        if not seconds or math.isnan(seconds):
            # Otherwise hosts that start later and read from here would count it as cold again.
            was_cold = self._cold_until_by_instance.pop(instance, None) is not None
            return is_limited and was_cold
        self._cold_until_by_instance[instance] = now + seconds
        is_moved = before <= now or abs(now + seconds - before) > COLD_CHANGE_SECONDS
        return is_limited and is_moved

    def finish_read(self, now: float) -> None:
        """Apply the expired grace periods, and log the changes since the last call.

        Hosts whose entries are missing for too long are dropped. A backup's entries that were not
        rewritten in time are applied.
        """
        for removal in self._inventory.expire(now):
            self._handle_removal(removal)
        if self._backup_by_name and now >= self._trust_backup_at:
            self._apply_backup()
        changed, self._changed = self._changed, []
        for first in range(0, len(changed), MAX_HOSTS_PER_LOG_LINE):
            hosts = changed[first : first + MAX_HOSTS_PER_LOG_LINE]
            self._records.note("hosts", "changed", hosts=hosts)

    def _select_newer(self, entry: HostEntry, now: float) -> TargetHost:
        """Return the newer state of a host: that of this entry or the one already known."""
        host = entry.host
        current = self._inventory.by_instance.get(host.instance)
        known = self._sequence_by_instance.get(host.instance, -1)
        older = entry.sequence <= known and not host.leaving
        if current is not None and now < self._trust_backup_at and older:
            self._backup_by_name[host.instance.name] = host
            return current
        self._backup_by_name.pop(host.instance.name, None)
        self._sequence_by_instance[host.instance] = entry.sequence
        return host

    def _has_ended(self, host: TargetHost, now: float) -> bool:
        """Return whether a restored store lists an incarnation that is known to have ended."""
        return now < self._trust_backup_at and host.instance in self._ended

    def _apply_backup(self) -> None:
        """Apply the backup's entries that were not rewritten in time."""
        hosts, self._backup_by_name = self._backup_by_name.values(), {}
        for host in hosts:
            if self._inventory.by_instance.get(host.instance) not in (None, host):
                self._inventory.put(host)
                self._changed.append(_host_change(host))

    def _decode(self, key: str, value: bytes) -> HostEntry | None:
        try:
            return decode_entry(key, value)
        except ValueError as error:
            self._records.note(
                "hosts", "malformed", key=key[:MAX_LOGGED_KEY_CHARS], reason=str(error)
            )
            return None

    def _handle_removal(self, removal: Removal) -> None:
        """Log a removal and, if the incarnation has ended, drop its state and connections."""
        if removal.gone:
            self._remember_ended(removal.instance)
            self._on_ended(removal)
        what = "gone" if removal.gone else "doubtful"
        self._records.note("hosts", what, instance=str(removal.instance))

    def _remember_ended(self, instance: Instance) -> None:
        self._sequence_by_instance.pop(instance, None)
        self._cold_until_by_instance.pop(instance, None)
        self._ended.pop(instance, None)
        self._ended[instance] = None
        if len(self._ended) > MAX_ENDED_INSTANCES:
            del self._ended[next(iter(self._ended))]


def _host_change(host: TargetHost) -> HostChange:
    instance, membership = str(host.instance), host.membership
    if membership is None:
        return HostChange(instance, None, None, None, host.leaving, host.staged)
    group, _, rank, state = membership
    return HostChange(instance, group, rank, state, host.leaving, host.staged)
