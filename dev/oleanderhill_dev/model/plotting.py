"""Plots the outcomes of callers over time under two policies."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import matplotlib

from .policies import LongQueueForRetries, Policy, Shipped
from .scenario import Scenario, ScenarioError, read_scenario
from .site import CallerResult, Simulation

WINDOW = 2.0
"""Width of a window of the plot, in seconds."""

OUTCOMES = ("on time", "late", "refused", "failed")


def outcome_shares(results: Sequence[CallerResult], seconds: float) -> dict[str, list[float]]:
    """Return the share of each outcome per window of the time of the first attempt."""
    windows: list[Counter[str]] = [Counter() for _ in range(int(seconds / WINDOW))]
    for result in results:
        index = int(result.first_sent_at / WINDOW)
        if index < len(windows):
            windows[index][result.outcome] += 1
    return {o: [w[o] / max(1, w.total()) for w in windows] for o in OUTCOMES}


def plot(scenario: Scenario, policies: Sequence[Policy], seed: int, to: Path) -> None:
    """Plot the shares of outcomes over time, with one row for each policy."""
    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, rows = plt.subplots(len(policies), 1, sharex=True, figsize=(8, 2.4 * len(policies)))
    for axes, policy in zip(rows, policies, strict=True):
        shares = outcome_shares(Simulation(scenario, policy, seed).run(), scenario.seconds)
        times = [n * WINDOW for n in range(int(scenario.seconds / WINDOW))]
        axes.stackplot(times, *shares.values(), labels=OUTCOMES)
        axes.set_title(f"{scenario.name}: {policy.name}", fontsize=9)
        axes.set_ylabel("callers")
        axes.set_ylim(0, 1)
    rows[0].legend(loc="lower left", fontsize=7)
    rows[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(to, dpi=90)


def main() -> int:
    """Plot the scenario file of the first argument into the image file of the second one."""
    if len(sys.argv) != 3:
        print("usage: plotting SCENARIO PNG")
        return 2
    try:
        scenario = read_scenario(Path(sys.argv[1]))
    except ScenarioError as error:
        print(f"plotting: {error}")
        return 1
    plot(scenario, [LongQueueForRetries(), Shipped()], 1, Path(sys.argv[2]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
