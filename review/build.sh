#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python without dependencies, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
