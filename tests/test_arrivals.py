"""When requests arrive at targets, and what log lines tell of it."""

import asyncio
import random
import unittest
from collections import Counter
from unittest import mock

from oleanderhill_dev.bench_site import free_address
from oleanderhill_dev.users.cut_links import Cut
from oleanderhill_dev.users.engines import TargetFaults
from oleanderhill_dev.users.faulty_link import FaultyLink, LinkState
from oleanderhill_dev.users.site import LARGE, SMALL, until
from returns.pipeline import is_successful
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from oleanderhill.clients.httpcall import Call, FailureKind, HttpCaller
from oleanderhill.clock import boottime_seconds

from .test_cut_off import CutSiteTest

KINDS = (("/scan/x", "GET", ""), ("/read/x", "POST", LARGE), ("/read/x", "POST", SMALL))


class ArrivalLogTest(CutSiteTest):
    entries = 1

    async def ask_logged(self, path, method="GET", model=""):
        """Send a request; return its log lines as pairs of name and fields."""
        lines, records = [], self.entry._context.records
        with mock.patch.object(records, "request", lambda *a, **f: lines.append((a[1], f))):
            result, _ = await self.ask(path, method, model=model)
        self.assertTrue(is_successful(result))
        return lines

    def arrivals(self):
        targets = self.site.targets
        return [a for t in targets for a in t.arrivals if a.request_id == self.request_id]

    async def test_path_tells_a_failed_connection_from_a_request_that_arrived(self):
        self.cut_off(Cut.REFUSED, 0)
        path = (await self.ask_logged("/scan/x"))[-1][1]["path"]
        self.assertEqual(self.arrivals(), [])
        self.assertTrue(path)
        self.assertTrue(all(place.endswith(" not sent") for place in path), path)

    async def test_sends_and_path_agree_with_what_the_targets_received(self):
        for target in self.site.targets:
            target.faults.reset = 1
        lines = await self.ask_logged("/scan/x")
        arrivals = len(self.arrivals())
        self.assertGreater(arrivals, 1)
        path = [place for place in lines[-1][1]["path"] if not place.endswith(" not sent")]
        self.assertEqual(len(path), arrivals)
        self.assertTrue(path[0].endswith(" no reply"), path)
        again = [fields["number"] for what, fields in lines if what == "sent again"]
        self.assertEqual(again, list(range(2, arrivals + 1)))
        sends = self.entry.exposition.sends()
        self.assertEqual(sends, {"desk first": 1, "desk again": arrivals - 1})

    def lose_first_answer_then_be_slow(self, seconds):
        faults = TargetFaults()
        faults.reset, faults.slow = 1, seconds
        for target in self.site.targets:
            target.faults = faults

    def count_retries(self):
        """Return the budget of the plain service with counted calls."""
        budget = mock.Mock(wraps=self.entry._retry_budget("desk"))
        self.entry._retry_budget_by_service["desk"] = budget
        return budget

    async def test_budgets_know_since_when_the_hosts_are_listed(self):
        held, read_at = self.entry._retry_budget("desk"), self.entry._listed_since
        self.assertLessEqual(read_at, boottime_seconds())
        held.listed_since = float("inf")
        await until(lambda: held.listed_since == read_at)
        self.assertEqual(self.entry._retry_budget("new").listed_since, read_at)

    async def test_retry_counts_as_under_way_until_its_target_replies(self):
        self.lose_first_answer_then_be_slow(0.5)
        budget = self.count_retries()
        asking = asyncio.ensure_future(self.ask("/scan/x"))
        await until(lambda: len(self.arrivals()) == 2)
        self.assertEqual((budget.begin.call_count, budget.end.call_count), (1, 0))
        await asking
        self.assertEqual((budget.begin.call_count, budget.end.call_count), (1, 1))

    async def test_retry_of_a_caller_that_left_does_not_stay_under_way(self):
        self.lose_first_answer_then_be_slow(5.0)
        budget = self.count_retries()
        asking = asyncio.ensure_future(self.ask("/scan/x"))
        await until(lambda: len(self.arrivals()) == 2)
        budget.end.assert_not_called()
        asking.cancel()
        await until(lambda: budget.end.called, 1.0)


