"""Tests of target hosts that restart under the same name, and of foreign entries.

Foreign entries are those that other writers than the platform's hosts put into the host list.
"""

import json
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st
from oleanderhill_dev.users.site import LARGE, SMALL, configuration, until

from oleanderhill.clients.keyed import KeyedCopy
from oleanderhill.groups.actions import OrderOutcome
from oleanderhill.groups.engine_hosts import EngineHosts
from oleanderhill.groups.inventory import Instance, Inventory, Membership, MemberState
from oleanderhill.groups.plans import DomainPlan
from oleanderhill.platform.decoding import decode_configuration, decode_host
from oleanderhill.platform.orders import EngineOrders
from oleanderhill.serving.view import ServingView
from tests.test_groups import host, keeper, staged_world
from tests.test_users_site import SiteTest

SOUND = {
    "service": "pool",
    "address": "10.1.64.29:8581",
    "zone": "hall",
    "version": "v1",
    "max_batch": 13,
    "state": "ready",
    "sequence": 1,
    "cold_remaining_ms": 0,
    "phase": "unified",
    "models": [{"name": "large", "version": 1, "adapters": []}],
    "domain": "d0",
    "staged": ["large"],
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
    "born": 1_788_000_000_123,
}


def entry(**changed):
    return json.dumps({**SOUND, **changed}).encode()


class LifeTest(unittest.TestCase):
    """Data of one incarnation is never applied to another."""

    def test_later_life_takes_the_place_of_the_earlier_one(self):
        inventory = Inventory()
        inventory.put(host("a", born=5))
        taken = inventory.put(host("a", born=9))
        self.assertEqual(taken.ended.instance, Instance("a", 5))
        self.assertIsNone(taken.before)
        self.assertEqual(list(inventory.by_instance), [Instance("a", 9)])
        self.assertTrue(inventory.ended(Instance("a", 5)))

    def test_late_entry_of_an_ended_life_revives_nothing(self):
        # A partitioned host crashes and restarts. A delayed write of its earlier incarnation
        # arrives after its new entry, or after the removal of that entry. If it were accepted,
        # requests would be sent to a group that the host no longer knows.
        inventory = Inventory()
        inventory.put(host("a", born=9))
        self.assertFalse(inventory.put(host("a", born=5)).current)
        self.assertEqual(list(inventory.by_instance), [Instance("a", 9)])
        inventory.remove("a", 50.0)
        self.assertFalse(inventory.put(host("a", born=5)).current)
        self.assertEqual(inventory.replace([host("a", born=5), host("b")], 51.0), [])
        self.assertEqual(list(inventory.by_instance), [Instance("b")])

    def test_entry_that_names_no_start_is_older_than_one_that_does(self):
        inventory = Inventory()
        inventory.put(host("a", born=9))
        self.assertFalse(inventory.put(host("a")).current)

    def test_new_life_ends_the_old_one_while_entries_are_in_doubt(self):
        # After a store outage missing entries may reappear, but not that of an ended incarnation:
        # if it were retained, its group would count as complete.
        inventory = Inventory()
        inventory.put(host("a", born=5))
        inventory.extend_grace(100.0)
        inventory.remove("a", 50.0)
        inventory.put(host("a", born=9))
        self.assertEqual(list(inventory.by_instance), [Instance("a", 9)])
        self.assertEqual(inventory.expire(101.0), [])
        self.assertEqual(list(inventory.by_instance), [Instance("a", 9)])

    def test_whole_list_drops_lives_that_ended_meanwhile(self):
        inventory = Inventory()
        inventory.put(host("a", born=5))
        inventory.put(host("b", born=5))
        gone = inventory.replace([host("a", born=9)], 50.0)
        self.assertEqual({r.instance for r in gone}, {Instance("a", 5), Instance("b", 5)})

    def test_names_of_hosts_that_are_gone_are_kept_up_to_a_bound(self):
        inventory = Inventory()
        for number in range(5_000):
            inventory.put(host(f"h{number}", born=5))
            inventory.remove(f"h{number}", 50.0)
        self.assertLessEqual(len(inventory._newest_born), 4_001)
        self.assertTrue(inventory.ended(Instance("h4999", 4)))

    def test_group_with_a_member_in_a_new_life_gets_no_requests(self):
        # The member restarted, and a late order made it join under the same group and epoch. It is
        # ready there, but as an incarnation that the plan does not name.
        world = staged_world(3, 0)
        world.run(4)
        last = world.plan.groups[0].members[-1]
        again = world.hosts.pop(last)._replace(instance=Instance(last.name, 9))
        world.hosts[again.instance] = again
        self.assertEqual(world.serving(), {})

    def test_group_of_restarted_member_is_formed_anew_with_it(self):
        # One of three members restarts under its name, with its weights still on the host. The
        # other two leave, and the three form a group within seconds.
        world = staged_world(3, 0)
        world.run(4)
        first = world.plan.groups[0]
        last = first.members[-1]
        world.hosts.pop(last)
        again = Instance(last.name, 9)
        world.hosts[again] = host(last.name, ("large",), born=9)
        world.run(12)
        (group,) = world.plan.groups
        self.assertIn(again, group.members)
        self.assertNotEqual(group.name, first.name)
        self.assertEqual(len(world.serving()["large"]), 1)
        self.assertEqual(world.broken_rules, [])

    def test_group_all_of_whose_members_restarted_is_not_waited_for(self):
        # A fabric domain lost power and all its hosts are back under their names. If its group were
        # treated as partitioned, the plan would retain it for 20 s and its hosts would wait as
        # long.
        world = staged_world(3, 0)
        world.run(4)
        ended = set(world.hosts)
        world.hosts = {
            Instance(i.name, 9): host(i.name, ("large",), born=9) for i in list(world.hosts)
        }
        decided = world.keeper.decide(world.now, world.plan, world.hosts, [], None, ended)
        self.assertEqual(decided[-1].plan.groups, ())

    def test_silence_of_the_earlier_life_is_not_held_against_the_new_one(self):
        # A crashed host left probes and orders unanswered, so it is not assigned to a group for
        # three seconds. It restarts after one second, and its new incarnation is available
        # immediately.
        world = staged_world(2, 0)
        old = next(iter(world.hosts))
        for _ in range(3):
            world.keeper.probed(old, 1, world.now)
        world.hosts[Instance("L9")] = host("L9", ("large",))
        world.hosts.pop(old)
        world.hosts[Instance(old.name, 9)] = host(old.name, ("large",), born=9)
        world.run(3)
        self.assertEqual(len(world.plan.groups), 1)

    def test_host_whose_address_another_one_answers_at_is_given_to_no_group(self):
        keeper_ = keeper()
        world = staged_world(3, 0)
        world.keeper = keeper_
        world.step()
        join, *_ = world.step(obey=False)
        keeper_.ended(join, OrderOutcome.GONE, world.now)
        self.assertIn(join.instance, keeper_._avoid_until)


