"""Entry hosts, callers and the news among hosts, played over a scenario."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

from oleanderhill.groups.inventory import Instance, TargetHost
from oleanderhill.routing.target_limits import CallKind, TargetLimits
from oleanderhill.serving.admission_class import admission_class
from oleanderhill.serving.placement import Candidate, LoadTracker
from oleanderhill.serving.retries import SharedRetryBudget
from oleanderhill.serving.retry_delay import retry_delay
from oleanderhill.serving.stall_timeout import stall_timeout_for
from oleanderhill.settings.catalog import Repeatable, Route

from .clockwork import Clockwork
from .engines import Group, Work
from .policies import Ask, Policy
from .scenario import Kind, Loss, Need, Scenario, Shed, check

REPORT_EVERY = 0.05
"""Seconds between two reports of a host, as shipped."""

WAY = 0.003
"""Seconds from a caller to an entry host and on to a group."""

RETRY_WINDOW = 10.0

HOLD_STEP = 0.01
"""Seconds after which a held request looks for a place again."""


class End(NamedTuple):
    """How a caller fared.

    :param asked_at: time of the first attempt
    :param outcome: ``on time``, ``late``, ``refused`` or ``failed``
    """

    kind: Kind
    asked_at: float
    outcome: str
    first_event_after: float | None
    refusals: int


class Site:
    """One play of a scenario under a policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        check(scenario)
        self.scenario = scenario
        self.policy = policy
        self.clock = Clockwork()
        self.rng = random.Random(seed)
        self.ends: list[End] = []
        self.groups: dict[str, list[Group]] = {}
        self.visible: dict[str, list[Candidate]] = {}
        for model in scenario.models:
            names = [f"{model.name}-{n}" for n in range(model.groups)]
            self.groups[model.name] = [Group(n, model, scenario.engine, self.clock) for n in names]
            self.visible[model.name] = [Candidate(n, _head(n, model.slots)) for n in names]
        self.group_by_name = {g.name: g for found in self.groups.values() for g in found}
        self.hosts = [EntryHost(self, f"entry-{n}") for n in range(scenario.entry_hosts)]

    def play(self) -> list[End]:
        """Play it and return how each caller fared."""
        for kind in self.scenario.kinds:
            self._next_caller(kind)
        for loss in self.scenario.losses:
            self.clock.at(loss.at, partial(self._lose, loss))
        for need in self.scenario.needs:
            self.clock.at(need.at, partial(self._limit, need, need.rate))
            self.clock.at(need.at + need.seconds, partial(self._limit, need, None))
        for shed in self.scenario.sheds:
            self.clock.at(shed.at, partial(self._shed, shed, shed.backoff))
            self.clock.at(shed.at + shed.seconds, partial(self._shed, shed, None))
        self.clock.later(REPORT_EVERY, self._report)
        self.clock.run(self.scenario.seconds + 12.0)
        return self.ends

    def _next_caller(self, kind: Kind) -> None:
        now = self.clock.now
        factors = [b.factor for b in self.scenario.bursts if b.at <= now < b.at + b.seconds]
        rate = kind.per_second * math.prod(factors)
        at = now + self.rng.expovariate(rate)
        if at < self.scenario.seconds:
            self.clock.at(at, lambda: self._call(kind))

    def _call(self, kind: Kind) -> None:
        Caller(self, kind).ask()
        self._next_caller(kind)

    def _lose(self, loss: Loss) -> None:
        model = loss.model
        sound = [g for g in self.groups[model] if not g.stalled]
        if not sound:
            return
        group = self.rng.choice(sound)
        group.stalled = True
        shown = next(c for c in self.visible[model] if c.target == group.name)
        self.clock.later(loss.seen, lambda: self.visible[model].remove(shown))

        def back() -> None:
            group.go_on()
            self.visible[model].append(shown)

        self.clock.later(max(loss.seen, loss.seconds), back)

    def _limit(self, need: Need, rate: float | None) -> None:
        for group in self.groups[need.model][: need.groups]:
            group.limit = rate

    def _shed(self, shed: Shed, backoff: float | None) -> None:
        for group in self.groups[shed.model][: shed.groups]:
            group.backoff = backoff

    def _report(self) -> None:
        now = self.clock.now
        names = tuple(host.name for host in self.hosts)
        for host in self.hosts:
            book = host.book
            news = (
                dict(book.own),
                book.own_suspects(now),
                book.own_progress(now),
                book.own_rejections(now),
            )
            host.book.limits.update_hosts(names, True, now)
            limits, backing_off = host.book.limits.pending_updates(now), book.own_backoffs(now)
            for other in self.hosts:
                if other is not host and self.rng.random() >= self.scenario.report_loss:
                    other.book.apply_peer_update(host.name, *news, now)
                    other.book.apply_peer_backoffs(backing_off, now)
                    for part in limits:
                        other.book.limits.apply_peer_update(part, lambda life: True, now)
        if now < self.scenario.seconds + 10.0:
            self.clock.later(REPORT_EVERY, self._report)


