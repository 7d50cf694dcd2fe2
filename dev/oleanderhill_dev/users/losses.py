"""Summarizes failed and late answers in the logs of entry hosts, by cause and time.

Any prefix is allowed before each log line. Successful answers are sampled: each line of one
counts for all requests that it represents.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from oleanderhill.operators.explaining import LogLine, parse_line
from oleanderhill.outcomes import DRAINING

WINDOW_SECONDS = 2.0
"""Width of a time window, in seconds."""

ON_TIME = "on time"

INTERMEDIATE_LINES = {
    "attempt failed",
    "suspect",
    "cleared",
    "retry",
    "retry refused",
    "sent again",
    "outlasted",
}
"""Log lines that are written before a request has its outcome."""

UNANSWERED_LINES = {"dropped", "cancelled"}
"""Log lines of requests that ended without an answer."""


class Loss(NamedTuple):
    """The outcome of one or more requests, on time ones included.

    :param at: time of the log line, in seconds
    :param cause: cause of the failure or delay, or :data:`ON_TIME`
    :param requests: number of requests that the log line represents
    """

    at: float
    cause: str
    requests: int


def losses(texts: Iterable[str]) -> list[Loss]:
    """Return the outcomes of the requests of a log."""
    lines = (line for text in texts if (line := parse_line(text)) is not None)
    return [
        Loss(line.at, _cause(line), int(line.fields.get("stands_for", 1)))
        for line in lines
        if line.part == "request" and line.fields.get("what") not in INTERMEDIATE_LINES
    ]


def _cause(line: LogLine) -> str:
    facts = line.fields
    if facts.get("what") == "answered":
        return _lateness_cause(line)
    if facts.get("what") == "cut":
        return "cut: its group stalled or was lost"
    if facts.get("what") in UNANSWERED_LINES:
        return f"unanswered: {facts.get('reason')}"
    if facts.get("what") == DRAINING:
        return "refused: its entry host shuts down"
    reason = str(facts.get("reason", ""))
    if "no target serves" in reason:
        return "refused: no whole group"
    if "has room" in reason:
        is_retry = facts.get("standing") == "late"
        return "refused again: all places taken" if is_retry else "refused: all places taken"
    if facts.get("status") in (401, 404) or facts.get("what") == "not-current":
        return f"not taken: {facts.get('what')}"
    return f"failed: {facts.get('what')}"


def _lateness_cause(line: LogLine) -> str:
    facts = line.fields
    elapsed_ms = facts.get("first_ms")
    elapsed_ms = facts.get("ms", 0) if elapsed_ms is None else elapsed_ms
    if elapsed_ms <= facts.get("goal_ms", 0):
        return ON_TIME
    if len(facts.get("path") or ()) > 1:
        return "late: moved from a stalled group"
    if facts.get("standing") == "late":
        return "late: came back after a refusal"
    return "late: waited in its group"


def table(outcomes: list[Loss]) -> str:
    """Return a table of the outcomes by cause, each with its worst time windows."""
    if not outcomes:
        return "no line of a request"
    start = min(loss.at for loss in outcomes)
    total = sum(loss.requests for loss in outcomes)
    by_cause: Counter[str] = Counter()
    by_window: dict[str, Counter[int]] = {}
    for loss in outcomes:
        by_cause[loss.cause] += loss.requests
        windows = by_window.setdefault(loss.cause, Counter())
        windows[int((loss.at - start) / WINDOW_SECONDS)] += loss.requests
    rows = []
    for cause, requests in by_cause.most_common():
        worst = by_window[cause].most_common(3) if cause != ON_TIME else []
        worst_windows = ", ".join(f"{w * WINDOW_SECONDS:.0f} s ({n})" for w, n in sorted(worst))
        rows.append(f"{cause:36}{requests:7}{100 * requests / total:7.1f}%  {worst_windows}")
    return "\n".join(rows)


def main() -> int:
    """Print the table of each log named on the command line and return the exit code."""
    if len(sys.argv) < 2:
        print("usage: losses LOG...")
        return 2
    for name in sys.argv[1:]:
        print(f"{name}:")
        with Path(name).open(errors="replace") as file:
            print(table(losses(file)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
