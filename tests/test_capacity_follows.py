"""Tests of capacity that follows demand: spares that serve, groups given up, data centres."""

import json
import math
import random
import unittest
from collections import Counter

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Success
from tornado.httputil import HTTPHeaders

from oleanderhill.clients.httpcall import Reply
from oleanderhill.exposition import Exposition
from oleanderhill.groups import demand, giving_up, running_dry
from oleanderhill.groups.actions import Close, Leave, OrderOutcome, Replan
from oleanderhill.groups.composing import (
    UNDERSUPPLY_RATIO,
    Composition,
    FreeHost,
    ModelNeed,
    initial_mix,
    loads_to_order,
    next_model,
    supply,
)
from oleanderhill.groups.demand import DemandHistory
from oleanderhill.groups.forming import DomainKeeper
from oleanderhill.groups.inventory import Instance, MemberState, TargetHost
from oleanderhill.groups.needs import FleetCopy, domain_state
from oleanderhill.groups.pacing import LoadPacer
from oleanderhill.groups.plans import DomainPlan
from oleanderhill.groups.shifting import ESTIMATE_FACTOR, group_to_give_up
from oleanderhill.platform.orders import EngineOrders
from tests.capacity_fleet import LARGE, SMALL, Fleet


def constant(large, small):
    return lambda model, now: {"large": large, "small": small}[model]


def changing(large, small, begin, end, large_factor=1.0, small_factor=1.0):
    """Return a demand that changes by factors between two times."""
    factor = {"large": large_factor, "small": small_factor}
    base = {"large": large, "small": small}
    return lambda model, now: base[model] * (factor[model] if begin <= now < end else 1.0)


def swing(large, small, depth=0.55, period=15.0):
    base = {"large": large, "small": small}
    return lambda model, now: base[model] * (1 + depth * math.sin(2 * math.pi * now / period))


LASTING = changing(2.0, 20.0, 2.0, 1e9, small_factor=2.5)
"""The small model is short by more groups than a large one makes; the large one has room."""


