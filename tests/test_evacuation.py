"""Evacuations of a data centre by the operator."""

import asyncio
import json
import tempfile
import time
import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from oleanderhill_dev.bench_site import free_address
from oleanderhill_dev.users.site import LARGE, SMALL, StandInSite, until
from returns.pipeline import is_successful

from oleanderhill.clients.httpcall import HttpCaller
from oleanderhill.clients.keyed import KeyedCopy
from oleanderhill.clients.relay import PeerSource, RelayServer
from oleanderhill.clients.storage import Item, Revision
from oleanderhill.clients.store_reads import MISSED_CHANGES_WINDOW
from oleanderhill.clock import boottime_seconds
from oleanderhill.exceptions import IncompletePeerCopyError
from oleanderhill.groups.actions import Leave, Replan
from oleanderhill.groups.composing import Composition, next_model
from oleanderhill.groups.evacuations import (
    HANDOVER_MARGIN,
    IGNORE_SECONDS,
    MAX_LOGGED_NAMES,
    MAX_REMEMBERED_REMOVALS,
    RETAIN_SECONDS,
    UNKNOWN_CHECK_SECONDS,
    Evacuations,
)
from oleanderhill.groups.inventory import Instance, MemberState
from oleanderhill.groups.ownership import (
    Presence,
    decode_presence,
    encode_presence,
    presence_key,
)
from oleanderhill.groups.plans import DomainPlan
from oleanderhill.groups.readers import ReadingSources, main_reader, reader_of
from oleanderhill.kernel import Kernel
from oleanderhill.operators.explaining import explain_log
from oleanderhill.platform.settings import read_settings
from oleanderhill.records import Records

from .test_groups import LARGE as LARGE_NEED
from .test_groups import SMALL as SMALL_NEED
from .test_groups import World, host
from .test_relay import _FakeSource, _FakeSources, make_mirror
from .test_users_site import SiteTest

PREFIX = "op/evacuate/"
BOUND_SECONDS = 5.0
"""Seconds after the acknowledgement within which nothing may reach a target any more."""

FIRST_ARRIVAL_SECONDS = 2.0
"""Seconds within which a request must reach the data centre before it is evacuated."""

PROPAGATION_SECONDS = 2.0
"""Seconds within which an entry host must know what the operator wrote, with a store that works."""

SLOW_STORE_SECONDS = 0.24
"""Delay of a store that takes sixty times as long as usual."""

OUTAGE_SECONDS = 1.5


class Notes:
    """Log lines, as tuples of part, event and fields."""

    def __init__(self):
        self.lines = []

    def note(self, part, what, **fields):
        self.lines.append((part, what, fields))

    def whats(self):
        return [what for _, what, _ in self.lines]


def rev(number, generation=1):
    return Revision(generation, number)


def item(name, revision):
    return Item(PREFIX + name, b"", revision)


