"""``make experiments``: repair policies over one seeded schedule of faults, by both measures.

Each run is a fabric domain of the brief's shape (groups of 4 hosts, a little more hosts than its
groups need) over an hour, with losses far more frequent than in life so that they overlap. All
policies meet the same schedule. Cost = exchange rate x group downtime + stranded host-seconds.
"""

from __future__ import annotations

import json
import random
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

import defopt

from oleanderhill.domains import placement
from oleanderhill.domains.placement import Dissolve, Situation
from oleanderhill.types import GroupRecord, TimedReport, WantedGroup

from .domain_world import DomainWorld, spec

HOSTS_BY_SHAPE = {"two hosts over": 22, "no host over": 20}
GROUPS = 5
HOSTS_OF_A_GROUP = 4
SECONDS = 3600.0
STEP_SECONDS = 0.5
LOAD_SECONDS = (40.0, 60.0, 80.0)
LOSS_EVERY = 150.0
"""Mean seconds between losses in the domain; in life it is more than a day."""

RESTART_PART = 640 / 760
RESTART_SECONDS = 240.0
FAILURE_SECONDS = 1500.0
PAUSE_PART = 0.3
PAUSE_SECONDS = 4.0
RATES = {"Tema": 40.0, "Seri Kembangan": 2.0}
SEEDS = range(8)
WORKERS = 6


class Loss(NamedTuple):
    """One loss of a host: when, which, for how long, and whether it comes back as it was."""

    at: float
    host: str
    seconds: float
    pause: bool


class Outcome(NamedTuple):
    """What a run came to, in group-seconds and host-seconds."""

    policy: str
    user: str
    shape: str
    seed: int
    downtime: float
    stranded: float


def schedule(seed: int, hosts: int) -> list[Loss]:
    """Return the losses of a seed; the same for every policy."""
    rng = random.Random(seed)
    losses, now = [], 60.0
    while now < SECONDS:
        now += rng.expovariate(1 / LOSS_EVERY)
        host = f"h{rng.randrange(hosts)}"
        if rng.random() < PAUSE_PART:
            losses.append(Loss(now, host, rng.expovariate(1 / PAUSE_SECONDS), True))
            continue
        restart = rng.random() < RESTART_PART
        mean = RESTART_SECONDS if restart else FAILURE_SECONDS
        losses.append(Loss(now, host, rng.expovariate(1 / mean), False))
    return losses


_repair_one = placement._repair_one


def _always_wait(s: Situation, record: GroupRecord, free: Sequence[TimedReport]) -> Any:
    """Never replace: only take a member back that returned."""
    action = _repair_one(s, record, [])
    return None if isinstance(action, Dissolve) else action


def _always_reform(s: Situation, record: GroupRecord, free: Sequence[TimedReport]) -> Any:
    """Take a broken group apart at once and form it anew."""
    return Dissolve(record.group, "baseline")


def _no_grace(s: Situation, record: GroupRecord, free: Sequence[TimedReport]) -> Any:
    """Replace at the first silence."""
    return _repair_one(s._replace(policy=s.policy._replace(grace=0.0)), record, free)


POLICIES: dict[str, Callable[..., Any] | None] = {
    "ours": None,
    "always wait": _always_wait,
    "always reform": _always_reform,
    "swap at once": _no_grace,
    "spare for all": None,
}


def run_one(policy: str, user: str, shape: str, seed: int) -> Outcome:
    """Run one policy over one schedule."""
    hosts = HOSTS_BY_SHAPE[shape]
    world = DomainWorld(
        seed, hosts, nodes=1, rate=RATES[user], step=STEP_SECONDS, load_seconds=LOAD_SECONDS
    )
    groups = GROUPS
    if policy == "spare for all":
        groups = hosts // (HOSTS_OF_A_GROUP + 1)
    wish = spec("v1", HOSTS_OF_A_GROUP)
    world.wanted = tuple(WantedGroup(f"team/g@v1#{n}", wish) for n in range(groups))
    with ExitStack() as stack:
        baseline = POLICIES[policy]
        if baseline is not None:
            stack.enter_context(mock.patch.object(placement, "_repair_one", baseline))
        world.until_all_serve(400.0)
        downtime, stranded = _play(world, schedule(seed, hosts))
    return Outcome(policy, user, shape, seed, downtime, stranded)


def _play(world: DomainWorld, losses: list[Loss]) -> tuple[float, float]:
    began, downtime, stranded = world.now, 0.0, 0.0
    for loss in losses:
        world.at(loss.at, partial(_strike, world, loss))
        world.at(loss.at + loss.seconds, partial(_return, world, loss))
    while world.now - began < SECONDS:
        world.step()
        serving = {item.group: item.hosts for item in world.sendable()}
        busy = set().union(*serving.values()) if serving else set()
        alive = {h for h, e in world.engines.items() if e.alive and not e.paused}
        downtime += (GROUPS - len(serving)) * world.step_seconds
        stranded += len(alive - busy) * world.step_seconds
    return downtime, stranded


def _strike(world: DomainWorld, loss: Loss) -> None:
    engine = world.engines[loss.host]
    if loss.pause:
        engine.paused = True
    else:
        engine.alive = False


