"""Evidence about groups that this entry host does not own, from their owners and its own probes.

The part of :class:`~.dispatch.RouterTask` without I/O: it turns messages into entries of the
:class:`~.router.Router`. An entry has the time at which the facts were observed, not the time at
which the message arrived.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..kernel import PeerMessage
from ..types import GroupRecord, GroupView, TimedReport
from .completeness import EVIDENCE_MAX_AGE, evaluate_group, view_of
from .messages import DomainEvidence, GroupState
from .router import Evidence, Router
from .skew import ClockOffsets

SELF_PROBE_AFTER = 1.7
"""Age of evidence, in seconds, at which an entry host probes the members itself, as their owner may
be gone."""

FLAG_COMPLETE = 2
FLAG_ACCEPTING = 1

FORGET_AFTER = 300.0
"""Age of evidence, in seconds, at which a group is forgotten."""


class DomainRecords(NamedTuple):
    """The groups of a domain as listed by its owner."""

    owner_epoch: int
    version: int
    records: tuple[GroupRecord, ...]


class EvidenceTracker:
    """Applies evidence to the router's view.

    :param router: the router to update
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        self.records_by_domain: dict[str, DomainRecords] = {}
        self.owner_by_domain: dict[str, str] = {}
        self.received_at_by_domain: dict[str, float] = {}
        self._offsets = ClockOffsets()

    def receive(self, body: DomainEvidence, envelope: PeerMessage) -> bool:
        """Apply a peer's evidence about a domain that it owns.

        Return whether the domain's records must be requested from the owner to interpret it.
        """
        self.owner_by_domain[body.domain] = envelope.sender
        self.received_at_by_domain[body.domain] = envelope.arrived
        sent_at = self._offsets.sent_at(
            envelope.sender, envelope.incarnation, envelope.stamp, envelope.arrived
        )
        self._store_records(body)
        # Until the sender's clock offset is known, the message may be old: it may have waited in
        # a socket.
        if sent_at is None:
            return False
        return not self.learn(body, sent_at)

    def learn(self, body: DomainEvidence, sent_at: float) -> bool:
        """Apply evidence whose ages are relative to the local time ``sent_at``.

        Return whether the records that its states refer to are known. Evidence that is older than
        the known records is ignored.
        """
        self._store_records(body)
        known = self.records_by_domain.get(body.domain)
        if known is None or (known.owner_epoch, known.version) < (body.owner_epoch, body.version):
            return False
        if (known.owner_epoch, known.version) > (body.owner_epoch, body.version):
            return True
        for record, state in zip(known.records, body.states, strict=True):
            self._apply_state(body, record, state, sent_at)
        self.router.forget_absent(body.domain, body.owner_epoch, [r.group for r in known.records])
        return True

    def to_probe(self, now: float) -> list[tuple[Evidence, GroupRecord]]:
        """Return the groups with stale evidence, and their records.

        Groups whose evidence is older than :data:`FORGET_AFTER` are dropped.
        """
        found = []
        for evidence in self.router.stale(now, SELF_PROBE_AFTER):
            view = evidence.view
            if now - evidence.verified_at > FORGET_AFTER:
                self.router.by_group.pop(view.group, None)
            else:
                found.append((evidence, _make_record(view)))
        return found

    def probed(
        self,
        evidence: Evidence,
        record: GroupRecord,
        report_by_host: Mapping[str, TimedReport],
        sent_at: float,
        now: float,
    ) -> None:
        """Apply the members' reports of this host's own probe of a group."""
        if not evaluate_group(record, report_by_host, now, EVIDENCE_MAX_AGE).complete:
            return
        view = view_of(record, report_by_host, frozenset(), now)
        # Only the owner knows of a drain; the members' reports do not show it.
        draining = evidence.view.complete and not evidence.view.accepting
        view = view._replace(accepting=view.accepting and not draining)
        self.router.learn(evidence._replace(view=view, verified_at=sent_at))

    def _store_records(self, body: DomainEvidence) -> None:
        """Store the records of a domain if the message contains them and they are newer.

        The owner epoch is compared before the version, because an owner that continued without
        saving may have reached a higher version than its successor.
        """
        if len(body.records) != len(body.states):
            return
        known = self.records_by_domain.get(body.domain)
        if known is None or (body.owner_epoch, body.version) > (known.owner_epoch, known.version):
            records = DomainRecords(body.owner_epoch, body.version, body.records)
            self.records_by_domain[body.domain] = records

    def _apply_state(
        self, body: DomainEvidence, record: GroupRecord, state: GroupState, sent_at: float
    ) -> None:
        self.router.learn(
            Evidence(
                _make_view(record, state),
                body.data_centre,
                body.domain,
                body.owner_epoch,
                sent_at - state.age_ms / 1000,
            )
        )


def state_of(view: GroupView) -> GroupState:
    """Return the frequently changing part of a view."""
    flags = FLAG_COMPLETE * view.complete + FLAG_ACCEPTING * view.accepting
    return GroupState(flags, view.age_ms, view.running, view.waiting, view.capacity)


def _make_view(record: GroupRecord, state: GroupState) -> GroupView:
    return GroupView(
        record.group,
        record.epoch,
        record.spec,
        record.members,
        bool(state.flags & FLAG_COMPLETE),
        bool(state.flags & FLAG_ACCEPTING),
        state.age_ms,
        state.running,
        state.waiting,
        state.capacity,
    )


def _make_record(view: GroupView) -> GroupRecord:
    return GroupRecord(view.group, view.epoch, view.spec, view.members)
