"""Targets in trouble that send bytes without end in place of an answer."""

import asyncio
import contextlib
import time
import unittest

from oleanderhill_dev.bench_site import free_address

from oleanderhill.clients.httpcall import MAX_REPLY_BYTES, Call, FailureKind, HttpCaller
from oleanderhill.serving.events import EventSplitter

PROMPTLY = 1.0
"""Seconds within which a caller's answer counts as immediate; its deadline is 4 s."""

PIECE = b"x" * 65536


class RawServer:
    """Sends a head and then a piece again and again until the connection is closed.

    :ivar sent: number of bytes written
    """

    def __init__(self, head=b"", piece=b"", pause=0.0):
        self.head, self.piece, self.pause = head, piece, pause
        self.sent = 0
        self.requests = 0
        self.ended = asyncio.Event()

    async def start(self):
        self.address = free_address()
        ip, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.head)
                while self.piece:
                    writer.write(self.piece)
                    await writer.drain()
                    self.sent += len(self.piece)
                    await asyncio.sleep(self.pause)
        self.ended.set()
        writer.close()


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, head=b"", piece=b"", pause=0.0):
        self.server = RawServer(head, piece, pause)
        await self.server.start()
        self.addCleanup(self.server.stop)
        return self.server

    async def lose(self, head, piece, pause=0.0, **more):
        server = await self.serve(head, piece, pause)
        call = Call(server.address, "GET", "/", reuse=True, timeout=8.0, **more)
        failure = (await HttpCaller().call(call)).failure()
        await asyncio.wait_for(server.ended.wait(), PROMPTLY)
        self.assertEqual((failure.kind, failure.sent), (FailureKind.LOST, True))
        return failure.reason

    async def test_head_without_end_is_reported_with_its_limit(self):
        cases = {
            "one line": (b"HTTP/1.1 200 OK\r\nA: ", PIECE),
            "many lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 1000),
            "no status line": (b"", PIECE),
        }
        for name, (head, piece) in cases.items():
            with self.subTest(name):
                self.assertIn("65536 bytes", await self.lose(head, piece))
                self.assertLess(self.server.sent, 8 << 20)

    async def test_replies_that_only_announce_another_end_with_the_connection(self):
        await self.lose(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 20)

    async def test_body_without_end_is_reported_with_its_limit(self):
        chunk = b"10000\r\n" + PIECE + b"\r\n"
        cases = {
            "chunked": (b"Transfer-Encoding: chunked\r\n\r\n", chunk),
            "without a length": (b"\r\n", PIECE),
            "with a huge length": (b"Content-Length: 99999999999\r\n\r\n", PIECE),
        }
        for name, (head, piece) in cases.items():
            with self.subTest(name):
                reason = await self.lose(b"HTTP/1.1 200 OK\r\n" + head, piece)
                self.assertEqual(reason, f"the reply's body is over {MAX_REPLY_BYTES} bytes")

    async def test_chunk_size_without_end_or_with_extensions_ends_the_connection(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for piece in (b"0" * 65536, b"1;a=" + PIECE, b"f" * 40 + b"\r\n"):
            await self.lose(head, piece)
            self.assertLess(self.server.sent, 8 << 20)

    async def test_bytes_after_a_reply_are_not_taken_for_the_next_one(self):
        server = await self.serve(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"
        )
        caller = HttpCaller()
        for pause in (0.0, 0.05, 0.05):
            call = Call(server.address, "GET", "/", reuse=True)
            self.assertEqual((await caller.call(call)).unwrap().body, b"a")
            await asyncio.sleep(pause)
        self.assertEqual(caller.opened, 3)


class SplitterTest(unittest.TestCase):
    def test_event_without_end_costs_time_in_proportion_to_its_length(self):
        splitter = EventSplitter()
        began = time.process_time()
        for _ in range(8192):
            splitter.feed(b"x" * 128)
        self.assertLess(time.process_time() - began, 0.2)


if __name__ == "__main__":
    unittest.main()