class LoadTest(unittest.TestCase):
    """What callers get under a load, with and without the part."""

    def play(self, load, seconds, disturb=lambda fleet, second: None, **options):
        fleets = [Fleet(load, follows=follows, **options) for follows in (True, False)]
        for fleet in fleets:
            for second in range(seconds):
                disturb(fleet, second)
                fleet.run(1.0)
            self.assertEqual(fleet.broken_rules, [])
            self.assertEqual(fleet.cut, 0)
        return fleets

    def test_burst_of_the_small_model_is_met_by_spares_sooner(self):
        # Bound: the groups are full from the start of the burst; one reading of the load, one of
        # the plan and a join with weights on the host are about two seconds.
        with_, without = self.play(changing(4.0, 18.0, 2.0, 6.0, small_factor=1.8), 10)
        self.assertGreater(without.refused["small"], 0)
        self.assertLess(with_.refused["small"], without.refused["small"])
        self.assertGreater(with_.served["small"], without.served["small"])
        fleet = Fleet(changing(4.0, 18.0, 2.0, 6.0, small_factor=1.8))
        fleet.run(4.0)
        full = fleet.refused["small"]
        fleet.run(2.0)
        self.assertEqual(fleet.refused["small"], full)

    def test_spares_of_the_large_model_outlast_the_burst(self):
        # After a burst, a large group that loses two members is mended at once, without a load.
        fleet = Fleet(changing(6.0, 18.0, 2.0, 6.0, small_factor=1.8))
        fleet.run(8.0)
        domain, group = self.large_group(fleet)
        for member in group.members[1:3]:
            fleet.lose(domain, member)
        fleet.run(6.0)
        self.assertEqual(fleet.serving()["large"], sum(m["large"] for m in fleet.mix.values()))
        self.assertEqual(fleet.given_up, [])

    def large_group(self, fleet):
        for domain, plan in fleet.plans.items():
            for group in plan.groups:
                if group.model == "large":
                    return domain, group
        raise AssertionError("no large group")

    def test_groups_of_spares_go_back_to_mend_a_group_in_greater_need(self):
        # All spares serve the small model, and a large group loses three members. Its survivors
        # and the spares that are left are not enough; the large model needs the group more.
        fleet = Fleet(changing(7.6, 18.0, 2.0, 6.0, small_factor=1.8))
        fleet.run(8.0)
        domain, group = self.large_group(fleet)
        for member in group.members[1:4]:
            fleet.lose(domain, member)
        fleet.run(30.0)
        self.assertEqual(fleet.serving()["large"], sum(m["large"] for m in fleet.mix.values()))
        self.assertEqual(len(fleet.given_up), 1)
        self.assertEqual((fleet.cut, fleet.broken_rules), (0, []))

    def test_groups_of_spares_stay_if_the_large_model_has_room(self):
        fleet = Fleet(changing(2.0, 26.0, 2.0, 6.0, small_factor=1.8))
        fleet.run(8.0)
        domain, group = self.large_group(fleet)
        for member in group.members[1:4]:
            fleet.lose(domain, member)
        fleet.run(20.0)
        self.assertEqual(fleet.given_up, [])

    def test_shift_of_shares_for_a_few_seconds_moves_no_weights(self):
        load = changing(4.0, 22.0, 2.0, 16.0, large_factor=0.7, small_factor=1.6)
        with_, without = self.play(load, 30)
        self.assertEqual(with_.given_up, [])
        self.assertLessEqual(with_.refused["small"], without.refused["small"])
        self.assertEqual(with_.refused["large"], without.refused["large"])

    def test_swing_that_the_groups_bear_gives_nothing_up(self):
        with_, _ = self.play(swing(4.0, 18.0), 60)
        self.assertEqual(with_.given_up, [])
        self.assertEqual(with_.refused, Counter(large=0, small=0))

    def test_lasting_shortage_is_met_by_the_model_that_has_room(self):
        with_, without = self.play(LASTING, 90)
        self.assertGreater(with_.served["small"], without.served["small"])
        self.assertEqual(with_.refused["large"], 0)
        short = UNDERSUPPLY_RATIO * 50.0 - without.serving()["small"]
        gain = LARGE.hosts // SMALL.hosts
        self.assertGreater(len(with_.given_up), 0)
        self.assertLessEqual(gain * len(with_.given_up), short)
        left = Counter(
            with_.state(d).data_centre
            for d, p in with_.plans.items()
            for g in p.groups
            if g.model == "large"
        )
        self.assertGreaterEqual(left.total() - max(left.values()), 2.0)
        self.assertEqual(len(left), 3)

    def test_lasting_shortage_moves_sooner_if_the_hosts_have_the_weights(self):
        times = []
        for cache in (1, 2):
            fleet = Fleet(constant(2.0, 20.0), cache=cache)
            if cache == 2:
                for domain, hosts in fleet.hosts.items():
                    for host in list(hosts.values()):
                        if host.staged == ("large",):
                            fleet.change(domain, host.instance, staged=("small", "large"))
            fleet.run(30.0)
            begin = fleet.now
            fleet.demand = constant(2.0, 65.0)
            while not fleet.given_up and fleet.now < begin + 60:
                fleet.run(1.0)
            times.append(fleet.now - begin)
        self.assertLess(times[1], SMALL.load_seconds)
        self.assertGreater(times[0], SMALL.load_seconds)

    def test_two_hosts_lost_for_good_every_three_seconds(self):
        def lose(fleet, second):
            rng = random.Random(second)
            for _ in range(2 if second % 3 == 1 else 0):
                hosts = [(d, i) for d, found in fleet.hosts.items() for i in found]
                fleet.lose(*rng.choice(sorted(hosts)))

        load = changing(6.0, 18.0, 2.0, 6.0, small_factor=1.8)
        with_, without = self.play(load, 30, lose)
        self.assertGreaterEqual(with_.served["small"], without.served["small"])
        self.assertGreaterEqual(with_.served["large"], without.served["large"])

    def test_lost_domain(self):
        def lose(fleet, second):
            if second == 3:
                for instance in list(fleet.hosts["d0"]):
                    fleet.lose("d0", instance)

        with_, without = self.play(constant(5.0, 25.0), 20, lose)
        self.assertGreaterEqual(with_.served["small"], without.served["small"])
        self.assertEqual(with_.given_up, [])


