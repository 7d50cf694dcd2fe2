"""Plots how callers fared over time under two policies."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import matplotlib

from .policies import LongQueueForReturned, Policy, Shipped
from .scenario import Scenario, ScenarioError, read_scenario
from .site import End, Site

WINDOW = 2.0
"""Seconds of a window."""

OUTCOMES = ("on time", "late", "refused", "failed")


def shares(ends: Sequence[End], seconds: float) -> dict[str, list[float]]:
    """Return the share of each outcome in each window, by the time of the first attempt."""
    windows: list[Counter[str]] = [Counter() for _ in range(int(seconds / WINDOW))]
    for end in ends:
        index = int(end.asked_at / WINDOW)
        if index < len(windows):
            windows[index][end.outcome] += 1
    return {o: [w[o] / max(1, w.total()) for w in windows] for o in OUTCOMES}


def plot(scenario: Scenario, policies: Sequence[Policy], seed: int, to: Path) -> None:
    """Draw the shares of outcomes over time, one row for each policy."""
    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, rows = plt.subplots(len(policies), 1, sharex=True, figsize=(8, 2.4 * len(policies)))
    for axes, policy in zip(rows, policies, strict=True):
        found = shares(Site(scenario, policy, seed).play(), scenario.seconds)
        times = [n * WINDOW for n in range(int(scenario.seconds / WINDOW))]
        axes.stackplot(times, *found.values(), labels=OUTCOMES)
        axes.set_title(f"{scenario.name}: {policy.name}", fontsize=9)
        axes.set_ylabel("callers")
        axes.set_ylim(0, 1)
    rows[0].legend(loc="lower left", fontsize=7)
    rows[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(to, dpi=90)


def main() -> int:
    """Plot the scenario of the first argument into the file of the second; return the exit code."""
    if len(sys.argv) != 3:
        print("usage: plotting SCENARIO PNG")
        return 2
    try:
        scenario = read_scenario(Path(sys.argv[1]))
    except ScenarioError as error:
        print(f"plotting: {error}")
        return 1
    plot(scenario, [LongQueueForReturned(), Shipped()], 1, Path(sys.argv[2]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
