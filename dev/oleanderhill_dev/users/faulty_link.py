"""A loopback proxy that does to connections what networks do."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CHUNK = 64 * 1024


class LinkState(StrEnum):
    """What the link does now. Bytes that are held go on when it is sound again."""

    SOUND = "sound"
    SLOW = "slow"
    SILENT = "silent"
    DEAF = "deaf"
    """Questions arrive, answers don't."""
    REFUSING = "refusing"


SLOW_SECONDS = 0.25
LOOK = 0.02


class FaultyLink:
    """Passes connections on to an address, as well as its state allows."""

    def __init__(self, address: str, to: str) -> None:
        self.address = address
        self._to = to
        self.state = LinkState.SOUND
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        ip, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._take, ip, int(port))

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.state == LinkState.REFUSING:
            writer.transport.abort()
            return
        ip, port = self._to.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, held_by={LinkState.SILENT}),
                self._pump(far_reader, writer, held_by={LinkState.SILENT, LinkState.DEAF}),
            )
        except asyncio.CancelledError:
            # The soak ends; asyncio would report the cancellation of a server's task as a fault.
            return
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, held_by: set[LinkState]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.state == LinkState.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                while self.state in held_by:
                    await asyncio.sleep(LOOK)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
