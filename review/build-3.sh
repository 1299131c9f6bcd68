#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15: plain Python, no dependency.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins_3.py 1[1-5]
