"""The task that keeps this entry host's view of groups and finds one for each request."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from returns.pipeline import is_successful

from ..clients.targets import TargetClient
from ..decisions import Decisions
from ..kernel import Kernel, Received, Task
from ..members.wire import SendTo
from ..settings.fleet import Fleet
from ..settings.messages import FleetChanged, HostsChanged
from ..types import GroupRecord, HostState, SeenReport
from .evidence import EvidenceBook
from .messages import DomainEvidence, LocalEvidence, RecordsWanted
from .router import Choice, Evidence, NoChoice, Router, Wanted
from .waiting import Waiter, WaitingQueue

TICK = 0.2
SELF_PROBE_EVERY = 0.6
SELF_PROBES_AT_ONCE = 4
PATIENCE = 3.0
"""Seconds a request waits for a group to become whole before it is refused."""


class RouterTask(Task):
    """Owns the router, the queues in front of it and the checks of requests in flight."""

    name = "router"
    interval = TICK

    def __init__(
        self,
        kernel: Kernel,
        data_centre: str,
        targets: TargetClient,
        rng: random.Random,
        decisions: Decisions,
    ) -> None:
        super().__init__(kernel)
        self.router = Router(data_centre, rng)
        self._targets = targets
        self._decisions = decisions
        self.book = EvidenceBook(self.router)
        self._queue_by_model: dict[str, WaitingQueue] = {}
        self._woken: dict[str, asyncio.Event] = {}
        self._broken_by_run: dict[str, tuple[str, int, Callable[[], None]]] = {}
        self._self_probed_at: dict[str, float] = {}
        self._self_probing: set[str] = set()
        self._accepting: dict[str, bool] = {}
        self.fleet = Fleet()
        self.self_probes = 0

    # Requests

    async def acquire(
        self, waiter: Waiter, wanted: Wanted, exclude: frozenset[str]
    ) -> Choice | NoChoice:
        """Find a group for a request, waiting in the model's queue while there is no room."""
        queue = self._queue(wanted.model)
        result = self.router.choose(wanted, time.monotonic(), exclude)
        ahead = queue.next()
        if isinstance(result, Choice) and (ahead is None or ahead.priority < waiter.priority):
            return self._start(queue, waiter, result)
        if isinstance(result, NoChoice) and not result.full and not exclude and not result.known:
            return result
        refused = queue.join(waiter)
        if refused is not None:
            return NoChoice(f"queue is full, come back in {refused:.0f} s", True, True)
        return await self._wait(queue, waiter, wanted, exclude)

    def release(self, account: str, choice: Choice, model: str, seconds: float) -> None:
        """Count the end of a request at its group and let the next one in."""
        self.router.ended(choice.group)
        queue = self._queue(model)
        queue.ended(account, time.monotonic(), seconds)
        self._wake(queue)

    def may_send(self, choice: Choice, now: float) -> bool:
        """Tell whether a request may go to the chosen group at this very moment."""
        return self.router.may_send(choice.group, choice.epoch, now)

    def eject(self, choice: Choice, now: float) -> None:
        """Keep a straggling group from new requests for a while."""
        if self.router.eject(choice.group, now):
            self._decisions.note(
                "route", choice.group, "ejected for a while: stalls or unreachable"
            )

    def watch(self, run: str, choice: Choice, broken: Callable[[], None]) -> None:
        """Call ``broken`` when the group of a run in flight is no longer whole."""
        self._broken_by_run[run] = (choice.group, choice.epoch, broken)

    def unwatch(self, run: str) -> None:
        """Stop watching for a run."""
        self._broken_by_run.pop(run, None)

    async def _wait(
        self, queue: WaitingQueue, waiter: Waiter, wanted: Wanted, exclude: frozenset[str]
    ) -> Choice | NoChoice:
        woken = self._woken[waiter.request_id] = asyncio.Event()
        patience_ends = time.monotonic() + PATIENCE
        try:
            while True:
                now = time.monotonic()
                result = self.router.choose(wanted, now, exclude)
                if isinstance(result, Choice) and queue.next() is waiter:
                    return self._start(queue, waiter, result)
                unserved = isinstance(result, NoChoice) and not result.full
                if queue.hopeless(waiter, now) or (unserved and now >= patience_ends):
                    reason = (
                        result.reason
                        if isinstance(result, NoChoice)
                        else "no time left in the queue"
                    )
                    return NoChoice(reason, False, True)
                woken.clear()
                wait = min(waiter.deadline - now, TICK)
                try:
                    async with asyncio.timeout(max(0.01, wait)):
                        await woken.wait()
                except TimeoutError:
                    continue
        finally:
            queue.leave(waiter.request_id)
            del self._woken[waiter.request_id]
            self._wake(queue)

    def _start(self, queue: WaitingQueue, waiter: Waiter, choice: Choice) -> Choice:
        self.router.started(choice.group, time.monotonic())
        queue.started(waiter.account)
        return choice

    def _queue(self, model: str) -> WaitingQueue:
        return self._queue_by_model.setdefault(model, WaitingQueue())

    def _wake(self, queue: WaitingQueue) -> None:
        head = queue.next()
        if head is not None and head.request_id in self._woken:
            self._woken[head.request_id].set()

    # Evidence

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task."""

    @handle.register
    def _(self, message: LocalEvidence) -> None:
        self.book.learn(message.evidence, message.at)

    @handle.register
    def _(self, message: FleetChanged) -> None:
        self.fleet = message.fleet

    @handle.register
    def _(self, message: HostsChanged) -> None:
        leaving = (h.host for h in message.hosts if h.state == HostState.LEAVING)
        self.router.leaving_hosts = frozenset(leaving)

    @singledispatchmethod
    def receive(self, body: Any, envelope: Received) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: DomainEvidence, envelope: Received) -> None:
        # The planner hears of domains that others own in the same way.
        self.kernel.post("planner", LocalEvidence(body, envelope.arrived))
        if self.book.receive(body, envelope):
            self.kernel.post("peers", SendTo(envelope.address, RecordsWanted(body.domain)))

    async def tick(self) -> None:
        """Check requests in flight, look for stale evidence, wake queues."""
        now = time.monotonic()
        for group, epoch, broken in list(self._broken_by_run.values()):
            if not self.router.still_whole(group, epoch, now):
                broken()
        for queue in self._queue_by_model.values():
            self._wake(queue)
        self._note_changes(now)
        for evidence, record in self.book.to_probe(now):
            self._probe_stale(evidence, record, now)

    def _note_changes(self, now: float) -> None:
        for group, evidence in self.router.by_group.items():
            accepting = self.router.may_send(group, evidence.view.epoch, now)
            if self._accepting.get(group) != accepting:
                self._accepting[group] = accepting
                text = "takes requests" if accepting else "takes no requests"
                self._decisions.note("group", group, f"{text}, epoch {evidence.view.epoch}")
        for group in self._accepting.keys() - self.router.by_group.keys():
            del self._accepting[group]
            self._decisions.note("group", group, "gone")

    def _probe_stale(self, evidence: Evidence, record: GroupRecord, now: float) -> None:
        group = record.group
        rested = now - self._self_probed_at.get(group, 0.0) >= SELF_PROBE_EVERY
        if not rested or group in self._self_probing:
            return
        if len(self._self_probing) >= SELF_PROBES_AT_ONCE:
            return
        self._self_probed_at[group] = now
        self.spawn(self._self_probe(evidence, record))

    async def _self_probe(self, evidence: Evidence, record: GroupRecord) -> None:
        """Ask the members themselves: the domain's owner is gone or can't be heard."""
        self._self_probing.add(record.group)
        self.self_probes += len(record.members)
        sent_at = time.monotonic()
        try:
            probes = (self._targets.probe(m.address) for m in record.members)
            results = await asyncio.gather(*probes)
        finally:
            self._self_probing.discard(record.group)
        reports = [r.unwrap() for r in results if is_successful(r)]
        seen_by_host = {r.host: SeenReport(r, sent_at) for r in reports}
        self.book.probed(evidence, record, seen_by_host, sent_at, time.monotonic())
