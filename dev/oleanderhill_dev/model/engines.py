"""Simulated engine groups: batched passes, a priority queue and stalls."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from .clockwork import VirtualClock
from .scenario import EngineTiming, Model


class EngineRequest:
    """One request at one group.

    :param queue_rank: rank in the group's queue; the smallest runs first
    :param prompt: prompt tokens
    :param events: number of events in the answer
    :param on_event: called at each event
    :param on_end: called after the last event
    :param host: entry host that sends the request
    :param on_rejected: called with the back-off in seconds when the group rejects the request
    """

    def __init__(
        self,
        queue_rank: int,
        prompt: int,
        events: int,
        on_event: Callable[[], None],
        on_end: Callable[[], None],
        host: str,
        on_rejected: Callable[[float], None],
    ) -> None:
        self.host = host
        self.on_rejected = on_rejected
        self.queue_rank = queue_rank
        self.prompt = prompt
        self.events = events
        self.on_event = on_event
        self.on_end = on_end
        self.events_sent = 0
        self.finished = False


class Group:
    """A group that runs ``slots`` requests concurrently and queues the rest by rank."""

    def __init__(self, name: str, model: Model, timing: EngineTiming, clock: VirtualClock) -> None:
        self.name = name
        self.model = model
        self.stalled = False
        self.busy_ms = 0.0
        self.limit: float | None = None
        self.backoff: float | None = None
        self.arrivals: list[float] = []
        self.arrivals_by_host: dict[str, list[float]] = {}
        self._timing = timing
        self._clock = clock
        self._active: list[EngineRequest] = []
        self._queue: list[tuple[int, int, EngineRequest]] = []
        self._arrival_order = itertools.count()
        self._pass_running = False

    def submit(self, request: EngineRequest) -> None:
        """Queue a request, or reject it while the group asks for back-off."""
        self.arrivals.append(self._clock.now)
        self.arrivals_by_host.setdefault(request.host, []).append(self._clock.now)
        if self.backoff is not None:
            request.on_rejected(self.backoff)
            return
        heapq.heappush(self._queue, (request.queue_rank, next(self._arrival_order), request))
        self._start_pass()

    def restart(self) -> None:
        """End a stall. The requests of the group are lost, as when a group is formed again."""
        self.stalled = False
        self._active, self._queue = [], []

    def _start_pass(self) -> None:
        if self._pass_running or self.stalled:
            return
        self._active = [r for r in self._active if not r.finished]
        prefill_tokens = self._admit()
        if not self._active:
            return
        self._pass_running = True
        seconds = self._pass_seconds(prefill_tokens)
        self.busy_ms += seconds * 1000
        self._clock.call_later(seconds, self._end_pass)

    def _admit(self) -> int:
        """Move requests from the queue into the batch; return the prompt tokens to prefill."""
        prefill_tokens = 0
        while self._queue and len(self._active) < self.model.slots:
            request = heapq.heappop(self._queue)[2]
            if not request.finished:
                self._active.append(request)
                prefill_tokens += request.prompt
        return prefill_tokens

    def _pass_seconds(self, prefill_tokens: int) -> float:
        t, batch_size = self._timing, len(self._active)
        context = sum(r.prompt + r.events_sent * t.stride for r in self._active) / 1000
        step = t.step + t.per_writer * batch_size + t.per_context * context
        return (t.stride * step + prefill_tokens / t.read_per_ms) * self.model.pace / 1000

    def _end_pass(self) -> None:
        self._pass_running = False
        if self.stalled:
            return
        for request in self._active:
            if request.finished:
                continue
            request.events_sent += 1
            request.on_event()
            if request.events_sent >= request.events:
                request.finished = True
                request.on_end()
        self._start_pass()
