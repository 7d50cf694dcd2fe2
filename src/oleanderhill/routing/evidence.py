"""What an entry host knows of groups it does not own: evidence from owners and from own probes.

The pure half of :class:`~.dispatch.RouterTask`: it turns messages into entries of the
:class:`~.routing.Router`, dated by when their facts held and not by when they arrived.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..kernel import Received
from ..types import GroupRecord, GroupView, SeenReport
from .messages import DomainEvidence, GroupState
from .router import Evidence, Router
from .skew import ClockOffsets
from .wholeness import EVIDENCE_MAX_AGE, judge, view_of

SELF_PROBE_AFTER = 1.7
"""Age of evidence at which an entry host asks the members itself: their owner may be gone."""

WHOLE = 2
ACCEPTING = 1

FORGET_AFTER = 300.0
"""Age of evidence at which a group is forgotten."""


class DomainRecords(NamedTuple):
    """The groups of a domain as its owner listed them."""

    owner_epoch: int
    version: int
    records: tuple[GroupRecord, ...]


class EvidenceBook:
    """Keeps the router's view up to date.

    :param router: whose view it is
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        self.records_by_domain: dict[str, DomainRecords] = {}
        self.owner_by_domain: dict[str, str] = {}
        self.heard_at_by_domain: dict[str, float] = {}
        self._offsets = ClockOffsets()

    def receive(self, body: DomainEvidence, envelope: Received) -> bool:
        """Take in what a peer found at a domain that it owns.

        Return whether its records are needed to understand it.
        """
        self.owner_by_domain[body.domain] = envelope.sender
        self.heard_at_by_domain[body.domain] = envelope.arrived
        sent_at = self._offsets.sent_at(
            envelope.sender, envelope.incarnation, envelope.stamp, envelope.arrived
        )
        self._keep(body)
        # Until the sender's clock is known, its message may have lain in a socket for long.
        if sent_at is None:
            return False
        return not self.learn(body, sent_at)

    def learn(self, body: DomainEvidence, sent_at: float) -> bool:
        """Take in evidence whose ages refer to the local time ``sent_at``.

        Return whether its states could be understood.
        """
        self._keep(body)
        held = self.records_by_domain.get(body.domain)
        if held is None or (held.owner_epoch, held.version) < (body.owner_epoch, body.version):
            return False
        if (held.owner_epoch, held.version) > (body.owner_epoch, body.version):
            return True
        for record, state in zip(held.records, body.states, strict=True):
            self._learn_one(body, record, state, sent_at)
        self.router.forget_absent(body.domain, body.owner_epoch, [r.group for r in held.records])
        return True

    def to_probe(self, now: float) -> list[tuple[Evidence, GroupRecord]]:
        """Return the groups whose evidence is growing stale, with their records."""
        found = []
        for evidence in self.router.stale(now, SELF_PROBE_AFTER):
            view = evidence.view
            if now - evidence.proven_at > FORGET_AFTER:
                self.router.by_group.pop(view.group, None)
            else:
                found.append((evidence, _record(view)))
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

    def _keep(self, body: DomainEvidence) -> None:
        """Keep the newest records of a domain, by its owner first.

        An owner that went on unsaved may have counted versions above those of its successor.
        """
        if len(body.records) != len(body.states):
            return
        held = self.records_by_domain.get(body.domain)
        if held is None or (body.owner_epoch, body.version) > (held.owner_epoch, held.version):
            records = DomainRecords(body.owner_epoch, body.version, body.records)
            self.records_by_domain[body.domain] = records

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
    flags = WHOLE * view.whole + ACCEPTING * view.accepting
    return GroupState(flags, view.age_ms, view.running, view.waiting, view.capacity)


def _view(record: GroupRecord, state: GroupState) -> GroupView:
    return GroupView(
        record.group,
        record.epoch,
        record.spec,
        record.members,
        bool(state.flags & WHOLE),
        bool(state.flags & ACCEPTING),
        state.age_ms,
        state.running,
        state.waiting,
        state.capacity,
    )


def _record(view: GroupView) -> GroupRecord:
    return GroupRecord(view.group, view.epoch, view.spec, view.members)
