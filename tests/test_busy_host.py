"""One entry host that gets most new connections of all callers."""

import asyncio
import random
from unittest import mock

from oleanderhill_dev.users.site import SMALL
from returns.pipeline import is_successful

from oleanderhill.serving import admission_class
from oleanderhill.serving.admission_class import AdmissionClass, QueueLimit

from .test_users_site import SiteTest

RATE = 25.0
SECONDS = 4.0


class BusyHostTest(SiteTest):
    hosts = 12
    entries = 3

    async def served_share(self, entries, seconds=SECONDS):
        """Return the share of first attempts that are served, each on a new connection."""
        rng, asked = random.Random(1), []
        for number in range(int(seconds * RATE)):
            deadline = str(round(4000 * rng.uniform(0.85, 1.0)))
            entry = entries[number % len(entries)]
            request = self.ask("/read/x", "POST", entry=entry, model=SMALL, Deadline_Ms=deadline)
            asked.append(asyncio.create_task(request))
            await asyncio.sleep(1 / RATE)
        results = [result for result, _ in await asyncio.gather(*asked)]
        served = [r for r in results if is_successful(r) and r.unwrap().status == 200]
        return len(served) / len(results)

    async def test_host_with_most_new_connections_serves_first_attempts_as_before(self):
        # Retries find no room here, so an attempt that is taken for one is refused.
        limits = dict(admission_class.ENGINE_QUEUE_LIMITS)
        limits[AdmissionClass.LATE] = QueueLimit(0.0, 0)
        with mock.patch.object(admission_class, "ENGINE_QUEUE_LIMITS", limits):
            await self.served_share(self.site.entries, 1.0)
            spread = await self.served_share(self.site.entries)
            busy = await self.served_share(self.site.entries[:1])
        self.assertGreater(busy, 0.75)
        self.assertGreaterEqual(busy, 0.75 * spread)
