"""A store outage that ends with a restore from a backup that is some seconds old."""

import asyncio
import json
import time
import unittest

import msgspec
from oleanderhill_dev.users.site import configuration, until

from oleanderhill.outcomes import Ran
from oleanderhill.serving.quarantine import QUARANTINE_PREFIX, QuarantineRecord, Subjects

from .test_users_site import SiteTest

KEYS = {"hall": ["key-a"], "yard": ["key-b"]}

PROPAGATION_SECONDS = 2.0
"""Seconds within which all entry hosts must apply a write of the operator or of a target."""

REWRITE_SECONDS = 1.0
"""Seconds within which the operator repeats the lost writes."""

LOST_WRITES = 3_000
"""Writes between backup and outage, by which the revisions of the new generation lag behind."""

OUTAGE_SECONDS = 1.0
"""Duration of the outage in seconds."""


class RestoredTest(SiteTest):
    entries = 3

    async def restore(self, backup, refuses=False):
        """Restore the store from a backup after an outage in which it hangs or refuses calls."""
        store = self.site.store
        for number in range(LOST_WRITES):
            store.put("elsewhere", str(number).encode())
        await self.until_known(store.revision)
        store.faults.silent, store.faults.status = not refuses, 503 if refuses else 0
        await asyncio.sleep(OUTAGE_SECONDS)
        store.restore(backup)
        store.faults.silent, store.faults.status = False, 0

    async def until_known(self, revision):
        for entry in self.site.entries:
            await until(lambda e=entry: e._mirror.log.revision.number >= revision)

    def versions(self):
        return [entry._catalog.version for entry in self.site.entries]

    async def test_configurations_after_the_restore_come_into_force_and_none_goes_back(self):
        backup = self.site.store.take_backup()
        self.site.configure(2, KEYS)
        await until(lambda: self.versions() == [2, 2, 2])
        seen = set()
        await self.restore(backup)
        written = time.monotonic()
        while time.monotonic() < written + REWRITE_SECONDS:
            seen.update(self.versions())
            await asyncio.sleep(0.02)
        self.assertEqual(seen, {2})
        self.site.configure(2, KEYS)
        self.site.configure(3, KEYS, pay_prefix="/pay-here/")
        await until(lambda: self.versions() == [3, 3, 3], PROPAGATION_SECONDS)

    async def test_target_that_says_that_it_leaves_after_the_restore_gets_no_requests(self):
        await self.restore(self.site.store.take_backup())
        await asyncio.sleep(REWRITE_SECONDS)
        key = "servers/t-0"
        entry = json.loads(self.site.store.items[key].value) | {"state": "draining"}
        self.site.store.put(key, json.dumps(entry).encode())

        def known():
            return [len(e.candidates("desk", "")) for e in self.site.entries] == [1, 1, 1]

        await until(known, PROPAGATION_SECONDS)

    async def test_key_that_was_taken_away_after_the_restore_is_dead(self):
        backup = self.site.store.take_backup()
        await self.restore(backup)
        await asyncio.sleep(REWRITE_SECONDS)
        self.site.store.put("op/config", configuration(2, {"hall": ["key-a"], "yard": []}))
        await asyncio.sleep(PROPAGATION_SECONDS)
        for entry in self.site.entries:
            self.assertEqual((await self.reply("/scan/x", key="key-b", entry=entry))[0].status, 401)
            self.assertEqual((await self.reply("/scan/x", entry=entry))[0].status, 200)

    async def test_group_formed_since_the_backup_goes_on_and_is_not_named_again(self):
        model = await self.model_with_two_groups()
        epochs = {h.group["epoch"] for h in self.engines() if h.group}
        backup = self.site.store.take_backup()
        for key in [k for k in backup.items if "plan" in k]:
            del backup.items[key]
        await self.settled()
        heads = self.heads(model)
        self.assertEqual(len(heads), 2)
        leaves = self.leaves()
        serving = asyncio.create_task(
            self.send_at_rate(10, OUTAGE_SECONDS + 5.0, "/read/x", "POST", model)
        )
        await self.restore(backup, refuses=True)
        answers = await serving
        self.assertEqual({reply.status for reply, _ in answers}, {200})
        self.assertEqual((self.heads(model), self.leaves()), (heads, leaves))
        plan = next(iter(self.entry._plans.by_key.values()))
        self.assertEqual(plan.generation, self.site.store.generation)
        self.assertGreater(plan.last_epoch, max(epochs) + 500)

    def engines(self):
        return self.site.engines.host_by_instance.values()

    def heads(self, model):
        return {c.host.instance.name for c in self.entry.candidates("pool", model)}

    def leaves(self):
        return sum(o["operation"] == "leave" for h in self.engines() for o in h.orders)

    async def settled(self):
        """Wait until spares have warmed up and left, and no more orders are sent."""
        orders = -1
        while orders != (orders := sum(len(h.orders) for h in self.engines())):
            await asyncio.sleep(2.0)

    async def test_entry_hosts_stay_present_and_one_reads_for_all(self):
        backup = self.site.store.take_backup()
        for key in [k for k in backup.items if "entry" in k]:
            del backup.items[key]
        present_counts = []

        async def sample_present():
            while True:
                present_counts.append(min(len(e._presence.alive()) for e in self.site.entries))
                await asyncio.sleep(0.01)

        sampling = asyncio.create_task(sample_present())
        await self.restore(backup)
        await asyncio.sleep(4.0)
        sampling.cancel()
        self.assertEqual(min(present_counts), 3)
        calls = [dict(e._store.calls_by_kind) for e in self.site.entries]
        await asyncio.sleep(2.0)
        reading = [
            e._store.calls_by_kind.get("changes", 0) - c.get("changes", 0)
            for e, c in zip(self.site.entries, calls, strict=True)
        ]
        self.assertEqual(sum(bool(n) for n in reading), 1)

    async def test_backup_taken_just_before_hides_nothing_though_its_revisions_come_again(self):
        for version in (2, 3, 4):
            backup = self.site.store.take_backup()
            store = self.site.store
            store.put("elsewhere", b"lost")
            await self.until_known(store.revision)
            store.restore(backup)
            self.site.configure(version, KEYS)
            store.put("elsewhere", b"again")
            await until(lambda v=version: self.versions() == [v, v, v], PROPAGATION_SECONDS)

    async def test_quarantine_that_the_backup_lacks_holds_and_is_written_again(self):
        backup = self.site.store.take_backup()
        record = QuarantineRecord("entry-0", {"a@1": {}, "b@1": {}, "c@1": {}}, True)
        key = QUARANTINE_PREFIX + "0f" * 16
        self.site.store.put(key, msgspec.json.encode(record))
        entries = self.site.entries

        subjects = Subjects("0f" * 16)

        def refused():
            return [e._quarantine.rejection_for(subjects, Ran.NO) is not None for e in entries]

        await until(lambda: refused() == [True, True, True])
        await self.restore(backup)
        await until(lambda: key in self.site.store.items, 6.0)
        self.assertEqual(refused(), [True, True, True])


if __name__ == "__main__":
    unittest.main()
