"""Plays our own days on a site file of the users' and prints a table.

The days lie in ``tests/days``; those that name a service or zone of the site hold placeholders,
filled in from the site file at run time: ``$POOL`` for the engine service, ``$ZONE`` for the first
zone.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
DAYS = ROOT / "tests" / "days"
BENCH = ROOT.parent / "given" / "kit" / "more" / "system" / "bin" / "fleetbench"
AT_ONCE = 3
"""Days played at once: half of the processors of the machine that they are played on."""


def fill(text: str, site: Path) -> str:
    """Return a day with the site's own names in place of the placeholders."""
    found = tomllib.loads(site.read_text())
    pool = next(s["name"] for s in found["services"] if "llm" in s)
    return text.replace("$POOL", pool).replace("$ZONE", found["zones"][0]["name"])


def play(day: Path, site: Path) -> str:
    """Play one day and return its row."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml", dir=ROOT / "build") as file:
        file.write(fill(day.read_text(), site))
        file.flush()
        command = [str(BENCH), "run", str(site), file.name, "--jobs", "1", "--why", day.stem]
        output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout
    row = re.search(r"\d+/\d+ +[\d.]+ +(-?[\d.]+) +([\d.]+) +([\d.]+) +([\d.]+)", output)
    broken = re.search(r"^rules broken: (.*)$|^short of the gate: (fault.*)$", output, re.M)
    figures = row.groups() if row else ("?",) * 4
    rules = (broken[1] or broken[2])[:40] if broken else "kept"
    return f"{day.stem:<28}{rules:<42}" + "".join(f"{f:>9}" for f in figures)


def main() -> int:
    """Play all days on the site named on the command line and return the exit code."""
    from concurrent.futures import ThreadPoolExecutor

    if len(sys.argv) < 2 or not BENCH.exists():
        print("usage: days SITE_FILE (with the users' bench beside the checkout)")
        return 2
    site = Path(sys.argv[1]).resolve()
    chosen = sorted(DAYS.glob("*.toml"))
    (ROOT / "build").mkdir(exist_ok=True)
    print(f"{'day':<28}{'rules':<42}{'worth':>9}{'served':>9}{'refused':>9}{'failed':>9}")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        rows = list(pool.map(lambda day: play(day, site), chosen))
    for row in rows:
        print(row)
    return 0 if all("kept" in row for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
