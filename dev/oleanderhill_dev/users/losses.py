"""Says from the entry hosts' logs where answers were lost or late, by cause and by moment.

A log is what the processes wrote, with any prefix before each line. Answers that went well are
written one in so many; each such line counts for all that it stands for.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from oleanderhill.operators.explaining import LogLine, parse_line

WINDOW = 2.0
"""Seconds of a moment."""

WELL = "on time"

ON_THE_WAY = {"attempt failed", "suspect", "cleared"}
"""Lines about a request that don't end it."""


class Loss(NamedTuple):
    """How some requests ended.

    :param requests: how many a line stands for
    """

    at: float
    cause: str
    requests: int


def losses(texts: Iterable[str]) -> list[Loss]:
    """Return how the requests of a log ended."""
    lines = (line for text in texts if (line := parse_line(text)) is not None)
    return [
        Loss(line.at, _cause(line), int(line.facts.get("stands_for", 1)))
        for line in lines
        if line.part == "request" and line.facts.get("what") not in ON_THE_WAY
    ]


def _cause(line: LogLine) -> str:
    facts = line.facts
    if facts.get("what") == "answered":
        return _lateness(line)
    if facts.get("what") == "cut":
        return "cut: its group stalled or was lost"
    reason = str(facts.get("reason", ""))
    if "no target serves" in reason:
        return "refused: no whole group"
    if "has room" in reason:
        came_back = facts.get("standing") == "late"
        return "refused again: all places taken" if came_back else "refused: all places taken"
    if facts.get("status") in (401, 404) or facts.get("what") == "not-current":
        return f"not taken: {facts.get('what')}"
    return f"failed: {facts.get('what')}"


def _lateness(line: LogLine) -> str:
    facts = line.facts
    took = facts.get("first_ms")
    took = facts.get("ms", 0) if took is None else took
    if took <= facts.get("goal_ms", 0):
        return WELL
    if len(facts.get("path") or ()) > 1:
        return "late: moved from a stalled group"
    if facts.get("standing") == "late":
        return "late: came back after a refusal"
    return "late: waited in its group"


def table(found: list[Loss]) -> str:
    """Return the losses by cause, each with its worst moments."""
    if not found:
        return "no line of a request"
    start = min(loss.at for loss in found)
    total = sum(loss.requests for loss in found)
    by_cause: Counter[str] = Counter()
    by_moment: dict[str, Counter[int]] = {}
    for loss in found:
        by_cause[loss.cause] += loss.requests
        moments = by_moment.setdefault(loss.cause, Counter())
        moments[int((loss.at - start) / WINDOW)] += loss.requests
    rows = []
    for cause, requests in by_cause.most_common():
        worst = by_moment[cause].most_common(3) if cause != WELL else []
        moments_shown = ", ".join(f"{m * WINDOW:.0f} s ({n})" for m, n in sorted(worst))
        rows.append(f"{cause:36}{requests:7}{100 * requests / total:7.1f}%  {moments_shown}")
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
