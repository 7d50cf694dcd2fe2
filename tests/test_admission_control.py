"""Admission under shortage: shares, order, hosts that hear nothing, and what callers get."""

import functools
import math
import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from oleanderhill_dev.model.expected import expected_timing
from oleanderhill_dev.model.policies import Shipped, WithoutAdmission
from oleanderhill_dev.model.scenario import Burst, GroupLoss, Model, RequestKind, Scenario
from oleanderhill_dev.model.site import Simulation

from oleanderhill.exposition import Exposition
from oleanderhill.groups.inventory import Instance, TargetHost
from oleanderhill.serving.admission_class import AdmissionClass
from oleanderhill.serving.admission_control import (
    FLOOR_FRACTION,
    LATE_FRACTION,
    SPARE_FRACTION,
    AdmissionControl,
    admission_rate,
    divide,
)
from oleanderhill.serving.admission_demand import (
    ACCOUNTS,
    ARRIVALS,
    FOLDED,
    MAX_ACCOUNTS,
    RETURNING,
    Demand,
    DemandCounts,
    Rank,
    rank_of,
)
from oleanderhill.serving.applicant import Applicant, Go, PoolCapacity, Refuse
from oleanderhill.serving.fair_share import allocate, max_min_level
from oleanderhill.serving.placement import Candidate, LoadTracker
from oleanderhill.serving.pool_capacity import SlotTime, pool_load, pool_of
from oleanderhill.serving.prediction import Prediction
from oleanderhill.serving.recent_counts import RecentCounts
from oleanderhill.serving.reports import ReportRecipients, Scope
from oleanderhill.serving.retry_delay import BUSY_DELAY, JITTER, MAX_DELAY, retry_delay
from oleanderhill.serving.shared_counters import CounterReport, SharedCounters

FRESH, LATE, BEGUN = AdmissionClass.FRESH, AdmissionClass.LATE, AdmissionClass.BEGUN
FULL = PoolCapacity(100.0, SPARE_FRACTION * 100.0, 100.0, 0.15)
"""A pool with no more free slots than are to stay free, in which 100 become free a second."""


def applicant(priority=0, account="", admission_class=FRESH, pool="p"):
    return Applicant(pool, priority, account, admission_class, math.inf)


def candidate(name, slots=10, domain="d"):
    return Candidate(name, TargetHost(Instance(name), "s", name, "here", False, slots, domain))


class Untouched(random.Random):
    """A source of random numbers that must not be used."""

    def random(self):
        raise AssertionError("a random number was drawn")


class Host:
    """One entry host's admission, with a fixed number of hosts that are alive."""

    def __init__(self, hosts=1, rng=None, name="e0"):
        self.counters = SharedCounters(name, "here")
        self.book = LoadTracker("here", random.Random(1))
        self.demand = DemandCounts(self.counters, lambda: hosts)
        self.decisions = Counter()
        self.control = AdmissionControl(
            rng or random.Random(1),
            self.demand,
            self.book,
            lambda: hosts,
            lambda model, now: None,
            lambda outcome, priority: self.decisions.update([(outcome, priority)]),
        )

    def offer(self, rates, capacity=FULL, seconds=4.0, measured_from=1.0):
        """Offer requests a second by applicant; return the admitted ones a second."""
        admitted = Counter()
        arrivals = sorted(
            (k / rate, n, a)
            for n, (a, rate) in enumerate(rates.items())
            for k in range(int(rate * seconds))
        )
        for at, _, who in arrivals:
            decision = self.control.decide(who, capacity, at)
            if at >= measured_from and isinstance(decision, Go):
                admitted[who] += 1 / (seconds - measured_from)
        return admitted


def max_min_oracle(total, demands):
    """Fill all demands in small equal steps until the total is used up."""
    given_to, step = [0.0] * len(demands), total / 2000
    left = total
    while left > step / 2 and any(g < d for g, d in zip(given_to, demands, strict=True)):
        index = min(
            (i for i, d in enumerate(demands) if given_to[i] < d), key=lambda i: given_to[i]
        )
        part = min(step, demands[index] - given_to[index], left)
        given_to[index] += part
        left -= part
    return given_to


