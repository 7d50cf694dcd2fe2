"""The demo: a complete site on loopback with traffic through every entry host.

During the traffic it kills one engine host and one entry host.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import defopt

from oleanderhill.clients.httpcall import Call, Observer

from .bench_site import EntryAddress, Site, SiteConfig, new_key
from .engine_standin import answer, token

REQUESTS = 240
TOKENS = 30
MAX_CALLER_ATTEMPTS = 12

TEAM = "yard"


class Outcome(NamedTuple):
    """Result of one request, after the retries of its caller.

    :param kind: ``answered``, ``refused`` or ``wrong``
    :param payment: body of the payment, empty for other requests
    """

    number: int
    kind: str
    detail: str
    payment: str = ""


class _BodyCollector(Observer):
    def __init__(self) -> None:
        self.body = b""

    def data(self, chunk: bytes) -> None:
        self.body += chunk


def settings(clerk_key: str, gate_key: str, services: list[str]) -> dict[str, Any]:
    """Return the team's subtree."""
    from oleanderhill.settings.fleet import hash_key

    return {
        "models": {
            "bale-reader": {"versions": {"v1": {"weights_gb": 40.0}}, "adapters": ["contamination"]}
        },
        "groups": {
            "bale": {
                "model": "bale-reader",
                "version": "v1",
                "hosts": 4,
                "replicas": {"intake-hall": 2},
                "adapters": ["contamination"],
            }
        },
        "services": {
            "yard-operations": {
                "targets": [{"address": a, "data_centre": "strip-hall"} for a in services],
                "not_repeatable": ["/payments"],
            }
        },
        "accounts": {
            "clerks": {
                "key_hashes": [hash_key(clerk_key)],
                "models": ["bale-reader"],
                "services": ["yard-operations"],
                "requests_per_second": 500,
                "priority": 5,
            },
            "gate": {
                "key_hashes": [hash_key(gate_key)],
                "models": ["bale-reader"],
                "services": ["yard-operations"],
                "requests_per_second": 500,
            },
        },
    }


class Callers:
    """Simulates callers that use any live entry host and retry as ``Retry-After`` says."""

    def __init__(self, site: Site, key: str) -> None:
        self.site = site
        self.key = key
        self.rng = random.Random(7)
        self.retries = 0

    async def run(self, number: int) -> Outcome:
        """Make one request, whose kind depends on its number, and return its outcome."""
        request_kinds = (self._plain, self._stream, self._stream, self._service, self._payment)
        return await request_kinds[number % len(request_kinds)](number)

    async def _plain(self, number: int) -> Outcome:
        prompt = f"manifest {number}"
        body = self._chat(prompt, stream=False)
        status, text = await self._call(number, "POST", "/v1/chat/completions", body, {})
        if status != 200:
            return Outcome(number, "refused", f"status {status}")
        content = json.loads(text)["choices"][0]["message"]["content"]
        correct = content == answer(prompt, TOKENS)
        return Outcome(number, "answered" if correct else "wrong", "plain")

    async def _stream(self, number: int) -> Outcome:
        prompt = f"bale report {number}"
        body = self._chat(prompt, stream=True)
        status, text = await self._call(number, "POST", "/v1/chat/completions", body, {})
        if status != 200:
            return Outcome(number, "refused", f"status {status}")
        events = [e for e in text.decode().split("\n\n") if e]
        tokens = [json.loads(e[6:])["choices"][0]["delta"]["content"] for e in events[:-1]]
        correct = events[-1] == "data: [DONE]" and tokens == [
            token(prompt, n) for n in range(TOKENS)
        ]
        return Outcome(number, "answered" if correct else "wrong", "stream")

    async def _service(self, number: int) -> Outcome:
        path = f"/services/yard-operations/scan/{number}"
        status, text = await self._call(number, "GET", path, b"", {})
        return Outcome(number, "answered" if status == 200 else "refused", f"scan {status}")

    async def _payment(self, number: int) -> Outcome:
        key = f"haul-{number}"
        body = json.dumps({"haul": number}).encode()
        headers = {"Idempotency-Key": key, "X-Not-Repeatable": "true"}
        path = "/services/yard-operations/payments"
        status, text = await self._call(number, "POST", path, body, headers)
        kind = "answered" if status == 200 else "refused"
        return Outcome(number, kind, f"payment {status}", body.decode())

    def _chat(self, prompt: str, stream: bool) -> bytes:
        messages = [{"role": "user", "content": prompt}]
        body = {
            "model": "bale-reader",
            "messages": messages,
            "max_tokens": TOKENS,
            "stream": stream,
        }
        return json.dumps(body).encode()

    async def _call(
        self, number: int, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        """Call through any live entry host and retry after failures and rejections."""
        headers = {**headers, "Authorization": f"Bearer {self.key}"}
        for attempt in range(MAX_CALLER_ATTEMPTS):
            entry = self._pick_entry(number + attempt)
            observer = _BodyCollector()
            call = Call(entry.callers, method, path, headers, body, timeout=60.0)
            result = await self.site.caller.call(call, observer)
            reply = result.value_or(None)
            if reply is not None and reply.status == 200 and b"event: error" not in observer.body:
                return 200, observer.body
            # A caller also retries after a lost connection; a payment keeps its idempotency key.
            self.retries += 1
            wait = float(reply.headers.get("Retry-After", "0.5")) if reply is not None else 0.5
            if reply is not None and reply.status not in (409, 429, 502, 503, 504, 200):
                return reply.status, observer.body
            await asyncio.sleep(wait)
        return (reply.status if reply is not None else 0), observer.body

    def _pick_entry(self, number: int) -> EntryAddress:
        live = [e for e in self.site.entries if e.host in self.site.process_by_name]
        return live[number % len(live)]


async def run_demo(folder: Path, program: list[str]) -> int:
    """Run the demo and return its exit code."""
    config = SiteConfig(
        ("intake-hall", "intake-hall", "strip-hall"), {("intake-hall", "fabric-a"): 10}, services=1
    )
    site = Site(config, folder, program)
    try:
        site.start()
        return await _run_steps(site)
    finally:
        site.stop()


async def _run_steps(site: Site) -> int:
    began = time.monotonic()

    def report(text: str) -> None:
        print(f"demo: {time.monotonic() - began:5.1f} s  {text}", flush=True)

    report("started a platform, 10 engines, a plain service and 3 entry hosts as processes")
    await _wait_until_up(site)
    key, gate = new_key(), new_key()
    fleet, yard = site.folder / "fleet.json", site.folder / "yard.json"
    fleet.write_text(json.dumps({"exchange_rate": 20.0, "entry_hosts": 3}))
    yard.write_text(json.dumps(settings(key, gate, site.service_addresses)))
    for team, path in (("fleet", fleet), (TEAM, yard)):
        finished = site.run_command("settings", "put", team, str(path))
        report(f"settings put: {(finished.stdout or finished.stderr).strip()}")
    report(f"2 groups of 4 hosts serve after {await site.wait_until_serving(2, 40):.1f} s")

    callers = Callers(site, key)
    kills = asyncio.create_task(_kill_hosts(site, report))
    report(f"{REQUESTS} requests through all entry hosts: plain, streamed, scans, payments")
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(callers.run(number)))
        await asyncio.sleep(0.05)
    outcomes = await asyncio.gather(*tasks)
    await kills
    report(
        f"2 groups serve again {await site.wait_until_serving(2, 30):.1f} s after the last answer"
    )
    report(f"callers retried {callers.retries} times after a lost connection or a rejection")
    print(site.run_command("status").stdout, flush=True)
    return _summarize(site, outcomes, report)


