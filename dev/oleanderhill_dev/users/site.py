"""A deployment like the users' in one process: store, engine hosts, targets, entry hosts."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import time
from collections.abc import Callable
from typing import Any

from tornado.web import Application

from oleanderhill.platform.entry import EntryHost
from oleanderhill.platform.settings import EntrySettings

from ..bench_site import free_address
from .cut_links import CutLinks
from .engines import (
    EngineSite,
    StandInHost,
    StandInTarget,
    make_host_application,
    make_target_application,
)
from .store import StandInStore, make_store_application

SMALL, LARGE = "model-s", "model-l"
HEARTBEAT_SECONDS = 0.2

ROUTE_TIMEOUT = 4.0
"""Timeout of the routes in seconds."""


def configuration(
    version: int,
    keys: dict[str, list[str]],
    pay_prefix: str = "/pay/",
    cold_per_s: float = 0.0,
    stream_timeout: float = ROUTE_TIMEOUT,
) -> bytes:
    """Return a configuration with a streaming, an idempotent and a non-idempotent route.

    :param cold_per_s: requests a second that a cold engine host bears, 0 for no limit
    :param stream_timeout: timeout of the streaming route in seconds
    """

    def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": "yard.example",
            "prefix": prefix,
            "kind": kind,
            "timeout_ms": ROUTE_TIMEOUT * 1000,
            "goal_ms": 400,
            "priority": 1,
            "public": False,
            "max_attempts": 2,
            **more,
        }

    stream: dict[str, Any] = {
        "service": "pool",
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 300,
    }
    stream["timeout_ms"] = stream_timeout * 1000
    routes = [
        route("read", "/read/", "streaming", **stream),
        route("scan", "/scan/", "idempotent", service="desk"),
        route("pay", pay_prefix, "non_idempotent", service="desk", max_attempts=1),
        route("open", "/open/", "idempotent", service="desk", public=True),
    ]
    models = [
        {"name": SMALL, "size": 2, "traffic_share": 0.5, "load_s": 0.4, "warm_s": 0.05},
        {"name": LARGE, "size": 3, "traffic_share": 0.5, "load_s": 0.4, "warm_s": 0.05},
    ]
    engine = {"max_batch": 13, "loads_per_s": 100.0, "loads_at_once": 9, "models": models}
    services = [
        {"name": "pool", "max_connections": 100, "runtime": engine, "cold_per_s": cold_per_s},
        {"name": "desk", "max_connections": 100},
    ]
    tenants = [{"name": n, "api_keys": k, "priority": 1} for n, k in keys.items()]
    body = {"version": version, "routes": routes, "services": services, "tenants": tenants}
    return json.dumps(body).encode()


def entry_settings(
    name: str, callers: str, balancer: str, peers: str, store: str, data_centre: str = "hall"
) -> EntrySettings:
    """Return the settings of an entry host with the bounds of the users' standard deployments."""
    return EntrySettings(
        host=name,
        ip="127.0.0.1",
        data_centre=data_centre,
        callers=callers,
        readiness_address=balancer,
        peers=peers,
        store=store,
        first_start=True,
        grace_seconds=8.0,
        key_removal_seconds=5.0,
        retry_ratio=0.2,
        retry_window=10.0,
        retry_slack=100.0,
        load_window=5.0,
        load_factor=1.1,
        evacuation_seconds=5.0,
    )


