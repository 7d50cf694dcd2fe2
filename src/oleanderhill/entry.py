"""Builds an entry host from its boot file, runs it and drains it.

:mod:`.platform.entry` is the counterpart that runs on the users' platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import secrets
import signal
import time

from .clients.httpcall import HttpCaller
from .clients.store import StoreClient
from .clients.targets import TargetClient
from .connection_memory import ConnectionMemory
from .decisions import Decisions, log_to
from .destinations import DESTINATION_BY_TYPE
from .domains.planning import PlanningTask
from .domains.stewards import Stewards
from .journal.claims import Claims
from .kernel import Kernel
from .limits.limiting import LimitsTask
from .machine_limits import (
    DEFAULT_MEMORY_MB,
    client_connections,
    client_memory,
    own_descriptors,
)
from .members.membership import Row
from .members.peers import Peers
from .members.task import MembershipTask
from .metrics import Metrics
from .operators.server import OperatorServer
from .requests.edge import Edge
from .requests.quarantine import RequestQuarantineTask
from .routing.dispatch import RouterTask
from .routing.services import ServiceFinder
from .settings.fleet import DEFAULT_ENTRY_HOSTS
from .settings.relay import DocumentsTask
from .settings.schema import Boot

READINESS_LAG = 1.0
"""Seconds for which the load balancer may still send requests after readiness is withdrawn."""

GC_THRESHOLD = (20_000, 20, 50)
"""Garbage collector thresholds. Cyclic garbage is rare here, and the default thresholds start a
collection every few milliseconds while responses are relayed."""

DRAIN_LIMIT = 600.0
"""Seconds after which a drain ends even if requests are in flight: the longest allowed request."""

CLOSE_LIMIT = 5.0
"""Seconds after which a drain ends even if connections of callers are open: their requests have
ended, or are refused as soon as they have arrived."""


def make_kernel(boot: Boot, decisions: Decisions) -> Kernel:
    """Return a kernel with all services of an entry host registered and none started."""
    host, data_centre = boot["host"], boot["data_centre"]
    rng = random.Random(secrets.randbits(64))
    incarnation = int(time.time() * 1000)
    caller = HttpCaller()
    store = StoreClient(boot["platform"], caller)
    targets = TargetClient(boot["platform"], caller)
    metrics = Metrics(host, boot.get("statsd"))
    memory = ConnectionMemory(client_memory(boot.get("memory_mb", DEFAULT_MEMORY_MB)))
    kernel = Kernel()
    peers_address = boot["listen"]["peers"]
    incarnation_id = secrets.token_hex(4)
    own_row = Row(host, peers_address, data_centre, incarnation, 0, run_id=incarnation_id)
    kernel.register(Peers(kernel, host, peers_address, incarnation, DESTINATION_BY_TYPE, decisions))
    kernel.register(MembershipTask(kernel, own_row, boot["peers"], rng, decisions))
    kernel.register(LimitsTask(kernel, host, DEFAULT_ENTRY_HOSTS))
    router = RouterTask(kernel, data_centre, targets, rng, decisions)
    kernel.register(router)
    kernel.register(
        Stewards(kernel, host, incarnation_id, data_centre, store, targets, metrics, decisions)
    )
    kernel.register(PlanningTask(kernel, host, data_centre, decisions))
    kernel.register(Claims(kernel, host, data_centre, store, decisions))
    kernel.register(
        RequestQuarantineTask(kernel, host, rng, decisions, lambda: len(router.router.by_group))
    )
    kernel.register(
        Edge(
            kernel,
            host,
            boot["listen"]["callers"],
            router,
            ServiceFinder(data_centre, rng),
            caller,
            targets,
            metrics,
            decisions,
            memory,
            client_connections(boot.get("max_descriptors", own_descriptors())),
        )
    )
    kernel.register(DocumentsTask(kernel, host, data_centre, store, targets, rng, decisions))
    kernel.register(
        OperatorServer(
            kernel, boot["listen"]["operators"], boot["operator_key_hash"], decisions, memory
        )
    )
    return kernel


async def run_entry(boot: Boot) -> None:
    """Run an entry host until SIGTERM or SIGINT, then drain it."""
    log_to(boot.get("log"))
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLD)
    decisions = Decisions(boot["host"])
    kernel = make_kernel(boot, decisions)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await kernel.start()
    decisions.note("member", boot["host"], "started")
    await stopping.wait()
    await drain(kernel, decisions)
    await kernel.stop()


async def drain(kernel: Kernel, decisions: Decisions) -> None:
    """Finish the requests in flight and release the owned domains.

    Readiness is withdrawn first. Requests that the load balancer still sends are accepted for
    another :data:`READINESS_LAG` seconds. Then the domains are released and the peers are notified,
    so that other entry hosts take over the domains while the requests in flight here complete.
    """
    edge = kernel.find("edge", Edge)
    edge.readiness_withdrawn = True
    decisions.note("drain", edge.host, f"not ready, {edge.in_flight} in flight")
    await asyncio.sleep(READINESS_LAG)
    edge.draining = True
    domains = kernel.find("stewards", Stewards).release()
    kernel.find("membership", MembershipTask).leave()
    decisions.note("drain", edge.host, f"left, {domains} domains released")
    claims = kernel.find("claims", Claims)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DRAIN_LIMIT):
            while edge.in_flight or not claims.idle:
                await asyncio.sleep(0.05)
    await edge.drain(time.monotonic() + CLOSE_LIMIT)
    decisions.note("drain", edge.host, f"done, {edge.in_flight} in flight")
