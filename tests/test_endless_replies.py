"""Targets in trouble that send bytes without end in place of an answer."""

import asyncio
import contextlib
import random
import time
import unittest
import weakref
from unittest import mock

from oleanderhill_dev.bench_site import free_address
from oleanderhill_dev.users.site import SMALL, until

from oleanderhill.clients.httpcall import MAX_REPLY_BYTES, Call, FailureKind, HttpCaller
from oleanderhill.groups.actions import Leave, OrderOutcome
from oleanderhill.groups.inventory import Instance
from oleanderhill.groups.probing import ProbeOutcome
from oleanderhill.platform.orders import EngineOrders
from oleanderhill.routing.proxies import PeerList, Proxies
from oleanderhill.routing.reachability import Heard, Reachability
from oleanderhill.serving import attempt as attempts
from oleanderhill.serving.events import EventSplitter
from oleanderhill.serving.request_log import RequestLog
from oleanderhill.serving.target_caller import Peers, TargetCaller

from .test_users_site import ResponseRecorder, SiteTest

PROMPTLY = 1.0
"""Seconds within which a caller's answer counts as immediate; its deadline is 4 s."""

PIECE = b"x" * 65536
OVER_LIMIT = f"the reply's body is over {MAX_REPLY_BYTES} bytes"


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
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
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
                self.assertEqual(reason, OVER_LIMIT)

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


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_engine_host_that_answers_without_end_counts_as_lost_at_once(self):
        server = RawServer(b"HTTP/1.1 200 OK\r\n\r\n", PIECE, 0.005)
        await server.start()
        self.addCleanup(server.stop)
        links = Reachability()
        peers = Peers("here", PeerList, lambda address: Heard.UNKNOWN)
        caller = TargetCaller(
            HttpCaller(), HttpCaller(), links, Proxies("hall", random.Random(1)), peers
        )
        orders = EngineOrders(caller, lambda *args: None, lambda instance: True)
        instance = Instance("i-1", 1)
        for asked, silent in (
            (orders.probe(instance, server.address), ProbeOutcome.GONE),
            (orders.send(Leave("d.1", 1, instance), server.address, 3), OrderOutcome.SILENT),
        ):
            server.sent = 0
            self.assertEqual(await asked, silent)
            self.assertLess(server.sent, 1 << 20)


def head(request_id, *lines, seal=True, status="200 OK"):
    """Return the head of a reply of a target to a request."""
    sealed = ["Response-Seal: s"] if seal else []
    found = [f"HTTP/1.1 {status}", f"Attempt-Id: {request_id}", *sealed, *lines]
    return "".join(f"{line}\r\n" for line in found).encode() + b"\r\n"


class Endless:
    """Writes a head and a piece again and again.

    :ivar stopped: monotonic time at which the connection was closed
    """

    def __init__(self, piece, *lines, pause=0.0, start=b"", **more):
        self.piece, self.lines, self.pause, self.start, self.more = piece, lines, pause, start, more
        self.sent = 0
        self.stopped = 0.0

    async def __call__(self, stream, request_id, first):
        try:
            await stream.write(head(request_id, *self.lines, **self.more) + self.start)
            while True:
                await stream.write(self.piece)
                self.sent += len(self.piece)
                await asyncio.sleep(self.pause)
        finally:
            self.stopped = time.monotonic()


class EndlessSiteTest(SiteTest):
    def failed_attempts(self):
        return mock.patch.object(RequestLog, "attempt_failed")

    def suspected(self):
        return mock.patch.object(self.entry._book, "suspect", wraps=self.entry._book.suspect)


