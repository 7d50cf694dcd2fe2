"""Weights ahead: what free hosts load, and which of them are warm for the next group."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from .actions import OrderEnd, Stage, Warm
from .composing import FreeHost, ModelNeed
from .inventory import Instance, MemberState, TargetHost
from .pacing import LoadPacer
from .plans import DomainPlan, PlannedGroup

LOAD_AGAIN = 3.0
"""Seconds after which a host that refused an order to load, or did not answer it, is ordered again.
One that refused is loading by an earlier owner's order, which takes up to 16 s and shows then."""

STAGING_PATIENCE = 3.0
"""Times its load time after which a host that still lacks the weights is ordered to load again:
several loads at once slow each other down."""

WARM_PATIENCE = 4.0
"""Seconds in which a spare warms up; twice the longest time that weights at hand take."""


class Spares:
    """What is known of the weights and warmth of one domain's hosts.

    A load takes many seconds. Done ahead, it lets a group that loses a host be whole again within
    two; done within a group's forming, it would hold up all its other hosts.
    """

    def __init__(self, pacer: LoadPacer) -> None:
        self.pacer = pacer
        self._loading: dict[Instance, tuple[str, float]] = {}
        self._load_again_at: dict[Instance, float] = {}
        self._warm: dict[Instance, str] = {}
        self._warming: dict[Instance, float] = {}
        self._warmed_up = 0

    @property
    def warming(self) -> Collection[Instance]:
        """Return the hosts that warm up, and can't be given to a group meanwhile."""
        return self._warming.keys()

    def is_warm(self, instance: Instance, model: str) -> bool:
        """Tell whether a host's last group, as far as known, was of a model."""
        return self._warm.get(instance) == model

    def ended(self, order: Stage, end: OrderEnd, now: float) -> None:
        """Take note of how an order to load ended.

        Counted as a load that runs though it began nothing, it took the one load that a domain may
        have for three times its length: a group that lacked one host stayed so for 19 s, with two
        empty hosts beside it.
        """
        if end != OrderEnd.DONE:
            self._loading.pop(order.instance, None)
            self._load_again_at[order.instance] = now + LOAD_AGAIN

    def look(
        self, now: float, hosts: Mapping[Instance, TargetHost], needs: Sequence[ModelNeed]
    ) -> None:
        """Take note of what the hosts of the domain show now."""
        for instance, host in hosts.items():
            if host.membership is not None and host.membership.state != MemberState.JOINING:
                self._warming.pop(instance, None)
                if host.staged:
                    self._warm[instance] = host.staged[-1]
        self._warming = {
            i: t for i, t in self._warming.items() if i in hosts and now - t < WARM_PATIENCE
        }
        self._warm = {i: m for i, m in self._warm.items() if i in hosts}
        self._load_again_at = {i: t for i, t in self._load_again_at.items() if i in hosts}
        patience = {n.model: n.load_seconds * STAGING_PATIENCE for n in needs}
        self._loading = {
            i: (model, at)
            for i, (model, at) in self._loading.items()
            if i in hosts and model not in hosts[i].staged and now - at < patience.get(model, 0.0)
        }

    def as_free(self, host: TargetHost, now: float) -> FreeHost:
        """Return a free host with the weights that it has or loads."""
        loading = self._loading.get(host.instance)
        weights = loading[0] if loading else host.staged[0] if host.staged else ""
        at_hand = now >= self._load_again_at.get(host.instance, 0.0)
        return FreeHost(host.instance, weights, at_hand)

    def load(
        self, now: float, wanted: Sequence[tuple[Instance, str]], loads_free: bool
    ) -> list[Stage]:
        """Return the orders to load that may be given now, of those wanted the first ones.

        :param wanted: hosts with the models that they are to load, the most urgent first
        """
        orders = []
        for instance, model in wanted:
            if instance in self._loading:
                continue
            if not loads_free and not self._may_load(now):
                break
            self._loading[instance] = (model, now)
            orders.append(Stage(model, instance))
        return orders

    def warm_up(self, now: float, plan: DomainPlan, free: Sequence[TargetHost]) -> list[Warm]:
        """Return the order for a spare to join a group of its own, which is never opened.

        It then leaves like any host in a group that is not planned. A host joins in 0.2 s where the
        model is that of its last group, in 1.1 or 1.6 s where it only has the weights at hand: a
        third of the time in which a group that lost a member is whole again. One at a time, as a
        spare that warms up can't be given to a group.
        """
        if self._warming:
            return []
        for host in free:
            if host.membership is not None or not host.staged or host.instance in self._loading:
                continue
            model = host.staged[-1]
            if self.is_warm(host.instance, model):
                continue
            # A name of its own each time: a host that left a group once may be shown in it for a
            # while, and counts as free.
            self._warmed_up += 1
            name = f"{plan.domain}.warm.{plan.term}.{self._warmed_up}"
            group = PlannedGroup(name, plan.last_epoch, model, (host.instance,))
            self._warming[host.instance] = now
            return [Warm(group, host.instance)]
        return []

    def _may_load(self, now: float) -> bool:
        return len(self._loading) < self.pacer.at_once and self.pacer.take(now)
