"""Reads of the store and their relay between entry hosts."""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from oleanderhill_dev.bench_site import free_address
from oleanderhill_dev.users.site import StandInSite, until
from returns.pipeline import is_successful
from returns.result import Failure, Success

from oleanderhill.clients.changelog import ChangeLog
from oleanderhill.clients.freshness import Freshness
from oleanderhill.clients.httpcall import HttpCaller
from oleanderhill.clients.keyed import KeyedCopy
from oleanderhill.clients.mirror import Mirror, Subscription
from oleanderhill.clients.relay import PeerSource, RelayServer
from oleanderhill.clients.storage import (
    NEVER,
    Change,
    Changes,
    HistoryLostError,
    Listing,
    Revision,
)
from oleanderhill.clients.store_reads import (
    CHECK_INTERVAL,
    MISSED_CHANGES_WINDOW,
    ReadResult,
    StoreSource,
)
from oleanderhill.clock import boottime_seconds
from oleanderhill.exceptions import (
    NoStoreCopyError,
    StoreAnswerLostError,
    StoreConnectionClosedError,
    StoreUnavailableError,
)
from oleanderhill.groups.ownership import (
    Presence,
    decode_presence,
    encode_presence,
    preferred_owner,
)
from oleanderhill.groups.readers import (
    ReadingSources,
    main_reader,
    peers_to_ask,
    reader_of,
    reads_store,
)
from oleanderhill.kernel import Kernel
from oleanderhill.records import Records
from oleanderhill.serving.reports import aggregator_ranking


def rev(number, generation=1):
    return Revision(generation, number)


class ChangeLogTest(unittest.TestCase):
    @given(
        st.lists(
            st.lists(st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.binary()))),
            min_size=1,
        ),
        st.data(),
    )
    def test_content_and_changes_lead_to_the_same(self, readings, data):
        # A peer that applies the content of any read and all later changes ends up with the content
        # of the host that applied every read.
        log = ChangeLog()
        start = data.draw(st.integers(0, len(readings) - 1))
        held, after = {}, NEVER
        for revision, changes in enumerate(readings, 1):
            log.apply(rev(revision), [Change(k, v, rev(revision)) for k, v in changes])
            if revision - 1 == start:
                held, after = {c.key: c.value for c in log.content()}, rev(revision)
        for change in log.since(after):
            held[change.key] = change.value
        held = {k: v for k, v in held.items() if v is not None}
        self.assertEqual(held, {c.key: c.value for c in log.content()})

    def test_content_read_anew_is_told_as_changes(self):
        log = ChangeLog()
        log.replace(rev(5), [Change("a", b"1", rev(3)), Change("b", b"1", rev(4))])
        log.replace(rev(9), [Change("a", b"1", rev(3)), Change("c", b"1", rev(8))])
        logged = {c.key: c.value for c in log.since(rev(5))}
        self.assertEqual(logged, {"b": None, "c": b"1"})

    def test_what_is_no_longer_kept_is_not_made_up(self):
        log = ChangeLog()
        log.apply(rev(10), [])
        self.assertIsNone(log.since(rev(9)))
        self.assertEqual(log.since(rev(10)), [])


