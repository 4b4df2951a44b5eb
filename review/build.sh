#!/bin/bash
# The stand-ins are Python with its standard library alone, so nothing is compiled; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast, glob
for path in ["stand_ins.py", *glob.glob("*/case.py")]:
    ast.parse(open(path).read(), path)
PY
echo "stand-ins checked"
