"""What the scripts of the second review share.

A small site on loopback: the project's stand-in for the store, plain replicas of this file, and
entry hosts that are started with the command of the deploy file as processes of their own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from oleanderhill_dev.users.store import StandInStore, make_store_application
from tornado.httpserver import HTTPServer

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNABLE = 0, 1, 2
HEARTBEAT_SECONDS = 1.2
KEY = "key-of-tenant-a"


def free_ip() -> str:
    """Return a loopback address on which the fixed metrics port of an entry host is free."""
    while True:
        ip = f"127.{random.randrange(60, 200)}.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
        return ip


def free_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Arrival(NamedTuple):
    """A request as a replica got it; ``path`` holds the bytes of the request line."""

    at: float
    attempt_id: str
    method: str
    path: bytes
    headers: dict[str, str]


class Replica:
    """A plain replica: runs what it gets, ``max_batch`` at once, and signs its answers."""

    def __init__(self, name: str, service: str, max_batch: int = 6, work_ms: float = 20.0) -> None:
        self.name = name
        self.service = service
        self.max_batch = max_batch
        self.work_ms = work_ms
        self.born = int(time.time() * 1000)
        self.address = ""
        self.ran: list[Arrival] = []
        self.running = 0
        self.most_running = 0
        self.ended: dict[str, float] = {}
        self.dropped: dict[str, float] = {}
        self._slots = asyncio.Semaphore(max_batch)
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def entry(self) -> bytes:
        """Return the entry of the list of replicas."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "hall",
                "version": "v1",
                "max_batch": self.max_batch,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self.born,
            }
        ).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rows = head[:-4].split(b"\r\n")
                method, path, _ = line.split(b" ", 2)
                pairs = (row.decode("latin1").partition(":") for row in rows)
                headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                answering = asyncio.ensure_future(self._answer(method.decode(), path, headers))
                left = asyncio.ensure_future(reader.read(1))
                # A replica drops a request when its connection closes.
                await asyncio.wait({answering, left}, return_when=asyncio.FIRST_COMPLETED)
                if not answering.done():
                    left.exception()
                    answering.cancel()
                    self.dropped[headers.get("attempt-id", "")] = time.monotonic()
                    break
                left.cancel()
                await asyncio.wait({left})
                status, more, body = answering.result()
                reply = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", "Keep-Alive: timeout=30"]
                if "attempt-id" in headers:
                    reply.append(f"Attempt-Id: {headers['attempt-id']}")
                writer.write("\r\n".join([*reply, *more, "", ""]).encode() + body)
                await writer.drain()
        writer.close()

    async def _answer(
        self, method: str, path: bytes, headers: dict[str, str]
    ) -> tuple[str, list[str], bytes]:
        if headers.get("expect-instance", self.name) != self.name:
            return "421 Misdirected Request", [], b""
        if path.startswith(b"/report"):
            return "200 OK", [], json.dumps({"born": self.born}).encode()
        attempt_id = headers.get("attempt-id", "")
        if not attempt_id:
            return "400 Bad Request", ["Not-Executed: 1"], b""
        async with self._slots:
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            self.ran.append(Arrival(time.monotonic(), attempt_id, method, path, headers))
            try:
                await asyncio.sleep(self.work_ms / 1000)
            finally:
                self.running -= 1
            self.ended[attempt_id] = time.monotonic()
        return "200 OK", [f"Response-Seal: seal.{self.name}.{attempt_id}"], b"done by " + self.name.encode()


class EntryHost:
    """An entry host, run as the deploy file says."""

    def __init__(self, name: str, folder: Path, store: str, memory_mb: int) -> None:
        self.name = name
        self.ip = free_ip()
        self.front = f"{self.ip}:8227"
        self.memory_mb = memory_mb
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._settings.write_text(json.dumps(_settings(name, self.ip, store, memory_mb)))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "OLEANDERHILL_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def ready(self) -> bool:
        """Return whether the process says that it may get callers."""
        found = await ask(f"{self.ip}:8220", "GET", "/ready", {}, seconds=1.0)
        return found.status == 200

    def memory_now_mb(self) -> float:
        """Return the resident memory of the process, 0 once it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError, StopIteration):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            rows = status.splitlines()
            return int(next(r for r in rows if r.startswith("VmRSS:")).split()[1]) / 1024
        return 0.0

    def log_rows(self) -> list[dict[str, Any]]:
        """Return the rows of its log."""
        rows = []
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def _settings(name: str, ip: str, store: str, memory_mb: int) -> dict[str, Any]:
    """Return settings as the pages show them, for a small machine."""
    return {
        "node_name": name,
        "role": "entry",
        "machine_class": "front",
        "serves": ["front"],
        "ip": ip,
        "zone": "hall",
        "region": "tema",
        "zones": {"hall": "tema"},
        "listen": {"front": f"{ip}:8227", "ready": f"{ip}:8220"},
        "internal_port_range": [7340, 7355],
        "seed_nodes": [],
        "bootstrap": True,
        "limits": {
            "cpu_share": 0.537,
            "cpu_cores": 2,
            "memory_mb": memory_mb,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "heartbeat_ms": 1200,
        "bounds": {
            "settle_window_ms": 3000,
            "drain_ms": 2000,
            "grace_s": 8.0,
            "config_ms": 2000,
            "revoke_ms": 5000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 134,
            "ceiling_window_s": 5,
            "ceiling_factor": 1.1,
        },
        "platform": {
            "address": store,
            "form": "kv",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "ttl_min_ms": 1000,
        },
    }


def configuration(version: int = 1) -> bytes:
    """Return a configuration with a route of each kind, and the limits of the pages' example.

    No replica of ``model-pool`` is there; the cases use the replicas of ``yard-api``.
    """
    common = {"host": "yard.example", "timeout_ms": 1500, "goal_ms": 125, "priority": 2, "public": False}
    routes = [
        {"name": "scan", "prefix": "/scan/", "kind": "idempotent", "max_attempts": 2, **common},
        {"name": "ping", "prefix": "/ping/", "kind": "non_idempotent", "max_attempts": 1, **common},
    ]
    slow = {"name": "slow", "prefix": "/slow/", "kind": "idempotent", "max_attempts": 2, **common}
    slow |= {"timeout_ms": 5000, "goal_ms": 2500}
    draft = {"name": "draft", "prefix": "/draft/", "kind": "streaming", "max_attempts": 2, **common}
    draft |= {"service": "model-pool", "sticky": True, "resumable": True, "gap_target_ms": 300}
    draft |= {"timeout_ms": 5000, "goal_ms": 400}
    models = [{"name": "m0", "size": 2, "traffic_share": 1.0, "pace": 1.0, "load_s": 2.0, "warm_s": 0.2}]
    runtime = {"max_batch": 13, "loads_per_s": 4.5, "loads_at_once": 6, "models": models}
    return json.dumps(
        {
            "version": version,
            "routes": [draft, *({**route, "service": "yard-api"} for route in [*routes, slow])],
            "services": [
                {"name": "model-pool", "health_path": "/health", "max_connections": 474, "runtime": runtime},
                {"name": "yard-api", "health_path": "/health", "max_connections": 110},
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "tenant-a", "api_keys": [KEY], "priority": 1}],
        }
    ).encode()


class Answer(NamedTuple):
    """An answer as a client saw it; status 0 stands for a connection that ended without one."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""


