#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 and later start, after deploy/build.
# They go into target/review-2/ and use the libraries of target/deps only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rm -rf target/review-2/greengagepoint_standins
cp -r packages/standins/greengagepoint_standins target/review-2/
PYTHONPATH=target/deps:target/review-2 python3 -c \
  "import greengagepoint_standins.users_platform.daemons"
