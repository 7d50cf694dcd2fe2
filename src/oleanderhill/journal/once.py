"""At most once for a key: a journal of claims in the store, as a pure state machine.

A shard of the journal is a log of *batches*, each a key of its own that is created and never
changed. A batch can be created at one sequence number once, by whoever comes first; the loser reads
it, checks its own claims against it and tries the next number. So a key is claimed once whoever
appends: no lease, no clock and no single writer is needed, and one store write covers many claims.

A request may be sent only after its claim was *granted*, which is after the store acknowledged it.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ..outcomes import Ran

SHARDS = 8
MAX_BATCH = 200
ANSWER_LIMIT = 4096
"""Bytes of an answer that the journal keeps; of longer ones it keeps that they are done."""


class RowKind(StrEnum):
    """What a row says of its key."""

    CLAIM = "claim"
    RELEASE = "release"
    DONE = "done"


class Row(NamedTuple):
    """One row of the journal.

    :param key: hash of account and idempotency key
    :param body: hash of the request's method, path and body
    :param nonce: random id of the claim; the same claim sent twice is one claim
    :param at: wall clock of the claim, in seconds; only to word the answer to a repeated key
    """

    kind: RowKind
    key: bytes
    body: bytes
    nonce: bytes
    at: int = 0
    status: int = 0
    answer: bytes = b""
    answer_kept: bool = False


class Batch(NamedTuple):
    """A value of the journal.

    :param write_id: random id of the write, to tell one's own batch after a lost answer
    """

    write_id: str
    rows: tuple[Row, ...]


class Verdict(StrEnum):
    """What became of a claim."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    KEY_REUSED = "key reused"
    UNAVAILABLE = "unavailable"


class Decided(NamedTuple):
    """The decision on a claim; ``row`` is the one that stands against it."""

    nonce: bytes
    verdict: Verdict
    row: Row | None = None


class Append(NamedTuple):
    """Effect: create the batch at this sequence number, only if none is there."""

    sequence: int
    batch: Batch


class Read(NamedTuple):
    """Effect: read all batches of the shard from this sequence number on."""

    sequence: int


class AppendResult(StrEnum):
    """What the store said to an append."""

    CREATED = "created"
    CONFLICT = "conflict"
    LOST = "lost"
    UNAVAILABLE = "unavailable"


Effect = Append | Read | Decided


def hash_key(account: str, key: str) -> bytes:
    """Return the 16-byte hash under which an account's key is journalled."""
    return hashlib.blake2b(f"{account}\0{key}".encode(), digest_size=16).digest()


def hash_body(method: str, path: str, body: bytes) -> bytes:
    """Return the 16-byte hash that tells whether a repeated key came with the same request."""
    head = f"{method} {path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).digest()


def shard_of(key: bytes) -> int:
    """Return the shard of a key's hash."""
    return key[0] % SHARDS


def batch_key(shard: int, sequence: int) -> str:
    """Return the store key of a batch; keys sort by sequence number."""
    return f"once/{shard:02d}/{sequence:010d}"


def encode(batch: Batch) -> bytes:
    """Return a batch as stored."""
    return msgspec.msgpack.encode(batch)


def decode(value: bytes) -> Batch:
    """Return the batch of a stored value.

    :raises msgspec.DecodeError: if the value is not a batch
    """
    return msgspec.msgpack.decode(value, type=Batch)


def closing_row(claim: Row, ran: Ran, status: int = 0, answer: bytes | None = None) -> Row | None:
    """Return the row that closes a granted claim, ``None`` where its end is not known.

    :param ran: what is known of the run; only a claim whose request was surely not run is
        released, so that its key can be claimed again
    :param answer: ``None`` for one that is not kept
    """
    if ran == Ran.NO:
        return claim._replace(kind=RowKind.RELEASE)
    if ran == Ran.UNKNOWN:
        return None
    kept = answer is not None and len(answer) <= ANSWER_LIMIT
    shown = answer if kept and answer is not None else b""
    return claim._replace(kind=RowKind.DONE, status=status, answer=shown, answer_kept=kept)


