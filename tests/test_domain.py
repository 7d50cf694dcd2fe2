"""Scripted faults in a simulated domain, over several seeds.

After each step :meth:`DomainWorld.check` compares what entry hosts would do with the true state.
"""

import unittest

from oleanderhill_dev.domain_world import DOMAIN, DomainWorld, wanted_groups

from oleanderhill.domains.stewardship import decode_ledger

SEEDS = range(6)


def owner_of(world):
    return next(n.name for n in world.nodes.values() if n.alive and n.steward.owned)


class DomainTest(unittest.TestCase):
    def worlds(self, **more):
        for seed in SEEDS:
            world = DomainWorld(seed, **more)
            world.until_all_serve(60.0)
            yield world

    def test_orders_of_two_owners_never_interleave(self):
        # The engines ignore fencing numbers and are emptied repeatedly, so orders are always due.
        # The owner is partitioned from its peers and, when one of them takes over its domain,
        # from the store. It sends orders until its confirmation expires; the new owner must wait
        # until then.
        for seed in range(10):
            world = DomainWorld(seed, fencing=False)
            world.until_all_serve(60.0)
            owner = owner_of(world)
            for name in world.names:
                if name != owner:
                    world.cut(owner, name)
            for step in range(300):
                if step % 5 == seed % 5:
                    for engine in world.engines.values():
                        engine.clear()
                world.step()
                if decode_ledger(world.store.value, DOMAIN).owner != owner:
                    world.cut(owner, "store")
            world.recover()
            world.until_all_serve(120.0)

    def test_member_that_dies_is_replaced_and_the_group_serves_again(self):
        for world in self.worlds():
            world.engines["h0"].alive = world.engines["h1"].alive = False
            world.run(3.0)
            self.assertLess(world.until_all_serve(15.0), 15.0)

    def test_death_that_is_seen_closes_the_group_at_once(self):
        # Only the engine's process crashes, and its host refuses the next probe. The group must
        # close immediately, not only when the last report expires.
        for tenths in range(1, 11):
            world = DomainWorld(1)
            world.until_all_serve(60.0)
            world.run(tenths / 10)
            world.engines["h0"].alive = False
            world.run(1.7)
            sending = {h for item in world.sendable() for h in item.hosts}
            self.assertNotIn("h0", sending)

    def test_hollow_host_is_not_believed(self):
        # A member restarts within the probe interval. It reports its old group, epoch, rank and
        # "ready", but has nothing loaded; only its boot id is new.
        for world in self.worlds():
            for host in world.engines:
                world.reboot(host, hollow=True)
            world.run(20.0)
            world.until_all_serve(60.0)

    def test_dark_domain_comes_back_without_taking_groups_apart(self):
        for world in self.worlds():
            before = dict(world.nodes[owner_of(world)].steward.ledger.groups)
            for engine in world.engines.values():
                engine.paused = True
            world.run(20.0)
            for engine in world.engines.values():
                engine.paused = False
            world.until_all_serve(10.0)
            self.assertEqual(world.nodes[owner_of(world)].steward.ledger.groups, before)

    def test_group_repairs_during_a_store_outage_where_engines_check_fencing(self):
        for world in self.worlds(fencing=True):
            world.store.down = True
            world.run(5.0)
            for member in list(world.nodes[owner_of(world)].steward.ledger.groups.values()):
                world.engines[member.members[0].host].alive = False
            world.run(4.0)
            world.until_all_serve(30.0)
            world.recover()
            world.run(10.0)
            self.assertFalse(world.nodes[owner_of(world)].steward.unsaved)

    def test_whole_groups_serve_through_a_store_outage_whatever_the_engines_check(self):
        for fencing in (True, False):
            for world in self.worlds(fencing=fencing):
                world.store.down = True
                for _ in range(300):
                    world.step()
                    self.assertTrue(world.all_serve())

    def test_groups_serve_while_their_domain_has_no_owner(self):
        # The owner crashes. Until another entry host takes over, nobody publishes evidence, and
        # each entry host must probe the members itself.
        for world in self.worlds():
            world.kill_node(owner_of(world))
            alive = [n for n in world.nodes.values() if n.alive]
            for _ in range(200):
                world.step()
                for node in alive:
                    self.assertEqual(len(node.router.by_group), 2)
                    for group, held in node.router.by_group.items():
                        self.assertTrue(node.router.may_send(group, held.view.epoch, world.now))

    def test_roll_out_never_drops_below_the_wanted_groups_where_there_is_room(self):
        for world in self.worlds():
            world.wanted = wanted_groups("v2", 2)
            for _ in range(600):
                world.step()
                for name in world.names:
                    whole = [s for s in world.sendable() if s.node == name]
                    self.assertGreaterEqual(len(whole), 2)
            self.assertTrue(world.all_serve())

    def test_two_entry_hosts_that_do_not_see_each_other_do_not_fight_for_a_domain(self):
        for world in self.worlds():
            for a in world.names:
                for b in world.names:
                    if a != b:
                        world.cut(a, b)
            before = world.store.writes
            world.run(300.0)
            self.assertLess(world.store.writes - before, 20)
