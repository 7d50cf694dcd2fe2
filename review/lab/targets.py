"""A plain target that reads the bodies of requests at a set rate and then answers."""

from __future__ import annotations

import asyncio
import contextlib

from lab import Lab, free_address

PIECE = 65536


class SlowTarget:
    """A target of a plain service.

    :ivar seconds_per_piece: pause after each 64 KiB of a body, 0 to read at full speed
    :ivar answer: body of its answers
    :ivar work_seconds: time from a whole request to its answer
    :ivar ran: ids of the requests that it ran
    """

    def __init__(self, instance: str, service: str = "desk") -> None:
        self.instance = instance
        self.service = service
        self.seconds_per_piece = 0.0
        self.answer = b"ok"
        self.work_seconds = 0.0
        self.ran: list[str] = []

    async def start(self, lab: Lab) -> None:
        """Listen, and be listed."""
        address = free_address()
        ip, port = address.rsplit(":", 1)
        # The small limit keeps this stand-in from reading ahead of its rate.
        await asyncio.start_server(self._serve, ip, int(port), limit=PIECE)
        lab.list_target(self.instance, address, self.service)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                pairs = (line.partition(":") for line in lines[1:] if line)
                headers = {name.strip().title(): value.strip() for name, _, value in pairs}
                if headers.get("Expect-Instance", self.instance) != self.instance:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    break
                left = int(headers.get("Content-Length", "0"))
                while left:
                    piece = await reader.read(min(left, PIECE))
                    if not piece:
                        return
                    left -= len(piece)
                    await asyncio.sleep(self.seconds_per_piece)
                request_id = headers.get("Attempt-Id", "")
                self.ran.append(request_id)
                await asyncio.sleep(self.work_seconds)
                head = (
                    f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
                    f"Response-Seal: seal-{self.instance}\r\n"
                    f"Content-Length: {len(self.answer)}\r\n\r\n"
                )
                writer.write(head.encode() + self.answer)
                await writer.drain()
        writer.close()
