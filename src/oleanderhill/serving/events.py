"""Splits a byte stream into complete server-sent events and checks the sequence of their ids.

A target may fail in the middle of an event. Forwarded data must end at an event boundary, or the
continuation of a resumed stream would be appended to a partial event.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_MAX_BOUNDARY_BYTES = 4
_COMMENT = re.compile(rb"(?:(?::[^\n]*)?\r?\n)+")
_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)")


class Event(NamedTuple):
    """A complete event including its boundary; ``number`` is its id, ``None`` without one."""

    data: bytes
    number: int | None

    @property
    def is_comment(self) -> bool:
        """Return whether it has no field, so that callers ignore it."""
        return self.number is None and _COMMENT.fullmatch(self.data) is not None


class EventSplitter:
    """Splits chunks of bytes into complete events.

    :param rest: bytes after the last complete event
    """

    def __init__(self, rest: bytes = b"") -> None:
        self._rest = bytearray(rest)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that this chunk completes."""
        # A boundary may begin in the bytes that were kept, but not before their last three.
        searched = max(0, len(self._rest) + 1 - _MAX_BOUNDARY_BYTES)
        self._rest += chunk
        events = []
        start = 0
        for end in [b.end() for b in _BOUNDARY.finditer(self._rest, searched)]:
            event = bytes(self._rest[start:end])
            found = _ID.search(event)
            events.append(Event(event, int(found[1]) if found else None))
            start = end
        del self._rest[:start]
        return events

    @property
    def kept(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._rest)

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._rest)


class EventSequence:
    """Checks that event ids are consecutive across attempts, without gaps or duplicates.

    :param last: id of the last event that the caller already has, ``None`` for none
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def accept(self, event: Event) -> bool:
        """Return whether an event is the next one, and if so record it as the last."""
        if event.number is None:
            return True
        if self.last is not None and event.number != self.last + 1:
            return False
        self.last = event.number
        return True
