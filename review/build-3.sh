#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs (review/lib-3 and
# tests/system/platformstandin.py), so nothing is compiled: this checks that they load, and that the
# build of the deploy file has been done.
cd "$(dirname "$0")/.." || exit 1
[ -x target/cactuscove ] || { echo "target/cactuscove is missing: run the build of deploy/system.toml first"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, 'review/lib-3'); import deployment"