class StandInSite:
    """A store, engine hosts of one domain, plain targets, and the entry hosts under test."""

    def __init__(self) -> None:
        self.store = StandInStore()
        self.store_address = ""
        self.engines = EngineSite("pool", self.write_entry, self._delete_entry)
        self.engines.replace_host = self._replace_host
        self._replacements = 0
        self.targets: list[StandInTarget] = []
        self._target_entries: dict[str, bytes] = {}
        self._configuration = b""
        self.evacuated: dict[str, bytes] = {}
        self.cold_per_s = 0.0
        self.stream_timeout = ROUTE_TIMEOUT
        self.entries: list[EntryHost] = []
        self.links = CutLinks()
        self._servers: list[Any] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, hosts: int = 6, entries: int = 1) -> None:
        """Start all parts; the entry hosts then form the groups."""
        self.links.start()
        self.store_address = self.listen(make_store_application(self.store))
        self.configure(1, {"hall": ["key-a"], "yard": ["key-b"]})
        for number in range(hosts):
            self.add_host(f"i-{number}", "d0")
        for number in range(2):
            self.add_target(f"t-{number}")
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        for number in range(entries):
            await self.add_entry(f"entry-{number}")

    async def stop(self) -> None:
        """Stop all parts."""
        for entry in self.entries:
            await entry.kernel.stop()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.stop()
        self.links.stop()

    def configure(self, version: int, keys: dict[str, list[str]], **more: str) -> None:
        """Write a configuration to the store, as the operator does."""
        self._configuration = configuration(
            version,
            keys,
            cold_per_s=self.cold_per_s,
            stream_timeout=self.stream_timeout,
            **more,
        )
        self.store.put("op/config", self._configuration)

    def rewrite_external_entries(self) -> None:
        """Rewrite the operator's keys and the entries of the plain targets, after a store restore.

        Engine hosts rewrite their entries at each heartbeat.
        """
        self.store.put("op/config", self._configuration)
        for key in [k for k in self.store.items if k.startswith("op/evacuate/")]:
            if key.removeprefix("op/evacuate/") not in self.evacuated:
                self.store.delete(key)
        for data_centre, value in self.evacuated.items():
            self.evacuate(data_centre, value)
        for instance, entry in self._target_entries.items():
            self.write_entry(instance, entry)

    def evacuate(self, data_centre: str, value: bytes = b"{}") -> None:
        """Request that nothing more is sent to a data centre, as the operator does."""
        self.evacuated[data_centre] = value
        self.store.put(f"op/evacuate/{data_centre}", value)

    def take_back(self, data_centre: str) -> None:
        """Take an evacuation back."""
        self.evacuated.pop(data_centre, None)
        self.store.delete(f"op/evacuate/{data_centre}")

    def add_host(self, instance: str, domain: str, data_centre: str = "hall") -> StandInHost:
        """Add an engine host without a group."""
        host = StandInHost(self.engines, instance, domain, data_centre)
        host.address = self.listen(make_host_application(host))
        host.server = self._servers[-1]
        self.engines.host_by_instance[instance] = host
        host.publish()
        return host

    def add_target(self, instance: str, data_centre: str = "hall") -> StandInTarget:
        """Add a plain target."""
        target = StandInTarget(instance)
        address = self.listen(make_target_application(target))
        entry = {
            "service": "desk",
            "address": address,
            "zone": data_centre,
            "version": "v1",
            "born": self.engines.next_start_ms(),
            "cold_remaining_ms": 0,
            "sequence": 1,
            "max_batch": 6,
            "state": "ready",
        }
        self._target_entries[instance] = json.dumps(entry).encode()
        self.write_entry(instance, self._target_entries[instance])
        self.targets.append(target)
        return target

    async def add_entry(self, name: str, data_centre: str = "hall") -> EntryHost:
        """Start an entry host in this process."""
        settings = self.settings(name, data_centre)
        entry = EntryHost(settings, os.open(os.devnull, os.O_WRONLY))
        with self.links.acting_as(name):
            await entry.kernel.start()
        self.entries.append(entry)
        return entry

    def settings(self, name: str, data_centre: str = "hall") -> EntrySettings:
        """Return the settings of an entry host on free addresses."""
        callers, balancer, peers = free_address(), free_address(), free_address()
        return entry_settings(name, callers, balancer, peers, self.store_address, data_centre)

    def listen(self, application: Application) -> str:
        """Serve an application on a free address and return it."""
        address = free_address()
        ip, port = address.rsplit(":", 1)
        self._servers.append(application.listen(int(port), ip))
        return address

    def target_addresses(self) -> list[str]:
        """Return the addresses of all engine hosts and plain targets."""
        engines = [h.address for h in self.engines.host_by_instance.values()]
        return [*engines, *(json.loads(e)["address"] for e in self._target_entries.values())]

    def lose_host(self, instance: str) -> None:
        """Simulate a power loss of a host: it stops replying and sends no more heartbeats."""
        self.engines.host_by_instance[instance].lose_power()

    def write_entry(self, instance: str, entry: bytes) -> None:
        """Write an unchecked entry to the host list; any client may write there."""
        self.store.put(f"servers/{instance}", entry)

    def set_cold(self, instance: str, milliseconds: float) -> None:
        """Let a plain target state that it stays cold for a time."""
        entry = json.loads(self._target_entries[instance])
        entry["cold_remaining_ms"] = milliseconds
        entry["sequence"] += 1
        self._target_entries[instance] = json.dumps(entry).encode()
        self.write_entry(instance, self._target_entries[instance])

    def _replace_host(self, crashed: StandInHost) -> None:
        """Replace a crashed host by a new one without a group and under another name."""
        self._replacements += 1
        host = self.add_host(f"{crashed.instance}-r{self._replacements}", crashed.domain)
        host.staged = crashed.staged

    def _delete_entry(self, instance: str) -> None:
        self.store.delete(f"servers/{instance}")

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for host in self.engines.host_by_instance.values():
                host.publish()


def malformed_entry(rng: random.Random, valid: bytes) -> bytes:
    """Return a malformed or unusual host list entry, derived from a valid one."""
    entry = json.loads(valid)
    name = rng.choice(sorted(entry))
    match rng.randrange(5):
        case 0:
            del entry[rng.choice(("service", "address", "zone", "version", "state", "sequence"))]
        case 1:
            entry[name] = rng.choice([{"a": 1}, [[]]])
        case 2:
            entry["state"] = "sleeping"
        case 3:
            entry["service"] = "not-configured"
        case 4:
            return valid[: rng.randrange(1, len(valid))]
    return json.dumps(entry).encode()


async def until(condition: Callable[[], Any], seconds: float = 15.0) -> Any:
    """Wait until a condition returns a true value and return that value.

    :raises TimeoutError: if the condition stays false for ``seconds``
    """
    end = time.monotonic() + seconds
    while not (found := condition()):
        if time.monotonic() > end:
            raise TimeoutError
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0.02)
    return found
