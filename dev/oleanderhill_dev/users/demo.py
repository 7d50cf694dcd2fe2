"""A demo of the platform path on loopback: groups form, hosts fail, an entry host drains."""

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
"""Requests of the first part: enough that some are in flight when a host fails."""

CRASH_CAUSING_BODY = b"ends whoever begins it"
CRASH_CAUSING_REQUESTS = 10
MAX_CRASHES = 6
"""Hosts that a request may crash: three until it is quarantined, and three more."""

LIMIT_PER_SECOND = 1.5
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_REQUESTS = 120
"""Requests sent at 20 per second while a head states a rate limit, which admits only a few."""

BACKOFF_SECONDS = 2.0
BACKOFF_REQUESTS = 80
"""Requests sent at 20 per second while a head sheds load and must get none after its notice."""

IN_FLIGHT_SECONDS = 0.5
"""Seconds after a target's answer in which requests that were already sent may arrive."""

ENTRIES = 2
LOST_WRITES = 2_000
"""Writes that the store loses when it is restored from a backup."""

CONFIGURATION_SECONDS = 2.0
"""Seconds within which all entry hosts must apply a configuration."""


class _Body(Observer):
    def __init__(self) -> None:
        self.data_seen = b""

    def data(self, chunk: bytes) -> None:
        self.data_seen += chunk


async def _send_request(
    site: StandInSite, caller: HttpCaller, number: int, content: bytes = b"x"
) -> str:
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
    complete = body.data_seen.count(b"id: ") == site.engines.events_per_stream
    return "answered" if complete else "cut"


def _is_served(site: StandInSite, model: str) -> bool:
    """Return whether every entry host knows at least two groups of a model."""
    return all(len(e.candidates("pool", model)) > 1 for e in site.entries)


async def _show_limit(site: StandInSite, caller: HttpCaller, counts: Counter[str]) -> None:
    """Let a head state a rate limit and count the requests that all entry hosts send to it."""
    head = site.entries[0].candidates("pool", SMALL)[0].host.instance.name
    notices = site.engines.host_by_instance[head].notices
    notices.limit = str(LIMIT_PER_SECOND)
    tasks = []
    for number in range(LIMIT_REQUESTS):
        tasks.append(asyncio.create_task(_send_request(site, caller, 1_001 + 2 * number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    recent = [at for at in notices.arrivals if at > notices.arrivals[-1] - LIMIT_WINDOW_SECONDS]
    counts["limited"] = len(recent)
    print(
        f"a head with a limit of {LIMIT_PER_SECOND} per second "
        f"got {len(recent)} requests in {LIMIT_WINDOW_SECONDS} s"
    )


async def _show_backoff(site: StandInSite, caller: HttpCaller, counts: Counter[str]) -> None:
    """Let a head ask for back-off and count the requests that an entry host sends to it then."""
    head = site.entries[0].candidates("pool", SMALL)[0].host.instance.name
    notices = site.engines.host_by_instance[head].notices
    notices.limit, notices.backoff = "", str(BACKOFF_SECONDS)
    notices.arrivals.clear()
    tasks = []
    for number in range(BACKOFF_REQUESTS):
        # An odd number selects the second entry host and the small model.
        tasks.append(asyncio.create_task(_send_request(site, caller, 3_001 + 2 * number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    first = notices.arrivals[0] if notices.arrivals else 0.0
    counts["in back-off"] = sum(
        first + IN_FLIGHT_SECONDS < at < first + BACKOFF_SECONDS for at in notices.arrivals
    )
    notices.backoff = ""
    print(
        f"a head that asked for {BACKOFF_SECONDS} s of back-off "
        f"got {counts['in back-off']} requests in that time"
    )


async def _show_restored(site: StandInSite, counts: Counter[str]) -> None:
    """Restore the store from a backup, then write a configuration with a reused revision."""
    backup = site.store.take_backup()
    for _ in range(LOST_WRITES):
        site.store.put("elsewhere", b"x")
    await until(lambda: all(_revision(e) > backup.revision + LOST_WRITES for e in site.entries))
    site.store.restore(backup)
    site.configure(2, {"hall": ["key-a"]})
    await asyncio.sleep(CONFIGURATION_SECONDS)
    counts["restored"] = sum(_version(e) == 2 for e in site.entries)
    print(
        f"the store was restored from a backup; "
        f"{counts['restored']} entry hosts applied a later configuration"
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
        await until(partial(_is_served, site, model))
    print("all groups are open; sending requests")
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(_send_request(site, caller, number)))
        await asyncio.sleep(0.05)
        if number == REQUESTS // 3:
            head = site.entries[0].candidates("pool", LARGE)[0].host.instance.name
            lost = site.engines.host_by_instance[head].members[1]
            site.lose_host(lost)
            print(f"host {lost} loses power")
    counts = Counter(await asyncio.gather(*tasks))
    site.engines.crash_causing_bodies.add(CRASH_CAUSING_BODY)
    for number in range(CRASH_CAUSING_REQUESTS):
        await _send_request(site, caller, REQUESTS + number, CRASH_CAUSING_BODY)
        await asyncio.sleep(1.0)
    counts["ended"] = len(site.engines.crashed_instances)
    print(
        f"a crash-causing request was sent {CRASH_CAUSING_REQUESTS} times "
        f"and crashed {counts['ended']} hosts"
    )
    await _show_limit(site, caller, counts)
    await _show_backoff(site, caller, counts)
    await _show_restored(site, counts)
    sizes = {r.group: r.joined_members for r in site.engines.runs}
    counts["partial"] = sum(1 for size in sizes.values() if size not in (2, 3))
    await site.entries[0].front.drain()
    await site.stop()
    return counts


def main() -> int:
    """Run the demo and return the exit code."""
    counts = asyncio.run(_demo())
    names = ("answered", "refused", "cut", "partial")
    print("platform demo: " + " ".join(f"{name}={counts[name]}" for name in names))
    all_answered = counts["answered"] == REQUESTS and not counts["partial"]
    limit_kept = counts["limited"] <= 1.5 * LIMIT_PER_SECOND * LIMIT_WINDOW_SECONDS + 5
    updates_applied = not counts["in back-off"] and counts["restored"] == ENTRIES
    return (
        0
        if all_answered and limit_kept and updates_applied and 0 < counts["ended"] <= MAX_CRASHES
        else 1
    )


if __name__ == "__main__":
    sys.exit(main())
