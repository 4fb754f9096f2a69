#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(pwd)/review/10/case.py"
