"""Simulation of a scenario: entry hosts, callers and the updates among hosts."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

from oleanderhill.groups.inventory import Instance, TargetHost
from oleanderhill.routing.target_limits import CallKind, TargetLimits
from oleanderhill.serving.admission_class import admission_class
from oleanderhill.serving.admission_control import AdmissionControl
from oleanderhill.serving.admission_demand import DemandCounts
from oleanderhill.serving.applicant import Applicant, Decision, Refuse
from oleanderhill.serving.placement import Candidate, LoadTracker
from oleanderhill.serving.prediction import Prediction
from oleanderhill.serving.reports import MAX_MESH_HOSTS
from oleanderhill.serving.retries import SharedRetryBudget
from oleanderhill.serving.retry_delay import retry_delay
from oleanderhill.serving.shared_counters import SharedCounters
from oleanderhill.serving.stall_timeout import stall_timeout_for
from oleanderhill.settings.catalog import Repeatable, Route

from .clockwork import VirtualClock
from .connections import IdleConnections
from .engines import EngineRequest, Group
from .exchange import REPORT_INTERVAL, TOTAL_HOPS, exchange_counters, report_totals
from .expected import expected_timing
from .policies import PlacementRequest, Policy
from .scenario import BackoffPeriod, GroupLoss, LimitPeriod, RequestKind, Scenario, validate

NETWORK_DELAY = 0.003
"""Seconds from a caller through an entry host to a group, and of a rejection on the way back."""

RETRY_WINDOW = 10.0
"""Window of the retry budget, in seconds."""

HOLD_INTERVAL = 0.01
"""Seconds between two attempts to place a request that is held at an entry host."""


class CallerResult(NamedTuple):
    """Result of a caller, over all its attempts.

    :param first_sent_at: time of the first attempt
    :param outcome: ``on time``, ``late``, ``refused`` or ``failed``
    :param first_event_after: seconds from the first attempt to the first event
    :param rejections: number of attempts that were rejected
    """

    kind: RequestKind
    first_sent_at: float
    outcome: str
    first_event_after: float | None
    rejections: int


class Simulation:
    """One run of a scenario under a policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        validate(scenario)
        self.scenario = scenario
        self.policy = policy
        self.clock = VirtualClock()
        self.seed = seed
        self.rng = random.Random(seed)
        self.results: list[CallerResult] = []
        self.groups: dict[str, list[Group]] = {}
        self.visible: dict[str, list[Candidate]] = {}
        for model in scenario.models:
            names = [f"{model.name}-{n}" for n in range(model.groups)]
            self.groups[model.name] = [Group(n, model, scenario.engine, self.clock) for n in names]
            self.visible[model.name] = [Candidate(n, _target_host(n, model.slots)) for n in names]
        self.group_by_name = {g.name: g for groups in self.groups.values() for g in groups}
        self._prediction_by_model = {m.name: expected_timing(scenario, m) for m in scenario.models}
        self.hosts = [EntryHost(self, f"entry-{n}") for n in range(scenario.entry_hosts)]

    def run(self) -> list[CallerResult]:
        """Run the scenario and return the result of each caller."""
        for kind in self.scenario.kinds:
            self._schedule_caller(kind)
        for loss in self.scenario.losses:
            self.clock.call_at(loss.at, partial(self._stall_group, loss))
        for limit_period in self.scenario.needs:
            self.clock.call_at(
                limit_period.at, partial(self._set_limit, limit_period, limit_period.rate)
            )
            self.clock.call_at(
                limit_period.at + limit_period.seconds, partial(self._set_limit, limit_period, None)
            )
        for backoff_period in self.scenario.sheds:
            self.clock.call_at(
                backoff_period.at,
                partial(self._set_backoff, backoff_period, backoff_period.backoff),
            )
            self.clock.call_at(
                backoff_period.at + backoff_period.seconds,
                partial(self._set_backoff, backoff_period, None),
            )
        aggregated = len(self.hosts) > MAX_MESH_HOSTS
        report = partial(report_totals, self) if aggregated else self._report
        self.clock.call_later(REPORT_INTERVAL, report)
        self.clock.call_later(REPORT_INTERVAL, partial(exchange_counters, self))
        self.clock.run(self.scenario.seconds + 12.0)
        return self.results

    def prediction(self, model: str, now: float) -> Prediction | None:
        """Return the timing of a model's groups that follows from its mean requests."""
        return self._prediction_by_model[model]

    def _schedule_caller(self, kind: RequestKind) -> None:
        now = self.clock.now
        factors = [
            b.factor
            for b in self.scenario.bursts
            if b.at <= now < b.at + b.seconds and b.kind in ("", kind.name)
        ]
        rate = kind.per_second * math.prod(factors)
        at = now + self.rng.expovariate(rate)
        if at < self.scenario.seconds:
            self.clock.call_at(at, lambda: self._start_caller(kind))

    def _start_caller(self, kind: RequestKind) -> None:
        Caller(self, kind).send()
        self._schedule_caller(kind)

    def _stall_group(self, loss: GroupLoss) -> None:
        model = loss.model
        running = [g for g in self.groups[model] if not g.stalled]
        if not running:
            return
        group = self.rng.choice(running)
        group.stalled = True
        candidate = next(c for c in self.visible[model] if c.target == group.name)
        self.clock.call_later(loss.seen, lambda: self.visible[model].remove(candidate))

        def restart() -> None:
            group.restart()
            self.visible[model].append(candidate)

        self.clock.call_later(max(loss.seen, loss.seconds), restart)

    def _set_limit(self, period: LimitPeriod, rate: float | None) -> None:
        for group in self.groups[period.model][: period.groups]:
            group.limit = rate

    def _set_backoff(self, period: BackoffPeriod, backoff: float | None) -> None:
        for group in self.groups[period.model][: period.groups]:
            group.backoff = backoff

    def _report(self) -> None:
        now = self.clock.now
        names = tuple(host.name for host in self.hosts)
        for host in self.hosts:
            tracker = host.tracker
            load_report = (
                dict(tracker.own),
                tracker.own_suspects(now),
                tracker.own_progress(now),
                tracker.own_rejections(now),
            )
            host.tracker.limits.update_hosts(names, True, now)
            limit_updates, backoffs = host.tracker.limits.pending_updates(
                now
            ), tracker.own_backoffs(now)
            for other in self.hosts:
                if other is not host and self.rng.random() >= self.scenario.report_loss:
                    other.tracker.apply_peer_update(host.name, *load_report, now)
                    other.tracker.apply_peer_backoffs(backoffs, now)
                    for update in limit_updates:
                        other.tracker.limits.apply_peer_update(
                            update, lambda incarnation: True, now
                        )
        if now < self.scenario.seconds + 10.0:
            self.clock.call_later(REPORT_INTERVAL, self._report)


