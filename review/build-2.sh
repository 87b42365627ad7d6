#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are plain Python and need only the interpreter of .venv, which the
# build command of deploy/balancer.toml creates.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)" || exit 1
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import sys; sys.path.insert(0, "review/kit_2"); import lab'
