"""Which group takes a request: a pure choice over evidence, load and prefix affinity.

A group is a candidate only with fresh evidence that it is whole. Reported load lags: to tell
whether a group is full, requests that this entry host started since the report are added to it; to
compare groups, own requests count in full and those of others in part.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from ..ownership import rendezvous
from ..types import GroupView, Member
from .wholeness import EVIDENCE_MAX_AGE

REPORT_LAG = 0.5
"""Seconds by which engines report their load late."""

OTHERS_WEIGHT = 0.3
"""Weight of requests that others sent, against own ones, when groups are compared.

Reports are about as old as a short request is long. Taken in full, they send every entry host to
the group that was idle a second ago; own requests are known at once.
"""

FAR_PENALTY = 0.35
"""Load that another data centre's group is charged, as a fraction of its capacity."""

FULL = 2.0
"""Estimated load over capacity at which a group gets no more requests: one batch waiting."""

EJECT_SECONDS = 5.0
EJECT_LIMIT = 1 / 3
"""At most this part of a model's groups is ejected, so that overload isn't taken for failure."""


class Evidence(NamedTuple):
    """A group as known to this entry host.

    :param proven_at: local time for which the evidence holds: all members were asked after it
    """

    view: GroupView
    data_centre: str
    domain: str
    owner_epoch: int
    proven_at: float


class Wanted(NamedTuple):
    """What a request asks of a group. An empty version takes any."""

    model: str
    version: str = ""
    adapter: str = ""
    prefix: str = ""


class Choice(NamedTuple):
    """A chosen group and why."""

    group: str
    epoch: int
    head: Member
    data_centre: str
    reason: str

    @property
    def target(self) -> str:
        """Return the group with its epoch: after a repair it is worth another try."""
        return target_id(self.group, self.epoch)


class NoChoice(NamedTuple):
    """Why no group could be chosen; ``full`` when groups exist but have no room."""

    reason: str
    full: bool
    known: bool


def target_id(group: str, epoch: int) -> str:
    """Return the name under which an attempt remembers what it tried."""
    return f"{group}@{epoch}"