class ReaderTest(unittest.TestCase):
    def setUp(self):
        self.alive = {f"e{n}": Presence(f"e{n}", "l", f"x:{n}", "ab"[n % 2]) for n in range(8)}

    def test_one_host_reads_the_store_for_all(self):
        # One host reads the store for all data centres, rather than one host in each.
        reading = [p for p in self.alive.values() if reads_store(p, self.alive)]
        self.assertEqual(reading, [main_reader(self.alive)])

    def test_duties_for_many_fall_to_strong_machines(self):
        # Guards against a weak reader. If a host with half a core and a slow link reads the store
        # for 38 peers after a power failure, they wait two seconds for their first content and
        # reject requests meanwhile.
        strong = {"e2", "e3"}
        alive = {
            p.name: p._replace(strength=200.0 if p.name in strong else 10.0)
            for p in self.alive.values()
        }
        self.assertEqual({reader_of(d, alive).name for d in "ab"}, strong)
        self.assertEqual({aggregator_ranking(d, alive)[0] for d in "ab"}, strong)
        self.assertIn(preferred_owner("d0", alive), strong)
        # In a data centre with one strong host, the second aggregator is a weaker host.
        self.assertEqual(len(aggregator_ranking("a", alive)), 2)
        del alive["e2"], alive["e3"]
        self.assertIsNotNone(reader_of("a", alive))

    def test_every_way_of_asking_ends_at_the_main_reader(self):
        # A host asks the reader of its data centre, and that reader asks the main reader. In a
        # cycle all would wait for each other and then read the store one by one.
        main = main_reader(self.alive)
        for me in self.alive.values():
            first = peers_to_ask(me, self.alive)[0]
            if me == reader_of(me.data_centre, self.alive) and me != main:
                self.assertEqual(first, main)
            elif me != main:
                self.assertEqual(first, reader_of(me.data_centre, self.alive))

    def test_every_host_can_turn_to_another_data_centre(self):
        for me in self.alive.values():
            peers = peers_to_ask(me, self.alive)
            self.assertIn(reader_of("b" if me.data_centre == "a" else "a", self.alive), peers)
            self.assertNotIn(me, peers)

    def test_host_that_knows_nobody_reads_the_store(self):
        self.assertTrue(reads_store(self.alive["e0"], {}))
        self.assertEqual(peers_to_ask(self.alive["e0"], {}), [])


NO_CHANGES = Success(Changes(rev(9), []))


class FakeStore:
    """A fake store with configurable results of watches and freshness checks.

    :param answers: results of successive watches; the last one repeats
    """

    def __init__(self, unchanged=True, answers=(NO_CHANGES,), delay=0.0):
        self.unchanged_now, self.answers, self.delay = unchanged, list(answers), delay
        self.checks = 0
        self.checked_at = 0.0

    async def changes(self, after):
        await asyncio.sleep(self.delay)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def unchanged(self, expected):
        self.checks += 1
        self.checked_at = boottime_seconds()
        return Success(self.unchanged_now)

    async def list(self, prefix):
        return Success(Listing(rev(12), []))


