"""An entry host on stand-ins for the users' platform: store, engine hosts and plain targets."""

import asyncio
import itertools
import json
import time
import unittest
from unittest import mock

from oleanderhill_dev.users.site import LARGE, SMALL, StandInSite, until
from returns.pipeline import is_successful
from tornado.httputil import HTTPHeaders

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.clock import boottime_seconds
from oleanderhill.platform.decoding import decode_configuration, decode_host
from oleanderhill.platform.headers import MAX_UNKNOWN_NAMES, HeaderCodec
from oleanderhill.serving import front

HOST = "yard.example"


class ResponseRecorder(Observer):
    """Records the response that a caller receives and the longest pause in it."""

    def __init__(self):
        self.body = b""
        self.status = 0
        self.longest_pause = 0.0
        self._last = None

    def headers(self, status, headers):
        self.status = status

    def data(self, chunk):
        now = time.monotonic()
        if self._last is not None:
            self.longest_pause = max(self.longest_pause, now - self._last)
        self._last = now
        self.body += chunk


class SiteTest(unittest.IsolatedAsyncioTestCase):
    hosts = 6
    entries = 1
    make_site = StandInSite

    async def asyncSetUp(self):
        self.site = self.make_site()
        await self.site.start(self.hosts, self.entries)
        self.entry = self.site.entries[0]
        self.caller = HttpCaller()
        self.sent = 0
        await self.until_serving()
        self.commits = self.entry._store.calls_by_kind.get("commit", 0)

    async def asyncTearDown(self):
        await self.site.stop()

    async def until_serving(self, *models):
        entry = self.entry
        for model in models or (SMALL, LARGE):
            await until(lambda m=model: entry.candidates("pool", m))

    async def model_with_two_groups(self):
        """Add hosts until some model has two groups, and return that model."""
        for number in range(6, 10):
            self.site.add_host(f"i-{number}", "d0")
        view = self.entry

        def found():
            return next((m for m in (LARGE, SMALL) if len(view.candidates("pool", m)) > 1), None)

        return await until(found, 25.0)

    async def ask(
        self, path, method="GET", key="key-a", entry=None, model="", body=b"x", **headers
    ):
        self.sent += 1
        address = (entry or self.entry)._settings.callers
        self.request_id = f"request-{self.sent}"
        sent = {"Host": HOST, "Attempt-Id": self.request_id, "Deadline-Ms": "4000"}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        if model:
            sent.update({"Model": model, "Token-Counts": "100,80", "Prompt-Prefix": "ab:100"})
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        content = body if method == "POST" else b""
        reader = ResponseRecorder()
        result = await self.caller.call(Call(address, method, path, sent, content, 8.0), reader)
        return result, reader

    async def reply(self, *arguments, **options):
        result, reader = await self.ask(*arguments, **options)
        return result.unwrap(), reader

    async def send_at_rate(self, rate, seconds, path, method="GET", model="", entries=None):
        """Send requests at a rate to the entry hosts in turn; return replies and durations."""
        asked = []
        turn = itertools.cycle(entries or self.site.entries)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            asked.append(asyncio.create_task(self.timed(path, method, next(turn), model)))
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*asked)

    async def timed(self, path, method, entry, model):
        began = time.monotonic()
        result, _ = await self.ask(path, method, entry=entry, model=model)
        return result.unwrap() if is_successful(result) else None, time.monotonic() - began

    async def wait_for_first_notice(self, notices, path, method="GET", model=""):
        """Send requests until one reaches the target with these notices; return the time."""
        seen = len(notices.arrivals)
        while len(notices.arrivals) == seen:
            # Several requests are needed, as the less busy target is preferred and may be another.
            await self.send_at_rate(100, 0.1, path, method, model, [self.entry])
        return time.monotonic()

    def runs(self, request_id):
        return [r for r in self.site.engines.runs if r.request_id == request_id]

    def assert_complete_stream(self, reader, first=0):
        numbers = [
            int(e.split(b"\n")[0][4:]) for e in reader.body.split(b"\n\n") if e.startswith(b"id: ")
        ]
        self.assertEqual(numbers, list(range(first, self.site.engines.events_per_stream)))


