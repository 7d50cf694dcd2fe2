"""Clients for engines (reports, orders) and the platform (host list, weight tickets).

These external formats are used only in this module, so that they can be replaced in one place.
"""

from __future__ import annotations

import json
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from ..exceptions import (
    OleanderhillError,
    OrderRejectedError,
    TargetConnectionRefusedError,
    TargetUnreachableError,
)
from ..types import HostEntry, HostReport, Order
from .httpcall import Call, CallFailure, HttpCaller, Reply
from .store import WATCH_WAIT

PROBE_TIMEOUT = 0.8
ORDER_TIMEOUT = 0.8
TICKET_TIMEOUT = 1.0


class HostList(NamedTuple):
    """The platform's host list of one data centre, and its index."""

    list_index: int
    hosts: tuple[HostEntry, ...]


class Ticket(NamedTuple):
    """Permission to read weights if ``wait`` is 0; otherwise seconds until the next request."""

    wait: float


class _ReportBody(msgspec.Struct):
    host: str
    boot_id: str
    group: str
    epoch: int
    rank: int
    state: str
    leaving: bool
    running: int
    waiting: int
    capacity: int


class _TicketBody(msgspec.Struct):
    wait: float


class _HostsBody(msgspec.Struct):
    index: int
    hosts: list[HostEntry]


class TargetClient:
    """Client of engines and of the platform's services.

    :param platform: ``ip:port`` of the platform
    """

    def __init__(self, platform: str, caller: HttpCaller) -> None:
        self._platform = platform
        self._caller = caller

    async def probe(self, address: str) -> Result[HostReport, OleanderhillError]:
        """Fetch an engine's report."""
        call = Call(address, "GET", "/report", timeout=PROBE_TIMEOUT, reuse=True)
        reply = (await self._caller.call(call)).alt(_unreachable(address))
        return reply.bind(lambda r: _decode(address, r, _ReportBody)).map(_as_report)

    async def order(self, order: Order) -> Result[None, OleanderhillError]:
        """Send an order. An engine that checks fencing numbers rejects an outdated one."""
        body = {
            "kind": order.kind,
            "group": order.group,
            "epoch": order.epoch,
            "rank": order.rank,
            "members": [{"host": m.host, "address": m.address} for m in order.members],
            "model": order.spec.model if order.spec else "",
            "version": order.spec.version if order.spec else "",
            "adapters": list(order.spec.adapters) if order.spec else [],
            "weights_gb": order.spec.weights_gb / order.spec.hosts if order.spec else 0,
            "fence": list(order.fence),
        }
        payload = json.dumps(body).encode()
        call = Call(order.address, "POST", "/orders", body=payload, timeout=ORDER_TIMEOUT)
        reply = (await self._caller.call(call)).alt(_unreachable(order.address))
        return reply.bind(lambda r: _check_accepted(order.host, r))

    async def cancel(self, address: str, run_id: str) -> None:
        """Cancel a request at an engine; best effort, as the closed stream also cancels it."""
        await self._caller.call(Call(address, "POST", f"/cancel/{run_id}", timeout=PROBE_TIMEOUT))

    async def hosts(self, data_centre: str, index: int) -> Result[HostList, OleanderhillError]:
        """Return a data centre's host list, once it changes after ``index`` or the wait ends."""
        path = f"/v1/hosts?dc={data_centre}&index={index}&wait={int(WATCH_WAIT)}s"
        call = Call(self._platform, "GET", path, timeout=WATCH_WAIT + 2.0, reuse=True)
        reply = (await self._caller.call(call)).alt(_unreachable(self._platform))
        return reply.bind(lambda r: _decode(self._platform, r, _HostsBody)).map(
            lambda b: HostList(b.index, tuple(b.hosts))
        )

    async def ticket(self, gigabytes: float) -> Result[Ticket, OleanderhillError]:
        """Request permission to read weights; loads are paced to avoid a thundering herd."""
        path = f"/v1/weights/ticket?gb={gigabytes}"
        call = Call(self._platform, "POST", path, timeout=TICKET_TIMEOUT)
        reply = (await self._caller.call(call)).alt(_unreachable(self._platform))
        return reply.bind(lambda r: _decode(self._platform, r, _TicketBody)).map(
            lambda b: Ticket(b.wait)
        )


def _unreachable(address: str):  # noqa: ANN202 - returns a closure
    def convert(failure: CallFailure) -> OleanderhillError:
        reason = f"{failure.kind.value}: {failure.reason}"
        if failure.refused:
            return TargetConnectionRefusedError(address, reason)
        return TargetUnreachableError(address, reason)

    return convert


def _decode(address: str, reply: Reply, kind: type) -> Result:
    if reply.status != 200:
        return Failure(TargetUnreachableError(address, f"status {reply.status}"))
    try:
        return Success(msgspec.json.decode(reply.body, type=kind))
    except msgspec.DecodeError as error:
        return Failure(TargetUnreachableError(address, f"malformed answer: {error}"))


def _as_report(body: _ReportBody) -> HostReport:
    return msgspec.convert(msgspec.structs.astuple(body), HostReport)


def _check_accepted(host: str, reply: Reply) -> Result[None, OleanderhillError]:
    if reply.status == 200:
        return Success(None)
    return Failure(OrderRejectedError(host, f"status {reply.status} {reply.body[:200]!r}"))
