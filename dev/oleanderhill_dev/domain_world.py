"""One fabric domain with small fakes around the real decision code, in simulated time.

The fakes stand at the interfaces (store, engines, links); stewards, routers, evidence and
membership are the product's own. Time moves in steps; everything random comes from one seeded
source. The oracle is in :meth:`DomainWorld.check` and compares what the product believes with what
is true.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from oleanderhill import ownership
from oleanderhill.domains import stewardship
from oleanderhill.domains.ledger import group_by_host
from oleanderhill.domains.orders import OrderKey
from oleanderhill.domains.placement import Policy
from oleanderhill.domains.steward import TICK, DomainSteward
from oleanderhill.domains.stewardship import decode_ledger
from oleanderhill.kernel import PeerMessage
from oleanderhill.members.membership import Gossip, Membership, Row
from oleanderhill.routing.completeness import EVIDENCE_MAX_AGE
from oleanderhill.routing.evidence import EvidenceTracker
from oleanderhill.routing.messages import DomainEvidence
from oleanderhill.routing.router import Router
from oleanderhill.types import (
    EngineState,
    GroupSpec,
    HostEntry,
    HostReport,
    HostState,
    Order,
    TimedReport,
    WantedGroup,
)

STEP = 0.1
DOMAIN = "fabric-a"
CENTRE = "dc-1"
LATENCY = 0.002
LEAVING_BOUND = EVIDENCE_MAX_AGE + 0.5
LOAD_SECONDS = (0.1, 0.3, 1.0)


class ViolationError(AssertionError):
    """A promise was broken."""


def spec(version: str, hosts: int = 2, name: str = "g", priority: int = 0) -> GroupSpec:
    """Return a small group's specification."""
    return GroupSpec("team", name, "team/m", version, (), hosts, 2.0, priority)


def wanted_groups(version: str, count: int, hosts: int = 2) -> tuple[WantedGroup, ...]:
    """Return wanted groups; the version is part of their ids, as in the product."""
    return tuple(
        WantedGroup(f"team/g@{version}#{n}", spec(version, hosts, priority=n % 2))
        for n in range(count)
    )


class FakeStore:
    """One key with compare-and-swap, outages, delays and lost answers."""

    def __init__(self) -> None:
        self.value = b""
        self.index = 0
        self.down = False
        self.lose: str = ""
        self.delay = LATENCY
        self.writes = 0
        self.reads = 0

    def swap(self, value: bytes, index: int) -> bool:
        """Compare and swap."""
        if index != self.index:
            return False
        self.value, self.index = value, self.index + 1
        self.writes += 1
        return True


class FakeEngine:
    """One engine: holds at most one group, checks fencing numbers or ignores them.

    When some engines die, only the process dies, and their hosts refuse connections.
    """

    def __init__(self, host: str, fencing: bool) -> None:
        self.host = host
        self.fencing = fencing
        self.boots = 0
        self.alive = True
        self.refuses = host in ("h0", "h3")
        self.paused = False
        self.leaving = False
        self.fence = (0, 0)
        self.clear()

    def clear(self) -> None:
        """Hold nothing."""
        self.group, self.epoch, self.rank = "", 0, 0
        self.state = EngineState.EMPTY
        self.hollow = False
        self.ready_at = 0.0

    def reboot(self, hollow: bool = False) -> None:
        """Come back in a new boot; fencing numbers are forgotten too.

        :param hollow: it reports its old role as if nothing had happened, with nothing loaded
        """
        self.boots += 1
        self.alive, self.paused, self.leaving = True, False, False
        self.fence = (0, 0)
        if hollow and self.state == EngineState.READY:
            self.hollow = True
        else:
            self.clear()

    def take(self, order: Order, now: float, load_seconds: float) -> None:
        """Carry out an order."""
        if self.fencing and order.fence < self.fence:
            return
        self.fence = max(self.fence, order.fence)
        if order.kind == "unload":
            self.clear()
            return
        self.group, self.epoch, self.rank = order.group, order.epoch, order.rank
        self.state, self.ready_at = EngineState.LOADING, now + load_seconds
        self.hollow = False

    def step(self, now: float) -> None:
        """Finish loading."""
        if self.state == EngineState.LOADING and now >= self.ready_at:
            self.state = EngineState.READY

    def report(self) -> HostReport:
        """Return the report."""
        return HostReport(
            self.host,
            str(self.boots),
            self.group,
            self.epoch,
            self.rank,
            self.state,
            self.leaving,
            0,
            0,
            8,
        )


