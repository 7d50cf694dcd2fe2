"""Assembles an entry host on the users' platform, runs it and drains it.

:mod:`..entry` is the counterpart that uses oleanderhill's own interfaces and a boot file.
"""

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

from ..clients.freshness import Freshness
from ..clients.httpcall import HttpCaller
from ..clients.keyed import KeyedCopy
from ..clients.listening import ListenStatus, check_listening
from ..clients.mirror import Mirror, Subscription, subscribe
from ..clients.proxying import proxy_address
from ..clients.relay import RelayServer
from ..clock import boottime_seconds, processor_seconds
from ..connection_memory import ConnectionMemory
from ..exceptions import OleanderhillError
from ..exposition import Exposition
from ..groups.closed_hosts import ClosedHosts
from ..groups.evacuations import Evacuations
from ..groups.inventory import Inventory, Removal
from ..groups.needs import DemandReader
from ..groups.owner import LoadLimits, OwnerTask
from ..groups.ownership import PRESENCE_PREFIX, Presence, decode_presence
from ..groups.plans import PLAN_PREFIX, PLAN_RETENTION_SECONDS, decode_plan, supersedes
from ..groups.presence import LEASE_SECONDS, PresenceTask
from ..groups.readers import ReadingSources
from ..kernel import Kernel
from ..outcomes import Problem
from ..records import Records, flush_periodically, log_to_descriptor
from ..routing.backoffs import Backoffs
from ..routing.cold_limits import ColdLimits
from ..routing.failing_targets import ANSWERS, FAILURES, Counts, FailingTargets
from ..routing.limit_scope import WindowBound
from ..routing.reachability import Heard
from ..routing.target_limits import CallKind, TargetLimits
from ..serving.admission import admit
from ..serving.admission_control import AdmissionControl
from ..serving.admission_demand import DemandCounts
from ..serving.cold_targets import ColdTargets
from ..serving.connection_shedding import ConnectionShedding, Loads
from ..serving.context import ForwardingContext
from ..serving.driver import Exchange
from ..serving.forwarding import Notice, RequestInfo
from ..serving.front import CallerSink, Front, ServeCallbacks
from ..serving.gossip import GossipTask
from ..serving.incoming import Incoming
from ..serving.learned_timing import LearnedTiming
from ..serving.leaving import LeavingTargets
from ..serving.link_checks import LinkCheckTask
from ..serving.notices import TargetNotices
from ..serving.placement import Candidate, LoadTracker
from ..serving.pool_capacity import pool_of
from ..serving.proxy_server import ProxyCallbacks, ProxyServer
from ..serving.quarantine import QUARANTINE_PREFIX, QuarantineTask
from ..serving.reply_memory import ReplyMemory
from ..serving.retries import SharedRetryBudget
from ..serving.retry_detector import RetryDetector
from ..serving.shared_counters import SharedCounters
from ..serving.target_limits import StatementSource, TargetLimitTask
from ..serving.target_links import TargetLinks
from ..serving.view import ServingView
from ..settings.catalog import Catalog, ClientLimits, pick_backend
from ..vitals import VitalsTask
from .configuration import ConfigurationCopy
from .decoding import CONFIGURATION_KEY, EVACUATIONS_PREFIX, HOSTS_PREFIX, OPERATOR_PREFIX
from .headers import HeaderCodec
from .host_list import HostList
from .orders import EngineOrders
from .settings import EntrySettings, read_settings
from .store import PlatformStore

GC_THRESHOLD = (20_000, 20, 50)
"""Cyclic garbage is rare here, and the default thresholds cause a collection every few milliseconds
while responses are relayed."""

ENTRY_REWRITE_SECONDS = 2.2
"""Seconds after the store is reachable again within which running hosts have rewritten their
entries; the platform documents about two."""

FREE_LOADS_SECONDS = 20.0
"""Seconds after the first start of the deployment during which model loads may be exempt from the
load limit. The exemption ends with the first request to any entry host. Without requests nothing
marks that end, hence the limit in time; a load takes at most a tenth of it."""

CONFIGURATION_WAIT_SECONDS = 1.5
"""Seconds that a request waits for the first configuration of a process that has just started. One
read of the store provides it and takes 0.1 to 0.5 s. When most hosts of a data centre are down, the
balancer sends requests to all of them, ready or not. Within two seconds of a power failure the next
host isn't ready either, so an immediate rejection would not help the caller."""

