"""Tests of an entry host's presence in the store and of retries when the store rejects calls."""

import asyncio
import random
import unittest
from unittest.mock import patch

from returns.result import Failure, Success

from oleanderhill.clients.keyed import KeyedCopy
from oleanderhill.exceptions import StoreUnavailableError
from oleanderhill.groups import presence
from oleanderhill.groups.ownership import Presence, decode_presence
from oleanderhill.groups.presence import LEASE_SECONDS, PresenceTask, renew_retry_delay
from oleanderhill.kernel import Kernel
from oleanderhill.records import Records


class StubStore:
    """A store that grants leases, and rejects all calls while ``refuses`` is set."""

    def __init__(self):
        self.refuses = False
        self.refused = 0
        self.renewed = 0

    def _answer(self, value):
        if self.refuses:
            self.refused += 1
            return Failure(StoreUnavailableError("status 503"))
        return Success(value)

    async def grant(self, seconds):
        return self._answer(7)

    async def commit(self, expected, writes):
        return self._answer(9)

    async def renew(self, lease):
        self.renewed += not self.refuses
        return self._answer(None)


class RetryTest(unittest.TestCase):
    def test_one_lost_answer_leaves_time_for_others_within_the_lease(self):
        waits = [renew_retry_delay(n) for n in range(1, 4)]
        self.assertLess(presence.RENEW_INTERVAL + sum(waits), LEASE_SECONDS)

    def test_pause_grows_and_stays_bounded(self):
        waits = [renew_retry_delay(n) for n in range(1, 2000)]
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[-1], presence.MAX_RETRY_SECONDS)


class RefusedTest(unittest.IsolatedAsyncioTestCase):
    async def test_store_that_refuses_for_long_is_asked_less_and_less(self):
        # The store rejects a third of the hosts for nine seconds. With a retry every 0.27 s each
        # host made 34 calls, and each rejected call costs as much as a served one. With growing
        # pauses there are 12, and the host is present again as soon as the store accepts a call.
        me = Presence("e1", "life", "10.0.0.1:1", "a")
        store, entries = StubStore(), KeyedCopy(decode_presence, Records("e1"))
        task = PresenceTask(Kernel(), me, store, entries, Records("e1"), random.Random(1))
        slept = []
        sleep = asyncio.sleep

        async def skip_sleep(seconds):
            slept.append(seconds)
            await sleep(0)
            if sum(slept) > 9.0:
                store.refuses = False

        with patch.object(presence.asyncio, "sleep", skip_sleep):
            await task._acquire_lease()
            store.refuses = True
            holding = asyncio.ensure_future(task._hold_lease())
            for _ in range(100):
                await sleep(0)
                if store.renewed:
                    break
            holding.cancel()
        self.assertTrue(store.renewed)
        self.assertLess(store.refused, 14)


if __name__ == "__main__":
    unittest.main()
