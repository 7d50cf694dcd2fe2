"""A randomized soak test: entry hosts in processes, external faults, checks of the guarantees.

The store, engine hosts, targets and callers run in this process. Each entry host is a process of
its own, started as on the users' platform, and reaches the store through a faulty link of its own.
Faults occur in series and overlap. The checks use what callers and targets observed, never the
reports of the entry hosts themselves.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec
from returns.pipeline import is_successful

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer

from ..bench_site import free_address
from ..windows import max_within_window, retries_over_budget
from .cut_entry import CutOrder
from .cut_links import Cut
from .engines import StandInHost, TargetNotices
from .faulty_link import FaultyLink, LinkState
from .site import LARGE, SMALL, StandInSite, malformed_entry, until
from .soak_store import RestoredStore, removal_forgotten

ROOT = Path(__file__).resolve().parents[3]
ENTRIES = 3
HOSTS = 12
CALLERS = 10
FAULT_SECONDS = 9.0
"""Seconds during which faults begin; the longest fault lasts 3 s."""

GRACE_SECONDS = 4.0
"""Seconds that an entry host has to end its requests after SIGTERM."""

RESTART_SECONDS = 10.0
"""Seconds after the last fault in which all entry hosts must run again: the grace of one that was
terminated, and its start."""

QUIET_SECONDS = 7.0
"""Seconds without faults at the end: leases expire in 3, groups are complete in another 3."""

KEY_REMOVAL_SECONDS = 5.0
"""Seconds after its removal until a key must be rejected everywhere, as set in the bounds."""

EVACUATION_SECONDS = 5.0
"""Seconds after an evacuation from which its targets must get nothing, as set in the bounds."""

MIN_ANSWERED_FRACTION = 0.5
"""Fraction of the last requests that must be answered; without faults all of them are."""

QUARANTINE_CRASHES = 3
"""Crashes by one request after which it must be quarantined."""

PART_QUARANTINE_CRASHES = 5
"""Crashes by one part of prompts after which it must be quarantined."""

RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW = 0.2, 100.0, 10.0
"""Bounds on the retries of a service, which the entry hosts have by default."""

MAX_EXTRA_CRASHES = 3
"""Crashes that are allowed after that, once entry hosts have been connected for a while."""

LIMIT_WINDOW_SECONDS = 4.0
"""Window in which the requests to a rate limited target are counted, in seconds."""

LIMITS_PER_SECOND = (0.0, 0.5, 1.2, 4.0)

COLD_PER_SECOND = 4.0
"""Requests a second that a cold engine host bears from all entry hosts."""

COLD_EXCESS, COLD_SLACK = 1.5, 5.0
"""Bounds on the requests to a cold host in a second: the rate times the one plus the other."""

COLD_SECONDS = 60.0
"""Seconds for which a host turns cold: beyond the end of the soak."""

BACKOFF_SECONDS = (0.5, 1.5, 3.0)
"""Back-offs that targets ask for, in seconds."""

MAX_REQUESTS_IN_BACKOFF = 3
"""Requests per entry host in a window of one back-off: two, and the first one after it."""

LEAVING_GRACE_SECONDS = 2.0
"""Seconds in which more requests may follow the first one that got the leaving notice."""

CUT_SETTLE_SECONDS = 3.0
"""Seconds after the start of a cut from which callers at the host are served as elsewhere."""

MIN_CUT_FRACTION = 2 / 3
"""Requests served at a host that is cut off, as a fraction of the rate at the others."""

CUT_CYCLE = 3
"""Every third seed of ``main`` has entry hosts that are cut off from the targets."""

PART_CYCLE = 4
"""Every fourth seed of ``main`` has a crash-causing part of prompts."""

CULPRIT_CYCLE = 3
"""Consecutive seeds of ``main`` have zero, one and two crash-causing requests in turn."""

COLD_CYCLE = 5
"""Every fifth seed of ``main`` has hosts that turn cold."""

SETTLE_SECONDS = 3.0
"""Seconds until entry hosts are up to date again after they were killed, paused or partitioned."""

RECOVERY_WINDOW_SECONDS = 2.0
DEADLINE_SECONDS = 4.0


OPEN_STATES = ("01", "08")
"""States of connections in the system's list: established, and closed by the other end alone."""


class CallRecord(NamedTuple):
    """A request as its caller observed it; ``status`` is 0 without a complete answer.

    :param numbers: numbers of the events received
    :param ended: the answer ended regularly
    :param entry: entry host that it was sent to
    :param sent_at: when its bytes were sent, ``inf`` if they were not; ``sent`` is when it began
    """

    request_id: str
    path: str
    key: str
    sent: float
    status: int
    numbers: tuple[int, ...]
    ended: bool
    entry: str = ""
    sent_at: float = float("inf")


