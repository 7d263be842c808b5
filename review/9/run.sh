#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
# The program leads a process group, in which all that it starts stays.
timeout -k 5 115 python3 "$here/case.py" "$here/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' TERM INT
wait "$group"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
