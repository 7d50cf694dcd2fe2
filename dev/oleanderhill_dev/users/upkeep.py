"""``make upkeep``: what an entry host does at each reading and report, by the size of the fleet.

No store, no network: readings go straight into the mirror of one entry host, and reports into its
gossip, as they would come in a fleet of that size. It prints milliseconds of one core.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import defopt

from oleanderhill.clients.storage import Change, Revision
from oleanderhill.clients.store_reads import ReadResult
from oleanderhill.clock import boottime_seconds
from oleanderhill.groups.inventory import Instance
from oleanderhill.groups.ownership import Presence, encode_presence, presence_key
from oleanderhill.groups.plans import DomainPlan, PlannedGroup, encode_plan, plan_key
from oleanderhill.platform.entry import EntryHost
from oleanderhill.serving.gossip import GossipTask
from oleanderhill.serving.reports import LoadReport, Scope

from .site import entry_settings

FIRST = Revision(1, 1)

REPEATS = 50
DATA_CENTRES = tuple("abcde")
NOWHERE = "127.0.0.1:0"


class Size(NamedTuple):
    """A fleet: models by the hosts of one group, and how many groups of each a domain holds."""

    entries: int
    hosts: int
    domain: int
    groups_by_model_size: dict[int, int]


SIZES = (
    Size(8, 54, 9, {4: 1, 3: 1}),
    Size(87, 222, 37, {16: 1, 4: 4}),
    Size(195, 1095, 73, {32: 1, 8: 4}),
    Size(2200, 40000, 73, {32: 1, 8: 4}),
)


class _Silent:
    """A datagram transport that sends nothing."""

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Drop a datagram."""

    def close(self) -> None:
        """Close nothing."""


