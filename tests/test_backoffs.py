"""Back-offs: a target rejects a request and asks to be sent none for some time."""

import asyncio
import random
import time
import unittest

from oleanderhill_dev.users.site import until
from tornado.httputil import HTTPHeaders

from oleanderhill.groups.actions import Leave, OrderOutcome
from oleanderhill.groups.inventory import Instance, TargetHost
from oleanderhill.platform.headers import DEFAULT_BACKOFF_SECONDS, HeaderCodec
from oleanderhill.routing.backoffs import Backoffs
from oleanderhill.serving import retry_delay
from oleanderhill.serving.placement import Candidate, LoadTracker

from .test_users_site import SiteTest

BACKOFF = 3.0
"""Back-off in seconds that the targets of these tests request."""

IN_FLIGHT = 0.5
"""Seconds after the first request in which requests sent before its answer may still arrive."""


def requests_during_backoff(notices):
    """Return how many requests arrived during the back-off that the first answer requested."""
    first = notices.arrivals[0]
    return sum(first + IN_FLIGHT < at < first + BACKOFF for at in notices.arrivals)


class BackoffTest(SiteTest):
    async def heads(self):
        """Return the heads of two groups of a model, and the model."""
        model = await self.model_with_two_groups()
        found = await until(lambda: self.entry.candidates("pool", model))
        by_instance = self.site.engines.host_by_instance
        return [by_instance[c.host.instance.name] for c in found[:2]], model

    async def test_head_backed_off_from_gets_nothing_while_its_streams_go_on(self):
        heads, model = await self.heads()
        self.site.engines.events_per_stream = 200
        streams = [asyncio.create_task(self.ask("/read/x", "POST", model=model)) for _ in range(4)]
        await until(lambda: all(h.notices.arrivals for h in heads))
        self.site.engines.events_per_stream = 10
        notices = heads[0].notices
        notices.arrivals.clear()
        notices.backoff = str(BACKOFF)
        await self.wait_for_first_notice(notices, "/read/x", "POST", model)
        answers = await self.send_at_rate(12, BACKOFF, "/read/x", "POST", model)
        self.assertEqual(requests_during_backoff(notices), 0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})
        await asyncio.gather(*streams)

    async def test_callers_are_refused_at_once_where_all_are_backed_off_from(self):
        # The requests are not run; the answers contain a retry delay that does not end before the
        # first back-off does.
        for target in self.site.targets:
            target.notices.backoff = str(BACKOFF)
        await until_all_rejected(self)
        answers = await self.send_at_rate(20, BACKOFF - 1.0, "/scan/x")
        for target in self.site.targets:
            self.assertEqual(requests_during_backoff(target.notices), 0)
        for reply, took in answers:
            self.assertEqual(reply.status, 503)
            self.assertLess(took, 0.3)
            self.assertGreater(float(reply.headers["Retry-After"]), 0.5)

    async def test_target_is_used_again_when_its_time_is_over(self):
        # An idle target is not chosen while another with open connections is idle too.
        other = self.site.targets[1]
        self.site.store.delete(f"servers/{other.instance}")
        await until(lambda: len(self.entry.candidates("desk", "")) == 1, 5.0)
        notices = self.site.targets[0].notices
        notices.backoff = "1.5"
        rejected_at = await self.wait_for_first_notice(notices, "/scan/x")
        notices.backoff = ""
        await self.send_at_rate(12, 3.0, "/scan/x")
        next_at = min(at for at in notices.arrivals if at > rejected_at)
        self.assertAlmostEqual(next_at - rejected_at, 1.5, delta=0.4)

    async def test_backoff_puts_nobody_in_doubt_and_has_nobody_probed(self):
        heads, model = await self.heads()
        probes = self.entry._orders.probes_sent
        heads[0].notices.backoff = str(BACKOFF)
        await self.wait_for_first_notice(heads[0].notices, "/read/x", "POST", model)
        now = time.monotonic()
        candidates = self.entry.candidates("pool", model)
        self.assertFalse(any(self.entry._book.is_suspect(c.target, now) for c in candidates))
        await asyncio.sleep(0.5)
        self.assertEqual(self.entry._orders.probes_sent, probes)

    async def test_neither_orders_nor_probes_go_to_a_host_backed_off_from(self):
        heads, model = await self.heads()
        heads[0].notices.backoff = str(BACKOFF)
        await self.wait_for_first_notice(heads[0].notices, "/read/x", "POST", model)
        orders_before = len(heads[0].orders)
        instance = Instance(heads[0].instance, heads[0].born)
        order = Leave(heads[0].group["name"], heads[0].group["epoch"], instance)
        orders = self.entry._orders
        self.assertEqual(await orders.send(order, heads[0].address, 1), OrderOutcome.HELD_BACK)
        self.assertFalse(orders.may_contact(instance))
        self.assertEqual(len(heads[0].orders), orders_before)

    async def test_request_placed_before_the_news_is_held_back(self):
        original_choose = self.entry._book.choose
        first = []

        def choose(candidates, tried, *more, **others):
            found = original_choose(candidates, tried, *more, **others)
            if not first and found is not None:
                first.append(found.incarnations[0])
                self.entry._book.backoffs.extend(first[0], BACKOFF, time.monotonic())
            return found

        self.entry._book.choose = choose
        reply, _ = await self.reply("/scan/x")
        self.assertEqual(reply.status, 200)
        backed_off_target = next(t for t in self.site.targets if first[0].startswith(t.instance))
        self.assertEqual(backed_off_target.notices.arrivals, [])