class ServingTest(SiteTest):
    async def test_stream_runs_in_a_complete_group_under_its_accounts_name(self):
        reply, reader = await self.reply("/read/x", "POST", model=LARGE)
        self.assertEqual(reply.status, 200)
        self.assert_complete_stream(reader)
        (run,) = self.runs(self.request_id)
        self.assertEqual((run.account, run.joined_members), ("hall", 3))
        self.assertEqual(reply.headers["Response-Seal"], f"seal-{run.instance}")

    async def test_plain_request_is_forwarded_unchanged(self):
        reply, reader = await self.reply("/scan/a?b=c%20d")
        self.assertIn(b"GET /scan/a?b=c%20d", reader.body)
        self.assertEqual(reply.headers["Attempt-Id"], self.request_id)

    async def test_caller_that_resumes_gets_what_it_lacks(self):
        _, reader = await self.reply("/read/x", "POST", model=SMALL, Last_Event_Id="3")
        self.assert_complete_stream(reader, 4)

    async def test_first_request_of_a_connection_is_told_from_those_after_it(self):
        # Callers retry a rejected request on a new connection. A request on a reused connection is
        # therefore no retry.
        seen = []
        serve = self.entry.front.callbacks.serve

        async def note(incoming, host, path, sink):
            seen.append(incoming.first_on_connection)
            await serve(incoming, host, path, sink)

        self.entry.front.callbacks = self.entry.front.callbacks._replace(serve=note)
        for reuse in (True, True, False):
            headers = {"Host": HOST, "Attempt-Id": "a", "Authorization": "Bearer key-a"}
            call = Call(self.entry.callers, "GET", "/scan/a", headers, reuse=reuse)
            await self.caller.call(call)
        self.assertEqual(seen, [True, False, True])

    async def test_unknown_key_route_and_public_route(self):
        self.assertEqual((await self.reply("/scan/", key="wrong"))[0].status, 401)
        self.assertEqual((await self.reply("/none/"))[0].status, 404)
        self.assertEqual((await self.reply("/open/", key=""))[0].status, 200)

    async def test_request_whose_model_no_group_serves_is_refused_at_once(self):
        began = time.monotonic()
        reply, _ = await self.reply("/read/x", "POST", model="unknown")
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["Retry-After"]), 0.1)
        self.assertLess(time.monotonic() - began, 0.5)


class FreshnessTest(SiteTest):
    async def test_freshness_check_is_as_recent_as_the_store_read(self):
        # A partitioned host may accept keys until its last freshness check is too old. If the check
        # is as recent as the last store read (0.0 s old instead of 1.3 s), the host may do so for
        # nearly the whole bound for removed keys.
        await until(lambda: self.entry._freshness.age(boottime_seconds()) < 0.3)

    async def test_check_of_the_old_configuration_does_not_verify_the_new_one(self):
        checks = []
        unchanged = self.entry._store.unchanged

        async def record(expected):
            answer = await unchanged(expected)
            checks.append((dict(expected), answer.unwrap()))
            return answer

        self.entry._store.unchanged = record
        version = self.entry._catalog.version
        self.site.configure(version + 1, {"hall": ["key-a"]})
        await until(lambda: self.entry._catalog.version == version + 1)
        await until(lambda: checks and checks[-1][1])
        verified = {row for e, passed in checks if passed for row in e.items()}
        self.assertLessEqual(self.entry._configuration.revisions().items(), verified)


class StartTest(SiteTest):
    def reset_configuration(self):
        """Reset the entry host to the state of a process before its first store read."""
        configuration = self.entry._configuration
        configuration.catalog, catalog = None, configuration.catalog
        configuration.loaded.clear()
        return catalog

    async def test_request_that_comes_before_the_first_configuration_waits_for_it(self):
        # All entry hosts restart after a power failure. The balancer finds none of them ready and
        # sends requests to all. Without a wait, requests in the half second before the first store
        # read would be rejected, as no route is known.
        catalog = self.reset_configuration()

        def read():
            self.entry._configuration.catalog = catalog
            self.entry._configuration.loaded.set()

        asyncio.get_running_loop().call_later(0.3, read)
        reply, _ = await self.reply("/scan/1")
        self.assertEqual(reply.status, 200)

    async def test_request_is_refused_in_time_where_no_configuration_comes(self):
        # The store is down too. With a caller timeout of 1.2 s, the rejection as "not run" comes
        # after 30 % of it, which leaves the caller time to try another host.
        self.reset_configuration()
        began = time.monotonic()
        reply, _ = await self.reply("/scan/1", Deadline_Ms="1200")
        self.assertEqual(reply.status, 503)
        self.assertLess(time.monotonic() - began, 0.6)


