"""A stand-in for the users' store: revisions, paged ranges, watches, transactions and leases.

:class:`StoreFaults` holds the faults to inject: the store fails calls with a status, does not
reply, drops the replies of writes or commits them late. It can also discard its history.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import time
from typing import Any, NamedTuple

import msgspec
from tornado.web import Application, RequestHandler

PAGE_SIZE = 50
SILENCE_SECONDS = 30.0


class StoredItem(NamedTuple):
    """A value with its revisions and its lease, 0 for none.

    :param revision: revision of the last write
    :param created: revision of the write that created the item
    """

    value: bytes
    revision: int
    created: int
    lease: int


class StoreFaults:
    """The faults that the store injects.

    :ivar status: status with which every call fails, 0 for none
    :ivar silent: calls get no reply
    :ivar slow: seconds of delay before each reply
    :ivar unanswered_writes: number of next writes that are committed without a reply
    :ivar late_writes: number of next writes that are committed after ``late_by`` seconds,
        without a reply
    """

    def __init__(self) -> None:
        self.status = 0
        self.silent = False
        self.slow = 0.0
        self.unanswered_writes = 0
        self.late_writes = 0
        self.late_by = 1.0


class StoreBackup(NamedTuple):
    """A snapshot of the store."""

    items: dict[str, StoredItem]
    revision: int
    leases: frozenset[int]


class StandInStore:
    """The content of the store and the operations on it.

    :ivar generation: incremented each time the store is restored from a backup
    :ivar compacted_revision: changes up to this revision are no longer in the history
    :ivar lease_ids: yields the identifiers of new leases
    :ivar lease_ends: monotonic end and duration in seconds, by lease
    :ivar calls: method and path of each request
    """

    def __init__(self) -> None:
        self.generation = 1
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.history: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.faults = StoreFaults()
        self.lease_ends: dict[int, tuple[float, float]] = {}
        self.lease_ids = itertools.count(1000)
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item without checking permissions; return the new revision."""
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before is not None else self.revision
        self.items[key] = StoredItem(value, self.revision, created, lease)
        self._record_change(self.row(key))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove an item without checking permissions."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record_change({"key": key, "revision": self.revision, "deleted": True})

    def row(self, key: str) -> dict[str, Any]:
        """Return an item in its wire form."""
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease_id": item.lease,
        }

    def discard_history(self) -> None:
        """Discard all changes; a watch from an older revision fails and has to read the range."""
        self.history.clear()
        self.compacted_revision = self.revision

    def take_backup(self) -> StoreBackup:
        """Return a backup from which the store can be restored."""
        return StoreBackup(dict(self.items), self.revision, frozenset(self.lease_ends))

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup; later writes are lost and their revision numbers are reused."""
        self.generation += 1
        self.items, self.revision = dict(backup.items), backup.revision
        self.history = [e for e in self.history if e["revision"] <= backup.revision]
        self.lease_ends = {n: e for n, e in self.lease_ends.items() if n in backup.leases}
        self._changed.set()

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether the lease existed."""
        if self.lease_ends.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.delete(key)
        return True

    def expire(self) -> None:
        """End all expired leases."""
        now = time.monotonic()
        for lease in [n for n, (at, _) in self.lease_ends.items() if at <= now]:
            self.end_lease(lease)

    async def changes(self, prefix: str, after: int, wait: float) -> list[dict[str, Any]]:
        """Return the changes after a revision; wait up to ``wait`` seconds for the first one."""
        deadline = time.monotonic() + wait
        while True:
            found = [
                e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if found or remaining <= 0:
                return found
            self._changed.clear()
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction; return the status and body of the reply."""
        self.expire()
        for row in body.get("expected", []):
            held = self.items.get(row["key"])
            if (held.revision if held else 0) != row["revision"]:
                keys = [r["key"] for r in body["expected"] if r["key"] in self.items]
                return 412, {"at": self.revision, "items": [self.row(k) for k in keys]}
        for row in body.get("write", []):
            if row.get("lease_id", 0) and row["lease_id"] not in self.lease_ends:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in body.get("write", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
        for key in body.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    def _record_change(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()


class _Handler(RequestHandler):
    def initialize(self, store: StandInStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls.append(f"{self.request.method} {self.request.path}")
        self.store.expire()
        if self.store.faults.silent:
            await asyncio.sleep(SILENCE_SECONDS)
        await asyncio.sleep(self.store.faults.slow)
        if self.store.faults.status:
            self.answer(self.store.faults.status, {})

    def answer(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Store-Era", str(self.store.generation))
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class _Range(_Handler):
    def get(self) -> None:
        prefix, after = self.get_argument("prefix", ""), self.get_argument("after", "")
        keys = sorted(k for k in self.store.items if k.startswith(prefix) and k > after)
        rows = [self.store.row(k) for k in keys[:PAGE_SIZE]]
        self.answer(
            200, {"items": rows, "has_more": len(keys) > PAGE_SIZE, "at": self.store.revision}
        )


class _Watch(_Handler):
    async def get(self) -> None:
        after = int(self.get_argument("after"))
        if not self.store.compacted_revision <= after <= self.store.revision:
            self.answer(410, {})
            return
        wait = int(self.get_argument("wait_ms", "0")) / 1000
        events = await self.store.changes(self.get_argument("prefix", ""), after, wait)
        if after > self.store.revision:
            self.answer(410, {})
            return
        self.answer(200, {"events": events, "at": self.store.revision})


class _Transaction(_Handler):
    async def post(self) -> None:
        body = msgspec.json.decode(self.request.body)
        faults = self.store.faults
        if faults.late_writes:
            faults.late_writes -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(faults.late_by, self.store.commit, body)
            await asyncio.sleep(SILENCE_SECONDS)
        status, answer = self.store.commit(body)
        if faults.unanswered_writes:
            faults.unanswered_writes -= 1
            await asyncio.sleep(SILENCE_SECONDS)
        self.answer(status, answer)


class _GrantLease(_Handler):
    def post(self) -> None:
        seconds = msgspec.json.decode(self.request.body)["ttl_ms"] / 1000
        lease = next(self.store.lease_ids)
        self.store.lease_ends[lease] = (time.monotonic() + seconds, seconds)
        self.answer(200, {"lease_id": lease, "ttl_ms": int(seconds * 1000)})


class _RenewLease(_Handler):
    def post(self, lease: str) -> None:
        held = self.store.lease_ends.get(int(lease))
        if held is None:
            self.answer(404, {})
            return
        self.store.lease_ends[int(lease)] = (time.monotonic() + held[1], held[1])
        self.answer(200, {"ttl_ms": int(held[1] * 1000)})


class _EndLease(_Handler):
    def delete(self, lease: str) -> None:
        self.answer(200 if self.store.end_lease(int(lease)) else 404, {})


def make_store_application(store: StandInStore) -> Application:
    """Return the store's HTTP interface."""
    arguments = {"store": store}
    routes = [
        ("/kv-range", _Range, arguments),
        ("/kv-watch", _Watch, arguments),
        ("/kv-txn", _Transaction, arguments),
        ("/kv-lease", _GrantLease, arguments),
        (r"/kv-keep/(\d+)", _RenewLease, arguments),
        (r"/kv-lease-end/(\d+)", _EndLease, arguments),
    ]
    return Application(routes, log_function=lambda handler: None)
