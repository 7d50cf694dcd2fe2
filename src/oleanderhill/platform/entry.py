"""Puts an entry host on the platform together, runs it, and drains it."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import random
import secrets
import signal
import sys
import time
from collections.abc import Mapping, Sequence

from ..clients.currency import Currency
from ..clients.httpcall import HttpCaller
from ..clients.keyed import KeyedCopy
from ..clients.listening import Listening, listening
from ..clients.mirror import Follower, Mirror, follow
from ..clients.relay import RelayServer
from ..clock import awake_or_not, processor_seconds
from ..exceptions import OleanderhillError
from ..exposition import Exposition
from ..groups.inventory import Inventory, Removal
from ..groups.owner import Limits, OwnerTask
from ..groups.ownership import PRESENCE_PREFIX, Presence, decode_presence
from ..groups.plans import PLAN_PREFIX, PLANS_OUTLAST, decode_plan, outlasts
from ..groups.presence import LEASE_SECONDS, PresenceTask
from ..groups.readers import ReadingSources
from ..kernel import Kernel
from ..outcomes import Problem
from ..records import Records, keep_flushing, log_bounded
from ..routing.backoffs import Backoffs
from ..routing.target_limits import Asked, TargetLimits
from ..serving.admission import ReturningCallers, admit
from ..serving.driver import Exchange
from ..serving.forwarding import Notice
from ..serving.front import CallerSink, Front, Serve
from ..serving.gossip import GossipTask
from ..serving.incoming import Incoming
from ..serving.leaving import LeavingTargets
from ..serving.notices import TargetNotices
from ..serving.placing import Candidate, LoadBook
from ..serving.quarantine import QUARANTINE_PREFIX, QuarantineTask
from ..serving.retries import SharedRetryBudget
from ..serving.target_limits import Source, TargetLimitTask
from ..serving.tools import Tools
from ..serving.view import ServingView
from ..settings.catalog import Catalog, pick_backend
from ..vitals import VitalsTask
from .configuration import ConfigurationCopy
from .decoding import CONFIGURATION_KEY, HOSTS_PREFIX
from .headers import HeaderCodec
from .host_list import HostList
from .orders import EngineOrders
from .settings import EntrySettings, read_settings
from .store import PlatformStore

GC_THRESHOLD = (20_000, 20, 50)
"""Cyclic garbage is rare here; by default the heap is walked every few milliseconds of relaying."""

ENTRY_RETURN = 2.2
"""Seconds after the store's return in which hosts that live have their entries again; the platform
says about two."""

FREE_LOADS_FOR = 20.0
"""Seconds after the first start of all in which loads may be free. They are until the first request
comes to any entry host; without requests nothing tells, and a load then takes a tenth at most."""

AWAIT_CONFIGURATION = 1.5
"""Seconds for which a request waits in a process that has just started for its first
configuration, which takes one reading of the store, 0.1 to 0.5 s. The balancer sends callers to all
hosts of a data centre when most of them are down, ready or not: refused at once, those that come
within two seconds of a power failure find the next host no further."""

WAIT_OF_PATIENCE = 0.3
"""Part of a caller's patience that such a wait takes at most; the rest is for its answer."""

LOGGED_VALUE = 80
"""Characters of a header's value in the log."""

METRICS_PORT = 9464
"""Port of the metrics; the deploy file names it too."""


