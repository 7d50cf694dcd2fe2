"""``make load``: open-loop load through real entry hosts, ours against baselines in the same run.

Requests arrive by a Poisson process and are timed from their scheduled arrival, so a slow answer
does not hide those that should have come meanwhile. All policies get the same arrivals.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import defopt
import numpy

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.settings.fleet import hash_of

from .bench_site import Shape, Site
from .measuring import RESULTS, histogram, milliseconds, record, write_result

CENTRES = ("intake-hall", "strip-hall", "bale-yard")
REPLICAS = 18
FARMS = 3
CAPACITY = 4
PACE = 0.02
PREFILL = 0.15
MEAN_TOKENS = 20
DEADLINE = 8.0
PEAK = REPLICAS * CAPACITY / (PREFILL + PACE * MEAN_TOKENS)
"""Requests a second at which every place of every batch is taken, without cached prefixes."""

SMALL, LARGE = 8, 2
POLICIES = ("ours", "random", "round robin", "least in flight", "reported load")


class Arrival(NamedTuple):
    """One request of the schedule."""

    at: float
    account: str
    prompt: str
    tokens: int


class Scenario(NamedTuple):
    """A load and what befalls it.

    :param load: part of the peak
    :param greedy: part of the requests that one small account makes
    """

    name: str
    load: float
    strike: Callable[[LoadSite], Awaitable[None]] | None = None
    heal: Callable[[LoadSite], Awaitable[None]] | None = None
    greedy: float = 0.0


class Measured(NamedTuple):
    """What a run came to."""

    sent: int
    whole: int
    in_time: int
    refused: int
    cut: int
    first_p50_ms: float
    first_p99_ms: float
    whole_p50_ms: float
    whole_p99_ms: float
    goodput: float
    small_in_time: float


class _Watch(Observer):
    def __init__(self) -> None:
        self.first_at = 0.0
        self.done = False

    def data(self, chunk: bytes) -> None:
        if not self.first_at:
            self.first_at = time.monotonic()
        self.done = self.done or b"[DONE]" in chunk


class LoadSite(Site):
    """A site whose engines live in a few processes."""

    policy = "ours"

    def start_engine(self, name: str) -> None:
        """Start the farms with the first engine."""
        if "farm-0" in self.process_by_name:
            return
        names = list(self.address_by_engine)
        for number in range(FARMS):
            mine = {n: self.address_by_engine[n] for n in names[number::FARMS]}
            self.spawn_dev(f"farm-{number}", "engine_farm", json.dumps(mine))

    def start_entry(self, entry: Any) -> None:
        """Start an entry host with the policy under test."""
        path = self.write_boot(entry)
        self.spawn_dev(entry.host, "policy_entry", path, "--policy", self.policy)

    async def fault(self, number: int, **change: Any) -> None:
        """Set a fault at one engine."""
        address = list(self.address_by_engine.values())[number]
        await self.ask(address, "POST", "/faults", json.dumps(change).encode())


def accounts() -> list[str]:
    """Return the accounts: a few large, many small."""
    return [f"large-{n}" for n in range(LARGE)] + [f"small-{n}" for n in range(SMALL)]


def settings() -> dict[str, Any]:
    """Return the team's subtree. Small accounts are limited to a fifth of the peak each."""
    return {
        "models": {"m": {"versions": {"v1": {"weights_gb": 1.0}}}},
        "groups": {
            "g": {
                "model": "m",
                "version": "v1",
                "hosts": 1,
                "replicas": {c: REPLICAS // len(CENTRES) for c in CENTRES},
            }
        },
        "accounts": {
            name: {
                "key_hashes": [hash_of(name)],
                "models": ["m"],
                "requests_per_second": PEAK * (2.0 if name.startswith("large") else 0.2),
            }
            for name in accounts()
        },
    }


def arrivals(seed: int, seconds: float, scenario: Scenario) -> list[Arrival]:
    """Return the schedule of a scenario; the same for every policy."""
    rng = numpy.random.default_rng(seed)
    names = accounts()
    parts = numpy.array([0.3] * LARGE + [0.4 / SMALL] * SMALL) * (1.0 - scenario.greedy)
    parts[-1] += scenario.greedy
    found: list[Arrival] = []
    now = 0.0
    while True:
        now += rng.exponential(1.0 / (scenario.load * PEAK))
        if now > seconds:
            return found
        prefix = f"prompt {int(rng.zipf(1.5)) % 60} ".ljust(256, ".")
        tokens = int(min(100, max(2, rng.geometric(1.0 / MEAN_TOKENS))))
        found.append(Arrival(now, str(rng.choice(names, p=parts)), prefix, tokens))


async def drive(site: LoadSite, schedule: list[Arrival]) -> Measured:
    """Send a schedule and measure what comes of it."""
    first, whole = histogram(), histogram()
    counts = {"whole": 0, "in_time": 0, "refused": 0, "cut": 0, "small": 0, "small_in_time": 0}
    caller = HttpCaller()
    began = time.monotonic()

    async def one(number: int, arrival: Arrival) -> None:
        await asyncio.sleep(max(0.0, began + arrival.at - time.monotonic()))
        entry = site.entries[number % len(site.entries)]
        body = {
            "model": "m",
            "stream": True,
            "max_tokens": arrival.tokens,
            "messages": [{"role": "user", "content": arrival.prompt}],
        }
        headers = {
            "Authorization": f"Bearer {arrival.account}",
            "X-Request-Timeout": str(DEADLINE),
        }
        path = "/v1/chat/completions"
        call = Call(entry.callers, "POST", path, headers, json.dumps(body).encode(), 30.0)
        watch = _Watch()
        reply = (await caller.call(call, watch)).value_or(None)
        took = time.monotonic() - (began + arrival.at)
        small = arrival.account.startswith("small") and arrival.account != accounts()[-1]
        counts["small"] += small
        if watch.done:
            counts["whole"] += 1
            record(first, watch.first_at - (began + arrival.at))
            record(whole, took)
            counts["in_time"] += took <= DEADLINE
            counts["small_in_time"] += small and took <= DEADLINE
        elif reply is not None and reply.status in (429, 503):
            counts["refused"] += 1
        else:
            counts["cut"] += 1

    await asyncio.gather(*(one(n, a) for n, a in enumerate(schedule)))
    took = time.monotonic() - began
    return Measured(
        len(schedule),
        counts["whole"],
        counts["in_time"],
        counts["refused"],
        counts["cut"],
        milliseconds(first, 50),
        milliseconds(first, 99),
        milliseconds(whole, 50),
        milliseconds(whole, 99),
        round(counts["in_time"] / took, 2),
        round(counts["small_in_time"] / max(1, counts["small"]), 3),
    )


async def _straggle(site: LoadSite) -> None:
    await site.fault(0, slow=8.0)


async def _no_straggle(site: LoadSite) -> None:
    await site.fault(0, slow=1.0)


async def _silence(site: LoadSite) -> None:
    await site.fault(1, silent=True, stall=True)


async def _no_silence(site: LoadSite) -> None:
    await site.fault(1, silent=False, stall=False)


async def _store_out(site: LoadSite) -> None:
    await site.ask(site.platform, "POST", "/faults", b'{"down": true}')


async def _store_back(site: LoadSite) -> None:
    await site.ask(site.platform, "POST", "/faults", b'{"down": false}')


SCENARIOS = (
    Scenario("peace", 0.6),
    Scenario("straggler", 0.6, _straggle, _no_straggle),
    Scenario("dead replica", 0.6, _silence, _no_silence),
    Scenario("store outage", 0.6, _store_out, _store_back),
    Scenario("greedy account", 0.9, greedy=0.5),
    Scenario("twice the load", 2.0),
)


async def run_policy(folder: Path, policy: str, seconds: float) -> dict[str, Measured]:
    """Run all scenarios against one policy."""
    shape = Shape(
        tuple(c for c in CENTRES for _ in range(2)),
        {(c, f"fabric-{c}"): REPLICAS // len(CENTRES) for c in CENTRES},
        services=0,
        host_prefix="load",
        net=9,
    )
    site = LoadSite(shape, folder, [])
    site.policy = policy
    found = {}
    try:
        site.start()
        await asyncio.sleep(3.0)
        body = json.dumps(settings()).encode()
        await site.ask(site.entries[0].operators, "PUT", "/v1/settings/yard", body)
        await site.until_serving(REPLICAS, 60)
        for number, scenario in enumerate(SCENARIOS):
            if scenario.strike is not None:
                await scenario.strike(site)
            found[scenario.name] = await drive(site, arrivals(number, seconds, scenario))
            if scenario.heal is not None:
                await scenario.heal(site)
            await site.until_serving(REPLICAS, 60)
    finally:
        site.end()
    return found


def show(results: dict[str, dict[str, Measured]]) -> str:
    """Return the results as ratios to ours."""
    lines = []
    for scenario in SCENARIOS:
        ours = results["ours"][scenario.name]
        for policy, rows in results.items():
            m = rows[scenario.name]
            lines.append(
                f"load: {scenario.name}: {policy}: in time {m.in_time}/{m.sent}, refused"
                f" {m.refused}, cut {m.cut}, first p50 {m.first_p50_ms:.0f} p99"
                f" {m.first_p99_ms:.0f} ms (x{m.first_p99_ms / max(ours.first_p99_ms, 1):.2f}),"
                f" whole p99 {m.whole_p99_ms:.0f} ms, goodput {m.goodput}/s"
                f" (x{m.goodput / max(ours.goodput, 0.01):.2f}), small {m.small_in_time}"
            )
    return "\n".join(lines)


HEAD = f"""# Load, measured

Made by `make load` (`--write-page` writes this page from its last result). Six entry hosts in three
data centres on one machine, {REPLICAS} replicas (of one host each, to fit it) with batches of
{CAPACITY}, {LARGE} large and {SMALL} small accounts, Poisson arrivals that are the same for every
policy, timed from their scheduled moment. The peak is {PEAK:.0f} requests a second without cached
prefixes. One run of each cell: no spread is given, so differences of some per cent are noise.
Distances between data centres are not imitated, and there are no plain services in it.
"""


def page(policies: dict[str, dict[str, dict[str, float]]]) -> str:
    """Return the results as a page, as ratios to ours."""
    lines = [HEAD]
    for scenario in SCENARIOS:
        ours = policies["ours"][scenario.name]
        lines.append(f"## {scenario.name}, {scenario.load:g} of the peak\n")
        lines.append(
            "| policy | in time | refused | cut | first p99 ms | ratio | whole p99 ms | small |"
        )
        lines.append("|---|---:|---:|---:|---:|---:|---:|---:|")
        for policy, rows in policies.items():
            m = rows[scenario.name]
            ratio = m["first_p99_ms"] / max(ours["first_p99_ms"], 1.0)
            lines.append(
                f"| {policy} | {m['in_time']:.0f}/{m['sent']:.0f} | {m['refused']:.0f}"
                f" | {m['cut']:.0f} | {m['first_p99_ms']:.0f} | {ratio:.2f}"
                f" | {m['whole_p99_ms']:.0f} | {m['small_in_time']:.2f} |"
            )
        lines.append("")
    return "\n".join(lines)


def main(
    *,
    seconds: float = 10.0,
    folder: str = "build/load",
    policies: str = "",
    write_page: bool = False,
) -> None:
    """Drive the Tema shape, reduced to replicas of one host, against baselines.

    :param seconds: length of each scenario
    :param folder: where logs go
    :param policies: only these, separated by commas
    :param write_page: only write docs/LOAD.md from the last result
    """
    if write_page:
        kept = json.loads((RESULTS / "load.json").read_text())
        Path("docs/LOAD.md").write_text(page(kept["policies"]))
        return
    chosen = [p for p in POLICIES if not policies or p in policies.split(",")]
    results = {
        p: asyncio.run(run_policy(Path(folder) / p.replace(" ", "-"), p, seconds)) for p in chosen
    }
    print(show(results))
    rows = {p: {s: m._asdict() for s, m in r.items()} for p, r in results.items()}
    print(f"load: written to {write_result('load', {'peak': PEAK, 'policies': rows})}")


if __name__ == "__main__":
    defopt.run(main)
