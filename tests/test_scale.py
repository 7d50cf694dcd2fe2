"""Work of one entry host for each store read in a fleet of a thousand hosts."""

from __future__ import annotations

import asyncio
import json
import random
import select
import time
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from oleanderhill_dev.users.site import LARGE, configuration

from oleanderhill.clients.keyed import KeyedCopy
from oleanderhill.clients.storage import Revision
from oleanderhill.groups.engine_hosts import EngineHosts
from oleanderhill.groups.inventory import (
    Instance,
    Inventory,
    Membership,
    MemberState,
    TargetHost,
)
from oleanderhill.groups.plans import DomainPlan, decode_plan, encode_plan, plan_key
from oleanderhill.groups.serving_groups import serving_groups
from oleanderhill.kernel import Kernel, Task
from oleanderhill.platform.decoding import decode_configuration
from oleanderhill.platform.host_list import HostList
from oleanderhill.records import Records
from oleanderhill.serving import view as view_module
from oleanderhill.serving.view import ServingView

DOMAINS, HOSTS_EACH = 15, 73
CATALOG = decode_configuration(configuration(1, {"hall": ["k"]}))


def host(name, domain, service="pool", membership=None, leaving=False):
    return TargetHost(
        Instance(name),
        service,
        "10.0.0.1:80",
        "hall",
        leaving,
        13,
        domain,
        (LARGE,),
        LARGE,
        membership,
    )


def member(name, domain, group, rank, state=MemberState.OPEN):
    return host(name, domain, membership=Membership(group.name, group.epoch, rank, state))


class Fleet:
    """Domains whose hosts form open groups of eight."""

    def __init__(self):
        self.inventory = Inventory()
        self.plans = KeyedCopy(decode_plan, Records("e"))
        for number in range(DOMAINS):
            domain = f"d{number}"
            names = [f"{domain}-i{n}" for n in range(HOSTS_EACH)]
            plan = DomainPlan(domain)
            for first in range(0, HOSTS_EACH - 8, 8):
                members = tuple(Instance(n) for n in names[first : first + 8])
                plan = plan.with_group(LARGE, members)
            self.plans.put(plan_key(domain), encode_plan(plan), Revision(1, 1))
            for name in names:
                self.inventory.put(host(name, domain))
            for group in plan.groups:
                for rank, instance in enumerate(group.members):
                    self.inventory.put(member(instance.name, domain, group, rank))
        self.view = ServingView(self.inventory, self.plans, random.Random(1))


class UpkeepTest(unittest.TestCase):
    def test_changed_host_recomputes_only_its_domain(self):
        # One host of 1,095 leaves its group. Recomputing all 15 domains takes 0.74 ms of CPU time
        # per store read on each of 195 entry hosts, which delays the answers of those with half a
        # core by a second. Recomputing only the changed domain takes 0.13 ms.
        fleet = Fleet()
        engines = EngineHosts(fleet.inventory)
        fleet.view.refresh(CATALOG)
        engines.by_domain(CATALOG)
        before = len(fleet.view.candidates("pool", LARGE))
        fleet.inventory.put(host("d3-i0", "d3"))
        recomputed = []
        with (
            mock.patch.object(
                view_module,
                "serving_groups",
                lambda plans, hosts: recomputed.extend(plans) or serving_groups(plans, hosts),
            ),
            mock.patch.object(EngineHosts, "_rebuild", autospec=True) as rebuilt,
        ):
            self.assertTrue(fleet.view.refresh(CATALOG))
            engines.by_domain(CATALOG)
        self.assertEqual([p.domain for p in recomputed], ["d3"])
        self.assertEqual([c.args[1] for c in rebuilt.call_args_list], ["d3"])
        self.assertEqual(len(fleet.view.candidates("pool", LARGE)), before - 1)

    def test_read_without_changes_recomputes_nothing(self):
        fleet = Fleet()
        fleet.view.refresh(CATALOG)
        # A heartbeat rewrites the entry of a host without changes.
        again = next(iter(fleet.inventory.by_instance.values()))
        fleet.inventory.put(again)
        self.assertFalse(fleet.view.refresh(CATALOG))

    def test_change_of_all_hosts_takes_few_log_lines_of_atomic_size(self):
        # At the start each host changes three times within seconds. With one line per change, an
        # entry host would write 3,300 lines before the first request, an eighth of its CPU time
        # until then. A line that exceeds the atomic write size of a pipe could be truncated.
        lines = []
        records = mock.Mock(Records)
        records.note.side_effect = lambda part, what, **facts: lines.append(facts)
        listed = HostList(Inventory(), records, lambda address: None, 2.0)
        entry = {
            "service": "pool",
            "address": "10.0.0.1:80",
            "zone": "a-data-centre-with-a-long-name",
            "version": "v1",
            "max_batch": 13,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "domain": "a-data-centre-with-a-long-name-d7",
            "staged": ["model-name-0001"],
            "group": {
                "name": "a-data-centre-with-a-long-name-d7.12",
                "epoch": 12,
                "rank": 31,
                "state": "joining",
            },
        }
        names = [f"i-{number:010x}" for number in range(DOMAINS * HOSTS_EACH)]
        for name in names:
            listed.change(f"servers/{name}", json.dumps(entry).encode(), 1, 0.0)
        listed.finish_read(0.0)
        self.assertLess(len(lines), len(names) / 20)
        self.assertLess(max(len(json.dumps(line)) for line in lines), select.PIPE_BUF - 300)
        self.assertEqual([h.instance for line in lines for h in line["hosts"]], names)


