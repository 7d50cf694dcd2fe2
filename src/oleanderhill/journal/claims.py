"""The task that runs the journal of non-idempotent requests (:mod:`.once`).

The *home* of a shard is one of the live entry hosts of a data centre, selected by rendezvous hash.
It appends for all of them, so that one store write covers many claims. The home only reduces the
number of writes and is not needed for correctness: while it is unreachable, entry hosts append
directly, and the create-only batches of the journal still ensure that each key is claimed once.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from functools import singledispatchmethod
from typing import Any

import msgspec
from returns.pipeline import is_successful

from ..clients.store import StoreClient
from ..decisions import Decisions
from ..kernel import Kernel, PeerMessage, Task
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..ownership import rendezvous
from . import once
from .messages import ClaimAnswer, ClaimAsk
from .once import AppendResult, Batch, Decided, Journal, Row, RowKind, Verdict

CLAIM_TIMEOUT = 3.0
HOME_TIMEOUT = 0.5
RETRY_INTERVAL = 0.5


class Claims(Task):
    """Owns this entry host's copies of the journal shards."""

    name = "claims"
    interval = RETRY_INTERVAL

    def __init__(
        self,
        kernel: Kernel,
        host: str,
        data_centre: str,
        store: StoreClient,
        decisions: Decisions,
    ) -> None:
        super().__init__(kernel)
        self._host = host
        self._data_centre = data_centre
        self._store = store
        self._decisions = decisions
        self._journals = [Journal() for _ in range(once.SHARDS)]
        self._store_call_pending = [False] * once.SHARDS
        self._waiting: dict[bytes, asyncio.Future[Decided]] = {}
        self._remote_claimants: dict[bytes, tuple[int, str]] = {}

    async def claim(self, key: bytes, body: bytes) -> tuple[Row, Decided]:
        """Claim a key; return the claim and the decision on it.

        After any decision but :data:`~.once.Verdict.GRANTED` the request must not be sent.
        """
        row = Row(RowKind.CLAIM, key, body, secrets.token_bytes(12), int(time.time()))
        shard = once.shard_of(key)
        decided = await self._claim_at_home(shard, row)
        if decided is None:
            decided = await self._claim_locally(shard, row)
        self._decisions.note("once", key.hex(), decided.verdict.value)
        return row, decided

    def finish(self, row: Row) -> None:
        """Record the end of a claim with a row of kind done or release."""
        shard = once.shard_of(row.key)
        home = self._home_address(shard)
        if home is not None:
            self.kernel.post("peers", SendTo(home, ClaimAsk(shard, row)))
        else:
            self._perform(shard, self._journals[shard].note(row))

    @property
    def idle(self) -> bool:
        """Return whether there is nothing left to record."""
        return all(j.idle for j in self._journals)

    async def tick(self) -> None:
        """Retry the operations that a store failure interrupted."""
        for shard, journal in enumerate(self._journals):
            if not self._store_call_pending[shard] and not journal.idle:
                self._perform(shard, journal.retry())

    @singledispatchmethod
    def receive(self, body: Any, envelope: PeerMessage) -> None:
        """Handle a message from a peer."""

    @receive.register
    def _(self, body: ClaimAsk, envelope: PeerMessage) -> None:
        journal = self._journals[body.shard]
        if body.row.kind != RowKind.CLAIM:
            self._perform(body.shard, journal.note(body.row))
            return
        self._remote_claimants[body.row.nonce] = (body.shard, envelope.address)
        self._perform(body.shard, journal.claim(body.row))

    @receive.register
    def _(self, body: ClaimAnswer, envelope: PeerMessage) -> None:
        waiting = self._waiting.pop(body.nonce, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(Decided(body.nonce, body.verdict, body.row))

    def _home_address(self, shard: int) -> str | None:
        """Return the address of a shard's home, ``None`` if it is this entry host."""
        live = self.kernel.find("membership", MembershipTask).live(self._data_centre)
        names = rendezvous(f"once/{shard}", live)
        if not names or names[0] == self._host:
            return None
        return live[names[0]].address

    async def _claim_at_home(self, shard: int, row: Row) -> Decided | None:
        home = self._home_address(shard)
        if home is None:
            return None
        future = self._waiting[row.nonce] = asyncio.get_running_loop().create_future()
        self.kernel.post("peers", SendTo(home, ClaimAsk(shard, row)))
        try:
            async with asyncio.timeout(HOME_TIMEOUT):
                decided = await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(row.nonce, None)
        return None if decided.verdict == Verdict.UNAVAILABLE else decided

    async def _claim_locally(self, shard: int, row: Row) -> Decided:
        journal = self._journals[shard]
        future = self._waiting[row.nonce] = asyncio.get_running_loop().create_future()
        self._perform(shard, journal.claim(row))
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT):
                return await future
        except TimeoutError:
            self._perform(shard, journal.withdraw(row.nonce))
            # The home may have recorded the claim although its answer did not arrive. The caller
            # receives "not run", so the key must be free for its retry.
            self.finish(row._replace(kind=RowKind.RELEASE))
            return Decided(row.nonce, Verdict.UNAVAILABLE)
        finally:
            self._waiting.pop(row.nonce, None)

    def _perform(self, shard: int, effects: list[once.Effect]) -> None:
        for effect in effects:
            match effect:
                case Decided():
                    self._deliver(effect)
                case once.Append(sequence, batch):
                    self.spawn(self._append(shard, sequence, batch))
                case once.Read(sequence):
                    self.spawn(self._read(shard, sequence))

    def _deliver(self, decided: Decided) -> None:
        claimant = self._remote_claimants.pop(decided.nonce, None)
        if claimant is not None:
            answer = ClaimAnswer(decided.nonce, decided.verdict, decided.row)
            self.kernel.post("peers", SendTo(claimant[1], answer))
            return
        waiting = self._waiting.pop(decided.nonce, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(decided)

    async def _append(self, shard: int, sequence: int, batch: Batch) -> None:
        self._store_call_pending[shard] = True
        try:
            key = once.batch_key(shard, sequence)
            swapped = await self._store.swap(key, once.encode(batch), 0)
        finally:
            self._store_call_pending[shard] = False
        result = AppendResult.LOST
        if is_successful(swapped):
            result = AppendResult.CREATED if swapped.unwrap() else AppendResult.CONFLICT
        self._perform(shard, self._journals[shard].appended(result))

    async def _read(self, shard: int, sequence: int) -> None:
        self._store_call_pending[shard] = True
        try:
            listing = await self._store.list(f"once/{shard:02d}/")
        finally:
            self._store_call_pending[shard] = False
        journal = self._journals[shard]
        if not is_successful(listing):
            self._perform(shard, journal.read_failed())
            return
        batches = []
        for key, stored in sorted(listing.unwrap().by_key.items()):
            number = int(key.rsplit("/", 1)[1])
            if number < sequence:
                continue
            try:
                batches.append((number, once.decode(stored.value)))
            except msgspec.DecodeError as error:
                self._decisions.note("fault", key, f"malformed batch: {error}")
                self._perform(shard, journal.read_failed())
                return
        self._perform(shard, journal.read(batches))