class Node:
    """One entry host: the product's decision modules and an inbox for when it is paused."""

    def __init__(self, name: str, number: int, life: int, world: DomainWorld) -> None:
        self.name = name
        self.number = number
        self.life = life
        self.alive = True
        self.paused = False
        self.deferred: list[Callable[[], None]] = []
        rng = random.Random(f"{world.seed}/{name}/{life}")
        self.steward = DomainSteward(name, str(life), DOMAIN, world.policy, world.fencing)
        self.router = Router(CENTRE, rng)
        self.book = EvidenceTracker(self.router)
        row = Row(name, name, CENTRE, int(world.now * 1000), 0, run_id=str(life))
        self.membership = Membership(row, [n for n in world.names if n != name], rng, world.now)
        self.last_gossip = world.now
        self.probing: set[str] = set()
        self.told_version = (0, 0)


class Accepted(NamedTuple):
    """A group that some entry host sends to and whose head takes requests."""

    node: str
    group: str
    epoch: int
    hosts: frozenset[str]


class DomainWorld:
    """The domain, its entry hosts and the faults."""

    def __init__(
        self,
        seed: int,
        hosts: int = 6,
        nodes: int = 3,
        fencing: bool = True,
        rate: float = 8.0,
        step: float = STEP,
        load_seconds: tuple[float, ...] = LOAD_SECONDS,
    ) -> None:
        self.step_seconds = step
        self.load_seconds = load_seconds
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.fencing = fencing
        self.policy = Policy(exchange_rate=rate)
        self.store = FakeStore()
        self.engines = {f"h{n}": FakeEngine(f"h{n}", fencing) for n in range(hosts)}
        self.listed = dict.fromkeys(self.engines, HostState.LIVE)
        self.names = [f"e{n}" for n in range(nodes)]
        self.cuts: set[frozenset[str]] = set()
        self.wanted = wanted_groups("v1", 2)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.last_there: dict[tuple[str, int, str], float] = {}
        self.leaving_since: dict[str, float] = {}
        self.steps = 0
        self.ordered_by = 0
        self.nodes = {n: Node(n, i, 0, self) for i, n in enumerate(self.names)}

    # Faults

    def cut(self, a: str, b: str) -> None:
        """Cut two parties off from each other."""
        self.cuts.add(frozenset((a, b)))

    def heal(self) -> None:
        """Undo all cuts and faults of the store."""
        self.cuts.clear()
        self.store.down, self.store.lose, self.store.delay = False, "", LATENCY

    def kill_node(self, name: str) -> None:
        """Kill an entry host."""
        self.nodes[name].alive = False

    def start_node(self, name: str) -> None:
        """Start an entry host anew: it keeps nothing."""
        old = self.nodes[name]
        self.nodes[name] = Node(name, old.number, old.life + 1, self)

    def pause_node(self, name: str) -> None:
        """Stop an entry host's process."""
        self.nodes[name].paused = True

    def wake_node(self, name: str) -> None:
        """Let it go on; what came meanwhile is handled now, in order."""
        node = self.nodes[name]
        node.paused = False
        deferred, node.deferred = node.deferred, []
        for work in deferred:
            work()

    def reboot(self, host: str, hollow: bool = False) -> None:
        """The host comes back in a new boot, which does not leave unless the list says so."""
        self.engines[host].reboot(hollow)
        if self.listed[host] == HostState.LIVE:
            self.leaving_since.pop(host, None)

    def mark_leaving(self, host: str) -> None:
        """The engine says that it leaves."""
        self.engines[host].leaving = True
        self.leaving_since.setdefault(host, self.now)

    def list_leaving(self, host: str) -> None:
        """The platform's list says that the host leaves."""
        self.listed[host] = HostState.LEAVING
        self.leaving_since.setdefault(host, self.now)

    def stay(self, host: str) -> None:
        """The host no longer leaves."""
        self.listed[host] = HostState.LIVE
        self.engines[host].leaving = False
        self.leaving_since.pop(host, None)

    # Time

    def run(self, seconds: float) -> None:
        """Let time pass, checking the promises at each step."""
        for _ in range(max(1, round(seconds / self.step_seconds))):
            self.step()

    def step(self) -> None:
        """Let one step pass."""
        self.steps += 1
        self.now += self.step_seconds
        while self._queue and self._queue[0][0] <= self.now:
            heapq.heappop(self._queue)[2]()
        for engine in self.engines.values():
            if engine.alive and not engine.paused:
                engine.step(self.now)
        for node in self.nodes.values():
            if node.alive and not node.paused:
                self._tick(node)
        self._note_members()
        self.check()

    def at(self, delay: float, work: Callable[[], None]) -> None:
        """Do something later."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, work))

    def _to_node(self, node: Node, delay: float, work: Callable[[], None]) -> None:
        def deliver() -> None:
            if self.nodes[node.name] is not node or not node.alive:
                return
            if node.paused:
                node.deferred.append(work)
            else:
                work()

        self.at(delay, deliver)

    def linked(self, a: str, b: str) -> bool:
        """Tell whether messages pass between two parties."""
        return frozenset((a, b)) not in self.cuts

    # Entry hosts

    def _tick(self, node: Node) -> None:
        if self.now - node.last_gossip >= 1.0 - 1e-9:
            node.last_gossip = self.now
            for send in node.membership.tick(self.now):
                self._to_peer(node, send.address, send.message)
        steward = node.steward
        if (self.steps + node.number) % round(TICK / self.step_seconds) == 0:
            steward.watch.set_hosts(
                HostEntry(h, h, DOMAIN, CENTRE, state) for h, state in self.listed.items()
            )
            leaving = (h for h, s in self.listed.items() if s == HostState.LEAVING)
            node.router.leaving_hosts = frozenset(leaving)
            steward.wanted = self.wanted
            live = node.membership.live(self.now)
            steward.incarnation_by_host = {h: r.run_id for h, r in live.items()}
            steward.owner_evidence_at = node.book.received_at_by_domain.get(DOMAIN, -1e9)
            steward.settled = node.membership.startup_complete(self.now)
            self._perform(node, steward.tick(self.now))
            if steward.owned:
                self._probe_all(node)
                if steward.may_publish(self.now):
                    self._publish(node)
        for evidence, record in node.book.to_probe(self.now):
            if record.group not in node.probing:
                self._self_probe(node, evidence, record)

    def _perform(self, node: Node, effects: list[stewardship.Effect]) -> None:
        for effect in effects:
            match effect:
                case stewardship.ReadLedger():
                    self._call_store(node, None)
                case stewardship.SwapLedger():
                    self._call_store(node, effect)
                case stewardship.SendOrder(order):
                    self._send_order(node, order)
                case stewardship.RequestTicket(key, _):
                    wait = self.rng.choice((0.0, 0.0, 0.5))
                    self._to_node(node, LATENCY, partial(self._ticket, node, key, wait))

    def _ticket(self, node: Node, key: OrderKey, wait: float) -> None:
        node.steward.apply_ticket(key, wait, self.now)

    def _call_store(self, node: Node, swap: stewardship.SwapLedger | None) -> None:
        store = self.store
        failed = stewardship.StoreFailed(swap is not None)

        def answer(event: stewardship.StoreEvent, delay: float) -> None:
            self._to_node(
                node,
                delay,
                lambda: self._perform(node, node.steward.apply_store_event(event, self.now)),
            )

        def arrive() -> None:
            if store.down or not self.linked(node.name, "store"):
                answer(failed, 0.5)
                return
            if swap is None:
                store.reads += 1
                answer(stewardship.LedgerAnswer(store.value, store.index), store.delay)
                return
            done = store.swap(swap.value, swap.modify_index)
            self._check_ledger()
            if store.lose == "answer":
                answer(failed, 2.0)
            else:
                answer(stewardship.SwapAnswer(done), store.delay)

        if store.lose == "late" and swap is not None:
            # The caller gives up, and the write lands much later.
            answer(failed, 2.0)
            self.at(self.rng.uniform(2.0, 8.0), partial(self._land, swap))
            return
        self.at(store.delay, arrive)

    def _land(self, swap: stewardship.SwapLedger) -> None:
        self.store.swap(swap.value, swap.modify_index)
        self._check_ledger()

    def _send_order(self, node: Node, order: Order) -> None:
        if not node.steward.may_send(order, self.now) or not self.linked(node.name, order.host):
            return
        engine = self.engines[order.host]

        def arrive() -> None:
            if engine.alive and not engine.paused:
                self._check_order(order)
                engine.take(order, self.now, self.rng.choice(self.load_seconds))

        self.at(self.rng.uniform(LATENCY, ownership.ORDER_SEND_TIMEOUT - 0.1), arrive)

    def _probe(
        self,
        node: Node,
        host: str,
        done: Callable[[TimedReport], None],
        refused: Callable[[str, float], None] | None = None,
    ) -> None:
        sent_at = self.now
        engine = self.engines[host]

        def arrive() -> None:
            if not self.linked(node.name, host):
                return
            if engine.alive and not engine.paused:
                report = engine.report()
                self._to_node(node, LATENCY, lambda: done(TimedReport(report, sent_at)))
            elif not engine.alive and engine.refuses and refused is not None:
                self._to_node(node, LATENCY, lambda: refused(host, sent_at))

        if self.linked(node.name, host):
            self.at(LATENCY, arrive)

    def _probe_all(self, node: Node) -> None:
        for entry in node.steward.watch.to_probe(self.now):
            watch = node.steward.watch
            self._probe(node, entry.host, watch.apply_report, watch.record_refused_probe)

    def _self_probe(self, node: Node, evidence: Any, record: Any) -> None:
        node.probing.add(record.group)
        seen: dict[str, TimedReport] = {}
        sent_at = self.now
        for member in record.members:
            self._probe(node, member.host, lambda s: seen.__setitem__(s.report.host, s))

        def done() -> None:
            node.probing.discard(record.group)
            node.book.probed(evidence, record, seen, sent_at, self.now)

        self._to_node(node, 0.3, done)

    def _publish(self, node: Node) -> None:
        full = node.steward.evidence(CENTRE, self.now, True)
        node.book.learn(full, self.now)
        version = (node.steward.ownership_state.epoch, node.steward.ledger.version)
        evidence = full if node.told_version != version else full._replace(records=())
        node.told_version = version
        for name in self.names:
            if name != node.name:
                self._to_peer(node, name, evidence)

    def _to_peer(self, node: Node, name: str, body: Gossip | DomainEvidence) -> None:
        peer = self.nodes[name]
        stamp, life = self.now, node.life

        def arrive() -> None:
            received = PeerMessage(node.name, node.name, life, stamp, self.now, body)
            if isinstance(body, Gossip):
                peer.membership.receive(self.now, body)
            else:
                self._hear(peer, body, received)

        if self.linked(node.name, name):
            self._to_node(peer, LATENCY, arrive)

    def _hear(self, peer: Node, body: DomainEvidence, received: PeerMessage) -> None:
        if not peer.book.receive(body, received):
            return
        owner = self.nodes[received.sender]

        def asked() -> None:
            if owner.steward.owned and owner.steward.may_publish(self.now):
                full = owner.steward.evidence(CENTRE, self.now, True)
                self._to_peer(owner, peer.name, full)

        if self.linked(peer.name, owner.name):
            self._to_node(owner, LATENCY, asked)

    # The oracle

    def _note_members(self) -> None:
        """Note which engines are there as members, by the group and epoch that they hold."""
        for host, engine in self.engines.items():
            there = engine.alive and not engine.paused and not engine.hollow
            if there and engine.state == EngineState.READY:
                self.last_there[(engine.group, engine.epoch, host)] = self.now

    def sendable(self) -> list[Accepted]:
        """Return what every entry host would send to at this moment."""
        return [
            Accepted(n.name, g, e.view.epoch, frozenset(m.host for m in e.view.members))
            for n in self.nodes.values()
            if n.alive and not n.paused
            for g, e in n.router.by_group.items()
            if n.router.may_send(g, e.view.epoch, self.now)
        ]

    def check(self) -> None:
        """Compare what the entry hosts would do with what is true.

        :raises ViolationError: if a promise is broken
        """
        sendable = self.sendable()
        for item in sendable:
            self._check_whole(item)
            self._check_leaving(item)
        self._check_disjoint([s for s in sendable if self._head_takes(s)])

    def _check_whole(self, item: Accepted) -> None:
        for host in item.hosts:
            seen = self.last_there.get((item.group, item.epoch, host), -1.0)
            if self.now - seen > EVIDENCE_MAX_AGE + self.step_seconds:
                raise ViolationError(
                    f"{item.node} sends to {item.group} without {host}, {seen:.1f}"
                )

    def _check_leaving(self, item: Accepted) -> None:
        for host in item.hosts:
            since = self.leaving_since.get(host)
            if since is not None and self.now - since > LEAVING_BOUND + 1e-6:
                raise ViolationError(f"{item.node} sends to {item.group} with leaving {host}")

    def _check_disjoint(self, taking: list[Accepted]) -> None:
        for first in taking:
            for second in taking:
                if first.group != second.group and first.hosts & second.hosts:
                    raise ViolationError(f"{first} and {second} share hosts")

    def _head_takes(self, item: Accepted) -> bool:
        engines = [self.engines[h] for h in item.hosts]
        return any(
            e.alive and e.rank == 0 and (e.group, e.epoch) == (item.group, item.epoch)
            for e in engines
        )

    def _check_order(self, order: Order) -> None:
        """Engines that ignore fencing numbers must not get a displaced owner's orders any more."""
        if not self.fencing and order.fence[0] < self.ordered_by:
            raise ViolationError(f"order of owner epoch {order.fence[0]} after {self.ordered_by}")
        self.ordered_by = max(self.ordered_by, order.fence[0])

    def _check_ledger(self) -> None:
        ledger = decode_ledger(self.store.value, DOMAIN)
        members = [m.host for g in ledger.groups.values() for m in g.members]
        if len(members) != len(set(members)) or len(group_by_host(ledger)) != len(members):
            raise ViolationError(f"a host is in two groups of the ledger: {members}")

    # Ends

    def recover(self) -> None:
        """Undo every fault."""
        self.heal()
        for host, engine in self.engines.items():
            if not engine.alive:
                engine.reboot()
            engine.paused = False
            self.stay(host)
        for name, node in self.nodes.items():
            if not node.alive:
                self.start_node(name)
            elif node.paused:
                self.wake_node(name)

    def all_serve(self) -> bool:
        """Tell whether every entry host sends to every wanted group."""
        wanted = {w.group for w in self.wanted}
        by_node: dict[str, set[str]] = {n: set() for n in self.names}
        for item in self.sendable():
            by_node[item.node].add(item.group)
        return all(wanted <= groups for groups in by_node.values())

    def until_all_serve(self, limit: float) -> float:
        """Run until all wanted groups serve; return how long that took.

        :raises ViolationError: if it takes longer than ``limit`` seconds
        """
        began = self.now
        while not self.all_serve():
            if self.now - began > limit:
                raise ViolationError(f"not whole again {limit} s after the last fault ended")
            self.step()
        return self.now - began