class HeldTest(unittest.TestCase):
    """Candidates and engine hosts after a restart, and in the presence of foreign entries."""

    def test_plain_target_in_a_new_life_is_another_target(self):
        # Its counters and suspicion belong to the ended incarnation.
        catalog = decode_configuration(configuration(1, {"hall": ["k"]}))
        names = []
        for born in (5, 9):
            inventory = Inventory()
            target = host("t", domain="", born=born)._replace(service="desk")
            inventory.put(target)
            view = ServingView(inventory, KeyedCopy(lambda b: DomainPlan(""), None), None)
            view.refresh(catalog)
            names += [c.target for c in view.candidates("desk", "")]
        self.assertEqual(len(set(names)), 2)

    def test_entry_of_an_engine_service_without_a_domain_serves_nothing(self):
        # A foreign writer omitted the domain. Treated as a plain target, this host would be the
        # only candidate and receive all requests of the service.
        catalog = decode_configuration(configuration(1, {"hall": ["k"]}))
        inventory = Inventory()
        inventory.put(host("x", domain=""))
        view = ServingView(inventory, KeyedCopy(lambda b: DomainPlan(""), None), None)
        view.refresh(catalog)
        self.assertEqual(view.candidates("pool", LARGE), [])

    def test_hosts_of_services_that_are_not_configured_are_no_engines(self):
        inventory = Inventory()
        inventory.put(host("a"))
        inventory.put(host("b")._replace(service="unheard-of"))
        catalog = decode_configuration(configuration(1, {"hall": ["k"]}))
        (hosts,) = EngineHosts(inventory).by_domain(catalog).values()
        self.assertEqual([i.name for i in hosts], ["a"])


