"""Messages between entry hosts about claims on idempotency keys."""

from __future__ import annotations

from typing import NamedTuple

from .once import Row, Verdict


class ClaimAsk(NamedTuple):
    """Asks the home of a journal shard to record a row."""

    shard: int
    row: Row


class ClaimAnswer(NamedTuple):
    """The decision on a claim."""

    nonce: bytes
    verdict: Verdict
    row: Row | None
