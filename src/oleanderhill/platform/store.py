"""HTTP client of the platform's store; implements :class:`~..clients.storage.Storage`."""

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
    StoreConnectionClosedError,
    StoreError,
    StoreUnavailableError,
)
from ..records import Records

CALL_TIMEOUT = 1.0
"""Seconds for a call; the store usually takes 4 ms, and up to 60 times as long when it is slow."""

CONNECT_TIMEOUT = 0.4
"""Seconds to connect; a partitioned store doesn't answer at all."""

CHANGES_WAIT_MS = 200
"""Milliseconds that the store holds a read of changes open while there are none. This is rare, as
heartbeats of the target hosts are changes too."""

MAX_PAGES = 200
"""Pages of a listing; each has some hundred items, so a longer listing is a fault of the store."""

_GENERATION_HEADER = "Store-Era"
_MAX_GENERATION_DIGITS = 15
"""A generation with more digits is ignored."""

_T = TypeVar("_T")


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _Committed(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease_id: int


class PlatformStore:
    """Client of the store; calls are counted by kind, as each has a cost.

    :param address: ``ip:port`` of the store
    :ivar calls_by_kind: number of calls by kind
    :ivar generation: highest generation received in a reply, 0 for none; the store increments it
        each time it is restored from a backup
    """

    def __init__(self, address: str, caller: HttpCaller, records: Records) -> None:
        self._address = address
        self._caller = caller
        self._records = records
        self.calls_by_kind: dict[str, int] = {}
        self.generation = 0

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """List all items under a prefix.

        The pages aren't one snapshot, so the listing has the revision of the first, oldest page.
        """
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
            items.extend(_to_item(i, generation) for i in page.items)
            revision = Revision(generation, page.at) if revision is None else revision
            if not page.has_more or not page.items:
                return Success(Listing(revision, items))
            after = page.items[-1].key
        return Failure(
            StoreUnavailableError(f"more than {MAX_PAGES} pages under prefix {prefix!r}")
        )

    async def changes(self, after: Revision) -> Result[Changes, StoreError]:
        """Return the changes of all keys after a revision."""
        if after.generation < self.generation:
            return Failure(HistoryLostError())
        number = after.number
        query = urlencode({"prefix": "", "after": number, "wait_ms": CHANGES_WAIT_MS})
        found = await self._read("changes", f"/kv-watch?{query}", _Events)
        if is_successful(found) and found.unwrap()[0] != after.generation:
            # A restored store reuses revision numbers, so earlier changes may have been missed.
            return Failure(HistoryLostError())
        return found.map(_to_changes)

    async def unchanged(self, expected: Mapping[str, Revision]) -> Result[bool, StoreError]:
        """Return whether all keys have their expected revisions, by a commit without writes."""
        found = await self._transact("check", expected, ())
        if not is_successful(found):
            ended = isinstance(found.failure(), GenerationEndedError)
            return Success(False) if ended else Failure(found.failure())
        reply = found.unwrap()
        if reply.status == 412 or any(
            _generation(reply) != r.generation for r in expected.values()
        ):
            return Success(False)
        return _check_status(reply).map(lambda _: True)

    async def commit(
        self, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Result[Revision, StoreError]:
        """Write all items atomically if each key has its expected revision."""
        found = await self._transact("commit", expected, writes)
        if not is_successful(found):
            return Failure(found.failure())
        reply = found.unwrap()
        generation = _generation(reply)
        if reply.status == 412:
            return _decode(reply, _Conflict).bind(lambda c: _conflict_failure(c, generation))
        decoded = _check_status(reply).bind(lambda r: _decode(r, _Committed))
        return decoded.map(lambda c: Revision(generation, c.revision))

    async def _transact(
        self, kind: str, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Result[Reply, StoreError]:
        generations = [r.generation for r in expected.values() if r != NEVER]
        leases = [w.lease.generation for w in writes if w.lease is not None]
        if any(generation < self.generation for generation in (*generations, *leases)):
            # In a new generation, the revision number may denote other content and the lease id
            # may belong to another host.
            return Failure(GenerationEndedError())
        body = {
            "expected": [{"key": k, "revision": r.number} for k, r in expected.items()],
            "write": [_encode_write(w) for w in writes],
            "delete": [],
        }
        return await self._call(kind, "POST", "/kv-txn", body)

    async def grant(self, seconds: float) -> Result[Lease, StoreError]:
        """Request a new lease."""
        found = await self._call("grant", "POST", "/kv-lease", {"ttl_ms": int(seconds * 1000)})
        if not is_successful(found):
            return Failure(found.failure())
        generation = _generation(found.unwrap())
        granted = _check_status(found.unwrap()).bind(lambda r: _decode(r, _Lease))
        return granted.map(lambda g: Lease(generation, g.lease_id))

    async def renew(self, lease: Lease) -> Result[None, StoreError]:
        """Renew a lease."""
        if lease.generation < self.generation:
            return Failure(LeaseEndedError())
        found = await self._call("renew", "POST", f"/kv-keep/{lease.id}", {})
        if is_successful(found) and _generation(found.unwrap()) > lease.generation:
            return Failure(LeaseEndedError())
        return found.bind(_check_status).map(lambda _: None)

    async def end(self, lease: Lease) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
        if lease.generation < self.generation:
            return Failure(LeaseEndedError())
        found = await self._call("end", "DELETE", f"/kv-lease-end/{lease.id}", None)
        return found.bind(_check_status).map(lambda _: None)

    async def _read(
        self, kind: str, path: str, type_: type[_T]
    ) -> Result[tuple[int, _T], StoreError]:
        """Return the generation and the decoded body of a reply."""
        found = await self._call(kind, "GET", path, None)
        if not is_successful(found):
            return Failure(found.failure())
        generation = _generation(found.unwrap())
        body = _check_status(found.unwrap()).bind(lambda reply: _decode(reply, type_))
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
            self._update_generation(found.unwrap())
        return found

    def _update_generation(self, reply: Reply) -> None:
        """Record the generation of a reply and log a restore."""
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
    text = reply.headers.get(_GENERATION_HEADER, "").strip()
    return int(text) if text.isdecimal() and len(text) <= _MAX_GENERATION_DIGITS else 0


def _store_error(failure: CallFailure) -> StoreError:
    if failure.sent and failure.kind == FailureKind.LOST:
        return StoreConnectionClosedError(failure.reason)
    if failure.sent:
        return StoreAnswerLostError(failure.reason)
    return StoreUnavailableError(failure.reason)


def _check_status(reply: Reply) -> Result[Reply, StoreError]:
    if reply.status == 200:
        return Success(reply)
    if reply.status == 410:
        return Failure(HistoryLostError())
    if reply.status == 404:
        return Failure(LeaseEndedError())
    # With any other status, including 429 and 503, the store hasn't carried out the request.
    return Failure(StoreUnavailableError(f"status {reply.status}"))


def _decode(reply: Reply, type_: type[_T]) -> Result[_T, StoreError]:
    try:
        return Success(msgspec.json.decode(reply.body, type=type_))
    except msgspec.DecodeError as error:
        return Failure(StoreAnswerLostError(f"malformed answer: {error}"))


def _conflict_failure(found: _Conflict, generation: int) -> Result[Revision, StoreError]:
    held = {i.key: _to_item(i, generation) for i in found.items if not i.deleted}
    return Failure(StoreConflictError(held))


def _to_item(found: _Item, generation: int) -> Item:
    return Item(found.key, _decode_value(found), Revision(generation, found.revision))


def _to_changes(found: tuple[int, _Events]) -> Changes:
    generation, watched = found
    changes = [
        Change(e.key, None if e.deleted else _decode_value(e), Revision(generation, e.revision))
        for e in watched.events
    ]
    return Changes(Revision(generation, watched.at), changes)


def _decode_value(found: _Item) -> bytes:
    try:
        return base64.b64decode(found.value, validate=True)
    except ValueError:
        # The decoders reject an empty value as malformed. Only this item is lost, not its page.
        return b""


def _encode_write(write: Write) -> dict[str, Any]:
    row: dict[str, Any] = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode("ascii"),
    }
    if write.lease is not None:
        row["lease_id"] = write.lease.id
    return row
