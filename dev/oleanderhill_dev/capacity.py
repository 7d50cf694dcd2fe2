"""Writes docs/CAPACITY.md from docs/slopes.json, so that the page can't drift from the figures."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

import defopt

NODES = 2_200
DATA_CENTRES = 21
REPLICAS = 10_000
HOSTS_OF_A_GROUP = 4
GROUPS_OF_A_DOMAIN = 8
REQUESTS = 47_000
TOKENS = 20_000_000
CHANGES_A_DAY = 33_000
ENTRIES = 8_000
SUBTREES = 200
ACCOUNTS_ACTIVE = 20
CLAIMS_PART = 0.02
KEYS_KEPT_SECONDS = 3_600
DAY = 86_400
LOSSES_A_DAY = 120 + 640
TICKS = 2.0
"""Ticks and messages of evidence, each second."""

PROBES = 1.0
"""Probes of a host each second."""

VIEW_DOMAINS = 6
REMOTE_VIEW_DOMAINS = 1
PLANNER_UPDATE_INTERVAL = 2.0
SHARDS = 8
MIN_BUILD_INTERVAL = 6.0
DEMAND_FANOUT = 2

CORE_BUDGET = 0.02
MEMORY_BUDGET = 64.0
BYTES_BUDGET = 5_000.0
STORE_WRITES = 300.0
STORE_READS = 2_000.0

NODES_OF_A_CENTRE = NODES / DATA_CENTRES
GROUPS_OF_A_CENTRE = REPLICAS / DATA_CENTRES
DOMAINS_OF_A_CENTRE = GROUPS_OF_A_CENTRE / GROUPS_OF_A_DOMAIN
GROUPS_OWNED = REPLICAS / NODES
GROUPS_IN_VIEW = VIEW_DOMAINS * GROUPS_OF_A_DOMAIN
FAR_CONTACTS = 9 * (DATA_CENTRES - 1)
GROUPS_FAR = (DATA_CENTRES - 1) * REMOTE_VIEW_DOMAINS * GROUPS_OF_A_DOMAIN
AUDIENCE = (
    NODES_OF_A_CENTRE * VIEW_DOMAINS + FAR_CONTACTS * REMOTE_VIEW_DOMAINS
) / DOMAINS_OF_A_CENTRE


class Row(NamedTuple):
    """One role on one node at the size to come.

    :param cpu: part of a core
    :param memory: MB
    :param sent: bytes a second sent to peers
    """

    role: str
    state: str
    messages: str
    cpu: float
    memory: float
    sent: float
    carried_by: str


class Slopes:
    """The measured lines and the benchmark."""

    def __init__(self, measured: dict[str, Any]) -> None:
        self.lines = measured["lines"]
        self.bench = measured["bench"]

    def at(self, name: str, count: float) -> float:
        """Return a line's value; below its sweep a line may not go under zero."""
        line = self.lines[name]
        return max(0.0, line["slope"] * count + max(0.0, line["intercept"]))


