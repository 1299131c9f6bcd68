#!/usr/bin/env bash
# Prepares the stand-ins of the second review (review/6 to review/10). They are
# scripts for Python 3.11 with its own library only, so that nothing is built:
# this checks that the interpreter can read all of them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -B - standins_2.py $(ls [6-9]/*.py 10/*.py 2>/dev/null) <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as source:
        compile(source.read(), name, 'exec')
print(f'{len(sys.argv) - 1} files can be run')
PYTHON
