"""Streams that have neither a length nor chunks and end with their connection."""

from oleanderhill_dev.users.cut_links import Cut
from oleanderhill_dev.users.site import SMALL

from .test_users_site import SiteTest


class UnframedStreamTest(SiteTest):
    hosts = 12
    entries = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.site.engines.unframed = True

    def whole(self):
        events = range(self.site.engines.events_per_stream)
        return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in events)

    async def stream(self):
        result, reader = await self.ask("/read/x", "POST", model=SMALL)
        return result.unwrap().status, reader.body

    async def test_stream_that_ends_with_its_connection_is_whole(self):
        self.assertEqual([await self.stream() for _ in range(3)], [(200, self.whole())] * 3)

    async def test_stream_that_ends_inside_an_event_is_resumed_elsewhere(self):
        self.site.engines.break_at_event = 4
        self.assertEqual(await self.stream(), (200, self.whole()))
        self.assertEqual(len(self.runs(self.request_id)), 2)

    async def test_streams_that_a_peer_passes_on_are_whole_or_resumed_too(self):
        addresses = self.site.target_addresses()
        self.site.links.cut("entry-0", addresses, Cut.REFUSED)
        self.assertEqual(await self.stream(), (200, self.whole()))
        self.site.engines.break_at_event = 4
        self.assertEqual(await self.stream(), (200, self.whole()))
