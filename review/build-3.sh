#!/bin/sh
# Builds the stand-ins that the scripts of review/9 to review/13 start. They use the
# standard library only and run in the process of the script; the daemons that they start
# are those that the build of the deploy file puts under target/.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/damaskdeck || { echo "build the deploy file first" >&2; exit 1; }
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path("review").glob("*/*.py")):
    if path.parent.name == "tools-3" or path.name == "case.py":
        ast.parse(path.read_text(), str(path))
PYTHON
