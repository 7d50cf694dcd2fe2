"""Collects the dependencies that ``make dist`` ships beside the package, no development tools."""

from __future__ import annotations

import shutil
import sys
from importlib import metadata
from pathlib import Path

import defopt
from packaging.requirements import Requirement


def needed(name: str) -> set[str]:
    """Return a distribution and all that it needs on this machine."""
    found: set[str] = set()
    queue = [name]
    while queue:
        current = queue.pop()
        if current in found:
            continue
        found.add(current)
        for text in metadata.requires(current) or []:
            requirement = Requirement(text)
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                queue.append(requirement.name)
    return found


def collect(folder: str) -> None:
    """Copy the dependencies of the package.

    :param folder: where to
    """
    target = Path(folder)
    for name in sorted(needed("oleanderhill") - {"oleanderhill", "setuptools"}):
        for file in metadata.files(name) or []:
            source = Path(str(file.locate()))
            if ".." in file.parts or "__pycache__" in file.parts or not source.is_file():
                continue
            (target / file).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, target / file)
    print(f"package: {sum(1 for _ in target.rglob('*.py'))} modules", file=sys.stderr)


if __name__ == "__main__":
    defopt.run(collect)
