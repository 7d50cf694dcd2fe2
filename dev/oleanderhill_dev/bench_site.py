"""A site of real processes on loopback: stand-ins and entry hosts, for the demo and benchmarks.

All processes are children of the tool that starts the site, which kills them by process id when it
stops.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from oleanderhill.clients.httpcall import Call, HttpCaller
from oleanderhill.settings.fleet import hash_key

OPERATOR_KEY = "operator-key"
_address_numbers = itertools.count()
MODEL_HOSTS = 4
FIRST_NETWORK, NETWORK_COUNT = 20, 200
"""Second octets of the loopback networks of :func:`free_address`; sites use those below."""

SITE_NETWORKS = range(220, 255)
"""Second octets of the loopback networks of :func:`reserve_network`."""

RESERVATION_PORT = 7099
_reservations: list[socket.socket] = []


class EntryAddress(NamedTuple):
    """Addresses of one entry host."""

    host: str
    data_centre: str
    callers: str
    operators: str
    peers: str


class SiteConfig(NamedTuple):
    """Describes a site to start.

    :param entry_data_centres: data centre of each entry host
    :param domains: number of engine hosts by (data centre, domain)
    :param pace: seconds between two tokens of a stream
    :param prefill: seconds to the first token without a cached prefix
    :param capacity: requests that an engine batches
    :param lag: delay of the platform's host list, in seconds
    :param machine: fields of the boot files that state what a process has
    :param second_octet: second octet of all loopback addresses, which keeps concurrent sites apart
    """

    entry_data_centres: tuple[str, ...]
    domains: dict[tuple[str, str], int]
    services: int = 1
    pace: float = 0.02
    prefill: float = 0.1
    capacity: int = 16
    weights_gb_per_second: float = 20.0
    fencing: bool = True
    lag: float = 1.0
    host_prefix: str = "host"
    second_octet: int = 0
    machine: tuple[tuple[str, int], ...] = ()


class Site:
    """Starts the processes of a site, injects faults and kills the processes.

    :param program: command line of the oleanderhill program, such as ``["dist/oleanderhill"]``
    """

    def __init__(self, config: SiteConfig, folder: Path, program: list[str]) -> None:
        self.config = config
        self.folder = folder
        self.program = program
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.entries: list[EntryAddress] = []
        self.address_by_engine: dict[str, str] = {}
        self.service_addresses: list[str] = []
        self.caller = HttpCaller()
        self.platform = f"127.{config.second_octet}.0.1:18500"
        self._host_rows: list[list[str]] = []
        self._assign_addresses()

    def _assign_addresses(self) -> None:
        for index, data_centre in enumerate(self.config.entry_data_centres):
            ip = f"127.{self.config.second_octet}.{10 + index}.1"
            self.entries.append(
                EntryAddress(
                    f"entry-{index + 1}", data_centre, f"{ip}:7000", f"{ip}:7001", f"{ip}:7002"
                )
            )
        number = 0
        for (data_centre, domain), count in self.config.domains.items():
            for _ in range(count):
                number += 1
                name = f"{self.config.host_prefix}-{number:03d}"
                address = (
                    f"127.{self.config.second_octet}.{100 + number // 200}.{1 + number % 200}:9000"
                )
                self.address_by_engine[name] = address
                self._host_rows.append([name, address, domain, data_centre, "live"])
        self.service_addresses = [
            f"127.{self.config.second_octet}.90.{n + 1}:9100" for n in range(self.config.services)
        ]

    def start(self) -> None:
        """Start the stand-ins, then the entry hosts."""
        self.folder.mkdir(parents=True, exist_ok=True)
        hosts = self.folder / "hosts.json"
        hosts.write_text(json.dumps(self._host_rows))
        self.spawn_dev(
            "platform", "platform_standin", self.platform, str(hosts), "--lag", str(self.config.lag)
        )
        for name in self.address_by_engine:
            self.start_engine(name)
        for number, address in enumerate(self.service_addresses):
            record = str(self.folder / f"service-{number}.jsonl")
            self.spawn_dev(f"service-{number}", "service_standin", address, "--record", record)
        for entry in self.entries:
            self.start_entry(entry)

    def start_engine(self, name: str) -> None:
        """Start one engine stand-in."""
        config = self.config
        self.spawn_dev(
            name,
            "engine_standin",
            name,
            self.address_by_engine[name],
            "--pace",
            str(config.pace),
            "--prefill",
            str(config.prefill),
            "--capacity",
            str(config.capacity),
            "--gigabytes-per-second",
            str(config.weights_gb_per_second),
            "--fencing" if config.fencing else "--no-fencing",
            "--record",
            str(self.folder / f"{name}.jsonl"),
        )

    def start_entry(self, entry: EntryAddress) -> None:
        """Start one entry host."""
        self._start_process(entry.host, [*self.program, "entry", self.write_boot(entry)])

    def write_boot(self, entry: EntryAddress) -> str:
        """Write the boot file of an entry host and return its path."""
        boot = {
            "host": entry.host,
            "data_centre": entry.data_centre,
            "listen": {
                "callers": entry.callers,
                "operators": entry.operators,
                "peers": entry.peers,
            },
            "platform": self.platform,
            "peers": [e.peers for e in self.entries],
            "operator_key_hash": hash_key(OPERATOR_KEY),
            "log": str(self.folder / f"{entry.host}.log"),
            **dict(self.config.machine),
        }
        path = self.folder / f"{entry.host}.json"
        path.write_text(json.dumps(boot, indent=2))
        return str(path)

    def stop(self) -> None:
        """Kill all processes and wait for them, including stopped ones."""
        for process in self.process_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()

    def kill(self, name: str) -> None:
        """Kill one process, which simulates the crash of a host."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self.process_by_name[name].send_signal(number)

    def operators(self) -> str:
        """Return the operator addresses in the form that ``--at`` expects."""
        return ",".join(e.operators for e in self.entries)

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a subcommand of the program with the operator's key."""
        env = self._environment(OLEANDERHILL_KEY=OPERATOR_KEY, OLEANDERHILL_AT=self.operators())
        return subprocess.run(
            [*self.program, *arguments], env=env, capture_output=True, text=True, timeout=60
        )

    async def call_json(self, address: str, method: str, path: str, body: bytes = b"") -> Any:
        """Make a call and return its decoded JSON, or ``None`` if it fails or the body is empty."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        result = await self.caller.call(Call(address, method, path, headers, body, timeout=5.0))
        reply = result.value_or(None)
        return None if reply is None or not reply.body else json.loads(reply.body)

    async def wait_until_serving(self, groups: int, seconds: float, entries: int = 0) -> float:
        """Wait until every entry host sends to this many groups; return the seconds waited.

        :param entries: number of entry hosts to ask, 0 for all; those without a process are skipped
        """
        began = time.monotonic()
        asked = self.entries[: entries or len(self.entries)]
        while time.monotonic() - began < seconds:
            counts = [await self.count_serving(e) for e in asked if e.host in self.process_by_name]
            if counts and min(counts) >= groups:
                return time.monotonic() - began
            await asyncio.sleep(0.2)
        raise TimeoutError(f"fewer than {groups} groups were serving after {seconds} s")

    async def count_serving(self, entry: EntryAddress) -> int:
        """Return how many groups an entry host sends requests to, -1 if it does not answer."""
        status = await self.call_json(entry.operators, "GET", "/v1/status")
        if status is None:
            return -1
        return sum(1 for g in status["groups"] if g["takes_requests"])

    def records(self, pattern: str) -> list[dict[str, Any]]:
        """Return the rows of all record files of stand-ins whose name matches a glob pattern."""
        rows = []
        for path in sorted(self.folder.glob(pattern)):
            rows += [json.loads(line) for line in path.read_text().splitlines()]
        return rows

    def _environment(self, **variables: str) -> dict[str, str]:
        return {**os.environ, "SHIV_ROOT": str(self.folder.resolve().parent / "shiv"), **variables}

    def spawn_dev(self, name: str, module: str, *arguments: str) -> None:
        """Start a module of the development tools as a process."""
        self._start_process(name, [sys.executable, "-m", f"oleanderhill_dev.{module}", *arguments])

    def _start_process(self, name: str, command: list[str]) -> None:
        root = Path(__file__).resolve().parents[1]
        env = self._environment(PYTHONPATH=str(root), PYTHONUNBUFFERED="1")
        with open(self.folder / f"{name}.out", "ab") as out:
            self.process_by_name[name] = subprocess.Popen(command, env=env, stdout=out, stderr=out)


def free_address() -> str:
    """Return a loopback address that no other caller of this function gets.

    Each call returns another IP address, and the network depends on the process id, so concurrent
    test runs do not collide. A free port of 127.0.0.1 is not safe: an outgoing connection of any
    process may take it before the caller listens on it.
    """
    number = next(_address_numbers)
    network = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
    return f"127.{network}.{number // 250}.{1 + number % 250}:7100"


def reserve_network() -> int:
    """Return the second octet of a loopback network that no other process has reserved.

    The reservation is a listening socket that stays open until this process ends.

    :raises RuntimeError: if all are taken
    """
    for octet in SITE_NETWORKS:
        marker = socket.socket()
        try:
            marker.bind((f"127.{octet}.255.1", RESERVATION_PORT))
        except OSError:
            marker.close()
            continue
        marker.listen()
        _reservations.append(marker)
        return octet
    raise RuntimeError("all loopback networks for sites are reserved")


def new_key() -> str:
    """Return a random bearer key."""
    return secrets.token_urlsafe(24)
