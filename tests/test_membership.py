"""Membership by gossip."""

import random
import unittest

from oleanderhill.members.membership import (
    SUSPECT_AFTER,
    Gossip,
    Heartbeat,
    Membership,
    PeerState,
    Row,
)


def member(name, seeds=("a", "b")):
    return Membership(Row(name, name, "dc", 1, 0), list(seeds), random.Random(name))


def talk(members, now, linked=lambda a, b: True):
    sends = [(n, s) for n, m in members.items() for s in m.tick(now)]
    for sender, send in sends:
        if linked(sender, send.address):
            members[send.address].receive(now, send.message)


class MembershipTest(unittest.TestCase):
    def test_all_hear_of_all_within_seconds(self):
        names = [f"n{i}" for i in range(9)]
        members = {n: member(n, names[:2]) for n in names}
        for second in range(8):
            talk(members, float(second))
        for m in members.values():
            self.assertEqual(set(m.live(8.0)), set(names))

    def test_silent_peer_is_suspected_and_comes_back(self):
        m = member("a")
        m.receive(0.0, Gossip((Row("b", "b", "dc", 1, 1),)))
        self.assertEqual(m.state("b", SUSPECT_AFTER + 1), PeerState.SUSPECT)
        m.receive(9.0, Gossip((Row("b", "b", "dc", 1, 2),)))
        self.assertEqual(m.state("b", 9.0), PeerState.LIVE)

    def test_older_heartbeat_is_ignored(self):
        m = member("a")
        m.receive(0.0, Gossip((Row("b", "b", "dc", 1, 5),)))
        m.receive(9.0, Gossip((Row("b", "b", "dc", 1, 4),)))
        self.assertEqual(m.state("b", 9.0), PeerState.SUSPECT)

    def test_left_row_takes_precedence_over_heartbeats(self):
        # A host leaves; a heartbeat that it sent before is still being gossiped and arrives later.
        m = member("a")
        m.receive(0.0, Gossip((Row("b", "b", "dc", 1, 5, left=True),)))
        m.receive(0.1, Gossip((Row("b", "b", "dc", 1, 6),)))
        self.assertEqual(m.state("b", 0.2), PeerState.LEFT)

    def test_restarted_host_is_live_again_after_its_goodbye(self):
        m = member("a")
        m.receive(0.0, Gossip((Row("b", "b", "dc", 1, 5, left=True),)))
        m.receive(1.0, Gossip((Row("b", "b", "dc", 2, 1),)))
        self.assertEqual(m.state("b", 1.0), PeerState.LIVE)

    def test_host_refutes_a_row_that_says_it_left(self):
        m = member("b")
        m.receive(0.0, Gossip((m.me._replace(left=True),)))
        self.assertEqual(m.me.incarnation, 2)

    def test_one_way_link_does_not_hide_a_host(self):
        # c receives from a, but a never receives from c directly; b forwards c's heartbeats.
        members = {n: member(n, ("a", "b", "c")) for n in ("a", "b", "c")}
        for second in range(12):
            talk(members, float(second), lambda x, y: (x, y) != ("c", "a"))
        self.assertIn("c", members["a"].live(12.0))

    def test_message_size_does_not_grow_with_the_fleet(self):
        m = member("a")
        for n in range(500):
            m.receive(0.0, Gossip((Row(f"x{n}", f"x{n}", "dc", 1, 1),)))
        message = m.tick(1.0)[0].message
        self.assertLessEqual((len(message.rows), len(message.heartbeats)), (5, 32))

    def test_other_data_centres_are_known_by_a_few_contacts(self):
        m = member("a")
        for n in range(500):
            m.receive(0.0, Gossip((Row(f"x{n}", f"x{n}", f"far-{n % 20}", 1, 1),)))
        self.assertEqual(len(m.by_host), 20 * 9)

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        m = member("a")
        m.receive(0.0, Gossip((Row("b", "b", "dc", 7, 1),)))
        m.receive(9.0, Gossip((), (Heartbeat("b", 6, 50),)))
        self.assertEqual(m.state("b", 9.0), PeerState.SUSPECT)
        m.receive(9.0, Gossip((), (Heartbeat("b", 7, 50),)))
        self.assertEqual(m.state("b", 9.0), PeerState.LIVE)

    def test_many_hosts_of_a_data_centre_are_all_seen_as_live(self):
        names = [f"n{i}" for i in range(50)]
        members = {n: member(n, names[:3]) for n in names}
        for second in range(90):
            talk(members, float(second))
        seen = sum(len(m.live(90.0)) for m in members.values())
        self.assertGreater(seen / len(names) ** 2, 0.995)
