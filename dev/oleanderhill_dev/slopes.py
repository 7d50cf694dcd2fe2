"""``make slopes``: sweeps of the real code on one machine, with a line fitted to each.

Each sweep gives what one unit more costs (a peer, a group, a setting), in processor time, bytes or
memory. ``docs/slopes.json`` keeps a run; :mod:`.capacity` works the page out from it.
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import defopt
import msgspec
import numpy

from oleanderhill.domains.placement import Policy, Situation, decide
from oleanderhill.domains.planner import DomainState, Plan, make_plan
from oleanderhill.domains.steward import DomainSteward
from oleanderhill.journal import once
from oleanderhill.limits.accounts import AccountLimits
from oleanderhill.members.membership import Gossip, Membership, Row
from oleanderhill.members.wire import encode_message
from oleanderhill.routing.evidence import EvidenceTracker
from oleanderhill.routing.router import Requirements, Router
from oleanderhill.settings import documents
from oleanderhill.settings import writes as settings
from oleanderhill.settings.fleet import build_fleet, hash_key
from oleanderhill.types import (
    DomainLedger,
    EngineState,
    GroupRecord,
    GroupSpec,
    HostEntry,
    HostReport,
    Member,
    TimedReport,
    WantedGroup,
)

HOSTS_OF_A_GROUP = 4
SPEC = GroupSpec("yard", "bale", "yard/bale-reader", "v1", ("x",), HOSTS_OF_A_GROUP, 40.0)
REPEAT = 5


class Line(NamedTuple):
    """A line fitted to a sweep.

    :param residual: greatest distance of a point from the line, as a part of the greatest value
    """

    unit: str
    per: str
    slope: float
    intercept: float
    residual: float
    points: list[tuple[int, float]]


def fit(unit: str, per: str, points: list[tuple[int, float]]) -> Line:
    """Fit a line through the points of a sweep."""
    xs = numpy.array([p[0] for p in points], dtype=float)
    ys = numpy.array([p[1] for p in points], dtype=float)
    slope, intercept = numpy.polyfit(xs, ys, 1)
    residual = float(numpy.max(numpy.abs(ys - (slope * xs + intercept))) / max(ys.max(), 1e-12))
    shown = [(x, round(y, 3)) for x, y in points]
    return Line(unit, per, float(slope), float(intercept), round(residual, 3), shown)


def microseconds(work: Callable[[], Any], times: int) -> float:
    """Return the processor time of a piece of work, the least of some tries."""
    best = float("inf")
    for _ in range(REPEAT):
        began = time.process_time()
        for _ in range(times):
            work()
        best = min(best, (time.process_time() - began) / times)
    return best * 1e6


def kilobytes(make: Callable[[], Any]) -> float:
    """Return the memory that a state takes."""
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del kept
    return size


def member_of(number: int, boot: str = "b0") -> Member:
    """Return a member."""
    return Member(f"host-{number:05d}", f"10.1.{number // 250}.{number % 250}:9000", boot)


def records_of(groups: int, first: int = 0) -> tuple[GroupRecord, ...]:
    """Return groups with members of their own."""
    return tuple(
        GroupRecord(
            f"yard/bale@d12cb945#{g}",
            1 << 20,
            SPEC,
            tuple(member_of(g * HOSTS_OF_A_GROUP + n) for n in range(HOSTS_OF_A_GROUP)),
        )
        for g in range(first, first + groups)
    )


def owner_of(groups: int) -> DomainSteward:
    """Return the steward of a domain with whole groups."""
    steward = DomainSteward("entry-1", "life", "fabric-a", Policy())
    records = records_of(groups)
    steward.ledger = DomainLedger(
        "fabric-a", "entry-1", "life", 1, "", {r.group: r for r in records}
    )
    steward.ownership_state = steward.ownership_state._replace(
        owned=True, epoch=1, confirmed_at=1000.0
    )
    steward.wanted = tuple(WantedGroup(r.group, SPEC) for r in records)
    entries = []
    for record in records:
        for rank, m in enumerate(record.members):
            entries.append(HostEntry(m.host, m.address, "fabric-a", "hall"))
            report = HostReport(
                m.host,
                m.boot_id,
                record.group,
                record.epoch,
                rank,
                EngineState.READY,
                False,
                3,
                0,
                16,
            )
            steward.watch.apply_report(TimedReport(report, 1000.0))
    steward.watch.set_hosts(entries)
    return steward


def membership_of(peers: int) -> Membership:
    """Return a membership that knows this many peers."""
    me = Row("entry-0000", "10.0.0.1:7002", "hall", 1, 1, run_id="abcdefgh")
    found = Membership(me, [], random.Random(1))
    rng = random.Random(2)
    # Random lives and starts, as in life: alike ones would compress to nothing.
    rows = [
        Row(
            f"entry-{n:04d}",
            f"10.0.{n // 250}.{n % 250}:7002",
            "hall",
            1_790_000_000_000 + rng.randrange(10**10),
            rng.randrange(10**6),
            run_id=f"{rng.getrandbits(32):08x}",
        )
        for n in range(1, peers + 1)
    ]
    found.receive(0.0, Gossip(tuple(rows)))
    return found


def sweep_membership() -> dict[str, Line]:
    """Sweep the number of peers in a data centre."""
    cpu, sent, memory = [], [], []
    for peers in (8, 32, 128, 512):
        m = membership_of(peers)
        cpu.append((peers, microseconds(partial(m.tick, 1.0), 20)))
        size = sum(
            len(encode_message("entry-0000", "10.0.0.1:7002", 1, 1.0, s.message))
            for s in m.tick(1.0)
        )
        sent.append((peers, float(size)))
        memory.append((peers, kilobytes(partial(membership_of, peers))))
    return {
        "membership.cpu": fit("us a second", "peer", cpu),
        "membership.bytes": fit("bytes a second", "peer", sent[1:]),
        "membership.memory": fit("KB", "peer", memory),
    }


def sweep_steward() -> dict[str, Line]:
    """Sweep the groups of an owned domain: tick, placement, evidence, ledger."""
    tick, size, ledger = [], [], []
    for groups in (2, 4, 8, 16, 32):
        s = owner_of(groups)
        tick.append((groups, microseconds(partial(s.tick, 1000.1), 20)))
        states = s.evidence("hall", 1000.0, False)
        size.append(
            (groups, float(len(encode_message("entry-0001", "10.0.0.1:7002", 1, 1.0, states))))
        )
        ledger.append((groups, float(len(msgspec.json.encode(s.ledger)))))
    return {
        "steward.cpu": fit("us a tick", "group", tick),
        "evidence.bytes": fit("bytes a message", "group", size),
        "ledger.bytes": fit("bytes", "group", ledger),
    }


def sweep_placement() -> dict[str, Line]:
    """Sweep the hosts of a domain that comes back at once with nothing loaded."""
    cpu = []
    for groups in (2, 4, 8, 16, 32):
        hosts = [member_of(n) for n in range(groups * HOSTS_OF_A_GROUP)]
        reports = {
            m.host: TimedReport(
                HostReport(m.host, "b", "", 0, 0, EngineState.EMPTY, False, 0, 0, 16), 999.9
            )
            for m in hosts
        }
        situation = Situation(
            1000.0,
            DomainLedger("d"),
            tuple(WantedGroup(f"g{n}", SPEC) for n in range(groups)),
            {m.host: HostEntry(m.host, m.address, "d", "hall") for m in hosts},
            reports,
            {m.host: 0.0 for m in hosts},
            {},
            {},
            Policy(),
        )
        cpu.append((groups, microseconds(partial(decide, situation), 3)))
    return {"placement.cpu": fit("us a decision", "group formed", cpu)}


def sweep_view() -> dict[str, Line]:
    """Sweep the groups in an entry host's view: learning, choosing, memory."""
    learn, choose, memory = [], [], []
    for groups in (50, 200, 1000, 5000):
        evidence = owner_of(groups).evidence("hall", 1000.0, True)
        book = EvidenceTracker(Router("hall", random.Random(1)))
        book.learn(evidence, 1000.0)
        learn.append((groups, microseconds(partial(book.learn, evidence, 1000.0), 2)))
        wanted = Requirements(SPEC.model, prefix="a prompt")
        router = book.router
        choose.append((groups, microseconds(partial(router.choose, wanted, 1000.0), 2)))
        memory.append((groups, kilobytes(partial(_book, evidence))))
    return {
        "view.learn": fit("us a message", "group", learn),
        "view.choose": fit("us a request", "group in view", choose),
        "view.memory": fit("KB", "group in view", memory),
    }


