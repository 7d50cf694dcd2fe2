"""Local copies of store content across a restore from a backup, without a network."""

import json
import random
import unittest

from oleanderhill_dev.users.site import configuration
from returns.pipeline import is_successful
from returns.result import Success
from tornado.httputil import HTTPHeaders

from oleanderhill.clients.changelog import ChangeLog
from oleanderhill.clients.freshness import Freshness
from oleanderhill.clients.httpcall import Reply
from oleanderhill.clients.keyed import KeyedCopy
from oleanderhill.clients.storage import (
    NEVER,
    Change,
    GenerationEndedError,
    HistoryLostError,
    Item,
    Lease,
    LeaseEndedError,
    Revision,
    Write,
)
from oleanderhill.groups.inventory import Instance, Inventory
from oleanderhill.groups.plans import (
    DomainPlan,
    decode_plan,
    encode_plan,
    in_new_generation,
    supersedes,
)
from oleanderhill.platform.configuration import ConfigurationCopy
from oleanderhill.platform.decoding import CONFIGURATION_KEY
from oleanderhill.platform.host_list import HostList
from oleanderhill.platform.store import PlatformStore
from oleanderhill.records import Records

KEYS = {"hall": ["key-a"]}


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.freshness = Freshness(5.0)
        self.copy = ConfigurationCopy(self.freshness, Records("e1"))

    def read(self, version, generation, number):
        value = configuration(version, KEYS)
        return self.copy.change(CONFIGURATION_KEY, value, Revision(generation, number), 0.0)

    def test_no_version_goes_back_whatever_generations_and_revisions_say(self):
        for seed in range(100):
            rng = random.Random(seed)
            self.setUp()
            generation, number, newest, acknowledged = 1, 0, 0, 0
            for _ in range(40):
                if rng.random() < 0.2:
                    generation, number = generation + rng.randint(1, 2), rng.randrange(number + 1)
                    acknowledged = rng.randint(0, acknowledged)
                number += 1
                acknowledged += rng.randint(0, 1)
                if not acknowledged:
                    continue
                late = rng.random() < 0.2
                self.read(acknowledged, generation - late, number)
                held = self.copy.catalog
                if held is not None:
                    self.assertGreaterEqual(held.version, newest, seed)
                    newest = held.version
                if not late:
                    self.assertGreaterEqual(newest, acknowledged, seed)

    def test_older_one_of_a_backup_proves_nothing_until_it_is_written_again(self):
        self.read(7, 1, 50)
        self.assertFalse(self.read(6, 2, 40))
        self.freshness.record_verified(10.0)
        self.assertFalse(self.freshness.is_fresh(10.0))
        self.assertEqual([c.revision for c in self.copy.retained()], [Revision(1, 50)])
        self.assertTrue(self.read(7, 2, 45))
        self.freshness.record_verified(10.0)
        self.assertTrue(self.freshness.is_fresh(10.0))
        self.assertEqual(list(self.copy.retained()), [])
        self.assertEqual(self.copy.revisions(), {CONFIGURATION_KEY: Revision(2, 45)})

    def test_proof_of_before_the_store_settled_is_not_taken(self):
        self.freshness.ignore_checks_before(20.0)
        self.freshness.record_verified(19.9)
        self.assertFalse(self.freshness.is_fresh(19.9))
        self.freshness.record_verified(20.0)
        self.assertTrue(self.freshness.is_fresh(20.0))


