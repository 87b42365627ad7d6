#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
test -x .venv/bin/python || { echo "run the deploy file's build and review/build.sh first" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" exec .venv/bin/python "$folder/case.py"
