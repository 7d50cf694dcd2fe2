"""The retry budget that entry hosts share, when hosts end, start or stop hearing each other."""

import unittest

from oleanderhill_dev.fuzz_retries import RATIO, SECONDS, SLACK, WINDOW, Event, Simulation, play
from oleanderhill_dev.windows import retries_over_budget


class OracleTest(unittest.TestCase):
    def test_repeats_are_held_against_the_best_of_three_windows(self):
        arrivals = [(1.0, "a"), *((2.0 + n / 10, "a") for n in range(5)), (2.0, "b")]
        self.assertEqual(retries_over_budget(arrivals, [], 0.2, 3.0, 10.0), 2.0)
        self.assertEqual(retries_over_budget(arrivals, [-5.0] * 10, 0.2, 3.0, 10.0), 0.0)
        self.assertEqual(retries_over_budget([(1.0, "a"), (1.0, "b")], [], 0.2, 0.0, 10.0), 0.0)


EVERYONE = tuple(range(8))


class SharedBudgetFaultTest(unittest.TestCase):
    def breaches(self, events, greedy, seed=1, **options):
        simulation = Simulation(seed, **options)
        simulation.run(events, greedy)
        return simulation.breaches()

    def test_retries_of_a_host_that_is_killed_are_not_spent_again(self):
        kills = [Event(10.0 + 3.0 * n, "kill", (n,)) for n in range(3)]
        greedy = [(8.0, (0,)), (9.9, ()), (10.5, (1,)), (13.5, (2,)), (16.5, EVERYONE)]
        self.assertEqual(self.breaches(kills, greedy), [])

    def test_retries_before_a_restart_of_all_hosts_are_not_spent_again(self):
        events = [Event(10.0, "kill", EVERYONE)]
        self.assertEqual(self.breaches(events, [(8.0, EVERYONE)]), [])

    def test_retries_before_a_cut_are_not_spent_again_on_the_other_side(self):
        events = [Event(10.0, "cut", (0, 1, 2)), Event(22.0, "heal", (0, 1, 2))]
        greedy = [(4.0, (0, 1, 2)), (10.8, (3, 4, 5, 6, 7))]
        self.assertEqual(self.breaches(events, greedy), [])

    def test_pool_is_used_where_all_hosts_hear_each_other(self):
        simulation = Simulation(1)
        simulation.run([], [(0.0, EVERYONE)])
        after = 20.0
        used = sum(at > after for at in simulation.retried_at) / (SECONDS - after)
        asked = sum(at > after for at in simulation.requested_at) / (SECONDS - after)
        self.assertEqual(simulation.breaches(), [])
        self.assertGreaterEqual(used, 0.7 * (RATIO * asked + SLACK / WINDOW))

    def test_host_that_starts_without_knowing_the_others_does_not_take_their_shares(self):
        events = [Event(10.0, "kill", EVERYONE)]
        found = self.breaches(events, [(10.5, EVERYONE)], known_hosts=1, discovery_seconds=1.0)
        self.assertEqual(found, [])

    def test_retries_before_all_hosts_are_cut_off_from_each_other_are_not_spent_again(self):
        everyone = tuple(range(20))
        events = [Event(20.0, "isolate", everyone)]
        greedy = [(14.0, (0, 1, 2)), (19.0, ()), (20.7, everyone)]
        self.assertEqual(self.breaches(events, greedy, hosts=20, summed=True), [])
        self.assertEqual(play(130), [])

    def test_retries_held_back_on_their_way_do_not_arrive_beside_those_of_the_next_window(self):
        events = [Event(10.0, "hold", EVERYONE), Event(20.0, "release", EVERYONE)]
        self.assertEqual(self.breaches(events, [(11.0, EVERYONE)]), [])

    def test_host_whose_first_list_lacks_the_others_does_not_take_their_shares(self):
        events = [Event(10.0, "kill", EVERYONE)]
        options = {"known_hosts": 1, "discovery_seconds": 1.0, "listing_seconds": 3.0}
        self.assertEqual(self.breaches(events, [(8.0, EVERYONE)], **options)[:1], [])

    def test_hosts_that_learn_of_each_other_late_do_not_take_the_shares_of_all(self):
        events = [Event(10.0, "kill", EVERYONE)]
        for seconds in (5.0, 9.0, 12.0):
            found = self.breaches(
                events, [(8.0, EVERYONE)], known_hosts=1, discovery_seconds=seconds
            )
            self.assertEqual(found[:1], [], seconds)

    def test_no_window_exceeds_the_bound_under_any_faults_and_late_discovery(self):
        self.assertEqual([seed for seed in range(60) if play(seed, unlisted=True)], [])

    def test_no_window_exceeds_the_bound_under_any_faults_and_held_back_links(self):
        found = [seed for seed in range(60) if play(seed, held_back=True)]
        self.assertEqual(found, [])

    def test_no_window_exceeds_the_bound_under_any_faults(self):
        self.assertEqual([seed for seed in range(60) if play(seed)], [])
