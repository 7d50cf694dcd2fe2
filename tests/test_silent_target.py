"""Sound targets that send nothing for about a second and then go on."""

import asyncio
import contextlib
import ctypes
import socket
import struct
import threading
import time
import unittest

from oleanderhill_dev.users.site import LARGE, until
from returns.pipeline import is_successful

from oleanderhill.clients.httpcall import Call, FailureKind, HttpCaller

from .test_users_site import SiteTest

SILENT_SECONDS = 1.1
LONGEST_SILENCE = 1.3
"""Seconds for which a sound target may be silent at most."""

PLAIN_SILENT_SECONDS = 2.2
"""Longer than a request stays at a plain target whose usual times are not known."""

USED_AGAIN_SECONDS = 2.0
"""Seconds after its silence within which a target gets requests again."""


class SilentTargetTest(SiteTest):
    """Targets answer nothing, neither requests nor probes, while they are silent."""

    def host(self, instance):
        return self.site.engines.host_by_instance[instance]

    def planned(self):
        return {g.name: g.epoch for p in self.entry._plans.by_key.values() for g in p.groups}

    def orders_to_take_apart(self, groups):
        """Return the orders by which members of these groups were to stop."""
        hosts = self.site.engines.host_by_instance.values()
        orders = [o for h in hosts for o in h.orders if o["operation"] in ("leave", "close")]
        return [o for o in orders if o["group"] in groups]

    async def begin_stream(self, model, events=60):
        """Begin a stream and return the task and its first run."""
        self.site.engines.events_per_stream = events
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=model))
        (run,) = await until(lambda: self.runs("request-1"))
        await asyncio.sleep(0.2)
        return asked, run

    async def assert_used_again(self, model, group):
        end = time.monotonic() + USED_AGAIN_SECONDS
        seen = len(self.site.engines.runs)
        self.site.engines.events_per_stream = 10
        while time.monotonic() < end:
            await asyncio.gather(*(self.ask("/read/x", "POST", model=model) for _ in range(4)))
            if any(r.group == group for r in self.site.engines.runs[seen:]):
                return
        self.fail("the group is not used again")


class GroupTest(SilentTargetTest):
    async def test_group_with_a_silent_head_stays(self):
        # The only group of its model: its stream waits, other requests arrive meanwhile.
        asked, run = await self.begin_stream(LARGE)
        before = self.planned()
        self.host(run.instance).silence.begin(SILENT_SECONDS)
        others = [asyncio.create_task(self.ask("/read/x", "POST", model=LARGE)) for _ in range(3)]
        _, reader = await asked
        self.assert_complete_stream(reader)
        for result, other in await asyncio.gather(*others):
            self.assertEqual(result.unwrap().status, 200)
            self.assert_complete_stream(other)
        await asyncio.sleep(1.0)
        self.assertEqual(self.orders_to_take_apart(before), [])
        self.assertEqual(self.planned(), before)
        await self.assert_used_again(LARGE, run.group)

    async def test_group_with_a_silent_member_stays(self):
        # The member answers no probes, and the head waits for it.
        asked, run = await self.begin_stream(LARGE)
        before = self.planned()
        for instance in (run.instance, self.host(run.instance).members[1]):
            self.host(instance).silence.begin(SILENT_SECONDS)
        _, reader = await asked
        self.assert_complete_stream(reader)
        await asyncio.sleep(1.0)
        self.assertEqual(self.orders_to_take_apart(before), [])
        self.assertEqual(self.planned(), before)

    async def test_group_whose_streams_moved_stays_and_is_used_again(self):
        model = await self.model_with_two_groups()
        asked, run = await self.begin_stream(model)
        before = self.planned()
        self.host(run.instance).silence.begin(SILENT_SECONDS)
        _, reader = await asked
        self.assert_complete_stream(reader)
        self.assertEqual([r.resumed_after is None for r in self.runs("request-1")], [True, False])
        await asyncio.sleep(SILENT_SECONDS)
        self.assertEqual(self.orders_to_take_apart(before), [])
        self.assertLessEqual(before.items(), self.planned().items())
        await self.assert_used_again(model, run.group)


