"""Selects the group for a request by evidence, load and prefix affinity. Does no I/O.

A group is a candidate only while fresh evidence shows that it is complete. The reported load of a
group is out of date. To decide whether the group is full, the requests that this entry host has
started since the report are added to it. To compare groups, this host's requests count in full and
those of other hosts in part.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from ..ownership import rendezvous
from ..types import GroupView, Member
from .completeness import EVIDENCE_MAX_AGE

REPORT_LAG = 0.5
"""Seconds by which the load that engines report lags."""

PEER_REQUEST_WEIGHT = 0.3
"""Weight of other hosts' requests, relative to this host's own, when groups are compared.

A report is about as old as a short request takes to run. At full weight, reports would make every
entry host choose the group that was idle a second ago. A host knows its own requests without delay.
"""

REMOTE_PENALTY = 0.35
"""Load added to a group of another data centre, as a fraction of its capacity."""

FULL_LOAD = 2.0
"""Ratio of estimated load to capacity at which a group gets no more requests: as many requests wait
as run."""

EJECT_SECONDS = 5.0
MAX_EJECTED_FRACTION = 1 / 3
"""Maximum fraction of a model's groups that is ejected, as overload can look like failure."""


class Evidence(NamedTuple):
    """The state of a group as known to this entry host.

    :param verified_at: local time for which the evidence holds: all members were probed after it
    """

    view: GroupView
    data_centre: str
    domain: str
    owner_epoch: int
    verified_at: float


class Requirements(NamedTuple):
    """Requirements of a request on its group. An empty version matches any."""

    model: str
    version: str = ""
    adapter: str = ""
    prefix: str = ""


class Choice(NamedTuple):
    """The chosen group and the reason for the choice."""

    group: str
    epoch: int
    head: Member
    data_centre: str
    reason: str

    @property
    def target(self) -> str:
        """Return the group with its epoch, so that a repaired group counts as a new target."""
        return target_id(self.group, self.epoch)


class NoChoice(NamedTuple):
    """Why no group was chosen.

    :param full: whether groups are available but at their load limit
    :param known: whether a group offers the model, even if it is not available
    """

    reason: str
    full: bool
    known: bool


def target_id(group: str, epoch: int) -> str:
    """Return the id of a group at one epoch, as recorded in the targets that a request tried."""
    return f"{group}@{epoch}"


