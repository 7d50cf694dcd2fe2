"""Logs decisions, one short line each, and keeps the most recent ones in memory for ``explain``.

Each line starts with the fixed prefix of its component, such as ``route:`` or ``place:``. The
in-memory history lets this entry host answer ``explain`` while the store or the log destination is
unavailable.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from typing import NamedTuple

import eliot

MAX_DECISIONS = 4000

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
    """A decision with its subject and a one-line description.

    :param at: wall clock, in seconds
    :param part: the component that decided, a key of :data:`PREFIXES`
    :param subject: a request id, or the name of a group, domain, host or settings subtree
    :param aliases: other subjects under which ``explain`` finds the decision
    """

    at: float
    part: str
    subject: str
    text: str
    aliases: tuple[str, ...]


class Decisions:
    """Writes decisions to the log and keeps the :data:`MAX_DECISIONS` most recent ones."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._recent: deque[Decision] = deque(maxlen=MAX_DECISIONS)

    def note(self, part: str, subject: str, text: str, aliases: tuple[str, ...] = ()) -> None:
        """Record a decision.

        :param part: the component that decided, a key of :data:`PREFIXES`
        """
        self._recent.append(Decision(time.time(), part, subject, text, aliases))
        line = f"{PREFIXES[part]} {subject}: {text}"
        eliot.log_message(message_type=f"oleanderhill:{part}", line=line, host=self.host)

    def find_by_subject(self, subject: str) -> list[Decision]:
        """Return the recent decisions about a subject, oldest first."""
        return [d for d in self._recent if d.subject == subject or subject in d.aliases]

    def latest(self, count: int) -> list[Decision]:
        """Return the ``count`` most recent decisions, oldest first."""
        return list(self._recent)[-count:]


def log_to(path: str | None) -> None:
    """Write the log to a file, or to standard error if no path is given."""
    if path is None:
        eliot.to_file(sys.stderr)
        return
    # The file stays open until the process ends.
    eliot.to_file(open(path, "a", buffering=1, encoding="utf-8"))  # noqa: SIM115
