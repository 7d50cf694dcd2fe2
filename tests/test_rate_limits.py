"""Targets that name how many requests a second they take from all entry hosts together."""

import asyncio
import itertools
import time

from oleanderhill_dev.users.site import until
from returns.pipeline import is_successful

from .test_users_site import SiteTest

WINDOW = 4.0
"""Seconds in which the requests to a limited target are counted."""

NEWS_TAKES = 0.5
"""Seconds after which all entry hosts must know of a limit that one of them was told."""


def most_in_window(arrivals, since):
    """Return the most arrivals within any window that begins after a moment."""
    counted = [at for at in arrivals if at >= since]
    return max((sum(at <= t < at + WINDOW for t in counted) for at in counted), default=0)


def allowed(limit):
    """Return how many requests a limited target may get in a window."""
    return 1.5 * limit * WINDOW + 5


class LimitTest(SiteTest):
    entries = 3

    async def press(self, rate, seconds, path, method="GET", model=""):
        """Send requests at a rate to the entry hosts in turn; return statuses and seconds."""
        asked = []
        turn = itertools.cycle(self.site.entries)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            asked.append(asyncio.create_task(self.timed(path, method, next(turn), model)))
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*asked)

    async def timed(self, path, method, entry, model):
        began = time.monotonic()
        result, _ = await self.ask(path, method, entry=entry, model=model)
        return result.unwrap() if is_successful(result) else None, time.monotonic() - began

    async def first_told(self, demand, path, method="GET", model=""):
        """Have a target named its limit to some entry host; return the moment."""
        seen = len(demand.arrivals)
        while len(demand.arrivals) == seen:
            await self.ask(path, method, model=model)
        return time.monotonic()

    async def limited_head(self, limit):
        """Name a limit at the head of one of two groups; return its demand and the model."""
        model = await self.model_with_two_groups()
        for entry in self.site.entries:
            await until(lambda e=entry: len(e.candidates("pool", model)) > 1)
        head = self.entry.candidates("pool", model)[0].host.instance.name
        demand = self.site.engines.host_by_instance[head].demand
        demand.limit = limit
        return demand, model

    def assert_kept_and_used(self, demand, limit, told, seconds):
        most = most_in_window(demand.arrivals, told + NEWS_TAKES)
        self.assertLessEqual(most, allowed(limit))
        used = sum(told <= at < told + seconds for at in demand.arrivals)
        self.assertGreaterEqual(used, limit * seconds / 2)

    async def test_head_of_a_group_gets_no_more_than_its_limit_from_all_entry_hosts(self):
        demand, model = await self.limited_head("1.2")
        told = await self.first_told(demand, "/read/x", "POST", model)
        answers = await self.press(12, 7.0, "/read/x", "POST", model)
        self.assert_kept_and_used(demand, 1.2, told, 7.0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})

    async def test_plain_target_gets_no_more_than_its_limit_from_all_entry_hosts(self):
        demand = self.site.targets[0].demand
        demand.limit = "1"
        told = await self.first_told(demand, "/scan/x")
        answers = await self.press(12, 7.0, "/scan/x")
        self.assert_kept_and_used(demand, 1.0, told, 7.0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})
