"""Rate limits of cold targets: the bound, how much of it is used, how they begin and end."""

import json
import math
import random
import time
import unittest
from collections import Counter

import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st
from oleanderhill_dev.users.site import configuration, until
from oleanderhill_dev.windows import max_within_window
from tornado.httputil import HTTPHeaders

from oleanderhill.clients.storage import NEVER, Item
from oleanderhill.groups.inventory import Instance, Inventory, TargetHost
from oleanderhill.kernel import Kernel
from oleanderhill.platform.decoding import decode_configuration, decode_entry
from oleanderhill.platform.headers import read_notice
from oleanderhill.platform.host_list import HostList
from oleanderhill.records import Records
from oleanderhill.routing.cold_limits import (
    ENTRY_MAX_AGE,
    MAX_COLD_SECONDS,
    SHARING_DELAY,
    ColdLimits,
    ColdSource,
)
from oleanderhill.routing.limit_scope import WindowBound, split_within
from oleanderhill.routing.sharing_hosts import HostRanking, SharingHosts
from oleanderhill.routing.target_limits import CallKind, TargetLimits
from oleanderhill.serving.cold_targets import ColdTargets
from oleanderhill.serving.forwarding import StatedCold
from oleanderhill.serving.placement import Candidate, LoadTracker
from oleanderhill.serving.target_limits import StatementSource

from .test_users_site import SiteTest

RATE = 17.0
BOUND = WindowBound(1.0, 1.5, 5.0)
MOST = 30
"""The bound on the requests in one second: 17 x 1.5 + 5, rounded down."""

CONNECT_SECONDS = 0.1

LEARN_SECONDS = 3.0
"""Seconds within which all entry hosts learn that one of them joined or left."""


def make_limits(name, hosts, now=-10.0, bound=BOUND, rate=RATE):
    """Return the limits of an entry host that has listed the given ones since a time."""
    cold = ColdLimits(name, bound)
    cold.set_rates({"pool": rate})
    limits = TargetLimits(name, cold)
    limits.update_hosts(tuple(hosts), True, now)
    return limits


def turn_cold(limits, now, seconds=MAX_COLD_SECONDS, source=ColdSource.ENTRY, asked_at=None):
    asked_at = now if asked_at is None else asked_at
    return limits.cold.state("t", "pool", seconds, source, asked_at, now)


def send(limits, now):
    """Choose the target and send to it at once; return whether that was allowed."""
    permit = limits.take(("t",), now)
    return permit is not None and limits.confirm(permit, now)


class SplitTest(unittest.TestCase):
    @given(
        st.floats(0.0, 300.0),
        st.floats(1.0, 4.0),
        st.floats(0.0, 50.0),
        st.integers(1, 3_000),
    )
    def test_no_split_of_callers_over_the_sharers_exceeds_the_bound(self, rate, excess, slack, n):
        bound = WindowBound(1.0, excess, slack)
        split = split_within(bound, rate, n)
        per_sharer = 0 if math.isinf(split.min_gap) else math.floor(1.0 / split.min_gap) + 1
        self.assertLessEqual(split.sharers * per_sharer, rate * excess + slack)
        self.assertLessEqual(split.sharers, n)
        self.assertGreaterEqual(split.interval, split.min_gap)

    def test_absurd_bound_does_not_overflow(self):
        split = split_within(WindowBound(1.0, 1e308, 1e308), 1e9, 3)
        self.assertEqual(split.sharers, 3)
        self.assertLess(split.interval, 1e-6)

    def test_fleets_of_many_sizes_are_allowed_most_of_the_rate(self):
        for hosts in (1, 2, 3, 5, 9, 16, 26, 60, 2_200):
            split = split_within(BOUND, RATE, hosts)
            self.assertGreaterEqual(split.sharers / split.interval, 0.75 * RATE, hosts)


