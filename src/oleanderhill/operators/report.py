"""Status, settings and decisions as text for a person, within 80 columns."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from typing import Any

WIDTH = 80


def show_status(answers: Iterable[dict[str, Any]]) -> str:
    """Return the status of entry hosts as text."""
    return "\n\n".join(_one_status(a) for a in answers)


def show_in_force(answers: Iterable[dict[str, Any]]) -> str:
    """Return what is in force at entry hosts as text, a line for each subtree."""
    lines = [f"{'entry host':<18}{'subtree':<20}{'revision':>9}{'age s':>9}  note"]
    for answer in answers:
        if "unreachable" in answer:
            lines.append(f"{answer['host']:<18}unreachable")
            continue
        for team, state in answer["settings"].items():
            note = _in_force_note(state)
            head = f"{answer['host']:<18}{team:<20}{state['revision']:>9}{state['age']:>9}"
            lines.append(_cut(f"{head}  {note}"))
    return "\n".join(lines)


def show_decisions(subject: str, answers: Iterable[dict[str, Any]]) -> str:
    """Return decisions of several entry hosts as text, in the order of time."""
    found = [
        (d["at"], a["host"], d["part"], d["subject"], d["text"])
        for a in answers
        for d in a.get("decisions", [])
    ]
    if not found:
        return f"{subject}: nothing is remembered at these entry hosts"
    lines = []
    for at, host, part, about, text in sorted(found):
        clock = datetime.fromtimestamp(at).strftime("%H:%M:%S.%f")[:-3]
        other = "" if about == subject else f"{about}: "
        lines.extend(_wrap(f"{clock} {host} {part}: ", other + text))
    return "\n".join(lines)


def _one_status(answer: dict[str, Any]) -> str:
    if "unreachable" in answer:
        return f"{answer['host']}: unreachable"
    edge, measures = answer["edge"], answer["measures"]
    ready = "ready" if edge["ready"] else "NOT READY"
    lines = [
        f"{answer['host']}: {ready}, {edge['in_flight']} in flight,"
        f" store last seen {_age(edge['store_seen'])}",
        f"  owns: {measures['groups_down']} groups down,"
        f" {measures['hosts_stranded']} hosts stranded;"
        f" sums {measures['downtime_seconds']} and {measures['stranded_host_seconds']} s",
        f"  {'group':<34}{'domain':<12}{'epoch':>9} {'state':<9}{'age s':>6} load",
    ]
    lines += [_group_line(g) for g in answer["groups"]]
    lines += [f"  no domain has room for {g}" for g in answer["plan"]["without_domain"]]
    lines += [f"  domain {d['domain']}: {_domain(d)}" for d in answer["domains"]]
    lines += [
        f"  member {m['host']}: {m['state']}, heard {m['heard']} s" for m in answer["members"]
    ]
    return "\n".join(_cut(line) for line in lines)


def _group_line(group: dict[str, Any]) -> str:
    state = "serves" if group["takes_requests"] else "DOWN"
    if group["whole"] and not group["takes_requests"]:
        state = "closing"
    running, waiting, capacity = group["load"]
    epoch = f"{group['epoch'] >> 20}.{group['epoch'] & 0xFFFFF}"
    return (
        f"  {group['group']:<34}{group['domain']:<12}{epoch:>9} {state:<9}"
        f"{group['evidence_age']:>6} {running}+{waiting}/{capacity}"
    )


def _domain(domain: dict[str, Any]) -> str:
    owner = "owned here" if domain["owned_here"] else f"owner {domain['owner'] or '-'}"
    parts = [owner, f"epoch {domain['owner_epoch']}", f"{domain['hosts']} hosts"]
    if domain["usable"] is not None:
        parts.append(f"{domain['usable']} usable")
    if domain["stranded"]:
        parts.append(f"stranded {' '.join(domain['stranded'])}")
    if domain["unsaved"]:
        parts.append("UNSAVED: the store is out")
    return ", ".join(parts)


def _in_force_note(state: dict[str, Any]) -> str:
    if state["seen"] > state["revision"]:
        return f"revision {state['seen']} is invalid: {state['findings'][-1]}"
    return ""


def _age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds} s ago"


def _cut(line: str) -> str:
    return line if len(line) <= WIDTH else line[: WIDTH - 1] + "~"


def _wrap(head: str, text: str) -> list[str]:
    lines, rest, lead = [], text, head
    while len(lead) + len(rest) > WIDTH:
        room = WIDTH - len(lead)
        at = rest.rfind(" ", 0, room)
        at = room if at <= 0 else at
        lines.append(lead + rest[:at])
        rest, lead = rest[at:].lstrip(), " " * 4
    return [*lines, lead + rest]
