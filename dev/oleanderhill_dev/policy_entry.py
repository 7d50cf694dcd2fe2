"""An entry host with a baseline in the place of the product's choice of a group."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import defopt

from oleanderhill.entry import run_entry
from oleanderhill.routing import router as routing
from oleanderhill.routing.router import Evidence, Router
from oleanderhill.settings.checking import load_boot

_turn = itertools.count()


def _random(router: Router, roomy: list[Evidence], wanted: Any) -> Any:
    return routing._make_choice(router._rng.choice(roomy), "baseline random")


def _round_robin(router: Router, roomy: list[Evidence], wanted: Any) -> Any:
    ordered = sorted(roomy, key=lambda e: e.view.group)
    return routing._make_choice(ordered[next(_turn) % len(ordered)], "baseline round robin")


def _least_in_flight(router: Router, roomy: list[Evidence], wanted: Any) -> Any:
    flying = router.in_flight_by_group
    best = min(roomy, key=lambda e: (flying.get(e.view.group, 0), router._rng.random()))
    return routing._make_choice(best, "baseline least in flight")


def _reported(router: Router, roomy: list[Evidence], wanted: Any) -> Any:
    best = min(roomy, key=lambda e: (e.view.running + e.view.waiting, e.view.group))
    return routing._make_choice(best, "baseline reported load")


BASELINES = {
    "random": _random,
    "round robin": _round_robin,
    "least in flight": _least_in_flight,
    "reported load": _reported,
}


def run(boot: str, *, policy: str = "ours") -> None:
    """Run an entry host.

    :param boot: path of the boot file
    :param policy: ``ours`` or one of the baselines
    """
    if policy != "ours":
        setattr(Router, "_pick", BASELINES[policy])  # noqa: B010 - a method is replaced
    asyncio.run(run_entry(load_boot(boot)))


if __name__ == "__main__":
    defopt.run(run)
