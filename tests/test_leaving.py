"""Targets that announce in answers that they leave while the store still lists them as ready."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec
from oleanderhill_dev.users.site import until
from tornado.httputil import HTTPHeaders

from oleanderhill.groups.inventory import MAX_REMEMBERED_NAMES, Instance, Inventory, TargetHost
from oleanderhill.platform.headers import HeaderCodec
from oleanderhill.records import Records
from oleanderhill.serving import leaving
from oleanderhill.serving.leaving import LeavingTargets, LeavingUpdate

from .test_users_site import SiteTest

DATAGRAM = 1_472
"""Maximum bytes of a datagram that fits into one frame."""

PROPAGATION_SECONDS = 0.5
"""Seconds after an announcement within which requests sent earlier may still arrive, and within
which it must reach the other entry hosts."""


class LeavingTest(SiteTest):
    entries = 2

    async def two_groups(self):
        """Return the heads of two groups that all entry hosts list, and their model."""
        model = await self.model_with_two_groups()
        for entry in self.site.entries:
            await until(lambda e=entry: len(e.candidates("pool", model)) > 1)
        by_instance = self.site.engines.host_by_instance
        found = self.entry.candidates("pool", model)
        return [by_instance[c.host.instance.name] for c in found], model

    def assert_no_later_requests(self, notices, announced_at, answers):
        late = [at for at in notices.arrivals if at > announced_at + PROPAGATION_SECONDS]
        self.assertEqual(len(late), 0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})

    async def test_plain_target_that_leaves_by_its_answers_alone_gets_no_requests(self):
        notices = self.site.targets[0].notices
        notices.leaving = True
        announced_at = await self.wait_for_first_notice(notices, "/scan/x")
        answers = await self.send_at_rate(20, 2.5, "/scan/x")
        self.assert_no_later_requests(notices, announced_at, answers)

    async def test_head_that_leaves_by_its_answers_alone_gets_no_requests(self):
        heads, model = await self.two_groups()
        heads[0].notices.leaving = True
        self.site.engines.events_per_stream = 30
        announced_at = await self.wait_for_first_notice(heads[0].notices, "/read/x", "POST", model)
        answers = await self.send_at_rate(5, 2.0, "/read/x", "POST", model)
        self.assert_no_later_requests(heads[0].notices, announced_at, answers)

    async def test_host_that_never_asked_hears_of_it(self):
        notices = self.site.targets[0].notices
        notices.leaving = True
        await self.wait_for_first_notice(notices, "/scan/x")
        other = self.site.entries[1]
        await asyncio.sleep(PROPAGATION_SECONDS)
        self.assertEqual(len(other.candidates("desk", "")), 1)

    async def test_member_that_announces_leaving_to_a_probe_stops_its_group(self):
        heads, model = await self.two_groups()
        member = self.site.engines.host_by_instance[heads[0].members[1]]
        member.notices.leaving = True
        instance = Instance(member.instance, member.born)
        await self.entry._orders.answers(instance, member.address)
        served = [c.host.instance.name for c in self.entry.candidates("pool", model)]
        self.assertNotIn(heads[0].instance, served)

    async def test_request_placed_before_the_word_goes_elsewhere(self):
        choose, first = self.entry._book.choose, []

        def choose_then_leave(*args, **kwargs):
            found = choose(*args, **kwargs)
            if not first and found is not None:
                first.append(found.host.instance.name)
                self.entry._inventory.leave(found.incarnations[0])
            return found

        self.entry._book.choose = choose_then_leave
        reply, _ = await self.reply("/scan/x")
        self.assertEqual(reply.status, 200)
        target = next(t for t in self.site.targets if t.instance == first[0])
        self.assertEqual(target.notices.arrivals, [])


def make_host(name, born=1, leaves=False):
    return TargetHost(Instance(name, born), "desk", f"{name}:1", "hall", leaves, 6)


class LeavingAnnouncementTest(unittest.TestCase):
    """Tracking of targets that announced that they are leaving."""

    def setUp(self):
        self.inventory = Inventory()
        self.changes = []
        self.leaving = LeavingTargets(self.inventory, lambda: self.changes.append(1), Records("e1"))
        self.inventory.put(make_host("a"))
        self.inventory.put(make_host("b"))

    def test_no_entry_takes_it_back_while_the_life_lasts(self):
        for seed in range(100):
            rng, inventory, announced, born = (
                random.Random(seed),
                Inventory(),
                set(),
                {"a": 1, "b": 1},
            )
            for step in range(60):
                name = rng.choice("ab")
                match rng.randrange(5):
                    case 0 | 1:
                        inventory.put(make_host(name, born[name]))
                    case 2:
                        born[name] += 1
                    case 3:
                        inventory.remove(name, float(step))
                    case 4 if inventory.leave(f"{name}@{born[name]}"):
                        announced.add(Instance(name, born[name]))
                for instance, host in inventory.by_instance.items():
                    self.assertEqual(host.leaving, instance in announced, seed)

    def test_word_of_a_life_that_is_not_listed_is_not_kept(self):
        self.leaving.announced("c@1", "request")
        self.leaving.apply_peer_update(LeavingUpdate("peer", ["a@9", "c@1"]))
        self.assertEqual((len(self.leaving), self.changes), (0, []))

    def test_word_is_told_with_each_report_and_then_now_and_then(self):
        with mock.patch.object(leaving.time, "monotonic") as clock:
            clock.return_value = 100.0
            self.leaving.announced("a@1", "request")
            updated = []
            for tick in range(100):
                clock.return_value = 100.0 + tick * 0.05
                updated.append(bool(self.leaving.pending_updates("e1")))
        self.assertTrue(all(updated[:10]))
        self.assertEqual(sum(updated[20:]), 2)

    def test_news_fits_into_one_frame(self):
        for number in range(100):
            name = f"i-{number:030}"
            self.inventory.put(make_host(name, 1_788_000_000_000))
            self.leaving.announced(f"{name}@1788000000000", "request")
        parts = self.leaving.pending_updates("front-of-a-long-name")
        self.assertEqual(sum(len(p.lives) for p in parts), 100)
        self.assertLess(max(len(msgspec.msgpack.encode(p)) for p in parts), DATAGRAM)

    def test_what_is_kept_is_bounded(self):
        for number in range(MAX_REMEMBERED_NAMES + 10):
            self.inventory.put(make_host(f"h{number}"))
            self.inventory.leave(f"h{number}@1")
            self.inventory.discard(f"h{number}")
        self.assertEqual(len(self.inventory._leaving), MAX_REMEMBERED_NAMES)

    def test_header_is_read_from_answers_of_all_kinds(self):
        def read(status, **headers):
            return HeaderCodec().read_reply(status, HTTPHeaders(headers)).notice.leaving

        for status in (200, 404, 421, 500, 503):
            self.assertTrue(read(status, **{"Server-Leaving": "1"}))
            self.assertFalse(read(status, **{"Server-Leaving": "0"}))
            self.assertFalse(read(status))


if __name__ == "__main__":
    unittest.main()
