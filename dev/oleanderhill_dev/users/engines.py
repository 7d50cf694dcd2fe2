"""Stand-ins of the users' engine hosts and plain targets.

An engine host takes orders, reports its group, and as the open head of a whole group streams
numbered events. What a real one does not check, this one does not either: it opens whatever is
ready, and records who was in the group when a request began, for tests to judge.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

PIECE_SECONDS = 0.02
JOIN_SECONDS = 0.05
LOAD_SECONDS = 0.4
FORM_SECONDS = 0.05
STALL_SECONDS = 4.0
CRASH_SECONDS = 0.05
"""Seconds from the start of a request that ends its host to that end."""

LAPSE_SECONDS = 0.6
"""Seconds after which the entry of a host that ended goes from the list."""

RETURN_SECONDS = 1.2
"""Seconds after which a host that ended is back, as another."""

LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"

FIRST_BORN = 1_788_000_000_000
"""Unix milliseconds before the first host's start."""


class RunRecord(NamedTuple):
    """A request that began to run.

    :param members_ready: so many members stood in the group when it began
    :param never_ready: members that had never been ready in this group by then
    """

    request_id: str
    instance: str
    group: str
    account: str
    resumed_after: int | None
    members_ready: int
    never_ready: tuple[str, ...] = ()


class Demand:
    """What a target says of the requests that it takes, and when they came.

    :param limit: value of the header that names its limit, empty for none
    :param backoff: value of the header by which it asks callers to back off as it turns a request
        away, empty where it takes requests
    :param leaving: it says in all its answers that it leaves
    """

    def __init__(self) -> None:
        self.leaving = False
        self.limit = ""
        self.backoff = ""
        self.arrivals: list[float] = []

    def arrived(self) -> None:
        """Take note of a request that reached the target, whatever becomes of it."""
        self.arrivals.append(time.monotonic())

    def tell(self, handler: RequestHandler) -> None:
        """Say in an answer what all answers say."""
        if self.limit:
            handler.set_header(LIMIT_HEADER, self.limit)
        if self.leaving:
            handler.set_header(LEAVING_HEADER, "1")

    def turns_away(self, handler: RequestHandler) -> bool:
        """Turn a request away if the target sheds load; return whether it did."""
        if not self.backoff:
            return False
        handler.set_status(503)
        handler.set_header("Not-Executed", "1")
        handler.set_header("Retry-After", self.backoff)
        return True


class OrderFaults:
    """What is wrong with a host's orders: so many of the next are carried out late, unanswered."""

    def __init__(self) -> None:
        self.late = 0
        self.late_by = 1.0


