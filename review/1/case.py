"""A request on a kept connection late in a planned stop is passed on and then cut off."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab"))

from client import Answer, Client  # noqa: E402
from lab import BOUNDS, BROKEN, HELD, SMALL, TROUBLE, CannotRunError, Lab, route, run  # noqa: E402

CLIENTS = 6
FIRST_EVENTS, SECOND_EVENTS = 220, 230
"""Events of the streams; the stand-in engine sends one each 20 ms or a little later."""

TERM_AFTER = 1.0
"""Seconds from the begin of the first streams to the SIGTERM."""

GRACE = float(BOUNDS["grace_s"])
DEADLINE_MS = 8000
EXCUSED_SECONDS = 3.0
"""A request sent no later than this after the SIGTERM is not counted."""


async def converse(client: Client, lab: Lab, name: str) -> list[Answer]:
    """Send two streams on one connection, the second as soon as the first is complete."""
    answers = []
    for number in (1, 2):
        answer = await client.send(
            "POST",
            "/read/1",
            b"a prompt",
            {"Model": SMALL, "Token-Counts": "1460,80", "Prompt-Prefix": "5c1e:40,91bd:1420"},
            DEADLINE_MS,
        )
        answers.append(answer)
        lab.record(
            f"{name} request {number} {answer.request_id}: status {answer.status}, "
            f"{answer.body.count(b'id: ')} events, complete {answer.complete}, "
            f"connection {answer.headers.get('Connection', '-')}, {answer.fault or 'no fault'}, "
            f"{answer.ended_at - answer.sent_at:.2f} s"
        )
        if not (answer.complete and answer.status == 200 and client.open):
            break
    return answers


async def body(lab: Lab) -> int:
    stream = {"service": "pool", "sticky": True, "resumable": True, "gap_target_ms": 300}
    await lab.start([route("read", "streaming", **stream)], engines=6, entries=2)
    await lab.until_groups(2)
    site, entry = lab.site, lab.entries[0]
    site.engines.events_per_stream = FIRST_EVENTS
    clients = [Client(entry.callers) for _ in range(CLIENTS)]
    talks = [
        asyncio.create_task(converse(c, lab, f"client {n}")) for n, c in enumerate(clients, 1)
    ]
    await asyncio.sleep(TERM_AFTER)
    site.engines.events_per_stream = SECOND_EVENTS
    term_at = time.monotonic()
    if TROUBLE:
        entry.signal(signal.SIGTERM)
        lab.record(f"SIGTERM to {entry.name}; SIGKILL would follow after {GRACE} s")
        asyncio.get_running_loop().call_later(GRACE, entry.end)
    results = await asyncio.gather(*talks)
    firsts = [r[0] for r in results]
    if not all(a.complete and a.status == 200 for a in firsts):
        raise CannotRunError("the first streams were not served")
    seconds = [r[1] for r in results if len(r) > 1]
    ran = {r.request_id for r in site.engines.runs}
    lost = []
    for answer in seconds:
        sent_after = answer.sent_at - term_at
        took = answer.ended_at - answer.sent_at
        passed_on = answer.request_id in ran
        lab.record(
            f"request {answer.request_id}: sent {sent_after:.2f} s after the SIGTERM, "
            f"passed on {passed_on}, ended after {took:.2f} s, complete {answer.complete}"
        )
        in_time = took < DEADLINE_MS / 1000 - 0.5
        if passed_on and not answer.complete and in_time and sent_after > EXCUSED_SECONDS:
            lost.append(answer.request_id)
    lab.record(f"{len(seconds)} second requests, lost after they were passed on: {len(lost)}")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    run(CASE, body)