class FailureTest(unittest.TestCase):
    """A host, an owner or the store fails while a group is given up."""

    def fleet_that_gave_up(self):
        fleet = Fleet(LASTING)
        while not fleet.given_up:
            fleet.run(0.25)
            self.assertLess(fleet.now, 120.0)
        return fleet, next(d for d in fleet.plans if fleet.given_up[0].startswith(f"{d}."))

    def check_end(self, fleet, seconds=60.0):
        before = fleet.serving()["small"]
        fleet.run(seconds)
        self.assertEqual((fleet.cut, fleet.broken_rules), (0, []))
        self.assertGreater(fleet.serving()["small"], before)

    def test_owner_that_is_lost_at_any_step_is_followed_without_a_cut(self):
        for delay in (0.0, 0.5, 1.25, 2.0, 5.0):
            with self.subTest(delay=delay):
                fleet, domain = self.fleet_that_gave_up()
                fleet.run(delay)
                plan = fleet.plans[domain]
                fleet.plans[domain] = plan._replace(owner="f", term=plan.term + 1)
                fleet.keepers[domain] = fleet.new_keeper()
                self.check_end(fleet)

    def test_store_that_is_away_halfway(self):
        for delay in (0.0, 1.25, 2.5):
            with self.subTest(delay=delay):
                fleet, _ = self.fleet_that_gave_up()
                fleet.run(delay)
                fleet.store_away = True
                fleet.run(10.0)
                fleet.store_away = False
                self.check_end(fleet)

    def test_orders_that_are_carried_out_late(self):
        fleet, _ = self.fleet_that_gave_up()
        fleet.late_by = 2.0
        fleet.run(8.0)
        fleet.late_by = 0.0
        fleet.run(60.0)
        self.assertEqual(fleet.broken_rules, [])

    def test_member_that_is_lost_while_its_group_runs_dry(self):
        fleet, domain = self.fleet_that_gave_up()
        held = {i for g in fleet.plans[domain].groups for i in g.members}
        open_ = [h for i, h in fleet.hosts[domain].items() if i not in held and h.membership]
        fleet.lose(domain, max(open_, key=lambda h: h.membership.rank).instance)
        fleet.run(40.0)
        self.assertEqual(fleet.broken_rules, [])

    def test_head_that_never_runs_dry_is_left_in_the_end(self):
        fleet, domain = self.fleet_that_gave_up()
        name = fleet.given_up[0]
        fleet.obey = lambda d, order: (
            None if isinstance(order, Close) else Fleet.obey(fleet, d, order)
        )
        fleet.run(running_dry.RUN_DRY_SECONDS / 2)
        members = [h.membership for h in fleet.hosts[domain].values() if h.membership]
        self.assertIn(name, [m.group for m in members])
        fleet.run(running_dry.RUN_DRY_SECONDS / 2 + 2.0)
        members = [h.membership for h in fleet.hosts[domain].values() if h.membership]
        self.assertNotIn(name, [m.group for m in members])
        self.assertEqual(fleet.broken_rules, [])


class RunningDryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(constant(2.0, 10.0))
        self.domain = next(d for d, m in self.fleet.mix.items() if m["large"])
        plan = self.fleet.plans[self.domain]
        self.group = next(g for g in plan.groups if g.model == "large")
        self.without = plan.without_group(self.group.name)
        self.hosts = dict(self.fleet.hosts[self.domain])

    def orders(self, seconds, keeper=None):
        keeper = self.fleet.new_keeper() if keeper is None else keeper
        found = []
        for step in range(round(seconds / 0.25)):
            needs = self.fleet.needs(self.domain)
            actions = keeper.decide(step * 0.25, self.without, self.hosts, needs, None)
            found += [a for a in actions if not isinstance(a, Replan)]
        about = set(self.group.members)
        return [a for a in found if a.instance in about]

    def test_new_owner_closes_an_open_head_of_no_plan_before_its_hosts_leave(self):
        orders = self.orders(running_dry.CLOSE_DELAY + 0.5)
        self.assertEqual([type(a) for a in orders], [Close])
        self.assertEqual(orders[0].instance, self.group.head)

    def test_hosts_leave_at_once_when_the_head_has_run_dry(self):
        head = self.hosts[self.group.head]
        ready = head.membership._replace(state=MemberState.READY)
        self.hosts[self.group.head] = head._replace(membership=ready)
        orders = self.orders(0.25)
        self.assertEqual({type(a) for a in orders}, {Leave})
        self.assertEqual(len(orders), LARGE.hosts)

    def test_group_that_is_not_whole_does_not_run_dry(self):
        del self.hosts[self.group.members[-1]]
        self.assertEqual({type(a) for a in self.orders(0.25)}, {Leave})

    def test_broken_group_does_not_run_dry(self):
        last = self.hosts[self.group.members[-1]]
        broken = last.membership._replace(state=MemberState.BROKEN)
        self.hosts[last.instance] = last._replace(membership=broken)
        self.assertEqual({type(a) for a in self.orders(0.25)}, {Leave})

    def test_members_that_said_that_they_left_are_not_waited_for(self):
        keeper = self.fleet.new_keeper()
        for instance in self.group.members:
            leave = Leave(self.group.name, self.group.epoch, instance)
            keeper.ended(leave, OrderOutcome.DONE, 0.0)
        self.assertEqual(self.orders(running_dry.CLOSE_DELAY + 0.5, keeper), [])


class EncodingTest(unittest.IsolatedAsyncioTestCase):
    async def test_head_is_closed_in_the_mode_that_finishes_its_queue(self):
        class Caller:
            def links_proven(self):
                return True

            async def call(self, call, second_opinion):
                self.body = json.loads(call.body)
                return Success(Reply(202, HTTPHeaders(), b""))

        caller = Caller()
        orders = EngineOrders(caller, lambda *args: None, lambda instance: True)
        end = await orders.send(Close("d.4", 4, Instance("a")), "address", 7)
        self.assertEqual(end, OrderOutcome.DONE)
        wanted = {"operation": "close", "group": "d.4", "epoch": 4, "mode": "queue"}
        self.assertEqual(caller.body, {**wanted, "fencing_token": 7})