class StreamTest(SilentTargetTest):
    """The last send of a stream is refused while the silent group still has it."""

    def refuse(self, *heads):
        for head in heads:
            head.notices.backoff = "0.1"

    async def assert_goes_on(self, asked, head, others):
        result, reader = await asked
        self.assertEqual(result.unwrap().status, 200)
        self.assert_complete_stream(reader)
        self.assertTrue(any(other.notices.arrivals for other in others))
        self.assertEqual([r.instance for r in self.runs("request-1")], [head.instance])
        self.assertEqual(self.entry._book.own, {})

    async def heads(self):
        model = await self.model_with_two_groups()
        candidates = self.entry.candidates("pool", model)
        return model, [self.host(c.host.instance.name) for c in candidates]

    async def test_begun_stream_goes_on_where_it_was_if_the_other_group_refuses(self):
        model, heads = await self.heads()
        asked, run = await self.begin_stream(model)
        head = self.host(run.instance)
        others = [h for h in heads if h is not head]
        head.silence.begin(SILENT_SECONDS)
        self.refuse(*others)
        await self.assert_goes_on(asked, head, others)

    async def test_stream_before_its_first_event_goes_on_if_the_other_group_refuses(self):
        model, heads = await self.heads()
        for head in heads:
            head.silence.begin(SILENT_SECONDS)
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=model))
        arrivals = self.site.engines.arrivals
        await until(lambda: any(a.request_id == "request-1" for a in arrivals))
        await until(lambda: self.entry._book.own)
        (group,) = self.entry._book.own
        head = next(h for h in heads if h.group["name"] == group)
        others = [h for h in heads if h is not head]
        self.refuse(*others)
        for other in others:
            other.silence.begin(0.0)
        await self.assert_goes_on(asked, head, others)

    async def test_begun_stream_goes_on_where_it_was_if_the_other_group_is_silent_for_longer(self):
        model, heads = await self.heads()
        asked, run = await self.begin_stream(model)
        head = self.host(run.instance)
        head.silence.begin(SILENT_SECONDS)
        for other in heads:
            if other is not head:
                other.silence.begin(10 * SILENT_SECONDS)
        _, reader = await asked
        self.assert_complete_stream(reader)
        self.assertLess(reader.longest_pause, SILENT_SECONDS + 0.5)
        self.assertEqual(self.entry._book.own, {})

    async def test_caller_that_leaves_ends_the_run_that_was_held_back(self):
        model, heads = await self.heads()
        asked, run = await self.begin_stream(model, 400)
        head = self.host(run.instance)
        for other in heads:
            other.silence.begin(SILENT_SECONDS)
        await until(lambda: len(self.entry._book.own) > 1)
        asked.cancel()
        await until(lambda: self.entry.front.in_flight == 0, 2.0)
        self.assertEqual(self.entry._book.own, {})
        await until(lambda: not head.running, SILENT_SECONDS + 1.0)


SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A packet filter that drops everything."""


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A machine that acknowledges nothing for a while."""

    def serve(self, server, quiet, silent):
        """Answer one request after a quiet time and a silent one, without and with a filter."""
        code = ctypes.create_string_buffer(RETURN_NOTHING)
        connection, _ = server.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(4096)
            time.sleep(quiet)
            filter_all = struct.pack("HP", 1, ctypes.addressof(code))
            connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_all)
            time.sleep(silent)
            connection.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def call(self, quiet, silent):
        with socket.create_server(("127.0.0.1", 0)) as server:
            serving = threading.Thread(target=self.serve, args=(server, quiet, silent))
            serving.start()
            address = f"127.0.0.1:{server.getsockname()[1]}"
            call = Call(address, "POST", "/", timeout=quiet + silent + 1.0)
            result = await HttpCaller(monitored=True).call(call)
            await asyncio.to_thread(serving.join)
        return result

    async def test_connection_outlasts_a_silence_whenever_it_begins(self):
        starts = [n / 10 for n in range(11)]
        results = await asyncio.gather(*(self.call(q, LONGEST_SILENCE) for q in starts))
        failures = [q for q, r in zip(starts, results, strict=True) if not is_successful(r)]
        self.assertEqual(failures, [])

    async def test_connection_that_stays_silent_is_closed(self):
        failure = (await self.call(0.5, 5.0)).failure()
        self.assertEqual((failure.kind, failure.sent), (FailureKind.LOST, True))


