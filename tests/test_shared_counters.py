"""Counters summed over entry hosts: sums on a mesh and a tree, losses, and invalid reports."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from oleanderhill.groups.ownership import Presence
from oleanderhill.serving.gossip import _DECODER, _ENCODER
from oleanderhill.serving.reports import (
    MAX_MESH_HOSTS,
    Scope,
    aggregator_rankings,
    report_recipients,
)
from oleanderhill.serving.shared_counters import (
    COUNTER_INTERVAL,
    COUNTER_MAX_AGE,
    CounterReport,
    SharedCounters,
)


class Fleet:
    """Entry hosts that exchange counters in virtual time."""

    def __init__(self, count):
        self.now = 0.0
        self.rounds = 0
        self.alive = {
            f"e{n}": Presence(f"e{n}", "l", f"10.0.0.{n}:1", "abc"[n % 3]) for n in range(count)
        }
        self.values = {name: {} for name in self.alive}
        self.down = set()
        self.heard = {name: {} for name in self.alive}
        self.counters = {}
        for name, presence in self.alive.items():
            made = self.counters[name] = SharedCounters(name, presence.data_centre)
            made.register("arrivals", lambda now, name=name: self.values[name])

    def run(self, rounds=6):
        rankings = aggregator_rankings(self.alive)
        for _ in range(rounds):
            self.rounds += 1
            self.now = self.rounds * COUNTER_INTERVAL * 1.01
            for name in self.counters:
                if name not in self.down:
                    self._send(name, rankings)

    def _send(self, name, rankings):
        reporters = [r for r, at in self.heard[name].items() if self.now - at < COUNTER_MAX_AGE]
        to = report_recipients(self.alive[name], self.alive, rankings, reporters, False)
        for report, names in self.counters[name].outgoing(to, self.now):
            for other in names:
                if other not in self.down:
                    data = _DECODER.decode(_ENCODER.encode(report))
                    if data.scope == Scope.OWN:
                        self.heard[other][name] = self.now
                    self.counters[other].receive(data, self.now)

    def totals(self, subject):
        return {
            name: counters.total("arrivals", self.now).get(subject, 0.0)
            for name, counters in self.counters.items()
            if name not in self.down
        }


class SumTest(unittest.TestCase):
    def test_every_host_knows_the_sum(self):
        for count in (1, 2, MAX_MESH_HOSTS, MAX_MESH_HOSTS + 1, 60):
            with self.subTest(hosts=count):
                fleet = Fleet(count)
                for n, name in enumerate(fleet.values):
                    fleet.values[name] = {"model/0": float(n), "model/1": 1.0}
                fleet.run()
                self.assertEqual(set(fleet.totals("model/0").values()), {count * (count - 1) / 2})
                self.assertEqual(set(fleet.totals("model/1").values()), {float(count)})
                self.assertEqual({c.hosts for c in fleet.counters.values()}, {count})

    def test_values_of_a_silent_host_expire(self):
        fleet = Fleet(6)
        fleet.values = {name: {"model/0": 1.0} for name in fleet.values}
        fleet.run()
        fleet.down = {"e1"}
        fleet.run()
        self.assertEqual(set(fleet.totals("model/0").values()), {5.0})

    def test_host_that_hears_nobody_uses_its_own_values(self):
        fleet = Fleet(30)
        fleet.values = {name: {"model/0": 2.0} for name in fleet.values}
        fleet.run()
        alone = fleet.counters["e7"]
        alone.outgoing(report_recipients(fleet.alive["e7"], {}, {}, (), False), fleet.now + 5.0)
        self.assertEqual(alone.total("arrivals", fleet.now + 5.0), {"model/0": 2.0})
        self.assertEqual(alone.hosts, 1)

    @given(st.integers(1, 400), st.integers(1, 40))
    def test_parts_fit_into_a_datagram_and_hold_each_row_once(self, rows, length):
        counters = SharedCounters("entry-1", "a")
        values = {f"{n:04}{'x' * length}": float(n) for n in range(rows)}
        counters.register("arrivals", lambda now: values)
        alive = {n: Presence(n, "l", "10.0.0.1:1", "a") for n in ("entry-1", "entry-2")}
        to = report_recipients(alive["entry-1"], alive, aggregator_rankings(alive), (), False)
        parts = [report for report, _ in counters.outgoing(to, 1.0)]
        self.assertTrue(all(len(_ENCODER.encode(p)) <= 1400 for p in parts))
        found = [row for p in parts for row in p.values.get("arrivals", {}).items()]
        self.assertEqual(sorted(found), sorted(values.items()))

    def test_reports_with_impossible_values_are_rejected(self):
        good = CounterReport("e1", "own", "a", 0, 1, {"arrivals": {"m": 1.0}})
        _DECODER.decode(_ENCODER.encode(good))
        for value in (-1.0, float("nan"), float("inf"), 1e12, "many"):
            with self.subTest(value=value), self.assertRaises(msgspec.DecodeError):
                bad = CounterReport("e1", "own", "a", 0, 1, {"arrivals": {"m": value}})
                _DECODER.decode(_ENCODER.encode(bad))

    def test_nothing_is_sent_without_a_family(self):
        alive = {n: Presence(n, "l", "10.0.0.1:1", "a") for n in ("e1", "e2")}
        to = report_recipients(alive["e1"], alive, aggregator_rankings(alive), (), False)
        self.assertEqual(SharedCounters("e1", "a").outgoing(to, 1.0), [])
