"""``make bench``: latency overhead and throughput of one entry host, relative within one run."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import defopt

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.settings.fleet import hash_key

from .bench_site import EntryAddress, Site, SiteConfig
from .measuring import (
    cpu_seconds,
    histogram,
    milliseconds,
    record,
    resident_mb,
    write_result,
)

KEY = "bench-key"
REQUIRED_TOKENS_PER_SECOND = 9_100
"""Tokens per second that each entry host relays at the planned size: 20 M over 2,200 hosts."""

STREAMS = 120
TOKEN_INTERVAL = 0.02
"""Seconds between two tokens of a stream."""

CONTROL_BUDGET = {"core_part": 0.02, "resident_mb": 64.0, "bytes_a_second": 5_000.0}
"""What control traffic may cost one entry host at the planned size."""


def settings(services: list[str]) -> dict[str, Any]:
    """Return the team's subtree, with groups of one host to make the entry host the bottleneck."""
    return {
        "models": {"m": {"versions": {"v1": {"weights_gb": 1.0}}}},
        "groups": {"g": {"model": "m", "version": "v1", "hosts": 1, "replicas": {"hall": 4}}},
        "services": {
            "desk": {"targets": [{"address": a, "data_centre": "hall"} for a in services]}
        },
        "accounts": {
            "a": {
                "key_hashes": [hash_key(KEY)],
                "models": ["m"],
                "services": ["desk"],
                "requests_per_second": 100_000,
            }
        },
    }


class _EventCounter(Observer):
    def __init__(self) -> None:
        self.events = 0

    def data(self, chunk: bytes) -> None:
        self.events += chunk.count(b"\n\n")


class Bench:
    """Measures the first entry host of a site."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.entry = site.entries[0]
        self.caller = HttpCaller()

    def pid(self) -> int:
        """Return the process id of the entry host."""
        return self.site.process_by_name[self.entry.host].pid

    async def latency(self, count: int) -> dict[str, Any]:
        """Measure plain calls, alternating direct calls and calls through the entry host."""
        direct, through = histogram(), histogram()
        headers = {"Authorization": f"Bearer {KEY}"}
        service = self.site.service_addresses[0]
        for _ in range(count):
            await self._time_call(direct, Call(service, "GET", "/x", headers))
            await self._time_call(
                through, Call(self.entry.callers, "GET", "/services/desk/x", headers)
            )
        return {
            "direct_p50_ms": milliseconds(direct, 50),
            "direct_p99_ms": milliseconds(direct, 99),
            "through_p50_ms": milliseconds(through, 50),
            "through_p99_ms": milliseconds(through, 99),
            "added_p50_ms": round(milliseconds(through, 50) - milliseconds(direct, 50), 3),
            "added_p99_ms": round(milliseconds(through, 99) - milliseconds(direct, 99), 3),
        }

    async def _time_call(self, latencies: Any, call: Call) -> None:
        began = time.perf_counter()
        reply = (await self.caller.call(call)).value_or(None)
        if reply is None or reply.status != 200:
            raise RuntimeError("a benchmark call did not return status 200")
        record(latencies, time.perf_counter() - began)

    async def requests(self, seconds: float, concurrency: int) -> dict[str, Any]:
        """Measure the rate of plain calls by workers that each make one call after another."""
        headers = {"Authorization": f"Bearer {KEY}"}
        call = Call(self.entry.callers, "GET", "/services/desk/x", headers)
        ends = time.monotonic() + seconds
        done = 0

        async def worker() -> None:
            nonlocal done
            while time.monotonic() < ends:
                reply = (await self.caller.call(call)).value_or(None)
                done += reply is not None and reply.status == 200

        cpu = cpu_seconds(self.pid())
        began = time.monotonic()
        await asyncio.gather(*(worker() for _ in range(concurrency)))
        took = time.monotonic() - began
        used = cpu_seconds(self.pid()) - cpu
        return {
            "per_second": round(done / took, 1),
            "cpu_ms_each": round(1000 * used / done, 3),
            "per_core_second": round(done / used, 1),
        }

    async def tokens(self, streams: int, tokens: int) -> dict[str, Any]:
        """Measure concurrent streams at the engines' token rate, one event per token."""
        headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
        body = json.dumps(
            {
                "model": "m",
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": "x"}],
            }
        ).encode()
        call = Call(self.entry.callers, "POST", "/v1/chat/completions", headers, body, 120.0)
        counters = [_EventCounter() for _ in range(streams)]
        cpu = cpu_seconds(self.pid())
        began = time.monotonic()
        results = await asyncio.gather(*(self.caller.call(call, c) for c in counters))
        took = time.monotonic() - began
        used = cpu_seconds(self.pid()) - cpu
        relayed = sum(c.events for c in counters)
        complete = sum(1 for r in results if r.value_or(None) is not None)
        return {
            "streams": streams,
            "whole": complete,
            "per_second": round(relayed / took, 1),
            "cpu_us_each": round(1e6 * used / relayed, 2),
            "per_core_second": round(relayed / used, 1),
            "of_size_to_come": round(relayed / used / REQUIRED_TOKENS_PER_SECOND, 2),
        }

    async def control(self, seconds: float) -> dict[str, Any]:
        """Measure the cost of control traffic alone, at the domain owner and another entry host."""
        costs = [await self._idle_cost(e, seconds) for e in self.site.entries]
        owner = max(costs, key=lambda c: c["probes_a_second"])
        other = min(costs, key=lambda c: c["probes_a_second"])
        probing_cores = owner["core_part"] - other["core_part"]
        return {
            "other": other,
            "owner": owner,
            "us_a_probe": round(1e6 * probing_cores / max(owner["probes_a_second"], 0.01), 1),
        }

    async def _idle_cost(self, entry: EntryAddress, seconds: float) -> dict[str, Any]:
        pid = self.site.process_by_name[entry.host].pid
        before = (await self.site.call_json(entry.operators, "GET", "/v1/status"))["cost"]
        cpu = cpu_seconds(pid)
        await asyncio.sleep(seconds)
        used = cpu_seconds(pid) - cpu
        after = (await self.site.call_json(entry.operators, "GET", "/v1/status"))["cost"]
        sent = (after["peer_bytes_sent"] - before["peer_bytes_sent"]) / seconds
        return {
            "core_part": round(used / seconds, 4),
            "resident_mb": round(resident_mb(pid), 1),
            "peer_bytes_sent_a_second": round(sent, 1),
            "store_reads_a_second": round(
                (after["store_reads"] - before["store_reads"]) / seconds, 3
            ),
            "probes_a_second": round((after["probes"] - before["probes"]) / seconds, 2),
            "core_part_of_budget": round(used / seconds / CONTROL_BUDGET["core_part"], 2),
            "memory_of_budget": round(resident_mb(pid) / CONTROL_BUDGET["resident_mb"], 2),
            "bytes_of_budget": round(sent / CONTROL_BUDGET["bytes_a_second"], 3),
        }


