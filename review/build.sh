#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness review/[0-9]*/
