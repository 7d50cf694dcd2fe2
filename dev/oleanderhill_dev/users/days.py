"""Runs the scenario days of this repository on one of the users' site files and prints a table.

The days are files in ``deploy/days``, which the users' own scenario searches run as well. The
placeholders ``@s0`` and ``@z0`` stand for the first service and zone of a site, so that a day
runs on every site.
"""

from __future__ import annotations

import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
DAYS = ROOT / "deploy" / "days"
PARALLEL_DAYS = 3
"""Days run concurrently: half of the processors of the machine that runs them."""


def run_day(day: Path, bench: Path, site: Path) -> str:
    """Run one day and return its row of the table."""
    command = [str(bench), "run", str(site), str(day), "--jobs", "1", "--why", day.stem]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout
    row = re.search(r"\d+/\d+ +[\d.]+ +(-?[\d.]+) +([\d.]+) +([\d.]+) +([\d.]+)", output)
    broken = re.search(r"^rules broken: (.*)$|^short of the gate: (fault.*)$", output, re.M)
    figures = row.groups() if row else ("?",) * 4
    rules = (broken[1] or broken[2])[:40] if broken else "kept"
    return f"{day.stem:<28}{rules:<42}" + "".join(f"{f:>9}" for f in figures)


def main() -> int:
    """Run all days and return the exit code.

    The command line names the users' bench program and a site file.
    """
    if len(sys.argv) < 3 or not all(Path(a).exists() for a in sys.argv[1:3]):
        print("usage: days BENCH SITE_FILE")
        return 2
    bench, site = (Path(a).resolve() for a in sys.argv[1:3])
    days = sorted(DAYS.glob("*.toml"))
    print(f"{'day':<28}{'rules':<42}{'worth':>9}{'served':>9}{'refused':>9}{'failed':>9}")
    with ThreadPoolExecutor(PARALLEL_DAYS) as pool:
        rows = list(pool.map(lambda day: run_day(day, bench, site), days))
    for row in rows:
        print(row)
    return 0 if all("kept" in row for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