class StandInHost:
    """One engine host in one life."""

    def __init__(self, site: EngineSite, instance: str, domain: str, data_centre: str) -> None:
        self.site = site
        self.instance = instance
        self.born = site.next_born()
        self.domain = domain
        self.data_centre = data_centre
        self.address = ""
        self.staged: list[str] = []
        self.group: dict[str, Any] | None = None
        self.members: list[str] = []
        self.model = ""
        self.seen_epoch = 0
        self.seen_fence = 0
        self.leaving = False
        self.alive = True
        self.faults = OrderFaults()
        self.demand = Demand()
        self.server: HTTPServer | None = None
        self.orders: list[dict[str, Any]] = []

    def entry(self) -> bytes:
        """Return the host's entry in the list."""
        return msgspec.json.encode(
            {
                "service": self.site.service,
                "address": self.address,
                "zone": self.data_centre,
                "version": "v1",
                "born": self.born,
                "cold_remaining_ms": 0,
                "max_batch": 13,
                "state": "draining" if self.leaving else "ready",
                "sequence": len(self.orders),
                "domain": self.domain,
                "staged": self.staged,
                "models": [{"name": m, "version": 1, "adapters": []} for m in self.staged],
                "group": self.group,
            }
        )

    def publish(self) -> None:
        """Write the host's entry, if it lives."""
        if self.alive:
            self.site.publish(self.instance, self.entry())

    def die(self) -> None:
        """Stop to answer, as a host without power does; the entry goes later."""
        self.alive = False

    def crash(self) -> None:
        """End at once: nobody listens any more, and all connections are closed."""
        if not self.alive:
            return
        self.alive = False
        self.site.crashed.append(self.instance)
        if self.server is not None:
            self.server.stop()
            self.site.closing.append(asyncio.ensure_future(self.server.close_all_connections()))
        self.site.later(LAPSE_SECONDS, lambda: self.site.withdraw(self.instance))
        self.site.later(RETURN_SECONDS, lambda: self.site.returned(self))

    def restart(self) -> None:
        """Crash and start again at once, under the same name and address."""
        self.born = self.site.next_born()
        self.group, self.members, self.model = None, [], ""
        self.seen_epoch = self.seen_fence = 0
        self.orders = []
        self.demand = Demand()
        # It stays among those that were ready once: a request that begins in the moment before
        # the news of its restart finds a group that lost a member, not one that never was whole.
        self.publish()

    def take(self, order: dict[str, Any]) -> int:
        """Take an order; return the status."""
        fence = order.get("fencing_token", 0)
        if fence < self.seen_fence:
            return 412
        self.seen_fence = fence
        self.orders.append(order)
        match order["operation"]:
            case "join":
                return self._join(order)
            case "open":
                return self._open(order)
            case "leave":
                return self._leave(order)
            case "phase":
                self.site.later(LOAD_SECONDS, lambda: self._stage(order["model"]))
                return 202
        return 400

    def whole(self) -> int:
        """Return how many members stand in this head's group."""
        return sum(1 for i in self.members if self._stands(i))

    def _stands(self, instance: str) -> bool:
        host = self.site.host_by_instance.get(instance)
        if host is None or not host.alive or host.group is None or self.group is None:
            return False
        same = (host.group["name"], host.group["epoch"]) == (
            self.group["name"],
            self.group["epoch"],
        )
        return same and host.group["state"] != "joining"

    def _join(self, order: dict[str, Any]) -> int:
        if order["epoch"] < self.seen_epoch:
            return 412
        if self.group is not None and self.group["epoch"] == order["epoch"]:
            return 200 if self.members == order["members"] else 412
        self.seen_epoch = order["epoch"]
        self.members, self.model = order["members"], order["model"]
        rank = self.members.index(self.instance)
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": rank,
            "state": "joining",
        }
        seconds = JOIN_SECONDS if self.model in self.staged else LOAD_SECONDS
        group = self.group
        self.site.later(seconds, lambda: self._joined(group))
        self.publish()
        return 202

    def _joined(self, group: dict[str, Any]) -> None:
        if self.group is group:
            group["state"] = "ready"
            self.site.ready_once.add((group["name"], group["epoch"], self.instance))
            self.staged = [self.model]
            self.publish()

    def _open(self, order: dict[str, Any]) -> int:
        if not self._is(order) or self.group is None or self.group["rank"] != 0:
            return 409
        if self.group["state"] != "ready":
            return 200 if self.group["state"] == "open" else 409
        group = self.group
        self.site.later(FORM_SECONDS, lambda: self._opened(group))
        return 202

    def _opened(self, group: dict[str, Any]) -> None:
        if self.group is group and group["state"] == "ready":
            group["state"] = "open"
            self.publish()

    def _leave(self, order: dict[str, Any]) -> int:
        if not self._is(order):
            return 409
        self.group, self.members = None, []
        self.publish()
        return 200

    def _is(self, order: dict[str, Any]) -> bool:
        group = self.group
        return group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        )

    def _stage(self, model: str) -> None:
        self.staged = [model]
        self.publish()


class EngineSite:
    """All hosts of one service.

    :param publish: writes an entry into the list
    :param withdraw: removes one
    """

    def __init__(
        self,
        service: str,
        publish: Callable[[str, bytes], None],
        withdraw: Callable[[str], None],
    ) -> None:
        self.service = service
        self.publish = publish
        self.withdraw = withdraw
        self.host_by_instance: dict[str, StandInHost] = {}
        self.runs: list[RunRecord] = []
        self.fatal: set[bytes] = set()
        """Bodies of requests that end each host that begins to run them."""
        self.crashed: list[str] = []
        self.ended_by: dict[bytes, list[float]] = {}
        """Monotonic times at which hosts ended, by the request that ended them."""
        self.closing: list[asyncio.Future[None]] = []
        self.returned: Callable[[StandInHost], None] = lambda host: None
        """Called when a host that ended is to come back."""
        self.ready_once: set[tuple[str, int, str]] = set()
        self._born = FIRST_BORN
        self.pieces = 10
        self.tear_after = 0
        """Events after which the next stream is cut in the middle of one, 0 for never."""

    def next_born(self) -> int:
        """Return the moment of a start, in Unix milliseconds."""
        self._born += 1
        return self._born

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        """Do something later."""
        asyncio.get_running_loop().call_later(seconds, call)


class _Handler(RequestHandler):
    def initialize(self, host: StandInHost) -> None:
        self.host = host

    async def prepare(self) -> None:
        if not self.host.alive:
            await asyncio.sleep(STALL_SECONDS * 10)
        self.host.demand.tell(self)
        expected = self.request.headers.get("Expect-Instance", self.host.instance)
        if expected != self.host.instance:
            self.set_status(421)
            self.set_header("Instance-Id", self.host.instance)
            self.finish()


