"""The platform's store over HTTP, in the shape of :class:`~..clients.storage.Storage`."""

from __future__ import annotations

import base64
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..clients.httpcall import Call, CallFailure, FailureKind, HttpCaller, Reply
from ..clients.storage import (
    NEVER,
    Change,
    Changes,
    GenerationEndedError,
    HistoryLostError,
    Item,
    Lease,
    LeaseEndedError,
    Listing,
    Revision,
    StoreConflictError,
    Write,
)
from ..exceptions import (
    StoreAnswerLostError,
    StoreCutError,
    StoreError,
    StoreUnavailableError,
)
from ..records import Records

CALL_TIMEOUT = 1.0
"""Seconds for a call; the store takes 4 ms, and 60 times as long on a slow day."""

CONNECT_TIMEOUT = 0.4
"""Seconds to connect; a store that is cut off does not answer at all."""

CHANGES_WAIT_MS = 200
"""Milliseconds that a reading of changes waits where there are none: heartbeats of the target
hosts are changes too, so that this is rare."""

MAX_PAGES = 200
"""Pages of a listing; each has some hundred items, so more of them is a fault of the store."""

_GENERATION = "Store-Era"
_LONGEST_GENERATION = 15
"""Digits of a generation."""

_Kind = TypeVar("_Kind")


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Watched(msgspec.Struct):
    events: list[_Item]
    at: int


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _Committed(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease_id: int


class PlatformStore:
    """Calls to the store; reads and writes are counted, as each has its price.

    :param address: ``ip:port``
    :ivar generation: newest one that an answer named, 0 for none; it rises each time that the
        store is restored from a backup
    """

    def __init__(self, address: str, caller: HttpCaller, records: Records) -> None:
        self._address = address
        self._caller = caller
        self._records = records
        self.calls_by_kind: dict[str, int] = {}
        self.generation = 0

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all items under a prefix. Pages are not one snapshot: the oldest revision counts."""
        items: list[Item] = []
        after, revision = "", None
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix, **({"after": after} if after else {})}
            found = await self._read("list", f"/kv-range?{urlencode(query)}", _Page)
            if not is_successful(found):
                return Failure(found.failure())
            generation, page = found.unwrap()
            if revision is not None and revision.generation != generation:
                return Failure(GenerationEndedError())
            items.extend(_item(i, generation) for i in page.items)
            revision = Revision(generation, page.at) if revision is None else revision
            if not page.has_more or not page.items:
                return Success(Listing(revision, items))
            after = page.items[-1].key
        return Failure(StoreUnavailableError(f"over {MAX_PAGES} pages under {prefix}"))

    async def changes(self, after: Revision) -> Result[Changes, StoreError]:
        """Read what changed after a revision, all keys."""
        if after.generation < self.generation:
            return Failure(HistoryLostError())
        number = after.number
        query = urlencode({"prefix": "", "after": number, "wait_ms": CHANGES_WAIT_MS})
        found = await self._read("changes", f"/kv-watch?{query}", _Watched)
        if is_successful(found) and found.unwrap()[0] != after.generation:
            # The number has been given out again: what changed before it was never told.
            return Failure(HistoryLostError())
        return found.map(_changes)

    async def unchanged(self, expected: Mapping[str, Revision]) -> Result[bool, StoreError]:
        """Tell whether all keys are at their expected revisions, by a commit of nothing."""
        found = await self._transact("check", expected, ())
        if not is_successful(found):
            ended = isinstance(found.failure(), GenerationEndedError)
            return Success(False) if ended else Failure(found.failure())
        reply = found.unwrap()
        if reply.status == 412 or any(
            _generation(reply) != r.generation for r in expected.values()
        ):
            return Success(False)
        return _checked(reply).map(lambda _: True)

    async def commit(
        self, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Result[Revision, StoreError]:
        """Write all or nothing if each key is at its expected revision."""
        found = await self._transact("commit", expected, writes)
        if not is_successful(found):
            return Failure(found.failure())
        reply = found.unwrap()
        generation = _generation(reply)
        if reply.status == 412:
            return _decoded(reply, _Conflict).bind(lambda c: _conflict(c, generation))
        decoded = _checked(reply).bind(lambda r: _decoded(r, _Committed))
        return decoded.map(lambda c: Revision(generation, c.revision))

    async def _transact(
        self, kind: str, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Result[Reply, StoreError]:
        named = [r.generation for r in expected.values() if r != NEVER]
        leases = [w.lease.generation for w in writes if w.lease is not None]
        if any(generation < self.generation for generation in (*named, *leases)):
            # The number may stand for other content by now, and the lease be another's.
            return Failure(GenerationEndedError())
        body = {
            "expected": [{"key": k, "revision": r.number} for k, r in expected.items()],
            "write": [_as_written(w) for w in writes],
            "delete": [],
        }
        return await self._call(kind, "POST", "/kv-txn", body)

    async def grant(self, seconds: float) -> Result[Lease, StoreError]:
        """Return a new lease."""
        found = await self._call("grant", "POST", "/kv-lease", {"ttl_ms": int(seconds * 1000)})
        if not is_successful(found):
            return Failure(found.failure())
        generation = _generation(found.unwrap())
        granted = _checked(found.unwrap()).bind(lambda r: _decoded(r, _Lease))
        return granted.map(lambda g: Lease(generation, g.lease_id))

    async def renew(self, lease: Lease) -> Result[None, StoreError]:
        """Renew a lease."""
        if lease.generation < self.generation:
            return Failure(LeaseEndedError())
        found = await self._call("renew", "POST", f"/kv-keep/{lease.id}", {})
        if is_successful(found) and _generation(found.unwrap()) > lease.generation:
            return Failure(LeaseEndedError())
        return found.bind(_checked).map(lambda _: None)

    async def end(self, lease: Lease) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
        if lease.generation < self.generation:
            return Failure(LeaseEndedError())
        found = await self._call("end", "DELETE", f"/kv-lease-end/{lease.id}", None)
        return found.bind(_checked).map(lambda _: None)

    async def _read(
        self, kind: str, path: str, type_: type[_Kind]
    ) -> Result[tuple[int, _Kind], StoreError]:
        """Return the generation of an answer and its body."""
        found = await self._call(kind, "GET", path, None)
        if not is_successful(found):
            return Failure(found.failure())
        generation = _generation(found.unwrap())
        body = _checked(found.unwrap()).bind(lambda reply: _decoded(reply, type_))
        return body.map(lambda b: (generation, b))

    async def _call(
        self, kind: str, method: str, path: str, body: dict[str, Any] | None
    ) -> Result[Reply, StoreError]:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        data = b"" if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data else {}
        call = Call(
            self._address,
            method,
            path,
            headers,
            data,
            timeout=CALL_TIMEOUT,
            reuse=True,
            connect_timeout=CONNECT_TIMEOUT,
        )
        found = (await self._caller.call(call)).alt(_store_error)
        if is_successful(found):
            self._look_at_generation(found.unwrap())
        return found

    def _look_at_generation(self, reply: Reply) -> None:
        """Take note of the generation that an answer names."""
        generation = _generation(reply)
        if generation <= self.generation:
            return
        if self.generation:
            self._records.note(
                "dependency",
                "restored",
                dependency="store",
                generation=generation,
                before=self.generation,
            )
        self.generation = generation


def _generation(reply: Reply) -> int:
    text = reply.headers.get(_GENERATION, "").strip()
    return int(text) if text.isdecimal() and len(text) <= _LONGEST_GENERATION else 0


def _store_error(failure: CallFailure) -> StoreError:
    if failure.sent and failure.kind == FailureKind.LOST:
        return StoreCutError(failure.reason)
    if failure.sent:
        return StoreAnswerLostError(failure.reason)
    return StoreUnavailableError(failure.reason)


def _checked(reply: Reply) -> Result[Reply, StoreError]:
    if reply.status == 200:
        return Success(reply)
    if reply.status == 410:
        return Failure(HistoryLostError())
    if reply.status == 404:
        return Failure(LeaseEndedError())
    # Any other status of this store, 429 and 503 among them, means that nothing was done.
    return Failure(StoreUnavailableError(f"status {reply.status}"))


def _decoded(reply: Reply, type_: type[_Kind]) -> Result[_Kind, StoreError]:
    try:
        return Success(msgspec.json.decode(reply.body, type=type_))
    except msgspec.DecodeError as error:
        return Failure(StoreAnswerLostError(f"malformed answer: {error}"))


def _conflict(found: _Conflict, generation: int) -> Result[Revision, StoreError]:
    held = {i.key: _item(i, generation) for i in found.items if not i.deleted}
    return Failure(StoreConflictError(held))


def _item(found: _Item, generation: int) -> Item:
    return Item(found.key, _value(found), Revision(generation, found.revision))


def _changes(found: tuple[int, _Watched]) -> Changes:
    generation, watched = found
    changes = [
        Change(e.key, None if e.deleted else _value(e), Revision(generation, e.revision))
        for e in watched.events
    ]
    return Changes(Revision(generation, watched.at), changes)


def _value(found: _Item) -> bytes:
    try:
        return base64.b64decode(found.value, validate=True)
    except ValueError:
        # No value of ours or of a host is empty: it counts as malformed, and its page holds.
        return b""


def _as_written(write: Write) -> dict[str, Any]:
    row: dict[str, Any] = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode("ascii"),
    }
    if write.lease is not None:
        row["lease_id"] = write.lease.id
    return row