class FailureTest(SiteTest):
    async def test_member_dies_under_a_stream_and_it_goes_on_elsewhere(self):
        # A member other than the head loses power. The head stalls without an error, and no other
        # member detects it. Each stream of the group stops and must resume at another complete
        # group after its last event, so that the caller receives every event once.
        model = await self.model_with_two_groups()
        self.site.engines.events_per_stream = 40
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=model))
        (first,) = await until(lambda: self.runs("request-1"))
        await asyncio.sleep(0.2)
        head = self.site.engines.host_by_instance[first.instance]
        self.site.lose_host(head.members[1])
        _, reader = await asked
        self.assert_complete_stream(reader)
        second = self.runs("request-1")[1]
        self.assertNotEqual(second.group, first.group)
        self.assertEqual(second.joined_members, first.joined_members)
        self.assertLess(reader.longest_pause, 1.0)

    async def test_stalled_stream_stays_where_no_other_group_has_room(self):
        # A group stalls for half a second while the only other one is full. If the stream were
        # moved, it would be aborted although its own group recovers.
        model = await self.model_with_two_groups()
        self.site.engines.events_per_stream = 30
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=model))
        (first,) = await until(lambda: self.runs("request-1"))
        others = [c.target for c in self.entry.candidates("pool", model)]
        full = {name: 99 for name in others if name != first.group}
        member = self.site.engines.host_by_instance[
            self.site.engines.host_by_instance[first.instance].members[1]
        ]
        member.alive = False
        for _ in range(6):
            self.entry._book.apply_peer_update("peer", full, [], {}, {}, time.monotonic())
            await asyncio.sleep(0.1)
        member.alive = True
        _, reader = await asked
        self.assert_complete_stream(reader)
        self.assertEqual(len(self.runs("request-1")), 1)

    async def test_stream_torn_within_an_event_goes_on_at_the_border(self):
        # The target's connection ends in the middle of an event. If the partial event were
        # forwarded, it would be joined with the first event of the resumed stream.
        model = await self.model_with_two_groups()
        self.site.engines.break_at_event = 4
        _, reader = await self.reply("/read/x", "POST", model=model)
        self.assert_complete_stream(reader)
        self.assertEqual([r.resumed_after for r in self.runs(self.request_id)], [None, 3])

    async def test_lost_member_is_replaced_and_the_group_serves_again(self):
        # One of three hosts of a model's only group loses power, and one spare is available. The
        # group must be completed automatically and never serve with a missing member.
        (candidate,) = self.entry.candidates("pool", LARGE)
        head = self.site.engines.host_by_instance[candidate.host.instance.name]
        lost = head.members[2]
        self.site.lose_host(lost)
        await self.reply("/read/x", "POST", model=LARGE)
        self.site.store.delete(f"servers/{lost}")

        def repaired():
            found = self.entry.candidates("pool", LARGE)
            return found and found[0].target != candidate.target

        await until(repaired, 25.0)
        reply, reader = await self.reply("/read/x", "POST", model=LARGE)
        self.assert_complete_stream(reader)
        self.assertTrue(all(r.joined_members == 3 for r in self.site.engines.runs[-1:]))

    async def test_failed_domain_refresh_is_logged_and_repeated(self):
        # A domain refresh that was triggered by a change, not by the timer, raises an exception. If
        # that ended the task silently, no further group would be repaired in time.
        owner = self.entry._owner
        failures, refreshes = [], []
        owner.log_failure = failures.append
        original = owner._refresh_all

        def fail_once():
            refreshes.append(1)
            if len(refreshes) == 1:
                raise ValueError("a fault")
            original()

        owner._refresh_all = fail_once
        owner.refresh_soon()
        await until(lambda: len(refreshes) > 2)
        self.assertEqual([str(f) for f in failures], ["a fault"])

    async def test_rejecting_store_is_not_flooded_with_plans(self):
        # A member is lost while the store immediately rejects all writes, so the owner can't write
        # that the group is dissolved. Without a pause between attempts it would retry every 20 ms
        # until its copy of the store is too old for orders (61 calls here).
        (candidate,) = self.entry.candidates("pool", LARGE)
        head = self.site.engines.host_by_instance[candidate.host.instance.name]
        self.site.store.faults.status = 503
        self.site.lose_host(head.members[1])
        for _ in range(30):
            self.entry._book.suspect(candidate.target, time.monotonic())
            await asyncio.sleep(0.1)
        commits = self.entry._store.calls_by_kind.get("commit", 0)
        before = self.commits
        self.site.store.faults.status = 0
        self.assertGreater(commits - before, 0)
        self.assertLess(commits - before, 8)

    async def test_request_that_may_run_once_is_not_sent_again_after_its_answer_is_lost(self):
        # The target executes the payment and its answer is lost. Sending it again would pay twice,
        # and "not run" would be false, so the response states that the outcome is unknown.
        for target in self.site.targets:
            target.faults.reset = 1
        reply, _ = await self.reply("/pay/x", "POST")
        self.assertEqual(reply.status, 502)
        self.assertNotIn("Retry-After", reply.headers)
        self.assertEqual(sum(len(t.ran) for t in self.site.targets), 1)

    async def test_request_that_may_run_again_is_sent_again(self):
        for target in self.site.targets:
            target.faults.reset = 1
        self.site.targets[0].faults.reset = 0
        seen = {(await self.reply("/scan/x"))[0].status for _ in range(4)}
        self.assertEqual(seen, {200})

    async def test_target_that_sheds_has_not_run_it_and_a_once_request_is_refused_truly(self):
        for target in self.site.targets:
            target.faults.shed = 5
        reply, _ = await self.reply("/pay/x", "POST")
        self.assertEqual(reply.status, 503)
        self.assertIn("Retry-After", reply.headers)
        self.assertEqual([t.ran for t in self.site.targets], [[], []])

    async def test_address_that_another_target_got_runs_nothing(self):
        # A target ends and another instance gets its address before the list is updated. Requests
        # name the expected instance, so the other one rejects them and they are sent elsewhere.
        self.site.targets[0].instance = "another"
        seen = {(await self.reply("/scan/x"))[0].status for _ in range(4)}
        self.assertEqual(seen, {200})
        self.assertEqual(self.site.targets[0].ran, [])

    async def test_caller_that_leaves_ends_its_run(self):
        # The caller closes its connection in the middle of a stream. Without cancellation the
        # target would generate the rest of it for no one.
        self.site.engines.events_per_stream = 400
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=LARGE))
        await until(lambda: self.runs("request-1"))
        self.assertEqual(self.entry.front.in_flight, 1)
        asked.cancel()
        await until(lambda: self.entry.front.in_flight == 0, 2.0)


