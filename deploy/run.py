"""Starts an entry host on the users' platform from a checkout, without an installation."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from oleanderhill.platform.entry import main  # noqa: E402

main()