class MovedHostTest(unittest.TestCase):
    def test_member_that_changes_its_domain_and_ends_gets_no_requests(self):
        # The entry of a head is overwritten with another domain, and then the host ends. If only
        # the other domain is recomputed, the group keeps its ended head, and requests are sent to
        # an address that no longer exists.
        inventory, plans = Inventory(), KeyedCopy(decode_plan, Records("e"))
        plan = DomainPlan("d0").with_group(LARGE, (Instance("i0"),))
        plans.put(plan_key("d0"), encode_plan(plan), Revision(1, 1))
        view = ServingView(inventory, plans, random.Random(1))
        inventory.put(member("i0", "d0", plan.groups[0], 0))
        view.refresh(CATALOG)
        self.assertEqual(len(view.candidates("pool", LARGE)), 1)
        inventory.put(member("i0", "d1", plan.groups[0], 0))
        view.refresh(CATALOG)
        inventory.discard("i0")
        view.refresh(CATALOG)
        self.assertEqual(view.candidates("pool", LARGE), [])


class ForeignEntriesTest(unittest.TestCase):
    def test_removed_foreign_entries_leave_no_cached_state(self):
        # The list is writable by others, and each entry may name a new domain and service. State
        # that is cached by these names and not removed with the entry is a memory leak.
        inventory = Inventory()
        engines = EngineHosts(inventory)
        for number in range(100):
            inventory.put(host("i", f"d{number}", f"service-{number}"))
            engines.by_domain(CATALOG)
        inventory.discard("i")
        engines.by_domain(CATALOG)
        for cached in (
            inventory._by_domain,
            inventory._last_change_by_domain,
            inventory._engines_by_service,
            engines._last_change_seen,
        ):
            self.assertEqual(len(cached), 0)


_NAMES = st.sampled_from([f"i{n}" for n in range(6)])
_DOMAINS = st.sampled_from(["", "d0", "d1"])
_GROUPS = st.sampled_from(["d0.1", "d1.1", None])
_PUT = st.tuples(
    st.just("put"), _NAMES, _DOMAINS, st.sampled_from(["pool", "desk", "other"]), _GROUPS
)
_DROP = st.tuples(st.just("drop"), _NAMES)
_PLAN = st.tuples(
    st.just("plan"),
    st.sampled_from(["d0", "d1"]),
    st.lists(_NAMES, min_size=1, max_size=3, unique=True),
)
_UNPLAN = st.tuples(st.just("unplan"), st.sampled_from(["d0", "d1"]))


class OracleTest(unittest.TestCase):
    @given(st.lists(st.one_of(_PUT, _DROP, _PLAN, _UNPLAN), max_size=30))
    def test_cached_state_equals_a_full_recomputation(self, steps):
        inventory = Inventory()
        plans = KeyedCopy(decode_plan, Records("e"))
        view = ServingView(inventory, plans, random.Random(1))
        engines = EngineHosts(inventory)
        for revision, step in enumerate(steps, 1):
            self._do(step, revision, inventory, plans)
            view.refresh(CATALOG)
            cached = engines.by_domain(CATALOG)
            hosts = inventory.by_instance.values()
            expected = {}
            for h in hosts:
                if h.domain and h.service == "pool":
                    expected.setdefault(h.domain, {})[h.instance] = h
            self.assertEqual(cached, expected)
            groups = serving_groups(plans.by_key.values(), inventory).get(LARGE, ())
            found = {(c.target, c.host) for c in view.candidates("pool", LARGE)}
            self.assertEqual(
                found, {(g.group.name, g.head) for g in groups if g.head.service == "pool"}
            )
            self.assertEqual(
                {c.host for c in view.candidates("desk", "")},
                {h for h in hosts if not h.domain and h.service == "desk"},
            )
            self.assertEqual(
                inventory.engines("pool"), sum(h.service == "pool" for h in hosts if h.domain)
            )

    def _do(self, step, revision, inventory, plans):
        match step:
            case ("put", name, domain, service, group):
                membership = Membership(group, 1, 0, MemberState.OPEN) if group else None
                inventory.put(host(name, domain, service, membership))
            case ("drop", name):
                inventory.discard(name)
            case ("plan", domain, names):
                plan = DomainPlan(domain).with_group(LARGE, tuple(Instance(n) for n in names))
                plans.put(plan_key(domain), encode_plan(plan), Revision(1, revision))
            case ("unplan", domain):
                plans.change(plan_key(domain), None, Revision(1, revision), 0.0)


class LoopLagTest(unittest.IsolatedAsyncioTestCase):
    async def test_blocking_step_is_reported_as_lag(self):
        # A callback blocks the event loop for a fifth of a second, which delays the timers of all
        # tasks by as much. The process reports this delay, to distinguish it from a slow target.
        kernel = Kernel()

        class Ticking(Task):
            interval = 0.01

            async def start(self):
                self.spawn(self._tick_loop())

        task = Ticking(kernel)
        await task.start()
        for _ in range(5):
            await asyncio.sleep(0.01)
        kernel.lag.pop_longest()
        time.sleep(0.2)
        await asyncio.sleep(0.05)
        self.assertGreater(kernel.lag.pop_longest(), 0.15)
        self.assertGreater(kernel.lag.longest, 0.15)
        await task.stop()
