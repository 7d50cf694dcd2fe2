"""Which target takes a request: own counts, peers' counts, and what was seen to go wrong."""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from ..groups.inventory import TargetHost
from ..routing.backoffs import Backoffs
from ..routing.target_limits import TargetLimits

PEER_COUNTS_LAST = 0.6
"""Seconds for which a peer's counts are used: several of its reports may be lost on the way."""

SUSPECT_SECONDS = 2.0
"""Seconds for which a target that was seen to stall takes requests last, unless it is seen to send
again before, here or by a peer. Its owner finds a lost member and takes the group apart within one
and a half; longer, a group that was only slow once is lost to callers that are then refused."""

BELIEVED = 0.5
"""Part of the targets up to which suspicion is believed. More of them are lost at once only by what
takes several data centres; it is load that makes them late, and they take requests all the same."""

HEARD_SUSPECT_SECONDS = 0.5
"""Seconds for which a peer's word makes a target suspect: it is repeated several times a second
for as long as the peer thinks so, and goes no further."""

HEARD_LATER = 0.06
"""Seconds by which a peer's word of a target's progress is late: the time between two reports.
Where reports are added up on their way, it is that much for each hop."""

ELSEWHERE = 0.08
"""Load, in parts of a target's slots, by which a target in another data centre must be less busy:
about one request of thirteen. Bytes between data centres are paid for; the way itself is short."""


NOT_CONNECTED = 0.15
"""Load, in parts of a target's slots, by which a target must be less busy to be preferred to one to
which a connection is kept: one or two requests of eleven. A new connection takes a turn more, has
its price at the target, and may hold a place there. In a fleet of 195 entry hosts and 75 groups
each host has a request for a group every twelve seconds, and few find a connection."""


HERD = 4.0
"""Requests that a target may get from all entry hosts before any of them sees the others'. To all
of them a group that just opened is the least busy one at once."""

LASTS = 1.0
"""Seconds that a request is at an engine, about: by it, those in flight tell how many come in a
time."""


class Candidate(NamedTuple):
    """A target that could take a request.

    :param target: names it in counts: a group, or the instance of a plain target
    :param members: the other lives of its group
    """

    target: str
    host: TargetHost
    members: tuple[str, ...] = ()

    @property
    def lives(self) -> tuple[str, ...]:
        """Return all lives that a request passes through, the one that takes it first."""
        return (str(self.host.instance), *self.members)


