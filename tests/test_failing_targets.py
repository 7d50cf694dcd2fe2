"""Targets that answer with failures although they count as healthy."""

from __future__ import annotations

import heapq
import random
import time
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from oleanderhill.groups.inventory import Instance, TargetHost
from oleanderhill.routing.backoffs import Backoffs
from oleanderhill.routing.failing_targets import (
    ANSWERS,
    AVOID_SECONDS,
    FAILURES,
    MAX_TARGETS,
    WINDOW_SECONDS,
    FailingTargets,
)
from oleanderhill.routing.target_limits import TargetLimits
from oleanderhill.serving.placement import REQUEST_SECONDS, Candidate, LoadTracker
from oleanderhill.serving.reports import ReportRecipients
from oleanderhill.serving.shared_counters import SharedCounters

from . import test_users_site


class DetectionTest(unittest.TestCase):
    def test_target_that_fails_most_answers_is_avoided_and_then_tried_again(self):
        changes = []
        failing = FailingTargets(on_change=lambda t, counts, avoided: changes.append((t, avoided)))
        for n in range(6):
            failing.record("bad", n % 2 == 0, 0.1 * n)
            failing.record("good", False, 0.1 * n)
        self.assertTrue(failing.is_failing("bad", 1.0))
        self.assertFalse(failing.is_failing("good", 1.0))
        self.assertEqual(failing.avoided(1.0), ["bad"])
        self.assertFalse(failing.is_failing("bad", 1.01 + AVOID_SECONDS))
        self.assertEqual(changes, [("bad", True), ("bad", False)])

    def test_single_failures_do_not_exclude_a_target(self):
        rng, failing = random.Random(5), FailingTargets()
        for n in range(3_000):
            failing.record("target", rng.random() < 0.14, 0.02 * n)
            self.assertFalse(failing.is_failing("target", 0.02 * n))

    def test_failures_at_different_entry_hosts_add_up(self):
        peers = {FAILURES: {"bad": 2.0}, ANSWERS: {"bad": 2.0}}
        failing = FailingTargets(lambda family: peers[family])
        failing.record("bad", True, 0.0)
        self.assertTrue(failing.is_failing("bad", 0.1))

    def test_host_reports_its_good_answers_of_a_target_that_fails_elsewhere(self):
        peers = {FAILURES: {"target": 3.0}, ANSWERS: {"target": 3.0}}
        failing = FailingTargets(lambda family: peers[family])
        for n in range(10):
            failing.record("target", False, 0.1 * n)
        self.assertEqual(failing.own_answers(1.0), {"target": 10.0})
        self.assertEqual(failing.own_failures(1.0), {})
        self.assertFalse(failing.is_failing("target", 1.0))

    @given(st.lists(st.tuples(st.integers(0, 5 * MAX_TARGETS), st.booleans()), max_size=300))
    def test_stored_targets_are_bounded_and_old_answers_dropped(self, answers):
        failing = FailingTargets()
        for n, (target, failed) in enumerate(answers):
            failing.record(f"t{target}", failed, n * 0.001)
        for n in range(MAX_TARGETS + 10):
            failing.record(f"new{n}", True, 1.0)
        self.assertLessEqual(len(failing.own_failures(1.0)), MAX_TARGETS)
        self.assertEqual(failing.own_failures(1.1 + WINDOW_SECONDS), {})


class Fleet:
    """Entry hosts that place requests at groups, one of which fails every request at once."""

    def __init__(self, protected, hosts=30, groups=40, seed=1):
        self.rng = random.Random(seed)
        self.protected = protected
        self.now = 0.0
        self.sent = Counter()
        self.ends = []
        self.counters = [SharedCounters(f"e{n}", "here") for n in range(hosts)]
        self.hosts = [self._host(counters) for counters in self.counters]
        self.candidates = [
            Candidate(f"g{n}", TargetHost(Instance(f"g{n}"), "pool", "a:1", "here", False, 10, "d"))
            for n in range(groups)
        ]

    def _host(self, counters):
        failing = FailingTargets(counters.peers)
        counters.register(FAILURES, failing.own_failures)
        counters.register(ANSWERS, failing.own_answers)
        rng = random.Random(self.rng.random())
        return LoadTracker("here", rng, TargetLimits(), Backoffs(), failing)

    def run(self, seconds, per_second):
        step = 0.01
        for n in range(int(seconds / step)):
            self.now = n * step
            while self.ends and self.ends[0][0] <= self.now:
                _, host, target = heapq.heappop(self.ends)
                self._end(self.hosts[host], target)
            if n % 15 == 0:
                self._report()
            for _ in range(round(per_second * step)):
                host = self.rng.randrange(len(self.hosts))
                chosen = self.hosts[host].choose(self.candidates, (), self.now)
                self.sent[chosen.target] += 1
                self.hosts[host].begin(chosen.target)
                seconds = 0.01 if chosen.target == "g0" else REQUEST_SECONDS
                heapq.heappush(self.ends, (self.now + seconds, host, chosen.target))
        return self.sent["g0"] / self.sent.total()

    def _end(self, tracker, target):
        failed = target == "g0"
        if self.protected:
            tracker.failing.record(target, failed, self.now)
        if failed and self.protected:
            tracker.end_failed(target, self.now + REQUEST_SECONDS)
        else:
            tracker.end(target)

    def _report(self):
        names = tuple(f"e{n}" for n in range(len(self.hosts)))
        for name, tracker, counters in zip(names, self.hosts, self.counters, strict=True):
            for report, _ in counters.outgoing(ReportRecipients(own=names), self.now):
                for other in self.counters:
                    if other is not counters:
                        other.receive(report, self.now)
            for other in self.hosts:
                if other is not tracker:
                    other.apply_peer_update(name, dict(tracker.own), [], {}, {}, self.now)
            tracker.drop_stale_peers(self.now)


class LoadTest(unittest.TestCase):
    def test_target_that_fails_at_once_gets_no_more_than_its_share(self):
        # Without protection it is always idle and attracts the requests of all hosts.
        share = 1 / 40
        self.assertGreater(Fleet(protected=False).run(6.0, 200), 5 * share)
        self.assertLess(Fleet(protected=True).run(6.0, 200), share)


class DriverTest(test_users_site.SiteTest):
    entries = 3

    def avoided_by(self, entry):
        avoided = entry._book.failing.avoided(time.monotonic())
        return [target.partition("@")[0] for target in avoided]

    async def test_failing_plain_target_is_avoided_and_serves_again(self):
        bad = self.site.targets[0]
        bad.faults.status = 500
        # A host prefers targets to which it has a connection, so the bad one may get few at first.
        await self.send_at_rate(60, 0.5, "/scan/x")
        for _ in range(20):
            if all(self.avoided_by(entry) for entry in self.site.entries):
                break
            await self.send_at_rate(20, 0.3, "/scan/x")
        for entry in self.site.entries:
            self.assertEqual(self.avoided_by(entry), [bad.instance])
        bad.faults.status = 0
        seen = len(bad.ran)
        await self.send_at_rate(20, AVOID_SECONDS + 1.0, "/scan/x")
        self.assertGreater(len(bad.ran), seen)
        self.assertFalse(any(self.avoided_by(entry) for entry in self.site.entries))
