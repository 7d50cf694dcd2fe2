"""Orders to engine hosts over HTTP."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from ..clients.httpcall import Call, CallFailure, FailureKind, Reply
from ..groups.actions import Close, Join, Leave, Open, Order, OrderOutcome, Stage, Warm
from ..groups.inventory import Instance
from ..groups.probing import ProbeOutcome
from ..serving.forwarding import Notice
from ..serving.target_caller import TargetCaller
from .decoding import decode_report
from .headers import EXPECT_INSTANCE, WRONG_INSTANCE_STATUS, read_notice

ORDER_TIMEOUT = 0.8
"""Seconds; a host answers an order within a few milliseconds or not at all."""

PROBE_TIMEOUT = 0.4
"""Seconds; probes go to hosts whose group was observed to stall, and use no slot of the engine."""

MAX_REPLY_BYTES = 64 * 1024
"""Bytes of a report or of the reply to an order."""

_OUTCOME_BY_STATUS = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.DONE,
    409: OrderOutcome.UNFIT,
    412: OrderOutcome.FENCED,
    WRONG_INSTANCE_STATUS: OrderOutcome.GONE,
}


@singledispatch
def _body(order: Order) -> dict[str, Any]:
    raise TypeError(f"unknown order {order!r}")


@_body.register(Join)
@_body.register(Warm)
def _(order: Join | Warm) -> dict[str, Any]:
    group = order.group
    return {
        "operation": "join",
        "group": group.name,
        "epoch": group.epoch,
        "model": group.model,
        "members": [m.name for m in group.members],
    }


@_body.register
def _(order: Open) -> dict[str, Any]:
    return {"operation": "open", "group": order.group.name, "epoch": order.group.epoch}


@_body.register
def _(order: Close) -> dict[str, Any]:
    # In this mode the head finishes the requests that it has, also those in its queue.
    return {"operation": "close", "group": order.group, "epoch": order.epoch, "mode": "queue"}


@_body.register
def _(order: Leave) -> dict[str, Any]:
    return {"operation": "leave", "group": order.group, "epoch": order.epoch}


@_body.register
def _(order: Stage) -> dict[str, Any]:
    # Despite its name, this operation loads model weights onto the host.
    return {"operation": "phase", "model": order.model}


class EngineOrders:
    """Sends orders and probes to engine hosts.

    :param on_notice: called with a host's incarnation, the notice in its reply and the send time
    :param may_contact: returns whether anything may be sent to an incarnation now
    :ivar orders_sent: number of orders sent
    :ivar probes_sent: number of probes sent
    """

    def __init__(
        self,
        caller: TargetCaller,
        on_notice: Callable[[str, Notice, float], None],
        may_contact: Callable[[Instance], bool],
    ) -> None:
        self._caller = caller
        self._on_notice = on_notice
        self.may_contact = may_contact
        self.orders_sent = 0
        self.probes_sent = 0

    async def send(self, order: Order, address: str, term: int) -> OrderOutcome:
        """Send an order and return its outcome.

        The order names the instance, so that another host with the same address rejects it, and the
        term, so that a host rejects orders of an owner that has been replaced.
        """
        if not self.may_contact(order.instance):
            return OrderOutcome.HELD_BACK
        self.orders_sent += 1
        body = msgspec.json.encode({**_body(order), "fencing_token": term})
        headers = {"Content-Type": "application/json", EXPECT_INSTANCE: order.instance.name}
        call = Call(
            address,
            "POST",
            "/order",
            headers,
            body,
            timeout=ORDER_TIMEOUT,
            reuse=True,
            max_reply=MAX_REPLY_BYTES,
            connect_timeout=ORDER_TIMEOUT,
        )
        found = await self._call_host(order.instance, call)
        if is_successful(found):
            return _OUTCOME_BY_STATUS.get(found.unwrap().status, OrderOutcome.SILENT)
        if self._had_no_path(address, found.failure()):
            return OrderOutcome.NO_PATH
        # A refused connection doesn't prove that the host is down: a partition may cause it too.
        return OrderOutcome.SILENT

    async def _call_host(
        self, instance: Instance, call: Call, second_opinion: bool = False
    ) -> Result[Reply, CallFailure]:
        sent_at = time.monotonic()
        # Peers report nothing of hosts that don't serve, so only own connections tell of the links.
        in_doubt = second_opinion or not self._caller.links_proven()
        found = await self._caller.call(call, second_opinion=in_doubt)
        if is_successful(found) and found.unwrap().status != WRONG_INSTANCE_STATUS:
            reply = found.unwrap()
            self._on_notice(str(instance), read_notice(reply.status, reply.headers), sent_at)
        return found

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to the address of an ended host."""
        self._caller.forget(address)

    def _had_no_path(self, address: str, failure: CallFailure) -> bool:
        """Return whether links may be why a call failed, so that it tells nothing of the host."""
        if failure.kind == FailureKind.PROXY_LOST:
            return True
        return not failure.sent and self._caller.links_may_explain(address)

    async def answers(self, instance: Instance, address: str, second_opinion: bool = False) -> bool:
        """Return whether this incarnation of a host answers a probe at an address.

        :param second_opinion: whether the probe goes through a peer if it gets no connection
        """
        outcome = await self.probe(instance, address, second_opinion)
        return outcome == ProbeOutcome.ANSWERED

    async def probe(
        self, instance: Instance, address: str, second_opinion: bool = False
    ) -> ProbeOutcome:
        """Probe an address and return whether this incarnation of the host answers there.

        :param second_opinion: whether the probe goes through a peer if it gets no connection
        """
        self.probes_sent += 1
        headers = {EXPECT_INSTANCE: instance.name}
        call = Call(
            address,
            "GET",
            "/report",
            headers,
            timeout=PROBE_TIMEOUT,
            reuse=True,
            max_reply=MAX_REPLY_BYTES,
            connect_timeout=PROBE_TIMEOUT,
        )
        found = await self._call_host(instance, call, second_opinion)
        if not is_successful(found):
            failure = found.failure()
            if self._had_no_path(address, failure):
                return ProbeOutcome.NO_PATH
            closed = failure.refused or failure.kind == FailureKind.LOST
            return ProbeOutcome.GONE if closed else ProbeOutcome.SILENT
        if found.unwrap().status != 200:
            return ProbeOutcome.GONE
        try:
            is_same = decode_report(found.unwrap().body) in (None, instance.born)
        except ValueError:
            # A malformed report still shows that the host is running. Whether it serves is detected
            # by the requests of its group.
            is_same = True
        return ProbeOutcome.ANSWERED if is_same else ProbeOutcome.GONE
