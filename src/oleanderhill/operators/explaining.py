"""Finds in structured log lines what led to the end of a request.

Pure: lines go in, the telling ones come out, in their order. A line may have a prefix before its
JSON object, as collectors put one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec

AROUND = 8.0
"""Seconds before and after a request's own lines in which others are taken to bear on it: a host's
entry lapses within four seconds of its end, and a group is whole again within six."""

MARK = "oleanderhill:"
SHOWN_FIRST = ("what", "reason")
HIDDEN = frozenset({"message_type", "timestamp", "task_uuid", "task_level", "host"})


class LogLine(NamedTuple):
    """One line.

    :param part: the part of the system that wrote it
    """

    at: float
    host: str
    part: str
    facts: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Return a line of ours, ``None`` for any other."""
    start = text.find("{")
    if start < 0 or MARK not in text:
        return None
    try:
        found = msgspec.json.decode(text[start:], type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    part = str(found.get("message_type", "")).removeprefix(MARK)
    at = found.get("timestamp")
    if not isinstance(at, int | float):
        return None
    return LogLine(float(at), str(found.get("host", "")), part, found)


def explain_log(subject: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines about a subject, and about the groups and hosts that it met, by time."""
    lines = [line for text in texts if (line := parse_line(text)) is not None]
    own = [line for line in lines if _names(line) & {subject}]
    if not own:
        return []
    met = set().union(*(_met(line) for line in own)) - {subject}
    first, last = min(line.at for line in own), max(line.at for line in own)
    hosts = {line.host for line in own}
    around = [
        line
        for line in lines
        if line not in own
        and first - AROUND <= line.at <= last + AROUND
        and line.part != "request"
        and (_names(line) & met or (line.part in ("dependency", "process") and line.host in hosts))
    ]
    return sorted([*own, *around], key=lambda line: line.at)


def show_lines(lines: Sequence[LogLine]) -> str:
    """Return lines as text for a person, with seconds from the first of them."""
    if not lines:
        return "no line names it"
    start = lines[0].at
    return "\n".join(_shown(line, start) for line in lines)


def _shown(line: LogLine, start: float) -> str:
    first = [str(line.facts[n]) for n in SHOWN_FIRST if line.facts.get(n)]
    rest = [
        f"{name}={value}"
        for name, value in line.facts.items()
        if name not in HIDDEN and name not in SHOWN_FIRST and value is not None
    ]
    return (
        f"{line.at - start:8.3f} s  {line.host}  {line.part}: {', '.join(first)}  {' '.join(rest)}"
    )


def _names(line: LogLine) -> set[str]:
    """Return all that a line is about."""
    named = set()
    for name in ("request_id", "target", "group", "about", "instance", "domain"):
        value = line.facts.get(name)
        if isinstance(value, str):
            named.add(value)
    # Hosts that changed stand together in one line: instance, group, and more of each.
    for host in line.facts.get("hosts") or ():
        if isinstance(host, list):
            named |= {str(name) for name in host[:2] if name}
    reason = line.facts.get("reason")
    if line.part == "plan" and isinstance(reason, str):
        named |= set(reason.replace(";", " ").split())
    return named


def _met(line: LogLine) -> set[str]:
    """Return the groups and hosts that a request's line names."""
    met = {str(line.facts["target"])} if "target" in line.facts else set()
    for place in line.facts.get("path") or ():
        if isinstance(place, str):
            met |= set(place.split(":"))
    return met
