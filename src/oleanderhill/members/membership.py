"""Membership of entry hosts by gossip of heartbeats: a pure state machine.

Each entry host raises its own heartbeat and sends a bounded part of what it knows to a few random
peers every :data:`GOSSIP_INTERVAL`. Nobody is asked for an answer, so a one-way link or a paused
peer costs nothing but staleness. Membership only guides (who should own, who watches, how limits
are shared); no safety rests on it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

GOSSIP_INTERVAL = 1.0
FANOUT = 2
ROWS_PER_MESSAGE = 3
"""Full rows in one message, of about 55 bytes; they introduce hosts."""

BEATS_PER_MESSAGE = 32
"""Heartbeats in one message, of about 16 bytes; they keep known hosts alive.

Two messages a second cost 1.3 KB/s at most, however many hosts a data centre has; what grows
instead is the time after which a silent host is suspected.
"""

FAR_CONTACTS = 9
"""Hosts remembered of each other data centre, so that rows don't grow with the fleet."""

FAR_SUSPECT_AFTER = 30.0
FAR_EVERY = 5
"""Messages to another data centre: one in so many intervals."""

SUSPECT_AFTER = 5.0
"""Seconds of silence after which a host is suspected, in data centres up to :data:`QUICK_SIZE`."""

QUICK_SIZE = 25
"""Hosts of a data centre whose beats all go round within :data:`SUSPECT_AFTER`, as measured."""

TAG_MASK = 0xFFFF
FORGET_AFTER = 60.0


class PeerState(StrEnum):
    """How this entry host sees a peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEFT = "left"


class Row(NamedTuple):
    """One entry host as gossiped.

    :param incarnation: raised at each start (wall clock in ms), so that a restarted host wins
    :param heartbeat: raised by its owner once an interval
    :param left: it said goodbye
    :param life: random for each start; unlike the incarnation it never changes within one
    """

    host: str
    address: str
    data_centre: str
    incarnation: int
    heartbeat: int
    left: bool = False
    life: str = ""


class Beat(NamedTuple):
    """The heartbeat of a host whose row the receiver knows.

    :param tag: lowest 16 bits of the incarnation; of another one the beat is ignored
    """

    host: str
    tag: int
    heartbeat: int


class Gossip(NamedTuple):
    """A message: the sender's own row first, then a few rows, and beats it heard of lately."""

    rows: tuple[Row, ...]
    beats: tuple[Beat, ...] = ()


class Known(NamedTuple):
    """A row and when its heartbeat last rose, by the local clock."""

    row: Row
    risen_at: float


class Send(NamedTuple):
    """An effect: send a message to a peer's address."""

    address: str
    message: Gossip