class FairShareTest(unittest.TestCase):
    @given(st.floats(0.5, 100), st.lists(st.floats(0.1, 60), min_size=1, max_size=6))
    def test_level_gives_the_max_min_shares(self, total, demands):
        level = max_min_level(total, demands)
        for demand, expected in zip(demands, max_min_oracle(total, demands), strict=True):
            self.assertAlmostEqual(min(demand, level), expected, delta=total / 500)

    @given(
        st.floats(0, 100),
        st.lists(st.tuples(st.floats(0, 60), st.floats(0, 0.1)), min_size=1, max_size=8),
    )
    def test_allocation_is_work_conserving_and_in_order(self, total, entries):
        demands, floors = [d for d, _ in entries], [f * total for _, f in entries]
        allotted = allocate(total, demands, floors)
        self.assertAlmostEqual(sum(allotted), min(total, sum(demands)), places=6)
        for index, (got, demand) in enumerate(zip(allotted, demands, strict=True)):
            self.assertGreaterEqual(got + 1e-9, min(demand, floors[index]))
            if got < demand - 1e-9:
                for lower in range(index + 1, len(demands)):
                    self.assertLessEqual(allotted[lower], floors[lower] + 1e-9)

    def test_counts_leave_the_window(self):
        counts = RecentCounts(0.5)
        for at in (0.0, 0.1, 0.4):
            counts.add("a", at)
        self.assertEqual(counts.rates(0.45), {"a": 6.0})
        self.assertEqual(counts.rates(0.65), {"a": 2.0})
        self.assertEqual(counts.rates(2.0), {})


class DivisionTest(unittest.TestCase):
    def part(self, rank, by_rank, by_account=None, account="", room=100.0):
        return divide(room, 100.0, Demand(by_rank, by_account or {}), rank, account)

    def test_more_urgent_requests_go_before_less_urgent_ones(self):
        demand = {Rank(False, 0): 80.0, Rank(False, 1): 80.0}
        self.assertEqual(self.part(Rank(False, 0), demand).probability, 1.0)
        self.assertAlmostEqual(self.part(Rank(False, 1), demand).allotted, 20.0)

    def test_less_urgent_requests_get_only_the_floor_where_more_urgent_ones_are_refused(self):
        demand = {Rank(False, 0): 300.0, Rank(False, 1): 80.0, Rank(False, 2): 80.0}
        self.assertLess(self.part(Rank(False, 0), demand).probability, 1.0)
        for priority in (1, 2):
            allotted = self.part(Rank(False, priority), demand).allotted
            self.assertAlmostEqual(allotted, 100.0 * FLOOR_FRACTION)

    def test_retries_get_only_what_first_attempts_leave(self):
        demand = {Rank(False, 0): 30.0, Rank(False, 2): 60.0, Rank(True, 0): 40.0}
        part = self.part(Rank(True, 0), demand | {Rank(False, 2): 40.0})
        self.assertAlmostEqual(part.allotted, 10.0)
        self.assertEqual(self.part(Rank(False, 2), demand).probability, 1.0)
        full = {Rank(False, 0): 120.0}
        self.assertEqual(self.part(Rank(True, 0), full, room=110.0).probability, 0.0)

    def test_accounts_get_max_min_shares_where_others_are_refused(self):
        rank, rates = Rank(False, 0), {"small": 20.0, "large": 200.0, "huge": 400.0}
        shares = {
            a: self.part(rank, {rank: 620.0}, {0: rates}, a).probability * r
            for a, r in rates.items()
        }
        self.assertAlmostEqual(shares["small"], 20.0)
        self.assertAlmostEqual(shares["large"], 40.0)
        self.assertAlmostEqual(shares["huge"], 40.0)

    def test_one_account_gets_all_of_the_room_when_nobody_else_asks(self):
        rank = Rank(False, 0)
        part = self.part(rank, {rank: 400.0}, {0: {"huge": 400.0}}, "huge")
        self.assertAlmostEqual(part.probability * 400.0, 100.0)

    def test_folded_accounts_count_as_small_ones(self):
        rank, rates = Rank(False, 0), {"large": 200.0, "small": 2.0, FOLDED: 40.0}
        part = self.part(rank, {rank: 242.0}, {0: rates}, "unnamed")
        self.assertEqual(part.probability, 1.0)
        large = self.part(rank, {rank: 242.0}, {0: rates}, "large").probability * 200.0
        self.assertAlmostEqual(large, 58.0)


