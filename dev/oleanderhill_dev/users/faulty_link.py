"""A loopback proxy that simulates network faults on TCP connections."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CHUNK = 64 * 1024


class LinkState(StrEnum):
    """State of the link. Held bytes are forwarded once the link is healthy again, unless their
    sender has reset the connection.
    """

    HEALTHY = "sound"
    SLOW = "slow"
    SILENT = "silent"
    REPLIES_HELD = "deaf"
    """Bytes to the target pass, bytes from the target are held."""
    REFUSING = "refusing"


SLOW_SECONDS = 0.25
POLL_SECONDS = 0.02


class FaultyLink:
    """Forwards connections to an address, subject to the faults of its state."""

    def __init__(self, address: str, target_address: str) -> None:
        self.address = address
        self._target_address = target_address
        self.state = LinkState.HEALTHY
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        ip, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._forward, ip, int(port))

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.state == LinkState.REFUSING:
            writer.transport.abort()
            return
        ip, port = self._target_address.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, held_by={LinkState.SILENT}),
                self._pump(
                    target_reader, writer, held_by={LinkState.SILENT, LinkState.REPLIES_HELD}
                ),
            )
        except asyncio.CancelledError:
            # Expected when the soak ends; asyncio would log the cancelled server task as an error.
            return
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, held_by: set[LinkState]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.state == LinkState.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                while self.state in held_by:
                    await asyncio.sleep(POLL_SECONDS)
                if reader.exception() is not None:
                    return
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