class EntryProcess:
    """One entry host in a process, which the soak restarts whenever it exits.

    :param grace: its grace period in seconds
    :param machine: limits of its machine as the settings give them
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        store: str,
        grace: float = GRACE_SECONDS,
        machine: Mapping[str, float] | None = None,
    ) -> None:
        self.name = name
        self._grace = grace
        self._machine = dict(machine or {})
        ip = free_address().rsplit(":", 1)[0]
        self.caller_address = f"{ip}:7100"
        self.link = FaultyLink(free_address(), store)
        self._folder = folder
        self._ip = ip
        self._first = True
        self._process: subprocess.Popen[bytes] | None = None
        self._log_offset = 0
        self._cut_file = folder / f"{name}.cut"
        self._program = ["deploy/run.py"]
        self.exit_expected = False
        self.unexpected_exits: list[int] = []

    async def start(self) -> None:
        """Start the link and the process."""
        await self.link.start()
        self.run()

    def run(self) -> None:
        """Start the process."""
        settings = {
            "node_name": self.name,
            "ip": self._ip,
            "zone": "hall",
            "listen": {"front": self.caller_address, "ready": f"{self._ip}:7101"},
            "internal_port_range": [7102, 7110],
            "platform": {"address": self.link.address},
            "bootstrap": self._first,
            "limits": self._machine,
            "bounds": {
                "grace_s": self._grace,
                "revoke_ms": KEY_REMOVAL_SECONDS * 1000,
                "evacuate_ms": EVACUATION_SECONDS * 1000,
                "cold_excess": COLD_EXCESS,
                "cold_slack": COLD_SLACK,
            },
        }
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(settings))
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._log_offset = log.tell()
            self._process = subprocess.Popen(
                [sys.executable, *self._program],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": "src:dev",
                    "OLEANDERHILL_SETTINGS": str(file),
                },
                stdout=log,
                stderr=log,
            )
        self._first = False
        self.exit_expected = False

    def address(self, port: int) -> str:
        """Return the address of one of the ports of the process."""
        return f"{self._ip}:{port}"

    def cut_off(self, how: Cut | None, addresses: list[str]) -> None:
        """Cut the process off from addresses, or end the cut.

        The first call has to come before the process starts.
        """
        order = msgspec.json.encode(CutOrder(how, addresses))
        # The process may read the file at any moment.
        written = self._cut_file.with_suffix(".new")
        written.write_bytes(order)
        written.replace(self._cut_file)
        self._program = [
            "-m",
            "oleanderhill_dev.users.cut_entry",
            str(self._cut_file),
            "deploy/run.py",
        ]
        if self._process is not None and self.handles(signal.SIGUSR1):
            self.signal(signal.SIGUSR1)

    def handles(self, number: int) -> bool:
        """Return whether the process has a handler for a signal yet."""
        if self.has_exited() or self._process is None:
            return False
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        caught = next(x for x in status.splitlines() if x.startswith("SigCgt:")).split()[1]
        return bool(int(caught, 16) >> (number - 1) & 1)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def ignores(self, number: int) -> bool:
        """Return whether the process ignores a signal yet."""
        if self.has_exited() or self._process is None:
            return False
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        ignored = next(x for x in status.splitlines() if x.startswith("SigIgn:")).split()[1]
        return bool(int(ignored, 16) >> (number - 1) & 1)

    def log(self) -> str:
        """Return the output of the process so far, over all its runs."""
        return (self._folder / f"{self.name}.log").read_text()

    def holds_configuration(self) -> bool:
        """Return whether the process runs and has put a configuration into force."""
        if self.has_exited():
            return False
        with open(self._folder / f"{self.name}.log", "rb") as log:
            log.seek(self._log_offset)
            return b'"what":"in force"' in log.read()

    def is_up(self) -> bool:
        """Return whether the process serves, and no fault ended it."""
        return not self.exit_expected and self.holds_configuration()

    def has_exited(self) -> bool:
        """Return whether the process has exited."""
        return self._process is None or self._process.poll() is not None

    def peak_memory_mb(self) -> float:
        """Return the highest resident memory of the running process so far."""
        return self._status_kb("VmHWM:") / 1024

    def descriptors(self) -> int:
        """Return the number of open descriptors of the running process."""
        assert self._process is not None
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def open_connections(self, address: str) -> int:
        """Return the connections of its clients at one of its addresses that it has not closed."""
        ip, port = address.rsplit(":", 1)
        local = f"{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}:{int(port):04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return sum(row[1] == local and row[3] in OPEN_STATES for row in rows)

    def processor_seconds(self) -> float:
        """Return the processor time that the running process has used."""
        assert self._process is not None
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _status_kb(self, field: str) -> int:
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(next(x for x in status.splitlines() if x.startswith(field)).split()[1])

    def record_exit(self) -> None:
        """Record the exit code, or the negative number of the signal, unless a fault ended it."""
        if self._process is not None and not self.exit_expected:
            self.unexpected_exits.append(self._process.returncode)

    def stop(self) -> None:
        """Kill the process and stop the link."""
        self.exit_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        self.link.stop()


class _Body(Observer):
    def __init__(self) -> None:
        self.data_seen = b""
        self.sent_at = float("inf")

    def confirm_send(self) -> bool:
        self.sent_at = time.monotonic()
        return True

    def data(self, chunk: bytes) -> None:
        self.data_seen += chunk


class Soak:
    """One soak run with one seed.

    :param culprits: number of crash-causing requests, each of which is sent repeatedly
    :param rate_limited: an engine host and a plain target state, change and withdraw rate limits
    :param send_notices: an engine host and a plain target ask for back-off, and another host
        announces in its reply headers that it leaves
    :param restored: the store is restored from its own backups
    :param evacuated: a second data centre is evacuated and taken back beside the faults, and stays
        evacuated at the end, when an entry host starts again
    :param cold: engine hosts turn cold and warm again
    :param cut_off: entry hosts are cut off from all targets beside the faults, and one stays so
    :param crash_part: a part of prompts crashes hosts, in requests that differ otherwise
    """

    grace_seconds = GRACE_SECONDS

    def __init__(
        self,
        seed: int,
        folder: Path,
        culprits: int = 0,
        rate_limited: bool = False,
        send_notices: bool = False,
        restored: bool = False,
        evacuated: bool = False,
        cold: bool = False,
        cut_off: bool = False,
        crash_part: bool = False,
    ) -> None:
        self._crash_part = crash_part
        self._cut_off, self._cut_at = cut_off, float("inf")
        self._evacuated, self._evacuated_at = evacuated, float("inf")
        self._seed, self._culprits, self._rate_limited = seed, culprits, rate_limited
        self._send_notices, self._restored = send_notices, restored
        self._limits: list[tuple[TargetNotices, float]] = []
        self._backoffs: list[tuple[TargetNotices, float]] = []
        self._leaving_notices: TargetNotices | None = None
        self._rng = random.Random(seed)
        self._folder = folder
        self.site = StandInSite()
        self.site.cold_per_s = COLD_PER_SECOND if cold else 0.0
        self.turned_cold: list[StandInHost] = []
        rng = random.Random(f"{seed} copies")
        self._restoring = RestoredStore(
            self.site.store,
            rng,
            self.site.rewrite_external_entries,
            lambda: any(p.holds_configuration() for p in self.processes),
        )
        self.processes: list[EntryProcess] = []
        self.call_records: list[CallRecord] = []
        self.removed_at: dict[str, float] = {}
        self.faults: list[str] = []
        self._keys = ["key-0"]
        self._version = 1
        self._request_number = 0
        self._host_number = HOSTS
        self._stopping = False
        self._faults_ended_at = float("inf")
        self._not_restarted: list[str] = []
        self.violations: list[str] = []

    async def run(self) -> None:
        """Run the soak and set :attr:`violations`."""
        await self.site.start(HOSTS, 0)
        if self._evacuated:
            for number in range(HOSTS // 2):
                self.site.add_host(f"b-{number}", "d1", "barn")
            self.site.add_target("t-barn", "barn")
        self.site.configure(2, {"hall": self._keys})
        self._version = 2
        for number in range(ENTRIES):
            process = EntryProcess(
                f"entry-{number}", self._folder, self.site.store_address, self.grace_seconds
            )
            self.processes.append(process)
            if self._cut_off:
                process.cut_off(None, [])
            await process.start()
        watching = asyncio.create_task(self._restart_exited())
        try:
            await until(lambda: len(self._open_models()) == 2, 20.0)
            callers = [asyncio.create_task(self._call_repeatedly()) for _ in range(CALLERS)]
            for number in range(self._culprits):
                # A generator of its own keeps the other draws the same for a seed without culprits.
                rng = random.Random(f"{self._seed} {number}")
                crash_body = f"fatal {number}".encode()
                callers.append(
                    asyncio.create_task(self._repeat_crash_causing_request(crash_body, rng))
                )
            if self._crash_part:
                callers.append(asyncio.create_task(self._repeat_crash_causing_part()))
            background = [asyncio.create_task(t) for t in self._background_tasks()]
            await self._inject_faults()
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            if self._restored:
                # After the restore, the last change has a lower revision than many that the entry
                # hosts have already read.
                self._restoring.restore_oldest()
                await self._remove_key()
            if self._evacuated:
                await self._kill()
            self._not_restarted = await self._wait_for_restarts()
            self._faults_ended_at = time.monotonic()
            await asyncio.sleep(QUIET_SECONDS)
            self._stopping = True
            await asyncio.gather(*callers)
            await asyncio.sleep(0.5)
            self.violations = self.find_violations()
        finally:
            watching.cancel()
            for process in self.processes:
                process.stop()
            await self.site.stop()

    def find_violations(self) -> list[str]:
        """Return the violated guarantees, based on what callers and targets observed."""
        ran = Counter(i for t in self.site.targets for i in t.ran)
        streams = {r.request_id for r in self.site.engines.runs}
        found = [
            f"{r.request_id} started in a group in which {r.never_ready} had never been ready"
            for r in self.site.engines.runs
            if r.never_ready
        ]
        for a in self.call_records:
            if a.path.startswith("/pay/") and ran[a.request_id] > 1:
                found.append(
                    f"{a.request_id} may run at most once and ran {ran[a.request_id]} times"
                )
            if a.status in (429, 503) and (ran[a.request_id] or a.request_id in streams):
                found.append(f"{a.request_id} was reported as not run, and ran")
            if a.path.startswith("/read/"):
                found += self._stream_faults(a)
            removed_at = self.removed_at.get(a.key)
            if (
                removed_at is not None
                and a.sent > removed_at + KEY_REMOVAL_SECONDS
                and ran[a.request_id]
                and not removal_forgotten(
                    self._restoring.restores, a.key, removed_at, a.sent, KEY_REMOVAL_SECONDS
                )
            ):
                found.append(f"{a.request_id} ran with a key that had been removed too long before")
        found += [
            f"{name} did not run {RESTART_SECONDS} s after the last fault"
            for name in self._not_restarted
        ]
        found += self._excess_crashes()
        found += self._retries_over_budget()
        found += self._limits_exceeded()
        found += self._cold_hosts_overrun()
        found += self._notices_ignored()
        found += self._evacuation_ignored()
        found += self._cut_host_served_less()
        since = self.call_records[-1].sent - RECOVERY_WINDOW_SECONDS
        last = [a for a in self.call_records if a.sent > since and a.key not in self.removed_at]
        answered = sum(a.status == 200 for a in last)
        if answered < MIN_ANSWERED_FRACTION * len(last):
            found.append(f"only {answered} of the last {len(last)} requests were answered")
        found += [
            f"{p.name} exited unexpectedly with {p.unexpected_exits}"
            for p in self.processes
            if p.unexpected_exits
        ]
        return found

    def _excess_crashes(self) -> list[str]:
        """Return what crashed too many hosts after its quarantine had to apply."""
        found = []
        parts = self.site.engines.crash_causing_parts
        for cause, crashed_at in self.site.engines.crash_times.items():
            enough = PART_QUARANTINE_CRASHES if cause.name in parts else QUARANTINE_CRASHES
            if len(crashed_at) <= enough:
                continue
            settled_at = max(self._faults_ended_at, crashed_at[enough - 1]) + SETTLE_SECONDS
            extra = sum(at > settled_at for at in crashed_at)
            if extra > MAX_EXTRA_CRASHES:
                name = f"{cause.name} {cause.model}".rstrip()
                found.append(f"{name} crashed {extra} more hosts, {len(crashed_at)} in total")
        return found

    def _retries_over_budget(self) -> list[str]:
        """Return the services that got more retries in a window than allowed."""
        plain = [a for t in self.site.targets for a in t.arrivals]
        found = []
        for service, arrivals in (("engines", self.site.engines.arrivals), ("plain", plain)):
            ids = {request_id for _, request_id in arrivals}
            engines = service == "engines"
            sent = [
                r.sent
                for r in self.call_records
                if r.request_id in ids or r.path.startswith("/read/") == engines
            ]
            excess = retries_over_budget(arrivals, sent, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW)
            if excess > 0:
                found.append(f"{service} got {excess:.1f} retries more than allowed in a window")
        return found

    def _limits_exceeded(self) -> list[str]:
        """Return the rate limits that the entry hosts exceeded together after the settle time."""
        found = []
        for notices, rate in self._limits:
            most = max_within_window(
                LIMIT_WINDOW_SECONDS, notices.arrivals, self._faults_ended_at + SETTLE_SECONDS
            )
            if notices.limit and most > 1.5 * rate * LIMIT_WINDOW_SECONDS + 5:
                found.append(
                    f"a target with a limit of {rate} per second got {most} requests in a window"
                )
        return found

    def _cold_hosts_overrun(self) -> list[str]:
        """Return the cold hosts that got too many requests in a second after the settle time."""
        bound = COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK
        settled_at = self._faults_ended_at + SETTLE_SECONDS
        cold = [h for h in self.turned_cold if h.cold_until]
        most = {h.instance: max_within_window(1.0, h.notices.arrivals, settled_at) for h in cold}
        return [f"cold {i} got {n} requests in a second" for i, n in most.items() if n > bound]

    def _notices_ignored(self) -> list[str]:
        """Return the targets that got requests despite their notices, after the settle time."""
        found = []
        settled_at = self._faults_ended_at + SETTLE_SECONDS
        for notices, backoff in self._backoffs:
            most = max_within_window(backoff, notices.arrivals, settled_at)
            if notices.backoff and most > MAX_REQUESTS_IN_BACKOFF * ENTRIES:
                found.append(
                    f"a target that asked for {backoff} s of back-off got {most} requests meanwhile"
                )
        late = (
            []
            if self._leaving_notices is None
            else [a for a in self._leaving_notices.arrivals if a > settled_at]
        )
        if late and late[-1] > late[0] + LEAVING_GRACE_SECONDS:
            found.append(f"a target that had announced that it leaves got {len(late)} requests")
        return found

    def _evacuation_ignored(self) -> list[str]:
        """Return whether targets of the evacuated data centre got requests too late."""
        hosts = self.site.engines.host_by_instance.values()
        all_notices = [h.notices for h in hosts if h.data_centre == "barn"]
        all_notices += [t.notices for t in self.site.targets if t.instance == "t-barn"]
        stopped_at = max(
            self._evacuated_at + EVACUATION_SECONDS, self._faults_ended_at + SETTLE_SECONDS
        )
        late = sum(at > stopped_at for n in all_notices for at in n.arrivals)
        return [f"an evacuated data centre got {late} requests too late"] if late else []

    def _cut_host_served_less(self) -> list[str]:
        """Return whether the host that stays cut off served its callers less than the others."""
        since = max(self._cut_at + CUT_SETTLE_SECONDS, self._faults_ended_at + SETTLE_SECONDS)
        last = [a for a in self.call_records if a.sent > since and a.key not in self.removed_at]
        own = [a.status == 200 for a in last if a.entry == self.processes[-1].name]
        others = [a.status == 200 for a in last if a.entry != self.processes[-1].name]
        if not own or not others:
            return []
        share, usual = sum(own) / len(own), sum(others) / len(others)
        if share >= MIN_CUT_FRACTION * usual:
            return []
        return [f"the host that is cut off served {share:.2f} of its requests, others {usual:.2f}"]

    def _stream_faults(self, a: CallRecord) -> list[str]:
        if list(a.numbers) != list(range(len(a.numbers))):
            return [f"{a.request_id} got the event numbers {a.numbers}"]
        if a.status == 200 and a.ended and len(a.numbers) != self._expected_events(a.request_id):
            return [f"{a.request_id} ended as complete after {len(a.numbers)} events"]
        return []

    def _expected_events(self, request_id: str) -> int:
        """Return the number of events of the stream of a request."""
        return self.site.engines.events_per_stream

    def _open_models(self) -> set[str]:
        hosts = self.site.engines.host_by_instance.values()
        return {h.model for h in hosts if h.group is not None and h.group["state"] == "open"}

    async def _restart_exited(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for process in self.processes:
                if process.has_exited():
                    process.record_exit()
                    process.run()

    async def _wait_for_restarts(self) -> list[str]:
        """Wait until all processes run that faults have ended; return those that don't in time."""
        ends = time.monotonic() + RESTART_SECONDS
        while time.monotonic() < ends and not all(p.is_up() for p in self.processes):
            await asyncio.sleep(0.1)
        return [p.name for p in self.processes if not p.is_up()]

    async def _call_repeatedly(self) -> None:
        caller = HttpCaller()
        rng = random.Random(self._rng.random())
        while not self._stopping:
            self._request_number += 1
            await self._call(caller, rng, f"r{self._request_number}")
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        caller.close()

    async def _call(
        self,
        caller: HttpCaller,
        rng: random.Random,
        request_id: str,
        crash_body: bytes = b"",
        prompt: str = "ab:100",
    ) -> None:
        path = "/read/x" if crash_body else rng.choice(["/read/x", "/pay/x", "/scan/x", "/read/x"])
        key = rng.choice([*self._keys, *(() if crash_body else self.removed_at)])
        model = rng.choice([SMALL, LARGE])
        process = rng.choice(self.processes)
        headers = {"Model": model, "Token-Counts": "100,80", "Prompt-Prefix": prompt}
        sent_body = crash_body or request_id.encode()
        record = await self._ask(caller, process, request_id, path, key, headers, sent_body)
        if not crash_body:
            self.call_records.append(record)

    async def _ask(
        self,
        caller: HttpCaller,
        process: EntryProcess,
        request_id: str,
        path: str,
        key: str,
        headers: dict[str, str],
        sent_body: bytes,
        deadline: float = DEADLINE_SECONDS,
    ) -> CallRecord:
        """Send a request to an entry host, and return what its caller observes.

        :param headers: those beside the ones that each request has
        :param deadline: seconds
        """
        all_headers = {
            "Host": "yard.example",
            "Authorization": f"Bearer {key}",
            "Attempt-Id": request_id,
            "Deadline-Ms": str(int(deadline * 1000)),
            **headers,
        }
        body = _Body()
        method = "GET" if path.startswith("/scan/") else "POST"
        call = Call(
            process.caller_address,
            method,
            path,
            all_headers,
            sent_body,
            deadline + 1,
            reuse=True,
        )
        sent = time.monotonic()
        found = await caller.call(call, body)
        status = found.unwrap().status if is_successful(found) else 0
        numbers = tuple(
            int(line[4:]) for line in body.data_seen.splitlines() if line.startswith(b"id: ")
        )
        ended = is_successful(found)
        return CallRecord(
            request_id, path, key, sent, status, numbers, ended, process.name, body.sent_at
        )

    def _background_tasks(self) -> list[Coroutine[None, None, None]]:
        """Return the tasks that run beside the faults, with random generators of their own."""
        background: list[Coroutine[None, None, None]] = []
        if self._rate_limited:
            background.append(self._change_limits())
        if self.site.cold_per_s:
            background.append(self._change_cold_hosts())
        if self._send_notices:
            background.append(self._change_notices())
        if self._evacuated:
            background.append(self._change_evacuation())
        if self._cut_off:
            background.append(self._change_cuts())
        if self._restored:
            background += [self._restoring.back_up(), self._restoring.restore()]
        return background

    def _open_heads(self) -> list[StandInHost]:
        hosts = self.site.engines.host_by_instance.values()
        found = [h for h in hosts if h.alive and h.group is not None]
        return [h for h in found if h.group is not None and h.group["state"] == "open"]

    async def _change_notices(self) -> None:
        """Let targets start and stop shedding load, and let one host announce that it leaves."""
        rng = random.Random(f"{self._seed} words")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            heads = self._open_heads()
            if self._leaving_notices is None and len(heads) > 2 and rng.random() < 0.4:
                self._leaving_notices = heads[-1].notices
                self._leaving_notices.leaving = True
            backoff = rng.choice(BACKOFF_SECONDS)
            notices = rng.choice([*(h.notices for h in heads[:1]), self.site.targets[0].notices])
            notices.backoff = "" if rng.random() < 0.3 else str(backoff)
            self._backoffs = [(n, s) for n, s in self._backoffs if n is not notices]
            self._backoffs.append((notices, backoff))

    async def _change_evacuation(self) -> None:
        """Evacuate the second data centre and take it back, and evacuate it for good in the end."""
        rng = random.Random(f"{self._seed} evacuation")
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.3, 3.0))
                self.site.evacuate("barn")
                await asyncio.sleep(rng.uniform(0.3, 6.0))
                self.site.take_back("barn")
        finally:
            self.site.evacuate("barn")
            self._evacuated_at = time.monotonic()

    async def _change_cuts(self) -> None:
        """Cut entry hosts off from the targets in turn; the last one stays cut off."""
        rng = random.Random(f"{self._seed} cuts")
        cut: set[str] = set()
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.3, 2.5))
                process = rng.choice(self.processes)
                how = None if process.name in cut else rng.choice(list(Cut))
                cut ^= {process.name}
                process.cut_off(how, self.site.target_addresses())
        finally:
            for process in self.processes[:-1]:
                process.cut_off(None, [])
            self.processes[-1].cut_off(rng.choice(list(Cut)), self.site.target_addresses())
            self._cut_at = time.monotonic()

    async def _change_cold_hosts(self) -> None:
        """Let heads of groups turn cold and warm; the last ones stay cold until the end."""
        rng = random.Random(f"{self._seed} cold")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            for host in rng.sample(heads := self._open_heads(), min(2, len(heads))):
                host.cold_until = 0.0 if rng.random() < 0.2 else time.monotonic() + COLD_SECONDS
                self.turned_cold.append(host)

    async def _change_limits(self) -> None:
        """Set, change and withdraw rate limits; the last ones remain until the end of the soak."""
        rng = random.Random(f"{self._seed} limits")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            heads = self._open_heads()
            rate = rng.choice(LIMITS_PER_SECOND)
            notices = rng.choice([*(h.notices for h in heads[:1]), self.site.targets[0].notices])
            notices.limit = "" if rng.random() < 0.2 else str(rate)
            self._limits = [(n, r) for n, r in self._limits if n is not notices]
            self._limits.append((notices, rate))

    # Faults

    async def _inject_faults(self) -> None:
        ends = time.monotonic() + FAULT_SECONDS
        running: list[asyncio.Future[None]] = []
        while time.monotonic() < ends:
            fault = self._rng.choice(self._fault_kinds())
            self.faults.append(fault.__name__.strip("_"))
            running.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    def _fault_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._kill,
            self._terminate,
            self._pause,
            self._kill_all,
            self._fail_link,
            self._reset_links,
            self._refuse_store,
            self._lose_writes,
            self._forget_history,
            self._lose_host,
            self._restart_host,
            self._write_garbage,
            self._late_orders,
            self._reset_targets,
            self._shed,
            self._remove_key,
            self._hang_up,
        ]

    def _random_process(self) -> EntryProcess:
        return self._rng.choice(self.processes)

    async def _kill(self) -> None:
        process = self._random_process()
        process.exit_expected = True
        process.signal(signal.SIGKILL)

    async def _kill_all(self) -> None:
        for process in self.processes:
            process.exit_expected = True
            process.signal(signal.SIGKILL)

    async def _terminate(self) -> None:
        process = self._random_process()
        process.exit_expected = True
        process.signal(signal.SIGTERM)

    async def _pause(self) -> None:
        process = self._random_process()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        process.signal(signal.SIGCONT)

    async def _hang_up(self) -> None:
        process = self._random_process()
        # It ends a process that has not come to its first line, which no program can prevent.
        if process.ignores(signal.SIGHUP) or process.handles(signal.SIGHUP):
            process.signal(signal.SIGHUP)

    async def _fail_link(self) -> None:
        link = self._random_process().link
        link.state = self._rng.choice([s for s in LinkState if s != LinkState.HEALTHY])
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        link.state = LinkState.HEALTHY

    async def _reset_links(self) -> None:
        for process in self.processes:
            process.link.reset()

    async def _refuse_store(self) -> None:
        self.site.store.faults.status = self._rng.choice([429, 503])
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        self.site.store.faults.status = 0

    async def _lose_writes(self) -> None:
        faults = self.site.store.faults
        faults.late_by = self._rng.uniform(0.5, 2.5)
        if self._rng.random() < 0.5:
            faults.unanswered_writes += 2
        else:
            faults.late_writes += 2

    async def _forget_history(self) -> None:
        self.site.store.discard_history()

    async def _lose_host(self) -> None:
        alive = [h for h in self.site.engines.host_by_instance.values() if h.alive]
        self.site.lose_host(self._rng.choice(alive).instance)
        self._host_number += 1
        self.site.add_host(f"i-{self._host_number}", "d0")

    async def _restart_host(self) -> None:
        alive = [h for h in self.site.engines.host_by_instance.values() if h.alive]
        host = self._rng.choice(alive)
        old = host.entry()
        host.restart()
        if self._rng.random() < 0.5:
            # A delayed entry of the previous incarnation shows the host in its old group.
            self.site.write_entry(host.instance, old)

    async def _repeat_crash_causing_request(self, crash_body: bytes, rng: random.Random) -> None:
        """Send a crash-causing request repeatedly until the end of the soak."""
        self.site.engines.crash_causing_bodies.add(crash_body)
        await asyncio.sleep(rng.uniform(0.0, FAULT_SECONDS))
        caller = HttpCaller()
        number = 0
        while not self._stopping:
            number += 1
            await self._call(
                caller, rng, f"{crash_body.decode().replace(' ', '-')}-{number}", crash_body
            )
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        caller.close()

    async def _repeat_crash_causing_part(self) -> None:
        """Send requests that have only a crash-causing part in common until the end."""
        rng = random.Random(f"{self._seed} part")
        self.site.engines.crash_causing_parts.add("bad0")
        await asyncio.sleep(rng.uniform(0.0, FAULT_SECONDS))
        caller = HttpCaller()
        number = 0
        while not self._stopping:
            number += 1
            body, prompt = b"request %d" % number, f"ab:40,bad0:60,{number:x}:100"
            await self._call(caller, rng, f"part-{number}", body, prompt)
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        caller.close()

    async def _write_garbage(self) -> None:
        host = self._rng.choice(list(self.site.engines.host_by_instance.values()))
        self.site.write_entry(
            f"other-{self._rng.randint(0, 9)}", malformed_entry(self._rng, host.entry())
        )

    async def _late_orders(self) -> None:
        for host in self.site.engines.host_by_instance.values():
            if self._rng.random() < 0.3:
                host.faults.late, host.faults.late_by = 1, self._rng.uniform(0.5, 3.0)

    async def _reset_targets(self) -> None:
        for target in self.site.targets:
            target.faults.reset += self._rng.randint(0, 3)

    async def _shed(self) -> None:
        for target in self.site.targets:
            target.faults.shed += self._rng.randint(0, 5)

    async def _remove_key(self) -> None:
        self._version += 1
        old, self._keys = self._keys, [f"key-{self._version}"]
        self.site.configure(self._version, {"hall": self._keys})
        for key in old:
            self.removed_at[key] = time.monotonic()


