"""Runs the tests and passes over those listed in KNOWN-RED.txt, which it prints.

A listed test that passes is an error too: its line has to go.
"""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_RED = 3


def known_red() -> dict[str, str]:
    """Return the listed tests, each with its line."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.split()[0]: line for line in lines}


def each_test(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Return the tests of a suite one by one."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from each_test(item)
        else:
            yield item


def main() -> int:
    """Run the tests and return the exit code."""
    red = known_red()
    for line in red.values():
        print(f"known red: {line}")
    if len(red) > MOST_RED:
        print(f"KNOWN-RED.txt has {len(red)} lines, at most {MOST_RED} are allowed")
        return 1
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = {t.id() for t, _ in result.failures + result.errors}
    unexpected = failed - red.keys()
    healed = red.keys() - failed
    for name in sorted(healed):
        print(f"listed as red, but did not fail: {name}")
    passed = result.testsRun - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or healed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
