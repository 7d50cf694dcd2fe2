"""Faults injected into real processes on loopback: crash, store outage, pause and drain."""

import asyncio
import json
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from oleanderhill_dev.bench_site import Site, SiteConfig, reserve_network
from oleanderhill_dev.engine_standin import token

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.settings.fleet import hash_key

KEY = "key"
PROGRAM = [sys.executable, "-m", "oleanderhill"]
SITE_CONFIG = SiteConfig(
    ("hall", "hall"),
    {("hall", "fabric-a"): 5},
    prefill=0.05,
    host_prefix="t",
)


def settings_tree(service):
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
                "key_hashes": [hash_key(KEY)],
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
    @classmethod
    def setUpClass(cls):
        cls.config = SITE_CONFIG._replace(second_octet=reserve_network())

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.site = Site(self.config, Path(self.folder.name), PROGRAM)
        # Cleanups run even if the set-up fails, unlike a tear-down. Processes left running would
        # keep the addresses, and the next run would connect to them.
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(self.site.stop)
        self.site.start()
        self.caller = HttpCaller()
        await self.until(lambda: self.answers("/v1/in-force"))
        body = json.dumps(settings_tree(self.site.service_addresses[0])).encode()
        address = self.site.entries[0].operators
        found = await self.site.call_json(address, "PUT", "/v1/settings/yard", body)
        self.assertEqual(found["state"], "accepted")
        await self.site.wait_until_serving(2, 60)

    async def answers(self, path):
        found = [await self.site.call_json(e.operators, "GET", path) for e in self.site.entries]
        return all(f is not None for f in found)

    async def owner_names(self):
        status = [
            await self.site.call_json(e.operators, "GET", "/v1/status") for e in self.site.entries
        ]
        return [s["host"] for s in status if s and s["domains"][0]["owned_here"]]

    async def until(self, condition, seconds=60.0):
        for _ in range(int(seconds / 0.2)):
            if await condition():
                return
            await asyncio.sleep(0.2)
        raise AssertionError("the condition did not become true in time")

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

    def assert_complete(self, text, tokens, prompt="p"):
        events = [e for e in text.split("\n\n") if e]
        self.assertEqual(events[-1], "data: [DONE]")
        found = [json.loads(e[6:])["choices"][0]["delta"]["content"] for e in events[:-1]]
        self.assertEqual(found, [token(prompt, n) for n in range(tokens)])

    async def pay(self, entry, key):
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
        call = Call(entry.callers, "POST", "/services/desk/payments", headers, b"{}", 20.0)
        return (await self.caller.call(call)).value_or(None)

    async def test_process_faults_lose_or_repeat_no_request(self):
        first, second = self.site.entries
        await self.member_crashes_during_a_stream(first)
        await self.key_runs_once_at_two_entry_hosts_and_through_an_outage(first, second)
        await self.owner_is_paused_and_resumed()
        await self.entry_host_drains_during_a_stream(first)

    async def member_crashes_during_a_stream(self, entry):
        # A member other than the head is killed. The head stalls, as a real replica would, and the
        # stream must resume at the other group from the caller's offset.
        streams = [asyncio.create_task(self.stream(entry, 200)) for _ in range(6)]
        await asyncio.sleep(1.5)
        status = await self.site.call_json(entry.operators, "GET", "/v1/status")
        self.site.kill(status["groups"][0]["hosts"][1])
        for text in await asyncio.gather(*streams):
            self.assert_complete(text, 200)
        await self.site.wait_until_serving(2, 60)

    async def key_runs_once_at_two_entry_hosts_and_through_an_outage(self, first, second):
        # Both entry hosts receive the same key concurrently, which must run once. During a store
        # outage a new key is rejected as not run. After the outage the same key runs.
        both = await asyncio.gather(self.pay(first, "k1"), self.pay(second, "k1"))
        self.assertIn(200, [r.status for r in both])
        again = await self.pay(second, "k1")
        self.assertEqual((again.status, again.headers["X-Idempotent-Replay"]), (200, "true"))
        await self.site.call_json(self.site.platform, "POST", "/faults", b'{"down": true}')
        refused = await self.pay(first, "k2")
        self.assertEqual((refused.status, refused.headers["X-Request-Ran"]), (503, "no"))
        self.assert_complete(await self.stream(first, 20), 20)
        await self.site.call_json(self.site.platform, "POST", "/faults", b'{"down": false}')

        async def runs():
            reply = await self.pay(second, "k2")
            return reply is not None and reply.status == 200

        await self.until(runs)
        rows = [r for r in self.site.records("service-*.jsonl") if r["path"] == "payments"]
        self.assertEqual(len(rows), 2)

    async def owner_is_paused_and_resumed(self):
        # The owner's process is paused until another entry host has replaced it, and then resumes
        # unaware of the take-over. The other entry host must serve throughout.
        await self.until(self.owner_names)
        owner, *_ = await self.owner_names()
        other = next(e for e in self.site.entries if e.host != owner)
        self.site.signal(owner, signal.SIGSTOP)
        await asyncio.sleep(9.0)
        self.assert_complete(await self.stream(other, 20), 20)
        self.site.signal(owner, signal.SIGCONT)
        await self.site.wait_until_serving(2, 60)

    async def entry_host_drains_during_a_stream(self, entry):
        # SIGTERM arrives in the middle of a stream of four seconds. The stream must complete before
        # the process exits.
        stream = asyncio.create_task(self.stream(entry, 200))
        await asyncio.sleep(1.0)
        process = self.site.process_by_name[entry.host]
        process.send_signal(signal.SIGTERM)
        self.assert_complete(await stream, 200)
        await asyncio.get_running_loop().run_in_executor(None, process.wait, 30)
        self.assertEqual(process.returncode, 0)