class PlainTest(SilentTargetTest):
    def setUp(self):
        self.ran = lambda: [i for t in self.site.targets for i in t.ran]

    async def serve_in_silence(self, path, method, *silent):
        """Send requests to all targets and let some fall silent as soon as they run."""
        for target in self.site.targets:
            target.faults.slow = 0.1
        asked = [asyncio.create_task(self.ask(path, method)) for _ in range(6)]
        await until(lambda: len(self.ran()) == 6)
        for target in silent:
            target.silence.begin(SILENT_SECONDS)
        return [result.unwrap().status for result, _ in await asyncio.gather(*asked)]

    async def test_request_that_may_run_once_is_waited_for(self):
        statuses = await self.serve_in_silence("/pay/x", "POST", *self.site.targets)
        self.assertEqual(statuses, [200] * 6)
        self.assertEqual(len(self.ran()), len(set(self.ran())))

    async def test_request_that_may_be_repeated_is_answered(self):
        first, second = self.site.targets
        for silent in ((first,), (first, second)):
            for target in self.site.targets:
                target.ran.clear()
            statuses = await self.serve_in_silence("/scan/x", "GET", *silent)
            self.assertEqual(statuses, [200] * 6)

    async def test_request_moved_to_a_target_that_refuses_is_answered_where_it_was(self):
        for _ in range(5):
            await self.send_at_rate(40, 0.2, "/scan/x")
        for target in self.site.targets:
            target.ran.clear()
            target.faults.slow = 0.1
        silent, other = self.site.targets
        asked = [asyncio.create_task(self.ask("/scan/x")) for _ in range(6)]
        await until(lambda: len(self.ran()) == 6)
        silent.silence.begin(SILENT_SECONDS)
        other.faults.shed = 9
        answers = await asyncio.gather(*asked)
        self.assertEqual([result.unwrap().status for result, _ in answers], [200] * 6)
        self.assertLess(other.faults.shed, 9)

    async def test_request_is_answered_where_it_was_if_the_other_target_is_silent_for_longer(self):
        first, second = self.site.targets
        for target in self.site.targets:
            target.faults.slow = 0.1
        asked = asyncio.create_task(self.ask("/scan/x"))
        await until(self.ran)
        if second.ran:
            first, second = second, first
        first.silence.begin(PLAIN_SILENT_SECONDS)
        second.silence.begin(10 * SILENT_SECONDS)
        result, _ = await asked
        self.assertEqual(result.unwrap().status, 200)
        self.assertEqual(self.entry._book.own, {})

    async def test_target_is_used_again_soon(self):
        silent = self.site.targets[0]
        await self.serve_in_silence("/scan/x", "GET", silent)
        await asyncio.sleep(SILENT_SECONDS)
        seen = len(silent.ran)
        end = time.monotonic() + USED_AGAIN_SECONDS
        while len(silent.ran) == seen and time.monotonic() < end:
            await asyncio.gather(*(self.ask("/scan/x") for _ in range(4)))
        self.assertGreater(len(silent.ran), seen)


class LoadTest(SilentTargetTest):
    """Requests of all kinds are under way, and more arrive, as targets fall silent."""

    entries = 2
    seconds = 2.5

    async def send(self, kind, path, method="GET", model=""):
        """Send requests to the entry hosts in turn; return statuses and readers."""
        asked, end = [], time.monotonic() + self.seconds
        while time.monotonic() < end:
            number = len(asked)
            entry, name = self.site.entries[number % 2], f"{kind}-{number}"
            sent = self.ask(path, method, entry=entry, model=model, Attempt_Id=name)
            asked.append(asyncio.create_task(sent))
            await asyncio.sleep(0.07)
        answers = await asyncio.gather(*asked)
        return [(r.unwrap().status if is_successful(r) else 0, reader) for r, reader in answers]

    async def test_all_are_answered_and_the_group_stays(self):
        model = await self.model_with_two_groups()
        self.site.engines.events_per_stream = 30
        for target in self.site.targets:
            target.faults.slow = 0.05
        before = self.planned()
        sending = [
            asyncio.create_task(self.send("read", "/read/x", "POST", model)),
            asyncio.create_task(self.send("scan", "/scan/x")),
            asyncio.create_task(self.send("pay", "/pay/x", "POST")),
        ]
        await asyncio.sleep(0.7)
        head = self.host(self.entry.candidates("pool", model)[0].host.instance.name)
        for member in head.members:
            self.host(member).silence.begin(SILENT_SECONDS)
        self.site.targets[0].silence.begin(SILENT_SECONDS)
        answers = await asyncio.gather(*sending)
        statuses = {status for part in answers for status, _ in part}
        self.assertEqual(statuses, {200})
        for _, reader in answers[0]:
            self.assert_complete_stream(reader)
        paid = [i for t in self.site.targets for i in t.ran if i.startswith("pay")]
        self.assertEqual(len(paid), len(set(paid)))
        self.assertEqual(self.orders_to_take_apart(before), [])
        self.assertLessEqual(before.items(), self.planned().items())
