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
ROWS_PER_MESSAGE = 20
"""Rows in one message; with two messages a second and 40 bytes a row, about 1.7 KB/s."""

SUSPECT_AFTER = 5.0
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


class Gossip(NamedTuple):
    """A message: the sender's own row first, then rows it heard of lately."""

    rows: tuple[Row, ...]


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
        self._started = now

    def tick(self, now: float) -> list[Send]:
        """Raise the own heartbeat and return the messages of this interval."""
        self.me = self.me._replace(heartbeat=self.me.heartbeat + 1)
        self._forget(now)
        targets = self._targets(now)
        message = Gossip((self.me, *self._fresh_rows()))
        return [Send(address, message) for address in targets]

    def receive(self, now: float, message: Gossip) -> list[Row]:
        """Take in a message; return the rows that were new or came back."""
        news = []
        for row in message.rows:
            if row.host == self.me.host:
                self._refute(row)
            elif self._take(now, row):
                news.append(row)
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
        return PeerState.LIVE if now - known.risen_at <= SUSPECT_AFTER else PeerState.SUSPECT

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

    def _forget(self, now: float) -> None:
        gone = [h for h, k in self.by_host.items() if now - k.risen_at > FORGET_AFTER]
        for host in gone:
            del self.by_host[host]

    def _targets(self, now: float) -> list[str]:
        addresses = [k.row.address for k in self.by_host.values() if not k.row.left]
        chosen = self._rng.sample(addresses, min(FANOUT, len(addresses)))
        # A seed now and then joins two halves that forgot each other during a long partition.
        spare_seed = self._seeds and (not chosen or self.me.heartbeat % 10 == 0)
        if spare_seed:
            chosen.append(self._rng.choice(self._seeds))
        return list(dict.fromkeys(chosen))

    def _fresh_rows(self) -> list[Row]:
        newest = sorted(self.by_host.values(), key=lambda k: -k.risen_at)
        half = ROWS_PER_MESSAGE // 2
        rest = newest[half:]
        picked = newest[:half] + self._rng.sample(rest, min(half, len(rest)))
        return [k.row for k in picked]