class StoreFailureTest(SiteTest):
    async def test_keys_are_rejected_while_the_freshness_check_is_too_old(self):
        # The store stops answering, so a removal of a key would go unnoticed. After the bound less
        # a margin, the host must reject requests with a key as not run, with 503 and not 401. A
        # public route is served throughout, and keys are accepted again once the store answers.
        self.site.store.faults.silent = True
        self.assertEqual((await self.reply("/scan/x"))[0].status, 200)
        await until(lambda: not self.entry._ready(), 8.0)
        reply, _ = await self.reply("/scan/x")
        self.assertEqual(reply.status, 503)
        self.assertEqual((await self.reply("/none/"))[0].status, 503)
        self.assertEqual((await self.reply("/open/", key=""))[0].status, 200)
        self.site.store.faults.silent = False
        await until(self.entry._ready, 8.0)
        self.assertEqual((await self.reply("/scan/x"))[0].status, 200)

    async def test_removed_key_is_rejected_within_the_bound(self):
        self.site.configure(2, {"hall": ["key-new"], "yard": ["key-b"]})
        await until(lambda: self.entry._catalog.version == 2, 2.0)
        self.assertEqual((await self.reply("/scan/x"))[0].status, 401)
        self.assertEqual((await self.reply("/scan/x", key="key-new"))[0].status, 200)

    async def test_history_that_is_forgotten_is_read_anew(self):
        # The store drops its history while this host is behind, so the host can no longer read the
        # individual changes. It must read everything again and apply the new configuration.
        self.site.store.faults.status = 503
        await asyncio.sleep(0.8)
        self.site.configure(5, {"hall": ["key-a"]})
        self.site.store.discard_history()
        self.site.store.faults.status = 0
        await until(lambda: self.entry._catalog.version == 5, 4.0)
        await self.until_serving()

    async def test_lost_answer_of_a_plan_is_found_out(self):
        # The plan of a new group is written and the answer is lost. The owner must read the stored
        # plan before it continues; otherwise a host could be in two groups.
        self.site.store.faults.unanswered_writes = 1
        await self.model_with_two_groups()
        plans = self.entry._plans.by_key.values()
        members = [i for p in plans for g in p.groups for i in g.members]
        self.assertEqual(len(members), len(set(members)))

    async def test_plan_written_late_does_not_undo_a_newer_one(self):
        self.site.store.faults.late_writes = 1
        self.site.store.faults.late_by = 1.5
        await self.model_with_two_groups()
        await asyncio.sleep(1.6)
        (plan,) = self.entry._plans.by_key.values()
        self.assertGreaterEqual(len(plan.groups), 3)