class EntryHost:
    """One entry host: its book and its share of the retries."""

    def __init__(self, site: Site, name: str) -> None:
        self.site = site
        self.name = name
        self.book = LoadTracker("here", random.Random(site.rng.random()), TargetLimits(name))
        s = site.scenario
        self.budget = SharedRetryBudget(s.retry_ratio, s.retry_slack, RETRY_WINDOW)
        self.budget.hosts = s.entry_hosts


class Caller:
    """One caller with its patience and its one return."""

    def __init__(self, site: Site, kind: Kind) -> None:
        self._site = site
        self._kind = kind
        self._asked_at = site.clock.now
        self._returns = 1
        self._refusals = 0
        self._ended = False
        self.first_event_at: float | None = None
        self._last_event_at: float | None = None
        self._longest_pause = 0.0
        rng, sigma = site.rng, math.sqrt(math.log(1 + kind.spread**2))
        drawn = [math.exp(rng.gauss(-(sigma**2) / 2, sigma)) for _ in range(2)]
        self.prompt = max(1, round(kind.prompt * min(4.0, drawn[0])))
        self.events = max(1, round(kind.events * min(4.0, drawn[1])))
        self.kind = kind

    def ask(self) -> None:
        """Ask an entry host."""
        exchange = Exchange(self._site, self._site.rng.choice(self._site.hosts), self)
        gap = max(2.0, 4 * self._kind.goal, 8 * self._kind.pause)
        asked_at = self._site.clock.now

        def watch() -> None:
            if self._ended or exchange.over:
                return
            seen = max(asked_at, self._last_event_at or 0.0)
            left = min(seen + gap, self._asked_at + self._kind.patience) - self._site.clock.now
            if left <= 0:
                exchange.leave()
                self._end("failed")
            else:
                self._site.clock.later(left, watch)

        exchange.begin(self._refusals > 0)
        self._site.clock.later(gap, watch)

    @property
    def on_time_until(self) -> float:
        """Return the time until which the first event is on time."""
        return self._asked_at + self._kind.goal

    def refused(self, after: float) -> None:
        """Take a refusal."""
        self._refusals += 1
        left = self._asked_at + self._kind.patience - self._site.clock.now
        if self._returns and left > 0:
            self._returns -= 1
            self._site.clock.later(min(after, left / 3) + WAY, self.ask)
        else:
            self._end("refused")

    def event(self) -> None:
        """Take an event."""
        now = self._site.clock.now
        if self.first_event_at is None:
            self.first_event_at = now
        if self._last_event_at is not None:
            self._longest_pause = max(self._longest_pause, now - self._last_event_at)
        self._last_event_at = now

    def done(self) -> None:
        """Take the end of a whole answer."""
        assert self.first_event_at is not None
        punctual = self.first_event_at <= self.on_time_until
        steady = self._longest_pause <= self._kind.pause
        self._end("on time" if punctual and steady else "late")

    def cut(self) -> None:
        """Take an answer that ends early."""
        self._end("failed")

    def _end(self, outcome: str) -> None:
        if self._ended:
            return
        self._ended = True
        first = None if self.first_event_at is None else self.first_event_at - self._asked_at
        end = End(self._kind, self._asked_at, outcome, first, self._refusals)
        self._site.ends.append(end)


