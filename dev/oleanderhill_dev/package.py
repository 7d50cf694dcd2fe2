"""Collects the dependencies that ``make dist`` bundles, without development tools."""

from __future__ import annotations

import shutil
import sys
from importlib import metadata
from pathlib import Path

import defopt
from packaging.requirements import Requirement


def distributions_of(name: str) -> set[str]:
    """Return a distribution and its transitive dependencies for this environment."""
    names: set[str] = set()
    queue = [name]
    while queue:
        current = queue.pop()
        if current in names:
            continue
        names.add(current)
        for text in metadata.requires(current) or []:
            requirement = Requirement(text)
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                queue.append(requirement.name)
    return names


def collect(folder: str) -> None:
    """Copy the installed files of the package's dependencies.

    :param folder: directory to copy to
    """
    destination = Path(folder)
    for name in sorted(distributions_of("oleanderhill") - {"oleanderhill", "setuptools"}):
        for file in metadata.files(name) or []:
            source = Path(str(file.locate()))
            if ".." in file.parts or "__pycache__" in file.parts or not source.is_file():
                continue
            (destination / file).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, destination / file)
    print(f"package: {sum(1 for _ in destination.rglob('*.py'))} modules", file=sys.stderr)


if __name__ == "__main__":
    defopt.run(collect)