def control_rows(s: Slopes) -> list[Row]:
    """Return the rows that count as control."""
    evidence = s.at("evidence.bytes", GROUPS_OF_A_DOMAIN)
    domains_owned = GROUPS_OWNED / GROUPS_OF_A_DOMAIN
    changes = CHANGES_A_DAY / DAY
    subtree = ENTRIES / SUBTREES
    probes = GROUPS_OWNED * HOSTS_OF_A_GROUP * PROBES
    heard = TICKS * (VIEW_DOMAINS + (DATA_CENTRES - 1) * REMOTE_VIEW_DOMAINS)
    builds = min(changes, 1 / MIN_BUILD_INTERVAL)
    settings_cpu = changes * s.at("settings.check", subtree) + builds * s.at(
        "settings.build", ENTRIES
    )
    return [
        Row(
            "process itself",
            "interpreter, libraries",
            "-",
            s.bench["control"]["other"]["core_part"],
            s.bench["control"]["other"]["resident_mb"],
            0.0,
            "`entry`",
        ),
        Row(
            "membership",
            f"{NODES_OF_A_CENTRE:.0f} peers, 9 contacts of each other data centre",
            "2.2 of gossip a second",
            s.at("membership.cpu", NODES_OF_A_CENTRE) / 1e6,
            s.at("membership.memory", NODES_OF_A_CENTRE + 9 * DATA_CENTRES) / 1024,
            s.at("membership.bytes", NODES_OF_A_CENTRE),
            "`membership`, `task`",
        ),
        Row(
            "domain owner: probes",
            f"{GROUPS_OWNED * HOSTS_OF_A_GROUP:.0f} hosts",
            f"{probes:.0f} probes a second",
            probes * s.bench["control"]["us_a_probe"] / 1e6,
            0.1,
            0.0,
            "`stewards`, `targets`",
        ),
        Row(
            "domain owner: decisions",
            f"{domains_owned:.2f} domains, {GROUPS_OWNED:.1f} groups",
            f"to {AUDIENCE:.0f} nodes, {evidence:.0f} bytes each",
            TICKS * domains_owned * s.at("steward.cpu", GROUPS_OF_A_DOMAIN) / 1e6,
            domains_owned * s.at("ledger.bytes", GROUPS_OF_A_DOMAIN) * 20 / 1024**2,
            domains_owned * evidence * (TICKS * AUDIENCE + 1 / PLANNER_UPDATE_INTERVAL),
            "`steward`, `placement`, `orders`, `evidence`",
        ),
        Row(
            "dispatch: view",
            f"{GROUPS_IN_VIEW} groups, as a contact {GROUPS_FAR} of others",
            f"{heard:.0f} of evidence a second received",
            heard * s.at("view.learn", GROUPS_OF_A_DOMAIN) / 1e6,
            s.at("view.memory", GROUPS_IN_VIEW + GROUPS_FAR) / 1024,
            0.0,
            "`dispatch`, `evidence`, `router`",
        ),
        Row(
            "planner (one node of a data centre)",
            f"{GROUPS_OF_A_CENTRE:.0f} groups",
            f"{DOMAINS_OF_A_CENTRE / PLANNER_UPDATE_INTERVAL:.0f} of evidence a second received",
            s.at("planner.cpu", GROUPS_OF_A_CENTRE) / 1e6,
            s.at("planner.bytes", GROUPS_OF_A_CENTRE) * 5 / 1024**2,
            0.0,
            "`planner`, `planning`",
        ),
        Row(
            "settings relay",
            f"{ENTRIES:,} entries in {SUBTREES} subtrees",
            f"{changes:.2f} changes a second, told to 2 peers, passed on once",
            settings_cpu / 1e6 + s.at("settings.digest", SUBTREES) / 1e6,
            s.at("settings.memory", ENTRIES) / 1024,
            changes * (s.at("settings.bytes", subtree) + 2 * 120) + 120,
            "`documents`, `relay`, `fleet`",
        ),
        Row(
            "limits",
            f"{ACCOUNTS_ACTIVE} active accounts",
            f"demand to {DEMAND_FANOUT} peers a second, in turn",
            s.at("limits.cpu", ACCOUNTS_ACTIVE) / 1e6,
            0.1,
            DEMAND_FANOUT * s.at("limits.bytes", ACCOUNTS_ACTIVE),
            "`accounts`, `limiting`",
        ),
    ]


def traffic_rows(s: Slopes) -> list[Row]:
    """Return the rows that follow the requests."""
    requests = REQUESTS / NODES
    tokens = TOKENS / NODES
    claims = REQUESTS * CLAIMS_PART / NODES
    kept = REQUESTS * CLAIMS_PART * KEYS_KEPT_SECONDS / DATA_CENTRES / SHARDS
    return [
        Row(
            "edge",
            f"{requests:.0f} requests a second",
            "1 exchange each",
            requests * s.bench["requests"]["cpu_ms_each"] / 1e3,
            1.0,
            0.0,
            "`edge`, `exchange`, `attempts`",
        ),
        Row(
            "relay",
            f"{tokens:,.0f} tokens a second",
            "1 event a token",
            tokens * s.bench["tokens"]["cpu_us_each"] / 1e6,
            4.0,
            0.0,
            "`exchange`, `httpcall`",
        ),
        Row(
            "journal of non-idempotent requests",
            f"{kept:,.0f} keys of a shard for an hour",
            f"{claims:.2f} claims a second",
            claims * s.at("journal.cpu", 1) / 1e6,
            s.at("journal.memory", kept) / 1024,
            claims * 250,
            "`once`, `claims`",
        ),
    ]