class Connection:
    """A client's connection that stays open for many requests."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self, method: str, path: str | bytes, headers: dict[str, str], seconds: float = 3.0
    ) -> Answer:
        """Send a request without a body, and return its answer."""
        raw = path.encode() if isinstance(path, str) else path
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if method == "POST":
            rows += "Content-Length: 0\r\n"
        try:
            async with asyncio.timeout(seconds):
                if self._streams is None:
                    ip, port = self._address.rsplit(":", 1)
                    self._streams = await asyncio.open_connection(ip, int(port))
                reader, writer = self._streams
                writer.write(method.encode() + b" " + raw + b" HTTP/1.1\r\n" + rows.encode("latin1") + b"\r\n")
                answer = await read_answer(reader)
        except (OSError, TimeoutError, EOFError, ValueError):
            self.close()
            return Answer(0)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rows = head[:-4].decode("latin1").split("\r\n")
    pairs = (row.partition(":") for row in rows)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    status = int(line.split(" ")[1])
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return Answer(status, headers, body)


async def ask(
    address: str, method: str, path: str | bytes, headers: dict[str, str], seconds: float = 3.0
) -> Answer:
    """Send one request on a new connection."""
    connection = Connection(address)
    answer = await connection.ask(method, path, headers, seconds)
    connection.close()
    return answer


def request_headers(attempt_id: str, deadline_ms: str = "1500", **more: str) -> dict[str, str]:
    """Return the headers of an ordinary request."""
    return {
        "Host": "yard.example",
        "Attempt-Id": attempt_id,
        "Deadline-Ms": deadline_ms,
        "Authorization": f"Bearer {KEY}",
        **more,
    }


class Site:
    """The store, replicas and entry hosts."""

    def __init__(self, replicas: int = 3, entries: int = 1, memory_mb: int = 300) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.store = StandInStore()
        self.replicas = [Replica(f"i-{n}", "yard-api") for n in range(replicas)]
        self._counts = (entries, memory_mb)
        self.entries: list[EntryHost] = []
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start all parts, and wait until the entry hosts are ready and a request is answered."""
        server = HTTPServer(make_store_application(self.store))
        port = free_port("127.0.0.1")
        server.listen(port, "127.0.0.1")
        self.store.put("op/config", configuration())
        for replica in self.replicas:
            await replica.start()
        self._beat()
        self._beats = asyncio.create_task(self._keep_beating())
        entries, memory_mb = self._counts
        for number in range(entries):
            entry = EntryHost(f"front-{number}", self.folder, f"127.0.0.1:{port}", memory_mb)
            self.entries.append(entry)
            entry.start()
        async with asyncio.timeout(30):
            for entry in self.entries:
                while not await entry.ready():
                    await asyncio.sleep(0.1)
        # Entry hosts that are ready know the configuration; the list follows with the same reading.
        await asyncio.sleep(2.0)

    def _beat(self) -> None:
        for replica in self.replicas:
            self.store.put(f"servers/{replica.name}", replica.entry())

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._beat()

    def stop(self) -> None:
        """End all that was started."""
        for entry in self.entries:
            entry.stop()
        if self._beats is not None:
            self._beats.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """Writes ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("")
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, line: str) -> None:
        """Add a line."""
        print(line, flush=True)
        with open(self._path, "a") as file:
            file.write(line + "\n")


def count_statuses(answers: list[Answer]) -> str:
    """Return how often each status was answered."""
    return ", ".join(f"{status}: {n}" for status, n in sorted(Counter(a.status for a in answers).items()))


def main(play: Any, folder: Path, sites: list[Site]) -> None:
    """Run a case, and exit with its result."""
    record = Record(folder)

    async def run() -> int:
        async with asyncio.timeout(115):
            return await play(record)

    try:
        result = asyncio.run(run())
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        result = UNABLE
    finally:
        for site in sites:
            site.stop()
    record.note({HELD: "the rule held", BROKEN: "the rule was broken", UNABLE: "no result"}[result])
    # Streams of the stand-ins may still be open; their ends are not of interest.
    os._exit(result)