class AgreementTest(unittest.TestCase):
    """Owners decide alone, by plans that may be read late and by estimates that differ."""

    def setUp(self):
        self.size_by_model = {"large": 8, "middle": 4, "small": 2}

    @settings(
        max_examples=300,
        deadline=None,
        suppress_health_check=[HealthCheck.differing_executors],
    )
    @given(st.data())
    def test_together_they_never_give_up_more_than_is_short(self, data):
        count = data.draw(st.integers(2, 7))
        self.size_by_model["small"] = data.draw(st.integers(1, 6))
        held = st.fixed_dictionaries(
            {"large": st.integers(0, 2), "small": st.integers(0, 4), "middle": st.integers(0, 2)}
        )
        self.hosts, plans = {}, {}
        for n in range(count):
            self.add_domain(plans, f"d{n}", data.draw(held), data.draw(st.integers(0, 6)))
        asked = data.draw(st.floats(0.0, 60.0))
        peak = {m: data.draw(st.floats(0.0, 6.0)) for m in ("large", "middle")}
        short = self.short(plans, asked)
        before = dict(plans)
        versions = {d: [p] for d, p in plans.items()}
        for _ in range(data.draw(st.integers(1, 3))):
            moved = set()
            for domain in data.draw(st.permutations(sorted(plans))):
                read = {d: data.draw(st.sampled_from(v[-2:])) for d, v in versions.items()}
                read[domain] = plans[domain]
                found = self.decide(data, domain, read, asked, peak)
                if found is None or domain in moved:
                    continue
                moved.add(domain)
                plan = plans[domain]
                for group in found.groups:
                    plan = plan.without_group(group.name)
                plans[domain] = plan
                versions[domain].append(plan)
            # The spacing between two moves of an owner is longer than any plan is read late.
            for domain in sorted(moved):
                if data.draw(st.booleans()):
                    plans[domain] = self.form_small(plans[domain])
            versions = {d: [p] for d, p in plans.items()}
        if plans != before:
            # What was short is the most that may have been added.
            self.assertGreater(short, 0.0)
            self.assertGreaterEqual(self.short(plans, asked), -1e-9)
        self.check_left(before, plans, peak)

    def test_hosts_that_are_about_to_form_groups_count(self):
        # Five groups are short. Ten free hosts beyond the spares form as many.
        for free, movers in ((2, 1), (12, 0)):
            self.hosts, plans = {}, {}
            for n in range(6):
                self.add_domain(plans, f"d{n}", {"large": 1}, 1)
            self.add_domain(plans, "d6", {"small": 1}, free)
            fleet, lasting = self.fleet(plans), 6 * ESTIMATE_FACTOR / UNDERSUPPLY_RATIO
            needs = [
                ModelNeed("small", 2, 1.0, 12.0, lasting=lasting, lasting_staged=lasting),
                ModelNeed("large", 8, 1.0, 16.0, peak=1.0),
            ]
            found = [group_to_give_up(d, p, fleet, self.hosts[d], needs) for d, p in plans.items()]
            self.assertEqual(sum(f is not None for f in found), movers)

    def add_domain(self, plans, domain, groups, free):
        plan, hosts = DomainPlan(domain, "e", "l", 1), {}
        size = sum(self.size_by_model[m] * n for m, n in groups.items()) + free
        near = f"c{int(domain[1:]) % 3}"
        names = [Instance(f"{domain}-{n}") for n in range(size)]
        for name in names:
            hosts[name] = TargetHost(name, "pool", "a", near, False, 10, domain)
        left = list(names)
        for model, number in groups.items():
            for _ in range(number):
                members = tuple(left.pop() for _ in range(self.size_by_model[model]))
                plan = plan.with_group(model, members)
        self.hosts[domain], plans[domain] = hosts, plan

    def fleet(self, plans):
        return {d: domain_state(p, self.hosts[d]) for d, p in plans.items()}

    def short(self, plans, asked):
        fleet, size = self.fleet(plans), self.size_by_model["small"]
        groups = sum(s.groups("small") for s in fleet.values())
        coming = sum(max(0, s.free - math.ceil(s.hosts * 0.12)) // size for s in fleet.values())
        return UNDERSUPPLY_RATIO * asked - groups - coming

    def decide(self, data, domain, read, asked, peak):
        factor = st.floats(1 / ESTIMATE_FACTOR, ESTIMATE_FACTOR)
        lasting = asked * data.draw(factor)
        needs = [
            ModelNeed(
                "small",
                self.size_by_model["small"],
                1.0,
                12.0,
                lasting=lasting,
                lasting_staged=lasting,
            ),
            *(
                ModelNeed(m, self.size_by_model[m], 1.0, 16.0, peak=p * data.draw(factor))
                for m, p in peak.items()
            ),
        ]
        plan = read[domain]
        return group_to_give_up(domain, plan, self.fleet(read), self.hosts[domain], needs)

    def form_small(self, plan):
        held = {i for g in plan.groups for i in g.members}
        free = [i for i in self.hosts[plan.domain] if i not in held]
        spares = math.ceil(len(self.hosts[plan.domain]) * 0.12)
        size = self.size_by_model["small"]
        while len(free) - spares >= size:
            plan = plan.with_group("small", tuple(free.pop() for _ in range(size)))
        return plan

    def check_left(self, before, plans, peak):
        for model, most in peak.items():
            near = Counter()
            near_before = Counter()
            for domain, state in self.fleet(plans).items():
                near[state.data_centre] += state.groups(model)
                near_before[state.data_centre] += sum(
                    1 for g in before[domain].groups if g.model == model
                )
            if near == near_before:
                continue
            if len(near) > 1:
                self.assertGreaterEqual(near.total() - max(near.values()), most - 1e-9)
                for data_centre, number in near_before.items():
                    self.assertGreaterEqual(near[data_centre], min(1, number))
            self.assertGreaterEqual(near.total(), most - 1e-9)


class CalmTest(unittest.TestCase):
    """Nothing changes where demand is met."""

    @settings(max_examples=25, deadline=None)
    @given(st.data())
    def test_actions_are_those_without_the_part(self, data):
        groups = data.draw(st.integers(0, 3))
        fleet = Fleet(constant(2.0, 10.0), follows=False)
        domain = data.draw(st.sampled_from(sorted(fleet.hosts)))
        hosts = dict(fleet.hosts[domain])
        for instance in data.draw(st.lists(st.sampled_from(sorted(hosts)), max_size=6)):
            hosts.pop(instance, None)
        plan = fleet.plans[domain]
        for group in plan.groups[:groups]:
            plan = plan.without_group(group.name)
        hosts = {
            i: h if any(i in g.members for g in plan.groups) else h._replace(membership=None)
            for i, h in hosts.items()
        }
        found = []
        for follows in (True, False):
            fleet.follows = follows
            needs = fleet.needs(domain)
            view = fleet.view(domain) if follows else None
            keeper = DomainKeeper(LoadPacer(60.0, 5.0, 9, 18))
            found.append(
                [
                    keeper.decide(at, plan, hosts, needs, None, (), (), view)
                    for at in (0.0, 0.3, giving_up.MOVE_SPACING + 1.0)
                ]
            )
        self.assertEqual(*found)


class DemandTest(unittest.TestCase):
    def played(self, values, spacing=0.65):
        history = DemandHistory()
        for n, value in enumerate(values):
            history.record({"m": value}, {"m": 0.0}, n * spacing)
        return history, (len(values) - 1) * spacing

    def test_burst_shows_with_its_second_sample(self):
        history, _ = self.played([10.0] * 20 + [20.0] * 2)
        self.assertGreater(history.present("m"), 18.0)

    def test_slow_average_keeps_the_present_demand_up(self):
        history = DemandHistory()
        history.record({"m": 1.0}, {"m": 9.0}, 0.0)
        self.assertEqual(history.present("m"), 9.0)

    def test_lowest_of_a_window_is_none_of_a_shorter_burst(self):
        history, now = self.played([10.0] * 40 + [20.0] * 10)
        self.assertLess(history.lowest("m", 15.0, now), 12.0)
        self.assertGreater(history.lowest("m", 2.0, now), 12.0)

    def test_less_than_a_window_is_known(self):
        history, now = self.played([10.0] * 5)
        self.assertEqual(history.lowest("m", 15.0, now), 0.0)
        self.assertIsNone(history.highest("m", 15.0, now))

    def test_gap_in_the_samples_starts_anew(self):
        history, now = self.played([10.0] * 60)
        self.assertEqual(history.lowest("m", 15.0, now), 10.0)
        later = now + demand.MAX_SAMPLE_GAP + 0.1
        history.record({"m": 10.0}, {}, later)
        self.assertEqual(history.lowest("m", 15.0, later), 0.0)

    @given(st.lists(st.floats(), min_size=1, max_size=30))
    def test_absurd_samples_stay_in_bounds(self, values):
        history, _ = self.played(values)
        self.assertTrue(0.0 <= history.present("m") <= demand.MAX_GROUPS)


class ComposingTest(unittest.TestCase):
    def setUp(self):
        self.large = ModelNeed("large", 8, 4.0, 16.0, others=7)
        self.small = ModelNeed("small", 2, 12.0, 12.0, others=24)
        plan = DomainPlan("d").with_group("large", tuple(f"l{n}" for n in range(8)))
        for group in range(3):
            plan = plan.with_group("small", (f"s{group}0", f"s{group}1"))
        self.plan, self.desired = plan, Composition(3, {"large": 1, "small": 3})

    def next(self, staged, free, small):
        return next_model(self.plan, staged, free, self.desired, [self.large, small])

    def test_spares_form_a_group_when_the_others_are_getting_full(self):
        staged = {"large": 2, "small": 2}
        pressed = self.small._replace(pressing=22.0)
        self.assertIsNone(self.next(staged, 4, self.small))
        self.assertEqual(self.next(staged, 4, pressed), pressed)

    def test_spares_that_mend_a_large_group_stay(self):
        pressed = self.small._replace(pressing=40.0, filled=40.0)
        self.assertIsNone(self.next({"large": 2, "small": 1}, 3, pressed))
        needs = [self.large, pressed]
        free = self.free_hosts("large", "large")
        self.assertEqual(loads_to_order(self.plan, free, self.desired, needs), [])

    def test_spares_stay_while_the_only_large_group_is_dissolved(self):
        self.plan = self.plan.without_group(self.plan.groups[0].name)
        pressed = self.small._replace(pressing=22.0)
        self.assertIsNone(self.next({"large": 2, "small": 2}, 3, pressed))

    def free_hosts(self, *models):
        return [FreeHost(f"f{n}", m, True) for n, m in enumerate(models)]

    def test_new_spares_load_for_the_model_that_is_getting_full(self):
        pressed = self.small._replace(pressing=22.0)
        free = self.free_hosts("large", "large", "", "")
        for small, wanted in ((pressed, 2), (self.small, 2)):
            loads = loads_to_order(self.plan, free, self.desired, [self.large, small])
            self.assertEqual(Counter(m for _, m in loads)["small"], wanted)

    def test_data_centre_without_a_group_of_a_model_counts_as_less_supplied(self):
        plan = DomainPlan("d")
        with_near = self.large._replace(near=1, elsewhere=1.0)
        without = with_near._replace(near=0)
        self.assertLess(supply(plan, without), supply(plan, with_near))
        self.assertEqual(supply(plan, with_near), supply(plan, with_near._replace(near=None)))

    def test_first_mix_leaves_each_data_centre_large_groups(self):
        # Four domains in one data centre, two in the other. Without regard to data centres both
        # large groups are in the first one.
        hosts = {f"d{n}": 20 for n in range(6)}
        near = {f"d{n}": "a" if n < 4 else "b" for n in range(6)}
        needs = [
            self.large._replace(hosts=16, need=2.0, others=0),
            self.small._replace(hosts=16, need=4.0, others=0),
        ]
        for data_centres, wanted in ((near, 1), (None, 0)):
            mix = initial_mix(hosts, needs, data_centres)
            self.assertEqual(sum(c["large"] for d, c in mix.items() if near[d] == "b"), wanted)
            self.assertEqual(sum(mix.values(), Counter()), {"large": 2, "small": 4})

    @given(st.lists(st.integers(8, 40), min_size=3, max_size=9))
    def test_data_centres_take_no_groups_from_the_worst_supplied_model(self, sizes):
        hosts = {f"d{n}": size for n, size in enumerate(sizes)}
        near = {d: f"c{n % 3}" for n, d in enumerate(hosts)}
        needs = [self.large, self.small]

        def worst(mix):
            total = sum(mix.values(), Counter())
            return min(total[n.model] / n.need for n in needs)

        self.assertGreaterEqual(
            worst(initial_mix(hosts, needs, near)), worst(initial_mix(hosts, needs))
        )


class FleetCopyTest(unittest.TestCase):
    def test_state_follows_plans_and_hosts_and_leaves_domains_out(self):
        host = TargetHost(Instance("a"), "pool", "x", "c", False, 10, "d")
        copy, hosts = FleetCopy(), {"d": {host.instance: host}}
        plan = DomainPlan("d", term=1)
        self.assertEqual(copy.available([plan], hosts)["d"].free, 1)
        taken = plan.with_group("m", (host.instance,))
        state = copy.available([taken], hosts)["d"]
        self.assertEqual((state.free, state.groups("m")), (0, 1))
        self.assertEqual(copy.available([taken], {})["d"].hosts, 0)
        self.assertEqual(copy.available([taken], hosts, lambda domain: {host.instance}), {})
        self.assertEqual(copy.available([taken], hosts)["d"].groups("m"), 1)

    def test_closed_hosts_of_a_domain_and_their_groups_do_not_count(self):
        found = [TargetHost(Instance(n), "pool", "x", n, False, 10, "d") for n in "abc"]
        hosts = {h.instance: h for h in found}
        plan = DomainPlan("d", term=1).with_group("m", tuple(hosts)[:2])
        closed = frozenset({found[0].instance})
        state = FleetCopy().available([plan], {"d": hosts}, lambda domain: closed)["d"]
        self.assertEqual((state.hosts, state.free, state.groups("m")), (2, 1, 0))


class ExpositionTest(unittest.TestCase):
    def test_gauge_by_model(self):
        exposition = Exposition()
        exposition.gauge_by("model_groups", "Groups", "model", lambda: {"m": 3})
        self.assertIn(b'oleanderhill_model_groups{model="m"} 3.0', exposition.text())


if __name__ == "__main__":
    unittest.main()
