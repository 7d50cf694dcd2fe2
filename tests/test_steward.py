"""The controller of a domain: ownership, pauses, store faults and orders."""

import unittest

from oleanderhill.domains import placement, stewardship
from oleanderhill.domains.orders import OrderKey, due_orders
from oleanderhill.domains.placement import Policy
from oleanderhill.domains.steward import TICK, DomainSteward
from oleanderhill.domains.stewardship import encode_ledger
from oleanderhill.types import DomainLedger, HostEntry, TimedReport, WantedGroup

from .test_placement import GROUP, SPEC, record, report, serving

OWNED = DomainLedger("d", owner="e1", owner_incarnation="1", owner_epoch=4, version=7)


def make_steward(fencing=True):
    steward = DomainSteward("e1", "1", "d", Policy(), fencing)
    steward.incarnation_by_host = {"e1": "1"}
    steward.settled = True
    steward.watch.set_hosts([HostEntry(h, h, "d", "dc") for h in ("a", "b", "c")])
    steward.wanted = (WantedGroup(GROUP, SPEC),)
    return steward


def own(steward, now, records=()):
    """Make the controller take over a ledger with these groups."""
    found = DomainLedger(
        "d", owner_epoch=3, groups={r.group: r for r in records}, last_epoch={GROUP: 1}
    )
    steward.tick(now)
    effects = steward.apply_store_event(stewardship.LedgerAnswer(encode_ledger(found), 1), now)
    assert isinstance(effects[-1], stewardship.SwapLedger)
    effects = steward.apply_store_event(stewardship.SwapAnswer(True), now)
    assert isinstance(effects[-1], stewardship.ReadLedger)
    taken = steward.ledger
    steward.apply_store_event(stewardship.LedgerAnswer(encode_ledger(taken), 2), now)


def apply_reports(steward, reports, now):
    for item in reports:
        steward.watch.apply_report(TimedReport(item, now))


def run(steward, start, seconds, reports):
    """Tick for some seconds with these reports and no store answers; return effects and time."""
    effects = []
    now = start
    while now < start + seconds:
        now += TICK
        apply_reports(steward, reports, now)
        effects += steward.tick(now)
    return effects, now


def orders(effects):
    return [e.order for e in effects if isinstance(e, stewardship.SendOrder)]


def swaps(effects):
    return [e for e in effects if isinstance(e, stewardship.SwapLedger)]