class DecodingTest(unittest.TestCase):
    def test_sound_entry(self):
        found = decode_host("servers/i-1", entry())
        self.assertEqual(found.instance, Instance("i-1", SOUND["born"]))
        self.assertEqual(found.membership, Membership("g", 3, 0, MemberState.OPEN))
        self.assertFalse(found.leaving)

    def test_entry_of_a_platform_that_names_no_starts(self):
        plain = {k: v for k, v in SOUND.items() if k != "born"}
        found = decode_host("servers/i-1", json.dumps(plain).encode())
        self.assertEqual(found.instance, Instance("i-1", 0))

    def test_what_names_no_host(self):
        for name in ("service", "address", "zone", "version", "max_batch", "state", "sequence"):
            lacking = {k: v for k, v in SOUND.items() if k != name}
            with self.subTest(lacking=name), self.assertRaises(ValueError):
                decode_host("servers/i-1", json.dumps(lacking).encode())
        wrong = (
            {"state": "sleeping"},
            {"state": None},
            {"born": "1788000000123"},
            {"born": 1788000000123.5},
            {"born": True},
            {"born": None},
            {"born": -1},
            {"born": 10**40},
            {"group": {**SOUND["group"], "epoch": 10**40}},
            {"max_batch": 0},
            {"max_batch": "13"},
            {"address": "nowhere"},
            {"address": ["10.1.64.29:8581"]},
            {"group": {"name": "g"}},
            {"group": {**SOUND["group"], "state": "dancing"}},
            {"group": []},
            {"staged": "large"},
            {"models": [{}]},
        )
        for changed in wrong:
            with self.subTest(changed), self.assertRaises(ValueError):
                decode_host("servers/i-1", entry(**changed))
        for key in ("servers/", "servers/a\r\nHost: b", "servers/a b", "servers/\N{SNOWMAN}"):
            with self.subTest(key), self.assertRaises(ValueError):
                decode_host(key, entry())

    @settings(max_examples=400, deadline=None)
    @given(st.binary(max_size=200))
    @example(b"[" * 100_000)
    @example(b'{"a":' * 100_000)
    @example(b'{"service": NaN}')
    @example(b'\xff\xfe{"service": 1}')
    @example(b"")
    def test_any_bytes_are_an_entry_or_a_value_error(self, data):
        self._decode(data)

    @settings(max_examples=400, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(sorted(SOUND)),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(st.sampled_from(["name", "epoch", "state"]), inner)
                ),
                max_leaves=6,
            ),
        )
    )
    def test_any_values_of_fields_are_an_entry_or_a_value_error(self, changed):
        self._decode(entry(**changed))

    def _decode(self, data):
        try:
            found = decode_host("servers/i-1", data)
        except ValueError:
            return
        self.assertIsInstance(found.instance.born, int)
        self.assertGreaterEqual(found.instance.born, 0)
        self.assertGreaterEqual(found.slots, 1)
        self.assertRegex(found.address, r"^[\d.]+:\d+$")
        self.assertIsInstance(found.service, str)


class SiteOfLivesTest(SiteTest):
    async def test_what_is_written_over_an_entry_takes_its_place(self):
        # A foreign writer overwrites the entry of one of two targets with malformed data. If the
        # earlier entry were retained, requests would go to a host that may no longer be live. The
        # other target must stay in use.
        self.site.write_entry("t-0", b'{"service": "desk", "state"')

        def names():
            return [c.host.address for c in self.entry.candidates("desk", "")]

        await until(lambda: len(names()) == 1)
        for _ in range(4):
            reply, reader = await self.reply("/scan/a")
            self.assertIn(b"t-1", reader.body)

    async def test_foreign_entries_in_the_first_list_lose_no_other(self):
        # An entry host starts and reads the full list, with foreign entries on every page.
        for number, value in enumerate((b"", b"[]", b"\xff", b"[" * 50_000, b'{"born": NaN}')):
            self.site.write_entry(f"foreign-{number}", value)
        late = await self.site.add_entry("entry-9")
        await until(lambda: late.candidates("pool", SMALL) and late.candidates("pool", LARGE))
        self.assertEqual(len(late.candidates("desk", "")), 2)

    async def test_member_that_starts_again_under_its_name_is_used_again(self):
        # A member crashes and restarts immediately, in no group. The head of its group keeps
        # accepting requests that never finish. A new group must form and serve, with all members.
        (candidate,) = self.entry.candidates("pool", LARGE)
        head = self.site.engines.host_by_instance[candidate.host.instance.name]
        self.site.engines.host_by_instance[head.members[1]].restart()

        def formed_anew():
            found = self.entry.candidates("pool", LARGE)
            return found and found[0].target != candidate.target

        await until(formed_anew, 25.0)
        _, reader = await self.reply("/read/x", "POST", model=LARGE)
        self.assert_complete_stream(reader)
        (run,) = self.runs(self.request_id)
        self.assertEqual((run.joined_members, run.never_ready), (3, ()))

    async def test_probe_of_an_ended_life_is_not_answered_by_the_new_one(self):
        # The head still accepts requests for its group, and a host answers at the member's address,
        # but as another incarnation. If its answer counted, the group would appear complete.
        caller = self.entry._links.separate_caller()
        self.addCleanup(caller.direct.close)
        orders = EngineOrders(caller, lambda *args: None, lambda instance: True)
        host_ = self.site.engines.host_by_instance["i-0"]
        old = Instance("i-0", host_.born)
        self.assertTrue(await orders.answers(old, host_.address))
        host_.restart()
        self.assertFalse(await orders.answers(old, host_.address))
        self.assertTrue(await orders.answers(Instance("i-0", host_.born), host_.address))


if __name__ == "__main__":
    unittest.main()
