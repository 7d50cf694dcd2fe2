"""At-most-once execution per key: a journal of claims in the store, as a pure state machine.

A shard of the journal is a log of *batches*. Each batch is a separate store key that is created and
never changed. Only the first writer creates the batch at a sequence number; any other reads it,
checks its own claims against it and tries the next number. A key is therefore claimed only once,
whichever host appends: no lease, clock or single writer is needed, and one store write covers many
claims.

A request may be sent only after its claim was *granted*, that is, acknowledged by the store.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ..outcomes import Ran

SHARDS = 8
MAX_BATCH = 200
MAX_STORED_ANSWER = 4096
"""Maximum bytes of an answer stored in the journal; for longer ones only the status is stored."""


class RowKind(StrEnum):
    """The kind of event that a row records for its key."""

    CLAIM = "claim"
    RELEASE = "release"
    DONE = "done"


class Row(NamedTuple):
    """One row of the journal.

    :param key: hash of account and idempotency key
    :param body: hash of the request's method, path and body
    :param nonce: random id that identifies the claim if it is sent twice
    :param at: wall-clock time of the claim in seconds, used only in the answer to a repeated key
    :param status: HTTP status of the answer, in a row of kind done
    :param answer: body of the answer, empty if it is not stored
    """

    kind: RowKind
    key: bytes
    body: bytes
    nonce: bytes
    at: int = 0
    status: int = 0
    answer: bytes = b""
    answer_stored: bool = False


class Batch(NamedTuple):
    """The rows of one store write.

    :param write_id: hash of the rows' nonces and kinds, by which a host recognises its own batch if
        the answer of the store was lost
    """

    write_id: str
    rows: tuple[Row, ...]


class Verdict(StrEnum):
    """The outcome of a claim."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    KEY_REUSED = "key reused"
    UNAVAILABLE = "unavailable"


class Decided(NamedTuple):
    """Effect: the decision on a claim; ``row`` is the recorded row that conflicts with it."""

    nonce: bytes
    verdict: Verdict
    row: Row | None = None


class Append(NamedTuple):
    """Effect: create the batch at this sequence number if none exists there."""

    sequence: int
    batch: Batch


class Read(NamedTuple):
    """Effect: read all batches of the shard, starting at this sequence number."""

    sequence: int


class AppendResult(StrEnum):
    """The result of an append to the store."""

    CREATED = "created"
    CONFLICT = "conflict"
    LOST = "lost"
    UNAVAILABLE = "unavailable"


Effect = Append | Read | Decided


def hash_key(account: str, key: str) -> bytes:
    """Return the 16-byte hash of an account's idempotency key."""
    return hashlib.blake2b(f"{account}\0{key}".encode(), digest_size=16).digest()


def hash_body(method: str, path: str, body: bytes) -> bytes:
    """Return the 16-byte hash of a request, to detect a key reused for a different one."""
    head = f"{method} {path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=16).digest()


def shard_of(key: bytes) -> int:
    """Return the shard of a hashed key."""
    return key[0] % SHARDS


def batch_key(shard: int, sequence: int) -> str:
    """Return the store key of a batch; keys sort by sequence number."""
    return f"once/{shard:02d}/{sequence:010d}"


def encode(batch: Batch) -> bytes:
    """Encode a batch for the store."""
    return msgspec.msgpack.encode(batch)


def decode(value: bytes) -> Batch:
    """Decode a batch from its stored value.

    :raises msgspec.DecodeError: if the value is not a batch
    """
    return msgspec.msgpack.decode(value, type=Batch)


def closing_row(claim: Row, ran: Ran, status: int = 0, answer: bytes | None = None) -> Row | None:
    """Return the row that closes a granted claim, ``None`` if the outcome is unknown.

    :param ran: whether the request ran; only the claim of a request that definitely did not run is
        released, so that its key can be claimed again
    :param answer: ``None`` for an answer that is not stored
    """
    if ran == Ran.NO:
        return claim._replace(kind=RowKind.RELEASE)
    if ran == Ran.UNKNOWN:
        return None
    is_stored = answer is not None and len(answer) <= MAX_STORED_ANSWER
    stored_answer = answer if is_stored and answer is not None else b""
    return claim._replace(
        kind=RowKind.DONE, status=status, answer=stored_answer, answer_stored=is_stored
    )


