"""``make load``: open-loop load through real entry hosts, compared with baseline policies.

Requests arrive as a Poisson process, and latency counts from the scheduled arrival, so that a slow
response does not hide the delay of the requests after it (coordinated omission). All policies get
the same arrivals in the same run.
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
from oleanderhill.settings.fleet import hash_key

from .bench_site import Site, SiteConfig
from .measuring import RESULTS_FOLDER, histogram, milliseconds, record, write_result

DATA_CENTRES = ("intake-hall", "strip-hall", "bale-yard")
REPLICAS = 18
FARM_COUNT = 3
CAPACITY = 4
TOKEN_INTERVAL = 0.02
PREFILL = 0.15
MEAN_TOKENS = 20
REQUEST_TIMEOUT = 8.0
PEAK = REPLICAS * CAPACITY / (PREFILL + TOKEN_INTERVAL * MEAN_TOKENS)
"""Requests per second that fill every batch of every replica, without cached prefixes."""

SMALL, LARGE = 8, 2
POLICIES = ("ours", "random", "round robin", "least in flight", "reported load")


class Arrival(NamedTuple):
    """One request of the schedule.

    :param at: seconds after the start of the scenario
    """

    at: float
    account: str
    prompt: str
    tokens: int


class Scenario(NamedTuple):
    """A load and the fault injected under it.

    :param load: arrival rate as a fraction of the peak
    :param inject_fault: injects the fault before the load starts
    :param clear_fault: clears the fault after the load
    :param greedy_share: share of the requests moved from all accounts to the last small account
    """

    name: str
    load: float
    inject_fault: Callable[[LoadSite], Awaitable[None]] | None = None
    clear_fault: Callable[[LoadSite], Awaitable[None]] | None = None
    greedy_share: float = 0.0


class Measured(NamedTuple):
    """Results of one scenario; the field names are the keys of the result file."""

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


class _StreamObserver(Observer):
    def __init__(self) -> None:
        self.first_event_at = 0.0
        self.done = False

    def data(self, chunk: bytes) -> None:
        if not self.first_event_at:
            self.first_event_at = time.monotonic()
        self.done = self.done or b"[DONE]" in chunk


class LoadSite(Site):
    """A site whose engines share a few processes and whose entry hosts use a given policy."""

    policy = "ours"

    def start_engine(self, name: str) -> None:
        """Start the processes of all engines when the first engine is started."""
        if "farm-0" in self.process_by_name:
            return
        names = list(self.address_by_engine)
        for number in range(FARM_COUNT):
            engines = {n: self.address_by_engine[n] for n in names[number::FARM_COUNT]}
            self.spawn_dev(f"farm-{number}", "engine_farm", json.dumps(engines))

    def start_entry(self, entry: Any) -> None:
        """Start an entry host with the policy under test."""
        path = self.write_boot(entry)
        self.spawn_dev(entry.host, "policy_entry", path, "--policy", self.policy)

    async def set_fault(self, number: int, **change: Any) -> None:
        """Set faults of the engine with this index."""
        address = list(self.address_by_engine.values())[number]
        await self.call_json(address, "POST", "/faults", json.dumps(change).encode())


def accounts() -> list[str]:
    """Return the account names: a few large accounts, then many small ones."""
    return [f"large-{n}" for n in range(LARGE)] + [f"small-{n}" for n in range(SMALL)]


def settings() -> dict[str, Any]:
    """Return the team's subtree, which limits each small account to a fifth of the peak rate."""
    return {
        "models": {"m": {"versions": {"v1": {"weights_gb": 1.0}}}},
        "groups": {
            "g": {
                "model": "m",
                "version": "v1",
                "hosts": 1,
                "replicas": {c: REPLICAS // len(DATA_CENTRES) for c in DATA_CENTRES},
            }
        },
        "accounts": {
            name: {
                "key_hashes": [hash_key(name)],
                "models": ["m"],
                "requests_per_second": PEAK * (2.0 if name.startswith("large") else 0.2),
            }
            for name in accounts()
        },
    }


def arrivals(seed: int, seconds: float, scenario: Scenario) -> list[Arrival]:
    """Return the schedule of a scenario, which is the same for every policy."""
    rng = numpy.random.default_rng(seed)
    names = accounts()
    shares = numpy.array([0.3] * LARGE + [0.4 / SMALL] * SMALL) * (1.0 - scenario.greedy_share)
    shares[-1] += scenario.greedy_share
    schedule: list[Arrival] = []
    now = 0.0
    while True:
        now += rng.exponential(1.0 / (scenario.load * PEAK))
        if now > seconds:
            return schedule
        prefix = f"prompt {int(rng.zipf(1.5)) % 60} ".ljust(256, ".")
        tokens = int(min(100, max(2, rng.geometric(1.0 / MEAN_TOKENS))))
        schedule.append(Arrival(now, str(rng.choice(names, p=shares)), prefix, tokens))


async def drive(site: LoadSite, schedule: list[Arrival]) -> Measured:
    """Send the requests of a schedule and return the results."""
    first_event, complete = histogram(), histogram()
    counts = {"whole": 0, "in_time": 0, "refused": 0, "cut": 0, "small": 0, "small_in_time": 0}
    caller = HttpCaller()
    began = time.monotonic()

    async def send(number: int, arrival: Arrival) -> None:
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
            "X-Request-Timeout": str(REQUEST_TIMEOUT),
        }
        path = "/v1/chat/completions"
        call = Call(entry.callers, "POST", path, headers, json.dumps(body).encode(), 30.0)
        observer = _StreamObserver()
        reply = (await caller.call(call, observer)).value_or(None)
        took = time.monotonic() - (began + arrival.at)
        # The last small account may be the greedy one, so it is not counted among the others.
        small = arrival.account.startswith("small") and arrival.account != accounts()[-1]
        counts["small"] += small
        if observer.done:
            counts["whole"] += 1
            record(first_event, observer.first_event_at - (began + arrival.at))
            record(complete, took)
            counts["in_time"] += took <= REQUEST_TIMEOUT
            counts["small_in_time"] += small and took <= REQUEST_TIMEOUT
        elif reply is not None and reply.status in (429, 503):
            counts["refused"] += 1
        else:
            counts["cut"] += 1

    await asyncio.gather(*(send(n, a) for n, a in enumerate(schedule)))
    took = time.monotonic() - began
    return Measured(
        len(schedule),
        counts["whole"],
        counts["in_time"],
        counts["refused"],
        counts["cut"],
        milliseconds(first_event, 50),
        milliseconds(first_event, 99),
        milliseconds(complete, 50),
        milliseconds(complete, 99),
        round(counts["in_time"] / took, 2),
        round(counts["small_in_time"] / max(1, counts["small"]), 3),
    )