class HostRankingTest(unittest.TestCase):
    @given(st.sets(st.integers(0, 500)), st.integers(0, 40), st.text(max_size=5))
    def test_first_hosts_are_the_nearest_of_all(self, numbers, count, key):
        names = [f"entry-{n}" for n in numbers]
        point = xxhash.xxh64_intdigest(key.encode())
        nearest = sorted(names, key=lambda n: xxhash.xxh64_intdigest(n.encode()) ^ point)
        self.assertEqual(HostRanking(names).first(key, count), tuple(nearest[:count]))

    def test_shares_are_spread_over_all_hosts(self):
        for hosts in (60, 2_200):
            ranking = HostRanking([f"entry-{n}" for n in range(hosts)])
            keys = range(hosts * 10)
            counts = Counter(n for key in keys for n in ranking.first(str(key), 26))
            self.assertEqual(len(counts), hosts)
            self.assertLess(max(counts.values()), 3 * 260)


class SharingHostsTest(unittest.TestCase):
    def test_host_that_has_just_been_listed_waits(self):
        sharing = SharingHosts("a", 4.0)
        sharing.update(("b",), 0.0)
        self.assertEqual(sharing.at(1.0).settled_at, math.inf)
        sharing.update(("a", "b"), 10.0)
        self.assertEqual(sharing.at(10.0).settled_at, 14.0)
        sharing.update(("a", "b", "c"), 12.0)
        self.assertEqual(sharing.at(12.0).settled_at, 14.0)

    def test_host_that_left_is_ranked_until_everybody_has_learnt_of_it(self):
        sharing = SharingHosts("a", 4.0)
        sharing.update(("a", "b"), 0.0)
        sharing.update(("a",), 10.0)
        self.assertEqual(sharing.at(13.9).hosts, {"a", "b"})
        self.assertEqual(sharing.at(14.0).hosts, {"a"})


class Fleet:
    """Entry hosts that send to one cold target, and learn late of each other."""

    def __init__(self, size, rng, least_learn_seconds=0.0):
        self.rng = rng
        self.least_learn_seconds = least_learn_seconds
        self.names = [f"entry-{n}" for n in range(size)]
        self.listed = set(self.names)
        self.limits_by_name = {n: make_limits(n, self.names) for n in self.names}
        self.view_at = dict.fromkeys(self.names, 0.0)
        self.pending = []
        self.up = set(self.names)
        self.sent = []
        self.connecting = []

    def change_list(self, now):
        """Tell each host of the present list after a delay of its own."""
        listed = tuple(sorted(self.listed))
        for name in self.names:
            delay = self.rng.uniform(self.least_learn_seconds, LEARN_SECONDS)
            self.pending.append((now + delay, name, listed, now))
        self.pending.sort()

    def stop(self, name, now):
        self.up.discard(name)
        self.listed.discard(name)
        self.change_list(now)

    def start(self, name, now, cold_until):
        """Start a host that knows nothing but what it reads: the list and the target's entry."""
        self.up.add(name)
        self.listed.add(name)
        limits = make_limits(name, sorted(self.listed), now)
        turn_cold(limits, now, cold_until - now)
        self.limits_by_name[name], self.view_at[name] = limits, now
        self.change_list(now)

    def advance(self, now, requests):
        while self.pending and self.pending[0][0] <= now:
            _, name, listed, at = self.pending.pop(0)
            if at >= self.view_at[name]:  # a read never returns an older list
                self.view_at[name] = at
                self.limits_by_name[name].update_hosts(listed, name in listed, now)
        due = [c for c in self.connecting if c[0] <= now]
        self.connecting = [c for c in self.connecting if c[0] > now]
        for _, name, limits, permit in due:
            is_running = name in self.up and limits is self.limits_by_name[name]
            if is_running and limits.confirm(permit, now):
                self.sent.append(now)
        for name in requests:
            limits = self.limits_by_name[name]
            permit = limits.take(("t",), now) if name in self.up else None
            if permit is not None:
                at = now + self.rng.uniform(0.0, CONNECT_SECONDS)
                self.connecting.append((at, name, limits, permit))


