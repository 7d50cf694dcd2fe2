"""Engine groups: passes over a batch, a queue by urgency, stalls."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from .clockwork import Clockwork
from .scenario import EngineTimes, Model


class Work:
    """One request at one group.

    :param events: how many it shows before it ends
    :param shown: called at each event; ``ended`` after the last
    :param host: entry host that sends it
    :param turned_away: takes the back-off that the group asks for in place of running it
    """

    def __init__(
        self,
        urgency: int,
        prompt: int,
        events: int,
        shown: Callable[[], None],
        ended: Callable[[], None],
        host: str,
        turned_away: Callable[[float], None],
    ) -> None:
        self.host = host
        self.turned_away = turned_away
        self.urgency = urgency
        self.prompt = prompt
        self.events = events
        self.shown = shown
        self.ended = ended
        self.written = 0
        self.gone = False


class Group:
    """A group that runs ``slots`` requests at once and queues the rest by urgency."""

    def __init__(self, name: str, model: Model, times: EngineTimes, clock: Clockwork) -> None:
        self.name = name
        self.model = model
        self.stalled = False
        self.busy_ms = 0.0
        self.limit: float | None = None
        self.backoff: float | None = None
        self.arrivals: list[float] = []
        self.arrivals_by_host: dict[str, list[float]] = {}
        self._times = times
        self._clock = clock
        self._active: list[Work] = []
        self._queue: list[tuple[int, int, Work]] = []
        self._order = itertools.count()
        self._running = False

    def take(self, work: Work) -> None:
        """Take a request."""
        self.arrivals.append(self._clock.now)
        self.arrivals_by_host.setdefault(work.host, []).append(self._clock.now)
        if self.backoff is not None:
            work.turned_away(self.backoff)
            return
        heapq.heappush(self._queue, (work.urgency, next(self._order), work))
        self._run()

    def go_on(self) -> None:
        """End a stall; what was there is lost, as after a new forming."""
        self.stalled = False
        self._active, self._queue = [], []

    def _run(self) -> None:
        if self._running or self.stalled:
            return
        self._active = [w for w in self._active if not w.gone]
        read = self._admit()
        if not self._active:
            return
        self._running = True
        seconds = self._pass_seconds(read)
        self.busy_ms += seconds * 1000
        self._clock.later(seconds, self._end_pass)

    def _admit(self) -> int:
        """Move requests from the queue into the batch; return the prompt tokens to read."""
        read = 0
        while self._queue and len(self._active) < self.model.slots:
            work = heapq.heappop(self._queue)[2]
            if not work.gone:
                self._active.append(work)
                read += work.prompt
        return read

    def _pass_seconds(self, read: int) -> float:
        t, writers = self._times, len(self._active)
        context = sum(w.prompt + w.written * t.stride for w in self._active) / 1000
        step = t.step + t.per_writer * writers + t.per_context * context
        return (t.stride * step + read / t.read_per_ms) * self.model.pace / 1000

    def _end_pass(self) -> None:
        self._running = False
        if self.stalled:
            return
        for work in self._active:
            if work.gone:
                continue
            work.written += 1
            work.shown()
            if work.written >= work.events:
                work.gone = True
                work.ended()
        self._run()
