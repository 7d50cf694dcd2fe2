"""The HTTP server for callers over loopback: invalid input, and each kind of final answer."""

import asyncio
import json
import os
import socket
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from oleanderhill_dev import engine_standin, service_standin
from oleanderhill_dev.bench_site import free_address
from returns.pipeline import is_successful

from oleanderhill import entry, listener, outcomes
from oleanderhill.clients import httpcall
from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.decisions import Decisions
from oleanderhill.entry import make_kernel
from oleanderhill.exceptions import BootFileError
from oleanderhill.journal.claims import Claims
from oleanderhill.journal.once import Decided, Row, RowKind, Verdict
from oleanderhill.requests.edge import Edge
from oleanderhill.requests.handlers import MAX_BODY_BYTES
from oleanderhill.routing import dispatch
from oleanderhill.routing.messages import DomainEvidence, GroupState
from oleanderhill.settings.checking import load_boot
from oleanderhill.settings.documents import Document
from oleanderhill.settings.fleet import hash_key
from oleanderhill.settings.relay import DocumentsTask
from oleanderhill.settings.writes import Subtree, encode_subtree, msgspec
from oleanderhill.types import GroupRecord, Member

BOOT = {
    "host": "entry-t",
    "data_centre": "hall",
    "listen": {},
    "platform": "127.0.0.1:9",
    "peers": [],
    "operator_key_hash": hash_key("op"),
}


def make_settings(service):
    return {
        "models": {"m": {"versions": {"v1": {"weights_gb": 1}}}, "secret": {"versions": {}}},
        "groups": {"g": {"model": "m", "version": "v1", "hosts": 1, "replicas": {"hall": 1}}},
        "services": {
            "desk": {
                "targets": [{"address": service, "data_centre": "hall"}],
                "not_repeatable": ["/pay"],
            }
        },
        "accounts": {
            "a": {
                "key_hashes": [hash_key("key")],
                "models": ["m"],
                "services": ["desk"],
                "requests_per_second": 1000,
            },
            "slow": {
                "key_hashes": [hash_key("slow")],
                "models": ["m"],
                "requests_per_second": 0.5,
            },
        },
    }


class BodyCollector(Observer):
    def __init__(self):
        self.body = b""

    def data(self, chunk):
        self.body += chunk


class _ScriptedClaims(Claims):
    """Claims that return the given verdicts in order, and repeat the last one."""

    def __init__(self, verdicts):
        self._verdicts = verdicts

    async def claim(self, key, body):
        row = Row(RowKind.DONE, key, body, b"n", int(time.time()), 200, b'{"paid": 1}', True)
        verdict = self._verdicts.pop(0) if len(self._verdicts) > 1 else self._verdicts[0]
        return row, Decided(b"n", verdict, row)

    async def stop(self):
        pass


class EdgeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.servers = []
        self.engine = engine_standin.Engine("h1", True, 0.0, 0.0, 8, 100.0, "")
        self.engine_address = self.listen(engine_standin.make_application(self.engine))
        self.service_delay = [0.0]
        arguments = {"record": "", "delay": self.service_delay}
        handler = [(r"/(.*)", service_standin.CallHandler, arguments)]
        self.service = self.listen(engine_standin.Application(handler, log_function=lambda h: None))
        boot = dict(BOOT)
        boot["listen"] = {n: free_address() for n in ("callers", "operators", "peers")}
        self.kernel = make_kernel(boot, Decisions("entry-t"))
        await self.kernel.start()
        self.callers = boot["listen"]["callers"]
        self.edge = self.kernel.find("edge", Edge)
        self.caller = HttpCaller()
        self.apply_settings()
        self.serve_group()
        await asyncio.sleep(0)

    async def asyncTearDown(self):
        await self.kernel.stop()
        for server in self.servers:
            server.stop()

    def listen(self, application):
        address = free_address()
        ip, port = address.rsplit(":", 1)
        self.servers.append(application.listen(int(port), ip))
        return address

    def apply_settings(self):
        documents = self.kernel.find("documents", DocumentsTask)
        tree = msgspec.Raw(json.dumps(make_settings(self.service)).encode())
        documents.store_if_newer(
            Document("settings/yard", 1, encode_subtree(Subtree(1, tree, ()))), "test"
        )
        documents.loaded = True
        self.edge.fleet = documents.fleet
        self.edge.services.service_by_name = documents.fleet.service_by_name
        self.kernel.find("limits", object).limits.configure(
            {a.account: a.requests_per_second for a in documents.fleet.account_by_key.values()}
        )
        self.kernel.find("limits", object).limits.fleet = 1

    def serve_group(self, epoch=1):
        (wanted,) = self.kernel.find("documents", DocumentsTask).fleet.wanted_by_data_centre["hall"]
        self.engine.group, self.engine.epoch = wanted.group, epoch
        self.engine.state = "ready"
        member = Member("h1", self.engine_address, self.engine.boot_id)
        record = GroupRecord(wanted.group, epoch, wanted.spec, (member,))
        states = (GroupState(3, 0, 0, 0, 8),)
        evidence = DomainEvidence("d", "hall", 1, 1, states, (record,), 1)
        self.edge.router.book.learn(evidence, asyncio.get_running_loop().time())

    async def send(
        self, method="POST", path="/v1/chat/completions", body=None, key="key", **headers
    ):
        body = body if isinstance(body, bytes) else json.dumps(body or chat_body()).encode()
        sent = {"Authorization": f"Bearer {key}"}
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        collector = BodyCollector()
        call = Call(self.callers, method, path, sent, body if method != "GET" else b"", 10.0)
        reply = (await self.caller.call(call, collector)).value_or(None)
        self.assertIsNotNone(reply)
        self.reply = reply
        return reply.status, collector.body

    async def assert_problem(self, status, kind, ran="no", **arguments):
        received_status, body = await self.send(**arguments)
        problem = json.loads(body)
        self.assertEqual((received_status, problem["type"]), (status, outcomes.PROBLEM_BASE + kind))
        self.assertEqual((problem["ran"], self.reply.headers["X-Request-Ran"]), (ran, ran))
        return problem

    async def test_complete_answer_plain_and_streamed(self):
        status, body = await self.send(body=chat_body(max_tokens=5))
        self.assertEqual(status, 200)
        content = json.loads(body)["choices"][0]["message"]["content"]
        self.assertEqual(content, engine_standin.answer("hello", 5))
        status, body = await self.send(body=chat_body(max_tokens=5, stream=True))
        self.assertEqual(body.count(b"\n\n"), 6)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    async def test_malformed_bodies_are_refused(self):
        for body in (b"{", b"[]", b'{"model": 1}', b'{"model": "m", "messages": [1]}'):
            await self.assert_problem(400, "bad-request", body=body)

    async def test_oversized_body_is_refused_unread(self):
        await self.assert_problem(413, "too-large", body=b"x" * (MAX_BODY_BYTES + 1))

    async def test_wrong_key_unknown_and_forbidden_models_give_different_problems(self):
        await self.assert_problem(401, "unauthenticated", key="wrong")
        await self.assert_problem(404, "unknown-model", body=chat_body(model="none"))
        await self.assert_problem(403, "forbidden", body=chat_body(model="secret"))
        await self.assert_problem(
            403, "forbidden", key="slow", method="GET", path="/services/desk/x"
        )

    async def test_account_over_its_rate_limit_gets_retry_after(self):
        await self.send(key="slow")
        problem = await self.assert_problem(429, "over-limit", key="slow")
        self.assertGreater(problem["retry_after"], 0)
        self.assertGreaterEqual(int(self.reply.headers["Retry-After"]), 1)

    async def test_expired_or_malformed_deadline_is_not_run(self):
        await self.assert_problem(504, "deadline-passed", X_Request_Timeout="0")
        await self.assert_problem(400, "bad-request", X_Request_Timeout="soon")

    async def test_deadline_during_the_run_is_unknown_and_cancels_at_the_engine(self):
        self.engine.pace = 0.2
        await self.assert_problem(504, "deadline-passed", ran="unknown", X_Request_Timeout="0.5")
        await asyncio.sleep(0.5)
        self.assertEqual(self.engine.running, {})

    async def test_no_complete_group_is_not_run_with_retry_after(self):
        self.edge.router.router.by_group.clear()
        problem = await self.assert_problem(503, "no-capacity")
        self.assertGreater(problem["retry_after"], 0)

    async def test_target_that_refuses_before_the_start_is_not_run(self):
        self.engine.epoch = 7
        with mock.patch.object(dispatch, "GROUP_WAIT_TIMEOUT", 0.3):
            await self.assert_problem(503, "no-capacity")

    async def test_broken_stream_of_the_only_group_ends_with_a_typed_error_and_no_done(self):
        # Guards against a truncated stream that looks complete: the engine's connection breaks
        # after three tokens and no other group can resume it. The caller gets an error event and
        # never "[DONE]".
        self.engine.faults["cut_after"] = 3
        status, body = await self.send(
            body=chat_body(max_tokens=9, stream=True), X_Request_Timeout="2"
        )
        self.assertEqual(status, 200)
        self.assertIn(b"event: error", body)
        self.assertNotIn(b"[DONE]", body)

    async def test_caller_that_leaves_cancels_the_engines_stream(self):
        self.engine.pace = 0.05
        body = json.dumps(chat_body(max_tokens=1000, stream=True)).encode()
        headers = {"Authorization": "Bearer key"}
        call = Call(self.callers, "POST", "/v1/chat/completions", headers, body, None)
        task = asyncio.create_task(self.caller.call(call, BodyCollector()))
        await wait_until(lambda: self.engine.running)
        task.cancel()
        await wait_until(lambda: not self.engine.running)
        await wait_until(lambda: self.edge.in_flight == 0)

    async def test_slow_reader_holds_back_its_own_stream(self):
        # Guards against unbounded buffering for a caller that reads nothing. What the engine writes
        # is limited to the socket buffers and one chunk in the server.
        self.engine.faults["padding"] = 64 * 1024
        ip, port = self.callers.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1024)
        body = json.dumps(chat_body(max_tokens=10_000, stream=True)).encode()
        head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        reader._transport.pause_reading()
        await wait_until(lambda: self.edge.in_flight == 1)
        seen = -1
        while seen != self.engine.tokens:
            seen = self.engine.tokens
            await asyncio.sleep(0.5)
        self.assertLess(seen, 1000)
        self.assertEqual((len(self.engine.running), self.edge.in_flight), (1, 1))
        writer.transport.abort()
        await wait_until(lambda: self.edge.in_flight == 0)

    async def test_call_that_may_not_be_repeated_needs_a_key(self):
        await self.assert_problem(400, "bad-request", path="/services/desk/pay")
        await self.assert_problem(400, "bad-request", X_Not_Repeatable="true")

    async def test_call_that_cannot_be_claimed_is_not_run(self):
        # The store is unreachable, so the key can't be recorded and the request must not be run.
        problem = await self.assert_problem(
            503, "journal-unavailable", path="/services/desk/pay", Idempotency_Key="k"
        )
        self.assertGreater(problem["retry_after"], 0)

    async def test_duplicate_before_the_outcome_is_recorded_gets_the_first_answer(self):
        # Guards against an "in progress" (409) answer for a payment whose answer the caller already
        # has. The payment was answered with 200, and the caller repeats the key at another entry
        # host before the outcome has reached the store, so the claim is still recorded as running.
        verdicts = [Verdict.RUNNING, Verdict.RUNNING, Verdict.DONE]
        self.kernel.register(_ScriptedClaims(verdicts))
        status, body = await self.send(path="/services/desk/pay", Idempotency_Key="k")
        self.assertEqual((status, body), (200, b'{"paid": 1}'))
        self.assertEqual(self.reply.headers["X-Idempotent-Replay"], "true")

    async def test_duplicate_of_a_running_request_is_rejected_within_two_seconds(self):
        self.kernel.register(_ScriptedClaims([Verdict.RUNNING]))
        began = time.monotonic()
        await self.assert_problem(
            409, "in-progress", "unknown", path="/services/desk/pay", Idempotency_Key="k"
        )
        self.assertLess(time.monotonic() - began, 2.0)

    async def test_plain_service_is_forwarded_with_query_and_status(self):
        status, body = await self.send("GET", "/services/desk/scan?x=1")
        self.assertEqual((status, json.loads(body)["path"]), (200, "scan"))

    async def test_draining_host_refuses_new_requests_as_not_run(self):
        self.edge.draining = self.edge.readiness_withdrawn = True
        await self.assert_problem(503, "draining")
        status, _ = await self.send("GET", "/readyz")
        self.assertEqual(status, 503)

    async def test_request_that_waits_in_the_socket_at_the_end_of_a_drain_is_refused(self):
        ip, port = self.callers.rsplit(":", 1)
        caller = socket.create_connection((ip, int(port)))
        self.addCleanup(caller.close)
        caller.settimeout(1.0)
        await asyncio.sleep(2 * listener.MIN_IDLE_SECONDS)
        with mock.patch.object(entry, "READINESS_LAG", 0.2):
            drained = asyncio.create_task(entry.drain(self.kernel, Decisions("entry-t")))
            await asyncio.sleep(0.1)
            head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n"
            body = b'{"model": "m", "messages": []}'
            caller.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body[:9])
            await asyncio.sleep(0.3)
            self.assertFalse(drained.done())
            caller.sendall(body[9:])
            await asyncio.wait_for(drained, 2.0)
        await self.kernel.stop()
        answer = caller.recv(4096)
        self.assertIn(b" 503 ", answer.partition(b"\r\n")[0])
        self.assertIn(b"Connection: close", answer)

    async def test_idle_connection_is_closed_by_a_drain(self):
        ip, port = self.callers.rsplit(":", 1)
        caller = socket.create_connection((ip, int(port)))
        self.addCleanup(caller.close)
        caller.settimeout(1.0)
        with mock.patch.object(entry, "READINESS_LAG", 0.1):
            await asyncio.wait_for(entry.drain(self.kernel, Decisions("entry-t")), 2.0)
        self.assertEqual(caller.recv(1), b"")


