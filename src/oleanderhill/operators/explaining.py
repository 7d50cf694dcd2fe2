"""Selects from structured log lines those that explain the outcome of a request.

The functions do no I/O: they take log lines and return the relevant ones sorted by time. A line may
have a prefix before its JSON object, as log collectors add one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec

CONTEXT_SECONDS = 8.0
"""Seconds before and after a request's own lines in which other lines are considered related: a
host's entry expires within four seconds of its end, and a group is complete again within six."""

MESSAGE_TYPE_PREFIX = "oleanderhill:"
LEADING_FIELDS = ("what", "reason")
HIDDEN_FIELDS = frozenset({"message_type", "timestamp", "task_uuid", "task_level", "host"})


class LogLine(NamedTuple):
    """A parsed log line.

    :param at: wall clock, in seconds
    :param part: the component that logged it
    :param fields: all fields of the line
    """

    at: float
    host: str
    part: str
    fields: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Parse a log line of oleanderhill. Return ``None`` for any other line."""
    start = text.find("{")
    if start < 0 or MESSAGE_TYPE_PREFIX not in text:
        return None
    try:
        found = msgspec.json.decode(text[start:], type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    part = str(found.get("message_type", "")).removeprefix(MESSAGE_TYPE_PREFIX)
    at = found.get("timestamp")
    if not isinstance(at, int | float):
        return None
    return LogLine(float(at), str(found.get("host", "")), part, found)


def explain_log(subject: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines about a subject and about the groups and hosts it involved, by time."""
    lines = [line for text in texts if (line := parse_line(text)) is not None]
    own = [line for line in lines if _subjects(line) & {subject}]
    if not own:
        return []
    involved = set().union(*(_involved(line) for line in own)) - {subject}
    first, last = min(line.at for line in own), max(line.at for line in own)
    hosts = {line.host for line in own}
    related = [
        line
        for line in lines
        if line not in own
        and first - CONTEXT_SECONDS <= line.at <= last + CONTEXT_SECONDS
        and line.part != "request"
        and (
            _subjects(line) & involved
            or (line.part in ("dependency", "process") and line.host in hosts)
        )
    ]
    return sorted([*own, *related], key=lambda line: line.at)


def show_lines(lines: Sequence[LogLine]) -> str:
    """Return the lines as human-readable text, with times in seconds since the first line."""
    if not lines:
        return "no log line mentions it"
    start = lines[0].at
    return "\n".join(_format_line(line, start) for line in lines)


def _format_line(line: LogLine, start: float) -> str:
    first = [str(line.fields[n]) for n in LEADING_FIELDS if line.fields.get(n)]
    rest = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and name not in LEADING_FIELDS and value is not None
    ]
    return (
        f"{line.at - start:8.3f} s  {line.host}  {line.part}: {', '.join(first)}  {' '.join(rest)}"
    )


def _subjects(line: LogLine) -> set[str]:
    """Return all subjects of a line."""
    subjects = set()
    for name in ("request_id", "target", "group", "about", "instance", "domain", "data_centre"):
        value = line.fields.get(name)
        if isinstance(value, str):
            subjects.add(value)
            if name == "instance":
                # Paths of requests name hosts without the start of their incarnation.
                subjects.add(value.partition("@")[0])
    # One line lists several changed hosts, each as a list that starts with instance and group.
    hosts = line.fields.get("hosts")
    for host in hosts if isinstance(hosts, list) else ():
        if isinstance(host, list):
            subjects |= {str(name) for name in host[:2] if name}
    targets = line.fields.get("targets")
    if isinstance(targets, list):
        subjects |= {name for name in targets if isinstance(name, str)}
    reason = line.fields.get("reason")
    if line.part == "plan" and isinstance(reason, str):
        subjects |= set(reason.replace(";", " ").split())
    return subjects


def _involved(line: LogLine) -> set[str]:
    """Return the groups and hosts in a line about a request."""
    involved = {str(line.fields[n]) for n in ("target", "data_centre") if n in line.fields}
    for place in line.fields.get("path") or ():
        if isinstance(place, str):
            involved |= set(place.partition(" ")[0].split(":"))
    return involved
