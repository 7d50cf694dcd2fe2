"""The steward of one fabric domain: ownership, placement and orders as one pure state machine.

Events go in, effects come out; the shell in :mod:`.stewards` carries the effects out. At most one
store call of a domain is in flight. All decisions are level-triggered: after a failure or a lost
answer the ledger is read again and everything is decided afresh from what is there.

During a store outage the owner of a domain whose engines check fencing numbers goes on repairing
against a ledger in memory (*unsaved*), and writes it when the store is back. Should another owner
have taken over meanwhile, its orders carry a higher number and its ledger wins. Where engines
ignore the number, no order is sent without a confirmation by the store.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from .. import ownership as owners
from ..ownership import Ownership, Standing
from ..routing.evidence import state_of
from ..routing.messages import DomainEvidence
from ..routing.wholeness import EVIDENCE_MAX_AGE, view_of
from ..types import DomainLedger, GroupPhase, GroupView, Order, WantedGroup
from . import ledger as ledgers
from . import placement
from .hostwatch import HostWatch
from .order_log import OrderLog
from .orders import Due, OrderKey, due, order_key
from .placement import Policy, Situation
from .stewardship import (
    AskTicket,
    Decided,
    Effect,
    LedgerAnswer,
    ReadLedger,
    SendOrder,
    StoreEvent,
    StoreFailed,
    SwapAnswer,
    SwapLedger,
    decode_ledger,
    encode_ledger,
)

TICK = 0.5
GAP = 1.5
"""Seconds between ticks that mean this process was paused."""

FIRST_ROUND = 1.3
"""Seconds in which every host that is there has answered a probe: one tick and a probe's limit."""

IDLE_CONFIRM = 10.0
"""Seconds between reads of the ledger while nothing is to be done."""

ACTIVE_CONFIRM = 0.8
RETRY_STORE = 1.0
DISPLACED_WAIT = 30.0
"""Seconds a displaced owner waits before it takes the domain back; doubled each time."""

OWNER_SILENT = 8.0
"""Seconds without evidence from a live owner after which another takes the domain."""

DISPLACED_MAX = 480.0


