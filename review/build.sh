#!/bin/sh
# The stand-ins are Python and need only its standard library: nothing has to be
# built. Checks that they can be read by the interpreter that will run them.
cd "$(dirname "$0")" || exit 1
for file in lib/*.py [1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
