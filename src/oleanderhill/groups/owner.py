"""The task that owns fabric domains: takes them, writes their plans, orders their hosts about."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import NamedTuple, Protocol

from returns.pipeline import is_successful

from ..clients.keyed import KeyedCopy
from ..clients.mirror import Mirror
from ..clients.storage import NEVER, Revision, Storage, StoreConflictError, Write
from ..clock import awake_or_not
from ..kernel import Kernel, Task
from ..records import Records
from ..settings.catalog import Catalog
from .actions import Action, Order, OrderEnd, Replan
from .composing import ModelNeed, first_mix
from .engine_hosts import EngineHosts, HostsByDomain
from .forming import DomainKeeper
from .inventory import Instance, Inventory
from .ownership import Presence, owns, should_take, taken
from .pacing import LoadPacer
from .plans import DomainPlan, PlannedGroup, encode_plan, plan_key, renewed
from .probing import Rounds, silences

SETTLE = 1.5
"""Seconds after the store's return in which no domain is taken: leases may have run out meanwhile,
and the hosts behind them need a moment to be present again."""

LISTED_AFTER = 0.8
"""Seconds without a new host after which the list counts as complete at the first start: 54 hosts
show within 1.3 s, 222 within four, one every 20 ms."""

WRITE_AGAIN = 0.6
"""Seconds after a write that failed in which the domain is let be: about one reading of the store,
which shows whether the write was done. Without them an owner whose store refused at once wrote
every 20 ms until its copy was too old: 61 times, each at its price and with a line of the log."""

LOOK_SOON = 0.02
"""Seconds between news and the look at it, so that news that come together are looked at once."""

LOOKS_APART = 20.0
"""Times the length of a look that lie between two of them: looks at news take a twentieth of the
processor at most, however many hosts are listed."""


class Orders(Protocol):
    """Gives orders to engine hosts."""

    may_ask: Callable[[Instance], bool]
    """Tells whether a host may be asked or ordered anything now."""

    async def give(self, order: Order, address: str, term: int) -> OrderEnd:
        """Give an order and return how it ended."""

    async def answers(self, instance: Instance, address: str) -> bool:
        """Tell whether a host answers, in this life."""


class Limits(NamedTuple):
    """Bounds that the owner keeps.

    :param load_window: seconds in which ``load_factor`` times the allowed rate of loads, plus
        ``load_extra``, may begin
    """

    load_window: float
    load_factor: float
    load_extra: float = 3.0


class OwnerTask(Task):
    """Owns the domains that fall to this entry host.

    :param first_loads_free: tells whether loads don't count against the bound yet
    :param is_suspect: tells whether a group was seen to stall, by this or another entry host
    :param demand: returns a model's part of all groups, ``filled`` how many its requests fill now
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
        limits: Limits,
        first_loads_free: Callable[[], bool],
        is_suspect: Callable[[str], bool],
        demand: Callable[[str], float],
        filled: Callable[[str], float],
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
        self._filled = filled
        self._records = records
        self._keeper_by_domain: dict[str, DomainKeeper] = {}
        self._writing: set[str] = set()
        self._write_again_at: dict[str, float] = {}
        self._rounds = Rounds()
        self._engine_hosts = EngineHosts(inventory)
        self._most_listed = 0
        self._grew_at = float("-inf")
        self._next_look: asyncio.TimerHandle | None = None
        self._look_took = 0.0

    async def start(self) -> None:
        """Start to look after domains."""
        self.spawn(self._tick_loop())

    def look_soon(self) -> None:
        """Look at each domain in a moment, as something is new.

        Each step of a group's repair waits for the one before: an order's end, a written plan, a
        reading. Seen at the next look only, each costs half of the time between two.
        """
        if self._next_look is None:
            wait = max(LOOK_SOON, self._look_took * LOOKS_APART)
            self._next_look = asyncio.get_running_loop().call_later(wait, self._look_once)

    async def tick(self) -> None:
        """Look at each domain once."""
        began = time.monotonic()
        self._look_at_all()
        self._look_took = time.monotonic() - began

    async def stop(self) -> None:
        """Give up whatever runs, and the next look, which the end of that may ask for."""
        await super().stop()
        if self._next_look is not None:
            self._next_look.cancel()

    def _look_once(self) -> None:
        self._next_look = None
        self.spawn(self.tick())

    def _look_at_all(self) -> None:
        now = awake_or_not()
        catalog = self._catalog()
        # A copy that is old is no base for orders: the plan may have another owner by now.
        if catalog is None or not self._mirror.fresh(now):
            return
        alive = self._alive()
        hosts_by_domain = self._engine_hosts.by_domain(catalog)
        self._rounds.forget_all_but({g.name for p in self._plans.by_key.values() for g in p.groups})
        for domain in sorted(hosts_by_domain):
            if domain not in self._writing and now >= self._write_again_at.get(domain, 0.0):
                self._look(now, domain, hosts_by_domain, alive, catalog)

    def _look(
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
                self._write(plan, revision, renewed(plan, self._generation()), reason)
                return
            self._keep(now, plan, revision, hosts_by_domain, catalog)
            return
        self._keeper_by_domain.pop(domain, None)
        settled = now - self._mirror.connected_since > SETTLE or held is None
        if settled and should_take(plan, self._me, alive):
            self._write(plan, revision, taken(plan, self._me), f"owner {plan.owner!r} is gone")

    def _keep(
        self,
        now: float,
        plan: DomainPlan,
        revision: Revision,
        hosts_by_domain: HostsByDomain,
        catalog: Catalog,
    ) -> None:
        hosts = hosts_by_domain[plan.domain]
        needs = self._needs(plan.domain, catalog, {h.service for h in hosts.values()})
        domains = len(hosts_by_domain)
        keeper = self._keeper_by_domain.get(plan.domain)
        if keeper is None:
            keeper = DomainKeeper(self._pacer(catalog, needs, domains))
            self._keeper_by_domain[plan.domain] = keeper
        keeper.pacer.share_among(domains)
        for group in plan.groups:
            if not self._is_suspect(group.name):
                self._rounds.trust(group.name)
            elif self._rounds.begin(group.name, now):
                self.spawn(self._probe(group, keeper))
        first = self._first_mix(now, plan.domain, hosts_by_domain, needs)
        members = {i for g in plan.groups for i in g.members}
        ended = {i for i in members if self._inventory.ended(i)}
        for action in keeper.decide(now, plan, hosts, needs, first, ended):
            self._carry_out(action, plan, revision, keeper)

    def _first_mix(
        self, now: float, domain: str, hosts: HostsByDomain, needs: Sequence[ModelNeed]
    ) -> Mapping[str, int] | None:
        """Return the first groups that a domain is to have, ``None`` once loads count.

        At the first start hosts show one after the other. Groups made of those that show first
        would be of the smallest model, and leave a large one without the hosts that it needs.
        """
        if not self._first_loads_free():
            return None
        count_by_domain = {d: len(found) for d, found in hosts.items()}
        listed = sum(count_by_domain.values())
        if listed > self._most_listed:
            self._most_listed, self._grew_at = listed, now
        if now - self._grew_at < LISTED_AFTER:
            return {}
        return first_mix(count_by_domain, needs).get(domain, {})

    async def _probe(self, group: PlannedGroup, keeper: DomainKeeper) -> None:
        """Ask all members of a group that was seen to stall whether they are there.

        One that is lost shows in the host list only after three heartbeats, and at the head after
        a stall; asking finds it in a second. Each member is asked: those that answer show that it
        is not this entry host that is cut off.
        """
        silent = False
        try:
            listed = [i for i in group.members if i in self._inventory.by_instance]
            known = [i for i in listed if self._orders.may_ask(i)]
            asked = [silences(partial(self._answers, i)) for i in known]
            for instance, unanswered in zip(known, await asyncio.gather(*asked), strict=True):
                keeper.probed(instance, unanswered, awake_or_not())
                if unanswered:
                    silent = True
                    self._records.note("probe", "silent", instance=str(instance), group=group.name)
        finally:
            self._rounds.end(group.name, silent, awake_or_not())
            self.look_soon()

    async def _answers(self, instance: Instance) -> bool:
        host = self._inventory.by_instance.get(instance)
        return host is not None and await self._orders.answers(instance, host.address)

    def _pacer(self, catalog: Catalog, needs: Sequence[ModelNeed], domains: int) -> LoadPacer:
        engines = [
            s.engine
            for s in catalog.service_by_name.values()
            if s.engine is not None and any(n.model in s.engine.model_by_name for n in needs)
        ]
        rate = min((e.loads_per_second for e in engines), default=1.0)
        at_once = min((e.loads_at_once for e in engines), default=1)
        limits = self._limits
        per_window = rate * limits.load_window * limits.load_factor + limits.load_extra
        return LoadPacer(per_window, limits.load_window, domains, at_once)

    def _needs(self, domain: str, catalog: Catalog, services: set[str]) -> list[ModelNeed]:
        """Return the models of the services that have hosts in a domain."""
        others = [p for p in self._plans.by_key.values() if p.domain != domain]
        planned = Counter(g.model for p in others for g in p.groups)
        shapes = [s for n in sorted(services) if (s := catalog.service_by_name.get(n)) is not None]
        return [
            ModelNeed(
                model.name,
                model.hosts,
                self._demand(model.name),
                model.load_seconds,
                planned[model.name] / max(1, len(others)),
                planned[model.name],
                self._filled(model.name),
            )
            for service in shapes
            if service.engine is not None
            for model in service.engine.model_by_name.values()
        ]

    def _carry_out(
        self, action: Action, plan: DomainPlan, revision: Revision, keeper: DomainKeeper
    ) -> None:
        if isinstance(action, Replan):
            self._write(plan, revision, action.plan, action.reason)
            return
        host = self._inventory.by_instance.get(action.instance)
        if host is None:
            keeper.ended(action, OrderEnd.SILENT, awake_or_not())
            return
        self.spawn(self._give(action, host.address, plan, keeper))

    async def _give(
        self, order: Order, address: str, plan: DomainPlan, keeper: DomainKeeper
    ) -> None:
        end = await self._orders.give(order, address, plan.term)
        now = awake_or_not()
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
        self.look_soon()

    def _generation(self) -> int:
        """Return the generation of the store that was last read."""
        return 0 if self._mirror.log.revision is None else self._mirror.log.revision.generation

    def _write(self, plan: DomainPlan, revision: Revision, new: DomainPlan, reason: str) -> None:
        self._writing.add(plan.domain)
        if plan.generation < self._generation() and new.generation < self._generation():
            new = renewed(new, self._generation())
        written = new._replace(write_id=secrets.token_hex(6), version=plan.version + 1)
        self.spawn(self._commit(revision, written, reason))

    async def _commit(self, revision: Revision, plan: DomainPlan, reason: str) -> None:
        """Write a plan. Without an answer nothing is done: the next reading shows what holds."""
        key = plan_key(plan.domain)
        try:
            written = await self._storage.commit({key: revision}, [Write(key, encode_plan(plan))])
            outcome = "written"
            self._write_again_at.pop(plan.domain, None)
            if is_successful(written):
                self._plans.put(key, encode_plan(plan), written.unwrap())
            else:
                error = written.failure()
                outcome = str(error)
                if isinstance(error, StoreConflictError):
                    for item in error.held.values():
                        self._plans.put(item.key, item.value, item.revision)
                else:
                    self._write_again_at[plan.domain] = awake_or_not() + WRITE_AGAIN
            self._records.note(
                "plan",
                outcome,
                domain=plan.domain,
                term=plan.term,
                after_revision=revision,
                reason=reason,
                groups=len(plan.groups),
            )
        finally:
            self._writing.discard(plan.domain)
            self.look_soon()


def _group_name(order: Order) -> str:
    group = getattr(order, "group", "")
    return group if isinstance(group, str) else group.name