class ChargedArrivalsTest(CutSiteTest):
    """Counts what targets receive beside what the entry hosts charged to the budget."""

    hosts = 12

    async def test_each_arrival_beyond_the_first_was_charged(self):
        charged = Counter()
        for entry in self.site.entries:
            self.count_charged(entry, charged)
        rng = random.Random(53)
        asking = []
        for turn in range(12):
            self.site.engines.break_at_event = rng.choice((0, 3))
            for target in self.site.targets:
                target.faults.reset, target.faults.shed = rng.choice(((0, 0), (2, 0), (0, 2)))
            if turn % 4 == 0:
                # The stand-in of a silent link can't take over a connection that is being opened.
                await asyncio.gather(*asking)
                self.cut_off(Cut.SILENT, *rng.sample(range(3), rng.randint(1, 2)))
            elif rng.random() < 0.6:
                how = rng.choice((Cut.REFUSED, Cut.OPEN_LIVE_ON))
                self.cut_off(how, *rng.sample(range(3), rng.randint(1, 2)))
            for _ in range(12):
                path, method, model = rng.choice(KINDS)
                entry = rng.choice(self.site.entries)
                asked = self.ask(path, method, entry=entry, model=model)
                asking.append(asyncio.ensure_future(asked))
            await asyncio.sleep(0.25)
            for number in range(3):
                self.site.links.heal(f"entry-{number}")
        await asyncio.gather(*asking)
        arrivals = [a for t in self.site.targets for a in t.arrivals] + self.site.engines.arrivals
        received = Counter(a.request_id for a in arrivals)
        self.assertGreater(sum(charged.values()), 10)
        self.assertEqual({i: n for i, n in received.items() if n > 1 + charged[i]}, {})

    def count_charged(self, entry, charged):
        write = entry._context.records.request

        def record(request_id, what, succeeded, **fields):
            charged[request_id] += what == "retry"
            write(request_id, what, succeeded, **fields)

        patch = mock.patch.object(entry._context.records, "request", record)
        patch.start()
        self.addCleanup(patch.stop)


class AbandonedRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.arrived = []
        self.server = HTTPServer(self.receive)
        address = free_address()
        ip, port = address.rsplit(":", 1)
        self.server.listen(int(port), ip)
        self.link = FaultyLink(free_address(), address)
        await self.link.start()
        self.caller = HttpCaller(monitored=True)

    async def asyncTearDown(self):
        self.caller.close()
        self.link.stop()
        self.server.stop()
        await self.server.close_all_connections()

    def receive(self, request):
        self.arrived.append(request.path)
        request.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        request.connection.finish()

    def call(self, path):
        return self.caller.call(Call(self.link.address, "POST", path, {}, b"x" * 10, reuse=True))

    async def test_request_given_up_on_a_silent_link_does_not_arrive_when_the_link_is_back(self):
        await self.call("/before")
        self.link.state = LinkState.SILENT
        for path in ("/by-idle-connection", "/by-new-connection"):
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(self.call(path), 0.2)
        self.link.state = LinkState.HEALTHY
        await self.call("/after")
        await until(lambda: "/after" in self.arrived)
        await asyncio.sleep(0.2)
        self.assertEqual(self.arrived, ["/before", "/after"])

    async def test_connection_that_is_reset_as_it_opens_counts_as_not_opened(self):
        def close_at_once(stream, address):
            stream.close()
            opened = asyncio.get_running_loop().create_future()
            opened.set_result(stream)
            return opened

        with mock.patch.object(IOStream, "connect", close_at_once):
            failure = (await self.call("/x")).failure()
        self.assertEqual((failure.kind, failure.sent), (FailureKind.NOT_CONNECTED, False))
        self.assertEqual(self.caller.opened, 0)
