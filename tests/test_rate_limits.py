"""Rate limits that targets state for all entry hosts together."""

import random
import time
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec
from oleanderhill_dev.fuzz_limits import has_violations, simulate
from oleanderhill_dev.users.site import until
from oleanderhill_dev.windows import max_within_window
from tornado.httputil import HTTPHeaders

from oleanderhill.groups.inventory import Instance, Inventory, TargetHost
from oleanderhill.groups.ownership import Presence
from oleanderhill.kernel import Kernel
from oleanderhill.platform.headers import HeaderCodec
from oleanderhill.records import Records
from oleanderhill.routing.target_limits import (
    FULL_UPDATE_INTERVAL,
    MAX_STATEMENTS,
    MIN_RATE,
    NEW_SHARER_DELAY,
    UNREADABLE_RATE,
    CallKind,
    LimitUpdate,
    Statement,
    TargetLimits,
)
from oleanderhill.serving import gossip, target_limits
from oleanderhill.serving.forwarding import StatedLimit
from oleanderhill.serving.gossip import GossipTask
from oleanderhill.serving.placement import Candidate, LoadTracker
from oleanderhill.serving.reports import aggregator_ranking
from oleanderhill.serving.shared_counters import SharedCounters
from oleanderhill.serving.target_limits import StatementSource, TargetLimitTask

from .test_users_site import SiteTest

DATAGRAM = 1_472
"""Maximum size in bytes of a datagram that fits into one frame."""

WINDOW = 4.0
"""Length in seconds of the window in which requests to a limited target are counted."""

UPDATE_SECONDS = 0.5
"""Seconds within which a limit stated to one entry host must be known to all."""


def max_requests(limit):
    """Return the maximum number of requests to a limited target in a window."""
    return 1.5 * limit * WINDOW + 5