class Journal:
    """One entry host's copy of one shard."""

    def __init__(self) -> None:
        self.sequence = 0
        self.by_key: dict[bytes, Row] = {}
        self._loaded = False
        self._waiting: dict[bytes, Row] = {}
        self._closing_rows: list[Row] = []
        self._pending_batch: Batch | None = None
        self._reading = False

    @property
    def idle(self) -> bool:
        """Return whether there is nothing left to write."""
        return not (self._waiting or self._closing_rows or self._pending_batch)

    def claim(self, row: Row) -> list[Effect]:
        """Request a claim. The decision may follow immediately or with a later event."""
        self._waiting[row.nonce] = row
        return self._advance()

    def note(self, row: Row) -> list[Effect]:
        """Record the end of a claim: done, or released because its request did not run."""
        self._closing_rows.append(row)
        return self._advance()

    def withdraw(self, nonce: bytes) -> list[Effect]:
        """Stop waiting for a claim.

        If its batch is in flight, the claim may still be recorded. A release then follows it, so
        that the caller, which received "not run", can retry with the same key.
        """
        row = self._waiting.pop(nonce, None)
        if row is not None and self._in_flight(nonce):
            self._closing_rows.append(row._replace(kind=RowKind.RELEASE))
        return []

    def read(self, batches: list[tuple[int, Batch]]) -> list[Effect]:
        """Apply the batches returned for a :class:`Read`."""
        self._reading = False
        self._loaded = True
        effects: list[Effect] = []
        for sequence, batch in batches:
            if sequence < self.sequence:
                continue
            effects.extend(self._apply(sequence, batch))
        return [*effects, *self._advance()]

    def read_failed(self) -> list[Effect]:
        """Handle a failed read: reject the waiting claims as unavailable."""
        self._reading = False
        return self._reject_waiting()

    def appended(self, result: AppendResult) -> list[Effect]:
        """Handle the result of the append in flight."""
        batch = self._pending_batch
        if batch is None:
            return []
        if result == AppendResult.CREATED:
            return [*self._apply(self.sequence, batch), *self._advance()]
        if result == AppendResult.CONFLICT:
            return self._read()
        # The write may have been executed. The claims are rejected as unavailable (no request was
        # sent), and the same batch is retried at the same sequence number until the store answers.
        return self._reject_waiting()

    def retry(self) -> list[Effect]:
        """Return the effects that continue after a failure; called periodically by the driver."""
        if self._reading:
            return []
        if self._pending_batch is not None:
            return [Append(self.sequence, self._pending_batch)]
        return self._advance()

    def _in_flight(self, nonce: bytes) -> bool:
        return self._pending_batch is not None and any(
            r.nonce == nonce for r in self._pending_batch.rows
        )

    def _reject_waiting(self) -> list[Effect]:
        effects: list[Effect] = []
        for nonce, row in list(self._waiting.items()):
            if self._in_flight(nonce):
                self._closing_rows.append(row._replace(kind=RowKind.RELEASE))
            effects.append(Decided(nonce, Verdict.UNAVAILABLE))
        self._waiting.clear()
        return effects

    def _read(self) -> list[Effect]:
        if self._reading:
            return []
        self._reading = True
        return [Read(self.sequence)]

    def _apply(self, sequence: int, batch: Batch) -> list[Effect]:
        """Apply the batch at ``sequence``; return the decisions on its claims."""
        own = self._pending_batch is not None and batch.write_id == self._pending_batch.write_id
        if own:
            self._pending_batch = None
        effects: list[Effect] = []
        for row in batch.rows:
            granted = self._apply_row(row)
            waiting = self._waiting.pop(row.nonce, None) if row.kind == RowKind.CLAIM else None
            if waiting is not None:
                effects.append(self._decision(waiting, granted))
        self.sequence = sequence + 1
        if not own and self._pending_batch is not None:
            # Another batch was created at this sequence number, so the pending one can't be.
            self._closing_rows = [
                r for r in self._pending_batch.rows if r.kind != RowKind.CLAIM
            ] + self._closing_rows
            self._pending_batch = None
        return effects

    def _apply_row(self, row: Row) -> bool:
        """Apply one row to the keys; return whether it is a granted claim."""
        held = self.by_key.get(row.key)
        if row.kind == RowKind.CLAIM:
            # The first claim in the log wins. All hosts read the log in the same order, so they
            # agree that a later claim of the same key is void, although it was written.
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
        if self._pending_batch is None and not self._reading:
            effects.extend(self._start_append())
        return effects

    def _start_append(self) -> list[Effect]:
        closing_rows = self._closing_rows[:MAX_BATCH]
        claims = list(self._waiting.values())[: MAX_BATCH - len(closing_rows)]
        rows = (*closing_rows, *claims)
        if not rows:
            return []
        self._closing_rows = self._closing_rows[len(closing_rows) :]
        seed = b"".join(r.nonce + r.kind.encode() for r in rows)
        write_id = hashlib.blake2b(seed, digest_size=12).hexdigest()
        self._pending_batch = Batch(write_id, rows)
        return [Append(self.sequence, self._pending_batch)]
