#!/usr/bin/env bash
# Prepares the stand-ins of the cases, the project's own among them: they are Python and are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review tests/support
