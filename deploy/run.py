"""Runs an entry host on the users' platform directly from a checkout, without installation."""

import signal
import sys
from pathlib import Path

# SIGHUP (the reload signal) would end the process during the imports, as it has no handler yet.
# Ignoring it is safe: the settings are read later, so there is nothing to reload.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from oleanderhill.platform.entry import main  # noqa: E402

main()
