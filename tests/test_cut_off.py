"""Entry hosts that lose their links to the targets while callers and peers reach them."""

import asyncio
import random
import unittest
from unittest import mock

from oleanderhill_dev.users.cut_links import Cut
from oleanderhill_dev.users.site import LARGE
from returns.pipeline import is_successful

from oleanderhill.routing.reachability import FAILURE_WINDOW, MIN_UNREACHABLE, Reachability

from .test_users_site import SiteTest


class CutSiteTest(SiteTest):
    """A site in which single entry hosts can be cut off from all targets."""

    entries = 3

    def cut_off(self, how, *numbers):
        for number in numbers:
            self.site.links.cut(f"entry-{number}", self.site.target_addresses(), how)


class LogTest(CutSiteTest):
    entries = 2

    async def test_a_failed_attempt_tells_the_targets_fault_from_the_hosts(self):
        noted, context = [], self.entry._context
        records = mock.patch.object(
            context.records, "note", lambda *a, **f: noted.append((*a[:2], f))
        )
        with records:
            self.cut_off(Cut.REFUSED, 0)
            await self.ask("/scan/x")
            await self.ask("/read/x", "POST", model=LARGE)
            self.site.links.heal("entry-0")
            await self.ask("/scan/x")
        changes = [f | {"what": w} for p, w, f in noted if p == "dependency"]
        self.assertEqual([c["what"] for c in changes], ["lost", "regained"])
        self.assertEqual(changes[0]["dependency"], "targets")
        self.assertGreaterEqual(changes[0]["unreachable"], 2)
        failed = [f for p, w, f in noted if (p, w) == ("request", "attempt failed")]
        self.assertTrue(failed)
        self.assertEqual(
            [f["unreachable"] for f in failed], sorted(f["unreachable"] for f in failed)
        )


class ServedThroughPeersTest(CutSiteTest):
    """Callers of a host that can't reach the targets are served as at the others."""

    async def serve(self, path, method, model, count=4):
        """Send requests at once to the host that is cut off; return their statuses and readers."""
        asked = [self.ask(path, method, model=model) for _ in range(count)]
        return [
            (result.unwrap().status if is_successful(result) else 0, reader)
            for result, reader in await asyncio.gather(*asked)
        ]

    async def assert_served(self):
        kinds = [("/scan/x", "GET", ""), ("/pay/x", "POST", ""), ("/read/x", "POST", LARGE)]
        for path, method, model in kinds * 2:
            answers = await self.serve(path, method, model)
            self.assertEqual([status for status, _ in answers], [200] * len(answers), path)
            for _, reader in answers if model else ():
                self.assert_complete_stream(reader)
        ran = [*(r.request_id for r in self.site.engines.runs), *self.plain_runs()]
        self.assertEqual(len(ran), len(set(ran)))

    def plain_runs(self):
        return [request_id for target in self.site.targets for request_id in target.ran]

    async def open_connections(self):
        """Send requests before the cut, so that connections to targets are open."""
        for path, method, model in (("/scan/x", "GET", ""), ("/read/x", "POST", LARGE)):
            await self.serve(path, method, model, 2)

    async def test_where_connections_are_refused(self):
        await self.open_connections()
        self.cut_off(Cut.REFUSED, 0)
        await self.assert_served()

    async def test_where_open_connections_live_on_and_new_ones_are_refused(self):
        await self.open_connections()
        self.cut_off(Cut.OPEN_LIVE_ON, 0)
        await self.assert_served()

    async def test_where_connections_hang(self):
        self.cut_off(Cut.SILENT, 0)
        await self.assert_served()


class ReachabilityTest(unittest.TestCase):
    def test_matches_an_oracle_that_replays_all_outcomes(self):
        for seed in range(300):
            rng = random.Random(seed)
            links, outcomes, doubtful, now = Reachability(), [], False, 0.0
            for _ in range(80):
                now += rng.choice((0.001, 0.5, FAILURE_WINDOW + 0.1))
                address, opened = rng.choice("abc"), rng.random() < 0.3
                outcomes.append((now, address, opened))
                change = (links.connected if opened else links.failed)(address, now)
                recent = set()
                for at, which, success in outcomes:
                    if success:
                        recent = set()
                    elif now - at <= FAILURE_WINDOW:
                        recent.add(which)
                was = doubtful
                doubtful = not opened and (was or len(recent) >= MIN_UNREACHABLE)
                self.assertEqual(links.doubtful, doubtful, seed)
                self.assertEqual(change is not None, doubtful != was, seed)
                self.assertEqual(links.unreachable(now), len(recent), seed)