def _book(evidence: Any) -> EvidenceTracker:
    book = EvidenceTracker(Router("hall", random.Random(1)))
    book.learn(evidence, 1000.0)
    return book


def sweep_planner() -> dict[str, Line]:
    """Sweep the groups that a data centre wants."""
    cpu, size = [], []
    for groups in (50, 200, 1000, 5000):
        wanted = [WantedGroup(f"yard/bale@d12cb945#{n}", SPEC) for n in range(groups)]
        states = {f"fabric-{n:03d}": DomainState(36) for n in range(max(1, groups // 8))}
        plan = make_plan(0.0, Plan(0, {}), wanted, states, 8.0)
        size.append((groups, float(len(msgspec.json.encode(plan.domain_by_group)))))
        cpu.append(
            (
                groups,
                microseconds(partial(make_plan, 1.0, plan, wanted, states, 8.0), 2),
            )
        )
    return {
        "planner.cpu": fit("us a plan", "group", cpu),
        "planner.bytes": fit("bytes", "group", size),
    }


def tree_of(entries: int) -> dict[str, Any]:
    """Return a subtree with this many accounts."""
    account = {"models": ["m"], "requests_per_second": 5}
    return {
        "models": {"m": {"versions": {"v1": {"weights_gb": 10}}}},
        "accounts": {
            f"account-{n}": {**account, "key_hashes": [hash_key(f"key {n}")]}
            for n in range(entries)
        },
    }


def sweep_settings() -> dict[str, Line]:
    """Sweep the entries of the settings, and the subtrees in a digest."""
    check, merge, size, memory, digest = [], [], [], [], []
    for entries in (10, 100, 1000, 4000):
        text = json.dumps(tree_of(entries)).encode()
        raw = settings.Subtree(1, msgspec.Raw(text), ())
        document = documents.Document("settings/yard", 1, settings.encode_subtree(raw))
        wire = encode_message("entry-1", "10.0.0.1:7002", 1, 1.0, documents.Have((document,)))
        size.append((entries, float(len(wire))))
        check.append((entries, microseconds(partial(_check, document), 1)))
        trees = _check(document).tree_by_team
        merge.append((entries, microseconds(partial(build_fleet, trees), 1)))
        memory.append((entries, kilobytes(partial(_apply, document))))
    for subtrees in (10, 100, 1000):
        held = documents.Documents()
        for n in range(subtrees):
            held.store_if_newer(documents.Document(f"settings/team-{n}", 5, b"{}"), 0.0)
        digest.append((subtrees, microseconds(held.fingerprint, 3)))
    return {
        "settings.check": fit("us a change", "entry of the subtree", check),
        "settings.build": fit("us a change", "entry of all subtrees", merge),
        "settings.bytes": fit("bytes on the wire", "entry", size),
        "settings.memory": fit("KB", "entry", memory),
        "settings.digest": fit("us a digest", "subtree", digest),
    }


def _check(document: documents.Document) -> settings.SettingsInForce:
    in_force = settings.SettingsInForce()
    in_force.apply(document, 0.0)
    return in_force


def _apply(document: documents.Document) -> Any:
    in_force = _check(document)
    return in_force, build_fleet(in_force.tree_by_team)


def sweep_limits() -> dict[str, Line]:
    """Sweep the accounts that are active at an entry host."""
    cpu, size = [], []
    for accounts in (10, 100, 1000):
        limits = AccountLimits(9)
        names = [f"yard/account-{n}" for n in range(accounts)]
        limits.configure(dict.fromkeys(names, 100.0))

        def second(limits: AccountLimits = limits, names: list[str] = names) -> Any:
            for name in names:
                limits.admit(name, 1.0)
            return limits.tick(frozenset(f"e{n}" for n in range(8)))

        cpu.append((accounts, microseconds(second, 2)))
        size.append(
            (accounts, float(len(encode_message("entry-1", "10.0.0.1:7002", 1, 1.0, second()))))
        )
    return {
        "limits.cpu": fit("us a second", "active account", cpu),
        "limits.bytes": fit("bytes a message", "active account", size),
    }


def sweep_journal() -> dict[str, Line]:
    """Sweep the claims in one batch, and the keys that a shard remembers."""
    cpu, size, memory = [], [], []
    for claims in (1, 10, 50, 200):
        rows = [
            once.Row(once.RowKind.CLAIM, n.to_bytes(16, "big"), b"b" * 16, n.to_bytes(12, "big"))
            for n in range(claims)
        ]
        size.append((claims, float(len(once.encode(once.Batch("w" * 24, tuple(rows)))))))
        cpu.append((claims, microseconds(partial(_journal, rows), 2)))
        memory.append((claims, kilobytes(partial(_journal, rows))))
    return {
        "journal.cpu": fit("us a batch", "claim", cpu),
        "journal.bytes": fit("bytes a batch", "claim", size),
        "journal.memory": fit("KB", "key remembered", memory),
    }


def _journal(rows: list[once.Row]) -> once.Journal:
    journal = once.Journal()
    journal.claim(rows[0])
    journal.read([])
    for row in rows[1:]:
        journal.claim(row)
    for _ in range(3):
        journal.appended(once.AppendResult.CREATED)
    return journal


def measure() -> dict[str, Line]:
    """Make all sweeps."""
    found: dict[str, Line] = {}
    sweeps = (
        sweep_membership,
        sweep_steward,
        sweep_placement,
        sweep_view,
        sweep_planner,
        sweep_settings,
        sweep_limits,
        sweep_journal,
    )
    for sweep in sweeps:
        found.update(sweep())
    return found


def main(*, out: str = "docs/slopes.json", bench: str = "build/bench.json") -> None:
    """Measure the slopes and keep them for the capacity page.

    :param out: where to
    :param bench: a result of ``make bench``, for what an entry process costs by itself
    """
    lines = measure()
    for name, line in lines.items():
        print(
            f"slopes: {name}: {line.slope:.4g} {line.unit} per {line.per},"
            f" from {line.intercept:.4g}, residual {line.residual:.1%}"
        )
    result = {
        "lines": {name: line._asdict() for name, line in lines.items()},
        "bench": json.loads(Path(bench).read_text()),
    }
    Path(out).write_text(json.dumps(result, indent=1) + "\n")
    print(f"slopes: written to {out}")


if __name__ == "__main__":
    defopt.run(main)