class LoadBook:
    """Requests in flight by target, here and at the peers, and targets under suspicion.

    :param data_centre: of this entry host
    :param limits: that targets named for all entry hosts together
    :param backoffs: that targets asked this host for
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        limits: TargetLimits | None = None,
        backoffs: Backoffs | None = None,
    ) -> None:
        self.limits = TargetLimits() if limits is None else limits
        self.backoffs = Backoffs() if backoffs is None else backoffs
        self._data_centre = data_centre
        self._rng = rng
        self.heard_later = HEARD_LATER
        self._own: dict[str, int] = {}
        self._peers: dict[str, tuple[float, Mapping[str, int]]] = {}
        self._suspect_until: dict[str, float] = {}
        self._heard_suspect_until: dict[str, float] = {}
        self._turned_away: deque[tuple[float, str]] = deque()
        self._heard_turned_away: dict[str, tuple[float, Mapping[str, int]]] = {}
        self._progress_at: dict[str, float] = {}
        self._heard_progress_at: dict[str, float] = {}
        self._heard_backoff_until: dict[str, float] = {}

    @property
    def own(self) -> Mapping[str, int]:
        """Return this host's requests in flight by target."""
        return self._own

    def begin(self, target: str) -> None:
        """Count a request that is sent to a target."""
        self._own[target] = self._own.get(target, 0) + 1

    def end(self, target: str) -> None:
        """Count a request that has ended at a target."""
        left = self._own.get(target, 0) - 1
        if left > 0:
            self._own[target] = left
        else:
            self._own.pop(target, None)
            self._progress_at.pop(target, None)

    def turn_away(self, model: str, now: float) -> None:
        """Count a request that no target could take."""
        self._turned_away.append((now, model))

    def own_turned_away(self, now: float) -> dict[str, int]:
        """Return how many requests were turned away here in the last second, by model."""
        while self._turned_away and self._turned_away[0][0] < now - 1.0:
            self._turned_away.popleft()
        return dict(Counter(model for _, model in self._turned_away))

    def turned_away(self, model: str, now: float) -> int:
        """Return how many requests for a model were turned away in the last second, anywhere."""
        heard = sum(
            counts.get(model, 0)
            for at, counts in self._heard_turned_away.values()
            if now - at <= PEER_COUNTS_LAST
        )
        return heard + self.own_turned_away(now).get(model, 0)

    def progress(self, target: str, now: float) -> None:
        """Take note that a target sent something, to whichever request."""
        self._progress_at[target] = now
        self._suspect_until.pop(target, None)

    def own_progress(self, now: float) -> dict[str, float]:
        """Return how long ago targets with requests from here last sent something, in seconds."""
        return {t: round(now - at, 3) for t, at in self._progress_at.items()}

    def goes_on(self, target: str, now: float, within: float) -> bool:
        """Tell whether a target sent something to anybody lately.

        A group that lost a member stops for all its requests at once. One that sends to others is
        busy, not stuck: going elsewhere would have the prompt read twice, and under load that is
        what makes the next request wait too.
        """
        if now - self._progress_at.get(target, float("-inf")) < within:
            return True
        return now - self._heard_progress_at.get(target, float("-inf")) < within + self.heard_later

    def hear(
        self,
        peer: str,
        counts: Mapping[str, int],
        suspects: Sequence[str],
        progress: Mapping[str, float],
        turned_away: Mapping[str, int],
        now: float,
    ) -> None:
        """Take what a peer reports of its requests and of the targets that it has seen."""
        self._peers[peer] = (now, counts)
        self._heard_turned_away[peer] = (now, turned_away)
        for target, age in progress.items():
            held = self._heard_progress_at.get(target, float("-inf"))
            self._heard_progress_at[target] = max(held, now - age)
            suspected_at = self._suspect_until.get(target, float("inf")) - SUSPECT_SECONDS
            if now - age > suspected_at:
                del self._suspect_until[target]
        for target in suspects:
            self._heard_suspect_until[target] = now + HEARD_SUSPECT_SECONDS

    def forget_peers(self, now: float) -> None:
        """Drop what peers reported too long ago to be used."""
        for table in (self._peers, self._heard_turned_away):
            for peer in [p for p, (at, _) in table.items() if now - at > PEER_COUNTS_LAST]:
                del table[peer]

    def suspect(self, target: str, now: float) -> None:
        """Take note that a target was seen to stall or fail."""
        self._suspect_until[target] = now + SUSPECT_SECONDS

    def own_suspects(self, now: float) -> list[str]:
        """Return the targets that were seen to stall from here."""
        self._suspect_until = {t: u for t, u in self._suspect_until.items() if u > now}
        return list(self._suspect_until)

    def own_backoffs(self, now: float) -> list[str]:
        """Return the lives that asked this host to back off."""
        return list(self.backoffs.active(now))

    def hear_backoffs(self, lives: Collection[str], now: float) -> None:
        """Take note of lives that asked a peer to back off: here they are sent requests last."""
        held = self._heard_backoff_until
        self._heard_backoff_until = {life: until for life, until in held.items() if until > now}
        for life in lives:
            self._heard_backoff_until[life] = now + HEARD_SUSPECT_SECONDS

    def is_suspect(self, target: str, now: float) -> bool:
        """Tell whether a target was seen to stall, from here or by a peer."""
        until = self._suspect_until.get(target, 0.0)
        return max(until, self._heard_suspect_until.get(target, 0.0)) > now

    def any_load(self) -> bool:
        """Tell whether any entry host has a request in flight, as far as known."""
        return bool(self._own) or any(counts for _, counts in self._peers.values())

    def load(self, target: str, now: float) -> int:
        """Return the requests in flight at a target, as far as known."""
        total = self._own.get(target, 0)
        for at, counts in self._peers.values():
            if now - at <= PEER_COUNTS_LAST:
                total += counts.get(target, 0)
        return total

    def choose(
        self,
        candidates: Sequence[Candidate],
        tried: Collection[str],
        now: float,
        places: float = 1.0,
        connected: Callable[[str], bool] = lambda address: True,
        apart: bool = False,
    ) -> Candidate | None:
        """Return the target that takes a request, ``None`` if none that is left has room.

        The least busy for its slots. One under suspicion only where all are, or where so many are
        that it says little: a request sent there most likely waits for its caller to give up. The
        same holds for one that asked a peer to back off; one that asked this host takes nothing.

        :param places: requests that a target may have, in parts of what it runs at once
        :param connected: tells whether a connection to an address is kept
        :param apart: it was lost with a target that may have ended under one of its requests. All
            of these move at once, and the least busy target is the same for all: the culprit would
            take them along again, and nobody could tell it from them. Drawn, they go apart
        """
        untried = [c for c in candidates if c.target not in tried]
        awake = [c for c in untried if self.backoffs.may_take(c.lives[0], now)]
        self.backoffs.held_back += len(untried) - len(awake)
        left = self._within_limits(awake, now)
        sound = [c for c in left if not self._is_doubtful(c, now)]
        roomy = [c for c in sound if self._has_room(c, now, places)]
        if not roomy and len(sound) <= len(left) * (1 - BELIEVED):
            # A rush makes groups late for somebody one after the other. Each was let be for two
            # seconds, the rest were overrun and let be in their turn, and callers were refused
            # with most groups idle. A cut takes a third of them, and they are let be as before.
            roomy = [c for c in left if self._has_room(c, now, places)]
        if not roomy:
            return None
        if apart:
            return self._rng.choice(roomy)
        seen = self._seen(roomy, now, connected)
        return min(seen, key=lambda c: (self._rank(c, now, connected), self._rng.random()))

    def _is_doubtful(self, candidate: Candidate, now: float) -> bool:
        until = self._heard_backoff_until.get(candidate.lives[0], 0.0)
        return until > now or self.is_suspect(candidate.target, now)

    def _within_limits(self, candidates: Sequence[Candidate], now: float) -> Sequence[Candidate]:
        if not self.limits.known:
            return candidates
        within = [c for c in candidates if self.limits.may_send(c.lives, now)]
        self.limits.held_back += len(candidates) - len(within)
        return within

    def limited_for(self, candidates: Sequence[Candidate], model: str, now: float) -> float | None:
        """Return the seconds after which limited targets have room for another of those refused.

        :return: ``None`` where some target is not limited
        """
        rates = [self.limits.rate(c.lives) for c in candidates] if self.limits.known else []
        limited = [r for r in rates if r is not None]
        if not limited or len(limited) < len(rates):
            return None
        return (1 + self.turned_away(model, now)) / sum(limited)

    def backoff_left(self, candidates: Sequence[Candidate], now: float) -> float | None:
        """Return the seconds until the first of the targets may be tried again.

        :return: ``None`` where this host does not back off from one of them
        """
        return self.backoffs.until_one_ends([c.lives[0] for c in candidates], now)

    def taken_by_limits(self, candidate: Candidate) -> float:
        """Return how many places of a target its limit leaves empty."""
        rate = self.limits.rate(candidate.lives) if self.limits.known else None
        return 0.0 if rate is None else max(0.0, candidate.host.slots - rate * LASTS)

    def _seen(
        self, roomy: Sequence[Candidate], now: float, connected: Callable[[str], bool]
    ) -> Sequence[Candidate]:
        """Return the targets to choose among: all, or where many choose at once, a few of them.

        Those to which a connection is kept are few, and others at each host, and so are those of
        whose limit this host may use its share now. Of the rest so many are drawn that one that all
        find the best gets :data:`HERD` requests before that shows.
        """
        in_flight = sum(self.load(c.target, now) for c in roomy)
        unseen = in_flight / LASTS * self.heard_later
        if unseen <= HERD:
            return roomy
        few = [connected(c.host.address) or self._is_limited(c) for c in roomy]
        drawn = [c for c, is_of_few in zip(roomy, few, strict=True) if is_of_few]
        rest = [c for c, is_of_few in zip(roomy, few, strict=True) if not is_of_few]
        near = [c for c in rest if c.host.data_centre == self._data_centre]
        far = [c for c in rest if c.host.data_centre != self._data_centre]
        for part in (near, far):
            drawn += self._rng.sample(part, math.ceil(len(part) * HERD / unseen))
        return drawn

    def _is_limited(self, candidate: Candidate) -> bool:
        return self.limits.known and self.limits.is_limited(candidate.lives)

    def _has_room(self, candidate: Candidate, now: float, places: float) -> bool:
        return self.load(candidate.target, now) < candidate.host.slots * places

    def _rank(self, candidate: Candidate, now: float, connected: Callable[[str], bool]) -> float:
        host = candidate.host
        load = self.load(candidate.target, now) / max(1, host.slots)
        if self._is_limited(candidate):
            # Its turn comes seldom, and a share that is not used is lost.
            return load
        far = ELSEWHERE if host.data_centre != self._data_centre else 0.0
        new = 0.0 if connected(host.address) else NOT_CONNECTED
        return load + far + new
