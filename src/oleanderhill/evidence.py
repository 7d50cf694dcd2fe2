"""What an entry host knows of groups it does not own: evidence from owners and from own probes.

The pure half of :class:`~.dispatch.RouterTask`: it turns messages into entries of the
:class:`~.routing.Router`, dated by when their facts held and not by when they arrived.
"""

from __future__ import annotations

from collections.abc import Mapping

from .kernel import Received
from .messages import DomainEvidence, GroupState
from .routing import Evidence, Router
from .skew import ClockOffsets
from .types import GroupRecord, GroupView, SeenReport
from .wholeness import EVIDENCE_MAX_AGE, judge, view_of

SELF_PROBE_AFTER = 1.2
"""Age of evidence at which an entry host asks the members itself: their owner may be gone."""

FORGET_AFTER = 300.0
"""Age of evidence at which a group is forgotten."""


class EvidenceBook:
    """Keeps the router's view up to date.

    :param router: whose view it is
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        self.record_by_group: dict[str, GroupRecord] = {}
        self._kept_rank: dict[str, tuple[int, int]] = {}
        self.owner_by_domain: dict[str, str] = {}
        self.heard_at_by_domain: dict[str, float] = {}
        self._offsets = ClockOffsets()

    def receive(self, body: DomainEvidence, envelope: Received) -> None:
        """Take in what a peer found at a domain that it owns."""
        self.owner_by_domain[body.domain] = envelope.sender
        self.heard_at_by_domain[body.domain] = envelope.arrived
        sent_at = self._offsets.sent_at(
            envelope.sender, envelope.incarnation, envelope.stamp, envelope.arrived
        )
        # Until the sender's clock is known, its message may have lain in a socket for long.
        if sent_at is None:
            self._keep(body.owner_epoch, body.records)
        else:
            self.learn(body, body.records, sent_at)

    def learn(self, body: DomainEvidence, records: tuple[GroupRecord, ...], sent_at: float) -> None:
        """Take in evidence whose ages refer to the local time ``sent_at``."""
        self._keep(body.owner_epoch, records)
        for state in body.states:
            record = self.record_by_group.get(state.group)
            if record is not None and record.epoch == state.epoch:
                self._learn_one(body, record, state, sent_at)
        self.router.forget_absent(body.domain, body.owner_epoch, [s.group for s in body.states])

    def to_probe(self, now: float) -> list[tuple[Evidence, GroupRecord]]:
        """Return the groups whose evidence is growing stale, with their records."""
        found = []
        for evidence in self.router.stale(now, SELF_PROBE_AFTER):
            group = evidence.view.group
            if now - evidence.proven_at > FORGET_AFTER:
                self.router.by_group.pop(group, None)
            elif group in self.record_by_group:
                found.append((evidence, self.record_by_group[group]))
        return found

    def probed(
        self,
        evidence: Evidence,
        record: GroupRecord,
        seen_by_host: Mapping[str, SeenReport],
        sent_at: float,
        now: float,
    ) -> None:
        """Take in the reports of an own probe of a group's members."""
        if not judge(record, seen_by_host, now, EVIDENCE_MAX_AGE).whole:
            return
        view = view_of(record, seen_by_host, frozenset(), now)
        # A drain is known to the owner alone; the members' reports don't show it.
        closing = evidence.view.whole and not evidence.view.accepting
        view = view._replace(accepting=view.accepting and not closing)
        self.router.learn(evidence._replace(view=view, proven_at=sent_at))

    def forget(self, group: str) -> None:
        """Drop the record of a group that is gone."""
        self.record_by_group.pop(group, None)
        self._kept_rank.pop(group, None)

    def _keep(self, owner_epoch: int, records: tuple[GroupRecord, ...]) -> None:
        """Keep the newest record of each group, by its owner first.

        An owner that went on unsaved may have used group epochs above those of its successor.
        """
        for record in records:
            rank = (owner_epoch, record.epoch)
            if rank >= self._kept_rank.get(record.group, (0, 0)):
                self._kept_rank[record.group] = rank
                self.record_by_group[record.group] = record

    def _learn_one(
        self, body: DomainEvidence, record: GroupRecord, state: GroupState, sent_at: float
    ) -> None:
        self.router.learn(
            Evidence(
                _view(record, state),
                body.data_centre,
                body.domain,
                body.owner_epoch,
                sent_at - state.age_ms / 1000,
            )
        )


def state_of(view: GroupView) -> GroupState:
    """Return the part of a view that changes often."""
    return GroupState(
        view.group,
        view.epoch,
        view.whole,
        view.accepting,
        view.age_ms,
        view.running,
        view.waiting,
        view.capacity,
    )


def _view(record: GroupRecord, state: GroupState) -> GroupView:
    return GroupView(
        record.group,
        record.epoch,
        record.spec,
        record.members,
        state.whole,
        state.accepting,
        state.age_ms,
        state.running,
        state.waiting,
        state.capacity,
    )