class ProofTest(unittest.IsolatedAsyncioTestCase):
    """Freshness checks during reads. With them, a partitioned data centre rejects requests later.

    A read alone verifies the content only as of 1.3 s earlier, because a store that is about to
    drop its history sends nothing for a second. Without checks, 2 s of the 4.3 s for which a
    verification is valid have passed when a partition begins: requests are rejected 2.4 s after
    it, retried and rejected again.
    """

    def setUp(self):
        self.proved = []
        self.notes = []

    def source(self, shelf, checks=True):
        held = {"configuration": rev(7)}
        records = SimpleNamespace(note=lambda part, what, **facts: self.notes.append((what, facts)))
        source = StoreSource(shelf, ["a/"], lambda: held, self.proved.append, records)
        source.run_freshness_checks = checks
        return source

    async def test_unchanged_configuration_is_proved_as_of_the_question(self):
        asked, shelf = boottime_seconds(), FakeStore(delay=0.02)
        await self.source(shelf).read(rev(9), asked)
        (proved,) = self.proved
        self.assertGreaterEqual(proved, asked)
        self.assertLessEqual(proved, shelf.checked_at)

    async def test_without_such_an_answer_the_proof_is_that_of_the_reading(self):
        for shelf, checks in ((FakeStore(unchanged=False), True), (FakeStore(), False)):
            found = await self.source(shelf, checks).read(rev(9), 100.0)
            await asyncio.sleep(0.02)
            self.assertEqual(
                (found.unwrap().verified_at, self.proved), (100.0 - MISSED_CHANGES_WINDOW, [])
            )

    async def test_what_a_check_shows_and_a_watch_given_up_are_in_the_log(self):
        source = self.source(FakeStore(unchanged=False, delay=2.0))
        await source.read(rev(9), 100.0)
        await asyncio.sleep(0.02)
        self.assertEqual([what for what, _ in self.notes], ["checked", "watch given up"])
        self.assertEqual(self.notes[0][1]["held"], {"configuration": rev(7)})

    async def test_configuration_is_proved_again_while_the_reading_hangs(self):
        # Without checks during a hanging read, the reader's last check becomes too old, and sixty
        # hosts read the store concurrently.
        reading = asyncio.create_task(self.source(FakeStore(delay=5.0)).read(rev(9), 100.0))
        await asyncio.sleep(CHECK_INTERVAL + 0.1)
        reading.cancel()
        self.assertEqual(len(self.proved), 2)

    async def test_hurried_readings_are_not_each_paid_for_twice(self):
        shelf = FakeStore(delay=0.01)
        source = self.source(shelf)
        for _ in range(8):
            await source.read(rev(9), 100.0)
        self.assertEqual(shelf.checks, 1)

    async def test_reader_that_is_cut_asks_the_store_again_before_anybody_else(self):
        # The store drops its history: it sends nothing for a second and then closes the connection
        # of the main reader. If that reader asked a peer, which waits for it in turn, it would read
        # the store only when the last check is 4.3 s old, and all hosts would reject requests for a
        # second.
        lost = [Failure(StoreConnectionClosedError("closed")), Failure(HistoryLostError())]
        found = await self.source(FakeStore(answers=lost)).read(rev(9), 100.0)
        self.assertTrue(found.unwrap().full)

    async def test_reader_that_is_told_nothing_of_a_change_reads_everything(self):
        # Keys are removed while the store sends watchers nothing. With neither a valid check nor
        # changes from the reader, 86 peers would each read the whole content from the store.
        shelf = FakeStore(unchanged=False, delay=5.0)
        began = boottime_seconds()
        found = await self.source(shelf).read(rev(9), began)
        self.assertTrue(found.unwrap().full)
        self.assertLess(boottime_seconds() - began, 1.0)

    async def test_reader_that_is_told_of_a_change_takes_what_it_is_told(self):
        found = await self.source(FakeStore(unchanged=False, delay=0.1)).read(rev(9), 100.0)
        self.assertFalse(found.unwrap().full)

    async def test_silent_store_is_not_asked_twice_in_a_row(self):
        lost = [Failure(StoreAnswerLostError("timeout")), NO_CHANGES]
        self.assertFalse(
            is_successful(await self.source(FakeStore(answers=lost)).read(rev(9), 100.0))
        )


