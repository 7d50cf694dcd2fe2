"""Modules that an entry host on the users' platform imports."""

import json
import re
import subprocess
import sys
import unittest
from importlib.metadata import distribution, packages_distributions
from pathlib import Path

import oleanderhill

ROOT = Path(__file__).resolve().parents[1]
PRINT_LOADED_MODULES = """
import json, sys
before = set(sys.modules)
sys.path.insert(0, "src")
import oleanderhill.platform.entry
print(json.dumps(sorted({m.partition(".")[0] for m in sys.modules.keys() - before})))
"""


def required_distributions(name, found=None):
    """Return a distribution and its transitive requirements."""
    found = set() if found is None else found
    key = re.sub(r"[-_.]+", "-", name).lower()
    if key in found:
        return found
    found.add(key)
    for line in distribution(name).requires or ():
        if "extra ==" not in line:
            required_distributions(re.match(r"[\w.-]+", line)[0], found)
    return found


class DeployTest(unittest.TestCase):
    def test_entry_host_loads_only_what_the_deploy_file_installs(self):
        # The platform's hosts have only Python and the declared libraries. An import of any other
        # library works on a developer's computer, and fails at start on every host of the platform.
        lines = (ROOT / "deploy/requirements.txt").read_text().split()
        declared = set()
        for line in lines:
            declared |= required_distributions(line.partition("==")[0])
        done = subprocess.run(
            [sys.executable, "-c", PRINT_LOADED_MODULES],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        by_module = packages_distributions()
        loaded = {
            re.sub(r"[-_.]+", "-", name).lower()
            for module in json.loads(done.stdout)
            for name in by_module.get(module, ())
        }
        self.assertEqual(loaded - declared - {"oleanderhill"}, set())

    def test_public_names_are_there_when_asked_for(self):
        for name in oleanderhill.__all__:
            self.assertIsNotNone(getattr(oleanderhill, name))
        with self.assertRaises(AttributeError):
            _ = oleanderhill.no_such_name


if __name__ == "__main__":
    unittest.main()
