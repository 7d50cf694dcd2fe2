"""The task that runs the domain controllers: probes, store calls, orders and evidence."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import Any

from returns.pipeline import is_successful
from returns.result import Success

from ..clients.store import StoreClient
from ..clients.targets import TargetClient
from ..decisions import Decisions
from ..exceptions import TargetConnectionRefusedError
from ..kernel import Kernel, PeerMessage, Task
from ..members.membership import Row
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..metrics import Metrics
from ..ownership import rendezvous
from ..routing.dispatch import RouterTask
from ..routing.messages import DomainEvidence, LocalEvidence, RecordsWanted
from ..settings.fleet import Fleet
from ..settings.messages import FleetChanged, HostsChanged
from ..types import HostEntry, Order, TimedReport, WantedGroup
from . import stewardship
from .ledger import ledger_key
from .measures import Gauges, Sums, accumulate, measure
from .messages import PlanChanged
from .orders import OrderKey
from .placement import Policy
from .planning import planner_of
from .steward import TICK, DomainSteward

PLANNER_UPDATE_INTERVAL = 2.0
"""Seconds between updates of a domain that are sent to the planner."""

REMOTE_VIEW_DOMAINS = 1
"""Domains of each remote data centre about which an entry host receives evidence."""

VIEW_DOMAINS = 6
"""Domains of its own data centre about which an entry host receives evidence.

