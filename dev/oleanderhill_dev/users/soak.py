"""A randomized soak: real entry hosts as processes, faults from outside, promises checked.

The store, engine hosts, targets and callers live in this process; each entry host is a process of
its own, started as on the users' platform, and reaches the store through a link of its own that
can fail. Faults come in series and overlap. What is checked comes from what callers and targets
saw, never from the entry hosts' own words.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import NamedTuple

from returns.pipeline import is_successful

from oleanderhill.clients.httpcall import Call, HttpCaller, Observer

from ..bench_site import free_address
from ..windows import most_within
from .engines import Demand, StandInHost
from .faulty_link import FaultyLink, LinkState
from .site import LARGE, SMALL, StandInSite, garbage, until
from .soak_store import RestoredStore

ROOT = Path(__file__).resolve().parents[3]
ENTRIES = 3
HOSTS = 12
CALLERS = 10
FAULT_SECONDS = 9.0
"""Seconds in which faults begin; the longest lasts 3 s."""

QUIET_SECONDS = 7.0
"""Seconds without faults at the end: leases run out in 3, groups are whole again in another 3."""

KEY_BOUND = 5.0
"""Seconds after which a removed key must be dead, as the settings say."""

RECOVERED_PART = 0.5
"""Part of the last requests that must be answered; a calm site answers all of them."""

ENDINGS_ENOUGH = 3
ENDINGS_MORE = 3
"""Hosts that a request may end once three have, by entry hosts that were in touch for a while."""

LIMIT_WINDOW = 4.0
"""Seconds in which the requests to a limited target are counted."""

LIMITS = (0.0, 0.5, 1.2, 4.0)

BACKOFFS = (0.5, 1.5, 3.0)
"""Seconds for which targets ask to be left alone."""

BACKED_OFF_MOST = 3
"""Requests that an entry host may send within a back-off: two, and the first one after it."""

LEFT_ALONE = 2.0
"""Seconds after a target's word that it leaves in which requests may still come to it."""

MOST_CULPRITS = 3
"""The seeds of ``main`` have none, one or two culprits, in turn."""

SETTLED = 3.0
"""Seconds after which entry hosts that were killed, paused or cut off must know again."""

LAST_SECONDS = 2.0
DEADLINE = 4.0


class Asked(NamedTuple):
    """A request as its caller saw it; ``status`` is 0 where no whole answer came."""

    request_id: str
    path: str
    key: str
    sent: float
    status: int
    numbers: tuple[int, ...]
    ended: bool