def store_rows() -> list[tuple[str, float, float, str]]:
    """Return what reaches the store: role, writes and reads a second, and what it follows."""
    losses = LOSSES_A_DAY / DAY
    changes = CHANGES_A_DAY / DAY
    domains = REPLICAS / GROUPS_OF_A_DOMAIN
    claim_writes = DATA_CENTRES * SHARDS * 1.0
    return [
        ("ledgers: repairs", 2 * losses, 4 * losses, "losses"),
        ("ledgers: confirmations", 0.0, domains / 10, "domains, one in 10 s"),
        ("settings: writes", changes, 2 * changes, "changes"),
        ("settings and plans: watches", 0.0, 2 * 2 * DATA_CENTRES / 20, "data centres"),
        ("host lists: watches", 0.0, 2 * DATA_CENTRES / 20, "data centres"),
        ("journal: batches", claim_writes, claim_writes, "shards x data centres, one a second"),
    ]


PLATFORM_HEAD = """
## On the users' platform

From a sweep of the users' program over one day of the large fleet at {sizes} entry hosts
(`docs/sweep.json`): the middle and the busiest entry host. The power is that with which the busiest
grows with the number of hosts; the last column carries it on to 2,208 of them. That size was not
played, and 300 was not either: it takes more than half of the machine's memory beside other plays.

| | {columns} | power | at 2,208 |
|---|{rule}---:|---:|
"""

PLATFORM_NOTES = """
What carries each, and where it breaks:

- *kB a second* of the busiest host grows as the fleet does, and would be 92 Mbit/s at 2,208
  hosts. By the code it is the main reader, which reads each heartbeat of each engine host, and
  hands what changed on to the readers (`groups/readers.py`); the sweep does not say which host it
  is. Readers are chosen among strong machines; behind 100 Mbit/s this breaks first. What would
  carry it further, readers that hand on to some neighbours who hand on to the rest, is not built.
- *Processor and memory* of a host stay as they are, requests included: what a reading changes is
  worked out, not the fleet (`make upkeep`: a reading with one change takes 1.2 ms at 2,200 entry
  hosts and 40,000 engine hosts, the whole content 0.6 s of a core at a start).
- *Wake-ups*: most are datagrams of load reports, 20 a second from a hub, in one or more parts.
- *Leaving host in force* follows the readings of the store, and does not grow.
- *Next acknowledgement after a kill* is about the lease of an owner, three seconds, at any size.
- At {least} entry hosts {least_served} of the requests were served: its domains are too small for
  the large model (`docs/POLICY.md`).
"""

PROXY_NOTES = """
## What a request through a peer takes

Both entry hosts and a target that answers at once in one process, three runs on a busy machine,
processor time of all together: a request with 800 bytes back 0.44 to 0.55 ms over the own link
and 1.9 to 2.0 ms through a peer, a stream of 30 events 4.3 to 5.7 and 10.3 to 11.7 ms. So the hop
takes 1.5 ms a request and 0.2 ms an event, shared by the two hosts. At peace there is no message
and no connection for it.

At 2,200 entry hosts and 47,000 requests a second, a data centre of 105 hosts that is cut off as a
whole has 2,240 requests a second passed on, about one a second at each of the others: half a
percent of a core with 30 events each. If some of its hosts still reach the targets, each takes up
to four requests of every cut host more than one elsewhere. A choice ranks the proven peers and
twelve others, whatever the number of hosts; the list of peers is built when the presences change.
"""