class OrderFailureTest(SiteTest):
    async def test_order_carried_out_late_leaves_no_host_in_two_groups(self):
        # Two hosts don't answer their orders and execute them 1.5 s later, after newer ones.
        for number in (10, 11):
            late = self.site.add_host(f"i-{number}", "d0")
            late.faults.late, late.faults.late_by = 2, 1.5
        model = await self.model_with_two_groups()
        await asyncio.sleep(1.6)
        for _ in range(4):
            _, reader = await self.reply("/read/x", "POST", model=model)
            self.assert_complete_stream(reader)
        size = {LARGE: 3, SMALL: 2}[model]
        self.assertEqual({r.joined_members for r in self.site.engines.runs}, {size})


class OwnerTest(SiteTest):
    entries = 2

    async def test_next_owner_keeps_the_groups(self):
        # The entry host that owns the domain ends abruptly. When its lease has expired, the other
        # one must take over the domain with a higher term and keep the existing groups, and
        # requests are served in the meantime.
        (plan,) = self.entry._plans.by_key.values()
        owner, other = self.site.entries
        if plan.owner != owner._settings.host:
            owner, other = other, owner
        names = {g.name for g in plan.groups}
        self.entry = other
        await self.until_serving()
        await owner.kernel.stop()
        self.site.entries.remove(owner)
        _, reader = await self.reply("/read/x", "POST", model=SMALL)
        self.assert_complete_stream(reader)

        def held():
            (found,) = other._plans.by_key.values()
            return found.owner == other._settings.host and found

        found = await until(held, 10.0)
        self.assertGreater(found.term, plan.term)
        self.assertEqual({g.name for g in found.groups}, names)


class DrainTest(SiteTest):
    async def test_draining_host_ends_its_work_and_takes_what_still_comes(self):
        # The stop signal arrives in the middle of a stream. The host must report not ready
        # immediately, still serve what the balancer sends with "Connection: close", and finish
        # once the stream has ended.
        self.site.engines.events_per_stream = 60
        asked = asyncio.create_task(self.ask("/read/x", "POST", model=LARGE))
        await until(lambda: self.runs("request-1"))
        drained = asyncio.create_task(self.entry.front.drain())
        await asyncio.sleep(0.05)
        self.assertFalse(self.entry.front.ready)
        reply, _ = await self.reply("/scan/x")
        self.assertEqual((reply.status, reply.headers["Connection"]), (200, "close"))
        _, reader = await asked
        self.assert_complete_stream(reader)
        await asyncio.wait_for(drained, 8.0)

    async def test_connection_ends_with_a_stream_that_outlasts_the_closing_of_idle_ones(self):
        # The response head was sent before the stop signal, without "Connection: close".
        self.site.engines.events_per_stream = 60
        patch = mock.patch.object(front, "STOP_LISTENING_AFTER", 0.3)
        patch.start()
        self.addCleanup(patch.stop)
        ip, port = self.entry.callers.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = f"POST /read/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: long\r\nModel: {LARGE}\r\n"
        writer.write(f"{head}Authorization: Bearer key-a\r\nContent-Length: 1\r\n\r\nx".encode())
        self.assertNotIn(b"close", await reader.readuntil(b"\r\n\r\n"))
        drained = asyncio.create_task(self.entry.front.drain())
        await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 6.0)
        self.assertEqual(await asyncio.wait_for(reader.read(), 1.0), b"")
        writer.close()
        await drained

    async def test_kept_connection_ends_before_it_can_bring_a_request_too_late(self):
        # A caller keeps an idle connection open during the drain. A request that it sends five
        # seconds later would be read, forwarded and aborted by the end of the process. The
        # connection is therefore closed while idle, once the balancer has had time to react.
        ip, port = self.entry.callers.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(f"GET /open/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: kept\r\n\r\n".encode())
        self.assertIn(b"200", await reader.readline())
        began = time.monotonic()
        await self.entry.front.drain()
        self.assertLess(time.monotonic() - began, 4.0)
        async with asyncio.timeout(0.5):
            await reader.read(100_000)
            self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_request_whose_head_has_come_is_waited_for(self):
        # A request begins to arrive while the drain checks for requests in flight. If it isn't
        # counted before its body is complete, the process ends while the target executes it.
        ip, port = self.entry.callers.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = f"POST /open/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
        drained = asyncio.create_task(self.entry.front.drain())
        await asyncio.sleep(2.4)
        writer.write(f"{head}Attempt-Id: late\r\n\r\n".encode())
        await asyncio.sleep(0.6)
        self.assertFalse(drained.done())
        writer.write(b"x")
        async with asyncio.timeout(2.0):
            self.assertIn(b"200", await reader.readline())
        await asyncio.wait_for(drained, 2.0)
        writer.close()

    async def test_request_that_crosses_the_close_of_its_connection_is_not_passed_on(self):
        # A request has been read from the socket when its connection is closed. If it were
        # forwarded, a target would execute it, and its caller, which may not repeat it, would get
        # no answer.
        ip, port = self.entry.callers.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        (connection,) = await until(lambda: self.entry.front.callers.idle)
        received = front._CallerRequest.headers_received

        def receive_and_close(request, start_line, headers):
            received(request, start_line, headers)
            connection.close_stream()

        patch = mock.patch.object(front._CallerRequest, "headers_received", receive_and_close)
        patch.start()
        self.addCleanup(patch.stop)
        writer.write(f"GET /open/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: cross\r\n\r\n".encode())
        self.assertEqual(await reader.read(), b"")
        await asyncio.sleep(0.2)
        self.assertNotIn("cross", [i for t in self.site.targets for i in t.ran])
        self.assertEqual(self.entry.front.in_flight, 0)
        writer.close()