class BootTest(unittest.TestCase):
    def test_broken_boot_file_names_path_value_and_what_was_expected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "boot.json")
            for text in ("{", json.dumps({**BOOT, "hots": 1})):
                Path(path).write_text(text)
                with self.assertRaises(BootFileError) as caught:
                    load_boot(path)
            self.assertIn("'host'", str(caught.exception))
            with self.assertRaises(BootFileError):
                load_boot(path + ".none")


class HttpCallTest(unittest.IsolatedAsyncioTestCase):
    async def failure_for(self, reply, timeout=2.0):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
            writer.close()

        address = free_address()
        ip, port = address.rsplit(":", 1)
        server = await asyncio.start_server(serve, ip, int(port))
        result = await HttpCaller().call(Call(address, "GET", "/", timeout=timeout))
        server.close()
        return result.failure()

    async def test_truncated_reply_is_lost_not_complete(self):
        failure = await self.failure_for(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        self.assertEqual((failure.kind, failure.sent), (httpcall.FailureKind.LOST, True))

    async def test_reply_that_ends_with_its_connection_is_never_complete(self):
        failure = await self.failure_for(b"HTTP/1.1 200 OK\r\n\r\nmaybe all")
        self.assertTrue(failure.sent)

    async def test_connection_that_opens_while_this_process_is_held_up_is_used(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        address = free_address()
        ip, port = address.rsplit(":", 1)
        server = await asyncio.start_server(serve, ip, int(port))
        call = Call(address, "GET", "/", connect_timeout=0.05)
        calling = asyncio.ensure_future(HttpCaller().call(call))
        await asyncio.sleep(0)
        time.sleep(0.1)
        self.assertTrue(is_successful(await calling))
        server.close()

    async def test_refused_connection_sent_nothing(self):
        result = await HttpCaller().call(Call(free_address(), "GET", "/"))
        self.assertFalse(result.failure().sent)


def chat_body(**more):
    return {"model": "m", "messages": [{"role": "user", "content": "hello"}], **more}


async def wait_until(condition):
    for _ in range(300):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the condition was not met within 6 s")
