"""Shows the platform path on loopback: groups form, hosts are lost, an entry host drains."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from functools import partial

from returns.pipeline import is_successful

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer
from oleanderhill.platform.entry import EntryHost

from .site import LARGE, SMALL, StandInSite, until

REQUESTS = 60
"""Requests of the demo: enough to have some in flight at each fault."""


FATAL = b"ends whoever begins it"
FATAL_TIMES = 10
MOST_ENDED = 6
"""Hosts that a request may end: three until it is known, and three more."""


LIMIT = 1.5
LIMIT_WINDOW = 4.0
LIMIT_REQUESTS = 120
"""Requests of which a head that names a limit may take a few, twenty a second."""


BACKOFF = 2.0
BACKOFF_REQUESTS = 80
"""Requests of which a head that sheds load gets none, twenty a second."""

ON_ITS_WAY = 0.5
"""Seconds after a target's answer in which requests that had left before may arrive."""

ENTRIES = 2
WRITTEN_SINCE = 2_000
"""Writes that the store loses as it is restored from a backup."""

IN_FORCE = 2.0
"""Seconds after which a configuration must be in force."""


class _Body(Observer):
    def __init__(self) -> None:
        self.data_seen = b""

    def data(self, chunk: bytes) -> None:
        self.data_seen += chunk


async def _ask(site: StandInSite, caller: HttpCaller, number: int, content: bytes = b"x") -> str:
    entry = site.entries[number % len(site.entries)]
    headers = {
        "Host": "yard.example",
        "Authorization": "Bearer key-a",
        "Attempt-Id": f"demo-{number}",
        "Deadline-Ms": "4000",
        "Model": SMALL if number % 2 else LARGE,
        "Token-Counts": "100,80",
        "Prompt-Prefix": "ab:100",
    }
    body = _Body()
    call = Call(entry.callers, "POST", "/read/x", headers, content, 8.0)
    result = await caller.call(call, body)
    if not is_successful(result):
        return "cut"
    if result.unwrap().status != 200:
        return "refused"
    whole = body.data_seen.count(b"id: ") == site.engines.pieces
    return "answered" if whole else "cut"


def _serves(site: StandInSite, model: str) -> bool:
    """Tell whether every entry host knows two groups of a model."""
    return all(len(e.candidates("pool", model)) > 1 for e in site.entries)


async def _show_limit(site: StandInSite, caller: HttpCaller, counts: Counter[str]) -> None:
    """Have a head name a limit, and count what all entry hosts send it together."""
    head = site.entries[0].candidates("pool", SMALL)[0].host.instance.name
    demand = site.engines.host_by_instance[head].demand
    demand.limit = str(LIMIT)
    asked = []
    for number in range(LIMIT_REQUESTS):
        asked.append(asyncio.create_task(_ask(site, caller, 1_001 + 2 * number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*asked)
    told = [at for at in demand.arrivals if at > demand.arrivals[-1] - LIMIT_WINDOW]
    counts["limited"] = len(told)
    print(f"a head that takes {LIMIT} a second got {len(told)} requests in {LIMIT_WINDOW} s")


async def _show_backoff(site: StandInSite, caller: HttpCaller, counts: Counter[str]) -> None:
    """Have a head ask to back off, and count what an entry host sends it meanwhile."""
    head = site.entries[0].candidates("pool", SMALL)[0].host.instance.name
    demand = site.engines.host_by_instance[head].demand
    demand.limit, demand.backoff = "", str(BACKOFF)
    demand.arrivals.clear()
    asked = []
    for number in range(BACKOFF_REQUESTS):
        # Even numbers go to the first entry host, and odd ones to the small model.
        asked.append(asyncio.create_task(_ask(site, caller, 3_001 + 2 * number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*asked)
    first = demand.arrivals[0] if demand.arrivals else 0.0
    counts["held off"] = sum(first + ON_ITS_WAY < at < first + BACKOFF for at in demand.arrivals)
    demand.backoff = ""
    print(f"a head that asked for {BACKOFF} s of back-off got {counts['held off']} requests in it")


async def _show_restored(site: StandInSite, counts: Counter[str]) -> None:
    """Restore the store from a backup, and change the configuration below known numbers."""
    backup = site.store.back_up()
    for _ in range(WRITTEN_SINCE):
        site.store.put("elsewhere", b"x")
    await until(lambda: all(_revision(e) > backup.revision + WRITTEN_SINCE for e in site.entries))
    site.store.restore(backup)
    site.configure(2, {"hall": ["key-a"]})
    await asyncio.sleep(IN_FORCE)
    counts["restored"] = sum(_version(e) == 2 for e in site.entries)
    print(
        f"the store was restored from a backup; {counts['restored']} hosts heard of what came after"
    )


def _revision(entry: EntryHost) -> int:
    revision = entry._mirror.log.revision
    return 0 if revision is None else revision.number


def _version(entry: EntryHost) -> int:
    return 0 if entry._catalog is None else entry._catalog.version


async def _demo() -> Counter[str]:
    site = StandInSite()
    await site.start(hosts=12, entries=ENTRIES)
    caller = HttpCaller()
    for model in (SMALL, LARGE):
        await until(partial(_serves, site, model))
    print("groups serve; requests begin")
    asked = []
    for number in range(REQUESTS):
        asked.append(asyncio.create_task(_ask(site, caller, number)))
        await asyncio.sleep(0.05)
        if number == REQUESTS // 3:
            head = site.entries[0].candidates("pool", LARGE)[0].host.instance.name
            lost = site.engines.host_by_instance[head].members[1]
            site.lose_host(lost)
            print(f"host {lost} loses power")
    counts = Counter(await asyncio.gather(*asked))
    site.engines.fatal.add(FATAL)
    for number in range(FATAL_TIMES):
        await _ask(site, caller, REQUESTS + number, FATAL)
        await asyncio.sleep(1.0)
    counts["ended"] = len(site.engines.crashed)
    print(
        f"a request that ends whoever begins it came {FATAL_TIMES} times, ended {counts['ended']}"
    )
    await _show_limit(site, caller, counts)
    await _show_backoff(site, caller, counts)
    await _show_restored(site, counts)
    sizes = {r.group: r.members_ready for r in site.engines.runs}
    counts["partial"] = sum(1 for size in sizes.values() if size not in (2, 3))
    await site.entries[0].front.drain()
    await site.stop()
    return counts


def main() -> int:
    """Run the demo and return the exit code."""
    counts = asyncio.run(_demo())
    names = ("answered", "refused", "cut", "partial")
    print("platform demo: " + " ".join(f"{name}={counts[name]}" for name in names))
    well = counts["answered"] == REQUESTS and not counts["partial"]
    within = counts["limited"] <= 1.5 * LIMIT * LIMIT_WINDOW + 5
    heard = not counts["held off"] and counts["restored"] == ENTRIES
    return 0 if well and within and heard and 0 < counts["ended"] <= MOST_ENDED else 1


if __name__ == "__main__":
    sys.exit(main())
