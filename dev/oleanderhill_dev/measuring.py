"""Helpers for measurements: CPU time and memory of processes, latency histograms, result files."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MICROSECONDS_PER_SECOND = 1_000_000
RESULTS_FOLDER = Path("build")


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def histogram() -> HdrHistogram:
    """Return an empty histogram of durations up to ten minutes, in microseconds."""
    return HdrHistogram(1, 600 * MICROSECONDS_PER_SECOND, 3)


def record(latencies: HdrHistogram, seconds: float) -> None:
    """Record a duration; anything below one microsecond counts as one."""
    latencies.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))


def milliseconds(latencies: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a histogram, in milliseconds."""
    return round(latencies.get_value_at_percentile(percentile) / 1000, 3)


def write_result(name: str, result: dict[str, Any]) -> Path:
    """Write a result as JSON under ``build/`` and return the path of the file."""
    RESULTS_FOLDER.mkdir(exist_ok=True)
    path = RESULTS_FOLDER / f"{name}.json"
    path.write_text(json.dumps(result, indent=2) + "\n")
    return path
