"""``make bench``: what one entry host adds and carries, as ratios within one run."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import defopt

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.settings.fleet import hash_of

from .bench_site import EntryAddress, Shape, Site
from .measuring import (
    cpu_seconds,
    histogram,
    milliseconds,
    record,
    resident_mb,
    write_result,
)

KEY = "bench-key"
NEEDED_TOKENS = 9_100
"""Tokens a second of one node at the size to come: 20 M over 2,200 nodes."""

STREAMS = 120
PACE = 0.02
SIZE_TO_COME = {"core_part": 0.02, "resident_mb": 64.0, "bytes_a_second": 5_000.0}


def settings(services: list[str]) -> dict[str, Any]:
    """Return the team's subtree: groups of one host, so that the entry host is the narrow part."""
    return {
        "models": {"m": {"versions": {"v1": {"weights_gb": 1.0}}}},
        "groups": {"g": {"model": "m", "version": "v1", "hosts": 1, "replicas": {"hall": 4}}},
        "services": {
            "desk": {"targets": [{"address": a, "data_centre": "hall"} for a in services]}
        },
        "accounts": {
            "a": {
                "key_hashes": [hash_of(KEY)],
                "models": ["m"],
                "services": ["desk"],
                "requests_per_second": 100_000,
            }
        },
    }


class _Counter(Observer):
    def __init__(self) -> None:
        self.events = 0

    def data(self, chunk: bytes) -> None:
        self.events += chunk.count(b"\n\n")


class Bench:
    """One run over one site."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.entry = site.entries[0]
        self.caller = HttpCaller()

    def pid(self) -> int:
        """Return the process id of the entry host."""
        return self.site.process_by_name[self.entry.host].pid

    async def latency(self, count: int) -> dict[str, Any]:
        """Time a plain call directly and through the entry host, in turns."""
        direct, through = histogram(), histogram()
        headers = {"Authorization": f"Bearer {KEY}"}
        service = self.site.service_addresses[0]
        for _ in range(count):
            await self._timed(direct, Call(service, "GET", "/x", headers))
            await self._timed(through, Call(self.entry.callers, "GET", "/services/desk/x", headers))
        return {
            "direct_p50_ms": milliseconds(direct, 50),
            "direct_p99_ms": milliseconds(direct, 99),
            "through_p50_ms": milliseconds(through, 50),
            "through_p99_ms": milliseconds(through, 99),
            "added_p50_ms": round(milliseconds(through, 50) - milliseconds(direct, 50), 3),
            "added_p99_ms": round(milliseconds(through, 99) - milliseconds(direct, 99), 3),
        }

    async def _timed(self, into: Any, call: Call) -> None:
        began = time.perf_counter()
        reply = (await self.caller.call(call)).value_or(None)
        if reply is None or reply.status != 200:
            raise RuntimeError("a call of the benchmark failed")
        record(into, time.perf_counter() - began)

    async def requests(self, seconds: float, at_once: int) -> dict[str, Any]:
        """Make plain calls as fast as they go."""
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
        await asyncio.gather(*(worker() for _ in range(at_once)))
        took = time.monotonic() - began
        used = cpu_seconds(self.pid()) - cpu
        return {
            "per_second": round(done / took, 1),
            "cpu_ms_each": round(1000 * used / done, 3),
            "per_core_second": round(done / used, 1),
        }

    async def tokens(self, streams: int, tokens: int) -> dict[str, Any]:
        """Relay streams at the engines' pace, one event a token."""
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
        counters = [_Counter() for _ in range(streams)]
        cpu = cpu_seconds(self.pid())
        began = time.monotonic()
        results = await asyncio.gather(*(self.caller.call(call, c) for c in counters))
        took = time.monotonic() - began
        used = cpu_seconds(self.pid()) - cpu
        relayed = sum(c.events for c in counters)
        whole = sum(1 for r in results if r.value_or(None) is not None)
        return {
            "streams": streams,
            "whole": whole,
            "per_second": round(relayed / took, 1),
            "cpu_us_each": round(1e6 * used / relayed, 2),
            "per_core_second": round(relayed / used, 1),
            "of_size_to_come": round(relayed / used / NEEDED_TOKENS, 2),
        }

    async def control(self, seconds: float) -> dict[str, Any]:
        """Measure control alone, without requests, at the owner of the domain and at another."""
        costs = [await self._idle(e, seconds) for e in self.site.entries]
        owner = max(costs, key=lambda c: c["probes_a_second"])
        other = min(costs, key=lambda c: c["probes_a_second"])
        probing = owner["core_part"] - other["core_part"]
        return {
            "other": other,
            "owner": owner,
            "us_a_probe": round(1e6 * probing / max(owner["probes_a_second"], 0.01), 1),
        }

    async def _idle(self, entry: EntryAddress, seconds: float) -> dict[str, Any]:
        pid = self.site.process_by_name[entry.host].pid
        before = (await self.site.ask(entry.operators, "GET", "/v1/status"))["cost"]
        cpu = cpu_seconds(pid)
        await asyncio.sleep(seconds)
        used = cpu_seconds(pid) - cpu
        after = (await self.site.ask(entry.operators, "GET", "/v1/status"))["cost"]
        sent = (after["peer_bytes_sent"] - before["peer_bytes_sent"]) / seconds
        return {
            "core_part": round(used / seconds, 4),
            "resident_mb": round(resident_mb(pid), 1),
            "peer_bytes_sent_a_second": round(sent, 1),
            "store_reads_a_second": round(
                (after["store_reads"] - before["store_reads"]) / seconds, 3
            ),
            "probes_a_second": round((after["probes"] - before["probes"]) / seconds, 2),
            "core_part_of_budget": round(used / seconds / SIZE_TO_COME["core_part"], 2),
            "memory_of_budget": round(resident_mb(pid) / SIZE_TO_COME["resident_mb"], 2),
            "bytes_of_budget": round(sent / SIZE_TO_COME["bytes_a_second"], 3),
        }


async def run(folder: Path, program: list[str], quick: bool) -> dict[str, Any]:
    """Run the benchmark and return its figures."""
    shape = Shape(
        ("hall", "hall", "hall"),
        {("hall", "fabric-a"): 4},
        pace=PACE,
        prefill=0.01,
        capacity=200,
        host_prefix="bench",
    )
    site = Site(shape, folder, program)
    try:
        site.start()
        await asyncio.sleep(3.0)
        tree = folder / "yard.json"
        tree.write_text(json.dumps(settings(site.service_addresses)))
        done = site.command("settings", "put", "yard", str(tree))
        if done.returncode:
            raise RuntimeError(done.stderr)
        await site.until_serving(4, 60)
        bench = Bench(site)
        return {
            "control": await bench.control(5.0 if quick else 15.0),
            "latency": await bench.latency(200 if quick else 1000),
            "requests": await bench.requests(3.0 if quick else 8.0, 16),
            "tokens": await bench.tokens(STREAMS, 200 if quick else 500),
        }
    finally:
        site.end()


def main(
    *, folder: str = "build/bench", program: str = "dist/oleanderhill", quick: bool = False
) -> None:
    """Measure one entry host.

    :param folder: where logs go
    :param program: the shipped program
    :param quick: a shorter run
    """
    result = asyncio.run(run(Path(folder), [program], quick))
    for part, figures in result.items():
        print(f"bench: {part}: " + " ".join(f"{k}={v}" for k, v in figures.items()))
    print(f"bench: written to {write_result('bench', result)}")


if __name__ == "__main__":
    defopt.run(main)
