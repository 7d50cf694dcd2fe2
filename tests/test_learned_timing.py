"""Learned times and speeds of targets, and what callers get by them."""

import heapq
import itertools
import math
import random
import unittest
from typing import NamedTuple
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderhill.exposition import Exposition
from oleanderhill.groups.inventory import Instance, TargetHost
from oleanderhill.operators.explaining import explain_log
from oleanderhill.records import Records
from oleanderhill.serving import learned_timing, slow_start, target_speeds
from oleanderhill.serving.decaying import DecayingSums
from oleanderhill.serving.learned_timing import MAX_CORRECTION, LearnedTiming
from oleanderhill.serving.placement import Candidate, LoadTracker
from oleanderhill.serving.prediction import Prediction, max_waiting, predict
from oleanderhill.serving.reports import ReportRecipients, Scope
from oleanderhill.serving.request_times import RequestTimes
from oleanderhill.serving.shared_counters import CounterReport, SharedCounters
from oleanderhill.serving.slow_start import ServingTarget
from oleanderhill.serving.stall_timeout import (
    FIRST_EVENT_FRACTION,
    max_load_elsewhere,
    stall_timeout_for,
)
from oleanderhill.serving.subject_times import TIMES_FAMILY
from oleanderhill.serving.time_sketch import BUCKET_RATIO, bucket_of, quantile
from oleanderhill.serving.timing import Completion, ConfiguredTiming, Observation
from oleanderhill.settings.catalog import (
    EngineProfile,
    EngineTiming,
    ModelProfile,
    Repeatable,
    Route,
)

TIMES = EngineTiming(5.95e-3, 0.089e-3, 0.01626e-6, 7, 1 / 50_700, 1115, 178)
SLOTS = 13
CONFIGURED = Prediction(0.1, 0.12, 0.05)


def target(name, slots=SLOTS):
    return Candidate(
        name, TargetHost(Instance(name), "pool", f"{name}:1", "here", False, slots, "d")
    )


def serving(names, subject="m", slots=SLOTS):
    return {name: ServingTarget(subject, slots) for name in names}


def learned(names=("a", "b", "c"), configured=CONFIGURED, me="here"):
    counters = SharedCounters(me, "dc")
    timing = LearnedTiming(counters)
    if configured is not None:
        timing.configure({"m": configured})
    timing.set_targets(serving(names), 0.0)
    return timing, counters


def feed(timing, seconds_by_target, rounds=30, start=0.0, load=0.8, subject="m", step=0.05):
    now = start
    for _ in range(rounds):
        now += step
        for name, seconds in seconds_by_target.items():
            timing.observe(Observation(subject, name, load, seconds, int(load >= 1)), now)
    return now


def exchange(all_counters, now):
    """Send the counters of each host to all others."""
    for sender in all_counters:
        names = tuple(str(n) for n in range(len(all_counters)))
        for report, _ in sender.outgoing(ReportRecipients(names, (), ()), now):
            decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=CounterReport)
            for other in all_counters:
                if other is not sender:
                    other.receive(decoded, now)


class SketchTest(unittest.TestCase):
    @given(st.lists(st.floats(0.001, 100), min_size=1, max_size=200), st.floats(0.01, 0.99))
    def test_quantile_is_within_one_bucket_of_the_exact_one(self, times, fraction):
        counts = {}
        for seconds in times:
            counts[bucket_of(seconds)] = counts.get(bucket_of(seconds), 0) + 1
        exact = sorted(times)[math.ceil(fraction * len(times) - 1e-9) - 1]
        found = quantile(counts, fraction)
        self.assertLessEqual(found, exact * BUCKET_RATIO * (1 + 1e-9))
        self.assertGreaterEqual(found, exact / BUCKET_RATIO * (1 - 1e-9))

    @settings(max_examples=40)
    @given(st.lists(st.tuples(st.floats(0.001, 9), st.integers(0, 3)), min_size=30, max_size=90))
    def test_hosts_that_share_know_what_one_host_would(self, observed):
        one, _ = learned()
        several = [learned(me=str(n)) for n in range(4)]
        for seconds, host in observed:
            observation = Observation("m", "a", 0.8, seconds)
            one.observe(observation, 1.0)
            several[host][0].observe(observation, 1.0)
        exchange([counters for _, counters in several], 1.1)
        expected = one._times.tables(1.1)["m"].counts_by_band
        for timing, _ in several:
            found = timing._times.tables(1.1)["m"].counts_by_band
            for band, counts in expected.items():
                self.assertEqual(found[band].keys(), counts.keys())
                for bucket, count in counts.items():
                    # Each of four hosts reports counts rounded to hundredths.
                    self.assertAlmostEqual(found[band][bucket], count, delta=4 * 0.005 + 1e-9)

    def test_old_times_decay(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.4}, 40)
        self.assertGreater(timing.prediction("m", now).first_event, 0.3)
        now = feed(timing, {"a": 0.1}, 400, now)
        self.assertEqual(timing.prediction("m", now), CONFIGURED)
        feed(timing, {"a": 0.4}, 400, now)
        self.assertEqual(timing.prediction("m", now + 3_600), CONFIGURED)

    def test_sums_survive_long_idle_times(self):
        sums = DecayingSums(2.0, 4, 0.1)
        sums.add("a", 5.0, 1e9)
        self.assertAlmostEqual(sums.sums(1e9 + 2.0)["a"].total, 5.0 / math.e)
        self.assertEqual(sums.sums(2e9), {})

    def test_full_table_takes_a_new_key_once_old_ones_have_decayed(self):
        sums = DecayingSums(2.0, 2, 0.1)
        self.assertEqual([sums.add(k, 1.0, 0.0) for k in "abc"], [True, True, False])
        self.assertTrue(sums.add("c", 1.0, 60.0))


