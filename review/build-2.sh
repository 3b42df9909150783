#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are written in
# Python, so that the build only checks that they compile.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import pathlib
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sorted(pathlib.Path("standin-2").glob("*.py")) + [path for n in range(6, 11) for path in pathlib.Path(".").glob(f"{n}/case.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(path, "compiles")
EOF
