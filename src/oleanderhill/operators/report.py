"""Formats status, settings and decisions as human-readable text of at most 80 columns."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from typing import Any

WIDTH = 80


def show_status(answers: Iterable[dict[str, Any]]) -> str:
    """Return the status of entry hosts as text."""
    return "\n\n".join(_format_status(a) for a in answers)


def show_in_force(answers: Iterable[dict[str, Any]]) -> str:
    """Return the settings in force at entry hosts as text, one line for each subtree."""
    lines = [f"{'entry host':<18}{'subtree':<20}{'revision':>9}{'age s':>9}  note"]
    for answer in answers:
        if "unreachable" in answer:
            lines.append(f"{answer['host']:<18}unreachable")
            continue
        for team, state in answer["settings"].items():
            note = _in_force_note(state)
            prefix = f"{answer['host']:<18}{team:<20}{state['revision']:>9}{state['age']:>9}"
            lines.append(_truncate(f"{prefix}  {note}"))
    return "\n".join(lines)


def show_decisions(subject: str, answers: Iterable[dict[str, Any]]) -> str:
    """Return the decisions of several entry hosts as text, sorted by time."""
    found = [
        (d["at"], a["host"], d["part"], d["subject"], d["text"])
        for a in answers
        for d in a.get("decisions", [])
    ]
    if not found:
        return f"{subject}: these entry hosts have no recent decisions about it"
    lines = []
    for at, host, part, about, text in sorted(found):
        clock = datetime.fromtimestamp(at).strftime("%H:%M:%S.%f")[:-3]
        other = "" if about == subject else f"{about}: "
        lines.extend(_wrap(f"{clock} {host} {part}: ", other + text))
    return "\n".join(lines)


def _format_status(answer: dict[str, Any]) -> str:
    if "unreachable" in answer:
        return f"{answer['host']}: unreachable"
    edge, measures = answer["edge"], answer["measures"]
    ready = "ready" if edge["ready"] else "NOT READY"
    lines = [
        f"{answer['host']}: {ready}, {edge['in_flight']} in flight,"
        f" store last seen {_age(edge['store_seen'])}",
        f"  owns: {measures['groups_down']} groups down,"
        f" {measures['hosts_stranded']} hosts stranded;"
        f" totals {measures['downtime_seconds']} s and {measures['stranded_host_seconds']} s",
        f"  {'group':<34}{'domain':<12}{'epoch':>9} {'state':<9}{'age s':>6} load",
    ]
    lines += [_format_group(g) for g in answer["groups"]]
    lines += [f"  no domain has capacity for {g}" for g in answer["plan"]["without_domain"]]
    lines += [f"  domain {d['domain']}: {_format_domain(d)}" for d in answer["domains"]]
    lines += [
        f"  member {m['host']}: {m['state']}, last heard {m['heard']} s ago"
        for m in answer["members"]
    ]
    return "\n".join(_truncate(line) for line in lines)


def _format_group(group: dict[str, Any]) -> str:
    state = "serves" if group["takes_requests"] else "DOWN"
    if group["whole"] and not group["takes_requests"]:
        state = "closing"
    running, waiting, capacity = group["load"]
    epoch = f"{group['epoch'] >> 20}.{group['epoch'] & 0xFFFFF}"
    return (
        f"  {group['group']:<34}{group['domain']:<12}{epoch:>9} {state:<9}"
        f"{group['evidence_age']:>6} {running}+{waiting}/{capacity}"
    )


def _format_domain(domain: dict[str, Any]) -> str:
    owner = "owned here" if domain["owned_here"] else f"owner {domain['owner'] or '-'}"
    parts = [owner, f"epoch {domain['owner_epoch']}", f"{domain['hosts']} hosts"]
    if domain["usable"] is not None:
        parts.append(f"{domain['usable']} usable")
    if domain["stranded"]:
        parts.append(f"stranded {' '.join(domain['stranded'])}")
    if domain["unsaved"]:
        parts.append("UNSAVED: the store is unavailable")
    return ", ".join(parts)


def _in_force_note(state: dict[str, Any]) -> str:
    if state["seen"] > state["revision"]:
        return f"revision {state['seen']} is invalid: {state['findings'][-1]}"
    return ""


def _age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds} s ago"


def _truncate(line: str) -> str:
    return line if len(line) <= WIDTH else line[: WIDTH - 1] + "~"


def _wrap(prefix: str, text: str) -> list[str]:
    lines, rest, line_prefix = [], text, prefix
    while len(line_prefix) + len(rest) > WIDTH:
        available = WIDTH - len(line_prefix)
        at = rest.rfind(" ", 0, available)
        at = available if at <= 0 else at
        lines.append(line_prefix + rest[:at])
        rest, line_prefix = rest[at:].lstrip(), " " * 4
    return [*lines, line_prefix + rest]
