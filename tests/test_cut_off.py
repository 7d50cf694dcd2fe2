"""Entry hosts that lose their links to the targets while callers and peers reach them."""

import asyncio
import random
import unittest
from collections import Counter
from unittest import mock

from oleanderhill_dev.users.cut_links import Cut
from oleanderhill_dev.users.site import LARGE, until
from returns.pipeline import is_successful

from oleanderhill.routing.proxies import AVOID_SECONDS, HELPED_SECONDS, Peer, PeerList, Proxies
from oleanderhill.routing.reachability import (
    CHECK_INTERVAL,
    CONFIRMED_SECONDS,
    FAILURE_WINDOW,
    MIN_UNREACHABLE,
    Heard,
    Reachability,
    Route,
)

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
            await until(lambda: any(w == "regained" for _, w, _ in noted))
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
    def setUp(self):
        self.links = Reachability(lambda address: address[0])

    def test_doubts_match_an_oracle_that_replays_all_outcomes(self):
        for seed in range(300):
            rng = random.Random(seed)
            links, outcomes, lost, now = Reachability(), [], False, 0.0
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
                was = lost
                lost = not opened and (was or len(recent) >= MIN_UNREACHABLE)
                self.assertEqual(links.lost, lost, seed)
                self.assertEqual(change is not None, lost != was, seed)
                self.assertEqual(links.unreachable(now), len(recent), seed)

    def break_links(self, *addresses, refused=False):
        for address in addresses:
            self.links.failed(address, 0.0, refused)
            self.links.reached_by_peer(address, 0.0)

    def test_a_target_that_peers_hear_is_asked_for_at_a_peer(self):
        self.links.failed("a1", 0.0, heard=Heard.RUNNING)
        self.assertTrue(self.links.may_ask_peer("a1", Heard.RUNNING, 0.0))
        self.assertFalse(self.links.may_ask_peer("a1", Heard.UNKNOWN, 0.0))

    def test_a_target_that_just_crashed_is_no_broken_link(self):
        self.links.failed("a1", 0.0, heard=Heard.RUNNING)
        self.assertFalse(self.links.is_broken("a1", 0.0))
        self.assertFalse(self.links.blames_links("a1", 0.0))

    def test_a_target_that_a_peer_reaches_is_reached_through_peers(self):
        self.break_links("a1")
        self.assertEqual(self.links.route("a1", 0.1), Route.PEER)
        self.assertEqual(self.links.route("a2", 0.1), Route.DIRECT)

    def test_a_dead_target_is_no_broken_link(self):
        self.links.failed("a1", 0.0, heard=Heard.SILENT)
        self.links.failed("a2", 0.0, heard=Heard.SILENT)
        self.assertFalse(self.links.may_ask_peer("a1", Heard.SILENT, 0.1))
        self.assertEqual(self.links.route("a1", 0.1), Route.DIRECT)

    def test_a_peer_that_fails_too_clears_the_own_links(self):
        self.break_links("a1")
        self.links.failed_by_peer("a1", 0.1)
        self.assertEqual(self.links.route("a1", 0.2), Route.DIRECT)
        self.assertFalse(self.links.may_ask_peer("a1", Heard.RUNNING, 0.2))
        self.assertTrue(self.links.may_ask_peer("a1", Heard.RUNNING, 0.2 + CONFIRMED_SECONDS))

    def test_targets_that_no_host_reaches_are_left_to_the_checks(self):
        for address in ("a1", "a2"):
            self.links.failed(address, 0.0)
            self.links.failed_by_peer(address, 0.1)
        self.assertEqual(self.links.route("a1", 0.2), Route.UNREACHABLE)
        self.assertIn("a1", self.links.take_checks(CHECK_INTERVAL))
        self.links.connected("a2", CHECK_INTERVAL)
        self.assertEqual(self.links.route("a1", CHECK_INTERVAL), Route.DIRECT)

    def test_a_target_that_other_peers_may_reach_is_not_given_up(self):
        for address in ("a1", "a2"):
            self.links.failed(address, 0.0)
            self.links.failed_by_peer(address, 0.1, others_left=True)
        self.assertEqual(self.links.route("a1", 0.2), Route.DIRECT)

    def test_other_targets_of_a_cut_service_need_no_failed_attempt_each(self):
        self.break_links("a1", "a2")
        self.assertEqual(self.links.route("a3", 0.1), Route.PEER)
        self.assertEqual(self.links.route("b1", 0.1), Route.DIRECT)
        self.links.connected("a4", 0.2)
        self.assertEqual(self.links.route("a3", 0.3), Route.DIRECT)

    def test_open_connections_are_used_where_new_ones_are_refused(self):
        self.break_links("a1", refused=True)
        self.assertEqual(self.links.route("a1", 0.1), Route.OPEN_CONNECTION)

    def test_links_in_doubt_may_explain_failures_that_are_not_recorded(self):
        links = Reachability()
        for address in ("a", "b"):
            self.assertFalse(links.may_explain("member", 0.0))
            links.failed(address, 0.0)
        self.assertTrue(links.may_explain("member", 0.1))
        links.failed_by_peer("member", 0.1)
        self.assertFalse(links.may_explain("member", 0.2))
        links.connected("a", 0.3)
        self.assertFalse(links.may_explain("other", 0.4))

    def test_the_end_of_a_cut_is_found_at_all_targets_at_once(self):
        self.break_links(*(f"a{number}" for number in range(5)))
        self.assertEqual(self.links.take_checks(CHECK_INTERVAL - 0.01), [])
        self.links.connected("a0", 0.1)
        self.assertEqual(self.links.take_checks(0.1), ["a1", "a2", "a3", "a4"])

    def test_stalls_put_the_links_in_doubt_only_if_no_target_sends_anything(self):
        for heard_at, checked in ((0.9, []), (0.0, ["a1", "a2"])):
            links = Reachability()
            links.data_received(heard_at)
            for address in ("a1", "a2"):
                links.stalled(address, 1.0, busy=3)
            self.assertEqual(sorted(links.take_checks(1.0)), checked)

    def test_never_prefers_peers_for_good(self):
        """Whatever happens, a connection that succeeds makes its target direct again."""
        for seed in range(200):
            rng, now = random.Random(seed), 0.0
            links = Reachability(lambda address: address[0])
            addresses = [f"{service}{number}" for service in "ab" for number in range(3)]
            for _ in range(100):
                now += rng.random()
                address = rng.choice(addresses)
                match rng.randrange(6):
                    case 0 | 1:
                        heard = rng.choice(list(Heard))
                        links.failed(address, now, rng.random() < 0.5, heard)
                    case 2:
                        links.reached_by_peer(address, now)
                    case 3:
                        links.failed_by_peer(address, now)
                    case 4 | 5:
                        links.connected(address, now)
                        self.assertEqual(links.route(address, now), Route.DIRECT, seed)
                        self.assertFalse(links.lost, seed)
                now += CHECK_INTERVAL
                checks, suspects = set(links.take_checks(now)), {*links._broken, *links._failed_at}
                self.assertEqual(checks & links._broken.keys(), links._broken.keys(), seed)
                self.assertLessEqual(checks, suspects, seed)