class CorrectionTest(unittest.TestCase):
    def test_nothing_is_corrected_by_few_observations(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.4}, 5)
        self.assertEqual(timing.prediction("m", now), CONFIGURED)

    def test_times_as_configured_are_kept_exactly(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.11, "b": 0.09})
        for _ in range(40):
            timing.complete(Completion("m", 0.8, SLOTS, 0.12 * SLOTS), now)
        self.assertEqual(timing.prediction("m", now + 1), CONFIGURED)

    def test_without_configured_times_they_are_learned(self):
        timing, _ = learned(configured=None)
        self.assertIsNone(timing.prediction("m", 0.0))
        now = feed(timing, {"a": 0.2})
        for _ in range(40):
            timing.complete(Completion("m", 0.8, SLOTS, 1.3), now)
        found = timing.prediction("m", now + 1)
        self.assertAlmostEqual(found.first_event, 0.2, delta=0.03)
        self.assertAlmostEqual(found.slot_interval, 0.1, delta=0.01)

    def test_counters_without_durations_do_not_stop_the_queue_limit(self):
        """Guards against a division by a slot time of 0 where none is configured."""
        timing, _ = learned(configured=None)
        now = feed(timing, {"a": 0.2, "b": 0.2}, 30)
        for _ in range(40):
            timing.complete(Completion("m", 0.8, SLOTS, 0.0), now)
        self.assertGreaterEqual(max_waiting(timing.prediction("m", now + 0.5), 1.0, SLOTS), 0)

    def test_waits_at_full_targets_do_not_count_as_time_of_the_first_event(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.9}, load=1.1)
        self.assertEqual(timing.prediction("m", now)[:2], CONFIGURED[:2])
        self.assertGreater(timing.time_quantile("m", 0.5, now), 0.7)

    @given(
        st.dictionaries(
            st.sampled_from(["m/0/3", "m/1/80", "m/1/999", "m/x/1", "m", "", "m/7/1", "/-1/-1"]),
            st.floats(0, 1e9),
            max_size=8,
        ),
        st.dictionaries(st.sampled_from(["m/n", "m/s", "a/n", "a/s", "/n"]), st.floats(0, 1e9)),
    )
    def test_hostile_counters_move_nothing_beyond_the_bounds(self, times, sums):
        timing, counters = learned()
        feed(timing, {"a": 0.1, "b": 0.1})
        families = {
            TIMES_FAMILY: times,
            "completions": sums,
            "target-times": sums,
            "mean-times": sums,
            "first-answers": sums,
        }
        counters.receive(CounterReport("x", Scope.OWN, "dc", 0, 1, families), 1.6)
        found = timing.prediction("m", 1.6)
        for value, configured in zip(found[:2], CONFIGURED[:2], strict=True):
            self.assertTrue(configured <= value <= configured * MAX_CORRECTION)
        for slowness in timing.slowness_by_target(1.6).values():
            self.assertTrue(1 <= slowness <= target_speeds.MAX_SLOWNESS)
        book = LoadTracker("here", random.Random(1), timing=timing)
        self.assertIsNotNone(book.choose([target("a"), target("b")], (), 1.6, 1.0))

    def test_extreme_times_correct_within_the_bound(self):
        timing, _ = learned()
        now = feed(timing, {"a": 90.0, "b": 90.0})
        first_event = timing.prediction("m", now).first_event
        self.assertLessEqual(first_event, CONFIGURED.first_event * 5)
        self.assertGreater(first_event, CONFIGURED.first_event * 4)

    def test_absurd_observations_are_counted_and_ignored(self):
        timing, _ = learned()
        for seconds in (math.nan, math.inf, -1.0):
            timing.observe(Observation("m", "a", 0.8, seconds), 1.0)
        self.assertEqual(timing.ignored, 3)
        records = mock.Mock(spec=Records)
        timing.log_changes(records)
        records.note.assert_called_once_with("timing", "observation ignored", seconds="nan")
        self.assertIsNone(timing.time_quantile("m", 0.5, 1.0))


