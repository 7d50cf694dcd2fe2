"""The task that assigns the groups of a data centre to fabric domains."""

from __future__ import annotations

import time
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any

import msgspec

from ..decisions import Decisions
from ..kernel import Kernel, Task
from ..members.task import MembershipTask
from ..ownership import rendezvous
from ..routing.dispatch import RouterTask
from ..routing.messages import LocalEvidence
from ..settings.documents import Document
from ..settings.fleet import Fleet
from ..settings.messages import FleetChanged, HostsChanged
from ..settings.relay import DocumentsTask
from ..types import HostEntry, WantedGroup
from .messages import PlanChanged
from .planner import DomainState, Plan, make_plan

EVIDENCE_LIFETIME = 5.0
"""Seconds for which an owner's evidence about its domain is valid."""


def planner_of(data_centre: str, live: Iterable[str]) -> str | None:
    """Return the entry host that plans for the data centre, chosen by rendezvous hash."""
    ranked = rendezvous(f"plan/{data_centre}", live)
    return ranked[0] if ranked else None


class PlanBody(msgspec.Struct):
    """The stored form of a plan."""

    revision: int
    domain_by_group: dict[str, str]


class PlanningTask(Task):
    """Maintains the plan of this data centre.

    All entry hosts follow the plan; the one that ranks first by rendezvous hash writes it. If two
    write at the same time, compare-and-swap lets only one succeed, so correctness does not depend
    on which host ranks first.
    """

    name = "planner"
    interval = 1.0

    def __init__(self, kernel: Kernel, host: str, data_centre: str, decisions: Decisions) -> None:
        super().__init__(kernel)
        self._host = host
        self._data_centre = data_centre
        self._decisions = decisions
        self._fleet = Fleet()
        self._hosts: dict[str, list[HostEntry]] = {}
        self._usable: dict[str, tuple[int, float]] = {}
        self._hosts_needed: dict[str, int] = {}
        self._short_of_hosts_since: dict[str, float] = {}
        self.plan = Plan(0, {})

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task."""

    @handle.register
    def _(self, message: FleetChanged) -> None:
        self._fleet = message.fleet
        self._publish_plan()

    @handle.register
    def _(self, message: HostsChanged) -> None:
        self._hosts = {}
        for entry in message.hosts:
            self._hosts.setdefault(entry.domain, []).append(entry)

    @handle.register
    def _(self, message: LocalEvidence) -> None:
        evidence = message.evidence
        if evidence.data_centre == self._data_centre:
            self._usable[evidence.domain] = (evidence.usable, message.at)

    @handle.register
    def _(self, message: Document) -> None:
        body = msgspec.json.decode(message.body, type=PlanBody)
        self.plan = Plan(body.revision, body.domain_by_group)
        self._publish_plan()

    async def tick(self) -> None:
        """Update the plan, if this host is the planner."""
        now = time.monotonic()
        self._update_shortages(now)
        members = self.kernel.find("membership", MembershipTask)
        live = members.live(self._data_centre)
        if not members.startup_complete() or planner_of(self._data_centre, live) != self._host:
            return
        wanted = self.wanted()
        known = self.kernel.find("router", RouterTask).router.by_group
        complete_groups = frozenset(g for g, e in known.items() if e.view.complete)
        rate = self._fleet.exchange_rate
        plan = make_plan(now, self.plan, wanted, self._domain_states(now), rate, complete_groups)
        if plan is self.plan:
            return
        documents = self.kernel.find("documents", DocumentsTask)
        if not documents.loaded:
            return
        body = msgspec.json.encode(PlanBody(plan.revision, plan.domain_by_group))
        if await documents.write_plan(plan.revision, body):
            placed = len(plan.domain_by_group)
            text = (
                f"revision {plan.revision}, {placed} of {len(wanted)} groups assigned to a domain"
            )
            self._decisions.note("plan", self._data_centre, text)

    def wanted(self) -> tuple[WantedGroup, ...]:
        """Return the groups that the settings request in this data centre."""
        return self._fleet.wanted_by_data_centre.get(self._data_centre, ())

    def _publish_plan(self) -> None:
        by_domain: dict[str, list[WantedGroup]] = {}
        self._hosts_needed = {}
        for item in self.wanted():
            domain = self.plan.domain_by_group.get(item.group)
            if domain is not None:
                by_domain.setdefault(domain, []).append(item)
                self._hosts_needed[domain] = self._hosts_needed.get(domain, 0) + item.spec.hosts
        wanted = {d: tuple(g) for d, g in by_domain.items()}
        self.kernel.post("stewards", PlanChanged(wanted))

    def _update_shortages(self, now: float) -> None:
        for domain, (usable, at) in self._usable.items():
            enough = usable >= self._hosts_needed.get(domain, 0)
            # Missing evidence doesn't mean that the domain lacks hosts: its owner may have crashed.
            if enough or now - at > EVIDENCE_LIFETIME:
                self._short_of_hosts_since.pop(domain, None)
            else:
                self._short_of_hosts_since.setdefault(domain, now)

    def _domain_states(self, now: float) -> dict[str, DomainState]:
        states = {}
        for domain, entries in self._hosts.items():
            usable, at = self._usable.get(domain, (len(entries), 0.0))
            if now - at > EVIDENCE_LIFETIME:
                usable = len(entries)
            states[domain] = DomainState(usable, self._short_of_hosts_since.get(domain))
        return states
