"""Cuts a stream of bytes into whole server-sent events and follows their ids.

A target may die in the middle of an event. Whatever is passed on must end at an event's border,
or the rest of a resumed stream would be glued to half an event.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_BORDER = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)")


class Event(NamedTuple):
    """A whole event with its border; ``number`` is its id, ``None`` where it has none."""

    data: bytes
    number: int | None


class EventCutter:
    """Takes bytes as they come and gives whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that are whole with this chunk."""
        data = self._rest + chunk
        events = []
        start = 0
        for border in _BORDER.finditer(data):
            event = data[start : border.end()]
            found = _ID.search(event)
            events.append(Event(event, int(found[1]) if found else None))
            start = border.end()
        self._rest = data[start:]
        return events

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest


class EventOrder:
    """Checks that events continue each other across runs: none is missing, none comes twice.

    :param last: id of the last event that the caller already has, ``None`` for none
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def admit(self, event: Event) -> bool:
        """Tell whether an event is the next one; it then counts as passed on."""
        if event.number is None:
            return True
        if self.last is not None and event.number != self.last + 1:
            return False
        self.last = event.number
        return True
