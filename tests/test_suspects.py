"""Crash-causing requests at the project's own HTTP server."""

import asyncio
import random
import time
import unittest
from types import SimpleNamespace

from oleanderhill_dev.bench_site import free_address

from oleanderhill.clients.httpcall import HttpCaller
from oleanderhill.decisions import Decisions
from oleanderhill.kernel import Kernel
from oleanderhill.requests.attempts import Request, RetryBudget
from oleanderhill.requests.exchange import Exchange, StallTimeouts, TargetRequest
from oleanderhill.requests.quarantine import RequestQuarantineTask
from oleanderhill.routing.router import Choice, Requirements
from oleanderhill.types import Member


class _CrashingEngines:
    """Selects a new engine each time, which crashes when it receives a request."""

    def __init__(self):
        self.crashes = 0
        self.ejected = 0

    async def acquire(self, waiter, requirements, exclude):
        address = free_address()
        ip, port = address.rsplit(":", 1)

        async def crash(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            self.crashes += 1
            server.close()
            writer.close()

        server = await asyncio.start_server(crash, ip, int(port))
        name = f"host-{port}-{ip}"
        return Choice(name, 1, Member(name, address, "boot"), "hall", "")

    def release(self, account, choice, model, seconds):
        pass

    def may_send(self, choice, now):
        return True

    def eject(self, choice, now):
        self.ejected += 1

    def watch(self, attempt_id, choice, on_lost):
        pass

    def unwatch(self, attempt_id):
        pass


class _Sink:
    def __init__(self):
        self.problem = None

    async def fail(self, problem):
        self.problem = problem


class CrashCausingRequestTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, finder, suspects, number, body=b"fatal"):
        sink, request = _Sink(), Request(f"r{number}", True, False, time.monotonic() + 5.0)
        requirements = Requirements("m", "", "", "")
        outgoing = TargetRequest(
            request, "hall", requirements, 1, "POST", "/v1/chat/completions", {}, body
        )
        target_client = SimpleNamespace(cancel=lambda address, attempt_id: asyncio.sleep(0))
        parts = (
            HttpCaller(),
            target_client,
            RetryBudget(),
            StallTimeouts(),
            Decisions("entry"),
            suspects,
        )
        await Exchange(outgoing, sink, finder, *parts).run()
        return sink.problem

    async def test_request_that_crashes_each_engine_is_quarantined(self):
        # Guards against a crash-causing request that its caller keeps retrying. Each retry has a
        # new id but the same method, path, account and body. If crashes were recorded only until
        # the request is answered, ten retries with the maximum of four attempts each would crash
        # forty engines.
        suspects = RequestQuarantineTask(
            Kernel(), "entry", random.Random(1), Decisions("entry"), lambda: 10
        )
        finder = _CrashingEngines()
        for number in range(10):
            problem = await self.send(finder, suspects, number)
            await asyncio.sleep(0.3)
        self.assertLessEqual(finder.crashes, 6)
        self.assertEqual(
            (problem.kind, problem.ran, problem.retry_after), ("ends-targets", "no", None)
        )
        ejected = finder.ejected
        await self.send(finder, suspects, 11)
        self.assertEqual(finder.ejected, ejected)


if __name__ == "__main__":
    unittest.main()
