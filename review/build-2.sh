#!/bin/sh
# Checks that all stand-ins of the second review can be started. They are plain
# Python, need nothing but the standard library, and are not built otherwise.
cd "$(dirname "$0")/.." || exit 1
exec python3 - review/lib-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, 'exec')
PY
