"""Loading weights and warming up on free hosts before a group needs them."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from .actions import OrderOutcome, Stage, Warm
from .composing import FreeHost, ModelNeed
from .inventory import Instance, MemberState, TargetHost
from .pacing import LoadPacer
from .plans import DomainPlan, PlannedGroup

LOAD_RETRY_SECONDS = 3.0
"""Seconds until a host that rejected an order to load, or did not answer it, is ordered again. A
host that rejected it is usually loading by order of an earlier owner, which takes up to 16 s and
then shows in the host list."""

STAGING_TIMEOUT_FACTOR = 3.0
"""Multiple of the load time after which a host that still lacks the weights is ordered to load
again. Concurrent loads slow each other down."""

WARM_UP_TIMEOUT = 4.0
"""Seconds allowed for a spare to warm up: twice the longest time to join with weights on the
host."""


class Spares:
    """Tracks which weights one domain's hosts are loading, and for which models they are warm.

    A host is warm for a model if its last group served that model; it then joins a group faster
    (see :meth:`warm_up`).

    A load takes many seconds. Done in advance, it lets a group that loses a host be complete again
    within two seconds; done while the group forms, it would block all its other hosts.
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
        """Return the hosts that are warming up and therefore cannot be assigned to a group."""
        return self._warming.keys()

    def is_warm(self, instance: Instance, model: str) -> bool:
        """Return whether a host's last known group served a model."""
        return self._warm.get(instance) == model

    def ended(self, order: Stage, end: OrderOutcome, now: float) -> None:
        """Record the outcome of an order to load.

        An order that started no load must not count as a running load. When it did, it used up the
        only concurrent load that the domain was allowed for three times the load time: a group
        that lacked one host stayed incomplete for 19 s, although two hosts without weights were
        free.
        """
        if end != OrderOutcome.DONE:
            self._loading.pop(order.instance, None)
            self._load_again_at[order.instance] = now + LOAD_RETRY_SECONDS

    def observe(
        self, now: float, hosts: Mapping[Instance, TargetHost], needs: Sequence[ModelNeed]
    ) -> None:
        """Update the state from the current entries of the domain's hosts."""
        for instance, host in hosts.items():
            if host.membership is not None and host.membership.state != MemberState.JOINING:
                self._warming.pop(instance, None)
                if host.staged:
                    self._warm[instance] = host.staged[-1]
        self._warming = {
            i: t for i, t in self._warming.items() if i in hosts and now - t < WARM_UP_TIMEOUT
        }
        self._warm = {i: m for i, m in self._warm.items() if i in hosts}
        self._load_again_at = {i: t for i, t in self._load_again_at.items() if i in hosts}
        timeout_by_model = {n.model: n.load_seconds * STAGING_TIMEOUT_FACTOR for n in needs}
        self._loading = {
            i: (model, at)
            for i, (model, at) in self._loading.items()
            if i in hosts
            and model not in hosts[i].staged
            and now - at < timeout_by_model.get(model, 0.0)
        }

    def as_free(self, host: TargetHost, now: float) -> FreeHost:
        """Return a free host with the model whose weights it has or is loading."""
        loading = self._loading.get(host.instance)
        weights = loading[0] if loading else host.staged[0] if host.staged else ""
        available = now >= self._load_again_at.get(host.instance, 0.0)
        return FreeHost(host.instance, weights, available)

    def load(
        self, now: float, wanted: Sequence[tuple[Instance, str]], loads_free: bool
    ) -> list[Stage]:
        """Return the orders to load that may be sent now, in the order of ``wanted``.

        :param wanted: hosts with the models that they should load, the most urgent first
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
        """Return at most one order for a spare to join a group of which it is the only member.

        The group is not in the plan and is never opened; the spare is then ordered to leave it, as
        any host in an unplanned group is. A host joins in 0.2 s if its last group served the same
        model, and in 1.1 to 1.6 s if it only has the weights, which is a third of the time until a
        group that lost a member is complete again. Spares warm up one at a time, because a host
        that is warming up cannot be assigned to a group.
        """
        if self._warming:
            return []
        for host in free:
            if host.membership is not None or not host.staged or host.instance in self._loading:
                continue
            model = host.staged[-1]
            if self.is_warm(host.instance, model):
                continue
            # Each warm-up uses a new group name: a host that left a group may still be listed in it
            # for a while and then counts as free.
            self._warmed_up += 1
            name = f"{plan.domain}.warm.{plan.term}.{self._warmed_up}"
            group = PlannedGroup(name, plan.last_epoch, model, (host.instance,))
            self._warming[host.instance] = now
            return [Warm(group, host.instance)]
        return []

    def _may_load(self, now: float) -> bool:
        return len(self._loading) < self.pacer.max_concurrent and self.pacer.take(now)
