#!/bin/sh
# Checks that the stand-ins of the scripted cases 11 to 15 compile. They need
# only Python's standard library; no stand-in of the project is started.
cd "$(dirname "$0")/.." || exit 2
exec python3 - review/rig_3/*.py review/1[1-5]/*.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, 'exec')
PYTHON
