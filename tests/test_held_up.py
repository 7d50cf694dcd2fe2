"""Entry hosts whose process is held up for a while."""

import asyncio
import time
from unittest import mock

from .test_users_site import SiteTest

HELD_UP_SECONDS = 1.0
"""Longer than a plain target may take, once its usual times are known."""


class HeldUpTest(SiteTest):
    """The targets share the process, so they are held up as well."""

    async def assert_nothing_moves(self, path, method="GET", model="", count=4):
        for _ in range(5):
            await self.send_at_rate(40, 0.2, path, method, model)
        moved = []
        lost = mock.patch.object(
            self.entry._quarantine, "attempt_lost", lambda *a: moved.append(a[1])
        )
        loop = asyncio.get_running_loop()
        with lost:
            for step in range(5):
                asked = [
                    asyncio.ensure_future(self.ask(path, method, model=model)) for _ in range(count)
                ]
                loop.call_later(step * 0.008, time.sleep, HELD_UP_SECONDS)
                for result, _ in await asyncio.gather(*asked):
                    self.assertEqual(result.unwrap().status, 200)
        self.assertEqual(moved, [])

    async def test_requests_to_plain_targets_stay_where_they_are(self):
        await self.assert_nothing_moves("/scan/x")

    async def test_streams_stay_where_they_are(self):
        model = await self.model_with_two_groups()
        await self.assert_nothing_moves("/read/x", "POST", model)
