"""Stand-in for the platform: key-value store, delayed host list, rate-limited weight store.

The store implements the parts of the Consul KV API that :mod:`oleanderhill.clients.store` uses.
Faults are set by ``POST /faults``: ``down``, ``slow`` (seconds), ``lose_answers`` (the probability
that a write is applied but not answered).
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from typing import Any

import defopt
from tornado.web import Application, RequestHandler


class Platform:
    """State of the stand-in.

    :param hosts: rows of the host list: host, address, domain, data centre, state
    :param lag: seconds until a change appears in the host list
    :param weights_rate: gigabytes per second that the weight store allows
    """

    def __init__(self, hosts: list[list[str]], lag: float, weights_rate: float) -> None:
        self.value_by_key: dict[str, tuple[bytes, int]] = {}
        self.index = 1
        self.hosts = [list(h) for h in hosts]
        self.hosts_index = 1
        self.lag = lag
        self.weights_rate = weights_rate
        self.next_ticket_at = 0.0
        self.changed = asyncio.Event()
        self.faults: dict[str, Any] = {"down": False, "slow": 0.0, "lose_answers": 0.0}
        self.counts = {"reads": 0, "writes": 0, "watches": 0}
        self.rng = random.Random(1)

    def wake_watches(self) -> None:
        """Wake all blocking queries."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_index(self, current, index: int, seconds: float) -> None:
        """Wait until ``current()`` exceeds ``index``, or the time is up."""
        deadline = time.monotonic() + seconds
        while current() <= index and time.monotonic() < deadline:
            try:
                async with asyncio.timeout(max(0.01, deadline - time.monotonic())):
                    await self.changed.wait()
            except TimeoutError:
                return

    def compare_and_swap(self, key: str, value: bytes, cas: int) -> bool:
        """Write a value if the modify index is ``cas``, 0 for a new key; return whether it was."""
        stored = self.value_by_key.get(key)
        if (stored[1] if stored else 0) != cas:
            return False
        self.index += 1
        self.value_by_key[key] = (value, self.index)
        self.wake_watches()
        return True


class _Handler(RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    async def prepare(self) -> None:
        faults = self.platform.faults
        if faults["slow"]:
            await asyncio.sleep(faults["slow"])
        if faults["down"]:
            await asyncio.sleep(0.05)
            self.detach().close()


class KvHandler(_Handler):
    """``/v1/kv``: reads, blocking queries and compare-and-swap writes."""

    async def get(self, key: str) -> None:
        platform = self.platform
        recurse = self.get_query_argument("recurse", "") != ""
        index = int(self.get_query_argument("index", "0"))

        def pairs() -> list[tuple[str, bytes, int]]:
            return [
                (k, v, i)
                for k, (v, i) in sorted(platform.value_by_key.items())
                if (k.startswith(key) if recurse else k == key)
            ]

        def latest_index() -> int:
            return max((i for _, _, i in pairs()), default=1)

        if index:
            platform.counts["watches"] += 1
            wait = float(self.get_query_argument("wait", "10s").rstrip("s"))
            await platform.wait_for_index(latest_index, index, wait)
            if platform.faults["down"]:
                self.detach().close()
                return
        platform.counts["reads"] += 1
        self.set_header("X-Consul-Index", str(latest_index()))
        rows = [
            {"Key": k, "Value": base64.b64encode(v).decode(), "ModifyIndex": i}
            for k, v, i in pairs()
        ]
        self.set_status(200 if rows else 404)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(rows) if rows else b"")

    def put(self, key: str) -> None:
        platform = self.platform
        platform.counts["writes"] += 1
        cas = int(self.get_query_argument("cas"))
        swapped = platform.compare_and_swap(key, self.request.body, cas)
        if platform.rng.random() < platform.faults["lose_answers"]:
            self.detach().close()
            return
        self.finish(b"true" if swapped else b"false")


class HostsHandler(_Handler):
    """``/v1/hosts``: the delayed host list, with blocking queries."""

    async def get(self) -> None:
        platform = self.platform
        index = int(self.get_query_argument("index", "0"))
        wait = float(self.get_query_argument("wait", "10s").rstrip("s"))
        await platform.wait_for_index(lambda: platform.hosts_index, index, wait)
        data_centre = self.get_query_argument("dc")
        rows = [h for h in platform.hosts if h[3] == data_centre]
        self.finish({"index": platform.hosts_index, "hosts": rows})

    async def post(self) -> None:
        """Change the state of hosts, or add or remove hosts; the list shows it after the lag."""
        platform = self.platform
        change = json.loads(self.request.body)
        asyncio.get_running_loop().call_later(platform.lag, _change_hosts, platform, change)
        self.finish({"lag": platform.lag})


def _change_hosts(platform: Platform, change: dict[str, Any]) -> None:
    for row in platform.hosts:
        row[4] = change.get("state", {}).get(row[0], row[4])
    platform.hosts.extend(change.get("add", []))
    platform.hosts = [h for h in platform.hosts if h[0] not in change.get("remove", [])]
    platform.hosts_index += 1
    platform.wake_watches()


class WeightsHandler(_Handler):
    """``/v1/weights/ticket``: rate-limited permission to read weights."""

    def post(self) -> None:
        platform = self.platform
        now = time.monotonic()
        if platform.next_ticket_at > now:
            self.finish({"wait": round(platform.next_ticket_at - now, 3)})
            return
        gigabytes = float(self.get_query_argument("gb"))
        platform.next_ticket_at = now + gigabytes / platform.weights_rate
        self.finish({"wait": 0.0})


class ControlHandler(RequestHandler):
    """``/faults``: faults and counts for tests; works also while a fault is set."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        self.finish({"faults": self.platform.faults, "counts": self.platform.counts})

    def post(self) -> None:
        self.platform.faults.update(json.loads(self.request.body))
        self.finish(self.platform.faults)


class SnapshotHandler(ControlHandler):
    """``/snapshot``: copies the store, or restores it from the copy."""

    snapshot: dict[str, tuple[bytes, int]] = {}

    def post(self) -> None:
        platform = self.platform
        if self.get_query_argument("do") == "keep":
            SnapshotHandler.snapshot = dict(platform.value_by_key)
        else:
            platform.value_by_key = dict(SnapshotHandler.snapshot)
            platform.index += 1
            platform.wake_watches()
        self.finish({"keys": len(platform.value_by_key)})


def make_application(platform: Platform) -> Application:
    """Return the HTTP application of a platform."""
    with_platform = {"platform": platform}
    return Application(
        [
            (r"/v1/kv/(.*)", KvHandler, with_platform),
            (r"/v1/hosts", HostsHandler, with_platform),
            (r"/v1/weights/ticket", WeightsHandler, with_platform),
            (r"/faults", ControlHandler, with_platform),
            (r"/snapshot", SnapshotHandler, with_platform),
        ],
        log_function=lambda handler: None,
    )


def run(address: str, hosts: str, *, lag: float = 1.0, weights_rate: float = 200.0) -> None:
    """Run the platform stand-in.

    :param address: ip:port to listen on
    :param hosts: path of a JSON file with the rows of the host list
    :param lag: seconds until a change appears in the host list
    :param weights_rate: gigabytes per second that the weight store allows
    """

    async def serve() -> None:
        with open(hosts, encoding="utf-8") as file:
            rows = json.load(file)
        application = make_application(Platform(rows, lag, weights_rate))
        ip, port = address.rsplit(":", 1)
        application.listen(int(port), ip)
        await asyncio.Event().wait()

    asyncio.run(serve())


if __name__ == "__main__":
    defopt.run(run)
