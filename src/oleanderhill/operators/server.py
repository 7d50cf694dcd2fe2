"""The HTTP server for operators: settings, status and explain."""

from __future__ import annotations

import json
import resource
import time
from typing import Any

from tornado.web import Application, RequestHandler

from ..connection_memory import ConnectionMemory
from ..decisions import Decision, Decisions
from ..domains.measures import stranded_hosts
from ..domains.planning import PlanningTask
from ..domains.stewards import Stewards
from ..exceptions import SettingsInvalidError
from ..journal.claims import Claims
from ..kernel import Kernel
from ..listener import HttpListener, ListenerLimits
from ..members.peers import Peers
from ..members.task import MembershipTask
from ..requests.edge import Edge
from ..routing.dispatch import RouterTask
from ..settings.checking import check_subtree
from ..settings.fleet import OperatorView, find_by_key
from ..settings.relay import DocumentsTask
from ..settings.writes import SETTINGS_PREFIX, WriteState, decode_subtree

MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 64
"""Connections of operators and their programs."""

STATUS_BY_STATE = {
    WriteState.ACCEPTED: 200,
    WriteState.REFUSED: 409,
    WriteState.UNKNOWN: 504,
    WriteState.STORE_DOWN: 503,
}


class OperatorServer:
    """The service that runs the HTTP server for operators.

    :param key_hash: hash of the boot file's operator key, which may change every subtree
    :param memory: what connections of callers and operators may hold
    """

    name = "operators"

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        key_hash: str,
        decisions: Decisions,
        memory: ConnectionMemory,
    ) -> None:
        self.kernel = kernel
        self._memory = memory
        self.decisions = decisions
        self._address = address
        self._key_hash = key_hash

    async def start(self) -> None:
        """Start listening."""
        application = Application(
            [
                (r"/v1/settings/([a-z0-9.-]+)", SettingsHandler, {"server": self}),
                (r"/v1/in-force", InForceHandler, {"server": self}),
                (r"/v1/status", StatusHandler, {"server": self}),
                (r"/v1/explain/(.+)", ExplainHandler, {"server": self}),
            ],
            log_function=lambda handler: None,
        )
        limits = ListenerLimits(max_body_bytes=MAX_BODY_BYTES, max_connections=MAX_CONNECTIONS)
        self._listener = HttpListener(self._address, application, limits, memory=self._memory)
        self._listener.accept_connections()

    async def stop(self) -> None:
        """Close the server."""
        await self._listener.stop()

    def authenticate(self, key: str) -> OperatorView | None:
        """Return the operator that a bearer key belongs to, or ``None`` if it is unknown."""
        documents = self.kernel.find("documents", DocumentsTask)
        found = find_by_key(documents.fleet.operator_by_key, key)
        if found is not None:
            return found
        # The boot file's key also works while there are no valid settings.
        boot = {self._key_hash: OperatorView("boot", frozenset("*"))}
        return find_by_key(boot, key)

    def status(self) -> dict[str, Any]:
        """Return the status of this entry host and its view of the others, with ages."""
        return {
            "host": self.decisions.host,
            "edge": self._edge_status(),
            "groups": self._groups(),
            "domains": self._domains(),
            "members": self._members(),
            "plan": self._plan(),
            "settings": self.in_force(),
            "measures": self._measures(),
            "cost": self._resource_usage(),
        }

    def in_force(self) -> dict[str, Any]:
        """Return the revision in force for each settings subtree, and its age."""
        documents = self.kernel.find("documents", DocumentsTask)
        now = time.time()
        return {
            team: {
                "revision": s.revision,
                "seen": s.latest_revision,
                "age": round(now - s.applied_at, 1),
                "findings": list(s.findings),
            }
            for team, s in sorted(documents.in_force.state_by_team.items())
        }

    def _edge_status(self) -> dict[str, Any]:
        edge = self.kernel.find("edge", Edge)
        documents = self.kernel.find("documents", DocumentsTask)
        age = time.monotonic() - documents.store_read_at
        return {
            "ready": edge.ready,
            "draining": edge.draining,
            "in_flight": edge.in_flight,
            "answers": dict(sorted(edge.metrics.count_by_name.items())),
            "store_seen": round(age, 1) if documents.store_read_at else None,
            "journal_idle": self.kernel.find("claims", Claims).idle,
        }

    def _groups(self) -> list[dict[str, Any]]:
        router = self.kernel.find("router", RouterTask).router
        now = time.monotonic()
        return [
            {
                "group": group,
                "epoch": e.view.epoch,
                "data_centre": e.data_centre,
                "domain": e.domain,
                "whole": e.view.complete,
                "takes_requests": router.may_send(group, e.view.epoch, now),
                "evidence_age": round(now - e.verified_at, 2),
                "hosts": [m.host for m in e.view.members],
                "load": [e.view.running, e.view.waiting, e.view.capacity],
            }
            for group, e in sorted(router.by_group.items())
        ]

    def _domains(self) -> list[dict[str, Any]]:
        stewards = self.kernel.find("stewards", Stewards)
        tracker = self.kernel.find("router", RouterTask).book
        owner_by_domain = tracker.owner_by_domain
        epoch_by_domain = {d: r.owner_epoch for d, r in tracker.records_by_domain.items()}
        now = time.monotonic()
        return [
            {
                "domain": d,
                "owned_here": s.owned,
                "owner": s.ledger.owner if s.owned else owner_by_domain.get(d, ""),
                "owner_epoch": s.ledger.owner_epoch if s.owned else epoch_by_domain.get(d, 0),
                "unsaved": s.unsaved,
                "hosts": len(s.watch.entry_by_host),
                "usable": s.watch.usable(now) if s.owned else None,
                "stranded": sorted(stranded_hosts(s.ledger, s.views(now), s.watch.report_by_host)),
                "wanted": [w.group for w in s.wanted],
                "confirmed_age": (
                    round(now - s.ownership_state.confirmed_at, 1) if s.owned else None
                ),
            }
            for d, s in sorted(stewards.by_domain.items())
        ]

    def _members(self) -> list[dict[str, Any]]:
        membership = self.kernel.find("membership", MembershipTask).membership
        now = time.monotonic()
        return [
            {
                "host": h,
                "data_centre": k.row.data_centre,
                "state": membership.state(h, now).value,
                "heard": round(now - k.heartbeat_at, 1),
            }
            for h, k in sorted(membership.by_host.items())
        ]

    def _plan(self) -> dict[str, Any]:
        planner = self.kernel.find("planner", PlanningTask)
        placed = planner.plan.domain_by_group
        return {
            "revision": planner.plan.revision,
            "without_domain": [w.group for w in planner.wanted() if w.group not in placed],
            "clipped": [c._asdict() for c in self.kernel.find("edge", Edge).fleet.clipped],
        }

    def _measures(self) -> dict[str, Any]:
        stewards = self.kernel.find("stewards", Stewards)
        gauges = stewards.gauges_by_domain.values()
        return {
            "groups_down": sum(g.down for g in gauges),
            "hosts_stranded": sum(g.stranded for g in gauges),
            "downtime_seconds": round(stewards.sums.downtime, 1),
            "stranded_host_seconds": round(stewards.sums.stranded, 1),
        }

    def _resource_usage(self) -> dict[str, Any]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        peers = self.kernel.find("peers", Peers)
        store = self.kernel.find("documents", DocumentsTask).store
        return {
            "cpu_seconds": round(usage.ru_utime + usage.ru_stime, 2),
            "resident_mb": round(usage.ru_maxrss / 1024, 1),
            "peer_bytes_sent": peers.bytes_sent,
            "peer_bytes_received": peers.bytes_received,
            "store_reads": store.reads,
            "store_writes": store.writes,
            "probes": self.kernel.find("stewards", Stewards).probes,
            "self_probes": self.kernel.find("router", RouterTask).self_probes,
        }