class Fleet:
    """One entry host, and what it would hear in a fleet."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.revision = 1
        settings = entry_settings("e0", NOWHERE, NOWHERE, NOWHERE, NOWHERE)
        settings = settings._replace(data_centre=DATA_CENTRES[0], first_start=False)
        self.entry = EntryHost(settings, os.open(os.devnull, os.O_WRONLY))
        gossip = self.entry.kernel.find("gossip", GossipTask)
        gossip._transport = _Silent()  # type: ignore[assignment]
        self.gossip = gossip
        self._place_by_host: dict[int, tuple[PlannedGroup, int]] = {}
        self.plans = list(self._plans())

    def read(self, changes: list[Change], whole: bool = False) -> None:
        """Hand a reading to the entry host."""
        self.revision += 1
        now = boottime_seconds()
        self.entry._mirror._apply_reading(
            ReadResult(Revision(1, self.revision), whole, changes, now, now)
        )

    def listing(self) -> list[Change]:
        """Return the content of the store as a process finds it when it starts."""
        presences = [
            Presence(f"e{n}", "x", f"10.0.{n // 250}.{n % 250}:7700", DATA_CENTRES[n % 5])
            for n in range(1, self.size.entries)
        ]
        presences.append(self.entry._presence.me)
        return [
            Change("op/config", self._configuration(), FIRST),
            *(Change(presence_key(p.name), encode_presence(p), FIRST) for p in presences),
            *(self.host_entry(n, "") for n in range(self.size.hosts)),
        ]

    def host_entry(self, number: int, state: str) -> Change:
        """Return the entry of a host, in its group and a state of it, or in none."""
        group = None
        model = ""
        if state and number in self._place_by_host:
            planned, rank = self._place_by_host[number]
            model = planned.model
            shown = "ready" if rank and state == "open" else state
            group = {"name": planned.name, "epoch": planned.epoch, "rank": rank, "state": shown}
        value = {
            "service": "pool",
            "address": f"10.{1 + number // 62500}.{number // 250 % 250}.{number % 250}:8080",
            "zone": DATA_CENTRES[number % 5],
            "version": "v1",
            "max_batch": 11,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.revision,
            "domain": f"d{number // self.size.domain}",
            "staged": [model] if model else [],
            "group": group,
        }
        return Change(
            f"servers/i-{number:08x}", json.dumps(value).encode(), Revision(1, self.revision)
        )

    def all_hosts(self, state: str) -> list[Change]:
        """Return the entries of all hosts that are in groups."""
        return [self.host_entry(n, state) for n in self._place_by_host]

    def total(self) -> LoadReport:
        """Return what a hub tells its neighbours of a busy fleet."""
        targets = [g.name for p in self.plans for g in p.groups]
        counts, ages = dict.fromkeys(targets, 5), dict.fromkeys(targets, 0.05)
        return LoadReport("e1", Scope.TOTAL, "a", 0, counts, [], ages, {})

    def _plans(self) -> Iterator[DomainPlan]:
        size = self.size
        for domain in range(size.hosts // size.domain):
            first = domain * size.domain
            plan = DomainPlan(f"d{domain}", "e1", "x", 1)
            for hosts, count in size.groups_by_model_size.items():
                for _ in range(count):
                    numbers = range(first, first + hosts)
                    first += hosts
                    members = tuple(Instance(f"i-{n:08x}") for n in numbers)
                    plan = plan.with_group(f"m{hosts}", members)
                    places = enumerate(numbers)
                    self._place_by_host |= {n: (plan.groups[-1], rank) for rank, n in places}
            yield plan

    def _configuration(self) -> bytes:
        models = [
            {"name": f"m{n}", "size": n, "traffic_share": 0.5, "load_s": 12.0, "warm_s": 1.1}
            for n in self.size.groups_by_model_size
        ]
        engine = {"max_batch": 11, "loads_per_s": 91.0, "loads_at_once": 136, "models": models}
        services = [{"name": "pool", "max_connections": 1000, "runtime": engine}]
        return json.dumps({"version": 1, "routes": [], "services": services}).encode()


async def measure(size: Size) -> dict[str, float]:
    """Return milliseconds of one core by what is done, for one size of fleet."""
    fleet = Fleet(size)
    alternating = [[fleet.host_entry(0, s)] for s in ("ready", "joining")]
    total = fleet.total()
    found = {
        "whole content": _timed(lambda: fleet.read(fleet.listing(), True), 1),
        "plans": _timed(lambda: fleet.read(_written(fleet)), 1),
        "all hosts join": _timed(lambda: fleet.read(fleet.all_hosts("joining")), 1),
    }
    fleet.read(fleet.all_hosts("open"))
    await fleet.gossip.tick()
    steps: dict[str, Callable[[], Any]] = {
        "reading, nothing new": lambda: fleet.read([]),
        "reading, one host changed": lambda: fleet.read(alternating[fleet.revision % 2]),
        "look at the domains": fleet.entry._owner._refresh_all,
        "report": lambda: _finish(fleet.gossip.tick()),
        "total taken": lambda: fleet.gossip._apply_total(total, fleet.gossip._own, 0.0),
    }
    return found | {name: _timed(step, REPEATS) for name, step in steps.items()}


def _written(fleet: Fleet) -> list[Change]:
    return [
        Change(plan_key(p.domain), encode_plan(p), Revision(1, fleet.revision)) for p in fleet.plans
    ]


def _timed(step: Callable[[], Any], repeats: int) -> float:
    began = time.process_time()
    for _ in range(repeats):
        step()
    return (time.process_time() - began) / repeats * 1000


def _finish(work: Any) -> None:
    """Run a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration:
        return


def main(*, entries: int = 195) -> None:
    """Print what an entry host's upkeep takes in fleets of up to some size.

    :param entries: entry hosts of the largest fleet, 8, 87, 195 or 2,200
    """
    for size in SIZES:
        if size.entries > entries:
            break
        print(f"{size.entries} entry hosts, {size.hosts} engine hosts")
        for name, milliseconds in asyncio.run(measure(size)).items():
            print(f"  {name:30s} {milliseconds:9.3f} ms")


if __name__ == "__main__":
    defopt.run(main)
