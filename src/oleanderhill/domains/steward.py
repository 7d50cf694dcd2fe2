"""The controller of one fabric domain: ownership, placement and orders as a pure state machine.

It consumes events and returns effects, which the task in :mod:`.stewards` performs. A domain has
at most one store call in flight. All decisions are level-triggered: after a failure or a lost
response the ledger is read again and decisions are made anew from the current state.

During a store outage the owner of a domain whose engines check fencing numbers continues to repair
groups, using a ledger in memory (*unsaved*), and writes it when the store is available again. If
another owner has taken over meanwhile, its orders carry a higher number and its ledger prevails.
Where engines ignore the number, no order is sent without a recent confirmation by the store.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from .. import ownership as owners
from ..ownership import Ownership, OwnershipStatus
from ..routing.completeness import EVIDENCE_MAX_AGE, view_of
from ..routing.evidence import state_of
from ..routing.messages import DomainEvidence
from ..types import DomainLedger, GroupPhase, GroupView, Order, WantedGroup
from . import ledger as ledgers
from . import placement
from .host_reports import HostWatch
from .order_log import OrderLog
from .orders import DueOrder, OrderKey, due_orders, order_key
from .placement import Policy, Situation
from .stewardship import (
    Decided,
    Effect,
    LedgerAnswer,
    ReadLedger,
    RequestTicket,
    SendOrder,
    StoreEvent,
    StoreFailed,
    SwapAnswer,
    SwapLedger,
    decode_ledger,
    encode_ledger,
)

TICK = 0.5
"""Seconds between ticks."""

PAUSE_THRESHOLD = 1.5
"""Seconds between two ticks above which the process counts as having been paused."""

FIRST_PROBE_ROUND = 1.3
"""Seconds until every live host has answered a probe: one tick plus the timeout of a probe."""

IDLE_CONFIRM_INTERVAL = 10.0
"""Seconds between confirmations of ownership while no orders are due."""

ACTIVE_CONFIRM_INTERVAL = 0.8
"""Seconds between confirmations of ownership while orders are due."""

STORE_RETRY_DELAY = 1.0
"""Seconds before a failed store call is retried, multiplied by the number of consecutive failures,
up to five seconds."""

RETAKE_DELAY = 30.0
"""Seconds before a displaced owner tries to take over again; doubles each time it is displaced."""

OWNER_TIMEOUT = 8.0
"""Seconds without evidence from a live owner after which another entry host takes over."""

MAX_RETAKE_DELAY = 480.0
"""Upper bound of the delay in seconds before a displaced owner tries to take over again."""


class DomainSteward:
    """Controls one domain on behalf of one entry host.

    :param me: name of this entry host
    :param incarnation: distinguishes this process from earlier ones of the same name
    :param fencing: whether the domain's engines check fencing numbers
    """

    def __init__(
        self, me: str, incarnation: str, domain: str, policy: Policy, fencing: bool = True
    ) -> None:
        self.me = me
        self.domain = domain
        self.policy = policy
        self.fencing = fencing
        self.watch = HostWatch()
        self.wanted: tuple[WantedGroup, ...] = ()
        self.incarnation_by_host: Mapping[str, str] = {}
        self.settled = False
        self.owner_evidence_at = float("-inf")
        self.ledger = DomainLedger(domain)
        self.ownership_state = Ownership(domain)
        self.unsaved = False
        self._incarnation = incarnation
        self._index = 0
        self._ledger_read = False
        self._observed_owner = ("", 0)
        self._owner_observed_since = 0.0
        self._call_started: float | None = None
        self._write_in_flight: DomainLedger | None = None
        self._next_store_call = 0.0
        self._next_take_over = 0.0
        self._retake_delay = RETAKE_DELAY
        self._take_over_attempts = 0
        self._last_tick: float | None = None
        self._watching_since = 0.0
        self._broken_since: dict[str, float] = {}
        self._draining_since: dict[str, float] = {}
        self._order_log = OrderLog()
        self._failures = 0
        self._order_withheld = False

    # Inputs

    def apply_ticket(self, key: OrderKey, wait: float, now: float) -> None:
        """Apply the answer to a ticket request: granted or, if ``wait`` > 0, to be retried."""
        self._order_log.apply_ticket(key, wait, now)

    def apply_store_event(self, event: StoreEvent, now: float) -> list[Effect]:
        """Apply the result of the store call in flight and return the resulting effects."""
        started = self._call_started if self._call_started is not None else now
        self._call_started = None
        match event:
            case LedgerAnswer(value, index):
                return self._apply_read(value, index, started, now)
            case SwapAnswer(done):
                return self._apply_swap(done, started, now)
            case StoreFailed(wrote):
                return self._store_failed(wrote, now)
        return []

    def release_ownership(self) -> None:
        """Give up the domain permanently; another entry host takes over once this one has left."""
        self.ownership_state = owners.after_loss(self.ownership_state)
        self._next_take_over = float("inf")

    # Outputs

    @property
    def owned(self) -> bool:
        """Return whether this entry host owns the domain, as far as it knows."""
        return self.ownership_state.owned

    def may_send(self, order: Order, now: float) -> bool:
        """Return whether an order may be sent now."""
        if order.fence[0] != self.ownership_state.epoch:
            return False
        if self.fencing:
            return owners.ownership_status(self.ownership_state, now) == OwnershipStatus.OWNER
        return owners.may_order(self.ownership_state, now)

    def views(self, now: float) -> list[GroupView]:
        """Return the current state of each group of the domain."""
        leaving = self.watch.leaving()
        return [
            view_of(record, self.watch.report_by_host, leaving, now)
            for record in self.ledger.groups.values()
        ]

    def evidence(self, data_centre: str, now: float, full: bool) -> DomainEvidence:
        """Return the evidence about the domain to send to entry hosts.

        :param full: whether to include the group records in addition to the states
        """
        return DomainEvidence(
            self.domain,
            data_centre,
            self.ownership_state.epoch,
            self.ledger.version,
            tuple(state_of(v) for v in self.views(now)),
            tuple(self.ledger.groups.values()) if full else (),
            self.watch.usable(now),
        )

    def may_publish(self, now: float) -> bool:
        """Return whether the hosts have been observed for long enough to publish evidence.

        A new owner, or one that resumes from a pause, has no fresh reports. Its evidence would
        close every group of the domain at every entry host until its probes are answered.
        """
        return now - self._watching_since > FIRST_PROBE_ROUND

    def tick(self, now: float) -> list[Effect]:
        """Advance the state to ``now`` and return the effects that are due."""
        self._notice_pause(now)
        if not self.ownership_state.owned:
            return self._try_take_over(now)
        self._update_timers(now)
        effects: list[Effect] = []
        if owners.ownership_status(
            self.ownership_state, now
        ) == OwnershipStatus.OWNER and self._reports_are_fresh(now):
            effects.extend(self._place(now))
        orders = self._send_due_orders(now)
        effects.extend(orders)
        effects.extend(self._confirm_ownership(now, bool(orders) or self._order_withheld))
        return effects

    # Ownership

    def _try_take_over(self, now: float) -> list[Effect]:
        """Start a take-over if this host should own the domain and no owner sends evidence."""
        if not self.settled or not owners.should_own(
            self.domain, self.me, self.incarnation_by_host
        ):
            return []
        if now < self._next_take_over or self._store_busy(now):
            return []
        if now - self.owner_evidence_at < OWNER_TIMEOUT / 2:
            return []
        return self._call_read(now)

    def _apply_read(self, value: bytes, index: int, started: float, now: float) -> list[Effect]:
        self._failures = 0
        try:
            found = decode_ledger(value, self.domain)
        except msgspec.DecodeError as error:
            self._next_store_call = now + STORE_RETRY_DELAY
            return [Decided("fault", self.domain, f"malformed ledger: {error}")]
        if self._ledger_read and ledgers.ordering_key(found) < ledgers.ordering_key(self.ledger):
            return self._rewrite_older_store(found, index, now)
        self._index = index
        self._ledger_read = True
        if not self.ownership_state.owned:
            self.ledger = found
            return self._take_over(found, now)
        if found.owner != self.me or found.owner_epoch != self.ownership_state.epoch:
            return self._apply_displacement(found, now)
        self.ownership_state = owners.after_confirmation(self.ownership_state, started)
        self.ledger = found
        return []

    def _rewrite_older_store(self, found: DomainLedger, index: int, now: float) -> list[Effect]:
        """Handle a store that was restored from an older copy.

        The newer ledger in memory takes precedence: the owner writes it back, and another entry
        host bases a take-over on it.
        """
        self._index = index
        if self.unsaved:
            return []
        text = (
            f"store has version {ledgers.ordering_key(found)}, "
            f"last seen {ledgers.ordering_key(self.ledger)}"
        )
        if not self.ownership_state.owned:
            return [Decided("fault", self.domain, text), *self._take_over(self.ledger, now)]
        self.unsaved = True
        return [Decided("fault", self.domain, text + "; writing the newer ledger back")]

    def _take_over(self, found: DomainLedger, now: float) -> list[Effect]:
        ours = found.owner == self.me and found.write_id == self._write_id()
        if ours and self._take_over_attempts:
            return self._apply_take_over(found, now)
        # A live owner keeps its domain even if another host should own it by the hash: during the
        # take-over wait no group would be repaired.
        if self._owner_is_active(found, now):
            self._next_take_over = now + IDLE_CONFIRM_INTERVAL
            return []
        self._take_over_attempts += 1
        wanted = ledgers.with_owner(found, self.me, self._incarnation)._replace(
            write_id=self._write_id()
        )
        return self._call_swap(wanted, now)

    def _owner_is_active(self, found: DomainLedger, now: float) -> bool:
        """Return whether the owner named in the ledger is alive and acts as the owner.

        A live host of that name is not sufficient: a restarted host no longer knows what it owned.
        Neither is the same incarnation: if its take-over was written after the call had timed out,
        it doesn't know that it is the owner. It must therefore also send evidence.
        """
        if found.owner == self.me:
            return False
        if self.incarnation_by_host.get(found.owner) != found.owner_incarnation:
            return False
        owner = (found.owner, found.owner_epoch)
        if owner != self._observed_owner:
            self._observed_owner, self._owner_observed_since = owner, now
        return now - max(self._owner_observed_since, self.owner_evidence_at) < OWNER_TIMEOUT

    def _write_id(self) -> str:
        return f"{self.me}/{self._incarnation}/{self._take_over_attempts}"

    def _apply_take_over(self, ledger: DomainLedger, now: float) -> list[Effect]:
        self.ledger = ledger
        self.ownership_state = owners.after_take_over(self.domain, ledger.owner_epoch, now, now)
        self.unsaved = False
        self._watching_since = now
        self._broken_since = dict.fromkeys(ledger.groups, now)
        self._draining_since = {}
        self._order_log.clear_sent()
        text = f"took over at owner epoch {ledger.owner_epoch}"
        return [Decided("own", self.domain, text), *self._call_read(now)]

    def _apply_displacement(self, found: DomainLedger, now: float) -> list[Effect]:
        self.ownership_state = owners.after_loss(self.ownership_state)
        self.ledger = found
        self.unsaved = False
        # Two entry hosts that reach the store but not each other would otherwise displace each
        # other endlessly, and neither would complete the take-over wait and repair any group.
        self._next_take_over = now + self._retake_delay
        self._retake_delay = min(MAX_RETAKE_DELAY, 2 * self._retake_delay)
        return [
            Decided(
                "own", self.domain, f"displaced by {found.owner} at owner epoch {found.owner_epoch}"
            )
        ]

    def _confirm_ownership(self, now: float, active: bool) -> list[Effect]:
        if self._store_busy(now):
            return []
        if self.unsaved:
            return self._call_swap(self.ledger, now)
        age = now - self.ownership_state.confirmed_at
        if age < (ACTIVE_CONFIRM_INTERVAL if active else IDLE_CONFIRM_INTERVAL):
            return []
        return self._call_read(now)

    # Store calls

    def _store_busy(self, now: float) -> bool:
        return self._call_started is not None or now < self._next_store_call

    def _call_read(self, now: float) -> list[Effect]:
        self._call_started = now
        self._write_in_flight = None
        return [ReadLedger(self.domain)]

    def _call_swap(self, ledger: DomainLedger, now: float) -> list[Effect]:
        self._call_started = now
        self._write_in_flight = ledger
        return [SwapLedger(self.domain, encode_ledger(ledger), self._index)]

    def _apply_swap(self, done: bool, started: float, now: float) -> list[Effect]:
        written, self._write_in_flight = self._write_in_flight, None
        if not done or written is None:
            return self._call_read(now)
        if not self.ownership_state.owned:
            return self._apply_take_over(written, now)
        self.ownership_state = owners.after_confirmation(self.ownership_state, started)
        if self.unsaved:
            self.unsaved = self.ledger is not written
        else:
            self.ledger = written
        return self._call_read(now)

    def _store_failed(self, wrote: bool, now: float) -> list[Effect]:
        self._failures += 1
        self._next_store_call = now + min(5.0, STORE_RETRY_DELAY * self._failures)
        written, self._write_in_flight = self._write_in_flight, None
        if not wrote or written is None or not self.ownership_state.owned:
            return []
        if not self.fencing:
            return []
        if not self.unsaved:
            self.ledger = written
            self.unsaved = True
            return [
                Decided(
                    "own",
                    self.domain,
                    "store unavailable; continuing unsaved, engines check fencing numbers",
                )
            ]
        return []

    # Placement

    def _notice_pause(self, now: float) -> None:
        """Restart the observation of hosts and groups after a pause of this process.

        After a pause all reports are old and every member looks silent. Without a new observation
        period the owner would repair every group as soon as it resumes.
        """
        if self._last_tick is not None and now - self._last_tick > PAUSE_THRESHOLD:
            self._watching_since = now
            self._broken_since = dict.fromkeys(self.ledger.groups, now)
        self._last_tick = now

    def _reports_are_fresh(self, now: float) -> bool:
        return now - self._watching_since > EVIDENCE_MAX_AGE

    def _update_timers(self, now: float) -> None:
        """Update since when groups have not been accepting requests, or have been draining."""
        for view in self.views(now):
            if view.accepting or view.group not in self._broken_since:
                self._broken_since[view.group] = now
            if self.ledger.groups[view.group].phase == GroupPhase.DRAINING:
                self._draining_since.setdefault(view.group, now)
        for times in (self._broken_since, self._draining_since):
            for group in [g for g in times if g not in self.ledger.groups]:
                del times[group]

    def situation(self, now: float) -> Situation:
        """Return the input of placement."""
        return Situation(
            now,
            self.ledger,
            self.wanted,
            self.watch.entry_by_host,
            self.watch.report_by_host,
            self.watch.empty_since,
            self._broken_since,
            self._draining_since,
            self.policy,
        )

    def _place(self, now: float) -> list[Effect]:
        waits_for_store = self._write_in_flight is not None or (
            self._store_busy(now) and not self.unsaved
        )
        if waits_for_store:
            return []
        actions = placement.decide(self.situation(now))
        if not actions:
            return []
        wanted = self.ledger._replace(version=self.ledger.version + 1)
        notes: list[Effect] = []
        for action in actions:
            wanted = placement.apply(wanted, action)
            notes.append(_describe_action(self.domain, action))
        if self.unsaved:
            self.ledger = wanted
            return notes
        return [*notes, *self._call_swap(wanted, now)]

    # Orders

    def _send_due_orders(self, now: float) -> list[Effect]:
        if self._write_in_flight is not None and not self.unsaved:
            return []
        self._order_withheld = False
        self._order_log.prune(self.ledger, now)
        sent_at = self._order_log.sent_at
        found = due_orders(
            self.ledger, self.watch.entry_by_host, self.watch.report_by_host, sent_at, now
        )
        effects: list[Effect] = []
        for item in found:
            effects.extend(self._send_order(item, now))
        return effects

    def _send_order(self, item: DueOrder, now: float) -> list[Effect]:
        key = order_key(item.order)
        if item.read_gb > 0 and not self._order_log.has_ticket(key):
            should_ask = self._order_log.start_request(key, now)
            return [RequestTicket(key, item.read_gb)] if should_ask else []
        self.ownership_state, fence = owners.next_fencing_number(self.ownership_state)
        order = item.order._replace(fence=fence)
        if not self.may_send(order, now):
            self._order_withheld = True
            return []
        self._order_log.record_sent(key, now)
        if order.kind == "load":
            self.watch.expect_load(order.host, now)
        text = f"{order.kind} {order.group} epoch {order.epoch} rank {order.rank}"
        return [SendOrder(order), Decided("order", order.host, text, (order.group,))]


def _describe_action(domain: str, action: placement.Action) -> Decided:
    match action:
        case placement.Form(wanted, members, reason):
            hosts = " ".join(m.host for m in members)
            return Decided("place", wanted.group, f"form on {hosts}: {reason}", (domain,))
        case placement.Rebind(group, members, reason):
            hosts = " ".join(m.host for m in members)
            return Decided("place", group, f"now on {hosts}: {reason}", (domain,))
        case placement.Drain(group, reason):
            return Decided("place", group, f"drain: {reason}", (domain,))
        case placement.Dissolve(group, reason):
            return Decided("place", group, f"dissolve: {reason}", (domain,))