class PlainTargetTest(EndlessSiteTest):
    def all_send(self, reply):
        for target in self.site.targets:
            target.faults.raw_reply = reply

    def one_sends(self, reply):
        """Let the target that gets the next request send a reply, the others usual ones."""

        async def once(stream, request_id, first):
            self.all_send(None)
            await reply(stream, request_id, first)

        self.all_send(once)

    async def timed_reply(self, path, method="GET", **more):
        began = time.monotonic()
        reply, reader = await self.reply(path, method, **more)
        return reply.status, reader.body, time.monotonic() - began, reply.headers

    async def assert_moves(self, reply, seconds):
        self.one_sends(reply)
        with self.suspected() as suspect, self.failed_attempts() as failed:
            status, body, taken, _ = await self.timed_reply("/scan/x")
        self.assertEqual(status, 200)
        self.assertLess(len(body), 100)
        self.assertLess(taken, seconds)
        self.assertEqual(suspect.call_count, 1)
        return failed.call_args.args[1]

    async def test_repeatable_request_moves_from_a_reply_without_end(self):
        reason = await self.assert_moves(Endless(PIECE), PROMPTLY)
        self.assertEqual(reason, OVER_LIMIT)

    async def test_repeatable_request_moves_from_a_reply_of_a_huge_length(self):
        reply = Endless(PIECE, "Content-Length: 99999999999")
        self.assertEqual(await self.assert_moves(reply, PROMPTLY), OVER_LIMIT)

    async def test_request_that_may_not_be_repeated_gets_502_at_once(self):
        self.all_send(Endless(PIECE))
        status, _, seconds, headers = await self.timed_reply("/pay/x", "POST")
        self.assertEqual(status, 502)
        self.assertNotIn("Retry-After", headers)
        self.assertLess(seconds, PROMPTLY)

    async def test_replies_without_end_share_a_limit_of_memory(self):
        # Each sends 15 MB and then waits, so that all of them are kept at the same time.
        async def large(stream, request_id, first):
            await stream.write(head(request_id))
            for _ in range(240):
                await stream.write(PIECE)
            await stream.read_until_close()

        self.all_send(large)
        begun, most_kept = weakref.WeakSet(), 0
        receive = attempts.Attempt.headers

        def note(run, *reply):
            begun.add(run)
            receive(run, *reply)

        with mock.patch.object(attempts.Attempt, "headers", note):
            asked = asyncio.gather(*(self.timed_reply("/pay/x", "POST") for _ in range(20)))
            while not asked.done():
                kept = sum(len(c) for run in begun for c in run.chunks)
                most_kept = max(most_kept, kept)
                await asyncio.sleep(0.02)
        found = await asked
        self.assertLess(most_kept, 70 << 20)
        self.assertLessEqual({status for status, *_ in found}, {502, 503, 504})
        self.assertIn(502, [status for status, *_ in found])
        for status, body, *_ in found:
            if status == 502:
                self.assertIn(b"the replies under way are over 67108864 bytes", body)
        self.assertEqual(self.entry._context.reply_memory.taken, 0)
        self.all_send(None)
        await until(lambda: not self.entry._book.is_suspect("t-0", time.monotonic()))
        self.assertEqual((await self.timed_reply("/scan/x"))[0], 200)

    async def test_unsigned_reply_without_end_is_left_after_little(self):
        reason = await self.assert_moves(Endless(PIECE, seal=False), PROMPTLY)
        self.assertEqual(reason, f"the reply's body is over {attempts.MAX_IGNORED_BYTES} bytes")

    async def test_rejection_without_end_is_left_after_little(self):
        reply = Endless(PIECE, "Not-Executed: 1", seal=False, status="503 Service Unavailable")
        reason = await self.assert_moves(reply, PROMPTLY)
        self.assertEqual(reason, f"the reply's body is over {attempts.MAX_IGNORED_BYTES} bytes")

    async def test_reply_that_trickles_does_not_keep_a_repeatable_request(self):
        await self.assert_moves(Endless(b"x", pause=0.02), 2.5)

    async def test_reply_that_comes_slowly_but_steadily_is_passed_on(self):
        content = PIECE[:20000] * 10

        async def slow(stream, request_id, first):
            await stream.write(head(request_id, f"Content-Length: {len(content)}"))
            for start in range(0, len(content), 20000):
                await stream.write(content[start : start + 20000])
                await asyncio.sleep(0.3)

        self.all_send(slow)
        status, body, seconds, _ = await self.timed_reply("/scan/x")
        self.assertEqual((status, body == content), (200, True))
        self.assertGreater(seconds, 2.5)

    async def test_unsigned_reply_that_trickles_does_not_keep_a_repeatable_request(self):
        await self.assert_moves(Endless(b"x", pause=0.02, seal=False), 2.5)

    async def test_large_answer_is_passed_on(self):
        content = PIECE * 64

        async def large(stream, request_id, first):
            await stream.write(head(request_id, f"Content-Length: {len(content)}") + content)

        self.all_send(large)
        for path, method in (("/scan/x", "GET"), ("/pay/x", "POST")):
            status, body, _, _ = await self.timed_reply(path, method)
            self.assertEqual((status, body == content), (200, True))