LOAD_NOTES = """
## What deciding under load takes

*Cold targets* (a script over `ColdLimits`, one process, a busy machine): no message between entry
hosts, no call to the store. At the first question about a cold target after a new list of 2,200
entry hosts, that list is ranked in 3 ms, and takes 0.5 MB. A statement takes 5 to 7 us, the first
question about a target after a new list 34 us and each further one 2 to 4 us, at 61, 195 and
2,200 hosts alike; a cold target takes 0.7 kB. A data centre of 1,000 heads that returns at once
costs a host 40 ms in all, again with each new list of entry hosts, and each choice among these
heads 2 to 4 ms.

*Capacity that follows demand* (`groups/needs.py`, `groups/shifting.py`) sends no messages, and an
order more for a group that is given up. By a run of single functions for 2,222 domains of 18
engine hosts on a busy machine, an owner spends 0.8 to 1.3 ms a refresh on the state of all
domains and 2.3 to 3 ms on the needs of the models (1.1 to 2 ms before), and some 0.05 ms on the
decision while no model is short; while one is, 17 ms a refresh and 60 ms a look, of which there
is one in a second at most. Five refreshes a second are regular; those that news begins take a
twentieth of a core at most (`REFRESH_SPACING_FACTOR`). The state of all domains takes 0.9 MB at
an owner, the demand of two models 15 KB on each entry host.

*Evacuations*: no datagram and no call to the store. A relayed reading carries the names of the
copied prefixes, 115 bytes: 0.18 kB a second at a host that reads every 0.65 s, 1.0 Mbit/s at a
reader of 700. A script with 40,000 engine hosts and 4,444 groups, a third of them evacuated: the
check before the first byte takes 0.5 to 0.8 us with none in force and 0.8 to 1.6 us with one,
working the targets out again after a change 9 to 15 ms (with none in force nothing is added).

*Learned timing* (`design/prediction.md`), from a script on a busy machine, for three models and
10,000 targets, 20 requests a second on the host:

- An answer costs 0.016 ms, an own report 0.08 ms each 0.2 s, the values in force 0.45 ms each 0.4 s
  and 3.3 ms while 200 targets are slow: 0.2 and 0.9% of a core. Choosing among 75 targets takes no
  longer than before. A reading of the store that changes targets costs 2.5 ms more.
- An own report has 1.7 kB, the total over all hosts 1.8 kB and 16 kB while 200 targets are slow. At
  2,208 hosts a host sends 8 kB a second and receives 9 to 79. The one of a data centre that sends
  the totals to 105 hosts sends 1 MB a second, and 8 MB with 200 slow targets, which is worked out
  and not played: the rows of slow targets break first. Hosts no longer repeat each other's rows
  since that run, so fewer are sent.

*Admission* (`serving/admission_control.py`), worked out from a run of its parts in one process on
a busy machine, not played at this size: a decision takes 0.14 to 0.34 ms with 75 targets, beside
0.26 to 0.48 ms for the choice of a target after it, as both look at each target. A host reports
its arrivals five times a second, 79 bytes where it has seen one kind of request; the sum over
2,200 hosts takes 234 bytes for six kinds, and 3.9 kB (four datagrams) while 24 accounts in each
of six kinds compete. Both are the same for any number of hosts.
"""


def platform_section(sweep: dict[str, Any]) -> str:
    """Return what the sweep over sizes of the users' platform shows."""
    sizes = sweep["entry_hosts"]
    head = PLATFORM_HEAD.format(
        sizes=", ".join(map(str, sizes)),
        columns=" | ".join(f"{n}" for n in sizes),
        rule="---:|" * len(sizes),
    )
    rows = [
        f"| {row['what']} | "
        + " | ".join(f"{m:g} / {b:g}" for m, b in zip(row["middle"], row["busiest"], strict=True))
        + f" | {row['power']:g} | {row['at_size']:,g} |"
        for row in sweep["rows"]
    ]
    notes = PLATFORM_NOTES.format(least=sizes[0], least_served=sweep["served"][0])
    return head + "\n".join(rows) + "\n" + notes + PROXY_NOTES + LOAD_NOTES