class ProxiesTest(unittest.TestCase):
    def setUp(self):
        self.proxies = Proxies("hall", random.Random(1))
        self.peers = PeerList(
            *([Peer(f"{dc}-{number}", "", dc) for number in range(3)] for dc in ("hall", "yard"))
        )

    def choose(self, now=0.0, tried=(), address="a1"):
        found = self.proxies.choose(self.peers, tried, address, now)
        return found and found.name

    def test_the_own_data_centre_goes_first(self):
        self.assertEqual({self.choose()[:4] for _ in range(30)}, {"hall"})

    def test_a_peer_that_could_not_help_is_avoided_for_a_while(self):
        for peer in (*self.peers.local, *self.peers.remote):
            self.proxies.avoid(peer, 0.0)
        self.assertIsNone(self.choose())
        self.assertIsNotNone(self.choose(AVOID_SECONDS))

    def test_peers_that_fail_at_one_target_are_asked_about_others(self):
        for peer in (*self.peers.local, *self.peers.remote):
            self.proxies.not_reached(peer, "a1", 0.0)
        self.assertIsNone(self.choose())
        self.assertIsNotNone(self.choose(address="a2"))
        self.assertIsNotNone(self.choose(AVOID_SECONDS))

    def test_peers_that_fail_at_several_targets_are_avoided(self):
        for peer in (*self.peers.local, *self.peers.remote):
            self.proxies.not_reached(peer, "a1", 0.0)
            self.proxies.not_reached(peer, "a2", 0.1)
        self.assertIsNone(self.choose(0.2, address="a3"))
        self.proxies.took(self.peers.local[0], 0.3)
        self.assertEqual(self.choose(0.3, address="a3"), "hall-0")

    def test_a_peer_that_just_helped_is_not_avoided_for_several_lost_targets(self):
        helped = self.peers.local[0]
        self.proxies.took(helped, 0.0)
        for peer in (*self.peers.local, *self.peers.remote):
            for address in ("a1", "a2"):
                self.proxies.not_reached(peer, address, 0.1)
        self.assertIsNone(self.choose(0.1, address="a1"))
        self.assertEqual(self.choose(0.1, address="a3"), helped.name)
        for address in ("a3", "a4"):
            self.proxies.not_reached(helped, address, HELPED_SECONDS)
        self.assertIsNone(self.choose(HELPED_SECONDS, address="a5"))

    def test_peers_that_were_tried_are_left_out(self):
        tried = [p.name for p in (*self.peers.local, *self.peers.remote)]
        self.assertIsNone(self.choose(tried=tried))

    def test_one_proven_peer_does_not_take_all(self):
        self.proxies.took(self.peers.local[0], 0.0)
        chosen = Counter()
        for _ in range(60):
            name = self.choose()
            chosen[name] += 1
            self.proxies.begin(name)
        self.assertEqual(len(chosen), 6)
        self.assertLess(max(chosen.values()), 20)

    def test_the_only_peer_that_helps_is_found_among_many(self):
        peers = PeerList([Peer(f"hall-{number}", "", "hall") for number in range(200)])
        now, found = 0.0, None
        for _ in range(300):
            now += 0.001
            peer = self.proxies.choose(peers, (), "a1", now)
            if peer is not None and peer.name == "hall-150":
                found = peer
                self.proxies.took(peer, now)
            elif peer is not None:
                self.proxies.avoid(peer, now)
        self.assertIsNotNone(found)
        self.assertEqual(self.proxies.choose(peers, (), "a1", now), found)

    def test_a_proven_peer_that_is_gone_is_not_chosen(self):
        self.proxies.took(Peer("hall-9", "", "hall"), 0.0)
        self.assertNotIn("hall-9", {self.choose() for _ in range(30)})


if __name__ == "__main__":
    unittest.main()