class DecisionTest(unittest.TestCase):
    def test_every_request_goes_without_a_random_number_where_room_suffices(self):
        host = Host(rng=Untouched())
        ample = PoolCapacity(100.0, 40.0, 100.0, 0.15)
        admitted = host.offer({applicant(): 100.0, applicant(2, admission_class=LATE): 50.0}, ample)
        self.assertAlmostEqual(sum(admitted.values()), 150.0, delta=1.0)

    def test_unknown_timing_refuses_nothing(self):
        unknown = PoolCapacity(100.0, -50.0, math.inf, 0.15)
        admitted = Host(rng=Untouched()).offer({applicant(): 300.0}, unknown)
        self.assertAlmostEqual(sum(admitted.values()), 300.0, delta=1.0)

    def test_begun_streams_always_go(self):
        host = Host(rng=Untouched())
        none = PoolCapacity(0.0, -10.0, 0.0, 0.15)
        self.assertEqual(host.control.decide(applicant(admission_class=BEGUN), none, 1.0), Go())

    def test_as_many_go_as_slots_become_free(self):
        admitted = Host().offer({applicant(): 300.0})
        self.assertAlmostEqual(sum(admitted.values()), 100.0, delta=15.0)

    def test_order_and_shares_of_callers(self):
        urgent, large, small = applicant(0), applicant(1, "large"), applicant(1, "small")
        least = applicant(2)
        admitted = Host().offer({urgent: 40.0, large: 160.0, small: 20.0, least: 100.0})
        self.assertAlmostEqual(admitted[urgent], 40.0, delta=1.0)
        self.assertGreater(admitted[small], 18.0)
        self.assertAlmostEqual(admitted[large], 100 - 40 - 20 - 100 * FLOOR_FRACTION, delta=9.0)
        self.assertGreater(admitted[least], 1.0)
        self.assertLess(admitted[least], 10.0)

    def test_pools_do_not_compete(self):
        admitted = Host(rng=Untouched()).offer(
            {applicant(0, pool="a"): 80.0, applicant(2, pool="b"): 80.0}
        )
        self.assertAlmostEqual(sum(admitted.values()), 160.0, delta=1.0)

    def test_requests_past_their_goal_count_as_late(self):
        self.assertEqual(rank_of(applicant()._replace(on_time_until=1.0), 2.0), Rank(True, 0))
        self.assertEqual(rank_of(applicant(priority=50), 2.0), Rank(False, 9))
        self.assertEqual(rank_of(applicant(priority=-3), 2.0), Rank(False, 0))

    def test_refusal_names_who_went_first(self):
        host = Host()
        for n in range(200):
            host.control.decide(applicant(0), FULL, n / 200)
            decision = host.control.decide(applicant(1, "acme"), FULL, n / 200)
        self.assertIsInstance(decision, Refuse)
        for part in ("first attempts of priority 0", "priority 1 get", "chance", "0.15 s old"):
            self.assertIn(part, decision.reason)

    def test_decisions_are_counted_by_outcome_and_priority(self):
        exposition = Exposition()
        exposition.admission("refused", 2)
        line = b'oleanderhill_admissions_total{outcome="refused",priority="2"} 1.0'
        self.assertIn(line, exposition.text())

    @given(st.floats(-1e6, 1e6), st.floats(0, 1e6) | st.just(math.inf), st.floats(0, 10))
    def test_rate_is_never_negative(self, free, slot_rate, delay):
        self.assertGreaterEqual(admission_rate(PoolCapacity(1.0, free, slot_rate, delay)), 0.0)


class SpreadTest(unittest.TestCase):
    def admitted_targets(self, short):
        host = Host(hosts=60)
        host.book.peer_report_delay = 0.15
        targets = [candidate("full"), *(candidate(f"half{n}") for n in range(9))]
        loads = {c.target: 5 for c in targets} | {"full": 12}
        host.book.apply_peer_update("total", loads, [], {}, {}, 0.0)
        host.control._prediction = lambda model, now: Prediction(0.1, 0.1)
        if short:
            host.demand.mark_tight("p", 0.1)
        decisions = [
            host.control.decide_for(applicant(), "m", targets, 0.1 + n / 1000) for n in range(10)
        ]
        return Counter(c.target for d in decisions for c in d.candidates)

    def test_targets_are_drawn_by_room_under_shortage_only(self):
        self.assertEqual(self.admitted_targets(short=False), {})
        drawn = self.admitted_targets(short=True)
        self.assertEqual(drawn.total(), 10)
        self.assertNotIn("full", drawn)


