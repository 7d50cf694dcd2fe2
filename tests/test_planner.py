"""Assignment of groups to fabric domains."""

import random
import unittest

from oleanderhill.decisions import Decisions
from oleanderhill.domains.planner import DomainState, Plan, make_plan, relocation_delay, spare_count
from oleanderhill.domains.planning import PlanningTask
from oleanderhill.kernel import Kernel, PeerMessage
from oleanderhill.routing.dispatch import RouterTask
from oleanderhill.routing.messages import DomainEvidence
from oleanderhill.settings.fleet import Fleet
from oleanderhill.settings.messages import FleetChanged, HostsChanged
from oleanderhill.types import HostEntry, WantedGroup

from .test_placement import SPEC

EMPTY_PLAN = Plan(0, {})


def wanted(count, version="x"):
    return [WantedGroup(f"yard/bale@{version}#{n}", SPEC) for n in range(count)]


class PlannerTest(unittest.TestCase):
    def test_groups_go_where_there_is_room(self):
        plan = make_plan(
            0.0, EMPTY_PLAN, wanted(3), {"d": DomainState(4), "e": DomainState(2)}, 8.0
        )
        self.assertEqual(sorted(plan.domain_by_group.values()), ["d", "d", "e"])

    def test_settled_group_stays(self):
        plan = make_plan(0.0, EMPTY_PLAN, wanted(1), {"d": DomainState(4)}, 8.0)
        more = {"d": DomainState(4), "a": DomainState(2)}
        self.assertIs(make_plan(1.0, plan, wanted(1), more, 8.0), plan)

    def test_domain_that_is_dark_for_a_moment_keeps_its_groups(self):
        plan = make_plan(0.0, EMPTY_PLAN, wanted(1), {"d": DomainState(2)}, 8.0)
        short = {"d": DomainState(0, 100.0), "e": DomainState(4)}
        self.assertIs(make_plan(110.0, plan, wanted(1), short, 8.0), plan)

    def test_group_of_a_domain_that_stays_dark_moves_and_does_not_come_back(self):
        plan = make_plan(0.0, EMPTY_PLAN, wanted(1), {"d": DomainState(2)}, 8.0)
        short = {"d": DomainState(0, 100.0), "e": DomainState(4)}
        moved = make_plan(100.0 + relocation_delay(8.0) + 1, plan, wanted(1), short, 8.0)
        self.assertEqual(set(moved.domain_by_group.values()), {"e"})
        recovered = {"d": DomainState(2), "e": DomainState(4)}
        self.assertIs(make_plan(500.0, moved, wanted(1), recovered, 8.0), moved)

    def test_domain_short_of_one_host_sends_away_only_what_does_not_fit(self):
        # Three groups of two hosts; one host is lost permanently. The incomplete group must move
        # and the two that serve must stay.
        plan = make_plan(0.0, EMPTY_PLAN, wanted(3), {"d": DomainState(6)}, 8.0)
        short = {"d": DomainState(5, 100.0), "e": DomainState(2)}
        serving = frozenset({"yard/bale@x#1", "yard/bale@x#2"})
        moved = make_plan(999.0, plan, wanted(3), short, 8.0, serving)
        self.assertEqual(moved.domain_by_group["yard/bale@x#0"], "e")
        self.assertEqual({moved.domain_by_group[g] for g in serving}, {"d"})

    def test_new_version_is_planned_where_the_old_one_is(self):
        states = {"d": DomainState(8), "e": DomainState(8)}
        plan = make_plan(0.0, EMPTY_PLAN, wanted(2), states, 8.0)
        rolled = make_plan(1.0, plan, wanted(2, "y"), states, 8.0)
        for n in range(2):
            old = plan.domain_by_group[f"yard/bale@x#{n}"]
            self.assertEqual(rolled.domain_by_group[f"yard/bale@y#{n}"], old)

    def test_downtime_that_is_worth_more_shortens_the_wait_and_keeps_spares(self):
        self.assertLess(relocation_delay(80.0), relocation_delay(2.0))
        self.assertEqual(spare_count(32, 1.0), 0)
        self.assertGreaterEqual(spare_count(32, 2000.0), 1)


class PlanningTaskTest(unittest.TestCase):
    def test_planner_hears_of_domains_that_others_own(self):
        # The planner owns no domain. Another entry host owns "d" and finds no usable host there.
        # The planner learns this only from the evidence that the owner sends to its peers.
        kernel = Kernel()
        decisions = Decisions("e1")
        planner = PlanningTask(kernel, "e1", "hall", decisions)
        router = RouterTask(kernel, "hall", None, random.Random(1), decisions)
        kernel.register(planner)
        item = WantedGroup("yard/bale@x#hall.0", SPEC)
        planner.handle(HostsChanged((HostEntry("a", "a", "d", "hall"),)))
        planner.plan = Plan(1, {item.group: "d"})
        planner.handle(FleetChanged(Fleet(wanted_by_data_centre={"hall": (item,)})))
        evidence = DomainEvidence("d", "hall", 1, 1, (), (), 0)
        router.receive(evidence, PeerMessage("e2", "e2", 1, 5.0, 10.0, evidence))
        planner.dispatch(planner._inbox.get_nowait())
        planner._update_shortages(11.0)
        self.assertEqual(planner._domain_states(11.0)["d"].short_of_hosts_since, 11.0)