class _Report(_Handler):
    def get(self) -> None:
        host = self.host
        held = {"phase": "unified", "group": host.group, "staged": host.staged}
        self.finish({**held, "born": host.born})


class _Order(_Handler):
    async def post(self) -> None:
        order = msgspec.json.decode(self.request.body)
        faults = self.host.faults
        if faults.late:
            faults.late -= 1
            self.host.site.later(faults.late_by, lambda: self._take_late(order))
            await asyncio.sleep(STALL_SECONDS * 10)
        self.set_status(self.host.take(order))
        self.finish()

    def _take_late(self, order: dict[str, Any]) -> None:
        self.host.take(order)


class _Generate(_Handler):
    async def post(self, path: str) -> None:
        host, headers = self.host, self.request.headers
        host.demand.arrived()
        if host.demand.turns_away(self):
            self.finish()
            return
        if host.group is None or host.group["state"] != "open":
            self.set_status(503 if host.group is not None else 421)
            self.set_header("Not-Executed", "1")
            self.finish()
            return
        last = headers.get("Last-Event-Id")
        first = int(last) + 1 if last else 0
        record = RunRecord(
            headers["Attempt-Id"],
            host.instance,
            host.group["name"],
            headers.get("Tenant", ""),
            int(last) if last else None,
            host.whole(),
            tuple(
                m
                for m in host.members
                if (host.group["name"], host.group["epoch"], m) not in host.site.ready_once
            ),
        )
        host.site.runs.append(record)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Attempt-Id", headers["Attempt-Id"])
        self.set_header("Response-Seal", f"seal-{host.instance}")
        if self.request.body in host.site.fatal:
            await self.flush()
            await asyncio.sleep(CRASH_SECONDS)
            if host.alive:
                host.site.ended_by.setdefault(self.request.body, []).append(time.monotonic())
            host.crash()
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        born = host.born
        try:
            for number in range(first, host.site.pieces):
                if host.born != born:
                    raise StreamClosedError  # this life is over, and its connections with it
                await self._piece(number)
        except StreamClosedError:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return

    async def _piece(self, number: int) -> None:
        host = self.host
        while host.whole() < len(host.members) or not host.alive:
            if host.instance in host.site.crashed:
                raise StreamClosedError
            await asyncio.sleep(0.05)
        event = f"id: {number}\ndata: piece {number}\n\n"
        if host.site.tear_after and number >= host.site.tear_after:
            host.site.tear_after = 0
            self.write(event[:8])
            await self.flush()
            self.request.connection.stream.close()  # type: ignore[union-attr]
            raise StreamClosedError
        self.write(event)
        await self.flush()
        await asyncio.sleep(PIECE_SECONDS)


class PlainFaults:
    """What is wrong with a plain target: a status that it fails with, or silence."""

    def __init__(self) -> None:
        self.status = 0
        self.shed = 0
        self.reset = 0
        self.slow = 0.0


class StandInTarget:
    """A plain target; ``ran`` holds the ids of requests that it ran."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.ran: list[str] = []
        self.faults = PlainFaults()
        self.demand = Demand()


class _Plain(RequestHandler):
    def initialize(self, target: StandInTarget) -> None:
        self.target = target

    async def _run(self) -> None:
        target, headers = self.target, self.request.headers
        target.demand.tell(self)
        if headers.get("Expect-Instance", target.instance) != target.instance:
            self.set_status(421)
            return
        target.demand.arrived()
        if target.demand.turns_away(self):
            return
        if target.faults.shed:
            target.faults.shed -= 1
            self.set_status(503)
            self.set_header("Not-Executed", "1")
            return
        target.ran.append(headers["Attempt-Id"])
        if target.faults.reset:
            target.faults.reset -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        await asyncio.sleep(target.faults.slow)
        self.set_status(target.faults.status or 200)
        self.set_header("Attempt-Id", headers["Attempt-Id"])
        self.set_header("Response-Seal", f"seal-{target.instance}")
        self.write(f"{target.instance} {self.request.method} {self.request.uri}")

    async def get(self, path: str) -> None:
        await self._run()

    async def post(self, path: str) -> None:
        await self._run()


def make_host_application(host: StandInHost) -> Application:
    """Return an engine host's HTTP interface."""
    arguments = {"host": host}
    routes = [
        ("/report", _Report, arguments),
        ("/order", _Order, arguments),
        (r"/(.*)", _Generate, arguments),
    ]
    return Application(routes, log_function=lambda handler: None)


def make_target_application(target: StandInTarget) -> Application:
    """Return a plain target's HTTP interface."""
    return Application([(r"/(.*)", _Plain, {"target": target})], log_function=lambda handler: None)