async def until_all_rejected(test):
    """Send requests until each plain target has rejected one."""
    end = time.monotonic() + 2.0
    while not all(t.notices.arrivals for t in test.site.targets) and time.monotonic() < end:
        await test.send_at_rate(100, 0.1, "/scan/x")


class BackoffsTest(unittest.TestCase):
    """The state of back-offs, without a network."""

    def setUp(self):
        self.backoffs = Backoffs()

    def test_backoff_lasts_until_the_latest_end_that_was_named(self):
        for seed in range(200):
            rng = random.Random(seed)
            backoffs, end_by_incarnation, now = Backoffs(), {}, 0.0
            for _ in range(60):
                now += rng.random()
                incarnation = rng.choice("abc")
                match rng.randrange(4):
                    case 0:
                        seconds = rng.choice((0.1, 1.0, 3.0, 1e9))
                        backoffs.extend(incarnation, seconds, now)
                        end_by_incarnation[incarnation] = max(
                            end_by_incarnation.get(incarnation, 0.0), now + seconds
                        )
                    case 1:
                        backoffs.forget(incarnation)
                        end_by_incarnation.pop(incarnation, None)
                    case 2 if backoffs.may_place(incarnation, now):
                        backoffs.take(incarnation)
                        backoffs.trial_accepted(incarnation, now)
                    case 3:
                        backoffs.trial_ended(incarnation)
                for name in "abc":
                    backed_off = end_by_incarnation.get(name, 0.0) > now
                    self.assertEqual(backoffs.may_send(name, now), not backed_off, seed)
                    self.assertFalse(backed_off and backoffs.may_place(name, now), seed)

    def test_one_request_at_a_time_tries_a_target_after_its_time(self):
        self.backoffs.extend("t", 2.0, 10.0)
        self.assertFalse(self.backoffs.may_place("t", 11.9))
        self.assertTrue(self.backoffs.may_place("t", 12.0))
        self.assertTrue(self.backoffs.take("t"))
        self.assertFalse(self.backoffs.may_place("t", 12.1))
        self.backoffs.trial_ended("t")
        self.assertTrue(self.backoffs.may_place("t", 12.2))
        self.backoffs.take("t")
        self.assertTrue(self.backoffs.trial_accepted("t", 12.3))
        self.assertFalse(self.backoffs.take("t"))
        self.assertTrue(self.backoffs.may_place("t", 12.3))

    def test_trial_that_is_turned_away_begins_anew(self):
        self.backoffs.extend("t", 2.0, 10.0)
        self.backoffs.take("t")
        self.backoffs.extend("t", 2.0, 12.5)
        self.assertFalse(self.backoffs.trial_accepted("t", 12.6))
        self.backoffs.trial_ended("t")
        self.assertFalse(self.backoffs.may_place("t", 14.4))
        self.assertTrue(self.backoffs.may_place("t", 14.5))

    def test_number_is_read_as_http_allows_it(self):
        def read(status, *named, **headers):
            found = HTTPHeaders(headers)
            for text in named:
                found.add("Retry-After", text)
            return HeaderCodec().read_reply(status, found).notice.backoff

        answered_at = "Thu, 03 Dec 2026 10:00:00 GMT"
        later = "Thu, 03 Dec 2026 10:00:07 GMT"
        for status in (429, 503):
            self.assertEqual(read(status, "3"), 3.0)
        self.assertEqual(read(503, "0.25"), 0.25)
        self.assertEqual(read(503, "1", "4", "2"), 4.0)
        self.assertEqual(read(503, "-5"), 0.0)
        self.assertEqual(read(503, "9" * 30), float("9" * 30))
        self.assertEqual(read(503, later, Date=answered_at), 7.0)
        for text in ("soon", "nan", "inf", "9" * 50, later, ""):
            self.assertEqual(read(503, text), DEFAULT_BACKOFF_SECONDS, text)
        self.assertIsNone(read(503))
        self.assertIsNone(read(200, "3"))


class PlacingTest(unittest.TestCase):
    """The choice of targets while some of them shed load."""

    def setUp(self):
        self.book = LoadTracker("hall", random.Random(1))
        self.candidates = [
            Candidate(name, TargetHost(Instance(name), "desk", f"{name}:1", "hall", False, 6))
            for name in ("a", "b")
        ]

    def choose(self, now):
        found = self.book.choose(self.candidates, set(), now)
        return found.target if found else None

    def test_target_backed_off_from_is_passed_over_though_others_are_doubtful_and_it_sends(self):
        self.book.backoffs.extend("a", 3.0, 0.0)
        self.book.suspect("b", 0.0)
        self.book.progress("a", 1.0)
        self.assertEqual(self.choose(1.0), "b")
        self.book.backoffs.extend("b", 5.0, 0.0)
        self.assertIsNone(self.choose(1.0))
        self.assertEqual(self.book.backoff_left(self.candidates, 1.0), 2.0)

    def test_target_that_asked_a_peer_is_used_last_but_used(self):
        self.book.apply_peer_backoffs(["a"], 1.0)
        self.assertEqual({self.choose(1.1) for _ in range(20)}, {"b"})
        self.book.backoffs.extend("b", 3.0, 1.0)
        self.assertEqual(self.choose(1.1), "a")

    def test_refused_callers_come_back_after_the_first_end_and_apart(self):
        rng = random.Random(1)
        waits = {retry_delay.retry_delay(True, rng, None, 3.0) for _ in range(50)}
        self.assertGreaterEqual(min(waits), 3.0)
        self.assertGreater(max(waits) - min(waits), 1.0)
        self.assertIsNone(self.book.backoff_left(self.candidates, 0.0))


if __name__ == "__main__":
    unittest.main()
