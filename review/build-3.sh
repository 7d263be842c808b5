#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use the
# standard library only; the entries are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/third review/1[1-5]
test -d target/deps
