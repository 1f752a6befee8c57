#!/bin/sh
# Builds the stand-ins of the scripts: they are Python without any dependency, so they are only compiled.
set -e
here=$(cd "$(dirname "$0")" && pwd)
python3 -m compileall -q "$here/standins" "$here"/[0-9]*