class BoundTest(unittest.TestCase):
    """A fleet of which every host learns of each change of the list within three seconds."""

    @settings(max_examples=60, deadline=None)
    @given(
        st.integers(1, 45),
        st.integers(0, 2**32),
        st.sampled_from((0.02, 0.3, 3.0)),
        st.sampled_from(("all", "few", "one")),
        st.booleans(),
        st.booleans(),
    )
    def test_never_more_than_the_bound_under_any_split(
        self, size, seed, gap, callers, changes, lulls
    ):
        rng = random.Random(seed)
        fleet = Fleet(size, rng)
        for name in fleet.names:  # the entry reaches the hosts at different ages
            turn_cold(fleet.limits_by_name[name], rng.uniform(-0.5, 0.0))
        favoured = set(fleet.names)
        if callers != "all":
            favoured = set(rng.sample(fleet.names, 1 if callers == "one" else (size + 2) // 3))
        now, next_change = 0.0, 0.5
        while now < 12.0:
            now += 0.02
            if changes and now >= next_change:
                next_change = now + rng.choice((0.1, 0.4, 2.0, 6.0))
                for name in rng.sample(fleet.names, rng.choice((1, 1, 1 + size // 3))):
                    if name in fleet.up:
                        fleet.stop(name, now)
                    else:
                        fleet.start(name, now, MAX_COLD_SECONDS)
            # After a lull the shares of all hosts are unused, and all of them may send at once.
            calling = () if lulls and now % 2.0 < 1.8 else sorted(favoured)
            fleet.advance(now, [n for n in calling if rng.random() < 0.02 / gap])
        self.assertLessEqual(max_within_window(1.0, fleet.sent, 0.0), MOST)

    def test_half_of_a_fleet_that_joins_at_once_does_not_send_beside_those_whose_shares_it_gets(
        self,
    ):
        for seed in range(5):
            fleet = Fleet(60, random.Random(seed), LEARN_SECONDS - 0.2)
            joining = fleet.names[30:]
            fleet.up -= set(joining)
            fleet.listed -= set(joining)
            for name in fleet.names[:30]:
                fleet.limits_by_name[name] = make_limits(name, fleet.names[:30])
                turn_cold(fleet.limits_by_name[name], -5.0)
            for tick in range(600):
                now = tick / 100
                if tick == 100:
                    for name in joining:
                        fleet.start(name, now, MAX_COLD_SECONDS)
                calling = fleet.names if now % 1.6 < 0.2 else ()
                fleet.advance(now, calling)
            self.assertLessEqual(max_within_window(1.0, fleet.sent, 0.0), MOST)

    def test_host_that_cannot_learn_that_it_is_unlisted_adds_one_request_of_the_reserve(self):
        fleet = Fleet(60, random.Random(1))
        for name in fleet.names:
            turn_cold(fleet.limits_by_name[name], 0.0)
        sharers = fleet.limits_by_name["entry-0"].cold.find_at("t", 0.0).sharers
        for name in sharers[:4]:
            fleet.listed.discard(name)
        for name in fleet.names:
            if name not in sharers[:4]:
                fleet.limits_by_name[name].update_hosts(tuple(fleet.listed), True, 1.0)
        for tick in range(100, 1_500):
            fleet.advance(tick / 100, fleet.names)
        self.assertLessEqual(max_within_window(1.0, fleet.sent, 0.0), MOST)

    def test_host_that_hears_nobody_or_is_not_listed_sends_nothing(self):
        alone = make_limits("entry-0", ["entry-0", "entry-1"])
        alone.update_hosts(("entry-0", "entry-1", "entry-2"), False, 0.0)
        unlisted = make_limits("entry-9", ["entry-0", "entry-1"])
        unheard_of = TargetLimits("entry-0", ColdLimits("entry-0", BOUND))
        unheard_of.cold.set_rates({"pool": RATE})
        for limits in (alone, unlisted, unheard_of):
            turn_cold(limits, 0.0)
            self.assertFalse(any(limits.may_send(("t",), at) for at in (0.0, 5.0, 50.0)))

    def test_host_that_was_isolated_waits_until_nobody_counts_on_its_successor(self):
        hosts = [f"e{n}" for n in range(3)]
        limits = make_limits("e0", hosts)
        turn_cold(limits, 0.0)
        self.assertTrue(any(send(limits, n * 0.5) for n in range(8)))
        limits.update_hosts(hosts, False, 4.0)
        limits.update_hosts(hosts, True, 6.0)
        turn_cold(limits, 6.0)
        sent_at = [at for n in range(20) if send(limits, at := 6.0 + n * 0.5)]
        self.assertGreaterEqual(sent_at[0], 6.0 + SHARING_DELAY)

    def test_restarted_host_waits_until_nobody_counts_on_its_successor(self):
        limits = make_limits("entry-0", ["entry-0", "entry-1"], now=0.0)
        turn_cold(limits, 0.0)
        self.assertFalse(limits.may_send(("t",), SHARING_DELAY - 0.1))
        self.assertTrue(limits.may_send(("t",), SHARING_DELAY + 0.1))


class UseTest(unittest.TestCase):
    """What callers get of the allowed rate."""

    def _served(self, hosts, targets, per_second, seconds=30.0):
        """Return requests sent to cold targets, where each host sends to any that allows it."""
        names = [f"entry-{n}" for n in range(hosts)]
        fleet = [make_limits(n, names) for n in names]
        rng, keys, served = random.Random(3), [f"t-{n}" for n in range(targets)], 0
        for limits in fleet:
            for key in keys:
                limits.cold.state(key, "pool", 60.0, ColdSource.ENTRY, 0.0, 0.0)
        now = 2.0
        while now < 2.0 + seconds:
            now += rng.expovariate(per_second)
            limits = rng.choice(fleet)
            open_keys = [k for k in keys if limits.may_send((k,), now)]
            if open_keys:
                served += limits.confirm(limits.take((rng.choice(open_keys),), now), now)
        return served / seconds

    def test_one_cold_target_gets_most_of_its_rate_where_callers_ask_for_more(self):
        self.assertGreater(self._served(60, 1, 400.0), 0.75 * RATE)

    def test_cold_targets_of_a_data_centre_serve_nearly_all_callers_up_to_half_their_rate(self):
        # Thirteen heads return cold, and the other groups are lost: each caller needs one of them.
        asked = 13 * RATE / 2
        self.assertGreater(self._served(60, 13, asked), 0.9 * asked)

    def test_small_fleets_use_it_too(self):
        self.assertGreater(self._served(3, 1, 100.0), 0.75 * RATE)


class LifeTest(unittest.TestCase):
    """One host that shares the limit of a target with another."""

    def setUp(self):
        self.limits = make_limits("a", ["a"])

    def test_service_without_a_rate_is_never_limited(self):
        self.limits.cold.set_rates({})
        turn_cold(self.limits, 0.0)
        self.assertFalse(self.limits.known)
        self.assertTrue(all(send(self.limits, 0.1) for _ in range(100)))

    def test_limit_ends_by_time_without_a_word_of_anybody(self):
        # The store is away: no entry arrives any more.
        turn_cold(self.limits, 0.0, 3.0)
        sent = [at / 100 for at in range(300) if send(self.limits, at / 100)]
        self.assertLessEqual(max_within_window(1.0, sent, 0.0), MOST)
        self.assertTrue(all(send(self.limits, 3.0) for _ in range(100)))
        (ended,) = self.limits.cold.expire(3.1)
        self.assertEqual(ended.what, "ended")
        self.assertFalse(self.limits.known)

    def test_target_that_turns_cold_between_choice_and_send_gets_no_request_out_of_turn(self):
        permits = [self.limits.take(("t",), 0.0) for _ in range(40)]
        turn_cold(self.limits, 0.05)
        self.assertFalse(any(self.limits.confirm(p, 0.06) for p in permits))

    def test_requests_that_connect_late_are_not_sent_together(self):
        turn_cold(self.limits, 0.0)
        permits = [p for at in range(100) if (p := self.limits.take(("t",), at / 100))]
        self.assertEqual(sum(self.limits.confirm(p, 1.0) for p in permits), 1)

    def test_orders_delay_the_next_request_and_no_further_ones(self):
        turn_cold(self.limits, 0.0)
        interval = self.limits.cold.find_at("t", 0.0).interval
        for _ in range(20):
            self.limits.count_without_permit("t", 1.0)
        self.assertFalse(self.limits.may_send(("t",), 1.0 + interval / 2))
        self.assertTrue(self.limits.may_send(("t",), 1.0 + interval * 1.01))

    def test_permit_that_is_not_used_is_given_back(self):
        turn_cold(self.limits, 0.0)
        permit = self.limits.take(("t",), 1.0)
        self.assertFalse(self.limits.may_send(("t",), 1.001))
        self.limits.give_back(permit)
        self.assertTrue(self.limits.may_send(("t",), 1.001))

    def test_both_limits_of_a_target_bind(self):
        turn_cold(self.limits, 0.0)
        self.limits.answered("t", 1.0, CallKind.REQUEST, 0.0, 0.0)
        sent = [at / 100 for at in range(1_000) if send(self.limits, at / 100)]
        self.assertLessEqual(len(sent), 11)
        self.assertEqual(self.limits.rate(("t",)), 1.0)
        self.limits.answered("t", 400.0, CallKind.REQUEST, 10.0, 10.0)
        sent = [10 + at / 100 for at in range(1_000) if send(self.limits, 10 + at / 100)]
        self.assertGreater(len(sent), 100)
        self.assertLessEqual(max_within_window(1.0, sent, 10.0), MOST)

    def test_only_the_first_member_counts(self):
        turn_cold(self.limits, 0.0)
        self.assertTrue(self.limits.may_send(("head", "t"), 0.0))
        self.assertFalse(self.limits.may_send(("t", "head"), 0.0))

    def test_later_entry_extends_and_warm_one_ends_it(self):
        self.assertEqual(turn_cold(self.limits, 0.0, 3.0).what, "began")
        self.assertIsNone(turn_cold(self.limits, 1.0, 2.3))  # the same end, read later
        self.assertEqual(turn_cold(self.limits, 2.0, 3.0).what, "corrected")
        self.assertTrue(self.limits.is_limited(("t",)))
        self.assertEqual(turn_cold(self.limits, 3.0, 0.0).what, "ended")
        self.assertFalse(self.limits.known)

    def test_entry_that_may_be_older_than_an_answer_does_not_end_what_it_stated(self):
        turn_cold(self.limits, 0.0, 8.0, ColdSource.ANSWER)
        self.assertIsNone(turn_cold(self.limits, 1.0, 0.0))
        self.assertIsNone(turn_cold(self.limits, 1.0, 1.0))
        self.assertEqual(turn_cold(self.limits, ENTRY_MAX_AGE, 0.0).what, "ended")

    def test_answer_to_an_older_call_does_not_end_it(self):
        turn_cold(self.limits, 1.0, 8.0)
        self.assertIsNone(turn_cold(self.limits, 2.0, 0.0, ColdSource.ANSWER, asked_at=0.9))
        ended = turn_cold(self.limits, 2.0, 0.0, ColdSource.ANSWER, asked_at=1.5)
        self.assertEqual(ended.what, "ended")

    def test_target_that_turns_cold_again_starts_anew(self):
        turn_cold(self.limits, 0.0, 2.0)
        self.assertEqual(turn_cold(self.limits, 5.0, 2.0).what, "began")
        self.assertFalse(self.limits.may_send(("t",), 5.0))

    def test_permit_of_an_ended_cold_time_does_not_count_for_the_next_one(self):
        turn_cold(self.limits, 0.0, 2.0)
        permits = [self.limits.take(("t",), 1.0), self.limits.take(("t",), 1.9)]
        turn_cold(self.limits, 5.0, 2.0)
        self.assertFalse(self.limits.may_send(("t",), 5.0))
        self.assertFalse(self.limits.confirm(permits[0], 5.0))
        self.limits.give_back(permits[1])
        self.assertFalse(self.limits.may_send(("t",), 5.0))

    def test_absurd_seconds_are_capped(self):
        for seconds in (1e300, math.inf):
            change = turn_cold(self.limits, 0.0, seconds)
            self.assertEqual(change.seconds, MAX_COLD_SECONDS)
            self.limits.cold.forget("t")

    def test_tight_bound_without_room_for_one_request_sends_none(self):
        limits = make_limits("a", ["a"], bound=WindowBound(), rate=0.4)
        turn_cold(limits, 0.0, 3.0)
        self.assertFalse(any(send(limits, at / 10) for at in range(30)))
        self.assertTrue(send(limits, 3.0))


class PlacingTest(unittest.TestCase):
    def setUp(self):
        self.limits = make_limits("a", ["a"])
        self.book = LoadTracker("hall", random.Random(1), self.limits)
        self.candidates = [
            Candidate(n, TargetHost(Instance(n), "pool", f"{n}:1", "hall", False, 10))
            for n in ("t", "u")
        ]

    def test_cold_target_is_chosen_when_its_turn_has_come_and_warm_ones_meanwhile(self):
        turn_cold(self.limits, 0.0)
        now, chosen = 2.0, []
        for _ in range(100):
            now += 0.002
            found = self.book.choose(self.candidates, (), now, connected=lambda address: True)
            permit = self.limits.take(found.incarnations, now)
            self.assertTrue(self.limits.confirm(permit, now))
            self.book.begin(found.target)
            self.book.end(found.target)
            chosen.append(found.target)
        self.assertLessEqual(chosen.count("t"), 5)
        self.assertGreater(chosen.count("t"), 0)
        self.assertGreater(self.limits.cold.held_back, 0)

    def test_callers_are_told_when_to_return_where_all_targets_are_cold(self):
        for name in ("t", "u"):
            self.limits.cold.state(name, "pool", 3.0, ColdSource.ENTRY, 0.0, 0.0)
        self.assertIsNone(self.book.choose(self.candidates, (), 0.0))
        self.assertAlmostEqual(self.book.limited_for(self.candidates, "", 0.0), 1 / (2 * RATE))

    def test_rate_is_known_before_a_target_was_ever_considered(self):
        for name in ("t", "u"):
            self.limits.cold.state(name, "pool", 3.0, ColdSource.ENTRY, 0.0, 0.0)
        self.assertAlmostEqual(self.book.limited_for(self.candidates, "", 0.0), 1 / (2 * RATE))


def cold_configuration(**changed):
    """Return the stand-in's configuration, with a cold rate for one service."""
    found = json.loads(configuration(1, {"hall": ["key-a"]}))
    found["services"][1] |= {"cold_per_s": 4.0, "cold_start_s": 3.0, **changed}
    return json.dumps(found).encode()


def entry(cold_ms, sequence=1, born=5):
    return json.dumps(
        {
            "service": "desk",
            "address": "10.0.0.1:80",
            "zone": "hall",
            "version": "v1",
            "born": born,
            "cold_remaining_ms": cold_ms,
            "sequence": sequence,
            "max_batch": 6,
            "state": "ready",
        }
    ).encode()


class NotedRecords(Records):
    """Records that keep what they note."""

    def __init__(self):
        super().__init__("a")
        self.lines = []

    def note(self, part, what, **fields):
        self.lines.append((part, what, fields))


class SourcesTest(unittest.TestCase):
    """What entries and answers say, up to the limit of the target."""

    def setUp(self):
        self.records = NotedRecords()
        self.limits = ColdLimits("a", BOUND)
        self.inventory = Inventory()
        self.traffic = True
        self.catalog = decode_configuration(cold_configuration())
        self.cold = ColdTargets(
            Kernel(),
            self.limits,
            self.inventory,
            lambda: self.catalog,
            lambda: self.traffic,
            self.records,
        )
        self.hosts = HostList(
            self.inventory, self.records, lambda removal: None, 2.0, self.cold.listed
        )

    def list_entry(self, cold_ms, now=0.0, **more):
        return self.hosts.change("servers/t", entry(cold_ms, **more), NEVER, now)

    def noted(self, part="cold"):
        return [what for p, what, _ in self.records.lines if p == part]

    @property
    def is_cold(self):
        return self.limits.find("t@5") is not None

    def test_only_entries_that_turn_a_target_cold_or_warm_are_changes(self):
        self.assertTrue(self.list_entry(0))
        before = self.inventory.changes
        self.assertFalse(self.list_entry(0, 1.0))
        self.assertTrue(self.list_entry(3_000, 2.0))  # peers that read from here need it
        self.assertFalse(self.list_entry(1_800, 3.2))
        self.assertFalse(self.list_entry(600, 4.4))
        self.assertTrue(self.list_entry(0, 5.6))  # what a host that starts later reads from here
        self.assertFalse(self.list_entry(0, 5.8))
        self.assertTrue(self.list_entry(3_000, 6.0))
        self.assertTrue(self.list_entry(3_000, 7.2))
        self.assertTrue(self.list_entry(0, 8.0))
        self.assertEqual(self.inventory.changes, before)

    def test_without_a_rate_no_entry_is_a_change_for_its_cold_time(self):
        self.catalog = decode_configuration(cold_configuration(cold_per_s=0))
        self.list_entry(0)
        self.assertFalse(self.list_entry(3_000, 2.0))
        self.assertFalse(self.list_entry(0, 3.0))
        self.assertEqual(self.noted(), [])

    def test_entry_begins_and_ends_it(self):
        self.list_entry(3_000)
        self.assertTrue(self.is_cold)
        self.list_entry(0, 1.0)
        self.assertFalse(self.is_cold)
        self.assertEqual(self.noted(), ["began", "ended"])

    def test_restarted_entry_host_reads_of_cold_targets_before_it_can_choose_them(self):
        self.hosts.replace([Item("servers/t", entry(3_000), NEVER)], 0.0)
        self.assertTrue(self.is_cold)

    def test_entry_that_is_read_again_does_not_extend_it(self):
        self.list_entry(3_000, sequence=7)
        ends_at = self.limits.find("t@5").ends_at
        for sequence in (7, 6):
            self.hosts.replace([Item("servers/t", entry(3_000, sequence), NEVER)], 2.0)
        self.assertEqual(self.limits.find("t@5").ends_at, ends_at)
        self.hosts.replace([Item("servers/t", entry(0, sequence=8), NEVER)], 2.0)
        self.assertFalse(self.is_cold)

    def test_entries_of_a_store_restored_from_a_backup_end_nothing(self):
        self.list_entry(3_000, sequence=7)
        self.hosts.restored(1.0)
        self.hosts.replace([Item("servers/t", entry(0, sequence=6), NEVER)], 1.0)
        self.assertTrue(self.is_cold)

    def test_unreadable_entry_of_a_new_target_counts_as_cold_once_there_is_traffic(self):
        self.list_entry(-1)
        self.assertTrue(self.is_cold)
        self.assertIn("unusable entry", self.noted())
        self.limits.expire(time.monotonic() + 3.1)
        self.list_entry(-1, 4.0, sequence=2)  # unreadable still, but no longer new
        self.assertFalse(self.is_cold)
        self.assertEqual(self.noted().count("unusable entry"), 1)

    def test_nothing_is_cold_for_want_of_a_word_before_the_first_request(self):
        self.traffic = False
        self.list_entry(-1)
        self.assertFalse(self.is_cold)

    def test_absurd_number_of_an_entry_is_capped(self):
        self.list_entry(1e300)
        self.assertIn("capped", self.noted())
        self.assertTrue(self.limits.expire(time.monotonic() + MAX_COLD_SECONDS + 1.0))

    def test_entry_without_the_field_names_no_target(self):
        lacking = json.loads(entry(0))
        del lacking["cold_remaining_ms"]
        for value in (None, "3000", [3], lacking):
            data = json.dumps(value).encode() if value is lacking else entry(value)
            with self.subTest(value=value), self.assertRaises(ValueError):
                decode_entry("servers/t", data)

    def test_answer_begins_and_ends_it(self):
        self.list_entry(0)
        now = time.monotonic()
        self.answer(StatedCold(2.5, "2500"), now - 0.1)
        self.assertTrue(self.is_cold)
        self.answer(StatedCold(0.0, "0"), now - 0.1)
        self.assertTrue(self.is_cold)
        self.answer(StatedCold(0.0, "0"), time.monotonic())
        self.assertFalse(self.is_cold)

    def test_unreadable_answer_counts_as_cold(self):
        self.list_entry(0)
        self.answer(StatedCold(None, "soon"), time.monotonic())
        self.assertTrue(self.is_cold)
        self.assertIn("unusable answer", self.noted())

    def answer(self, stated, asked_at):
        self.cold.answered("t@5", stated, StatementSource(CallKind.CONTROL, asked_at))

    def test_answer_of_an_incarnation_that_has_ended_is_ignored(self):
        self.list_entry(0, born=6)
        self.answer(StatedCold(2.5, "2500"), time.monotonic())
        self.assertFalse(self.limits.known)

    def test_incarnation_takes_its_cold_time_with_it(self):
        self.list_entry(3_000)
        self.cold.incarnation_ended("t@5")
        self.assertFalse(self.is_cold)

    def test_configuration_without_a_usable_rate_keeps_the_one_in_force(self):
        self.list_entry(3_000)
        self.catalog = decode_configuration(cold_configuration(cold_per_s="many"))
        self.cold.refresh_rates()
        self.assertTrue(self.is_cold)
        self.assertIn("unusable setting", self.noted())

    def test_configuration_that_takes_the_rate_back_lifts_the_limit(self):
        self.list_entry(3_000)
        self.catalog = decode_configuration(cold_configuration(cold_per_s=0))
        self.cold.refresh_rates()
        self.assertFalse(self.is_cold)


class ReadingTest(unittest.TestCase):
    def read(self, *values):
        headers = HTTPHeaders()
        for value in values:
            headers.add("Cold-Ms", value)
        return read_notice(200, headers).cold

    def test_milliseconds_are_read(self):
        self.assertEqual(self.read("2500").seconds, 2.5)
        self.assertEqual(self.read("0").seconds, 0.0)
        self.assertEqual(self.read("100", "300").seconds, 0.3)
        self.assertIsNone(self.read())

    def test_what_is_no_number_is_unknown(self):
        for text in ("", "-1", "nan", "inf", "1e3", "soon", "9" * 400):
            with self.subTest(text=text):
                self.assertIsNone(self.read(text).seconds)
        self.assertIsNone(self.read("100", "soon").seconds)

    def test_rates_of_the_configuration(self):
        for value, usable in ((4.0, True), (4, True), ("4", False), (-4, False), ([], False)):
            (service,) = [
                s
                for s in decode_configuration(
                    cold_configuration(cold_per_s=value)
                ).service_by_name.values()
                if s.name == "desk"
            ]
            with self.subTest(value=value):
                self.assertEqual(math.isnan(service.cold.rate), not usable)
        for value in (0, 0.0, None):
            catalog = decode_configuration(cold_configuration(cold_per_s=value))
            self.assertIsNone(catalog.service_by_name["desk"].cold)


class ColdSiteTest(SiteTest):
    """Three entry hosts and targets that turn cold, on stand-ins."""

    entries = 3

    async def test_target_that_turns_cold_gets_no_more_than_the_bound_and_then_all_again(self):
        site = self.site
        for host in site.entries:
            await until(lambda h=host: len(h.candidates("desk", "")) == 2)
        site.store.put("op/config", cold_configuration(cold_per_s=3.0))
        target = site.targets[0]
        site.set_cold(target.instance, 3_000)
        limits = [h._book.limits.cold for h in site.entries]
        await until(lambda: all(c.targets for c in limits), 5.0)
        cold_from = time.monotonic()
        await self.send_at_rate(40, 2.0, "/scan/x")
        during = [a for a in target.notices.arrivals if a >= cold_from]
        # The stand-in's settings give no bound, so it is the rate itself.
        self.assertLessEqual(max_within_window(1.0, during, cold_from), 3)
        site.set_cold(target.instance, 0)
        await until(lambda: not any(c.targets for c in limits), 5.0)
        site.store.delete(f"servers/{site.targets[1].instance}")
        for host in site.entries:
            await until(lambda h=host: len(h.candidates("desk", "")) == 1, 5.0)
        before = len(target.notices.arrivals)
        replies = await self.send_at_rate(40, 1.0, "/scan/x")
        self.assertGreater(len(replies), 8)
        self.assertEqual({r.status if r else 0 for r, _ in replies}, {200})
        self.assertGreaterEqual(len(target.notices.arrivals) - before, len(replies))
