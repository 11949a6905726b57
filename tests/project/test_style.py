"""Formatter, linter and type checker find no fault in the project."""

import subprocess
import sys

from tests.support.project import ROOT


def run_module(*command: str) -> None:
    """Run a Python module as a program in the project's root, and assert that it succeeds."""
    result = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stdout + result.stderr


def test_format() -> None:
    run_module("ruff", "format", "--check", "--no-cache", ".")


def test_lint() -> None:
    run_module("ruff", "check", "--no-cache", ".")


def test_types() -> None:
    run_module("mypy", "--cache-dir=/dev/null")