CONFIGURATION_WAIT_FRACTION = 0.3
"""Fraction of the caller timeout that this wait may use; the rest remains for the answer."""

MAX_LOGGED_VALUE_CHARS = 80
"""Longer header values are truncated in the log."""

METRICS_PORT = 9464
"""Port of the metrics endpoint; the deploy file states it too."""


class EntryHost:
    """One entry host on the platform.

    :param descriptor: file descriptor to which the log is written
    """

    def __init__(self, settings: EntrySettings, descriptor: int) -> None:
        self._settings = settings
        self._rng = random.Random(secrets.randbits(64))
        self._records = Records(settings.host)
        self._output = log_to_descriptor(descriptor)
        self._started_at = boottime_seconds()
        self._retry_budget_by_service: dict[str, SharedRetryBudget] = {}
        self._retry_detector = RetryDetector()
        self._max_entry_hosts = 1
        self._listed_since = float("inf")
        self._request_seen = False
        self.exposition = Exposition()
        self._assemble()

    def _assemble(self) -> None:
        s, records, rng = self._settings, self._records, self._rng
        self.kernel = Kernel()
        self._inventory = Inventory()
        own_presence = Presence(s.host, secrets.token_hex(4), s.peers, s.data_centre, s.strength)
        self._links = TargetLinks(
            own_presence,
            lambda: self._presence.alive(),
            self._inventory.service_at,
            self._heard_by_peers,
            rng,
            records,
        )
        self._store = PlatformStore(s.store, HttpCaller(), records)
        self._freshness = Freshness(s.key_removal_seconds)
        self._configuration = ConfigurationCopy(self._freshness, records)
        cold_bound = WindowBound(excess=s.cold_excess, slack=s.cold_slack)
        cold_limits = ColdLimits(s.host, cold_bound)
        self._cold = ColdTargets(
            self.kernel,
            cold_limits,
            self._inventory,
            lambda: self._catalog,
            lambda: self._request_seen or not s.first_start,
            records,
        )
        self._hosts = HostList(
            self._inventory,
            records,
            self._drop_incarnation,
            ENTRY_REWRITE_SECONDS,
            self._cold.listed,
        )
        self._plans = KeyedCopy(decode_plan, records, supersedes, PLAN_RETENTION_SECONDS)
        self._presences = KeyedCopy(decode_presence, records, retain_missing_s=LEASE_SECONDS)
        self._evacuations = Evacuations(
            records, EVACUATIONS_PREFIX, s.evacuation_seconds, lambda: self._mirror.read_at
        )
        self._counters = SharedCounters(s.host, s.data_centre)
        self._timing = LearnedTiming(self._counters)
        self._view = ServingView(self._inventory, self._plans, rng, self._evacuations, self._timing)
        limits = TargetLimits(s.host, cold_limits)
        failing = FailingTargets(self._counters.peers, self._log_failing)
        self._counters.register(FAILURES, failing.own_failures)
        self._counters.register(ANSWERS, failing.own_answers)
        self._book = LoadTracker(s.data_centre, rng, limits, Backoffs(), failing, self._timing)
        self._demand = DemandCounts(self._counters, self._entry_hosts)
        self._admission = AdmissionControl(
            rng,
            self._demand,
            self._book,
            self._entry_hosts,
            self._view.prediction,
            self.exposition.admission,
        )
        self._quarantine = QuarantineTask(
            self.kernel,
            own_presence,
            self._store,
            self._inventory,
            lambda: self._presence.alive(),
            self._check_target,
            records,
        )
        followers = self._subscriptions()
        copied = [f.prefix for f in followers]
        # One listing covers everything that the operator writes, as each is billed.
        prefixes = [OPERATOR_PREFIX, *(p for p in copied if not p.startswith(OPERATOR_PREFIX))]
        sources = ReadingSources(
            own_presence,
            self._store,
            prefixes,
            self._presences,
            HttpCaller(),
            self._configuration.revisions,
            self._freshness.record_verified,
            records,
            copied if s.evacuation_seconds is not None else (),
        )
        self._mirror = Mirror(
            self.kernel,
            sources,
            self._freshness,
            followers,
            self._on_store_read,
            self._inventory.extend_grace,
            ENTRY_REWRITE_SECONDS,
            records,
            rng,
        )
        self._presence = PresenceTask(
            self.kernel, own_presence, self._store, self._presences, records, rng
        )
        self._orders = EngineOrders(
            self._links.separate_caller(),
            self._apply_notice,
            lambda instance: self._notices.may_contact(instance),
        )
        self._limits = TargetLimitTask(
            self.kernel,
            limits,
            self._inventory,
            self._view.groups,
            self._orders.answers,
            self._orders.may_contact,
            records,
        )
        leaving = LeavingTargets(self._inventory, self._refresh_targets, records)
        self._notices = TargetNotices(
            self._inventory, self._book.backoffs, self._limits, leaving, self._cold, records
        )
        self._owner = owner = OwnerTask(
            self.kernel,
            own_presence,
            self._store,
            self._mirror,
            self._plans,
            self._presence.alive,
            self._inventory,
            lambda: self._catalog,
            self._orders,
            LoadLimits(s.load_window, s.load_factor),
            self._loads_exempt,
            lambda group: self._book.is_suspect(group, time.monotonic()),
            DemandReader(self._view.demand, self._view.occupied_groups, self._view.demand_history),
            ClosedHosts(self._inventory, self._evacuations),
            records,
        )
        self._client_memory = ConnectionMemory(s.client_memory)
        self._codec = HeaderCodec(self._log_unknown_header)
        serving = ServeCallbacks(
            self._serve,
            self._ready,
            self._client_limits,
            self.exposition.unanswered,
            lambda outcome: self.exposition.request("", outcome, 0.0),
            self._refusal,
        )
        self.front = Front(
            self.kernel,
            s.callers,
            s.readiness_address,
            s.grace_seconds,
            self._codec,
            serving,
            records,
            self._client_memory,
            s.client_connections,
        )
        self._context = ForwardingContext(
            self._codec,
            self._links.caller,
            self._book,
            records,
            self._view.candidates,
            lambda model, goal: self._view.max_waiting(model, goal, time.monotonic()),
            self._retry_delay,
            self.exposition.request,
            self.exposition.retry,
            self.exposition.send,
            self._quarantine,
            self._notices,
            self._evacuations,
            self._view.evacuated_candidates,
            self._timing,
            self._admission,
            self._links.reachability,
            ReplyMemory(s.reply_memory),
            self.front.shutdown,
        )
        self._shedding = ConnectionShedding(lambda: self.front, self._loads, records)
        self.kernel.lag.on_saturated = self._shedding.saturated
        gossip = GossipTask(
            self.kernel,
            own_presence,
            self._book,
            self._presence.alive,
            self._quarantine,
            self._retry_budget_by_service,
            self._limits,
            leaving,
            self._counters,
        )
        relay = RelayServer(self.kernel, s.peers, self._mirror, s.peer_connections)
        self._proxy = ProxyServer(
            self.kernel,
            proxy_address(s.peers),
            self._links.direct,
            self._links.reachability,
            self._codec,
            ProxyCallbacks(
                lambda address: bool(self._inventory.service_at(address)),
                lambda: self.front.stopping,
            ),
            records,
            self._client_memory,
            s.peer_connections,
        )
        checks = LinkCheckTask(self.kernel, self._links.caller, self._links.reachability)
        vitals = VitalsTask(self.kernel, records, self._vitals)
        for service in (
            self.front,
            relay,
            self._proxy,
            checks,
            self._presence,
            self._mirror,
            self._quarantine,
            self._limits,
            self._cold,
            gossip,
            owner,
            vitals,
        ):
            self.kernel.register(service)
        self._register_gauges()

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return self._settings.callers

    def candidates(self, service: str, model: str) -> Sequence[Candidate]:
        """Return the targets of a service and model that this entry host knows."""
        return self._view.candidates(service, model)

    async def run(self) -> None:
        """Serve until a stop signal arrives, then drain."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()

        def request_stop(number: int, frame: object) -> None:
            if self.front.shutdown.requested_at is None:
                self.front.shutdown.request(time.monotonic())
                loop.call_soon_threadsafe(stop.set)

        # The grace period runs while the event loop is held up, so these don't wait for the loop.
        signal.signal(signal.SIGTERM, request_stop)
        signal.signal(signal.SIGINT, request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        flushing = asyncio.create_task(flush_periodically(self._output))
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
        await self._proxy.drain(self.front.shutdown.ends_at)
        await self._presence.withdraw()
        await self.kernel.stop()
        self._links.close()
        await self.exposition.stop()
        self._records.note("process", "stop")
        flushing.cancel()
        self._output.flush()

    def _subscriptions(self) -> Sequence[Subscription]:
        return (
            Subscription(
                CONFIGURATION_KEY,
                self._configuration.replace,
                self._configuration.change,
                retained=self._configuration.retained,
            ),
            subscribe(EVACUATIONS_PREFIX, self._evacuations),
            subscribe(HOSTS_PREFIX, self._hosts),
            subscribe(PLAN_PREFIX, self._plans),
            subscribe(PRESENCE_PREFIX, self._presences),
            subscribe(QUARANTINE_PREFIX, self._quarantine),
        )

    def _drop_incarnation(self, removal: Removal) -> None:
        """Drop the state of an ended incarnation; requests in flight there may have crashed it."""
        self._links.forget(removal.address)
        self._orders.close_idle_connections(removal.address)
        self._quarantine.incarnation_ended(str(removal.instance), "removed from the host list")
        self._notices.incarnation_ended(str(removal.instance))

    def _heard_by_peers(self, address: str) -> Heard | None:
        target = self._view.target_at(address)
        return self._book.heard_by_peers(target, time.monotonic()) if target else None

    def _log_failing(self, target: str, counts: Counts, avoided: bool) -> None:
        """Log that a target is avoided because it answers with failures, or is tried again."""
        self._records.note(
            "target",
            "failing" if avoided else "tried again",
            target=target,
            failures=counts.failures,
            answers=counts.answers,
            counted_hosts=self._counters.hosts,
        )

    def _apply_notice(self, incarnation: str, notice: Notice, sent_at: float) -> None:
        """Apply the notice in a reply to an order or probe, and count it in the host's limit."""
        self._book.limits.count_without_permit(incarnation, time.monotonic())
        self._notices.apply(incarnation, notice, StatementSource(CallKind.CONTROL, sent_at))

    def _retry_delay(self, service: str, model: str) -> float:
        """Return the seconds after which a rejected caller may retry."""
        candidates = self._view.candidates(service, model)
        now = time.monotonic()
        limited_for = self._book.limited_for(candidates, model, now)
        backoff_left = self._book.backoff_left(candidates, now)
        pool = pool_of(candidates, model) if candidates else ""
        backlog_for = self._admission.return_delay(pool, now)
        delay = self._view.retry_delay(service, model, limited_for, backoff_left, backlog_for)
        self._admission.told_to_return(pool, now + delay)
        return delay

    def _entry_hosts(self) -> int:
        return len(self._presence.alive())

    async def _check_target(self, name: str, address: str) -> ListenStatus:
        """Check whether a target with lost connections is up and is the same incarnation."""
        incarnation = self._inventory.incarnation_of(name)
        if (
            incarnation is not None
            and self._inventory.by_instance[incarnation].domain
            and self._orders.may_contact(incarnation)
            and await self._orders.answers(incarnation, address, second_opinion=True)
        ):
            return ListenStatus.SAME_INCARNATION
        found = await check_listening(address)
        if found != ListenStatus.REFUSED:
            return found
        # The own links may be broken, so one host's word is not enough.
        if await self._links.caller.is_running(address):
            return ListenStatus.ACCEPTED
        links_in_doubt = self._links.reachability.blames_links(address, time.monotonic())
        return ListenStatus.SILENT if links_in_doubt else ListenStatus.REFUSED

    @property
    def _catalog(self) -> Catalog | None:
        return self._configuration.catalog

    def _on_store_read(self, now: float) -> None:
        self._hosts.finish_read(now)
        self._evacuations.finish_read(now, self._inventory.hosts_by_data_centre)
        self._plans.expire(now)
        self._presences.expire(now)
        self._update_host_count(now)
        self._request_seen = self._request_seen or self._book.has_load()
        self._cold.refresh_rates()
        self._refresh_targets()
        at = time.monotonic()
        self._view.update_demand(
            lambda target: self._book.load(target, at),
            lambda model: self._book.rejections(model, at),
            self._book.slots_lost_to_limits,
            now,
        )
        self._timing.log_changes(self._records)

    def _refresh_targets(self) -> None:
        """Recompute the targets if hosts or plans have changed."""
        if self._view.refresh(self._catalog):
            self._quarantine.count_targets(self._view.targets())
            self._timing.set_targets(self._view.serving_targets(), time.monotonic())
            self._owner.refresh_soon()

    def _update_host_count(self, now: float) -> None:
        self._listed_since = min(self._listed_since, now)
        self._max_entry_hosts = max(self._max_entry_hosts, len(self._presence.alive()))
        for budget in self._retry_budget_by_service.values():
            budget.hosts, budget.listed_since = self._max_entry_hosts, self._listed_since

    def _log_unknown_header(self, name: str, value: str) -> None:
        """Log a header of a target's reply that this program doesn't know."""
        self._records.note(
            "target", "unknown header", name=name, value=value[:MAX_LOGGED_VALUE_CHARS]
        )

    def _retry_budget(self, service: str) -> SharedRetryBudget:
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            s = self._settings
            budget = SharedRetryBudget(
                s.retry_ratio,
                s.retry_slack,
                s.retry_window,
                self._started_at,
                has_predecessor=not s.first_start,
            )
            budget.hosts, budget.listed_since = self._max_entry_hosts, self._listed_since
            self._retry_budget_by_service[service] = budget
        return budget

    def _retries_remaining(self) -> Mapping[str, float]:
        now = boottime_seconds()
        return {s: budget.remaining(now) for s, budget in self._retry_budget_by_service.items()}

    def _loads_exempt(self) -> bool:
        just_started = boottime_seconds() - self._started_at < FREE_LOADS_SECONDS
        return self._settings.first_start and just_started and not self._request_seen

    def _ready(self) -> bool:
        return self._catalog is not None and self._freshness.is_fresh(boottime_seconds())

    def _client_limits(self) -> ClientLimits:
        return self._catalog.limits if self._catalog is not None else ClientLimits()

    def _refusal(self, facts: RequestInfo, host: str, path: str) -> Problem | None:
        """Return why a request is refused whatever its body is, ``None`` if that isn't known."""
        if self._catalog is None:
            # The configuration may arrive before the body does.
            return None
        current = self._freshness.is_fresh(boottime_seconds())
        found = admit(self._catalog, current, facts, host, path)
        return found if isinstance(found, Problem) else None

    async def _serve(self, incoming: Incoming, host: str, path: str, sink: CallerSink) -> None:
        self._request_seen = True
        await self._await_configuration(incoming)
        now = boottime_seconds()
        current = self._freshness.is_fresh(now)
        accepted = admit(self._catalog, current, incoming.facts, host, path)
        if isinstance(accepted, Problem):
            sink.reject(accepted)
            self._records.request(
                incoming.facts.request_id,
                accepted.kind,
                False,
                status=accepted.status,
                reason=accepted.detail,
                path=path,
                version=self._catalog.version if self._catalog else None,
                proof_age_s=round(self._freshness.age(now), 2),
            )
            self.exposition.request("", accepted.kind, 0.0)
            return
        service = pick_backend(accepted.route, self._rng)
        budget = self._retry_budget(service)
        budget.record_request(now)
        is_retry = self._is_retry(incoming, accepted.route.name)
        await Exchange(self._context, incoming, accepted, service, budget, sink, is_retry).run()

    def _loads(self) -> Loads:
        return Loads(*self._book.in_flight(time.monotonic()), self._entry_hosts())

    def _is_retry(self, incoming: Incoming, route: str) -> bool:
        model, now = incoming.facts.model, time.monotonic()
        rejected = self._book.rejections(model, now) / max(1, self._entry_hosts())
        self._retry_detector.record_rejections(model, rejected, now)
        return self._retry_detector.is_retry(
            route, incoming.facts.caller_timeout, incoming.first_on_connection, model, now
        )

    async def _await_configuration(self, incoming: Incoming) -> None:
        """Wait for the first configuration, within a fraction of the caller timeout."""
        if self._catalog is not None:
            return
        caller_timeout = incoming.facts.caller_timeout
        seconds = CONFIGURATION_WAIT_SECONDS
        if caller_timeout is not None:
            seconds = min(seconds, caller_timeout * CONFIGURATION_WAIT_FRACTION)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._configuration.loaded.wait()

    def _reload(self) -> None:
        try:
            read_settings()
        except OleanderhillError as error:
            self._records.note("process", "reload refused", reason=str(error))
            return
        self._records.note("process", "reload")

    def _vitals(self) -> Mapping[str, object]:
        """Return the values that are logged periodically for this process."""
        return {
            "store_calls": self._store.calls_by_kind,
            "connections": self._links.direct.opened,
            "orders": self._orders.orders_sent,
            "probes": self._orders.probes_sent,
            "in_flight": self.front.in_flight,
            "client_memory": self._client_memory.held,
            "client_connections": len(self.front.callers),
            "sends": self.exposition.sends(),
            "copy_age_s": round(self._mirror.age(boottime_seconds()), 2),
        }

    def _register_gauges(self) -> None:
        register = self.exposition.gauge
        register("requests_in_flight", "Requests in flight", lambda: self.front.in_flight)
        memory = self._client_memory
        register("client_memory_bytes", "Held by connections of callers", lambda: memory.held)
        register("client_memory_limit_bytes", "That they may hold", lambda: memory.limit)
        callers = self.front.callers
        register("client_connections", "Open connections of callers", lambda: len(callers))
        register(
            "client_connections_closed",
            "Closed as there were too many",
            lambda: callers.closed_for_others,
        )
        register(
            "bodies_gave_way", "Bodies in small chunks, to others", lambda: callers.turns.refused
        )
        register("client_evictions", "Connections ended for memory", lambda: memory.evictions)
        register(
            "store_calls", "Calls to the store", lambda: sum(self._store.calls_by_kind.values())
        )
        register("orders", "Orders to engine hosts", lambda: self._orders.orders_sent)
        register(
            "proof_age_seconds", "Age of the proof", lambda: self._freshness.age(boottime_seconds())
        )
        register(
            "store_copy_age_seconds",
            "Age of the copy",
            lambda: self._mirror.age(boottime_seconds()),
        )
        register("probes", "Questions to engine hosts", lambda: self._orders.probes_sent)
        register(
            "connections_refused",
            "Times that new connections were refused for a second",
            lambda: self._shedding.times,
        )
        register("loop_held_up_seconds", "Longest so far", lambda: self.kernel.lag.longest)
        self._links.show(self.exposition)
        register(
            "passed_on_in_flight", "Requests of peers in flight", lambda: self._proxy.in_flight
        )
        register("endings", "Targets that ended with requests", lambda: self._quarantine.sizes[0])
        register("quarantined", "Requests sent to nobody", lambda: self._quarantine.sizes[1])
        self._notices.show(self.exposition)
        register(
            "targets_failing",
            "Targets that are avoided because they answer with failures",
            lambda: len(self._book.failing.avoided(time.monotonic())),
        )
        register(
            "short_pools",
            "Models and services whose room was nearly used up lately",
            lambda: self._demand.tight_pools(time.monotonic()),
        )
        register(
            "admission_counts_unreadable",
            "Counts of other entry hosts that could not be read",
            lambda: self._demand.unreadable,
        )
        self._evacuations.show(self.exposition)
        self._timing.show(self.exposition)
        register("store_restored", "Times the store was restored", lambda: self._mirror.restored)
        register("serving_groups", "Groups", lambda: sum(self._view.groups_by_model().values()))
        register("groups_given_up", "For other models", lambda: self._owner.groups_given_up)
        by = self.exposition.gauge_by
        by("model_groups", "Serving groups", "model", lambda: self._view.groups_by_model())
        by("retries_remaining", "That this host may take", "service", self._retries_remaining)
        by("model_groups_surplus", "Beyond demand", "model", self._view.groups_beyond_demand)


def main() -> None:
    """Run an entry host with the settings of this process."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    gc.set_threshold(*GC_THRESHOLD)
    try:
        settings = read_settings()
    except OleanderhillError as error:
        print(f"oleanderhill: {error.show()}", file=sys.stderr)
        sys.exit(error.exit_code)
    asyncio.run(EntryHost(settings, descriptor).run())