class Program:
    """One entry host as a process, restarted by the soak when it ends."""

    def __init__(self, name: str, folder: Path, store: str) -> None:
        self.name = name
        ip = free_address().rsplit(":", 1)[0]
        self.callers = f"{ip}:7100"
        self.link = FaultyLink(free_address(), store)
        self._folder = folder
        self._ip = ip
        self._first = True
        self._process: subprocess.Popen[bytes] | None = None
        self.expected_end = False
        self.own_ends = 0

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
            "listen": {"front": self.callers, "ready": f"{self._ip}:7101"},
            "internal_port_range": [7102, 7110],
            "platform": {"address": self.link.address},
            "bootstrap": self._first,
            "bounds": {"grace_s": 4.0, "revoke_ms": KEY_BOUND * 1000},
        }
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(settings))
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "deploy/run.py"],
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "OLEANDERHILL_SETTINGS": str(file)},
                stdout=log,
                stderr=log,
            )
        self._first = False
        self.expected_end = False

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def ignores(self, number: int) -> bool:
        """Tell whether the process has come so far as to ignore a signal."""
        if self._process is None:
            return False
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        ignored = next(x for x in status.splitlines() if x.startswith("SigIgn:")).split()[1]
        return bool(int(ignored, 16) >> (number - 1) & 1)

    def log(self) -> str:
        """Return what the process has written so far."""
        return (self._folder / f"{self.name}.log").read_text()

    def ended(self) -> bool:
        """Tell whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def stop(self) -> None:
        """End the process and the link."""
        self.expected_end = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        self.link.stop()


class _Body(Observer):
    def __init__(self) -> None:
        self.data_seen = b""

    def data(self, chunk: bytes) -> None:
        self.data_seen += chunk


class Soak:
    """One run with one seed.

    :param culprits: requests that end each host that begins them
    :param limited: an engine host and a plain target name limits, change and withdraw them
    :param speaking: an engine host and a plain target ask to back off, and another host says in its
        answers that it leaves
    :param restored: the store is restored from backups of itself
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        culprits: int = 0,
        limited: bool = False,
        speaking: bool = False,
        restored: bool = False,
    ) -> None:
        self._seed, self._culprits, self._limited = seed, culprits, limited
        self._speaking, self._restored = speaking, restored
        self._limits: list[tuple[Demand, float]] = []
        self._backoffs: list[tuple[Demand, float]] = []
        self._left: Demand | None = None
        self._rng = random.Random(seed)
        self._folder = folder
        self.site = StandInSite()
        drawn = random.Random(f"{seed} copies")
        self._restoring = RestoredStore(self.site.store, drawn, self.site.write_again)
        self.programs: list[Program] = []
        self.asked: list[Asked] = []
        self.removed_at: dict[str, float] = {}
        self.faults: list[str] = []
        self._keys = ["key-0"]
        self._version = 1
        self._number = 0
        self._new_hosts = HOSTS
        self._stopping = False
        self._calm_since = float("inf")
        self.found: list[str] = []

    async def run(self) -> None:
        """Play the soak; :attr:`found` then holds the promises that were broken."""
        await self.site.start(HOSTS, 0)
        self.site.configure(2, {"hall": self._keys})
        self._version = 2
        for number in range(ENTRIES):
            program = Program(f"entry-{number}", self._folder, self.site.store_address)
            self.programs.append(program)
            await program.start()
        watching = asyncio.create_task(self._restart_ended())
        try:
            await until(lambda: len(self._open_models()) == 2, 20.0)
            callers = [asyncio.create_task(self._call_on()) for _ in range(CALLERS)]
            for number in range(self._culprits):
                # Drawn apart, so that a seed without culprits plays as it always did.
                rng = random.Random(f"{self._seed} {number}")
                fatal = f"fatal {number}".encode()
                callers.append(asyncio.create_task(self._come_again(fatal, rng)))
            beside = [asyncio.create_task(t) for t in self._beside()]
            await self._inflict()
            for task in beside:
                task.cancel()
            await asyncio.gather(*beside, return_exceptions=True)
            if self._restored:
                # The last change is lower in number than much that the entry hosts have seen.
                self._restoring.restore_oldest()
                await self._remove_key()
            self._calm_since = time.monotonic()
            await asyncio.sleep(QUIET_SECONDS)
            self._stopping = True
            await asyncio.gather(*callers)
            await asyncio.sleep(0.5)
            self.found = self.broken()
        finally:
            watching.cancel()
            for program in self.programs:
                program.stop()
            await self.site.stop()

    def broken(self) -> list[str]:
        """Return the promises that were broken, by what callers and targets saw."""
        ran = Counter(i for t in self.site.targets for i in t.ran)
        streams = {r.request_id for r in self.site.engines.runs}
        found = [
            f"{r.request_id} began in a group without {r.never_ready}"
            for r in self.site.engines.runs
            if r.never_ready
        ]
        for a in self.asked:
            if a.path.startswith("/pay/") and ran[a.request_id] > 1:
                found.append(f"{a.request_id} may run once and ran {ran[a.request_id]} times")
            if a.status in (429, 503) and (ran[a.request_id] or a.request_id in streams):
                found.append(f"{a.request_id} was said not to have run, and ran")
            if a.path.startswith("/read/"):
                found += self._stream_faults(a)
            dead = self.removed_at.get(a.key)
            if dead is not None and a.sent > dead + KEY_BOUND and ran[a.request_id]:
                found.append(f"{a.request_id} ran with a key that was removed long before")
        found += self._endings_too_many()
        found += self._limits_exceeded()
        found += self._words_unheard()
        since = self.asked[-1].sent - LAST_SECONDS
        last = [a for a in self.asked if a.sent > since and a.key not in self.removed_at]
        answered = sum(a.status == 200 for a in last)
        if answered < RECOVERED_PART * len(last):
            found.append(f"at the end {answered} of {len(last)} requests were answered")
        found += [
            f"{p.name} ended by itself {p.own_ends} times" for p in self.programs if p.own_ends
        ]
        return found

    def _endings_too_many(self) -> list[str]:
        """Return the requests that went on ending hosts when all entry hosts must have known."""
        found = []
        for body, ended_at in self.site.engines.ended_by.items():
            if len(ended_at) <= ENDINGS_ENOUGH:
                continue
            known = max(self._calm_since, ended_at[ENDINGS_ENOUGH - 1]) + SETTLED
            more = sum(at > known for at in ended_at)
            if more > ENDINGS_MORE:
                found.append(f"{body.decode()} ended {more} hosts more, {len(ended_at)} in all")
        return found

    def _limits_exceeded(self) -> list[str]:
        """Return the limits that all entry hosts together did not keep once all must know."""
        found = []
        for demand, rate in self._limits:
            most = most_within(LIMIT_WINDOW, demand.arrivals, self._calm_since + SETTLED)
            if demand.limit and most > 1.5 * rate * LIMIT_WINDOW + 5:
                found.append(f"a target that named {rate} got {most} requests in a window")
        return found

    def _words_unheard(self) -> list[str]:
        """Return what came to targets that wanted nothing, once all entry hosts must know."""
        found = []
        known = self._calm_since + SETTLED
        for demand, backoff in self._backoffs:
            most = most_within(backoff, demand.arrivals, known)
            if demand.backoff and most > BACKED_OFF_MOST * ENTRIES:
                found.append(
                    f"a target that asked for {backoff} s of back-off got {most} requests in it"
                )
        late = [] if self._left is None else [a for a in self._left.arrivals if a > known]
        if late and late[-1] > late[0] + LEFT_ALONE:
            found.append(f"a target that had said that it leaves got {len(late)} requests")
        return found

    def _stream_faults(self, a: Asked) -> list[str]:
        if list(a.numbers) != list(range(len(a.numbers))):
            return [f"{a.request_id} got the events {a.numbers}"]
        if a.status == 200 and a.ended and len(a.numbers) != self.site.engines.pieces:
            return [f"{a.request_id} ended as whole after {len(a.numbers)} events"]
        return []

    def _open_models(self) -> set[str]:
        hosts = self.site.engines.host_by_instance.values()
        return {h.model for h in hosts if h.group is not None and h.group["state"] == "open"}

    async def _restart_ended(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for program in self.programs:
                if program.ended():
                    program.own_ends += not program.expected_end
                    program.run()

    async def _call_on(self) -> None:
        caller = HttpCaller()
        rng = random.Random(self._rng.random())
        while not self._stopping:
            self._number += 1
            await self._call(caller, rng, f"r{self._number}")
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        caller.close()

    async def _call(
        self, caller: HttpCaller, rng: random.Random, request_id: str, fatal: bytes = b""
    ) -> None:
        path = "/read/x" if fatal else rng.choice(["/read/x", "/pay/x", "/scan/x", "/read/x"])
        key = rng.choice([*self._keys, *(() if fatal else self.removed_at)])
        headers = {
            "Host": "yard.example",
            "Authorization": f"Bearer {key}",
            "Attempt-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE * 1000)),
            "Model": rng.choice([SMALL, LARGE]),
            "Token-Counts": "100,80",
            "Prompt-Prefix": "ab:100",
        }
        body, sent_body = _Body(), fatal or request_id.encode()
        method = "GET" if path.startswith("/scan/") else "POST"
        call = Call(
            rng.choice(self.programs).callers,
            method,
            path,
            headers,
            sent_body,
            DEADLINE + 1,
            reuse=True,
        )
        sent = time.monotonic()
        found = await caller.call(call, body)
        status = found.unwrap().status if is_successful(found) else 0
        numbers = tuple(
            int(line[4:]) for line in body.data_seen.splitlines() if line.startswith(b"id: ")
        )
        ended = is_successful(found)
        if fatal:
            return
        self.asked.append(Asked(request_id, path, key, sent, status, numbers, ended))

    def _beside(self) -> list[Coroutine[None, None, None]]:
        """Return what goes on beside the faults, drawn apart from them."""
        beside: list[Coroutine[None, None, None]] = []
        if self._limited:
            beside.append(self._name_limits())
        if self._speaking:
            beside.append(self._speak())
        if self._restored:
            beside += [self._restoring.back_up(), self._restoring.restore()]
        return beside

    def _heads(self) -> list[StandInHost]:
        hosts = self.site.engines.host_by_instance.values()
        found = [h for h in hosts if h.alive and h.group is not None]
        return [h for h in found if h.group is not None and h.group["state"] == "open"]

    async def _speak(self) -> None:
        """Have targets shed load and take requests again, and one host leave by its answers."""
        rng = random.Random(f"{self._seed} words")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            heads = self._heads()
            if self._left is None and len(heads) > 2 and rng.random() < 0.4:
                self._left = heads[-1].demand
                self._left.leaving = True
            backoff = rng.choice(BACKOFFS)
            demand = rng.choice([*(h.demand for h in heads[:1]), self.site.targets[0].demand])
            demand.backoff = "" if rng.random() < 0.3 else str(backoff)
            self._backoffs = [(d, r) for d, r in self._backoffs if d is not demand]
            self._backoffs.append((demand, backoff))

    async def _name_limits(self) -> None:
        """Name, change and withdraw limits; the last ones stand until the end."""
        rng = random.Random(f"{self._seed} limits")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            heads = self._heads()
            rate = rng.choice(LIMITS)
            demand = rng.choice([*(h.demand for h in heads[:1]), self.site.targets[0].demand])
            demand.limit = "" if rng.random() < 0.2 else str(rate)
            self._limits = [(d, r) for d, r in self._limits if d is not demand]
            self._limits.append((demand, rate))

    # Faults

    async def _inflict(self) -> None:
        ends = time.monotonic() + FAULT_SECONDS
        running: list[asyncio.Future[None]] = []
        while time.monotonic() < ends:
            fault = self._rng.choice(self._kinds())
            self.faults.append(fault.__name__.strip("_"))
            running.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    def _kinds(self) -> list[Callable[[], Awaitable[None]]]:
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

    def _some(self) -> Program:
        return self._rng.choice(self.programs)

    async def _kill(self) -> None:
        program = self._some()
        program.expected_end = True
        program.signal(signal.SIGKILL)

    async def _kill_all(self) -> None:
        for program in self.programs:
            program.expected_end = True
            program.signal(signal.SIGKILL)

    async def _terminate(self) -> None:
        program = self._some()
        program.expected_end = True
        program.signal(signal.SIGTERM)

    async def _pause(self) -> None:
        program = self._some()
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        program.signal(signal.SIGCONT)

    async def _hang_up(self) -> None:
        self._some().signal(signal.SIGHUP)

    async def _fail_link(self) -> None:
        link = self._some().link
        link.state = self._rng.choice([s for s in LinkState if s != LinkState.SOUND])
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        link.state = LinkState.SOUND

    async def _reset_links(self) -> None:
        for program in self.programs:
            program.link.reset()

    async def _refuse_store(self) -> None:
        self.site.store.faults.status = self._rng.choice([429, 503])
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        self.site.store.faults.status = 0

    async def _lose_writes(self) -> None:
        faults = self.site.store.faults
        faults.late_by = self._rng.uniform(0.5, 2.5)
        if self._rng.random() < 0.5:
            faults.lose_writes += 2
        else:
            faults.late_writes += 2

    async def _forget_history(self) -> None:
        self.site.store.forget_history()

    async def _lose_host(self) -> None:
        alive = [h for h in self.site.engines.host_by_instance.values() if h.alive]
        self.site.lose_host(self._rng.choice(alive).instance)
        self._new_hosts += 1
        self.site.add_host(f"i-{self._new_hosts}", "d0")

    async def _restart_host(self) -> None:
        alive = [h for h in self.site.engines.host_by_instance.values() if h.alive]
        host = self._rng.choice(alive)
        old = host.entry()
        host.restart()
        if self._rng.random() < 0.5:
            # The entry of the life before was on its way, and shows the host in its old group.
            self.site.write_entry(host.instance, old)

    async def _come_again(self, fatal: bytes, rng: random.Random) -> None:
        """Send a request that ends whoever begins it, again and again until the end."""
        self.site.engines.fatal.add(fatal)
        await asyncio.sleep(rng.uniform(0.0, FAULT_SECONDS))
        caller = HttpCaller()
        number = 0
        while not self._stopping:
            number += 1
            await self._call(caller, rng, f"{fatal.decode().replace(' ', '-')}-{number}", fatal)
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        caller.close()

    async def _write_garbage(self) -> None:
        host = self._rng.choice(list(self.site.engines.host_by_instance.values()))
        self.site.write_entry(f"other-{self._rng.randint(0, 9)}", garbage(self._rng, host.entry()))

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


async def soak(played: Soak, seed: int) -> Soak:
    """Play one seed, print its row and return it."""
    await played.run()
    broken = played.found
    statuses = Counter(a.status for a in played.asked)
    print(
        f"soak: seed={seed} faults={len(played.faults)} requests={len(played.asked)} "
        f"answered={statuses[200]} "
        f"limits={[d.limit for d, _ in played._limits]} "
        f"backoffs={[d.backoff for d, _ in played._backoffs]} "
        f"generation={played.site.store.generation} "
        f"ended={[len(e) for e in played.site.engines.ended_by.values()]} broken={len(broken)}",
        flush=True,
    )
    for line in broken[:5]:
        print(f"soak: seed={seed} {line}; faults: {' '.join(played.faults)}", flush=True)
    return played


def play(
    seed: int,
    culprits: int = 0,
    limited: bool = False,
    speaking: bool = False,
    restored: bool = False,
) -> Soak:
    """Play one seed in a folder of its own, which is kept if a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    played = Soak(seed, folder, culprits, limited, speaking, restored)
    asyncio.run(soak(played, seed))
    if played.found:
        print(f"soak: seed={seed} logs in {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return played


def main() -> int:
    """Play the seeds named on the command line, ``FIRST COUNT``, and return the exit code."""
    first, count = (int(a) for a in (sys.argv[1:] or ["1", "5"])[:2])
    failed = 0
    for seed in range(first, first + count):
        # Of four seeds one has limits alone, one limits and back-offs, one a store that comes back
        # from backups, and one back-offs beside it.
        restored = seed % 4 > 1
        played = play(seed, seed % MOST_CULPRITS, not restored, seed % 2 == 1, restored)
        failed += bool(played.found)
    print(f"soak: seeds={count} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
