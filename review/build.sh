#!/bin/sh
# Builds the stand-ins: they are Python without dependencies, so this only compiles them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