def _return(world: DomainWorld, loss: Loss) -> None:
    engine = world.engines[loss.host]
    if loss.pause:
        engine.paused = False
    elif not engine.alive:
        world.reboot(loss.host)


def run_all() -> list[Outcome]:
    """Run all policies for both users over all seeds."""
    jobs = [(p, u, h, s) for p in POLICIES for u in RATES for h in HOSTS_BY_SHAPE for s in SEEDS]
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run_one, *zip(*jobs, strict=True)))


class Cost(NamedTuple):
    """A policy for one user: means over the seeds, and the spread of the cost."""

    policy: str
    user: str
    shape: str
    downtime: float
    stranded: float
    cost: float
    spread: float
    ratio: float
    worse_seeds: int


def costs(outcomes: list[Outcome]) -> list[Cost]:
    """Return costs by policy, user and shape, as a ratio to ours on the same schedules."""
    return [
        _cost(outcomes, policy, user, shape)
        for user in RATES
        for shape in HOSTS_BY_SHAPE
        for policy in POLICIES
    ]


def _cost(outcomes: list[Outcome], policy: str, user: str, shape: str) -> Cost:
    rate = RATES[user]
    same = [o for o in outcomes if (o.user, o.shape) == (user, shape)]
    rows = [o for o in same if o.policy == policy]
    ours = [rate * o.downtime + o.stranded for o in same if o.policy == "ours"]
    each = [rate * o.downtime + o.stranded for o in rows]
    ratios = [a / b for a, b in zip(each, ours, strict=True)]
    return Cost(
        policy,
        user,
        shape,
        statistics.mean(o.downtime for o in rows),
        statistics.mean(o.stranded for o in rows),
        statistics.mean(each),
        statistics.stdev(each),
        statistics.mean(ratios),
        sum(1 for r in ratios if r > 1.0),
    )


def page(found: list[Cost]) -> str:
    """Return the results as a page."""
    lines = [HEAD]
    for user, rate in RATES.items():
        for shape in HOSTS_BY_SHAPE:
            lines += _section(user, rate, shape, found)
    lines.append("![cost by policy](experiments.png)\n")
    return "\n".join(lines)


def _section(user: str, rate: float, shape: str, found: list[Cost]) -> list[str]:
    lines = [
        f"## {user}, exchange rate {rate:g}, {shape}\n",
        "| policy | downtime, group-s | stranded, host-s | cost | spread | cost / ours |",
        "|---|---:|---:|---:|---:|---:|",
    ]
    for c in found:
        if (c.user, c.shape) == (user, shape):
            ratio = f"{c.ratio:.2f} (worse in {c.worse_seeds} of {len(SEEDS)})"
            lines.append(
                f"| {c.policy} | {c.downtime:.0f} | {c.stranded:.0f} | {c.cost:.0f}"
                f" | {c.spread:.0f} | {ratio} |"
            )
    return [*lines, ""]


HEAD = f"""# Repair policies, measured

Made by `make experiments`. One fabric domain of 22 or 20 hosts that wants {GROUPS} groups
of {HOSTS_OF_A_GROUP}, {SECONDS:.0f} s, {len(SEEDS)} seeded schedules of losses that all policies
meet: one in {LOSS_EVERY:.0f} s, {PAUSE_PART:.0%} of them pauses of {PAUSE_SECONDS:.0f} s, the
others restarts ({RESTART_SECONDS:.0f} s) and failures ({FAILURE_SECONDS:.0f} s) as the brief has
them; a load takes 40 to 80 s. The decision code, evidence and orders are the product's own; hosts
and store are small fakes. Losses are some hundred times as frequent as in life, so that they
overlap.

Cost = exchange rate x downtime + stranded hosts, where every live host that serves nothing counts
as stranded, spares too. Not covered: several domains (the planner), roll-outs, store outages.
"""


def plot(found: list[Cost], path: Path) -> None:
    """Draw the ratios."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    names = list(POLICIES)
    bars = [(user, shape) for user in RATES for shape in HOSTS_BY_SHAPE]
    for shift, (user, shape) in enumerate(bars):
        ratios = [c.ratio for c in found if (c.user, c.shape) == (user, shape)]
        places = [n + 0.2 * shift for n in range(len(names))]
        axes.bar(places, ratios, 0.19, label=f"{user} ({RATES[user]:g}), {shape}")
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set_xticks([n + 0.3 for n in range(len(names))], names)
    axes.set_ylabel("cost / ours")
    axes.legend(title="user (exchange rate), domain", fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110, metadata={"Software": None})


def main(*, docs: str = "docs") -> None:
    """Compare the repair policies.

    :param docs: folder of the page, the figures and the plot
    """
    outcomes = run_all()
    found = costs(outcomes)
    folder = Path(docs)
    (folder / "EXPERIMENTS.md").write_text(page(found))
    rows = [o._asdict() for o in outcomes]
    (folder / "experiments.json").write_text(json.dumps(rows, indent=0) + "\n")
    plot(found, folder / "experiments.png")
    for c in found:
        case = f"{c.user}, {c.shape}: {c.policy}"
        print(f"experiments: {case}: cost {c.cost:.0f}, {c.ratio:.2f} of ours")


if __name__ == "__main__":
    defopt.run(main)
