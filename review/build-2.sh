#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the program of the deploy file. Their
# stand-ins are Python programs (review/lib-2/ and tests/system/platformstandin.py): nothing has to be
# compiled, so this only checks that the interpreter can read them. No package beyond python3.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import glob
for path in glob.glob("review/lib-2/*.py") + glob.glob("review/*/case.py") \
        + ["tests/system/platformstandin.py"]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
echo "stand-ins are ready"