class EntryHost:
    """One entry host on the platform.

    :param descriptor: of the file that takes the log
    """

    def __init__(self, settings: EntrySettings, descriptor: int) -> None:
        self._settings = settings
        self._rng = random.Random(secrets.randbits(64))
        self._records = Records(settings.host)
        self._output = log_bounded(descriptor)
        self._started = awake_or_not()
        self._budget_by_service: dict[str, SharedRetryBudget] = {}
        self._returning = ReturningCallers()
        self._most_hosts = 1
        self._asked = False
        self.exposition = Exposition()
        self._assemble()

    def _assemble(self) -> None:
        s, records, rng = self._settings, self._records, self._rng
        self.kernel = Kernel()
        self._caller = HttpCaller()
        self._store = PlatformStore(s.store, HttpCaller(), records)
        self._currency = Currency(s.key_removal)
        self._configuration = ConfigurationCopy(self._currency, records)
        self._inventory = Inventory()
        self._hosts = HostList(self._inventory, records, self._forget, ENTRY_RETURN)
        self._plans = KeyedCopy(decode_plan, records, outlasts, PLANS_OUTLAST)
        self._entries = KeyedCopy(decode_presence, records, lost_last=LEASE_SECONDS)
        self._view = ServingView(self._inventory, self._plans, rng)
        limits = TargetLimits(s.host)
        self._book = LoadBook(s.data_centre, rng, limits, Backoffs())
        me = Presence(s.host, secrets.token_hex(4), s.peers, s.data_centre, s.strength)
        self._quarantine = QuarantineTask(
            self.kernel,
            me,
            self._store,
            self._inventory,
            lambda: self._presence.alive(),
            self._look,
            records,
        )
        followers = self._followers()
        prefixes = [f.prefix for f in followers]
        sources = ReadingSources(
            me,
            self._store,
            prefixes,
            self._entries,
            HttpCaller(),
            self._configuration.revisions,
            self._currency.prove,
            records,
        )
        self._mirror = Mirror(
            self.kernel,
            sources,
            self._currency,
            followers,
            self._settled,
            self._inventory.doubt,
            ENTRY_RETURN,
            records,
            rng,
        )
        self._presence = PresenceTask(self.kernel, me, self._store, self._entries, records, rng)
        self._orders = EngineOrders(
            HttpCaller(), self._heard, lambda instance: self._notices.may_ask(instance)
        )
        self._limits = TargetLimitTask(
            self.kernel,
            limits,
            self._inventory,
            self._view.groups,
            self._orders.answers,
            self._orders.may_ask,
            records,
        )
        leaving = LeavingTargets(self._inventory, self._refresh, records)
        self._notices = TargetNotices(
            self._inventory, self._book.backoffs, self._limits, leaving, records
        )
        self._owner = owner = OwnerTask(
            self.kernel,
            me,
            self._store,
            self._mirror,
            self._plans,
            self._presence.alive,
            self._inventory,
            lambda: self._catalog,
            self._orders,
            Limits(s.load_window, s.load_factor),
            self._first_loads_free,
            lambda group: self._book.is_suspect(group, time.monotonic()),
            self._view.demand,
            self._view.filled,
            records,
        )
        self._codec = HeaderCodec(self._note_unread)
        self._tools = Tools(
            self._codec,
            self._caller,
            self._book,
            records,
            self._view.candidates,
            self._view.waiting,
            self._come_back,
            self.exposition.request,
            self._quarantine,
            self._notices,
        )
        serving = Serve(self._serve, self._ready, self._max_body)
        self.front = Front(
            self.kernel, s.callers, s.balancer, s.grace, self._codec, serving, records
        )
        gossip = GossipTask(
            self.kernel,
            me,
            self._book,
            self._presence.alive,
            self._quarantine,
            self._budget_by_service,
            self._limits,
            leaving,
        )
        relay = RelayServer(self.kernel, s.peers, self._mirror)
        vitals = VitalsTask(self.kernel, records, self._counts)
        for service in (
            self.front,
            relay,
            self._presence,
            self._mirror,
            self._quarantine,
            self._limits,
            gossip,
            owner,
            vitals,
        ):
            self.kernel.register(service)
        self._show_gauges()

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return self._settings.callers

    def candidates(self, service: str, model: str) -> Sequence[Candidate]:
        """Return the targets that serve a service and model, as this entry host sees them."""
        return self._view.candidates(service, model)

    async def run(self) -> None:
        """Serve until told to stop, then drain."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        flushing = asyncio.create_task(keep_flushing(self._output))
        s = self._settings
        self._records.note(
            "process",
            "start",
            data_centre=s.data_centre,
            first_start=s.first_start,
            cpu_s=round(processor_seconds(), 3),
        )
        with contextlib.suppress(OSError):
            self.exposition.listen(s.ip, METRICS_PORT)
        await self.kernel.start()
        await stop.wait()
        await self.front.drain()
        await self._presence.withdraw()
        await self.kernel.stop()
        self._caller.close()
        self.exposition.close()
        self._records.note("process", "stop")
        flushing.cancel()
        self._output.flush()

    def _followers(self) -> Sequence[Follower]:
        return (
            Follower(
                CONFIGURATION_KEY,
                self._configuration.replace,
                self._configuration.change,
                kept=self._configuration.kept,
            ),
            follow(HOSTS_PREFIX, self._hosts),
            follow(PLAN_PREFIX, self._plans),
            follow(PRESENCE_PREFIX, self._entries),
            follow(QUARANTINE_PREFIX, self._quarantine),
        )

    def _forget(self, removal: Removal) -> None:
        """Drop what is kept of a life that is over; what was in flight there may have ended it."""
        self._caller.forget(removal.address)
        self._orders.forget(removal.address)
        self._quarantine.over(str(removal.instance), "gone from the list")
        self._notices.over(str(removal.instance))

    def _heard(self, life: str, notice: Notice, asked_at: float) -> None:
        """Take what an answer to an order or probe says, which counts as a request to the host."""
        self._book.limits.spend(life, time.monotonic())
        self._notices.take(life, notice, Source(Asked.CONTROL, asked_at))

    def _come_back(self, service: str, model: str) -> float:
        """Return the seconds after which a refused caller may come back."""
        candidates = self._view.candidates(service, model)
        now = time.monotonic()
        limited_for = self._book.limited_for(candidates, model, now)
        backoff_left = self._book.backoff_left(candidates, now)
        return self._view.come_back(service, model, limited_for, backoff_left)

    async def _look(self, name: str, address: str) -> Listening:
        """Look whether a target whose connections were lost is there, and the same."""
        life = self._inventory.life_of(name)
        if life is None or not self._inventory.by_instance[life].domain:
            return await listening(address)
        if self._orders.may_ask(life) and await self._orders.answers(life, address):
            return Listening.THE_SAME
        return await listening(address)

    @property
    def _catalog(self) -> Catalog | None:
        return self._configuration.catalog

    def _settled(self, now: float) -> None:
        self._hosts.settle(now)
        self._plans.expire(now)
        self._entries.expire(now)
        self._count_hosts()
        self._asked = self._asked or self._book.any_load()
        self._refresh()
        at = time.monotonic()
        self._view.measure(
            lambda target: self._book.load(target, at),
            lambda model: self._book.turned_away(model, at),
            self._book.taken_by_limits,
        )

    def _refresh(self) -> None:
        """Have the targets worked out anew where hosts or plans have changed."""
        if self._view.refresh(self._catalog):
            self._quarantine.count_targets(self._view.targets())
            self._owner.look_soon()

    def _count_hosts(self) -> None:
        self._most_hosts = max(self._most_hosts, len(self._presence.alive()))
        for budget in self._budget_by_service.values():
            budget.hosts = self._most_hosts

    def _note_unread(self, name: str, value: str) -> None:
        """Say that targets send a header which means nothing here."""
        self._records.note("target", "unread header", name=name, value=value[:LOGGED_VALUE])

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            s = self._settings
            budget = SharedRetryBudget(s.retry_ratio, s.retry_slack, s.retry_window)
            budget.hosts = self._most_hosts
            self._budget_by_service[service] = budget
        return budget

    def _first_loads_free(self) -> bool:
        young = awake_or_not() - self._started < FREE_LOADS_FOR
        return self._settings.first_start and young and not self._asked

    def _ready(self) -> bool:
        return self._catalog is not None and self._currency.holds(awake_or_not())

    def _max_body(self) -> int:
        return self._catalog.max_body if self._catalog is not None else 4 * 1024 * 1024

    async def _serve(self, incoming: Incoming, host: str, path: str, sink: CallerSink) -> None:
        self._asked = True
        await self._await_configuration(incoming)
        now = awake_or_not()
        current = self._currency.holds(now)
        accepted = admit(self._catalog, current, incoming.facts, host, path)
        if isinstance(accepted, Problem):
            sink.refuse(accepted)
            self._records.request(
                incoming.facts.request_id,
                accepted.kind,
                False,
                status=accepted.status,
                reason=accepted.detail,
                path=path,
                version=self._catalog.version if self._catalog else None,
                proof_age_s=round(self._currency.age(now), 2),
            )
            self.exposition.request("", accepted.kind, 0.0)
            return
        service = pick_backend(accepted.route, self._rng)
        budget = self._budget(service)
        budget.request(time.monotonic())
        patience = incoming.facts.patience
        returned = self._returning.came_back(
            accepted.route.name, patience, incoming.first_on_connection
        )
        await Exchange(self._tools, incoming, accepted, service, budget, sink, returned).run()

    async def _await_configuration(self, incoming: Incoming) -> None:
        """Wait for the first configuration, as long as the caller can spare the time."""
        if self._catalog is not None:
            return
        patience = incoming.facts.patience
        seconds = AWAIT_CONFIGURATION
        if patience is not None:
            seconds = min(seconds, patience * WAIT_OF_PATIENCE)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._configuration.known.wait()

    def _reload(self) -> None:
        try:
            read_settings()
        except OleanderhillError as error:
            self._records.note("process", "reload refused", reason=str(error))
            return
        self._records.note("process", "reload")

    def _counts(self) -> Mapping[str, object]:
        """Return what the log says of this process now and then."""
        return {
            "store_calls": self._store.calls_by_kind,
            "connections": self._caller.opened,
            "orders": self._orders.given,
            "probes": self._orders.asked,
            "in_flight": self.front.in_flight,
            "copy_age_s": round(self._mirror.age(awake_or_not()), 2),
        }

    def _show_gauges(self) -> None:
        show = self.exposition.gauge
        show("requests_in_flight", "Requests in flight", lambda: self.front.in_flight)
        show("store_calls", "Calls to the store", lambda: sum(self._store.calls_by_kind.values()))
        show("orders", "Orders to engine hosts", lambda: self._orders.given)
        show("proof_age_seconds", "Age of the proof", lambda: self._currency.age(awake_or_not()))
        show("store_copy_age_seconds", "Age of the copy", lambda: self._mirror.age(awake_or_not()))
        show("probes", "Questions to engine hosts", lambda: self._orders.asked)
        show("loop_held_up_seconds", "Longest so far", lambda: self.kernel.lag.longest)
        show("connections_opened", "Connections to targets", lambda: self._caller.opened)
        show("endings", "Targets that ended with requests", lambda: self._quarantine.sizes[0])
        show("quarantined", "Requests sent to nobody", lambda: self._quarantine.sizes[1])
        self._notices.show(self.exposition)
        show("store_restored", "Times the store was restored", lambda: self._mirror.restored)
        show("serving_groups", "Groups", lambda: sum(self._view.groups_by_model().values()))


def main() -> None:
    """Run an entry host on the platform."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    gc.set_threshold(*GC_THRESHOLD)
    try:
        settings = read_settings()
    except OleanderhillError as error:
        print(f"oleanderhill: {error.show()}", file=sys.stderr)
        sys.exit(error.exit_code)
    asyncio.run(EntryHost(settings, descriptor).run())