class Membership:
    """What one entry host knows of the others.

    :param seeds: peer addresses of the boot file, used until rows are known
    """

    def __init__(self, me: Row, seeds: Iterable[str], rng: random.Random, now: float = 0.0) -> None:
        self.me = me
        self._seeds = tuple(s for s in seeds if s != me.address)
        self._rng = rng
        self.by_host: dict[str, Known] = {}
        self._passed_on: dict[str, int] = {}
        self._introduced: dict[tuple[str, int, bool], int] = {}
        self._started = now

    def tick(self, now: float) -> list[Send]:
        """Raise the own heartbeat and return the messages of this interval."""
        self.me = self.me._replace(heartbeat=self.me.heartbeat + 1)
        self._forget(now)
        targets = self._targets(now)
        message = Gossip((self.me, *self._some_rows()), self._fresh_beats())
        return [Send(address, message) for address in targets]

    def receive(self, now: float, message: Gossip) -> list[Row]:
        """Take in a message; return the rows that were new or came back."""
        news = []
        for row in message.rows:
            if row.host == self.me.host:
                self._refute(row)
            elif self._take(now, row):
                news.append(row)
        for beat in message.beats:
            self._take_beat(now, beat)
        return news

    def leave(self) -> list[Send]:
        """Return the goodbye messages, to more peers than usual since they are the last."""
        self.me = self.me._replace(left=True, heartbeat=self.me.heartbeat + 1)
        message = Gossip((self.me,))
        addresses = [k.row.address for k in self.by_host.values() if not k.row.left]
        self._rng.shuffle(addresses)
        return [Send(address, message) for address in addresses[: 4 * FANOUT]]

    def state(self, host: str, now: float) -> PeerState:
        """Return how a peer is seen at ``now``."""
        known = self.by_host.get(host)
        if known is None or known.row.left:
            return PeerState.LEFT
        limit = self.suspect_after() if self._is_near(known.row) else FAR_SUSPECT_AFTER
        return PeerState.LIVE if now - known.risen_at <= limit else PeerState.SUSPECT

    def suspect_after(self) -> float:
        """Return the seconds of silence after which a host of this data centre is suspected.

        A message holds a bounded number of beats, so they take longer to go round in a large data
        centre. Suspected too early, live hosts would lose their domains to others for nothing.
        """
        near = sum(1 for k in self.by_host.values() if self._is_near(k.row))
        return SUSPECT_AFTER * max(1.0, (near + 1) / QUICK_SIZE)

    def live(self, now: float, data_centre: str | None = None) -> dict[str, Row]:
        """Return the live entry hosts by name, this one included unless it left."""
        rows = {h: k.row for h, k in self.by_host.items() if self.state(h, now) == PeerState.LIVE}
        if not self.me.left:
            rows[self.me.host] = self.me
        if data_centre is None:
            return rows
        return {h: r for h, r in rows.items() if r.data_centre == data_centre}

    def settled(self, now: float) -> bool:
        """Tell whether enough time has passed since the start to have heard of the others."""
        return now - self._started > 2 * GOSSIP_INTERVAL + 0.5

    def _refute(self, row: Row) -> None:
        """Outlive rumours about an earlier life of this host, or of its leaving."""
        newer = row.incarnation > self.me.incarnation
        if newer or (row.incarnation == self.me.incarnation and row.left and not self.me.left):
            self.me = self.me._replace(incarnation=row.incarnation + 1)

    def _take(self, now: float, row: Row) -> bool:
        known = self.by_host.get(row.host)
        if known is None:
            if not self._has_room(row):
                return False
            self.by_host[row.host] = Known(row, now)
            return not row.left
        old = (known.row.incarnation, known.row.left, known.row.heartbeat)
        # "Left" outranks heartbeats of the same incarnation: rumours of an older heartbeat that
        # still go round would otherwise bring a host back that said goodbye.
        if (row.incarnation, row.left, row.heartbeat) <= old:
            return False
        was_live = now - known.risen_at <= SUSPECT_AFTER and not known.row.left
        self.by_host[row.host] = Known(row, now)
        return not was_live and not row.left

    def _take_beat(self, now: float, beat: Beat) -> None:
        known = self.by_host.get(beat.host)
        if known is None or known.row.left or known.row.incarnation & TAG_MASK != beat.tag:
            return
        if beat.heartbeat > known.row.heartbeat:
            self._passed_on[beat.host] = 0
            self.by_host[beat.host] = Known(known.row._replace(heartbeat=beat.heartbeat), now)

    def _is_near(self, row: Row) -> bool:
        return row.data_centre == self.me.data_centre

    def _has_room(self, row: Row) -> bool:
        if self._is_near(row):
            return True
        known = sum(1 for k in self.by_host.values() if k.row.data_centre == row.data_centre)
        return known < FAR_CONTACTS

    def _forget(self, now: float) -> None:
        gone = [h for h, k in self.by_host.items() if now - k.risen_at > FORGET_AFTER]
        for host in gone:
            del self.by_host[host]
            self._passed_on.pop(host, None)
        if gone:
            kept = {k: n for k, n in self._introduced.items() if k[0] in self.by_host}
            self._introduced = kept

    def _targets(self, now: float) -> list[str]:
        rows = [k.row for k in self.by_host.values() if not k.row.left]
        near = [r.address for r in rows if self._is_near(r)]
        far = [r.address for r in rows if not self._is_near(r)]
        chosen = self._rng.sample(near, min(FANOUT, len(near)))
        if far and self.me.heartbeat % FAR_EVERY == 0:
            chosen.append(self._rng.choice(far))
        # A seed now and then joins two halves that forgot each other during a long partition.
        if self._seeds and (not rows or self.me.heartbeat % (2 * FAR_EVERY) == 0):
            chosen.append(self._rng.choice(self._seeds))
        return list(dict.fromkeys(chosen))

    def _some_rows(self) -> list[Row]:
        """Return the rows that were introduced least, so that a new host is soon known."""
        rows = [k.row for k in self.by_host.values()]
        self._rng.shuffle(rows)
        rows.sort(key=lambda r: self._introduced.get((r.host, r.incarnation, r.left), 0))
        for row in rows[:ROWS_PER_MESSAGE]:
            key = (row.host, row.incarnation, row.left)
            self._introduced[key] = self._introduced.get(key, 0) + 1
        return rows[:ROWS_PER_MESSAGE]

    def _fresh_beats(self) -> tuple[Beat, ...]:
        """Return the beats that were passed on least since they rose, the newest first.

        Each beat is news to most hosts at first and to few after some rounds. Drawn at random,
        most of a message would be old news, and hosts of a large data centre would look dead.
        """
        known = [k for h, k in self.by_host.items() if not k.row.left]
        known.sort(key=lambda k: (self._passed_on.get(k.row.host, 0), -k.risen_at))
        picked = known[:BEATS_PER_MESSAGE]
        for k in picked:
            self._passed_on[k.row.host] = self._passed_on.get(k.row.host, 0) + 1
        return tuple(
            Beat(k.row.host, k.row.incarnation & TAG_MASK, k.row.heartbeat) for k in picked
        )
