"""Membership of entry hosts by heartbeat gossip, as a state machine without I/O.

Every :data:`GOSSIP_INTERVAL`, each entry host increments its own heartbeat and sends a bounded part
of what it knows to a few random peers. Messages need no reply, so a one-way link or a paused peer
only makes the view staler. Membership is advisory: it suggests owners and watchers and the division
of limits, and no safety property depends on it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

GOSSIP_INTERVAL = 1.0
FANOUT = 2
ROWS_PER_MESSAGE = 3
"""Full rows in one message, about 55 bytes each. A receiver learns of new hosts from them."""

HEARTBEATS_PER_MESSAGE = 32
"""Heartbeats in one message, about 16 bytes each. They show that known hosts are still live.

Two messages a second take at most 1.3 KB/s in a data centre of any size. In a large one, silent
hosts are suspected later instead (:meth:`Membership.suspect_after`).
"""

REMOTE_CONTACTS = 9
"""Hosts stored per other data centre, so that the rows don't grow with the size of the fleet."""

REMOTE_SUSPECT_AFTER = 30.0
REMOTE_GOSSIP_INTERVALS = 5
"""Gossip intervals between two messages to another data centre."""

SUSPECT_AFTER = 5.0
"""Seconds without a heartbeat until a host is suspected, up to :data:`BASE_TIMEOUT_HOSTS`."""

BASE_TIMEOUT_HOSTS = 25
"""Hosts of a data centre up to which all heartbeats spread within :data:`SUSPECT_AFTER`."""

INCARNATION_TAG_MASK = 0xFFFF
FORGET_AFTER = 60.0


class PeerState(StrEnum):
    """State of a peer in the view of this entry host."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEFT = "left"


class Row(NamedTuple):
    """The gossiped state of one entry host.

    :param incarnation: start time (wall clock in ms), so that the row of a restarted host prevails;
        incremented to refute outdated rows about this host
    :param heartbeat: incremented by the host itself once per interval
    :param left: whether the host announced that it leaves
    :param run_id: random id of one run of the process; unlike ``incarnation``, constant during it
    """

    host: str
    address: str
    data_centre: str
    incarnation: int
    heartbeat: int
    left: bool = False
    run_id: str = ""


class Heartbeat(NamedTuple):
    """The heartbeat of a host, for receivers that have its row.

    :param tag: lowest 16 bits of the incarnation; a heartbeat whose tag differs from the row's is
        ignored
    """

    host: str
    tag: int
    heartbeat: int


class Gossip(NamedTuple):
    """A message: the sender's own row, a few other rows, and recent heartbeats."""

    rows: tuple[Row, ...]
    heartbeats: tuple[Heartbeat, ...] = ()


class KnownPeer(NamedTuple):
    """A row and the local time at which its heartbeat last increased."""

    row: Row
    heartbeat_at: float


class Send(NamedTuple):
    """Effect: send a message to a peer's address."""

    address: str
    message: Gossip


