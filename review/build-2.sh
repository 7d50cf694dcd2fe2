#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python: nothing is compiled ahead; this
# checks that they and the project's own stand-in of the store load with the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:dev:review/lab-2" python3 -c "import lab; import oleanderhill_dev.users.store"
echo "the stand-ins of review/6 to review/10 are ready"
