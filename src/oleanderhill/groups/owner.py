"""The task that owns fabric domains: it takes them over, writes their plans and sends orders."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful

from ..clients.keyed import KeyedCopy
from ..clients.mirror import Mirror
from ..clients.storage import NEVER, Revision, Storage, StoreConflictError, Write
from ..clock import boottime_seconds
from ..kernel import Kernel, Task
from ..records import Records
from ..settings.catalog import Catalog
from .actions import Action, Order, OrderOutcome, Replan
from .closed_hosts import ClosedHosts
from .composing import ModelNeed, initial_mix
from .engine_hosts import EngineHosts, HostsByDomain
from .forming import DomainKeeper
from .inventory import Instance, Inventory, TargetHost
from .needs import DemandReader, Fleet, FleetCopy, model_needs
from .ownership import Presence, owns, should_take, taken_over
from .pacing import LoadPacer
from .plans import DomainPlan, PlannedGroup, encode_plan, in_new_generation, plan_key
from .probing import ROUND_INTERVAL, ProbeOutcome, ProbeRounds, count_unanswered

SETTLE_SECONDS = 1.5
"""Seconds after the store recovers in which no domain that has a plan is taken over: leases may
have expired during the outage, and their live holders need time to become present again."""

LIST_SETTLED_AFTER = 0.8
"""Seconds without a new host after which the list counts as complete at the first start. 54 hosts
are listed within 1.3 s and 222 within four, one every 20 ms."""

WRITE_RETRY_SECONDS = 0.6
"""Seconds until a domain is processed again after a failed write: about one reading of the store,
which shows whether the write took effect. Without this delay an owner whose store rejected calls
immediately wrote every 20 ms until its copy of the store was too old: 61 writes, each of which
cost resources and a log line."""

REFRESH_DELAY = 0.02
"""Seconds between an update and the refresh that it triggers, so that updates that arrive together
are handled in one refresh."""

REFRESH_SPACING_FACTOR = 20.0
"""Minimum interval between refreshes triggered by updates, as a multiple of the duration of the
last one. It limits them to a twentieth of the processor, however many hosts are listed."""


class Orders(Protocol):
    """Sends orders to engine hosts."""

    may_contact: Callable[[Instance], bool]
    """Returns whether a host may be sent probes or orders now."""

    async def send(self, order: Order, address: str, term: int) -> OrderOutcome:
        """Send an order and return its outcome."""

    async def probe(self, instance: Instance, address: str) -> ProbeOutcome:
        """Return whether this incarnation of a host answers a probe."""


class LoadLimits(NamedTuple):
    """Limits that the owner enforces.

    In any window of ``load_window`` seconds, the number of loads that begin may be at most
    ``load_factor`` times the number at the configured rate, plus ``load_extra``.
    """

    load_window: float
    load_factor: float
    load_extra: float = 3.0


class OwnerTask(Task):
    """Manages the domains that this entry host owns.

    :param first_loads_free: returns whether loads are still exempt from the rate limit
    :param is_suspect: returns whether this or another entry host observed a group to stall
    :param closed: hosts on which nothing is formed or loaded, and whose groups are neither given up
        nor counted as supply
    :ivar groups_given_up: number of serving groups that this host gave up for other models
    """

    name = "owner"
    interval = 0.2

    def __init__(
        self,
        kernel: Kernel,
        me: Presence,
        storage: Storage,
        mirror: Mirror,
        plans: KeyedCopy[DomainPlan],
        alive: Callable[[], Mapping[str, Presence]],
        inventory: Inventory,
        catalog: Callable[[], Catalog | None],
        orders: Orders,
        limits: LoadLimits,
        first_loads_free: Callable[[], bool],
        is_suspect: Callable[[str], bool],
        demand: DemandReader,
        closed: ClosedHosts,
        records: Records,
    ) -> None:
        super().__init__(kernel)
        self._me = me
        self._storage = storage
        self._mirror = mirror
        self._plans = plans
        self._alive = alive
        self._inventory = inventory
        self._catalog = catalog
        self._orders = orders
        self._limits = limits
        self._first_loads_free = first_loads_free
        self._is_suspect = is_suspect
        self._demand = demand
        self._closed = closed
        self._records = records
        self._keeper_by_domain: dict[str, DomainKeeper] = {}
        self._writing: set[str] = set()
        self._retry_write_at: dict[str, float] = {}
        self._probe_rounds = ProbeRounds()
        self._engine_hosts = EngineHosts(inventory)
        self._fleet_copy = FleetCopy()
        self._fleet: Fleet | None = None
        self._max_listed = 0
        self.groups_given_up = 0
        self._list_grew_at = float("-inf")
        self._next_refresh: asyncio.TimerHandle | None = None
        self._refresh_duration = 0.0

    async def start(self) -> None:
        """Start the periodic refresh of domains."""
        self.spawn(self._tick_loop())

    def refresh_soon(self) -> None:
        """Schedule a refresh of all domains because new information has arrived.

        Each step of a group's repair waits for the result of the previous one: the outcome of an
        order, a written plan, a reading. Without this, each step would wait half the refresh
        interval on average.
        """
        if self._next_refresh is None:
            wait = max(REFRESH_DELAY, self._refresh_duration * REFRESH_SPACING_FACTOR)
            self._next_refresh = asyncio.get_running_loop().call_later(wait, self._run_refresh)

    async def tick(self) -> None:
        """Refresh each domain once."""
        began = time.monotonic()
        self._refresh_all()
        self._refresh_duration = time.monotonic() - began

    async def stop(self) -> None:
        """Cancel the running work, then the next refresh.

        The refresh is cancelled last, because the cancelled work may schedule one.
        """
        await super().stop()
        if self._next_refresh is not None:
            self._next_refresh.cancel()

    def _run_refresh(self) -> None:
        self._next_refresh = None
        self.spawn(self.tick())

    def _refresh_all(self) -> None:
        now = boottime_seconds()
        catalog = self._catalog()
        # An outdated copy must not lead to orders: the plan may have another owner by now.
        if catalog is None or not self._mirror.fresh(now):
            return
        alive = self._alive()
        hosts_by_domain = self._engine_hosts.by_domain(catalog)
        self._fleet = None
        self._probe_rounds.retain({g.name for p in self._plans.by_key.values() for g in p.groups})
        for domain in sorted(hosts_by_domain):
            if domain not in self._writing and now >= self._retry_write_at.get(domain, 0.0):
                self._refresh_domain(now, domain, hosts_by_domain, alive, catalog)

    def _refresh_domain(
        self,
        now: float,
        domain: str,
        hosts_by_domain: HostsByDomain,
        alive: Mapping[str, Presence],
        catalog: Catalog,
    ) -> None:
        held = self._plans.get(plan_key(domain))
        plan, revision = held if held is not None else (DomainPlan(domain), NEVER)
        if owns(plan, self._me):
            if plan.generation < self._generation():
                reason = "the store was restored from a backup"
                self._write(plan, revision, in_new_generation(plan, self._generation()), reason)
                return
            self._manage(now, plan, revision, hosts_by_domain, catalog)
            return
        self._keeper_by_domain.pop(domain, None)
        settled = now - self._mirror.connected_since > SETTLE_SECONDS or held is None
        if settled and should_take(plan, self._me, alive):
            self._write(plan, revision, taken_over(plan, self._me), f"owner {plan.owner!r} is gone")

    def _manage(
        self,
        now: float,
        plan: DomainPlan,
        revision: Revision,
        hosts_by_domain: HostsByDomain,
        catalog: Catalog,
    ) -> None:
        if self._fleet is None:
            self._fleet = self._available(hosts_by_domain)
        fleet = self._fleet
        hosts = hosts_by_domain[plan.domain]
        needs = self._model_needs(now, plan.domain, fleet, catalog, hosts)
        domains = len(hosts_by_domain)
        keeper = self._keeper_by_domain.get(plan.domain)
        if keeper is None:
            keeper = DomainKeeper(self._make_pacer(now, catalog, needs, domains))
            self._keeper_by_domain[plan.domain] = keeper
        keeper.pacer.share_among(domains)
        for group in plan.groups:
            if not self._is_suspect(group.name):
                self._probe_rounds.clear(group.name)
            elif self._probe_rounds.begin(group.name, now):
                self.spawn(self._probe(group, keeper))
        initial = self._initial_mix(now, plan.domain, hosts_by_domain, needs, fleet)
        members = {i for g in plan.groups for i in g.members}
        restarted = {i for i in members if self._inventory.ended(i)}
        closed = self._closed.of_domain(plan.domain)
        for action in keeper.decide(now, plan, hosts, needs, initial, restarted, closed, fleet):
            self._execute(action, plan, revision, keeper)

    def _available(self, hosts_by_domain: HostsByDomain) -> Fleet:
        """Return the state of the domains that count."""
        closed_of = self._closed.of_domain if self._closed.any else None
        return self._fleet_copy.available(self._plans.by_key.values(), hosts_by_domain, closed_of)

    def _initial_mix(
        self,
        now: float,
        domain: str,
        hosts: HostsByDomain,
        needs: Sequence[ModelNeed],
        fleet: Fleet,
    ) -> Mapping[str, int] | None:
        """Return the initial groups for a domain, or ``None`` once loads are rate-limited.

        At the first start hosts appear one after the other. If groups were formed from the first
        ones to appear, they would all be of the smallest model, and a large model would lack the
        hosts that it needs.
        """
        if not self._first_loads_free():
            return None
        count_by_domain = {d: len(f) - len(self._closed.of_domain(d)) for d, f in hosts.items()}
        data_centre_by_domain = {d: s.data_centre for d, s in fleet.items()}
        listed = sum(count_by_domain.values())
        if listed > self._max_listed:
            self._max_listed, self._list_grew_at = listed, now
        if now - self._list_grew_at < LIST_SETTLED_AFTER:
            return {}
        return initial_mix(count_by_domain, needs, data_centre_by_domain).get(domain, {})

    async def _probe(self, group: PlannedGroup, keeper: DomainKeeper) -> None:
        """Probe all members of a group that was observed to stall.

        The host list shows a lost member only after three missed heartbeats, and the head only
        after a stall; probes detect it within two seconds. All members are probed, because answers
        from the others show that this entry host is not the one that is partitioned.
        """
        silent, began = False, boottime_seconds()
        try:
            listed = [i for i in group.members if i in self._inventory.by_instance]
            contactable = [i for i in listed if self._orders.may_contact(i)]
            probes = [count_unanswered(partial(self._probe_host, i)) for i in contactable]
            for instance, found in zip(contactable, await asyncio.gather(*probes), strict=True):
                outcome = ProbeOutcome.NO_PATH
                if found is not None:
                    since = began if found.silent else None
                    keeper.probed(instance, found.unanswered, boottime_seconds(), since)
                    silent = silent or found.unanswered > 0
                    outcome = ProbeOutcome.SILENT if found.silent else ProbeOutcome.GONE
                if found is None or found.unanswered:
                    self._records.note("probe", outcome, instance=str(instance), group=group.name)
        finally:
            self._probe_rounds.end(group.name, silent, boottime_seconds())
            self.refresh_soon()
            if silent:
                self.spawn(self._refresh_for_next_round())

    async def _refresh_for_next_round(self) -> None:
        """Begin the next probe round of a silent host when it is due, not at the next interval."""
        await asyncio.sleep(ROUND_INTERVAL)
        self.refresh_soon()

    async def _probe_host(self, instance: Instance) -> ProbeOutcome:
        host = self._inventory.by_instance.get(instance)
        if host is None:
            return ProbeOutcome.SILENT
        return await self._orders.probe(instance, host.address)

    def _make_pacer(
        self, now: float, catalog: Catalog, needs: Sequence[ModelNeed], domains: int
    ) -> LoadPacer:
        engines = [
            s.engine
            for s in catalog.service_by_name.values()
            if s.engine is not None and any(n.model in s.engine.model_by_name for n in needs)
        ]
        rate = min((e.loads_per_second for e in engines), default=1.0)
        max_concurrent = min((e.loads_at_once for e in engines), default=1)
        limits = self._limits
        per_window = rate * limits.load_window * limits.load_factor + limits.load_extra
        taken_over_at = None if self._first_loads_free() else now
        return LoadPacer(per_window, limits.load_window, domains, max_concurrent, taken_over_at)

    def _model_needs(
        self,
        now: float,
        domain: str,
        fleet: Fleet,
        catalog: Catalog,
        hosts: Mapping[Instance, TargetHost],
    ) -> list[ModelNeed]:
        """Return the models of the services that have hosts in a domain, with their demand."""
        services = sorted({h.service for h in hosts.values()})
        shapes = [s for n in services if (s := catalog.service_by_name.get(n)) is not None]
        engines = [s.engine for s in shapes if s.engine is not None]
        models = [m for e in engines for m in e.model_by_name.values()]
        at_once = min((e.loads_at_once for e in engines), default=1) // max(1, len(fleet))
        return model_needs(domain, models, fleet, self._demand, at_once, now)

    def _execute(
        self, action: Action, plan: DomainPlan, revision: Revision, keeper: DomainKeeper
    ) -> None:
        if isinstance(action, Replan):
            self._write(plan, revision, action.plan, action.reason, action.given_up)
            return
        host = self._inventory.by_instance.get(action.instance)
        if host is None:
            keeper.ended(action, OrderOutcome.SILENT, boottime_seconds())
            return
        self.spawn(self._send_order(action, host.address, plan, keeper))

    async def _send_order(
        self, order: Order, address: str, plan: DomainPlan, keeper: DomainKeeper
    ) -> None:
        end = await self._orders.send(order, address, plan.term)
        now = boottime_seconds()
        self._records.note(
            "order",
            end.value,
            order=type(order).__name__.lower(),
            domain=plan.domain,
            term=plan.term,
            instance=str(order.instance),
            about=getattr(order, "model", None) or _group_name(order),
            list_age_s=round(self._mirror.age(now), 2),
        )
        keeper.ended(order, end, now)
        self.refresh_soon()

    def _generation(self) -> int:
        """Return the generation of the store at the latest reading."""
        return 0 if self._mirror.log.revision is None else self._mirror.log.revision.generation

    def _write(
        self,
        plan: DomainPlan,
        revision: Revision,
        new: DomainPlan,
        reason: str,
        given_up: Sequence[str] = (),
    ) -> None:
        self._writing.add(plan.domain)
        if plan.generation < self._generation() and new.generation < self._generation():
            new = in_new_generation(new, self._generation())
        written = new._replace(write_id=secrets.token_hex(6), version=plan.version + 1)
        self.spawn(self._commit(revision, written, reason, given_up))

    async def _commit(
        self, revision: Revision, plan: DomainPlan, reason: str, given_up: Sequence[str]
    ) -> None:
        """Write a plan. If there is no answer, the next reading shows whether it took effect."""
        key = plan_key(plan.domain)
        try:
            written = await self._storage.commit({key: revision}, [Write(key, encode_plan(plan))])
            outcome = "written"
            self._retry_write_at.pop(plan.domain, None)
            if is_successful(written):
                self.groups_given_up += len(given_up)
                self._plans.put(key, encode_plan(plan), written.unwrap())
            else:
                error = written.failure()
                outcome = str(error)
                if isinstance(error, StoreConflictError):
                    for item in error.held.values():
                        self._plans.put(item.key, item.value, item.revision)
                else:
                    self._retry_write_at[plan.domain] = boottime_seconds() + WRITE_RETRY_SECONDS
            self._records.note(
                "plan",
                outcome,
                domain=plan.domain,
                term=plan.term,
                after_revision=revision,
                reason=reason,
                groups=len(plan.groups),
                given_up=given_up,
            )
        finally:
            self._writing.discard(plan.domain)
            self.refresh_soon()


def _group_name(order: Order) -> str:
    group = getattr(order, "group", "")
    return group if isinstance(group, str) else group.name
