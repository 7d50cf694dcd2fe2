"""Stand-ins for the users' engine hosts and plain targets.

An engine host executes orders, reports its group and, as the open head of a complete group, streams
numbered events. Like a real engine host it does not check that its group is complete before it
opens: it records the members at the start of each request, and the tests check them.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import Application, RequestHandler

EVENT_SECONDS = 0.02
JOIN_SECONDS = 0.05
LOAD_SECONDS = 0.4
FORM_SECONDS = 0.05
STALL_SECONDS = 4.0
CRASH_SECONDS = 0.05
"""Seconds from the start of a crash-causing request to the crash of its host."""

ENTRY_REMOVAL_SECONDS = 0.6
"""Seconds after a crash until the entry of the host is removed from the list."""

REPLACEMENT_SECONDS = 1.2
"""Seconds after a crash until a new host replaces the crashed one."""

LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"

FIRST_START_MS = 1_788_000_000_000
"""Unix milliseconds; the first host starts one millisecond later."""


RawReply = Callable[[IOStream, str, int], Awaitable[None]]
"""Writes bytes to a connection in place of a reply; called with the id of the request and the
number of the first event that its caller lacks."""


class RunRecord(NamedTuple):
    """The start of a request on an engine host.

    :param resumed_after: last event that the caller already has, for a resumed stream
    :param joined_members: number of joined members in the group at the start
    :param never_ready: members that had not yet been ready in this group at any time
    """

    request_id: str
    instance: str
    group: str
    account: str
    resumed_after: int | None
    joined_members: int
    never_ready: tuple[str, ...] = ()


class TargetNotices:
    """The notices that a target sends in reply headers, and the arrival times of requests.

    :ivar limit: value of the rate limit header, empty for no limit
    :ivar backoff: value of the ``Retry-After`` header with which the target rejects requests,
        empty to accept them
    :ivar leaving: all replies announce that the target is about to leave
    :ivar arrivals: monotonic times at which requests arrived
    """

    def __init__(self) -> None:
        self.leaving = False
        self.limit = ""
        self.backoff = ""
        self.arrivals: list[float] = []

    def record_arrival(self) -> None:
        """Record the arrival of a request, whether or not it is accepted."""
        self.arrivals.append(time.monotonic())

    def set_notice_headers(self, handler: RequestHandler) -> None:
        """Set the headers that all replies carry."""
        if self.limit:
            handler.set_header(LIMIT_HEADER, self.limit)
        if self.leaving:
            handler.set_header(LEAVING_HEADER, "1")

    def reject_if_shedding(self, handler: RequestHandler) -> bool:
        """Reject a request if the target sheds load; return whether it was rejected."""
        if not self.backoff:
            return False
        handler.set_status(503)
        handler.set_header("Not-Executed", "1")
        handler.set_header("Retry-After", self.backoff)
        return True


class CrashCause(NamedTuple):
    """What crashes hosts.

    :param name: body of a request, or a part of prompts
    :param model: model of the part, as the same name at another model is another part; empty for a
        body
    """

    name: str
    model: str = ""


class Silence:
    """A span in which a host or target sends nothing; then it goes on as if nothing had been."""

    def __init__(self) -> None:
        self._until = float("-inf")

    def begin(self, seconds: float) -> None:
        """Fall silent for some seconds."""
        self._until = time.monotonic() + seconds

    async def wait(self) -> None:
        """Wait until the silence is over."""
        while (left := self._until - time.monotonic()) > 0:
            await asyncio.sleep(left)


class OrderFaults:
    """Faults in the execution of orders.

    :ivar late: number of next orders that are executed after ``late_by`` seconds, without a reply
    """

    def __init__(self) -> None:
        self.late = 0
        self.late_by = 1.0


class StandInHost:
    """An engine host; :meth:`restart` begins its next incarnation."""

    def __init__(self, site: EngineSite, instance: str, domain: str, data_centre: str) -> None:
        self.site = site
        self.instance = instance
        self.born = site.next_start_ms()
        self.domain = domain
        self.data_centre = data_centre
        self.address = ""
        self.staged: list[str] = []
        self.group: dict[str, Any] | None = None
        self.members: list[str] = []
        self.model = ""
        self.seen_epoch = 0
        self.seen_fence = 0
        self.running = 0
        self.leaving = False
        self.alive = True
        self.faults = OrderFaults()
        self.silence = Silence()
        self.notices = TargetNotices()
        self.cold_until = 0.0
        self.server: HTTPServer | None = None
        self.orders: list[dict[str, Any]] = []

    def entry(self) -> bytes:
        """Return the entry of the host in the host list."""
        return msgspec.json.encode(
            {
                "service": self.site.service,
                "address": self.address,
                "zone": self.data_centre,
                "version": "v1",
                "born": self.born,
                "cold_remaining_ms": max(0.0, self.cold_until - time.monotonic()) * 1000,
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
        """Write the entry of the host to the list if the host is alive."""
        if self.alive:
            self.site.publish(self.instance, self.entry())

    def lose_power(self) -> None:
        """Stop replying and sending heartbeats, as after a power loss; the old entry stays."""
        self.alive = False

    def crash(self) -> None:
        """Stop listening immediately and close all connections."""
        if not self.alive:
            return
        self.alive = False
        self.site.crashed_instances.append(self.instance)
        if self.server is not None:
            self.server.stop()
            self.site.closing_connections.append(
                asyncio.ensure_future(self.server.close_all_connections())
            )
        self.site.schedule(ENTRY_REMOVAL_SECONDS, lambda: self.site.withdraw(self.instance))
        self.site.schedule(REPLACEMENT_SECONDS, lambda: self.site.replace_host(self))

    def restart(self) -> None:
        """Start the next incarnation immediately, under the same name and address."""
        self.born = self.site.next_start_ms()
        self.group, self.members, self.model = None, [], ""
        self.seen_epoch = self.seen_fence = 0
        self.orders = []
        self.notices = TargetNotices()
        self.cold_until = 0.0
        # The host remains in ever_ready: a request that begins before the entry hosts learn of the
        # restart runs in a group that lost a member, not in one that was never complete.
        self.publish()

    def apply_order(self, order: dict[str, Any]) -> int:
        """Execute an order; return the status of the reply."""
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
            case "close":
                return self._close(order)
            case "leave":
                return self._leave(order)
            case "phase":
                self.site.schedule(LOAD_SECONDS, lambda: self._stage(order["model"]))
                return 202
        return 400

    def joined_member_count(self) -> int:
        """Return how many members of the group of this head have joined and are alive."""
        return sum(1 for i in self.members if self._is_joined(i))

    def _is_joined(self, instance: str) -> bool:
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
        self.site.schedule(seconds, lambda: self._joined(group))
        self.publish()
        return 202

    def _joined(self, group: dict[str, Any]) -> None:
        if self.group is group:
            group["state"] = "ready"
            self.site.ever_ready.add((group["name"], group["epoch"], self.instance))
            self.staged = [self.model]
            self.publish()

    def _open(self, order: dict[str, Any]) -> int:
        if not self._is_current_group(order) or self.group is None or self.group["rank"] != 0:
            return 409
        if self.group["state"] != "ready":
            return 200 if self.group["state"] == "open" else 409
        group = self.group
        self.site.schedule(FORM_SECONDS, lambda: self._opened(group))
        return 202

    def _opened(self, group: dict[str, Any]) -> None:
        if self.group is group and group["state"] == "ready":
            group["state"] = "open"
            self.publish()

    def _close(self, order: dict[str, Any]) -> int:
        if not self._is_current_group(order) or self.group is None:
            return 409
        if self.group["state"] == "open":
            self.group["state"] = "closing"
            self.publish()
            self._finish_closing(self.group)
        return 200

    def _finish_closing(self, group: dict[str, Any]) -> None:
        if self.group is not group or group["state"] != "closing":
            return
        if self.running:
            self.site.schedule(EVENT_SECONDS, lambda: self._finish_closing(group))
            return
        group["state"] = "ready"
        self.publish()

    def _leave(self, order: dict[str, Any]) -> int:
        if not self._is_current_group(order):
            return 409
        self.group, self.members = None, []
        self.publish()
        return 200

    def _is_current_group(self, order: dict[str, Any]) -> bool:
        group = self.group
        return group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        )

    def _stage(self, model: str) -> None:
        self.staged = [model]
        self.publish()


class EngineSite:
    """All engine hosts of one service.

    :param publish: writes the entry of a host to the host list
    :param withdraw: removes the entry of a host
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
        self.crash_causing_bodies: set[bytes] = set()
        """Bodies of crash-causing requests: each host that begins to run one crashes."""
        self.crash_causing_parts: set[str] = set()
        """Parts of prompts: each host that begins to run a request with one crashes."""
        self.crashed_instances: list[str] = []
        self.crash_times: dict[CrashCause, list[float]] = {}
        """Monotonic times of crashes by their causes."""
        self.arrivals: list[Arrival] = []
        self.closing_connections: list[asyncio.Future[None]] = []
        self.replace_host: Callable[[StandInHost], None] = lambda host: None
        """Called when a crashed host is to be replaced."""
        self.ever_ready: set[tuple[str, int, str]] = set()
        self._last_start_ms = FIRST_START_MS
        self.events_per_stream = 10
        self.events_by_body: dict[bytes, int] = {}
        """Number of events of streams whose requests have these bodies."""
        self.unframed = False
        """Whether streams have neither a length nor chunks, and end with their connection."""
        self.break_at_event = 0
        """Number of the event in which the next stream breaks off, 0 for none."""
        self.raw_reply: RawReply | None = None
        """Writes the next reply to a request."""

    def next_start_ms(self) -> int:
        """Return the start time of the next incarnation, in Unix milliseconds."""
        self._last_start_ms += 1
        return self._last_start_ms

    def crash_cause(self, body: bytes, prompt: str, model: str) -> CrashCause | None:
        """Return what in a request crashes the host that runs it; the last part never is it."""
        if body in self.crash_causing_bodies:
            return CrashCause(body.decode())
        parts = {part.partition(":")[0] for part in prompt.split(",")[:-1]}
        found = min(parts & self.crash_causing_parts, default="")
        return CrashCause(found, model) if found else None

    def schedule(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        asyncio.get_running_loop().call_later(seconds, call)


class _Handler(RequestHandler):
    def initialize(self, host: StandInHost) -> None:
        self.host = host

    async def prepare(self) -> None:
        if "Attempt-Id" in self.request.headers:
            arrival = Arrival(time.monotonic(), self.request.headers["Attempt-Id"])
            self.host.site.arrivals.append(arrival)
        await self.host.silence.wait()
        if not self.host.alive:
            await asyncio.sleep(STALL_SECONDS * 10)
        self.host.notices.set_notice_headers(self)
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
            self.host.site.schedule(faults.late_by, lambda: self._apply_late(order))
            await asyncio.sleep(STALL_SECONDS * 10)
        self.set_status(self.host.apply_order(order))
        self.finish()

    def _apply_late(self, order: dict[str, Any]) -> None:
        self.host.apply_order(order)


class _Generate(_Handler):
    async def post(self, path: str) -> None:
        host, headers = self.host, self.request.headers
        host.notices.record_arrival()
        if host.notices.reject_if_shedding(self):
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
            host.joined_member_count(),
            tuple(
                m
                for m in host.members
                if (host.group["name"], host.group["epoch"], m) not in host.site.ever_ready
            ),
        )
        host.site.runs.append(record)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Attempt-Id", headers["Attempt-Id"])
        self.set_header("Response-Seal", f"seal-{host.instance}")
        prompt, model = headers.get("Prompt-Prefix", ""), headers.get("Model", "")
        cause = host.site.crash_cause(self.request.body, prompt, model)
        if cause is not None:
            await self.flush()
            await asyncio.sleep(CRASH_SECONDS)
            if host.alive:
                host.site.crash_times.setdefault(cause, []).append(time.monotonic())
            host.crash()
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        raw_reply, host.site.raw_reply = host.site.raw_reply, None
        if raw_reply is not None:
            await _write_raw(self.detach(), raw_reply, headers["Attempt-Id"], first)
            return
        if host.site.unframed:
            await self._send_unframed(first)
            return
        born = host.born
        host.running += 1
        try:
            site = host.site
            events = site.events_by_body.get(self.request.body, site.events_per_stream)
            for number in range(first, events):
                if host.born != born:
                    raise StreamClosedError  # a restart closes all older connections
                await self._send_event(number)
        except StreamClosedError:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        finally:
            host.running -= 1

    async def _send_unframed(self, first: int) -> None:
        """Send the stream without a length or chunks, and end it with the connection."""
        site = self.host.site
        head = "".join(f"{name}: {value}\r\n" for name, value in self._headers.get_all())
        stream = self.detach()
        await stream.write(f"HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n".encode())
        for number in range(first, site.events_per_stream):
            event = _event(number)
            if site.break_at_event and number >= site.break_at_event:
                site.break_at_event = 0
                await stream.write(event[:8])
                break
            await stream.write(event)
            await asyncio.sleep(EVENT_SECONDS)
        stream.close()

    async def _send_event(self, number: int) -> None:
        host = self.host
        while host.joined_member_count() < len(host.members) or not host.alive:
            if host.instance in host.site.crashed_instances:
                raise StreamClosedError
            await asyncio.sleep(0.05)
        await host.silence.wait()
        event = _event(number)
        if host.site.break_at_event and number >= host.site.break_at_event:
            host.site.break_at_event = 0
            self.write(event[:8])
            await self.flush()
            self.request.connection.stream.close()  # type: ignore[union-attr]
            raise StreamClosedError
        self.write(event)
        await self.flush()
        await asyncio.sleep(EVENT_SECONDS)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def _write_raw(stream: IOStream, reply: RawReply, request_id: str, first: int) -> None:
    with contextlib.suppress(StreamClosedError):
        await reply(stream, request_id, first)
    stream.close()


