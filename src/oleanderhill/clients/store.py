"""Client for the platform's key-value service: compare-and-swap and watches.

The protocol is the HTTP API of the Consul KV store (``/v1/kv``, modify indexes, blocking queries),
used only in this module. A call succeeds only with a complete reply; the two kinds of failure
differ in whether the call may have been executed.
"""

from __future__ import annotations

import base64
from typing import NamedTuple
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from ..exceptions import StoreAnswerLostError, StoreError, StoreUnavailableError
from .httpcall import Call, CallFailure, HttpCaller, Reply

CALL_TIMEOUT = 2.0
WATCH_WAIT = 20.0


class Stored(NamedTuple):
    """A value and its modify index."""

    value: bytes
    modify_index: int


class Listing(NamedTuple):
    """All values under a prefix, and the store's index at the time of the read."""

    store_index: int
    by_key: dict[str, Stored]


class _Pair(msgspec.Struct):
    Key: str
    Value: str | None
    ModifyIndex: int


class StoreClient:
    """Client of the store.

    :param address: ``ip:port`` of the platform's service
    """

    def __init__(self, address: str, caller: HttpCaller) -> None:
        self._address = address
        self._caller = caller
        self.reads = 0
        self.writes = 0

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all values under a prefix."""
        return await self._list(f"/v1/kv/{quote(prefix)}?recurse=true", CALL_TIMEOUT)

    async def watch(self, prefix: str, index: int) -> Result[Listing, StoreError]:
        """Return all values under a prefix, once one changes after ``index`` or the wait ends."""
        query = f"?recurse=true&index={index}&wait={int(WATCH_WAIT)}s"
        return await self._list(f"/v1/kv/{quote(prefix)}{query}", WATCH_WAIT + CALL_TIMEOUT)

    async def read(self, key: str) -> Result[Stored | None, StoreError]:
        """Read one value."""
        found = await self._list(f"/v1/kv/{quote(key)}", CALL_TIMEOUT)
        return found.map(lambda listing: listing.by_key.get(key))

    async def swap(self, key: str, value: bytes, index: int) -> Result[bool, StoreError]:
        """Write a value if the key is at ``index`` (0: absent); return whether it was written."""
        self.writes += 1
        call = Call(
            self._address,
            "PUT",
            f"/v1/kv/{quote(key)}?cas={index}",
            body=value,
            timeout=CALL_TIMEOUT,
        )
        return (await self._caller.call(call)).alt(_store_error).bind(_as_bool)

    async def _list(self, path: str, timeout: float) -> Result[Listing, StoreError]:
        self.reads += 1
        call = Call(self._address, "GET", path, timeout=timeout, reuse=True)
        return (await self._caller.call(call)).alt(_store_error).bind(_as_listing)


def _store_error(failure: CallFailure) -> StoreError:
    if failure.sent:
        return StoreAnswerLostError(failure.reason)
    return StoreUnavailableError(failure.reason)


def _as_bool(reply: Reply) -> Result[bool, StoreError]:
    if reply.status != 200:
        return Failure(_status_error(reply))
    return Success(reply.body.strip() == b"true")


def _as_listing(reply: Reply) -> Result[Listing, StoreError]:
    if reply.status == 404:
        return Success(Listing(_index(reply), {}))
    if reply.status != 200:
        return Failure(_status_error(reply))
    try:
        pairs = msgspec.json.decode(reply.body, type=list[_Pair])
    except msgspec.DecodeError as error:
        return Failure(StoreUnavailableError(f"malformed answer: {error}"))
    by_key = {p.Key: Stored(base64.b64decode(p.Value or ""), p.ModifyIndex) for p in pairs}
    return Success(Listing(_index(reply), by_key))


def _index(reply: Reply) -> int:
    text = reply.headers.get("X-Consul-Index", "0")
    return int(text) if text.isdigit() else 0


def _status_error(reply: Reply) -> StoreError:
    # After a 5xx status, a write may still have been executed.
    return StoreAnswerLostError(f"status {reply.status}")