def page(measured: dict[str, Any], sweep: dict[str, Any]) -> str:
    """Return the page."""
    return _own_interface(measured) + platform_section(sweep)


def _own_interface(measured: dict[str, Any]) -> str:
    s = Slopes(measured)
    control, traffic = control_rows(s), traffic_rows(s)
    return "\n".join(
        [
            HEAD.format(
                nodes=NODES_OF_A_CENTRE,
                groups=GROUPS_OF_A_CENTRE,
                domains=DOMAINS_OF_A_CENTRE,
                owned=GROUPS_OWNED,
                entries=ENTRIES,
                subtrees=SUBTREES,
                claims=CLAIMS_PART,
                audience=AUDIENCE,
                view=VIEW_DOMAINS,
            ),
            _role_table(control, "control"),
            _verdict(control),
            "## What follows the requests\n",
            _role_table(traffic, "all"),
            _relay_note(s),
            _store_table(),
            _line_table(s),
            TAIL,
        ]
    )


def _sums(rows: list[Row]) -> tuple[float, float, float]:
    return sum(r.cpu for r in rows), sum(r.memory for r in rows), sum(r.sent for r in rows)


def _role_table(rows: list[Row], name: str) -> str:
    lines = [
        "| role | state on a node | messages | core | MB | bytes/s sent | carried by |",
        "|---|---|---|---:|---:|---:|---|",
    ]
    for r in rows:
        lines.append(
            f"| {r.role} | {r.state} | {r.messages} | {r.cpu:.2%} | {r.memory:.2f}"
            f" | {r.sent:,.0f} | {r.carried_by} |"
        )
    cpu, memory, sent = _sums(rows)
    lines.append(
        f"| **{name} in all** | | | **{cpu:.2%}** | **{memory:.1f}** | **{sent:,.0f}** | |"
    )
    return "\n".join(lines) + "\n"


def _verdict(rows: list[Row]) -> str:
    cpu, memory, sent = _sums(rows)
    parts = []
    for name, value, budget in (
        ("processor time", cpu, CORE_BUDGET),
        ("memory", memory, MEMORY_BUDGET),
        ("bytes", sent, BYTES_BUDGET),
    ):
        word = "within" if value <= budget else "OVER"
        parts.append(f"{name} {value / budget:.0%} of the budget ({word})")
    return "Against 2% of a core, 64 MB and 5 KB/s: " + ", ".join(parts) + ".\n"


def _relay_note(s: Slopes) -> str:
    each = s.bench["tokens"]["per_core_second"]
    needed = TOKENS / NODES
    return (
        f"One relay process carries {each:,.0f} tokens a core-second; a node needs {needed:,.0f}."
        f" It takes {needed / each:.2f} cores, so an entry host runs two entry processes, each with"
        " addresses of its own. They are peers like any other two.\n"
    )


def _store_table() -> str:
    lines = [
        "## Calls to the store, whole fleet\n",
        "| role | writes/s | reads/s | follows |",
        "|---|---:|---:|---|",
    ]
    for role, writes, reads, follows in store_rows():
        lines.append(f"| {role} | {writes:.2f} | {reads:.2f} | {follows} |")
    writes = sum(r[1] for r in store_rows())
    reads = sum(r[2] for r in store_rows())
    lines.append(f"| **in all** | **{writes:.1f}** | **{reads:.1f}** | |")
    lines.append("")
    lines.append(
        f"The store takes several hundred writes (taken as {STORE_WRITES:.0f}) and about"
        f" {STORE_READS:,.0f} reads a second: {writes / STORE_WRITES:.0%} and"
        f" {reads / STORE_READS:.0%}. Nothing follows the number of nodes.\n"
    )
    return "\n".join(lines)


