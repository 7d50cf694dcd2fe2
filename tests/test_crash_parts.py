"""Parts of prompts that crash each replica that runs a request with them."""

import asyncio
import contextlib
import json
import time
import unittest

import msgspec
from oleanderhill_dev import fuzz_parts
from oleanderhill_dev.fuzz_endings import violations
from oleanderhill_dev.users.cut_links import Cut
from oleanderhill_dev.users.site import SMALL, until
from returns.pipeline import is_successful
from tornado.httputil import HTTPHeaders

from oleanderhill.platform.headers import MAX_PROMPT_PARTS, HeaderCodec
from oleanderhill.routing.crash_news import EndingNews, Quarantined
from oleanderhill.routing.crash_verdicts import ACQUITTAL_SECONDS, MIN_CRASHES, MIN_OTHER_ANSWERS
from oleanderhill.routing.crashes import CrashTracker
from oleanderhill.routing.identity import part_identities, scope
from oleanderhill.serving.quarantine import QuarantineRecord

from .test_users_site import SiteTest

CRASH_PART = "bad0"
OTHER_PART = "900d"
MAX_CRASHES = 8
"""Five crashes show the part to everybody, and three requests more may reach replicas."""


class PromptPartsTest(unittest.TestCase):
    def parts(self, text):
        return HeaderCodec().read_request(HTTPHeaders({"Prompt-Prefix": text})).shared_parts

    def test_all_parts_but_the_last_may_be_shared(self):
        self.assertEqual(
            self.parts("5C1e07a2:800,91bd3f06:410, e4402b7d:250"), ("5c1e07a2", "91bd3f06")
        )
        self.assertEqual(self.parts("5c1e07a2:800"), ())
        self.assertEqual(self.parts(""), ())

    def test_unreadable_parts_are_left_out_and_their_number_is_bounded(self):
        self.assertEqual(self.parts("zz:1,a:b,:4,ab:1,ab:1,cd,e:1"), ("ab",))
        many = ",".join(f"{n:x}:1" for n in range(100))
        self.assertEqual(len(self.parts(many)), MAX_PROMPT_PARTS)


P, Q = part_identities("pool", "model", ("bad", "common"))
SCOPE = scope("pool", "model")


