"""Placement and repair within one domain, and invariants of its ledger."""

import unittest

from oleanderhill.domains import placement
from oleanderhill.domains.placement import Dissolve, Drain, Form, Policy, Rebind, Situation, decide
from oleanderhill.types import (
    DomainLedger,
    EngineState,
    GroupRecord,
    GroupSpec,
    HostEntry,
    HostReport,
    HostState,
    Member,
    TimedReport,
    WantedGroup,
)

NOW = 1000.0
SPEC = GroupSpec("yard", "bale", "yard/m", "v1", (), 2, 10.0)
GROUP = "yard/bale@x#0"


def report(host, group="", epoch=0, rank=0, boot="1", state=None, leaving=False):
    known = EngineState.READY if group else EngineState.EMPTY
    return HostReport(host, boot, group, epoch, rank, state or known, leaving, 0, 0, 8)


def record(group=GROUP, epoch=1, hosts=("a", "b"), spec=SPEC):
    return GroupRecord(group, epoch, spec, tuple(Member(h, h, "1") for h in hosts))


def situation(records=(), reports=(), wanted=(GROUP,), **more):
    hosts = [r.host for r in reports]
    listed = more.pop("listed", {})
    ages = more.pop("ages", {})
    base = Situation(
        NOW,
        DomainLedger("d", groups={r.group: r for r in records}),
        tuple(WantedGroup(g, SPEC) for g in wanted),
        {h: HostEntry(h, h, "d", "dc", listed.get(h, HostState.LIVE)) for h in hosts},
        {r.host: TimedReport(r, NOW - ages.get(r.host, 0.1)) for r in reports},
        {r.host: NOW - 60.0 for r in reports if r.state == EngineState.EMPTY},
        {r.group: NOW - 10.0 for r in records},
        {},
        Policy(),
    )
    return base._replace(**more)


def serving(host, rank, **more):
    return report(host, GROUP, 1, rank, **more)


class FormingTest(unittest.TestCase):
    def test_wanted_group_forms_from_hosts_that_hold_nothing(self):
        actions = decide(situation(reports=[report("a"), report("b")]))
        self.assertEqual([type(a) for a in actions], [Form])

    def test_too_few_hosts_form_nothing(self):
        self.assertEqual(decide(situation(reports=[report("a")])), [])

    def test_host_that_just_let_go_is_not_given_to_another_group(self):
        # A partitioned entry host still sends requests to the host's last group, on evidence up
        # to two seconds old. Assigned immediately, the host would serve for two groups.
        just = {"a": NOW - 0.5, "b": NOW - 60.0}
        reports = [report("a"), report("b")]
        self.assertEqual(decide(situation(reports=reports, empty_since=just)), [])

    def test_leaving_host_joins_no_group(self):
        reports = [report("a"), report("b", leaving=True)]
        self.assertEqual(decide(situation(reports=reports)), [])
        listed = {"b": HostState.LEAVING}
        reports = [report("a"), report("b")]
        self.assertEqual(decide(situation(reports=reports, listed=listed)), [])


class RepairTest(unittest.TestCase):
    def test_silent_member_is_swapped_for_a_spare_after_the_grace(self):
        reports = [serving("a", 0), serving("b", 1), report("c")]
        s = situation([record()], reports, ages={"b": 9.0})
        (action,) = decide(s)
        self.assertEqual([m.host for m in action.members], ["a", "c"])

    def test_short_pause_of_a_member_repairs_nothing(self):
        reports = [serving("a", 0), serving("b", 1), report("c")]
        s = situation([record()], reports, ages={"b": 2.5}, broken_since={GROUP: NOW - 0.5})
        self.assertEqual(decide(s), [])

    def test_rebooted_member_is_bound_again_in_its_new_boot(self):
        # The host reports its old role from a new boot, in which its weights are not loaded.
        # The group must be rebound to the new boot at a new epoch.
        s = situation([record()], [serving("a", 0), serving("b", 1, boot="2")])
        (action,) = decide(s)
        self.assertIsInstance(action, Rebind)
        self.assertEqual([m.boot_id for m in action.members], ["1", "2"])

    def test_member_with_a_load_on_its_way_is_left_alone(self):
        s = situation([record()], [serving("a", 0), report("b", "other", 5, 1)])
        self.assertEqual(decide(s), [])

    def test_group_without_spare_holds_its_hosts_as_long_as_the_exchange_rate_says(self):
        reports = [serving("a", 0), serving("b", 1)]
        s = situation([record()], reports, ages={"b": 99.0})
        late = {GROUP: NOW - 100.0}
        patient = s._replace(broken_since=late, policy=Policy(exchange_rate=80.0))
        eager = s._replace(broken_since=late, policy=Policy(exchange_rate=1.0))
        self.assertEqual(decide(patient), [])
        self.assertEqual([type(a) for a in decide(eager)], [Dissolve])

    def test_two_broken_groups_make_one_whole(self):
        other = "yard/bale@x#1"
        records = [record(), record(other, 1, ("c", "d"))]
        reports = [
            serving("a", 0),
            serving("b", 1),
            report("c", other, 1, 0),
            report("d", other, 1, 1),
        ]
        s = situation(records, reports, (GROUP, other), ages={"b": 9.0, "d": 9.0})
        self.assertEqual([type(a) for a in decide(s)], [Dissolve])


class RollOutTest(unittest.TestCase):
    def test_successor_forms_while_the_old_version_serves(self):
        new = "yard/bale@y#0"
        reports = [serving("a", 0), serving("b", 1), report("c"), report("d")]
        s = situation([record()], reports, (new,))
        self.assertEqual([type(a) for a in decide(s)], [Form])

    def test_old_version_drains_once_the_successor_is_whole(self):
        new = "yard/bale@y#0"
        records = [record(), record(new, 1, ("c", "d"))]
        reports = [
            serving("a", 0),
            serving("b", 1),
            report("c", new, 1, 0),
            report("d", new, 1, 1),
        ]
        s = situation(records, reports, (new,))
        self.assertEqual(decide(s), [Drain(GROUP, "its successor serves")])

    def test_without_room_one_old_group_makes_room(self):
        s = situation([record()], [serving("a", 0), serving("b", 1)], ("yard/bale@y#0",))
        self.assertEqual([type(a) for a in decide(s)], [Drain])

    def test_unwanted_group_drains_first(self):
        s = situation([record()], [serving("a", 0), serving("b", 1)], ())
        self.assertEqual([type(a) for a in decide(s)], [Drain])


class LedgerRuleTest(unittest.TestCase):
    def test_ledger_refuses_a_host_in_two_groups(self):
        ledger = DomainLedger("d", groups={GROUP: record()})
        form = Form(WantedGroup("g2", SPEC), (Member("b", "b", "1"), Member("c", "c", "1")), "")
        with self.assertRaises(placement.ledgers.LedgerRuleError):
            placement.apply(ledger, form)

    def test_group_formed_again_never_reuses_an_epoch(self):
        ledger = DomainLedger("d", owner_epoch=3)
        form = Form(WantedGroup(GROUP, SPEC), record().members, "")
        first = placement.apply(ledger, form)
        gone = placement.apply(first, Dissolve(GROUP, ""))
        second = placement.apply(gone, form)
        self.assertGreater(second.groups[GROUP].epoch, first.groups[GROUP].epoch)