async def _wait_until_up(site: Site) -> None:
    for _ in range(100):
        answers = [await site.call_json(e.operators, "GET", "/v1/in-force") for e in site.entries]
        if all(a is not None for a in answers):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("the entry hosts did not answer within 100 attempts")


async def _kill_hosts(site: Site, report: Any) -> None:
    await asyncio.sleep(4.0)
    status = await site.call_json(site.entries[0].operators, "GET", "/v1/status")
    victim = status["groups"][0]["hosts"][2]
    site.kill(victim)
    report(f"killed {victim}, a member of {status['groups'][0]['group']}")
    began = time.monotonic()
    while await site.count_serving(site.entries[0]) >= 2:
        await asyncio.sleep(0.05)
    report(f"the group takes no requests {time.monotonic() - began:.1f} s after the kill")
    took = await site.wait_until_serving(2, 30, entries=1)
    report(f"repaired from a spare {took:.1f} s later")
    site.kill("entry-2")
    report("killed entry-2")


def _summarize(site: Site, outcomes: list[Outcome], report: Any) -> int:
    """Print the counts from the outcomes and the records of the service; return the exit code."""
    answered = sum(1 for o in outcomes if o.kind == "answered")
    refused = [o for o in outcomes if o.kind == "refused"]
    wrong = [o for o in outcomes if o.kind == "wrong"]
    runs_by_payment: dict[str, int] = {}
    for row in site.records("service-*.jsonl"):
        if row["path"] == "payments" and row["event"] == "start":
            runs_by_payment[row["body"]] = runs_by_payment.get(row["body"], 0) + 1
    doubled = sum(1 for count in runs_by_payment.values() if count > 1)
    unpaid = [
        o
        for o in outcomes
        if o.payment and o.kind == "answered" and not runs_by_payment.get(o.payment)
    ]
    lost = len(wrong) + len(unpaid) + (REQUESTS - len(outcomes))
    for outcome in refused[:5] + wrong[:5]:
        report(f"{outcome.kind}: request {outcome.number} {outcome.detail}")
    print(f"demo: answered={answered} refused={len(refused)} lost={lost} doubled={doubled}")
    return 1 if lost or doubled else 0


def main(*, folder: str = "build/demo", program: str = "dist/oleanderhill") -> None:
    """Run the demo.

    :param folder: directory for logs and records; its files are deleted first
    :param program: path of the oleanderhill program to run
    """
    path = Path(folder)
    for old in path.glob("*"):
        old.unlink()
    sys.exit(asyncio.run(run_demo(path, [program])))


if __name__ == "__main__":
    defopt.run(main)
