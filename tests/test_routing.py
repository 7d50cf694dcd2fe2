"""Choice of a group, evidence about groups and estimates of message delay."""

import random
import unittest

from oleanderhill.routing.evidence import EvidenceTracker
from oleanderhill.routing.messages import DomainEvidence, GroupState
from oleanderhill.routing.router import Choice, Evidence, NoChoice, Requirements, Router
from oleanderhill.routing.skew import ClockOffsets
from oleanderhill.types import GroupView, Member

from .test_placement import GROUP, SPEC, record

WANTED = Requirements(SPEC.model)


def evidence(group, proven=100.0, epoch=1, owner=1, running=0, centre="dc", **more):
    members = (Member(f"{group}-a", "a", "1"), Member(f"{group}-b", "b", "1"))
    view = GroupView(group, epoch, SPEC, members, True, True, 0, running, 0, 10)
    return Evidence(view._replace(**more), centre, "d", owner, proven)


def router(*items):
    found = Router("dc", random.Random(1))
    for item in items:
        found.learn(item)
    return found


class RouterTest(unittest.TestCase):
    def test_old_evidence_serves_nobody(self):
        r = router(evidence("g", proven=97.0))
        self.assertIsInstance(r.choose(WANTED, 100.0), NoChoice)

    def test_group_of_another_epoch_gets_nothing_at_the_moment_of_sending(self):
        r = router(evidence("g"))
        choice = r.choose(WANTED, 100.0)
        r.learn(evidence("g", epoch=2, proven=100.1))
        self.assertFalse(r.may_send(choice.group, choice.epoch, 100.2))

    def test_evidence_of_an_older_owner_does_not_replace_newer(self):
        r = router(evidence("g", owner=3, epoch=1))
        r.learn(evidence("g", owner=2, epoch=9, proven=101.0))
        self.assertEqual(r.by_group["g"].owner_epoch, 3)

    def test_least_loaded_is_chosen_and_own_requests_count_most(self):
        r = router(evidence("g", running=0), evidence("h", running=3))
        self.assertEqual(r.choose(WANTED, 100.0).group, "g")
        for _ in range(6):
            r.started("g", 100.0)
        self.assertEqual(r.choose(WANTED, 100.0).group, "h")

    def test_prefix_goes_to_the_same_group_while_it_has_room(self):
        r = router(*(evidence(f"g{n}") for n in range(5)))
        wanted = WANTED._replace(prefix="once upon")
        first = r.choose(wanted, 100.0)
        self.assertEqual({r.choose(wanted, 100.0).group for _ in range(9)}, {first.group})
        for _ in range(15):
            r.started(first.group, 100.0)
        self.assertNotEqual(r.choose(wanted, 100.0).group, first.group)

    def test_nearer_data_centre_first_and_the_other_when_it_is_full(self):
        r = router(evidence("near"), evidence("near2"), evidence("far", centre="other"))
        self.assertNotEqual(r.choose(WANTED, 100.0).group, "far")
        for name in ("near", "near2"):
            for _ in range(20):
                r.started(name, 100.0)
        self.assertEqual(r.choose(WANTED, 100.0).group, "far")

    def test_all_full_is_told_apart_from_none_whole(self):
        full = router(evidence("g", running=40)).choose(WANTED, 100.0)
        none = router(evidence("g", complete=False, accepting=False)).choose(WANTED, 100.0)
        self.assertEqual((full.full, none.full), (True, False))
        self.assertFalse(router().choose(WANTED, 100.0).known)

    def test_adapter_and_version_narrow_the_choice(self):
        r = router(evidence("g"))
        self.assertIsInstance(r.choose(WANTED._replace(version="v1"), 100.0), Choice)
        self.assertIsInstance(r.choose(WANTED._replace(adapter="none"), 100.0), NoChoice)

    def test_at_most_a_third_of_the_groups_is_ejected(self):
        r = router(*(evidence(f"g{n}") for n in range(6)))
        ejected = [r.eject(f"g{n}", 100.0) for n in range(6)]
        self.assertEqual(ejected, [True, True, False, False, False, False])

    def test_listed_leaving_host_closes_its_group(self):
        r = router(evidence("g"))
        r.leaving_hosts = frozenset({"g-b"})
        self.assertFalse(r.may_send("g", 1, 100.0))


class EvidenceTrackerTest(unittest.TestCase):
    def test_records_of_a_successor_outrank_those_of_an_owner_that_went_on_unsaved(self):
        # While the store was down, the old owner continued without saving and reached ledger
        # version 9. Its successor starts from the stored version 3, with a higher owner epoch.
        evidence_book = EvidenceTracker(router())
        old_record, new_record = record(epoch=9), record(epoch=2)
        states = (GroupState(3, 0, 0, 0, 8),)
        evidence_book.learn(DomainEvidence("d", "dc", 1, 9, states, (old_record,), 2), 100.0)
        self.assertTrue(
            evidence_book.learn(DomainEvidence("d", "dc", 2, 3, states, (new_record,), 2), 101.0)
        )
        self.assertEqual(evidence_book.router.by_group[GROUP].view.epoch, 2)


class ClockOffsetsTest(unittest.TestCase):
    def test_burst_after_a_pause_is_not_believed(self):
        # After a pause of the reader, ten messages of the last ten seconds arrive in one instant.
        offsets = ClockOffsets()
        found = [offsets.sent_at("e", 1, float(n), 50.0) for n in range(10)]
        self.assertEqual(set(found), {None})

    def test_message_that_lay_in_a_socket_is_dated_back(self):
        offsets = ClockOffsets()
        for n in range(5):
            offsets.sent_at("e", 1, float(n), 40.0 + n)
        self.assertAlmostEqual(offsets.sent_at("e", 1, 6.0, 60.0), 46.0, places=2)

    def test_restarted_sender_starts_anew(self):
        offsets = ClockOffsets()
        offsets.sent_at("e", 1, 0.0, 40.0)
        self.assertIsNone(offsets.sent_at("e", 2, 500.0, 45.0))
