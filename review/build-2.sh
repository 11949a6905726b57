#!/bin/sh
# Build what the cases 6 to 10 start beside the front: the stand-ins are Python and need no more than the
# environment of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/support_2.py
for case in 6 7 8 9 10; do
    .venv/bin/python -m compileall -q "review/$case"
done
