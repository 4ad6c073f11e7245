#!/usr/bin/env bash
# Build the stand-ins that the scripts of this review start: those of the repository.
# Run it after deploy/build, which puts the daemon and its libraries under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q packages/standins/greengagepoint_standins
PYTHONPATH="$PWD/target/deps:$PWD/packages/standins" \
  python3 -c "import greengagepoint_platform.main, greengagepoint_standins.users_platform.daemons"