class PartVerdictTest(unittest.TestCase):
    def setUp(self):
        self.tracker = CrashTracker()
        self.tracker.targets = 14

    def crash(self, name, at, *requests):
        """Crash a target; each request is given as its name and its parts."""
        for request, *parts in requests:
            self.tracker.lost(request, name, 0.1, at, tuple(parts))
        return self.tracker.confirm_ended(name, at + 0.05)

    def answer(self, at, count=MIN_OTHER_ANSWERS):
        for _ in range(count):
            self.tracker.scope_answered(SCOPE, at)

    def test_part_is_quarantined_once_requests_without_it_are_answered(self):
        for n, request in enumerate(("r1", "r1", "r2")):
            self.crash(f"t{n}", 1.0 + n / 5, (request, Q, P))
            self.tracker.parts_written((Q,), 1.1 + n / 5)
        quiet = 1.4 + ACQUITTAL_SECONDS
        self.assertEqual(self.tracker.judge_parts(quiet), [])
        self.answer(1.5)
        self.assertEqual(self.tracker.judge_parts(quiet - 0.1), [])
        self.assertEqual(self.tracker.judge_parts(quiet), [P])
        self.assertIsNone(self.tracker.quarantined(Q))

    def test_part_of_a_request_that_is_written_is_cleared(self):
        for n in range(3):
            self.crash(f"t{n}", 1.0 + n / 5, (f"r{n}", P))
        self.answer(1.5)
        self.assertEqual(self.tracker.parts_written((P,), 1.6), [P])
        self.assertEqual(self.tracker.judge_parts(9.0), [])
        self.assertEqual(self.tracker.hold(P, 1.7), 0.0)

    def test_parts_in_flight_when_a_rack_is_lost_are_neither_held_nor_quarantined(self):
        for n in range(6):
            self.crash(f"t{n}", 1.0 + n / 200, (f"r{n}", Q))
        self.answer(1.5, 16)
        self.assertEqual(self.tracker.hold(Q, 1.1), 0.0)
        self.assertEqual(self.tracker.judge_parts(9.0), [])

    def test_part_is_not_blamed_for_one_request_that_crashes_targets(self):
        found = [self.crash(f"t{n}", 1.0 + n / 5, ("r1", P)) for n in range(3)]
        self.answer(1.6)
        self.assertEqual((found[-1], self.tracker.judge_parts(3.0)), (["r1"], []))
        self.crash("t3", 4.0, ("r2", P))
        self.answer(4.1)
        self.assertEqual(self.tracker.judge_parts(5.0), [])
        self.crash("t4", 6.0, ("r3", P))
        self.answer(6.1)
        self.assertEqual(self.tracker.judge_parts(7.0), [P])

    def test_of_parts_that_are_always_together_the_deeper_one_is_quarantined(self):
        for n in range(5):
            self.crash(f"t{n}", 1.0 + n / 5, (f"r{n}", Q, P))
        self.answer(1.9)
        self.assertEqual(self.tracker.judge_parts(3.0), [P])

    def test_peers_learn_of_crashes_clearings_and_verdicts(self):
        for n in range(3):
            self.crash(f"t{n}", 1.0 + n / 5, (f"r{n}", Q, P))
        self.tracker.parts_written((Q,), 1.5)
        other = CrashTracker()
        other.targets = 14
        self.relay(other, 1.5)
        other.scope_answered(SCOPE, 1.6)
        self.assertGreater(other.hold(P, 1.5), 0.0)
        self.assertEqual(other.hold(Q, 1.5), 0.0)
        self.answer(1.6)
        self.assertEqual(self.tracker.judge_parts(2.0), [P])
        self.assertEqual(self.relay(other, 2.1), [P])

    def relay(self, other, now):
        sent = [msgspec.json.encode(u) for u in self.tracker.pending_updates("peer", now, True)]
        news = [msgspec.json.decode(data, type=EndingNews) for data in sent]
        return [found for update in news for found in other.apply_peer_update(update, now)]

    def stored(self, part, now):
        """Return a tracker that knows just what is stored of a part."""
        part_crashes = self.tracker.part_crashes_of(part, now)
        record = QuarantineRecord("peer", quarantined=False, part_crashes=part_crashes)
        decoded = msgspec.json.decode(msgspec.json.encode(record), type=QuarantineRecord)
        other = CrashTracker()
        other.targets = 14
        other.restore_crashes(decoded.endings, 100.0, decoded.part_crashes)
        return other

    def test_suspected_part_is_suspected_after_all_processes_restarted(self):
        for n in range(4):
            self.crash(f"t{n}", 1.0 + n / 5, (f"r{n}", Q, P))
        self.tracker.parts_written((Q,), 1.7)
        other = self.stored(P, 2.0)
        self.assertTrue(other.suspects(P))
        self.assertFalse(other.suspects(Q))
        self.assertGreater(other.hold(P, 99.0), 0.0)
        other.lost("r5", "t5", 0.1, 101.0, (Q, P))
        other.confirm_ended("t5", 101.0)
        other.parts_written((Q,), 101.1)
        other.scope_answered(SCOPE, 101.2)
        self.assertEqual(other.judge_parts(102.0), [P])

    def test_crashes_at_the_same_moment_are_no_suspicion_after_a_restart(self):
        for n in range(6):
            self.crash(f"t{n}", 1.0 + n / 200, (f"r{n}", P))
        self.assertFalse(self.tracker.suspects(P))
        self.assertFalse(self.stored(P, 2.0).suspects(P))

    def test_restored_part_is_not_blamed_for_one_request(self):
        for n in range(4):
            self.crash(f"t{n}", 1.0 + n / 5, ("r1", P))
        other = self.stored(P, 2.0)
        for _ in range(MIN_OTHER_ANSWERS):
            other.scope_answered(SCOPE, 100.1)
        self.assertEqual(other.judge_parts(101.0), [])

    def test_stored_crashes_include_those_without_the_part(self):
        for n in range(4):
            self.crash(f"t{n}", 1.0 + n / 5, (f"r{n}", P))
            self.crash(f"u{n}", 1.1 + n / 5, (f"s{n}",))
        other = self.stored(P, 2.0)
        self.answer(1.9)
        for _ in range(MIN_OTHER_ANSWERS):
            other.scope_answered(SCOPE, 100.1)
        self.assertEqual(bool(self.tracker.judge_parts(3.0)), bool(other.judge_parts(101.0)))
        self.assertEqual(other.sizes[0], 8)

    def test_parts_have_fields_of_their_own_in_updates(self):
        # Hosts of an earlier release take whatever the older fields name for a request.
        self.crash("t0", 1.0, ("r1", Q, P))
        self.tracker.quarantine(P, ("t0",), 1.0)
        for update in self.tracker.pending_updates("peer", 1.1, True):
            named = [*update.cleared, *update.quarantined]
            named += [i for _, _, in_flight in update.endings.values() for i in in_flight]
            self.assertNotIn("part/", " ".join(named))
        update = EndingNews("old", quarantined={P: Quarantined(0.1, ("t0",))})
        self.assertEqual(CrashTracker().apply_peer_update(update, 1.2), [])

    def test_state_is_bounded_however_many_parts_are_sent(self):
        for n in range(200):
            parts = tuple(f"part/{SCOPE}/{n}-{m}" for m in range(8))
            self.crash(f"t{n}", n / 10, *((f"r{n}-{m}", *parts) for m in range(40)))
        self.assertLessEqual(self.tracker.sizes[0], 64)
        for update in self.tracker.pending_updates("a-host-with-quite-a-long-name", 20.0, True):
            self.assertLess(len(msgspec.msgpack.encode(update)), 1450)

    def test_random_plays_quarantine_crash_causing_parts_soon_and_no_others(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.assertEqual(violations(fuzz_parts.simulate(seed)), [])


class CrashPartTest(SiteTest):
    hosts = 12
    entries = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.site.engines.crash_causing_parts.add(CRASH_PART)

    async def generate(self, *parts, entry=None):
        """Request a stream whose prompt has these parts and one of its own; return its status."""
        number = self.sent
        prompt = ",".join([*(f"{part}:40" for part in parts), f"{number + 1:x}:200"])
        result, _ = await self.ask(
            "/read/x",
            "POST",
            entry=entry,
            model=SMALL,
            body=b"request %d" % number,
            Prompt_Prefix=prompt,
        )
        return result.unwrap().status if is_successful(result) else 0

    async def until_served(self, entry):
        async with asyncio.timeout(20):
            while await self.generate(OTHER_PART, entry=entry) != 200:
                await asyncio.sleep(0.05)

    async def send_with_part(self, times, *more):
        for number in range(times):
            entry = self.site.entries[number % len(self.site.entries)]
            await self.until_served(entry)
            await self.generate(CRASH_PART, *more, entry=entry)

    async def test_different_requests_with_a_part_that_crashes_replicas_are_soon_sent_to_none(self):
        await self.send_with_part(8)
        self.assertLessEqual(len(self.site.engines.crashed_instances), MAX_CRASHES)

    async def test_requests_that_share_caller_and_other_parts_are_served_at_the_first_attempt(self):
        await self.send_with_part(8, OTHER_PART)
        self.assertLessEqual(len(self.site.engines.crashed_instances), MAX_CRASHES)
        for entry in self.site.entries:
            await self.until_served(entry)
            seen = [await self.generate(OTHER_PART, entry=entry) for _ in range(5)]
            self.assertEqual(seen, [200] * 5)

    async def test_crashes_count_where_peers_pass_the_requests_on(self):
        for _ in range(10):
            # Hosts that took the place of crashed ones are cut off too.
            self.site.links.cut("entry-0", self.site.target_addresses(), Cut.REFUSED)
            await self.until_served(self.entry)
            self.site.links.cut("entry-0", self.site.target_addresses(), Cut.REFUSED)
            await self.generate(CRASH_PART, entry=self.entry)
        self.assertLessEqual(len(self.site.engines.crashed_instances), MAX_CRASHES)

    async def until_quarantined(self):
        for _ in range(12):
            await self.send_with_part(1)
            if all(entry._quarantine.sizes[1] for entry in self.site.entries):
                break
            await asyncio.sleep(0.5)
        self.assertLessEqual(len(self.site.engines.crashed_instances), MAX_CRASHES)

    async def test_request_with_a_quarantined_part_gets_its_final_answer_at_once(self):
        await self.until_quarantined()
        for entry in self.site.entries:
            began = time.monotonic()
            reply, reader = await self.reply(
                "/read/x", "POST", entry=entry, model=SMALL, Prompt_Prefix=f"{CRASH_PART}:1,1:1"
            )
            self.assertLess(time.monotonic() - began, 0.5)
            problem = json.loads(reader.body)
            self.assertEqual((reply.status, problem["error"]["type"]), (502, "ends-targets"))
            self.assertEqual((problem["ran"], "Retry-After" in reply.headers), ("no", False))

    def stored_parts(self):
        prefix = "oleanderhill/quarantined/part/"
        return [k for k in self.site.store.items if k.startswith(prefix)]

    async def restart_all(self):
        for entry in self.site.entries:
            await entry.kernel.stop()
        self.site.entries.clear()
        for number in range(2):
            await self.site.add_entry(f"entry-{number}")
        self.entry = self.site.entries[0]

    async def test_suspicion_outlasts_restarts_of_all_entry_hosts(self):
        crashed = self.site.engines.crashed_instances
        for _ in range(3):
            before = len(crashed)
            for _ in range(8):
                await self.send_with_part(1)
                if len(crashed) >= before + MIN_CRASHES:
                    break
            with contextlib.suppress(TimeoutError):
                await until(self.stored_parts, 1.0)
            await self.restart_all()
        self.assertLessEqual(len(crashed), MAX_CRASHES)

    async def test_part_stays_quarantined_when_all_entry_hosts_restart_at_once(self):
        await self.until_quarantined()
        crashed = len(self.site.engines.crashed_instances)
        await until(self.stored_parts)
        await self.restart_all()
        await self.send_with_part(4)
        self.assertEqual(len(self.site.engines.crashed_instances), crashed)
