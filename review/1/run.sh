#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the stop of the host.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD/packages/standins" exec python3 review/1/case.py
