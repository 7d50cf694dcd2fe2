"""Requests that reach an entry host late in its shutdown, on stand-ins for the users' platform."""

import asyncio
from unittest import mock

from oleanderhill_dev.users.site import LARGE, StandInSite, until

from oleanderhill.serving import front

from .test_users_site import SiteTest

GRACE_SECONDS = 3.0
LISTENING_SECONDS = 0.3
EVENTS_PER_SECOND = 40
"""Upper bound; the stand-in pauses for 20 ms after each event."""


class ShortGraceSite(StandInSite):
    """A site whose entry hosts have a short grace period."""

    def settings(self, name, data_centre="hall"):
        return super().settings(name, data_centre)._replace(grace_seconds=GRACE_SECONDS)


class LateTest(SiteTest):
    make_site = ShortGraceSite

    async def asyncSetUp(self):
        patch = mock.patch.object(front, "STOP_LISTENING_AFTER", LISTENING_SECONDS)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        self.lines = []
        note = self.entry._records.note

        def record(part, what, **fields):
            self.lines.append((what, fields))
            note(part, what, **fields)

        patch = mock.patch.object(self.entry._records, "note", record)
        patch.start()
        self.addCleanup(patch.stop)

    def found(self, what):
        return [fields for name, fields in self.lines if name == what]

    def runs(self, request_id):
        return [r for r in self.site.engines.runs if r.request_id == request_id]

    def counted(self, outcome):
        text = self.entry.exposition.text().decode()
        lines = (line for line in text.splitlines() if f'outcome="{outcome}"' in line)
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if "_total{" in line)


class OutlastedTest(LateTest):
    async def test_stream_that_its_process_cuts_off_has_a_line_with_its_times(self):
        self.site.engines.events_per_stream = int(GRACE_SECONDS * 2 * EVENTS_PER_SECOND)
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=LARGE))
        await until(lambda: self.runs("request-1"))
        await self.entry.front.drain()
        await asked
        (line,) = self.found("outlasted")
        self.assertEqual((line["request_id"], line["route"]), ("request-1", "read"))
        self.assertLessEqual(line["after_stop_ms"], 0)
        self.assertGreater(line["deadline_left_ms"], 0)
        self.assertEqual(len(line["path"]), 1)
        self.assertEqual(self.counted("outlasted"), 1)