class SlownessTest(unittest.TestCase):
    def test_slow_target_is_known_and_forgotten_when_unused(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.8, "b": 0.2, "c": 0.2})
        self.assertGreater(timing.slowness("a", now), 2.0)
        self.assertEqual(timing.slowness("b", now), 1.0)
        later = feed(timing, {"b": 0.2, "c": 0.2}, 300, now)
        self.assertEqual(timing.slowness("a", later), 1.0)
        self.assertIn("a", timing.start_limits(later))

    def test_target_that_mends_is_as_its_fellows_again(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.8, "b": 0.2, "c": 0.2})
        later = feed(timing, {"a": 0.2, "b": 0.2, "c": 0.2}, 200, now)
        self.assertEqual(timing.slowness("a", later), 1.0)

    def test_report_that_all_are_slow_slows_none(self):
        timing, counters = learned()
        now = feed(timing, {"a": 0.2, "b": 0.2, "c": 0.2})
        values = {f"{t}/{k}": v for t in "abc" for k, v in (("n", 1e6), ("s", 9e6))}
        families = {"target-times": values, "mean-times": {"m/n": 9e6, "m/s": 9e6}}
        counters.receive(CounterReport("x", Scope.OWN, "dc", 0, 1, families), now + 0.5)
        self.assertEqual(timing.slowness_by_target(now + 0.5), {})

    def test_few_observations_say_nothing(self):
        timing, _ = learned()
        now = feed(timing, {"b": 0.2, "c": 0.2})
        now = feed(timing, {"a": 2.0}, 2, now)
        self.assertEqual(timing.slowness("a", now + 1), 1.0)

    def test_all_slow_at_once_are_not_slow(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.2, "b": 0.2, "c": 0.2}, 100)
        for _ in range(100):
            now = feed(timing, {"a": 0.8, "b": 0.8, "c": 0.8}, 1, now)
            self.assertEqual(timing.slowness_by_target(now), {})

    def test_hosts_tell_each_other_of_a_slow_target(self):
        hosts = [learned(me=str(n)) for n in range(4)]
        now = 0.0
        for number in range(60):
            now += 0.1
            timing, _ = hosts[number % 4]
            for name, seconds in (("a", 1.2), ("b", 0.2), ("c", 0.2)):
                timing.observe(Observation("m", name, 0.5, seconds), now)
            exchange([counters for _, counters in hosts], now)
        stranger, counters = learned(me="x")
        feed(stranger, {"b": 0.2, "c": 0.2})
        exchange([counters, *(c for _, c in hosts)], now + 0.3)
        self.assertGreater(stranger.slowness("a", now + 0.3), 2.0)

    def test_host_that_hears_nobody_learns_alone(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.8, "b": 0.3, "c": 0.3})
        self.assertGreater(timing.slowness("a", now), 1.5)
        self.assertGreater(timing.prediction("m", now).first_event, 0.2)

    def test_tables_stay_bounded_over_many_ended_incarnations(self):
        timing, counters = learned()
        now = 0.0
        for life in range(400):
            names = [f"h{n}@{life}" for n in range(5)]
            timing.set_targets(serving(names), now)
            now = feed(timing, dict.fromkeys(names, 0.2), 3, now, step=0.2)
            timing.prediction("m", now)
        sizes = [len(counters.total(family, now)) for family in ("target-times", "first-answers")]
        self.assertLessEqual(max(sizes), 20)
        self.assertLessEqual(len(timing._speeds._by_target.sums(now)), 20)

    def test_hosts_do_not_report_healthy_targets_because_of_each_other(self):
        """Guards against reports that last because every host repeats the others'."""
        rng = random.Random(1)
        names = [f"g{n}" for n in range(60)]
        hosts = [learned(names, me=str(n)) for n in range(8)]
        now = 0.0
        while now < 20.0:
            now += 0.2
            for _ in range(24):
                seconds = 0.15 * rng.lognormvariate(0, 0.35)
                found = Observation("m", rng.choice(names), 0.5, seconds)
                rng.choice(hosts)[0].observe(found, now)
            exchange([counters for _, counters in hosts], now)
        shared = hosts[0][1].total(target_speeds.SPEEDS_FAMILY, now)
        self.assertLessEqual(len(shared) / 2, len(names) / 10)

    def test_wide_report_holds_few_targets(self):
        names = [f"g{n}" for n in range(300)]
        timing, counters = learned(names)
        now = feed(timing, {n: 0.02 if i % 2 else 2.0 for i, n in enumerate(names)}, 5)
        shared = counters.total(target_speeds.SPEEDS_FAMILY, now)
        self.assertLessEqual(len(shared), 2 * target_speeds.MAX_SHARED_TARGETS)


