"""What entry hosts ask each other about claims on idempotency keys."""

from __future__ import annotations

from typing import NamedTuple

from .once import Row, Verdict


class ClaimAsk(NamedTuple):
    """Ask the home of a journal shard to record a row."""

    shard: int
    row: Row


class ClaimAnswer(NamedTuple):
    """What became of a claim."""

    nonce: bytes
    verdict: Verdict
    row: Row | None