class Membership:
    """One entry host's view of the others.

    :param seeds: peer addresses from the boot file, used while no rows are known and occasionally
        afterwards
    """

    def __init__(self, me: Row, seeds: Iterable[str], rng: random.Random, now: float = 0.0) -> None:
        self.me = me
        self._seeds = tuple(s for s in seeds if s != me.address)
        self._rng = rng
        self.by_host: dict[str, KnownPeer] = {}
        self._heartbeat_sends: dict[str, int] = {}
        self._row_sends: dict[tuple[str, int, bool], int] = {}
        self._started_at = now

    def tick(self, now: float) -> list[Send]:
        """Increment the own heartbeat and return the messages to send in this interval."""
        self.me = self.me._replace(heartbeat=self.me.heartbeat + 1)
        self._drop_silent_hosts(now)
        addresses = self._pick_addresses(now)
        message = Gossip((self.me, *self._pick_rows()), self._pick_heartbeats())
        return [Send(address, message) for address in addresses]

    def receive(self, now: float, message: Gossip) -> list[Row]:
        """Merge a peer's message; return the rows of hosts that are new or live again."""
        now_live = []
        for row in message.rows:
            if row.host == self.me.host:
                self._refute(row)
            elif self._merge_row(now, row):
                now_live.append(row)
        for heartbeat in message.heartbeats:
            self._apply_heartbeat(now, heartbeat)
        return now_live

    def leave(self) -> list[Send]:
        """Mark this host as left; return its last messages, addressed to more peers than usual."""
        self.me = self.me._replace(left=True, heartbeat=self.me.heartbeat + 1)
        message = Gossip((self.me,))
        addresses = [k.row.address for k in self.by_host.values() if not k.row.left]
        self._rng.shuffle(addresses)
        return [Send(address, message) for address in addresses[: 4 * FANOUT]]

    def state(self, host: str, now: float) -> PeerState:
        """Return the state of a peer at ``now``."""
        known = self.by_host.get(host)
        if known is None or known.row.left:
            return PeerState.LEFT
        limit = self.suspect_after() if self._is_local(known.row) else REMOTE_SUSPECT_AFTER
        return PeerState.LIVE if now - known.heartbeat_at <= limit else PeerState.SUSPECT

    def suspect_after(self) -> float:
        """Return the seconds without a heartbeat until a host of this data centre is suspected.

        A message holds a bounded number of heartbeats, so they spread more slowly in a large data
        centre. If suspected too early, live hosts would needlessly lose their domains to others.
        """
        local = sum(1 for k in self.by_host.values() if self._is_local(k.row))
        return SUSPECT_AFTER * max(1.0, (local + 1) / BASE_TIMEOUT_HOSTS)

    def live(self, now: float, data_centre: str | None = None) -> dict[str, Row]:
        """Return the live entry hosts by name, including this one unless it left."""
        rows = {h: k.row for h, k in self.by_host.items() if self.state(h, now) == PeerState.LIVE}
        if not self.me.left:
            rows[self.me.host] = self.me
        if data_centre is None:
            return rows
        return {h: r for h, r in rows.items() if r.data_centre == data_centre}

    def startup_complete(self, now: float) -> bool:
        """Return whether enough time has passed since the start to know the other hosts."""
        return now - self._started_at > 2 * GOSSIP_INTERVAL + 0.5

    def _refute(self, row: Row) -> None:
        """Raise the own incarnation above that of a row that is newer or marks this host left."""
        newer = row.incarnation > self.me.incarnation
        if newer or (row.incarnation == self.me.incarnation and row.left and not self.me.left):
            self.me = self.me._replace(incarnation=row.incarnation + 1)

    def _merge_row(self, now: float, row: Row) -> bool:
        known = self.by_host.get(row.host)
        if known is None:
            if not self._may_store(row):
                return False
            self.by_host[row.host] = KnownPeer(row, now)
            return not row.left
        old = (known.row.incarnation, known.row.left, known.row.heartbeat)
        # "Left" takes precedence over heartbeats of the same incarnation. Otherwise a heartbeat
        # sent before the host left, and still being gossiped, would mark the host as live again.
        if (row.incarnation, row.left, row.heartbeat) <= old:
            return False
        was_known_live = now - known.heartbeat_at <= SUSPECT_AFTER and not known.row.left
        self.by_host[row.host] = KnownPeer(row, now)
        return not was_known_live and not row.left

    def _apply_heartbeat(self, now: float, received: Heartbeat) -> None:
        known = self.by_host.get(received.host)
        if (
            known is None
            or known.row.left
            or known.row.incarnation & INCARNATION_TAG_MASK != received.tag
        ):
            return
        if received.heartbeat > known.row.heartbeat:
            self._heartbeat_sends[received.host] = 0
            self.by_host[received.host] = KnownPeer(
                known.row._replace(heartbeat=received.heartbeat), now
            )

    def _is_local(self, row: Row) -> bool:
        return row.data_centre == self.me.data_centre

    def _may_store(self, row: Row) -> bool:
        if self._is_local(row):
            return True
        known = sum(1 for k in self.by_host.values() if k.row.data_centre == row.data_centre)
        return known < REMOTE_CONTACTS

    def _drop_silent_hosts(self, now: float) -> None:
        silent = [h for h, k in self.by_host.items() if now - k.heartbeat_at > FORGET_AFTER]
        for host in silent:
            del self.by_host[host]
            self._heartbeat_sends.pop(host, None)
        if silent:
            remaining = {k: n for k, n in self._row_sends.items() if k[0] in self.by_host}
            self._row_sends = remaining

    def _pick_addresses(self, now: float) -> list[str]:
        rows = [k.row for k in self.by_host.values() if not k.row.left]
        local = [r.address for r in rows if self._is_local(r)]
        remote = [r.address for r in rows if not self._is_local(r)]
        chosen = self._rng.sample(local, min(FANOUT, len(local)))
        if remote and self.me.heartbeat % REMOTE_GOSSIP_INTERVALS == 0:
            chosen.append(self._rng.choice(remote))
        # An occasional message to a seed rejoins two sides that dropped each other's rows during a
        # long partition.
        if self._seeds and (not rows or self.me.heartbeat % (2 * REMOTE_GOSSIP_INTERVALS) == 0):
            chosen.append(self._rng.choice(self._seeds))
        return list(dict.fromkeys(chosen))

    def _pick_rows(self) -> list[Row]:
        """Return the rows that were sent least often, so that new hosts are known quickly."""
        rows = [k.row for k in self.by_host.values()]
        self._rng.shuffle(rows)
        rows.sort(key=lambda r: self._row_sends.get((r.host, r.incarnation, r.left), 0))
        for row in rows[:ROWS_PER_MESSAGE]:
            key = (row.host, row.incarnation, row.left)
            self._row_sends[key] = self._row_sends.get(key, 0) + 1
        return rows[:ROWS_PER_MESSAGE]

    def _pick_heartbeats(self) -> tuple[Heartbeat, ...]:
        """Return the heartbeats that were forwarded least since they increased, newest first.

        At first a heartbeat is new to most hosts, and after some rounds of gossip only to a few.
        With a random choice, most heartbeats in a message would already be known to the receiver,
        and live hosts of a large data centre would be suspected.
        """
        known = [k for h, k in self.by_host.items() if not k.row.left]
        known.sort(key=lambda k: (self._heartbeat_sends.get(k.row.host, 0), -k.heartbeat_at))
        picked = known[:HEARTBEATS_PER_MESSAGE]
        for k in picked:
            self._heartbeat_sends[k.row.host] = self._heartbeat_sends.get(k.row.host, 0) + 1
        return tuple(
            Heartbeat(k.row.host, k.row.incarnation & INCARNATION_TAG_MASK, k.row.heartbeat)
            for k in picked
        )