class DecodingTest(unittest.TestCase):
    def test_signed_answer_without_an_id_belongs_to_another_request(self):
        # On a reused connection, a target sends a duplicate answer to an earlier request without an
        # id. If it were taken for the answer to the next request, that caller would receive the
        # answer to another request.
        codec = HeaderCodec()
        extra = HTTPHeaders({"Response-Seal": "s"})
        self.assertFalse(codec.is_reply_to("r1", extra))
        self.assertTrue(codec.is_reply_to("", extra))
        self.assertFalse(codec.is_reply_to("r1", HTTPHeaders({"Attempt-Id": "r0"})))
        self.assertTrue(codec.is_reply_to("r1", HTTPHeaders({"Attempt-Id": "r1"})))
        self.assertTrue(codec.is_reply_to("r1", HTTPHeaders({"Not-Executed": "1"})))

    def test_malformed_values_are_typed_errors(self):
        for data in (b"{", b"[]", b'{"version": "x"}'):
            with self.assertRaises(ValueError):
                decode_configuration(data)
        route = {"name": "r", "host": "h", "prefix": "/", "kind": "strange"}
        with self.assertRaises(ValueError):
            decode_configuration(json.dumps({"version": 1, "routes": [route]}).encode())
        with self.assertRaises(ValueError):
            decode_host("servers/x", b'{"service": "s"}')

    def test_headers_of_one_connection_and_the_key_stay_behind(self):
        headers = HTTPHeaders(
            {
                "Connection": "keep-alive, X-Hop",
                "X-Hop": "1",
                "Authorization": "Bearer k",
                "Tenant": "forged",
                "Attempt-Id": "r",
                "X-Kept": "1",
            }
        )
        sent = HeaderCodec().target_request_headers(headers, "acme", "i-1", 1.5, 0, 7)
        self.assertEqual(sent["Tenant"], "acme")
        self.assertEqual(sent["Deadline-Ms"], "1500")
        self.assertEqual((sent["Last-Event-Id"], sent["Expect-Instance"]), ("7", "i-1"))
        self.assertEqual((sent["Attempt-Id"], sent["X-Kept"]), ("r", "1"))
        for name in ("Authorization", "X-Hop", "Connection"):
            self.assertNotIn(name, sent)

    def test_unknown_reply_header_is_reported_once_by_name(self):
        reported = []
        codec = HeaderCodec(lambda name, value: reported.append((name, value)))
        for value in ("1.2", "1.5"):
            codec.read_reply(200, HTTPHeaders({"Response-Seal": "s", "In-Need": value}))
        self.assertEqual(reported, [("In-Need", "1.2")])

    def test_number_of_remembered_header_names_is_bounded(self):
        reported = []
        codec = HeaderCodec(lambda name, value: reported.append(name))
        for number in range(3 * MAX_UNKNOWN_NAMES):
            codec.read_reply(200, HTTPHeaders({f"X-{number}": "1"}))
        self.assertEqual(len(reported), MAX_UNKNOWN_NAMES)


if __name__ == "__main__":
    unittest.main()