def _line_table(s: Slopes) -> str:
    lines = [
        "## Measured slopes\n",
        "From `make slopes`; the residual is the point farthest from the line, as a part of the",
        "greatest value of the sweep. `docs/slopes.json` has the points.\n",
        "| slope | per unit | from | residual | sweep |",
        "|---|---:|---:|---:|---|",
    ]
    for name, line in s.lines.items():
        xs = ", ".join(f"{p[0]:,}" for p in line["points"])
        lines.append(
            f"| {name} | {line['slope']:.4g} {line['unit']} per {line['per']}"
            f" | {line['intercept']:.4g} | {line['residual']:.1%} | {xs} |"
        )
    return "\n".join(lines) + "\n"


HEAD = """# Capacity at the size to come

This page is made by `make slopes` from `docs/slopes.json`; a test fails when the two differ. It
gives what each role needs on one node at 2,200 nodes, 10,000 replicas of 4 hosts, 80,000
accelerators, 8 regions and 21 data centres: each figure is a measured slope times a count.

Assumed counts: {nodes:.0f} nodes and {groups:.0f} groups in a data centre, {domains:.0f} fabric
domains of 8 groups, {owned:.1f} groups owned by a node; settings of {entries:,} entries in
{subtrees} subtrees; {claims:.0%} of the requests with an idempotency key, kept for an hour. A node
hears of {view} domains of its data centre and, where another data centre knows it as a contact, of
one domain of that; a domain's evidence goes to {audience:.0f} nodes.

## Control
"""

TAIL = """## Where a mechanism breaks its budget, and what is to change

- **Limits.** Demand goes to 2 peers a second in turn, so in a data centre of 105 nodes a shift of
  demand is known to all after 52 s, and longer where contacts of other data centres are counted
  in. The shape to come, if that is too slow: collectors of a data centre, by rendezvous hash of the
  account, which answer with shares, and contacts that carry the sums between data centres.
  `accounts` stays as it is; the change is in `limiting`. Until then a data centre at that size also
  divides a rate by what it knows of the others (9 contacts each), not by all of them.
- **Memory.** Settings of more than about 8,000 entries pass 64 MB with the libraries that are
  loaded. The checker (`jsonschema`) and the command line (`defopt`) take some 13 MB between them;
  an entry process needs neither once it runs.
- **Relay.** See above: two processes a node, or a cheaper read of chunks in `tornado`.
- **Watches.** A watch of the store returns all subtrees under its prefix: 200 of 6 KB are 1.2 MB a
  change at each of 42 watchers. The shape to come: watch one key that names what changed.
- **Choosing.** A choice looks at every group in view: 4 us a group, 0.85 ms a request for a contact
  with 208 groups, which is 1.8% of a core at 21 requests a second.
- **Journal.** A node that is home to a shard remembers its keys for an hour. Batches are never
  deleted yet: the store fills at 62 bytes a claim. Deleting needs the guard that `docs/design/
  journal.md` describes.
- **Time to suspicion.** 21 s at 105 nodes. Groups serve meanwhile on own probes; repairs wait.

## Events

- 760 host losses and restarts a day: one in 2 minutes for the fleet, two ledger writes each.
- A rack or switch a week: up to 32 hosts, one ledger write for each group, in one domain.
- A data centre a few times a year: its 60 ledgers and their owners are out together and come back
  together; loads are paced by the weight store's tickets, not by us.
- A region cut off for an hour: each data centre goes on with the settings and ledgers it has;
  engines that check fencing numbers are repaired unsaved, the others keep what serves.

Not measured: many nodes at once. The slopes are of single processes; what 2,200 of them do together
is worked out, not seen.
"""


def main(
    *,
    measured: str = "docs/slopes.json",
    sweep: str = "docs/sweep.json",
    out: str = "docs/CAPACITY.md",
) -> None:
    """Write the page.

    :param measured: the kept run of ``make slopes``
    :param sweep: the kept figures of a sweep on the users' platform
    :param out: the page
    """
    kept = [json.loads(Path(p).read_text()) for p in (measured, sweep)]
    Path(out).write_text(page(*kept))
    print(f"capacity: written to {out}")


if __name__ == "__main__":
    defopt.run(main)