class SlowStartTest(unittest.TestCase):
    def test_new_target_takes_more_with_each_answer(self):
        timing, _ = learned(("a", "b", "c"))
        timing.set_targets(serving("abcd"), 1.0)
        first = timing.start_limits(1.0)["d"]
        self.assertLess(first, SLOTS / 2)
        timing.observe(Observation("m", "d", 0.1, 0.2), 1.1)
        self.assertGreater(timing.start_limits(1.3)["d"], first)
        for _ in range(SLOTS):
            timing.observe(Observation("m", "d", 0.1, 0.2), 1.4)
        self.assertEqual(timing.start_limits(1.6), {})

    def test_first_targets_of_a_process_and_of_a_model_are_not_held_back(self):
        timing, _ = learned(("a", "b"))
        self.assertEqual(timing.start_limits(0.1), {})
        timing.set_targets({**serving("ab"), **serving("xy", "other")}, 1.0)
        self.assertEqual(timing.start_limits(1.0), {})

    def test_targets_that_return_together_are_not_held_back(self):
        timing, _ = learned(("a",))
        timing.set_targets(serving("abc"), 1.0)
        self.assertEqual(timing.start_limits(1.0), {})

    def test_slow_start_ends_without_answers(self):
        timing, _ = learned()
        timing.set_targets(serving("abcd"), 1.0)
        self.assertEqual(timing.start_limits(1.1 + slow_start.MAX_SECONDS), {})

    def test_answers_to_other_hosts_end_the_slow_start(self):
        hosts = [learned(me=str(n)) for n in range(3)]
        for timing, _ in hosts:
            timing.set_targets(serving("abcd"), 1.0)
        for _ in range(SLOTS):
            hosts[0][0].observe(Observation("m", "d", 0.1, 0.2), 1.1)
        exchange([counters for _, counters in hosts], 1.3)
        for timing, _ in hosts:
            self.assertEqual(timing.start_limits(1.5), {})

    def test_target_that_starts_takes_all_that_others_cannot(self):
        """Guards against rejections beside free slots while groups return one after the other."""
        timing, _ = learned()
        timing.set_targets(serving("abcd"), 1.0)
        book = LoadTracker("here", random.Random(1), timing=timing)
        candidates = [target(name) for name in "abcd"]
        while (chosen := book.choose(candidates, (), 1.0, 1.0)) is not None:
            book.begin(chosen.target)
        self.assertEqual(sum(book.own.values()), 4 * SLOTS)

    def test_target_that_returns_among_many_is_not_held_back(self):
        """Guards against a limit that outlasts its target's absence."""
        timing, _ = learned()
        timing.set_targets(serving("abcd"), 1.0)
        self.assertIn("d", timing.start_limits(1.0))
        timing.set_targets(serving("a"), 2.0)
        timing.set_targets(serving("abcd"), 2.5)
        self.assertEqual(timing.start_limits(3.0), {})

    def test_peers_that_forget_an_earlier_start_do_not_prolong_the_next(self):
        peer, peer_counters = learned(me="peer")
        timing, counters = learned()
        peer.set_targets(serving("abcd"), 0.0)
        for _ in range(3 * SLOTS):
            peer.observe(Observation("m", "d", 0.1, 0.2), 0.1)
        exchange([counters, peer_counters], 0.3)
        timing.set_targets(serving("abcd"), 0.4)
        exchange([counters], 3.0)
        exchange([counters], 3.3)
        timing.start_limits(3.3)
        for _ in range(SLOTS):
            timing.observe(Observation("m", "d", 0.1, 0.2), 3.4)
        self.assertEqual(timing.start_limits(3.6), {})

    def test_hosts_do_not_rush_to_a_restarted_group(self):
        sent = {True: 0, False: 0}
        for with_part in sent:
            timing, _ = learned([f"g{n}" for n in range(6)])
            timing.set_targets(serving([f"g{n}" for n in range(7)]), 1.0)
            used = timing if with_part else ConfiguredTiming()
            book = LoadTracker("here", random.Random(1), timing=used)
            for n in range(6):
                for _ in range(11):
                    book.begin(f"g{n}")
            candidates = [target(f"g{n}") for n in range(7)]
            for _ in range(11):
                book.begin(book.choose(candidates, (), 1.0, 1.1).target)
            sent[with_part] = book.load("g6", 1.0)
        self.assertGreater(sent[False], 9)
        self.assertLessEqual(sent[True], 4)


