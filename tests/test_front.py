"""The server for callers alone: what becomes of each connection and request, also at a stop."""

import asyncio
import unittest
from unittest import mock

from tornado.httputil import HTTPHeaders
from tornado.testing import bind_unused_port

from oleanderhill.kernel import Kernel
from oleanderhill.platform.headers import HeaderCodec
from oleanderhill.records import Records
from oleanderhill.serving import front as front_module
from oleanderhill.serving.front import Front, ServeCallbacks

GRACE_SECONDS = 3.0
LISTENING_SECONDS = 0.1
PROMPTLY = 1.0


def unused_address():
    sock, port = bind_unused_port()
    sock.close()
    return f"127.0.0.1:{port}"


def request(request_id, body=b"x"):
    head = f"POST /a/x HTTP/1.1\r\nHost: a\r\nAttempt-Id: {request_id}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        patch = mock.patch.object(front_module, "STOP_LISTENING_AFTER", LISTENING_SECONDS)
        patch.start()
        self.addCleanup(patch.stop)
        self.lines = []
        self.counted = []
        self.served = []
        self.release = asyncio.Event()
        records = Records("entry-1")
        patch = mock.patch.object(records, "note", self.note)
        patch.start()
        self.addCleanup(patch.stop)
        self.address = unused_address()
        self.front = Front(
            Kernel(),
            self.address,
            unused_address(),
            GRACE_SECONDS,
            HeaderCodec(lambda name, value: None),
            ServeCallbacks(self.serve, lambda: True, lambda: 1 << 20, self.counted.append),
            records,
        )
        await self.front.start()
        self.addAsyncCleanup(self.front.stop)

    def note(self, part, what, **fields):
        self.lines.append((part, what, fields))

    def found(self, outcome):
        return [f for _, what, f in self.lines if what == outcome]

    async def serve(self, incoming, host, path, sink):
        self.served.append(incoming.facts.request_id)
        await self.release.wait()
        sink.reply(200, HTTPHeaders(), b"answer")

    async def connect(self):
        ip, port = self.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def until(self, condition):
        async with asyncio.timeout(PROMPTLY):
            while not condition():
                await asyncio.sleep(0.002)


class UnansweredTest(FrontTest):
    async def test_request_whose_caller_leaves_has_a_line(self):
        _, writer = await self.connect()
        writer.write(request("left"))
        await self.until(lambda: self.served)
        writer.close()
        await self.until(lambda: self.found("cancelled"))
        (line,) = self.found("cancelled")
        self.assertEqual(
            (line["request_id"], line["reason"]), ("left", "its connection was closed")
        )
        self.assertEqual(self.counted, ["cancelled"])

    async def test_request_that_the_end_of_the_process_cuts_has_a_line(self):
        _, writer = await self.connect()
        writer.write(request("cut"))
        await self.until(lambda: self.served)
        await self.front.stop()
        (line,) = self.found("cancelled")
        self.assertEqual((line["request_id"], line["reason"]), ("cut", "the process stops"))
        (end,) = self.found("closing connections")
        self.assertEqual(end["in_flight"], 1)

    async def test_request_that_breaks_off_in_its_body_has_a_line(self):
        _, writer = await self.connect()
        writer.write(request("part", b"x" * 100)[:-50])
        await self.until(lambda: self.front.in_flight)
        writer.close()
        await self.until(lambda: self.found("dropped"))
        (line,) = self.found("dropped")
        self.assertEqual(
            (line["request_id"], line["reason"]), ("part", "closed before it was whole")
        )
        self.assertEqual(self.front.in_flight, 0)
