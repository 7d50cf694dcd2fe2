"""The task that maintains this entry host's view of groups and assigns one to each request."""

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
from ..kernel import Kernel, PeerMessage, Task
from ..members.wire import SendTo
from ..settings.fleet import Fleet
from ..settings.messages import FleetChanged, HostsChanged
from ..types import GroupRecord, HostState, TimedReport
from .evidence import EvidenceTracker
from .messages import DomainEvidence, LocalEvidence, RecordsWanted
from .router import Choice, Evidence, NoChoice, Requirements, Router
from .waiting import Waiter, WaitingQueue

TICK_SECONDS = 0.2
SELF_PROBE_INTERVAL = 0.6
MAX_CONCURRENT_SELF_PROBES = 4
GROUP_WAIT_TIMEOUT = 3.0
"""Seconds after which a waiting request is rejected if no group is available."""


class RouterTask(Task):
    """Owns the router, each model's waiting queue and the watches of requests in flight."""

    name = "router"
    interval = TICK_SECONDS

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
        self.book = EvidenceTracker(self.router)
        self._queue_by_model: dict[str, WaitingQueue] = {}
        self._wake_event_by_request: dict[str, asyncio.Event] = {}
        self._watch_by_run: dict[str, tuple[str, int, Callable[[], None]]] = {}
        self._probed_at_by_group: dict[str, float] = {}
        self._groups_being_probed: set[str] = set()
        self._accepting_by_group: dict[str, bool] = {}
        self.fleet = Fleet()
        self.self_probes = 0

    # Requests

    async def acquire(
        self, waiter: Waiter, wanted: Requirements, exclude: frozenset[str]
    ) -> Choice | NoChoice:
        """Return a group for a request or why there is none, after a wait if necessary."""
        queue = self._queue(wanted.model)
        result = self.router.choose(wanted, time.monotonic(), exclude)
        head = queue.next()
        if isinstance(result, Choice) and (head is None or head.priority < waiter.priority):
            return self._start(queue, waiter, result)
        if isinstance(result, NoChoice) and not result.full and not exclude and not result.known:
            return result
        retry_after = queue.join(waiter)
        if retry_after is not None:
            return NoChoice(f"queue is full, come back in {retry_after:.0f} s", True, True)
        return await self._wait(queue, waiter, wanted, exclude)

    def release(self, account: str, choice: Choice, model: str, seconds: float) -> None:
        """Record the end of a request at its group and wake the next waiter."""
        self.router.ended(choice.group)
        queue = self._queue(model)
        queue.ended(account, time.monotonic(), seconds)
        self._wake(queue)

    def may_send(self, choice: Choice, now: float) -> bool:
        """Return whether a request may be sent to the chosen group now."""
        return self.router.may_send(choice.group, choice.epoch, now)

    def eject(self, choice: Choice, now: float) -> None:
        """Temporarily exclude a failing group from new requests."""
        if self.router.eject(choice.group, now):
            self._decisions.note(
                "route", choice.group, "ejected for a while: stalls or unreachable"
            )

    def watch(self, run: str, choice: Choice, broken: Callable[[], None]) -> None:
        """Call ``broken`` when the group of an attempt in flight is no longer complete."""
        self._watch_by_run[run] = (choice.group, choice.epoch, broken)

    def unwatch(self, run: str) -> None:
        """Stop watching the group of an attempt."""
        self._watch_by_run.pop(run, None)

    async def _wait(
        self, queue: WaitingQueue, waiter: Waiter, wanted: Requirements, exclude: frozenset[str]
    ) -> Choice | NoChoice:
        wake_event = self._wake_event_by_request[waiter.request_id] = asyncio.Event()
        wait_ends = time.monotonic() + GROUP_WAIT_TIMEOUT
        try:
            while True:
                now = time.monotonic()
                result = self.router.choose(wanted, now, exclude)
                if isinstance(result, Choice) and queue.next() is waiter:
                    return self._start(queue, waiter, result)
                unavailable = isinstance(result, NoChoice) and not result.full
                if queue.would_miss_deadline(waiter, now) or (unavailable and now >= wait_ends):
                    reason = (
                        result.reason
                        if isinstance(result, NoChoice)
                        else "no time left in the queue"
                    )
                    return NoChoice(reason, False, True)
                wake_event.clear()
                wait = min(waiter.deadline - now, TICK_SECONDS)
                try:
                    async with asyncio.timeout(max(0.01, wait)):
                        await wake_event.wait()
                except TimeoutError:
                    continue
        finally:
            queue.leave(waiter.request_id)
            del self._wake_event_by_request[waiter.request_id]
            self._wake(queue)

    def _start(self, queue: WaitingQueue, waiter: Waiter, choice: Choice) -> Choice:
        self.router.started(choice.group, time.monotonic())
        queue.started(waiter.account)
        return choice

    def _queue(self, model: str) -> WaitingQueue:
        return self._queue_by_model.setdefault(model, WaitingQueue())

    def _wake(self, queue: WaitingQueue) -> None:
        head = queue.next()
        if head is not None and head.request_id in self._wake_event_by_request:
            self._wake_event_by_request[head.request_id].set()

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
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: DomainEvidence, envelope: PeerMessage) -> None:
        # The planner gets a peer's evidence in the same form as this host's own.
        self.kernel.post("planner", LocalEvidence(body, envelope.arrived))
        if self.book.receive(body, envelope):
            self.kernel.post("peers", SendTo(envelope.address, RecordsWanted(body.domain)))

    async def tick(self) -> None:
        """Check groups of requests in flight, wake queues and probe groups with stale evidence."""
        now = time.monotonic()
        for group, epoch, broken in list(self._watch_by_run.values()):
            if not self.router.is_still_complete(group, epoch, now):
                broken()
        for queue in self._queue_by_model.values():
            self._wake(queue)
        self._record_changes(now)
        for evidence, record in self.book.to_probe(now):
            self._start_self_probe(evidence, record, now)

    def _record_changes(self, now: float) -> None:
        for group, evidence in self.router.by_group.items():
            accepting = self.router.may_send(group, evidence.view.epoch, now)
            if self._accepting_by_group.get(group) != accepting:
                self._accepting_by_group[group] = accepting
                text = "takes requests" if accepting else "takes no requests"
                self._decisions.note("group", group, f"{text}, epoch {evidence.view.epoch}")
        for group in self._accepting_by_group.keys() - self.router.by_group.keys():
            del self._accepting_by_group[group]
            self._decisions.note("group", group, "gone")

    def _start_self_probe(self, evidence: Evidence, record: GroupRecord, now: float) -> None:
        group = record.group
        is_due = now - self._probed_at_by_group.get(group, 0.0) >= SELF_PROBE_INTERVAL
        if not is_due or group in self._groups_being_probed:
            return
        if len(self._groups_being_probed) >= MAX_CONCURRENT_SELF_PROBES:
            return
        self._probed_at_by_group[group] = now
        self.spawn(self._self_probe(evidence, record))

    async def _self_probe(self, evidence: Evidence, record: GroupRecord) -> None:
        """Probe the members directly, as the domain's owner may be gone or unreachable."""
        self._groups_being_probed.add(record.group)
        self.self_probes += len(record.members)
        sent_at = time.monotonic()
        try:
            probes = (self._targets.probe(m.address) for m in record.members)
            results = await asyncio.gather(*probes)
        finally:
            self._groups_being_probed.discard(record.group)
        reports = [r.unwrap() for r in results if is_successful(r)]
        report_by_host = {r.host: TimedReport(r, sent_at) for r in reports}
        self.book.probed(evidence, record, report_by_host, sent_at, time.monotonic())
