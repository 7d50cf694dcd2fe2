"""Starts an entry host on the users' platform from a checkout, without an installation."""

import signal
import sys
from pathlib import Path

# A reload order that comes while the modules load would end the process, as nothing handles it yet.
# The settings are read after it, so there is nothing to reload.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from oleanderhill.platform.entry import main  # noqa: E402

main()
