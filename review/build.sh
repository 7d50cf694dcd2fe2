#!/bin/sh
# Builds what the scripts start besides the program itself. The stand-ins are Python, run from the
# checkout with the packages of the deploy file's build (target/deps); this compiles them all, so
# that a missing part shows here.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:src:dev exec python3 - <<'PY'
import compileall
import sys

sys.path.insert(0, "review/lab")
ok = all(compileall.compile_dir(d, quiet=1) for d in ("review", "dev/oleanderhill_dev"))
import lab  # noqa: F401, E402 - the project's stand-ins and their packages can be imported

sys.exit(0 if ok else 2)
PY