class Journal:
    """One shard as seen by one entry host."""

    def __init__(self) -> None:
        self.sequence = 0
        self.by_key: dict[bytes, Row] = {}
        self._loaded = False
        self._waiting: dict[bytes, Row] = {}
        self._notes: list[Row] = []
        self._flying: Batch | None = None
        self._reading = False

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits to be written."""
        return not (self._waiting or self._notes or self._flying)

    def claim(self, row: Row) -> list[Effect]:
        """Ask for a claim. The decision may come at once or with a later event."""
        self._waiting[row.nonce] = row
        return self._advance()

    def note(self, row: Row) -> list[Effect]:
        """Record the end of a granted claim: done, or released because it was not run."""
        self._notes.append(row)
        return self._advance()

    def withdraw(self, nonce: bytes) -> list[Effect]:
        """Stop waiting for a claim.

        The claim may still land if its batch is in flight. A release then follows, so that the
        caller, who was told "not run", can come back with the same key.
        """
        row = self._waiting.pop(nonce, None)
        if row is not None and self._in_flight(nonce):
            self._notes.append(row._replace(kind=RowKind.RELEASE))
        return []

    def read(self, batches: list[tuple[int, Batch]]) -> list[Effect]:
        """Take in the batches that a :class:`Read` brought."""
        self._reading = False
        self._loaded = True
        effects: list[Effect] = []
        for sequence, batch in batches:
            if sequence < self.sequence:
                continue
            effects.extend(self._apply(sequence, batch))
        return [*effects, *self._advance()]

    def read_failed(self) -> list[Effect]:
        """The store could not be read: nothing waiting can be granted."""
        self._reading = False
        return self._refuse_waiting()

    def appended(self, result: AppendResult) -> list[Effect]:
        """Take in what the store said to the append in flight."""
        batch = self._flying
        if batch is None:
            return []
        if result == AppendResult.CREATED:
            return [*self._apply(self.sequence, batch), *self._advance()]
        if result == AppendResult.CONFLICT:
            return self._read()
        # The write may have landed. Its claims are refused to their callers (nothing was sent),
        # and the same batch is tried at the same place until the store says what is there.
        return self._refuse_waiting()

    def retry(self) -> list[Effect]:
        """Go on after a failure; called at intervals by the driver."""
        if self._reading:
            return []
        if self._flying is not None:
            return [Append(self.sequence, self._flying)]
        return self._advance()

    def _in_flight(self, nonce: bytes) -> bool:
        return self._flying is not None and any(r.nonce == nonce for r in self._flying.rows)

    def _refuse_waiting(self) -> list[Effect]:
        effects: list[Effect] = []
        for nonce, row in list(self._waiting.items()):
            if self._in_flight(nonce):
                self._notes.append(row._replace(kind=RowKind.RELEASE))
            effects.append(Decided(nonce, Verdict.UNAVAILABLE))
        self._waiting.clear()
        return effects

    def _read(self) -> list[Effect]:
        if self._reading:
            return []
        self._reading = True
        return [Read(self.sequence)]

    def _apply(self, sequence: int, batch: Batch) -> list[Effect]:
        """Apply the batch that stands at ``sequence``; decide the claims that it settles."""
        mine = self._flying is not None and batch.write_id == self._flying.write_id
        if mine:
            self._flying = None
        effects: list[Effect] = []
        for row in batch.rows:
            granted = self._take(row)
            waiting = self._waiting.pop(row.nonce, None) if row.kind == RowKind.CLAIM else None
            if waiting is not None:
                effects.append(self._decision(waiting, granted))
        self.sequence = sequence + 1
        if not mine and self._flying is not None:
            # Another batch stands where ours was to go: ours can't land there any more.
            self._notes = [r for r in self._flying.rows if r.kind != RowKind.CLAIM] + self._notes
            self._flying = None
        return effects

    def _take(self, row: Row) -> bool:
        """Apply one row to the keys; return whether a claim was granted."""
        held = self.by_key.get(row.key)
        if row.kind == RowKind.CLAIM:
            # The first claim in the log holds, for every reader alike. A later one of the same
            # key is void even though it was written: its writer reads this same order.
            if held is not None:
                return held.nonce == row.nonce and held.kind == RowKind.CLAIM
            self.by_key[row.key] = row
            return True
        if held is not None and held.nonce == row.nonce and held.kind == RowKind.CLAIM:
            if row.kind == RowKind.RELEASE:
                del self.by_key[row.key]
            else:
                self.by_key[row.key] = row
        return False

    def _decision(self, row: Row, granted: bool) -> Decided:
        if granted:
            return Decided(row.nonce, Verdict.GRANTED)
        held = self.by_key[row.key]
        if held.body != row.body:
            return Decided(row.nonce, Verdict.KEY_REUSED, held)
        verdict = Verdict.DONE if held.kind == RowKind.DONE else Verdict.RUNNING
        return Decided(row.nonce, verdict, held)

    def _advance(self) -> list[Effect]:
        if not self._loaded:
            return self._read()
        effects: list[Effect] = []
        for nonce, row in list(self._waiting.items()):
            if row.key in self.by_key and not self._in_flight(nonce):
                del self._waiting[nonce]
                effects.append(self._decision(row, False))
        if self._flying is None and not self._reading:
            effects.extend(self._fly())
        return effects

    def _fly(self) -> list[Effect]:
        notes = self._notes[:MAX_BATCH]
        claims = list(self._waiting.values())[: MAX_BATCH - len(notes)]
        rows = (*notes, *claims)
        if not rows:
            return []
        self._notes = self._notes[len(notes) :]
        seed = b"".join(r.nonce + r.kind.encode() for r in rows)
        write_id = hashlib.blake2b(seed, digest_size=12).hexdigest()
        self._flying = Batch(write_id, rows)
        return [Append(self.sequence, self._flying)]
