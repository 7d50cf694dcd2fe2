"""The task that runs the journal of non-idempotent requests (:mod:`.once`).

A shard's *home*, by rendezvous hash over the live entry hosts of a data centre, appends for them,
so that one store write covers many claims. The home is an economy, not a safeguard: while it can't
be reached, an entry host appends itself, and the journal's create-only batches keep each key to one
claim.
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
from ..kernel import Kernel, Received, Task
from ..members.task import MembershipTask
from ..members.wire import SendTo
from ..ownership import rendezvous
from . import once
from .messages import ClaimAnswer, ClaimAsk
from .once import AppendResult, Batch, Decided, Journal, Row, RowKind, Verdict

CLAIM_PATIENCE = 3.0
HOME_PATIENCE = 0.5
RETRY_EVERY = 0.5


class Claims(Task):
    """Owns the journal's shards as seen by this entry host."""

    name = "claims"
    interval = RETRY_EVERY

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
        self._busy = [False] * once.SHARDS
        self._waiting: dict[bytes, asyncio.Future[Decided]] = {}
        self._askers: dict[bytes, tuple[int, str]] = {}

    async def claim(self, key: bytes, body: bytes) -> tuple[Row, Decided]:
        """Claim a key; return the claim and the decision on it.

        After any decision but :data:`~.once.Verdict.GRANTED` the request must not be sent.
        """
        row = Row(RowKind.CLAIM, key, body, secrets.token_bytes(12), int(time.time()))
        shard = once.shard_of(key)
        decided = await self._claim_at_home(shard, row)
        if decided is None:
            decided = await self._claim_here(shard, row)
        self._decisions.note("once", key.hex(), decided.verdict.value)
        return row, decided

    def finish(self, row: Row) -> None:
        """Record how a granted claim ended: a row of kind done or release."""
        shard = once.shard_of(row.key)
        home = self._home(shard)
        if home is not None:
            self.kernel.post("peers", SendTo(home, ClaimAsk(shard, row)))
        else:
            self._perform(shard, self._journals[shard].note(row))

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits to be recorded."""
        return all(j.idle for j in self._journals)

    async def tick(self) -> None:
        """Go on with what a failure of the store left."""
        for shard, journal in enumerate(self._journals):
            if not self._busy[shard] and not journal.idle:
                self._perform(shard, journal.retry())

    @singledispatchmethod
    def receive(self, body: Any, envelope: Received) -> None:
        """Handle a peer's message."""

    @receive.register
    def _(self, body: ClaimAsk, envelope: Received) -> None:
        journal = self._journals[body.shard]
        if body.row.kind != RowKind.CLAIM:
            self._perform(body.shard, journal.note(body.row))
            return
        self._askers[body.row.nonce] = (body.shard, envelope.address)
        self._perform(body.shard, journal.claim(body.row))

    @receive.register
    def _(self, body: ClaimAnswer, envelope: Received) -> None:
        waiting = self._waiting.pop(body.nonce, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(Decided(body.nonce, body.verdict, body.row))

    def _home(self, shard: int) -> str | None:
        """Return the address of a shard's home, ``None`` if that is this entry host."""
        live = self.kernel.find("membership", MembershipTask).live(self._data_centre)
        names = rendezvous(f"once/{shard}", live)
        if not names or names[0] == self._host:
            return None
        return live[names[0]].address

    async def _claim_at_home(self, shard: int, row: Row) -> Decided | None:
        home = self._home(shard)
        if home is None:
            return None
        future = self._waiting[row.nonce] = asyncio.get_running_loop().create_future()
        self.kernel.post("peers", SendTo(home, ClaimAsk(shard, row)))
        try:
            async with asyncio.timeout(HOME_PATIENCE):
                decided = await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(row.nonce, None)
        return None if decided.verdict == Verdict.UNAVAILABLE else decided

    async def _claim_here(self, shard: int, row: Row) -> Decided:
        journal = self._journals[shard]
        future = self._waiting[row.nonce] = asyncio.get_running_loop().create_future()
        self._perform(shard, journal.claim(row))
        try:
            async with asyncio.timeout(CLAIM_PATIENCE):
                return await future
        except TimeoutError:
            self._perform(shard, journal.withdraw(row.nonce))
            # The home may have recorded the claim and its answer been lost. The caller is told
            # "not run", so the key must be free when it comes back.
            self.finish(row._replace(kind=RowKind.RELEASE))
            return Decided(row.nonce, Verdict.UNAVAILABLE)
        finally:
            self._waiting.pop(row.nonce, None)

    def _perform(self, shard: int, effects: list[once.Effect]) -> None:
        for effect in effects:
            match effect:
                case Decided():
                    self._decided(effect)
                case once.Append(sequence, batch):
                    self.spawn(self._append(shard, sequence, batch))
                case once.Read(sequence):
                    self.spawn(self._read(shard, sequence))

    def _decided(self, decided: Decided) -> None:
        asker = self._askers.pop(decided.nonce, None)
        if asker is not None:
            answer = ClaimAnswer(decided.nonce, decided.verdict, decided.row)
            self.kernel.post("peers", SendTo(asker[1], answer))
            return
        waiting = self._waiting.pop(decided.nonce, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(decided)

    async def _append(self, shard: int, sequence: int, batch: Batch) -> None:
        self._busy[shard] = True
        try:
            key = once.batch_key(shard, sequence)
            swapped = await self._store.swap(key, once.encode(batch), 0)
        finally:
            self._busy[shard] = False
        result = AppendResult.LOST
        if is_successful(swapped):
            result = AppendResult.CREATED if swapped.unwrap() else AppendResult.CONFLICT
        self._perform(shard, self._journals[shard].appended(result))

    async def _read(self, shard: int, sequence: int) -> None:
        self._busy[shard] = True
        try:
            listing = await self._store.list(f"once/{shard:02d}/")
        finally:
            self._busy[shard] = False
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
