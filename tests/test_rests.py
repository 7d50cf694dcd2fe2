"""Targets that turn a request away and ask to be left alone for a time."""

import asyncio
import time
import unittest

from oleanderhill_dev.users.site import until

from .test_users_site import SiteTest

REST = 3.0
"""Seconds for which the targets here ask to be left alone."""

IN_FLIGHT = 0.5
"""Seconds after the answer in which requests that had left before may still arrive."""


def within_rest(demand):
    """Return how many requests came in the time that the first answer asked to be free of them."""
    first = demand.arrivals[0]
    return sum(first + IN_FLIGHT < at < first + REST for at in demand.arrivals)


class RestTest(SiteTest):
    async def heads(self):
        """Return the heads of two groups of a model, and the model."""
        model = await self.model_with_two_groups()
        found = await until(lambda: self.entry.candidates("pool", model))
        by_instance = self.site.engines.host_by_instance
        return [by_instance[c.host.instance.name] for c in found[:2]], model

    async def test_resting_head_gets_nothing_while_its_streams_go_on(self):
        heads, model = await self.heads()
        self.site.engines.pieces = 200
        streams = [asyncio.create_task(self.ask("/read/x", "POST", model=model)) for _ in range(4)]
        await until(lambda: all(h.demand.arrivals for h in heads))
        self.site.engines.pieces = 10
        demand = heads[0].demand
        demand.arrivals.clear()
        demand.rest = str(REST)
        await self.first_told(demand, "/read/x", "POST", model)
        answers = await self.press(12, REST, "/read/x", "POST", model)
        self.assertEqual(within_rest(demand), 0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})
        await asyncio.gather(*streams)

    async def test_callers_are_refused_at_once_where_all_targets_rest(self):
        # Not run, and a time to come back that is not before the first target's rest is over.
        for target in self.site.targets:
            target.demand.rest = str(REST)
        await until_all_told(self)
        answers = await self.press(20, REST - 1.0, "/scan/x")
        for target in self.site.targets:
            self.assertEqual(within_rest(target.demand), 0)
        for reply, took in answers:
            self.assertEqual(reply.status, 503)
            self.assertLess(took, 0.3)
            self.assertGreater(float(reply.headers["Retry-After"]), 0.5)

    async def test_target_is_used_again_when_its_rest_is_over(self):
        demand = self.site.targets[0].demand
        demand.rest = "1.5"
        told = await self.first_told(demand, "/scan/x")
        demand.rest = ""
        await self.press(12, 3.0, "/scan/x")
        again = min(at for at in demand.arrivals if at > told)
        self.assertAlmostEqual(again - told, 1.5, delta=0.4)


async def until_all_told(test):
    """Send requests until each plain target has turned one away."""
    end = time.monotonic() + 2.0
    while not all(t.demand.arrivals for t in test.site.targets) and time.monotonic() < end:
        await test.press(100, 0.1, "/scan/x")


if __name__ == "__main__":
    unittest.main()