class Exchange:
    """One attempt of a caller at one entry host, over one or two groups."""

    def __init__(self, site: Site, host: EntryHost, caller: Caller) -> None:
        self._site = site
        self._host = host
        self._caller = caller
        self._tried: set[str] = set()
        self._arrived = 0
        self._returned = False
        self._work: Work | None = None
        self._target = ""
        self._written = 0
        self._heard = False
        self._on_trial = False
        self._progressed = self._sent_at = site.clock.now
        self.over = False
        self._route = _route(caller.kind)

    def begin(self, returned: bool) -> None:
        """Begin."""
        self._returned = returned
        self._host.budget.request(self._site.clock.now)
        self._send()

    def leave(self) -> None:
        """The caller left."""
        self._release()
        self.over = True

    def _ask(self) -> Ask:
        stands = admission_class(self._returned, self._arrived, self._written > 0)
        return Ask(stands, self._tried, self._caller.on_time_until)

    def _send(self) -> None:
        if self.over:
            return
        site, now, ask = self._site, self._site.clock.now, self._ask()
        candidates = site.visible[self._caller.kind.model]
        found = site.policy.choose(self._host.book, candidates, ask, now)
        if found is None and now < site.policy.hold_until(ask):
            site.clock.later(HOLD_STEP, self._send)
            return
        if found is None:
            self._refuse(candidates, now)
            return
        self._target, self._arrived = found.target, self._arrived + 1
        self._tried.add(found.target)
        self._host.book.limits.take(found.incarnations, now)
        self._on_trial = self._host.book.backoffs.take(found.target)
        self._host.book.begin(found.target)
        left = self._caller.events - self._written
        prompt = self._caller.prompt + self._written * site.scenario.engine.stride
        urgency = site.policy.urgency(ask, now)
        work = Work(
            urgency, prompt, left, self._shown, self._done, self._host.name, self._turned_away
        )
        self._work = work
        self._progressed = self._sent_at = now
        self._heard = False
        group = site.group_by_name[found.target]
        site.clock.later(WAY, lambda: group.take(work))
        site.clock.later(
            stall_timeout_for(self._route, self._written > 0), lambda: self._look(work)
        )

    def _refuse(self, candidates: Sequence[Candidate], now: float) -> None:
        self.over = True
        if self._written:
            self._caller.cut()
            return
        if not self._arrived:
            self._host.book.count_rejection(self._caller.kind.model, now)
        limited_for = self._host.book.limited_for(candidates, self._caller.kind.model, now)
        backoff_left = self._host.book.backoff_left(candidates, now)
        after = retry_delay(bool(candidates), self._site.rng, limited_for, backoff_left)
        self._caller.refused(after)

    def _turned_away(self, backoff: float) -> None:
        """Take a group's refusal on its way back."""
        self._site.clock.later(WAY, lambda: self._go_elsewhere(backoff))

    def _go_elsewhere(self, backoff: float) -> None:
        if self.over:
            return
        now, book, target = self._site.clock.now, self._host.book, self._target
        if backoff and self._site.policy.hears_backoffs:
            book.backoffs.extend(target, backoff, now)
        else:
            book.suspect(target, now)
        self._release()
        if self._arrived >= self._route.max_attempts or not self._host.budget.take(now):
            self._refuse(self._site.visible[self._caller.kind.model], now)
            return
        self._send()

    def _shown(self) -> None:
        now, target = self._site.clock.now, self._target
        if not self._heard:
            self._heard = True
            if self._on_trial:
                self._host.book.backoffs.trial_accepted(target, now)
            named = self._site.group_by_name[target].limit
            limits = self._host.book.limits
            limits.answered(target, named, CallKind.REQUEST, self._sent_at, now)
        if not self._written:
            self._site.policy.first_event(target, now <= self._caller.on_time_until)
        self._written += 1
        self._progressed = now
        self._host.book.progress(target, now)
        self._caller.event()

    def _done(self) -> None:
        self._release()
        self.over = True
        self._caller.done()

    def _release(self) -> None:
        if self._work is not None:
            self._work.gone = True
            self._work = None
            self._host.book.end(self._target)
            if self._on_trial:
                self._host.book.backoffs.trial_ended(self._target)
                self._on_trial = False

    def _look(self, work: Work) -> None:
        """Move on from a group that shows nothing."""
        if work is not self._work:
            return
        now, book = self._site.clock.now, self._host.book
        stall = stall_timeout_for(self._route, self._written > 0)
        idle = now - self._progressed
        if idle < stall - 1e-9:
            self._site.clock.later(stall - idle, lambda: self._look(work))
            return
        if book.recently_progressed(self._target, now, stall) or not self._may_move(now):
            self._site.clock.later(0.02, lambda: self._look(work))
            return
        book.suspect(self._target, now)
        self._release()
        self._host.budget.take(now)
        self._send()

    def _may_move(self, now: float) -> bool:
        if self._arrived >= self._route.max_attempts or self._host.budget.remaining(now) < 1.0:
            return False
        candidates = self._site.visible[self._caller.kind.model]
        book = self._host.book
        sound = [c for c in candidates if not book.is_suspect(c.target, now)]
        return self._site.policy.choose(book, sound, self._ask(), now) is not None


def _head(name: str, slots: int) -> TargetHost:
    return TargetHost(Instance(name), "pool", "10.0.0.1:1", "here", False, slots, "d")


def _route(kind: Kind) -> Route:
    return Route(
        kind.name,
        "",
        "/",
        Repeatable.STREAM,
        kind.patience,
        kind.goal,
        2,
        1,
        True,
        (),
        True,
        kind.pause,
        True,
    )


def worth(ends: Sequence[End]) -> float:
    """Return the worth earned for each worth owed."""
    by_outcome: dict[str, Callable[[Kind], float]] = {
        "on time": lambda k: k.worth,
        "late": lambda k: k.late_worth,
    }
    earned = sum(by_outcome[e.outcome](e.kind) for e in ends if e.outcome in by_outcome)
    return earned / sum(e.kind.worth for e in ends)
