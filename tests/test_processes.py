"""A few faults against real processes on loopback, bounded in time."""

import asyncio
import json
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from oleanderhill_dev.bench_site import Shape, Site
from oleanderhill_dev.engine_standin import token

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.settings.fleet import hash_of

KEY = "key"
PROGRAM = [sys.executable, "-m", "oleanderhill"]
SHAPE = Shape(
    ("hall", "hall"),
    {("hall", "fabric-a"): 5},
    prefill=0.05,
    host_prefix="t",
    net=7,
)


def tree(service):
    return {
        "models": {"m": {"versions": {"v1": {"weights_gb": 4.0}}}},
        "groups": {"g": {"model": "m", "version": "v1", "hosts": 2, "replicas": {"hall": 2}}},
        "services": {
            "desk": {
                "targets": [{"address": service, "data_centre": "hall"}],
                "not_repeatable": ["/payments"],
            }
        },
        "accounts": {
            "a": {
                "key_hashes": [hash_of(KEY)],
                "models": ["m"],
                "services": ["desk"],
                "requests_per_second": 1000,
            }
        },
    }


class Collector(Observer):
    def __init__(self):
        self.body = b""

    def data(self, chunk):
        self.body += chunk


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.site = Site(SHAPE, Path(self.folder.name), PROGRAM)
        # A tear-down is not called where the set-up fails; the processes left would hold the
        # addresses of the next run, which would then talk to them.
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(self.site.end)
        self.site.start()
        self.caller = HttpCaller()
        await self.until(lambda: self.answers("/v1/in-force"))
        body = json.dumps(tree(self.site.service_addresses[0])).encode()
        address = self.site.entries[0].operators
        found = await self.site.ask(address, "PUT", "/v1/settings/yard", body)
        self.assertEqual(found["state"], "accepted")
        await self.site.until_serving(2, 60)

    async def answers(self, path):
        found = [await self.site.ask(e.operators, "GET", path) for e in self.site.entries]
        return all(f is not None for f in found)

    async def owners(self):
        status = [await self.site.ask(e.operators, "GET", "/v1/status") for e in self.site.entries]
        return [s["host"] for s in status if s and s["domains"][0]["owned_here"]]

    async def until(self, condition, seconds=60.0):
        for _ in range(int(seconds / 0.2)):
            if await condition():
                return
            await asyncio.sleep(0.2)
        raise AssertionError("it did not come about")

    async def stream(self, entry, tokens, prompt="p"):
        messages = [{"role": "user", "content": prompt}]
        body = {"model": "m", "stream": True, "max_tokens": tokens, "messages": messages}
        headers = {"Authorization": f"Bearer {KEY}"}
        collector = Collector()
        call = Call(
            entry.callers, "POST", "/v1/chat/completions", headers, json.dumps(body).encode(), 60.0
        )
        await self.caller.call(call, collector)
        return collector.body.decode()

    def assert_whole(self, text, tokens, prompt="p"):
        events = [e for e in text.split("\n\n") if e]
        self.assertEqual(events[-1], "data: [DONE]")
        found = [json.loads(e[6:])["choices"][0]["delta"]["content"] for e in events[:-1]]
        self.assertEqual(found, [token(prompt, n) for n in range(tokens)])

    async def pay(self, entry, key):
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
        call = Call(entry.callers, "POST", "/services/desk/payments", headers, b"{}", 20.0)
        return (await self.caller.call(call)).value_or(None)

    async def test_faults_of_processes_lose_and_double_nothing(self):
        first, second = self.site.entries
        await self.member_dies_under_a_stream(first)
        await self.key_runs_once_through_two_entry_hosts_and_an_outage(first, second)
        await self.owner_is_stopped_and_goes_on()
        await self.entry_host_drains_with_a_stream_in_flight(first)

    async def member_dies_under_a_stream(self, entry):
        # A member other than the head dies. The head stalls, as a real replica would; the
        # stream goes on at the other group from the caller's offset.
        streams = [asyncio.create_task(self.stream(entry, 200)) for _ in range(6)]
        await asyncio.sleep(1.5)
        status = await self.site.ask(entry.operators, "GET", "/v1/status")
        self.site.kill(status["groups"][0]["hosts"][1])
        for text in await asyncio.gather(*streams):
            self.assert_whole(text, 200)
        await self.site.until_serving(2, 60)

    async def key_runs_once_through_two_entry_hosts_and_an_outage(self, first, second):
        # Both entry hosts get the same key at once; then the store is out and a new key is
        # refused as not run; then it is back and the same key runs.
        both = await asyncio.gather(self.pay(first, "k1"), self.pay(second, "k1"))
        self.assertIn(200, [r.status for r in both])
        again = await self.pay(second, "k1")
        self.assertEqual((again.status, again.headers["X-Idempotent-Replay"]), (200, "true"))
        await self.site.ask(self.site.platform, "POST", "/faults", b'{"down": true}')
        refused = await self.pay(first, "k2")
        self.assertEqual((refused.status, refused.headers["X-Request-Ran"]), (503, "no"))
        self.assert_whole(await self.stream(first, 20), 20)
        await self.site.ask(self.site.platform, "POST", "/faults", b'{"down": false}')

        async def runs():
            reply = await self.pay(second, "k2")
            return reply is not None and reply.status == 200

        await self.until(runs)
        rows = [r for r in self.site.records("service-*.jsonl") if r["path"] == "payments"]
        self.assertEqual(len(rows), 2)

    async def owner_is_stopped_and_goes_on(self):
        # The owner's process stops for longer than it takes to be replaced, and then goes on as
        # if nothing had happened. The other entry host serves all the while.
        await self.until(self.owners)
        owner, *_ = await self.owners()
        other = next(e for e in self.site.entries if e.host != owner)
        self.site.signal(owner, signal.SIGSTOP)
        await asyncio.sleep(9.0)
        self.assert_whole(await self.stream(other, 20), 20)
        self.site.signal(owner, signal.SIGCONT)
        await self.site.until_serving(2, 60)

    async def entry_host_drains_with_a_stream_in_flight(self, entry):
        # SIGTERM in the middle of a stream of four seconds: it runs to its end, and the process
        # ends after it.
        stream = asyncio.create_task(self.stream(entry, 200))
        await asyncio.sleep(1.0)
        process = self.site.process_by_name[entry.host]
        process.send_signal(signal.SIGTERM)
        self.assert_whole(await stream, 200)
        await asyncio.get_running_loop().run_in_executor(None, process.wait, 30)
        self.assertEqual(process.returncode, 0)
