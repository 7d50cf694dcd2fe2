"""Data centres that the operator has evacuated: nothing new is sent to their targets.

An evacuation is one key of the store, whatever its value; removing the key takes it back. It is
read with the configuration, and like the configuration it doesn't go back unnoticed when the store
is restored from a backup:

- an evacuation that the backup lacks is retained while the operator may write it again;
- an evacuation that this process saw taken back, and that the backup still has, is ignored while
  the operator may remove it again. After that it counts, as then it is what the store says.

A host that can't read the store goes on with the last that it knew.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from ..clients.storage import Item, Revision
from ..clients.store_reads import MISSED_CHANGES_WINDOW
from ..exposition import Exposition
from ..records import Records

RETAIN_SECONDS = 5.0
"""Seconds after a restore of the store for which an evacuation that its backup lacks is retained.
The operator repeats the lost writes within a second."""

IGNORE_SECONDS = 2.0
"""Seconds after a restore of the store for which an evacuation is ignored that was taken back since
the backup. The operator repeats the lost writes within a second."""

HANDOVER_MARGIN = 1.0
"""Seconds before the bound at which the last request is sent: the time to the target, and a freeze
of the process in between."""

MAX_REMEMBERED_REMOVALS = 200
"""Evacuations taken back that are remembered in case a backup still has them."""

MAX_LOGGED_NAME_CHARS = 80
"""Longer names of data centres are truncated in the log."""

MAX_LOGGED_NAMES = 20
"""Evacuations logged per reading; the operator may write any number."""

MAX_NAMES = 3
"""Evacuated data centres named in the reason of a refusal."""

UNKNOWN_CHECK_SECONDS = 5.0
"""Seconds between two checks whether targets of an unknown evacuated data centre have appeared."""


class Evacuation(NamedTuple):
    """An evacuation in force.

    :param revision: revision of the write that requested it
    :param stop_at: time from which nothing is sent to the data centre. Until then its targets take
        what the others have no capacity for
    """

    revision: Revision
    stop_at: float


class _Removal(NamedTuple):
    """An evacuation that was taken back.

    :param written: revision of the write that had requested it
    :param removed: a revision up to which it is known to be removed
    """

    written: Revision
    removed: Revision


class Evacuations:
    """The evacuations in force, by data centre.

    :param prefix: prefix of the keys; the rest of a key is the name of the data centre
    :param bound: seconds after the store's acknowledgement of an evacuation from which nothing may
        be sent any more, ``None`` for at once
    :param read_at: returns the time at which the store was last asked for the content that this
        host has applied. While a reading is applied it is the time of the previous one
    :ivar changes: incremented with each change
    :ivar held_back: requests that were chosen for an evacuated target and not sent
    """

    def __init__(
        self,
        records: Records,
        prefix: str = "",
        bound: float | None = None,
        read_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._records = records
        self._prefix = prefix
        self._bound = bound
        self._read_at = read_at
        self._in_force: dict[str, Evacuation] = {}
        self._removed: dict[str, _Removal] = {}
        self._ignored: dict[str, Evacuation] = {}
        self._missing: set[str] = set()
        self._restored_at = float("-inf")
        self._to_log: dict[str, str] = {}
        self._unknown: set[str] = set()
        self._check_unknown_at = float("-inf")
        self.changes = 0
        self.held_back = 0

    @property
    def in_force(self) -> Mapping[str, Evacuation]:
        """Return the evacuations by data centre."""
        return self._in_force

    def includes(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._in_force

    def among(self, data_centres: Collection[str]) -> str:
        """Return the first evacuated one of some data centres, empty for none."""
        if not self._in_force:
            return ""
        return next((d for d in data_centres if d in self._in_force), "")

    def may_send(self, data_centres: Collection[str], now: float) -> bool:
        """Return whether a request may still be sent to a target in these data centres."""
        if not self._in_force:
            return True
        return all(now < e.stop_at for d in data_centres if (e := self._in_force.get(d)))

    def handing_over(self, now: float) -> bool:
        """Return whether some evacuated data centre may still take requests."""
        return any(now < e.stop_at for e in self._in_force.values())

    def names(self) -> str:
        """Return the evacuated data centres for a log line, at most a few."""
        names = sorted(n[:MAX_LOGGED_NAME_CHARS] for n in self._in_force)
        more = [f"{len(names) - MAX_NAMES} more"] if len(names) > MAX_NAMES else []
        return ", ".join([*names[:MAX_NAMES], *more])

    def reason_to_skip(self, data_centres: Collection[str], now: float) -> str:
        """Return why no request may be sent to a target now, empty if it may; count the former."""
        if self.may_send(data_centres, now):
            return ""
        self.held_back += 1
        return f"data centre {self.among(data_centres)[:MAX_LOGGED_NAME_CHARS]} is evacuated"

    def restored(self, now: float) -> None:
        """Record that the next content comes from a store that was restored from a backup."""
        self._restored_at = now

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Apply a complete listing."""
        listed = {item.key.removeprefix(self._prefix): item.revision for item in items}
        for name in [n for n in self._in_force if n not in listed]:
            if now < self._restored_at + RETAIN_SECONDS:
                self._missing.add(name)
            else:
                self._lift(name, self._in_force[name].revision)
        self._ignored = {n: e for n, e in self._ignored.items() if n in listed}
        for name, revision in listed.items():
            if self._is_from_backup(name, revision, now):
                self._ignored[name] = Evacuation(revision, self._handover_end(name, now))
            else:
                self._put(name, revision, now)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Apply one change; return whether readers of this host's copy need it.

        They need each: one that changes nothing here may end what they retain or ignore.
        """
        name = key.removeprefix(self._prefix)
        self._ignored.pop(name, None)
        if value is not None:
            self._put(name, revision, now)
        elif name in self._in_force and revision >= self._in_force[name].revision:
            self._lift(name, revision)
        return True

    def finish_read(self, now: float, targets: Callable[[], Mapping[str, int]]) -> None:
        """Apply what is due after a reading, and log its changes.

        :param targets: returns the number of listed targets by data centre
        """
        self._apply_due(now)
        if not self._to_log and (not self._unknown or now < self._check_unknown_at):
            return
        self._check_unknown_at = now + UNKNOWN_CHECK_SECONDS
        targets_by_data_centre = targets()
        for name in [n for n in self._unknown if targets_by_data_centre.get(n)]:
            self._unknown.discard(name)
            self._to_log.setdefault(name, "in force")
        for name, what in list(self._to_log.items())[:MAX_LOGGED_NAMES]:
            self._log(name, what, targets_by_data_centre.get(name, 0), now)
        if len(self._to_log) > MAX_LOGGED_NAMES:
            more = len(self._to_log) - MAX_LOGGED_NAMES
            self._records.note("evacuation", "more changes", data_centres=more)
        self._to_log.clear()

    def show(self, exposition: Exposition) -> None:
        """Register the metrics."""
        exposition.gauge(
            "evacuated_data_centres",
            "Data centres that the operator evacuated",
            lambda: len(self._in_force),
        )
        exposition.gauge(
            "evacuation_held_back",
            "Requests not sent to their target because its data centre was evacuated",
            lambda: self.held_back,
        )

    def _is_from_backup(self, name: str, revision: Revision, now: float) -> bool:
        """Return whether a restored store lists an evacuation that was taken back since."""
        removal = self._removed.get(name)
        return (
            removal is not None
            and now < self._restored_at + IGNORE_SECONDS
            and revision.generation > removal.written.generation
            and revision.number == removal.written.number
        )

    def _put(self, name: str, revision: Revision, now: float) -> None:
        if not name:
            self._records.note("evacuation", "malformed", reason="the key names no data centre")
            return
        removal = self._removed.get(name)
        if removal is not None and revision <= removal.removed:
            return
        self._removed.pop(name, None)
        self._missing.discard(name)
        held = self._in_force.get(name)
        if held is not None:
            self._in_force[name] = held._replace(revision=max(revision, held.revision))
            return
        self._in_force[name] = Evacuation(revision, self._handover_end(name, now))
        self._ignored.pop(name, None)
        self._changed(name, "in force")

    def _handover_end(self, name: str, now: float) -> float:
        """Return until when an evacuation leaves time for a handover.

        One that is ignored was acknowledged before its first reading.
        """
        ignored = self._ignored.get(name)
        return self._stop_at(now) if ignored is None else ignored.stop_at

    def _stop_at(self, now: float) -> float:
        """Return until when an evacuation that was first read now leaves time for a handover.

        The store can't have acknowledged it before the previous reading, less the changes that this
        may have missed.
        """
        if self._bound is None:
            return now
        acknowledged = self._read_at() - MISSED_CHANGES_WINDOW
        return max(now, acknowledged + self._bound - HANDOVER_MARGIN)

    def _lift(self, name: str, removed: Revision) -> None:
        written = self._in_force.pop(name).revision
        self._missing.discard(name)
        self._unknown.discard(name)
        self._removed.pop(name, None)
        self._removed[name] = _Removal(written, max(written, removed))
        if len(self._removed) > MAX_REMEMBERED_REMOVALS:
            del self._removed[next(iter(self._removed))]
        self._changed(name, "lifted")

    def _apply_due(self, now: float) -> None:
        """Drop what the operator didn't write again, and apply what wasn't removed again."""
        if self._missing and now >= self._restored_at + RETAIN_SECONDS:
            for name in list(self._missing):
                self._lift(name, self._in_force[name].revision)
        if self._ignored and now >= self._restored_at + IGNORE_SECONDS:
            for name, ignored in list(self._ignored.items()):
                self._put(name, ignored.revision, now)
            self._ignored.clear()

    def _changed(self, name: str, what: str) -> None:
        self.changes += 1
        self._to_log[name] = what

    def _log(self, name: str, what: str, targets: int, now: float) -> None:
        held = self._in_force.get(name)
        if held is not None and not targets:
            self._unknown.add(name)
        removal = self._removed.get(name)
        self._records.note(
            "evacuation",
            what,
            data_centre=name[:MAX_LOGGED_NAME_CHARS],
            reason=None if targets or held is None else "no target of this data centre is listed",
            revision=held.revision if held else removal and removal.removed,
            read_age_s=round(now - self._read_at(), 2),
            stops_in_s=round(max(0.0, held.stop_at - now), 2) if held else None,
            targets=targets,
        )
