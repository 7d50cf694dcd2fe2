"""Datagrams among entry hosts: how many requests each has at which target, and what stalls.

A count that is lost is replaced by the next one a moment later, so datagrams fit better than
connections: nothing queues up for a peer that is slow, and there is nothing to reconnect.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..groups.ownership import Presence
from ..kernel import Kernel, Task
from .placing import LoadBook

EVERY = 0.05
"""Seconds between two reports: by them a silent target is told from a busy one, and a stream that
stalls has 0.2 s to go on elsewhere. A report costs about 30 us at each end."""

LONGEST = 1400
"""Bytes of a datagram: what fits into one frame."""


class LoadReport(NamedTuple):
    """What one entry host has with targets.

    :param counts: requests in flight by target
    :param suspects: targets that it saw stall
    :param progress: seconds since a target last sent something, by target
    :param turned_away: requests that found no target in the last second, by model
    """

    name: str
    counts: dict[str, int]
    suspects: list[str]
    progress: dict[str, float]
    turned_away: dict[str, int]


_DECODER = msgspec.msgpack.Decoder(LoadReport)
_ENCODER = msgspec.msgpack.Encoder()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._take(data)


class GossipTask(Task):
    """Owns the datagram socket towards the other entry hosts.

    :param peers: returns the entry hosts that are there
    """

    name = "gossip"
    interval = EVERY

    def __init__(
        self,
        kernel: Kernel,
        me: Presence,
        book: LoadBook,
        peers: Callable[[], dict[str, Presence]],
    ) -> None:
        super().__init__(kernel)
        self._me = me
        self._book = book
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._was_idle = False

    async def start(self) -> None:
        """Listen, and start to report."""
        ip, port = self._me.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._hear), local_addr=(ip, int(port))
        )
        self.spawn(self._tick_loop())

    async def stop(self) -> None:
        """Close the socket."""
        await super().stop()
        if self._transport is not None:
            self._transport.close()

    async def tick(self) -> None:
        """Report to all peers; an idle host says so once."""
        counts = dict(self._book.own)
        now = time.monotonic()
        suspects = self._book.own_suspects(now)
        turned_away = self._book.own_turned_away(now)
        idle = not counts and not suspects and not turned_away
        if idle and self._was_idle:
            return
        self._was_idle = idle
        progress = self._book.own_progress(now)
        report = LoadReport(self._me.name, counts, suspects, progress, turned_away)
        data = _ENCODER.encode(report)
        if self._transport is None or len(data) > LONGEST:
            return
        for peer in self._peers().values():
            if peer.name != self._me.name:
                ip, port = peer.address.rsplit(":", 1)
                self._transport.sendto(data, (ip, int(port)))

    def _hear(self, data: bytes) -> None:
        try:
            report = _DECODER.decode(data)
        except msgspec.DecodeError:
            # Anybody may send datagrams here; what is not a report says nothing.
            return
        now = time.monotonic()
        self._book.hear(
            report.name, report.counts, report.suspects, report.progress, report.turned_away, now
        )
