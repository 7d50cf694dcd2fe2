"""Targets that say in their answers that they leave, while the store still lists them as ready."""

import unittest

from oleanderhill_dev.users.site import until

from .test_users_site import SiteTest

ON_ITS_WAY = 0.5
"""Seconds after an answer in which requests that had left before may still arrive, and in which the
other entry hosts must hear of it."""


class LeavingTest(SiteTest):
    entries = 2

    async def two_groups(self):
        """Return the heads of two groups that all entry hosts see, and their model."""
        model = await self.model_with_two_groups()
        for entry in self.site.entries:
            await until(lambda e=entry: len(e.candidates("pool", model)) > 1)
        by_instance = self.site.engines.host_by_instance
        found = self.entry.candidates("pool", model)
        return [by_instance[c.host.instance.name] for c in found], model

    def assert_left_alone(self, demand, told, answers):
        late = [at for at in demand.arrivals if at > told + ON_ITS_WAY]
        self.assertEqual(len(late), 0)
        self.assertEqual({reply.status for reply, _ in answers}, {200})

    async def test_plain_target_that_leaves_by_its_answers_alone_gets_no_requests(self):
        demand = self.site.targets[0].demand
        demand.leaving = True
        told = await self.first_told(demand, "/scan/x")
        answers = await self.press(20, 2.5, "/scan/x")
        self.assert_left_alone(demand, told, answers)

    async def test_head_that_leaves_by_its_answers_alone_gets_no_requests(self):
        heads, model = await self.two_groups()
        heads[0].demand.leaving = True
        self.site.engines.pieces = 60
        told = await self.first_told(heads[0].demand, "/read/x", "POST", model)
        answers = await self.press(8, 2.0, "/read/x", "POST", model)
        self.assert_left_alone(heads[0].demand, told, answers)


if __name__ == "__main__":
    unittest.main()