class KeyedCopyTest(unittest.TestCase):
    def setUp(self):
        self.plans = KeyedCopy(decode_plan, Records("e1"), supersedes, 60.0)

    def items(self, *plans):
        return [Item(f"plan/{p.domain}", encode_plan(p), r) for p, r in plans]

    def test_newest_plan_outlasts_a_backup_and_is_written_by_what_the_store_has(self):
        old = DomainPlan("d", "a", "l", 1, 5, generation=1, version=3)
        new = DomainPlan("d", "a", "l", 1, 6, generation=1, version=4)
        self.plans.replace(self.items((new, Revision(1, 90))), 0.0)
        self.plans.restored(10.0)
        self.plans.replace(self.items((old, Revision(2, 80))), 10.0)
        self.assertEqual(self.plans.get("plan/d"), (new, Revision(2, 80)))
        again = in_new_generation(new, 2)._replace(version=5)
        self.plans.put("plan/d", encode_plan(again), Revision(2, 81))
        self.assertEqual(self.plans.get("plan/d"), (again, Revision(2, 81)))

    def test_plan_that_the_backup_lacks_is_kept_until_its_time_is_over(self):
        plan = DomainPlan("d", "a", "l", 1, 5, generation=1, version=3)
        self.plans.replace(self.items((plan, Revision(1, 90))), 0.0)
        self.plans.restored(10.0)
        self.plans.replace([], 10.0)
        self.plans.replace([], 20.0)
        self.assertEqual(self.plans.get("plan/d"), (plan, NEVER))
        self.plans.expire(69.9)
        self.assertIn("plan/d", self.plans.by_key)
        self.plans.expire(70.0)
        self.assertNotIn("plan/d", self.plans.by_key)

    def test_plan_that_is_missing_without_a_restore_is_gone(self):
        plan = DomainPlan("d", "a", "l", 1, 5, generation=1, version=3)
        self.plans.replace(self.items((plan, Revision(1, 90))), 0.0)
        self.plans.replace([], 1.0)
        self.assertIsNone(self.plans.get("plan/d"))

    def test_plan_written_since_the_restore_holds(self):
        held = DomainPlan("d", "a", "l", 4, 9, generation=1, version=30)
        since = DomainPlan("d", "b", "l", 2, 7, generation=2, version=4)
        self.plans.replace(self.items((held, Revision(1, 90))), 0.0)
        self.plans.restored(10.0)
        self.plans.replace(self.items((since, Revision(2, 80))), 10.0)
        self.assertEqual(self.plans.by_key["plan/d"], since)

    def test_renewed_plan_repeats_neither_terms_nor_epochs(self):
        plan = DomainPlan("d", "a", "l", 3, 12, generation=1, version=9)
        again = in_new_generation(plan, 2)
        self.assertGreater(again.term, plan.term + 50)
        self.assertGreater(again.last_epoch, plan.last_epoch + 500)
        self.assertEqual(in_new_generation(DomainPlan("d"), 2), DomainPlan("d", generation=2))


class ChangeLogTest(unittest.TestCase):
    def test_who_has_read_another_generation_is_told_everything(self):
        log = ChangeLog()
        log.replace(Revision(1, 100), [Change("a", b"1", Revision(1, 90))])
        log.replace(Revision(2, 60), [Change("a", b"0", Revision(2, 50))])
        log.apply(Revision(2, 61), [Change("b", b"1", Revision(2, 61))])
        for after in (Revision(1, 100), Revision(1, 61), Revision(3, 1)):
            self.assertIsNone(log.since(after))
        self.assertEqual([c.key for c in log.since(Revision(2, 60))], ["b"])
        self.assertEqual(log.revision, Revision(2, 61))


class HostListTest(unittest.TestCase):
    """Tests how the host list of a restored store is merged with the state known before."""

    def setUp(self):
        self.inventory = Inventory()
        self.gone = []
        records = Records("e1")
        self.hosts = HostList(self.inventory, records, self.gone.append, 2.2)

    def entry(self, sequence, state="ready", group=None):
        found = {
            "service": "desk",
            "address": "127.0.0.1:80",
            "zone": "hall",
            "version": "v1",
            "born": 5,
            "cold_remaining_ms": 0,
            "max_batch": 6,
            "state": state,
            "sequence": sequence,
            "group": group,
        }
        return json.dumps(found).encode()

    def item(self, *what, **how):
        return Item("servers/a", self.entry(*what, **how), Revision(2, 40))

    def change(self, *what, now=11.0, **how):
        return self.hosts.change("servers/a", self.entry(*what, **how), Revision(2, 41), now)

    def membership(self):
        host = self.inventory.by_instance.get(Instance("a", 5))
        return None if host is None or host.membership is None else host.membership.group

    def known(self, sequence, group="g2"):
        self.hosts.replace([self.item(sequence, group=group_entry(group))], 0.0)
        self.hosts.finish_read(0.0)

    def restore(self, *what, **how):
        self.hosts.restored(10.0)
        self.inventory.extend_grace(12.2)
        self.hosts.replace([self.item(*what, **how)], 10.0)
        self.hosts.finish_read(10.0)

    def test_group_that_the_backup_does_not_know_stands_until_its_host_writes_again(self):
        self.known(9)
        self.restore(7, group=group_entry("g1"))
        self.assertEqual(self.membership(), "g2")
        self.assertTrue(self.change(10, group=group_entry("g2")))
        self.hosts.finish_read(12.3)
        self.assertEqual(self.membership(), "g2")

    def test_entry_that_nobody_writes_again_is_believed_in_the_end(self):
        self.known(9)
        self.restore(7, group=group_entry("g1"))
        self.hosts.finish_read(12.1)
        self.assertEqual(self.membership(), "g2")
        self.hosts.finish_read(12.2)
        self.assertEqual(self.membership(), "g1")

    def test_newer_entry_is_taken_at_once(self):
        self.known(9)
        self.restore(10, group=group_entry("g3"))
        self.assertEqual(self.membership(), "g3")

    def test_host_that_leaves_still_leaves_whatever_the_backup_says(self):
        self.hosts.replace([self.item(9, state="draining")], 0.0)
        self.restore(7)
        self.hosts.finish_read(13.0)
        self.change(12)
        self.assertTrue(self.inventory.by_instance[Instance("a", 5)].leaving)

    def test_host_that_was_gone_does_not_come_back_by_the_backup(self):
        self.known(9)
        self.hosts.change("servers/a", None, Revision(1, 60), 5.0)
        self.restore(9)
        self.assertEqual(self.inventory.by_instance, {})
        self.assertTrue(self.change(11))
        self.assertIn(Instance("a", 5), self.inventory.by_instance)