class StewardTest(unittest.TestCase):
    def test_taker_waits_before_it_acts(self):
        # The displaced owner may send orders until its last confirmation by the store expires. If
        # the new owner sent orders before then, those of the two would interleave.
        steward = make_steward()
        own(steward, 100.0)
        effects, _ = run(steward, 100.0, 2.0, [report("a"), report("b")])
        self.assertFalse(swaps(effects) or orders(effects))
        effects, _ = run(steward, 102.0, 3.0, [report("a"), report("b")])
        self.assertTrue(swaps(effects))

    def test_owner_that_wakes_from_a_pause_repairs_nothing(self):
        # After a long pause of the process all reports are old and every member looks silent.
        # The owner must probe again before it repairs or dissolves groups.
        steward = make_steward()
        own(steward, 100.0, [record()])
        whole = [serving("a", 0), serving("b", 1), report("c")]
        _, now = run(steward, 100.0, 10.0, whole)
        steward.apply_store_event(stewardship.LedgerAnswer(encode_ledger(steward.ledger), 2), now)
        effects = steward.tick(now + 100.0)
        self.assertFalse(swaps(effects))
        effects, _ = run(steward, now + 100.0, 5.0, whole)
        self.assertFalse(swaps(effects))

    def test_displaced_owner_waits_before_it_takes_back(self):
        # Two entry hosts reach the store but not each other, so by its own membership list each
        # should own the domain. If they displaced each other without delay, neither would repair
        # any group.
        steward = make_steward()
        own(steward, 100.0)
        other = OWNED._replace(owner="e2", owner_epoch=9)
        steward.tick(111.0)
        steward.apply_store_event(stewardship.LedgerAnswer(encode_ledger(other), 5), 111.0)
        self.assertFalse(steward.owned)
        effects, _ = run(steward, 111.0, 20.0, [])
        self.assertFalse([e for e in effects if isinstance(e, stewardship.ReadLedger)])

    def test_older_copy_of_the_ledger_is_written_over(self):
        # The platform restores the store from an older copy, in which hosts that now serve are
        # free. The owner must write its newer ledger back instead of adopting the copy.
        steward = make_steward()
        own(steward, 100.0, [record()])
        older = steward.ledger._replace(groups={}, version=0)
        steward.tick(111.0)
        steward.apply_store_event(stewardship.LedgerAnswer(encode_ledger(older), 9), 111.0)
        self.assertIn(GROUP, steward.ledger.groups)
        effects = steward.tick(111.5)
        self.assertEqual([s.modify_index for s in swaps(effects)], [9])

    def test_lost_take_over_is_found_by_reading(self):
        steward = make_steward()
        steward.tick(100.0)
        effects = steward.apply_store_event(stewardship.LedgerAnswer(b"", 0), 100.0)
        (swap,) = swaps(effects)
        steward.apply_store_event(stewardship.StoreFailed(True), 102.0)
        self.assertFalse(steward.owned)
        steward.tick(104.0)
        steward.apply_store_event(stewardship.LedgerAnswer(swap.value, 1), 104.0)
        self.assertTrue(steward.owned)

    def test_live_owner_keeps_its_domain(self):
        steward = make_steward()
        steward.incarnation_by_host = {"e1": "1", "e0": "7"}
        found = OWNED._replace(owner="e0", owner_incarnation="7")
        steward._next_take_over = 0.0
        steward.incarnation_by_host = {"e1": "1"}
        steward.tick(100.0)
        steward.incarnation_by_host = {"e1": "1", "e0": "7"}
        effects = steward.apply_store_event(
            stewardship.LedgerAnswer(encode_ledger(found), 1), 100.0
        )
        self.assertFalse(swaps(effects))

    def test_store_outage_stops_orders_only_where_engines_ignore_fencing(self):
        for fencing in (True, False):
            steward = make_steward(fencing)
            own(steward, 100.0, [record()])
            reports = [serving("a", 0), report("b"), report("c")]
            effects, now = run(steward, 100.0, 1.5, reports)
            steward.apply_ticket(OrderKey("load", "b", GROUP, 1), 0.0, now)
            effects, _ = run(steward, now, 20.0, reports)
            self.assertEqual(bool(orders(effects)), fencing)

    def test_owner_goes_on_unsaved_where_engines_check_fencing(self):
        for fencing in (True, False):
            steward = make_steward(fencing)
            own(steward, 100.0, [record()])
            broken = [serving("a", 0), report("c")]
            effects, now = run(steward, 100.0, 12.0, broken)
            steward.apply_store_event(stewardship.StoreFailed(True), now)
            hosts = [m.host for m in steward.ledger.groups[GROUP].members]
            self.assertEqual(hosts, ["a", "c"] if fencing else ["a", "b"])
            self.assertEqual(steward.unsaved, fencing)

    def test_host_with_a_load_on_its_way_is_not_free(self):
        # A load order is in flight to a host whose group is then dissolved. The host still
        # reports itself empty; in another group it would receive two conflicting load orders.
        steward = make_steward()
        own(steward, 100.0, [record()])
        reports = [serving("a", 0), report("b"), report("c")]
        _, now = run(steward, 100.0, 3.0, reports)
        steward.apply_ticket(OrderKey("load", "b", GROUP, 1), 0.0, now)
        effects, now = run(steward, now, 0.5, reports)
        self.assertEqual([o.host for o in orders(effects)], ["b"])
        steward.ledger = steward.ledger._replace(groups={})
        apply_reports(steward, reports, now)
        free = [f.report.host for f in placement.free_hosts(steward.situation(now))]
        self.assertEqual(free, ["c"])

    def test_malformed_ledger_is_reported_and_changes_nothing(self):
        steward = make_steward()
        steward.tick(100.0)
        (effect,) = steward.apply_store_event(stewardship.LedgerAnswer(b"{", 1), 100.0)
        self.assertEqual(effect.part, "fault")
        self.assertFalse(steward.owned)


class OrdersTest(unittest.TestCase):
    def setUp(self):
        self.ledger = DomainLedger("d", groups={GROUP: record()})
        self.entries = {h: HostEntry(h, h, "d", "dc") for h in ("a", "b", "c")}

    def due(self, *reports):
        seen = {r.host: TimedReport(r, 99.9) for r in reports}
        return [d.order for d in due_orders(self.ledger, self.entries, seen, {}, 100.0)]

    def test_host_in_an_unknown_boot_gets_no_load(self):
        # One epoch must not cover two boots of a host: evidence of the old boot would stay valid.
        self.assertEqual(self.due(serving("a", 0), report("b", boot="2")), [])

    def test_host_that_no_group_holds_is_emptied(self):
        (order,) = self.due(serving("a", 0), serving("b", 1), report("c", "ghost", 5))
        self.assertEqual((order.kind, order.host), ("unload", "c"))

    def test_empty_member_is_loaded(self):
        (order,) = self.due(serving("a", 0), report("b"))
        self.assertEqual((order.kind, order.host, order.rank), ("load", "b", 1))
