"""A client on one kept connection: HTTP/1.1 on a socket, one request at a time."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import NamedTuple

from lab import HOST, KEY

_ids = itertools.count(1)


def new_id() -> str:
    """Return a new id of a client attempt."""
    return f"{next(_ids):016x}"


class Answer(NamedTuple):
    """What a client got.

    :param status: 0 if no head arrived
    :param complete: whether the answer ended as its framing says
    :param ended_at: monotonic time
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    sent_at: float
    ended_at: float
    fault: str = ""


class Client:
    """One kept connection of a client."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def open(self) -> bool:
        """Return whether a connection is open."""
        return self._writer is not None

    async def connect(self) -> None:
        """Open the connection."""
        ip, port = self._address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 8000,
        request_id: str = "",
    ) -> Answer:
        """Send a request on the connection, opened if need be, and read its answer."""
        request_id = request_id or new_id()
        sent_at = time.monotonic()
        try:
            if self._writer is None:
                await self.connect()
            assert self._writer is not None and self._reader is not None
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Attempt-Id: {request_id}",
                f"Deadline-Ms: {deadline_ms}",
                f"Authorization: Bearer {KEY}",
                *(f"{n}: {v}" for n, v in (headers or {}).items()),
            ]
            if method != "GET" or body:
                lines.append(f"Content-Length: {len(body)}")
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self._writer.drain()
            sent_at = time.monotonic()
        except OSError as error:
            self.close()
            return Answer(request_id, 0, {}, b"", False, sent_at, time.monotonic(), repr(error))
        return await self._read(request_id, sent_at)

    async def _read(self, request_id: str, sent_at: float) -> Answer:
        status, headers, body, fault, complete = 0, {}, bytearray(), "", False
        reader = self._reader
        assert reader is not None
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            status = int(head[0].split()[1])
            headers = {
                n.strip().title(): v.strip() for n, _, v in (x.partition(":") for x in head[1:] if x)
            }
            if headers.get("Transfer-Encoding", "").lower() == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
                complete = True
            elif "Content-Length" in headers:
                body += await reader.readexactly(int(headers["Content-Length"]))
                complete = True
            else:
                body += await reader.read()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError) as error:
            fault = type(error).__name__
        if not complete or headers.get("Connection", "").lower() == "close":
            self.close()
        return Answer(
            request_id, status, headers, bytes(body), complete, sent_at, time.monotonic(), fault
        )