class _OperatorHandler(RequestHandler):
    def initialize(self, server: OperatorServer) -> None:
        self.server = server
        self.operator: OperatorView | None = None

    def prepare(self) -> None:
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        self.operator = (
            self.server.authenticate(key.strip()) if scheme.lower() == "bearer" else None
        )
        if self.operator is None:
            self.send_problem(401, "unauthenticated", "the operator key is missing or unknown")

    def send_problem(self, status: int, kind: str, detail: str, **more: Any) -> None:
        """Respond with a typed error."""
        self.set_status(status)
        self.finish({"error": kind, "detail": detail, **more})


class SettingsHandler(_OperatorHandler):
    """Reads, checks and writes a settings subtree."""

    def get(self, team: str) -> None:
        documents = self.server.kernel.find("documents", DocumentsTask).documents
        held = documents.by_key.get(SETTINGS_PREFIX + team)
        if held is None:
            self.send_problem(404, "unknown-team", f"there is no subtree {team}")
            return
        subtree = decode_subtree(held.body)
        history = [c._asdict() for c in subtree.history]
        tree = json.loads(bytes(subtree.tree))
        self.finish({"team": team, "revision": subtree.revision, "tree": tree, "history": history})

    async def put(self, team: str) -> None:
        assert self.operator is not None
        if not self.operator.may_change(team):
            self.send_problem(403, "forbidden", f"{self.operator.name} may not change {team}")
            return
        documents = self.server.kernel.find("documents", DocumentsTask)
        body = self.request.body
        try:
            check_subtree(team, body, documents.fleet.budgets)
        except SettingsInvalidError as error:
            findings = [f._asdict() for f in error.findings]
            self.send_problem(422, "invalid", str(error), findings=findings)
            return
        if self.get_query_argument("check", "") == "1":
            self.finish({"state": "valid", "team": team})
            return
        base = self.get_query_argument("base", "")
        if base and not base.isdigit():
            self.send_problem(400, "bad-request", "base is not a revision")
            return
        result = await documents.write_subtree(
            team, body, self.operator.name, int(base) if base else None
        )
        self.set_status(STATUS_BY_STATE[result.state])
        self.finish({"state": result.state.value, "team": team, "revision": result.revision})


class InForceHandler(_OperatorHandler):
    """Returns the settings revisions in force at this entry host."""

    def get(self) -> None:
        server = self.server
        self.finish({"host": server.decisions.host, "settings": server.in_force()})


class StatusHandler(_OperatorHandler):
    """Returns the status of this entry host."""

    def get(self) -> None:
        self.finish(self.server.status())


class ExplainHandler(_OperatorHandler):
    """Returns the recent decisions about a subject, oldest first."""

    def get(self, subject: str) -> None:
        found = self.server.decisions.find_by_subject(subject)
        self.finish({"host": self.server.decisions.host, "decisions": _encode_decisions(found)})


def _encode_decisions(decisions: list[Decision]) -> list[dict[str, Any]]:
    return [{"at": d.at, "part": d.part, "subject": d.subject, "text": d.text} for d in decisions]