def group_entry(name):
    return {"name": name, "epoch": 1, "rank": 0, "state": "open"}


class FakeCaller:
    """A fake HTTP caller with configurable answers."""

    def __init__(self):
        self.generation, self.status, self.body, self.paths = 1, 200, b"{}", []

    async def call(self, call):
        self.paths.append(call.path)
        headers = HTTPHeaders({"Store-Era": str(self.generation)})
        return Success(Reply(self.status, headers, self.body))


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.caller = FakeCaller()
        self.store = PlatformStore("x:1", self.caller, Records("e1"))

    async def test_revision_that_is_given_out_again_is_another(self):
        self.caller.body = b'{"events": [], "at": 50}'
        found = await self.store.changes(Revision(1, 50))
        self.assertEqual(found.unwrap().revision, Revision(1, 50))
        self.caller.generation = 2
        found = await self.store.changes(Revision(1, 50))
        self.assertIsInstance(found.failure(), HistoryLostError)
        self.caller.body = b'{"revision": 50}'
        self.assertIs((await self.store.unchanged({"k": Revision(1, 50)})).unwrap(), False)
        self.assertIs((await self.store.unchanged({"k": Revision(2, 50)})).unwrap(), True)

    async def test_check_that_meets_the_new_generation_first_proves_nothing(self):
        self.caller.generation = 2
        self.assertIs((await self.store.unchanged({"k": Revision(1, 50)})).unwrap(), False)

    async def test_nothing_is_written_by_a_revision_or_lease_of_an_ended_generation(self):
        self.caller.generation = 2
        await self.store.grant(3.0)
        calls = len(self.caller.paths)
        write = Write("k", b"v")
        found = await self.store.commit({"k": Revision(1, 50)}, [write])
        self.assertIsInstance(found.failure(), GenerationEndedError)
        found = await self.store.commit({"k": NEVER}, [write._replace(lease=Lease(1, 7))])
        self.assertIsInstance(found.failure(), GenerationEndedError)
        for ended in (self.store.renew, self.store.end):
            self.assertIsInstance((await ended(Lease(1, 7))).failure(), LeaseEndedError)
        self.assertEqual(len(self.caller.paths), calls)
        self.caller.body = b'{"revision": 51}'
        found = await self.store.commit({"k": NEVER}, [write])
        self.assertEqual(found.unwrap(), Revision(2, 51))

    async def test_lease_whose_renewal_meets_the_new_generation_has_ended(self):
        self.caller.body = b'{"lease_id": 7}'
        lease = (await self.store.grant(3.0)).unwrap()
        self.caller.generation = 2
        self.assertIsInstance((await self.store.renew(lease)).failure(), LeaseEndedError)

    async def test_generation_rises_by_any_answer_and_never_falls(self):
        for generation, status, newest in ((1, 200, 1), (4, 503, 4), (2, 200, 4), (5, 412, 5)):
            self.caller.generation, self.caller.status = generation, status
            self.assertFalse(is_successful(await self.store.list("p")))
            self.assertEqual(self.store.generation, newest)


if __name__ == "__main__":
    unittest.main()
