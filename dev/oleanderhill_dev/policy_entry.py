"""Runs an entry host with a baseline policy in place of the product's choice of a group."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import defopt

from oleanderhill.entry import run_entry
from oleanderhill.routing import router as routing
from oleanderhill.routing.router import Evidence, Router
from oleanderhill.settings.checking import load_boot

_round_robin_index = itertools.count()


def _random(router: Router, available: list[Evidence], wanted: Any) -> Any:
    return routing._make_choice(router._rng.choice(available), "baseline random")


def _round_robin(router: Router, available: list[Evidence], wanted: Any) -> Any:
    ordered = sorted(available, key=lambda e: e.view.group)
    return routing._make_choice(
        ordered[next(_round_robin_index) % len(ordered)], "baseline round robin"
    )


def _least_in_flight(router: Router, available: list[Evidence], wanted: Any) -> Any:
    in_flight = router.in_flight_by_group
    best = min(available, key=lambda e: (in_flight.get(e.view.group, 0), router._rng.random()))
    return routing._make_choice(best, "baseline least in flight")


def _least_reported_load(router: Router, available: list[Evidence], wanted: Any) -> Any:
    best = min(available, key=lambda e: (e.view.running + e.view.waiting, e.view.group))
    return routing._make_choice(best, "baseline reported load")


BASELINES = {
    "random": _random,
    "round robin": _round_robin,
    "least in flight": _least_in_flight,
    "reported load": _least_reported_load,
}


def run(boot: str, *, policy: str = "ours") -> None:
    """Run an entry host under a policy.

    :param boot: path of the boot file
    :param policy: ``ours`` for the product, or the name of a baseline
    """
    if policy != "ours":
        setattr(Router, "_pick", BASELINES[policy])  # noqa: B010 - replaces a method
    asyncio.run(run_entry(load_boot(boot)))


if __name__ == "__main__":
    defopt.run(run)