class EntryHost:
    """One entry host: its load tracker, its admission and its share of the retry budget."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.tracker = LoadTracker(
            "here", random.Random(simulation.rng.random()), TargetLimits(name)
        )
        s = simulation.scenario
        if s.entry_hosts > MAX_MESH_HOSTS:
            self.tracker.peer_report_delay = TOTAL_HOPS * REPORT_INTERVAL
        self.counters = SharedCounters(name, "here")
        self.admission = AdmissionControl(
            random.Random(f"admission/{simulation.seed}/{name}"),
            DemandCounts(self.counters, lambda: s.entry_hosts),
            self.tracker,
            lambda: s.entry_hosts,
            simulation.prediction,
        )
        self.budget = SharedRetryBudget(s.retry_ratio, s.retry_slack, RETRY_WINDOW)
        self.budget.hosts = s.entry_hosts
        self.connections = IdleConnections(simulation.clock)


class Caller:
    """One caller, which has a timeout and retries once after a rejection."""

    def __init__(self, simulation: Simulation, kind: RequestKind) -> None:
        self._simulation = simulation
        self._kind = kind
        self._first_sent_at = simulation.clock.now
        self._retries_left = 1
        self._rejections = 0
        self._finished = False
        self.first_event_at: float | None = None
        self._last_event_at: float | None = None
        self._longest_gap = 0.0
        rng, sigma = simulation.rng, math.sqrt(math.log(1 + kind.spread**2))
        factors = [math.exp(rng.gauss(-(sigma**2) / 2, sigma)) for _ in range(2)]
        self.prompt = max(1, round(kind.prompt * min(4.0, factors[0])))
        self.events = max(1, round(kind.events * min(4.0, factors[1])))
        self.kind = kind

    def send(self) -> None:
        """Send an attempt to a random entry host."""
        entry_request = EntryRequest(
            self._simulation, self._simulation.rng.choice(self._simulation.hosts), self
        )
        max_gap = max(2.0, 4 * self._kind.goal, 8 * self._kind.pause)
        sent_at = self._simulation.clock.now

        def check_timeout() -> None:
            if self._finished or entry_request.ended:
                return
            active_at = max(sent_at, self._last_event_at or 0.0)
            time_left = (
                min(active_at + max_gap, self._first_sent_at + self._kind.patience)
                - self._simulation.clock.now
            )
            if time_left <= 0:
                entry_request.cancel()
                self._finish("failed")
            else:
                self._simulation.clock.call_later(time_left, check_timeout)

        entry_request.begin(self._rejections > 0)
        self._simulation.clock.call_later(max_gap, check_timeout)

    @property
    def on_time_until(self) -> float:
        """Return the time until which the first event is on time."""
        return self._first_sent_at + self._kind.goal

    def on_rejected(self, retry_after: float) -> None:
        """Retry once after a rejection if the timeout allows; otherwise give up."""
        self._rejections += 1
        time_left = self._first_sent_at + self._kind.patience - self._simulation.clock.now
        if self._retries_left and time_left > 0:
            self._retries_left -= 1
            self._simulation.clock.call_later(
                min(retry_after, time_left / 3) + NETWORK_DELAY, self.send
            )
        else:
            self._finish("refused")

    def on_event(self) -> None:
        """Record the time of an event and the longest gap."""
        now = self._simulation.clock.now
        if self.first_event_at is None:
            self.first_event_at = now
        if self._last_event_at is not None:
            self._longest_gap = max(self._longest_gap, now - self._last_event_at)
        self._last_event_at = now

    def on_complete(self) -> None:
        """Record a complete answer, which is on time or late."""
        assert self.first_event_at is not None
        starts_on_time = self.first_event_at <= self.on_time_until
        without_gaps = self._longest_gap <= self._kind.pause
        self._finish("on time" if starts_on_time and without_gaps else "late")

    def on_truncated(self) -> None:
        """Record an answer that ended early as failed."""
        self._finish("failed")

    def _finish(self, outcome: str) -> None:
        if self._finished:
            return
        self._finished = True
        first = None if self.first_event_at is None else self.first_event_at - self._first_sent_at
        result = CallerResult(self._kind, self._first_sent_at, outcome, first, self._rejections)
        self._simulation.results.append(result)


class EntryRequest:
    """One attempt of a caller at an entry host, which sends it to at most two groups."""

    def __init__(self, simulation: Simulation, host: EntryHost, caller: Caller) -> None:
        self._simulation = simulation
        self._host = host
        self._caller = caller
        self._tried: set[str] = set()
        self._attempts_sent = 0
        self._is_retry = False
        self._engine_request: EngineRequest | None = None
        self._target = ""
        self._events_sent = 0
        self._answered = False
        self._is_backoff_trial = False
        self._progressed_at = self._sent_at = simulation.clock.now
        self.ended = False
        self._route = _route(caller.kind)

    def begin(self, is_retry: bool) -> None:
        """Count the request in the retry budget and send it to a group."""
        self._is_retry = is_retry
        self._host.budget.record_request(self._simulation.clock.now)
        self._send()

    def cancel(self) -> None:
        """Release the group after the caller has disconnected."""
        self._release()
        self.ended = True

    def _request(self) -> PlacementRequest:
        request_class = admission_class(self._is_retry, self._attempts_sent, self._events_sent > 0)
        return PlacementRequest(
            request_class, self._tried, self._caller.on_time_until, self._host.connections.has
        )

    def _send(self) -> None:
        if self.ended:
            return
        simulation, now, request = self._simulation, self._simulation.clock.now, self._request()
        candidates = simulation.visible[self._caller.kind.model]
        preferred: Sequence[Candidate] = ()
        if candidates and not self._tried and simulation.policy.controls_admission:
            decision = self._decide_admission(candidates, now)
            if isinstance(decision, Refuse):
                self._reject(candidates, now)
                return
            preferred = decision.candidates
        choose, tracker = simulation.policy.choose, self._host.tracker
        chosen = choose(tracker, preferred, request, now) if preferred else None
        if chosen is None:
            chosen = choose(tracker, candidates, request, now)
        if chosen is None and now < simulation.policy.hold_until(request):
            simulation.clock.call_later(HOLD_INTERVAL, self._send)
            return
        if chosen is None:
            self._reject(candidates, now)
            return
        self._target, self._attempts_sent = chosen.target, self._attempts_sent + 1
        self._tried.add(chosen.target)
        self._host.tracker.limits.take(chosen.incarnations, now)
        self._is_backoff_trial = self._host.tracker.backoffs.take(chosen.target)
        self._host.tracker.begin(chosen.target)
        self._host.connections.take(chosen.host.address)
        events_left = self._caller.events - self._events_sent
        prompt = self._caller.prompt + self._events_sent * simulation.scenario.engine.stride
        queue_rank = simulation.policy.queue_rank(request, now) + self._caller.kind.priority
        engine_request = EngineRequest(
            queue_rank,
            prompt,
            events_left,
            self._on_event,
            self._on_end,
            self._host.name,
            self._on_rejected,
        )
        self._engine_request = engine_request
        self._progressed_at = self._sent_at = now
        self._answered = False
        group = simulation.group_by_name[chosen.target]
        simulation.clock.call_later(NETWORK_DELAY, lambda: group.submit(engine_request))
        simulation.clock.call_later(
            stall_timeout_for(self._route, self._events_sent > 0),
            lambda: self._check_stall(engine_request),
        )

    def _decide_admission(self, candidates: Sequence[Candidate], now: float) -> Decision:
        """Return the shipped admission decision for a request that was not sent yet."""
        kind = self._caller.kind
        applicant = Applicant(
            kind.model,
            kind.priority,
            kind.account,
            admission_class(self._is_retry, 0, False),
            self._caller.on_time_until,
        )
        return self._host.admission.decide_for(applicant, kind.model, candidates, now)

    def _reject(self, candidates: Sequence[Candidate], now: float) -> None:
        self.ended = True
        if self._events_sent:
            self._caller.on_truncated()
            return
        if not self._attempts_sent:
            self._host.tracker.count_rejection(self._caller.kind.model, now)
        limited_for = self._host.tracker.limited_for(candidates, self._caller.kind.model, now)
        backoff_left = self._host.tracker.backoff_left(candidates, now)
        model, admission = self._caller.kind.model, self._host.admission
        controlled = self._simulation.policy.controls_admission
        backlog_for = admission.return_delay(model, now) if controlled else 0.0
        retry_after = retry_delay(
            bool(candidates), self._simulation.rng, limited_for, backoff_left, backlog_for
        )
        admission.told_to_return(model, now + retry_after)
        self._caller.on_rejected(retry_after)

    def _on_rejected(self, backoff: float) -> None:
        """Handle the rejection of a group after the network delay."""
        self._simulation.clock.call_later(NETWORK_DELAY, lambda: self._retry_elsewhere(backoff))

    def _retry_elsewhere(self, backoff: float) -> None:
        if self.ended:
            return
        now, tracker, target = self._simulation.clock.now, self._host.tracker, self._target
        if backoff and self._simulation.policy.honours_backoffs:
            tracker.backoffs.extend(target, backoff, now)
        else:
            tracker.suspect(target, now)
        self._release()
        if self._attempts_sent >= self._route.max_attempts or not self._host.budget.take(now):
            self._reject(self._simulation.visible[self._caller.kind.model], now)
            return
        self._send()

    def _on_event(self) -> None:
        now, target = self._simulation.clock.now, self._target
        if not self._answered:
            self._answered = True
            if self._is_backoff_trial:
                self._host.tracker.backoffs.trial_accepted(target, now)
            stated = self._simulation.group_by_name[target].limit
            limits = self._host.tracker.limits
            limits.answered(target, stated, CallKind.REQUEST, self._sent_at, now)
        if not self._events_sent:
            self._simulation.policy.record_first_event(target, now <= self._caller.on_time_until)
        self._events_sent += 1
        self._progressed_at = now
        self._host.tracker.progress(target, now)
        self._caller.on_event()

    def _on_end(self) -> None:
        self._release()
        self._host.admission.completed(self._caller.kind.model, self._simulation.clock.now)
        self.ended = True
        self._caller.on_complete()

    def _release(self) -> None:
        if self._engine_request is not None:
            self._engine_request.finished = True
            self._engine_request = None
            self._host.tracker.end(self._target)
            self._host.connections.put(self._target)
            if self._is_backoff_trial:
                self._host.tracker.backoffs.trial_ended(self._target)
                self._is_backoff_trial = False

    def _check_stall(self, engine_request: EngineRequest) -> None:
        """Retry elsewhere if the group has stalled and another one has capacity."""
        if engine_request is not self._engine_request:
            return
        now, tracker = self._simulation.clock.now, self._host.tracker
        max_idle = stall_timeout_for(self._route, self._events_sent > 0)
        idle = now - self._progressed_at
        if idle < max_idle - 1e-9:
            self._simulation.clock.call_later(
                max_idle - idle, lambda: self._check_stall(engine_request)
            )
            return
        if tracker.recently_progressed(
            self._target, now, max_idle
        ) or not self._may_retry_elsewhere(now):
            self._simulation.clock.call_later(0.02, lambda: self._check_stall(engine_request))
            return
        tracker.suspect(self._target, now)
        self._release()
        self._host.budget.take(now)
        self._send()

    def _may_retry_elsewhere(self, now: float) -> bool:
        if (
            self._attempts_sent >= self._route.max_attempts
            or self._host.budget.remaining(now) < 1.0
        ):
            return False
        candidates = self._simulation.visible[self._caller.kind.model]
        tracker = self._host.tracker
        healthy = [c for c in candidates if not tracker.is_suspect(c.target, now)]
        return self._simulation.policy.choose(tracker, healthy, self._request(), now) is not None


def _target_host(name: str, slots: int) -> TargetHost:
    return TargetHost(Instance(name), "pool", name, "here", False, slots, "d")


def _route(kind: RequestKind) -> Route:
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


def earned_share(results: Sequence[CallerResult]) -> float:
    """Return the value earned, as a fraction of the value if all answers were on time."""
    value_by_outcome: dict[str, Callable[[RequestKind], float]] = {
        "on time": lambda k: k.worth,
        "late": lambda k: k.late_worth,
    }
    earned = sum(
        value_by_outcome[r.outcome](r.kind) for r in results if r.outcome in value_by_outcome
    )
    return earned / sum(r.kind.worth for r in results)
