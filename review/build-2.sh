#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They need the
# libraries that the build of the deploy file places under target/deps, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q almondtide standins review/second review/[0-9]*/case.py
python3 -c "import review.second.crashing, review.second.fleet, review.second.writes"
