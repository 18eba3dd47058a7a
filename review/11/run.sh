#!/usr/bin/env bash
# A worker leaves as planned while it runs a long task. TROUBLE=0: it stays.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 run.py
