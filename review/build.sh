#!/usr/bin/env bash
# The cases start target/cactuscove, which the build line of deploy/system.toml makes. Their stand-ins are
# Python files of this folder that use the standard library only, so nothing is compiled here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("ok", path)
EOF