class StateTest(unittest.TestCase):
    def setUp(self):
        self.notes = Notes()
        self.read_at = float("-inf")
        self.state = Evacuations(self.notes, PREFIX, BOUND_SECONDS, lambda: self.read_at)

    def names(self):
        return set(self.state.in_force)

    def finish(self, now, **targets):
        self.state.finish_read(now, lambda: targets)

    def restore(self, now, *items):
        self.state.restored(now)
        self.state.replace(items, now)

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.sampled_from("abc"), st.booleans()),
                st.just("list"),
            )
        )
    )
    def test_holds_what_the_store_holds(self, steps):
        state, stored = Evacuations(Notes(), PREFIX), {}
        for number, step in enumerate(steps, 1):
            if step == "list":
                state.replace([item(n, r) for n, r in stored.items()], 0.0)
            else:
                name, put = step
                state.change(PREFIX + name, b"" if put else None, rev(number), 0.0)
                stored.pop(name, None)
                if put:
                    stored[name] = rev(number)
            self.assertEqual(set(state.in_force), set(stored))

    @given(st.floats(0.0, 20.0), st.floats(0.0, 20.0))
    def test_handover_ends_within_the_bound_of_the_earliest_acknowledgement(self, pause, missed):
        read_at = 100.0 - pause
        state = Evacuations(Notes(), PREFIX, BOUND_SECONDS, lambda: read_at)
        state.change(PREFIX + "barn", b"", rev(1), 100.0)
        acknowledged = max(read_at - MISSED_CHANGES_WINDOW, read_at - missed)
        last = max(100.0, acknowledged + BOUND_SECONDS - HANDOVER_MARGIN)
        self.assertFalse(state.may_send(["hall", "barn"], last))
        self.assertTrue(state.may_send(["hall"], last))

    def test_process_that_has_just_started_hands_nothing_over(self):
        self.state.replace([item("barn", rev(1))], 100.0)
        self.assertFalse(state_allows(self.state, "barn", 100.0))

    def test_older_content_does_not_undo_a_removal(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.state.change(PREFIX + "barn", None, rev(5), 0.0)
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.assertEqual(self.names(), set())

    def test_older_removal_does_not_lift_a_newer_evacuation(self):
        self.state.change(PREFIX + "barn", b"", rev(7), 0.0)
        self.state.change(PREFIX + "barn", None, rev(5), 0.0)
        self.assertEqual(self.names(), {"barn"})

    def test_evacuation_that_a_backup_lacks_is_kept_until_it_is_written_again(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.restore(10.0)
        self.finish(10.0 + RETAIN_SECONDS - 0.1)
        self.assertEqual(self.names(), {"barn"})
        self.state.change(PREFIX + "barn", b"", rev(1, 2), 12.0)
        self.finish(10.0 + RETAIN_SECONDS)
        self.assertEqual(self.names(), {"barn"})

    def test_evacuation_that_is_not_written_again_ends(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.restore(10.0)
        self.finish(10.0 + RETAIN_SECONDS)
        self.assertEqual(self.names(), set())
        self.assertEqual(self.notes.whats()[-1], "lifted")

    def test_removal_that_a_backup_lacks_holds_while_it_may_be_repeated(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.state.change(PREFIX + "barn", None, rev(5), 1.0)
        self.restore(10.0, item("barn", rev(3, 2)))
        self.assertEqual(self.names(), set())
        self.state.change(PREFIX + "barn", None, rev(4, 2), 11.0)
        self.finish(10.0 + IGNORE_SECONDS)
        self.assertEqual(self.names(), set())

    def test_evacuation_that_a_restored_store_keeps_counts_in_the_end(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.state.change(PREFIX + "barn", None, rev(5), 1.0)
        self.restore(10.0, item("barn", rev(3, 2)))
        self.finish(10.0 + IGNORE_SECONDS)
        self.assertEqual(self.names(), {"barn"})

    def test_handover_of_an_evacuation_that_was_ignored_counts_from_its_first_reading(self):
        listed = item("barn", rev(3, 2))
        for applied in ("after a reading", "by a listing"):
            with self.subTest(applied):
                state = Evacuations(Notes(), PREFIX, BOUND_SECONDS, lambda: self.read_at)
                state.change(PREFIX + "barn", b"", rev(3), 0.0)
                state.change(PREFIX + "barn", None, rev(5), 1.0)
                self.read_at = 10.0
                state.restored(10.0)
                state.replace([listed], 10.0)
                self.read_at = 11.0
                state.replace([listed], 11.0)
                self.read_at = now = 10.0 + IGNORE_SECONDS + 0.5
                if applied == "by a listing":
                    state.replace([listed], now)
                state.finish_read(now, dict)
                self.assertEqual(set(state.in_force), {"barn"})
                self.assertTrue(state_allows(state, "barn", now))
                last = 10.0 + BOUND_SECONDS - HANDOVER_MARGIN
                self.assertFalse(state_allows(state, "barn", last))

    def test_evacuation_written_again_while_it_is_ignored_has_a_handover_of_its_own(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.state.change(PREFIX + "barn", None, rev(5), 1.0)
        self.read_at = 10.0
        self.restore(10.0, item("barn", rev(3, 2)))
        self.read_at = 11.0
        self.state.change(PREFIX + "barn", b"", rev(6, 2), 11.0)
        self.finish(10.0 + IGNORE_SECONDS)
        own = 11.0 - MISSED_CHANGES_WINDOW + BOUND_SECONDS - HANDOVER_MARGIN
        self.assertTrue(state_allows(self.state, "barn", own - 0.01))
        self.assertFalse(state_allows(self.state, "barn", own))

    def test_evacuation_written_after_the_restore_counts_at_once(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.state.change(PREFIX + "barn", None, rev(5), 1.0)
        self.restore(10.0, item("barn", rev(4, 2)))
        self.assertEqual(self.names(), {"barn"})

    def test_unknown_data_centre_is_logged_and_then_its_first_target(self):
        self.state.change(PREFIX + "barn", b"", rev(3), 0.0)
        self.finish(0.0, hall=2)
        self.finish(0.5, hall=2, barn=1)
        self.finish(UNKNOWN_CHECK_SECONDS, hall=2, barn=1)
        self.finish(3 * UNKNOWN_CHECK_SECONDS, hall=2, barn=1)
        reasons = [fields["reason"] for _, _, fields in self.notes.lines]
        self.assertEqual(len(reasons), 2)
        self.assertIn("no target", reasons[0])
        self.assertIsNone(reasons[1])

    def test_hostile_names_bring_few_short_lines_and_hide_none(self):
        names = ["barn", *(f"{n}" * 5000 for n in range(100))]
        self.state.replace([item(n, rev(3)) for n in ["", *names]], 0.0)
        self.finish(0.0, barn=1)
        self.assertEqual(self.names(), set(names))
        self.assertLessEqual(len(self.notes.lines), MAX_LOGGED_NAMES + 2)
        self.assertLess(len(str(self.notes.lines)), 300 * (MAX_LOGGED_NAMES + 2))

    def test_more_removals_at_once_than_are_remembered(self):
        names = [f"n{n}" for n in range(MAX_REMEMBERED_REMOVALS + MAX_LOGGED_NAMES)]
        self.state.replace([item(n, rev(3)) for n in names], 0.0)
        self.finish(0.0)
        self.state.replace([], 1.0)
        self.finish(1.0)
        self.assertEqual(self.names(), set())
        self.assertEqual(self.notes.whats()[-1], "more changes")


def state_allows(state, data_centre, now):
    return state.may_send([data_centre], now)


class KeeperTest(unittest.TestCase):
    def decide(self, world, closed):
        return world.keeper.decide(
            world.now, world.plan, world.hosts, [LARGE_NEED, SMALL_NEED], None, (), closed
        )

    def test_nothing_is_formed_or_loaded_on_hosts_of_an_evacuated_data_centre(self):
        world = World(*(host(f"{n}", ("large",)) for n in range(4)), *(host(f"b{n}") for n in "12"))
        for _ in range(12):
            world.now += 0.5
            self.assertEqual(self.decide(world, set(world.hosts)), [])
        world.run()
        self.assertTrue(world.serving())

    def test_groups_of_an_evacuated_data_centre_stay_formed(self):
        world = World(*(host(f"{n}", ("large",)) for n in range(6)))
        world.run()
        before = world.plan
        for _ in range(100):
            world.now += 1.0
            self.assertEqual(self.decide(world, set(world.hosts)), [])
        self.assertTrue(before.groups)

    def test_group_that_was_forming_goes_on_once_it_is_taken_back(self):
        world = World(*(host(f"{n}", ("large",)) for n in range(3)))
        world.step(obey=False)
        planned = world.plan.groups
        self.assertTrue(planned)
        for _ in range(100):
            world.now += 1.0
            self.assertEqual(self.decide(world, set(world.hosts)), [])
        world.run()
        self.assertEqual(world.plan.groups, planned)
        self.assertTrue(world.serving())

    def test_spares_are_used_once_groups_elsewhere_are_no_supply(self):
        plan = DomainPlan("d", "e", "l", 1).with_group(
            "small", (Instance("0", 0), Instance("1", 0))
        )
        need = SMALL_NEED._replace(filled=1.0, others=1)
        staged, spares_only = {"small": 2}, Composition(2, {})
        self.assertIsNone(next_model(plan, staged, 2, spares_only, [need]))
        short = need._replace(others=0)
        self.assertEqual(next_model(plan, staged, 2, spares_only, [short]), short)

    def test_broken_group_of_an_evacuated_data_centre_is_given_up(self):
        world = World(*(host(f"{n}", ("large",)) for n in range(3)))
        world.run()
        head = world.hosts[world.plan.groups[0].head]
        broken = head.membership._replace(state=MemberState.BROKEN)
        world.hosts[head.instance] = head._replace(membership=broken)
        seen = set()
        for _ in range(10):
            world.now += 0.5
            for action in self.decide(world, set(world.hosts)):
                seen.add(type(action))
                if isinstance(action, Replan):
                    world.plan = action.plan
                else:
                    world.carry_out(action)
        self.assertEqual((seen, world.plan.groups), ({Leave, Replan}, ()))


class MixedReleasesTest(unittest.IsolatedAsyncioTestCase):
    """An earlier release doesn't copy the evacuations and names no prefixes."""

    async def ask(self, announced):
        mirror = make_mirror(_FakeSources(_FakeSource()), {}, [])
        mirror._subscriptions = [mirror._subscriptions[0]._replace(prefix=p) for p in announced]
        now = boottime_seconds()
        mirror.log.replace(rev(7), [])
        mirror._read_at = now
        mirror._freshness.record_verified(now)
        address = free_address()
        server = RelayServer(Kernel(), address, mirror)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return await PeerSource("near", address, HttpCaller(), ["op/config", PREFIX]).read(
            None, now
        )

    async def test_peer_that_does_not_copy_evacuations_is_not_taken_for_complete(self):
        found = await self.ask(["op/config"])
        self.assertFalse(is_successful(found))
        self.assertIsInstance(found.failure(), IncompletePeerCopyError)

    async def test_peer_that_copies_them_is_read(self):
        self.assertTrue(is_successful(await self.ask(["op/config", PREFIX, "servers/"])))

    async def test_incomplete_peer_is_not_asked_again_until_it_was_replaced(self):
        entries = KeyedCopy(decode_presence, Records("here"))
        both = [Presence(f"e{n}", "old", f"x:{n}", "a") for n in (1, 2)]
        for presence in both:
            entries.put(presence_key(presence.name), encode_presence(presence), rev(1))
        reader = reader_of("a", {p.name: p for p in both})
        me = next(p for p in both if p is not reader)
        sources = ReadingSources(
            me, None, [], entries, HttpCaller(), dict, print, Records("here"), [PREFIX]
        )
        sources._presences_loaded = True

        async def names(now):
            return [s.name for s in await sources.in_order(now)]

        first, *_ = await sources.in_order(10.0)
        self.assertEqual(first.name, reader.name)
        sources.failed(first, IncompletePeerCopyError(first.name, PREFIX), 10.0)
        self.assertEqual(await names(100.0), ["store"])
        replaced = reader._replace(life="new")
        entries.put(presence_key(reader.name), encode_presence(replaced), rev(2))
        self.assertEqual(await names(101.0), [reader.name, "store"])


class EvacuatedSiteTest(SiteTest):
    entries = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        site = self.site
        self.barn = [site.add_host(f"b-{n}", "d1", "barn") for n in range(6)]
        self.barn_target = site.add_target("t-barn", "barn")
        await until(lambda: all(self.sees_barn(e) for e in site.entries))
        self.sending = []

    async def asyncTearDown(self):
        for task in self.sending:
            task.cancel()
        await super().asyncTearDown()

    def sees_barn(self, entry, wanted=True):
        kinds = (("pool", SMALL), ("pool", LARGE), ("desk", ""))
        seen = [
            any("barn" in c.data_centres for c in entry.candidates(service, model))
            for service, model in kinds
        ]
        return all(seen) if wanted else any(seen)

    def arrivals(self):
        """Return when requests reached targets in the evacuated data centre."""
        hosts = [t for h in self.barn for t in h.notices.arrivals]
        return sorted([*hosts, *self.barn_target.notices.arrivals])

    def orders(self):
        """Return how many orders other than to leave were carried out in the data centre."""
        return sum(o["operation"] != "leave" for h in self.barn for o in h.orders)

    def send_only_to_barn(self, service, model):
        """Let one entry host go on with the targets that it had before the evacuation."""
        found = self.entry.candidates(service, model)
        barn = [c for c in found if "barn" in c.data_centres]
        self.entry._context = self.entry._context._replace(candidates=lambda *_: barn)

    def in_force(self, entries=None):
        return all(not self.sees_barn(e, False) for e in entries or self.site.entries)

    async def press(self, seconds, entries=None):
        """Send requests of all kinds to all entry hosts; return the replies."""
        found = await asyncio.gather(
            self.send_at_rate(10, seconds, "/read/x", "POST", SMALL, entries),
            self.send_at_rate(5, seconds, "/read/x", "POST", LARGE, entries),
            self.send_at_rate(10, seconds, "/scan/x", entries=entries),
            self.send_at_rate(5, seconds, "/open/x", entries=entries),
        )
        return [reply for asked in found for reply, _ in asked]

    async def assert_evacuated_in_time(self, act=None, seconds=BOUND_SECONDS + 1.5):
        """Evacuate under load; check that nothing arrives after the bound."""
        pressing = asyncio.create_task(self.press(seconds + FIRST_ARRIVAL_SECONDS))
        await asyncio.sleep(0.5)
        await until(self.arrivals, FIRST_ARRIVAL_SECONDS - 0.5)
        self.site.evacuate("barn")
        acknowledged = time.monotonic()
        if act is not None:
            await act()
        replies = await pressing
        late = [t - acknowledged for t in self.arrivals() if t > acknowledged + BOUND_SECONDS]
        self.assertEqual(late, [])
        self.assertTrue(self.in_force())
        return replies

    async def test_callers_are_served_while_a_data_centre_is_evacuated(self):
        replies = await self.assert_evacuated_in_time()
        self.assertEqual({r.status for r in replies}, {200})

    async def test_evacuation_is_in_force_with_a_slow_store(self):
        self.site.store.faults.slow = SLOW_STORE_SECONDS
        await self.assert_evacuated_in_time()

    async def test_evacuation_during_an_outage_is_in_force_once_the_store_is_back(self):
        async def outage():
            self.site.store.faults.silent = True
            await asyncio.sleep(OUTAGE_SECONDS)
            self.site.store.faults.silent = False

        await self.assert_evacuated_in_time(outage)

    async def test_store_that_forgot_its_history_loses_no_evacuation(self):
        async def forget():
            self.site.store.discard_history()

        await self.assert_evacuated_in_time(forget)

    async def test_hosts_that_the_store_turns_away_hear_of_it_from_peers(self):
        main = main_reader(self.entry._presence.alive()).name
        others = [e for e in self.site.entries if e._settings.host != main]
        for entry in others:
            entry._store._address = free_address()
        self.site.evacuate("barn")
        await until(self.in_force, PROPAGATION_SECONDS)

    async def test_reader_that_froze_delays_it_by_little(self):
        main = main_reader(self.entry._presence.alive()).name
        reader = next(e for e in self.site.entries if e._settings.host == main)
        others = [e for e in self.site.entries if e is not reader]

        async def hang(*arguments):
            await asyncio.sleep(60.0)

        reader._mirror.wait_for_changes = hang
        self.site.evacuate("barn")
        await until(lambda: self.in_force(others), PROPAGATION_SECONDS)

    async def test_host_that_has_just_started_sends_nothing_there(self):
        self.site.evacuate("barn")
        await until(self.in_force, PROPAGATION_SECONDS)
        await asyncio.sleep(BOUND_SECONDS)
        before = len(self.arrivals())
        entry = await self.site.add_entry("entry-new")
        await self.press(2.0, [entry])
        self.assertEqual(len(self.arrivals()), before)
        self.assertTrue(entry._evacuations.in_force)

    async def test_host_that_is_cut_off_goes_on_with_what_it_knew(self):
        self.site.evacuate("barn")
        await until(self.in_force, PROPAGATION_SECONDS)
        await asyncio.sleep(BOUND_SECONDS)
        before = len(self.arrivals())
        self.site.store.faults.silent = True
        replies = await self.press(BOUND_SECONDS + 1.0)
        self.assertEqual(len(self.arrivals()), before)
        self.assertIn(200, {r.status for r in replies})

    async def test_taken_back_data_centre_serves_again_with_the_groups_it_had(self):
        groups = {g.name for p in self.entry._plans.by_key.values() for g in p.groups}
        self.site.evacuate("barn")
        await until(self.in_force, PROPAGATION_SECONDS)
        orders = self.orders()
        self.site.add_host("b-6", "d1", "barn")
        await asyncio.sleep(BOUND_SECONDS)
        self.assertEqual(self.orders(), orders)
        self.assertEqual(self.site.engines.host_by_instance["b-6"].orders, [])
        self.site.take_back("barn")
        taken_back = time.monotonic()
        await until(lambda: all(self.sees_barn(e) for e in self.site.entries), PROPAGATION_SECONDS)
        now = {g.name for p in self.entry._plans.by_key.values() for g in p.groups}
        self.assertLessEqual(groups, now)
        await self.press(1.0)
        self.assertGreater(self.arrivals()[-1], taken_back)

    async def test_running_stream_goes_on_to_its_end(self):
        self.site.engines.events_per_stream = 100
        self.send_only_to_barn("pool", SMALL)
        streams = [
            asyncio.create_task(self.reply("/read/x", "POST", model=SMALL)) for _ in range(3)
        ]
        await until(lambda: len(self.arrivals()) == 3)
        self.site.evacuate("barn")
        await until(self.in_force, PROPAGATION_SECONDS)
        for _, reader in await asyncio.gather(*streams):
            self.assert_complete_stream(reader)
        self.assertEqual(len(self.site.engines.runs), 3)

    async def test_service_without_any_other_target_refuses_at_once(self):
        for entry in self.site.entries:
            entry._evacuations._bound = None
        for name in ("barn", "hall"):
            self.site.evacuate(name)
        await until(lambda: not self.entry.candidates("desk", ""), PROPAGATION_SECONDS)
        began = time.monotonic()
        for path, method in (("/scan/x", "GET"), ("/pay/x", "POST")):
            reply, _ = await self.reply(path, method)
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["Retry-After"]), 0.1)
        self.assertLess(time.monotonic() - began, 0.5)

    async def test_target_chosen_before_gets_nothing_after_the_bound(self):
        entry = self.entry
        self.send_only_to_barn("desk", "")
        entry._evacuations._bound = None
        self.site.evacuate("barn")
        await until(lambda: entry._evacuations.in_force, PROPAGATION_SECONDS)
        before = len(self.arrivals())
        reply, _ = await self.reply("/scan/x")
        self.assertEqual((reply.status, len(self.arrivals())), (503, before))
        self.assertGreater(entry._evacuations.held_back, 0)

    async def test_until_then_it_takes_what_the_others_have_no_room_for(self):
        entry = self.entry
        self.site.evacuate("barn")
        await until(lambda: entry._evacuations.in_force, PROPAGATION_SECONDS)
        entry._context = entry._context._replace(candidates=lambda service, model: ())
        self.assertEqual((await self.reply("/scan/x"))[0].status, 200)
        await asyncio.sleep(BOUND_SECONDS)
        self.assertEqual((await self.reply("/scan/x"))[0].status, 503)

    async def test_owners_do_not_count_its_groups_as_supply(self):
        def others():
            owner, catalog = self.entry._owner, self.entry._catalog
            hosts = owner._engine_hosts.by_domain(catalog)
            fleet = owner._available(hosts)
            needs = owner._model_needs(boottime_seconds(), "d0", fleet, catalog, hosts["d0"])
            return {n.model: n.others for n in needs}

        before = others()
        self.assertTrue(all(before.values()))
        self.site.evacuate("barn")
        await until(lambda: self.entry._evacuations.in_force, PROPAGATION_SECONDS)
        self.assertEqual(set(others().values()), {0})

    async def test_restored_store_lifts_no_evacuation(self):
        backup = self.site.store.take_backup()
        self.site.evacuate("barn")
        await until(self.in_force, PROPAGATION_SECONDS)
        self.site.store.restore(backup)
        rewritten = time.monotonic() + 1.0
        while time.monotonic() < rewritten:
            self.assertTrue(self.in_force())
            await asyncio.sleep(0.05)
        self.site.evacuate("barn")
        await until(lambda: all(e._mirror.restored for e in self.site.entries), 3.0)
        await asyncio.sleep(RETAIN_SECONDS + 1.0)
        self.assertTrue(self.in_force())

    async def test_restored_store_does_not_evacuate_what_was_taken_back(self):
        self.site.evacuate("barn")
        await until(self.in_force, PROPAGATION_SECONDS)
        backup = self.site.store.take_backup()
        self.site.take_back("barn")
        await until(
            lambda: all(not e._evacuations.in_force for e in self.site.entries),
            PROPAGATION_SECONDS,
        )
        self.site.store.restore(backup)
        await asyncio.sleep(0.8)
        self.assertFalse(any(e._evacuations.in_force for e in self.site.entries))
        self.site.take_back("barn")
        await asyncio.sleep(IGNORE_SECONDS + 1.0)
        self.assertFalse(any(e._evacuations.in_force for e in self.site.entries))

    async def test_keys_that_can_not_be_read_do_no_harm_and_values_count_whatever_they_are(self):
        self.site.evacuate("", b"{}")
        self.site.evacuate("nowhere", b"")
        self.site.evacuate("x" * 3000, b"\xff")
        self.site.evacuate("a b/\u00e9\n", b"[1")
        await asyncio.sleep(PROPAGATION_SECONDS)
        self.assertTrue(all(self.sees_barn(e) for e in self.site.entries))
        self.assertEqual((await self.reply("/scan/x"))[0].status, 200)
        self.site.evacuate("barn", b"\xff{not json")
        await until(self.in_force, PROPAGATION_SECONDS)


class ListingTest(unittest.IsolatedAsyncioTestCase):
    async def test_evacuations_cost_no_call_to_the_store(self):
        site = StandInSite()
        await site.start(hosts=0, entries=1)
        self.addAsyncCleanup(site.stop)
        await until(lambda: site.entries[0]._catalog is not None)
        prefixes = site.entries[0]._mirror.prefixes
        listed = len([p for p in prefixes if not p.startswith("op/")]) + 1
        # One more listing at the start finds the peers to read from.
        self.assertEqual(site.entries[0]._store.calls_by_kind["list"], listed + 1)


class SurroundingsTest(unittest.TestCase):
    def test_bound_is_read_where_the_platform_states_it(self):
        given_ = {
            "node_name": "e",
            "ip": "10.0.0.1",
            "zone": "hall",
            "listen": {"front": "a:1", "ready": "a:2"},
            "platform": {"address": "a:3"},
            "internal_port_range": [7102, 7110],
        }
        for bounds, expected in (({}, None), ({"evacuate_ms": 5000}, 5.0)):
            with tempfile.NamedTemporaryFile("w") as file:
                json.dump({**given_, "bounds": bounds}, file)
                file.flush()
                self.assertEqual(read_settings(file.name).evacuation_seconds, expected)

    def test_explanation_of_a_request_shows_the_evacuation_that_held_it_back(self):
        fields = {"host": "e", "timestamp": 1.0, "data_centre": "barn"}
        held = {"message_type": "oleanderhill:request", "what": "held back", "request_id": "r"}
        began = {"message_type": "oleanderhill:evacuation", "what": "in force"}
        lines = [json.dumps({**fields, **more}) for more in (held, began)]
        for subject in ("r", "barn"):
            found = {line.fields["what"] for line in explain_log(subject, lines)}
            self.assertEqual(found, {"held back", "in force"})

    def test_candidates_of_mixed_groups_name_all_their_data_centres(self):
        candidate = SimpleNamespace(data_centres=("hall", "barn"))
        state = Evacuations(Notes(), PREFIX)
        state.change(PREFIX + "barn", b"", rev(1), 0.0)
        self.assertEqual(state.among(candidate.data_centres), "barn")
        self.assertIn("barn", state.reason_to_skip(candidate.data_centres, 0.0))


if __name__ == "__main__":
    unittest.main()
