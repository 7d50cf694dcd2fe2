"""The task that runs :mod:`.documents`: watches the store if assigned, and replicates to peers.

It also writes settings subtrees to the store, and builds the :class:`~.fleet.Fleet` in force from
the current documents.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from functools import partial, singledispatchmethod
from typing import Any

import msgspec
from returns.pipeline import is_successful

from ..clients.store import Listing, StoreClient, Stored
from ..clients.targets import HostList, TargetClient
from ..decisions import Decisions
from ..kernel import Kernel, PeerMessage, Task
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..types import HostEntry
from . import writes
from .documents import Digest, Document, Documents, Have, Notice, Want, is_watcher, missing_in_store
from .fleet import Fleet, build_fleet
from .messages import FleetChanged, HostsChanged
from .writes import SETTINGS_PREFIX, Change, SettingsInForce, SubtreeWrite, WriteResult, WriteState

FANOUT = 2
WRITE_TIMEOUT = 10.0
RETRY_DELAY = 0.3
FAILED_READ_DELAY = 1.0
MIN_BUILD_INTERVAL = 6.0
"""Minimum seconds between two builds of the fleet; a change must take effect within 18 s."""

FLEET_SUBSCRIBERS = ("stewards", "planner", "router", "limits", "edge")


class _RevisionField(msgspec.Struct):
    revision: int


def plan_key(data_centre: str) -> str:
    """Return the document key of a data centre's plan."""
    return f"plan/{data_centre}"


def hosts_key(data_centre: str) -> str:
    """Return the document key of a data centre's host list."""
    return f"hosts/{data_centre}"