class SourcesTest(unittest.IsolatedAsyncioTestCase):
    async def test_outage_is_not_asked_about_by_all_the_time(self):
        # The store is down and the reader of this data centre has no content. Failed calls are
        # billed too, so sixty hosts must not each call the store four times a second. A host that
        # has a reader to ask backs off from the store for a second, and keeps asking the reader,
        # which detects the recovery first. A reader that doesn't respond is put in back-off too.
        me, reader = Presence("e1", "l", "x:1", "a"), Presence("e2", "l", "x:2", "a")
        me, reader = sorted((me, reader), key=lambda p: p == self.reader(me, reader))
        sources = self.sources(me, reader)
        first, store = await sources.in_order(10.0)
        self.assertEqual((first.name, store.name), (reader.name, "store"))
        sources.failed(first, NoStoreCopyError(first.name), 10.0)
        sources.failed(store, StoreUnavailableError("status 503"), 10.0)
        self.assertEqual(await self.names(sources, 10.5), [])
        self.assertEqual(await self.names(sources, 11.1), [reader.name])
        self.assertEqual(await self.names(sources, 12.1), [reader.name, "store"])

    async def test_silence_of_the_reader_leaves_time_to_read_the_store(self):
        # The reader is dead, and its peer has waited over a second for it. Asking another peer,
        # which may be dead too, could take as long again, and the change would be applied late.
        me, reader = Presence("e1", "l", "x:1", "a"), Presence("e2", "l", "x:2", "a")
        me, reader = sorted((me, reader), key=lambda p: p == self.reader(me, reader))
        sources = self.sources(me, reader, Presence("e3", "l", "x:3", "b"))
        first, other, store = await sources.in_order(10.0)
        self.assertEqual((first.name, other.name, store.name), (reader.name, "e3", "store"))
        sources.failed(first, StoreUnavailableError("timeout"), 11.1)
        self.assertEqual(await self.names(sources, 11.1), ["store", "e3"])
        self.assertEqual(await self.names(sources, 11.8), ["e3", "store"])

    async def test_reader_with_nothing_to_give_leaves_time_to_read_the_store(self):
        # The main reader is frozen. The reader of this data centre waits for it, and answers its
        # peer after most of a second that it has no changes. If the peer asked the frozen host
        # next, it would apply a change only after 2.0 s, the bound; it reads the store instead.
        me, reader = Presence("e1", "l", "x:1", "a"), Presence("e2", "l", "x:2", "a")
        me, reader = sorted((me, reader), key=lambda p: p == self.reader(me, reader))
        sources = self.sources(me, reader, Presence("e3", "l", "x:3", "b"))
        first, *_ = await sources.in_order(10.0)
        sources.failed(first, NoStoreCopyError(first.name), 10.85)
        self.assertEqual(await self.names(sources, 10.85), ["store", "e3"])

    async def test_reader_goes_on_asking_the_store(self):
        me, reader = Presence("e1", "l", "x:1", "a"), Presence("e2", "l", "x:2", "a")
        reader = self.reader(me, reader)
        sources = self.sources(reader, me if reader.name == "e2" else me._replace(name="e2"))
        (store,) = await sources.in_order(10.0)
        sources.failed(store, StoreUnavailableError("status 503"), 10.0)
        self.assertEqual(await self.names(sources, 10.1), ["store"])

    def reader(self, *presences):
        return reader_of("a", {p.name: p for p in presences})

    def sources(self, me, *others):
        entries = KeyedCopy(decode_presence, Records("here"))
        for presence in (me, *others):
            entries.put(presence.name, encode_presence(presence), rev(1))
        sources = ReadingSources(
            me, None, [], entries, HttpCaller(), dict, print, Records("entry-0")
        )
        sources._presences_loaded = True
        return sources

    async def names(self, sources, now):
        return [s.name for s in await sources.in_order(now)]


class _FakeSource:
    name = "store"

    def __init__(self):
        self.readings = []
        self.asked = []

    async def read(self, after, began):
        self.asked.append(after)
        if not self.readings:
            await asyncio.sleep(0.05)
            return Failure(StoreUnavailableError("away"))
        return Success(self.readings.pop(0))


class _FakeSources:
    def __init__(self, *sources):
        self.sources = sources

    async def in_order(self, now):
        return self.sources

    def failed(self, source, error, now):
        pass