async def _slow_engine(site: LoadSite) -> None:
    await site.set_fault(0, slow=8.0)


async def _restore_speed(site: LoadSite) -> None:
    await site.set_fault(0, slow=1.0)


async def _hang_engine(site: LoadSite) -> None:
    await site.set_fault(1, silent=True, stall=True)


async def _resume_engine(site: LoadSite) -> None:
    await site.set_fault(1, silent=False, stall=False)


async def _stop_store(site: LoadSite) -> None:
    await site.call_json(site.platform, "POST", "/faults", b'{"down": true}')


async def _restore_store(site: LoadSite) -> None:
    await site.call_json(site.platform, "POST", "/faults", b'{"down": false}')


SCENARIOS = (
    Scenario("peace", 0.6),
    Scenario("straggler", 0.6, _slow_engine, _restore_speed),
    Scenario("dead replica", 0.6, _hang_engine, _resume_engine),
    Scenario("store outage", 0.6, _stop_store, _restore_store),
    Scenario("greedy account", 0.9, greedy_share=0.5),
    Scenario("twice the load", 2.0),
)


async def run_policy(folder: Path, policy: str, seconds: float) -> dict[str, Measured]:
    """Run all scenarios against one policy."""
    config = SiteConfig(
        tuple(c for c in DATA_CENTRES for _ in range(2)),
        {(c, f"fabric-{c}"): REPLICAS // len(DATA_CENTRES) for c in DATA_CENTRES},
        services=0,
        host_prefix="load",
        second_octet=9,
    )
    site = LoadSite(config, folder, [])
    site.policy = policy
    results = {}
    try:
        site.start()
        await asyncio.sleep(3.0)
        body = json.dumps(settings()).encode()
        await site.call_json(site.entries[0].operators, "PUT", "/v1/settings/yard", body)
        await site.wait_until_serving(REPLICAS, 60)
        for number, scenario in enumerate(SCENARIOS):
            if scenario.inject_fault is not None:
                await scenario.inject_fault(site)
            results[scenario.name] = await drive(site, arrivals(number, seconds, scenario))
            if scenario.clear_fault is not None:
                await scenario.clear_fault(site)
            await site.wait_until_serving(REPLICAS, 60)
    finally:
        site.stop()
    return results


def format_results(results: dict[str, dict[str, Measured]]) -> str:
    """Return the results as text, with ratios to oleanderhill's own policy."""
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


PAGE_HEADER = f"""# Load, measured

Made by `make load` (`--write-page` writes this page from its last result). Six entry hosts in three
data centres on one machine, {REPLICAS} replicas (of one host each, to fit it) with batches of
{CAPACITY}, {LARGE} large and {SMALL} small accounts, Poisson arrivals that are the same for every
policy, timed from their scheduled moment. The peak is {PEAK:.0f} requests a second without cached
prefixes. One run of each cell: no spread is given, so differences of some per cent are noise.
Distances between data centres are not imitated, and there are no plain services in it.
"""


def format_page(policies: dict[str, dict[str, dict[str, float]]]) -> str:
    """Return the results as a Markdown page, with ratios to oleanderhill's own policy."""
    lines = [PAGE_HEADER]
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
    """Compare oleanderhill's policy with baselines under load, with replicas of one host.

    :param seconds: duration of each scenario
    :param folder: directory for logs
    :param policies: policies to run, separated by commas; all by default
    :param write_page: only write docs/LOAD.md from the last result
    """
    if write_page:
        result = json.loads((RESULTS_FOLDER / "load.json").read_text())
        Path("docs/LOAD.md").write_text(format_page(result["policies"]))
        return
    chosen = [p for p in POLICIES if not policies or p in policies.split(",")]
    results = {
        p: asyncio.run(run_policy(Path(folder) / p.replace(" ", "-"), p, seconds)) for p in chosen
    }
    print(format_results(results))
    rows = {p: {s: m._asdict() for s, m in r.items()} for p, r in results.items()}
    print(f"load: written to {write_result('load', {'peak': PEAK, 'policies': rows})}")


if __name__ == "__main__":
    defopt.run(main)