class DocumentsTask(Task):
    """Owns the documents of this entry host.

    :param data_centre: the data centre of which it stores the plan and host list, in addition to
        all settings
    """

    name = "documents"
    interval = 1.0

    def __init__(
        self,
        kernel: Kernel,
        host: str,
        data_centre: str,
        store: StoreClient,
        targets: TargetClient,
        rng: random.Random,
        decisions: Decisions,
    ) -> None:
        super().__init__(kernel)
        self._host = host
        self._data_centre = data_centre
        self.store = store
        self._targets = targets
        self._rng = rng
        self._decisions = decisions
        self.documents = Documents()
        self.in_force = SettingsInForce()
        self.fleet = Fleet()
        self.loaded = False
        self._build_pending = False
        self._built_at = float("-inf")
        self.store_read_at = 0.0

    async def start(self) -> None:
        """Start to watch the store and to replicate documents."""
        await super().start()
        for prefix in (SETTINGS_PREFIX, plan_key(self._data_centre)):
            self.spawn(self._watch_store(prefix))
        self.spawn(self._watch_hosts())

    async def tick(self) -> None:
        """Build the fleet if due, and send a digest of the documents to a random peer.

        If the peer's documents differ, the two exchange the documents that either lacks.
        """
        self._build_if_due()
        members = self.kernel.find("membership", MembershipTask).live()
        others = [r for h, r in members.items() if h != self._host]
        if not others:
            return
        row = self._rng.choice(others)
        scope = "" if row.data_centre == self._data_centre else SETTINGS_PREFIX
        self.kernel.post("peers", SendTo(row.address, self.documents.digest(scope)))

    def store_if_newer(self, document: Document, source: str) -> None:
        """Store and apply a document if it is newer, and announce it to a few peers."""
        now = time.time()
        if not self.documents.store_if_newer(document, now):
            return
        self._apply(document, source, now)
        notice = Notice({document.key: document.revision})
        for address in self._sample_peers(FANOUT):
            self.kernel.post("peers", SendTo(address, notice))

    async def write_subtree(self, team: str, tree: bytes, by: str, base: int | None) -> WriteResult:
        """Write a subtree to the store and return the outcome.

        The outcome is unknown only if the store stays unreachable until the write times out.

        :param by: name of the operator
        :param base: the revision that the operator edited, ``None`` to overwrite any revision
        """
        key = SETTINGS_PREFIX + team
        change = Change(0, secrets.token_hex(8), by, time.time())
        write = SubtreeWrite(tree, change, base, partial(self.documents.revision, key))
        deadline = time.monotonic() + WRITE_TIMEOUT
        effects = write.start()
        while True:
            effect = effects[0]
            if isinstance(effect, WriteResult):
                break
            if time.monotonic() > deadline:
                effect = write.on_timeout()
                break
            effects = await self._execute(write, key, effect)
        if effect.state == WriteState.ACCEPTED:
            self.store_if_newer(Document(key, effect.revision, effect.document), "own write")
        text = f"write by {by}: {effect.state.value}, revision {effect.revision}"
        self._decisions.note("settings", team, text)
        return effect

    async def write_plan(self, revision: int, body: bytes) -> bool:
        """Write the plan of this data centre if the store has an older revision."""
        key = plan_key(self._data_centre)
        found = await self.store.read(key)
        if not is_successful(found):
            return False
        stored = found.unwrap()
        current = _document(key, stored).revision if stored else 0
        if current >= revision:
            return False
        swapped = await self.store.swap(key, body, stored.modify_index if stored else 0)
        if not is_successful(swapped) or not swapped.unwrap():
            return False
        self.store_if_newer(Document(key, revision, body), "own write")
        return True

    @singledispatchmethod
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: Digest, envelope: PeerMessage) -> None:
        if body.fingerprint == self.documents.fingerprint(body.scope):
            self._mark_loaded("a peer has the same documents")
        for reply in self.documents.reply_to_digest(body):
            self.kernel.post("peers", SendTo(envelope.address, reply))

    @receive.register
    def _(self, body: Notice, envelope: PeerMessage) -> None:
        relevant = {k: r for k, r in body.revisions.items() if self._is_relevant(k)}
        for reply in self.documents.reply_to_notice(Notice(relevant)):
            self.kernel.post("peers", SendTo(envelope.address, reply))

    @receive.register
    def _(self, body: Want, envelope: PeerMessage) -> None:
        self.kernel.post("peers", SendTo(envelope.address, self.documents.reply_to_want(body)))

    @receive.register
    def _(self, body: Have, envelope: PeerMessage) -> None:
        for document in body.documents:
            if self._is_relevant(document.key):
                self.store_if_newer(document, envelope.sender)

    def _is_relevant(self, key: str) -> bool:
        local_keys = (plan_key(self._data_centre), hosts_key(self._data_centre))
        return key.startswith(SETTINGS_PREFIX) or key in local_keys

    def _sample_peers(self, count: int) -> list[str]:
        members = self.kernel.find("membership", MembershipTask).live()
        rows = [r.address for h, r in members.items() if h != self._host]
        return self._rng.sample(rows, min(count, len(rows)))

    def _mark_loaded(self, reason: str) -> None:
        if not self.loaded and self.documents.under(SETTINGS_PREFIX):
            self.loaded = True
            self._decisions.note("settings", self._host, f"settings complete: {reason}")

    async def _execute(
        self, write: SubtreeWrite, key: str, effect: writes.Read | writes.CompareAndSwap
    ) -> list[writes.WriteEffect]:
        if isinstance(effect, writes.Read):
            found = await self.store.read(key)
            if is_successful(found):
                stored = found.unwrap() or Stored(b"", 0)
                return write.on_read(stored.value, stored.modify_index)
            await asyncio.sleep(RETRY_DELAY)
            return write.on_failed(False)
        swapped = await self.store.swap(key, effect.value, effect.modify_index)
        if is_successful(swapped):
            return write.on_swapped(swapped.unwrap())
        await asyncio.sleep(RETRY_DELAY)
        return write.on_failed(True)

    async def _watch_store(self, prefix: str) -> None:
        index = 0
        while True:
            watches = is_watcher(self._host, self._data_centre, self._live_local_hosts())
            if self.loaded and not watches:
                await asyncio.sleep(1.0)
                index = 0
                continue
            found = await (self.store.watch(prefix, index) if index else self.store.list(prefix))
            if not is_successful(found):
                await asyncio.sleep(FAILED_READ_DELAY)
                index = 0
                continue
            index = self._apply_listing(prefix, found.unwrap(), index)
            await self._repair_store(prefix, found.unwrap())

    def _live_local_hosts(self) -> set[str]:
        return set(self.kernel.find("membership", MembershipTask).live(self._data_centre))

    def _apply_listing(self, prefix: str, listing: Listing, index: int) -> int:
        self.store_read_at = time.monotonic()
        for key, stored in listing.by_key.items():
            try:
                self.store_if_newer(_document(key, stored), "store")
            except msgspec.DecodeError as error:
                self._decisions.note("fault", key, f"malformed value in the store: {error}")
        if prefix == SETTINGS_PREFIX:
            self._mark_loaded("read from the store")
        # The index decreases only if the store was restored from a backup: read it from scratch.
        return listing.store_index if listing.store_index >= index else 0

    async def _repair_store(self, prefix: str, listing: Listing) -> None:
        """Write documents to the store that are missing or older there than on this host."""
        stored = {k: _revision(v) for k, v in listing.by_key.items()}
        for document in missing_in_store(self.documents.under(prefix), stored):
            found = listing.by_key.get(document.key)
            index = found.modify_index if found else 0
            done = await self.store.swap(document.key, document.body, index)
            text = f"the store lacked revision {document.revision}; written back: "
            self._decisions.note("settings", document.key, text + str(done.value_or(False)))

    async def _watch_hosts(self) -> None:
        index = 0
        while True:
            if index and not is_watcher(self._host, self._data_centre, self._live_local_hosts()):
                await asyncio.sleep(1.0)
                continue
            found = await self._targets.hosts(self._data_centre, index)
            if not is_successful(found):
                await asyncio.sleep(FAILED_READ_DELAY)
                continue
            listing = found.unwrap()
            index = listing.list_index
            self._apply_host_list(listing)

    def _apply_host_list(self, listing: HostList) -> None:
        key = hosts_key(self._data_centre)
        body = msgspec.json.encode(listing.hosts)
        current = self.documents.by_key.get(key)
        if current is not None and current.body == body:
            return
        # The platform's index may start over after a restart, but the revision must still increase.
        revision = max(listing.list_index, self.documents.revision(key) + 1)
        self.store_if_newer(Document(key, revision, body), "platform")

    def _apply(self, document: Document, source: str, now: float) -> None:
        if document.key.startswith(SETTINGS_PREFIX):
            self._apply_settings(document, source, now)
        elif document.key == hosts_key(self._data_centre):
            entries = msgspec.json.decode(document.body, type=tuple[HostEntry, ...])
            self.kernel.post("stewards", HostsChanged(entries))
            self.kernel.post("planner", HostsChanged(entries))
            self.kernel.post("router", HostsChanged(entries))
        elif document.key == plan_key(self._data_centre):
            self.kernel.post("planner", document)

    def _apply_settings(self, document: Document, source: str, now: float) -> None:
        team = document.key.removeprefix(SETTINGS_PREFIX)
        if not self.in_force.apply(document, now):
            state = self.in_force.state_by_team[team]
            text = f"revision {document.revision} is invalid, {state.revision} stays in force"
            self._decisions.note("settings", team, text)
            return
        text = f"revision {document.revision} in force, from {source}"
        self._decisions.note("settings", team, text)
        self._build_pending = True
        self._build_if_due()

    def _build_if_due(self) -> None:
        """Build the fleet from all subtrees, at most once per :data:`MIN_BUILD_INTERVAL` seconds.

        A build takes 3 us per entry of the subtrees. At 33,000 changes a day in a tree of 10,000
        entries, one build per change would use most of the CPU time allotted to control.
        """
        now = time.monotonic()
        if not self._build_pending or now - self._built_at < MIN_BUILD_INTERVAL:
            return
        self._build_pending, self._built_at = False, now
        self.fleet = build_fleet(self.in_force.tree_by_team)
        for name in FLEET_SUBSCRIBERS:
            self.kernel.post(name, FleetChanged(self.fleet))


def _revision(stored: Stored) -> int:
    try:
        return _document("", stored).revision
    except msgspec.DecodeError:
        return 0


def _document(key: str, stored: Stored) -> Document:
    header = msgspec.json.decode(stored.value, type=_RevisionField)
    return Document(key, header.revision, stored.value)