class DomainSteward:
    """What one entry host knows and does about one domain.

    :param me: name of this entry host
    :param life: tells this process from an earlier one of the same name
    :param fencing: the domain's engines check fencing numbers
    """

    def __init__(
        self, me: str, life: str, domain: str, policy: Policy, fencing: bool = True
    ) -> None:
        self.me = me
        self.domain = domain
        self.policy = policy
        self.fencing = fencing
        self.watch = HostWatch()
        self.wanted: tuple[WantedGroup, ...] = ()
        self.life_by_live: Mapping[str, str] = {}
        self.settled = False
        self.owner_heard_at = float("-inf")
        self.ledger = DomainLedger(domain)
        self.mine = Ownership(domain)
        self.unsaved = False
        self._life = life
        self._index = 0
        self._read_once = False
        self._named = ("", 0)
        self._named_at = 0.0
        self._call_started: float | None = None
        self._writing: DomainLedger | None = None
        self._next_store = 0.0
        self._next_take = 0.0
        self._displaced = DISPLACED_WAIT
        self._takes = 0
        self._last_tick: float | None = None
        self._watching_since = 0.0
        self._broken_since: dict[str, float] = {}
        self._draining_since: dict[str, float] = {}
        self._sendings = OrderLog()
        self._failures = 0
        self._held_order = False

    # Inputs

    def ticket(self, key: OrderKey, wait: float, now: float) -> None:
        """Take in the weight store's answer: load now, or ask again after ``wait`` seconds."""
        self._sendings.ticket(key, wait, now)

    def store(self, event: StoreEvent, now: float) -> list[Effect]:
        """Take in the answer to the store call in flight."""
        started = self._call_started if self._call_started is not None else now
        self._call_started = None
        match event:
            case LedgerAnswer(value, index):
                return self._read(value, index, started, now)
            case SwapAnswer(done):
                return self._swapped(done, started, now)
            case StoreFailed(wrote):
                return self._store_failed(wrote, now)
        return []

    def cede(self) -> None:
        """Stop owning the domain; another entry host takes it once this one has left."""
        self.mine = owners.lost(self.mine)
        self._next_take = float("inf")

    # Outputs

    @property
    def owned(self) -> bool:
        """Tell whether this entry host believes that it owns the domain."""
        return self.mine.owned

    def may_send(self, order: Order, now: float) -> bool:
        """Tell whether an order may leave at this very moment."""
        if order.fence[0] != self.mine.epoch:
            return False
        if self.fencing:
            return owners.standing(self.mine, now) == Standing.OWNER
        return owners.may_order(self.mine, now)

    def views(self, now: float) -> list[GroupView]:
        """Return what to tell entry hosts about the domain's groups."""
        leaving = self.watch.leaving()
        return [
            view_of(record, self.watch.seen_by_host, leaving, now)
            for record in self.ledger.groups.values()
        ]

    def evidence(self, data_centre: str, now: float, full: bool) -> DomainEvidence:
        """Return what to tell entry hosts about the domain.

        :param full: with the full records, not only the states
        """
        return DomainEvidence(
            self.domain,
            data_centre,
            self.mine.epoch,
            self.ledger.version,
            tuple(state_of(v) for v in self.views(now)),
            tuple(self.ledger.groups.values()) if full else (),
            self.watch.usable(now),
        )

    def can_tell(self, now: float) -> bool:
        """Tell whether the hosts have been watched for long enough to say who is missing.

        A new owner, or one that wakes from a pause, has no fresh reports. Its evidence would
        close every group of the domain at every entry host until its probes are back.
        """
        return now - self._watching_since > FIRST_ROUND

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        self._notice_pause(now)
        if not self.mine.owned:
            return self._seek(now)
        self._age(now)
        effects: list[Effect] = []
        if owners.standing(self.mine, now) == Standing.OWNER and self._watched_enough(now):
            effects.extend(self._place(now))
        orders = self._order(now)
        effects.extend(orders)
        effects.extend(self._confirm(now, bool(orders) or self._held_order))
        return effects

    # Ownership

    def _seek(self, now: float) -> list[Effect]:
        """Take the domain if membership suggests it and its owner is not there."""
        if not self.settled or not owners.should_own(self.domain, self.me, self.life_by_live):
            return []
        if now < self._next_take or self._busy(now):
            return []
        if now - self.owner_heard_at < OWNER_SILENT / 2:
            return []
        return self._call_read(now)

    def _read(self, value: bytes, index: int, started: float, now: float) -> list[Effect]:
        self._failures = 0
        try:
            found = decode_ledger(value, self.domain)
        except msgspec.DecodeError as error:
            self._next_store = now + RETRY_STORE
            return [Decided("fault", self.domain, f"malformed ledger: {error}")]
        if self._read_once and ledgers.age_of(found) < ledgers.age_of(self.ledger):
            return self._set_back(found, index, now)
        self._index = index
        self._read_once = True
        if not self.mine.owned:
            self.ledger = found
            return self._take(found, now)
        if found.owner != self.me or found.owner_epoch != self.mine.epoch:
            return self._lose(found, now)
        self.mine = owners.confirmed(self.mine, started)
        self.ledger = found
        return []

    def _set_back(self, found: DomainLedger, index: int, now: float) -> list[Effect]:
        """The store came back with an older copy: a value we saw outranks what it holds now."""
        self._index = index
        if self.unsaved:
            return []
        text = f"store holds version {ledgers.age_of(found)}, seen {ledgers.age_of(self.ledger)}"
        if not self.mine.owned:
            return [Decided("fault", self.domain, text), *self._take(self.ledger, now)]
        self.unsaved = True
        return [Decided("fault", self.domain, text + "; writing ours back")]

    def _take(self, found: DomainLedger, now: float) -> list[Effect]:
        ours = found.owner == self.me and found.write_id == self._write_id()
        if ours and self._takes:
            return self._taken(found, now)
        # A live owner keeps its domain: moving it for balance would pause repairs for the wait.
        if self._owner_acts(found, now):
            self._next_take = now + IDLE_CONFIRM
            return []
        self._takes += 1
        wanted = ledgers.taken(found, self.me, self._life)._replace(write_id=self._write_id())
        return self._call_swap(wanted, now)

    def _owner_acts(self, found: DomainLedger, now: float) -> bool:
        """Tell whether the owner named in the ledger is there and acts as one.

        A restarted owner knows nothing of what it owned, so its name alone is not enough. Nor is
        its life: its take-over may have landed after it gave the write up, and then it does not
        know that it owns. So it must also be heard of, as the sender of evidence.
        """
        if found.owner == self.me:
            return False
        if self.life_by_live.get(found.owner) != found.owner_life:
            return False
        named = (found.owner, found.owner_epoch)
        if named != self._named:
            self._named, self._named_at = named, now
        return now - max(self._named_at, self.owner_heard_at) < OWNER_SILENT

    def _write_id(self) -> str:
        return f"{self.me}/{self._life}/{self._takes}"

    def _taken(self, ledger: DomainLedger, now: float) -> list[Effect]:
        self.ledger = ledger
        self.mine = owners.took(self.domain, ledger.owner_epoch, now, now)
        self.unsaved = False
        self._watching_since = now
        self._broken_since = dict.fromkeys(ledger.groups, now)
        self._draining_since = {}
        self._sendings.forget_sendings()
        text = f"took it at owner epoch {ledger.owner_epoch}"
        return [Decided("own", self.domain, text), *self._call_read(now)]

    def _lose(self, found: DomainLedger, now: float) -> list[Effect]:
        self.mine = owners.lost(self.mine)
        self.ledger = found
        self.unsaved = False
        # Two entry hosts that see the store but not each other would take the domain from each
        # other for ever, and nobody would ever get past the wait to repair anything.
        self._next_take = now + self._displaced
        self._displaced = min(DISPLACED_MAX, 2 * self._displaced)
        return [Decided("own", self.domain, f"lost it to {found.owner} at {found.owner_epoch}")]

    def _confirm(self, now: float, active: bool) -> list[Effect]:
        if self._busy(now):
            return []
        if self.unsaved:
            return self._call_swap(self.ledger, now)
        age = now - self.mine.confirmed_at
        if age < (ACTIVE_CONFIRM if active else IDLE_CONFIRM):
            return []
        return self._call_read(now)

    # Store calls

    def _busy(self, now: float) -> bool:
        return self._call_started is not None or now < self._next_store

    def _call_read(self, now: float) -> list[Effect]:
        self._call_started = now
        self._writing = None
        return [ReadLedger(self.domain)]

    def _call_swap(self, ledger: DomainLedger, now: float) -> list[Effect]:
        self._call_started = now
        self._writing = ledger
        return [SwapLedger(self.domain, encode_ledger(ledger), self._index)]

    def _swapped(self, done: bool, started: float, now: float) -> list[Effect]:
        written, self._writing = self._writing, None
        if not done or written is None:
            return self._call_read(now)
        if not self.mine.owned:
            return self._taken(written, now)
        self.mine = owners.confirmed(self.mine, started)
        if self.unsaved:
            self.unsaved = self.ledger is not written
        else:
            self.ledger = written
        return self._call_read(now)

    def _store_failed(self, wrote: bool, now: float) -> list[Effect]:
        self._failures += 1
        self._next_store = now + min(5.0, RETRY_STORE * self._failures)
        written, self._writing = self._writing, None
        if not wrote or written is None or not self.mine.owned:
            return []
        if not self.fencing:
            return []
        if not self.unsaved:
            self.ledger = written
            self.unsaved = True
            return [Decided("own", self.domain, "store is out; going on unsaved, engines fence")]
        return []

    # Placement

    def _notice_pause(self, now: float) -> None:
        """Forget what a pause made stale.

        After a pause all reports are old and every member looks silent. Without this the owner
        would wake and repair every group at once.
        """
        if self._last_tick is not None and now - self._last_tick > GAP:
            self._watching_since = now
            self._broken_since = dict.fromkeys(self.ledger.groups, now)
        self._last_tick = now

    def _watched_enough(self, now: float) -> bool:
        return now - self._watching_since > EVIDENCE_MAX_AGE

    def _age(self, now: float) -> None:
        """Keep the times since which groups are broken or draining."""
        for view in self.views(now):
            if view.accepting or view.group not in self._broken_since:
                self._broken_since[view.group] = now
            if self.ledger.groups[view.group].phase == GroupPhase.DRAINING:
                self._draining_since.setdefault(view.group, now)
        for times in (self._broken_since, self._draining_since):
            for group in [g for g in times if g not in self.ledger.groups]:
                del times[group]

    def situation(self, now: float) -> Situation:
        """Return what placement decides on."""
        return Situation(
            now,
            self.ledger,
            self.wanted,
            self.watch.entry_by_host,
            self.watch.seen_by_host,
            self.watch.empty_since,
            self._broken_since,
            self._draining_since,
            self.policy,
        )

    def _place(self, now: float) -> list[Effect]:
        waits_for_store = self._writing is not None or (self._busy(now) and not self.unsaved)
        if waits_for_store:
            return []
        actions = placement.decide(self.situation(now))
        if not actions:
            return []
        wanted = self.ledger._replace(version=self.ledger.version + 1)
        notes: list[Effect] = []
        for action in actions:
            wanted = placement.apply(wanted, action)
            notes.append(_note(self.domain, action))
        if self.unsaved:
            self.ledger = wanted
            return notes
        return [*notes, *self._call_swap(wanted, now)]

    # Orders

    def _order(self, now: float) -> list[Effect]:
        if self._writing is not None and not self.unsaved:
            return []
        self._held_order = False
        self._sendings.forget_old(self.ledger, now)
        sent_at = self._sendings.sent_at
        found = due(self.ledger, self.watch.entry_by_host, self.watch.seen_by_host, sent_at, now)
        effects: list[Effect] = []
        for item in found:
            effects.extend(self._order_one(item, now))
        return effects

    def _order_one(self, item: Due, now: float) -> list[Effect]:
        key = order_key(item.order)
        if item.needs_weights > 0 and not self._sendings.may_load(key):
            asks = self._sendings.ask(key, now)
            return [AskTicket(key, item.needs_weights)] if asks else []
        self.mine, fence = owners.next_fence(self.mine)
        order = item.order._replace(fence=fence)
        if not self.may_send(order, now):
            self._held_order = True
            return []
        self._sendings.sent(key, now)
        if order.kind == "load":
            self.watch.expect_load(order.host, now)
        text = f"{order.kind} {order.group} epoch {order.epoch} rank {order.rank}"
        return [SendOrder(order), Decided("order", order.host, text, (order.group,))]


def _note(domain: str, action: placement.Action) -> Decided:
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