class TargetFaults:
    """Faults of a plain target.

    :ivar status: status of all replies, 0 for 200
    :ivar shed: number of next requests to reject without running them
    :ivar reset: number of next requests that run and get their connection closed without a reply
    :ivar slow: seconds of delay before each reply
    :ivar raw_reply: writes all replies, ``None`` for usual ones
    """

    def __init__(self) -> None:
        self.status = 0
        self.shed = 0
        self.reset = 0
        self.slow = 0.0
        self.raw_reply: RawReply | None = None


class Arrival(NamedTuple):
    """A request that reached a host or target, whether it ran there or not."""

    at: float
    request_id: str


class StandInTarget:
    """A plain target; ``ran`` holds the ids of the requests that it ran."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.ran: list[str] = []
        self.arrivals: list[Arrival] = []
        self.faults = TargetFaults()
        self.silence = Silence()
        self.notices = TargetNotices()


class _TargetHandler(RequestHandler):
    def initialize(self, target: StandInTarget) -> None:
        self.target = target

    async def _run(self) -> None:
        target, headers = self.target, self.request.headers
        await target.silence.wait()
        target.arrivals.append(Arrival(time.monotonic(), headers.get("Attempt-Id", "")))
        target.notices.set_notice_headers(self)
        if headers.get("Expect-Instance", target.instance) != target.instance:
            self.set_status(421)
            return
        target.notices.record_arrival()
        if target.notices.reject_if_shedding(self):
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
        if target.faults.raw_reply is not None:
            await _write_raw(self.detach(), target.faults.raw_reply, headers["Attempt-Id"], 0)
            return
        await asyncio.sleep(target.faults.slow)
        await target.silence.wait()
        self.set_status(target.faults.status or 200)
        self.set_header("Attempt-Id", headers["Attempt-Id"])
        self.set_header("Response-Seal", f"seal-{target.instance}")
        self.write(f"{target.instance} {self.request.method} {self.request.uri}")

    async def get(self, path: str) -> None:
        await self._run()

    async def post(self, path: str) -> None:
        await self._run()


def make_host_application(host: StandInHost) -> Application:
    """Return the HTTP interface of an engine host."""
    arguments = {"host": host}
    routes = [
        ("/report", _Report, arguments),
        ("/order", _Order, arguments),
        (r"/(.*)", _Generate, arguments),
    ]
    return Application(routes, log_function=lambda handler: None)


def make_target_application(target: StandInTarget) -> Application:
    """Return the HTTP interface of a plain target."""
    return Application(
        [(r"/(.*)", _TargetHandler, {"target": target})], log_function=lambda handler: None
    )
