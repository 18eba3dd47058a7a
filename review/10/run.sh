#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/cactuscove ] || exit 2
exec timeout -k 5 115 python3 -B case.py