class StreamTest(EndlessSiteTest):
    hosts = 12
    events = ("Content-Type: text/event-stream",)

    async def stream(self, **more):
        began = time.monotonic()
        result, reader = await self.ask("/read/x", "POST", model=SMALL, **more)
        return result, reader, time.monotonic() - began

    async def test_event_without_end_is_left_for_another_target(self):
        first = b"id: 0\ndata: piece 0\n\nid: 1\ndata: "
        self.site.engines.raw_reply = Endless(PIECE, *self.events, start=first)
        with self.failed_attempts() as failed:
            _, reader, seconds = await self.stream()
        self.assert_complete_stream(reader)
        self.assertLess(seconds, 2.0)
        reason = failed.call_args_list[0].args[1]
        self.assertEqual(reason, f"an event is over {attempts.MAX_EVENT_BYTES} bytes")

    async def leave_unnumbered(self, piece, pause):
        start = b"id: 0\ndata: piece 0\n\n"
        reply = Endless(piece, *self.events, pause=pause, start=start)
        self.site.engines.raw_reply = reply
        with self.failed_attempts() as failed:
            _, reader, seconds = await self.stream()
        self.assert_complete_stream(reader)
        self.assertLess(seconds, 2.0)
        return failed.call_args_list[0].args[1]

    async def test_events_without_ids_do_not_go_on_without_end(self):
        reason = await self.leave_unnumbered(b"data: " + PIECE + b"\n\n", 0.005)
        self.assertEqual(reason, "events without an id are over 1048576 bytes")

    async def test_stream_that_never_has_an_id_is_limited_like_a_reply(self):
        reply = Endless(b"data: " + PIECE + b"\n\n", *self.events)
        self.site.engines.raw_reply = reply
        with (
            self.failed_attempts() as failed,
            mock.patch.object(ResponseRecorder, "max_body", lambda *limit: None),
        ):
            _, reader, _ = await self.stream()
        self.assert_complete_stream(reader)
        reason = failed.call_args_list[0].args[1]
        self.assertEqual(reason, f"events without an id are over {MAX_REPLY_BYTES} bytes")

    async def test_comments_do_not_keep_a_stream_that_has_stalled(self):
        reason = await self.leave_unnumbered(b": x\n\n", 0.02)
        self.assertIn("no progress", reason)

    async def test_stream_of_any_length_is_passed_on(self):
        count = 400
        stream = [b"id: %d\ndata: %s\n\n" % (n, PIECE) for n in range(count)]

        async def long(stream_to, request_id, first):
            await stream_to.write(head(request_id, *self.events))
            for event in stream[first:]:
                await stream_to.write(event)

        self.site.engines.raw_reply = long
        reader, writer = await asyncio.open_connection(*self.entry._settings.callers.split(":"))
        body = b"x"
        writer.write(
            b"POST /read/x HTTP/1.0\r\nHost: yard.example\r\nAttempt-Id: r\r\n"
            b"Authorization: Bearer key-a\r\nDeadline-Ms: 4000\r\nModel: %s\r\n"
            b"Token-Counts: 100,80\r\nPrompt-Prefix: ab:100\r\nContent-Length: %d\r\n\r\n%s"
            % (SMALL.encode(), len(body), body)
        )
        received = await asyncio.wait_for(reader.read(-1), 8.0)
        writer.close()
        _, _, got = received.partition(b"\r\n\r\n")
        self.assertTrue(got == b"".join(stream), len(got))


class SplitterTest(unittest.TestCase):
    def test_event_without_end_costs_time_in_proportion_to_its_length(self):
        splitter = EventSplitter()
        began = time.process_time()
        for _ in range(8192):
            splitter.feed(b"x" * 128)
        self.assertLess(time.process_time() - began, 0.2)


if __name__ == "__main__":
    unittest.main()