_SoakType = TypeVar("_SoakType", bound=Soak)


async def run_soak(soak: Soak, seed: int) -> Soak:
    """Run a soak and print its summary line and first violations."""
    await soak.run()
    violations = soak.violations
    statuses = Counter(a.status for a in soak.call_records)
    print(
        f"soak: seed={seed} faults={len(soak.faults)} requests={len(soak.call_records)} "
        f"answered={statuses[200]} "
        f"limits={[n.limit for n, _ in soak._limits]} "
        f"backoffs={[n.backoff for n, _ in soak._backoffs]} "
        f"evacuated={soak._evacuated} "
        f"cut={soak._cut_off} "
        f"cold={sum(bool(h.cold_until) for h in soak.site.engines.host_by_instance.values())} "
        f"generation={soak.site.store.generation} "
        f"ended={[len(t) for t in soak.site.engines.crash_times.values()]} "
        f"broken={len(violations)}",
        flush=True,
    )
    for line in violations[:5]:
        print(f"soak: seed={seed} {line}; faults: {' '.join(soak.faults)}", flush=True)
    return soak


def run_seed(
    seed: int,
    culprits: int = 0,
    rate_limited: bool = False,
    send_notices: bool = False,
    restored: bool = False,
    evacuated: bool = False,
    cold: bool = False,
    cut_off: bool = False,
    crash_part: bool = False,
) -> Soak:
    """Run one seed; the logs are kept if a guarantee was violated."""
    options = (rate_limited, send_notices, restored, evacuated, cold, cut_off, crash_part)
    return run_in_folder(seed, lambda folder: Soak(seed, folder, culprits, *options))


def run_in_folder(seed: int, make: Callable[[Path], _SoakType]) -> _SoakType:
    """Run a soak in a temporary folder, which is kept if a guarantee was violated."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = make(folder)
    asyncio.run(run_soak(soak, seed))
    if soak.violations:
        print(f"soak: seed={seed} logs in {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return soak


def main() -> int:
    """Run the seeds of the command line, ``FIRST COUNT``, and return the exit code."""
    first, count = (int(a) for a in (sys.argv[1:] or ["1", "5"])[:2])
    failed = 0
    for seed in range(first, first + count):
        # Four consecutive seeds have rate limits, rate limits with notices, store restores, and
        # store restores with notices. The next four have evacuations as well.
        restored = seed % 4 > 1
        cold = seed % COLD_CYCLE == 0
        cut_off = seed % CUT_CYCLE == 0
        crash_part = seed % PART_CYCLE == 1
        options = (not restored, seed % 2 == 1, restored, seed % 8 > 3, cold, cut_off, crash_part)
        soak = run_seed(seed, seed % CULPRIT_CYCLE, *options)
        failed += bool(soak.violations)
    print(f"soak: seeds={count} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
