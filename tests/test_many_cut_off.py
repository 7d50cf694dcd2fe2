"""Many entry hosts that are cut off from all targets at once."""

import asyncio
import heapq
import random
import unittest
from collections import Counter

from oleanderhill_dev.users.cut_links import Cut
from oleanderhill_dev.users.site import LARGE, SMALL, until
from returns.pipeline import is_successful

from oleanderhill.routing.proxies import Peer, PeerList, Proxies
from oleanderhill.serving.placement import HEARD_SECONDS, PEER_COUNTS_MAX_AGE
from oleanderhill.serving.target_caller import MAX_NOT_REACHED, MAX_PEERS_TRIED

from .test_cut_off import CutSiteTest

REQUESTS_PER_SECOND = 10.0
"""Requests that callers send to each entry host."""

MEAN_SECONDS = 1.0
"""Mean duration of a request."""

UNAWARE_SECONDS = 0.6
"""Seconds for which hosts that are cut off don't know it, and try their own links first."""

TARGETS = 50
TARGETS_TRIED = 3
"""Targets that an entry host tries for one request."""


class CutFleet:
    """A simulation of entry hosts; requests to those that are cut off go through the others.

    :param cut_share: share of the hosts outside of the first data centre that are cut off
    :ivar served: share of the requests to hosts that are cut off, by second
    """

    def __init__(self, hosts, data_centres, cut_share, seed):
        self._rng = random.Random(seed)
        names = [f"dc{n % data_centres}" for n in range(hosts)]
        peers = [Peer(f"host-{n}", "", name) for n, name in enumerate(names)]
        others = [p for p in peers if p.data_centre != "dc0"]
        cut = [p for p in peers if p.data_centre == "dc0"]
        cut += self._rng.sample(others, int(cut_share * len(others)))
        self._cut = {p.name for p in cut}
        self._proxies = {
            p.name: Proxies(p.data_centre, random.Random(self._rng.random())) for p in cut
        }
        self._peers = {
            p.name: PeerList(
                [x for x in peers if x.data_centre == p.data_centre and x is not p],
                [x for x in peers if x.data_centre != p.data_centre],
            )
            for p in cut
        }
        self._ends = []
        self.served = []

    def run(self, seconds):
        arrivals = sorted(
            (self._rng.uniform(0.0, seconds), name)
            for name in self._cut
            for _ in range(int(REQUESTS_PER_SECOND * seconds))
        )
        asked, served = Counter(), Counter()
        for now, name in arrivals:
            while self._ends and self._ends[0][0] <= now:
                _, sender, peer = heapq.heappop(self._ends)
                self._proxies[sender].end(peer)
            asked[int(now)] += 1
            served[int(now)] += any(self._send(name, now) for _ in range(TARGETS_TRIED))
        self.served = [served[second] / asked[second] for second in sorted(asked)]

    def _send(self, name, now):
        """Send a request to a random target through peers; return whether one took it."""
        proxies, address = self._proxies[name], f"target-{self._rng.randrange(TARGETS)}"
        tried, not_reached = set(), 0
        while len(tried) < MAX_PEERS_TRIED and not_reached < MAX_NOT_REACHED:
            peer = proxies.choose(self._peers[name], tried, address, now)
            if peer is None:
                return False
            tried.add(peer.name)
            if peer.name not in self._cut:
                proxies.begin(peer.name)
                proxies.took(peer, now)
                ends_at = now + self._rng.expovariate(1 / MEAN_SECONDS)
                heapq.heappush(self._ends, (ends_at, name, peer.name))
                return True
            if now < UNAWARE_SECONDS:
                not_reached += 1
                proxies.not_reached(peer, address, now)
            else:
                proxies.avoid(peer, now)
        return False


class ManyCutOffTest(unittest.TestCase):
    def shares(self, hosts, data_centres, cut_share, seconds=3.0):
        found = []
        for seed in range(3):
            fleet = CutFleet(hosts, data_centres, cut_share, seed)
            fleet.run(seconds)
            found.append(fleet.served)
        return [min(shares) for shares in zip(*found, strict=True)]

    def test_a_whole_data_centre_is_served_through_the_others(self):
        for hosts, data_centres in ((9, 3), (62, 3), (195, 3), (600, 5)):
            shares = self.shares(hosts, data_centres, 0.0)
            self.assertGreaterEqual(min(shares), 0.99, (hosts, shares))

    def test_a_data_centre_and_half_of_the_others(self):
        for hosts in (62, 195):
            shares = self.shares(hosts, 3, 0.5)
            self.assertGreaterEqual(shares[0], 0.95, (hosts, shares))
            self.assertGreaterEqual(min(shares[1:]), 0.99, (hosts, shares))

    def test_nearly_all_hosts_are_served_once_the_others_are_found(self):
        for hosts in (62, 195):
            shares = self.shares(hosts, 3, 0.9, seconds=4.0)
            self.assertGreaterEqual(min(shares[2:]), 0.99, (hosts, shares))


class CutDataCentreTest(CutSiteTest):
    entries = 8

    async def asyncSetUp(self):
        await super().asyncSetUp()
        others = [await self.site.add_entry(f"entry-{n}", "yard") for n in (8, 9)]
        for entry in others:
            while not entry.candidates("desk", ""):
                await asyncio.sleep(0.05)
        listed = len(self.site.entries)
        for entry in self.site.entries:
            await until(lambda e=entry: len(e._presence.alive()) == listed)

    async def serve(self, entry):
        asked = [self.ask("/scan/x", entry=entry), self.ask("/pay/x", "POST", entry=entry)]
        return [
            result.unwrap().status if is_successful(result) else 0
            for result, _ in await asyncio.gather(*asked)
        ]

    async def assert_all_served(self, how):
        self.cut_off(how, *range(self.entries))
        for entry in self.site.entries[: self.entries]:
            self.assertEqual(await self.serve(entry), [200] * 2, entry._settings.host)

    async def test_served_through_two_others_where_connections_are_refused(self):
        await self.assert_all_served(Cut.REFUSED)

    async def test_served_through_two_others_where_connections_hang(self):
        await self.assert_all_served(Cut.SILENT)


class IdleCutSiteTest(CutSiteTest):
    async def streams(self, *entries):
        asked = [
            asyncio.create_task(self.ask("/read/x", "POST", entry=entry, model=model))
            for model in (LARGE, SMALL)
            for entry in entries
        ]
        results = [result for result, _ in await asyncio.gather(*asked)]
        return [result.unwrap().status if is_successful(result) else 0 for result in results]

    async def test_requests_that_never_arrive_dont_tell_that_a_target_is_silent(self):
        *cut_off, other = self.site.entries
        self.assertEqual(await self.streams(other), [200] * 2)
        await asyncio.sleep(HEARD_SECONDS + PEER_COUNTS_MAX_AGE)
        self.cut_off(Cut.SILENT, 0, 1)
        for _ in range(3):
            self.assertEqual(await self.streams(*cut_off), [200] * 4)
            await asyncio.sleep(HEARD_SECONDS + PEER_COUNTS_MAX_AGE)


if __name__ == "__main__":
    unittest.main()