class LimitTest(SiteTest):
    entries = 3

    async def limited_head(self, limit):
        """Set a limit at the head of one of two groups; return its notices and the model."""
        model = await self.model_with_two_groups()
        for entry in self.site.entries:
            await until(lambda e=entry: len(e.candidates("pool", model)) > 1)
        head = self.entry.candidates("pool", model)[0].host.instance.name
        notices = self.site.engines.host_by_instance[head].notices
        notices.limit = limit
        return notices, model

    def assert_within_limit_and_used(self, notices, limit, stated_at, seconds):
        most = max_within_window(WINDOW, notices.arrivals, stated_at + UPDATE_SECONDS)
        self.assertLessEqual(most, max_requests(limit))
        used = sum(stated_at <= at < stated_at + seconds for at in notices.arrivals)
        self.assertGreaterEqual(used, limit * seconds / 2)

    async def test_head_of_a_group_gets_no_more_than_its_limit_from_all_entry_hosts(self):
        notices, model = await self.limited_head("1.2")
        stated_at = await self.wait_for_first_notice(notices, "/read/x", "POST", model)
        answers = await self.send_at_rate(12, 7.0, "/read/x", "POST", model)
        self.assert_within_limit_and_used(notices, 1.2, stated_at, 7.0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})

    async def test_plain_target_gets_no_more_than_its_limit_from_all_entry_hosts(self):
        notices = self.site.targets[0].notices
        notices.limit = "1"
        stated_at = await self.wait_for_first_notice(notices, "/scan/x")
        answers = await self.send_at_rate(12, 7.0, "/scan/x")
        self.assert_within_limit_and_used(notices, 1.0, stated_at, 7.0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})

    async def test_callers_are_refused_at_once_where_all_targets_are_limited(self):
        # The requests are answered immediately instead of waiting in a queue or until their
        # deadline. They are not run, and the answers contain a retry delay.
        for target in self.site.targets:
            target.notices.limit = "0.5"
            await self.wait_for_first_notice(target.notices, "/scan/x")
        answers = await self.send_at_rate(12, 3.0, "/scan/x")
        refused = [(reply, took) for reply, took in answers if reply.status == 503]
        self.assertGreater(len(refused), len(answers) / 2)
        for reply, took in refused:
            self.assertLess(took, 0.3)
            self.assertGreater(float(reply.headers["Retry-After"]), 0.3)

    async def test_target_that_names_no_limit_any_more_takes_all_again(self):
        notices = self.site.targets[0].notices
        notices.limit = "2"
        await self.wait_for_first_notice(notices, "/scan/x")
        await self.send_at_rate(12, 2.0, "/scan/x")
        notices.limit = ""
        await self.send_at_rate(12, 3.0, "/scan/x")
        for entry in self.site.entries:
            self.assertEqual(entry._book.limits.rate_by_incarnation, {})
        before = len(notices.arrivals)
        await self.send_at_rate(12, 2.0, "/scan/x")
        self.assertGreater(len(notices.arrivals) - before, 6)

    async def test_refusal_that_names_a_limit_puts_nobody_in_doubt(self):
        # A target that sheds load must not be suspected of being slow or lost.
        target = self.site.targets[0]
        target.notices.limit, target.faults.shed = "1", 1
        answers = []
        while not target.notices.arrivals:
            # Idle targets are chosen at random, so the limited one may not be among the first.
            answers += await self.send_at_rate(20, 0.5, "/scan/x")
        self.assertEqual({reply.status for reply, _ in answers}, {200})
        now = time.monotonic()
        candidates = self.entry.candidates("desk", "")
        self.assertFalse(any(self.entry._book.is_suspect(c.target, now) for c in candidates))
        self.assertEqual(len(self.entry._book.limits.rate_by_incarnation), 1)

    async def test_host_that_starts_anew_learns_of_limits_from_the_others(self):
        notices = self.site.targets[0].notices
        notices.limit = "1"
        await self.wait_for_first_notice(notices, "/scan/x")
        late = await self.site.add_entry("entry-late")
        await until(lambda: late._book.limits.rate_by_incarnation, 5.0)
        before = len(notices.arrivals)
        await self.send_at_rate(12, 3.0, "/scan/x", entries=[late])
        self.assertLessEqual(len(notices.arrivals) - before, max_requests(1.0))

    async def test_new_life_of_a_target_starts_without_a_limit(self):
        notices, model = await self.limited_head("1")
        await self.wait_for_first_notice(notices, "/read/x", "POST", model)
        limits = self.entry._book.limits
        (incarnation,) = limits.rate_by_incarnation
        self.site.engines.host_by_instance[incarnation.partition("@")[0]].restart()
        await until(lambda: not limits.rate_by_incarnation, 5.0)

    async def test_limit_of_a_member_named_in_its_answers_to_probes_binds_the_group(self):
        # Every request of the group passes through the member, though entry hosts send it none.
        _, model = await self.limited_head("")
        group = self.entry.candidates("pool", model)[0]
        member = self.site.engines.host_by_instance[group.members[0].partition("@")[0]]
        member.notices.limit = "1"
        instance = self.entry._inventory.incarnation_of(member.instance)
        for entry in self.site.entries:
            await entry._orders.answers(instance, member.address)
        limits = self.entry._book.limits
        self.assertTrue(limits.is_limited(group.incarnations))
        member.notices.limit = ""
        await until(lambda: not limits.is_limited(group.incarnations), 6.0)


class NamedLimitTest(unittest.TestCase):
    """Parsing of the limit header of an answer."""

    def read(self, *values):
        headers = HTTPHeaders({"Response-Seal": "s"})
        for value in values:
            headers.add("Server-Limit", value)
        return HeaderCodec().read_reply(200, headers).notice.limit

    def test_decimal_numbers_are_read_as_they_are(self):
        for text, rate in (("1.2", 1.2), ("3", 3.0), (".5", 0.5), ("0", 0.0), ("+2.", 2.0)):
            with self.subTest(text=text):
                self.assertEqual(self.read(text).rate, rate)

    def test_least_of_several_counts(self):
        self.assertEqual(self.read("3", "1.5").rate, 1.5)
        self.assertEqual(self.read("3, 1.5").rate, 1.5)

    def test_negative_limit_takes_nothing(self):
        self.assertEqual(self.read("-1").rate, 0.0)

    def test_what_is_no_decimal_number_is_no_rate(self):
        for text in ("", "many", "nan", "inf", "1e3", "1_0", "9" * 400, "1 2", "0x1"):
            with self.subTest(text=text):
                self.assertIsNone(self.read(text).rate)

    def test_unreadable_one_is_the_least_of_several(self):
        self.assertIsNone(self.read("3", "many").rate)

    def test_answer_without_one_names_none(self):
        self.assertIsNone(self.read())

    def test_answer_of_another_instance_says_nothing_of_this_one(self):
        headers = HTTPHeaders({"Server-Limit": "1"})
        self.assertFalse(HeaderCodec().read_reply(421, headers).from_expected_target)


