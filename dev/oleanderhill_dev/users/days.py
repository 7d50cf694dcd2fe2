"""Plays our own days on a site file of the users' and prints a table.

The days lie in ``deploy/days``, where the users' own hunts play them too; ``@s0`` and ``@z0`` in
them stand for a site's first service and zone, so that they fit every site.
"""

from __future__ import annotations

import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
DAYS = ROOT / "deploy" / "days"
AT_ONCE = 3
"""Days played at once: half of the processors of the machine that they are played on."""


def play(day: Path, bench: Path, site: Path) -> str:
    """Play one day and return its row."""
    command = [str(bench), "run", str(site), str(day), "--jobs", "1", "--why", day.stem]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout
    row = re.search(r"\d+/\d+ +[\d.]+ +(-?[\d.]+) +([\d.]+) +([\d.]+) +([\d.]+)", output)
    broken = re.search(r"^rules broken: (.*)$|^short of the gate: (fault.*)$", output, re.M)
    figures = row.groups() if row else ("?",) * 4
    rules = (broken[1] or broken[2])[:40] if broken else "kept"
    return f"{day.stem:<28}{rules:<42}" + "".join(f"{f:>9}" for f in figures)


def main() -> int:
    """Play all days with a bench on a site, both on the command line; return the exit code."""
    if len(sys.argv) < 3 or not all(Path(a).exists() for a in sys.argv[1:3]):
        print("usage: days BENCH SITE_FILE")
        return 2
    bench, site = (Path(a).resolve() for a in sys.argv[1:3])
    chosen = sorted(DAYS.glob("*.toml"))
    print(f"{'day':<28}{'rules':<42}{'worth':>9}{'served':>9}{'refused':>9}{'failed':>9}")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        rows = list(pool.map(lambda day: play(day, bench, site), chosen))
    for row in rows:
        print(row)
    return 0 if all("kept" in row for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
