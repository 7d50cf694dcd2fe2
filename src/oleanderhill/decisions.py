"""Decisions: one short log line each, and a bounded memory of them for ``explain``.

Each line starts with the fixed prefix of its part, such as ``route:`` or ``place:``. The memory
answers ``explain`` on this entry host while the store, or the log's destination, is down.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from typing import NamedTuple

import eliot

KEPT = 4000

PREFIXES = {
    "route": "route:",
    "place": "place:",
    "plan": "plan:",
    "own": "own:",
    "order": "order:",
    "member": "member:",
    "settings": "settings:",
    "once": "once:",
    "limit": "limit:",
    "drain": "drain:",
    "peers": "peers:",
    "group": "group:",
    "fault": "fault:",
}


class Decision(NamedTuple):
    """One decision.

    :param at: wall clock, in seconds
    :param subject: what it is about: a request id, a group, a domain, a host or a subtree
    :param also: other subjects under which ``explain`` finds it
    """

    at: float
    part: str
    subject: str
    text: str
    also: tuple[str, ...]


class Decisions:
    """Writes decisions to the log and remembers the latest."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._kept: deque[Decision] = deque(maxlen=KEPT)

    def note(self, part: str, subject: str, text: str, also: tuple[str, ...] = ()) -> None:
        """Record a decision.

        :param part: a key of :data:`PREFIXES`
        """
        self._kept.append(Decision(time.time(), part, subject, text, also))
        line = f"{PREFIXES[part]} {subject}: {text}"
        eliot.log_message(message_type=f"oleanderhill:{part}", line=line, host=self.host)

    def about(self, subject: str) -> list[Decision]:
        """Return the remembered decisions about a subject, oldest first."""
        return [d for d in self._kept if d.subject == subject or subject in d.also]

    def latest(self, count: int) -> list[Decision]:
        """Return the latest decisions, oldest first."""
        return list(self._kept)[-count:]


def log_to(path: str | None) -> None:
    """Send the log to a file, or to standard error where no path is given."""
    if path is None:
        eliot.to_file(sys.stderr)
        return
    # Stays open as long as the process: the log's destination.
    eliot.to_file(open(path, "a", buffering=1, encoding="utf-8"))  # noqa: SIM115