async def run(folder: Path, program: list[str], quick: bool) -> dict[str, Any]:
    """Run the benchmark and return its figures."""
    config = SiteConfig(
        ("hall", "hall", "hall"),
        {("hall", "fabric-a"): 4},
        pace=TOKEN_INTERVAL,
        prefill=0.01,
        capacity=200,
        host_prefix="bench",
    )
    site = Site(config, folder, program)
    try:
        site.start()
        await asyncio.sleep(3.0)
        tree = folder / "yard.json"
        tree.write_text(json.dumps(settings(site.service_addresses)))
        finished = site.run_command("settings", "put", "yard", str(tree))
        if finished.returncode:
            raise RuntimeError(finished.stderr)
        await site.wait_until_serving(4, 60)
        bench = Bench(site)
        return {
            "control": await bench.control(5.0 if quick else 15.0),
            "latency": await bench.latency(200 if quick else 1000),
            "requests": await bench.requests(3.0 if quick else 8.0, 16),
            "tokens": await bench.tokens(STREAMS, 200 if quick else 500),
        }
    finally:
        site.stop()


def main(
    *, folder: str = "build/bench", program: str = "dist/oleanderhill", quick: bool = False
) -> None:
    """Benchmark one entry host.

    :param folder: directory for logs
    :param program: path of the oleanderhill program to run
    :param quick: make shorter measurements
    """
    result = asyncio.run(run(Path(folder), [program], quick))
    for section, figures in result.items():
        print(f"bench: {section}: " + " ".join(f"{k}={v}" for k, v in figures.items()))
    print(f"bench: written to {write_result('bench', result)}")


if __name__ == "__main__":
    defopt.run(main)