class Router:
    """The groups that one entry host may send to.

    :param data_centre: of this entry host; its groups are preferred
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.by_group: dict[str, Evidence] = {}
        self.leaving_hosts: frozenset[str] = frozenset()
        self.in_flight_by_group: dict[str, int] = {}
        self._starts: dict[str, deque[float]] = {}
        self._ejected_until: dict[str, float] = {}
        self._rng = rng

    def learn(self, evidence: Evidence) -> None:
        """Take in evidence; an older owner, epoch or moment does not replace a newer one."""
        group = evidence.view.group
        held = self.by_group.get(group)
        if held is not None and _rank(evidence) < _rank(held):
            return
        self.by_group[group] = evidence

    def forget_absent(self, domain: str, owner_epoch: int, groups: Iterable[str]) -> None:
        """Drop the groups of a domain that its owner no longer lists."""
        listed = set(groups)
        for group, held in list(self.by_group.items()):
            if held.domain == domain and group not in listed and held.owner_epoch <= owner_epoch:
                del self.by_group[group]
                self._starts.pop(group, None)
                self._ejected_until.pop(group, None)

    def stale(self, now: float, after: float) -> list[Evidence]:
        """Return the groups whose evidence is older than ``after`` seconds."""
        return [e for e in self.by_group.values() if now - e.proven_at > after]

    def may_send(self, group: str, epoch: int, now: float) -> bool:
        """Tell whether a request may go to this group and epoch at this very moment.

        Asked right before the bytes leave: between choice and sending a process may be paused,
        and the group may have lost a member meanwhile.
        """
        held = self.by_group.get(group)
        if held is None or held.view.epoch != epoch:
            return False
        # The list is looked at here too, not only by the owner of the domain: while nobody owns
        # the domain, a leaving host would get new requests until somebody has taken it.
        if any(m.host in self.leaving_hosts for m in held.view.members):
            return False
        return held.view.accepting and now - held.proven_at <= EVIDENCE_MAX_AGE

    def still_whole(self, group: str, epoch: int, now: float) -> bool:
        """Tell whether requests in flight at a group may stay: it may be leaving, not broken."""
        held = self.by_group.get(group)
        if held is None:
            return False
        if held.view.epoch != epoch or not held.view.whole:
            return False
        return now - held.proven_at <= 2 * EVIDENCE_MAX_AGE

    def choose(
        self, wanted: Wanted, now: float, exclude: frozenset[str] = frozenset()
    ) -> Choice | NoChoice:
        """Choose a group for a request.

        :param exclude: targets already tried for it, see :func:`target_id`
        """
        offering = [e for e in self.by_group.values() if _offers(e.view, wanted)]
        if not offering:
            return NoChoice(f"no group offers {wanted.model}", False, False)
        able = [e for e in offering if self.may_send(e.view.group, e.view.epoch, now)]
        able = [e for e in able if target_id(e.view.group, e.view.epoch) not in exclude]
        able = self._not_ejected(able, now)
        if not able:
            return NoChoice(f"none of {len(offering)} groups is whole", False, True)
        roomy = [e for e in able if self._load(e, now) < FULL]
        if not roomy:
            return NoChoice(f"all {len(able)} whole groups are full", True, True)
        return self._pick(roomy, wanted)

    def started(self, group: str, now: float) -> None:
        """Count a request sent to a group."""
        self.in_flight_by_group[group] = self.in_flight_by_group.get(group, 0) + 1
        starts = self._starts.setdefault(group, deque())
        starts.append(now)
        while starts and starts[0] < now - EVIDENCE_MAX_AGE - REPORT_LAG:
            starts.popleft()

    def ended(self, group: str) -> None:
        """Count the end of a request at a group."""
        left = self.in_flight_by_group.get(group, 0) - 1
        if left > 0:
            self.in_flight_by_group[group] = left
        else:
            self.in_flight_by_group.pop(group, None)

    def eject(self, group: str, now: float) -> bool:
        """Keep a straggling group from new requests for a while; return whether it was done."""
        held = self.by_group.get(group)
        if held is None:
            return False
        peers = [g for g, e in self.by_group.items() if e.view.spec.model == held.view.spec.model]
        out = sum(1 for g in peers if self._ejected_until.get(g, 0.0) > now and g != group)
        if (out + 1) > EJECT_LIMIT * len(peers):
            return False
        self._ejected_until[group] = now + EJECT_SECONDS
        return True

    def _not_ejected(self, able: list[Evidence], now: float) -> list[Evidence]:
        kept = [e for e in able if self._ejected_until.get(e.view.group, 0.0) <= now]
        return kept or able

    def _load(self, evidence: Evidence, now: float) -> float:
        view = evidence.view
        reported = view.running + view.waiting
        since = evidence.proven_at - REPORT_LAG
        fresh = sum(1 for t in self._starts.get(view.group, ()) if t >= since)
        own = self.in_flight_by_group.get(view.group, 0)
        load = max(own, reported + min(fresh, own)) / view.capacity
        return load if evidence.data_centre == self.data_centre else load + FAR_PENALTY

    def _pick(self, roomy: list[Evidence], wanted: Wanted) -> Choice:
        score_by_group = {e.view.group: self._score(e) for e in roomy}
        least = min(score_by_group.values())
        if wanted.prefix:
            preferred = self._preferred(roomy, score_by_group, least, wanted)
            if preferred is not None:
                return _choice(preferred, "prefix affinity")
        tied = [e for e in roomy if score_by_group[e.view.group] <= least + 1e-9]
        best = self._rng.choice(tied)
        return _choice(best, f"least loaded of {len(roomy)}, score {least:.2f}")

    def _score(self, evidence: Evidence) -> float:
        """Return what groups are compared by: own requests, and others' by their weight."""
        view = evidence.view
        own = self.in_flight_by_group.get(view.group, 0)
        others = max(0, view.running + view.waiting - own)
        score = (own + OTHERS_WEIGHT * others) / view.capacity
        return score if evidence.data_centre == self.data_centre else score + FAR_PENALTY

    def _preferred(
        self,
        roomy: list[Evidence],
        score_by_group: dict[str, float],
        least: float,
        wanted: Wanted,
    ) -> Evidence | None:
        """Return a group that likely has the prefix cached, if it costs at most one place."""
        near = [e for e in roomy if e.data_centre == self.data_centre] or roomy
        by_group = {e.view.group: e for e in near}
        for group in rendezvous(wanted.prefix, by_group, 2):
            place = 1.0 / by_group[group].view.capacity
            score = score_by_group[group]
            if score <= least + place and score + place <= 1.0:
                return by_group[group]
        return None


def _rank(evidence: Evidence) -> tuple[int, int, float]:
    return evidence.owner_epoch, evidence.view.epoch, evidence.proven_at


def _offers(view: GroupView, wanted: Wanted) -> bool:
    spec = view.spec
    if spec.model != wanted.model:
        return False
    if wanted.version and spec.version != wanted.version:
        return False
    return not wanted.adapter or wanted.adapter in spec.adapters


def _choice(evidence: Evidence, reason: str) -> Choice:
    view = evidence.view
    return Choice(view.group, view.epoch, view.members[0], evidence.data_centre, reason)
