"""A store that was away and comes back from a copy some seconds old."""

import asyncio
import json
import time
import unittest

from oleanderhill_dev.users.site import configuration, until

from .test_users_site import SiteTest

KEYS = {"hall": ["key-a"], "yard": ["key-b"]}

IN_FORCE = 2.0
"""Seconds after which what the operator or a target wrote must be known to all entry hosts."""

BACK = 1.0
"""Seconds in which the operator writes again what was lost."""

WRITTEN_SINCE = 3_000
"""Writes between the copy and the outage: so far behind are the revisions of the new era."""

AWAY = 1.0
"""Seconds for which the store is away."""


class RestoredTest(SiteTest):
    entries = 3

    async def restore(self, copy):
        """Have the store go away and come back from a copy."""
        store = self.site.store
        for number in range(WRITTEN_SINCE):
            store.put("elsewhere", str(number).encode())
        await self.until_known(store.revision)
        store.faults.silent = True
        await asyncio.sleep(AWAY)
        store.restore(copy)
        store.faults.silent = False

    async def until_known(self, revision):
        for entry in self.site.entries:
            await until(lambda e=entry: (e._mirror.log.revision or 0) >= revision)

    def versions(self):
        return [entry._catalog.version for entry in self.site.entries]

    async def test_configurations_after_the_return_come_into_force_and_none_goes_back(self):
        copy = self.site.store.copy()
        self.site.configure(2, KEYS)
        await until(lambda: self.versions() == [2, 2, 2])
        seen = set()
        await self.restore(copy)
        written = time.monotonic()
        while time.monotonic() < written + BACK:
            seen.update(self.versions())
            await asyncio.sleep(0.02)
        self.assertEqual(seen, {2})
        self.site.configure(2, KEYS)
        self.site.configure(3, KEYS, pay_prefix="/pay-here/")
        await until(lambda: self.versions() == [3, 3, 3], IN_FORCE)

    async def test_target_that_says_that_it_leaves_after_the_return_gets_no_requests(self):
        await self.restore(self.site.store.copy())
        await asyncio.sleep(BACK)
        key = "servers/t-0"
        entry = json.loads(self.site.store.items[key].value) | {"state": "draining"}
        self.site.store.put(key, json.dumps(entry).encode())

        def known():
            return [len(e.candidates("desk", "")) for e in self.site.entries] == [1, 1, 1]

        await until(known, IN_FORCE)

    async def test_key_that_was_taken_away_after_the_return_is_dead(self):
        copy = self.site.store.copy()
        await self.restore(copy)
        await asyncio.sleep(BACK)
        self.site.store.put("op/config", configuration(2, {"hall": ["key-a"], "yard": []}))
        await asyncio.sleep(IN_FORCE)
        for entry in self.site.entries:
            self.assertEqual((await self.reply("/scan/x", key="key-b", entry=entry))[0].status, 401)
            self.assertEqual((await self.reply("/scan/x", entry=entry))[0].status, 200)


if __name__ == "__main__":
    unittest.main()