class HostsTest(unittest.TestCase):
    def test_hosts_that_hear_each_other_admit_together_what_becomes_free(self):
        names = [f"e{n}" for n in range(20)]
        hosts = [Host(20, random.Random(n), name) for n, name in enumerate(names)]
        for host in hosts:
            host.book.apply_peer_update("x", {}, [], {}, {}, 0.0)
        admitted, rng, now = 0, random.Random(3), 0.0
        while now < 5.0:
            now += rng.expovariate(300.0)
            decision = rng.choice(hosts).control.decide(applicant(), FULL, now)
            admitted += now >= 2.0 and isinstance(decision, Go)
            for host in hosts:
                to = ReportRecipients(own=tuple(n for n in names if n != host.counters._me))
                for report, _ in host.counters.outgoing(to, now):
                    for other in hosts:
                        if other is not host:
                            other.counters.receive(report, now)
        self.assertAlmostEqual(admitted / 3.0, 100.0, delta=15.0)

    def test_host_that_hears_nobody_takes_its_part_of_the_slots(self):
        targets = [candidate(f"t{n}") for n in range(10)]
        host = Host(hosts=10)
        host.demand.completed("p", 0.0)
        capacity = host.control._capacity("p", "m", pool_load(host.book, targets, 1.0), 1.0)
        self.assertGreaterEqual(capacity.slots, 10.0)
        self.assertLess(capacity.slots, 20.0)

    def test_restarted_host_refuses_nothing_for_lack_of_counts(self):
        # Guards against taking the few requests of one host for those of all.
        host = Host(hosts=100, rng=Untouched())
        host.book.apply_peer_update("total", {"t": 50}, [], {}, {}, 0.0)
        room = PoolCapacity(100.0, 30.0, 60.0, 0.15)
        for at in (0.1, 0.2):
            self.assertEqual(host.control.decide(applicant(), room, at), Go())

    def test_malformed_counts_of_peers_are_ignored_and_counted(self):
        host = Host(hosts=2)
        subjects = ("", "x", "0\tx\tp", "0\t99\tp", "7\t1\tp", "0\t1\t", "\t\t\t")
        values = {ARRIVALS: dict.fromkeys(subjects, 1e9), ACCOUNTS: {"a\t²\tp": 5.0}}
        host.counters.receive(CounterReport("e1", Scope.OWN, "here", 0, 1, values), 0.0)
        demand = host.demand.demand("p", 0.1, False)
        self.assertEqual(demand.total, 0.0)
        self.assertGreater(host.demand.unreadable, 0)

    def test_accounts_are_reported_under_shortage_only_and_are_bounded(self):
        host = Host()
        for n in range(3 * MAX_ACCOUNTS):
            who = applicant(0, f"account{n:03}")
            for _ in range(1 + (n < 2)):
                host.demand.arrived(who, Rank(False, 0), 0.1)
        self.assertEqual(host.counters.total(ACCOUNTS, 0.2), {})
        host.demand.mark_tight("p", 0.2)
        total = host.counters.total(ACCOUNTS, 0.2)
        self.assertEqual(len(total), MAX_ACCOUNTS + 1)
        self.assertIn("account000\t0\tp", total)
        self.assertAlmostEqual(total[f"{FOLDED}\t0\tp"], 2 * MAX_ACCOUNTS / 0.5)