class PlacementTest(unittest.TestCase):
    def test_equal_targets_are_chosen_as_without_learning(self):
        timing, _ = learned([f"g{n}" for n in range(5)])
        now = feed(timing, {f"g{n}": 0.1 for n in range(5)})
        books = [LoadTracker("here", random.Random(4), timing=t) for t in (None, timing)]
        candidates = [target(f"g{n}") for n in range(5)]
        for _ in range(90):
            chosen = [book.choose(candidates, (), now, 1.1) for book in books]
            self.assertEqual(chosen[0], chosen[1])
            if chosen[0] is None:
                break
            for book in books:
                book.begin(chosen[0].target)
        self.assertIsNone(chosen[0])

    def test_slow_target_gets_fewer_requests_and_not_none(self):
        timing, _ = learned(("a", "b", "c"))
        now = feed(timing, {"a": 0.8, "b": 0.2, "c": 0.2})
        book = LoadTracker("here", random.Random(4), timing=timing)
        candidates = [target(name) for name in "abc"]
        while (chosen := book.choose(candidates, (), now, 1.0)) is not None:
            book.begin(chosen.target)
        self.assertEqual(book.load("b", now), SLOTS)
        self.assertTrue(1 <= book.load("a", now) <= SLOTS / 2)


def route(repeatable, goal=0.25, timeout=1.0):
    stream = repeatable == Repeatable.STREAM
    return Route("r", "", "/", repeatable, timeout, goal, 2, 1, True, (), stream, 0.3, stream)


class StallTest(unittest.TestCase):
    def test_general_slowness_is_not_taken_for_stalls(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.4, "b": 0.45, "c": 0.4}, load=1.0)
        stream = route(Repeatable.STREAM)
        limit = stall_timeout_for(stream, False, lambda f: timing.time_quantile("m", f, now))
        self.assertGreaterEqual(limit, 0.4)
        self.assertLess(limit, 0.25 * FIRST_EVENT_FRACTION * 2.1)
        self.assertEqual(stall_timeout_for(stream, True), stall_timeout_for(stream, True, len))

    def test_usual_times_leave_the_stall_timeout_as_configured(self):
        stream = route(Repeatable.STREAM)
        self.assertEqual(
            stall_timeout_for(stream, False, lambda f: 0.1), stall_timeout_for(stream, False)
        )

    def test_plain_request_leaves_a_silent_target_in_time_for_a_second(self):
        plain = route(Repeatable.IDEMPOTENT, 0.3)
        limit = stall_timeout_for(plain, False, lambda f: 0.03)
        self.assertLess(limit + 4 * 0.03, 0.3)
        self.assertEqual(stall_timeout_for(plain, False, lambda f: 9.0), 0.45)
        once = route(Repeatable.ONCE, 0.3)
        self.assertEqual(stall_timeout_for(once, False, lambda f: 0.03), 0.45)


class RequestTimesTest(unittest.TestCase):
    def test_attempt_that_was_never_sent_is_not_observed(self):
        timing = mock.Mock(spec=LearnedTiming)
        times = RequestTimes(timing, "s", False)
        times.chosen("a", 6, 3)
        times.sent_at = 1.0
        times.chosen("b", 6, 3)
        times.abandoned(2.0)
        timing.observe.assert_not_called()

    def test_plain_answer_and_abandoned_plain_request_are_observed(self):
        timing = mock.Mock(spec=LearnedTiming)
        times = RequestTimes(timing, "s", False)
        times.chosen("a", 6, 3)
        times.sent_at = 1.0
        times.answered(200, 1.2)
        times.answered(500, 1.2)
        times.abandoned(1.4)
        seconds = [call.args[0].seconds for call in timing.observe.call_args_list]
        self.assertEqual([round(s, 3) for s in seconds], [0.2, 0.4])