class Router:
    """The groups that one entry host may send to.

    :param data_centre: of this entry host; groups of the same one are preferred
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
        """Store evidence, unless a newer owner, epoch or time is already stored."""
        group = evidence.view.group
        known = self.by_group.get(group)
        if known is not None and _rank(evidence) < _rank(known):
            return
        self.by_group[group] = evidence

    def forget_absent(self, domain: str, owner_epoch: int, groups: Iterable[str]) -> None:
        """Drop the groups of a domain that its owner no longer lists."""
        listed = set(groups)
        for group, known in list(self.by_group.items()):
            if known.domain == domain and group not in listed and known.owner_epoch <= owner_epoch:
                del self.by_group[group]
                self._starts.pop(group, None)
                self._ejected_until.pop(group, None)

    def stale(self, now: float, after: float) -> list[Evidence]:
        """Return the groups whose evidence is older than ``after`` seconds."""
        return [e for e in self.by_group.values() if now - e.verified_at > after]

    def may_send(self, group: str, epoch: int, now: float) -> bool:
        """Return whether a request may be sent to this group and epoch now.

        Checked immediately before sending: the process may have been paused since the choice, and
        the group may have lost a member meanwhile.
        """
        known = self.by_group.get(group)
        if known is None or known.view.epoch != epoch:
            return False
        # The owner of the domain checks the host list too. While the domain has no owner, a leaving
        # host would otherwise get new requests until another host takes the domain over.
        if any(m.host in self.leaving_hosts for m in known.view.members):
            return False
        return known.view.accepting and now - known.verified_at <= EVIDENCE_MAX_AGE

    def is_still_complete(self, group: str, epoch: int, now: float) -> bool:
        """Return whether requests in flight at a group may continue.

        The group may be leaving, but must be complete.
        """
        known = self.by_group.get(group)
        if known is None:
            return False
        if known.view.epoch != epoch or not known.view.complete:
            return False
        return now - known.verified_at <= 2 * EVIDENCE_MAX_AGE

    def choose(
        self, wanted: Requirements, now: float, exclude: frozenset[str] = frozenset()
    ) -> Choice | NoChoice:
        """Choose a group for a request.

        :param exclude: targets already tried for it, see :func:`target_id`
        """
        offering = [e for e in self.by_group.values() if _offers(e.view, wanted)]
        if not offering:
            return NoChoice(f"no group offers {wanted.model}", False, False)
        usable = [e for e in offering if self.may_send(e.view.group, e.view.epoch, now)]
        usable = [e for e in usable if target_id(e.view.group, e.view.epoch) not in exclude]
        usable = self._not_ejected(usable, now)
        if not usable:
            return NoChoice(f"none of {len(offering)} groups is whole", False, True)
        not_full = [e for e in usable if self._load(e, now) < FULL_LOAD]
        if not not_full:
            return NoChoice(f"all {len(usable)} whole groups are full", True, True)
        return self._pick(not_full, wanted)

    def started(self, group: str, now: float) -> None:
        """Record a request sent to a group."""
        self.in_flight_by_group[group] = self.in_flight_by_group.get(group, 0) + 1
        starts = self._starts.setdefault(group, deque())
        starts.append(now)
        while starts and starts[0] < now - EVIDENCE_MAX_AGE - REPORT_LAG:
            starts.popleft()

    def ended(self, group: str) -> None:
        """Record the end of a request at a group."""
        remaining = self.in_flight_by_group.get(group, 0) - 1
        if remaining > 0:
            self.in_flight_by_group[group] = remaining
        else:
            self.in_flight_by_group.pop(group, None)

    def eject(self, group: str, now: float) -> bool:
        """Temporarily exclude a failing group from new requests; return whether it was ejected."""
        known = self.by_group.get(group)
        if known is None:
            return False
        peers = [g for g, e in self.by_group.items() if e.view.spec.model == known.view.spec.model]
        ejected = sum(1 for g in peers if self._ejected_until.get(g, 0.0) > now and g != group)
        if (ejected + 1) > MAX_EJECTED_FRACTION * len(peers):
            return False
        self._ejected_until[group] = now + EJECT_SECONDS
        return True

    def _not_ejected(self, usable: list[Evidence], now: float) -> list[Evidence]:
        not_ejected = [e for e in usable if self._ejected_until.get(e.view.group, 0.0) <= now]
        return not_ejected or usable

    def _load(self, evidence: Evidence, now: float) -> float:
        view = evidence.view
        reported = view.running + view.waiting
        reported_until = evidence.verified_at - REPORT_LAG
        unreported = sum(1 for t in self._starts.get(view.group, ()) if t >= reported_until)
        own = self.in_flight_by_group.get(view.group, 0)
        load = max(own, reported + min(unreported, own)) / view.capacity
        return load if evidence.data_centre == self.data_centre else load + REMOTE_PENALTY

    def _pick(self, not_full: list[Evidence], wanted: Requirements) -> Choice:
        score_by_group = {e.view.group: self._score(e) for e in not_full}
        least = min(score_by_group.values())
        if wanted.prefix:
            preferred = self._preferred(not_full, score_by_group, least, wanted)
            if preferred is not None:
                return _make_choice(preferred, "prefix affinity")
        least_loaded = [e for e in not_full if score_by_group[e.view.group] <= least + 1e-9]
        best = self._rng.choice(least_loaded)
        return _make_choice(best, f"least loaded of {len(not_full)}, score {least:.2f}")

    def _score(self, evidence: Evidence) -> float:
        """Return the load for comparing groups: own requests plus weighted ones of other hosts."""
        view = evidence.view
        own = self.in_flight_by_group.get(view.group, 0)
        others = max(0, view.running + view.waiting - own)
        score = (own + PEER_REQUEST_WEIGHT * others) / view.capacity
        return score if evidence.data_centre == self.data_centre else score + REMOTE_PENALTY

    def _preferred(
        self,
        not_full: list[Evidence],
        score_by_group: dict[str, float],
        least: float,
        wanted: Requirements,
    ) -> Evidence | None:
        """Return a group that likely has the prefix cached, ``None`` if each has too much load.

        Its load may exceed that of the least loaded group by one request at most, and it must have
        capacity for one more request.
        """
        local = [e for e in not_full if e.data_centre == self.data_centre] or not_full
        by_group = {e.view.group: e for e in local}
        for group in rendezvous(wanted.prefix, by_group, 2):
            one_request = 1.0 / by_group[group].view.capacity
            score = score_by_group[group]
            if score <= least + one_request and score + one_request <= 1.0:
                return by_group[group]
        return None


def _rank(evidence: Evidence) -> tuple[int, int, float]:
    return evidence.owner_epoch, evidence.view.epoch, evidence.verified_at


def _offers(view: GroupView, wanted: Requirements) -> bool:
    spec = view.spec
    if spec.model != wanted.model:
        return False
    if wanted.version and spec.version != wanted.version:
        return False
    return not wanted.adapter or wanted.adapter in spec.adapters


def _make_choice(evidence: Evidence, reason: str) -> Choice:
    view = evidence.view
    return Choice(view.group, view.epoch, view.members[0], evidence.data_centre, reason)
