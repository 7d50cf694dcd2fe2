"""Chooses a target for a request by load, counted here and by peers, and by observed failures."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from ..groups.inventory import TargetHost
from ..routing.backoffs import Backoffs
from ..routing.failing_targets import FailingTargets
from ..routing.reachability import Heard
from ..routing.target_limits import TargetLimits
from .timing import ConfiguredTiming, Timing

PEER_COUNTS_MAX_AGE = 0.6
"""Seconds for which a peer's counts are used, so that several of its reports may be lost."""

SUSPECT_SECONDS = 2.0
"""Seconds for which a stalled target is avoided, unless this host or a peer receives data from it
earlier. The owner of a group detects a lost member in about that time, as sound ones may be silent
for :data:`~oleanderhill.groups.forming.SOUND_SILENCE_SECONDS`. With a longer time, callers would be
rejected while a group that was slow only once stays unused."""

MAX_SUSPECT_FRACTION = 0.5
"""Fraction of the targets below which suspects are avoided. From there on the likely cause is load,
since only the failure of several data centres loses so many targets at the same time, and suspect
targets get requests too if no other target has capacity."""

PEER_SUSPECT_SECONDS = 0.5
"""Seconds for which a target stays suspect after a peer's report. The peer repeats it several times
a second for as long as it applies. Suspicion learnt from a peer isn't sent on to others."""

PEER_REPORT_DELAY = 0.06
"""Seconds by which a peer's report of a target's progress lags in a full mesh: about the interval
between two reports. Where reports are aggregated, each hop adds an interval."""

HEARD_SECONDS = 0.5
"""Seconds without data from a target at all other entry hosts after which it counts as silent."""

REMOTE_PENALTY = 0.08
"""Load difference, as a fraction of a target's slots, above which a target in another data centre
is preferred to a local one: about one request of thirteen. Traffic between data centres costs
money, while its latency is low."""


NEW_CONNECTION_PENALTY = 0.15
"""Load difference, as a fraction of a target's slots, above which a target without an open
connection is preferred to one with a connection: one or two requests of eleven. A new connection
takes another round trip, costs the target some work and may occupy a slot there. In a fleet of 195
entry hosts and 75 groups, each host sends a request to a given group every twelve seconds, so few
requests find an open connection."""


HERD_LIMIT = 4.0
"""Requests that all entry hosts together may send to a target before any of them has received the
others' counts. It bounds the thundering herd on a group that has just started to serve and is the
least loaded one for all hosts at the same time."""

IDLE_LOAD = 0.5
"""Time to first event at an idle target, in units of load: about as much as half a batch adds. It
makes a slow target rank behind others while it has no requests."""

REQUEST_SECONDS = 1.0
"""Approximate duration of a request at an engine. It converts requests in flight to a rate."""

PLAIN_REQUEST_SECONDS = 0.1
"""Approximate duration of a request at a plain target."""


