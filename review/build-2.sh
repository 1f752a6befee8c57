#!/bin/sh
# Builds the stand-ins of the cases 4 to 7: plain Python 3.11 without libraries, compiled to find errors early.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/kit2 review/4/case.py review/5/case.py review/6/case.py review/7/case.py