class TargetLimitsTest(unittest.TestCase):
    """The limits at one of eight hosts; times are seconds."""

    def setUp(self):
        self.hosts = tuple(f"entry-{n}" for n in range(8))
        self.limits = TargetLimits("entry-0")
        self.limits.update_hosts(self.hosts, True, 0.0)

    def state_limit(self, rate, asked_at, now, limits=None, asked=CallKind.REQUEST):
        return (limits or self.limits).answered("t", rate, asked, asked_at, now)

    def sharer(self, rate):
        """Return the limits of a host that shares a limit, which was stated to it at 1 s."""
        self.state_limit(rate, 0.0, 1.0)
        limits = TargetLimits(self.limits.sharers("t")[0])
        limits.update_hosts(self.hosts, True, 0.0)
        self.state_limit(rate, 0.0, 1.0, limits)
        return limits

    def test_targets_without_a_limit_take_whatever_is_sent(self):
        self.assertTrue(self.limits.may_send(("t",), 0.0))
        self.assertIsNone(self.state_limit(None, 0.0, 1.0))
        self.assertFalse(self.limits.known)

    def test_hosts_in_sum_keep_the_limit_and_use_it(self):
        for rate in (0.0, 0.3, 1.0, 1.2, 3.0, 10.0):
            all_limits = [TargetLimits(name) for name in self.hosts]
            sent = []
            for limits in all_limits:
                limits.update_hosts(self.hosts, True, 0.0)
                self.state_limit(rate, 0.0, 1.0, limits)
            for tick in range(100, 3_000):
                for limits in all_limits:
                    if limits.take(("t",), tick / 100) is not None:
                        sent.append(tick / 100)
            self.assertLessEqual(max_within_window(WINDOW, sent, 0.0), max_requests(rate))
            self.assertGreaterEqual(len(sent), 29 * max(rate, MIN_RATE) * 0.8)

    def test_all_idle_shares_at_once_stay_within_the_bound(self):
        for rate in (0.0, 0.3, 1.0, 1.2, 3.0, 10.0, 1e9):
            all_limits = [TargetLimits(f"entry-{n}") for n in range(195)]
            hosts = tuple(a._me for a in all_limits)
            for limits in all_limits:
                limits.update_hosts(hosts, True, 0.0)
                self.state_limit(rate, 0.0, 1.0, limits)
            total = sum(a.take(("t",), 1_000.0) is not None for a in all_limits)
            self.assertLessEqual(total, 2 * rate + 3)

    def test_older_answer_neither_ends_nor_raises_a_limit(self):
        self.state_limit(1.0, 0.0, 2.0)
        self.assertIsNone(self.state_limit(None, 1.9, 3.0))
        self.assertIsNone(self.state_limit(5.0, 1.9, 3.0))
        self.assertEqual(self.limits.rate_by_incarnation, {"t": 1.0})

    def test_older_answer_lowers_a_limit_as_it_may_be_newer(self):
        self.state_limit(1.0, 0.0, 2.0)
        self.state_limit(0.5, 1.9, 3.0)
        self.assertEqual(self.limits.rate_by_incarnation, {"t": 0.5})

    def test_answer_to_a_request_sent_after_the_last_naming_ends_it(self):
        self.state_limit(1.0, 0.0, 2.0)
        self.state_limit(1.0, 1.0, 3.0)
        self.assertIsNone(self.state_limit(None, 2.5, 4.0))
        self.assertEqual(self.state_limit(None, 3.1, 4.0).rate, None)
        self.assertTrue(self.limits.may_send(("t",), 4.0))

    def test_answers_to_probes_end_only_what_they_named(self):
        self.state_limit(1.0, 0.0, 1.0)
        self.assertIsNone(self.state_limit(None, 2.0, 3.0, asked=CallKind.CONTROL))
        self.state_limit(None, 2.0, 3.0)
        self.state_limit(1.0, 4.0, 5.0, asked=CallKind.CONTROL)
        self.assertIsNotNone(self.state_limit(None, 6.0, 7.0, asked=CallKind.CONTROL))

    def test_host_that_hears_nobody_takes_no_share(self):
        limits = self.sharer(3.0)
        limits.update_hosts(self.hosts, False, 2.0)
        self.assertFalse(limits.may_send(("t",), 100.0))
        limits.update_hosts(self.hosts, True, 2.0)
        self.assertTrue(limits.may_send(("t",), 100.0))

    def test_host_that_is_in_nobodys_view_takes_no_share(self):
        limits = TargetLimits("unknown")
        limits.update_hosts(self.hosts, True, 0.0)
        self.state_limit(100.0, 0.0, 1.0, limits)
        self.assertFalse(limits.may_send(("t",), 100.0))

    def test_who_takes_anothers_share_waits_until_what_that_one_sent_is_past(self):
        limits = self.sharer(1.0)
        others = tuple(h for h in self.hosts if h != limits._me)
        limits.update_hosts(others, True, 50.0)
        limits.update_hosts(self.hosts, True, 60.0)
        self.assertFalse(limits.may_send(("t",), 60.0 + NEW_SHARER_DELAY - 0.1))
        self.assertTrue(limits.may_send(("t",), 60.0 + NEW_SHARER_DELAY + 0.1))

    def test_unsent_permit_is_given_back(self):
        limits = self.sharer(1.0)
        permit = limits.take(("t",), 100.0)
        self.assertFalse(limits.may_send(("t",), 100.1))
        limits.give_back(permit)
        self.assertTrue(limits.may_send(("t",), 100.1))
        self.assertEqual(limits.sent, 0)

    def test_request_that_was_placed_before_the_news_is_held_back(self):
        permit = self.limits.take(("t",), 1.0)
        self.state_limit(1.0, 0.0, 1.1)
        self.assertFalse(self.limits.confirm(permit, 1.2))

    def test_request_placed_within_the_limit_in_force_goes(self):
        limits = self.sharer(1.0)
        permit = limits.take(("t",), 100.0)
        self.assertTrue(limits.confirm(permit, 100.1))
        self.assertFalse(limits.may_send(("t",), 100.1))

    def test_number_that_changes_with_each_answer_neither_starves_nor_floods(self):
        for step in (0.01, -0.01):
            limits, sent = self.sharer(3.0), 0
            for tick in range(200, 3_000):
                rate = 3.0 + step * (tick // 50)
                self.state_limit(rate, tick / 100, tick / 100, limits)
                sent += limits.take(("t",), tick / 100) is not None
            share = 3.0 / len(limits.sharers("t"))
            self.assertLessEqual(sent, 28 * share * 1.2 + 1)
            self.assertGreaterEqual(sent, 28 * share * 0.7)

    def test_much_lower_limit_has_each_host_wait_its_turn_anew(self):
        limits = self.sharer(10.0)
        self.state_limit(1.0, 90.0, 100.0, limits)
        self.assertFalse(limits.may_send(("t",), 100.5))

    def test_orders_count_as_requests(self):
        limits = self.sharer(1.0)
        limits.count_without_permit("t", 100.0)
        self.assertFalse(limits.may_send(("t",), 100.1))

    def test_newest_statement_wins_and_of_two_with_one_version_the_tighter(self):
        def apply(version, rate):
            news = LimitUpdate("peer", {"t": Statement(version, rate)})
            return bool(self.limits.apply_peer_update(news, lambda incarnation: True, 5.0))

        self.assertTrue(apply(3, 2.0))
        self.assertFalse(apply(2, 0.1))
        self.assertFalse(apply(3, 4.0))
        self.assertFalse(apply(3, None))
        self.assertTrue(apply(3, 1.0))
        self.assertTrue(apply(4, None))
        self.assertEqual(self.limits.rate_by_incarnation, {})

    def test_news_of_a_life_that_is_over_are_not_taken(self):
        news = LimitUpdate("peer", {"t": Statement(3, 2.0)})
        self.assertEqual(self.limits.apply_peer_update(news, lambda incarnation: False, 5.0), [])

    def test_what_no_entry_host_says_is_not_believed(self):
        for rate, version in ((float("nan"), 1), (float("inf"), 1), (-1.0, 1), (1.0, 2**63)):
            with self.subTest(rate=rate, version=version):
                news = LimitUpdate("anybody", {"t": Statement(version, rate)})
                self.assertEqual(
                    self.limits.apply_peer_update(news, lambda incarnation: True, 5.0), []
                )

    def test_news_is_told_with_each_report_and_then_now_and_then(self):
        self.state_limit(1.0, 0.0, 1.0)
        sent = [bool(self.limits.pending_updates(1.0 + n * 0.05)) for n in range(60)]
        self.assertTrue(all(sent[:10]))
        self.assertEqual(sum(sent[20:]), round(40 * 0.05 / FULL_UPDATE_INTERVAL))

    def test_news_fits_into_one_frame(self):
        for number in range(100):
            incarnation = f"i-{number:030}@1788000000000"
            self.limits.answered(incarnation, 1.23456789, CallKind.CONTROL, 0.0, 1.0)
        sizes = [len(msgspec.msgpack.encode(part)) for part in self.limits.pending_updates(2.0)]
        self.assertLess(max(sizes), DATAGRAM)

    def test_what_is_kept_is_bounded_and_what_ended_goes_first(self):
        for number in range(MAX_STATEMENTS):
            self.limits.answered(str(number), 1.0, CallKind.REQUEST, 0.0, 1.0)
        self.limits.answered("700", None, CallKind.REQUEST, 2.0, 3.0)
        self.limits.answered("new", 1.0, CallKind.REQUEST, 0.0, 4.0)
        self.assertIn("0", self.limits.rate_by_incarnation)
        self.limits.answered("newer", 1.0, CallKind.REQUEST, 0.0, 4.0)
        self.assertEqual(len(self.limits.rate_by_incarnation), MAX_STATEMENTS)

    def test_limit_goes_with_its_life(self):
        self.state_limit(1.0, 0.0, 1.0)
        self.limits.forget("t")
        self.assertTrue(self.limits.may_send(("t",), 1.0))

    def test_fleets_that_come_go_and_hear_late_keep_limits_use_them_and_know_their_end(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.assertFalse(has_violations(simulate(seed)))


class PlacingTest(unittest.TestCase):
    """The choice of targets while some of them state a limit."""

    def setUp(self):
        self.limits = TargetLimits("me")
        self.book = LoadTracker("hall", random.Random(1), self.limits)
        self.candidates = [
            Candidate(name, TargetHost(Instance(name), "desk", f"{name}:1", "hall", False, 6))
            for name in ("a", "b")
        ]

    def choose(self, now):
        return self.book.choose(self.candidates, set(), now, 1.2, lambda address: False)

    def limit(self, incarnation, rate, now=0.0):
        self.limits.answered(incarnation, rate, CallKind.REQUEST, now, now)

    def test_limited_target_is_chosen_when_its_turn_comes_and_only_then(self):
        self.limit("a", 1.0)
        self.assertEqual(self.choose(0.5).target, "b")
        self.book.begin("b")
        self.assertEqual(self.choose(1.1).target, "a")
        self.limits.take(("a",), 1.1)
        self.assertEqual(self.choose(1.2).target, "b")
        self.assertEqual(self.limits.held_back, 2)

    def test_nobody_is_chosen_where_no_limit_has_room(self):
        self.limit("a", 1.0)
        self.limit("b", 0.25)
        self.assertIsNone(self.choose(0.5))
        self.assertEqual(self.book.limited_for(self.candidates, "", 0.5), 1 / 1.25)

    def test_targets_without_a_limit_name_no_time(self):
        self.limit("a", 1.0)
        self.assertIsNone(self.book.limited_for(self.candidates, "", 0.5))

    def test_places_that_a_limit_leaves_empty_count_as_taken(self):
        self.limit("a", 2.0)
        self.assertEqual([self.book.slots_lost_to_limits(c) for c in self.candidates], [4.0, 0.0])


class LimitSpreadTest(unittest.IsolatedAsyncioTestCase):
    """Spread of limit updates among 195 entry hosts in five data centres, in virtual time."""

    def setUp(self):
        self.now = 100.0
        clock = SimpleNamespace(monotonic=lambda: self.now)
        for module in (gossip, target_limits):
            patch = mock.patch.object(module, "time", clock)
            patch.start()
            self.addCleanup(patch.stop)
        self.rng = random.Random(7)
        self.loss = 0.0
        self.down = set()
        self.alive = {
            f"{centre}-{n}": Presence(f"{centre}-{n}", "life", "127.0.0.1:9", centre)
            for centre in "abcde"
            for n in range(39)
        }
        self.inventory = Inventory()
        host = TargetHost(Instance("t", 5), "desk", "127.0.0.1:8", "a", False, 6)
        self.inventory.put(host)
        self.all_limits, self.tasks, self.gossip = {}, {}, {}
        for name in self.alive:
            self.add_host(name)

    def add_host(self, name):
        limits = self.all_limits[name] = TargetLimits(name)
        kernel, records = Kernel(), Records(name)
        task = TargetLimitTask(
            kernel, limits, self.inventory, list, None, lambda host: True, records
        )
        quarantine = SimpleNamespace(pending_updates=lambda again: [])
        loads = LoadTracker("a", random.Random(1))
        loads.begin("another")  # a host with a request in flight reports at each tick
        leaving = SimpleNamespace(pending_updates=lambda sender: [])
        made = GossipTask(
            kernel,
            self.alive[name],
            loads,
            lambda: self.alive,
            quarantine,
            {},
            task,
            leaving,
            SharedCounters(),
        )

        def send_to(data, names, alive):
            for other in names if name not in self.down else ():
                if other not in self.down and self.rng.random() >= self.loss:
                    self.gossip[other]._receive(data)

        made._send_to = send_to
        self.tasks[name], self.gossip[name] = task, made

    def answer(self, name, named):
        self.tasks[name].answered("t@5", named, StatementSource(CallKind.REQUEST, self.now))

    async def advance(self, seconds):
        """Advance the time by some seconds, in which all hosts that are up send their reports."""
        end = self.now + seconds
        while self.now < end:
            for name in self.alive.keys() - self.down:
                await self.gossip[name].tick()
            self.now += gossip.REPORT_INTERVAL

    async def seconds_until(self, known):
        began = self.now
        while self.now - began < 10.0:
            here = [n for n in self.alive if n not in self.down]
            for name in here:
                await self.gossip[name].tick()
            if all(self.all_limits[n].rate_by_incarnation.get("t@5") == known for n in here):
                return self.now - began
            self.now += gossip.REPORT_INTERVAL
        return 10.0

    async def test_all_know_of_a_limit_within_half_a_second_though_datagrams_are_lost(self):
        self.loss = 0.1
        await self.advance(1.0)
        self.answer("b-7", StatedLimit(1.2, "1.2"))
        self.assertLess(await self.seconds_until(1.2), 0.5)

    async def test_all_know_of_it_though_a_hub_is_killed(self):
        await self.advance(1.0)
        self.down = {aggregator_ranking("b", self.alive)[0]}
        self.answer("c-1", StatedLimit(1.2, "1.2"))
        self.assertLess(await self.seconds_until(1.2), 1.0)

    async def test_all_know_of_its_end(self):
        self.answer("b-7", StatedLimit(1.2, "1.2"))
        await self.seconds_until(1.2)
        await self.advance(1.0)
        self.answer("d-3", None)
        self.assertLess(await self.seconds_until(None), 0.5)

    async def test_host_that_restarts_is_told_within_a_second(self):
        self.answer("b-7", StatedLimit(1.2, "1.2"))
        await self.seconds_until(1.2)
        await self.advance(2.0)
        self.add_host("d-9")
        self.assertLess(await self.seconds_until(1.2), 1.0)

    async def test_unreadable_limit_is_taken_for_a_low_one_and_never_raises_one(self):
        self.answer("b-7", StatedLimit(None, "many"))
        self.assertEqual(self.all_limits["b-7"].rate_by_incarnation, {"t@5": UNREADABLE_RATE})
        self.answer("b-7", StatedLimit(0.1, "0.1"))
        self.answer("b-7", StatedLimit(None, "many"))
        self.assertEqual(self.all_limits["b-7"].rate_by_incarnation, {"t@5": 0.1})


if __name__ == "__main__":
    unittest.main()
