"""The task that runs :mod:`.documents`: watches the store where it is this host's turn, and relays.

It also carries out the write of a settings subtree, and turns the documents held into the
:class:`~.fleet.Fleet` in force.
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
from ..kernel import Kernel, Received, Task
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..types import HostEntry
from . import writes
from .documents import Digest, Document, Documents, Have, Notice, Want, is_watcher, to_write_back
from .fleet import Fleet, build
from .messages import FleetChanged, HostsChanged
from .writes import SETTINGS_PREFIX, Change, Ended, SettingsInForce, SubtreeWrite, WriteState

FANOUT = 2
WRITE_PATIENCE = 10.0
RETRY_AFTER = 0.3
POLL_AFTER_FAILURE = 1.0
BUILD_EVERY = 6.0
"""Least seconds between two builds of the fleet's view; small against the 18 s that are allowed."""

FLEET_LISTENERS = ("stewards", "planner", "router", "limits", "edge")


class _Head(msgspec.Struct):
    revision: int


def plan_key(data_centre: str) -> str:
    """Return the document key of a data centre's plan."""
    return f"plan/{data_centre}"


def hosts_key(data_centre: str) -> str:
    """Return the document key of a data centre's host list."""
    return f"hosts/{data_centre}"


class DocumentsTask(Task):
    """Owns the documents of this entry host.

    :param data_centre: whose plan and host list are kept, beside all settings
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
        self._unbuilt = False
        self._built_at = float("-inf")
        self.store_ok_at = 0.0

    async def start(self) -> None:
        """Start to watch and relay."""
        await super().start()
        for prefix in (SETTINGS_PREFIX, plan_key(self._data_centre)):
            self.spawn(self._watch(prefix))
        self.spawn(self._watch_hosts())

    async def tick(self) -> None:
        """Tell a peer what is held; it asks for what it lacks."""
        self._build()
        members = self.kernel.find("membership", MembershipTask).live()
        others = [r for h, r in members.items() if h != self._host]
        if not others:
            return
        row = self._rng.choice(others)
        scope = "" if row.data_centre == self._data_centre else SETTINGS_PREFIX
        self.kernel.post("peers", SendTo(row.address, self.documents.digest(scope)))

    def offer(self, document: Document, source: str) -> None:
        """Take a document if it is newer, act on it and tell some peers that there is one."""
        now = time.time()
        if not self.documents.offer(document, now):
            return
        self._apply(document, source, now)
        notice = Notice({document.key: document.revision})
        for address in self._some_peers(FANOUT):
            self.kernel.post("peers", SendTo(address, notice))

    async def write_subtree(self, team: str, tree: bytes, by: str, base: int | None) -> Ended:
        """Write a subtree and return how that ended, resolved wherever the store can be asked."""
        key = SETTINGS_PREFIX + team
        change = Change(0, secrets.token_hex(8), by, time.time())
        write = SubtreeWrite(tree, change, base, partial(self.documents.revision, key))
        deadline = time.monotonic() + WRITE_PATIENCE
        effects = write.start()
        while True:
            effect = effects[0]
            if isinstance(effect, Ended):
                break
            if time.monotonic() > deadline:
                effect = write.timeout()
                break
            effects = await self._carry_out(write, key, effect)
        if effect.state == WriteState.ACCEPTED:
            self.offer(Document(key, effect.revision, effect.document), "own write")
        text = f"write by {by}: {effect.state.value}, revision {effect.revision}"
        self._decisions.note("settings", team, text)
        return effect

    async def write_plan(self, revision: int, body: bytes) -> bool:
        """Write the plan of this data centre if the store holds the revision before."""
        key = plan_key(self._data_centre)
        found = await self.store.read(key)
        if not is_successful(found):
            return False
        stored = found.unwrap()
        held = _document(key, stored).revision if stored else 0
        if held >= revision:
            return False
        swapped = await self.store.swap(key, body, stored.modify_index if stored else 0)
        if not is_successful(swapped) or not swapped.unwrap():
            return False
        self.offer(Document(key, revision, body), "own write")
        return True

    @singledispatchmethod
    def receive(self, body: Any, envelope: Received) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: Digest, envelope: Received) -> None:
        if body.fingerprint == self.documents.fingerprint(body.scope):
            self._became_loaded("peer holds the same")
        for reply in self.documents.answer(body):
            self.kernel.post("peers", SendTo(envelope.address, reply))

    @receive.register
    def _(self, body: Notice, envelope: Received) -> None:
        concerning = {k: r for k, r in body.revisions.items() if self._concerns_us(k)}
        for reply in self.documents.noticed(Notice(concerning)):
            self.kernel.post("peers", SendTo(envelope.address, reply))

    @receive.register
    def _(self, body: Want, envelope: Received) -> None:
        self.kernel.post("peers", SendTo(envelope.address, self.documents.serve(body)))

    @receive.register
    def _(self, body: Have, envelope: Received) -> None:
        for document in body.documents:
            if self._concerns_us(document.key):
                self.offer(document, envelope.sender)

    def _concerns_us(self, key: str) -> bool:
        mine = (plan_key(self._data_centre), hosts_key(self._data_centre))
        return key.startswith(SETTINGS_PREFIX) or key in mine

    def _some_peers(self, count: int) -> list[str]:
        members = self.kernel.find("membership", MembershipTask).live()
        rows = [r.address for h, r in members.items() if h != self._host]
        return self._rng.sample(rows, min(count, len(rows)))

    def _became_loaded(self, why: str) -> None:
        if not self.loaded and self.documents.under(SETTINGS_PREFIX):
            self.loaded = True
            self._decisions.note("settings", self._host, f"settings complete: {why}")

    async def _carry_out(
        self, write: SubtreeWrite, key: str, effect: writes.Read | writes.Swap
    ) -> list[writes.WriteEffect]:
        if isinstance(effect, writes.Read):
            found = await self.store.read(key)
            if is_successful(found):
                stored = found.unwrap() or Stored(b"", 0)
                return write.read(stored.value, stored.modify_index)
            await asyncio.sleep(RETRY_AFTER)
            return write.failed(False)
        swapped = await self.store.swap(key, effect.value, effect.modify_index)
        if is_successful(swapped):
            return write.swapped(swapped.unwrap())
        await asyncio.sleep(RETRY_AFTER)
        return write.failed(True)

    async def _watch(self, prefix: str) -> None:
        index = 0
        while True:
            watches = is_watcher(self._host, self._data_centre, self._live_here())
            if self.loaded and not watches:
                await asyncio.sleep(1.0)
                index = 0
                continue
            found = await (self.store.watch(prefix, index) if index else self.store.list(prefix))
            if not is_successful(found):
                await asyncio.sleep(POLL_AFTER_FAILURE)
                index = 0
                continue
            index = self._learn(prefix, found.unwrap(), index)
            await self._repair(prefix, found.unwrap())

    def _live_here(self) -> set[str]:
        return set(self.kernel.find("membership", MembershipTask).live(self._data_centre))

    def _learn(self, prefix: str, listing: Listing, index: int) -> int:
        self.store_ok_at = time.monotonic()
        for key, stored in listing.by_key.items():
            try:
                self.offer(_document(key, stored), "store")
            except msgspec.DecodeError as error:
                self._decisions.note("fault", key, f"malformed value in the store: {error}")
        if prefix == SETTINGS_PREFIX:
            self._became_loaded("read from the store")
        # An index that went back belongs to a store that was set back: start over from nothing.
        return listing.store_index if listing.store_index >= index else 0

    async def _repair(self, prefix: str, listing: Listing) -> None:
        """Write back what the store holds in an older revision than is in force here."""
        stored = {k: _revision(v) for k, v in listing.by_key.items()}
        for document in to_write_back(self.documents.under(prefix), stored):
            found = listing.by_key.get(document.key)
            index = found.modify_index if found else 0
            done = await self.store.swap(document.key, document.body, index)
            text = f"store was behind revision {document.revision}; written back: "
            self._decisions.note("settings", document.key, text + str(done.value_or(False)))

    async def _watch_hosts(self) -> None:
        index = 0
        while True:
            if index and not is_watcher(self._host, self._data_centre, self._live_here()):
                await asyncio.sleep(1.0)
                continue
            found = await self._targets.hosts(self._data_centre, index)
            if not is_successful(found):
                await asyncio.sleep(POLL_AFTER_FAILURE)
                continue
            listing = found.unwrap()
            index = listing.list_index
            self._learn_hosts(listing)

    def _learn_hosts(self, listing: HostList) -> None:
        key = hosts_key(self._data_centre)
        body = msgspec.json.encode(listing.hosts)
        held = self.documents.by_key.get(key)
        if held is not None and held.body == body:
            return
        # The platform may count anew after a restart; what it says now still outranks the past.
        revision = max(listing.list_index, self.documents.revision(key) + 1)
        self.offer(Document(key, revision, body), "platform")

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
        if not self.in_force.take(document, now):
            state = self.in_force.state_by_team[team]
            text = f"revision {document.revision} is invalid, {state.revision} stays"
            self._decisions.note("settings", team, text)
            return
        text = f"revision {document.revision} in force, from {source}"
        self._decisions.note("settings", team, text)
        self._unbuilt = True
        self._build()

    def _build(self) -> None:
        """Build the fleet's view from all subtrees, now or, while they change often, in a tick.

        A build takes 3 us an entry of all subtrees; at 33,000 changes a day in a tree of 10,000
        entries one for each change would take most of the processor time that control may use.
        """
        now = time.monotonic()
        if not self._unbuilt or now - self._built_at < BUILD_EVERY:
            return
        self._unbuilt, self._built_at = False, now
        self.fleet = build(self.in_force.tree_by_team)
        for name in FLEET_LISTENERS:
            self.kernel.post(name, FleetChanged(self.fleet))


def _revision(stored: Stored) -> int:
    try:
        return _document("", stored).revision
    except msgspec.DecodeError:
        return 0


def _document(key: str, stored: Stored) -> Document:
    head = msgspec.json.decode(stored.value, type=_Head)
    return Document(key, head.revision, stored.value)
