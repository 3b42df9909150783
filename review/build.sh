#!/bin/sh
# The stand-ins are Python programs that need no build; checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in standin/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