class CapacityTest(unittest.TestCase):
    def test_slots_count_once_and_queues_count_against_the_room(self):
        book, targets = LoadTracker("here", random.Random(1)), [candidate("a"), candidate("b")]
        book.apply_peer_update("total", {"a": 14, "b": 6}, [], {}, {}, 0.0)
        load = pool_load(book, targets, 0.1)
        self.assertEqual((load.slots, load.in_flight, load.busy), (20, 20, 16))
        self.assertEqual(load.room_by_target, {"a": -4, "b": 4})

    def test_suspects_count_only_where_most_targets_are(self):
        book = LoadTracker("here", random.Random(1))
        targets = [candidate(n) for n in "abc"]
        book.suspect("a", 0.0)
        self.assertEqual(pool_load(book, targets, 0.1).targets, 2)
        book.suspect("b", 0.0)
        self.assertEqual(pool_load(book, targets, 0.1).targets, 3)

    def test_pool_of_a_plain_service_ignores_the_model_that_callers_name(self):
        self.assertEqual(pool_of([candidate("a", domain="")], "whatever"), "s")
        self.assertEqual(pool_of([candidate("a")], "m"), "s/m")

    def test_slot_time_follows_completions_within_bounds(self):
        learnt = SlotTime()
        self.assertEqual(learnt.seconds(1.5, 0.0), 1.5)
        for n in range(400):
            learnt.observe(100.0, 50.0, n / 5)
        self.assertAlmostEqual(learnt.seconds(1.5, 80.0), 2.0, delta=0.05)
        self.assertAlmostEqual(learnt.seconds(None, 80.0), 2.0, delta=0.05)
        self.assertAlmostEqual(learnt.seconds(0.1, 80.0), 0.4, delta=0.05)

    def test_slot_time_of_a_pool_just_seen_is_the_configured_one(self):
        # Guards against reading a start, where nothing is completed yet, as a shortage.
        learnt = SlotTime()
        for n in range(5):
            learnt.observe(100.0, 10.0, n / 5)
            self.assertAlmostEqual(learnt.seconds(1.5, n / 5), 1.5, delta=0.4)
            self.assertIsNone(learnt.seconds(None, n / 5))


class ReturnTest(unittest.TestCase):
    def test_callers_return_when_slots_are_left_for_them(self):
        host = Host()
        host.control._slot_rate_by_pool["p"] = 100.0
        for n in range(200):
            host.control.told_to_return("p", 5.0 + n)
        self.assertAlmostEqual(host.control.return_delay("p", 1.0), 200 / (100 * LATE_FRACTION))
        self.assertEqual(host.control.return_delay("other", 1.0), 0.0)
        self.assertEqual(host.counters.total(RETURNING, 300.0), {})

    def test_delay_is_as_before_without_a_backlog_and_bounded_with_one(self):
        for seed in range(20):
            before, same = (retry_delay(True, random.Random(seed), *a) for a in ((), (None, None)))
            self.assertEqual(before, same)
            self.assertLessEqual(before, BUSY_DELAY * (1 + JITTER))
            huge = retry_delay(True, random.Random(seed), backlog_for=1e9)
            self.assertLessEqual(huge, MAX_DELAY * (1 + JITTER))
            self.assertGreater(huge, MAX_DELAY * (1 - JITTER) - 1e-9)


GROUPS, SLOTS, HOSTS, BURST_AT, BURST_SECONDS = 24, 10, 60, 4.0, 4.0
PACES = (0.6, 1.0, 1.5)
SHORTAGE = (BURST_AT, BURST_AT + BURST_SECONDS)
BEFORE, AFTER = (2.0, BURST_AT), (BURST_AT + BURST_SECONDS + 1.0, BURST_AT + BURST_SECONDS + 2.0)
SAMPLING_ERROR = 0.05
"""Two standard errors of a share among the callers of a second."""

ON_TIME_BAR = 0.9
"""Fraction of what the groups left can answer that has to be answered on time."""


def scenario(pace, kinds=None, load=0.75, factor=1.0, lost=0, seconds=10.5):
    """Return a scenario whose load is a fraction of what its groups bear, and that capacity."""
    model = Model("m", GROUPS, pace, SLOTS)
    one_kind = notes("notes")
    shares = kinds or {one_kind: 1.0}
    base = Scenario("shortage", [model], [one_kind], entry_hosts=HOSTS, seconds=seconds)
    capacity = GROUPS / expected_timing(base, model).slot_interval
    changed = {
        "kinds": [
            _with(kind, per_second=load * capacity * share) for kind, share in shares.items()
        ],
        "bursts": [Burst(BURST_AT, BURST_SECONDS, factor / load)] if factor > 1 else [],
        "losses": [GroupLoss(BURST_AT, "m", BURST_SECONDS, 0.3) for _ in range(lost)],
    }
    return _with(base, **changed), capacity * (GROUPS - lost) / GROUPS


def _with(struct, **changed):
    fields = {f: getattr(struct, f) for f in struct.__struct_fields__}
    return struct.__class__(**{**fields, **changed})