def make_mirror(sources, taken, uncertain_until):
    def replace(items, now):
        taken.clear()
        taken.update({i.key: i.value for i in items})

    def change(key, value, revision, now):
        taken[key] = value
        return True

    return Mirror(
        Kernel(),
        sources,
        Freshness(5.0),
        [Subscription("", replace, change)],
        lambda now: None,
        uncertain_until.append,
        2.0,
        Records("here"),
        random.Random(1),
    )


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = _FakeSource()
        self.reader_mirror = make_mirror(_FakeSources(self.store), {}, [])
        address = free_address()
        self.server = RelayServer(Kernel(), address, self.reader_mirror)
        await self.server.start()
        self.peer = PeerSource("near", address, HttpCaller())
        self.addAsyncCleanup(self.server.stop)

    async def ask_and_wait_for_arrival(self, after, now):
        """Ask for changes; return the pending answer once the reader has nothing to send yet."""
        waiting, wait = asyncio.Event(), self.reader_mirror.wait_for_changes

        def wait_for_changes(since, timeout):
            waiting.set()
            return wait(since, timeout)

        with mock.patch.object(self.reader_mirror, "wait_for_changes", wait_for_changes):
            asked = asyncio.ensure_future(self.peer.read(after, now))
            await asyncio.wait_for(waiting.wait(), 5.0)
        return asked

    async def test_proof_is_never_younger_for_having_been_passed_on(self):
        # The reader last verified its content 2 s ago and answers slowly. If a peer took the time
        # of the answer for that of the check, a removed key would be accepted beyond the bound.
        now = boottime_seconds()
        self.reader_mirror._apply_reading(
            ReadResult(rev(7), True, [Change("k", b"1", rev(7))], now - 2.0, now - 1.0)
        )
        asked = boottime_seconds()
        found = (await self.peer.read(None, asked)).unwrap()
        self.assertLessEqual(found.verified_at, now - 2.0 + 0.001)
        self.assertLessEqual(found.read_at, now - 1.0 + 0.001)
        self.assertEqual(found.changes, [Change("k", b"1", rev(7))])

    async def test_what_the_reader_writes_itself_reaches_its_peers(self):
        # The reader of a data centre also owns a fabric domain and forms groups there. It holds its
        # plan from the time of its own write, so the read that returns the plan changes nothing for
        # it. If the change were not relayed for that reason, peers would send no requests to these
        # groups until their next read of the whole content.
        copy = KeyedCopy(lambda value: value, Records("here"))
        mirror = make_mirror(_FakeSources(self.store), {}, [])
        mirror._subscriptions = [Subscription("", copy.replace, copy.change)]
        mirror._apply_reading(ReadResult(rev(10), True, [Change("plan", b"old", rev(9))], 0.0, 0.0))
        copy.put("plan", b"new", rev(12))
        mirror._apply_reading(
            ReadResult(rev(14), False, [Change("plan", b"new", rev(12))], 0.0, 0.0)
        )
        self.assertEqual(list(mirror.log.since(rev(10))), [Change("plan", b"new", rev(12))])

    async def test_question_waits_for_news(self):
        now = boottime_seconds()
        self.reader_mirror._apply_reading(ReadResult(rev(7), True, [], now, now))
        asked = asyncio.ensure_future(self.peer.read(rev(7), now))
        await asyncio.sleep(0.1)
        self.assertFalse(asked.done())
        self.reader_mirror._apply_reading(
            ReadResult(rev(9), False, [Change("k", b"2", rev(8))], now, now)
        )
        found = (await asked).unwrap()
        self.assertEqual((found.revision, found.changes), (rev(9), [Change("k", b"2", rev(8))]))

    async def test_host_that_is_behind_takes_nothing_back(self):
        # The peer read the store itself and is ahead of the host that it asks. It retains its
        # content and does not revert to that host's revision.
        now = boottime_seconds()
        self.reader_mirror._apply_reading(
            ReadResult(rev(7), True, [Change("k", b"1", rev(7))], now, now)
        )
        asked = await self.ask_and_wait_for_arrival(rev(9), now)
        self.reader_mirror._apply_reading(ReadResult(rev(8), False, [], now, now))
        found = (await asked).unwrap()
        self.assertEqual((found.revision, list(found.changes)), (rev(9), []))

    async def test_peers_hear_of_a_proof_though_the_reading_hangs(self):
        # The store is about to drop its history, so the read hangs. If the reader sent its
        # freshness check only with changes, sixty hosts would each read the store without a result.
        now = boottime_seconds()
        self.reader_mirror._apply_reading(ReadResult(rev(7), True, [], now - 2.0, now))
        asked = asyncio.ensure_future(self.peer.read(rev(7), now))
        await asyncio.sleep(0.1)
        self.reader_mirror._freshness.record_verified(now + 0.1)
        found = (await asked).unwrap()
        self.assertEqual((found.revision, list(found.changes)), (rev(7), []))
        self.assertLessEqual(found.verified_at, now + 0.1)
        self.assertGreater(found.verified_at, now - 1.0)

    async def test_host_that_can_not_read_says_so_in_time(self):
        # The reader of this data centre is partitioned from the store. The peer gets a failure soon
        # enough to read the store itself well within the bound of 2 s.
        now = boottime_seconds()
        self.reader_mirror._apply_reading(ReadResult(rev(7), True, [], now, now))
        before = boottime_seconds()
        found = await self.peer.read(rev(7), before)
        self.assertFalse(is_successful(found))
        self.assertLess(boottime_seconds() - before, 1.2)

    async def test_entries_that_may_come_back_are_doubted_at_the_peer_too(self):
        # Host entries expired during an outage of the store. A peer that reads only from another
        # host did not observe the outage; unless it learns that entries may reappear, it would
        # treat their groups as gone.
        now = boottime_seconds()
        self.reader_mirror._mark_uncertain(now + 2.0)
        self.reader_mirror._apply_reading(ReadResult(rev(7), True, [], now, now))
        uncertain_until = []
        peer_mirror = make_mirror(_FakeSources(self.peer), {}, uncertain_until)
        await peer_mirror._read()
        self.assertAlmostEqual(uncertain_until[-1], now + 2.0, delta=0.3)

    async def test_outage_is_known_before_what_it_removed_is_taken(self):
        # The first read after an outage contains the removals that the outage caused.
        taken, uncertain_until = {}, []
        mirror = make_mirror(_FakeSources(self.store), taken, uncertain_until)
        order = []
        mirror._on_uncertain = lambda until: order.append("doubt")
        mirror._on_applied = lambda now: order.append("taken")
        now = boottime_seconds()
        self.store.readings = [ReadResult(rev(1), True, [], now, now)]
        await mirror._read()
        _, error = await mirror._read()
        mirror._disconnect(error)
        self.store.readings = [ReadResult(rev(2), False, [], now, now)]
        await mirror._read()
        self.assertEqual(order, ["taken", "doubt", "taken"])


