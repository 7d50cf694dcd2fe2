"""When requests arrive at targets, and what log lines tell of it."""

import asyncio
import random
import unittest
from collections import Counter
from unittest import mock

from oleanderhill_dev.users.cut_links import Cut
from oleanderhill_dev.users.site import LARGE, SMALL
from returns.pipeline import is_successful

from .test_cut_off import CutSiteTest

KINDS = (("/scan/x", "GET", ""), ("/read/x", "POST", LARGE), ("/read/x", "POST", SMALL))


class ArrivalLogTest(CutSiteTest):
    entries = 1

    async def ask_logged(self, path, method="GET", model=""):
        """Send a request; return its log lines as pairs of name and fields."""
        lines, records = [], self.entry._context.records
        with mock.patch.object(records, "request", lambda *a, **f: lines.append((a[1], f))):
            result, _ = await self.ask(path, method, model=model)
        self.assertTrue(is_successful(result))
        return lines

    def arrivals(self):
        targets = self.site.targets
        return [a for t in targets for a in t.arrivals if a.request_id == self.request_id]

    async def test_path_tells_a_failed_connection_from_a_request_that_arrived(self):
        self.cut_off(Cut.REFUSED, 0)
        path = (await self.ask_logged("/scan/x"))[-1][1]["path"]
        self.assertEqual(self.arrivals(), [])
        self.assertTrue(path)
        self.assertTrue(all(place.endswith(" not sent") for place in path), path)

    async def test_sends_and_path_agree_with_what_the_targets_received(self):
        for target in self.site.targets:
            target.faults.reset = 1
        lines = await self.ask_logged("/scan/x")
        arrivals = len(self.arrivals())
        self.assertGreater(arrivals, 1)
        path = [place for place in lines[-1][1]["path"] if not place.endswith(" not sent")]
        self.assertEqual(len(path), arrivals)
        self.assertTrue(path[0].endswith(" no reply"), path)
        again = [fields["number"] for what, fields in lines if what == "sent again"]
        self.assertEqual(again, list(range(2, arrivals + 1)))
        sends = self.entry.exposition.sends()
        self.assertEqual(sends, {"desk first": 1, "desk again": arrivals - 1})


class ChargedArrivalsTest(CutSiteTest):
    """Counts what targets receive beside what the entry hosts charged to the budget."""

    hosts = 12

    async def test_each_arrival_beyond_the_first_was_charged(self):
        charged = Counter()
        for entry in self.site.entries:
            self.count_charged(entry, charged)
        rng = random.Random(53)
        asking = []
        for turn in range(12):
            self.site.engines.break_at_event = rng.choice((0, 3))
            for target in self.site.targets:
                target.faults.reset, target.faults.shed = rng.choice(((0, 0), (2, 0), (0, 2)))
            if turn % 4 == 0:
                # The stand-in of a silent link can't take over a connection that is being opened.
                await asyncio.gather(*asking)
                self.cut_off(Cut.SILENT, *rng.sample(range(3), rng.randint(1, 2)))
            elif rng.random() < 0.6:
                how = rng.choice((Cut.REFUSED, Cut.OPEN_LIVE_ON))
                self.cut_off(how, *rng.sample(range(3), rng.randint(1, 2)))
            for _ in range(12):
                path, method, model = rng.choice(KINDS)
                entry = rng.choice(self.site.entries)
                asked = self.ask(path, method, entry=entry, model=model)
                asking.append(asyncio.ensure_future(asked))
            await asyncio.sleep(0.25)
            for number in range(3):
                self.site.links.heal(f"entry-{number}")
        await asyncio.gather(*asking)
        arrivals = [a for t in self.site.targets for a in t.arrivals] + self.site.engines.arrivals
        received = Counter(a.request_id for a in arrivals)
        self.assertGreater(sum(charged.values()), 10)
        self.assertEqual({i: n for i, n in received.items() if n > 1 + charged[i]}, {})

    def count_charged(self, entry, charged):
        write = entry._context.records.request

        def record(request_id, what, succeeded, **fields):
            charged[request_id] += what == "retry"
            write(request_id, what, succeeded, **fields)

        patch = mock.patch.object(entry._context.records, "request", record)
        patch.start()
        self.addCleanup(patch.stop)
