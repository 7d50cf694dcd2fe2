"""Bounds the memory that replies take until they are complete."""

from __future__ import annotations

FREE_BYTES = 64 * 1024
"""Bytes that each reply may keep in any case, so that large ones don't keep out small ones."""

MAX_SHARED_BYTES = 64 * 1024 * 1024
"""Bytes that all replies of an entry host may keep beyond those, at most."""


class ReplyMemory:
    """Counts what the replies of an entry host keep.

    :param limit: bytes that they may keep beyond :data:`FREE_BYTES` each
    :ivar taken: bytes that they keep beyond :data:`FREE_BYTES` each
    """

    def __init__(self, limit: float = MAX_SHARED_BYTES) -> None:
        self.limit = limit
        self.taken = 0

    def change(self, before: int, after: int) -> bool:
        """Record that a reply keeps more or fewer bytes; return ``False`` if it may not."""
        change = max(0, after - FREE_BYTES) - max(0, before - FREE_BYTES)
        if change > 0 and self.taken + change > self.limit:
            return False
        self.taken += change
        return True
