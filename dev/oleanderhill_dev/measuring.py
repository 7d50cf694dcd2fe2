"""Helpers of the measuring tools: processor time and memory of a process, histograms, results."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

TICKS = os.sysconf("SC_CLK_TCK")
MICROSECONDS = 1_000_000
RESULTS = Path("build")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def histogram() -> HdrHistogram:
    """Return an empty histogram of times up to ten minutes, in microseconds."""
    return HdrHistogram(1, 600 * MICROSECONDS, 3)


def record(into: HdrHistogram, seconds: float) -> None:
    """Record a time."""
    into.record_value(max(1, int(seconds * MICROSECONDS)))


def milliseconds(of: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return round(of.get_value_at_percentile(percentile) / 1000, 3)


def write_result(name: str, result: dict[str, Any]) -> Path:
    """Write a result under ``build/`` and return its path."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(result, indent=2) + "\n")
    return path
