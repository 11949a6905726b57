#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review exec .venv/bin/python "$here/case.py"
