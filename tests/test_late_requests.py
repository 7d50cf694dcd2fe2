"""Requests that reach an entry host late in its shutdown, on stand-ins for the users' platform."""

import asyncio
import os
import signal
import time
from unittest import mock

from oleanderhill_dev.users.site import LARGE, StandInSite, until

from oleanderhill.platform.entry import EntryHost
from oleanderhill.serving import front

from .test_users_site import HOST, SiteTest

GRACE_SECONDS = 4.0
LISTENING_SECONDS = 0.3
EVENTS_PER_SECOND = 50
"""Upper bound: the stand-in pauses for 20 ms after each event."""


class ShortGraceSite(StandInSite):
    """A site whose entry hosts have a short grace period."""

    def settings(self, name, data_centre="hall"):
        return super().settings(name, data_centre)._replace(grace_seconds=GRACE_SECONDS)


class LateTest(SiteTest):
    make_site = ShortGraceSite

    async def asyncSetUp(self):
        patch = mock.patch.object(front, "STOP_LISTENING_AFTER", LISTENING_SECONDS)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        self.lines = []
        note = self.entry._records.note

        def record(part, what, **fields):
            self.lines.append((part, what, fields))
            note(part, what, **fields)

        patch = mock.patch.object(self.entry._records, "note", record)
        patch.start()
        self.addCleanup(patch.stop)

    def found(self, what):
        return [f for part, name, f in self.lines if (part, name) == ("request", what)]

    async def shut_down(self):
        """End the server for callers as the process does after a stop signal."""
        await self.entry.front.drain()
        await self.entry.front.stop()

    def runs(self, request_id):
        return [r for r in self.site.engines.runs if r.request_id == request_id]

    def counted(self, outcome):
        text = self.entry.exposition.text().decode()
        lines = (line for line in text.splitlines() if f'outcome="{outcome}"' in line)
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if "_total{" in line)


class OutlastedTest(LateTest):
    async def test_stream_that_its_process_cuts_off_has_a_line_with_its_times(self):
        self.site.engines.events_per_stream = int(GRACE_SECONDS * 2 * EVENTS_PER_SECOND)
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=LARGE))
        await until(lambda: self.runs("request-1"))
        await self.entry.front.drain()
        await asked
        (line,) = self.found("outlasted")
        self.assertEqual((line["request_id"], line["route"]), ("request-1", "read"))
        self.assertLessEqual(line["after_stop_ms"], 0)
        self.assertGreater(line["deadline_left_ms"], 0)
        self.assertEqual(len(line["path"]), 1)
        self.assertEqual(self.counted("outlasted"), 1)


class ConnectionTest(LateTest):
    """Requests on one connection, opened before the shutdown."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.site.engines.events_per_stream = 40
        ip, port = self.entry.callers.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.addCleanup(self.writer.close)

    def send(self, request_id, path="/read/x", body=b"x", **headers):
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\nModel: {LARGE}"
        fields = {"Authorization": "Bearer key-a", "Content-Length": "1", **headers}
        lines = "".join(f"\r\n{name.replace('_', '-')}: {v}" for name, v in fields.items())
        self.writer.write(f"{head}{lines}\r\n\r\n".encode() + body)

    def drain(self):
        """Begin the shutdown."""
        stopped = asyncio.create_task(self.shut_down())
        self.addAsyncCleanup(asyncio.wait_for, stopped, 2 * GRACE_SECONDS)

    async def rest(self):
        """Return all that arrives until the connection is closed."""
        async with asyncio.timeout(2 * GRACE_SECONDS):
            return await self.reader.read()


class KeptConnectionTest(ConnectionTest):
    """A second request follows a stream that ran when the shutdown began, on its connection."""

    async def drain_with_stream(self):
        """Begin to drain beside a stream, and return when that is complete and the time is late."""
        self.send("first")
        self.assertNotIn(b"close", await self.reader.readuntil(b"\r\n\r\n"))
        self.drain()
        await self.reader.readuntil(b"\r\n0\r\n\r\n")

    async def test_stream_that_may_outlast_its_process_is_refused_as_not_run(self):
        await self.drain_with_stream()
        self.site.engines.events_per_stream = int(GRACE_SECONDS * EVENTS_PER_SECOND)
        self.send("second")
        answer = await self.rest()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:200])
        self.assertIn(b"Connection: close", answer)
        self.assertIn(b'"ran": "no"', answer)
        self.assertEqual(self.runs("second"), [])
        (line,) = self.found("draining")
        self.assertEqual((line["request_id"], line["status"]), ("second", 503))
        self.assertRegex(line["reason"], r"may take [\d.]+ s, and this entry host ends in [\d.]+ s")
        self.assertEqual(self.counted("draining"), 1)

    async def test_refused_caller_is_told_to_return_at_once(self):
        await self.drain_with_stream()
        self.send("second")
        self.assertIn(b"Retry-After: 0.00\r\n", await self.rest())

    async def test_stream_that_ends_before_its_process_is_served(self):
        await self.drain_with_stream()
        self.site.engines.events_per_stream = 20
        self.send("second", Deadline_Ms=int(GRACE_SECONDS * 300))
        answer = await self.rest()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.assertTrue(answer.endswith(b"data: piece 19\n\n\r\n0\r\n\r\n"), answer[-200:])


class LaterDecisionTest(ConnectionTest):
    """Requests that arrived early in the shutdown, and may be sent to a target late in it."""

    def ran(self, request_id):
        return sum(request_id in target.ran for target in self.site.targets)

    async def test_request_whose_body_comes_late_is_refused_as_not_run(self):
        self.drain()
        self.send("body", "/pay/x", b"")
        await asyncio.sleep(2 * LISTENING_SECONDS)
        self.writer.write(b"x")
        answer = await self.rest()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:200])
        self.assertEqual(self.ran("body"), 0)

    async def test_request_that_its_target_rejects_late_is_refused_as_not_run(self):
        for target in self.site.targets:
            target.silence.begin(2 * LISTENING_SECONDS)
            target.faults.shed = 1
        self.drain()
        self.send("shed", "/scan/x")
        answer = await self.rest()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:200])
        self.assertEqual(self.ran("shed"), 0)
        self.assertEqual(len(self.found("draining")), 1)

    async def test_request_that_may_have_run_is_tried_again_late(self):
        for target in self.site.targets:
            target.silence.begin(2 * LISTENING_SECONDS)
        self.site.targets[0].faults.reset = self.site.targets[1].faults.reset = 1
        self.drain()
        self.send("lost", "/scan/x")
        answer = await self.rest()
        self.assertEqual(self.ran("lost"), 2)
        self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer[:200])


class StopSignalTest(LateTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(signal.set_wakeup_fd, -1)
        settings = self.site.settings("entry-stopped")
        self.stopped = EntryHost(settings, os.open(os.devnull, os.O_WRONLY))
        self.running = asyncio.create_task(self.stopped.run())
        await until(lambda: self.stopped.front.ready)

    async def test_end_counts_from_the_signal_though_the_event_loop_is_held_up(self):
        first_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.5)
        handled_from = time.monotonic()
        os.kill(os.getpid(), signal.SIGINT)
        await asyncio.wait_for(self.running, 2 * GRACE_SECONDS)
        requested_at = self.stopped.front.shutdown.requested_at
        self.assertTrue(first_at <= requested_at < handled_from, requested_at - first_at)