The limit bounds the evidence that an entry host stores and receives, at any fleet size.
"""


class Stewards(Task):
    """Runs a controller for each domain of this data centre."""

    name = "stewards"
    interval = TICK

    def __init__(
        self,
        kernel: Kernel,
        host: str,
        incarnation: str,
        data_centre: str,
        store: StoreClient,
        targets: TargetClient,
        metrics: Metrics,
        decisions: Decisions,
    ) -> None:
        super().__init__(kernel)
        self._host = host
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._store = store
        self._targets = targets
        self._decisions = decisions
        self._fleet = Fleet()
        self._wanted: dict[str, tuple[WantedGroup, ...]] = {}
        self._planner_updated_at: dict[str, float] = {}
        self._sent_version: dict[str, tuple[int, int]] = {}
        self._metrics = metrics
        self._measured_at = time.monotonic()
        self.by_domain: dict[str, DomainSteward] = {}
        self.gauges_by_domain: dict[str, Gauges] = {}
        self.sums = Sums()
        self.probes = 0

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task."""

    @handle.register
    def _(self, message: HostsChanged) -> None:
        by_domain: dict[str, list[HostEntry]] = {}
        for entry in message.hosts:
            by_domain.setdefault(entry.domain, []).append(entry)
        for domain in by_domain.keys() - self.by_domain.keys():
            self.by_domain[domain] = self._make_steward(domain)
        for domain, steward in self.by_domain.items():
            steward.watch.set_hosts(by_domain.get(domain, []))

    @handle.register
    def _(self, message: FleetChanged) -> None:
        self._fleet = message.fleet
        for domain, steward in self.by_domain.items():
            steward.policy = Policy(exchange_rate=message.fleet.exchange_rate)
            steward.fencing = domain not in message.fleet.domains_without_fencing

    @handle.register
    def _(self, message: PlanChanged) -> None:
        self._wanted = message.wanted_by_domain
        for domain, steward in self.by_domain.items():
            steward.wanted = self._wanted.get(domain, ())

    @singledispatchmethod
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a message from a peer."""

    @receive.register
    def _(self, body: RecordsWanted, envelope: PeerMessage) -> None:
        steward = self.by_domain.get(body.domain)
        now = time.monotonic()
        if steward is not None and steward.owned and steward.may_publish(now):
            evidence = steward.evidence(self._data_centre, now, True)
            self.kernel.post("peers", SendTo(envelope.address, evidence))

    async def tick(self) -> None:
        """Run every controller, probe the hosts of owned domains and publish evidence."""
        now = time.monotonic()
        members = self.kernel.find("membership", MembershipTask)
        incarnation_by_host = {h: r.run_id for h, r in members.live(self._data_centre).items()}
        received_at_by_domain = self.kernel.find("router", RouterTask).book.received_at_by_domain
        for domain, steward in self.by_domain.items():
            steward.incarnation_by_host = incarnation_by_host
            steward.owner_evidence_at = received_at_by_domain.get(domain, float("-inf"))
            steward.settled = members.startup_complete()
            self._perform(steward, steward.tick(now))
            if steward.owned:
                for entry in steward.watch.to_probe(now):
                    self.spawn(self._probe(steward, entry))
                if steward.may_publish(now):
                    self._publish(domain, steward, now)
        self._update_measures(now)

    def release(self) -> int:
        """Give up all owned domains at shutdown and return their number."""
        owned = [s for s in self.by_domain.values() if s.owned]
        for steward in owned:
            steward.release_ownership()
        return len(owned)

    def _update_measures(self, now: float) -> None:
        seconds, self._measured_at = now - self._measured_at, now
        self.gauges_by_domain = {
            d: measure(s.ledger, s.wanted, s.views(now), s.watch.report_by_host)
            for d, s in self.by_domain.items()
            if s.owned
        }
        for gauges in self.gauges_by_domain.values():
            self.sums = accumulate(self.sums, gauges, seconds)
        self._metrics.gauge("groups_down", sum(g.down for g in self.gauges_by_domain.values()))
        stranded = sum(g.stranded for g in self.gauges_by_domain.values())
        self._metrics.gauge("hosts_stranded", stranded)

    def _make_steward(self, domain: str) -> DomainSteward:
        fencing = domain not in self._fleet.domains_without_fencing
        policy = Policy(exchange_rate=self._fleet.exchange_rate)
        steward = DomainSteward(self._host, self._incarnation, domain, policy, fencing)
        steward.wanted = self._wanted.get(domain, ())
        return steward

    def _perform(self, steward: DomainSteward, effects: list[stewardship.Effect]) -> None:
        for effect in effects:
            match effect:
                case stewardship.Decided(part, subject, text, also):
                    self._decisions.note(part, subject, text, also)
                case stewardship.ReadLedger() | stewardship.SwapLedger():
                    self.spawn(self._call_store(steward, effect))
                case stewardship.SendOrder(order):
                    self.spawn(self._send(steward, order))
                case stewardship.RequestTicket(key, gigabytes):
                    self.spawn(self._ask_ticket(steward, key, gigabytes))

    async def _call_store(
        self, steward: DomainSteward, effect: stewardship.ReadLedger | stewardship.SwapLedger
    ) -> None:
        key = ledger_key(self._data_centre, steward.domain)
        event: stewardship.StoreEvent
        if isinstance(effect, stewardship.ReadLedger):
            read = await self._store.read(key)
            event = stewardship.StoreFailed(False)
            if is_successful(read):
                found = read.unwrap()
                event = (
                    stewardship.LedgerAnswer(*found) if found else stewardship.LedgerAnswer(b"", 0)
                )
        else:
            swapped = await self._store.swap(key, effect.value, effect.modify_index)
            event = stewardship.StoreFailed(True)
            if is_successful(swapped):
                event = stewardship.SwapAnswer(swapped.unwrap())
        self._perform(steward, steward.apply_store_event(event, time.monotonic()))

    async def _send(self, steward: DomainSteward, order: Order) -> None:
        # Checked again here: the process may have been paused since the decision, and another
        # owner may have taken over.
        if not steward.may_send(order, time.monotonic()):
            self._decisions.note("order", order.host, "withheld: ownership not confirmed")
            return
        result = await self._targets.order(order)
        if not is_successful(result):
            self._decisions.note("order", order.host, result.failure().show(), (order.group,))

    async def _ask_ticket(self, steward: DomainSteward, key: OrderKey, gigabytes: float) -> None:
        match await self._targets.ticket(gigabytes):
            case Success(ticket):
                steward.apply_ticket(key, ticket.wait, time.monotonic())
            case _:
                steward.apply_ticket(key, 1.0, time.monotonic())

    async def _probe(self, steward: DomainSteward, entry: HostEntry) -> None:
        self.probes += 1
        sent_at = time.monotonic()
        result = await self._targets.probe(entry.address)
        if not is_successful(result):
            if isinstance(result.failure(), TargetConnectionRefusedError):
                steward.watch.record_refused_probe(entry.host, sent_at)
            return
        if result.unwrap().host == entry.host:
            steward.watch.apply_report(TimedReport(result.unwrap(), sent_at))

    def _publish(self, domain: str, steward: DomainSteward, now: float) -> None:
        version = (steward.ownership_state.epoch, steward.ledger.version)
        full = steward.evidence(self._data_centre, now, True)
        changed = self._sent_version.get(domain) != version
        self._sent_version[domain] = version
        for name in ("router", "planner"):
            self.kernel.post(name, LocalEvidence(full, now))
        evidence = full if changed else full._replace(records=())
        for address in self._recipients(domain):
            self.kernel.post("peers", SendTo(address, evidence))
        self._update_planner(domain, full, now)

    def _update_planner(self, domain: str, evidence: DomainEvidence, now: float) -> None:
        """Send evidence to the planner, which needs it for all domains, but less often."""
        if now - self._planner_updated_at.get(domain, float("-inf")) < PLANNER_UPDATE_INTERVAL:
            return
        self._planner_updated_at[domain] = now
        live = self.kernel.find("membership", MembershipTask).live(self._data_centre)
        planner = planner_of(self._data_centre, live)
        if planner is not None and planner != self._host:
            self.kernel.post("peers", SendTo(live[planner].address, evidence))

    def _recipients(self, domain: str) -> list[str]:
        """Return the addresses of the entry hosts that receive evidence about a domain.

        An entry host of this data centre receives evidence about :data:`VIEW_DOMAINS` domains, one
        of another data centre about :data:`REMOTE_VIEW_DOMAINS`, chosen by rendezvous hash, so
        that evidence and its traffic don't grow with the fleet. If this data centre has at most
        :data:`VIEW_DOMAINS` domains, every entry host receives evidence about all of them.
        """
        members = self.kernel.find("membership", MembershipTask)
        domains = list(self.by_domain)
        few = len(domains) <= VIEW_DOMAINS
        return [
            row.address
            for row in members.live().values()
            if row.host != self._host and (few or domain in self._domains_sent_to(row, domains))
        ]

    def _domains_sent_to(self, row: Row, domains: list[str]) -> tuple[str, ...]:
        is_local = row.data_centre == self._data_centre
        count = VIEW_DOMAINS if is_local else REMOTE_VIEW_DOMAINS
        return rendezvous(f"view/{row.host}", domains, count)