class EarlyLeaveTest(unittest.TestCase):
    def test_request_that_waits_for_a_slot_does_not_leave_early(self):
        timing, _ = learned(configured=None)
        now = feed(timing, {"a": 0.03, "b": 0.03, "c": 0.03})
        times = RequestTimes(timing, "m", False)
        times.chosen("a", 6, 3)
        self.assertLess(times.time_quantile(0.75, now), 0.05)
        times.chosen("a", 6, 6)
        self.assertIsNone(times.time_quantile(0.75, now))

    def test_request_leaves_early_only_for_a_free_slot(self):
        """Guards against retries that load a service whose targets are all full."""
        book = LoadTracker("here", random.Random(1))
        others = [target(name, 6) for name in "bc"]
        for name in "bc" * 6:
            book.begin(name)
        early, late = max_load_elsewhere(0.12, 0.45), max_load_elsewhere(0.45, 0.45)
        self.assertIsNone(book.choose(others, (), 1.0, min(early, 1.8)))
        self.assertIsNotNone(book.choose(others, (), 1.0, min(late, 1.8)))
        book.end("c")
        self.assertEqual(book.choose(others, (), 1.0, min(early, 1.8)).target, "c")

    def test_one_long_answer_does_not_make_a_plain_target_suspect(self):
        timing, _ = learned(configured=None)
        now = feed(timing, {"a": 0.03, "b": 0.03, "c": 0.03})
        times = RequestTimes(timing, "m", False)
        times.chosen("a", 6, 3)
        self.assertFalse(times.shows_failure(0.12, 0.45, now))
        self.assertTrue(times.shows_failure(0.46, 0.45, now))
        now = feed(timing, {"a": 0.36, "b": 0.03, "c": 0.03}, 90, now)
        self.assertTrue(times.shows_failure(0.12, 0.45, now))


class LogTest(unittest.TestCase):
    def test_changes_are_logged_once_and_explained(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.9, "b": 0.3, "c": 0.3})
        timing.slowness("a", now)
        timing.slowness("a", now + 1)
        records = mock.Mock(spec=Records)
        timing.log_changes(records)
        notes = [(call.args, call.kwargs) for call in records.note.call_args_list]
        self.assertEqual(
            [n[0] for n in notes], [("timing", "times corrected"), ("timing", "target slow")]
        )
        timing.log_changes(records)
        self.assertEqual(records.note.call_count, 2)
        line = {"message_type": "oleanderhill:timing", "what": "x", "timestamp": 1.0, "host": "h"}
        text = msgspec.json.encode({**line, **notes[1][1]}).decode()
        self.assertEqual(len(explain_log("a", [text])), 1)

    def test_slow_start_is_logged_and_explained(self):
        timing, _ = learned()
        timing.set_targets(serving("abcd"), 1.0)
        records = mock.Mock(spec=Records)
        timing.log_changes(records)
        records.note.assert_called_once_with("timing", "slow start", targets=["d"])
        line = {"message_type": "oleanderhill:timing", "timestamp": 1.0, "targets": ["d"]}
        self.assertEqual(len(explain_log("d", [msgspec.json.encode(line).decode()])), 1)

    def test_metrics_show_slow_targets(self):
        timing, _ = learned()
        now = feed(timing, {"a": 0.9, "b": 0.3, "c": 0.3})
        timing.slowness("a", now)
        exposition = Exposition()
        timing.show(exposition)
        self.assertIn(b"oleanderhill_targets_slow 1.0", exposition.text())

    def test_flood_of_changes_is_counted(self):
        timing, _ = learned()
        for number in range(learned_timing.MAX_PENDING_CHANGES + 5):
            timing.set_targets(serving("abc" + chr(200 + number)), float(number))
        records = mock.Mock(spec=Records)
        timing.log_changes(records)
        self.assertEqual(records.note.call_args.args[1], "changes not logged")


class Load(NamedTuple):
    """Load on a set of targets, and the targets' true times.

    :param rate: requests a second, by time
    :param first: median time to first event, ``rest`` the mean of what follows, in seconds
    :param slow: factor on the times of some targets
    """

    rate: object
    seconds: float
    targets: int
    slots: int
    first: float
    rest: float
    goal: float
    slow: dict = {}
    spread: float = 0.15
    repeatable: Repeatable = Repeatable.STREAM


class Played(NamedTuple):
    asked: int
    on_time: int
    refused: int