class Candidate(NamedTuple):
    """A target that could take a request.

    :param target: key of the target in load counts: a group, or the instance of a plain target
    :param host: the host that receives the request: the head of a group, or the plain target
    :param members: the incarnations of the other members of its group
    :param more_data_centres: data centres of its members other than that of ``host``
    """

    target: str
    host: TargetHost
    members: tuple[str, ...] = ()
    more_data_centres: tuple[str, ...] = ()

    @property
    def incarnations(self) -> tuple[str, ...]:
        """Return all incarnations that a request passes through, the one that receives it first."""
        return (str(self.host.instance), *self.members)

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Return the data centres that a request passes through."""
        return (self.host.data_centre, *self.more_data_centres)


class _PeerReport(NamedTuple):
    """The latest report of a peer, or of several whose reports were added up.

    :param at: time of its arrival
    """

    at: float
    counts: Mapping[str, int]
    rejected: Mapping[str, int]
    progress: Mapping[str, float]


class LoadTracker:
    """Tracks requests in flight by target, here and at peers, and suspect targets.

    :param data_centre: data centre of this entry host
    :param limits: rate limits that targets stated for all entry hosts together
    :param backoffs: back-offs that targets requested from this host
    :param failing: targets that answer with failures
    :param timing: what is known of the speed of targets
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        limits: TargetLimits | None = None,
        backoffs: Backoffs | None = None,
        failing: FailingTargets | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.failing = FailingTargets() if failing is None else failing
        self._timing: Timing = ConfiguredTiming() if timing is None else timing
        self._slowness_by_target: Mapping[str, float] = {}
        self._start_limits: Mapping[str, float] = {}
        self.limits = TargetLimits() if limits is None else limits
        self.backoffs = Backoffs() if backoffs is None else backoffs
        self._data_centre = data_centre
        self._rng = rng
        self.peer_report_delay = PEER_REPORT_DELAY
        self._own: dict[str, int] = {}
        self._held: list[tuple[float, str]] = []
        self._peers: dict[str, _PeerReport] = {}
        self._suspect_until: dict[str, float] = {}
        self._peer_suspect_until: dict[str, float] = {}
        self._unreported: set[str] = set()
        self._rejected: deque[tuple[float, str]] = deque()
        self._progress_at: dict[str, float] = {}
        self._peer_progress_at: dict[str, float] = {}
        self._peer_backoff_until: dict[str, float] = {}

    @property
    def own(self) -> Mapping[str, int]:
        """Return this host's requests in flight by target."""
        return self._own

    def begin(self, target: str) -> None:
        """Count a request that is sent to a target."""
        self._own[target] = self._own.get(target, 0) + 1

    def end_failed(self, target: str, until: float) -> None:
        """Stop counting a request that a target failed, but only at a later time.

        A target that fails at once is never busy. If its requests stopped counting at once, it
        would be the least loaded one for ever more of them.

        :param until: monotonic time at which a request that it serves would have ended
        """
        heapq.heappush(self._held, (until, target))

    def release_failed(self, now: float) -> None:
        """Stop counting the failed requests whose time is over."""
        while self._held and self._held[0][0] <= now:
            self.end(heapq.heappop(self._held)[1])

    def end(self, target: str) -> None:
        """Stop counting a request that has ended at a target."""
        left = self._own.get(target, 0) - 1
        if left > 0:
            self._own[target] = left
        else:
            self._own.pop(target, None)
            self._progress_at.pop(target, None)

    def count_rejection(self, model: str, now: float) -> None:
        """Count a request that is rejected because no target can take it."""
        self._rejected.append((now, model))

    def own_rejections(self, now: float) -> dict[str, int]:
        """Return how many requests this host rejected in the last second, by model."""
        while self._rejected and self._rejected[0][0] < now - 1.0:
            self._rejected.popleft()
        return dict(Counter(model for _, model in self._rejected))

    def rejections(self, model: str, now: float) -> int:
        """Return how many requests for a model all entry hosts rejected in the last second."""
        by_peers = sum(
            report.rejected.get(model, 0)
            for report in self._peers.values()
            if now - report.at <= PEER_COUNTS_MAX_AGE
        )
        return by_peers + self.own_rejections(now).get(model, 0)

    def progress(self, target: str, now: float) -> None:
        """Record that a target sent something for any request."""
        self._progress_at[target] = now
        self._suspect_until.pop(target, None)

    def own_progress(self, now: float) -> dict[str, float]:
        """Return the seconds since each target with requests from here last sent something.

        Targets at which all requests failed are left out, and those that seem to stall but may only
        be unreachable over the links of this host.
        """
        held = Counter(target for _, target in self._held)
        return {
            t: round(now - at, 3)
            for t, at in self._progress_at.items()
            if self._own.get(t, 0) > held[t] and t not in self._unreported
        }

    def recently_progressed(self, target: str, now: float, within: float) -> bool:
        """Return whether a target recently sent something to any entry host.

        A group that lost a member stops for all its requests at the same time. A group that still
        sends to other requests is busy, not stalled. If a request were moved away from it, its
        prompt would be processed twice, which under load delays later requests too.
        """
        if now - self._progress_at.get(target, float("-inf")) < within:
            return True
        return (
            now - self._peer_progress_at.get(target, float("-inf"))
            < within + self.peer_report_delay
        )

    def heard_by_peers(self, target: str, now: float) -> Heard:
        """Return what the reports of other entry hosts tell about a target."""
        age = self.peer_progress_age(target, now)
        if age is not None and age <= HEARD_SECONDS:
            return Heard.RUNNING
        # Requests in flight tell nothing: those of a peer that is cut off never arrived.
        waiting = any(
            target in report.progress
            for report in self._peers.values()
            if now - report.at <= HEARD_SECONDS
        )
        return Heard.SILENT if waiting else Heard.UNKNOWN

    def peer_progress_age(self, target: str, now: float) -> float | None:
        """Return the seconds since a target last sent something to another entry host.

        :return: ``None`` if no other entry host reported so
        """
        at = self._peer_progress_at.get(target)
        return None if at is None else now - at

    def apply_peer_update(
        self,
        peer: str,
        counts: Mapping[str, int],
        suspects: Sequence[str],
        progress: Mapping[str, float],
        rejected: Mapping[str, int],
        now: float,
    ) -> None:
        """Apply a peer's report of its requests and of the targets that it observed."""
        self._peers[peer] = _PeerReport(now, counts, rejected, progress)
        for target, age in progress.items():
            latest = self._peer_progress_at.get(target, float("-inf"))
            self._peer_progress_at[target] = max(latest, now - age)
            suspected_at = self._suspect_until.get(target, float("inf")) - SUSPECT_SECONDS
            if now - age > suspected_at:
                del self._suspect_until[target]
        for target in suspects:
            # A peer whose own links are broken suspects targets that send data to this host.
            if now - self._progress_at.get(target, float("-inf")) > PEER_REPORT_DELAY:
                self._peer_suspect_until[target] = now + PEER_SUSPECT_SECONDS

    def drop_stale_peers(self, now: float) -> None:
        """Drop reports of peers that are too old to be used."""
        self.release_failed(now)
        for peer in [p for p, r in self._peers.items() if now - r.at > PEER_COUNTS_MAX_AGE]:
            del self._peers[peer]

    def suspect(self, target: str, now: float, reported: bool = True) -> None:
        """Record that a target was observed to stall or fail.

        :param reported: whether other entry hosts are told; false if this host's links may be why
        """
        self._suspect_until[target] = now + SUSPECT_SECONDS
        if reported:
            self._unreported.discard(target)
        else:
            self._unreported.add(target)

    def own_suspects(self, now: float) -> list[str]:
        """Return the targets that this host observed to stall, for other entry hosts."""
        self._suspect_until = {t: u for t, u in self._suspect_until.items() if u > now}
        self._unreported &= self._suspect_until.keys()
        return [t for t in self._suspect_until if t not in self._unreported]

    def own_backoffs(self, now: float) -> list[str]:
        """Return the incarnations that requested a back-off from this host."""
        return list(self.backoffs.active(now))

    def apply_peer_backoffs(self, incarnations: Collection[str], now: float) -> None:
        """Record incarnations that requested a back-off from a peer; they are chosen last here."""
        known = self._peer_backoff_until
        self._peer_backoff_until = {i: until for i, until in known.items() if until > now}
        for incarnation in incarnations:
            self._peer_backoff_until[incarnation] = now + PEER_SUSPECT_SECONDS

    def is_suspect(self, target: str, now: float) -> bool:
        """Return whether this host or a peer observed a target to stall."""
        until = self._suspect_until.get(target, 0.0)
        return max(until, self._peer_suspect_until.get(target, 0.0)) > now

    def is_avoided(self, target: str, now: float) -> bool:
        """Return whether a target was observed to stall, or answers with failures."""
        return self.is_suspect(target, now) or self.failing.is_failing(target, now)

    def has_load(self) -> bool:
        """Return whether any entry host is known to have a request in flight."""
        return bool(self._own) or any(report.counts for report in self._peers.values())

    def in_flight(self, now: float) -> tuple[int, int]:
        """Return the requests in flight at all targets: those of this host, and those known."""
        own = sum(self._own.values())
        reports = self._peers.values()
        recent = (r.counts for r in reports if now - r.at <= PEER_COUNTS_MAX_AGE)
        return own, own + sum(sum(counts.values()) for counts in recent)

    def hears_peers(self) -> bool:
        """Return whether the load of other entry hosts was reported lately."""
        return bool(self._peers)

    def load(self, target: str, now: float) -> int:
        """Return the known number of requests in flight at a target."""
        total = self._own.get(target, 0)
        for report in self._peers.values():
            if now - report.at <= PEER_COUNTS_MAX_AGE:
                total += report.counts.get(target, 0)
        return total

    def choose(
        self,
        candidates: Sequence[Candidate],
        tried: Collection[str],
        now: float,
        max_load: float = 1.0,
        connected: Callable[[str], bool] = lambda address: True,
        random_choice: bool = False,
    ) -> Candidate | None:
        """Return the target for a request, ``None`` if no untried target has capacity.

        The target with the lowest load relative to its slots is chosen; remote targets and targets
        without an open connection get a penalty. A target that is slower than its fellows counts as
        more loaded and takes fewer requests. One that has just started does so while others have
        capacity. At a suspect target a request most likely waits until its caller times out.
        Suspects are therefore chosen only if no other target has capacity and at least
        :data:`MAX_SUSPECT_FRACTION` of the targets are suspect. The same applies to a target that
        requested a back-off from a peer. One that requested it from this host gets no requests.

        :param max_load: load below which a target has capacity, as a multiple of its slots
        :param connected: returns whether a connection to an address is open
        :param random_choice: whether to choose at random among the targets with capacity. Used for
            a request whose previous target may have crashed. All requests of that target move at
            the same time. If they all moved to the least loaded target, a crash-causing request
            among them would crash that target under the same requests, and could not be
            distinguished from them
        """
        self.release_failed(now)
        self._slowness_by_target = self._timing.slowness_by_target(now)
        self._start_limits = self._timing.start_limits(now)
        untried = [c for c in candidates if c.target not in tried]
        available = [c for c in untried if self.backoffs.may_place(c.incarnations[0], now)]
        self.backoffs.held_back += len(untried) - len(available)
        eligible = self._within_limits(available, now)
        sound = [c for c in eligible if not self._is_doubtful(c, now)]
        with_capacity = [c for c in sound if self._has_capacity(c, now, max_load)]
        if not with_capacity and self._start_limits:
            # A target that starts slowly is better than none.
            self._start_limits = {}
            with_capacity = [c for c in sound if self._has_capacity(c, now, max_load)]
        if not with_capacity and len(sound) <= len(eligible) * (1 - MAX_SUSPECT_FRACTION):
            # A burst of requests makes one group after another late for some caller. If each of
            # them were avoided for two seconds, the others would be overloaded and avoided in turn,
            # and callers would be rejected while most groups are idle. A network partition affects
            # a third of the groups, and these are still avoided.
            with_capacity = [c for c in eligible if self._has_capacity(c, now, max_load)]
        if not with_capacity:
            return None
        if random_choice:
            return self._rng.choice(with_capacity)
        sampled = self._sample(with_capacity, now, connected)
        return min(sampled, key=lambda c: (self._rank(c, now, connected), self._rng.random()))

    def _is_doubtful(self, candidate: Candidate, now: float) -> bool:
        until = self._peer_backoff_until.get(candidate.incarnations[0], 0.0)
        return until > now or self.is_avoided(candidate.target, now)

    def _within_limits(self, candidates: Sequence[Candidate], now: float) -> Sequence[Candidate]:
        if not self.limits.known:
            return candidates
        within = [c for c in candidates if self.limits.may_send(c.incarnations, now)]
        self.limits.held_back += len(candidates) - len(within)
        return within

    def limited_for(self, candidates: Sequence[Candidate], model: str, now: float) -> float | None:
        """Return the seconds until rate-limited targets can take another rejected request.

        :return: ``None`` unless all targets have a rate limit
        """
        rates = [self.limits.rate(c.incarnations) for c in candidates] if self.limits.known else []
        limited = [r for r in rates if r is not None]
        if not limited or len(limited) < len(rates):
            return None
        return (1 + self.rejections(model, now)) / sum(limited)

    def backoff_left(self, candidates: Sequence[Candidate], now: float) -> float | None:
        """Return the seconds until the first back-off from one of the targets ends.

        :return: ``None`` unless this host currently backs off from all of them
        """
        return self.backoffs.seconds_to_first_end([c.incarnations[0] for c in candidates], now)

    def slots_lost_to_limits(self, candidate: Candidate) -> float:
        """Return how many slots of a target stay unused because of its rate limit."""
        rate = self.limits.rate(candidate.incarnations) if self.limits.known else None
        return 0.0 if rate is None else max(0.0, candidate.host.slots - rate * REQUEST_SECONDS)

    def _sample(
        self, candidates: Sequence[Candidate], now: float, connected: Callable[[str], bool]
    ) -> Sequence[Candidate]:
        """Return the targets to choose among: all, or a sample if many hosts choose concurrently.

        Targets with an open connection are always included, as are those whose rate limit allows
        this host a request now: they are few, and differ from host to host. The sample of the rest
        is so small that a target that ranks best at all hosts gets about :data:`HERD_LIMIT`
        requests before these requests appear in the counts of the peers.
        """
        in_flight = sum(self.load(c.target, now) for c in candidates)
        unreported = in_flight / REQUEST_SECONDS * self.peer_report_delay
        if unreported <= HERD_LIMIT:
            return candidates
        included = [connected(c.host.address) or self._is_limited(c) for c in candidates]
        sample = [c for c, is_in in zip(candidates, included, strict=True) if is_in]
        rest = [c for c, is_in in zip(candidates, included, strict=True) if not is_in]
        local = [c for c in rest if c.host.data_centre == self._data_centre]
        remote = [c for c in rest if c.host.data_centre != self._data_centre]
        for part in (local, remote):
            sample += self._rng.sample(part, math.ceil(len(part) * HERD_LIMIT / unreported))
        return sample

    def _is_limited(self, candidate: Candidate) -> bool:
        return self.limits.known and self.limits.is_limited(candidate.incarnations)

    def _has_capacity(self, candidate: Candidate, now: float, max_load: float) -> bool:
        target = candidate.target
        limit = candidate.host.slots * max_load
        slowness = self._slowness_by_target.get(target, 1.0)
        if slowness > 1:
            # One request at least: nothing else shows that the target has recovered.
            limit = min(limit, max(1.0, limit / slowness))
        return self.load(target, now) < min(limit, self._start_limits.get(target, limit))

    def _rank(self, candidate: Candidate, now: float, connected: Callable[[str], bool]) -> float:
        host = candidate.host
        load = self.load(candidate.target, now) / max(1, host.slots)
        if self._is_limited(candidate):
            # No penalties: the rate limit rarely allows this host a request, and an unused share is
            # lost.
            return load
        remote = REMOTE_PENALTY if host.data_centre != self._data_centre else 0.0
        new = 0.0 if connected(host.address) else NEW_CONNECTION_PENALTY
        slowness = self._slowness_by_target.get(candidate.target, 1.0)
        if slowness != 1:
            load = (IDLE_LOAD + load) * slowness - IDLE_LOAD
        return load + remote + new
