#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 play.py