class ReaderLostTest(unittest.IsolatedAsyncioTestCase):
    async def test_configuration_is_in_force_in_time_though_the_reader_is_gone(self):
        # Of three entry hosts in one data centre, the reader stops without notice right before a
        # key is removed. The others detect that it doesn't answer, read the store themselves, and
        # apply the change within the bound of 2 s.
        site = StandInSite()
        await site.start(hosts=6, entries=3)
        self.addAsyncCleanup(site.stop)
        await until(lambda: all(len(e._presence.alive()) == 3 for e in site.entries))
        name = reader_of("hall", site.entries[0]._presence.alive()).name
        reader = next(e for e in site.entries if e._settings.host == name)
        others = [e for e in site.entries if e is not reader]
        site.entries.remove(reader)
        await reader.kernel.stop()
        site.configure(2, {"hall": ["key-new"]})
        await until(lambda: all(e._catalog.version == 2 for e in others), 2.0)

    async def test_followers_ask_little_of_the_store(self):
        # Reads of the store by 3 hosts in 3 s: 18 if each reads for itself, 6 with one reader.
        site = StandInSite()
        await site.start(hosts=6, entries=3)
        self.addAsyncCleanup(site.stop)
        await until(lambda: all(len(e._presence.alive()) == 3 for e in site.entries))
        await asyncio.sleep(2.5)

        def readings():
            return [e._store.calls_by_kind.get("changes", 0) for e in site.entries]

        before = readings()
        await asyncio.sleep(3.0)
        grown = [b - a for a, b in zip(before, readings(), strict=True)]
        self.assertEqual(sorted(grown)[:2], [0, 0])
        self.assertLessEqual(sum(grown), 13)


if __name__ == "__main__":
    unittest.main()
