"""Entry hosts whose process is held up for a while."""

import asyncio
import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from oleanderhill.clients.httpcall import Call, FailureKind, HttpCaller
from oleanderhill.clock import HELD_UP_SECONDS, LateTimer
from oleanderhill.requests import attempts
from oleanderhill.requests.exchange import STALL_CHECK_INTERVAL, Exchange

from .test_users_site import SiteTest

PAUSE_SECONDS = 1.0
"""Longer than a plain target may take, once its usual times are known."""


class HeldUpTest(SiteTest):
    """The targets share the process, so they are held up as well."""

    async def assert_nothing_moves(self, path, method="GET", model="", count=4):
        for _ in range(5):
            await self.send_at_rate(40, 0.2, path, method, model)
        moved = []
        lost = mock.patch.object(
            self.entry._quarantine, "attempt_lost", lambda *a: moved.append(a[1])
        )
        loop = asyncio.get_running_loop()
        with lost:
            for step in range(5):
                asked = [
                    asyncio.ensure_future(self.ask(path, method, model=model)) for _ in range(count)
                ]
                loop.call_later(step * 0.008, time.sleep, PAUSE_SECONDS)
                for result, _ in await asyncio.gather(*asked):
                    self.assertEqual(result.unwrap().status, 200)
        self.assertEqual(moved, [])

    async def test_requests_to_plain_targets_stay_where_they_are(self):
        await self.assert_nothing_moves("/scan/x")

    async def test_streams_stay_where_they_are(self):
        model = await self.model_with_two_groups()
        await self.assert_nothing_moves("/read/x", "POST", model)


class ExpectContinueTest(unittest.IsolatedAsyncioTestCase):
    """The server answers in time, from a thread of its own."""

    async def call(self, pause, answers=True):
        with socket.create_server(("127.0.0.1", 0)) as server:
            serving = threading.Thread(target=self.serve, args=(server, answers))
            serving.start()
            address = f"127.0.0.1:{server.getsockname()[1]}"
            request = Call(
                address, "POST", "/", body=b"body", connect_timeout=0.2, expect_continue=True
            )
            asked = asyncio.ensure_future(HttpCaller().call(request))
            asyncio.get_running_loop().call_later(0.02, time.sleep, pause)
            result = await asked
            serving.join()
        return result

    def serve(self, server, answers):
        connection, _ = server.accept()
        with connection:
            connection.recv(4096)
            if not answers:
                with contextlib.suppress(ConnectionResetError):
                    connection.recv(4096)
                return
            time.sleep(0.05)
            connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            connection.recv(4096)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test_a_server_that_asks_for_the_body_during_a_pause_gets_it(self):
        self.assertEqual((await self.call(0.5)).unwrap().status, 200)

    async def test_a_silent_server_is_given_up_also_after_a_pause(self):
        for pause in (0.0, 0.5):
            began = time.monotonic()
            failure = (await self.call(pause, answers=False)).failure()
            self.assertEqual((failure.kind, failure.sent), (FailureKind.TIMEOUT, False))
            self.assertLess(time.monotonic() - began, 0.2 + 2 * pause + 0.2)


class LateTimerTest(unittest.TestCase):
    def test_extends_once_after_each_progress(self):
        timer, late = LateTimer(), 2 * HELD_UP_SECONDS
        self.assertEqual(timer.extension(HELD_UP_SECONDS / 2, 1.0), 0.0)
        self.assertEqual(timer.extension(late, 1.0), late)
        self.assertEqual(timer.extension(late, 1.0), 0.0)
        self.assertEqual(timer.extension(late, 2.0), late)


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """An exchange of the project's own interface, without a target."""

    def setUp(self):
        stall_timeouts = mock.Mock()
        stall_timeouts.first_token.return_value.limit.return_value = STALL_CHECK_INTERVAL / 2
        rest = [mock.MagicMock() for _ in range(9)]
        with mock.patch("oleanderhill.requests.exchange.identity"):
            self.exchange = Exchange(*rest[:6], stall_timeouts, *rest[6:8])
        self.exchange._machine = mock.Mock(phase=attempts.Phase.SENT, attempt=1)
        self.exchange._attempt_task = mock.Mock()
        self.exchange._last_progress_at = time.monotonic()

    async def test_an_event_that_arrives_while_the_process_is_held_up_is_no_stall(self):
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, time.sleep, 2 * STALL_CHECK_INTERVAL)
        answered = attempts.Finished(1)
        loop.call_later(STALL_CHECK_INTERVAL + 0.05, self.exchange._events.put_nowait, answered)
        self.assertIs(await self.exchange._next_event(), answered)

    async def test_a_target_that_stays_silent_is_still_noticed(self):
        asyncio.get_running_loop().call_later(0.05, time.sleep, 2 * STALL_CHECK_INTERVAL)
        event = await self.exchange._next_event()
        self.assertIsInstance(event, attempts.Lost)
