"""Load reports among entry hosts: their recipients and aggregation."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from oleanderhill.groups.ownership import Presence
from oleanderhill.routing.reachability import Heard
from oleanderhill.serving.gossip import _ENCODER
from oleanderhill.serving.placement import LoadTracker
from oleanderhill.serving.reports import (
    MAX_MESH_HOSTS,
    LoadReport,
    Scope,
    add_age,
    aggregate,
    aggregator_ranking,
    aggregator_rankings,
    report_recipients,
    split_report,
    subtract,
)


def presences(count, data_centres=("a", "b", "c")):
    return {
        f"e{n}": Presence(f"e{n}", "l", f"10.0.0.{n}:1", data_centres[n % len(data_centres)])
        for n in range(count)
    }


def report(sender, counts, data_centre="a", progress=None, suspects=(), rejections=None):
    return LoadReport(
        sender,
        Scope.OWN,
        data_centre,
        0,
        counts,
        list(suspects),
        progress or {},
        rejections or {},
    )


class AudienceTest(unittest.TestCase):
    def test_small_mesh_sends_to_all_others(self):
        alive = presences(MAX_MESH_HOSTS)
        self.assertEqual(
            len(report_recipients(alive["e0"], alive, aggregator_rankings(alive), (), False).own),
            MAX_MESH_HOSTS - 1,
        )

    def test_many_send_one_report_each(self):
        # A full mesh of 90 hosts would send 160,000 datagrams per second, more than their links can
        # carry. With aggregators, the traffic grows only linearly with the number of hosts: about
        # two datagrams per host and interval.
        alive = presences(90)
        sent = 0
        reporters = {}
        for me in alive.values():
            if aggregator_ranking(me.data_centre, alive)[0] != me.name:
                for hub in report_recipients(me, alive, aggregator_rankings(alive), (), False).own:
                    reporters.setdefault(hub, []).append(me.name)
                    sent += 1
        for hub, names in reporters.items():
            to = report_recipients(alive[hub], alive, aggregator_rankings(alive), names, False)
            sent += len(to.aggregators) + len(to.local_hosts)
        self.assertEqual(len(reporters), 3)
        self.assertLessEqual(sent, 2 * 90 + 6)

    def test_backup_receives_reports_of_a_silent_aggregator(self):
        alive = presences(30)
        first, second = aggregator_ranking("a", alive)
        me = next(p for p in alive.values() if p.name not in (first, second) and p[3] == "a")
        self.assertEqual(
            report_recipients(me, alive, aggregator_rankings(alive), (), False).own, (first,)
        )
        self.assertEqual(
            report_recipients(me, alive, aggregator_rankings(alive), (), True).own, (first, second)
        )
        # A host that receives reports aggregates them, whether or not it detected the timeout.
        self.assertEqual(
            report_recipients(
                alive[second], alive, aggregator_rankings(alive), [me.name], False
            ).local_hosts,
            (me.name,),
        )

    def test_backup_aggregator_receives_remote_sums(self):
        alive = presences(30)
        hub = aggregator_ranking("a", alive)[0]
        second = aggregator_ranking("b", alive)[1]
        to = report_recipients(
            alive[hub], alive, aggregator_rankings(alive), ["e0"], False, [second, "gone"]
        )
        self.assertIn(second, to.aggregators)
        self.assertNotIn("gone", to.aggregators)


class SumTest(unittest.TestCase):
    @given(st.lists(st.dictionaries(st.sampled_from("pqrs"), st.integers(1, 9)), min_size=1))
    def test_total_less_own_is_what_all_others_have(self, counts):
        reports = [report(f"e{n}", c) for n, c in enumerate(counts)]
        total = aggregate("hub", Scope.TOTAL, "a", reports)
        remainder = subtract(total, reports[0]).counts
        for target in "pqrs":
            others = sum(c.get(target, 0) for c in counts[1:])
            self.assertEqual(remainder.get(target, 0), others)

    def test_own_progress_does_not_come_back_as_that_of_others(self):
        rng = random.Random(1)
        for _ in range(300):
            ages = [
                {t: rng.choice((0.1, 0.4, 0.8)) for t in "pqrs" if rng.random() < 0.5}
                for _ in range(3)
            ]
            own, *others = [
                report(f"e{n}", dict.fromkeys(a, 1), progress=a) for n, a in enumerate(ages)
            ]
            aged = [add_age(r, 0.05) for r in (own, *others)]
            found = subtract(aggregate("hub", Scope.TOTAL, "a", aged), own).progress
            for target in "pqrs":
                known = [r.progress[target] for r in aged[1:] if target in r.progress]
                if target not in own.progress:
                    self.assertEqual(found.get(target), min(known, default=None))
                elif target in found:
                    self.assertEqual(found[target], min(known, default=None))
                else:
                    self.assertGreaterEqual(min(known, default=1.0), own.progress[target])

    def test_a_request_that_waits_here_alone_does_not_make_its_target_silent(self):
        own = report("e0", {"p": 1}, progress={"p": 0.9})
        for others, heard in (
            (report("e1", {"p": 1}), Heard.UNKNOWN),
            (report("e1", {"p": 1}, progress={"p": 0.1}), Heard.RUNNING),
            (report("e1", {"p": 1}, progress={"p": 0.8}), Heard.SILENT),
        ):
            total = subtract(aggregate("hub", Scope.TOTAL, "a", [add_age(own, 0.05), others]), own)
            tracker = LoadTracker("a", random.Random(1))
            tracker.apply_peer_update("total/0", total.counts, [], total.progress, {}, 5.0)
            self.assertEqual(tracker.heard_by_peers("p", 5.0), heard)

    def test_latest_progress_and_all_suspects_hold(self):
        first = report("e1", {"p": 1}, progress={"p": 0.3}, suspects=["p"], rejections={"m": 2})
        second = report("e2", {"p": 1}, progress={"p": 0.1}, suspects=["q"], rejections={"m": 1})
        total = aggregate("hub", Scope.TOTAL, "a", [first, second])
        self.assertEqual(total.progress, {"p": 0.1})
        self.assertEqual(total.suspects, ["p", "q"])
        self.assertEqual(total.rejections, {"m": 3})

    def test_parts_fit_into_datagrams_and_hold_it_all(self):
        rng = random.Random(1)
        targets = [f"data-centre-{n % 4}-d{n % 8}.{n}" for n in range(300)]
        complete = report(
            "front-data-centre-17",
            {t: rng.randint(1, 13) for t in targets},
            progress=dict.fromkeys(targets, 0.123),
            suspects=targets[:5],
        )
        parts = split_report(complete)
        self.assertLessEqual(max(len(_ENCODER.encode(p)) for p in parts), 1400)
        self.assertEqual({t: n for p in parts for t, n in p.counts.items()}, complete.counts)
        self.assertEqual(len({p.part for p in parts}), len(parts))


if __name__ == "__main__":
    unittest.main()
