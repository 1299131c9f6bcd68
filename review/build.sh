#!/bin/sh
# The stand-ins are Python sources that use the standard library only, so
# nothing is built; this checks that this Python can compile them.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
' review/standins.py review/*/case.py