class Play:
    """Targets with slots and queues, and entry hosts that share counts with a delay.

    :param waiting: constant queue limit of the hosts, ``None`` for the one by their timing
    """

    HOSTS = 3

    def __init__(self, load, timings, waiting=None, configured=None, count_from=0.0):
        self.load, self.waiting = load, waiting
        self.rng = random.Random(5)
        self.names = [f"g{n}" for n in range(load.targets)]
        self.candidates = [target(name, load.slots) for name in self.names]
        self.timings, self.counters = timings, []
        self.books = [
            LoadTracker("here", random.Random(n), timing=t) for n, t in enumerate(timings)
        ]
        for timing in timings:
            timing.configure({"m": configured} if configured else {})
            if isinstance(timing, LearnedTiming):
                timing.set_targets(serving(self.names, slots=load.slots), 0.0)
                self.counters.append(timing._times._counters)
        self.events, self.order = [], itertools.count()
        self.running = dict.fromkeys(self.names, 0)
        self.queues = {name: [] for name in self.names}
        self.count_from, self.asked, self.on_time, self.refused = count_from, 0, 0, 0
        self.late_by_target = dict.fromkeys(self.names, 0)

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self):
        self.at(0.0, self.arrive)
        self.at(0.05, self.report)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return Played(self.asked, self.on_time, self.refused)

    def report(self):
        if self.now > self.load.seconds + 3:
            return
        for sender, receiver in itertools.permutations(range(self.HOSTS), 2):
            own = dict(self.books[sender].own)
            self.books[receiver].apply_peer_update(str(sender), own, [], {}, {}, self.now)
        exchange(self.counters, self.now)
        self.at(self.now + 0.05, self.report)

    def arrive(self):
        if self.now > self.load.seconds:
            return
        self.at(self.now + self.rng.expovariate(self.load.rate(self.now)), self.arrive)
        counted = self.now >= self.count_from
        self.asked += counted
        request = {"arrived": self.now, "counted": counted, "tried": set()}
        self.send(request, self.rng.randrange(self.HOSTS))

    def max_load(self, timing):
        if self.load.repeatable != Repeatable.STREAM:
            return 1.2
        waiting = self.waiting
        if waiting is None:
            prediction = timing.prediction("m", self.now)
            waiting = max_waiting(prediction, self.load.goal, self.load.slots)
        return 1 + waiting / self.load.slots

    def send(self, request, host):
        book, timing = self.books[host], self.timings[host]
        max_load = self.max_load(timing)
        chosen = book.choose(self.candidates, request["tried"], self.now, max_load)
        if chosen is None:
            self.refused += request["counted"]
            return
        name = chosen.target
        request["tried"].add(name)
        attempt = {"request": request, "host": host, "target": name, "sent": self.now}
        in_flight = book.load(name, self.now)
        attempt["load"] = in_flight / self.load.slots
        attempt["waiting"] = max(0, in_flight + 1 - self.load.slots)
        attempt["state"] = "queued"
        book.begin(name)
        self.queues[name].append(attempt)
        self.start_next(name)
        limit = stall_timeout_for(
            route(self.load.repeatable, self.load.goal),
            False,
            lambda f: timing.time_quantile("m", f, self.now),
        )
        if self.load.repeatable == Repeatable.IDEMPOTENT:
            self.at(self.now + limit, self.stalled, attempt)

    def start_next(self, name):
        while self.queues[name] and self.running[name] < self.load.slots:
            attempt = self.queues[name].pop(0)
            if attempt["state"] != "queued":
                continue
            attempt["state"] = "runs"
            self.running[name] += 1
            factor = self.load.slow.get(name, 1.0)
            first = self.load.first * factor * math.exp(self.rng.gauss(0, self.load.spread))
            rest = self.load.rest * factor * self.rng.uniform(0.5, 1.5)
            self.at(self.now + first, self.first_event, attempt)
            self.at(self.now + first + rest, self.end, attempt)

    def first_event(self, attempt):
        if attempt["state"] == "left":
            return
        request, timing = attempt["request"], self.timings[attempt["host"]]
        seconds = self.now - attempt["sent"]
        timing.observe(observation(attempt, seconds), self.now)
        attempt["state"] = "answers"
        is_on_time = self.now - request["arrived"] <= self.load.goal
        self.on_time += request["counted"] and is_on_time
        self.late_by_target[attempt["target"]] += not is_on_time

    def end(self, attempt):
        if attempt["state"] == "left":
            return
        completion = Completion("m", attempt["load"], self.load.slots, self.now - attempt["sent"])
        self.timings[attempt["host"]].complete(completion, self.now)
        self.release(attempt)

    def release(self, attempt):
        name = attempt["target"]
        self.running[name] -= attempt["state"] != "queued"
        attempt["state"] = "left"
        self.books[attempt["host"]].end(name)
        self.start_next(name)

    def stalled(self, attempt):
        if attempt["state"] not in ("queued", "runs"):
            return
        host, request = attempt["host"], attempt["request"]
        others = self.books[host].choose(self.candidates, request["tried"], self.now, 1.2)
        if others is None:
            return
        seconds = self.now - attempt["sent"]
        self.timings[host].observe(observation(attempt, seconds), self.now)
        self.release(attempt)
        self.send(request, host)


