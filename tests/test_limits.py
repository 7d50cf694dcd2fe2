"""Rate limits of client accounts, divided among entry hosts."""

import unittest

from oleanderhill.limits.accounts import AccountLimits, RoundRobin

RATE = 90.0


def fleet_of(count, fleet=9):
    hosts = {f"e{n}": AccountLimits(fleet) for n in range(count)}
    for limits in hosts.values():
        limits.configure({"a": RATE})
    return hosts


def settle(hosts, requests_by_host, sides):
    """Run 20 seconds of demand; demand is sent only within each side of a partition."""
    for _ in range(20):
        for name, limits in hosts.items():
            for _ in range(requests_by_host.get(name, 0)):
                limits.admit("a", 0.0)
        for side in sides:
            for name in side:
                demand = hosts[name].tick(frozenset(side) - {name})
                for peer in side:
                    if peer != name:
                        hosts[peer].learn(name, demand)


class LimitsTest(unittest.TestCase):
    def test_shares_add_up_to_the_rate(self):
        hosts = fleet_of(9)
        settle(hosts, {"e0": 30, "e1": 10, "e2": 5}, [tuple(hosts)])
        self.assertAlmostEqual(sum(h.share("a") for h in hosts.values()), RATE, delta=0.05 * RATE)

    def test_share_follows_demand(self):
        hosts = fleet_of(9)
        settle(hosts, {"e0": 40, "e1": 4}, [tuple(hosts)])
        self.assertGreater(hosts["e0"].share("a"), 5 * hosts["e1"].share("a"))

    def test_two_sides_of_a_partition_stay_within_the_rate(self):
        # The account sends requests to both sides. Guards against each side dividing the full rate
        # among the hosts that it sees, which would admit twice the limit.
        hosts = fleet_of(9)
        names = list(hosts)
        sides = [names[:4], names[4:]]
        settle(hosts, dict.fromkeys(names, 20), sides)
        self.assertLessEqual(sum(h.share("a") for h in hosts.values()), 1.05 * RATE)

    def test_refusal_says_when_to_come_back(self):
        limits = fleet_of(1, fleet=1)["e0"]
        limits.configure({"a": 2.0})
        waits = [limits.admit("a", 0.0) for _ in range(6)]
        self.assertIsNone(waits[0])
        self.assertGreater(waits[-1], 0.0)
        self.assertIsNone(limits.admit("a", waits[-1] + 0.01))

    def test_every_peer_has_its_turn(self):
        round_robin = RoundRobin(3)
        names = [f"e{n}" for n in range(8)]
        selected = [n for _ in range(3) for n in round_robin.next(names)]
        self.assertEqual(set(selected), set(names))
        self.assertEqual(round_robin.next(["e9"]), ["e9"])

    def test_unknown_account_gets_one_request_at_most(self):
        limits = AccountLimits(1)
        limits.admit("b", 0.0)
        self.assertIsNotNone(limits.admit("b", 0.0))
