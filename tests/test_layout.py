"""Tests that the packages have no cyclic dependencies."""

from __future__ import annotations

import ast
import unittest
from graphlib import TopologicalSorter
from pathlib import Path

import oleanderhill

ROOT = Path(oleanderhill.__file__).parent


def _imported_packages(path: Path, package: str) -> set[str]:
    """Return the other packages that a module imports by relative imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.level != 2:
            continue
        names = [node.module] if node.module else [alias.name for alias in node.names]
        found |= {name.split(".")[0] for name in names}
    return {f for f in found if (ROOT / f).is_dir() and f != package}


def _dependencies() -> dict[str, set[str]]:
    packages = [p.parent for p in ROOT.glob("*/__init__.py")]
    return {
        p.name: set().union(*(_imported_packages(module, p.name) for module in p.glob("*.py")))
        for p in packages
    }


class LayoutTest(unittest.TestCase):
    def test_packages_have_no_cyclic_dependencies(self) -> None:
        order = list(TopologicalSorter(_dependencies()).static_order())
        self.assertIn("clients", order)

    def test_only_root_modules_import_the_platform(self) -> None:
        users = [p for p, needs in _dependencies().items() if "platform" in needs]
        self.assertEqual([], users)


if __name__ == "__main__":
    unittest.main()