def observation(attempt, seconds):
    return Observation("m", attempt["target"], attempt["load"], seconds, attempt["waiting"])


def with_part():
    return [LearnedTiming(SharedCounters(str(n), "dc")) for n in range(Play.HOSTS)]


def without_part():
    return [ConfiguredTiming() for _ in range(Play.HOSTS)]


BURST_BEGINS = 6.0


def burst(pace, hidden, factor):
    """Return a burst on eight groups, and the times that are configured for them."""
    configured = predict(
        EngineProfile(SLOTS, 4.5, 6, {}, TIMES), ModelProfile("m", 2, 1.0, pace, 12.0, 1.1)
    )
    first = configured.first_event + hidden * pace
    rest = configured.slot_interval * SLOTS - configured.first_event
    groups = 8
    bearable = groups * SLOTS / (first + rest)

    def rate(now):
        return bearable * (factor if now >= BURST_BEGINS else 0.7)

    # A request that gets a slot at once is on time, one that waits for another is not.
    goal = first * 1.4 + 0.01
    return Load(rate, BURST_BEGINS + 8.0, groups, SLOTS, first, rest, goal), configured


class BurstTest(unittest.TestCase):
    """Bursts on groups, some with a time to first event that no configured parameter names."""

    def best_on_time(self, load):
        """Return what any constant queue limit achieves."""
        return max(
            Play(load, without_part(), waiting, CONFIGURED, BURST_BEGINS).run().on_time
            for waiting in (0, 1, 2, 3)
        )

    def test_answers_stay_on_time_in_a_burst(self):
        for pace, hidden, factor in itertools.product((0.6, 1.0, 2.0), (0.0, 0.11), (1.5, 2.0)):
            with self.subTest(pace=pace, hidden=hidden, factor=factor):
                load, configured = burst(pace, hidden, factor)
                best = self.best_on_time(load)
                plays = [
                    Play(load, timings, None, configured, BURST_BEGINS).run().on_time
                    for timings in (with_part(), without_part())
                ]
                self.assertGreaterEqual(plays[0], 0.9 * best)
                if hidden:
                    self.assertLess(plays[1], 0.9 * best)
                    self.assertLess(plays[1], plays[0])


class SlowTargetTest(unittest.TestCase):
    def late_share(self, load, timings, configured=None):
        play = Play(load, timings, None, configured, 3.0)
        result = play.run()
        return 1 - result.on_time / result.asked

    def test_group_four_times_slower_makes_few_late(self):
        _, configured = burst(1.0, 0.11, 1.0)
        load = Load(lambda now: 24.0, 20.0, 6, SLOTS, 0.2, 1.3, 0.35, {"g0": 4.0})
        with_it = self.late_share(load, with_part(), configured)
        without_it = self.late_share(load, without_part(), configured)
        self.assertLess(with_it, without_it / 2)

    def test_plain_target_twelve_times_slower_makes_few_late(self):
        load = Load(
            lambda now: 60.0,
            20.0,
            4,
            6,
            0.03,
            0.002,
            0.25,
            {"g0": 12.0},
            0.4,
            Repeatable.IDEMPOTENT,
        )
        with_it = self.late_share(load, with_part())
        without_it = self.late_share(load, without_part())
        self.assertGreater(without_it, 0.01)
        self.assertLess(with_it, without_it / 2)

    def test_all_slow_at_once_serve_as_many_as_without_the_part(self):
        _, configured = burst(1.0, 0.11, 1.0)
        slow = {f"g{n}": 4.0 for n in range(6)}
        load = Load(lambda now: 8.0, 20.0, 6, SLOTS, 0.2, 1.3, 1.2, slow)
        plays = [
            Play(load, timings, None, configured, 3.0).run()
            for timings in (with_part(), without_part())
        ]
        self.assertGreaterEqual(plays[0].on_time, 0.98 * plays[1].on_time)


if __name__ == "__main__":
    unittest.main()
