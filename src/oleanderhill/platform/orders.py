"""Orders to engine hosts over HTTP."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from ..clients.httpcall import Call, CallFailure, HttpCaller, Reply
from ..groups.actions import Join, Leave, Open, Order, OrderEnd, Stage, Warm
from ..groups.inventory import Instance
from ..serving.forwarding import Notice
from .decoding import report_born
from .headers import EXPECT_INSTANCE, OTHER_INSTANCE, read_notice

ORDER_TIMEOUT = 0.8
"""Seconds for an order; a host answers within a few ms or not at all."""

PROBE_TIMEOUT = 0.4
"""Seconds for a probe of a host whose group was seen to stall; it takes no slot of the engine."""

_END_BY_STATUS = {
    200: OrderEnd.DONE,
    202: OrderEnd.DONE,
    409: OrderEnd.UNFIT,
    412: OrderEnd.FENCED,
    OTHER_INSTANCE: OrderEnd.GONE,
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
def _(order: Leave) -> dict[str, Any]:
    return {"operation": "leave", "group": order.group, "epoch": order.epoch}


@_body.register
def _(order: Stage) -> dict[str, Any]:
    # Named for the stage of a request elsewhere, this operation loads weights onto the host.
    return {"operation": "phase", "model": order.model}


class EngineOrders:
    """Gives orders to engine hosts.

    :param heard: takes a host's life, what its answer says of it, and when it was asked
    :param may_ask: tells whether anything may go to a host in a life now
    """

    def __init__(
        self,
        caller: HttpCaller,
        heard: Callable[[str, Notice, float], None],
        may_ask: Callable[[Instance], bool],
    ) -> None:
        self._caller = caller
        self._heard = heard
        self.may_ask = may_ask
        self.given = 0
        self.asked = 0

    async def give(self, order: Order, address: str, term: int) -> OrderEnd:
        """Give an order and return how it ended.

        The instance is named, so that another host that got the address refuses it; the term
        makes a host refuse the orders of an owner that was replaced.
        """
        if not self.may_ask(order.instance):
            return OrderEnd.HELD_BACK
        self.given += 1
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
            connect_timeout=ORDER_TIMEOUT,
        )
        found = await self._ask(order.instance, call)
        if is_successful(found):
            return _END_BY_STATUS.get(found.unwrap().status, OrderEnd.SILENT)
        # A refused connection proves nothing: a partition may refuse where the host lives on.
        return OrderEnd.SILENT

    async def _ask(self, instance: Instance, call: Call) -> Result[Reply, CallFailure]:
        asked_at = time.monotonic()
        found = await self._caller.call(call)
        if is_successful(found) and found.unwrap().status != OTHER_INSTANCE:
            reply = found.unwrap()
            self._heard(str(instance), read_notice(reply.status, reply.headers), asked_at)
        return found

    def forget(self, address: str) -> None:
        """Close the kept connections to an address whose owner is gone."""
        self._caller.forget(address)

    async def answers(self, instance: Instance, address: str) -> bool:
        """Tell whether a host answers under this address in this life."""
        self.asked += 1
        headers = {EXPECT_INSTANCE: instance.name}
        call = Call(
            address,
            "GET",
            "/report",
            headers,
            timeout=PROBE_TIMEOUT,
            reuse=True,
            connect_timeout=PROBE_TIMEOUT,
        )
        found = await self._ask(instance, call)
        if not is_successful(found) or found.unwrap().status != 200:
            return False
        try:
            return report_born(found.unwrap().body) in (None, instance.born)
        except ValueError:
            # Who sends what can't be read is there; whether it serves, its group's requests show.
            return True