class LoadTest(unittest.TestCase):
    """What callers get at 60 entry hosts whose counts of each other are 0.15 s old."""

    def run_both(self, made):
        return [Simulation(made, policy, 1).run() for policy in (Shipped(), WithoutAdmission())]

    def shortfalls(self, cases):
        """Return the cases in which fewer answers than the aim are on time, with the fractions."""
        found = []
        for pace, factor, lost in cases:
            _, capacity = scenario(pace, factor=factor, lost=lost)
            shipped, without = (
                run_once(p, pace, factor, lost) for p in (Shipped, WithoutAdmission)
            )
            possible = capacity * BURST_SECONDS
            self.assertLess(on_time(without, SHORTAGE), ON_TIME_BAR * possible, (pace, factor))
            fraction = on_time(shipped, SHORTAGE) / possible
            if fraction <= ON_TIME_BAR:
                found.append((pace, factor, lost, round(fraction, 2)))
        return found

    def test_on_time_answers_keep_nine_tenths_in_bursts(self):
        cases = [(pace, factor, 0) for pace in PACES for factor in (1.5, 2.0, 3.0)]
        self.assertEqual(self.shortfalls(cases), [])

    def test_on_time_answers_keep_nine_tenths_when_a_third_of_the_groups_is_lost(self):
        cases = [(pace, 1.0, GROUPS // 3) for pace in PACES]
        self.assertEqual(self.shortfalls(cases), [])

    def test_all_is_as_before_a_second_after_the_shortage(self):
        found = []
        for pace in PACES:
            for factor, lost in ((1.5, 0), (2.0, 0), (3.0, 0), (1.0, GROUPS // 3)):
                results = run_once(Shipped, pace, factor, lost)
                before, after = (share_on_time(results, window) for window in (BEFORE, AFTER))
                if after <= before - SAMPLING_ERROR:
                    found.append((pace, factor, lost, round(before, 3), round(after, 3)))
        self.assertEqual(found, [])

    def test_twice_as_many_are_on_time_as_without_admission(self):
        shipped, without = (run_once(p, 1.0, 2.0, 0) for p in (Shipped, WithoutAdmission))
        self.assertGreater(on_time(shipped, SHORTAGE), 1.5 * on_time(without, SHORTAGE))

    def test_more_urgent_callers_are_served_first(self):
        urgent, least = notes("urgent", priority=0), notes("least", priority=2)
        made, _ = scenario(1.0, {urgent: 0.3, least: 0.7}, factor=2.0)
        shipped, without = self.run_both(made)
        window = (BURST_AT + 1.0, BURST_AT + BURST_SECONDS)
        of_urgent = share_on_time(shipped, window, "urgent")
        self.assertGreater(of_urgent, ON_TIME_BAR)
        self.assertLess(share_on_time(without, window, "urgent"), of_urgent)
        # The floor: some of the least urgent are served, too.
        self.assertGreater(on_time(shipped, window, "least"), 0)

    def test_small_account_is_served_beside_one_that_asks_for_everything(self):
        small, large = notes("small", account="small"), notes("large", account="large")
        made, _ = scenario(1.0, {small: 0.1, large: 0.9}, factor=2.0)
        shipped, without = self.run_both(made)
        window = (BURST_AT + 1.0, BURST_AT + BURST_SECONDS)
        of_small = share_on_time(shipped, window, "small")
        self.assertGreater(of_small, ON_TIME_BAR)
        self.assertLess(share_on_time(without, window, "small"), of_small)

    def test_calm_load_is_served_exactly_as_without_admission(self):
        made, _ = scenario(1.0, load=0.4, seconds=5.0)
        shipped, without = self.run_both(made)
        self.assertEqual(shipped, without)


@functools.cache
def run_once(policy, pace, factor, lost):
    made, _ = scenario(pace, factor=factor, lost=lost)
    return Simulation(made, policy(), 1).run()


def notes(name, priority=0, account=""):
    return RequestKind(
        name, "m", 1.0, 674, 28, 0.3, 0.4, 6.0, 2.0, 0.2, priority=priority, account=account
    )


def asked_in(results, window, kind):
    return [
        r for r in results if window[0] <= r.first_sent_at < window[1] and kind in ("", r.kind.name)
    ]


def on_time(results, window, kind=""):
    return sum(r.outcome == "on time" for r in asked_in(results, window, kind))


def share_on_time(results, window, kind=""):
    return on_time(results, window, kind) / len(asked_in(results, window, kind))


if __name__ == "__main__":
    unittest.main()
